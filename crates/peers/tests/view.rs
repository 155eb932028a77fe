//! Choice of the member to fetch a newer table or plan from.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

use sequoiatrail_peers::{Peer, View};
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::PeerAddress;

const SERVICE: ServiceId = ServiceId(1);

fn peer(node: u64, version: u64, suspect: bool) -> Peer {
    Peer {
        node: NodeId(node),
        domain: FailureDomain(0),
        address: PeerAddress {
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            control_port: 1,
            relay_port: 2,
            bulk_port: 3,
        },
        ready: true,
        suspect,
        via: None,
        table: TableVersion(version),
        plans: vec![(SERVICE, PlanVersion(version))],
    }
}

fn choices(view: &View, current: u64) -> BTreeSet<u64> {
    let tables = (0..200).filter_map(|_| view.peer_with_newer_table(TableVersion(current)));
    let plans = (0..200).filter_map(|_| view.peer_with_newer_plan(SERVICE, PlanVersion(current)));
    tables.chain(plans).map(|p| p.node.0).collect()
}

#[test]
fn only_peers_with_the_newest_version_are_chosen() {
    let peers = vec![peer(1, 4, false), peer(2, 5, false), peer(3, 5, false)];
    assert_eq!(choices(&View { peers }, 3), BTreeSet::from([2, 3]));
}

#[test]
fn suspect_is_chosen_only_without_an_alternative() {
    let mut peers = vec![peer(1, 5, true), peer(2, 5, false)];
    let view = View {
        peers: peers.clone(),
    };
    assert_eq!(choices(&view, 3), BTreeSet::from([2]));
    peers.pop();
    assert_eq!(choices(&View { peers }, 3), BTreeSet::from([1]));
}

#[test]
fn no_peer_is_chosen_without_a_newer_version() {
    let peers = vec![peer(1, 4, false), peer(2, 5, false)];
    assert_eq!(choices(&View { peers }, 5), BTreeSet::new());
    assert_eq!(choices(&View::default(), 0), BTreeSet::new());
}
