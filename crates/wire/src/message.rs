//! Typed messages between balancers.

use std::net::{IpAddr, SocketAddr};

use sequoiatrail_types::{
    FailureDomain, FlowHash, NodeId, PlanVersion, ServiceId, TableVersion, TargetId,
};

/// A message with its sender and serial number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The sending balancer.
    pub from: NodeId,
    /// Serial number of the datagram, counted from 1 by its sender for each socket that
    /// it sends to; see [`crate::ReplayGuard`].
    pub serial: u64,
    /// The message.
    pub body: Body,
}

/// The body of a message between balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Failure detection, and versions of plans and tables.
    Membership(Membership),
    /// Targets of flows, and relayed packets.
    Flow(FlowMessage),
    /// Health and load of targets.
    Target(TargetMessage),
    /// A datagram for a balancer that the sender cannot reach directly.
    Forward(Forward),
}

/// The socket of a balancer to which a datagram is addressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PeerSocket {
    /// Control messages.
    Control,
    /// Relayed packets.
    Relay,
}

/// A datagram that the receiver forwards unchanged, over one hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The balancer to forward the datagram to.
    pub to: NodeId,
    /// The socket of that balancer.
    pub socket: PeerSocket,
    /// The datagram as encoded by its sender.
    pub datagram: Vec<u8>,
}

/// Kind of a membership message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MembershipKind {
    /// Requests an acknowledgement from the receiver.
    Ping,
    /// Requests the receiver to probe the subject.
    PingRequest,
    /// Acknowledges a ping, or relays the subject's acknowledgement.
    Ack,
    /// Announces that the sender leaves.
    Leave,
}

/// A message of the failure detector, with piggybacked member updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Sequence number of the probe, repeated by its acknowledgement.
    pub sequence: u32,
    /// Kind of the message.
    pub kind: MembershipKind,
    /// The balancer to probe indirectly, or whose acknowledgement is relayed.
    pub subject: NodeId,
    /// Updates about members.
    pub updates: Vec<MemberUpdate>,
    /// Latest plan of each service that the sender has prepared.
    pub plans: Vec<(ServiceId, PlanVersion)>,
    /// Latest table version that the sender has.
    pub table: TableVersion,
    /// Whether the sender requests the receiver's state.
    pub wants_state: bool,
}

/// State of a member as seen by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not reply to probes and has not refuted the suspicion yet.
    Suspect,
    /// Declared dead because it did not refute a suspicion in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// Addresses of a balancer for other balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// IP address of the VM.
    pub ip: IpAddr,
    /// UDP port for control messages.
    pub control_port: u16,
    /// UDP port for relayed packets.
    pub relay_port: u16,
    /// TCP port for bulk transfer.
    pub bulk_port: u16,
}

impl PeerAddress {
    /// UDP address for control messages.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.control_port)
    }

    /// UDP address for relayed packets.
    pub fn relay(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.relay_port)
    }

    /// TCP address for bulk transfer.
    pub fn bulk(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.bulk_port)
    }
}

/// An update about one member. The higher incarnation supersedes the lower; at equal
/// incarnations the state that is later in [`MemberState`] does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// Incarnation number, raised only by the member itself, e.g. to refute a suspicion.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
    /// Failure domain of the member.
    pub domain: FailureDomain,
    /// Addresses of the member.
    pub address: PeerAddress,
    /// Whether it has the state required to own flows.
    pub ready: bool,
}

/// Processing stage of a relayed packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RelayStage {
    /// Relayed to the flow's owner, which decides on the target.
    Ask,
    /// Relayed to the flow's backup, which records the target and forwards the packet to it.
    Keep,
}

/// Header of a relayed packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHeader {
    /// Number of times that the packet was relayed, including this one.
    pub hops: u8,
    /// What the receiver does with the packet.
    pub stage: RelayStage,
    /// Service of the packet.
    pub service: ServiceId,
    /// For [`RelayStage::Keep`], the target chosen by the owner. For [`RelayStage::Ask`], the
    /// target according to a filter of the sender, or `u32::MAX` if there is none.
    pub target: TargetId,
}

/// One part of a set of flows of a service that belong to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowSet {
    /// Service of the flows.
    pub service: ServiceId,
    /// Plan to which the set refers.
    pub plan: PlanVersion,
    /// Digest of the flow owners in the sender's view; sets of different views are not combined.
    pub view: u32,
    /// Number of the sender's set for this plan and view; a later round replaces an earlier one.
    pub round: u16,
    /// Target to which the flows belong.
    pub target: TargetId,
    /// Index of this part, from 0.
    pub part: u16,
    /// Number of parts of the sender's set for this plan, over all targets.
    pub parts: u16,
    /// The flows.
    pub flows: Flows,
}

/// Flows as a list of hashes, a filter or a list of buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flows {
    /// The hash of each flow.
    Hashes(Vec<FlowHash>),
    /// A probabilistic filter of the hashes, with false positives.
    Filter(Filter),
    /// The flows in these buckets that no balancer knows.
    Buckets(Vec<u16>),
}

/// A binary fuse filter with 16-bit fingerprints, complete in itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// Seed of the filter's hash function.
    pub seed: u64,
    /// Segment length, in fingerprints; a power of two.
    pub segment_length: u32,
    /// Bit mask for a position in a segment.
    pub segment_length_mask: u32,
    /// Segment count multiplied by segment length: the number of positions at which the first
    /// of a key's three fingerprints may be.
    pub segment_count_length: u32,
    /// All fingerprints of the filter.
    pub fingerprints: Vec<u16>,
}

/// Kind of a flow set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SetKind {
    /// [`FlowMessage::Offer`].
    Offer,
    /// [`FlowMessage::Report`].
    Report,
    /// [`FlowMessage::Settled`].
    Settled,
    /// [`FlowMessage::Gathered`].
    Gathered,
}

/// Parts of a flow set that were not received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Service of the set.
    pub service: ServiceId,
    /// Plan of the set.
    pub plan: PlanVersion,
    /// View of the set.
    pub view: u32,
    /// Kind of the set.
    pub kind: SetKind,
    /// Indices of the missing parts; empty means all parts.
    pub parts: Vec<u16>,
}

/// A message about flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowMessage {
    /// A packet relayed to another balancer; part of the data path.
    Relay(RelayHeader, Vec<u8>),
    /// Reply of the owner: the target to which the flow belongs.
    Placed {
        /// Service of the flow.
        service: ServiceId,
        /// The flow.
        flow: FlowHash,
        /// Target of the flow.
        target: TargetId,
    },
    /// Flows whose target deviates from the plan and that an owner knows; the other balancers
    /// report only those missing from it.
    Offer(FlowSet),
    /// Flows whose target deviates from the plan and that the sender knows, sent to their owner.
    Report(FlowSet),
    /// Flows whose target deviates from the plan and that an owner learned of after its offer,
    /// broadcast once all reports have been received.
    Settled(FlowSet),
    /// An empty set: the sender has received the complete sets of all owners.
    Gathered(FlowSet),
    /// Requests retransmission of parts of a set.
    Missing(Missing),
}

/// Result of a health probe of a target by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The target.
    pub target: TargetId,
    /// Probe round; a later round of the same sender replaces an earlier one.
    pub round: u32,
    /// Whether the target replied and its flows made progress.
    pub healthy: bool,
    /// Load reported by the target's endpoint, in thousandths of its capacity.
    pub load: u16,
}

/// Number of flows of a target counted by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The target.
    pub target: TargetId,
    /// Open flows owned by the sender.
    pub open_flows: u32,
    /// New flows placed by the sender since its last share.
    pub new_flows: u32,
}

/// Health and load of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetMessage {
    /// Results of health probes.
    pub observations: Vec<Observation>,
    /// Flow counts.
    pub shares: Vec<Share>,
}
