//! Failure domains that the operator has evacuated.
//!
//! Load patterns: a failure domain is emptied under full load, so that its share moves
//! to the others; and it is taken back while its targets may be cold, when all local
//! clients would prefer them at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashSet;
use sequoiatrail_types::StoreRevision;

use crate::targets::list_revision::{AcceptedList, ListRevision};

/// Time for which an evacuation stays in force that a restored store lacks. The operator
/// writes it again if it was only lost there.
const RESTORE_GRACE: Duration = Duration::from_secs(4);
/// Time over which flows return to a domain that was taken back. Its targets count as
/// cold for as long, since they may say so only with their next heartbeats.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Change of one evacuation in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is to be evacuated; if not, it is taken back.
    pub evacuated: bool,
}

/// Effect of a change on an evacuation; logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EvacuationEvent {
    /// The targets of the domain get no new flows from now on.
    InForce,
    /// A restored store lacks the evacuation; it stays in force for a grace period.
    Unconfirmed,
    /// The domain was taken back.
    TakenBack,
}

/// The evacuated failure domains and the store revision of that list.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EvacuationList {
    /// Store revision of the list.
    #[serde(flatten)]
    pub revision: StoreRevision,
    /// The evacuated failure domains.
    pub domains: Vec<Arc<str>>,
}

/// Whether the store has an evacuation that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It has.
    Listed,
    /// It was restored from a copy that lacks it.
    Unconfirmed {
        /// When this balancer learned of the restore.
        since: Duration,
    },
}

/// The evacuations in force, and the domains that were taken back lately.
#[derive(Debug, Default)]
pub struct Evacuations {
    revision: ListRevision,
    in_force: BTreeMap<Arc<str>, Presence>,
    /// When domains were taken back; kept for [`RETURN_TIME`].
    taken_back: BTreeMap<Arc<str>, Duration>,
}

impl Evacuations {
    /// Store revision up to which changes were applied.
    pub fn revision(&self) -> StoreRevision {
        self.revision.current()
    }

    /// Whether a complete list was ever applied.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_loaded()
    }

    /// The evacuated failure domains, in order of their names.
    pub fn domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.in_force.keys()
    }

    /// The evacuated failure domains as a set.
    pub(crate) fn domain_set(&self) -> HashSet<Arc<str>> {
        self.in_force.keys().map(Arc::clone).collect()
    }

    /// Whether new flows avoid the targets of a failure domain.
    pub fn contains(&self, domain: &str) -> bool {
        self.in_force.contains_key(domain)
    }

    /// How far a domain still is from a full return after it was taken back: 1 at that
    /// moment, then falling to 0.
    pub fn returning(&self, now: Duration, domain: &str) -> f64 {
        let Some(since) = self.taken_back.get(domain) else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(*since);
        let left = RETURN_TIME.saturating_sub(elapsed);
        left.as_secs_f64() / RETURN_TIME.as_secs_f64()
    }

    /// The list for another balancer; `None` if none was ever loaded.
    pub fn list(&self) -> Option<EvacuationList> {
        self.is_loaded().then(|| EvacuationList {
            revision: self.revision(),
            domains: self.domains().map(Arc::clone).collect(),
        })
    }

    pub(crate) fn forget_revision(&mut self) {
        self.revision.forget();
    }

    /// Applies a complete list from the store; an older one changes nothing.
    pub(crate) fn replace(
        &mut self,
        now: Duration,
        list: EvacuationList,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        match self.revision.accept_list(list.revision) {
            Some(accepted) => self.replace_accepted(now, accepted, list.domains),
            None => Vec::new(),
        }
    }

    /// Applies another balancer's list if it is newer, or the first one here.
    pub(crate) fn replace_from_peer(
        &mut self,
        now: Duration,
        list: EvacuationList,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        match self.revision.accept_peer_list(list.revision) {
            Some(accepted) => self.replace_accepted(now, accepted, list.domains),
            None => Vec::new(),
        }
    }

    /// Applies changes up to `revision`; older ones change nothing.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        changes: Vec<EvacuationChange>,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        if !self.revision.accept_changes(revision) {
            return Vec::new();
        }
        let mut events = Vec::new();
        for change in changes {
            let event = match change.evacuated {
                true => self.put_in_force(&change.domain),
                false => self.take_back(now, &change.domain),
            };
            events.extend(event.map(|event| (change.domain, event)));
        }
        events
    }

    /// Takes back evacuations that a restored store still lacks after a grace period.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(Arc<str>, EvacuationEvent)> {
        self.taken_back
            .retain(|_, since| now < *since + RETURN_TIME);
        let expired = self.in_force.iter().filter(|(_, presence)| match presence {
            Presence::Listed => false,
            Presence::Unconfirmed { since } => now >= *since + RESTORE_GRACE,
        });
        let expired: Vec<Arc<str>> = expired.map(|(domain, _)| Arc::clone(domain)).collect();
        let mut events = Vec::new();
        for domain in expired {
            let event = self.take_back(now, &domain);
            events.extend(event.map(|event| (domain, event)));
        }
        events
    }

    fn replace_accepted(
        &mut self,
        now: Duration,
        accepted: AcceptedList,
        domains: Vec<Arc<str>>,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        let missing = self.in_force.keys().filter(|d| !domains.contains(d));
        let missing: Vec<Arc<str>> = missing.map(Arc::clone).collect();
        let mut events = Vec::new();
        for domain in missing {
            let event = self.remove_missing(now, accepted, &domain);
            events.extend(event.map(|event| (domain, event)));
        }
        for domain in domains {
            let event = self.put_in_force(&domain);
            events.extend(event.map(|event| (domain, event)));
        }
        events
    }

    fn remove_missing(
        &mut self,
        now: Duration,
        accepted: AcceptedList,
        domain: &Arc<str>,
    ) -> Option<EvacuationEvent> {
        match self.in_force.get(domain)? {
            _ if accepted.restored => {
                let presence = Presence::Unconfirmed { since: now };
                self.in_force.insert(Arc::clone(domain), presence);
                Some(EvacuationEvent::Unconfirmed)
            }
            // Its grace period has not passed yet.
            Presence::Unconfirmed { .. } => None,
            Presence::Listed => self.take_back(now, domain),
        }
    }

    fn put_in_force(&mut self, domain: &Arc<str>) -> Option<EvacuationEvent> {
        self.taken_back.remove(domain);
        let before = self.in_force.insert(Arc::clone(domain), Presence::Listed);
        before.is_none().then_some(EvacuationEvent::InForce)
    }

    fn take_back(&mut self, now: Duration, domain: &Arc<str>) -> Option<EvacuationEvent> {
        self.in_force.remove(domain)?;
        self.taken_back.insert(Arc::clone(domain), now);
        Some(EvacuationEvent::TakenBack)
    }
}
