//! I/O-free core of the stand-in: objects, VM list, rate limits, faults and counts.

use std::time::Duration;

use serde_json::Value;

use super::{CallCounts, Faults, Objects, ObjectsError, Outage, StandInConfig};
use crate::{Changes, Listing, Object, Precondition, Revision, TokenBucket, Vm};

/// Request type, which selects the rate limit and the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Object read, list or VM list read.
    Read,
    /// Watch.
    Watch,
    /// Write or delete.
    Write,
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run after a delay.
    Run {
        /// Delay before the request runs.
        delay: Duration,
    },
    /// Refuse: the platform is unavailable.
    Unavailable,
    /// Refuse: the rate limit is exceeded.
    OverRate {
        /// `Retry-After` value.
        retry_delay: Duration,
    },
    /// Neither run nor respond.
    Hang,
}

/// State of a stand-in.
#[derive(Debug)]
pub struct StandInService {
    /// The objects.
    pub objects: Objects,
    /// Injected faults.
    pub faults: Faults,
    counts: CallCounts,
    reads: TokenBucket,
    writes: TokenBucket,
    /// VM lists with the time from which each is served, oldest first.
    vm_lists: Vec<(Duration, Vec<Vm>)>,
    vm_lag: Duration,
}

impl StandInService {
    /// Creates a stand-in without objects.
    pub fn new(cfg: &StandInConfig) -> Self {
        Self {
            objects: Objects::new(cfg.history_limit),
            faults: cfg.faults,
            counts: CallCounts::default(),
            reads: TokenBucket::new(cfg.reads_per_second, cfg.reads_per_second),
            writes: TokenBucket::new(cfg.writes_per_second, cfg.writes_per_second),
            vm_lists: Vec::new(),
            vm_lag: cfg.vm_lag,
        }
    }

    /// Counts a request and decides how to handle it.
    pub fn admit(&mut self, now: Duration, kind: CallKind) -> Admission {
        self.count(kind);
        match self.faults.outage {
            Outage::None => {}
            Outage::Refuse => return Admission::Unavailable,
            Outage::Hang => return Admission::Hang,
        }
        if let Some(seconds) = self.faults.over_rate_s {
            self.counts.over_rate += 1;
            let retry_delay = Duration::from_secs(seconds);
            return Admission::OverRate { retry_delay };
        }
        let bucket = match kind {
            CallKind::Write => &mut self.writes,
            CallKind::Read | CallKind::Watch => &mut self.reads,
        };
        if let Err(retry_delay) = bucket.take(now) {
            self.counts.over_rate += 1;
            return Admission::OverRate { retry_delay };
        }
        let delay = Duration::from_millis(self.faults.delay_ms);
        Admission::Run { delay }
    }

    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// Lists objects.
    pub fn list(&self, prefixes: &[String]) -> Listing {
        self.objects.list(prefixes)
    }

    /// Returns the changes after a revision.
    pub fn changes_after(
        &self,
        prefixes: &[String],
        after: Revision,
    ) -> Result<Changes, ObjectsError> {
        self.objects.changes_after(prefixes, after)
    }

    /// Writes an object, or deletes it if `value` is `None`. Also returns whether
    /// the response is to be lost.
    pub fn write(
        &mut self,
        key: &str,
        value: Option<Value>,
        precondition: Precondition,
    ) -> (Result<Revision, ObjectsError>, bool) {
        let written = match value {
            Some(value) => self.objects.put(key, value, precondition),
            None => self.objects.delete(key, precondition),
        };
        let lost = written.is_ok() && self.faults.lose_answers > 0;
        if lost {
            self.faults.lose_answers -= 1;
        }
        (written, lost)
    }

    /// Sets the VM list, which is served after the lag.
    pub fn set_vms(&mut self, now: Duration, vms: Vec<Vm>) {
        self.vm_lists.push((now + self.vm_lag, vms));
    }

    /// Returns the VM list that is served at `now`.
    pub fn vms(&mut self, now: Duration) -> Vec<Vm> {
        let served = self.vm_lists.iter().rposition(|(from, _)| *from <= now);
        let Some(index) = served else {
            return Vec::new();
        };
        self.vm_lists.drain(..index);
        self.vm_lists[0].1.clone()
    }

    /// Request counts since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn count(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Read => &mut self.counts.reads,
            CallKind::Watch => &mut self.counts.watches,
            CallKind::Write => &mut self.counts.writes,
        };
        *count += 1;
    }
}
