//! Scaling of the table weight of targets.

use std::collections::BTreeMap;
use std::fmt;

use sequoiatrail_types::TargetId;
use serde::{Deserialize, Serialize};

/// Factor applied to a target's table weight, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Factor(pub u16);

impl Factor {
    /// The target is down and gets no buckets.
    pub const DOWN: Factor = Factor(0);
    /// The full table weight.
    pub const ONE: Factor = Factor(1_000);

    /// The nearest factor to a ratio; negative values and NaN become [`Factor::DOWN`].
    pub fn from_ratio(ratio: f64) -> Factor {
        // A float-to-integer cast saturates and turns NaN into 0.
        Factor((ratio * 1_000.0).round() as u16)
    }

    /// The factor as a ratio of the table weight.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Whether the target is down.
    pub fn is_down(self) -> bool {
        self == Factor::DOWN
    }

    /// Relative difference of two factors: 0 for equal ones, 1 if one is down.
    pub fn distance(self, other: Factor) -> f64 {
        let larger = self.0.max(other.0);
        if larger == 0 {
            return 0.0;
        }
        f64::from(self.0.abs_diff(other.0)) / f64::from(larger)
    }
}

impl Default for Factor {
    fn default() -> Self {
        Factor::ONE
    }
}

impl fmt::Display for Factor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.ratio())
    }
}

/// Factors of targets; a target without an entry has [`Factor::ONE`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Factors(BTreeMap<TargetId, Factor>);

impl Factors {
    /// The factor of a target.
    pub fn get(&self, target: TargetId) -> Factor {
        self.0.get(&target).copied().unwrap_or_default()
    }

    /// Sets the factor of a target. [`Factor::ONE`] is not stored.
    pub fn set(&mut self, target: TargetId, factor: Factor) {
        if factor == Factor::ONE {
            self.0.remove(&target);
            return;
        }
        self.0.insert(target, factor);
    }

    /// Whether every target has its full weight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The targets whose factor is not one, by ID.
    pub fn iter(&self) -> impl Iterator<Item = (TargetId, Factor)> {
        self.0.iter().map(|(t, f)| (*t, *f))
    }
}

impl FromIterator<(TargetId, Factor)> for Factors {
    fn from_iter<I: IntoIterator<Item = (TargetId, Factor)>>(items: I) -> Self {
        let mut factors = Factors::default();
        for (target, factor) in items {
            factors.set(target, factor);
        }
        factors
    }
}
