//! The steps that a seed means.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shortest and longest pause between two steps, in milliseconds; faults last
/// longer, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 50..900;
/// How long a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 100..3_500;

/// What a link between a balancer and the store does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Link {
    /// Passes bytes on.
    Pass,
    /// Passes them on later.
    Delay,
    /// Refuses and closes connections.
    Cut,
    /// Keeps connections open and passes nothing on.
    Silent,
    /// Passes requests on, and no answers.
    OneWay,
}

/// What goes wrong, or is done by plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// A balancer is stopped gracefully and started again.
    Restart(usize),
    /// A balancer is killed and started again.
    Kill(usize),
    /// A balancer stands still.
    Pause(usize, Duration),
    /// A balancer's settings file is touched and it is told so.
    HangUp(usize),
    /// A balancer's link to the store changes.
    Store(usize, Link, Duration),
    /// The store itself refuses, or loses answers.
    StoreDown(bool, Duration),
    /// The store forgets its history.
    Compact,
    /// A target drains and leaves; another one joins first.
    Replace,
    /// A target dies; another one joins later.
    Crash,
    /// A target dies and starts again under its identity.
    Reborn,
    /// A manifest with another version.
    Manifest,
    /// An entry that can't be read appears.
    StrangeEntry,
}

/// An action and when it is taken, from the start of the faults.
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

/// Whether a seed has planned work only; flows must then survive.
pub(crate) fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// The steps of a seed.
pub(crate) fn steps(seed: u64, balancers: usize, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
        if at >= length {
            return steps;
        }
        let action = match is_planned(seed) {
            true => planned(&mut rng, balancers),
            false => any(&mut rng, balancers),
        };
        steps.push(Step { at, action });
    }
}

fn planned(rng: &mut ChaCha8Rng, balancers: usize) -> Action {
    let balancer = rng.random_range(0..balancers);
    match rng.random_range(0..8) {
        0..2 => Action::Restart(balancer),
        2 => Action::HangUp(balancer),
        3 => Action::StrangeEntry,
        4..6 => Action::Manifest,
        _ => Action::Replace,
    }
}

fn any(rng: &mut ChaCha8Rng, balancers: usize) -> Action {
    let balancer = rng.random_range(0..balancers);
    let lasts = Duration::from_millis(rng.random_range(FAULT_MS));
    let links = [Link::Delay, Link::Cut, Link::Silent, Link::OneWay];
    let link = links[rng.random_range(0..links.len())];
    match rng.random_range(0..16) {
        0..2 => Action::Kill(balancer),
        2..4 => Action::Pause(balancer, lasts),
        4..7 => Action::Store(balancer, link, lasts),
        7 => Action::StoreDown(rng.random(), lasts),
        8 => Action::Compact,
        9..11 => Action::Crash,
        11..13 => Action::Reborn,
        _ => planned(rng, balancers),
    }
}
