//! A whole fleet on the tests' network that starts at once with its stored rosters: rounds until every member
//! counts all others, and until the traffic is at its normal level; bytes and datagrams by kind.
//!
//!     cargo run --release -p membership --example start_figures [SIZE [SEEDS]]
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{EntryStatus, Roster};
use network::{address, id, Network};

/// Bytes per member and round that a fleet at rest stays below.
const QUIET_BYTES: u64 = 400;
const MAX_ROUNDS: u64 = 400;
/// Rounds that each output line covers.
const ROUNDS_PER_LINE: u64 = 5;

fn run_fleet(n: usize, seed: u64) {
    let mut roster = Roster::default();
    (0..n).for_each(|m| _ = roster.set(&id(m, 1).name, EntryStatus::Expected, address(m)));
    let mut network = Network::new(seed);
    network.stored_rosters = (0..n).map(|m| (m, roster.clone())).collect();
    (0..n).for_each(|m| network.start(m, id(m, 1), &[0, 1, 2]));
    let (mut settled_at, mut round) = (None, 0);
    loop {
        (network.bytes, network.datagrams) = (0, 0);
        network.kinds.clear();
        network.rounds(ROUNDS_PER_LINE);
        round += ROUNDS_PER_LINE;
        let each = |total: u64| total as f64 / n as f64 / ROUNDS_PER_LINE as f64;
        let kinds: Vec<String> = network
            .kinds
            .iter()
            .map(|(kind, (count, bytes))| format!("{kind} {:.2} {:.0}", each(*count), each(*bytes)))
            .collect();
        let count_all = network.nodes.values().filter(|node| node.counts() == (n, n)).count();
        println!(
            "{n} seed {seed} round {round:3}: {count_all} count all, bytes {:.0}; {}",
            each(network.bytes),
            kinds.join(", ")
        );
        if settled_at.is_none() && count_all == n {
            settled_at = Some(round);
        }
        let quiet = settled_at.is_some() && network.bytes < QUIET_BYTES * n as u64 * ROUNDS_PER_LINE;
        if quiet || round >= MAX_ROUNDS {
            println!(
                "{n} seed {seed}: all count all after {settled_at:?} rounds, quiet {quiet} after {round}"
            );
            return;
        }
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|n| n.parse().ok());
    let (n, seeds) = (arguments.next().unwrap_or(510), arguments.next().unwrap_or(1));
    println!("per member and round: datagrams and bytes by kind");
    (0..seeds as u64).for_each(|seed| run_fleet(n, seed));
}
