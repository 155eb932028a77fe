//! Settings for the stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_types::{Clock, SystemClock};

use super::Faults;

/// Settings for [`super::StandIn`].
#[derive(Clone)]
pub struct StandInConfig {
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Worker threads of the HTTP server.
    pub workers: usize,
    /// Rate limit of reads, lists and watches per second, over all clients.
    pub reads_per_second: f64,
    /// Rate limit of writes per second, over all clients.
    pub writes_per_second: f64,
    /// Max number of changes in the history.
    pub history_limit: usize,
    /// Delay until a new VM list is served.
    pub vm_lag: Duration,
    /// Initially injected faults.
    pub faults: Faults,
    /// Whether faults and the VM list can be set over HTTP.
    pub allow_control: bool,
    /// Bearer token required from clients; `None` disables authentication.
    pub token: Option<String>,
    /// Clock for rate limits and the VM list lag.
    pub clock: Arc<dyn Clock>,
}

impl Default for StandInConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            workers: 2,
            reads_per_second: 2_000.0,
            writes_per_second: 300.0,
            history_limit: 1_000,
            vm_lag: Duration::from_secs(5),
            faults: Faults::default(),
            allow_control: false,
            token: None,
            clock: Arc::new(SystemClock::new()),
        }
    }
}
