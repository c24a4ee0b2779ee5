//! Placement of copies: a copy of each message survives every tolerated loss, and no copy is farther away
//! than necessary.
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

/// Stores in uneven regions: with one or several zones each, and one or several stores in each zone.
fn random_stores(rng: &mut Pcg64Mcg) -> BTreeMap<u64, Location> {
    let mut stores = BTreeMap::new();
    for region in 0..rng.random_range(1..4_u32) {
        for zone in 0..rng.random_range(1..4_u32) {
            for _ in 0..rng.random_range(1..4_u32) {
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

/// Adds copies until none is missing, as a store does.
fn place_copies(stores: &BTreeMap<u64, Location>, tolerance: Tolerance) -> BTreeSet<u64> {
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
        let remaining = by_distance(stores).into_iter().filter(|disk| !copies.contains(disk)).collect();
        let chosen = placement.choose(remaining, |disk| *disk, &copies, missing);
        assert!(!chosen.is_empty(), "{copies:?} of {stores:?}");
        copies.extend(chosen);
    }
}

/// All subsets of `names` with `count` elements.
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

/// Whether a copy survives the loss of any `lost` failure domains; `of` returns the domain of a store. If
/// there are no more domains than that, all but one are lost.
fn survives(
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
        .all(|lost_names| holders.iter().any(|disk| !lost_names.contains(&of(*disk, &stores[disk]))))
}

#[rstest]
fn a_copy_survives_every_tolerated_loss(
    #[values(0, 1, 2)] machines: usize,
    #[values(0, 1, 2)] zones: usize,
    #[values(0, 1, 2)] regions: usize,
) {
    let tolerance = Tolerance { machines, zones, regions };
    let mut rng = Pcg64Mcg::seed_from_u64(machines as u64 * 9 + zones as u64 * 3 + regions as u64);
    for _ in 0..60 {
        let stores = random_stores(&mut rng);
        let copies = place_copies(&stores, tolerance);
        assert!(survives(&stores, &copies, machines, |disk, _| disk.to_string()), "{stores:?} {copies:?}");
        assert!(survives(&stores, &copies, zones, |_, at| at.zone.clone()), "{stores:?} {copies:?}");
        assert!(survives(&stores, &copies, regions, |_, at| at.region.clone()), "{stores:?} {copies:?}");
    }
}

/// Tests the check above with a wrong placement: copies at only the nearest stores, which do not survive the
/// loss of a region.
#[test]
fn the_nearest_stores_alone_do_not_survive_the_loss_of_a_region() {
    let stores = BTreeMap::from([
        (OWN, at("a", "east")),
        (1, at("a", "east")),
        (2, at("b", "east")),
        (3, at("c", "west")),
    ]);
    let nearest: BTreeSet<u64> = by_distance(&stores).into_iter().take(2).collect();
    assert!(!survives(&stores, &nearest, 1, |_, at| at.region.clone()));
    let tolerance = Tolerance { machines: 2, zones: 0, regions: 1 };
    assert_eq!(place_copies(&stores, tolerance), BTreeSet::from([1, 3]));
}

/// If only machines may be lost, the nearest stores are optimal: no store without a copy is nearer than one
/// with a copy.
#[test]
fn copies_are_at_the_nearest_stores_if_only_machines_may_be_lost() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..200 {
        let stores = random_stores(&mut rng);
        let copies = place_copies(&stores, Tolerance { machines: 2, zones: 0, regions: 0 });
        let distance = |disk: &u64| stores[&OWN].distance(&stores[disk]);
        let farthest = copies.iter().map(distance).max().unwrap_or(Distance::SameZone);
        let others = stores.keys().filter(|disk| **disk != OWN && !copies.contains(*disk));
        assert!(others.map(distance).all(|other| other >= farthest), "{stores:?} {copies:?}");
    }
}

#[test]
fn an_unmet_tolerance_is_reported_with_a_remedy() {
    let (east, west) = (at("a", "east"), at("b", "west"));
    let tolerance = Tolerance { machines: 1, zones: 0, regions: 1 };
    assert_eq!(tolerance.unmet(&[&east, &west]), None);
    let report = tolerance.unmet(&[&east, &east]).unwrap();
    assert_eq!(report, "stores in 2 regions are needed, there are 1: add some");
    assert!(tolerance.unmet(&[&east]).unwrap().contains("2 machines"));
}
