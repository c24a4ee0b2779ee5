//! Tenants and their keys in simulated time: what runs, whom endpoints are told, and what a key that was taken away opens.
// Each file of tests uses its own part of it.
mod model;

use bytes::BytesMut;
use model::{get, request, Credential, Deployment, Mistake, Regime, Sent, World, PUBLIC_ROUTE, REVOKE};
use net::http::{encode_request, Bounds, Kind, Message, Reader};
use rstest::rstest;
use settings::Tenant;

const STORES: usize = 3;
/// The world is founded, and its stores are settled.
const SETTLED: u64 = 5_000;
const DONE_WITHIN: u64 = 8_000;
/// The longest that an edge works on an answer, and how often a client looks for it.
const LONGEST_ANSWER: u64 = 4_000;
const POLL: u64 = 20;
/// A run that takes long, but less than its route's timeout.
const LONG_RUN: u64 = 1_200;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, STORES, 1, Mistake::None, Regime::Planned);
    world.advance(SETTLED);
    world
}

/// A world whose edges are closed where they hear nothing of control for long, or not.
fn world_that_is(closed: bool, seed: u64) -> World {
    let deployment = Deployment { tolerance: 1, regions: 0, closed };
    let mut world = World::of(seed, STORES, deployment, Mistake::None, Regime::Planned);
    world.advance(SETTLED);
    world
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| key.to_string()).collect();
    Tenant { name: name.to_string(), keys, ..Tenant::default() }
}

/// One tenant with one key.
fn configure_one(world: &mut World) -> String {
    let key = world.tenants().new_key();
    world.configure(vec![tenant("only", &[&key])]);
    world.advance(1_000);
    key
}

/// A client sends a message through an edge, and has its answer.
fn send(world: &mut World, edge: usize, id: &str, message: Sent) -> Option<u16> {
    world.hand_to(edge, id, message);
    for _ in 0..LONGEST_ANSWER / POLL {
        world.advance(POLL);
        if world.told(id).is_some() {
            break;
        }
    }
    world.told(id)
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

/// Guards against ROUTE and CONFIG: keys that are taken away and added while stores are lost, restarted and retired.
#[rstest]
#[case::planned(Regime::Planned, 0..4)]
#[case::tolerated(Regime::Tolerated, 10..14)]
fn keys_are_rotated_during_troubles(#[case] regime: Regime, #[case] seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::new(seed, 4, 1, Mistake::None, regime);
        world.rotate_keys_every(2_500);
        let seen = world.play(30_000);
        assert_eq!(seen.broken, None, "seed {seed}, {regime:?}");
        assert!(seen.counts.taken > 300 && seen.counts.refused > 20, "too few to tell: {seen:?}");
    }
}

/// Guards against a public route that asks for a key, and one that forgets the tenant whose key is given.
#[test]
fn a_public_route_needs_no_key() {
    let mut world = world(3);
    let on_public = |credential| Sent { route: Some(PUBLIC_ROUTE), ..sent_with(credential) };
    for (id, credential) in [
        ("missing", Credential::Missing),
        ("unknown", Credential::Key("secret-never".to_string())),
        ("known", Credential::Of("small")),
    ] {
        assert_eq!(send(&mut world, 0, id, on_public(credential)), Some(202), "{id}");
    }
    world.advance(DONE_WITHIN);
    assert_eq!(world.broken(), None);
    let key = world.tenants().key_of("small");
    assert_eq!(world.ask_state(0, "known", key.as_deref()).status, 200);
    assert_eq!(world.ask_state(0, "known", None).status, 404, "it is a tenant's");
    assert_eq!(world.ask_state(0, "missing", None).status, 200, "it is nobody's");
    assert_eq!(world.ask_state(0, "unknown", key.as_deref()).status, 200, "it is nobody's");
}

/// Guards against older deployments that are refused because they configure no tenants.
#[test]
fn without_a_list_of_tenants_nothing_needs_a_key() {
    let mut world = world(4);
    world.configure_without_tenants();
    world.advance(1_000);
    let id = "m";
    assert_eq!(send(&mut world, 0, id, sent_with(Credential::Missing)), Some(202));
    assert_eq!(world.ask_state(1, id, None).status, 200);
}

/// Guards against an empty list of tenants that is read as none, by which everybody would get through.
#[test]
fn an_empty_list_of_tenants_lets_in_nothing_but_public_requests() {
    let mut world = world(5);
    world.configure(Vec::new());
    world.advance(1_000);
    assert_eq!(world.ask(0, request("m", &sent_with(Credential::Missing), 0)).status, 401);
    let on_public = Sent { route: Some(PUBLIC_ROUTE), ..sent_with(Credential::Missing) };
    assert_eq!(send(&mut world, 0, "p", on_public), Some(202));
}

/// Guards against states and bodies that are shown to whoever knows a message's id.
#[test]
fn state_and_body_are_shown_to_the_tenant_alone() {
    let mut world = world(6);
    let later = Sent { due: 600_000, ..sent_with(Credential::Of("small")) };
    assert_eq!(send(&mut world, 0, "m", later), Some(202));
    let (own, other) = (world.tenants().key_of("small"), world.tenants().key_of("large"));
    for edge in 0..2 {
        assert_eq!(world.ask_state(edge, "m", own.as_deref()).status, 200);
        assert_eq!(world.ask_body(edge, "m", own.as_deref()).body, b"words");
        for (key, status) in [(other.as_deref(), 404), (None, 404), (Some("secret-never"), 401)] {
            let (state, body) = (world.ask_state(edge, "m", key), world.ask_body(edge, "m", key));
            assert_eq!((state.status, body.status), (status, status), "{key:?}");
        }
        let (theirs, nobodys) =
            (world.ask_state(edge, "m", other.as_deref()), world.ask_state(edge, "n", other.as_deref()));
        assert_eq!(theirs.body, nobodys.body, "as if it weren't there");
    }
}

/// Guards against tenants that hold each other up because they chose the same ordering key.
#[test]
fn tenants_with_one_ordering_key_do_not_wait_for_each_other() {
    let mut world = world(7);
    world.send_one("free", LONG_RUN);
    let of = |name, route| Sent {
        key: Some("k".to_string()),
        route: Some(route),
        ..sent_with(Credential::Of(name))
    };
    world.hand_to(0, "large-1", of("large", "ordered"));
    world.advance(300);
    world.hand_to(1, "large-2", of("large", "ordered-too"));
    world.hand_to(0, "small-1", of("small", "ordered"));
    world.advance(LONG_RUN - 600);
    assert_eq!(world.begins("large-1").len(), 1);
    assert_eq!(world.begins("small-1").len(), 1, "another tenant's");
    assert_eq!(world.begins("large-2").len(), 0, "its tenant's, on another route");
    world.advance(20_000);
    assert_eq!(world.begins("large-2").len(), 1);
    assert_eq!(world.broken(), None);
}

/// Guards against ROUTE: a key that is taken away while the body of its request still comes.
#[test]
fn a_key_is_looked_up_once_the_whole_body_is_in() {
    let mut world = world(8);
    let key = configure_one(&mut world);
    let authorization = format!("Bearer {key}");
    let headers = [("Host", "h"), ("X-Request-Id", "m"), ("Authorization", authorization.as_str())];
    let bytes = encode_request("POST", "/free/m", &headers, b"a body that comes in two pieces");
    let mut reader = Reader::new(Kind::Request, Bounds { head_bytes: 1_024, body_bytes: 1_024 });
    let mut input = BytesMut::from(&bytes[..bytes.len() - 5]);
    assert!(reader.next(&mut input).unwrap().is_none(), "nothing is answered before the body is whole");
    world.configure(vec![tenant("only", &["secret-new"])]);
    world.advance(1_000);
    input.extend_from_slice(&bytes[bytes.len() - 5..]);
    let Ok(Some(Message::Request(request))) = reader.next(&mut input) else { panic!("it is whole") };
    assert_eq!(world.ask(0, request).status, 401);
}

/// Guards against LOST: what was accepted runs, though its key is taken away while it waits.
#[test]
fn a_message_that_waits_runs_though_its_key_is_taken_away() {
    let mut world = world(9);
    let waiting = Sent { due: 12_000, ..sent_with(Credential::Of("small")) };
    assert_eq!(send(&mut world, 0, "m", waiting), Some(202));
    let others = world.tenants().listed().into_iter().filter(|tenant| tenant.name != "small").collect();
    world.configure(others);
    world.advance(20_000);
    let begins = world.begins("m");
    assert_eq!(begins.len(), 1, "{begins:?}");
}

/// Guards against CONFIG: an edge that hears of no configuration and lets in keys that were taken away meanwhile.
#[rstest]
#[case::closed(true, 503)]
#[case::open(false, 202)]
fn an_edge_that_is_cut_off_from_control_comes_back(#[case] closed: bool, #[case] meanwhile: u16) {
    let mut world = world_that_is(closed, 10);
    let key = configure_one(&mut world);
    let with_key = || sent_with(Credential::Key(key.clone()));
    world.cut_off_from_control(0);
    let new_key = world.tenants().new_key();
    world.configure(vec![tenant("only", &[&new_key])]);
    world.advance(REVOKE - 3_000);
    assert_eq!(send(&mut world, 0, "soon", with_key()), Some(202), "it has heard of no other key yet");
    world.advance(4_500);
    assert_eq!(send(&mut world, 0, "late", with_key()), Some(meanwhile));
    assert_eq!(world.is_ready(0), !closed);
    let on_public = Sent { route: Some(PUBLIC_ROUTE), ..sent_with(Credential::Missing) };
    assert_eq!(send(&mut world, 0, "public", on_public), Some(202), "it needs no key");
    world.heal();
    world.advance(4_000);
    assert_eq!(send(&mut world, 0, "back", with_key()), Some(401));
    assert!(world.is_ready(0));
    assert_eq!(send(&mut world, 0, "new", sent_with(Credential::Key(new_key))), Some(202));
}

/// Guards against CONFIG: a frozen edge that wakes, and goes by an answer that lay in its socket all the time.
#[test]
fn a_closed_edge_that_was_frozen_lets_nothing_in_before_it_has_asked_again() {
    let mut world = world_that_is(true, 11);
    let key = configure_one(&mut world);
    world.freeze_edge(0);
    // The question that was open is answered with the configuration before the change, and waits to be read.
    world.advance(1_200);
    world.cut_off_from_control(0);
    world.configure(vec![tenant("only", &["secret-new"])]);
    world.advance(REVOKE);
    world.thaw_edge(0);
    let sent = Sent { api_key: Some(key), ..Sent::default() };
    assert_eq!(world.ask(0, request("m", &sent, 0)).status, 503);
    world.heal();
    world.advance(4_000);
    assert_eq!(world.ask(0, request("n", &sent, 0)).status, 401);
}

/// Guards against a tenant without keys that makes a configuration invalid, or lets everybody in.
#[test]
fn a_tenant_that_loses_its_last_key_is_refused_and_its_messages_are_not_shown() {
    let mut world = world(12);
    let key = configure_one(&mut world);
    let waiting = Sent { due: 600_000, ..sent_with(Credential::Key(key.clone())) };
    assert_eq!(send(&mut world, 0, "m", waiting), Some(202));
    world.configure(vec![tenant("only", &[])]);
    world.advance(1_000);
    assert_eq!(world.ask_state(0, "m", Some(&key)).status, 401);
    let sent = Sent { api_key: Some(key), ..Sent::default() };
    assert_eq!(world.ask(0, request("n", &sent, 0)).status, 401);
    assert_eq!(world.ask(0, get("/v1/message/m", None)).status, 404);
}

/// Guards against a tenant that comes back under its name with another key, and is let in by the key from before.
#[test]
fn a_tenant_that_is_dropped_and_added_again_has_only_its_new_key() {
    let mut world = world(13);
    let key = configure_one(&mut world);
    let waiting = Sent { due: 600_000, ..sent_with(Credential::Key(key.clone())) };
    assert_eq!(send(&mut world, 0, "m", waiting), Some(202));
    world.configure(vec![tenant("another", &["secret-another"])]);
    world.advance(1_000);
    assert_eq!(world.ask_state(0, "m", Some("secret-another")).status, 404);
    world.configure(vec![tenant("only", &["secret-new"])]);
    world.advance(1_000);
    assert_eq!(world.ask_state(0, "m", Some(&key)).status, 401);
    assert_eq!(world.ask_state(0, "m", Some("secret-new")).status, 200, "it is the same tenant by its name");
}
