//! Balancers that learn from one another while the store does not answer them.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{Platform, address, answered, route, wait_for};
use sequoiatrail_daemon::cookie::CookieDaemon;
use sequoiatrail_stand_in::{Fault, Ports};

const APP: u8 = 1;
const KEY: &str = "a key of all balancers";

/// A platform with one service, and the addresses of three balancers for one another.
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
fn balancers_restarted_in_turn_without_the_store_serve_on_and_catch_up() {
    let (mut platform, seeds) = platform();
    let _app = platform.target(0x11, "app");
    let mut balancers: Vec<_> = (0..3)
        .map(|n| Some(balancer(&platform, &seeds, n, KEY)))
        .collect();
    platform.wait_ready(3);
    platform.store.set_fault(Fault::Hang);
    for (number, slot) in balancers.iter_mut().enumerate() {
        let old = slot.take().unwrap();
        old.stop();
        let new = slot.insert(balancer(&platform, &seeds, number, KEY));
        wait_for("a restarted balancer is ready", || new.is_ready());
    }
    platform.wait_ready(3);
    for _ in 0..10 {
        assert_eq!(platform.ask(address(APP)), answered("app"));
    }
    platform.put_manifest(4, &[route(2, true, "app")]);
    platform.store.set_fault(Fault::None);
    wait_for("the store's news", || {
        platform.ask(address(2)) == answered("app")
    });
}

#[test]
fn the_last_balancer_of_a_failure_domain_steps_aside_until_another_is_back() {
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
    let mut near: Vec<_> = (0..3).map(|n| start(n, "a")).collect();
    let far = start(3, "b");
    platform.wait_ready(4);
    // Each has asked each seed by then.
    std::thread::sleep(Duration::from_millis(2_500));
    near.truncate(1);
    wait_for("the last one steps aside", || !near[0].is_ready());
    assert!(far.is_ready());
    near.push(start(1, "a"));
    wait_for("it serves again beside another", || near[0].is_ready());
    wait_for("the other serves too", || near[1].is_ready());
}

#[test]
fn a_balancer_with_another_key_is_told_nothing() {
    let (platform, seeds) = platform();
    let _app = platform.target(0x11, "app");
    let first = balancer(&platform, &seeds, 0, KEY);
    platform.wait_ready(1);
    platform.store.set_fault(Fault::Hang);
    let stranger = balancer(&platform, &seeds, 1, "quite another secret");
    std::thread::sleep(Duration::from_millis(2_500));
    assert!(!stranger.is_ready());
    platform.store.set_fault(Fault::None);
    wait_for("the store starts it", || stranger.is_ready());
    drop(first);
}

#[test]
fn questions_that_cannot_be_read_get_a_clear_status() {
    let (platform, seeds) = platform();
    let _balancer = balancer(&platform, &seeds, 0, KEY);
    let asked = |body: &str| {
        let mut stream = TcpStream::connect(seeds[0]).unwrap();
        let length = body.len();
        let head = "POST /v1/news HTTP/1.1\r\nHost: a\r\nConnection: close";
        write!(stream, "{head}\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer.split(' ').nth(1).unwrap().to_owned()
    };
    assert_eq!(asked("no tag at all"), "400");
    assert_eq!(asked("\n{}"), "400");
    assert_eq!(asked(&format!("{}\n{{}}", "0".repeat(32))), "403");
}
