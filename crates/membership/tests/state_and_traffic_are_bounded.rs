//! Bounds on the traffic at rest and on the state that messages can create.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::time::Duration;

use net::Network;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_membership::Settings;
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{
    MemberState, MemberUpdate, Membership as Message, MembershipKind,
};

#[test]
fn six_idle_balancers_send_less_than_800_bytes_per_second_each() {
    let mut net = Network::new(6, 1, Duration::from_secs(10));
    net.with_balancer(0, |m| m.set_prepared(ServiceId(1), PlanVersion(2_000)));
    net.with_balancer(0, |m| m.set_table(TableVersion(2_000)));
    net.run(Duration::from_secs(10));
    net.start_metering();
    net.run(Duration::from_secs(60));
    for node in net.nodes.iter().flatten() {
        assert!(node.sent_bytes / 60 < 800, "{} bytes", node.sent_bytes);
    }
}

fn message() -> impl Strategy<Value = Message> {
    let kind = prop_oneof![
        Just(MembershipKind::Ping),
        Just(MembershipKind::PingRequest),
        Just(MembershipKind::Ack),
        Just(MembershipKind::Leave),
    ];
    let update = (1..40_u64, 0..4_u32, 0..4_u8, 0..40_usize).prop_map(
        |(node, incarnation, state, place)| MemberUpdate {
            node: NodeId(node),
            incarnation,
            state: match state {
                0 => MemberState::Alive,
                1 => MemberState::Suspect,
                2 => MemberState::Dead,
                _ => MemberState::Left,
            },
            domain: FailureDomain(0),
            address: net::address(place),
            ready: false,
        },
    );
    let plan = (0..9_u32, 0..9_u64).prop_map(|(s, v)| (ServiceId(s), PlanVersion(v)));
    (
        any::<u32>(),
        kind,
        0..40_u64,
        prop::collection::vec(update, 0..4),
        prop::collection::vec(plan, 0..4),
        any::<bool>(),
    )
        .prop_map(
            |(sequence, kind, subject, updates, plans, wants_state)| Message {
                sequence,
                kind,
                subject: NodeId(subject),
                updates,
                plans,
                table: TableVersion(1),
                wants_state,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_messages_keep_the_members_bounded(
        messages in prop::collection::vec((1..40_u64, 0..400_u64, message()), 100),
    ) {
        let me = sequoiatrail_membership::Identity {
            node: NodeId(1),
            domain: FailureDomain(0),
            address: net::address(0),
        };
        let settings = Settings { max_members: 8, max_tombstones: 16, ..Settings::default() };
        let mut membership = sequoiatrail_membership::Membership::new(settings, me, 3);
        let mut now = Duration::ZERO;
        for (from, wait, message) in messages {
            now += Duration::from_millis(wait);
            let source = net::address(from as usize).control();
            let outputs = membership.handle(now, NodeId(from), source, &message);
            prop_assert!(outputs.len() < 16);
            membership.tick(now);
            prop_assert!(membership.members().len() <= 8);
            prop_assert!(membership.members().all(|m| m.node() != NodeId(1)));
        }
    }
}
