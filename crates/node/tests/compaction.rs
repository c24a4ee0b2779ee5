//! What a store remembers after its log was compacted and it was restarted, in simulated time.
mod model;

use model::{Mistake, Regime, World};

const STORES: usize = 3;
const MESSAGES: usize = 40;
const AWAY: u64 = 13_000;
/// More than the files that are in use when the messages end.
const FILES: usize = 4;

/// Guards against ends that a compaction forgets: a holder of copies that missed them would have the messages run again.
#[test]
fn the_end_of_a_message_outlasts_the_compaction_of_its_owners_log() {
    let mut world = World::new(1, STORES, 1, Mistake::None, Regime::Planned);
    world.advance(5_000);
    world.send_one("first", 20);
    for i in 0..MESSAGES {
        world.send_delayed(&format!("m{i}"), 1_000);
    }
    // A holder of copies is away before the messages end, but not for so long that it is given up.
    world.advance(700);
    world.power_off(1, AWAY, false);
    world.advance(1_500);
    world.fill_log(0, FILES);
    for machine in [0, 2] {
        world.restart(machine);
        world.advance(1_000);
    }
    assert!(world.now() < 5_700 + AWAY, "the holder returns after the restarts");
    world.advance(60_000);
    let begins: Vec<usize> = (0..MESSAGES).map(|i| world.begins(&format!("m{i}")).len()).collect();
    assert!(begins.iter().all(|count| *count == 1), "messages that had ended ran again: {begins:?}");
    assert_eq!(world.broken(), None);
}
