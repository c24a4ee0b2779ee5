//! What the primary tells hundreds of watchers over its own narrow link, and when each of them has it.
use control::{Command, State};
use net::rpc::{Exchange, Peers, RpcError, Transport};
use net::runtime;
use net::wake::Watched;
use node::calls::{Call, Custody, Endpoint, EndpointList, Hello, News, Role, Seen};
use node::control::news::{Bulletin, Newer};
use node::packed::pack;
use node::watch::{watch, Known, HOLD};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::Location;
use simulation::clock::WORLD;
use simulation::Simulation;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const PORT: u16 = 7_000;
/// The platform's bound for a configuration at machines in touch.
const CONFIG_APPLY_MS: u64 = 3_000;
/// A fifth of 300 watchers, behind a fifth of a link of 86 Mbit/s.
const WATCHERS: u8 = 60;
const LINK_BYTES_PER_MS: f64 = 86_000.0 / 8.0 / 5.0;
const STEP_MS: u64 = 5;
const ROUTES: usize = 1_000;

fn ip_of_primary() -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, 1))
}

fn text(lot: &mut Pcg64Mcg) -> String {
    format!("{:016x}", lot.random::<u64>())
}

/// A configuration like those of the large deployments, with names that compress badly. Each version has other bytes for
/// two of its routes, in different places.
fn configuration(version: u64) -> Vec<u8> {
    let mut lot = Pcg64Mcg::seed_from_u64(7);
    let route = |i: usize| {
        let changed = i == 10 || i == ROUTES - 10;
        let change = if changed { format!("v{version}/") } else { String::new() };
        let (name, host, path) = (text(&mut lot), text(&mut lot), text(&mut lot));
        serde_json::json!({"Name": name, "Host": format!("{host}.example"), "PathPrefix": format!("/{path}/{change}"),
            "Type": "async", "TimeoutMs": 1500, "TargetLatencyMs": 80, "TargetStartMs": 1200, "Priority": 2,
            "Backend": "work", "MaxAttempts": 4, "Ordered": false, "RetentionS": 90.0, "CallbackUrl": false})
    };
    let routes: Vec<_> = (0..ROUTES).map(route).collect();
    let service = serde_json::json!({"Name": "work", "HealthPath": "/health", "MaxConnections": 400, "Idempotent": false});
    let all = serde_json::json!({"Version": version, "Routes": routes, "Backends": [service]});
    all.to_string().into_bytes()
}

fn configured(state: &mut State, version: u64) {
    let command = Command::Configure { base: state.version, body: configuration(version) };
    let events = state.decide(&command).expect("a valid configuration");
    events.iter().for_each(|event| state.apply(event));
    state.position.number += 1;
}

/// What the primary sends: as the program does, or as a planted mistake whole to every watcher, as it did.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sending {
    AsBuilt,
    Whole,
}

/// The link of the primary: all answers that are on their way share it evenly, as connections do.
#[derive(Default)]
struct Link {
    /// The bytes that are left of each answer.
    flows: RefCell<BTreeMap<u64, f64>>,
    moved: Watched,
    next: Cell<u64>,
    sent: Cell<usize>,
}

/// An answer on its way; what its receiver gives up doesn't burden the link any more.
struct Flow {
    link: Rc<Link>,
    number: u64,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.link.flows.borrow_mut().remove(&self.number);
    }
}

impl Link {
    async fn pass_time(self: Rc<Self>) {
        loop {
            runtime::sleep(Duration::from_millis(STEP_MS)).await;
            let mut flows = self.flows.borrow_mut();
            let share = LINK_BYTES_PER_MS * STEP_MS as f64 / flows.len().max(1) as f64;
            flows.values_mut().for_each(|left| *left -= share);
            drop(flows);
            self.moved.raise();
        }
    }

    async fn carry(self: Rc<Self>, bytes: usize) {
        let number = self.next.get();
        self.next.set(number + 1);
        self.sent.set(self.sent.get() + bytes);
        self.flows.borrow_mut().insert(number, bytes as f64);
        let flow = Flow { link: self.clone(), number };
        loop {
            let seen = self.moved.get();
            if self.flows.borrow().get(&flow.number).is_none_or(|left| *left <= 0.0) {
                return;
            }
            self.moved.changed(seen).await;
        }
    }
}

/// A primary that always leads.
struct Primary {
    sending: Sending,
    bulletin: RefCell<Bulletin>,
    changes: Watched,
    link: Rc<Link>,
}

impl Primary {
    async fn answer(self: Rc<Self>, hello: Hello, seen: Seen) -> News {
        let begun = runtime::now();
        loop {
            let before = self.changes.get();
            let newer = self.newer(&hello, seen);
            let left = HOLD.saturating_sub(runtime::elapsed(begun));
            if !newer.is_empty() || left.is_zero() {
                let Newer { configuration, stores, list } = newer;
                let group = vec![ip_of_primary()];
                return News { leads: true, epoch: 1, primary: None, group, configuration, stores, list };
            }
            let _ = runtime::timeout(left, self.changes.changed(before)).await;
        }
    }

    fn newer(&self, hello: &Hello, seen: Seen) -> Newer {
        let bulletin = self.bulletin.borrow();
        let newer = bulletin.newer(seen, hello.role);
        let state = bulletin.state();
        let whole = || (state.version > seen.version).then(|| (state.version, pack(&state.body)));
        match self.sending {
            Sending::AsBuilt => newer,
            Sending::Whole => Newer { configuration: whole(), ..newer },
        }
    }
}

struct ToPrimary(Rc<Primary>);

impl Transport for ToPrimary {
    fn send(&self, _to: SocketAddr, call: Vec<u8>, within: Duration) -> Exchange {
        let primary = self.0.clone();
        Box::pin(async move {
            let Ok(Call::Watch(hello, seen)) = borsh::from_slice::<Call>(&call) else {
                return Err(RpcError::Broke);
            };
            let exchange = async move {
                runtime::sleep(Duration::from_millis(2)).await;
                let link = primary.link.clone();
                let answer = borsh::to_vec(&primary.answer(hello, seen).await).expect("writing to memory");
                link.carry(answer.len()).await;
                answer
            };
            runtime::timeout(within, exchange).await.map_err(|_| RpcError::TimedOut)
        })
    }
}

fn hello(number: u8) -> Hello {
    let (ip, location) = (IpAddr::V4(Ipv4Addr::new(10, 0, 2, number)), Location::default());
    Hello {
        name: format!("edge-{number}"),
        ip,
        location,
        role: Role::Edge,
        disk: 0,
        custody: Custody::default(),
    }
}

fn start_watchers(simulation: &Simulation, primary: &Rc<Primary>) -> Vec<Rc<Known>> {
    let start = |number: u8| {
        let known = Known::new(vec![ip_of_primary()]);
        let peers = Rc::new(Peers::on(Rc::new(ToPrimary(primary.clone()))));
        let watching = watch(known.clone(), peers, move || hello(number), PORT, vec![ip_of_primary()]);
        simulation.spawn_in(simulation.new_process("edge"), watching);
        known
    };
    (1..=WATCHERS).map(start).collect()
}

/// Publishes versions in short sequence, and tells the longest that one of them, or a later one, took to every watcher.
fn longest_ms(sending: Sending) -> u64 {
    const LAST: u64 = 5;
    const BETWEEN_MS: u64 = 1_400;
    const MOST_MS: u64 = 10_000;
    let simulation = Simulation::new(1);
    let link = Rc::new(Link::default());
    simulation.spawn_in(WORLD, link.clone().pass_time());
    let (bulletin, changes) = (RefCell::default(), Watched::default());
    let primary = Rc::new(Primary { sending, bulletin, changes, link: link.clone() });
    let watchers = start_watchers(&simulation, &primary);
    let mut state = State::default();
    let (mut published, mut longest) = (BTreeMap::new(), 0);
    let last = |published: &BTreeMap<u64, u64>| published.keys().next_back().copied().unwrap_or(0);
    while simulation.ms() < MOST_MS && watchers.iter().any(|known| known.version() < LAST) {
        if last(&published) < LAST && simulation.ms() >= last(&published) * BETWEEN_MS {
            configured(&mut state, last(&published) + 1);
            primary.bulletin.borrow_mut().publish(&state);
            primary.changes.raise();
            published.insert(state.version, simulation.ms());
        }
        simulation.run_for(Duration::from_millis(10));
        let oldest = watchers.iter().map(|known| known.version()).min().unwrap_or(0);
        let waiting = published.iter().find(|(version, _)| **version > oldest);
        longest = longest.max(waiting.map_or(0, |(_, at)| simulation.ms() - at));
    }
    println!("{} KB sent, longest {longest} ms", link.sent.get() / 1_000);
    runtime::simulate(None);
    longest
}

/// CONFIG: edges in touch went by version 4 more than 4 s after version 10 was acknowledged, while the primary sent each
/// version whole to all watchers at once, over a link on which none of them came within the time for which it was waited.
#[test]
fn versions_in_short_sequence_reach_all_watchers_of_a_narrow_link() {
    let longest = longest_ms(Sending::AsBuilt);
    assert!(longest <= CONFIG_APPLY_MS, "a version took {longest} ms");
}

#[test]
fn versions_that_are_sent_whole_are_found_to_come_late() {
    let longest = longest_ms(Sending::Whole);
    assert!(longest > CONFIG_APPLY_MS, "a version took {longest} ms");
}

/// A change of two routes costs every watcher a small part of the bytes of the whole.
#[test]
fn a_small_change_is_a_small_piece_for_those_that_have_the_version_before() {
    let (mut bulletin, mut state) = (Bulletin::default(), State::default());
    for version in 1..=2 {
        configured(&mut state, version);
        bulletin.publish(&state);
    }
    let seen = Seen { version: 1, base: 1, ..Seen::default() };
    let (version, piece) = bulletin.newer(seen, Role::Edge).configuration.expect("news");
    let whole = pack(&state.body).len();
    println!("{} bytes, {whole} whole, {} unpacked", piece.len(), state.body.len());
    assert_eq!(version, 2);
    assert!(piece.len() * 20 < whole, "{} of {whole} bytes", piece.len());
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |i: usize| Endpoint {
        id: format!("i-{:010x}", i * 7_919),
        service: "proofdesk".to_string(),
        address: format!("10.2.{}.{}:8{:03}", i / 250, i % 250, i % 1_000),
        zone: "nuernberg-dc".to_string(),
        capacity: 12,
        draining: i.is_multiple_of(9),
    };
    (0..count).map(endpoint).collect()
}

/// The list goes to stores alone, packed once for all of them.
#[test]
fn the_list_of_endpoints_goes_to_stores_in_a_third_of_its_bytes() {
    let mut bulletin = Bulletin::default();
    assert!(bulletin.publish_list((1, 1), endpoints(725)));
    assert!(!bulletin.publish_list((1, 2), endpoints(725)), "nothing is new");
    assert!(bulletin.newer(Seen::default(), Role::Edge).list.is_none());
    let list: EndpointList = bulletin.newer(Seen::default(), Role::Store).list.expect("news");
    assert_eq!(list.unpack(), Ok(endpoints(725)));
    let plain = borsh::to_vec(&endpoints(725)).unwrap().len();
    println!("{} of {plain} bytes", list.size());
    assert!(list.size() * 3 <= plain, "{} of {plain} bytes", list.size());
}
