//! Balancers on a store in which the operator evacuates a failure domain.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Platform, address, answered, route, wait_for};
use sequoiatrail_cookie::TargetId;
use sequoiatrail_daemon::cookie::CookieDaemon;
use sequoiatrail_stand_in::{Fault, Outcome, Ports, Target};
use serde_json::json;

const APP: u8 = 1;
/// Target in failure domain `a`, in which the balancers are too.
const LOCAL: u64 = 0x11;
/// Target in failure domain `b`.
const REMOTE: u64 = 0x12;

/// A platform with a target in each of two failure domains.
fn platform() -> (Platform, [Target; 2]) {
    let platform = Platform::start();
    platform.put_manifest(3, &[route(APP, true, "app")]);
    let local = platform.target_in("a", LOCAL, "app");
    let remote = platform.target_in("b", REMOTE, "app");
    (platform, [local, remote])
}

fn follow(settings: &mut sequoiatrail_settings::Settings) {
    settings.cookie.evacuations = true;
}

/// Target that a new flow is placed on.
fn placed(platform: &Platform) -> TargetId {
    let flow = platform.clients.open(address(APP)).unwrap();
    let cookie = flow.cookie();
    let targets = [LOCAL, REMOTE].map(TargetId);
    let placed = targets.into_iter().find(|t| t.cookie().0 == cookie);
    placed.unwrap()
}

#[test]
fn new_flows_leave_an_evacuated_domain_and_return_after_it_is_taken_back() {
    let (platform, _targets) = platform();
    let _balancer = platform.balancer_with(follow);
    platform.wait_in_rotation(1);
    assert_eq!(placed(&platform), TargetId(LOCAL));
    let mut open = platform.clients.open(address(APP)).unwrap();
    platform.store.evacuate("a");
    wait_for("flows leave the evacuated domain", || {
        placed(&platform) == TargetId(REMOTE)
    });
    assert_eq!(open.request(900, Duration::from_secs(2)), answered("app"));
    platform.store.take_back("a");
    wait_for("flows return", || placed(&platform) == TargetId(LOCAL));
}

#[test]
fn an_evacuation_with_a_content_that_cant_be_read_is_in_force() {
    let (platform, _targets) = platform();
    let _balancer = platform.balancer_with(follow);
    platform.wait_in_rotation(1);
    let content = json!(["not", { "an": "object" }]);
    platform.store.evacuate_with_raw_spec("a", content);
    wait_for("flows leave the evacuated domain", || {
        placed(&platform) == TargetId(REMOTE)
    });
}

#[test]
fn a_service_without_targets_elsewhere_is_refused_at_once() {
    let (platform, [_local, remote]) = platform();
    let _balancer = platform.balancer_with(follow);
    platform.wait_in_rotation(1);
    platform.store.remove_target(&remote.name());
    platform.store.evacuate("a");
    wait_for("new flows are refused", || {
        matches!(
            platform.clients.open(address(APP)),
            Err(Outcome::Reset { .. })
        )
    });
}

#[test]
fn evacuations_are_not_followed_unless_the_settings_say_so() {
    let (platform, _targets) = platform();
    let _balancer = platform.balancer();
    platform.wait_in_rotation(1);
    platform.store.evacuate("a");
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(placed(&platform), TargetId(LOCAL));
}

/// Starts a balancer that queries the others at these addresses.
fn balancer(platform: &Platform, seeds: &[SocketAddr], number: usize) -> CookieDaemon {
    platform.balancer_with(|settings| {
        follow(settings);
        settings.cookie.peers_listen = Some(seeds[number]);
        settings.peers.seeds = seeds.to_vec();
        settings.peers.key = "a key of all balancers".into();
    })
}

#[test]
fn a_balancer_that_starts_without_the_store_learns_evacuations_from_a_peer() {
    let (platform, _targets) = platform();
    let mut ports = Ports::new();
    let seeds: Vec<SocketAddr> = (0..2).map(|_| ports.allocate()).collect();
    platform.store.evacuate("a");
    let first = balancer(&platform, &seeds, 0);
    platform.wait_in_rotation(1);
    platform.store.set_fault(Fault::Hang);
    let second = balancer(&platform, &seeds, 1);
    wait_for("it is ready without the store", || second.is_ready());
    first.stop();
    platform.wait_in_rotation(1);
    for _ in 0..10 {
        assert_eq!(placed(&platform), TargetId(REMOTE));
    }
}
