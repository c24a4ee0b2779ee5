//! Which service runs messages that wait while configurations rename, drop, swap and bring back routes, in simulated time
//! with the program's own edges and stores.
mod model;

use model::{Mistake, Regime, RouteSpec, Sent, World};
use rstest::rstest;

const STORES: usize = 3;
const EACH: usize = 6;
/// Messages wait for so long, in milliseconds; all changes and troubles come before.
const DELAY: u64 = 12_000;

const fn route(name: &'static str, prefix: &'static str, service: &'static str) -> RouteSpec {
    RouteSpec { name, prefix, service }
}

const FIRST: &[RouteSpec] = &[
    route("r-1", "/slots/", "partners"),
    route("r-2", "/proofs/", "proofdesk"),
    route("r-3", "/confirm/", "runbook"),
];
const ALL_RENAMED: &[RouteSpec] = &[
    route("a", "/slots/", "partners"),
    route("b", "/proofs/", "proofdesk"),
    route("c", "/confirm/", "runbook"),
];
const SWAPPED: &[RouteSpec] = &[
    route("r-3", "/slots/", "partners"),
    route("r-1", "/proofs/", "proofdesk"),
    route("r-2", "/confirm/", "runbook"),
];
const WITHOUT_SLOTS: &[RouteSpec] =
    &[route("r-1", "/proofs/", "proofdesk"), route("r-2", "/confirm/", "runbook")];
const SLOTS_LAST: &[RouteSpec] = &[
    route("r-1", "/proofs/", "proofdesk"),
    route("r-2", "/confirm/", "runbook"),
    route("r-3", "/slots/", "partners"),
];
const ONE_NAME: &[RouteSpec] = &[
    route("r", "/slots/", "partners"),
    route("r", "/proofs/", "proofdesk"),
    route("r", "/confirm/", "runbook"),
];

/// What happens to the stores around the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// All stores are restarted one after the other, once the change is in force.
    RestartsAfter,
    /// A store is down while the change is made.
    DownDuring,
    /// A store's disk is lost after the change: other stores take over its messages.
    DiskLost,
}

struct Waiting {
    id: String,
    prefix: &'static str,
}

/// Hands in messages on each route, applies configurations while they wait, and returns what became of them.
fn wait_through(changes: &[&[RouteSpec]], trouble: Trouble) -> (World, Vec<Waiting>) {
    let mut world = World::new(1, STORES, 1, Mistake::None, Regime::Planned);
    world.configure_routes(FIRST);
    world.advance(6_000);
    let mut waiting = Vec::new();
    for number in 0..EACH {
        for (prefix, label) in [("/slots/", "slots"), ("/proofs/", "proofs"), ("/confirm/", "confirm")] {
            let id = format!("{label}-{number}");
            let due = world.now() + DELAY;
            world.hand_to(number % 2, &id, Sent { route: Some(label), due, ..Sent::default() });
            waiting.push(Waiting { id, prefix });
        }
        world.advance(50);
    }
    world.advance(500);
    if trouble == Trouble::DownDuring {
        world.power_off(0, 3_000, false);
    }
    for routes in changes {
        world.configure_routes(routes);
        world.advance(1_500);
    }
    match trouble {
        Trouble::RestartsAfter => (0..STORES).for_each(|store| world.restart(store)),
        Trouble::DiskLost => world.power_off(0, 500, true),
        Trouble::None | Trouble::DownDuring => {}
    }
    world.advance(DELAY + 15_000);
    (world, waiting)
}

fn state(world: &mut World, id: &str) -> String {
    String::from_utf8_lossy(&world.ask_state(0, id, None).body).into_owned()
}

/// Guards against messages that run at the service of another route which has been given their route's name, and against
/// dead letters of messages whose route is still there under another name.
#[rstest]
#[case::all_are_renamed(&[ALL_RENAMED], None)]
#[case::names_are_swapped(&[SWAPPED], None)]
#[case::names_are_swapped_and_back(&[SWAPPED, FIRST], None)]
#[case::one_name_for_all(&[ONE_NAME], None)]
#[case::names_move_up(&[WITHOUT_SLOTS], Some("/slots/"))]
#[case::a_dropped_route_returns_with_another_name(&[WITHOUT_SLOTS, SLOTS_LAST], Some("/slots/"))]
fn waiting_messages_stay_with_their_route(
    #[case] changes: &[&[RouteSpec]],
    #[case] dropped: Option<&str>,
    #[values(Trouble::None, Trouble::RestartsAfter, Trouble::DownDuring, Trouble::DiskLost)] trouble: Trouble,
) {
    let (mut world, waiting) = wait_through(changes, trouble);
    let mut wrong = Vec::new();
    for Waiting { id, prefix } in waiting {
        assert_eq!(world.told(&id), Some(202), "{id} was not accepted");
        let service = FIRST.iter().find(|route| route.prefix == prefix).unwrap().service;
        let (services, state) = (world.services(&id), state(&mut world, &id));
        let runs_right = services.iter().all(|at| at == service);
        // A store that missed the configuration without the route may still run it, where a later one has it again.
        let returns = changes.last().unwrap().iter().any(|route| route.prefix == prefix);
        let ended = match dropped == Some(prefix) {
            true => state.contains("dead_letter") || (returns && state.contains("completed")),
            false => state.contains("completed"),
        };
        if !(runs_right && ended) {
            wrong.push(format!("{id} of {prefix} ran at {services:?}, its state is {state}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
