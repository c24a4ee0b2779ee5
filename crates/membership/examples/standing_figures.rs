//! Measures the figures of standing for docs/membership.md on the tests' network. Three thousand members take
//! some minutes.
//!
//!     cargo run --release -p membership --example standing_figures [SIZE]
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{MemberState, Standing};
use network::{id, Network, Random, INTERVAL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let percentile = |fraction: f64| values[((values.len() - 1) as f64 * fraction) as usize];
    format!("{:.1} ({:.1} to {:.1})", percentile(0.5), percentile(0.05), percentile(0.95))
}

/// Rounds until a condition is met.
fn rounds_until(network: &mut Network, condition: impl Fn(&Network) -> bool) -> f64 {
    let started_at = network.now;
    // A large fleet is checked less often, as each check compares all members with all.
    let step = if network.nodes.len() > 100 { 2 * INTERVAL } else { INTERVAL / 5 };
    while !condition(network) {
        network.run(step);
        assert!(network.now - started_at < 400 * INTERVAL, "the condition is never met");
    }
    (network.now - started_at) as f64 / INTERVAL as f64
}

fn measure_partition(n: usize, seeds: u64) {
    let (mut detected, mut healed, mut formed) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut network = Network::fleet(seed, n);
        formed.push(rounds_until(&mut network, |network| network.unsettled().is_none()));
        network.rounds(20);
        let minority = 0..(2 * n / 5).max(1);
        for a in minority.clone() {
            (minority.end..n).for_each(|b| network.blocked_links.extend([(a, b), (b, a)]));
        }
        let minority_members = minority.clone();
        detected.push(rounds_until(&mut network, |network| {
            minority_members.clone().all(|m| network.standing(m) < Standing::Majority)
        }));
        network.rounds(40);
        network.blocked_links.clear();
        healed.push(rounds_until(&mut network, |network| network.unsettled().is_none()));
    }
    let (formed, detected, healed) = (spread(formed), spread(detected), spread(healed));
    println!("{n:5} members, {seeds} seeds, rounds: first start to whole {formed}, partition of two in five until all of them know that they are a minority {detected}, heal until all are whole {healed}");
}

fn measure_traffic(n: usize, seeds: u64) {
    let (mut at_rest, mut under_churn) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut network = Network::fleet(seed, n);
        let mut random = Random::new(seed);
        rounds_until(&mut network, |network| network.unsettled().is_none());
        network.rounds(60);
        (network.bytes, network.datagrams) = (0, 0);
        network.rounds(30);
        at_rest.push(network.bytes as f64 / n as f64 / 30.0);
        network.bytes = 0;
        // One in a hundred members per minute is restarted, killed and leaving by turns; never a seed, to
        // keep the model simple.
        let rounds_per_restart = 60.0 * 100.0 / n as f64;
        let (mut next, mut generation) = (0.0, 1);
        let rounds = 240.max((2.0 * rounds_per_restart) as u64);
        for round in 0..rounds {
            while round as f64 >= next {
                next += rounds_per_restart;
                generation += 1;
                let member = 2 + random.below(n as u64 - 2) as usize;
                match generation % 2 {
                    0 => network.kill(member),
                    _ => network.leave(member),
                }
                network.start(member, id(member, generation), &[0, 1]);
            }
            network.rounds(1);
        }
        under_churn.push(network.bytes as f64 / n as f64 / rounds as f64);
    }
    println!(
        "{n:5} members, {seeds} seeds: bytes per member and round at rest {}, while 1% per minute restart {}",
        spread(at_rest),
        spread(under_churn)
    );
}

/// Counts the healthy members that are declared failed while a fifth of all datagrams is lost.
fn measure_loss(n: usize, rounds: u64) {
    let mut network = Network::fleet(7, n);
    rounds_until(&mut network, |network| network.unsettled().is_none());
    network.loss_percent = 20;
    let (mut failed, mut majority_losses, mut had_majority) = (0u64, 0u64, vec![true; n]);
    let mut failed_before = vec![vec![false; n]; n];
    for _ in 0..rounds {
        network.rounds(1);
        for m in 0..n {
            for (subject, previous) in failed_before[m].iter_mut().enumerate() {
                let is_failed = network.state(m, &id(subject, 1)) == Some(MemberState::Failed);
                failed += u64::from(is_failed && !std::mem::replace(previous, is_failed));
                *previous = is_failed;
            }
            let has_majority = network.standing(m) >= Standing::Majority;
            majority_losses += u64::from(had_majority[m] && !has_majority);
            had_majority[m] = has_majority;
        }
    }
    println!("{n:5} members, {rounds} rounds at 20% lost: declared failed {failed} times, lost the majority {majority_losses} times");
}

fn main() {
    println!("medians (5th to 95th percentile) over seeds; a round is an interval of {INTERVAL} ms");
    let only_size: Option<usize> = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let sizes = [
        (3usize, 100u64, 20u64, 100_000),
        (5, 100, 20, 0),
        (30, 30, 10, 100_000),
        (300, 1, 1, 0),
        (3_000, 0, 1, 0),
    ];
    for (n, partition_seeds, traffic_seeds, loss_rounds) in sizes {
        if only_size.is_none_or(|only_size| only_size == n) {
            measure_traffic(n, traffic_seeds);
            if partition_seeds > 0 {
                measure_partition(n, partition_seeds);
            }
            if loss_rounds > 0 {
                measure_loss(n, loss_rounds);
            }
        }
    }
}
