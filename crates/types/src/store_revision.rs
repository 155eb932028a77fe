//! Revisions of a store that may be restored from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a store's current history. It rises by one whenever the store is
/// restored from a copy; a store that reports none is in era 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of a store, comparable across restores: numbers go back and are given
/// out again when the store is restored, so the era is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    // The order of the fields is the order of comparison.
    /// Era in which the number was given out.
    #[serde(default)]
    pub era: Era,
    /// Number within the era; increases with each change.
    #[serde(rename = "revision")]
    pub number: u64,
}

impl StoreRevision {
    /// A revision of an era.
    pub fn new(era: Era, number: u64) -> StoreRevision {
        StoreRevision { era, number }
    }
}

impl From<u64> for StoreRevision {
    /// A revision of a store that reports no era.
    fn from(number: u64) -> StoreRevision {
        StoreRevision::new(Era::default(), number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
