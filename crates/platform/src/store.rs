//! The system's own objects in the platform, by type.

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

/// Retries a second of all edits of a process.
const RETRIES_PER_SECOND: f64 = 2.0;
/// Most retries at once after a quiet time.
const RETRY_BURST: f64 = 20.0;

/// A value with the revision that it was read at.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// Revision of the object.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The system's own objects; one store is shared by all threads of a process.
pub struct Store {
    client: Arc<Client>,
    /// Newest known revision of each plan; only saves reads.
    plans: Mutex<HashMap<ServiceId, (PlanVersion, Revision)>>,
    /// Retries that edits may still make, over all edits of the process.
    retries: Mutex<TokenBucket>,
}

impl Store {
    /// A store over a client.
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

    /// Reads the plan of a service; `None` before the first.
    pub fn read_plan(&self, service: ServiceId) -> Result<Option<Stored<Plan>>> {
        let stored: Option<Stored<Plan>> = self.read(&plan_key(service))?;
        if let Some(plan) = &stored {
            self.note_plan(&plan.value, plan.revision);
        }
        Ok(stored)
    }

    /// Writes a plan if the one in force still has the version `expect`, the
    /// one that it was computed from; version 0 means that there is none.
    ///
    /// After an error with the verdict "may have run" the plan in force tells
    /// what happened: a plan that was replaced can't come back.
    pub fn write_plan(&self, plan: &Plan, expect: PlanVersion) -> Result<Revision> {
        let key = plan_key(plan.service);
        let condition = self.plan_condition(plan.service, expect)?;
        let written = self.client.put(&key, plan, condition);
        match &written {
            Ok(revision) => self.note_plan(plan, *revision),
            Err(_) => self.forget_plan(plan.service),
        }
        written
    }

    /// Writes this balancer's own status.
    pub fn write_status(&self, status: &BalancerStatus) -> Result<Revision> {
        let key = balancer_key(status.node);
        self.client.put(&key, status, Precondition::Any)
    }

    /// Removes a balancer's status.
    pub fn remove_status(&self, node: NodeId) -> Result<Revision> {
        self.client.delete(&balancer_key(node), Precondition::Any)
    }

    /// The platform's list of VMs, which lags.
    pub fn vms(&self) -> Result<Vec<Vm>> {
        self.client.vms()
    }

    /// Follows table, plans and balancers; for one thread of its own.
    pub fn follow(self: &Arc<Self>, cfg: FollowConfig, seed: u64) -> Follower {
        Follower::new(Arc::clone(self), cfg, seed)
    }

    /// Keeps the revision of a plan that was seen in force.
    pub(crate) fn note_plan(&self, plan: &Plan, revision: Revision) {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.insert(plan.service, (plan.version, revision));
    }

    pub(crate) fn forget_plan(&self, service: ServiceId) {
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.remove(&service);
    }

    /// Takes one retry out of the budget of the process.
    pub(crate) fn may_retry(&self) -> bool {
        let now = self.client.config().clock.now();
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        retries.take(now).is_ok()
    }

    fn plan_condition(&self, service: ServiceId, expect: PlanVersion) -> Result<Precondition> {
        if expect == PlanVersion(0) {
            return Ok(Precondition::Absent);
        }
        let plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        let known = plans.get(&service).copied();
        drop(plans);
        if let Some((version, revision)) = known
            && version == expect
        {
            return Ok(Precondition::Revision(revision));
        }
        let stored = self.read_plan(service)?;
        match stored {
            Some(plan) if plan.value.version == expect => Ok(Precondition::Revision(plan.revision)),
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

/// Reads the value of an object as a type.
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
