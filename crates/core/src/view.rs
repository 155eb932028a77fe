//! Snapshot of table, plans and balancers that the packet path reads; replaced
//! as a whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::map::HashMap;
use sequoiatrail_plan::{NO_TARGET, Plan};
use sequoiatrail_table::Table;
use sequoiatrail_types::{
    FlowHash, FlowHasher, NodeId, PlanVersion, Protocol, ServiceId, TargetId,
};

use crate::Peer;
use crate::flow_table::deciseconds;
use crate::owners::{Owners, OwnersChange};
use crate::service_view::ServiceView;
use crate::target_view::TargetView;

/// Read-only state shared by all threads that decide on packets.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Current table.
    pub table: Arc<Table>,
    /// Plan and buckets of each service that has a plan.
    pub services: HashMap<ServiceId, Arc<ServiceView>>,
    /// Owners of the flows.
    pub owners: Owners,
    /// Whether this balancer can own flows.
    pub ready: bool,
    /// Whether this balancer is leaving: it hands its flows over and owns none.
    pub leaving: bool,
    /// Other live balancers.
    pub peers: Vec<Peer>,
    /// Targets of the current table.
    pub targets: HashMap<TargetId, TargetView>,
    /// Flow hasher with the table's seed.
    pub hasher: FlowHasher,
    /// Services by address, port and protocol.
    addresses: HashMap<(SocketAddr, Protocol), ServiceId>,
    /// Targets that are down, with the time since when; may include targets
    /// that are not in the table.
    down: Vec<(TargetId, Duration)>,
    /// One above the highest target ID in any table that this balancer had.
    target_id_bound: u32,
}

impl View {
    /// Creates a view without table, plan or peers.
    pub fn new() -> Self {
        Self {
            ready: true,
            leaving: false,
            ..Self::default()
        }
    }

    /// Applies a newer table and drops the plans of removed services.
    pub fn set_table(&mut self, now: Duration, table: Arc<Table>) {
        self.addresses = table
            .services
            .iter()
            .map(|s| ((s.address, s.protocol), s.id))
            .collect();
        let old = std::mem::take(&mut self.targets);
        let udp = |id| {
            let service = table.service(id);
            service.is_some_and(|s| s.protocol == Protocol::Udp)
        };
        self.targets = table
            .targets
            .iter()
            .map(|t| {
                (
                    t.id,
                    TargetView::for_table(old.get(&t.id), t, udp(t.service), now),
                )
            })
            .collect();
        let highest = table.targets.last().map_or(0, |t| t.id.0 + 1);
        self.target_id_bound = self.target_id_bound.max(highest);
        for (target, since) in &self.down {
            if let Some(t) = self.targets.get_mut(target) {
                t.down_since = Some(*since);
            }
        }
        self.hasher = FlowHasher::new(table.seed);
        self.services.retain(|id, _| table.service(*id).is_some());
        self.table = table;
        self.open_blocked_buckets();
    }

    /// Applies a plan; false if it is not newer than the current one.
    pub fn set_plan(&mut self, now: Duration, plan: Arc<Plan>) -> bool {
        let next = match self.services.get(&plan.service) {
            Some(old) if old.plan.version >= plan.version => return false,
            Some(old) => old.with_plan(now, plan),
            None => ServiceView::first(plan),
        };
        self.services.insert(next.plan.service, Arc::new(next));
        self.refresh_prepared();
        self.open_blocked_buckets();
        true
    }

    /// Applies a new list of live balancers.
    pub fn set_peers(&mut self, now: Duration, me: NodeId, mut peers: Vec<Peer>) -> OwnersChange {
        for own in peers.iter_mut().filter(|p| p.node == me) {
            own.ready &= !self.leaving;
        }
        let changed = self.owners.update(now, &peers);
        self.ready = peers.iter().find(|p| p.node == me).is_none_or(|p| p.ready);
        self.peers = peers;
        self.peers.retain(|p| p.node != me);
        self.refresh_prepared();
        changed
    }

    /// Marks this balancer as leaving, so that it owns no flows.
    pub fn retire(&mut self, now: Duration, me: NodeId) {
        self.leaving = true;
        self.ready = false;
        self.owners.retire(now, me);
    }

    /// Marks a target as down since a time, or as up.
    pub fn set_down(&mut self, now: Duration, target: TargetId, since: Option<Duration>) {
        self.down.retain(|(t, _)| *t != target);
        if let Some(since) = since {
            self.down.push((target, since));
        }
        if let Some(t) = self.targets.get_mut(&target) {
            if t.down_since.is_some() && since.is_none() {
                t.recovered_at = Some(deciseconds(now));
            }
            t.down_since = since;
        }
        self.open_blocked_buckets();
    }

    /// The service with exactly this address, port and protocol.
    pub fn service(&self, address: SocketAddr, protocol: Protocol) -> Option<ServiceId> {
        self.addresses.get(&(address, protocol)).copied()
    }

    /// The services that have a plan, ordered by ID.
    pub fn sorted_services(&self) -> Vec<(&ServiceId, &Arc<ServiceView>)> {
        let mut services: Vec<_> = self.services.iter().collect();
        services.sort_unstable_by_key(|(id, _)| **id);
        services
    }

    /// A target, if it is in the table and belongs to the service.
    pub fn target(&self, service: ServiceId, target: TargetId) -> Option<&TargetView> {
        self.targets.get(&target).filter(|t| t.service == service)
    }

    /// Whether a target was in an earlier table but is not in the current one.
    pub fn was_removed(&self, target: TargetId) -> bool {
        target.0 < self.target_id_bound && !self.targets.contains_key(&target)
    }

    /// The service of a target, if it has a plan.
    pub fn service_of(&self, target: TargetId) -> Option<&Arc<ServiceView>> {
        self.services.get(&self.targets.get(&target)?.service)
    }

    /// Whether a target accepts new flows.
    pub fn takes_new_flows(&self, target: TargetId) -> bool {
        self.targets.get(&target).is_some_and(TargetView::usable)
    }

    /// Fallback target for a new flow, selected by weighted rendezvous hashing;
    /// `None` if all targets are full or blocked.
    pub fn next_target(&self, service: ServiceId, flow: FlowHash) -> Option<TargetId> {
        self.table
            .targets_of(service)
            .filter_map(|t| self.targets.get(&t.id))
            .filter(|t| t.usable() && !t.full())
            .max_by(|a, b| a.rendezvous_rank(flow).total_cmp(&b.rendezvous_rank(flow)))
            .map(|t| t.id)
    }

    /// Opens the settled buckets whose target does not accept new flows.
    fn open_blocked_buckets(&mut self) {
        let targets = &self.targets;
        let blocked =
            |target| target != NO_TARGET && !targets.get(&target).is_some_and(TargetView::usable);
        for service in self.services.values_mut() {
            let newly_blocked = service.settled_buckets_on(&blocked);
            if newly_blocked.is_empty() && !service.has_open_bucket_on(&blocked) {
                continue;
            }
            let service = Arc::make_mut(service);
            service.block_epoch += 1;
            service.archive_knowledge();
            service.open_buckets(&newly_blocked);
        }
    }

    /// Whether the open buckets of a service can be settled: every ready
    /// balancer has prepared its plan, the plan's targets accept new flows, and
    /// no leaving balancer is still handing over flows.
    pub fn can_settle(&self, service: &ServiceView) -> bool {
        if self.owners.any_handing_over() {
            return false;
        }
        let blocked = |target| target != NO_TARGET && !self.takes_new_flows(target);
        service.prepared >= service.plan.version
            && !service.behind
            && !service.has_open_bucket_on(&blocked)
    }

    fn refresh_prepared(&mut self) {
        for (id, service) in &mut self.services {
            let version = service.plan.version;
            let prepared_by = |p: &Peer| {
                let found = p.prepared.iter().find(|(s, _)| s == id);
                found.map_or(PlanVersion(0), |(_, plan)| *plan)
            };
            let lowest = self.peers.iter().filter(|p| p.ready).map(prepared_by).min();
            let newest = self.peers.iter().map(prepared_by).max();
            let prepared = lowest
                .map_or(version, |v| v.min(version))
                .max(service.prepared);
            let behind = newest.is_some_and(|v| v > version);
            if (prepared, behind) != (service.prepared, service.behind) {
                let service = Arc::make_mut(service);
                service.prepared = prepared;
                service.behind = behind;
            }
        }
    }
}
