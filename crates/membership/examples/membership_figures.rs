//! Figures for docs/membership.md, on the tests' network: cargo run --release -p membership --example membership_figures [SIZE]
//! Three hundred members take some minutes.
#[path = "../tests/network/mod.rs"]
mod network;
use membership::MemberState;
use network::{id, Net, INTERVAL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part) as usize];
    format!("{:.1} ({:.1} to {:.1})", at(0.5), at(0.05), at(0.95))
}

fn main() {
    println!("medians (5th to 95th percentile) over seeds; a round is an interval of {INTERVAL} ms");
    let only: Option<usize> = std::env::args().nth(1).and_then(|n| n.parse().ok());
    for (n, seeds) in [(3usize, 200u64), (30, 100), (300, 4)] {
        if only.is_some_and(|only| only != n) {
            continue;
        }
        let (mut suspected, mut first, mut all) = (Vec::new(), Vec::new(), Vec::new());
        let mut traffic = Vec::new();
        for seed in 0..seeds {
            let mut net = Net::fleet(seed, n);
            net.rounds(20);
            (net.bytes, net.datagrams) = (0, 0);
            net.rounds(20);
            traffic.push(net.bytes as f64 / n as f64 / 20.0);
            let gone = id(n - 1, 1);
            net.kill(n - 1);
            let at = net.now;
            let (mut doubt, mut known) = (None, None);
            loop {
                // A large fleet is looked at less often, as each look is at all of all.
                net.run(if n > 100 { INTERVAL / 2 } else { INTERVAL / 10 });
                let rounds = (net.now - at) as f64 / INTERVAL as f64;
                let states: Vec<_> = (0..n - 1).map(|m| net.state(m, &gone)).collect();
                if doubt.is_none() && states.iter().any(|s| *s != Some(MemberState::Alive)) {
                    doubt = Some(rounds);
                }
                let failed = |s: &Option<MemberState>| *s == Some(MemberState::Failed);
                if known.is_none() && states.iter().any(failed) {
                    known = Some(rounds);
                }
                if states.iter().all(failed) {
                    suspected.extend(doubt);
                    first.extend(known);
                    all.push(rounds);
                    break;
                }
                assert!(rounds < 200.0, "{n}, seed {seed}");
            }
        }
        println!(
            "{n:4} members, {seeds} seeds: rounds until suspected {}, failed to the first {}, to all {}",
            spread(suspected),
            spread(first),
            spread(all)
        );
        println!("{n:4} members: bytes a member and round {}", spread(traffic));
        for loss in [0, 5, 20] {
            let (mut doubts, mut failures, mut rounds) = (0, 0, 0u64);
            for seed in 0..seeds / 2 {
                let mut net = Net::fleet(seed, n);
                net.rounds(15);
                net.loss = loss;
                let mut before = vec![vec![MemberState::Alive; n]; n];
                for _ in 0..if n > 100 { 20 } else { 60 } {
                    net.rounds(1);
                    rounds += n as u64;
                    for (m, row) in before.iter_mut().enumerate() {
                        for (of, was) in row.iter_mut().enumerate() {
                            let Some(state) = net.state(m, &id(of, 1)) else { continue };
                            doubts +=
                                usize::from(state == MemberState::Suspect && *was == MemberState::Alive);
                            failures +=
                                usize::from(state == MemberState::Failed && *was != MemberState::Failed);
                            *was = state;
                        }
                    }
                }
            }
            let a_round = |count: usize| count as f64 / rounds as f64 / n as f64;
            println!("{n:4} members, {loss:2}% lost: of a member in the eyes of another and round, suspicions {:.6}, taken for failed {:.6}", a_round(doubts), a_round(failures));
        }
    }
}
