//! Where copies lie: whatever may be lost at once, a copy of each message is left, and none is farther away than it has to be.
use queue::Placement;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use settings::{Distance, Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};

const OWN: u64 = 0;

fn at(zone: &str, region: &str) -> Location {
    Location { zone: zone.to_string(), region: region.to_string() }
}

/// Stores in uneven regions: some have many zones, some one, and zones have one store or several.
fn drawn(lot: &mut Pcg64Mcg) -> BTreeMap<u64, Location> {
    let mut stores = BTreeMap::new();
    for region in 0..lot.random_range(1..4_u32) {
        for zone in 0..lot.random_range(1..4_u32) {
            for _ in 0..lot.random_range(1..4_u32) {
                let zone = format!("zone-{region}-{zone}");
                stores.insert(stores.len() as u64, at(&zone, &format!("region-{region}")));
            }
        }
    }
    stores
}

fn by_distance(stores: &BTreeMap<u64, Location>) -> Vec<u64> {
    let own = &stores[&OWN];
    let mut others: Vec<u64> = stores.keys().copied().filter(|disk| *disk != OWN).collect();
    others.sort_by_key(|disk| own.distance(&stores[disk]));
    others
}

/// Copies one after the other until none is missing, as a store makes them.
fn place(stores: &BTreeMap<u64, Location>, tolerance: Tolerance) -> BTreeSet<u64> {
    let others: BTreeMap<u64, Location> =
        stores.iter().filter(|(disk, _)| **disk != OWN).map(|(disk, at)| (*disk, at.clone())).collect();
    let wanted = tolerance.copies().min(others.len());
    let placement = Placement::anywhere(others.keys().copied().collect(), wanted);
    let placement = match tolerance.needs_spread() {
        true => placement.with_spread(tolerance, others, Some(stores[&OWN].clone())),
        false => placement,
    };
    let mut copies = BTreeSet::new();
    loop {
        let missing = placement.missing_copies(&copies);
        if missing == 0 {
            return copies;
        }
        let released = by_distance(stores).into_iter().filter(|disk| !copies.contains(disk)).collect();
        let chosen = placement.choose(released, |disk| *disk, &copies, missing);
        assert!(!chosen.is_empty(), "{copies:?} of {stores:?}");
        copies.extend(chosen);
    }
}

/// Every set of `count` of some names.
fn subsets(names: &BTreeSet<String>, count: usize) -> Vec<BTreeSet<String>> {
    if count == 0 {
        return vec![BTreeSet::new()];
    }
    let mut all = Vec::new();
    for name in names {
        let later: BTreeSet<String> = names.iter().filter(|other| *other > name).cloned().collect();
        all.extend(subsets(&later, count - 1).into_iter().map(|mut set| {
            set.insert(name.clone());
            set
        }));
    }
    all
}

/// Whether a message is left wherever so many of what `of` names are lost at once; where there are no more than that, all
/// of them but one.
fn outlasts(
    stores: &BTreeMap<u64, Location>,
    copies: &BTreeSet<u64>,
    lost: usize,
    of: impl Fn(u64, &Location) -> String,
) -> bool {
    let names: BTreeSet<String> = stores.iter().map(|(disk, at)| of(*disk, at)).collect();
    let lost = lost.min(names.len() - 1);
    let holders: Vec<u64> = copies.iter().copied().chain([OWN]).collect();
    subsets(&names, lost)
        .iter()
        .all(|gone| holders.iter().any(|disk| !gone.contains(&of(*disk, &stores[disk]))))
}

#[rstest]
fn whatever_may_be_lost_a_copy_is_left(
    #[values(0, 1, 2)] machines: usize,
    #[values(0, 1, 2)] zones: usize,
    #[values(0, 1, 2)] regions: usize,
) {
    let tolerance = Tolerance { machines, zones, regions };
    let mut lot = Pcg64Mcg::seed_from_u64(machines as u64 * 9 + zones as u64 * 3 + regions as u64);
    for _ in 0..60 {
        let stores = drawn(&mut lot);
        let copies = place(&stores, tolerance);
        assert!(outlasts(&stores, &copies, machines, |disk, _| disk.to_string()), "{stores:?} {copies:?}");
        assert!(outlasts(&stores, &copies, zones, |_, at| at.zone.clone()), "{stores:?} {copies:?}");
        assert!(outlasts(&stores, &copies, regions, |_, at| at.region.clone()), "{stores:?} {copies:?}");
    }
}

/// The planted mistake: copies at the nearest stores alone don't outlast a region. The check above finds it.
#[test]
fn the_nearest_stores_alone_do_not_outlast_a_region() {
    let stores = BTreeMap::from([
        (OWN, at("a", "east")),
        (1, at("a", "east")),
        (2, at("b", "east")),
        (3, at("c", "west")),
    ]);
    let nearest: BTreeSet<u64> = by_distance(&stores).into_iter().take(2).collect();
    assert!(!outlasts(&stores, &nearest, 1, |_, at| at.region.clone()));
    let tolerance = Tolerance { machines: 2, zones: 0, regions: 1 };
    assert_eq!(place(&stores, tolerance), BTreeSet::from([1, 3]));
}

/// Where machines alone may be lost, the optimum is the nearest stores: no store that holds no copy is nearer than one
/// that does.
#[test]
fn where_machines_alone_may_be_lost_copies_are_as_near_as_can_be() {
    let mut lot = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..200 {
        let stores = drawn(&mut lot);
        let copies = place(&stores, Tolerance { machines: 2, zones: 0, regions: 0 });
        let distance = |disk: &u64| stores[&OWN].distance(&stores[disk]);
        let farthest = copies.iter().map(distance).max().unwrap_or(Distance::SameZone);
        let others = stores.keys().filter(|disk| **disk != OWN && !copies.contains(*disk));
        assert!(others.map(distance).all(|other| other >= farthest), "{stores:?} {copies:?}");
    }
}

#[test]
fn what_the_stores_at_hand_cannot_give_is_told_with_a_remedy() {
    let (east, west) = (at("a", "east"), at("b", "west"));
    let tolerance = Tolerance { machines: 1, zones: 0, regions: 1 };
    assert_eq!(tolerance.unmet(&[&east, &west]), None);
    let mark_notified = tolerance.unmet(&[&east, &east]).unwrap();
    assert_eq!(mark_notified, "stores in 2 regions are needed, there are 1: add some");
    assert!(tolerance.unmet(&[&east]).unwrap().contains("2 machines"));
}
