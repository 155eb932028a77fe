//! Balancers get their state from peers while the store does not respond.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{Platform, address, answered, route, wait_for};
use sequoiatrail_daemon::cookie::CookieDaemon;
use sequoiatrail_stand_in::{Fault, Ports};

const APP: u8 = 1;
const KEY: &str = "a key of all balancers";

/// A platform with one service, and the peer addresses of three balancers.
fn platform() -> (Platform, Vec<SocketAddr>) {
    let platform = Platform::start();
    platform.put_manifest(3, &[route(APP, true, "app")]);
    let mut ports = Ports::new();
    (platform, (0..3).map(|_| ports.allocate()).collect())
}

fn balancer(platform: &Platform, seeds: &[SocketAddr], number: usize, key: &str) -> CookieDaemon {
    platform.balancer_with(|settings| {
        settings.cookie.peers_listen = Some(seeds[number]);
        settings.peers.seeds = seeds.to_vec();
        settings.peers.key = key.into();
    })
}

#[test]
fn rolling_restart_without_the_store_keeps_serving() {
    let (mut platform, seeds) = platform();
    let _app = platform.target(0x11, "app");
    let mut balancers: Vec<_> = (0..3)
        .map(|n| Some(balancer(&platform, &seeds, n, KEY)))
        .collect();
    platform.wait_in_rotation(3);
    platform.store.set_fault(Fault::Hang);
    for (number, slot) in balancers.iter_mut().enumerate() {
        let old = slot.take().unwrap();
        old.stop();
        let new = slot.insert(balancer(&platform, &seeds, number, KEY));
        wait_for("a restarted balancer is ready", || new.is_ready());
    }
    platform.wait_in_rotation(3);
    for _ in 0..10 {
        assert_eq!(platform.request(address(APP)), answered("app"));
    }
    platform.put_manifest(4, &[route(2, true, "app")]);
    platform.store.set_fault(Fault::None);
    wait_for("the new route from the store", || {
        platform.request(address(2)) == answered("app")
    });
}

#[test]
fn last_balancer_of_a_failure_domain_is_not_ready_until_another_returns() {
    let (platform, _) = platform();
    let _app = platform.target(0x11, "app");
    let mut ports = Ports::new();
    let addresses: Vec<SocketAddr> = (0..4).map(|_| ports.allocate()).collect();
    let start = |number: usize, domain: &str| {
        platform.balancer_with(|settings| {
            settings.cookie.peers_listen = Some(addresses[number]);
            settings.cookie.failure_domain = domain.into();
            settings.peers.seeds = addresses.clone();
            settings.peers.key = KEY.into();
        })
    };
    let mut domain_a: Vec<_> = (0..3).map(|n| start(n, "a")).collect();
    let domain_b = start(3, "b");
    platform.wait_in_rotation(4);
    // By then each balancer has polled each seed.
    std::thread::sleep(Duration::from_millis(2_500));
    domain_a.truncate(1);
    wait_for("the last one is not ready", || !domain_a[0].is_ready());
    assert!(domain_b.is_ready());
    domain_a.push(start(1, "a"));
    wait_for("it is ready again with another", || domain_a[0].is_ready());
    wait_for("the other is ready too", || domain_a[1].is_ready());
}

#[test]
fn balancer_with_a_different_key_gets_no_snapshot() {
    let (platform, seeds) = platform();
    let _app = platform.target(0x11, "app");
    let first = balancer(&platform, &seeds, 0, KEY);
    platform.wait_in_rotation(1);
    platform.store.set_fault(Fault::Hang);
    let other = balancer(&platform, &seeds, 1, "quite another secret");
    std::thread::sleep(Duration::from_millis(2_500));
    assert!(!other.is_ready());
    platform.store.set_fault(Fault::None);
    wait_for("ready from the store", || other.is_ready());
    drop(first);
}

#[test]
fn invalid_requests_get_a_client_error() {
    let (platform, seeds) = platform();
    let _balancer = balancer(&platform, &seeds, 0, KEY);
    let status_of = |body: &str| {
        let mut stream = TcpStream::connect(seeds[0]).unwrap();
        let length = body.len();
        let headers = "POST /v1/news HTTP/1.1\r\nHost: a\r\nConnection: close";
        write!(
            stream,
            "{headers}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response.split(' ').nth(1).unwrap().to_owned()
    };
    assert_eq!(status_of("no tag at all"), "400");
    assert_eq!(status_of("\n{}"), "400");
    assert_eq!(status_of(&format!("{}\n{{}}", "0".repeat(32))), "403");
}
