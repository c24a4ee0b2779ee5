//! A soak of real processes: clients keep their connections until the process at the other end is gone, while signals,
//! restarts, changes of the configuration, retirements and replacements come in series and overlap. What happens is
//! drawn from a seed.
//!
//! In CI some seeds of small systems are played. By hand, with as many seeds and processes as are wanted:
//! (with `SAME=1` the first seed as often) `SEED=1 SEEDS=50 AT_ONCE=5 STORES=5 EDGES=3 cargo test --release --test soak seeds_by_hand -- --ignored --nocapture`.
mod clients;
mod judge;
mod lot;
mod operations;
mod operator;
mod quotas;
#[path = "../rig/mod.rs"]
#[allow(dead_code)] // the worst days use the rest
mod rig;
mod tenants;
mod troubles;

use judge::{Judge, CONTACT};
use operator::Operator;
use rig::{call, pause, Rig, Size};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use troubles::Troubles;

/// What a run of a seed is like.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub size: Size,
    /// Processes are killed and stand still too.
    pub unplanned: bool,
    pub clients: usize,
    pub lasts: Duration,
}

/// After the last trouble everything that was taken has to be done within this.
const CALM: Duration = Duration::from_secs(45);
/// So many breaks of each rule are shown.
const SHOWN: usize = 10;
/// A question that is answered with 503 is asked again so often.
const ASKED_TIMES: usize = 5;
const READINESS_PAUSE_MS: u64 = 20;

/// Plays a seed; what was broken, and how much happened.
fn play(plan: Plan) -> (Vec<String>, String) {
    let judge = Arc::new(Judge::new(plan.seed));
    let answering = judge.clone();
    let rig = Rig::sized(plan.size, Arc::new(move |request, stream| answering.answer(request, stream)));
    let mut operator = Operator::new(plan.seed, judge.clone());
    operator.begin(&rig);
    pause(tenants::CONFIG_APPLY.as_millis() as u64);
    let clients = clients::start(&rig, plan, &judge);
    let mut troubles = Troubles::new(rig, plan, judge.clone(), operator);
    troubles.play();
    clients.stop();
    troubles.end();
    await_readiness(troubles.rig(), plan.size.edges, &judge);
    let until = Instant::now() + CALM;
    while judge.open() > 0 && Instant::now() < until {
        pause(100);
    }
    judge.check_end();
    judge.check_quotas();
    check_bodies(troubles.rig(), plan.size.edges, &judge);
    for line in troubles.rig().logged("panicked") {
        judge.broke(format!("a process panicked: {line}"));
    }
    let broken = judge.broken();
    if !broken.is_empty() {
        troubles.keep_logs(plan.seed);
    }
    (broken, format!("{}; {}", judge.summary(), troubles.summary()))
}

/// Every edge calls itself ready once it has been in touch for `CONTACT`. Until then one that was just started knows no
/// configuration and may answer 503.
fn await_readiness(rig: &Rig, edges: usize, judge: &Judge) {
    let until = Instant::now() + CONTACT;
    for edge in 0..edges {
        let is_ready = || {
            let answer = call(rig.readiness(edge), "GET", "/v1/ready", &[], "");
            answer.is_some_and(|answer| answer.status == 200)
        };
        while !is_ready() && Instant::now() < until {
            pause(READINESS_PAUSE_MS);
        }
        if !is_ready() {
            judge.broke(format!("READY: edge {edge} isn't ready {CONTACT:?} after the last trouble"));
        }
    }
}

/// In calm the state and the body of every message that has not ended, and of every dead letter, come back.
fn check_bodies(rig: &Rig, edges: usize, judge: &Judge) {
    for (turn, owed) in judge.owed().into_iter().enumerate() {
        let edge = rig.clients(turn % edges);
        let ask_for = |what: &str, tenant: &str| {
            let key = judge.ledger().newest_key(tenant).unwrap_or_default();
            let headers = [("Authorization", format!("Bearer {key}"))];
            let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
            let target = format!("/v1/{what}/{}", owed.id);
            let answers = (0..ASKED_TIMES).map(|_| call(edge, "GET", &target, &headers, ""));
            answers.flatten().find(|answer| answer.status != 503)
        };
        let ask = |what: &str| ask_for(what, &owed.tenant);
        let state = ask("message");
        if !state.as_ref().is_some_and(|answer| answer.body.contains(owed.state)) {
            judge.broke(format!("STATE: {} is {}, told {state:?}", owed.id, owed.state));
        }
        let body = ask("message-body");
        if !body.as_ref().is_some_and(|answer| answer.status == 200 && answer.body == owed.body) {
            let came = body.map(|answer| (answer.status, answer.body.len()));
            judge.broke(format!("MIXED: of the {} bytes of {} came {came:?}", owed.body.len(), owed.id));
        }
        let names = judge.ledger().names();
        let other = names.iter().cycle().skip(turn).find(|name| **name != owed.tenant);
        let shown = other.and_then(|other| ask_for("message-body", other));
        if shown.is_some_and(|answer| answer.status == 200) {
            judge.broke(format!("MIXED: {} of {} is shown to {other:?}", owed.id, owed.tenant));
        }
    }
}

/// Some of what was broken, of each rule, and how often each was.
fn some_of_each(broken: &[String]) -> Vec<String> {
    let mut by_rule: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
    for line in broken {
        by_rule.entry(line.split(':').next().unwrap_or_default()).or_default().push(line);
    }
    let show = |(rule, lines): (&str, Vec<&String>)| {
        let shown: Vec<String> = lines.iter().take(SHOWN).map(ToString::to_string).collect();
        [vec![format!("{rule} {} times", lines.len())], shown].concat()
    };
    by_rule.into_iter().flat_map(show).collect()
}

fn small(seed: u64) -> Plan {
    let size = Size { control: 3, stores: 5, edges: 3 };
    Plan { seed, size, unplanned: !seed.is_multiple_of(2), clients: 8, lasts: Duration::from_secs(20) }
}

#[rstest]
fn a_soak_of_real_processes_breaks_no_rule(#[values(1, 2)] seed: u64) {
    let (broken, summary) = play(small(seed));
    println!("seed {seed}: {summary}");
    assert!(broken.is_empty(), "seed {seed}: {:#?}; {summary}", some_of_each(&broken));
}

#[test]
#[ignore = "long, by hand"]
fn seeds_by_hand() {
    let number = |name: &str, other: u64| std::env::var(name).map_or(other, |text| text.parse().unwrap());
    let (first, count) = (number("SEED", 1), number("SEEDS", 1));
    let size = Size { control: 3, stores: number("STORES", 5) as usize, edges: number("EDGES", 3) as usize };
    let (clients, lasts) = (number("CLIENTS", 8) as usize, Duration::from_secs(number("SECONDS", 20)));
    let same = number("SAME", 0) > 0;
    let (next, failed) = (AtomicU64::new(first), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..number("AT_ONCE", 4) {
            scope.spawn(|| loop {
                let turn = next.fetch_add(1, Ordering::Relaxed);
                if turn >= first + count {
                    break;
                }
                let seed = if same { first } else { turn };
                let (broken, summary) = play(Plan { size, clients, lasts, ..small(seed) });
                println!("seed {seed}: {} broken; {summary}", broken.len());
                some_of_each(&broken).iter().for_each(|broken| println!("seed {seed}: {broken}"));
                failed.fetch_add(u64::from(!broken.is_empty()), Ordering::Relaxed);
            });
        }
    });
    println!("{} of {count} seeds broke a rule", failed.load(Ordering::Relaxed));
}
