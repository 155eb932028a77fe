//! Settings of the cookie data path.

use std::net::SocketAddr;

use crate::check;
use crate::key::section;

section! {
    /// Packets with a flow cookie (`data.format = "cookie"`).
    "cookie" CookieSettings {
        /// Failure domain of the VM, by the name used in the target list.
        failure_domain: String = String::new(), "text", check::text;
        /// Listen address for readiness and metrics.
        http_listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7501)), "an IP address and port", check::socket;
        /// Additional listen address for readiness and metrics, for collectors that require another port. Unset: none.
        metrics_listen: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Listen address for queries from other balancers that cannot reach the store; `peers.seeds` lists the corresponding addresses of the others, `peers.key` signs the messages. Unset: no queries are sent or answered.
        peers_listen: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// UDP port on which the balancers of a failure domain report suspect targets to each other, the same on all of them; 0 means the port of `cookie.peers_listen`.
        reports_port: u16 = 0, "0 to 65535", check::number::<0, 65_535>;
        /// Whether the balancers of a failure domain, and of a fleet with up to 24 in the others, tell each other their load, on the port of the reports.
        load_exchange: bool = false, "true, false", check::boolean;
        /// URL path of the readiness endpoint.
        readiness_path: String = "/readiness".into(), "text that begins with `/`", check::path;
        /// Client port to which resets are sent; 0 means the port of `data.listen`.
        caller_port: u16 = 0, "0 to 65535", check::number::<0, 65_535>;
        /// Rate that the VM's link carries, both directions together, in Mbit/s: new flows are refused before it is exceeded, the least urgent first. 0 means unknown.
        link_mbps: f64 = 0.0, "0 to 1000000", check::decimal::<0, 1_000_000>;
        /// Age after which a flow may be discarded, in seconds.
        flow_max_age_s: f64 = 60.0, "1 to 86400", check::decimal::<1, 86_400>;
        /// Time from SIGTERM to SIGKILL, in seconds.
        stop_grace_s: f64 = 6.0, "1 to 3600", check::decimal::<1, 3_600>;
        /// Whether the operator's evacuations of failure domains are followed in the store.
        evacuations: bool = false, "true, false", check::boolean;
        /// Factor on the rate of new flows that a target bears while it is warming up, over all balancers; 0 turns its quota off. The rate itself is part of the manifest.
        cold_flow_factor: f64 = 0.0, "0 to 100", check::decimal::<0, 100>;
        /// New flows per second added to that quota.
        cold_flow_tolerance: f64 = 0.0, "0 to 10000", check::decimal::<0, 10_000>;
        /// Maximum duration of a watch request to the store, in milliseconds; it bounds the time to detect an unresponsive store.
        watch_wait_ms: u64 = 2_500, "100 to 30000", check::number::<100, 30_000>;
    }
}
