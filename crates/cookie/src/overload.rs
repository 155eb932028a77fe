//! Turning new flows away while the targets of a service can't keep up.
//!
//! Load pattern: many callers come at once and bring more requests than all
//! targets of a service work on. Queues fill, every answer comes late, and
//! callers that try again add to the load. Part of the new flows is then refused
//! at once, before anything was sent on them, so that the requests on the others
//! are answered in time. Less urgent routes are refused first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;

use crate::Route;

/// Settings of the refusals.
#[derive(Clone, Copy, Debug)]
pub struct OverloadConfig {
    /// Part of a route's latency goal that an answer may take; the rest is for
    /// the way between caller and balancer.
    pub goal_part: f64,
    /// Part of the answers that may be slow without a new flow being refused.
    pub tolerated: f64,
    /// Change of the refused share in one interval if all answers are slow.
    pub step: f64,
    /// Greatest share of new flows that is refused; 0 refuses none.
    pub most: f64,
    /// Shortest time between two changes of the refused share.
    pub interval: Duration,
    /// Fewest answers that a change is based on.
    pub answers: u32,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            goal_part: 0.75,
            tolerated: 0.2,
            step: 0.8,
            most: 0.95,
            interval: Duration::from_millis(100),
            answers: 8,
        }
    }
}

/// Time over which the shortest answer of a route is remembered; up to twice as long.
const BASE_WINDOW: Duration = Duration::from_secs(10);
/// An answer that takes so many times the route's shortest one has waited in a queue.
const WAITED: u32 = 2;
/// Time without enough answers after which nothing is known of the load.
const STALE: Duration = Duration::from_secs(1);
/// Factor of the refused share in an interval without slow answers.
const RELIEF: f64 = 0.7;
/// Part of the refused share that holds for the most urgent flows.
const URGENT_PART: f64 = 0.25;
/// Part of the answers from which a priority counts as in use.
const IN_USE: f64 = 0.05;
/// What an interval leaves of the counts of answers by priority.
const FADING: f64 = 0.98;
/// Count of answers that is as good as none.
const FADED: f64 = 0.01;
/// Refused share from which it is told.
const WORTH_TELLING: f64 = 0.1;
/// Refused share below which nothing is refused.
const LEAST: f64 = 0.02;

/// New flows of a service are refused, or no longer; told in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadChange {
    /// The service.
    pub service: Arc<str>,
    /// Part of its less urgent new flows that is refused, in percent.
    pub refused_percent: u32,
}

/// The time that an answer took, and what it is measured by.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Latency goal of its route.
    pub goal: Duration,
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Time from the request to the caller's next packet.
    pub took: Duration,
}

impl Answer {
    /// An answer that came now to a request on a route; `None` if it has no goal.
    pub fn new(route: &Route, now: Duration, sent: Duration) -> Option<Answer> {
        Some(Answer {
            goal: route.latency_goal?,
            priority: route.priority,
            took: now.saturating_sub(sent),
        })
    }
}

/// Shortest answers of one latency goal, over two windows.
#[derive(Clone, Copy, Debug)]
struct Base {
    since: Duration,
    last: Duration,
    current: Duration,
}

/// What the answers of one service tell of its load.
#[derive(Debug, Default)]
struct Pressure {
    /// By latency goal: requests with other goals are other work.
    bases: HashMap<Duration, Base>,
    /// Answers by the priority of their route, recent ones counting most.
    uses: BTreeMap<u32, f64>,
    /// Start of the interval.
    since: Duration,
    answers: u32,
    slow: u32,
    /// Share of new flows that is refused; from 0 to `most`.
    refused: f64,
    /// Whether it was told that flows are refused.
    told: bool,
}

/// The load of all services as their answers tell.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    services: HashMap<Arc<str>, Pressure>,
}

impl Overload {
    /// Takes in an answer to a request that was sent once.
    pub fn answered(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        answer: Answer,
    ) {
        let pressure = self.services.entry(Arc::clone(service)).or_default();
        pressure.answered(cfg, now, answer);
    }

    /// Whether a new flow is let in; `point` is random, from 0 to 1.
    pub fn admits(&self, now: Duration, service: &str, priority: u32, point: f64) -> bool {
        let Some(pressure) = self.services.get(service) else {
            return true;
        };
        let refused = pressure.refused_at(now);
        let refused = match pressure.is_urgent(priority) {
            true => refused * URGENT_PART,
            false => refused,
        };
        refused < LEAST || point >= refused
    }

    /// Share of the new flows of a service that is refused.
    pub fn refused(&self, now: Duration, service: &str) -> f64 {
        let pressure = self.services.get(service);
        pressure.map_or(0.0, |p| p.refused_at(now))
    }

    /// What is to be told of services whose new flows are refused, or no longer.
    pub fn take_changes(&mut self, now: Duration) -> Vec<OverloadChange> {
        let mut changes = Vec::new();
        for (service, pressure) in &mut self.services {
            let refused = pressure.refused_at(now);
            let overloaded = match pressure.told {
                true => refused >= LEAST,
                false => refused >= WORTH_TELLING,
            };
            if std::mem::replace(&mut pressure.told, overloaded) != overloaded {
                changes.push(OverloadChange {
                    service: Arc::clone(service),
                    refused_percent: (refused * 100.0).round() as u32,
                });
            }
        }
        changes
    }

    /// Forgets answers that a pause of this process may have held up.
    pub fn forget_evidence(&mut self) {
        for pressure in self.services.values_mut() {
            *pressure = Pressure {
                told: pressure.told,
                ..Pressure::default()
            };
        }
    }
}

impl Pressure {
    fn answered(&mut self, cfg: &OverloadConfig, now: Duration, answer: Answer) {
        if now >= self.since + STALE {
            self.restart(now);
            self.refused = 0.0;
        }
        *self.uses.entry(answer.priority).or_default() += 1.0;
        let base = self.base(now, answer);
        let goal = answer.goal.mul_f64(cfg.goal_part);
        self.answers += 1;
        self.slow += u32::from(answer.took > goal.max(base * WAITED));
        if now < self.since + cfg.interval || self.answers < cfg.answers {
            return;
        }
        let slow = f64::from(self.slow) / f64::from(self.answers);
        let refused = match self.slow {
            0 => self.refused * RELIEF,
            _ => self.refused + cfg.step * (slow - cfg.tolerated),
        };
        self.refused = refused.clamp(0.0, cfg.most);
        self.uses.values_mut().for_each(|count| *count *= FADING);
        self.uses.retain(|_, count| *count > FADED);
        self.restart(now);
    }

    /// The shortest answer lately, this one included.
    fn base(&mut self, now: Duration, answer: Answer) -> Duration {
        let fresh = Base {
            since: now,
            last: answer.took,
            current: answer.took,
        };
        let base = self.bases.entry(answer.goal).or_insert(fresh);
        if now >= base.since + BASE_WINDOW {
            base.last = base.current;
            base.current = answer.took;
            base.since = now;
        }
        base.current = base.current.min(answer.took);
        base.current.min(base.last)
    }

    /// Whether hardly any answer is of a more urgent route, and others are of less
    /// urgent ones.
    fn is_urgent(&self, priority: u32) -> bool {
        let all: f64 = self.uses.values().sum();
        let more: f64 = self.uses.range(..priority).map(|(_, uses)| uses).sum();
        let same = self.uses.get(&priority).copied().unwrap_or_default();
        let less = all - more - same;
        more < all * IN_USE && less >= all * IN_USE
    }

    fn restart(&mut self, now: Duration) {
        self.since = now;
        self.answers = 0;
        self.slow = 0;
    }

    fn refused_at(&self, now: Duration) -> f64 {
        if now >= self.since + STALE {
            return 0.0;
        }
        self.refused
    }
}
