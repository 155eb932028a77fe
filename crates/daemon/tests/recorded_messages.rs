//! Requests and reports between balancers as released builds sent them, answered by a real
//! balancer; the rules are in docs/design/upgrades.md.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use common::{Platform, route, wait_for};
use sequoiatrail_stand_in::Ports;
use serde_json::Value;

/// Signed with [`KEY`].
const REQUEST: &str = include_str!("recorded/15b3ef0/peer_request.txt");
const KEY: &str = "a key of all balancers";
/// Fields of a response that released builds require.
const REQUIRED: [&str; 6] = ["domain", "serves", "peers", "era", "revision", "age_ms"];

/// Sends a request as released builds do; returns the response's body.
fn post(to: SocketAddr, body: &str) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    let head = format!(
        "POST /v1/news HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    text.split_once("\r\n\r\n").unwrap().1.to_owned()
}

#[test]
fn a_request_of_a_released_build_is_answered_with_all_fields_that_it_reads() {
    let platform = Platform::start();
    platform.put_manifest(9, &[route(1, true, "app")]);
    let _app = platform.target(0x11, "app");
    let listen = Ports::new().allocate();
    let balancer = platform.balancer_with(|settings| {
        settings.cookie.peers_listen = Some(listen);
        settings.peers.key = KEY.into();
    });
    wait_for("the balancer is ready", || balancer.is_ready());
    let body = post(listen, REQUEST);
    let (tag, json) = body.split_once('\n').unwrap();
    assert_eq!(tag.len(), 32, "the tag covers the nonce of the request");
    let response: Value = serde_json::from_str(json).unwrap();
    for name in REQUIRED {
        assert!(
            response.get(name).is_some(),
            "upgrades.md: {name} in {json}"
        );
    }
    let snapshot = &response["snapshot"];
    assert_eq!(snapshot["manifest"]["version"], 9, "{json}");
    assert_eq!(snapshot["targets"][0]["id"], 0x11, "{json}");
}
