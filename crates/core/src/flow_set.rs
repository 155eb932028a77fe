//! Sets of flows: encoding into parts, reassembly and lookup.

use std::collections::BTreeMap;

use crate::map::HashMap;
use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, ServiceId, TargetId};
use sequoiatrail_wire::message::{Filter, FlowSet, Flows};
use xorf::{BinaryFuse16, Descriptor, Filter as _};

use crate::owners::rendezvous_node;

/// Maximum hashes per part, so that one part uses only a small share of the
/// control bytes of a second.
const MAX_PART_HASHES: usize = 72;
/// Maximum flows per filter; larger filters save hardly any bytes per flow.
const MAX_FILTER_FLOWS: usize = 200;
/// Minimum number of flows for which a filter is smaller than a list of hashes.
const MIN_FILTER_FLOWS: usize = 24;
/// Segments that a lookup reads after the one in which its triple starts.
const EXTRA_SEGMENTS: usize = 2;

/// View digest of sets that belong to no reconciliation round.
pub(crate) const NO_ROUND: u32 = 0;

/// Fields common to all parts of a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SetKey {
    pub service: ServiceId,
    pub plan: PlanVersion,
    pub view: u32,
    pub round: u16,
}

impl SetKey {
    /// The key of a received set.
    pub fn of(set: &FlowSet) -> Self {
        Self {
            service: set.service,
            plan: set.plan,
            view: set.view,
            round: set.round,
        }
    }

    /// Whether both belong to the same service, plan and owners.
    pub fn same_plan_and_owners(&self, other: &SetKey) -> bool {
        (self.service, self.plan, self.view) == (other.service, other.plan, other.view)
    }
}

/// Encoding of the flows of a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Encoding {
    /// Complete hashes, for a receiver that has to record each flow.
    Exact,
    /// The smallest encoding, for a receiver that only tests flows for
    /// membership; filters have rare false positives.
    Compact,
}

/// Encodes flows with their targets into parts; at least one, which may be
/// empty.
pub(crate) fn pack(
    key: SetKey,
    mut flows: Vec<(TargetId, FlowHash)>,
    encoding: Encoding,
) -> Vec<FlowSet> {
    flows.sort_unstable();
    flows.dedup();
    let mut bodies = Vec::new();
    for group in flows.chunk_by(|a, b| a.0 == b.0) {
        let target = group[0].0;
        let hashes: Vec<_> = group.iter().map(|(_, flow)| *flow).collect();
        pack_target(&hashes, encoding, |flows| bodies.push((target, flows)));
    }
    if bodies.is_empty() {
        bodies.push((NO_TARGET, Flows::Hashes(Vec::new())));
    }
    let parts = bodies.len() as u16;
    bodies
        .into_iter()
        .enumerate()
        .map(|(part, (target, flows))| FlowSet {
            service: key.service,
            plan: key.plan,
            view: key.view,
            round: key.round,
            target,
            part: part as u16,
            parts,
            flows,
        })
        .collect()
}

fn pack_target(hashes: &[FlowHash], encoding: Encoding, mut push: impl FnMut(Flows)) {
    let small = hashes.len() < MIN_FILTER_FLOWS;
    let max_flows = if encoding == Encoding::Exact || small {
        MAX_PART_HASHES
    } else {
        MAX_FILTER_FLOWS
    };
    let parts = hashes.len().div_ceil(max_flows);
    for chunk in hashes.chunks(hashes.len().div_ceil(parts)) {
        let filter = (max_flows == MAX_FILTER_FLOWS).then(|| build_filter(chunk));
        match filter.flatten() {
            Some(filter) => push(Flows::Filter(filter)),
            None => chunk
                .chunks(MAX_PART_HASHES)
                .for_each(|c| push(Flows::Hashes(c.to_vec()))),
        }
    }
}

/// `None` if no filter can be built for the hashes.
fn build_filter(hashes: &[FlowHash]) -> Option<Filter> {
    let keys: Vec<u64> = hashes.iter().map(|h| h.0).collect();
    let filter = BinaryFuse16::try_from(&keys).ok()?;
    Some(Filter {
        seed: filter.descriptor.seed,
        segment_length: filter.descriptor.segment_length,
        segment_length_mask: filter.descriptor.segment_length_mask,
        segment_count_length: filter.descriptor.segment_count_length,
        fingerprints: filter.fingerprints.into_vec(),
    })
}

/// Flows of one target, for membership tests.
#[derive(Clone, Debug)]
enum Members {
    /// Sorted hashes.
    Hashes(Vec<FlowHash>),
    Filter(BinaryFuse16),
}

impl Members {
    /// `None` if a lookup in the filter could read past its fingerprints.
    fn new(flows: &Flows) -> Option<Self> {
        match flows {
            Flows::Hashes(hashes) => {
                let mut hashes = hashes.clone();
                hashes.sort_unstable();
                Some(Self::Hashes(hashes))
            }
            Flows::Buckets(_) => None,
            Flows::Filter(f) => {
                let required_len =
                    f.segment_count_length as usize + EXTRA_SEGMENTS * f.segment_length as usize;
                let valid = f.segment_length.is_power_of_two()
                    && f.segment_length_mask == f.segment_length - 1
                    && f.segment_count_length.is_multiple_of(f.segment_length)
                    && f.fingerprints.len() >= required_len;
                valid.then(|| Self::Filter(unpack_filter(f)))
            }
        }
    }

    fn contains(&self, flow: FlowHash) -> bool {
        match self {
            Self::Hashes(hashes) => hashes.binary_search(&flow).is_ok(),
            Self::Filter(filter) => filter.contains(&flow.0),
        }
    }
}

fn unpack_filter(f: &Filter) -> BinaryFuse16 {
    BinaryFuse16 {
        descriptor: Descriptor {
            seed: f.seed,
            segment_length: f.segment_length,
            segment_length_mask: f.segment_length_mask,
            segment_count_length: f.segment_count_length,
        },
        fingerprints: f.fingerprints.clone().into_boxed_slice(),
    }
}

/// The flows listed by one sender.
#[derive(Clone, Debug, Default)]
pub(crate) struct SenderFlows {
    members: Vec<(TargetId, Members)>,
}

impl SenderFlows {
    /// Combines the flows of all parts.
    pub fn new<'a>(sets: impl Iterator<Item = &'a FlowSet>) -> Self {
        let members = sets
            .filter_map(|set| Some((set.target, Members::new(&set.flows)?)))
            .collect();
        Self { members }
    }

    /// Adds the flows of another part.
    pub fn add(&mut self, set: &FlowSet) {
        if let Some(members) = Members::new(&set.flows) {
            self.members.push((set.target, members));
        }
    }

    /// Target of a listed flow. Filters rarely also match a flow that is not
    /// listed.
    pub fn find(&self, flow: FlowHash) -> Option<TargetId> {
        self.members
            .iter()
            .find(|(_, members)| members.contains(flow))
            .map(|(target, _)| *target)
    }
}

/// Off-plan flows as of the last time the buckets were settled.
#[derive(Clone, Debug, Default)]
pub(crate) struct SettledFlows {
    /// Owners at that time, sorted; each listed the flows that it owned.
    pub owners: Vec<NodeId>,
    /// Flows listed by each owner.
    pub by_owner: HashMap<NodeId, SenderFlows>,
    /// Flows from the snapshot that this balancer received when it joined. The
    /// next reconciliation round lists them again.
    pub handed_over: SenderFlows,
    /// All parts, to be sent to balancers that join later.
    pub parts: Vec<FlowSet>,
}

impl SettledFlows {
    /// Looks up a flow in the sets.
    pub fn find(&self, flow: FlowHash) -> Option<ListedFlow> {
        let owner = rendezvous_node(&self.owners, flow, None);
        if let Some(owner) = owner
            && let Some(target) = self.by_owner.get(&owner).and_then(|f| f.find(flow))
        {
            let owner = Some(owner);
            return Some(ListedFlow { target, owner });
        }
        let target = self.handed_over.find(flow)?;
        Some(ListedFlow {
            target,
            owner: None,
        })
    }
}

/// A match of a flow in the sets; rarely a false positive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedFlow {
    /// Target of the flow.
    pub target: TargetId,
    /// The balancer that listed the flow and knows for certain; `None` if it is
    /// from a snapshot.
    pub owner: Option<NodeId>,
}

/// The parts of a set received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartialSet {
    /// Total number of parts; 0 until the first one arrives.
    parts: u16,
    received: BTreeMap<u16, FlowSet>,
}

impl PartialSet {
    /// Adds a part; false if it was already received.
    pub fn add_part(&mut self, set: FlowSet) -> bool {
        if set.parts != self.parts {
            self.parts = set.parts;
            self.received.clear();
        }
        self.received.insert(set.part, set).is_none()
    }

    /// Whether all parts have been received.
    pub fn is_complete(&self) -> bool {
        self.parts > 0 && self.received.len() == usize::from(self.parts)
    }

    /// The received parts.
    pub fn sets(&self) -> impl Iterator<Item = &FlowSet> {
        self.received.values()
    }

    /// The first `max` missing parts; none if the number of parts is unknown.
    pub fn missing(&self, max: usize) -> Vec<u16> {
        let missing = (0..self.parts).filter(|part| !self.received.contains_key(part));
        missing.take(max).collect()
    }
}
