//! Helpers that run balancers on loopback.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sequoiatrail_membership::Identity;
use sequoiatrail_peers::{Handlers, PeerNet, Settings};
use sequoiatrail_types::{FailureDomain, NodeId};
use sequoiatrail_wire::Key;
use sequoiatrail_wire::message::PeerAddress;

/// Generous for a loaded machine; only a failing test waits that long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Key shared by the balancers.
pub fn key() -> Key {
    Key::new(b"a key that balancers share").unwrap()
}

/// Identity of a balancer on loopback with ephemeral ports.
pub fn identity(node: u64) -> Identity {
    Identity {
        node: NodeId(node),
        domain: FailureDomain(0),
        address: PeerAddress {
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            control_port: 0,
            relay_port: 0,
            bulk_port: 0,
        },
    }
}

/// Starts a balancer that joins through `seed`, if any.
pub fn start(node: u64, seed: Option<&PeerNet>, key: Key, handlers: Handlers) -> PeerNet {
    let cfg = Settings {
        seeds: seed.iter().map(|n| n.address().control()).collect(),
        ..Settings::default()
    };
    PeerNet::start(cfg, identity(node), key, handlers).unwrap()
}

/// Polls until `condition` holds; panics after the timeout.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Values recorded by a callback.
pub type Recorded<T> = Arc<Mutex<Vec<T>>>;

/// Creates an empty record, with one handle for the test and one for a callback.
pub fn recorder<T>() -> (Recorded<T>, Recorded<T>) {
    let recorder = Arc::new(Mutex::new(Vec::new()));
    (Arc::clone(&recorder), recorder)
}
