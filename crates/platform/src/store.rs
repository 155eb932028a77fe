//! Typed access to the load balancer's objects in the platform.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId};
use serde::de::DeserializeOwned;

use crate::keys::{TABLE_KEY, balancer_key, plan_key};
use crate::{
    BalancerStatus, Client, Error, FollowConfig, Follower, Object, Precondition, Result, Revision,
    TokenBucket, Vm,
};

/// Rate limit of retries per second, over all edits of a process.
const RETRIES_PER_SECOND: f64 = 2.0;
/// Burst size of the retry limit, in retries.
const RETRY_BURST: f64 = 20.0;

/// A value with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// Revision of the object.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The load balancer's objects; shared by all threads of a process.
pub struct Store {
    client: Arc<Client>,
    /// Cached version and revision of each plan, which saves a read before a write.
    plans: Mutex<HashMap<ServiceId, (PlanVersion, Revision)>>,
    /// Retry budget, over all edits of the process.
    retries: Mutex<TokenBucket>,
}

impl Store {
    /// Creates a store on top of a client.
    pub fn new(client: Arc<Client>) -> Store {
        Store {
            client,
            plans: Mutex::default(),
            retries: TokenBucket::new(RETRIES_PER_SECOND, RETRY_BURST).into(),
        }
    }

    /// The client.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }

    /// Reads the table; `None` before the first edit.
    pub fn read_table(&self) -> Result<Option<Stored<Table>>> {
        self.read(TABLE_KEY)
    }

    /// Reads the plan of a service; `None` if there is none yet.
    pub fn read_plan(&self, service: ServiceId) -> Result<Option<Stored<Plan>>> {
        let stored: Option<Stored<Plan>> = self.read(&plan_key(service))?;
        if let Some(plan) = &stored {
            self.cache_plan(&plan.value, plan.revision);
        }
        Ok(stored)
    }

    /// Writes a plan if the current one still has version `base`, from which the
    /// new one was computed; version 0 means that no plan exists.
    ///
    /// After an error with the verdict "may have run", the current plan shows
    /// whether the write ran: a replaced plan never becomes current again.
    pub fn write_plan(&self, plan: &Plan, base: PlanVersion) -> Result<Revision> {
        let key = plan_key(plan.service);
        let precondition = self.plan_precondition(plan.service, base)?;
        let written = self.client.put(&key, plan, precondition);
        match &written {
            Ok(revision) => self.cache_plan(plan, *revision),
            Err(_) => self.evict_plan(plan.service),
        }
        written
    }

    /// Writes the status of this balancer.
    pub fn write_status(&self, status: &BalancerStatus) -> Result<Revision> {
        let key = balancer_key(status.node);
        self.client.put(&key, status, Precondition::Any)
    }

    /// Removes the status of a balancer.
    pub fn remove_status(&self, node: NodeId) -> Result<Revision> {
        self.client.delete(&balancer_key(node), Precondition::Any)
    }

    /// Reads the platform's VM list, which lags behind reality.
    pub fn vms(&self) -> Result<Vec<Vm>> {
        self.client.vms()
    }

    /// Creates a follower of table, plans and balancer statuses, to be run on its
    /// own thread.
    pub fn follow(self: &Arc<Self>, cfg: FollowConfig, seed: u64) -> Follower {
        Follower::new(Arc::clone(self), cfg, seed)
    }

    /// Caches the revision of the current plan.
    pub(crate) fn cache_plan(&self, plan: &Plan, revision: Revision) {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.insert(plan.service, (plan.version, revision));
    }

    pub(crate) fn evict_plan(&self, service: ServiceId) {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.remove(&service);
    }

    /// Takes one retry from the budget of the process; `false` if it is exhausted.
    pub(crate) fn take_retry(&self) -> bool {
        let now = self.client.config().clock.now();
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        retries.take(now).is_ok()
    }

    fn plan_precondition(&self, service: ServiceId, base: PlanVersion) -> Result<Precondition> {
        if base == PlanVersion(0) {
            return Ok(Precondition::Absent);
        }
        let plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = plans.get(&service).copied();
        drop(plans);
        if let Some((version, revision)) = cached
            && version == base
        {
            return Ok(Precondition::Revision(revision));
        }
        let stored = self.read_plan(service)?;
        match stored {
            Some(plan) if plan.value.version == base => Ok(Precondition::Revision(plan.revision)),
            other => Err(Error::Conflict {
                current: other.map(|plan| plan.revision),
            }),
        }
    }

    fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Stored<T>>> {
        let Some(object) = self.client.get(key)? else {
            return Ok(None);
        };
        decode(object).map(Some)
    }
}

/// Decodes the value of an object.
pub(crate) fn decode<T: DeserializeOwned>(object: Object) -> Result<Stored<T>> {
    let value = serde_json::from_value(object.value).map_err(|e| Error::BadObject {
        key: object.key,
        reason: e.to_string(),
    })?;
    Ok(Stored {
        revision: object.revision,
        value,
    })
}
