//! Which stores are to hold a message while its owner is away, and the bounds of what goes out in one call.
use node::store::rpc_handlers::{message_batch, MAX_BATCH_BYTES};
use queue::replication::choose_holders;
use queue::{Envelope, Message, MessageTransfer, Placement};
use rstest::rstest;
use settings::{Location, Tolerance};
use std::collections::BTreeSet;

fn three_of(stores: &BTreeSet<u64>) -> Placement {
    Placement::anywhere(stores.clone(), 3)
}

#[test]
fn every_holder_chooses_the_same_stores_and_few_change_with_one_that_goes() {
    let all: BTreeSet<u64> = (1..=18).collect();
    let fewer: BTreeSet<u64> = (2..=18).collect();
    let mut moved = 0;
    for i in 0..1_000 {
        let id = format!("message-{i}");
        let before = choose_holders(&id, &three_of(&all));
        assert_eq!(before.iter().collect::<BTreeSet<_>>().len(), 3);
        let kept = choose_holders(&id, &three_of(&fewer));
        assert!(before.iter().filter(|disk| **disk != 1).all(|disk| kept.contains(disk)));
        moved += usize::from(before.contains(&1));
    }
    assert!((100..240).contains(&moved), "{moved} of 1,000 messages had a place at one of 18 stores");
}

#[test]
fn where_there_are_few_stores_all_hold_it() {
    assert_eq!(choose_holders("m", &three_of(&BTreeSet::from([4]))), [4]);
    assert!(choose_holders("m", &three_of(&BTreeSet::new())).is_empty());
}

/// Copies for an owner that is away outlast the loss of a region too, and every holder chooses the same ones. With the
/// mistake planted, copies by weight alone, some messages lie in one region.
#[rstest]
#[case::spread(1, 0..1)]
#[case::planted_by_weight_alone(0, 50..1_000)]
fn copies_for_an_absent_owner_are_in_more_regions_than_may_be_lost(
    #[case] regions: usize,
    #[case] expected: std::ops::Range<usize>,
) {
    let region = |disk: u64| if disk <= 6 { "east" } else { "west" };
    let at = |disk: u64| Location { zone: format!("zone-{disk}"), region: region(disk).to_string() };
    let stores: BTreeSet<u64> = (1..=9).collect();
    let locations = stores.iter().map(|disk| (*disk, at(*disk))).collect();
    let tolerance = Tolerance { machines: 1, zones: 0, regions };
    let copies = tolerance.copies() + 1;
    let placement = Placement::anywhere(stores, copies).with_spread(tolerance, locations, None);
    let in_one_region = (0..1_000).filter(|number| {
        let disks = choose_holders(&format!("message-{number}"), &placement);
        assert_eq!(disks.len(), copies);
        disks.iter().all(|disk| region(*disk) == region(disks[0]))
    });
    assert!(expected.contains(&in_one_region.count()));
}

fn given(bytes: usize) -> MessageTransfer {
    MessageTransfer { message: Message::new(Envelope::default(), vec![0; bytes]), attempts: 0 }
}

#[test]
fn a_piece_is_bounded_and_always_gets_on() {
    let small = message_batch((0..10).map(|_| given(10)));
    assert_eq!((small.given.len(), small.more), (10, false));
    let many = message_batch((0..100_000).map(|_| given(5_000)));
    assert!(many.more && many.given.len() <= MAX_BATCH_BYTES / 5_000 + 1);
    let large = message_batch((0..3).map(|_| given(MAX_BATCH_BYTES * 2)));
    assert_eq!((large.given.len(), large.more), (1, true));
    assert!(!message_batch(std::iter::empty()).more);
}
