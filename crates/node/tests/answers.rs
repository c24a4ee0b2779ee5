//! Answers of endpoints that come a second time, in simulated time with the program's own stores and connections.
mod model;

use model::{Mistake, Regime, World};
use rstest::rstest;

const STORES: usize = 3;
const SEEDS: std::ops::Range<u64> = 1..7;
/// Messages are handed in for so long, in milliseconds.
const TRAFFIC: u64 = 25_000;

/// Guards against the second copy of an answer being taken for the answer to the message's next attempt: it uses up an
/// attempt, and from then on a store has more attempts on the way than it counts and runs messages after their success.
#[rstest]
fn a_second_copy_of_an_answer_is_no_answer_to_the_next_attempt(
    #[values(0, 20, 65, 150, 400, 1_000)] copy_after: u64,
    #[values(Regime::Planned, Regime::Tolerated)] regime: Regime,
) {
    let mut repeats = 0;
    for seed in SEEDS {
        let mut world = World::new(seed, STORES, 1, Mistake::None, regime);
        world.answer_again_after(copy_after);
        let seen = world.play(TRAFFIC);
        assert_eq!(seen.broken, None, "seed {seed}");
        repeats += seen.counts.repeats;
    }
    assert!(repeats > 100, "too few messages were tried again to tell: {repeats}");
}
