//! Follows the load balancer's objects by list and watch.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, ServiceId};

use crate::keys::{BALANCERS_PREFIX, KeyKind, PLANS_PREFIX, TABLE_KEY, balancer_key, kind_of};
use crate::store::decode;
use crate::{
    BalancerStatus, Error, FollowConfig, FollowState, Object, ObjectChange, Precondition, Result,
    Revision, StaleStatusTracker, Step, Store,
};

/// Max sleep per step, which bounds how long stopping the thread takes.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Key prefixes of the followed objects.
const FOLLOWED_PREFIXES: [&str; 3] = [TABLE_KEY, PLANS_PREFIX, BALANCERS_PREFIX];

/// An event reported by a follower.
///
/// Objects may be reported repeatedly and, after the platform lost its data, in an
/// older version: the receiver must keep the newest version.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The current table.
    Table(Arc<Table>),
    /// The current plan of a service.
    Plan(Arc<Plan>),
    /// The plan of a service was removed.
    PlanRemoved(ServiceId),
    /// Current status of a balancer.
    Balancer(BalancerStatus),
    /// The status of a balancer was removed.
    BalancerRemoved(NodeId),
    /// All changes up to this revision have been reported.
    Synced(Revision),
    /// An object could not be decoded and is ignored.
    BadObject {
        /// Key of the object.
        key: String,
        /// Description of the problem.
        reason: String,
    },
    /// A request failed; the follower retries on its own.
    Failed {
        /// Consecutive failures.
        failures: u32,
        /// Error message.
        reason: String,
    },
}

/// Follows table, plans and balancer statuses by list and watch.
pub struct Follower {
    store: Arc<Store>,
    follow: FollowState,
    /// Keys of the objects that were reported and still exist.
    known_keys: HashSet<String>,
    stale: StaleStatusTracker,
}

impl Follower {
    pub(crate) fn new(store: Arc<Store>, cfg: FollowConfig, seed: u64) -> Follower {
        Follower {
            store,
            follow: FollowState::new(cfg, seed),
            known_keys: HashSet::new(),
            stale: StaleStatusTracker::new(cfg.stale_after),
        }
    }

    /// Sends the next request, or sleeps for a short time, and returns the resulting
    /// events. Blocks for at most the watch wait plus the request timeout.
    pub fn step(&mut self) -> Vec<StoreEvent> {
        let now = self.now();
        let result = match self.follow.next(now) {
            Step::Wait(wait) => {
                std::thread::sleep(wait.min(MAX_SLEEP));
                return Vec::new();
            }
            Step::List => self.list(),
            Step::Watch(after) => self.watch(after),
        };
        match result {
            Ok(events) => {
                self.remove_stale();
                events
            }
            Err(e) => self.on_failure(&e),
        }
    }

    /// Removes the status of balancers that did not shut down cleanly. A status
    /// that is written concurrently has a new revision and is kept.
    fn remove_stale(&mut self) {
        for (node, revision) in self.stale.sweep(self.now()) {
            let key = balancer_key(node);
            // On failure, another follower or a later sweep removes it.
            let _ = self
                .store
                .client()
                .delete(&key, Precondition::Revision(revision));
        }
    }

    fn list(&mut self) -> Result<Vec<StoreEvent>> {
        let listing = self.store.client().list(&FOLLOWED_PREFIXES)?;
        self.follow.listed(self.now(), listing.revision);
        let listed: HashSet<String> = listing.objects.iter().map(|o| o.key.clone()).collect();
        let missing: Vec<String> = self.known_keys.difference(&listed).cloned().collect();
        let mut events: Vec<_> = missing
            .iter()
            .filter_map(|key| self.on_removed(key))
            .collect();
        let objects = listing.objects.into_iter();
        events.extend(objects.filter_map(|object| self.on_object(object)));
        events.push(StoreEvent::Synced(listing.revision));
        Ok(events)
    }

    fn watch(&mut self, after: Revision) -> Result<Vec<StoreEvent>> {
        let wait = self.follow.config().watch_wait;
        let update = self.store.client().watch(&FOLLOWED_PREFIXES, after, wait)?;
        let changes = update.changes.len();
        self.follow.watched(self.now(), update.revision, changes);
        let changes = update.changes.into_iter();
        let mut events: Vec<_> = changes.filter_map(|c| self.on_change(c)).collect();
        events.push(StoreEvent::Synced(update.revision));
        Ok(events)
    }

    fn on_change(&mut self, change: ObjectChange) -> Option<StoreEvent> {
        let ObjectChange {
            key,
            revision,
            value,
        } = change;
        match value {
            Some(value) => self.on_object(Object {
                key,
                revision,
                value,
            }),
            None => self.on_removed(&key),
        }
    }

    fn on_object(&mut self, object: Object) -> Option<StoreEvent> {
        let kind = kind_of(&object.key)?;
        self.known_keys.insert(object.key.clone());
        if let KeyKind::Balancer(node) = kind {
            self.stale.written(self.now(), node, object.revision);
        }
        let key = object.key.clone();
        let event = self.decode_event(kind, object).unwrap_or_else(|e| {
            let reason = e.to_string();
            StoreEvent::BadObject { key, reason }
        });
        Some(event)
    }

    fn decode_event(&self, kind: KeyKind, object: Object) -> Result<StoreEvent> {
        Ok(match kind {
            KeyKind::Table => StoreEvent::Table(Arc::new(decode(object)?.value)),
            KeyKind::Balancer(_) => StoreEvent::Balancer(decode(object)?.value),
            KeyKind::Plan(service) => {
                let key = object.key.clone();
                let plan = decode::<Plan>(object)?;
                check_plan(&key, service, &plan.value)?;
                self.store.cache_plan(&plan.value, plan.revision);
                StoreEvent::Plan(Arc::new(plan.value))
            }
        })
    }

    fn on_removed(&mut self, key: &str) -> Option<StoreEvent> {
        self.known_keys.remove(key);
        match kind_of(key)? {
            KeyKind::Table => None,
            KeyKind::Balancer(node) => {
                self.stale.removed(node);
                Some(StoreEvent::BalancerRemoved(node))
            }
            KeyKind::Plan(service) => {
                self.store.evict_plan(service);
                Some(StoreEvent::PlanRemoved(service))
            }
        }
    }

    fn on_failure(&mut self, error: &Error) -> Vec<StoreEvent> {
        self.follow.failed(self.now(), error);
        vec![StoreEvent::Failed {
            failures: self.follow.failures(),
            reason: error.to_string(),
        }]
    }

    fn now(&self) -> Duration {
        self.store.client().config().clock.now()
    }
}

fn check_plan(key: &str, service: ServiceId, plan: &Plan) -> Result<()> {
    let reason = match plan.check() {
        Err(e) => e.to_string(),
        Ok(()) if plan.service != service => "the plan belongs to a different service".to_owned(),
        Ok(()) => return Ok(()),
    };
    Err(Error::BadObject {
        key: key.to_owned(),
        reason,
    })
}
