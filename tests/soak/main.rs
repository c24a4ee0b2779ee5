//! A soak of real processes: clients keep their connections until the process at the other end is gone, while signals,
//! restarts, changes of the configuration, retirements and replacements come in series and overlap. What happens is
//! drawn from a seed.
//!
//! In CI some seeds of small systems are played. By hand, with as many seeds and processes as are wanted:
//! (with `SAME=1` the first seed as often) `SEED=1 SEEDS=50 AT_ONCE=5 STORES=5 EDGES=3 cargo test --release --test soak seeds_by_hand -- --ignored --nocapture`.
mod clients;
mod judge;
#[path = "../rig/mod.rs"]
#[allow(dead_code)] // the worst days use the rest
mod rig;
mod troubles;

use judge::Judge;
use rig::{call, pause, Rig, Size};
use rstest::rstest;
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
/// A question that is answered with 503 is asked again so often.
const ASKED_TIMES: usize = 5;

/// Plays a seed; what was broken, and how much happened.
fn play(plan: Plan) -> (Vec<String>, String) {
    let judge = Arc::new(Judge::new(plan.seed));
    let answering = judge.clone();
    let rig = Rig::sized(plan.size, Arc::new(move |request, stream| answering.answer(request, stream)));
    pause(2_500);
    let clients = clients::start(&rig, plan, &judge);
    let mut troubles = Troubles::new(rig, plan, judge.clone());
    troubles.play();
    clients.stop();
    troubles.end();
    let until = Instant::now() + CALM;
    while judge.open() > 0 && Instant::now() < until {
        pause(100);
    }
    judge.check_end();
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

/// In calm the state and the body of every message that has not ended, and of every dead letter, come back.
fn check_bodies(rig: &Rig, edges: usize, judge: &Judge) {
    for (turn, owed) in judge.owed().into_iter().enumerate() {
        let edge = rig.clients(turn % edges);
        let ask = |what: &str| {
            let answers =
                (0..ASKED_TIMES).map(|_| call(edge, "GET", &format!("/v1/{what}/{}", owed.id), &[], ""));
            answers.flatten().find(|answer| answer.status != 503)
        };
        let state = ask("message");
        if !state.as_ref().is_some_and(|answer| answer.body.contains(owed.state)) {
            judge.broke(format!("STATE: {} is {}, told {state:?}", owed.id, owed.state));
        }
        let body = ask("message-body");
        if !body.as_ref().is_some_and(|answer| answer.status == 200 && answer.body == owed.body) {
            let came = body.map(|answer| (answer.status, answer.body.len()));
            judge.broke(format!("MIXED: of the {} bytes of {} came {came:?}", owed.body.len(), owed.id));
        }
    }
}

fn small(seed: u64) -> Plan {
    let size = Size { control: 3, stores: 5, edges: 3 };
    Plan { seed, size, unplanned: !seed.is_multiple_of(2), clients: 8, lasts: Duration::from_secs(20) }
}

#[rstest]
fn a_soak_of_real_processes_breaks_no_rule(#[values(1, 2)] seed: u64) {
    let (broken, summary) = play(small(seed));
    println!("seed {seed}: {summary}");
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}; {summary}");
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
                broken.iter().take(10).for_each(|broken| println!("seed {seed}: {broken}"));
                failed.fetch_add(u64::from(!broken.is_empty()), Ordering::Relaxed);
            });
        }
    });
    println!("{} of {count} seeds broke a rule", failed.load(Ordering::Relaxed));
}
