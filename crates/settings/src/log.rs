//! Log settings.

use sequoiatrail_events::{Format, LogLevel};

use crate::check;
use crate::key::section;

section! {
    /// Log, written to standard output.
    "log" LogSettings {
        /// Minimum level of the events to write; `debug` includes per-flow decisions, `trace` also per-packet decisions.
        level: LogLevel = LogLevel::Info, "error, warning, info, debug, trace", check::parsed::<LogLevel>;
        /// Format of the log lines.
        format: Format = Format::Human, "human, json", check::parsed::<Format>;
        /// Sampling interval of decisions on new flows: one in this many is written; 0 for none.
        sample_placements: u64 = 1, "0 to 1000000000", check::number::<0, 1_000_000_000>;
        /// Sampling interval of decisions on packets of known flows: one in this many is written; 0 for none.
        sample_packets: u64 = 1_000, "0 to 1000000000", check::number::<0, 1_000_000_000>;
        /// Capacity of the log queue, in lines; further lines are dropped.
        queue_lines: usize = 4_096, "16 to 1000000", check::number::<16, 1_000_000>;
    }
}
