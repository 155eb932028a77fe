//! Decoding and validation of messages.

use std::net::IpAddr;

use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use sequoiatrail_types::{
    FailureDomain, FlowHash, NodeId, PlanVersion, ServiceId, TableVersion, TargetId,
};
use snafu::{ResultExt, ensure};

use crate::error::{
    EncodingSnafu, FieldOutOfRangeSnafu, InvalidLengthSnafu, TagMismatchSnafu, UnknownVariantSnafu,
};
use crate::message::{
    Body, Datagram, Filter, FlowMessage, FlowSet, Flows, Forward, MemberState, MemberUpdate,
    Membership, MembershipKind, Missing, Observation, PeerAddress, PeerSocket, RelayHeader,
    RelayStage, SetKind, Share, TargetMessage,
};
use crate::{Key, Result, TAG_BYTES, limits, peer_capnp};

/// Authenticates and decodes a datagram.
///
/// # Errors
///
/// Fails on an invalid length, tag or encoding, and on a field beyond [`crate::limits`].
pub fn decode(bytes: &[u8], key: &Key) -> Result<Datagram> {
    let len = bytes.len();
    ensure!(
        len > TAG_BYTES && len <= limits::DATAGRAM_BYTES,
        InvalidLengthSnafu { len }
    );
    let (mut message, tag) = bytes.split_at(len - TAG_BYTES);
    ensure!(key.verify(&[message], tag), TagMismatchSnafu);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(limits::MESSAGE_WORDS));
    options.nesting_limit(limits::POINTER_DEPTH);
    let reader = serialize_packed::read_message(&mut message, options).context(EncodingSnafu)?;
    ensure!(message.is_empty(), InvalidLengthSnafu { len });
    read_datagram(reader.get_root().context(EncodingSnafu)?)
}

fn read_datagram(from: peer_capnp::datagram::Reader<'_>) -> Result<Datagram> {
    use peer_capnp::datagram::Which;
    ensure!(from.get_from() != 0, FieldOutOfRangeSnafu { field: "from" });
    ensure!(
        from.get_serial() != 0,
        FieldOutOfRangeSnafu { field: "serial" }
    );
    let body = match from.which().context(UnknownVariantSnafu)? {
        Which::Membership(m) => Body::Membership(read_membership(m.context(EncodingSnafu)?)?),
        Which::Flow(m) => Body::Flow(read_flow(m.context(EncodingSnafu)?)?),
        Which::Target(m) => Body::Target(read_target(m.context(EncodingSnafu)?)?),
        Which::Forward(m) => Body::Forward(read_forward(m.context(EncodingSnafu)?)?),
    };
    Ok(Datagram {
        from: NodeId(from.get_from()),
        serial: from.get_serial(),
        body,
    })
}

/// Rejects a list that is longer than `max`.
fn check_len(len: u32, max: usize, field: &'static str) -> Result<()> {
    ensure!(len as usize <= max, FieldOutOfRangeSnafu { field });
    Ok(())
}

fn read_forward(from: peer_capnp::forward::Reader<'_>) -> Result<Forward> {
    ensure!(from.get_to() != 0, FieldOutOfRangeSnafu { field: "to" });
    let datagram = from.get_datagram().context(EncodingSnafu)?;
    ensure!(
        datagram.len() > TAG_BYTES && datagram.len() <= limits::FORWARD_BYTES,
        FieldOutOfRangeSnafu { field: "datagram" }
    );
    Ok(Forward {
        to: NodeId(from.get_to()),
        socket: match from.get_socket().context(UnknownVariantSnafu)? {
            peer_capnp::forward::Socket::Control => PeerSocket::Control,
            peer_capnp::forward::Socket::Relay => PeerSocket::Relay,
        },
        datagram: datagram.to_vec(),
    })
}

fn read_membership(from: peer_capnp::membership::Reader<'_>) -> Result<Membership> {
    let kind = match from.get_kind().context(UnknownVariantSnafu)? {
        peer_capnp::membership::Kind::Ping => MembershipKind::Ping,
        peer_capnp::membership::Kind::PingRequest => MembershipKind::PingRequest,
        peer_capnp::membership::Kind::Ack => MembershipKind::Ack,
        peer_capnp::membership::Kind::Leave => MembershipKind::Leave,
    };
    let subject = NodeId(from.get_subject());
    ensure!(
        kind != MembershipKind::PingRequest || subject != NodeId(0),
        FieldOutOfRangeSnafu { field: "subject" }
    );
    let updates = from.get_updates().context(EncodingSnafu)?;
    check_len(updates.len(), limits::UPDATES, "updates")?;
    let plans = from.get_versions().context(EncodingSnafu)?;
    check_len(plans.len(), limits::PLANS, "versions")?;
    Ok(Membership {
        sequence: from.get_sequence(),
        kind,
        subject,
        updates: updates.iter().map(read_update).collect::<Result<_>>()?,
        plans: plans
            .iter()
            .map(|p| (ServiceId(p.get_service()), PlanVersion(p.get_prepared())))
            .collect(),
        table: TableVersion(from.get_table()),
        wants_state: from.get_wants_state(),
    })
}

fn read_update(from: peer_capnp::member_update::Reader<'_>) -> Result<MemberUpdate> {
    ensure!(from.get_node() != 0, FieldOutOfRangeSnafu { field: "node" });
    Ok(MemberUpdate {
        node: NodeId(from.get_node()),
        incarnation: from.get_incarnation(),
        state: match from.get_state().context(UnknownVariantSnafu)? {
            peer_capnp::member_update::State::Alive => MemberState::Alive,
            peer_capnp::member_update::State::Suspect => MemberState::Suspect,
            peer_capnp::member_update::State::Dead => MemberState::Dead,
            peer_capnp::member_update::State::Left => MemberState::Left,
        },
        domain: FailureDomain(from.get_domain()),
        address: read_address(from)?,
        ready: from.get_ready(),
    })
}

fn read_address(from: peer_capnp::member_update::Reader<'_>) -> Result<PeerAddress> {
    let address = PeerAddress {
        ip: read_ip(from.get_ip().context(EncodingSnafu)?)?,
        control_port: from.get_control_port(),
        relay_port: from.get_relay_port(),
        bulk_port: from.get_bulk_port(),
    };
    let ports = [address.control_port, address.relay_port, address.bulk_port];
    ensure!(!ports.contains(&0), FieldOutOfRangeSnafu { field: "port" });
    Ok(address)
}

fn read_ip(bytes: &[u8]) -> Result<IpAddr> {
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        IpAddr::from(octets)
    } else {
        return FieldOutOfRangeSnafu { field: "ip" }.fail();
    };
    ensure!(
        !ip.is_unspecified() && !ip.is_multicast(),
        FieldOutOfRangeSnafu { field: "ip" }
    );
    Ok(ip)
}

fn read_flow(from: peer_capnp::flow::Reader<'_>) -> Result<FlowMessage> {
    use peer_capnp::flow::Which;
    Ok(match from.which().context(UnknownVariantSnafu)? {
        Which::Relay(m) => read_relay(m.context(EncodingSnafu)?)?,
        Which::Placed(m) => {
            let placed = m.context(EncodingSnafu)?;
            FlowMessage::Placed {
                service: ServiceId(placed.get_service()),
                flow: FlowHash(placed.get_flow()),
                target: TargetId(placed.get_target()),
            }
        }
        Which::Offer(m) => FlowMessage::Offer(read_flow_set(m.context(EncodingSnafu)?)?),
        Which::Report(m) => FlowMessage::Report(read_flow_set(m.context(EncodingSnafu)?)?),
        Which::Settled(m) => FlowMessage::Settled(read_flow_set(m.context(EncodingSnafu)?)?),
        Which::Gathered(m) => FlowMessage::Gathered(read_flow_set(m.context(EncodingSnafu)?)?),
        Which::Missing(m) => FlowMessage::Missing(read_missing(m.context(EncodingSnafu)?)?),
    })
}

fn read_missing(from: peer_capnp::missing::Reader<'_>) -> Result<Missing> {
    let parts = from.get_parts().context(EncodingSnafu)?;
    check_len(parts.len(), limits::MISSING_PARTS, "parts")?;
    Ok(Missing {
        service: ServiceId(from.get_service()),
        plan: PlanVersion(from.get_plan()),
        view: from.get_view(),
        kind: match from.get_kind().context(UnknownVariantSnafu)? {
            peer_capnp::missing::Kind::Offer => SetKind::Offer,
            peer_capnp::missing::Kind::Report => SetKind::Report,
            peer_capnp::missing::Kind::Settled => SetKind::Settled,
            peer_capnp::missing::Kind::Gathered => SetKind::Gathered,
        },
        parts: parts.iter().collect(),
    })
}

fn read_relay(from: peer_capnp::relay::Reader<'_>) -> Result<FlowMessage> {
    let hops = from.get_hops();
    ensure!(
        (1..=limits::HOPS).contains(&hops),
        FieldOutOfRangeSnafu { field: "hops" }
    );
    let packet = from.get_packet().context(EncodingSnafu)?;
    ensure!(
        !packet.is_empty() && packet.len() <= limits::PACKET_BYTES,
        FieldOutOfRangeSnafu { field: "packet" }
    );
    let header = RelayHeader {
        hops,
        stage: match from.get_stage().context(UnknownVariantSnafu)? {
            peer_capnp::relay::Stage::Ask => RelayStage::Ask,
            peer_capnp::relay::Stage::Keep => RelayStage::Keep,
        },
        service: ServiceId(from.get_service()),
        target: TargetId(from.get_target()),
    };
    Ok(FlowMessage::Relay(header, packet.to_vec()))
}

fn read_flow_set(from: peer_capnp::flow_set::Reader<'_>) -> Result<FlowSet> {
    use peer_capnp::flow_set::Which;
    let (part, parts) = (from.get_part(), from.get_parts());
    ensure!(
        part < parts && parts <= limits::PARTS,
        FieldOutOfRangeSnafu { field: "part" }
    );
    let flows = match from.which().context(UnknownVariantSnafu)? {
        Which::Hashes(hashes) => {
            let hashes = hashes.context(EncodingSnafu)?;
            check_len(hashes.len(), limits::HASHES, "hashes")?;
            Flows::Hashes(hashes.iter().map(FlowHash).collect())
        }
        Which::Filter(filter) => Flows::Filter(read_filter(filter.context(EncodingSnafu)?)?),
        Which::Buckets(buckets) => {
            let buckets = buckets.context(EncodingSnafu)?;
            check_len(buckets.len(), limits::BUCKETS, "buckets")?;
            Flows::Buckets(buckets.iter().collect())
        }
    };
    Ok(FlowSet {
        service: ServiceId(from.get_service()),
        plan: PlanVersion(from.get_plan()),
        view: from.get_view(),
        round: from.get_round(),
        target: TargetId(from.get_target()),
        part,
        parts,
        flows,
    })
}

fn read_filter(from: peer_capnp::filter::Reader<'_>) -> Result<Filter> {
    let segment = from.get_segment_length();
    ensure!(
        segment.is_power_of_two() && segment <= limits::SEGMENT_LENGTH,
        FieldOutOfRangeSnafu {
            field: "segmentLength"
        }
    );
    ensure!(
        from.get_segment_length_mask() == segment - 1,
        FieldOutOfRangeSnafu {
            field: "segmentLengthMask"
        }
    );
    let positions = from.get_segment_count_length();
    ensure!(
        positions <= limits::SEGMENT_COUNT_LENGTH && positions.is_multiple_of(segment),
        FieldOutOfRangeSnafu {
            field: "segmentCountLength"
        }
    );
    let bytes = from.get_fingerprints().context(EncodingSnafu)?;
    let (pairs, rest) = bytes.as_chunks::<2>();
    ensure!(
        rest.is_empty() && pairs.len() <= limits::FINGERPRINTS,
        FieldOutOfRangeSnafu {
            field: "fingerprints"
        }
    );
    Ok(Filter {
        seed: from.get_seed(),
        segment_length: segment,
        segment_length_mask: segment - 1,
        segment_count_length: positions,
        fingerprints: pairs.iter().map(|pair| u16::from_le_bytes(*pair)).collect(),
    })
}

fn read_target(from: peer_capnp::target::Reader<'_>) -> Result<TargetMessage> {
    let observations = from.get_observations().context(EncodingSnafu)?;
    check_len(observations.len(), limits::TARGETS, "observations")?;
    let shares = from.get_shares().context(EncodingSnafu)?;
    check_len(shares.len(), limits::TARGETS, "shares")?;
    Ok(TargetMessage {
        observations: observations.iter().map(read_observation).collect(),
        shares: shares.iter().map(read_share).collect(),
    })
}

fn read_observation(from: peer_capnp::observation::Reader<'_>) -> Observation {
    Observation {
        target: TargetId(from.get_target()),
        round: from.get_round(),
        healthy: from.get_healthy(),
        load: from.get_load(),
    }
}

fn read_share(from: peer_capnp::share::Reader<'_>) -> Share {
    Share {
        target: TargetId(from.get_target()),
        open_flows: from.get_open_flows(),
        new_flows: from.get_new_flows(),
    }
}
