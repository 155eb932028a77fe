//! Graceful shutdown settings.

use crate::check;
use crate::key::section;

section! {
    /// Graceful shutdown on SIGTERM.
    "stop" StopSettings {
        /// Time without packets after which the fabric is assumed to have stopped sending, in milliseconds.
        quiet_ms: u64 = 3_000, "0 to 600000", check::number::<0, 600_000>;
        /// Maximum time to keep forwarding packets, in milliseconds.
        limit_ms: u64 = 30_000, "0 to 3600000", check::number::<0, 3_600_000>;
    }
}
