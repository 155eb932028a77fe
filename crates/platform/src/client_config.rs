//! Settings of the client.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_types::{Clock, SystemClock};

/// Settings of a [`crate::Client`].
#[derive(Clone)]
pub struct ClientConfig {
    /// Address of the platform's object API.
    pub endpoint: SocketAddr,
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time of a call, without the wait of a watch.
    pub call_timeout: Duration,
    /// Calls a second of this process, all kinds together.
    pub calls_per_second: f64,
    /// Most calls at once after a quiet time.
    pub burst: f64,
    /// Largest body of an answer that is read, in bytes.
    pub max_response_bytes: u64,
    /// The token that the platform asks for.
    pub token: Option<String>,
    /// The clock for the rate of calls.
    pub clock: Arc<dyn Clock>,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            endpoint: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_400)),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            calls_per_second: 20.0,
            burst: 40.0,
            max_response_bytes: 256 << 20,
            token: None,
            clock: Arc::new(SystemClock::new()),
        }
    }
}
