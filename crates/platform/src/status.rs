//! Status that a balancer publishes through the platform.

use std::net::SocketAddr;

use sequoiatrail_types::{FailureDomain, NodeId, TableVersion};
use serde::{Deserialize, Serialize};

/// Status of a balancer process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerStatus {
    /// ID of the process.
    pub node: NodeId,
    /// Name of its VM.
    pub vm: String,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Address on which it listens for peers.
    pub peer_address: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of the table it uses.
    pub table: TableVersion,
}
