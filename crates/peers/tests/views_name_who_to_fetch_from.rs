//! Which member a newer table or plan is fetched from.

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

fn chosen(view: &View, than: u64) -> BTreeSet<u64> {
    let tables = (0..200).filter_map(|_| view.peer_with_newer_table(TableVersion(than)));
    let plans = (0..200).filter_map(|_| view.peer_with_newer_plan(SERVICE, PlanVersion(than)));
    tables.chain(plans).map(|p| p.node.0).collect()
}

#[test]
fn all_that_have_the_newest_are_used_and_no_others() {
    let peers = vec![peer(1, 4, false), peer(2, 5, false), peer(3, 5, false)];
    assert_eq!(chosen(&View { peers }, 3), BTreeSet::from([2, 3]));
}

#[test]
fn a_suspect_is_used_only_if_no_other_has_it() {
    let mut peers = vec![peer(1, 5, true), peer(2, 5, false)];
    let both = View {
        peers: peers.clone(),
    };
    assert_eq!(chosen(&both, 3), BTreeSet::from([2]));
    peers.pop();
    assert_eq!(chosen(&View { peers }, 3), BTreeSet::from([1]));
}

#[test]
fn nobody_is_named_for_a_version_that_nobody_exceeds() {
    let peers = vec![peer(1, 4, false), peer(2, 5, false)];
    assert_eq!(chosen(&View { peers }, 5), BTreeSet::new());
    assert_eq!(chosen(&View::default(), 0), BTreeSet::new());
}
