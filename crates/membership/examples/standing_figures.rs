//! Figures of standing for docs/membership.md, on the tests' network:
//! cargo run --release -p membership --example standing_figures [SIZE]
//! Three thousand members take some minutes.
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{MemberState, Standing};
use network::{id, Dice, Net, INTERVAL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part) as usize];
    format!("{:.1} ({:.1} to {:.1})", at(0.5), at(0.05), at(0.95))
}

/// Rounds until something is so of everybody.
fn until(net: &mut Net, so: impl Fn(&Net) -> bool) -> f64 {
    let at = net.now;
    // A large fleet is looked at less often, as each look is at all of all.
    let step = if net.nodes.len() > 100 { 2 * INTERVAL } else { INTERVAL / 5 };
    while !so(net) {
        net.run(step);
        assert!(net.now - at < 400 * INTERVAL, "it never is");
    }
    (net.now - at) as f64 / INTERVAL as f64
}

fn cut(n: usize, seeds: u64) {
    let (mut known, mut whole, mut formed) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut net = Net::fleet(seed, n);
        formed.push(until(&mut net, |net| net.unsettled().is_none()));
        net.rounds(20);
        let small = 0..(2 * n / 5).max(1);
        for a in small.clone() {
            (small.end..n).for_each(|b| net.cut.extend([(a, b), (b, a)]));
        }
        let least = small.clone();
        known.push(until(&mut net, |net| least.clone().all(|m| net.standing(m) < Standing::Majority)));
        net.rounds(40);
        net.cut.clear();
        whole.push(until(&mut net, |net| net.unsettled().is_none()));
    }
    let (formed, known, whole) = (spread(formed), spread(known), spread(whole));
    println!("{n:5} members, {seeds} seeds, rounds: first start to whole {formed}, cut of two in five to a small part known by all of it {known}, heal to all whole {whole}");
}

fn traffic(n: usize, seeds: u64) {
    let (mut rest, mut churn) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let mut net = Net::fleet(seed, n);
        let mut dice = Dice::new(seed);
        until(&mut net, |net| net.unsettled().is_none());
        net.rounds(60);
        (net.bytes, net.datagrams) = (0, 0);
        net.rounds(30);
        rest.push(net.bytes as f64 / n as f64 / 30.0);
        net.bytes = 0;
        // One in a hundred a minute, by turns killed and restarted in order; never a seed, to keep the model simple.
        let each = 60.0 * 100.0 / n as f64;
        let (mut next, mut generation) = (0.0, 1);
        let rounds = 240.max((2.0 * each) as u64);
        for round in 0..rounds {
            while round as f64 >= next {
                next += each;
                generation += 1;
                let one = 2 + dice.below(n as u64 - 2) as usize;
                match generation % 2 {
                    0 => net.kill(one),
                    _ => net.leave(one),
                }
                net.start(one, id(one, generation), &[0, 1]);
            }
            net.rounds(1);
        }
        churn.push(net.bytes as f64 / n as f64 / rounds as f64);
    }
    println!(
        "{n:5} members, {seeds} seeds: bytes a member and round at rest {}, while 1% a minute start anew {}",
        spread(rest),
        spread(churn)
    );
}

/// Members that are well and are taken for failed while a fifth of all datagrams is lost.
fn lost(n: usize, rounds: u64) {
    let mut net = Net::fleet(7, n);
    until(&mut net, |net| net.unsettled().is_none());
    net.loss = 20;
    let (mut failed, mut small, mut was) = (0u64, 0u64, vec![true; n]);
    let mut seen = vec![vec![false; n]; n];
    for _ in 0..rounds {
        net.rounds(1);
        for m in 0..n {
            for (of, was) in seen[m].iter_mut().enumerate() {
                let is = net.state(m, &id(of, 1)) == Some(MemberState::Failed);
                failed += u64::from(is && !std::mem::replace(was, is));
                *was = is;
            }
            let stands = net.standing(m) >= Standing::Majority;
            small += u64::from(was[m] && !stands);
            was[m] = stands;
        }
    }
    println!("{n:5} members, {rounds} rounds at 20% lost: taken for failed {failed} times, fell into a small part {small} times");
}

fn main() {
    println!("medians (5th to 95th percentile) over seeds; a round is an interval of {INTERVAL} ms");
    let only: Option<usize> = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let sizes = [
        (3usize, 100u64, 20u64, 100_000),
        (5, 100, 20, 0),
        (30, 30, 10, 100_000),
        (300, 1, 1, 0),
        (3_000, 0, 1, 0),
    ];
    for (n, cuts, rests, losses) in sizes {
        if only.is_none_or(|only| only == n) {
            traffic(n, rests);
            if cuts > 0 {
                cut(n, cuts);
            }
            if losses > 0 {
                lost(n, losses);
            }
        }
    }
}
