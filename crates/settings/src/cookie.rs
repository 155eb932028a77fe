//! Settings of a balancer whose packets carry a flow cookie.

use std::net::SocketAddr;

use crate::check;
use crate::key::section;

section! {
    /// Packets with a flow cookie (`data.format = "cookie"`).
    "cookie" CookieSettings {
        /// Name of the failure domain that the VM is in, as targets name it.
        failure_domain: String = String::new(), "text", check::text;
        /// Address of readiness and metrics.
        http_listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7501)), "an IP address and port", check::socket;
        /// A further address of the same, for collectors that know no other port. Without it: none.
        metrics_listen: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Address where other balancers ask for news while the store does not answer them; `peers.seeds` names such addresses of others, `peers.key` signs. Without it: none are asked or answered.
        peers_listen: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Path of readiness.
        readiness_path: String = "/readiness".into(), "text that begins with `/`", check::path;
        /// Port of callers that resets are sent to; 0 means the port of `data.listen`.
        caller_port: u16 = 0, "0 to 65535", check::number::<0, 65_535>;
        /// Age after which a flow may be discarded, in seconds.
        flow_max_age_s: f64 = 60.0, "1 to 86400", check::seconds::<1, 86_400>;
        /// Time from SIGTERM to SIGKILL, in seconds.
        stop_grace_s: f64 = 6.0, "1 to 3600", check::seconds::<1, 3_600>;
        /// Longest wait of a watch at the store, in milliseconds; it bounds how long a silent store goes unnoticed.
        watch_wait_ms: u64 = 2_500, "100 to 30000", check::number::<100, 30_000>;
    }
}
