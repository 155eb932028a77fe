//! Target probe settings.

use crate::check;
use crate::key::section;

/// Probe type.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Probe {
    /// Targets are not probed.
    None,
    /// Opens a TCP connection.
    #[default]
    Tcp,
    /// Sends a UDP datagram, which the target must answer with any datagram.
    Udp,
}

section! {
    /// Target probes.
    "health" HealthSettings {
        /// Probe type; probes are sent to the tunnel endpoint of the target.
        probe: Probe = Probe::Tcp, "none, tcp, udp", check::parsed::<Probe>;
        /// Probed port; 0 means the port of the tunnel endpoint.
        port: u16 = 0, "0 to 65535", check::number::<0, 65_535>;
        /// Interval between probes of a target, in milliseconds.
        interval_ms: u64 = 1_000, "100 to 60000", check::number::<100, 60_000>;
        /// Probe timeout, in milliseconds.
        timeout_ms: u64 = 500, "50 to 10000", check::number::<50, 10_000>;
    }
}
