//! Table rows as written by operators.

use std::net::{IpAddr, SocketAddr};

use sequoiatrail_types::{FailureDomain, Protocol};
use serde::{Deserialize, Serialize};

/// Desired state of a target.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum TargetState {
    /// Accepts new flows.
    #[default]
    Started,
    /// Accepts no new flows; open flows continue until they end or the drain limit expires.
    Stopped,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Service name.
    pub service: String,
    /// Team that owns the service.
    #[serde(default)]
    pub owner: String,
    /// Address that clients connect to.
    pub address: IpAddr,
    /// Port that clients connect to; 1 to 65,535.
    pub port: u16,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Target name, unique in its service.
    pub target: String,
    /// Tunnel endpoint of the target, which encapsulated packets are sent to.
    pub target_address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Share of new flows relative to the other targets; 0 to 1,000.
    pub weight: u32,
    /// Max open flows over all balancers; 0 means no limit.
    #[serde(default)]
    pub max_connections: u32,
    /// Requests that the target processes concurrently; 0 means unknown.
    #[serde(default)]
    pub slots: u32,
    /// Desired state.
    #[serde(default)]
    pub state: TargetState,
    /// Seconds that open flows may continue after a stop; 0 means no limit.
    #[serde(default)]
    pub drain_limit_s: u32,
}

impl Row {
    /// Whether new flows may be assigned to the target.
    pub fn takes_new_flows(&self) -> bool {
        self.state == TargetState::Started && self.weight > 0
    }
}
