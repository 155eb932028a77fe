//! Stop flag shared between threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flag that asks threads to stop; it cannot be reset. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Requests the threads to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the threads should stop.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
