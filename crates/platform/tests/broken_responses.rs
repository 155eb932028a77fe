//! Responses that are sent twice or end early.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use sequoiatrail_platform::{Client, ClientConfig, Error, Method};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Serves each connection by `serve` on a thread of its own.
fn server(serve: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn client(endpoint: SocketAddr) -> Client {
    Client::new(ClientConfig {
        endpoint,
        ..ClientConfig::default()
    })
}

/// Reads a request up to its end; `None` at the end of the connection. Returns its path.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    head.split(' ').nth(1).map(str::to_owned)
}

fn write_response(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    // The client may have closed the connection.
    let _ = stream.write_all(response.as_bytes());
}

/// Answers with the path, and before the next answer on the connection sends the last one
/// once more.
fn answer_twice(mut stream: TcpStream) {
    let mut last: Option<String> = None;
    while let Some(path) = read_path(&mut stream) {
        if let Some(last) = last.replace(path.clone()) {
            write_response(&mut stream, &last);
        }
        write_response(&mut stream, &path);
    }
}

/// Ends the connection in the middle of the body.
fn break_off(mut stream: TcpStream) {
    if read_path(&mut stream).is_some() {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"items\":[]}");
    }
}

/// Ends the connection between two chunks of the body.
fn break_off_chunks(mut stream: TcpStream) {
    if read_path(&mut stream).is_some() {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}c\r\n{{\"items\":[]}}\r\n").as_bytes());
    }
}

#[test]
fn a_second_copy_of_a_response_is_not_taken_for_the_next_one() {
    let client = client(server(answer_twice));
    for path in ["/first", "/second", "/third"] {
        let reply = client.exchange(Method::GET, path, b"", TIMEOUT).unwrap();
        assert_eq!(String::from_utf8(reply.body).unwrap(), path);
    }
}

#[test]
fn a_response_that_ends_early_is_no_response() {
    for serve in [break_off, break_off_chunks] {
        let client = client(server(serve));
        let reply = client.exchange(Method::GET, "/list", b"", TIMEOUT);
        assert!(matches!(reply, Err(Error::NoResponse { .. })), "{reply:?}");
    }
}
