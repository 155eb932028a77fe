//! Encoding of messages.

use std::net::IpAddr;

use capnp::message::{Builder, HeapAllocator};
use capnp::serialize_packed;

use crate::message::{
    Body, Datagram, Filter, FlowMessage, FlowSet, Flows, Forward, MemberState, MemberUpdate,
    Membership, MembershipKind, Missing, PeerSocket, RelayHeader, RelayStage, SetKind,
    TargetMessage,
};
use crate::{Key, peer_capnp};

/// Size of the first segment of an encoded message, in words.
const FIRST_SEGMENT_WORDS: u32 = 64;

/// Encodes a message and appends its authentication tag.
///
/// The caller has to observe [`crate::limits`]: a message beyond them is encoded
/// as well, but rejected by the receiver.
pub fn encode(datagram: &Datagram, key: &Key) -> Vec<u8> {
    let allocator = HeapAllocator::new().first_segment_words(FIRST_SEGMENT_WORDS);
    let mut message = Builder::new(allocator);
    write_datagram(message.init_root(), datagram);
    let mut buf = Vec::with_capacity(crate::limits::CONTROL_BYTES);
    serialize_packed::write_message(&mut buf, &message).expect("a vector takes every write");
    let tag = key.tag(&[&buf]);
    buf.extend_from_slice(&tag);
    buf
}

fn write_datagram(mut to: peer_capnp::datagram::Builder<'_>, datagram: &Datagram) {
    to.set_from(datagram.from.0);
    to.set_serial(datagram.serial);
    match &datagram.body {
        Body::Membership(message) => write_membership(to.init_membership(), message),
        Body::Flow(message) => write_flow(to.init_flow(), message),
        Body::Target(message) => write_target(to.init_target(), message),
        Body::Forward(message) => write_forward(to.init_forward(), message),
    }
}

fn write_forward(mut to: peer_capnp::forward::Builder<'_>, message: &Forward) {
    to.set_to(message.to.0);
    to.set_socket(match message.socket {
        PeerSocket::Control => peer_capnp::forward::Socket::Control,
        PeerSocket::Relay => peer_capnp::forward::Socket::Relay,
    });
    to.set_datagram(&message.datagram);
}

fn write_membership(mut to: peer_capnp::membership::Builder<'_>, message: &Membership) {
    to.set_sequence(message.sequence);
    to.set_kind(match message.kind {
        MembershipKind::Ping => peer_capnp::membership::Kind::Ping,
        MembershipKind::PingRequest => peer_capnp::membership::Kind::PingRequest,
        MembershipKind::Ack => peer_capnp::membership::Kind::Ack,
        MembershipKind::Leave => peer_capnp::membership::Kind::Leave,
    });
    to.set_subject(message.subject.0);
    to.set_table(message.table.0);
    to.set_wants_state(message.wants_state);
    if !message.updates.is_empty() {
        let mut updates = to.reborrow().init_updates(message.updates.len() as u32);
        for (i, update) in message.updates.iter().enumerate() {
            write_update(updates.reborrow().get(i as u32), update);
        }
    }
    if !message.plans.is_empty() {
        let mut plans = to.init_versions(message.plans.len() as u32);
        for (i, (service, version)) in message.plans.iter().enumerate() {
            let mut plan = plans.reborrow().get(i as u32);
            plan.set_service(service.0);
            plan.set_prepared(version.0);
        }
    }
}

fn write_update(mut to: peer_capnp::member_update::Builder<'_>, update: &MemberUpdate) {
    to.set_node(update.node.0);
    to.set_incarnation(update.incarnation);
    to.set_state(match update.state {
        MemberState::Alive => peer_capnp::member_update::State::Alive,
        MemberState::Suspect => peer_capnp::member_update::State::Suspect,
        MemberState::Dead => peer_capnp::member_update::State::Dead,
        MemberState::Left => peer_capnp::member_update::State::Left,
    });
    to.set_domain(update.domain.0);
    match update.address.ip {
        IpAddr::V4(ip) => to.set_ip(&ip.octets()),
        IpAddr::V6(ip) => to.set_ip(&ip.octets()),
    }
    to.set_control_port(update.address.control_port);
    to.set_relay_port(update.address.relay_port);
    to.set_bulk_port(update.address.bulk_port);
    to.set_ready(update.ready);
}

fn write_flow(to: peer_capnp::flow::Builder<'_>, message: &FlowMessage) {
    match message {
        FlowMessage::Relay(header, packet) => write_relay(to.init_relay(), header, packet),
        FlowMessage::Placed {
            service,
            flow,
            target,
        } => {
            let mut to = to.init_placed();
            to.set_service(service.0);
            to.set_flow(flow.0);
            to.set_target(target.0);
        }
        FlowMessage::Offer(set) => write_flow_set(to.init_offer(), set),
        FlowMessage::Report(set) => write_flow_set(to.init_report(), set),
        FlowMessage::Settled(set) => write_flow_set(to.init_settled(), set),
        FlowMessage::Gathered(set) => write_flow_set(to.init_gathered(), set),
        FlowMessage::Missing(missing) => write_missing(to.init_missing(), missing),
    }
}

fn write_missing(mut to: peer_capnp::missing::Builder<'_>, missing: &Missing) {
    to.set_service(missing.service.0);
    to.set_plan(missing.plan.0);
    to.set_view(missing.view);
    to.set_kind(match missing.kind {
        SetKind::Offer => peer_capnp::missing::Kind::Offer,
        SetKind::Report => peer_capnp::missing::Kind::Report,
        SetKind::Settled => peer_capnp::missing::Kind::Settled,
        SetKind::Gathered => peer_capnp::missing::Kind::Gathered,
    });
    let mut parts = to.init_parts(missing.parts.len() as u32);
    for (i, part) in missing.parts.iter().enumerate() {
        parts.set(i as u32, *part);
    }
}

fn write_relay(mut to: peer_capnp::relay::Builder<'_>, header: &RelayHeader, packet: &[u8]) {
    to.set_hops(header.hops);
    to.set_stage(match header.stage {
        RelayStage::Ask => peer_capnp::relay::Stage::Ask,
        RelayStage::Keep => peer_capnp::relay::Stage::Keep,
    });
    to.set_service(header.service.0);
    to.set_target(header.target.0);
    to.set_packet(packet);
}

fn write_flow_set(mut to: peer_capnp::flow_set::Builder<'_>, set: &FlowSet) {
    to.set_service(set.service.0);
    to.set_plan(set.plan.0);
    to.set_view(set.view);
    to.set_round(set.round);
    to.set_target(set.target.0);
    to.set_part(set.part);
    to.set_parts(set.parts);
    match &set.flows {
        Flows::Hashes(hashes) => {
            let mut to = to.init_hashes(hashes.len() as u32);
            for (i, hash) in hashes.iter().enumerate() {
                to.set(i as u32, hash.0);
            }
        }
        Flows::Filter(filter) => write_filter(to.init_filter(), filter),
        Flows::Buckets(buckets) => {
            let mut to = to.init_buckets(buckets.len() as u32);
            for (i, bucket) in buckets.iter().enumerate() {
                to.set(i as u32, *bucket);
            }
        }
    }
}

fn write_filter(mut to: peer_capnp::filter::Builder<'_>, filter: &Filter) {
    to.set_seed(filter.seed);
    to.set_segment_length(filter.segment_length);
    to.set_segment_length_mask(filter.segment_length_mask);
    to.set_segment_count_length(filter.segment_count_length);
    let bytes: Vec<u8> = filter
        .fingerprints
        .iter()
        .flat_map(|f| f.to_le_bytes())
        .collect();
    to.set_fingerprints(&bytes);
}

fn write_target(mut to: peer_capnp::target::Builder<'_>, message: &TargetMessage) {
    let mut observations = to
        .reborrow()
        .init_observations(message.observations.len() as u32);
    for (i, observation) in message.observations.iter().enumerate() {
        let mut to = observations.reborrow().get(i as u32);
        to.set_target(observation.target.0);
        to.set_round(observation.round);
        to.set_healthy(observation.healthy);
        to.set_load(observation.load);
    }
    let mut shares = to.init_shares(message.shares.len() as u32);
    for (i, share) in message.shares.iter().enumerate() {
        let mut to = shares.reborrow().get(i as u32);
        to.set_target(share.target.0);
        to.set_open_flows(share.open_flows);
        to.set_new_flows(share.new_flows);
    }
}
