//! Figures for docs/duties.md, on the tests' model: cargo run --release -p lease --example duty_figures
#[path = "../tests/model/mod.rs"]
mod model;
use lease::Ms;
use model::{World, TTL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part) as usize];
    format!("{:.2} ({:.2} to {:.2})", at(0.5), at(0.05), at(0.95))
}

/// One that holds, with the others waiting, and nothing going wrong.
fn settled(seed: u64, n: usize) -> World {
    let mut world = World::new(seed, n, true, 10);
    (world.acts, world.freezes) = (false, 0);
    while world.waiting() < n - 1 || world.holders().is_empty() {
        world.run(200).unwrap();
    }
    let more = world.dice.below(TTL);
    world.run(more).unwrap();
    world
}

/// How long nobody holds it after something happened to the holder.
fn gap(world: &mut World, old: usize) -> Ms {
    let (mut at, mut free) = (world.now, None);
    loop {
        let holders = world.holders();
        if holders.iter().any(|&h| h != old) {
            return world.now - free.unwrap_or(at);
        }
        if holders.is_empty() {
            free.get_or_insert(world.now);
        } else {
            at = world.now;
        }
        world.run(20).unwrap();
        assert!(world.now < at + 20 * TTL);
    }
}

fn main() {
    println!(
        "seconds without a holder, leases of {} s, 3 candidates, 300 seeds: median (5th to 95th percentile)",
        TTL / 1_000
    );
    for what in ["resigned", "killed", "cut off"] {
        let gaps = (0..300).map(|seed| {
            let mut world = settled(seed, 3);
            let old = world.holders()[0];
            match what {
                "resigned" => world.resign(old),
                "killed" => world.kill(old),
                _ => world.ones[old].cut = true,
            }
            gap(&mut world, old) as f64 / 1e3
        });
        println!("  {what}: {}", spread(gaps.collect()));
    }
    println!("questions at the store in the second of a change, besides renewals");
    for n in [3, 30, 300] {
        let asked = (0..10).map(|seed| {
            let mut world = settled(seed, n);
            let before = world.store.asked;
            let old = world.holders()[0];
            world.resign(old);
            world.run(1_000).unwrap();
            (world.store.asked - before) as f64
        });
        println!("  {n} candidates: {}", spread(asked.collect()));
    }
}
