//! Tenant quotas under seeded schedules: with any mix of delays, losses, frozen processes, partitions,
//! restarts and replacements, no window has more accepted messages than the rule allows, and most of a quota
//! can be used. The checks detect faults injected into the protocol.
mod model;

use model::{Mistake, World, WINDOW_MS};
use quota::Ms;
use rand::RngExt as _;
use rstest::rstest;
use settings::Quota;

const SEEDS: u64 = 300;
const SEEDS_PER_MISTAKE: u64 = 100;
const STEP: Ms = 5;
/// Simulated time by which the initial counters have started to grant tokens.
const COUNTERS_STARTED_BY_MS: Ms = 8_000;
const END: Ms = 40_000;
const STORES: usize = 6;

const SMALL: Quota = Quota { rate_per_s: 8.0, burst: 4.0 };
const LARGE: Quota = Quota { rate_per_s: 150.0, burst: 60.0 };
/// A quota that consists mostly of its burst: two additional full buckets exceed the bound.
const BURSTS: Quota = Quota { rate_per_s: 20.0, burst: 300.0 };
const TENANTS: [Quota; 3] = [SMALL, LARGE, BURSTS];

/// The number of messages that the rule allows in one window.
fn bound(quota: Quota) -> f64 {
    quota_alone(quota) * 1.1 + 20.0
}

fn quota_alone(quota: Quota) -> f64 {
    quota.rate_per_s * WINDOW_MS as f64 / 1_000.0 + quota.burst
}

fn inject_fault(world: &mut World) {
    let store = world.rng.random_range(0..world.store_count());
    let span = world.rng.random_range(50..6_000);
    match world.rng.random_range(0..8) {
        0 | 1 => world.freeze(store, span),
        2 => world.split(span + 2_000),
        3 => {
            // All counters of a tenant lose power.
            for disk in world.counters(2).disks() {
                world.restart(world.store_of(*disk), span / 12);
            }
        }
        4 => world.restart(store, span / 4),
        5 => {
            let keeps_running = world.rng.random_bool(0.7);
            world.split(span + 4_000);
            let counters = world.counters(1);
            let counter = counters.disks()[world.rng.random_range(0..counters.disks().len())];
            world.replace(world.store_of(counter), keeps_running);
        }
        6 => world.set_quota(1, Quota { rate_per_s: 20.0, burst: 10.0 }),
        _ => world.set_quota(1, LARGE),
    }
}

/// All tenants send far above their quotas, at random stores, while faults occur.
fn run_scenario(seed: u64, mistake: Mistake) -> World {
    let mut world = World::new(seed, STORES, &TENANTS, mistake);
    while world.now < END {
        if world.now > COUNTERS_STARTED_BY_MS && world.rng.random_bool(0.006) {
            inject_fault(&mut world);
        }
        for tenant in 0..TENANTS.len() {
            if world.rng.random_bool(0.6) {
                let (store, count) =
                    (world.rng.random_range(0..world.store_count()), world.rng.random_range(1..8));
                world.arrive(store, tenant, count);
            }
        }
        let next = world.now + STEP;
        world.run_until(next);
    }
    world
}

/// The largest excess of any window: over the bound of the rule, and over the quota without the allowance of
/// the rule.
fn largest_excess(world: &World) -> (f64, f64) {
    let over = |allowed: fn(Quota) -> f64| {
        let tenants = (0..TENANTS.len()).map(|tenant| world.worst_window(tenant, allowed));
        tenants.map(|(accepted, allowed)| accepted as f64 - allowed).fold(f64::MIN, f64::max)
    };
    (over(bound), over(quota_alone))
}

/// Guards against exceeding a quota, whatever faults occur at counters and callers.
#[test]
fn no_window_accepts_more_than_the_rule_allows() {
    let (mut largest_over_quota, mut accepted) = (f64::MIN, 0);
    for seed in 0..SEEDS {
        let world = run_scenario(seed, Mistake::None);
        let (over, excess_over_quota) = largest_excess(&world);
        assert!(over <= 0.0, "seed {seed}: {over} over the bound");
        largest_over_quota = largest_over_quota.max(excess_over_quota);
        accepted += world.accepted.iter().map(Vec::len).sum::<usize>();
    }
    println!(
        "{SEEDS} seeds, {accepted} accepted; at the most {largest_over_quota:.1} over rate x window + burst"
    );
    assert!(accepted > 100_000, "too few accepted messages for a result: {accepted}");
}

/// Checks that each injected fault exceeds the bound with at least the given number of seeds.
#[rstest]
#[case(Mistake::ReturnsTwice, 1)]
#[case(Mistake::StartsFull, 1)]
#[case(Mistake::QuorumOfOne, 50)]
#[case(Mistake::FullRateEach, 50)]
fn a_planted_mistake_breaks_the_bound(#[case] mistake: Mistake, #[case] at_least: usize) {
    let broken = |seed: &u64| largest_excess(&run_scenario(*seed, mistake)).0 > 0.0;
    let found = (0..SEEDS_PER_MISTAKE).filter(broken).count();
    println!("{mistake:?}: found by {found} of {SEEDS_PER_MISTAKE} seeds");
    assert!(found >= at_least, "{mistake:?} is found by {found} seeds");
}

/// The share of its quota that a tenant can use while it sends `times` its quota and `away` counters are
/// frozen.
fn share_used(seed: u64, mistake: Mistake, times: f64, away: usize) -> f64 {
    let mut world = World::new(seed, STORES, &TENANTS, mistake);
    world.run_until(COUNTERS_STARTED_BY_MS);
    let counters = world.counters(1);
    for disk in &counters.disks()[..away] {
        world.freeze(world.store_of(*disk), 60_000);
    }
    let (from, until) = (world.now + 2_000, world.now + 12_000);
    while world.now < until {
        let store = (world.now / 1_000) as usize % STORES;
        let is_away = counters.disks()[..away].iter().any(|disk| world.store_of(*disk) == store);
        let wanted = times * LARGE.rate_per_s * STEP as f64 / 1_000.0;
        let more = world.rng.random_bool(wanted.fract());
        let count = wanted as u32 + u32::from(more);
        if count > 0 {
            world.arrive(if is_away { (store + 1) % STORES } else { store }, 1, count);
        }
        let next = world.now + STEP;
        world.run_until(next);
    }
    let used = world.accepted[1].iter().filter(|at| (from..until).contains(at)).count();
    used as f64 / (LARGE.rate_per_s * 10.0)
}

/// Guards against counting that leaves quota unused. The load moves to another store every second.
#[rstest]
#[case::just_at_its_quota(1.05, 0, 0.95)]
#[case::far_above_it(50.0, 0, 0.95)]
#[case::with_a_counter_away(1.05, 1, 0.6)]
#[case::far_above_it_with_a_counter_away(50.0, 1, 0.6)]
fn most_of_a_quota_can_be_used(#[case] times: f64, #[case] away: usize, #[case] at_least: f64) {
    let shares: Vec<f64> = (0..50).map(|seed| share_used(seed, Mistake::None, times, away)).collect();
    let smallest_share = shares.iter().copied().fold(f64::MAX, f64::min);
    println!("{times} times the quota, {away} away: {smallest_share:.3} of it used at the least of 50 seeds");
    assert!(smallest_share >= at_least, "{smallest_share} of the quota used");
}

/// Injected fault: a batch is counted twice, which leaves half of the quota unused.
#[test]
fn a_batch_that_is_counted_twice_is_detected() {
    let found = (0..50).filter(|seed| share_used(*seed, Mistake::CountsBatchesTwice, 1.05, 0) < 0.95).count();
    println!("CountsBatchesTwice: found by {found} of 50 seeds");
    assert!(found >= 25, "found by {found} of 50 seeds");
}
