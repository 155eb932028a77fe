//! Counts of open and new flows, and what new flows show of targets.

use std::sync::atomic::Ordering::Relaxed;

use sequoiatrail_types::{FlowHash, TargetId};
use sequoiatrail_wire::message::Share;

use crate::FlowEvidence;
use crate::core::Core;
use crate::flow_table::{FlowEntry, flag};
use crate::owners::Change;
use crate::shares::Shares;
use crate::view::View;

impl Core {
    /// What this balancer counts of each target. New flows are counted from
    /// one call to the next.
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

    /// The counts that changed since the last call, to be told to all other
    /// balancers; to be called about once a second, in place of
    /// [`Core::take_shares`].
    pub fn take_changed_shares(&self) -> Vec<Share> {
        let shares = self.take_shares();
        self.control().shares.untold(shares)
    }

    /// What new flows showed of each target since the last call, for targets of
    /// which they showed anything.
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

    /// Open flows of each target that this balancer owns.
    pub fn open_flows(&self) -> Vec<(TargetId, u32)> {
        let view = self.view.load();
        let targets = view.targets.values();
        targets
            .map(|t| (t.id, t.counts.owned.load(Relaxed)))
            .collect()
    }

    /// Counts an entry as an open flow that this balancer owns.
    pub(crate) fn count_entry(&self, view: &View, entry: &mut FlowEntry) {
        if let Some(t) = view.targets.get(&entry.target)
            && !entry.has(flag::OWNED)
        {
            entry.set(flag::OWNED, true);
            t.counts.owned.fetch_add(1, Relaxed);
        }
    }

    /// Counts an entry no more.
    pub(crate) fn uncount_entry(&self, view: &View, entry: &mut FlowEntry) {
        self.uncount(view, entry);
        entry.set(flag::OWNED, false);
    }

    /// Counts an entry that is given up no more.
    pub(crate) fn uncount(&self, view: &View, entry: &FlowEntry) {
        if let Some(t) = view.targets.get(&entry.target)
            && entry.has(flag::OWNED)
        {
            t.counts.end();
        }
    }

    /// Counts all entries anew after the owners or the targets have changed.
    ///
    /// A balancer that joined has seen no packet so far: the packets that show
    /// that a flow is known everywhere are counted from here on.
    pub(crate) fn recount(&self, shares: &Shares, change: Change) {
        let view = self.view.load();
        for t in view.targets.values() {
            t.counts.owned.store(0, Relaxed);
        }
        for index in 0..self.flows.shards() {
            let mut shard = self.flows.shard_at(index);
            for (flow, entry) in shard.iter_mut() {
                let was_owned = entry.has(flag::OWNED);
                entry.set(flag::OWNED, false);
                if change == Change::Joined {
                    entry.forget_packets();
                }
                if self.reports_from_now_on(&view, *flow) {
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
        self.add_up(shares);
    }

    /// Whether this balancer has to report a flow to its owner, because it
    /// has just stopped being the owner itself or an earlier owner is gone.
    fn reports_from_now_on(&self, view: &View, flow: FlowHash) -> bool {
        let [before, _] = view.owners.previous_pair(flow);
        let was_owner = before == Some(self.node) && !self.is_owner(view, flow);
        was_owner || view.owners.lost_an_owner(flow)
    }

    pub(crate) fn add_up(&self, shares: &Shares) {
        let view = self.view.load();
        let sums = shares.sums();
        for t in view.targets.values() {
            let sum = sums.get(&t.id).copied().unwrap_or(0);
            t.counts.others.store(sum, Relaxed);
        }
    }
}
