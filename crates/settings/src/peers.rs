//! Settings for traffic between balancers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::check;
use crate::key::section;

section! {
    /// The other balancers.
    "peers" PeersSettings {
        /// Address under which other balancers reach this VM.
        address: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST), "an IP address", check::ip;
        /// UDP port for control messages; 0 selects a free port.
        control_port: u16 = 7101, "0 to 65535", check::number::<0, 65_535>;
        /// UDP port for relayed packets; 0 selects a free port.
        relay_port: u16 = 7102, "0 to 65535", check::number::<0, 65_535>;
        /// TCP port for bulk transfer; 0 selects a free port.
        bulk_port: u16 = 7103, "0 to 65535", check::number::<0, 65_535>;
        /// Control addresses of the balancers to contact on startup; with flow cookies, their `cookie.peers_listen`.
        seeds: Vec<SocketAddr> = Vec::new(), "a list of IP addresses with ports", check::sockets;
        /// Secret shared by all balancers, used to sign their messages. Empty: a balancer without peers; with flow cookies, unsigned messages.
        key: String = String::new(), "empty, or at least 16 bytes", check::secret;
        /// Control traffic budget, in bytes per second including IP and UDP headers.
        control_bytes_per_s: u32 = 3_000, "500 to 10000000", check::number::<500, 10_000_000>;
    }
}
