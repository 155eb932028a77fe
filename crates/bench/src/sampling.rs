//! Per-second samples of a run, and the report at its end.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::measure::Report;
use crate::simulation::{SimEvent, Simulation};

impl Simulation {
    /// Takes the sample of a second, checks edits and versions, and runs the
    /// balancers' exchanges of shares and snapshots.
    pub fn end_second(&mut self) {
        self.check_edits();
        self.check_versions();
        self.broadcast_shares();
        self.request_snapshots();
        let open = self.flows.iter().filter(|f| f.is_open()).count();
        let imbalance = self.imbalance();
        self.meter.sample(self.now.as_secs_f64(), open, imbalance);
        let next = self.now + Duration::from_secs(1);
        self.queue.push(next, SimEvent::Second);
    }

    fn check_versions(&mut self) {
        for index in 0..self.balancers.len() {
            for (service, plan) in self.versions_of(index) {
                let last = self.last_versions[index].entry(service).or_default();
                if plan < *last {
                    self.meter.versions_fallen += 1;
                }
                *last = plan;
            }
        }
    }

    /// Largest share of open flows over weighted share, per service, among the
    /// targets that take new flows.
    fn imbalance(&self) -> BTreeMap<String, f64> {
        let table = &self.platform.table;
        let mut worst = BTreeMap::new();
        for (index, settings) in self.schedule.services.iter().enumerate() {
            let Some(service) = table.service_by_name(&settings.name) else {
                continue;
            };
            let targets: Vec<_> = table
                .targets_of(service.id)
                .filter(|t| t.row.takes_new_flows())
                .collect();
            let open = |target| self.loads[index].open.get(&target).copied().unwrap_or(0) as f64;
            let flows: f64 = targets.iter().map(|t| open(t.id)).sum();
            let weight: f64 = targets.iter().map(|t| f64::from(t.row.weight)).sum();
            let largest = targets
                .iter()
                .map(|t| open(t.id) / flows.max(1.0) / (f64::from(t.row.weight) / weight))
                .fold(0.0, f64::max);
            worst.insert(settings.name.clone(), largest);
        }
        worst
    }

    pub fn report(self) -> Report {
        let peak = self.meter.control_peak();
        let meter = self.meter;
        let seconds = self.schedule.duration_s as f64;
        let per_balancer = seconds * self.schedule.balancers as f64;
        let by_kind: BTreeMap<_, _> = meter
            .control_by_kind
            .iter()
            .map(|(kind, bytes)| (kind.clone(), *bytes as f64 / per_balancer))
            .collect();
        let bytes_per_flow = self
            .balancers
            .iter()
            .map(|b| b.core.flow_stats())
            .filter(|stats| stats.flows > 0)
            .map(|stats| stats.bytes as f64 / stats.flows as f64)
            .fold(0.0, f64::max);
        Report {
            schedule: self.schedule.name,
            seed: self.options.seed,
            balancers: self.schedule.balancers,
            flows: self.flows.len() as u64,
            packets: meter.packets,
            packets_lost: meter.packets_lost,
            refused: meter.refused,
            broken: meter.broken,
            broken_at_s: meter.broken_at_s,
            broken_flows: meter.broken_flows,
            late_new_flows: meter.late_new_flows,
            versions_fallen: meter.versions_fallen,
            edits: self.edits.into_iter().map(|e| e.report).collect(),
            control_bytes_s: by_kind.values().sum(),
            control_bytes_s_by_kind: by_kind,
            control_bytes_s_max: meter
                .samples
                .iter()
                .map(|s| s.control_bytes_max)
                .max()
                .unwrap_or(0),
            control_bytes_10s_max: peak,
            relayed_share: meter.relayed_packets as f64 / meter.packets.max(1) as f64,
            relayed_bytes: meter.relayed_bytes,
            decision_ns: (
                meter.decision_ns.value_at_quantile(0.5),
                meter.decision_ns.value_at_quantile(0.99),
            ),
            bytes_per_flow,
            samples: meter.samples,
        }
    }
}
