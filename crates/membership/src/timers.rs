//! Periodic work of the failure detector.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IteratorRandom;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{MemberState, MemberUpdate, MembershipKind};

use crate::Output;
use crate::member::Member;
use crate::membership::Membership;
use crate::probe::{Purpose, Stage};
use crate::send::Recipient;

/// Number of pings sent to a candidate before it is dropped.
const CANDIDATE_ATTEMPTS: u8 = 3;
/// Number of seeds pinged at once by a balancer without members.
const ISOLATED_SEED_PROBES: usize = 3;
/// Time after which unanswered pings are dropped, except failure detection probes.
const PING_LIFETIME: Duration = Duration::from_secs(2);
/// Expected number of members that probe a suspect in each interval.
const SUSPECT_PROBERS: usize = 8;

impl Membership {
    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.detect_pause(now);
        self.pings.expire(now.saturating_sub(PING_LIFETIME));
        self.tombstones.expire(now, self.settings.tombstone_ttl);
        if self.local.update.state == MemberState::Left {
            self.announce_leave();
            return std::mem::take(&mut self.out);
        }
        self.retransmit_probes(now);
        self.send_indirect_probes(now);
        self.suspect_unresponsive(now);
        self.expire_suspects(now);
        self.probe_next(now);
        self.probe_suspects(now);
        self.probe_candidates(now);
        self.reconnect(now);
        self.notify(now);
        self.flush_gossip();
        std::mem::take(&mut self.out)
    }

    fn announce_leave(&mut self) {
        if self.leave_announcements_left == 0 {
            return;
        }
        self.leave_announcements_left -= 1;
        let members: Vec<_> = self.members.keys().copied().collect();
        let recipients = members
            .into_iter()
            .sample(&mut self.rng, self.settings.notifications_per_second);
        for node in recipients {
            self.send(Recipient::Node(node), MembershipKind::Leave, 0);
        }
    }

    /// Retransmits unanswered probes early, since a single lost datagram is the usual cause.
    fn retransmit_probes(&mut self, now: Duration) {
        let sent_before = now.saturating_sub(self.settings.retransmit_timeout);
        let overdue = self
            .pings
            .advance_overdue(sent_before, Stage::Direct, Stage::Retransmitted);
        for (sequence, subject) in overdue {
            self.send(Recipient::Node(subject), MembershipKind::Ping, sequence);
        }
    }

    fn send_indirect_probes(&mut self, now: Duration) {
        let sent_before = now.saturating_sub(self.settings.direct_timeout);
        let overdue =
            self.pings
                .advance_overdue(sent_before, Stage::Retransmitted, Stage::Indirect);
        for (sequence, subject) in overdue {
            let others = self.members.values().filter(|m| !m.is_suspect());
            let helpers = others
                .map(Member::node)
                .filter(|n| *n != subject)
                .sample(&mut self.rng, self.settings.indirect_probes);
            for helper in helpers {
                self.send_about(helper, MembershipKind::PingRequest, sequence, subject);
            }
        }
    }

    fn suspect_unresponsive(&mut self, now: Duration) {
        let wait = self.settings.direct_timeout + self.settings.indirect_timeout;
        for node in self.pings.take_failed(now.saturating_sub(wait)) {
            if let Some(incarnation) = self.members.get(&node).map(|m| m.update.incarnation) {
                self.suspect(now, node, incarnation);
            }
        }
    }

    /// Declares suspects dead that did not refute the suspicion in time. A message received
    /// from a suspect restarts the timeout: it is running and will refute the suspicion.
    fn expire_suspects(&mut self, now: Duration) {
        let timeout = self.settings.suspicion_timeout;
        let expired =
            |m: &&Member| m.is_suspect() && now >= m.state_since.max(m.last_received) + timeout;
        let dead: Vec<_> = self.members.values().filter(expired).collect();
        let dead: Vec<_> = dead.into_iter().map(|m| m.update).collect();
        for update in dead {
            let state = MemberState::Dead;
            self.record_departure(now, MemberUpdate { state, ..update });
        }
    }

    fn probe_next(&mut self, now: Duration) {
        if now < self.probe_at {
            return;
        }
        let jitter = self.rng.random_range(0.9..1.1);
        self.probe_at = now + self.settings.probe_interval.mul_f64(jitter);
        self.probe_successor = !self.probe_successor;
        let subject = if self.probe_successor {
            self.successor()
        } else {
            self.least_recently_checked()
        };
        if let Some(node) = subject {
            self.ping(now, Recipient::Node(node), Purpose::Detect(Stage::Direct));
        }
    }

    /// The next unsuspected member in the ring of identifiers. Probing it in every other
    /// interval bounds the time between two probes of a member in a group of any size.
    fn successor(&self) -> Option<NodeId> {
        let me = self.local.update.node;
        let ring = self.members.range(me..).chain(self.members.range(..me));
        let mut alive = ring.filter(|(_, m)| !m.is_suspect());
        alive.next().map(|(node, _)| *node)
    }

    /// The unsuspected member that was neither heard from nor probed for the longest time.
    fn least_recently_checked(&self) -> Option<NodeId> {
        let alive = self.members.values().filter(|m| !m.is_suspect());
        alive.min_by_key(|m| m.last_checked).map(Member::node)
    }

    fn probe_suspects(&mut self, now: Duration) {
        let interval = self.settings.suspect_probe_interval;
        let probability = SUSPECT_PROBERS as f64 / self.members.len().max(1) as f64;
        let due = |m: &&Member| m.is_suspect() && now >= m.suspect_probe_at;
        let due: Vec<_> = self.members.values().filter(due).collect();
        let due: Vec<_> = due.into_iter().map(Member::node).collect();
        for node in due {
            if let Some(member) = self.members.get_mut(&node) {
                member.suspect_probe_at = now + interval;
            }
            if self.rng.random_bool(probability.min(1.0)) {
                self.ping(now, Recipient::Node(node), Purpose::Notify);
            }
        }
    }

    fn probe_candidates(&mut self, now: Duration) {
        let mut due = Vec::new();
        let interval = self.settings.probe_interval;
        self.candidates.retain(|_, candidate| {
            if now < candidate.due {
                return true;
            }
            candidate.due = now + interval;
            candidate.attempts += 1;
            due.push(candidate.address);
            candidate.attempts < CANDIDATE_ATTEMPTS
        });
        for address in due {
            self.ping(now, Recipient::Address(address), Purpose::Notify);
        }
    }

    /// Pings an address at which a balancer may run that is not a member: a seed, or a
    /// balancer declared dead that may be on the other side of a partition.
    fn reconnect(&mut self, now: Duration) {
        if now < self.reconnect_at {
            return;
        }
        let isolated = self.members.is_empty();
        let (interval, max_pings) = if isolated {
            (self.settings.probe_interval, ISOLATED_SEED_PROBES)
        } else {
            (self.settings.reconnect_interval, 1)
        };
        self.reconnect_at = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let dead = self.tombstones.dead().map(|u| u.address.control());
        let mut absent: Vec<_> = self.seeds.iter().copied().chain(dead).collect();
        absent.sort_unstable();
        absent.dedup();
        absent.retain(|a| self.members.values().all(|m| m.address().control() != *a));
        for address in absent.into_iter().sample(&mut self.rng, max_pings) {
            self.ping(now, Recipient::Address(address), Purpose::Notify);
        }
    }

    /// Sends unacknowledged changes of this balancer to members, and requests the versions
    /// of new members.
    fn notify(&mut self, now: Duration) {
        let change = self.local.notify_change;
        let due = |m: &&Member| (m.needs_state || m.acked_change < change) && now >= m.notify_at;
        let due: Vec<_> = self
            .members
            .values()
            .filter(due)
            .map(Member::node)
            .collect();
        let granted = self.notification_limiter.take(now, due.len());
        let due = due.into_iter().sample(&mut self.rng, granted);
        for node in due {
            self.ping(now, Recipient::Node(node), Purpose::Notify);
        }
    }

    fn flush_gossip(&mut self) {
        if !self.gossip.take_urgent() {
            return;
        }
        let members = self.members.values().filter(|m| !m.is_suspect());
        let recipients = members
            .map(Member::node)
            .sample(&mut self.rng, self.settings.fanout);
        for node in recipients {
            self.send(Recipient::Node(node), MembershipKind::Ack, 0);
        }
    }
}
