//! Followers and a platform in virtual time: calls a second around an outage.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sequoiatrail_platform::{
    Admission, CallKind, Error, FollowConfig, FollowState, Outage, Precondition, Revision,
    StandInConfig, StandInService, Step,
};

/// Time of a call to a platform that answers.
const CALL: Duration = Duration::from_millis(5);
/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PREFIX: &str = "tables/default";

/// What happens when.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub followers: usize,
    pub outage: Outage,
    pub down: Duration,
    pub up: Duration,
    pub end: Duration,
    /// Time between two changes of the table.
    pub change_every: Duration,
    /// Whether the platform forgets its history while it is away.
    pub expire: bool,
    /// Whether followers wait as in production, or a fixed second without jitter.
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

/// What was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Most calls in one second before the outage, the start left out.
    pub steady_peak: u64,
    /// Most calls in one second while the platform is away.
    pub outage_peak: u64,
    /// Most calls in one second after its return.
    pub return_peak: u64,
    /// Most calls in 100 ms after its return.
    pub return_burst: u64,
    /// Calls refused as over the rate.
    pub over_rate: u64,
    /// Most milliseconds from a change to every follower having it, before
    /// the outage.
    pub change_ms: u128,
    /// Milliseconds from the return until every follower has what is in force.
    pub in_force_ms: u128,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Down,
    Up,
    Change,
    Act(usize),
    Answered(usize),
    GivenUp(usize),
    WatchEnds(usize, u64),
}

struct Follower {
    follow: FollowState,
    /// Number of the present call; a late end of an earlier one is passed over.
    call: u64,
    step: Step,
    watching: bool,
    seen: Revision,
}

struct Herd {
    scenario: Scenario,
    service: StandInService,
    followers: Vec<Follower>,
    queue: BinaryHeap<Reverse<(Duration, What)>>,
    now: Duration,
    /// Times of all calls.
    calls: Vec<Duration>,
    wanted: Revision,
    in_force: Option<Duration>,
    /// The oldest change that some follower lacks, and its time.
    lacked: Option<(Revision, Duration)>,
    /// Longest time that a change was lacked by some follower.
    longest_lack: Duration,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Seen {
    let mut herd = Herd::new(scenario);
    while let Some(Reverse((at, what))) = herd.queue.pop() {
        if at > scenario.end {
            break;
        }
        herd.now = at;
        herd.happen(what);
    }
    herd.seen()
}

impl Herd {
    fn new(scenario: Scenario) -> Herd {
        let cfg = FollowConfig::default();
        let follower = |n| Follower {
            follow: FollowState::new(cfg, n as u64),
            call: 0,
            step: Step::List,
            watching: false,
            seen: Revision(0),
        };
        let mut queue = BinaryHeap::new();
        queue.push(Reverse((scenario.down, What::Down)));
        queue.push(Reverse((scenario.up, What::Up)));
        queue.push(Reverse((scenario.change_every, What::Change)));
        for n in 0..scenario.followers {
            queue.push(Reverse((Duration::ZERO, What::Act(n))));
        }
        Herd {
            scenario,
            service: StandInService::new(&StandInConfig::default()),
            followers: (0..scenario.followers).map(follower).collect(),
            queue,
            now: Duration::ZERO,
            calls: Vec::new(),
            wanted: Revision(0),
            in_force: None,
            lacked: None,
            longest_lack: Duration::ZERO,
        }
    }

    fn at(&mut self, after: Duration, what: What) {
        self.queue.push(Reverse((self.now + after, what)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Down => self.down(),
            What::Up => self.up(),
            What::Change => self.change(),
            What::Act(n) => self.act(n),
            What::Answered(n) => self.answered(n),
            What::GivenUp(n) => self.failed(n, &no_answer()),
            What::WatchEnds(n, call) => {
                if self.followers[n].watching && self.followers[n].call == call {
                    self.answered(n);
                }
            }
        }
    }

    /// Every waiting watch fails in the same moment.
    fn down(&mut self) {
        self.service.faults.outage = self.scenario.outage;
        for n in 0..self.followers.len() {
            if self.followers[n].watching {
                self.failed(n, &no_answer());
            }
        }
    }

    /// A change was made just before the platform went away, too late to be seen.
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
            self.lacked = self.lacked.or(Some((self.wanted, self.now)));
            for n in 0..self.followers.len() {
                if self.followers[n].watching {
                    self.followers[n].watching = false;
                    self.at(CALL, What::Answered(n));
                }
            }
        }
        self.at(self.scenario.change_every, What::Change);
    }

    fn write(&mut self) {
        let (written, _) = self
            .service
            .write(PREFIX, Some(1.into()), Precondition::Any);
        self.wanted = written.expect("no condition");
    }

    fn act(&mut self, n: usize) {
        let step = self.followers[n].follow.next(self.now);
        let kind = match step {
            Step::Wait(wait) => return self.at(wait, What::Act(n)),
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
            Admission::Unavailable => return self.failed(n, &refused(None)),
            Admission::OverRate { retry_delay } => {
                return self.failed(n, &refused(Some(retry_delay)));
            }
            Admission::Hang => return self.at(CALL_TIMEOUT, What::GivenUp(n)),
        }
        let Step::Watch(after) = step else {
            return self.at(CALL, What::Answered(n));
        };
        let nothing = |c: &sequoiatrail_platform::Changes| c.changes.is_empty();
        if self
            .service
            .changes_after(&prefixes(), after)
            .is_ok_and(|c| nothing(&c))
        {
            self.followers[n].watching = true;
            let wait = self.followers[n].follow.config().watch_wait;
            return self.at(wait, What::WatchEnds(n, call));
        }
        self.at(CALL, What::Answered(n));
    }

    fn answered(&mut self, n: usize) {
        let now = self.now;
        let follower = &mut self.followers[n];
        follower.watching = false;
        if let Step::Watch(after) = follower.step {
            match self.service.changes_after(&prefixes(), after) {
                Ok(c) => {
                    follower.follow.watched(now, c.revision, c.changes.len());
                    follower.seen = c.revision;
                }
                Err(_) => return self.failed(n, &Error::HistoryExpired),
            }
        } else {
            let revision = self.service.objects.revision();
            follower.follow.listed(now, revision);
            follower.seen = revision;
        }
        self.note_in_force();
        self.act(n);
    }

    fn failed(&mut self, n: usize, error: &Error) {
        self.followers[n].watching = false;
        if self.scenario.naive {
            // A fixed second, then all objects anew.
            self.followers[n].follow = FollowState::new(FollowConfig::default(), n as u64);
            return self.at(Duration::from_secs(1), What::Act(n));
        }
        self.followers[n].follow.failed(self.now, error);
        self.act(n);
    }

    fn note_in_force(&mut self) {
        if self.now < self.scenario.down
            && let Some((revision, since)) = self.lacked
            && self.followers.iter().all(|f| f.seen >= revision)
        {
            self.longest_lack = self.longest_lack.max(self.now - since);
            self.lacked = None;
        }
        let returned = self.now >= self.scenario.up;
        let all = || self.followers.iter().all(|f| f.seen >= self.wanted);
        if returned && self.in_force.is_none() && all() {
            self.in_force = Some(self.now);
        }
    }

    fn seen(&self) -> Seen {
        let second = Duration::from_secs(1);
        let scenario = &self.scenario;
        let peak = |from, to, window| self.peak(from, to, window);
        Seen {
            steady_peak: peak(Duration::from_secs(2), scenario.down, second),
            outage_peak: peak(scenario.down, scenario.up, second),
            return_peak: peak(scenario.up, scenario.end, second),
            return_burst: peak(scenario.up, scenario.end, second / 10),
            change_ms: self.longest_lack.as_millis(),
            over_rate: self.service.counts().over_rate,
            in_force_ms: self
                .in_force
                .map_or(u128::MAX, |at| (at - scenario.up).as_millis()),
        }
    }

    /// Most calls in any window that begins with a call.
    fn peak(&self, from: Duration, to: Duration, window: Duration) -> u64 {
        let first = self.calls.partition_point(|at| *at < from);
        let last = self.calls.partition_point(|at| *at < to);
        let calls = &self.calls[first..last];
        let mut start = 0;
        let mut most = 0;
        for (end, at) in calls.iter().enumerate() {
            while calls[start] + window <= *at {
                start += 1;
            }
            most = most.max(end + 1 - start);
        }
        most as u64
    }
}

fn prefixes() -> [String; 1] {
    [PREFIX.to_owned()]
}

fn no_answer() -> Error {
    Error::NoResponse {
        reason: "cut".to_owned(),
    }
}

fn refused(retry_delay: Option<Duration>) -> Error {
    Error::Refused {
        status: 503,
        retry_delay,
    }
}
