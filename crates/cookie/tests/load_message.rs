//! Encoding of load reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use sequoiatrail_cookie::{
    Cookie, LoadMessage, LoadReport, PriorityDemand, ServiceLoadReport, TargetLoadReport,
};

/// A rate as it is sent: in tenths.
fn rate() -> impl Strategy<Value = f64> {
    any::<u32>().prop_map(|units| f64::from(units) / 10.0)
}

fn demand() -> impl Strategy<Value = PriorityDemand> {
    (any::<u32>(), rate(), rate(), rate()).prop_map(|(priority, flows, requests, refused)| {
        PriorityDemand {
            priority,
            flows_per_s: flows,
            requests_per_s: requests,
            refused_per_s: refused,
        }
    })
}

fn service() -> impl Strategy<Value = ServiceLoadReport> {
    let fields = ("[a-z-]{0,20}", any::<u32>(), rate(), vec(demand(), 0..4));
    fields.prop_map(
        |(service, in_flight, answered_per_s, demand)| ServiceLoadReport {
            service: Arc::from(service),
            in_flight,
            answered_per_s,
            demand,
        },
    )
}

fn target() -> impl Strategy<Value = TargetLoadReport> {
    any::<(u32, u32, u32)>().prop_map(|(cookie, flows, in_flight)| TargetLoadReport {
        cookie: Cookie(cookie),
        flows,
        in_flight,
    })
}

fn message() -> impl Strategy<Value = LoadMessage> {
    let head = any::<(SocketAddr, u32, u64, u32, Option<SocketAddr>)>();
    let lists = (vec(service(), 0..4), vec(target(), 0..150));
    (head, lists).prop_map(
        |((from, process, number, turn, heard), lists)| LoadMessage {
            // The scope and flow label of an address have no meaning to others.
            from: SocketAddr::new(from.ip(), from.port()),
            domain: Arc::from("a"),
            report: LoadReport {
                process,
                number,
                turn: Duration::from_millis(turn.into()),
                heard: heard.map(|a| SocketAddr::new(a.ip(), a.port())),
                services: lists.0,
                targets: lists.1,
            },
        },
    )
}

proptest! {
    #[test]
    fn a_message_with_enough_room_is_decoded_as_it_was(message in message()) {
        let decoded = LoadMessage::decode(&message.encode(10_000)).unwrap();
        prop_assert_eq!(decoded, message);
    }

    #[test]
    fn a_message_never_exceeds_its_room(message in message(), max_bytes in 200_usize..1_400) {
        let encoded = message.encode(max_bytes);
        prop_assert!(encoded.len() <= max_bytes);
        let report = LoadMessage::decode(&encoded).unwrap().report;
        prop_assert!(message.report.services.starts_with(&report.services));
        prop_assert!(message.report.targets.starts_with(&report.targets));
    }

    #[test]
    fn a_message_that_was_cut_or_changed_is_no_cause_to_fail(
        message in message(),
        at in 0_usize..500,
        byte in any::<u8>(),
    ) {
        let mut encoded = message.encode(1_400);
        let at = at % encoded.len();
        let _ = LoadMessage::decode(&encoded[..at]);
        encoded[at] = byte;
        let _ = LoadMessage::decode(&encoded);
    }
}
