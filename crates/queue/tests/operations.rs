//! Which message a store has for an operation, and for how long that is known.
use queue::duplicates::{resolve_duplicates, Resolution};
use queue::replication;
use queue::{
    Entry, Envelope, FinalRecord, FinishedMessage, FinishedTransfer, Message, MessageTransfer, Outcome,
    Placement, Queue, TenantKey,
};
use rstest::rstest;
use std::collections::BTreeSet;

const DISK: u64 = 1;
const OTHER: u64 = 9;

fn operation(tenant: &str) -> TenantKey {
    TenantKey { tenant: tenant.to_string(), key: "pay".to_string() }
}

fn message_of(tenant: &str, id: &str, sequence: u64) -> Message {
    let envelope = Envelope {
        id: id.to_string(),
        tenant: Some(tenant.to_string()),
        operation_key: Some("pay".to_string()),
        route: "r".to_string(),
        sequence,
        ..Envelope::default()
    };
    Message::new(envelope, vec![7; 10])
}

fn message(id: &str, sequence: u64) -> Message {
    message_of("t", id, sequence)
}

fn transfer(id: &str, sequence: u64, attempts: u32) -> MessageTransfer {
    MessageTransfer { message: message(id, sequence), attempts }
}

fn completed(id: &str) -> FinalRecord {
    FinalRecord { id: id.to_string(), outcome: Outcome::Completed { signature: "s".to_string() }, at: 2_000 }
}

fn finished(id: &str, sequence: u64) -> FinishedTransfer {
    FinishedTransfer {
        finished: FinishedMessage::new(message(id, sequence), completed(id)),
        callback_done: true,
    }
}

fn take(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.mark_replicated(&id);
}

fn known(queue: &Queue) -> Option<&str> {
    queue.message_of_operation(&operation("t")).map(|owned| owned.id())
}

// Guards against one tenant's key standing for another one's operation.
#[test]
fn keys_of_different_tenants_are_different_operations() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message_of("t", "a", 1));
    take(&mut queue, message_of("u", "b", 2));
    assert_eq!(known(&queue), Some("a"));
    assert_eq!(queue.message_of_operation(&operation("u")).map(|owned| owned.id()), Some("b"));
}

// Guards against an operation that is forgotten with the end of its message, or never.
#[test]
fn an_operation_is_known_until_the_end_of_its_message_is_forgotten() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    queue.finish(completed("a"));
    queue.discard_finished(2_000);
    assert_eq!(known(&queue), Some("a"));
    queue.discard_finished(2_001);
    assert_eq!(known(&queue), None);
}

// Guards against an operation that is known of a message which another store has.
#[test]
fn an_operation_goes_with_a_message_that_is_left() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    assert!(queue.relinquish("a"));
    assert_eq!(known(&queue), None);
}

// Guards against an envelope that is let go at the end by whoever held a copy: the heir would not know the operation.
#[test]
fn an_operation_goes_from_owner_to_holder_to_heir_after_the_end() {
    let mut owner = Queue::new(DISK);
    take(&mut owner, message("a", 1));
    owner.finish(completed("a"));
    let needs_one = Placement::anywhere(BTreeSet::from([OTHER]), 1);
    assert_eq!(replication::under_replicated_finished(&owner, &needs_one).count(), 1, "it is copied");
    assert_eq!(replication::finished_transfers(&owner, DISK).len(), 1, "it is handed back");

    let mut holder = Queue::new(OTHER);
    holder.keep_replica(DISK, message("a", 1));
    holder.finish(completed("a"));
    let held: Vec<FinishedTransfer> = holder.finished_after(DISK, "").collect();
    assert_eq!(held, [finished("a", 1)], "a holder keeps it");
    assert_eq!(
        replication::replication_targets(
            &holder,
            DISK,
            false,
            &Placement::anywhere(BTreeSet::from([OTHER, 5]), 2)
        )[&5]
            .finished,
        ["a"]
    );

    let mut heir = Queue::new(2);
    let (entries, _) = replication::adopt_finished(&mut heir, held);
    assert_eq!(known(&heir), Some("a"));
    let mut restarted = Queue::new(2);
    entries.into_iter().for_each(|entry| restarted.replay(entry));
    assert_eq!(known(&restarted), Some("a"));
}

// Guards against a restart that finds no operation where older records were given up for one.
#[test]
fn an_operation_is_known_after_a_restart_with_a_compacted_log() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    queue.finish(completed("a"));
    let mut restarted = Queue::new(DISK);
    replication::current_entries(&queue, "a").into_iter().for_each(|entry| restarted.replay(entry));
    assert!(restarted.relinquish_duplicates().is_empty());
    restarted.finish_recovery();
    assert_eq!(known(&restarted), Some("a"));
}

// Guards against two messages of one operation that both run after a restart: the records tell which one stays.
#[rstest]
#[case::the_one_taken_later(None, "b")]
#[case::the_one_that_has_ended(Some("a"), "a")]
fn one_message_of_an_operation_is_left_after_a_restart(
    #[case] is_finished: Option<&str>,
    #[case] stays: &str,
) {
    let mut queue = Queue::new(DISK);
    for (id, sequence) in [("b", 2), ("a", 1)] {
        queue.replay(Entry::Message { owner: DISK, message: message(id, sequence) });
    }
    is_finished.into_iter().for_each(|id| queue.replay(Entry::Finished(completed(id))));
    assert_eq!(queue.relinquish_duplicates().len(), 1);
    queue.finish_recovery();
    assert_eq!(known(&queue), Some(stays));
    assert_eq!(queue.all_owned().count(), 1);
}

fn ids(transfer: &[MessageTransfer]) -> Vec<&str> {
    transfer.iter().map(|transfer| transfer.message.id()).collect()
}

// Guards against two messages of one operation that meet and both stay.
#[rstest]
#[case::given_later(transfer("b", 2, 0), &["b"], &["a"])]
#[case::given_earlier(transfer("b", 0, 0), &[], &[])]
#[case::given_earlier_but_begun(transfer("b", 0, 1), &["b"], &["a"])]
fn of_two_messages_that_have_not_begun_the_later_one_stays(
    #[case] other: MessageTransfer,
    #[case] to_adopt: &[&str],
    #[case] displaced: &[&str],
) {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    let settled = resolve_duplicates(&queue, vec![other]);
    assert_eq!(ids(&settled.to_adopt), to_adopt);
    assert_eq!(settled.displaced, displaced);
    assert_eq!(settled.superseded.is_empty(), !to_adopt.is_empty());
}

// Guards against a message that comes back and takes the place of one that has begun or ended.
#[rstest]
fn a_message_that_has_begun_or_ended_stays(#[values(false, true)] is_finished: bool) {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a", 1));
    assert!(queue.start("a").is_some());
    if is_finished {
        queue.finish(completed("a"));
    }
    let settled = resolve_duplicates(&queue, vec![transfer("b", 2, 1)]);
    let superseded = vec!["b".to_string()];
    assert_eq!(settled, Resolution { superseded, ..Resolution::default() });
}

// Guards against two messages of one operation that come in one batch; a message that is here already is no rival of itself.
#[test]
fn one_of_two_given_messages_stays() {
    let mut queue = Queue::new(DISK);
    let settled = resolve_duplicates(&queue, vec![transfer("a", 1, 0), transfer("b", 2, 0)]);
    assert_eq!((ids(&settled.to_adopt), settled.superseded), (vec!["b"], vec!["a".to_string()]));
    take(&mut queue, message("b", 2));
    assert_eq!(ids(&resolve_duplicates(&queue, vec![transfer("b", 2, 0)]).to_adopt), ["b"]);
}
