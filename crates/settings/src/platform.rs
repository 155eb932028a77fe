//! Platform settings.

use std::net::SocketAddr;

use crate::check;
use crate::key::section;

section! {
    /// Object API that stores the table and the plans.
    "platform" PlatformSettings {
        /// Address of the HTTP API. If unset and `embedded` is false, tables and plans come only from other balancers.
        endpoint: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Run an in-memory platform in this process, for testing; its data is lost when the process exits.
        embedded: bool = false, "true, false", check::boolean;
        /// Listen address of the embedded platform; port 0 selects a free port.
        embedded_listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0)), "an IP address and port", check::socket;
        /// CSV file to load into the embedded platform as the initial table. Empty: none.
        embedded_table: String = String::new(), "text", check::text;
        /// Request timeout, in milliseconds.
        timeout_ms: u64 = 2_000, "100 to 60000", check::number::<100, 60_000>;
    }
}
