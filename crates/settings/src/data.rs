//! Data path settings.

use std::net::SocketAddr;

use crate::check;
use crate::key::section;

/// Packet format of the fabric.
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
pub enum Format {
    /// IP packets; the balancers agree on the target of each flow.
    #[default]
    Ip,
    /// Packets of the users' platform, each with a cookie that identifies the target.
    Cookie,
}

section! {
    /// Packets from the fabric and to the targets.
    "data" DataSettings {
        /// Packet format. With `cookie`, the section `cookie` applies, only `seeds` and `key` of `peers` apply, and `health` and `admin` are ignored.
        format: Format = Format::Ip, "ip, cookie", check::parsed::<Format>;
        /// UDP address on which the fabric delivers packets, each as the payload of a datagram.
        listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7000)), "an IP address and port", check::socket;
        /// Address to which replies to clients are sent, each as the payload of a datagram. Unset: the sender of the packet.
        return_address: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Number of receiving threads.
        threads: usize = 2, "1 to 64", check::number::<1, 64>;
        /// Maximum number of tracked flows; each takes about 64 bytes.
        max_flows: usize = 1_000_000, "1000 to 100000000", check::number::<1_000, 100_000_000>;
        /// Socket receive buffer of each thread, in bytes; the kernel may grant less.
        receive_buffer_bytes: usize = 4_194_304, "65536 to 1073741824", check::number::<65_536, 1_073_741_824>;
        /// Idle timeout of TCP flows, in seconds.
        tcp_idle_s: u64 = 21_600, "60 to 604800", check::number::<60, 604_800>;
        /// Idle timeout of UDP flows, in seconds.
        udp_idle_s: u64 = 600, "5 to 604800", check::number::<5, 604_800>;
    }
}
