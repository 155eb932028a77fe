//! Callers that keep flows open through the faults, and what they saw.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_stand_in::{Clients, ExecutionLog, Flow, Outcome};

use crate::targets::{SERVICES, route};

/// Time that a caller gives a request.
const BUDGET: Duration = Duration::from_millis(2_500);
/// Most requests on one flow.
const REQUESTS: u32 = 12;
/// Pauses between requests on a flow, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..250;
/// Most broken promises that are told.
const MAX_TOLD: usize = 20;

/// What all callers saw.
pub(crate) struct Seen {
    next_request: AtomicU64,
    ended: AtomicBool,
    /// Whether flows must survive.
    planned: bool,
    runs: ExecutionLog,
    pub answered: AtomicU64,
    pub reset: AtomicU64,
    pub timed_out: AtomicU64,
    broken: Mutex<Vec<String>>,
}

impl Seen {
    pub fn new(planned: bool, runs: &ExecutionLog) -> Seen {
        Seen {
            next_request: AtomicU64::new(1),
            ended: AtomicBool::new(false),
            planned,
            runs: runs.clone(),
            answered: AtomicU64::new(0),
            reset: AtomicU64::new(0),
            timed_out: AtomicU64::new(0),
            broken: Mutex::default(),
        }
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    pub fn tell(&self, broken: String) {
        let mut told = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        if told.len() < MAX_TOLD {
            told.push(broken);
        }
    }

    pub fn broken(&self) -> Vec<String> {
        let told = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        told.clone()
    }

    /// Checks every request once more: late copies may have run after its answer.
    pub fn check_runs(&self) {
        let kinds = SERVICES.len() as u64;
        let end = self.next_request.load(Ordering::Acquire) + 2 * kinds;
        for request in 1..end {
            let once = request % kinds == 1;
            let runs = self.runs.executions(request);
            if once && runs.len() > 1 {
                self.tell(format!(
                    "request {request} ran {} times: {runs:?}",
                    runs.len()
                ));
            }
            let service = SERVICES[request as usize % SERVICES.len()].0;
            if let Some(run) = runs.iter().find(|run| run.0 != service) {
                self.tell(format!("request {request} to {service} ran at {run:?}"));
            }
        }
    }

    /// A number for a request to a service; it tells the service.
    fn request_id(&self, service: usize) -> u64 {
        let kinds = SERVICES.len() as u64;
        let next = self.next_request.fetch_add(kinds, Ordering::AcqRel);
        next - next % kinds + service as u64 + kinds
    }

    fn note(&self, flow: &Flow, request: u64, service: usize, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(by) => {
                self.answered.fetch_add(1, Ordering::Relaxed);
                if by != SERVICES[service].0 {
                    self.tell(format!("{} was answered by {by}", SERVICES[service].0));
                }
                if self.runs.executions(request).is_empty() {
                    self.tell(format!("request {request} was answered and did not run"));
                }
            }
            Outcome::Reset { by_balancer } => {
                self.reset.fetch_add(1, Ordering::Relaxed);
                if self.planned {
                    let whose = if *by_balancer {
                        "a balancer"
                    } else {
                        "a target"
                    };
                    self.tell(format!("{} was reset by {whose}", flow.id()));
                }
            }
            Outcome::TimedOut => {
                self.timed_out.fetch_add(1, Ordering::Relaxed);
                if self.planned {
                    self.tell(format!("a request on {} timed out", flow.id()));
                }
            }
        }
    }
}

/// Starts callers that go on until they are told to end.
pub(crate) fn start(
    count: u64,
    seed: u64,
    callers: &Clients,
    seen: &Arc<Seen>,
) -> Vec<JoinHandle<()>> {
    let starts = (0..count).map(|number| {
        let (callers, seen) = (callers.clone(), Arc::clone(seen));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
        thread::spawn(move || run(rng, &callers, &seen))
    });
    starts.collect()
}

fn run(mut rng: ChaCha8Rng, callers: &Clients, seen: &Seen) {
    while !seen.ended.load(Ordering::Acquire) {
        let service = rng.random_range(0..SERVICES.len());
        match callers.open(route(service)) {
            Ok(flow) => use_flow(flow, service, &mut rng, seen),
            Err(outcome) if seen.planned => {
                seen.tell(format!("no flow to {}: {outcome:?}", SERVICES[service].0));
            }
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn use_flow(mut flow: Flow, service: usize, rng: &mut ChaCha8Rng, seen: &Seen) {
    for _ in 0..rng.random_range(1..=REQUESTS) {
        let request = seen.request_id(service);
        let outcome = flow.request(request, BUDGET);
        seen.note(&flow, request, service, &outcome);
        let ended = seen.ended.load(Ordering::Acquire);
        if ended || flow.is_closing() || !matches!(outcome, Outcome::Answered(_)) {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}
