//! Proptest strategies for valid messages.

use std::net::IpAddr;

use proptest::collection::vec;
use proptest::option::of;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_types::{
    FailureDomain, FlowHash, NodeId, PlanVersion, ServiceId, TableVersion, TargetId,
};
use sequoiatrail_wire::message::*;
use sequoiatrail_wire::{Key, limits};

/// A configuration with a fixed seed, which generates the same cases in each run.
pub fn seeded_config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// The shared key of the balancers.
pub fn key() -> Key {
    Key::new(b"a key that balancers share").unwrap()
}

/// Any message that a balancer may send.
pub fn datagram() -> impl Strategy<Value = Datagram> {
    (1..=u64::MAX, 1..=u64::MAX, body()).prop_map(|(from, serial, body)| Datagram {
        from: NodeId(from),
        serial,
        body,
    })
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        membership().prop_map(Body::Membership),
        flow_message().prop_map(Body::Flow),
        target_message().prop_map(Body::Target),
        forward().prop_map(Body::Forward),
    ]
}

fn forward() -> impl Strategy<Value = Forward> {
    (1..=u64::MAX, any::<bool>(), vec(any::<u8>(), 17..1_500)).prop_map(|(to, relay, datagram)| {
        Forward {
            to: NodeId(to),
            socket: if relay {
                PeerSocket::Relay
            } else {
                PeerSocket::Control
            },
            datagram,
        }
    })
}

fn membership() -> impl Strategy<Value = Membership> {
    let kind = prop_oneof![
        Just(MembershipKind::Ping),
        Just(MembershipKind::PingRequest),
        Just(MembershipKind::Ack),
        Just(MembershipKind::Leave),
    ];
    let plan = any::<(u32, u64)>().prop_map(|(s, v)| (ServiceId(s), PlanVersion(v)));
    (
        any::<u32>(),
        kind,
        1..=u64::MAX,
        vec(update(), 0..=limits::UPDATES),
        vec(plan, 0..=limits::PLANS),
        any::<u64>(),
        any::<bool>(),
    )
        .prop_map(
            |(sequence, kind, subject, updates, plans, table, wants_state)| Membership {
                sequence,
                kind,
                subject: NodeId(subject),
                updates,
                plans,
                table: TableVersion(table),
                wants_state,
            },
        )
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    (
        1..=u64::MAX,
        any::<u32>(),
        state,
        any::<u16>(),
        address(),
        any::<bool>(),
    )
        .prop_map(
            |(node, incarnation, state, domain, address, ready)| MemberUpdate {
                node: NodeId(node),
                incarnation,
                state,
                domain: FailureDomain(domain),
                address,
                ready,
            },
        )
}

fn address() -> impl Strategy<Value = PeerAddress> {
    let ip = any::<IpAddr>().prop_filter("a unicast address", |ip| {
        !ip.is_multicast() && !ip.is_unspecified()
    });
    let port = 1..=u16::MAX;
    (ip, port.clone(), port.clone(), port).prop_map(|(ip, control_port, relay_port, bulk_port)| {
        PeerAddress {
            ip,
            control_port,
            relay_port,
            bulk_port,
        }
    })
}

fn flow_message() -> impl Strategy<Value = FlowMessage> {
    let placed = any::<(u32, u64, u32)>().prop_map(|(s, f, t)| FlowMessage::Placed {
        service: ServiceId(s),
        flow: FlowHash(f),
        target: TargetId(t),
    });
    let relay = (
        1..=limits::HOPS,
        any::<(bool, u32, u32)>(),
        vec(any::<u8>(), 1..1_500),
    )
        .prop_map(|(hops, (ask, service, target), packet)| {
            let header = RelayHeader {
                hops,
                stage: if ask {
                    RelayStage::Ask
                } else {
                    RelayStage::Keep
                },
                service: ServiceId(service),
                target: TargetId(target),
            };
            FlowMessage::Relay(header, packet)
        });
    prop_oneof![
        placed,
        relay,
        flow_set().prop_map(FlowMessage::Offer),
        flow_set().prop_map(FlowMessage::Report),
        flow_set().prop_map(FlowMessage::Gathered),
        missing().prop_map(FlowMessage::Missing),
        flow_set().prop_map(FlowMessage::Settled),
    ]
}

fn missing() -> impl Strategy<Value = Missing> {
    let kind = prop_oneof![
        Just(SetKind::Offer),
        Just(SetKind::Report),
        Just(SetKind::Settled),
        Just(SetKind::Gathered)
    ];
    let parts = vec(any::<u16>(), 0..=limits::MISSING_PARTS);
    (any::<(u32, u64, u32)>(), kind, parts).prop_map(|((service, plan, view), kind, parts)| {
        Missing {
            service: ServiceId(service),
            plan: PlanVersion(plan),
            view,
            kind,
            parts,
        }
    })
}

fn flow_set() -> impl Strategy<Value = FlowSet> {
    let hashes = vec(any::<u64>().prop_map(FlowHash), 0..150).prop_map(Flows::Hashes);
    let buckets = vec(any::<u16>(), 0..=limits::BUCKETS).prop_map(Flows::Buckets);
    let flows = prop_oneof![hashes, buckets, filter().prop_map(Flows::Filter)];
    let part = (1..=limits::PARTS).prop_flat_map(|parts| (0..parts, Just(parts)));
    (any::<(u32, u64, u32, u16, u32)>(), part, flows).prop_map(
        |((service, plan, view, round, target), (part, parts), flows)| FlowSet {
            service: ServiceId(service),
            plan: PlanVersion(plan),
            view,
            round,
            target: TargetId(target),
            part,
            parts,
            flows,
        },
    )
}

fn filter() -> impl Strategy<Value = Filter> {
    (
        any::<u64>(),
        0..=18_u32,
        0..200_u32,
        vec(any::<u16>(), 0..600),
    )
        .prop_map(|(seed, exponent, segments, fingerprints)| Filter {
            seed,
            segment_length: 1 << exponent,
            segment_length_mask: (1 << exponent) - 1,
            segment_count_length: segments << exponent,
            fingerprints,
        })
}

fn target_message() -> impl Strategy<Value = TargetMessage> {
    let observation =
        any::<(u32, u32, bool, u16)>().prop_map(|(t, round, healthy, load)| Observation {
            target: TargetId(t),
            round,
            healthy,
            load,
        });
    let share = any::<(u32, u32, u32)>().prop_map(|(t, open_flows, new_flows)| Share {
        target: TargetId(t),
        open_flows,
        new_flows,
    });
    let observations = vec(observation, 0..=limits::TARGETS);
    (observations, of(vec(share, 0..=limits::TARGETS))).prop_map(|(observations, shares)| {
        TargetMessage {
            observations,
            shares: shares.unwrap_or_default(),
        }
    })
}
