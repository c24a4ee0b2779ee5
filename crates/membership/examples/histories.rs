//! One sum over all that fleets on the tests' network send while faults of all kinds strike them, by size: a change of the
//! program that is to change no decision and no datagram leaves them as they are.
//!
//!     cargo run --release -p membership --example histories [SEEDS]
#[path = "../tests/network/mod.rs"]
mod network;
use network::{id, Dice, Net};

/// Members, and rounds between two faults at most.
const FLEETS: [(usize, u64); 5] = [(3, 25), (5, 25), (9, 25), (30, 40), (60, 60)];

fn play(seed: u64, n: usize, pause: u64) -> (u64, u32) {
    let mut dice = Dice::new(seed ^ 0x1157);
    let mut net = Net::new(seed);
    // Every third fleet has some that speak the first form only.
    net.old = (0..if seed % 3 == 2 { n / 3 } else { 0 }).collect();
    let mut lives = vec![1u64; n];
    (0..n).for_each(|m| net.start(m, id(m, 1), &[0, 1, 2]));
    net.rounds(dice.below(40));
    for _ in 0..10 {
        net.loss = [0, 0, 5, 30][dice.below(4) as usize];
        net.delay = [20, 200, 900][dice.below(3) as usize];
        net.twice = 10 * dice.below(2);
        let (one, half) = (dice.below(n as u64) as usize, 1 + dice.below(n as u64 - 1) as usize);
        match dice.below(8) {
            0 if net.nodes.contains_key(&one) => net.kill(one),
            0 | 1 => {
                if dice.percent(30) {
                    net.rosters.remove(&one);
                }
                lives[one] += 1;
                net.start(one, id(one, lives[one]), &[0, 1, 2]);
            }
            2 => net.stop(one),
            3 => net.go_on(one),
            4 => (0..half).for_each(|a| (half..n).for_each(|b| net.cut.extend([(a, b), (b, a)]))),
            5 => (0..half).for_each(|a| (half..n).for_each(|b| _ = net.cut.insert((a, b)))),
            6 if net.nodes.len() > 2 => net.leave(one),
            _ => net.cut.clear(),
        }
        if net.nodes.contains_key(&0) && dice.percent(20) {
            let _ = net.strike(0, &id(one, 1).name, dice.percent(50));
        }
        net.rounds(1 + dice.below(pause));
        net.check_incarnations();
    }
    net.cut.clear();
    (net.loss, net.twice) = (0, 0);
    // Long enough that those who ended are forgotten, and that what was forgotten is.
    net.rounds(750);
    (net.datagrams, net.history())
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(30);
    for (n, pause) in FLEETS {
        let (mut datagrams, mut sum) = (0, crc32fast::Hasher::new());
        for seed in 0..seeds {
            let (sent, history) = play(seed, n, pause);
            datagrams += sent;
            sum.update(&history.to_le_bytes());
        }
        println!("{n:3} members, seeds 0 to {}: {datagrams} datagrams, {:08x}", seeds - 1, sum.finalize());
    }
}
