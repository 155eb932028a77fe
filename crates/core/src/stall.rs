//! Detects stalled flows: the client retransmits while new flows to the same
//! target are answered.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::CoreConfig;
use crate::flow_table::{FlowEntry, deciseconds};
use crate::target_counts::TargetCounts;
use crate::target_view::TargetView;

/// Maximum age of a completed handshake that shows that a target answers.
const HANDSHAKE_MAX_AGE: Duration = Duration::from_secs(5);

/// Maximum time from the first to the second packet of a client for the
/// handshake to show that the target answers now. Together with
/// [`HANDSHAKE_MAX_AGE`] it is below the default stall timeout, so that flows are
/// not reset during an outage of the target.
const MAX_HANDSHAKE_TIME: Duration = Duration::from_secs(3);

/// Maximum time from the first to the second packet of a client for a prompt
/// answer. A client that retransmits its second packet because the target has
/// failed in between takes longer.
const MAX_PROMPT_ANSWER: Duration = Duration::from_millis(500);

/// Records that a client continued after its first packet, so the target
/// answered.
pub(crate) fn record_handshake(counts: &TargetCounts, opened_at: u32, now: Duration) {
    let now = deciseconds(now).max(1);
    if now.saturating_sub(opened_at) <= deciseconds(MAX_PROMPT_ANSWER) {
        counts.answered.fetch_add(1, Relaxed);
    }
    if now.saturating_sub(opened_at) <= deciseconds(MAX_HANDSHAKE_TIME) {
        counts.last_handshake.store(now, Relaxed);
    }
}

/// Records that a client retransmitted its first packet, so the target did not
/// answer.
pub(crate) fn record_retransmit(counts: &TargetCounts) {
    counts.retransmitted.fetch_add(1, Relaxed);
}

/// Whether a flow that retransmits a payload is reset now.
///
/// The flow must have retransmitted it often enough and for long enough at this
/// balancer, a new flow to the same target must have been answered recently,
/// and the reset interval of the target must have passed.
pub(crate) fn should_reset(
    cfg: &CoreConfig,
    t: &TargetView,
    entry: &FlowEntry,
    now: Duration,
) -> bool {
    let stalled_for = deciseconds(now).saturating_sub(entry.last_seen);
    if entry.retransmits() < cfg.stall_retransmits || stalled_for < deciseconds(cfg.stall_timeout) {
        return false;
    }
    let answered = t.counts.last_handshake.load(Relaxed);
    let fresh = deciseconds(now).saturating_sub(answered) <= deciseconds(HANDSHAKE_MAX_AGE);
    if answered == 0 || !fresh || t.down_since.is_some() {
        return false;
    }
    let last = t.counts.last_reset.load(Relaxed);
    let now = deciseconds(now).max(1);
    let allowed = last == 0 || now.saturating_sub(last) >= deciseconds(cfg.reset_interval);
    // If several threads get here at once, only one wins the exchange and
    // resets.
    allowed
        && t.counts
            .last_reset
            .compare_exchange(last, now, Relaxed, Relaxed)
            .is_ok()
}
