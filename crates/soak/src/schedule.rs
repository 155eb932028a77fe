//! Generates the steps of a run from its seed.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::upgrade::Build;

/// Range of the pause between two steps, in milliseconds; faults can last longer,
/// so they overlap.
const PAUSE_MS: std::ops::Range<u64> = 50..900;
/// Range of the duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 100..3_500;
/// Range of the pause between two restores of the store, in milliseconds. A second
/// one may come before everything is written again.
const RESTORE_PAUSE_MS: std::ops::Range<u64> = 700..7_000;
/// Range of the age of the copy that the store is restored from, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 100..5_000;
/// Range of the time for which the store is away before it is restored, in
/// milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..1_200;
/// First seed with restores of the store. Lower ones keep the schedules that the
/// failed seeds in `seeds.txt` were found with.
const FIRST_SEED_WITH_RESTORES: u64 = 3_000;
/// First seed with evacuations of a failure domain, in place of restores.
const FIRST_SEED_WITH_EVACUATIONS: u64 = 4_000;
/// Range of the time for which a failure domain is evacuated and of the pause after it,
/// in milliseconds.
const EVACUATION_MS: std::ops::Range<u64> = 500..6_000;

/// First seed with entries of other writers, late replicas and targets that start again
/// under their identity, beside evacuations.
const FIRST_SEED_WITH_ODD_STORE: u64 = 6_000;
/// Range of the pause between two of these, in milliseconds.
const ODD_PAUSE_MS: std::ops::Range<u64> = 200..1_800;
/// Range of the lag of replicas, in milliseconds.
const LAG_MS: std::ops::Range<u64> = 500..5_000;

/// Behaviour of the connection between a balancer and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Link {
    /// Forwards bytes.
    Pass,
    /// Forwards bytes with a delay.
    Delay,
    /// Refuses and closes connections.
    Cut,
    /// Keeps connections open and forwards nothing.
    Silent,
    /// Forwards requests but no responses.
    OneWay,
}

/// A fault or a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// A balancer is stopped gracefully and started again.
    Restart(usize),
    /// A balancer is stopped gracefully and started again with this build.
    Replace(usize, Build),
    /// A balancer is killed and started again.
    Kill(usize),
    /// A balancer is paused with SIGSTOP.
    Pause(usize, Duration),
    /// A balancer's settings file is touched and the balancer gets a SIGHUP.
    Reload(usize),
    /// A balancer's connection to the store is delayed or interrupted.
    Store(usize, Link, Duration),
    /// The store loses responses (`true`) or refuses requests (`false`).
    StoreDown(bool, Duration),
    /// The store compacts its history.
    Compact,
    /// The store is away for a time and comes back from a copy of this age.
    RestoreStore {
        /// Age of the copy when the store goes away.
        copy_age: Duration,
        /// How long it is away.
        away: Duration,
    },
    /// A target joins, and another one of its service drains and leaves.
    ReplaceTarget,
    /// A target crashes for good, and another one joins.
    CrashTarget,
    /// A target crashes and restarts at once with the same id.
    RestartTarget,
    /// The manifest gets a new version.
    Manifest,
    /// An unreadable target entry appears in the store.
    UnreadableEntry,
    /// A failure domain is evacuated (`true`) or taken back (`false`).
    Evacuate(bool),
    /// Entries of another writer appear (`true`), some of them with the digits of targets,
    /// or go (`false`).
    ForeignEntries(bool),
    /// The store's replicas are behind by the first time for the second one.
    ReplicaLag(Duration, Duration),
    /// A target drains and starts again with the same id.
    RestartInPlace,
}

/// An action and its time since the start of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub at: Duration,
    pub action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s {:?}", self.at.as_secs_f64(), self.action)
    }
}

/// Whether a seed has planned changes only, which every flow must survive.
pub(crate) fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Whether a seed has evacuations, with targets in two failure domains.
pub(crate) fn has_evacuations(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_EVACUATIONS
}

/// Generates the steps of a seed.
pub(crate) fn steps(seed: u64, balancers: usize, duration: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
        if at >= duration {
            match has_evacuations(seed) {
                true => add_evacuations(seed, duration, &mut steps),
                false => add_restores(seed, duration, &mut steps),
            }
            if seed >= FIRST_SEED_WITH_ODD_STORE {
                add_odd_store(seed, duration, &mut steps);
            }
            return steps;
        }
        let action = match is_planned(seed) {
            true => planned_action(&mut rng, balancers),
            false => random_action(&mut rng, balancers),
        };
        steps.push(Step { at, action });
    }
}

/// Adds restores of the store, which overlap with the other steps of the seed.
fn add_restores(seed: u64, duration: Duration, steps: &mut Vec<Step>) {
    if seed < FIRST_SEED_WITH_RESTORES {
        return;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut random = |range| Duration::from_millis(rng.random_range(range));
    let mut at = random(RESTORE_PAUSE_MS);
    while at < duration {
        let action = Action::RestoreStore {
            copy_age: random(COPY_AGE_MS),
            away: random(AWAY_MS),
        };
        steps.push(Step { at, action });
        at += random(RESTORE_PAUSE_MS);
    }
    steps.sort_by_key(|step| step.at);
}

/// Adds evacuations, which overlap with the other steps of the seed. The domain is
/// taken back at the end.
fn add_evacuations(seed: u64, duration: Duration, steps: &mut Vec<Step>) {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut at = Duration::ZERO;
    let mut evacuated = false;
    loop {
        at += Duration::from_millis(rng.random_range(EVACUATION_MS));
        if at >= duration && !evacuated {
            break;
        }
        evacuated = !evacuated;
        let action = Action::Evacuate(evacuated);
        let at = at.min(duration);
        steps.push(Step { at, action });
    }
    steps.sort_by_key(|step| step.at);
}

/// Adds what other writers, replicas and targets do to the store, which overlaps with the
/// other steps of the seed.
fn add_odd_store(seed: u64, duration: Duration, steps: &mut Vec<Step>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_millis(rng.random_range(ODD_PAUSE_MS));
    while at < duration {
        let time = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
        let action = match rng.random_range(0..6) {
            0..2 => Action::ForeignEntries(true),
            2 => Action::ForeignEntries(false),
            3 => Action::ReplicaLag(time(&mut rng, LAG_MS), time(&mut rng, FAULT_MS)),
            _ => Action::RestartInPlace,
        };
        steps.push(Step { at, action });
        at += time(&mut rng, ODD_PAUSE_MS);
    }
    steps.sort_by_key(|step| step.at);
}

fn planned_action(rng: &mut ChaCha8Rng, balancers: usize) -> Action {
    let balancer = rng.random_range(0..balancers);
    match rng.random_range(0..8) {
        0..2 => Action::Restart(balancer),
        2 => Action::Reload(balancer),
        3 => Action::UnreadableEntry,
        4..6 => Action::Manifest,
        _ => Action::ReplaceTarget,
    }
}

fn random_action(rng: &mut ChaCha8Rng, balancers: usize) -> Action {
    let balancer = rng.random_range(0..balancers);
    let duration = Duration::from_millis(rng.random_range(FAULT_MS));
    let links = [Link::Delay, Link::Cut, Link::Silent, Link::OneWay];
    let link = links[rng.random_range(0..links.len())];
    match rng.random_range(0..16) {
        0..2 => Action::Kill(balancer),
        2..4 => Action::Pause(balancer, duration),
        4..7 => Action::Store(balancer, link, duration),
        7 => Action::StoreDown(rng.random(), duration),
        8 => Action::Compact,
        9..11 => Action::CrashTarget,
        11..13 => Action::RestartTarget,
        _ => planned_action(rng, balancers),
    }
}
