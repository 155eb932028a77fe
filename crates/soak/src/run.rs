//! The run of one seed, from starting the processes to the final checks.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sequoiatrail_stand_in::{Clients, ExecutionLog, Fault, Ports, Router, Store, StoreCopy};
use snafu::ResultExt;

use crate::balancers::Balancer;
use crate::clients::{Results, start};
use crate::copies::Copies;
use crate::error::{Error, FileSnafu, Result, SocketSnafu};
use crate::schedule::{Action, Link, Step, has_evacuations, is_planned, steps};
use crate::targets::{EVACUATED_DOMAIN, Targets};
use crate::upgrade::{Build, add_upgrades};

/// Number of client threads.
const CLIENTS: u64 = 12;
/// Interval at which due actions and exited processes are checked.
const TICK: Duration = Duration::from_millis(10);
/// Timeout until all balancers are ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the last fault until all requests must succeed again: target
/// leases, watches on a silent store and pauses have ended by then.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time during which the recovered system must not fail a request.
const STABLE_TIME: Duration = Duration::from_secs(2);

/// Settings of all runs.
pub(crate) struct Settings {
    pub faults_for: Duration,
    pub balancers: usize,
    pub program: PathBuf,
    /// An older build, which is replaced by `program` during the run.
    pub old_program: Option<PathBuf>,
}

impl Settings {
    /// The program of a build.
    fn program_of(&self, build: Build) -> &Path {
        match build {
            Build::Current => &self.program,
            Build::Old => self.old_program.as_ref().unwrap_or(&self.program),
        }
    }
}

/// Results of a run.
pub(crate) struct Report {
    pub steps: Vec<Step>,
    pub planned: bool,
    pub answered: u64,
    pub reset: u64,
    pub timed_out: u64,
    pub violations: Vec<String>,
    pub logs: PathBuf,
}

/// An action that ends a fault.
enum Deferred {
    Continue(usize),
    Link(usize),
    StoreUp,
    Restore(StoreCopy),
    ReplicasInTime,
}

/// State of a run.
pub(crate) struct Run {
    store: Store,
    targets: Targets,
    balancers: Vec<Balancer>,
    copies: Copies,
    deferred: Vec<(Instant, Deferred)>,
    results: Arc<Results>,
    /// Balancers whose exit was caused by the run.
    exit_requested: Vec<bool>,
    pick: usize,
}

impl Run {
    /// Runs a seed.
    pub fn execute(seed: u64, settings: &Settings) -> Result<Report> {
        let logs =
            std::env::temp_dir().join(format!("sequoiatrail-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&logs).context(FileSnafu { file: &logs })?;
        let planned = is_planned(seed);
        let (execution_log, router) = (ExecutionLog::default(), Router::start());
        let clients = Clients::start(router.clone()).context(SocketSnafu)?;
        let results = Arc::new(Results::new(planned, &execution_log));
        let targets = |store: &Store| {
            let two_domains = has_evacuations(seed);
            Targets::start(store, clients.port(), &execution_log, two_domains)
        };
        let mut run = Run::start(settings, &logs, &clients, &results, targets)?;
        for balancer in &run.balancers {
            router.add(balancer.packets, balancer.readiness);
        }
        run.wait_ready(&router, &logs)?;
        let threads = start(CLIENTS, seed, &clients, &results);
        let mut steps = steps(seed, settings.balancers, settings.faults_for);
        if settings.old_program.is_some() {
            add_upgrades(settings.balancers, settings.faults_for, &mut steps);
        }
        run.execute_steps(settings, &steps)?;
        run.recover(&results)?;
        results.stop();
        for thread in threads {
            if thread.join().is_err() {
                results.add_violation("a client thread panicked".into());
            }
        }
        run.final_checks(&results, &clients, &execution_log);
        clients.stop();
        router.stop();
        let violations = results.violations();
        if violations.is_empty() {
            std::fs::remove_dir_all(&logs).context(FileSnafu { file: &logs })?;
        }
        Ok(Report {
            steps,
            planned,
            answered: results.answered.load(Ordering::Relaxed),
            reset: results.reset.load(Ordering::Relaxed),
            timed_out: results.timed_out.load(Ordering::Relaxed),
            violations,
            logs,
        })
    }

    fn start(
        settings: &Settings,
        logs: &Path,
        clients: &Clients,
        results: &Arc<Results>,
        targets: impl Fn(&Store) -> Result<Targets>,
    ) -> Result<Run> {
        let store = Store::start().map_err(|e| Error::Store {
            reason: e.to_string(),
        })?;
        let targets = targets(&store)?;
        let mut ports = Ports::new();
        let numbers = 0..settings.balancers;
        let peers: Vec<_> = numbers.clone().map(|_| ports.allocate()).collect();
        let balancers: Result<Vec<Balancer>> = numbers
            .map(|n| {
                let (store, port) = (store.addr(), clients.port());
                let program = settings.program_of(Build::Old);
                Balancer::start(n, program, logs, store, port, &mut ports, &peers)
            })
            .collect();
        Ok(Run {
            store,
            targets,
            balancers: balancers?,
            copies: Copies::default(),
            deferred: Vec::new(),
            results: Arc::clone(results),
            exit_requested: vec![false; settings.balancers],
            pick: 0,
        })
    }

    fn wait_ready(&self, router: &Router, logs: &Path) -> Result<()> {
        let started = Instant::now();
        let all = self.balancers.len();
        while router.in_rotation() < all {
            if started.elapsed() > START_TIMEOUT {
                let ready = router.in_rotation();
                let logs = logs.to_owned();
                return Err(Error::NeverReady { ready, all, logs });
            }
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn execute_steps(&mut self, settings: &Settings, steps: &[Step]) -> Result<()> {
        let started = Instant::now();
        for step in steps {
            while started.elapsed() < step.at {
                self.tick()?;
            }
            self.apply(settings, step.action)?;
        }
        Ok(())
    }

    fn apply(&mut self, settings: &Settings, action: Action) -> Result<()> {
        let until = |time: Duration| Instant::now() + time;
        self.pick += 7;
        match action {
            Action::Restart(n) => self.terminate(n, Signal::SIGTERM),
            Action::Replace(n, build) => {
                self.balancers[n].program = settings.program_of(build).to_owned();
                self.terminate(n, Signal::SIGTERM);
            }
            Action::Kill(n) => self.terminate(n, Signal::SIGKILL),
            Action::Pause(n, time) => {
                self.balancers[n].signal(Signal::SIGSTOP);
                self.deferred.push((until(time), Deferred::Continue(n)));
            }
            Action::Reload(n) => {
                self.balancers[n].touch()?;
                self.balancers[n].signal(Signal::SIGHUP);
            }
            Action::Store(n, link, time) => {
                self.balancers[n].store_proxy.set(link);
                self.deferred.push((until(time), Deferred::Link(n)));
            }
            Action::StoreDown(lost, time) => {
                let fault = if lost {
                    Fault::DropResponse
                } else {
                    Fault::Refuse(503)
                };
                self.store.set_fault(fault);
                self.deferred.push((until(time), Deferred::StoreUp));
            }
            Action::Compact => self.store.compact(),
            Action::RestoreStore { copy_age, away } => {
                if let Some(copy) = self.copies.of_age(copy_age) {
                    self.store.set_fault(Fault::Refuse(503));
                    self.deferred.push((until(away), Deferred::Restore(copy)));
                }
            }
            Action::ReplaceTarget => self.targets.replace(&self.store, self.pick)?,
            Action::CrashTarget => self.targets.crash(&self.store, self.pick)?,
            Action::RestartTarget => self.targets.restart(&self.store, self.pick)?,
            Action::Manifest => self.targets.put_manifest(&self.store),
            Action::Evacuate(true) => {
                self.store.evacuate(EVACUATED_DOMAIN);
                self.results.set_evacuated(true);
            }
            Action::Evacuate(false) => {
                self.results.set_evacuated(false);
                self.store.take_back(EVACUATED_DOMAIN);
            }
            Action::ForeignEntries(true) => self.targets.put_foreign_entries(&self.store),
            Action::ForeignEntries(false) => self.targets.remove_foreign_entries(&self.store),
            Action::ReplicaLag(lag, time) => {
                self.store.set_replica_lag(lag);
                self.deferred.push((until(time), Deferred::ReplicasInTime));
            }
            Action::RestartInPlace => self.targets.restart_in_place(&self.store, self.pick)?,
            Action::UnreadableEntry => self.targets.put_unreadable_entry(&self.store),
        }
        Ok(())
    }

    fn terminate(&mut self, n: usize, signal: Signal) {
        self.exit_requested[n] = true;
        self.balancers[n].signal(signal);
    }

    /// Performs due actions, restarts exited processes and sleeps for one tick.
    fn tick(&mut self) -> Result<()> {
        self.targets.tick(&self.store)?;
        self.copies.tick(&self.store);
        let now = Instant::now();
        let (due, deferred) = self.deferred.drain(..).partition(|(at, _)| now >= *at);
        self.deferred = deferred;
        let due: Vec<(Instant, Deferred)> = due;
        for (_, action) in due {
            match action {
                Deferred::Continue(n) => self.balancers[n].signal(Signal::SIGCONT),
                Deferred::Link(n) => self.balancers[n].store_proxy.set(Link::Pass),
                Deferred::StoreUp => self.store.set_fault(Fault::None),
                Deferred::Restore(copy) => self.restore(&copy),
                Deferred::ReplicasInTime => self.store.set_replica_lag(Duration::ZERO),
            }
        }
        for (n, balancer) in self.balancers.iter_mut().enumerate() {
            if !balancer.has_exited() {
                continue;
            }
            if !std::mem::take(&mut self.exit_requested[n]) {
                balancer.unexpected_exits += 1;
            }
            balancer.spawn()?;
        }
        thread::sleep(TICK);
        Ok(())
    }

    /// Brings the store back from a copy.
    fn restore(&mut self, copy: &StoreCopy) {
        self.store.restore(copy);
        self.store.set_fault(Fault::None);
        self.copies.clear();
        self.targets.write_again_soon(copy);
    }

    /// Ends all faults, then checks that requests succeed after the recovery time.
    fn recover(&mut self, results: &Results) -> Result<()> {
        for (_, action) in std::mem::take(&mut self.deferred) {
            match action {
                Deferred::Link(n) => self.balancers[n].store_proxy.set(Link::Pass),
                Deferred::Restore(copy) => self.restore(&copy),
                Deferred::Continue(_) | Deferred::StoreUp | Deferred::ReplicasInTime => {}
            }
        }
        self.store.set_fault(Fault::None);
        self.store.set_replica_lag(Duration::ZERO);
        for balancer in &self.balancers {
            balancer.store_proxy.set(Link::Pass);
            balancer.signal(Signal::SIGCONT);
        }
        self.tick_for(RECOVERY_TIME)?;
        let failed = |results: &Results| {
            results.reset.load(Ordering::Relaxed) + results.timed_out.load(Ordering::Relaxed)
        };
        let (before, answered) = (failed(results), results.answered.load(Ordering::Relaxed));
        self.tick_for(STABLE_TIME)?;
        let failures = failed(results) - before;
        if failures > 0 || results.answered.load(Ordering::Relaxed) == answered {
            results.add_violation(format!("{failures} requests failed after the recovery"));
        }
        Ok(())
    }

    fn tick_for(&mut self, time: Duration) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < time {
            self.tick()?;
        }
        Ok(())
    }

    fn final_checks(&self, results: &Results, clients: &Clients, execution_log: &ExecutionLog) {
        results.check_executions();
        let corrupt = u64::from(clients.corrupt_packets()) + execution_log.corrupt_packets();
        if corrupt > 0 {
            results.add_violation(format!("{corrupt} packets were altered in transit"));
        }
        for (n, balancer) in self.balancers.iter().enumerate() {
            if balancer.unexpected_exits > 0 {
                results.add_violation(format!(
                    "balancer {n} exited unexpectedly {} times",
                    balancer.unexpected_exits
                ));
            }
        }
    }
}
