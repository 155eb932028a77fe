//! Flows that went silent while others to the same target work.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::CoreConfig;
use crate::flow_table::{FlowEntry, deciseconds};
use crate::limits::TargetCounts;
use crate::target_view::TargetView;

/// Age of a completed handshake that still shows that a target answers.
const HANDSHAKE_FRESH: Duration = Duration::from_secs(5);

/// Longest time from a caller's first packet to its next one that shows that
/// the target answers now. With [`HANDSHAKE_FRESH`] it stays under the time
/// after which a flow counts as silent, so an outage never looks like silence.
const HANDSHAKE_LONGEST: Duration = Duration::from_secs(3);

/// Longest time from a caller's first packet to its next one that shows that
/// the target answered at once. A caller that repeats the second packet of a
/// target that has died since takes longer.
const ANSWER_AT_ONCE: Duration = Duration::from_millis(500);

/// Notes that a caller went on after its first packet, so the target answered.
pub(crate) fn note_handshake(counts: &TargetCounts, opened_at: u32, now: Duration) {
    let now = deciseconds(now).max(1);
    if now.saturating_sub(opened_at) <= deciseconds(ANSWER_AT_ONCE) {
        counts.answered.fetch_add(1, Relaxed);
    }
    if now.saturating_sub(opened_at) <= deciseconds(HANDSHAKE_LONGEST) {
        counts.handshake.store(now, Relaxed);
    }
}

/// Notes that a caller repeated its first packet, so the target did not answer.
pub(crate) fn note_repeat(counts: &TargetCounts) {
    counts.retransmitted.fetch_add(1, Relaxed);
}

/// Whether a flow that repeats a payload is reset now.
///
/// It must have repeated it often enough here over a long enough time, a new
/// flow to the same target must have been answered just now, and the last
/// reset of a flow of this target must be long enough ago.
pub(crate) fn resets(cfg: &CoreConfig, t: &TargetView, entry: &FlowEntry, now: Duration) -> bool {
    let stuck = deciseconds(now).saturating_sub(entry.last_seen);
    if entry.repeats() < cfg.stall_retransmits || stuck < deciseconds(cfg.stall_timeout) {
        return false;
    }
    let answered = t.counts.handshake.load(Relaxed);
    let fresh = deciseconds(now).saturating_sub(answered) <= deciseconds(HANDSHAKE_FRESH);
    if answered == 0 || !fresh || t.down_since.is_some() {
        return false;
    }
    let last = t.counts.reset.load(Relaxed);
    let now = deciseconds(now).max(1);
    let allowed = last == 0 || now.saturating_sub(last) >= deciseconds(cfg.reset_interval);
    // Of several threads at once only one wins the exchange and resets.
    allowed
        && t.counts
            .reset
            .compare_exchange(last, now, Relaxed, Relaxed)
            .is_ok()
}
