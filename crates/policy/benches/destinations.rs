//! Measures the cost of destinations: listed only, in use, idle again, removed; of a changed entry; of a
//! message. Prints a line for each. Times are of the processor clock in this one thread, under virtual time.
#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/counting.rs"]
mod counting;

use common::{entry, settings};
use policy::api::*;
use policy::rules::Sender;
use std::collections::BTreeMap;
use std::time::Instant;

#[global_allocator]
static MEMORY: counting::Counting = counting::Counting::new();

const DESTS: u64 = 140_000;
const ENDPOINTS: u64 = 240_000;
const START: Ns = 1_000 * SECOND;

fn cfg() -> Settings {
    let base = settings();
    let classes = base.classes[..2].to_vec();
    Settings { classes, slots: 400, max_open: 20_000, n_instances: 510, ..base }
}

/// One or two endpoints for each destination.
fn list(dests: u64, endpoints: u64) -> Vec<Entry> {
    (0..endpoints).map(|e| entry(e as EndpointId, e % dests, 0)).collect()
}

struct Run {
    sender: Sender,
    now: Ns,
    actions: Vec<Action>,
    ends: BTreeMap<(Ns, MsgId), EndpointId>,
    next: MsgId,
    sent: u64,
}

impl Run {
    fn new() -> Run {
        let (sender, actions) = (Sender::new(cfg(), 7), Vec::new());
        Run { sender, now: START, actions, ends: BTreeMap::new(), next: 0, sent: 0 }
    }

    fn handle(&mut self, events: &[Event]) {
        self.actions.clear();
        self.sender.handle(self.now, events, &mut self.actions);
        for action in &self.actions {
            if let Action::Send { id, endpoint, .. } = *action {
                self.sent += 1;
                self.ends.insert((self.now + 20 * MS, id), endpoint);
            }
        }
    }

    fn list(&mut self, entries: Vec<Entry>) {
        self.handle(&[Event::List { complete: true, entries }]);
    }

    /// A message a millisecond, to each destination in turn; each is served after 20 ms.
    fn messages(&mut self, count: u64, dest: impl Fn(u64) -> DestId) {
        for i in 0..count {
            self.now += MS;
            self.end();
            let message = common::message(self.next, dest(i), (i % 2) as usize);
            self.next += 1;
            self.handle(&[Event::Message(message)]);
        }
    }

    fn end(&mut self) {
        while let Some((&(at, id), &endpoint)) = self.ends.first_key_value() {
            if at > self.now {
                break;
            }
            self.ends.remove(&(at, id));
            let took = 20 * MS;
            self.handle(&[Event::AttemptEnd(AttemptEnd {
                took,
                ..common::end(id, 0, endpoint, Outcome::Served)
            })]);
        }
    }

    /// Advances the clock with timers only.
    fn advance(&mut self, span: Ns) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100 * MS;
            self.end();
            self.handle(&[Event::Timer]);
        }
    }
}

fn mb(bytes: usize) -> f64 {
    bytes as f64 / 1e6
}

fn memory() {
    let base = MEMORY.held();
    let mut run = Run::new();
    let entries = list(DESTS, ENDPOINTS);
    let complete_list = Event::List { complete: true, entries };
    let before = MEMORY.held();
    let start = Instant::now();
    run.handle(std::slice::from_ref(&complete_list));
    println!(
        "listed {DESTS} of {ENDPOINTS} endpoints: {:.1} MB, {:?}",
        mb(MEMORY.held() - before),
        start.elapsed()
    );
    MEMORY.peak();
    let start = Instant::now();
    run.handle(std::slice::from_ref(&complete_list));
    println!("the same list again: {:?}, peak {:.1} MB above", start.elapsed(), mb(MEMORY.peak() - before));
    drop(complete_list);
    let listed = MEMORY.held();
    run.messages(10_000, |i| i * 14);
    run.advance(SECOND);
    println!("10,000 of them used: {:.1} MB more", mb(MEMORY.held().saturating_sub(listed)));
    run.advance(50 * SECOND);
    println!("50 s later: {:.1} MB more", mb(MEMORY.held().saturating_sub(listed)));
    run.advance(100 * SECOND);
    println!("150 s later: {:.1} MB more", mb(MEMORY.held().saturating_sub(listed)));
    run.list(list(10, 10));
    run.advance(120 * SECOND);
    println!("the list has shrunk to 10: {:.3} MB in all", mb(MEMORY.held() - base));
}

/// Measures changes of one listed entry: the median time of 1,000, and the mean number of allocations.
fn change(dests: u64, endpoints: u64, used: bool) {
    let mut run = Run::new();
    run.list(list(dests, endpoints));
    if used {
        run.messages(20_000, |i| i % dests);
        run.advance(SECOND);
    }
    let mut times = Vec::new();
    let calls = MEMORY.calls();
    for i in 0..1_000u64 {
        run.now += MS;
        let at = (i * 7_919) % endpoints;
        let condition = if i % 2 == 0 { Condition::Draining } else { Condition::Ready };
        let entry = Entry { condition, ..entry(at as EndpointId, at % dests, 0) };
        let event = [Event::List { complete: false, entries: vec![entry] }];
        let start = Instant::now();
        run.handle(&event);
        times.push(start.elapsed());
    }
    let calls = (MEMORY.calls() - calls) as f64 / times.len() as f64;
    times.sort();
    let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
    println!("a changed entry among {dests}, used {used}: median {median:?}, most {most:?}, {calls:.1} allocations");
}

fn message(dests: u64, endpoints: u64) {
    let mut run = Run::new();
    run.list(list(dests, endpoints));
    run.messages(10_000, |i| (i * 7_919) % dests);
    let (calls, sent, start) = (MEMORY.calls(), run.sent, Instant::now());
    run.messages(30_000, |i| (i * 7_919) % dests);
    let (sent, took) = (run.sent - sent, start.elapsed());
    let calls = (MEMORY.calls() - calls) as f64 / sent as f64;
    println!(
        "a message among {dests}: {:.2} us, {calls:.1} allocations",
        took.as_secs_f64() * 1e6 / sent as f64
    );
}

/// Runs the measurements that are named as arguments, or all.
fn main() {
    let only: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wants = |part: &str| only.is_empty() || only.iter().any(|o| o == part);
    if wants("message") {
        [(30, 30), (1_000, 1_000), (4_000, 4_000), (DESTS, ENDPOINTS)]
            .into_iter()
            .for_each(|(d, e)| message(d, e));
    }
    if wants("change") {
        for used in [false, true] {
            change(30, 30, used);
            change(DESTS, ENDPOINTS, used);
        }
    }
    if wants("memory") {
        memory();
    }
}
