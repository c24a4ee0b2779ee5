//! The real sender as its operators run it: every verdict waits for an event, none for a clock.
mod peers;
use peers::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

fn controlled(endpoint: &Peer) -> (Discovery, Node) {
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::with(&discovery, json!([]), Node::controlled);
    (discovery, node)
}

/// An open client connection that has carried one request.
fn used_connection(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    assert_eq!(health_over(&mut stream).0, "HTTP/1.1 200 OK");
    stream
}

/// The first line of the answer to a health check, and whether the connection ends with it.
fn health_over(stream: &mut TcpStream) -> (String, bool) {
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let answer = read_message(&mut BufReader::new(stream.try_clone().unwrap()), 0).expect("an answer");
    (answer.first, answer.headers.get("connection").is_some_and(|c| c == "close"))
}

fn ends(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0]).is_ok_and(|n| n == 0)
}

#[test]
fn the_control_address_knows_its_calls_and_serves_beside_callers_that_say_nothing() {
    let (_discovery, node) = controlled(&Peer::new(|_| ok()));
    let address: SocketAddr = node.config["control"].as_str().unwrap().parse().unwrap();
    let silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(address).unwrap()).collect();
    assert_eq!(node.control("GET", "/v1/readyz").0, 200);
    assert_eq!(node.control("GET", "/v1/sender/drain").0, 405);
    assert_eq!(node.control("POST", "/v1/readyz").0, 405);
    assert_eq!(node.control("GET", "/v1/anything").0, 404);
    for mut stream in silent {
        stream.set_read_timeout(Some(BOUND)).unwrap();
        assert!(stream.read(&mut [0]).map_or(true, |n| n == 0), "each is closed at its time");
    }
}

#[test]
fn a_drain_sends_clients_away_without_losing_a_message_and_ends_by_a_call() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = controlled(&endpoint);
    let mut idle = used_connection(&node);
    for _ in 0..2 {
        assert_eq!(node.control("PUT", "/v1/sender/drain").0, 200);
    }
    assert!(ends(&mut idle), "a connection that stands idle is closed");
    assert_eq!((node.health(), node.control("GET", "/v1/readyz").0), (503, 503));
    // The front may send some more for a moment: they are served, and their connections end with that.
    let mut late = TcpStream::connect(node.address).unwrap();
    assert_eq!(health_over(&mut late), ("HTTP/1.1 503 Service Unavailable".into(), true));
    assert!(ends(&mut late));
    assert_eq!(node.hand_in("alert", "late", 7, 16_000, b"x"), 202);
    endpoint.wait_for("late", 1);
    for _ in 0..2 {
        assert_eq!(node.control("PUT", "/v1/sender/activate").0, 200);
    }
    assert_eq!((node.health(), node.control("GET", "/v1/readyz").0), (200, 200));
    let mut stays = used_connection(&node);
    assert_eq!(health_over(&mut stays), ("HTTP/1.1 200 OK".into(), false));
}

#[test]
fn a_message_that_is_being_handed_in_as_the_drain_begins_is_answered_and_its_connection_closed() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = controlled(&endpoint);
    let mut stream = used_connection(&node);
    let head = "POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace-Id: slow\r\nX-Customer: acme\r\n\
        X-Expires-In-Ms: 9000\r\nX-Consignee: dest=7\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n1";
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(node.control("PUT", "/v1/sender/drain").0, 200);
    stream.write_all(b"2").unwrap();
    let answer = read_message(&mut BufReader::new(stream.try_clone().unwrap()), 0).expect("an answer");
    assert_eq!(
        (answer.first.as_str(), answer.headers["connection"].as_str()),
        ("HTTP/1.1 202 Accepted", "close")
    );
    assert!(ends(&mut stream));
    endpoint.wait_for("slow", 1);
}
