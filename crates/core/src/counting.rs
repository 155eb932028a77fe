//! Counts open and new flows, and collects passive health evidence.

use std::sync::atomic::Ordering::Relaxed;

use sequoiatrail_types::{FlowHash, TargetId};
use sequoiatrail_wire::message::Share;

use crate::FlowEvidence;
use crate::core::Core;
use crate::flow_table::{FlowEntry, flag};
use crate::owners::OwnersChange;
use crate::shares::Shares;
use crate::view::View;

impl Core {
    /// Counts of this balancer for each target. The counters of new flows are
    /// reset by each call.
    pub fn take_shares(&self) -> Vec<Share> {
        let view = self.view.load();
        let mut shares: Vec<_> = view
            .targets
            .values()
            .map(|t| Share {
                target: t.id,
                open_flows: t.counts.owned.load(Relaxed),
                new_flows: t.counts.take_placed(),
            })
            .collect();
        shares.sort_unstable_by_key(|s| s.target);
        shares
    }

    /// The counts that changed since the last call, to be sent to all other
    /// balancers. Call it about once a second, in place of
    /// [`Core::take_shares`].
    pub fn take_changed_shares(&self) -> Vec<Share> {
        let shares = self.take_shares();
        self.control().shares.filter_changed(shares)
    }

    /// Evidence from new flows since the last call, for targets that have any.
    pub fn take_flow_evidence(&self) -> Vec<FlowEvidence> {
        let view = self.view.load();
        let evidence = view.targets.values().map(|t| FlowEvidence {
            target: t.id,
            answered: t.counts.answered.swap(0, Relaxed),
            retransmitted: t.counts.retransmitted.swap(0, Relaxed),
        });
        let any = evidence.filter(|e| e.answered > 0 || e.retransmitted > 0);
        any.collect()
    }

    /// Open flows owned by this balancer, for each target.
    pub fn open_flows(&self) -> Vec<(TargetId, u32)> {
        let view = self.view.load();
        let targets = view.targets.values();
        targets
            .map(|t| (t.id, t.counts.owned.load(Relaxed)))
            .collect()
    }

    /// Counts an entry as an open flow owned here, if it is not counted yet.
    pub(crate) fn count_entry(&self, view: &View, entry: &mut FlowEntry) {
        if let Some(t) = view.targets.get(&entry.target)
            && !entry.has(flag::OWNED)
        {
            entry.set(flag::OWNED, true);
            t.counts.owned.fetch_add(1, Relaxed);
        }
    }

    /// Stops counting an entry.
    pub(crate) fn uncount_entry(&self, view: &View, entry: &mut FlowEntry) {
        self.uncount(view, entry);
        entry.set(flag::OWNED, false);
    }

    /// Stops counting an entry that is being removed.
    pub(crate) fn uncount(&self, view: &View, entry: &FlowEntry) {
        if let Some(t) = view.targets.get(&entry.target)
            && entry.has(flag::OWNED)
        {
            t.counts.count_ended();
        }
    }

    /// Recounts all entries after a change of the owners or the targets.
    ///
    /// A balancer that joined has seen no packets yet. The packet counts, which
    /// show when a flow is known everywhere, are therefore reset.
    pub(crate) fn recount(&self, shares: &Shares, change: OwnersChange) {
        let view = self.view.load();
        for t in view.targets.values() {
            t.counts.owned.store(0, Relaxed);
        }
        for index in 0..self.flows.shards() {
            let mut shard = self.flows.shard_at(index);
            for (flow, entry) in shard.iter_mut() {
                let was_owned = entry.has(flag::OWNED);
                entry.set(flag::OWNED, false);
                if change == OwnersChange::Joined {
                    entry.reset_packets();
                }
                if self.must_report_to_owner(&view, *flow) {
                    entry.set(flag::OWNER_KNOWS, false);
                }
                if self.is_owner(&view, *flow) && !entry.has(flag::CLOSED) {
                    match was_owned {
                        true => self.count_entry(&view, entry),
                        false => entry.set(flag::UNCOUNTED, true),
                    }
                }
            }
        }
        self.update_peer_flows(shares);
    }

    /// Whether this balancer has to report a flow to its owner: it was the
    /// owner itself until the last change, or a previous owner is gone.
    fn must_report_to_owner(&self, view: &View, flow: FlowHash) -> bool {
        let [before, _] = view.owners.previous_owner_and_backup(flow);
        let was_owner = before == Some(self.node) && !self.is_owner(view, flow);
        was_owner || view.owners.lost_past_owner(flow)
    }

    pub(crate) fn update_peer_flows(&self, shares: &Shares) {
        let view = self.view.load();
        let sums = shares.sums();
        for t in view.targets.values() {
            let sum = sums.get(&t.id).copied().unwrap_or(0);
            t.counts.peer_flows.store(sum, Relaxed);
        }
    }
}
