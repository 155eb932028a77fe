//! Following the system's objects on a thread of its own.

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

/// Longest sleep of one step, so that a thread can be stopped.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// What a follower follows.
const PREFIXES: [&str; 3] = [TABLE_KEY, PLANS_PREFIX, BALANCERS_PREFIX];

/// What a follower learned.
///
/// Objects may come again, and after the platform lost its memory older than
/// before: the receiver keeps the newest version that it has.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The table in force.
    Table(Arc<Table>),
    /// The plan of a service in force.
    Plan(Arc<Plan>),
    /// There is no plan of that service any more.
    PlanRemoved(ServiceId),
    /// Status of a balancer.
    Balancer(BalancerStatus),
    /// A balancer's status was removed.
    BalancerRemoved(NodeId),
    /// Everything up to this revision has been told.
    Synced(Revision),
    /// An object that can't be read; it is passed over.
    BadObject {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A call failed; the follower goes on by itself.
    Failed {
        /// Failures in a row.
        failures: u32,
        /// What went wrong.
        reason: String,
    },
}

/// Follows table, plans and balancers by list and watch.
pub struct Follower {
    store: Arc<Store>,
    follow: FollowState,
    /// Keys told and not gone.
    told: HashSet<String>,
    stale: StaleStatusTracker,
}

impl Follower {
    pub(crate) fn new(store: Arc<Store>, cfg: FollowConfig, seed: u64) -> Follower {
        Follower {
            store,
            follow: FollowState::new(cfg, seed),
            told: HashSet::new(),
            stale: StaleStatusTracker::new(cfg.stale_after),
        }
    }

    /// Makes the next call, or sleeps a little, and returns what was learned.
    /// Blocks for at most the wait of a watch and a call.
    pub fn step(&mut self) -> Vec<StoreEvent> {
        let now = self.now();
        let learned = match self.follow.next(now) {
            Step::Wait(wait) => {
                std::thread::sleep(wait.min(MAX_SLEEP));
                return Vec::new();
            }
            Step::List => self.list(),
            Step::Watch(after) => self.watch(after),
        };
        match learned {
            Ok(events) => {
                self.remove_stale();
                events
            }
            Err(e) => self.failed(&e),
        }
    }

    /// Removes the status of balancers that ended without doing so. One that
    /// is written at the same moment has another revision and stays.
    fn remove_stale(&mut self) {
        for (node, revision) in self.stale.look(self.now()) {
            let key = balancer_key(node);
            // Another follower, or this one at a later look, makes good a failure.
            let _ = self
                .store
                .client()
                .delete(&key, Precondition::Revision(revision));
        }
    }

    fn list(&mut self) -> Result<Vec<StoreEvent>> {
        let listing = self.store.client().list(&PREFIXES)?;
        self.follow.listed(self.now(), listing.revision);
        let listed: HashSet<String> = listing.objects.iter().map(|o| o.key.clone()).collect();
        let gone: Vec<String> = self.told.difference(&listed).cloned().collect();
        let mut events: Vec<_> = gone.iter().filter_map(|key| self.gone(key)).collect();
        let objects = listing.objects.into_iter();
        events.extend(objects.filter_map(|object| self.present(object)));
        events.push(StoreEvent::Synced(listing.revision));
        Ok(events)
    }

    fn watch(&mut self, after: Revision) -> Result<Vec<StoreEvent>> {
        let wait = self.follow.config().watch_wait;
        let seen = self.store.client().watch(&PREFIXES, after, wait)?;
        let changes = seen.changes.len();
        self.follow.watched(self.now(), seen.revision, changes);
        let changes = seen.changes.into_iter();
        let mut events: Vec<_> = changes.filter_map(|c| self.changed(c)).collect();
        events.push(StoreEvent::Synced(seen.revision));
        Ok(events)
    }

    fn changed(&mut self, change: ObjectChange) -> Option<StoreEvent> {
        let ObjectChange {
            key,
            revision,
            value,
        } = change;
        match value {
            Some(value) => self.present(Object {
                key,
                revision,
                value,
            }),
            None => self.gone(&key),
        }
    }

    fn present(&mut self, object: Object) -> Option<StoreEvent> {
        let kind = kind_of(&object.key)?;
        self.told.insert(object.key.clone());
        if let KeyKind::Balancer(node) = kind {
            self.stale.written(self.now(), node, object.revision);
        }
        let key = object.key.clone();
        let event = self.read(kind, object).unwrap_or_else(|e| {
            let reason = e.to_string();
            StoreEvent::BadObject { key, reason }
        });
        Some(event)
    }

    fn read(&self, kind: KeyKind, object: Object) -> Result<StoreEvent> {
        Ok(match kind {
            KeyKind::Table => StoreEvent::Table(Arc::new(decode(object)?.value)),
            KeyKind::Balancer(_) => StoreEvent::Balancer(decode(object)?.value),
            KeyKind::Plan(service) => {
                let key = object.key.clone();
                let plan = decode::<Plan>(object)?;
                check_plan(&key, service, &plan.value)?;
                self.store.note_plan(&plan.value, plan.revision);
                StoreEvent::Plan(Arc::new(plan.value))
            }
        })
    }

    fn gone(&mut self, key: &str) -> Option<StoreEvent> {
        self.told.remove(key);
        match kind_of(key)? {
            KeyKind::Table => None,
            KeyKind::Balancer(node) => {
                self.stale.removed(node);
                Some(StoreEvent::BalancerRemoved(node))
            }
            KeyKind::Plan(service) => {
                self.store.forget_plan(service);
                Some(StoreEvent::PlanRemoved(service))
            }
        }
    }

    fn failed(&mut self, error: &Error) -> Vec<StoreEvent> {
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
        Ok(()) if plan.service != service => "it names another service".to_owned(),
        Ok(()) => return Ok(()),
    };
    Err(Error::BadObject {
        key: key.to_owned(),
        reason,
    })
}
