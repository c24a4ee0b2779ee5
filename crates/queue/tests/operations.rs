//! Which message a store has for an operation, and for how long that is known.
use queue::custody;
use queue::rivals::{settle, Settled};
use queue::{
    End, EndedMessage, Entry, Envelope, Given, GivenEnded, Message, Outcome, Placement, Queue, TenantKey,
};
use rstest::rstest;
use std::collections::BTreeSet;

const DISK: u64 = 1;
const OTHER: u64 = 9;

fn operation(tenant: &str) -> TenantKey {
    TenantKey { tenant: tenant.to_string(), key: "pay".to_string() }
}

fn message_of(tenant: &str, id: &str, order: u64) -> Message {
    let envelope = Envelope {
        id: id.to_string(),
        tenant: Some(tenant.to_string()),
        operation_key: Some("pay".to_string()),
        route: "r".to_string(),
        order,
        ..Envelope::default()
    };
    Message::new(envelope, vec![7; 10])
}

fn message(id: &str, order: u64) -> Message {
    message_of("t", id, order)
}

fn given(id: &str, order: u64, attempts: u32) -> Given {
    Given { message: message(id, order), attempts }
}

fn end(id: &str) -> End {
    End { id: id.to_string(), outcome: Outcome::Completed { signature: "s".to_string() }, at: 2_000 }
}

fn ended(id: &str, order: u64) -> GivenEnded {
    GivenEnded { ended: EndedMessage::new(message(id, order), end(id)), called_back: true }
}

fn take(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.accept(&id);
}

fn known(queue: &Queue) -> Option<&str> {
    queue.of_operation(&operation("t")).map(|owned| owned.id())
}

// Guards against one tenant's key standing for another one's operation.
#[test]
fn keys_of_different_tenants_are_different_operations() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message_of("t", "a", 1));
    take(&mut queue, message_of("u", "b", 2));
    assert_eq!(known(&queue), Some("a"));
    assert_eq!(queue.of_operation(&operation("u")).map(|owned| owned.id()), Some("b"));
}

// Guards against an operation that is forgotten with the end of its message, or never.
#[test]
fn an_operation_is_known_until_the_end_of_its_message_is_forgotten() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    queue.end(end("a"));
    queue.forget(2_000);
    assert_eq!(known(&queue), Some("a"));
    queue.forget(2_001);
    assert_eq!(known(&queue), None);
}

// Guards against an operation that is known of a message which another store has.
#[test]
fn an_operation_goes_with_a_message_that_is_left() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    assert!(queue.leave("a"));
    assert_eq!(known(&queue), None);
}

// Guards against an envelope that is let go at the end by whoever held a copy: the heir would not know the operation.
#[test]
fn an_operation_goes_from_owner_to_holder_to_heir_after_the_end() {
    let mut owner = Queue::new(DISK);
    take(&mut owner, message("a", 1));
    owner.end(end("a"));
    let needs_one = Placement::anywhere(BTreeSet::from([OTHER]), 1);
    assert_eq!(custody::lacking_ended(&owner, &needs_one).count(), 1, "it is copied");
    assert_eq!(custody::ended_of(&owner, DISK).len(), 1, "it is handed back");

    let mut holder = Queue::new(OTHER);
    holder.keep(DISK, message("a", 1));
    holder.end(end("a"));
    let kept: Vec<GivenEnded> = holder.ended_after(DISK, "").collect();
    assert_eq!(kept, [ended("a", 1)], "a holder keeps it");
    assert_eq!(
        custody::targets(&holder, DISK, false, &Placement::anywhere(BTreeSet::from([OTHER, 5]), 2))[&5].ended,
        ["a"]
    );

    let mut heir = Queue::new(2);
    let (entries, _) = custody::adopt_ended(&mut heir, kept);
    assert_eq!(known(&heir), Some("a"));
    let mut restarted = Queue::new(2);
    entries.into_iter().for_each(|entry| restarted.recover(entry));
    assert_eq!(known(&restarted), Some("a"));
}

// Guards against a restart that finds no operation where older records were given up for one.
#[test]
fn an_operation_is_known_after_a_restart_with_a_compacted_log() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    queue.end(end("a"));
    let mut restarted = Queue::new(DISK);
    custody::records_of(&queue, "a").into_iter().for_each(|entry| restarted.recover(entry));
    assert!(restarted.settle_operations().is_empty());
    restarted.recovered();
    assert_eq!(known(&restarted), Some("a"));
}

// Guards against two messages of one operation that both run after a restart: the records tell which one stays.
#[rstest]
#[case::the_one_taken_later(None, "b")]
#[case::the_one_that_has_ended(Some("a"), "a")]
fn one_message_of_an_operation_is_left_after_a_restart(#[case] has_ended: Option<&str>, #[case] stays: &str) {
    let mut queue = Queue::new(DISK);
    for (id, order) in [("b", 2), ("a", 1)] {
        queue.recover(Entry::Message { owner: DISK, message: message(id, order) });
    }
    has_ended.into_iter().for_each(|id| queue.recover(Entry::Ended(end(id))));
    assert_eq!(queue.settle_operations().len(), 1);
    queue.recovered();
    assert_eq!(known(&queue), Some(stays));
    assert_eq!(queue.all_owned().count(), 1);
}

fn ids(given: &[Given]) -> Vec<&str> {
    given.iter().map(|given| given.message.id()).collect()
}

// Guards against two messages of one operation that meet and both stay.
#[rstest]
#[case::given_later(given("b", 2, 0), &["b"], &["a"])]
#[case::given_earlier(given("b", 0, 0), &[], &[])]
#[case::given_earlier_but_begun(given("b", 0, 1), &["b"], &["a"])]
fn of_two_messages_that_have_not_begun_the_later_one_stays(
    #[case] other: Given,
    #[case] open: &[&str],
    #[case] displaced: &[&str],
) {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    let settled = settle(&queue, vec![other]);
    assert_eq!(ids(&settled.open), open);
    assert_eq!(settled.displaced, displaced);
    assert_eq!(settled.superseded.is_empty(), !open.is_empty());
}

// Guards against a message that comes back and takes the place of one that has begun or ended.
#[rstest]
fn a_message_that_has_begun_or_ended_stays(#[values(false, true)] has_ended: bool) {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    assert!(queue.start("a").is_some());
    if has_ended {
        queue.end(end("a"));
    }
    let settled = settle(&queue, vec![given("b", 2, 1)]);
    let superseded = vec!["b".to_string()];
    assert_eq!(settled, Settled { superseded, ..Settled::default() });
}

// Guards against two messages of one operation that come in one batch; a message that is here already is no rival of itself.
#[test]
fn one_of_two_given_messages_stays() {
    let mut queue = Queue::new(DISK);
    let settled = settle(&queue, vec![given("a", 1, 0), given("b", 2, 0)]);
    assert_eq!((ids(&settled.open), settled.superseded), (vec!["b"], vec!["a".to_string()]));
    take(&mut queue, message("b", 2));
    assert_eq!(ids(&settle(&queue, vec![given("b", 2, 0)]).open), ["b"]);
}
