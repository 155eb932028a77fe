//! Balancers, fake targets and a traffic generator in one process, on loopback.
//!
//! [`Cluster`] runs real daemons against an in-memory platform. A
//! [`TrafficGenerator`] sprays the packets of many flows over them, as the network
//! fabric would. The targets' tunnel endpoints record each packet in a [`Ledger`].

mod cluster;
mod error;
mod ledger;
mod report;
mod scenario;
mod traffic;
mod tunnel_endpoint;

pub use cluster::{Cluster, ClusterConfig};
pub use error::{Error, Result};
pub use ledger::{Ledger, Move, Totals};
pub use report::Report;
pub use scenario::run;
pub use traffic::{TrafficConfig, TrafficGenerator};
pub use tunnel_endpoint::TunnelEndpoint;
