//! Measures the figures for docs/membership.md on the tests' network. Three hundred members take some
//! minutes.
//!
//!     cargo run --release -p membership --example membership_figures [SIZE]
#[path = "../tests/network/mod.rs"]
mod network;
use membership::MemberState;
use network::{id, Network, INTERVAL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let percentile = |fraction: f64| values[((values.len() - 1) as f64 * fraction) as usize];
    format!("{:.1} ({:.1} to {:.1})", percentile(0.5), percentile(0.05), percentile(0.95))
}

fn main() {
    println!("medians (5th to 95th percentile) over seeds; a round is an interval of {INTERVAL} ms");
    let only_size: Option<usize> = std::env::args().nth(1).and_then(|n| n.parse().ok());
    for (n, seeds) in [(3usize, 200u64), (30, 100), (300, 4)] {
        if only_size.is_some_and(|only_size| only_size != n) {
            continue;
        }
        let (mut first_suspicions, mut first_failures, mut all_failures) =
            (Vec::new(), Vec::new(), Vec::new());
        let mut traffic = Vec::new();
        for seed in 0..seeds {
            let mut network = Network::fleet(seed, n);
            network.rounds(20);
            (network.bytes, network.datagrams) = (0, 0);
            network.rounds(20);
            traffic.push(network.bytes as f64 / n as f64 / 20.0);
            let killed = id(n - 1, 1);
            network.kill(n - 1);
            let killed_at = network.now;
            let (mut first_suspected, mut first_failed) = (None, None);
            loop {
                // A large fleet is checked less often, as each check compares all members with all.
                network.run(if n > 100 { INTERVAL / 2 } else { INTERVAL / 10 });
                let rounds = (network.now - killed_at) as f64 / INTERVAL as f64;
                let states: Vec<_> = (0..n - 1).map(|m| network.state(m, &killed)).collect();
                if first_suspected.is_none() && states.iter().any(|s| *s != Some(MemberState::Alive)) {
                    first_suspected = Some(rounds);
                }
                let failed = |s: &Option<MemberState>| *s == Some(MemberState::Failed);
                if first_failed.is_none() && states.iter().any(failed) {
                    first_failed = Some(rounds);
                }
                if states.iter().all(failed) {
                    first_suspicions.extend(first_suspected);
                    first_failures.extend(first_failed);
                    all_failures.push(rounds);
                    break;
                }
                assert!(rounds < 200.0, "{n}, seed {seed}");
            }
        }
        println!(
            "{n:4} members, {seeds} seeds: rounds until suspected {}, failed to the first {}, to all {}",
            spread(first_suspicions),
            spread(first_failures),
            spread(all_failures)
        );
        println!("{n:4} members: bytes per member and round {}", spread(traffic));
        for loss_percent in [0, 5, 20] {
            let (mut suspicions, mut failures, mut rounds) = (0, 0, 0u64);
            for seed in 0..seeds / 2 {
                let mut network = Network::fleet(seed, n);
                network.rounds(15);
                network.loss_percent = loss_percent;
                let mut previous_states = vec![vec![MemberState::Alive; n]; n];
                for _ in 0..if n > 100 { 20 } else { 60 } {
                    network.rounds(1);
                    rounds += n as u64;
                    for (m, row) in previous_states.iter_mut().enumerate() {
                        for (subject, previous) in row.iter_mut().enumerate() {
                            let Some(state) = network.state(m, &id(subject, 1)) else { continue };
                            suspicions +=
                                usize::from(state == MemberState::Suspect && *previous == MemberState::Alive);
                            failures +=
                                usize::from(state == MemberState::Failed && *previous != MemberState::Failed);
                            *previous = state;
                        }
                    }
                }
            }
            let per_round = |count: usize| count as f64 / rounds as f64 / n as f64;
            println!("{n:4} members, {loss_percent:2}% lost: per pair of members and round, suspicions {:.6}, declared failed {:.6}", per_round(suspicions), per_round(failures));
        }
    }
}
