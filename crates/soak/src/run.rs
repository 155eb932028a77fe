//! One seed, from the start of its processes to the last check.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sequoiatrail_stand_in::{Clients, ExecutionLog, Fault, Ports, Router, Store};
use snafu::ResultExt;

use crate::balancers::Balancer;
use crate::callers::{Seen, start};
use crate::error::{Error, FileSnafu, Result, SocketSnafu};
use crate::schedule::{Action, Link, Step, is_planned, steps};
use crate::targets::Targets;

/// Callers of a run.
const CALLERS: u64 = 12;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);
/// Longest time until all balancers are ready at the start.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Time after the last fault in which everything has to work again: leases of
/// targets, watches of a silent store and pauses have ended by then.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time in which the recovered system is watched.
const CALM: Duration = Duration::from_secs(2);

/// Settings of all runs.
pub(crate) struct Settings {
    pub faults_for: Duration,
    pub balancers: usize,
    pub program: PathBuf,
}

/// What a run found.
pub(crate) struct Report {
    pub steps: Vec<Step>,
    pub planned: bool,
    pub answered: u64,
    pub reset: u64,
    pub timed_out: u64,
    pub broken: Vec<String>,
    pub logs: PathBuf,
}

/// A thing to do at a time.
enum Later {
    Continue(usize),
    Link(usize),
    StoreUp,
}

/// The state of a run.
pub(crate) struct Run {
    store: Store,
    targets: Targets,
    balancers: Vec<Balancer>,
    later: Vec<(Instant, Later)>,
    /// Balancers that were told to end and are started again.
    told_to_end: Vec<bool>,
    picks: usize,
}

impl Run {
    /// Plays a seed.
    pub fn play(seed: u64, settings: &Settings) -> Result<Report> {
        let logs =
            std::env::temp_dir().join(format!("sequoiatrail-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&logs).context(FileSnafu { file: &logs })?;
        let planned = is_planned(seed);
        let (runs, router) = (ExecutionLog::default(), Router::start());
        let callers = Clients::start(router.clone()).context(SocketSnafu)?;
        let mut run = Run::start(settings, &logs, &callers, &runs)?;
        for balancer in &run.balancers {
            router.add(balancer.packets, balancer.readiness);
        }
        run.wait_ready(&router, &logs)?;
        let seen = Arc::new(Seen::new(planned, &runs));
        let threads = start(CALLERS, seed, &callers, &seen);
        let steps = steps(seed, settings.balancers, settings.faults_for);
        run.take(&steps)?;
        run.recover(&seen)?;
        seen.end();
        for thread in threads {
            if thread.join().is_err() {
                seen.tell("a caller panicked".into());
            }
        }
        run.last_checks(&seen, &callers, &runs);
        callers.stop();
        router.stop();
        let broken = seen.broken();
        if broken.is_empty() {
            std::fs::remove_dir_all(&logs).context(FileSnafu { file: &logs })?;
        }
        Ok(Report {
            steps,
            planned,
            answered: seen.answered.load(Ordering::Relaxed),
            reset: seen.reset.load(Ordering::Relaxed),
            timed_out: seen.timed_out.load(Ordering::Relaxed),
            broken,
            logs,
        })
    }

    fn start(
        settings: &Settings,
        logs: &std::path::Path,
        callers: &Clients,
        runs: &ExecutionLog,
    ) -> Result<Run> {
        let store = Store::start().map_err(|e| Error::Store {
            reason: e.to_string(),
        })?;
        let targets = Targets::start(&store, callers.port(), runs)?;
        let mut ports = Ports::new();
        let numbers = 0..settings.balancers;
        let peers: Vec<_> = numbers.clone().map(|_| ports.allocate()).collect();
        let balancers: Result<Vec<Balancer>> = numbers
            .map(|n| {
                let (store, port) = (store.addr(), callers.port());
                Balancer::start(n, &settings.program, logs, store, port, &mut ports, &peers)
            })
            .collect();
        Ok(Run {
            store,
            targets,
            balancers: balancers?,
            later: Vec::new(),
            told_to_end: vec![false; settings.balancers],
            picks: 0,
        })
    }

    fn wait_ready(&self, router: &Router, logs: &std::path::Path) -> Result<()> {
        let begun = Instant::now();
        let all = self.balancers.len();
        while router.in_rotation() < all {
            if begun.elapsed() > START_LIMIT {
                let ready = router.in_rotation();
                let logs = logs.to_owned();
                return Err(Error::NeverReady { ready, all, logs });
            }
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn take(&mut self, steps: &[Step]) -> Result<()> {
        let begun = Instant::now();
        for step in steps {
            while begun.elapsed() < step.at {
                self.tick()?;
            }
            self.act(step.action)?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Result<()> {
        let until = |time: Duration| Instant::now() + time;
        self.picks += 7;
        match action {
            Action::Restart(n) => self.end(n, Signal::SIGTERM),
            Action::Kill(n) => self.end(n, Signal::SIGKILL),
            Action::Pause(n, time) => {
                self.balancers[n].signal(Signal::SIGSTOP);
                self.later.push((until(time), Later::Continue(n)));
            }
            Action::HangUp(n) => {
                self.balancers[n].touch()?;
                self.balancers[n].signal(Signal::SIGHUP);
            }
            Action::Store(n, link, time) => {
                self.balancers[n].link.set(link);
                self.later.push((until(time), Later::Link(n)));
            }
            Action::StoreDown(lost, time) => {
                let fault = if lost {
                    Fault::DropResponse
                } else {
                    Fault::Refuse(503)
                };
                self.store.set_fault(fault);
                self.later.push((until(time), Later::StoreUp));
            }
            Action::Compact => self.store.compact(),
            Action::Replace => self.targets.replace(&self.store, self.picks)?,
            Action::Crash => self.targets.crash(&self.store, self.picks)?,
            Action::Reborn => self.targets.reborn(&self.store, self.picks)?,
            Action::Manifest => self.targets.put_manifest(&self.store),
            Action::StrangeEntry => self.targets.put_strange_entry(&self.store),
        }
        Ok(())
    }

    fn end(&mut self, n: usize, signal: Signal) {
        self.told_to_end[n] = true;
        self.balancers[n].signal(signal);
    }

    /// Does what is due, starts ended processes again, and waits a little.
    fn tick(&mut self) -> Result<()> {
        self.targets.tick(&self.store);
        let now = Instant::now();
        let (due, later) = self.later.drain(..).partition(|(at, _)| now >= *at);
        self.later = later;
        let due: Vec<(Instant, Later)> = due;
        for (_, what) in due {
            match what {
                Later::Continue(n) => self.balancers[n].signal(Signal::SIGCONT),
                Later::Link(n) => self.balancers[n].link.set(Link::Pass),
                Later::StoreUp => self.store.set_fault(Fault::None),
            }
        }
        for (n, balancer) in self.balancers.iter_mut().enumerate() {
            if !balancer.has_ended() {
                continue;
            }
            if !std::mem::take(&mut self.told_to_end[n]) {
                balancer.own_ends += 1;
            }
            balancer.spawn()?;
        }
        thread::sleep(TICK);
        Ok(())
    }

    /// Ends all faults, and checks after a while that everything is served.
    fn recover(&mut self, seen: &Seen) -> Result<()> {
        for (_, what) in self.later.iter_mut() {
            // Faults that are still on end now.
            if let Later::Link(n) = what {
                self.balancers[*n].link.set(Link::Pass);
            }
        }
        self.store.set_fault(Fault::None);
        for balancer in &self.balancers {
            balancer.link.set(Link::Pass);
            balancer.signal(Signal::SIGCONT);
        }
        self.later.clear();
        self.tick_for(RECOVERY)?;
        let failed = |seen: &Seen| {
            seen.reset.load(Ordering::Relaxed) + seen.timed_out.load(Ordering::Relaxed)
        };
        let (before, answered) = (failed(seen), seen.answered.load(Ordering::Relaxed));
        self.tick_for(CALM)?;
        let broken = failed(seen) - before;
        if broken > 0 || seen.answered.load(Ordering::Relaxed) == answered {
            seen.tell(format!("{broken} requests failed after the recovery"));
        }
        Ok(())
    }

    fn tick_for(&mut self, time: Duration) -> Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < time {
            self.tick()?;
        }
        Ok(())
    }

    fn last_checks(&self, seen: &Seen, callers: &Clients, runs: &ExecutionLog) {
        seen.check_runs();
        let forged = u64::from(callers.corrupt_packets()) + runs.corrupt_packets();
        if forged > 0 {
            seen.tell(format!("{forged} packets were altered on their way"));
        }
        for (n, balancer) in self.balancers.iter().enumerate() {
            if balancer.own_ends > 0 {
                seen.tell(format!(
                    "balancer {n} ended by itself {} times",
                    balancer.own_ends
                ));
            }
        }
    }
}
