//! Settings of the sockets between balancers.

use std::net::SocketAddr;

use sequoiatrail_membership::Settings as MembershipSettings;

/// Settings of [`PeerNet`](crate::PeerNet).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Rate limit of sent control datagrams in bytes per second, headers included.
    pub bytes_per_second: u32,
    /// Burst size of the rate limit, in bytes.
    pub burst_bytes: u32,
    /// Control addresses of seed balancers to join through.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the failure detector.
    pub membership: MembershipSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bytes_per_second: 3_000,
            burst_bytes: 6_000,
            seeds: Vec::new(),
            membership: MembershipSettings::default(),
        }
    }
}
