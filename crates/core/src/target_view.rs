//! A target as seen by this balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_table::Target;
use sequoiatrail_types::{FlowHash, ServiceId, TargetId};

use crate::target_counts::TargetCounts;

/// A target of the current table.
#[derive(Clone, Debug)]
pub(crate) struct TargetView {
    /// Identifier of the target.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Whether the service is UDP, whose flows have no recognisable first
    /// packet.
    pub udp: bool,
    /// Address of its tunnel endpoint.
    pub tunnel_addr: SocketAddr,
    /// Relative weight for new flows.
    pub weight: u32,
    /// Maximum open flows over all balancers; 0 means no limit.
    pub max_connections: u32,
    /// Time for which open flows may continue after a stop; zero means no
    /// limit.
    pub drain_limit: Duration,
    /// Time since which the table gives it no new flows.
    pub stopped_since: Option<Duration>,
    /// Time since which the balancers agree that it is down.
    pub down_since: Option<Duration>,
    /// Time of its last recovery, in tenths of a second.
    pub recovered_at: Option<u32>,
    /// Counters, shared between versions of the view.
    pub counts: Arc<TargetCounts>,
}

impl TargetView {
    /// Builds the view of a target for a new table, keeping the state of the
    /// old view.
    pub fn for_table(old: Option<&TargetView>, target: &Target, udp: bool, now: Duration) -> Self {
        let row = &target.row;
        let stopped = old.and_then(|t| t.stopped_since).unwrap_or(now);
        Self {
            id: target.id,
            service: target.service,
            udp,
            tunnel_addr: row.target_address,
            weight: row.weight,
            max_connections: row.max_connections,
            drain_limit: Duration::from_secs(row.drain_limit_s.into()),
            stopped_since: (!row.takes_new_flows()).then_some(stopped),
            down_since: None,
            recovered_at: old.and_then(|t| t.recovered_at),
            counts: old.map(|t| t.counts.clone()).unwrap_or_default(),
        }
    }

    /// Whether it accepts new flows.
    pub fn usable(&self) -> bool {
        self.stopped_since.is_none() && self.down_since.is_none()
    }

    /// Whether it is down or has been down at or after `time`, in tenths of a
    /// second.
    pub fn was_down_after(&self, time: u32) -> bool {
        self.down_since.is_some() || self.recovered_at.is_some_and(|at| time <= at)
    }

    /// Whether new flows must avoid it: it is down, or has been stopped for at
    /// least `grace`.
    pub fn blocked(&self, now: Duration, grace: Duration) -> bool {
        let stopped = self.stopped_since;
        self.down_since.is_some() || stopped.is_some_and(|at| now.saturating_sub(at) >= grace)
    }

    /// Whether it has reached its connection limit.
    pub fn full(&self) -> bool {
        self.max_connections > 0 && self.counts.estimated_open_flows() >= self.max_connections
    }

    /// Whether it has been stopped for longer than its drain limit.
    pub fn drain_expired(&self, now: Duration) -> bool {
        let stopped = self.stopped_since;
        !self.drain_limit.is_zero()
            && stopped.is_some_and(|at| now.saturating_sub(at) >= self.drain_limit)
    }

    /// Weighted rendezvous score for a flow; the target with the highest score
    /// is selected.
    pub fn rendezvous_rank(&self, flow: FlowHash) -> f64 {
        let unit = (flow.score(u64::from(self.id.0)) >> 11) as f64 / (1u64 << 53) as f64;
        -f64::from(self.weight) / unit.max(f64::MIN_POSITIVE).ln()
    }
}
