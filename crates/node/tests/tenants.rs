//! Tenants and their keys in simulated time: what runs, whom endpoints are told, and what a key that was taken away opens.
// Each file of tests uses its own part of it.
#[allow(dead_code, unused_imports)]
mod model;

use model::{Credential, Mistake, Regime, Sent, World};

const STORES: usize = 3;
/// The world is founded, and its stores are settled.
const SETTLED: u64 = 5_000;
const DONE_WITHIN: u64 = 8_000;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, STORES, 1, Mistake::None, Regime::Planned);
    world.advance(SETTLED);
    world
}

fn sent_with(credential: Credential) -> Sent {
    Sent { credential, body: b"words".to_vec(), ..Sent::default() }
}

/// Guards against UNASKED: endpoints that aren't told whose request they run, or are told the key.
#[test]
fn endpoints_are_told_the_tenant_and_never_the_key() {
    let mut world = world(1);
    for (number, tenant) in ["large", "small", "other", "small"].into_iter().enumerate() {
        world.hand_to(number % 2, &format!("m{number}"), sent_with(Credential::Of(tenant)));
    }
    world.advance(DONE_WITHIN);
    assert_eq!(world.broken(), None);
    assert!((0..4).all(|number| world.told(&format!("m{number}")) == Some(202)));
}

/// Guards against ROUTE: requests that run with a key which no configuration has held, or with none.
#[test]
fn nothing_runs_with_a_key_that_nobody_holds() {
    let mut world = world(2);
    world.hand_to(0, "unknown", sent_with(Credential::Key("secret-never".to_string())));
    world.hand_to(1, "missing", sent_with(Credential::Missing));
    world.advance(DONE_WITHIN);
    assert_eq!(world.broken(), None);
    assert_eq!((world.told("unknown"), world.told("missing")), (Some(401), Some(401)));
}
