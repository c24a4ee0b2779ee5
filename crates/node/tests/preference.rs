//! The order in which stores are asked for copies.
use node::store::copies::sort_by_preference;
use settings::Distance;
use std::cell::Cell;

#[test]
fn those_in_time_come_first_then_the_nearest_by_turns() {
    let order = |turn| {
        let mut stores = vec![
            ("late", Distance::SameZone),
            ("far", Distance::Beyond),
            ("near", Distance::SameZone),
            ("near too", Distance::SameZone),
            ("in the region", Distance::SameRegion),
        ];
        sort_by_preference(&mut stores, turn, |store| store.0 == "late", |store| store.1);
        stores.into_iter().map(|store| store.0).collect::<Vec<_>>()
    };
    assert_eq!(order(0), ["near", "near too", "in the region", "far", "late"]);
    assert_eq!(order(3), ["near too", "near", "in the region", "far", "late"]);
    sort_by_preference::<u8>(&mut [], 7, |_| true, |_| Distance::SameZone);
}

/// Whether a store is late changes while the order is made: a sort that asked twice panicked.
#[test]
fn an_answer_that_changes_meanwhile_does_no_harm() {
    for seed in 0..200_u64 {
        let lot = Cell::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let flips = |_: &usize| {
            lot.set(lot.get() ^ (lot.get() << 13));
            lot.set(lot.get() ^ (lot.get() >> 7));
            lot.set(lot.get() ^ (lot.get() << 17));
            lot.get().is_multiple_of(2)
        };
        let mut stores: Vec<usize> = (0..40).collect();
        sort_by_preference(&mut stores, 1, flips, |_| Distance::SameZone);
        stores.sort_unstable();
        assert_eq!(stores, (0..40).collect::<Vec<_>>());
    }
}
