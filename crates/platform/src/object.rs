//! Platform objects and the JSON bodies of the HTTP API.

use std::fmt;
use std::net::SocketAddr;

use sequoiatrail_types::FailureDomain;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Max size of an object value, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Store-wide revision at which an object was last written.
///
/// Every write increments it, so an object that is deleted and written again
/// never gets an earlier revision back.
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
    /// Key: path segments separated by `/`.
    pub key: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// The value.
    pub value: Value,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Write unconditionally.
    Any,
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// The new value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// Response to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// Revision of the write.
    pub revision: Revision,
}

/// Response to a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the listing; a watch can continue from it.
    pub revision: Revision,
    /// Objects in key order.
    pub objects: Vec<Object>,
}

/// Response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision from which the next watch continues.
    pub revision: Revision,
    /// Latest change of each key, in revision order; empty if the wait timed out.
    pub changes: Vec<ObjectChange>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Error message.
    pub error: String,
    /// `false` if the request is guaranteed not to have run.
    pub ran: bool,
    /// Current revision of the object, if the precondition failed.
    #[serde(default)]
    pub current: Option<Revision>,
}

/// State of a VM as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// Assumed to be running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A VM in the platform's VM list, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Address on which the balancer on this VM listens for peers.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Last known state.
    pub state: VmState,
}
