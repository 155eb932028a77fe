//! Objects of the platform and the bodies of its HTTP API.

use std::fmt;
use std::net::SocketAddr;

use sequoiatrail_types::FailureDomain;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Largest value that the platform holds, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Revision of the whole store at which an object was last written.
///
/// Each write raises it, so an object that is deleted and written again never
/// has a revision that it had before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, as path segments with `/` between them.
    pub key: String,
    /// Revision that wrote the value.
    pub revision: Revision,
    /// The value.
    pub value: Value,
}

/// Condition of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Write in any case.
    Any,
    /// There is no such object.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// The new value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// Answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// Revision of the write.
    pub revision: Revision,
}

/// Answer to a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision that the listing shows; a watch may go on after it.
    pub revision: Revision,
    /// The objects, by key.
    pub objects: Vec<Object>,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to watch after next.
    pub revision: Revision,
    /// The newest change of each key, by revision; empty if none came in time.
    pub changes: Vec<ObjectChange>,
}

/// Body of an answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
    /// `false` if the request surely did not run.
    pub ran: bool,
    /// Revision in force, when a condition did not hold.
    #[serde(default)]
    pub current: Option<Revision>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// Believed to be running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// One VM of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Address that the balancer on it listens on for peers.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomain,
    /// What the platform last knew of it.
    pub state: VmState,
}
