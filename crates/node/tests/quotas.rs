//! A tenant that sends far more than its quota, through several edges to the program's own stores: what is accepted stays
//! within the quota while stores are cut off, split, frozen, lost and restarted, and most of the quota is used.
// The model is shared with other tests, which use the rest of it.
#![allow(dead_code, unused_imports)]
mod model;

use model::{Mistake, Ms, Regime, Tenant, World};
use rstest::rstest;

const STORES: usize = 5;
const EDGES_AND_STORES_SETTLE: Ms = 10_000;
const STEP: Ms = 10;
const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 20.0;
const WINDOW: Ms = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The most that a quota allows in one window.
fn bound(rate_per_s: f64, burst: f64) -> usize {
    ((rate_per_s * WINDOW as f64 / 1_000.0 + burst) * (1.0 + OVERAGE) + SLACK) as usize
}

/// A tenant with a quota among stores that have settled.
fn world_with_tenant(seed: u64) -> (World, Tenant) {
    let mut world = World::new(seed, STORES, 1, Mistake::None, Regime::Tolerated);
    world.set_tenant_quota(RATE_PER_S, BURST);
    world.advance(EDGES_AND_STORES_SETTLE);
    (world, Tenant::default())
}

/// The tenant sends so many messages a step for a time.
fn flood(world: &mut World, tenant: &Tenant, a_step: usize, span: Ms) {
    for _ in 0..span / STEP {
        (0..a_step).for_each(|_| world.send_of_tenant(tenant));
        world.advance(STEP);
    }
}

/// Guards against QUOTA on a day without faults: nothing counted what a tenant had accepted.
#[rstest]
fn a_tenant_far_above_its_quota_uses_it_and_no_more(#[values(1, 2, 3)] seed: u64) {
    let (mut world, tenant) = world_with_tenant(seed);
    flood(&mut world, &tenant, 10, 12_000);
    world.advance(3_000);
    let most = world.most_run_within(&tenant, WINDOW);
    assert!(most <= bound(RATE_PER_S, BURST), "{most} within a window");
    let accepted = tenant.count(202);
    println!("seed {seed}: {accepted} accepted, {most} within a window, {} told 503", tenant.count(503));
    let owed = RATE_PER_S * 12.0 + BURST;
    assert!(accepted as f64 >= 0.95 * owed, "{accepted} of {owed} accepted");
    assert_eq!(world.broken(), None);
}
