//! What a real process says its control costs, against what stand-ins counted on the other side.

use serde_json::json;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use trial::etcd::Etcd;
use trial::peers::*;

/// Bytes from the sender and to it.
type Bytes = [u64; 2];

/// A relay before a stand-in. It counts by the first word of a connection and its path: discovery and the platform have one
/// address.
struct Relay {
    address: SocketAddr,
    passed: Arc<Mutex<BTreeMap<String, Arc<[AtomicU64; 2]>>>>,
}

impl Relay {
    fn new(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay { address: listener.local_addr().unwrap(), passed: Arc::default() };
        let passed = relay.passed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let passed = passed.clone();
                std::thread::spawn(move || pass(stream, to, &passed));
            }
        });
        relay
    }

    /// Over all connections that began so.
    fn passed(&self, first: &str) -> Bytes {
        let passed = self.passed.lock().unwrap();
        let of = passed.iter().filter(|(line, _)| line.starts_with(first)).map(|(_, bytes)| bytes);
        of.fold([0; 2], |sum, bytes| [0, 1].map(|i| sum[i] + bytes[i].load(Ordering::SeqCst)))
    }
}

/// Until both sides have ended.
fn pass(
    mut here: TcpStream,
    to: SocketAddr,
    passed: &Mutex<BTreeMap<String, Arc<[AtomicU64; 2]>>>,
) -> Option<()> {
    let mut there = TcpStream::connect(to).ok()?;
    let mut buffer = [0; 16 << 10];
    let n = here.read(&mut buffer).ok()?;
    let first = String::from_utf8_lossy(&buffer[..n.min(16)]).into_owned();
    let bytes = passed.lock().unwrap().entry(first).or_default().clone();
    bytes[0].fetch_add(n as u64, Ordering::SeqCst);
    there.write_all(&buffer[..n]).ok()?;
    let (back, forth) = (there.try_clone().ok()?, here.try_clone().ok()?);
    let counted = bytes.clone();
    let answers = std::thread::spawn(move || pump(back, forth, &counted[1]));
    pump(here, there, &bytes[0]);
    answers.join().ok()
}

fn pump(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = [0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        // Before it goes on: who has read it finds it counted.
        count.fetch_add(n as u64, Ordering::SeqCst);
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn figure(text: &str, name: &str) -> f64 {
    let value = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

fn metrics(node: &Node) -> String {
    let (status, text) = node.control("GET", "/v1/metrics");
    assert_eq!(status, 200);
    text
}

fn both(text: &str, family: &str, role: &str) -> Bytes {
    ["out", "in"].map(|way| {
        figure(text, &format!("sender_control_{family}_total{{role=\"{role}\",direction=\"{way}\"}}")) as u64
    })
}

fn bytes(node: &Node, role: &str) -> Bytes {
    both(&metrics(node), "bytes", role)
}

/// What the sender says and what passed are the same at a moment at which nothing is on its way.
fn agree(node: &Node, role: &str, relay: &Relay, first: &str) -> Bytes {
    let seen = Mutex::new([[0; 2]; 2]);
    node.until(&format!("{role} is counted as it passed"), || {
        let (before, told, after) = (relay.passed(first), bytes(node, role), relay.passed(first));
        *seen.lock().unwrap() = [told, after];
        told == before && told == after && told[0] > 0 && told[1] > 0
    });
    let seen = *seen.lock().unwrap();
    println!("{role}: {seen:?}");
    seen[0]
}

#[test]
fn the_list_and_notices_are_counted_apart_as_they_pass() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let relay = Relay::new(discovery.peer.address);
    let mut front = discovery.clone();
    front.peer.address = relay.address;
    let node = Node::with(&front, json!([]), Node::controlled);
    assert_eq!(bytes(&node, "notices"), [0, 0]);

    // A list of some size: the answer is counted, not the question alone.
    let many = (1..500).map(|i| ready(&format!("e-{i}"), endpoint.address, 7));
    let many = json!(many.chain([closed(8)]).collect::<Vec<_>>());
    let size = many.to_string().len() as u64;
    discovery.set(many);
    node.until("the list is taken", || figure(&metrics(&node), "sender_members") == 500.0);
    // Else there is always a watch on its way.
    discovery.silence();
    let list = agree(&node, "discovery", &relay, "GET /v1/servers");
    assert!(list[1] > size && list[0] < list[1], "{list:?} {size}");

    // What is for a closed destination ends by a notice.
    let hand_in = |id: &str| assert_eq!(node.hand_in("order", id, 8, 300, &[b'x'; 5_000]), 202);
    hand_in("first");
    discovery.wait_notice("first");
    let one = agree(&node, "notices", &relay, "POST /reports");
    let more: Vec<String> = (0..20).map(|i| format!("more-{i}")).collect();
    more.iter().for_each(|id| hand_in(id));
    more.iter().for_each(|id| _ = discovery.wait_notice(id));
    node.until("all have ended", || figure(&metrics(&node), "sender_pending") == 0.0);
    let more = agree(&node, "notices", &relay, "POST /reports");
    // What clients and endpoints send is none of it.
    assert!(more[0] > one[0] && more[0] < 10_000, "{one:?} {more:?}");
    assert_eq!(bytes(&node, "store"), [0, 0]);
    assert_eq!(bytes(&node, "membership"), [0, 0]);
}

#[test]
fn the_store_is_counted_as_it_passes() {
    let etcd = Etcd::new();
    let relay = Relay::new(etcd.address);
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::with(&discovery, json!([]), |config| {
        Node::controlled(config);
        config["duties"] = json!({"store": [relay.address.to_string()], "prefix": "fleet/", "ttl_s": 6});
    });
    node.until("it is asked often enough", || relay.passed("POST /v3")[0] > 3_000);
    let first = agree(&node, "store", &relay, "POST /v3");
    node.until("it is asked on", || relay.passed("POST /v3")[0] > first[0] + 1_500);
    agree(&node, "store", &relay, "POST /v3");
}

/// One call, and how many bytes it took.
fn call(node: &Node, path: &str) -> (Bytes, String) {
    let mut stream = TcpStream::connect(node.config["control"].as_str().unwrap()).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    // Answered, it comes as `in`; what it was answered as `out`.
    ([answer.len() as u64, request.len() as u64], answer)
}

#[test]
fn operators_are_counted_up_to_the_question_and_without_its_answer() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::with(&discovery, json!([]), Node::controlled);
    let mut sum = [0, 0];
    for path in ["/v1/readyz", "/v1/metrics", "/v1/none", "/v1/sender/drain", "/v1/metrics"].repeat(3) {
        let (took, answer) = call(&node, path);
        sum[1] += took[1];
        if path == "/v1/metrics" {
            assert_eq!(both(&answer, "bytes", "operators"), sum);
            assert!(took[0] < 32 << 10, "it stays small: {took:?}");
        }
        sum[0] += took[0];
    }
}

/// All that has come to a stand-in.
fn drain(socket: &UdpSocket, seen: &mut Bytes) {
    let mut buffer = [0; 2_000];
    loop {
        match socket.recv_from(&mut buffer) {
            Ok((n, _)) => *seen = [seen[0] + n as u64, seen[1] + 1],
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(e) => panic!("{e}"),
        }
    }
}

#[test]
fn datagrams_of_the_fleet_are_counted_with_their_bytes() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let seed = UdpSocket::bind("127.0.0.1:0").unwrap();
    seed.set_nonblocking(true).unwrap();
    let at = UdpSocket::bind(free_address()).unwrap().local_addr().unwrap();
    let node = Node::with(&discovery, json!([]), |config| {
        Node::controlled(config);
        let seeds = [seed.local_addr().unwrap().to_string()];
        config["membership"] =
            json!({"address": at.to_string(), "fleet": "test", "seeds": seeds, "interval_ms": 100});
    });
    // They are there as soon as they are sent: what was sent before the question has come after it at the latest.
    let mut seen = [0; 2];
    while seen[1] < 10 {
        drain(&seed, &mut seen);
        let before = seen;
        let text = metrics(&node);
        drain(&seed, &mut seen);
        let told = [both(&text, "bytes", "membership")[0], both(&text, "datagrams", "membership")[0]];
        assert!((0..2).all(|i| before[i] <= told[i] && told[i] <= seen[i]), "{before:?} {told:?} {seen:?}");
    }
    let sizes: Vec<usize> = (0..50).map(|i| i * 28).collect();
    for &size in &sizes {
        seed.send_to(&vec![7; size], at).unwrap();
    }
    let sent = [sizes.iter().sum::<usize>() as u64, sizes.len() as u64];
    let told = || {
        let text = metrics(&node);
        [both(&text, "bytes", "membership")[1], both(&text, "datagrams", "membership")[1]]
    };
    node.until("all have come", || told()[1] >= sent[1]);
    assert_eq!(told(), sent);
}

#[test]
fn the_process_tells_its_processor_time_and_memory() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::with(&discovery, json!([]), Node::controlled);
    let both = || {
        let text = metrics(&node);
        (
            figure(&text, "process_cpu_seconds_total"),
            figure(&text, "process_resident_memory_bytes") / (1 << 20) as f64,
        )
    };
    let (before, memory) = both();
    assert!(before > 0.0 && before < 60.0 && memory > 1.0 && memory < 192.0, "{before} {memory}");
    for i in 0..50 {
        assert_eq!(node.hand_in("alert", &format!("m{i}"), 7, 16_000, &[b'x'; 60_000]), 202);
    }
    let (after, memory) = both();
    assert!(after > before && after < before + 60.0 && memory > 1.0, "{before} {after} {memory}");
}
