//! Answers of any bytes: no panic, and "not run" only when the answer says so.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_platform::{
    Changes, Error, Listing, Object, RawResponse, Refusal, Vm, WriteResponse, kind_of, parse,
};
use sequoiatrail_types::Verdict;
use serde_json::json;

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

fn statuses() -> impl Strategy<Value = u16> {
    prop_oneof![
        Just(200),
        Just(400),
        Just(404),
        Just(410),
        Just(412),
        Just(429),
        Just(503),
        any::<u16>()
    ]
}

/// A valid body with some bytes written over.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let bodies = [
        json!({"key": "plans/1", "revision": 3, "value": {"a": [1, 2]}}),
        json!({"revision": 3}),
        json!({"revision": 3, "objects": [{"key": "plans/1", "revision": 3, "value": 1}]}),
        json!({"revision": 3, "changes": [{"key": "a", "revision": 3, "value": null}]}),
        json!({"error": "no", "ran": false, "current": 4}),
        json!([{"name": "a", "address": "127.0.0.1:1", "failure_domain": 1, "state": "live"}]),
    ]
    .map(|body| body.to_string().into_bytes());
    let writes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    (prop::sample::select(bodies.to_vec()), writes).prop_map(|(mut body, writes)| {
        for (at, byte) in writes {
            let at = at.index(body.len());
            body[at] = byte;
        }
        body
    })
}

/// Reads an answer as each type; "not run" must be what its body says.
fn read_as_all(status: u16, retry_after: Option<&str>, body: &[u8]) {
    let answer = RawResponse {
        status,
        retry_after,
        body,
    };
    let errors = [
        parse::<Object>(answer).err(),
        parse::<WriteResponse>(answer).err(),
        parse::<Listing>(answer).err(),
        parse::<Changes>(answer).err(),
        parse::<Vec<Vm>>(answer).err(),
    ];
    let refusal = serde_json::from_slice::<Refusal>(body);
    let says_not_run = refusal.is_ok_and(|r| !r.ran) && !(200..300).contains(&status);
    for error in errors.into_iter().flatten() {
        let not_run = matches!(error.verdict(), Verdict::NotRun(_));
        assert_eq!(not_run, says_not_run, "{error:?}");
    }
}

proptest! {
    #![proptest_config(config(50_000))]

    #[test]
    fn any_bytes_are_read_or_refused(
        status in statuses(),
        retry_after in prop::option::of("[ -~]{0,12}"),
        body in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        read_as_all(status, retry_after.as_deref(), &body);
    }

    #[test]
    fn nearly_valid_answers_are_read_or_refused(status in statuses(), body in mutated()) {
        read_as_all(status, Some("3"), &body);
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn any_key_is_ours_or_not(key in "(tables/|plans/|balancers/)?[ -~]{0,24}") {
        let _ = kind_of(&key);
    }
}

#[test]
fn a_server_error_without_a_verdict_may_have_run() {
    for status in [500, 502, 503, 504, 429, 412] {
        for body in ["", "<html>", "{}", "{\"error\":\"x\",\"ran\":true}"] {
            let answer = RawResponse {
                status,
                retry_after: None,
                body: body.as_bytes(),
            };
            let error = parse::<WriteResponse>(answer).unwrap_err();
            assert_eq!(error.verdict(), Verdict::MayHaveRun, "{status} {body}");
        }
    }
}

#[test]
fn an_absurd_time_to_come_back_is_bounded() {
    let answer = RawResponse {
        status: 429,
        retry_after: Some("99999999999"),
        body: b"{\"error\":\"x\",\"ran\":false}",
    };
    let error = parse::<WriteResponse>(answer).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }));
    assert!(error.retry_delay().unwrap().as_secs() <= 3_600);
}
