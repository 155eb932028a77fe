//! Messages between balancers as released builds wrote them (tests/recorded), and what
//! this build writes, by the rules of docs/design/upgrades.md.

use std::time::Duration;

use sequoiatrail_cookie::{
    Cookie, Corrections, LoadMessage, LoadReport, PriorityDemand, ServiceLoadReport, Snapshot,
    SuspectReport, TargetId, TargetLoadReport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const LOAD_REPORT: &str = include_str!("recorded/15b3ef0/load_report.hex");
const SNAPSHOT: &str = include_str!("recorded/15b3ef0/snapshot.json");
const CORRECTIONS: &str = include_str!("recorded/15b3ef0/corrections.json");
const SUSPECT_REPORT: &str = include_str!("recorded/15b3ef0/suspect_report.json");

/// Checks the rule of the messages in JSON: a build reads what a released one wrote, and
/// writes all of its fields again with the same values.
fn check_json<T: Serialize + DeserializeOwned>(recorded: &str) -> T {
    let message: T = serde_json::from_str(recorded)
        .expect("upgrades.md: a build reads the messages of released builds");
    let recorded: Value = serde_json::from_str(recorded).unwrap();
    let written = serde_json::to_value(&message).unwrap();
    for (name, value) in recorded.as_object().unwrap() {
        assert_eq!(
            written.get(name),
            Some(value),
            "upgrades.md: a field that released builds read is written until none runs"
        );
    }
    message
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn load_message() -> LoadMessage {
    LoadMessage {
        from: ([10, 1, 0, 10], 7_720).into(),
        domain: "a".into(),
        report: LoadReport {
            process: 0x0102_0304,
            number: 300,
            turn: Duration::from_millis(100),
            heard: Some(([10, 1, 0, 11], 7_720).into()),
            services: vec![ServiceLoadReport {
                service: "app".into(),
                in_flight: 3,
                answered_per_s: 12.5,
                demand: vec![PriorityDemand {
                    priority: 1,
                    flows_per_s: 2.5,
                    requests_per_s: 30.0,
                    refused_per_s: 0.5,
                }],
            }],
            targets: vec![TargetLoadReport {
                cookie: Cookie(0xdead_beef),
                flows: 7,
                in_flight: 200,
            }],
        },
    }
}

#[test]
fn load_reports_of_version_1_are_read_and_written_byte_for_byte() {
    let recorded = unhex(LOAD_REPORT);
    assert_eq!(LoadMessage::decode(&recorded).unwrap(), load_message());
    assert_eq!(
        load_message().encode(1_000),
        recorded,
        "upgrades.md: another encoding of load reports has another version"
    );
}

#[test]
fn snapshots_of_released_builds_are_read_and_written_with_the_same_fields() {
    let snapshot: Snapshot = check_json(SNAPSHOT);
    assert_eq!(snapshot.targets[0].id, TargetId(0x11));
    snapshot.check().unwrap();
}

#[test]
fn corrections_of_released_builds_are_read_and_written_with_the_same_fields() {
    let corrections: Corrections = check_json(CORRECTIONS);
    assert_eq!(corrections.gone, [TargetId(2)]);
}

#[test]
fn reports_of_suspects_of_released_builds_name_no_silent_target() {
    let report: SuspectReport = check_json(SUSPECT_REPORT);
    assert_eq!(report.targets, [17, 18].map(TargetId));
    assert!(report.silent.is_empty());
}

#[test]
fn silent_targets_are_suspects_too_for_builds_that_read_only_these() {
    let mut report = SuspectReport::default();
    report.add_silent(TargetId(17));
    report.normalize(8);
    let written = serde_json::to_value(&report).unwrap();
    assert_eq!(written["targets"], serde_json::json!([17]));
}

#[test]
fn targets_have_the_cookies_that_released_builds_gave_to_open_flows() {
    let recorded = [
        (0x1, 0x1),
        (0x11, 0x11),
        (0xd2ff_66c1, 0xd2ff_66c1),
        (0x7a_83b5_d712, 0x83b5_d768),
        (u64::MAX, 0x1),
    ];
    for (id, cookie) in recorded {
        assert_eq!(
            TargetId(id).cookie(),
            Cookie(cookie),
            "upgrades.md: the cookie of a target never changes while flows that carry it are open"
        );
    }
}
