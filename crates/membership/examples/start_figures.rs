//! A whole fleet that starts at once with the rosters that it kept, on the tests' network: rounds until all count all, and
//! until it is quiet; bytes and datagrams by kind.
//!
//!     cargo run --release -p membership --example start_figures [SIZE [SEEDS]]
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{EntryStatus, Roster};
use network::{address, id, Net};

/// Bytes a member and round that a fleet at rest stays under.
const QUIET: u64 = 400;
const MOST: u64 = 400;
/// Rounds of one line.
const STEP: u64 = 5;

fn play(n: usize, seed: u64) {
    let mut roster = Roster::default();
    (0..n).for_each(|m| _ = roster.set(&id(m, 1).name, EntryStatus::Expected, address(m)));
    let mut net = Net::new(seed);
    net.rosters = (0..n).map(|m| (m, roster.clone())).collect();
    (0..n).for_each(|m| net.start(m, id(m, 1), &[0, 1, 2]));
    let (mut all, mut round) = (None, 0);
    loop {
        (net.bytes, net.datagrams) = (0, 0);
        net.kinds.clear();
        net.rounds(STEP);
        round += STEP;
        let each = |total: u64| total as f64 / n as f64 / STEP as f64;
        let kinds: Vec<String> = net
            .kinds
            .iter()
            .map(|(kind, (count, bytes))| format!("{kind} {:.2} {:.0}", each(*count), each(*bytes)))
            .collect();
        let counted = net.nodes.values().filter(|node| node.counts() == (n, n)).count();
        println!(
            "{n} seed {seed} round {round:3}: {counted} count all, bytes {:.0}; {}",
            each(net.bytes),
            kinds.join(", ")
        );
        if all.is_none() && counted == n {
            all = Some(round);
        }
        let quiet = all.is_some() && net.bytes < QUIET * n as u64 * STEP;
        if quiet || round >= MOST {
            println!("{n} seed {seed}: all count all after {all:?} rounds, quiet {quiet} after {round}");
            return;
        }
    }
}

fn main() {
    let mut given = std::env::args().skip(1).filter_map(|n| n.parse().ok());
    let (n, seeds) = (given.next().unwrap_or(510), given.next().unwrap_or(1));
    println!("a member and round: datagrams and bytes by kind");
    (0..seeds as u64).for_each(|seed| play(n, seed));
}
