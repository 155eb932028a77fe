//! Replacement of an older build by the one under test, forth and halfway back.
//!
//! Balancers are replaced one after the other while the other steps of the seed go on.

use std::time::Duration;

use crate::schedule::{Action, Step};

/// The builds of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Build {
    /// The build under test.
    Current,
    /// The older one.
    Old,
}

/// Adds the replacement of all balancers, of half of them by the older build again, and
/// of these at last. Each phase takes a third of the run.
pub(crate) fn add_upgrades(balancers: usize, duration: Duration, steps: &mut Vec<Step>) {
    let phase = duration / 3;
    let mut add = |start: Duration, count: usize, build: Build| {
        for n in 0..count {
            let at = start + phase * n as u32 / count as u32;
            let action = Action::Replace(n, build);
            steps.push(Step { at, action });
        }
    };
    let half = balancers.div_ceil(2);
    add(Duration::ZERO, balancers, Build::Current);
    add(phase, half, Build::Old);
    add(phase * 2, half, Build::Current);
    steps.sort_by_key(|step| step.at);
}
