//! A tenant that sends far more than its quota, through several edges to the program's own stores: what is accepted stays
//! within the quota while stores are cut off, split, frozen, lost and restarted, and most of the quota is used.
mod model;

use model::{HotTenant, Mistake, Ms, Regime, World};
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
fn world_with_tenant(seed: u64) -> (World, HotTenant) {
    let mut world = World::new(seed, STORES, 1, Mistake::None, Regime::Tolerated);
    world.set_tenant_quota(RATE_PER_S, BURST);
    world.advance(EDGES_AND_STORES_SETTLE);
    (world, HotTenant::default())
}

/// The tenant sends so many messages a step for a time.
fn flood(world: &mut World, tenant: &HotTenant, a_step: usize, span: Ms) {
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

/// Guards against QUOTA in cuts: each half counted for itself, and a store that stood still went on with what it had.
#[rstest]
fn a_quota_holds_while_stores_are_cut_off_split_and_frozen(#[values(11, 12, 13, 14)] seed: u64) {
    let (mut world, tenant) = world_with_tenant(seed);
    let first = seed as usize % STORES;
    flood(&mut world, &tenant, 5, 3_000);
    world.split_off(&[first], 4_000);
    flood(&mut world, &tenant, 5, 6_000);
    world.split_off(&[first, (first + 1) % STORES], 6_000);
    flood(&mut world, &tenant, 5, 8_000);
    world.freeze_machine((first + 2) % STORES, 5_500);
    flood(&mut world, &tenant, 5, 7_000);
    world.advance(8_000);
    let most = world.most_run_within(&tenant, WINDOW);
    let (accepted, refused) = (tenant.count(202), tenant.count(429));
    println!("seed {seed}: {most} within a window, {accepted} accepted, {refused} over quota");
    assert!(most <= bound(RATE_PER_S, BURST), "{most} within a window");
    assert!(accepted as f64 >= 0.6 * RATE_PER_S * 24.0, "{accepted} accepted");
}

/// Guards against QUOTA when counters change: a store that was lost with its disk, and one that took its place, both counted.
#[rstest]
fn a_quota_holds_while_counters_are_lost_and_replaced(#[values(21, 22, 23)] seed: u64) {
    let (mut world, tenant) = world_with_tenant(seed);
    flood(&mut world, &tenant, 5, 2_000);
    world.power_off(seed as usize % STORES, 500, true);
    flood(&mut world, &tenant, 5, 14_000);
    world.advance(8_000);
    let most = world.most_run_within(&tenant, WINDOW);
    println!("seed {seed}: {most} within a window, {} accepted", tenant.count(202));
    assert!(most <= bound(RATE_PER_S, BURST), "{most} within a window");
}

/// Guards against QUOTA after a quota was lowered: it binds one window after edges and stores have heard of it.
#[test]
fn a_lower_quota_binds_and_a_higher_one_is_used() {
    let (mut world, tenant) = world_with_tenant(31);
    flood(&mut world, &tenant, 5, 3_000);
    world.set_tenant_quota(RATE_PER_S / 4.0, 2.0);
    flood(&mut world, &tenant, 5, 1_000);
    let lowered = world.now();
    flood(&mut world, &tenant, 5, WINDOW);
    let accepted = tenant.accepted_between(lowered, lowered + WINDOW);
    assert!(accepted <= bound(RATE_PER_S / 4.0, 2.0), "{accepted} by the lower quota");
    world.set_tenant_quota(RATE_PER_S * 2.0, BURST);
    flood(&mut world, &tenant, 5, 1_000);
    let raised = world.now();
    flood(&mut world, &tenant, 5, WINDOW);
    let accepted = tenant.accepted_between(raised, raised + WINDOW);
    println!("{accepted} by the higher quota");
    assert!(accepted as f64 >= 0.95 * RATE_PER_S * 2.0 * 5.0, "{accepted} by the higher quota");
}
