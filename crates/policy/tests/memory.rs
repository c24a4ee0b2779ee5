//! Memory and allocations depend on destinations in use, not on listed ones.
mod common;
#[path = "common/counting.rs"]
mod counting;

use common::*;
use policy::api::*;

#[global_allocator]
static MEMORY: counting::Counting = counting::Counting::new();

const DESTS: u64 = 14_000;
const ENDPOINTS: u64 = 24_000;

fn list(dests: u64, endpoints: u64) -> Vec<Entry> {
    (0..endpoints).map(|e| entry(e as EndpointId, e % dests, 0)).collect()
}

fn cfg() -> Settings {
    Settings { slots: 400, max_open: 20_000, n_instances: 510, ..settings() }
}

/// Sends one message to each destination, and all are served.
fn serve(harness: &mut Harness, first: MsgId, dests: std::ops::Range<DestId>) {
    for (i, dest) in dests.enumerate() {
        harness.now += MS;
        let sent = sends(&harness.submit(message(first + i as MsgId, dest, 1)));
        harness.now += MS;
        harness.end(end(sent[0].0, 0, sent[0].1, Outcome::Served));
    }
}

fn idle(harness: &mut Harness, span: Ns) {
    let until = harness.now + span;
    while harness.now < until {
        harness.now += 100 * MS;
        harness.handle(vec![Event::Timer]);
    }
}

/// The mean number of allocations for one changed entry.
fn allocations_per_change(harness: &mut Harness) -> f64 {
    let (count, before) = (200, MEMORY.calls());
    for i in 0..count {
        let condition = if i % 2 == 0 { Condition::Draining } else { Condition::Ready };
        let entries = vec![Entry { condition, ..entry(7, 7, 0) }];
        harness.now += MS;
        harness.handle(vec![Event::List { complete: false, entries }]);
    }
    (MEMORY.calls() - before) as f64 / f64::from(count)
}

/// Only one test, as all threads of a test program share the allocator.
#[test]
fn memory_grows_with_use_and_is_freed_afterwards() {
    let per = |bytes: usize, count: u64| bytes as f64 / count as f64;
    let mut small = Harness::new(cfg(), &list(30, 30));
    let few = allocations_per_change(&mut small);
    drop(small);
    let entries = list(DESTS, ENDPOINTS);
    let empty = MEMORY.held();
    let mut harness = Harness::new(cfg(), &entries);
    let listed = MEMORY.held() - empty;
    assert!(per(listed, ENDPOINTS) < 130.0, "{:.0} bytes for a listed endpoint", per(listed, ENDPOINTS));
    let many = allocations_per_change(&mut harness);
    assert!(many <= few * 1.5, "allocations for a changed entry: {few} of 30, {many} of {DESTS}");
    // The same list again takes nothing more.
    harness.handle(vec![Event::List { complete: true, entries: entries.clone() }]);
    idle(&mut harness, SECOND);
    serve(&mut harness, 0, 0..1_000);
    idle(&mut harness, SECOND);
    let used = MEMORY.held() - empty - listed;
    assert!(per(used, 1_000) < 2_000.0, "{:.0} bytes for a destination in use", per(used, 1_000));
    idle(&mut harness, 120 * SECOND);
    let rest = (MEMORY.held() - empty).saturating_sub(listed);
    assert!(per(rest, 1_000) < 20.0, "{:.0} bytes for one that was in use", per(rest, 1_000));
    // Removed one by one, then all at once.
    for e in entries.iter().skip(10).take(1_000) {
        harness.handle(vec![Event::List {
            complete: false,
            entries: vec![Entry { condition: Condition::Gone, ..*e }],
        }]);
    }
    idle(&mut harness, 30 * SECOND);
    let fewer = MEMORY.held() - empty;
    let gone = (listed + rest).saturating_sub(fewer);
    assert!(per(gone, 1_000) > 50.0, "{:.0} bytes freed for each removed endpoint", per(gone, 1_000));
    harness.handle(vec![Event::List { complete: true, entries: list(10, 10) }]);
    idle(&mut harness, 120 * SECOND);
    let last = MEMORY.held() - empty;
    assert!(last < 20_000, "{last} bytes for a list of 10");
}
