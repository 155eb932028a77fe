//! Clients that keep flows open during the faults, and their results.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_cookie::TargetId;
use sequoiatrail_stand_in::{Clients, ExecutionLog, Flow, Outcome};

use crate::targets::{SERVICES, is_evacuated, route};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Max requests on one flow.
const MAX_REQUESTS_PER_FLOW: u32 = 12;
/// Pauses between requests on a flow, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..250;
/// Time until an evacuation is in force on all balancers while the store is well.
const EVACUATION_BOUND: Duration = Duration::from_secs(3);
/// Max violations in a report.
const MAX_VIOLATIONS: usize = 20;

/// Results of all clients.
pub(crate) struct Results {
    next_request: AtomicU64,
    stopped: AtomicBool,
    /// Whether the run has planned changes only, so that every flow must survive.
    planned: bool,
    /// When the evacuation in force was requested.
    evacuated_since: Mutex<Option<Instant>>,
    execution_log: ExecutionLog,
    pub answered: AtomicU64,
    pub reset: AtomicU64,
    pub timed_out: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl Results {
    pub fn new(planned: bool, execution_log: &ExecutionLog) -> Results {
        Results {
            next_request: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
            planned,
            evacuated_since: Mutex::default(),
            execution_log: execution_log.clone(),
            answered: AtomicU64::new(0),
            reset: AtomicU64::new(0),
            timed_out: AtomicU64::new(0),
            violations: Mutex::default(),
        }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Records that the operator has requested an evacuation, or is about to take the
    /// failure domain back.
    pub fn set_evacuated(&self, evacuated: bool) {
        *self.lock_evacuated() = evacuated.then(Instant::now);
    }

    fn lock_evacuated(&self) -> MutexGuard<'_, Option<Instant>> {
        let since = self.evacuated_since.lock();
        since.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no new flow may reach the failure domain that is evacuated.
    fn is_evacuation_due(&self) -> bool {
        let since = *self.lock_evacuated();
        since.is_some_and(|since| since.elapsed() > EVACUATION_BOUND)
    }

    pub fn add_violation(&self, violation: String) {
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if violations.len() < MAX_VIOLATIONS {
            violations.push(violation);
        }
    }

    pub fn violations(&self) -> Vec<String> {
        let violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.clone()
    }

    /// Checks all requests again at the end: a delayed retransmit may have run
    /// after the request was answered.
    pub fn check_executions(&self) {
        let services = SERVICES.len() as u64;
        let end = self.next_request.load(Ordering::Acquire) + 2 * services;
        for request in 1..end {
            let non_idempotent = request % services == 1;
            let executions = self.execution_log.executions(request);
            if non_idempotent && executions.len() > 1 {
                self.add_violation(format!(
                    "request {request} ran {} times: {executions:?}",
                    executions.len()
                ));
            }
            let service = SERVICES[request as usize % SERVICES.len()].0;
            if let Some(run) = executions.iter().find(|run| run.0 != service) {
                self.add_violation(format!("request {request} to {service} ran at {run:?}"));
            }
        }
    }

    /// Returns a unique request number whose remainder is the index of the service.
    fn request_id(&self, service: usize) -> u64 {
        let services = SERVICES.len() as u64;
        let next = self.next_request.fetch_add(services, Ordering::AcqRel);
        next - next % services + service as u64 + services
    }

    fn record(&self, flow: &Flow, request: u64, service: usize, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(by) => {
                self.answered.fetch_add(1, Ordering::Relaxed);
                if by != SERVICES[service].0 {
                    self.add_violation(format!("{} was answered by {by}", SERVICES[service].0));
                }
                if self.execution_log.executions(request).is_empty() {
                    self.add_violation(format!("request {request} was answered and did not run"));
                }
            }
            Outcome::Reset { by_balancer } => {
                self.reset.fetch_add(1, Ordering::Relaxed);
                if self.planned {
                    let sender = if *by_balancer {
                        "a balancer"
                    } else {
                        "a target"
                    };
                    self.add_violation(format!("{} was reset by {sender}", flow.id()));
                }
            }
            Outcome::TimedOut => {
                self.timed_out.fetch_add(1, Ordering::Relaxed);
                if self.planned {
                    self.add_violation(format!("a request on {} timed out", flow.id()));
                }
            }
        }
    }
}

/// Starts client threads that run until [`Results::stop`].
pub(crate) fn start(
    count: u64,
    seed: u64,
    clients: &Clients,
    results: &Arc<Results>,
) -> Vec<JoinHandle<()>> {
    let threads = (0..count).map(|number| {
        let (clients, results) = (clients.clone(), Arc::clone(results));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
        thread::spawn(move || run(rng, &clients, &results))
    });
    threads.collect()
}

fn run(mut rng: ChaCha8Rng, clients: &Clients, results: &Results) {
    while !results.stopped.load(Ordering::Acquire) {
        let evacuated = results.planned && results.is_evacuation_due();
        let service = rng.random_range(0..SERVICES.len());
        match clients.open(route(service)) {
            Ok(flow) => {
                // The identities of these targets are their cookies.
                let target = TargetId(u64::from(flow.cookie()));
                if evacuated && results.is_evacuation_due() && is_evacuated(target) {
                    results.add_violation(format!("{} went to an evacuated target", flow.id()));
                }
                run_flow(flow, service, &mut rng, results);
            }
            Err(outcome) if results.planned => {
                results.add_violation(format!("no flow to {}: {outcome:?}", SERVICES[service].0));
            }
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn run_flow(mut flow: Flow, service: usize, rng: &mut ChaCha8Rng, results: &Results) {
    for _ in 0..rng.random_range(1..=MAX_REQUESTS_PER_FLOW) {
        let request = results.request_id(service);
        let outcome = flow.request(request, REQUEST_TIMEOUT);
        results.record(&flow, request, service, &outcome);
        let stopped = results.stopped.load(Ordering::Acquire);
        if stopped || flow.is_closing() || !matches!(outcome, Outcome::Answered(_)) {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}
