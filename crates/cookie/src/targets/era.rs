//! Detection that the store was restored from a copy.

use sequoiatrail_types::Era;

/// How a response of the store relates to earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraOrder {
    /// It is of the current era, or the first one.
    Current,
    /// The store was restored since the last response.
    Restored {
        /// The era before.
        previous: Era,
    },
    /// It is from before the store was restored and must be discarded.
    Outdated {
        /// The current era.
        current: Era,
    },
}

/// The latest era seen in responses of the store.
#[derive(Debug, Default)]
pub struct EraTracker {
    /// `None` before the first response.
    current: Option<Era>,
}

impl EraTracker {
    /// Records the era of a response.
    pub fn observe(&mut self, era: Era) -> EraOrder {
        let current = *self.current.get_or_insert(era);
        if era < current {
            return EraOrder::Outdated { current };
        }
        self.current = Some(era);
        match era == current {
            true => EraOrder::Current,
            false => EraOrder::Restored { previous: current },
        }
    }

    /// The current era; `None` before the first response.
    pub fn current(&self) -> Option<Era> {
        self.current
    }

    /// Starts over, as another store is used.
    pub fn forget(&mut self) {
        self.current = None;
    }
}
