//! Messages that a store relinquished to another one, in simulated time: the stores' notes about that end once they own
//! such a message again, whatever is compacted, restarted or lost next.
mod model;

use borsh::BorshDeserialize as _;
use model::{Mistake, Regime, World};
use node::calls::Call;
use rstest::rstest;
use simulation::network::Tamper;
use std::rc::Rc;
use std::time::Duration;

/// What happens to a store that owns messages again that it had relinquished.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Its log is compacted.
    Compacted,
    /// It is stopped and started as planned.
    Restarted,
    /// Its machine loses power for a moment.
    PowerLost,
}
use Step::{Compacted, PowerLost, Restarted};

const FOUNDERS: usize = 3;
/// So many that the first store rarely holds a copy for the third.
const MANY_FOUNDERS: usize = 6;
const MANY: usize = 80;
const DELAY: u64 = 90_000;
const BURST: usize = 60;
/// More than the files that are in use when the messages are relinquished.
const FILES: usize = 4;

/// Three stores, and a fourth that owns no partition and so is the heir of each that retires. It stands still while messages
/// come, relinquishes them to the store that the edges ask next, and owns them again once that one is retired.
fn adopts_what_it_relinquished(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, FOUNDERS, 1, Mistake::None, Regime::Planned);
    world.advance(5_000);
    let heir = world.add_store();
    world.advance(4_000);
    world.freeze(heir, 1_000);
    for i in 0..BURST {
        world.send_delayed(&format!("m{i}"), DELAY);
    }
    world.advance(5_000);
    let relinquished: Vec<String> =
        (0..BURST).map(|i| format!("m{i}")).filter(|id| world.has_relinquished(heir, id)).collect();
    let owner = relinquished.first().and_then(|id| world.machine_that_owns(id)).expect("it was relinquished");
    world.retire(&world.name_of(owner));
    world.advance(8_000);
    assert!(world.is_removed(owner), "the retired store is taken away");
    let is_owned_again = |id: &String| world.machine_that_owns(id) == Some(heir);
    assert!(relinquished.len() > 5 && relinquished.iter().all(is_owned_again));
    (world, heir)
}

/// Guards against a store that owns messages again and drops them for an old note that it had relinquished them.
#[rstest]
#[case::never_compacted(&[Restarted])]
#[case::never_restarted(&[Compacted])]
#[case::compacted_then_restarted(&[Compacted, Restarted])]
#[case::compacted_then_without_power(&[Compacted, PowerLost])]
#[case::compacted_after_a_restart(&[Restarted, Compacted, PowerLost])]
#[case::compacted_twice(&[Compacted, Restarted, Compacted, Restarted])]
fn a_message_that_is_owned_again_is_kept(#[case] steps: &[Step], #[values(1, 2)] seed: u64) {
    let (mut world, heir) = adopts_what_it_relinquished(seed);
    for step in steps {
        match step {
            Compacted => world.fill_log(heir, FILES),
            Restarted => world.restart(heir),
            PowerLost => world.power_off(heir, 300, false),
        }
        world.advance(4_000);
    }
    world.check_answers();
    world.advance(DELAY);
    assert_eq!(world.broken(), None);
}

/// The same, and then the store loses its disk before the messages are due.
#[test]
fn a_message_that_is_owned_again_outlasts_the_disk_of_its_owner() {
    let (mut world, heir) = adopts_what_it_relinquished(3);
    world.fill_log(heir, FILES);
    world.restart(heir);
    world.advance(4_000);
    world.power_off(heir, 1_000, true);
    world.advance(DELAY);
    world.check_answers();
    assert_eq!(world.broken(), None);
}

/// Messages reach stores so late that edges give each to three of them, and requests of one store to relinquish messages are
/// lost on their way.
struct LateMessagesAndLostRequests {
    requester: u64,
}

impl Tamper for LateMessagesAndLostRequests {
    fn delay(&self, call: &[u8]) -> Duration {
        match Call::try_from_slice(call) {
            Ok(Call::Put(_)) => Duration::from_millis(250),
            Ok(Call::Leave { to, .. }) if to == self.requester => Duration::from_secs(600),
            _ => Duration::ZERO,
        }
    }
}

/// Guards against a message that two stores relinquish to each other. The second of three stores that were given it tells
/// the first that it has accepted it, and relinquishes it to the third; the first becomes the heir of the third.
#[rstest]
fn a_store_that_relinquished_a_message_doesnt_claim_it_any_more(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, MANY_FOUNDERS, 1, Mistake::None, Regime::Planned);
    world.advance(5_000);
    let first = world.add_store();
    world.advance(4_000);
    let order = world.stores_in_order();
    let after_first = |steps: usize| {
        let at = order.iter().position(|machine| *machine == first).expect("it is a store");
        order[(at + steps) % order.len()]
    };
    let (second, third) = (after_first(1), after_first(2));
    world.set_tamper(Rc::new(LateMessagesAndLostRequests { requester: world.disk_of(third) }));
    for i in 0..MANY {
        world.send_delayed(&format!("m{i}"), DELAY);
    }
    world.advance(1_000);
    // Once they are connected again, the first store is told what the second has accepted.
    world.cut_between(first, second);
    world.advance(2_000);
    world.heal();
    world.advance(2_000);
    world.set_tamper(Rc::new(Mistake::None));
    world.advance(5_000);
    let was_given_to_third = |id: &String| world.machine_that_owns(id) == Some(third);
    assert!((0..MANY).map(|i| format!("m{i}")).any(|id| was_given_to_third(&id)), "the order of events");
    world.retire(&world.name_of(third));
    world.advance(10_000);
    assert!(world.is_removed(third), "the retired store is taken away");
    world.check_answers();
    world.advance(DELAY);
    assert_eq!(world.broken(), None);
}
