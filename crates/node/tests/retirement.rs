//! Retirement of machines that lose their disks meanwhile, in simulated time: a machine is removed only once nothing rests
//! on any disk that it had.
mod model;

use model::{Mistake, Regime, World, CATCH_UP};
use rstest::rstest;

const STORES: usize = 3;
const MESSAGES: usize = 60;
const DELAY: u64 = 90_000;
/// The retirement has to be completed in this time.
const LONGEST_RETIREMENT: u64 = 30_000;
/// The retiring machine, and another one whose disk is lost as soon as the first is removed.
const RETIRING: usize = 0;

/// When the disk of the retiring machine is lost, in milliseconds, and for how long the machine is down.
#[derive(Clone, Copy, Debug)]
struct DiskLoss {
    before_request: u64,
    after_request: u64,
    down: u64,
}

/// Retires a machine that loses its disk around the request, then loses another disk; returns what is broken.
fn retire_with_disk_loss(seed: u64, loss: DiskLoss, next_lost: usize) -> Option<String> {
    let mut world = World::new(seed, STORES, 1, Mistake::None, Regime::Planned);
    world.advance(5_000);
    for i in 0..MESSAGES {
        world.send_delayed(&format!("m{i}"), DELAY);
        world.advance(20);
    }
    world.advance(1_000);
    if loss.before_request > 0 {
        world.power_off(RETIRING, loss.down, true);
        world.advance(loss.before_request);
    }
    world.retire(&world.name_of(RETIRING));
    if loss.before_request == 0 {
        world.advance(loss.after_request);
        world.power_off(RETIRING, loss.down, true);
    }
    // The next disk may be lost once the machine has had time to catch up.
    let operator_waits = loss.down + CATCH_UP;
    world.leave_retired_for(operator_waits);
    let until = world.now() + operator_waits + LONGEST_RETIREMENT;
    while !world.is_removed(RETIRING) {
        assert!(world.now() < until, "the retirement is never completed: {loss:?}");
        world.advance(10);
    }
    world.power_off(next_lost, 1_000, true);
    world.advance(10_000);
    world.check_answers();
    world.advance(DELAY);
    world.broken()
}

/// Guards against the loss of messages that the new disk of a retiring machine holds, whose other copies are lost next.
#[rstest]
fn a_retiring_machine_that_lost_its_disk_takes_no_message_with_it(
    #[values((300, 0), (0, 50), (0, 400), (0, 1_200), (0, 2_000))] around: (u64, u64),
    #[values(300, 1_500, 4_000)] down: u64,
    #[values(1, 2)] next_lost: usize,
) {
    let (before_request, after_request) = around;
    let loss = DiskLoss { before_request, after_request, down };
    let broken: Vec<String> =
        (1..4).filter_map(|seed| retire_with_disk_loss(seed, loss, next_lost)).collect();
    assert!(broken.is_empty(), "{loss:?}, then machine {next_lost}: {broken:#?}");
}

/// Guards against a retiring store that was given up and keeps what is nowhere else to itself once it returns: another disk
/// was lost as it went.
#[test]
fn a_retiring_store_that_was_given_up_hands_back_what_is_nowhere_else() {
    let mut world = World::new(1, 4, 1, Mistake::None, Regime::Planned);
    world.advance(5_000);
    for i in 0..MESSAGES {
        world.send_delayed(&format!("m{i}"), 190_000);
        world.advance(20);
    }
    world.advance(1_000);
    // Its machine is there until the end, whatever is said of its retirement.
    world.leave_retired_for(400_000);
    world.retire(&world.name_of(RETIRING));
    world.power_off(RETIRING, 150_000, false);
    world.power_off(1, 1_000, true);
    world.advance(230_000);
    assert_eq!(world.broken(), None);
}
