//! What a balancer tells the others of its failure domain about its load, and what it
//! takes from them.

use std::cmp::Reverse;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhash::quality::FixedState;
use hashbrown::HashMap;

use crate::exchange::load_rates::LoadRates;
use crate::targets::presence::Target;
use crate::{Balancer, LoadReport, PriorityDemand, ServiceLoadReport, TargetLoadReport};

/// Maximum number of services per report.
const MAX_SERVICES: usize = 16;
/// Maximum number of priorities per service.
const MAX_PRIORITIES: usize = 4;
/// Maximum number of targets per report; more than a datagram holds.
const MAX_TARGETS: usize = 256;

/// Own load, as it is told to others.
#[derive(Debug)]
pub(crate) struct OwnLoad {
    /// See [`LoadReport::process`].
    process: u32,
    /// Number of the last report.
    number: u64,
    pub rates: LoadRates,
}

impl OwnLoad {
    pub fn new(process: u32) -> OwnLoad {
        OwnLoad {
            process,
            number: 0,
            rates: LoadRates::default(),
        }
    }
}

impl Balancer {
    /// The load to tell the other balancers of the failure domain; `None` while no
    /// packets can be served. The sender leaves out targets at the end that don't fit
    /// into its datagram.
    pub fn load_report(&mut self, now: Duration) -> Option<LoadReport> {
        if !self.is_ready() {
            return None;
        }
        self.expire_requests(now);
        self.own_load.number += 1;
        let number = self.own_load.number;
        Some(LoadReport {
            process: self.own_load.process,
            number,
            turn: Duration::ZERO,
            heard: self.domain_load.heard_peer(number),
            services: self.service_reports(now),
            targets: self.target_reports(),
        })
    }

    /// Records the load of another balancer of the failure domain. Returns whether it
    /// counts; a report that is older than the last one does not.
    pub fn record_load_report(
        &mut self,
        now: Duration,
        from: SocketAddr,
        report: LoadReport,
    ) -> bool {
        self.domain_load.record(now, from, report)
    }

    /// Updates the known balancers of the failure domain and removes old reports. To be
    /// called several times a second while load is exchanged. Returns the balancers to
    /// tell the load, in order.
    pub fn refresh_domain_load(
        &mut self,
        now: Duration,
        own: SocketAddr,
        local_peers: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.domain_load.refresh(now, own, local_peers)
    }

    /// Records the load of a balancer of another failure domain, like
    /// [`Balancer::record_load_report`].
    pub fn record_remote_report(
        &mut self,
        now: Duration,
        from: SocketAddr,
        report: LoadReport,
    ) -> bool {
        self.remote_load.record(now, from, report)
    }

    /// Updates the known balancers of the other failure domains, like
    /// [`Balancer::refresh_domain_load`].
    pub fn refresh_remote_load(
        &mut self,
        now: Duration,
        own: SocketAddr,
        remote_peers: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.remote_load.refresh(now, own, remote_peers)
    }

    fn service_reports(&self, now: Duration) -> Vec<ServiceLoadReport> {
        let in_flight = self.in_flight_by_service();
        let rates = self.own_load.rates.all(now);
        let reports = rates.map(|(service, answered_per_s, mut demand)| {
            demand.truncate(MAX_PRIORITIES);
            ServiceLoadReport {
                service: Arc::clone(service),
                in_flight: in_flight.get(service).copied().unwrap_or(0),
                answered_per_s,
                demand,
            }
        });
        let mut reports: Vec<ServiceLoadReport> = reports.collect();
        reports.sort_by(|a, b| demand_per_s(b).total_cmp(&demand_per_s(a)));
        reports.truncate(MAX_SERVICES);
        reports
    }

    fn in_flight_by_service(&self) -> HashMap<Arc<str>, u32> {
        let mut in_flight = HashMap::new();
        for target in self.directory.iter().filter(|t| t.load.in_flight > 0) {
            let service = Arc::clone(&target.entry.service);
            *in_flight.entry(service).or_default() += target.load.in_flight;
        }
        in_flight
    }

    /// Targets with open flows. Those of the own failure domain with requests in flight
    /// come first: the balancers that hear of them place most of their flows there. Equal
    /// ones are in another order on each balancer, as otherwise all would leave out the
    /// same targets, which would look idle to everyone.
    fn target_reports(&self) -> Vec<TargetLoadReport> {
        let used = self.directory.iter().filter(|t| t.load.flows > 0);
        let mut used: Vec<&Target> = used.filter(|t| !t.is_gone()).collect();
        let order = FixedState::with_seed(self.own_load.process.into());
        used.sort_by_cached_key(|t| {
            let (load, local) = (t.load, t.entry.domain == self.cfg.domain);
            let urgent = local && load.in_flight > 0;
            let tie = order.hash_one(t.entry.id);
            Reverse((urgent, load.in_flight, local, load.flows, tie))
        });
        used.truncate(MAX_TARGETS);
        let reports = used.iter().map(|t| TargetLoadReport {
            cookie: t.entry.id.cookie(),
            flows: t.load.flows,
            in_flight: t.load.in_flight,
        });
        reports.collect()
    }
}

fn demand_per_s(report: &ServiceLoadReport) -> f64 {
    let rates = |d: &PriorityDemand| d.flows_per_s + d.requests_per_s;
    report.demand.iter().map(rates).sum()
}
