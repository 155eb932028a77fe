//! Settings for the client.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_types::{Clock, SystemClock};

/// Settings for [`crate::Client`].
#[derive(Clone)]
pub struct ClientConfig {
    /// Address of the platform's object API.
    pub endpoint: SocketAddr,
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Timeout of a request; a watch adds its wait to it.
    pub call_timeout: Duration,
    /// Rate limit of this client in requests per second, over all request types.
    pub calls_per_second: f64,
    /// Burst size of the rate limit, in requests.
    pub burst: f64,
    /// Max size of a response body, in bytes.
    pub max_response_bytes: u64,
    /// Bearer token.
    pub token: Option<String>,
    /// Clock for the rate limit.
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
