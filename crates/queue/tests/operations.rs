//! Which message a store keeps for an operation, and how long it recognizes the operation.
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

fn accept(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.mark_replicated(&id);
}

fn kept_message_id(queue: &Queue) -> Option<&str> {
    queue.message_of_operation(&operation("t")).map(|owned| owned.id())
}

// Guards against an operation key of one tenant matching an operation of another tenant.
#[test]
fn keys_of_different_tenants_are_different_operations() {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message_of("t", "a", 1));
    accept(&mut queue, message_of("u", "b", 2));
    assert_eq!(kept_message_id(&queue), Some("a"));
    assert_eq!(queue.message_of_operation(&operation("u")).map(|owned| owned.id()), Some("b"));
}

// Guards against an operation that is forgotten when its message finishes, or never forgotten.
#[test]
fn an_operation_is_recognized_until_its_final_record_is_discarded() {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message("a", 1));
    queue.finish(completed("a"));
    queue.discard_finished(2_000);
    assert_eq!(kept_message_id(&queue), Some("a"));
    queue.discard_finished(2_001);
    assert_eq!(kept_message_id(&queue), None);
}

// Guards against an operation that still refers to a message relinquished to another store.
#[test]
fn an_operation_is_forgotten_with_a_relinquished_message() {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message("a", 1));
    assert!(queue.relinquish("a", 0));
    assert_eq!(kept_message_id(&queue), None);
}

// Guards against holders that discard the envelope of a finished message: the successor would not recognize
// the operation.
#[test]
fn an_operation_of_a_finished_message_passes_from_owner_to_holder_to_successor() {
    let mut owner = Queue::new(DISK);
    accept(&mut owner, message("a", 1));
    owner.finish(completed("a"));
    let needs_one = Placement::anywhere(BTreeSet::from([OTHER]), 1);
    assert_eq!(replication::under_replicated_finished(&owner, &needs_one).count(), 1, "it is replicated");
    assert_eq!(replication::finished_transfers(&owner, DISK).len(), 1, "it is handed back");

    let mut holder = Queue::new(OTHER);
    holder.keep_replica(DISK, message("a", 1));
    holder.finish(completed("a"));
    let kept: Vec<FinishedTransfer> = holder.finished_after(DISK, "").collect();
    assert_eq!(kept, [finished("a", 1)], "a holder keeps it");
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

    let mut successor = Queue::new(2);
    let (entries, _) = replication::adopt_finished(&mut successor, kept);
    assert_eq!(kept_message_id(&successor), Some("a"));
    let mut restarted = Queue::new(2);
    entries.into_iter().for_each(|entry| restarted.replay(entry));
    assert_eq!(kept_message_id(&restarted), Some("a"));
}

// Guards against a compacted log that no longer identifies the operation after a restart.
#[test]
fn an_operation_is_recognized_after_a_restart_with_a_compacted_log() {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message("a", 1));
    queue.finish(completed("a"));
    let mut restarted = Queue::new(DISK);
    replication::current_entries(&queue, "a").into_iter().for_each(|entry| restarted.replay(entry));
    assert!(restarted.relinquish_duplicates().is_empty());
    restarted.finish_recovery();
    assert_eq!(kept_message_id(&restarted), Some("a"));
}

// Guards against two messages of one operation that both run after a restart. The records decide which one is
// kept.
#[rstest]
#[case::the_one_accepted_later(None, "b")]
#[case::the_finished_one(Some("a"), "a")]
fn one_message_of_an_operation_is_kept_after_a_restart(
    #[case] is_finished: Option<&str>,
    #[case] kept_id: &str,
) {
    let mut queue = Queue::new(DISK);
    for (id, sequence) in [("b", 2), ("a", 1)] {
        queue.replay(Entry::Message { owner: DISK, message: message(id, sequence) });
    }
    is_finished.into_iter().for_each(|id| queue.replay(Entry::Finished(completed(id))));
    assert_eq!(queue.relinquish_duplicates().len(), 1);
    queue.finish_recovery();
    assert_eq!(kept_message_id(&queue), Some(kept_id));
    assert_eq!(queue.all_owned().count(), 1);
}

fn ids(transfers: &[MessageTransfer]) -> Vec<&str> {
    transfers.iter().map(|transfer| transfer.message.id()).collect()
}

// Guards against keeping both of two messages of one operation.
#[rstest]
#[case::received_later(transfer("b", 2, 0), &["b"], &["a"])]
#[case::received_earlier(transfer("b", 0, 0), &[], &[])]
#[case::received_earlier_but_started(transfer("b", 0, 1), &["b"], &["a"])]
fn of_two_messages_that_have_not_started_the_later_one_is_kept(
    #[case] other: MessageTransfer,
    #[case] to_adopt: &[&str],
    #[case] displaced: &[&str],
) {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message("a", 1));
    let resolution = resolve_duplicates(&queue, vec![other]);
    assert_eq!(ids(&resolution.to_adopt), to_adopt);
    assert_eq!(resolution.displaced, displaced);
    assert_eq!(resolution.superseded.is_empty(), !to_adopt.is_empty());
}

// Guards against a returning message that replaces one which has started or finished.
#[rstest]
fn a_message_that_has_started_or_finished_is_kept(#[values(false, true)] is_finished: bool) {
    let mut queue = Queue::new(DISK);
    accept(&mut queue, message("a", 1));
    assert!(queue.start("a").is_some());
    if is_finished {
        queue.finish(completed("a"));
    }
    let resolution = resolve_duplicates(&queue, vec![transfer("b", 2, 1)]);
    let superseded = vec!["b".to_string()];
    assert_eq!(resolution, Resolution { superseded, ..Resolution::default() });
}

// Guards against keeping two messages of one operation from the same batch. A message that is already here is
// not a duplicate of itself.
#[test]
fn one_of_two_messages_in_a_batch_is_kept() {
    let mut queue = Queue::new(DISK);
    let resolution = resolve_duplicates(&queue, vec![transfer("a", 1, 0), transfer("b", 2, 0)]);
    assert_eq!((ids(&resolution.to_adopt), resolution.superseded), (vec!["b"], vec!["a".to_string()]));
    accept(&mut queue, message("b", 2));
    assert_eq!(ids(&resolve_duplicates(&queue, vec![transfer("b", 2, 0)]).to_adopt), ["b"]);
}
