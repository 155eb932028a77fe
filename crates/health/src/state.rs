//! What is known of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, NodeId, ServiceId};

use crate::HealthSettings;
use crate::damping::Damping;
use crate::opinion::Opinion;

/// What a peer said of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub round: u32,
    pub healthy: bool,
    pub at: Duration,
}

/// What was last told of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    healthy: bool,
    at: Duration,
    /// Times that it was told since it changed.
    times: u32,
}

/// How many balancers speak against a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Votes {
    pub unhealthy: usize,
    /// The target's probers and all who speak against it. A prober that says
    /// nothing finds the target healthy.
    pub voters: usize,
}

impl Votes {
    /// Whether more than half speak against the target.
    pub fn most_unhealthy(self) -> bool {
        self.unhealthy * 2 > self.voters
    }
}

/// One target.
#[derive(Debug)]
pub(crate) struct State {
    pub service: ServiceId,
    pub domain: FailureDomain,
    /// Whether it takes new flows by the table; only such targets are counted
    /// when most of a service's targets look dead.
    pub started: bool,
    /// The balancers that probe it.
    pub probers: Vec<NodeId>,
    pub own: Opinion,
    pub heard: BTreeMap<NodeId, Heard>,
    told: Option<Told>,
    /// Number of the last observation that was told.
    pub round: u32,
    pub down: bool,
    /// Whether this balancer's flows spoke against the target while it looked dead.
    pub confirmed: bool,
    /// Since when it has looked healthy, while it is down.
    pub healthy_since: Option<Duration>,
    pub damping: Damping,
}

impl State {
    /// A target of which nothing is known.
    pub fn new(service: ServiceId) -> State {
        State {
            service,
            domain: FailureDomain::default(),
            started: true,
            probers: Vec::new(),
            own: Opinion::default(),
            heard: BTreeMap::new(),
            told: None,
            round: 0,
            down: false,
            confirmed: false,
            healthy_since: None,
            damping: Damping::default(),
        }
    }

    /// Whether anything speaks against the target; nearly all have nothing.
    pub fn is_doubtful(&self, now: Duration, settings: &HealthSettings) -> bool {
        self.down
            || self.own.failed > 0
            || self.own.may_stall(now, settings)
            || self.heard.values().any(|h| !h.healthy)
    }

    /// Who speaks against the target, as seen by balancer `node`.
    pub fn votes(&self, now: Duration, node: NodeId, settings: &HealthSettings) -> Votes {
        let fresh = |h: &Heard| now < h.at + settings.observation_ttl;
        let against = |h: &Heard| !h.healthy && fresh(h);
        let heard = self.heard.iter().filter(|(_, h)| against(h));
        let own = self.own.healthy(now, settings) == Some(false);
        let mut against: Vec<NodeId> = heard.map(|(n, _)| *n).collect();
        against.extend(own.then_some(node));
        let silent = self.probers.iter().filter(|n| !against.contains(n));
        Votes {
            unhealthy: against.len(),
            voters: against.len() + silent.count(),
        }
    }

    /// Whether the peers have to be told of the target now; notes that they are.
    ///
    /// Only what speaks against a target, and its end, has to be told; a load is
    /// told now and then by the balancers that probe the target.
    pub fn tell(&mut self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let healthy = self.own.healthy(now, settings).unwrap_or(true);
        let same = self.told.filter(|t| t.healthy == healthy);
        let due = match (same, healthy) {
            (None, false) => true,
            (None, true) => self.told.is_some() || self.own.load > 0,
            (Some(t), false) => now >= t.at + t.pause(settings),
            (Some(t), true) if t.times < settings.transmissions => {
                now >= t.at + settings.retransmit_interval
            }
            (Some(t), true) => self.own.load > 0 && now >= t.at + settings.refresh_interval,
        };
        if !due {
            return None;
        }
        // The first load is no retraction, which alone has to be told again.
        let first = match self.told {
            None if healthy => settings.transmissions,
            _ => 1,
        };
        self.told = Some(Told {
            healthy,
            at: now,
            times: same.map_or(first, |t| t.times + 1),
        });
        Some(healthy)
    }

    /// Whether peers may still believe that this balancer speaks against the target.
    pub fn must_follow_up(&self, settings: &HealthSettings) -> bool {
        let open = |t: &Told| !t.healthy || t.times < settings.transmissions;
        self.told.as_ref().is_some_and(open)
    }
}

impl Told {
    /// Time until it is told again.
    fn pause(&self, settings: &HealthSettings) -> Duration {
        if self.times < settings.transmissions {
            return settings.retransmit_interval;
        }
        settings.refresh_interval
    }
}
