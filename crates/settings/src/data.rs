//! Settings of the data path.

use std::net::SocketAddr;

use crate::check;
use crate::key::section;

/// Form of the packets of the fabric.
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
    /// IP packets; balancers agree on the target of a flow.
    #[default]
    Ip,
    /// Packets of the users' platform; a cookie in each names the target.
    Cookie,
}

section! {
    /// Packets from the fabric and to the targets.
    "data" DataSettings {
        /// Form of the packets. With `cookie`, the section `cookie` applies; of `peers` only `seeds` and `key` do, `health` and `admin` do not.
        format: Format = Format::Ip, "ip, cookie", check::parsed::<Format>;
        /// Address and UDP port at which the fabric delivers packets, each as the payload of a datagram.
        listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7000)), "an IP address and port", check::socket;
        /// Where answers to callers are sent, each as the payload of a datagram; without it, to the sender of the packet.
        return_address: Option<SocketAddr> = None, "an IP address and port", check::socket;
        /// Threads that receive packets.
        threads: usize = 2, "1 to 64", check::number::<1, 64>;
        /// Most flows remembered at once; about 64 bytes each.
        max_flows: usize = 1_000_000, "1000 to 100000000", check::number::<1_000, 100_000_000>;
        /// Receive buffer of each thread's socket, in bytes; the system may grant less.
        receive_buffer_bytes: usize = 4_194_304, "65536 to 1073741824", check::number::<65_536, 1_073_741_824>;
        /// Idle time after which a TCP flow is forgotten, in seconds.
        tcp_idle_s: u64 = 21_600, "60 to 604800", check::number::<60, 604_800>;
        /// Idle time after which a UDP flow is forgotten, in seconds.
        udp_idle_s: u64 = 600, "5 to 604800", check::number::<5, 604_800>;
    }
}
