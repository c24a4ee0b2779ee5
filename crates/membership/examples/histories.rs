//! One checksum per fleet size over all datagrams that fleets on the tests' network send under random faults.
//! A change of the program that should alter no decision and no datagram leaves the checksums as they are.
//!
//!     cargo run --release -p membership --example histories [SEEDS]
#[path = "../tests/network/mod.rs"]
mod network;
use network::{id, Network, Random};

/// Number of members, and most rounds between two faults.
const FLEETS: [(usize, u64); 5] = [(3, 25), (5, 25), (9, 25), (30, 40), (60, 60)];

fn run_fleet(seed: u64, n: usize, max_pause: u64) -> (u64, u32) {
    let mut random = Random::new(seed ^ 0x1157);
    let mut network = Network::new(seed);
    // In every third fleet some members speak version 1 only.
    network.version_1_only = (0..if seed % 3 == 2 { n / 3 } else { 0 }).collect();
    let mut generations = vec![1u64; n];
    (0..n).for_each(|m| network.start(m, id(m, 1), &[0, 1, 2]));
    network.rounds(random.below(40));
    for _ in 0..10 {
        network.loss_percent = [0, 0, 5, 30][random.below(4) as usize];
        network.max_delay = [20, 200, 900][random.below(3) as usize];
        network.duplicate_percent = 10 * random.below(2);
        let (member, half) = (random.below(n as u64) as usize, 1 + random.below(n as u64 - 1) as usize);
        match random.below(8) {
            0 if network.nodes.contains_key(&member) => network.kill(member),
            0 | 1 => {
                if random.percent(30) {
                    network.stored_rosters.remove(&member);
                }
                generations[member] += 1;
                network.start(member, id(member, generations[member]), &[0, 1, 2]);
            }
            2 => network.pause(member),
            3 => network.resume(member),
            4 => {
                (0..half).for_each(|a| (half..n).for_each(|b| network.blocked_links.extend([(a, b), (b, a)])))
            }
            5 => (0..half).for_each(|a| (half..n).for_each(|b| _ = network.blocked_links.insert((a, b)))),
            6 if network.nodes.len() > 2 => network.leave(member),
            _ => network.blocked_links.clear(),
        }
        if network.nodes.contains_key(&0) && random.percent(20) {
            let _ = network.strike(0, &id(member, 1).name, random.percent(50));
        }
        network.rounds(1 + random.below(max_pause));
        network.check_incarnations();
    }
    network.blocked_links.clear();
    (network.loss_percent, network.duplicate_percent) = (0, 0);
    // Long enough to forget members that failed or left, and to expire the memory of them.
    network.rounds(750);
    (network.datagrams, network.history())
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(30);
    for (n, max_pause) in FLEETS {
        let (mut datagrams, mut sum) = (0, crc32fast::Hasher::new());
        for seed in 0..seeds {
            let (sent, history) = run_fleet(seed, n, max_pause);
            datagrams += sent;
            sum.update(&history.to_le_bytes());
        }
        println!("{n:3} members, seeds 0 to {}: {datagrams} datagrams, {:08x}", seeds - 1, sum.finalize());
    }
}
