//! Settings of the traffic between balancers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::check;
use crate::key::section;

section! {
    /// The other balancers.
    "peers" PeersSettings {
        /// Address of this VM for other balancers.
        address: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST), "an IP address", check::ip;
        /// UDP port for control messages; 0 takes a free one.
        control_port: u16 = 7101, "0 to 65535", check::number::<0, 65_535>;
        /// UDP port for relayed packets; 0 takes a free one.
        relay_port: u16 = 7102, "0 to 65535", check::number::<0, 65_535>;
        /// TCP port for bulk transfer; 0 takes a free one.
        bulk_port: u16 = 7103, "0 to 65535", check::number::<0, 65_535>;
        /// Control addresses of balancers to start from; with flow cookies, their `cookie.peers_listen`.
        seeds: Vec<SocketAddr> = Vec::new(), "a list of IP addresses with ports", check::sockets;
        /// Secret shared by all balancers, which signs their messages. Empty: a balancer without others; with flow cookies, unsigned messages.
        key: String = String::new(), "empty, or at least 16 bytes", check::secret;
        /// Budget of control traffic, in bytes a second with IP and UDP headers.
        control_bytes_per_s: u32 = 3_000, "500 to 10000000", check::number::<500, 10_000_000>;
    }
}
