//! Simulates followers and a platform in virtual time, to measure request rates
//! around an outage.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sequoiatrail_platform::{
    Admission, CallKind, Error, FollowConfig, FollowState, Outage, Precondition, Revision,
    StandInConfig, StandInService, Step,
};

/// Latency of a request that gets a response.
const CALL_LATENCY: Duration = Duration::from_millis(5);
/// Timeout of a request without a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PREFIX: &str = "tables/default";

/// Configuration of a simulation; times are since its start.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub followers: usize,
    pub outage: Outage,
    /// Start of the outage.
    pub down: Duration,
    /// End of the outage.
    pub up: Duration,
    /// End of the simulation.
    pub end: Duration,
    /// Interval between table changes.
    pub change_every: Duration,
    /// Whether the history expires during the outage.
    pub expire: bool,
    /// Whether followers retry after a fixed second without jitter, for comparison.
    pub naive: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            followers: 6,
            outage: Outage::Refuse,
            down: Duration::from_secs(120),
            up: Duration::from_secs(720),
            end: Duration::from_secs(780),
            change_every: Duration::from_secs(48),
            expire: false,
            naive: false,
        }
    }
}

/// Measurements of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Max requests per second before the outage, without the first two seconds.
    pub steady_peak: u64,
    /// Max requests per second during the outage.
    pub outage_peak: u64,
    /// Max requests per second after the outage.
    pub recovery_peak: u64,
    /// Max requests in 100 ms after the outage.
    pub recovery_burst: u64,
    /// Requests rejected by the rate limit.
    pub over_rate: u64,
    /// Max milliseconds until all followers had a change, before the outage.
    pub change_ms: u128,
    /// Milliseconds from the end of the outage until all followers are up to date.
    pub recovery_ms: u128,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Down,
    Up,
    Change,
    Act(usize),
    Response(usize),
    Timeout(usize),
    WatchTimeout(usize, u64),
}

struct Follower {
    follow: FollowState,
    /// Number of the current request; a late end of an earlier watch is ignored.
    call: u64,
    step: Step,
    watching: bool,
    known: Revision,
}

struct Simulation {
    scenario: Scenario,
    service: StandInService,
    followers: Vec<Follower>,
    queue: BinaryHeap<Reverse<(Duration, SimEvent)>>,
    now: Duration,
    /// Times of all requests.
    calls: Vec<Duration>,
    latest: Revision,
    /// Time at which all followers were up to date after the outage.
    recovered_at: Option<Duration>,
    /// Oldest change that not all followers have, and its time.
    pending_change: Option<(Revision, Duration)>,
    /// Max time until all followers had a change.
    max_propagation: Duration,
}

/// Runs a simulation.
pub fn run(scenario: Scenario) -> Stats {
    let mut sim = Simulation::new(scenario);
    while let Some(Reverse((at, event))) = sim.queue.pop() {
        if at > scenario.end {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.stats()
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let cfg = FollowConfig::default();
        let follower = |n| Follower {
            follow: FollowState::new(cfg, n as u64),
            call: 0,
            step: Step::List,
            watching: false,
            known: Revision(0),
        };
        let mut queue = BinaryHeap::new();
        queue.push(Reverse((scenario.down, SimEvent::Down)));
        queue.push(Reverse((scenario.up, SimEvent::Up)));
        queue.push(Reverse((scenario.change_every, SimEvent::Change)));
        for n in 0..scenario.followers {
            queue.push(Reverse((Duration::ZERO, SimEvent::Act(n))));
        }
        Simulation {
            scenario,
            service: StandInService::new(&StandInConfig::default()),
            followers: (0..scenario.followers).map(follower).collect(),
            queue,
            now: Duration::ZERO,
            calls: Vec::new(),
            latest: Revision(0),
            recovered_at: None,
            pending_change: None,
            max_propagation: Duration::ZERO,
        }
    }

    fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.queue.push(Reverse((self.now + after, event)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Down => self.down(),
            SimEvent::Up => self.up(),
            SimEvent::Change => self.change(),
            SimEvent::Act(n) => self.act(n),
            SimEvent::Response(n) => self.on_response(n),
            SimEvent::Timeout(n) => self.fail(n, &no_response()),
            SimEvent::WatchTimeout(n, call) => {
                if self.followers[n].watching && self.followers[n].call == call {
                    self.on_response(n);
                }
            }
        }
    }

    /// All pending watches fail at the same time.
    fn down(&mut self) {
        self.service.faults.outage = self.scenario.outage;
        for n in 0..self.followers.len() {
            if self.followers[n].watching {
                self.fail(n, &no_response());
            }
        }
    }

    /// Simulates a change that was written just before the outage and missed by all
    /// followers.
    fn up(&mut self) {
        self.service.faults.outage = Outage::None;
        if self.scenario.expire {
            self.service.objects.expire_history();
        }
        self.write();
    }

    fn change(&mut self) {
        if self.service.faults.outage == Outage::None {
            self.write();
            self.pending_change = self.pending_change.or(Some((self.latest, self.now)));
            for n in 0..self.followers.len() {
                if self.followers[n].watching {
                    self.followers[n].watching = false;
                    self.schedule(CALL_LATENCY, SimEvent::Response(n));
                }
            }
        }
        self.schedule(self.scenario.change_every, SimEvent::Change);
    }

    fn write(&mut self) {
        let (written, _) = self
            .service
            .write(PREFIX, Some(1.into()), Precondition::Any);
        self.latest = written.expect("unconditional write");
    }

    fn act(&mut self, n: usize) {
        let step = self.followers[n].follow.next(self.now);
        let kind = match step {
            Step::Wait(wait) => return self.schedule(wait, SimEvent::Act(n)),
            Step::List => CallKind::Read,
            Step::Watch(_) => CallKind::Watch,
        };
        let follower = &mut self.followers[n];
        follower.step = step;
        follower.call += 1;
        let call = follower.call;
        self.calls.push(self.now);
        match self.service.admit(self.now, kind) {
            Admission::Run { .. } => {}
            Admission::Unavailable => return self.fail(n, &denied(None)),
            Admission::OverRate { retry_delay } => return self.fail(n, &denied(Some(retry_delay))),
            Admission::Hang => return self.schedule(CALL_TIMEOUT, SimEvent::Timeout(n)),
        }
        let Step::Watch(after) = step else {
            return self.schedule(CALL_LATENCY, SimEvent::Response(n));
        };
        let no_changes = |c: &sequoiatrail_platform::Changes| c.changes.is_empty();
        if self
            .service
            .changes_after(&prefixes(), after)
            .is_ok_and(|c| no_changes(&c))
        {
            self.followers[n].watching = true;
            let wait = self.followers[n].follow.config().watch_wait;
            return self.schedule(wait, SimEvent::WatchTimeout(n, call));
        }
        self.schedule(CALL_LATENCY, SimEvent::Response(n));
    }

    fn on_response(&mut self, n: usize) {
        let now = self.now;
        let follower = &mut self.followers[n];
        follower.watching = false;
        if let Step::Watch(after) = follower.step {
            match self.service.changes_after(&prefixes(), after) {
                Ok(c) => {
                    follower.follow.watched(now, c.revision, c.changes.len());
                    follower.known = c.revision;
                }
                Err(_) => return self.fail(n, &Error::HistoryExpired),
            }
        } else {
            let revision = self.service.objects.revision();
            follower.follow.listed(now, revision);
            follower.known = revision;
        }
        self.track_propagation();
        self.act(n);
    }

    fn fail(&mut self, n: usize, error: &Error) {
        self.followers[n].watching = false;
        if self.scenario.naive {
            // Lists again after a fixed second.
            self.followers[n].follow = FollowState::new(FollowConfig::default(), n as u64);
            return self.schedule(Duration::from_secs(1), SimEvent::Act(n));
        }
        self.followers[n].follow.failed(self.now, error);
        self.act(n);
    }

    fn track_propagation(&mut self) {
        if self.now < self.scenario.down
            && let Some((revision, since)) = self.pending_change
            && self.followers.iter().all(|f| f.known >= revision)
        {
            self.max_propagation = self.max_propagation.max(self.now - since);
            self.pending_change = None;
        }
        let is_up = self.now >= self.scenario.up;
        let all = || self.followers.iter().all(|f| f.known >= self.latest);
        if is_up && self.recovered_at.is_none() && all() {
            self.recovered_at = Some(self.now);
        }
    }

    fn stats(&self) -> Stats {
        let second = Duration::from_secs(1);
        let scenario = &self.scenario;
        let peak = |from, to, window| self.peak(from, to, window);
        Stats {
            steady_peak: peak(Duration::from_secs(2), scenario.down, second),
            outage_peak: peak(scenario.down, scenario.up, second),
            recovery_peak: peak(scenario.up, scenario.end, second),
            recovery_burst: peak(scenario.up, scenario.end, second / 10),
            change_ms: self.max_propagation.as_millis(),
            over_rate: self.service.counts().over_rate,
            recovery_ms: self
                .recovered_at
                .map_or(u128::MAX, |at| (at - scenario.up).as_millis()),
        }
    }

    /// Max requests in any window that starts with a request.
    fn peak(&self, from: Duration, to: Duration, window: Duration) -> u64 {
        let first = self.calls.partition_point(|at| *at < from);
        let last = self.calls.partition_point(|at| *at < to);
        let calls = &self.calls[first..last];
        let mut start = 0;
        let mut max_calls = 0;
        for (end, at) in calls.iter().enumerate() {
            while calls[start] + window <= *at {
                start += 1;
            }
            max_calls = max_calls.max(end + 1 - start);
        }
        max_calls as u64
    }
}

fn prefixes() -> [String; 1] {
    [PREFIX.to_owned()]
}

fn no_response() -> Error {
    Error::NoResponse {
        reason: "connection closed".to_owned(),
    }
}

fn denied(retry_delay: Option<Duration>) -> Error {
    Error::Refused {
        status: 503,
        retry_delay,
    }
}
