//! Lists of any size and kind: what is taken of them, what is turned down, and what goes on meanwhile.
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trial::agent::{entry, list, Agent, Manner};
use trial::peers::*;

/// A sender that follows this agent, with a control address and this memory limit.
fn node(agent: &Agent, memory_mb: u64) -> Node {
    let unused = Discovery::new(json!([]));
    Node::with(&unused, json!([]), |config| {
        Node::controlled(config);
        config["discovery"] = agent.address.to_string().into();
        config["limits"]["memory_mb"] = memory_mb.into();
    })
}

fn figure(node: &Node, name: &str) -> u64 {
    let (status, text) = node.control("GET", "/v1/metrics");
    assert_eq!(status, 200);
    let value = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

fn until_members(node: &Node, count: u64) {
    node.until(&format!("{count} are listed"), || figure(node, "sender_members") == count);
}

/// Resident memory in MB (1e6 bytes).
fn resident(node: &Node) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0 / 1e6
}

fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// So many entries: destination and name by number, from 1.
fn many(count: u64, at: SocketAddr) -> impl Iterator<Item = String> {
    (1..=count).map(move |n| entry(&format!("s-{n:08x}"), at, n, "Ready"))
}

fn deliver(node: &Node, endpoint: &Peer, id: &str, dest: u64) {
    assert_eq!(node.hand_in("alert", id, dest, 16_000, b"x"), 202, "{id}");
    endpoint.wait_for(id, 1);
}

#[test]
fn a_list_over_the_bound_is_turned_down_whole_and_the_one_held_stays() {
    let endpoint = Peer::new(|_| ok());
    let small = list(1, true, many(3, endpoint.address));
    let agent = Agent::new(1, small.clone());
    // 2 MB bound it to some 4,000 entries.
    let node = node(&agent, 2);
    until_members(&node, 3);
    agent.tell(2, list(2, true, many(20_000, nowhere())), None, Manner::AtOnce);
    node.until("it is turned down", || figure(&node, "sender_list_errors_total") > 0);
    assert!(node.log().contains("the list is too large for the memory limit"), "{}", node.log());
    assert_eq!(figure(&node, "sender_members"), 3);
    deliver(&node, &endpoint, "held", 3);
    assert_eq!(node.hand_in("alert", "none", 4, 16_000, b"x"), 404);
    // One that there is room for is taken.
    agent.tell(3, list(3, true, many(1_000, endpoint.address)), None, Manner::AtOnce);
    until_members(&node, 1_000);
    deliver(&node, &endpoint, "new", 1_000);
}

#[test]
fn a_list_that_is_cut_or_no_list_changes_nothing() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(3, endpoint.address)));
    let node = node(&agent, 192);
    until_members(&node, 3);
    let new = list(2, true, many(2_000, nowhere()).skip(3));
    agent.tell(2, new.clone(), None, Manner::Cut(new.len() / 2));
    let given = agent.given();
    agent.wait_given(given + 1);
    assert_eq!(figure(&node, "sender_members"), 3);
    deliver(&node, &endpoint, "cut", 1);
    for (number, text) in [new[..new.len() - 1].to_string(), new.clone() + "]", new.replace("s-", "s-\u{1}")]
        .into_iter()
        .enumerate()
    {
        agent.tell(3, text, None, Manner::AtOnce);
        let count = number as u64 + 1;
        node.until("it is turned down", || figure(&node, "sender_list_errors_total") >= count);
        assert_eq!(figure(&node, "sender_members"), 3);
    }
    deliver(&node, &endpoint, "none", 2);
    agent.tell(4, list(4, true, many(5, endpoint.address)), None, Manner::AtOnce);
    until_members(&node, 5);
}

#[test]
fn an_entry_twice_one_that_moves_one_that_is_unknown_and_one_that_cant_be_read() {
    let [first, second] = [Peer::new(|_| ok()), Peer::new(|_| ok())];
    let at = |peer: &Peer| peer.address;
    let rows = |rows: &[(&str, SocketAddr, u64, &str)]| {
        let rows: Vec<String> =
            rows.iter().map(|&(name, at, dest, life)| entry(name, at, dest, life)).collect();
        rows.into_iter()
    };
    let start =
        rows(&[("a", nowhere(), 1, "Ready"), ("b", at(&first), 2, "Ready"), ("a", at(&first), 1, "Ready")]);
    let agent = Agent::new(1, list(1, true, start));
    let node = node(&agent, 192);
    until_members(&node, 2);
    deliver(&node, &first, "twice", 1);
    // `b` moves to another destination and place; `x` was never there.
    let change = rows(&[("b", at(&second), 3, "Ready"), ("x", nowhere(), 4, "Gone")]).chain([
        "{\"instanceId\":7}".to_string(),
        "null".to_string(),
        entry("c", at(&first), 5, "Ready"),
    ]);
    agent.change(2, list(2, false, change));
    until_members(&node, 3);
    deliver(&node, &second, "moved", 3);
    deliver(&node, &first, "behind", 5);
    assert!(node.log().contains("a list entry can't be read"), "{}", node.log());
    // Nothing serves destination 2 any more, but it was named, and so was 4.
    assert_eq!(node.hand_in("alert", "left", 2, 16_000, b"x"), 202);
    assert_eq!(node.hand_in("alert", "gone", 4, 16_000, b"x"), 202);
    assert_eq!(node.hand_in("alert", "never", 6, 16_000, b"x"), 404);
    // The last word on an entry holds, whatever the order.
    let change = rows(&[
        ("a", at(&first), 1, "Terminating"),
        ("a", at(&second), 1, "Ready"),
        ("c", at(&first), 5, "Ready"),
    ]);
    agent.change(3, list(3, false, change.chain(rows(&[("c", at(&first), 5, "Gone")]))));
    until_members(&node, 2);
    deliver(&node, &second, "again", 1);
    assert!(first.seen().iter().all(|r| r.id() != "moved" && r.id() != "again"));
}

#[test]
fn a_list_in_small_pieces_from_a_slow_agent_is_taken_and_holds_nothing_up() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(3, endpoint.address)));
    let node = node(&agent, 192);
    until_members(&node, 3);
    // Some 3,000 pieces: longer than any answer may take to begin.
    let new = list(2, true, many(1_200, endpoint.address));
    agent.tell(2, new, None, Manner::Pieces(64, Duration::from_millis(2)));
    let given = agent.given();
    let (begun, mut count) = (Instant::now(), 0);
    while figure(&node, "sender_members") == 3 {
        assert!(begun.elapsed() < BOUND, "{}", node.log());
        deliver(&node, &endpoint, &format!("m-{count}"), 1 + count % 3);
        count += 1;
    }
    assert!(begun.elapsed() > Duration::from_secs(5) && count > 50, "{count} in {:?}", begun.elapsed());
    until_members(&node, 1_200);
    assert!(agent.given() <= given + 1, "it was asked for more than once");
    deliver(&node, &endpoint, "new", 1_200);
}

/// So many endpoints: enough that each table grows many times, and few for a build that is not optimized.
const LARGE: u64 = 40_000;

#[test]
fn a_list_that_shrinks_takes_work_and_names_no_more() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(LARGE, endpoint.address)));
    let node = node(&agent, 192);
    until_members(&node, LARGE);
    deliver(&node, &endpoint, "last", LARGE);
    let large = resident(&node);
    // The same once more, in other words: nothing is new.
    agent.tell(2, list(2, true, many(LARGE, endpoint.address)).replace(",", " ,\n "), None, Manner::AtOnce);
    agent.wait_given(2);
    assert_eq!(figure(&node, "sender_members"), LARGE);
    assert!(resident(&node) < large * 1.5 + 8.0, "{} after {large} MB", resident(&node));
    let ten = list(3, true, many(10, endpoint.address));
    agent.tell(3, ten, None, Manner::AtOnce);
    until_members(&node, 10);
    assert_eq!(node.hand_in("alert", "gone", LARGE, 16_000, b"x"), 202, "its destination was named");
    deliver(&node, &endpoint, "left", 10);
    assert!(endpoint.seen().iter().all(|r| r.id() != "gone"));
}

#[test]
fn what_drains_in_a_large_list_gets_nothing_new_while_the_rest_is_taken() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(3, endpoint.address)));
    let node = node(&agent, 192);
    until_members(&node, 3);
    // The one that drains comes last, and one that is gone not at all.
    let drains = entry("s-00000001", endpoint.address, 1, "Terminating");
    let rest = many(LARGE, endpoint.address).skip(2).chain([drains]);
    agent.tell(2, list(2, true, rest), None, Manner::AtOnce);
    node.until("it is taken up", || figure(&node, "sender_members") > 3);
    for (id, dest) in [("drains", 1), ("gone", 2)] {
        assert_eq!(node.hand_in("alert", id, dest, 16_000, b"x"), 202);
    }
    deliver(&node, &endpoint, "third", 3);
    until_members(&node, LARGE - 1);
    deliver(&node, &endpoint, "last", LARGE);
    assert!(endpoint.seen().iter().all(|r| r.id() != "drains" && r.id() != "gone"));
}

#[test]
fn restart_and_handover_with_a_large_list() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(LARGE, endpoint.address)));
    let mut node = node(&agent, 192);
    until_members(&node, LARGE);
    deliver(&node, &endpoint, "before", LARGE);
    node.upgrade();
    until_members(&node, LARGE);
    node.terminate_older();
    assert!(node.wait_older().success());
    deliver(&node, &endpoint, "handed-over", LARGE - 1);
    // The list that the sender had last comes with its file; discovery has nothing newer.
    let known: Vec<_> = (1..=5_000).map(|n| ready(&format!("s-{n:08x}"), endpoint.address, n)).collect();
    node.kill();
    node.config["known"] = json!({"generation": 1, "reset": true, "instances": known});
    node.restart();
    until_members(&node, 5_000);
    deliver(&node, &endpoint, "restarted", 5_000);
    // A file that is read again says nothing of endpoints.
    node.config["known"]["instances"] = json!([{"instanceId": "unreadable"}]);
    node.reload(&node.config.to_string());
    node.until("it is taken", || figure(&node, "sender_config_reloads") == 1);
    assert_eq!(figure(&node, "sender_members"), 5_000);
}

#[test]
fn a_known_list_over_the_bound_is_turned_down_and_discovery_is_asked_for_another() {
    let endpoint = Peer::new(|_| ok());
    let agent = Agent::new(1, list(1, true, many(3, endpoint.address)));
    let known: Vec<_> = (1..=20_000).map(|n| ready(&format!("k-{n}"), nowhere(), n)).collect();
    let unused = Discovery::new(json!([]));
    let node = Node::with(&unused, json!(known), |config| {
        Node::controlled(config);
        config["discovery"] = agent.address.to_string().into();
        config["limits"]["memory_mb"] = json!(2);
    });
    until_members(&node, 3);
    assert_eq!(figure(&node, "sender_list_errors_total"), 1);
    let log = node.log();
    assert!(log.contains("the list known is turned down whole") && log.contains("config.json"), "{log}");
    deliver(&node, &endpoint, "m", 3);
}
