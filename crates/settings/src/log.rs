//! Settings of the log.

use sequoiatrail_events::{Format, LogLevel};

use crate::check;
use crate::key::section;

section! {
    /// The log, written to standard output.
    "log" LogSettings {
        /// Level from which events are written; `debug` tells decisions on flows, `trace` on packets too.
        level: LogLevel = LogLevel::Info, "error, warning, info, debug, trace", check::parsed::<LogLevel>;
        /// Form of the lines.
        format: Format = Format::Human, "human, json", check::parsed::<Format>;
        /// One of so many decisions on new flows is written; 0 for none.
        sample_placements: u64 = 1, "0 to 1000000000", check::number::<0, 1_000_000_000>;
        /// One of so many decisions on packets of known flows is written; 0 for none.
        sample_packets: u64 = 1_000, "0 to 1000000000", check::number::<0, 1_000_000_000>;
        /// Lines that wait for the writer before further ones are dropped.
        queue_lines: usize = 4_096, "16 to 1000000", check::number::<16, 1_000_000>;
    }
}
