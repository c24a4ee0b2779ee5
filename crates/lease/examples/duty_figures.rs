//! Measures the figures for docs/duties.md on the tests' model:
//!
//!     cargo run --release -p lease --example duty_figures
#[path = "../tests/model/mod.rs"]
mod model;
use lease::Ms;
use model::{World, TTL};

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let percentile = |part: f64| values[((values.len() - 1) as f64 * part) as usize];
    format!("{:.2} ({:.2} to {:.2})", percentile(0.5), percentile(0.05), percentile(0.95))
}

/// A world in which one process holds the duty, the others wait, and nothing fails.
fn world_with_holder(seed: u64, n: usize) -> World {
    let mut world = World::new(seed, n, true, 10);
    (world.permits_enabled, world.freeze_percent) = (false, 0);
    while world.waiting() < n - 1 || world.holders().is_empty() {
        world.run(200).unwrap();
    }
    let extra = world.random.below(TTL);
    world.run(extra).unwrap();
    world
}

/// How long nobody holds the duty after a fault of the holder.
fn time_without_holder(world: &mut World, old_holder: usize) -> Ms {
    let (mut last_held, mut free_since) = (world.now, None);
    loop {
        let holders = world.holders();
        if holders.iter().any(|&h| h != old_holder) {
            return world.now - free_since.unwrap_or(last_held);
        }
        if holders.is_empty() {
            free_since.get_or_insert(world.now);
        } else {
            last_held = world.now;
        }
        world.run(20).unwrap();
        assert!(world.now < last_held + 20 * TTL);
    }
}

fn main() {
    println!(
        "seconds without a holder, leases of {} s, 3 candidates, 300 seeds: median (5th to 95th percentile)",
        TTL / 1_000
    );
    for event in ["resigned", "killed", "cut off"] {
        let gaps = (0..300).map(|seed| {
            let mut world = world_with_holder(seed, 3);
            let old_holder = world.holders()[0];
            match event {
                "resigned" => world.resign(old_holder),
                "killed" => world.kill(old_holder),
                _ => world.processes[old_holder].partitioned = true,
            }
            time_without_holder(&mut world, old_holder) as f64 / 1e3
        });
        println!("  {event}: {}", spread(gaps.collect()));
    }
    println!("requests to the store in the second after a change, besides renewals");
    for n in [3, 30, 300] {
        let requests = (0..10).map(|seed| {
            let mut world = world_with_holder(seed, n);
            let requests_before = world.store.request_count;
            let old_holder = world.holders()[0];
            world.resign(old_holder);
            world.run(1_000).unwrap();
            (world.store.request_count - requests_before) as f64
        });
        println!("  {n} candidates: {}", spread(requests.collect()));
    }
}
