//! The queue of a store: the order in which messages run, how they finish, and recovery after a restart.
use queue::replication;
use queue::{
    Counts, Entry, Envelope, FinalRecord, FinishedMessage, FinishedTransfer, HeldIds, Message, Outcome,
    Placement, Queue, Stage,
};
use rstest::rstest;
use settings::{Configuration, Route, RouteKey};
use std::collections::BTreeSet;

const DISK: u64 = 1;
const BODY: [u8; 10] = [7; 10];
const HOST: &str = "h";
const PREFIX: &str = "/r/";

/// A configuration whose one route is the one of all messages here.
fn configuration() -> Configuration {
    let route = Route { host: HOST.to_string(), prefix: PREFIX.to_string(), ..Route::default() };
    Configuration { version: 1, routes: vec![route], ..Configuration::default() }
}

/// An empty queue that goes by this configuration.
fn new_queue() -> Queue {
    let mut queue = Queue::new(DISK);
    queue.apply_configuration(&configuration());
    queue
}

fn envelope(id: &str) -> Envelope {
    Envelope {
        id: id.to_string(),
        host: HOST.to_string(),
        target: format!("{PREFIX}{id}?query"),
        route: "r".to_string(),
        config_version: 1,
        due_at: 1_000,
        received_at: 1_000,
        target_start_ms: 500,
        expires_at: 100_000,
        ..Envelope::default()
    }
}

fn message(id: &str) -> Message {
    with_body(envelope(id))
}

fn with_body(envelope: Envelope) -> Message {
    Message::new(envelope, BODY.to_vec())
}

fn ordered_envelope(id: &str, key: &str, sequence: u64) -> Envelope {
    Envelope { key: Some(key.to_string()), ordered: true, sequence, ..envelope(id) }
}

fn ordered(id: &str, key: &str, sequence: u64) -> Message {
    with_body(ordered_envelope(id, key, sequence))
}

fn with_callback(id: &str) -> Message {
    with_body(Envelope { callback: Some("http://10.0.0.1:1/".to_string()), ..envelope(id) })
}

fn accept(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.mark_replicated(&id);
}

fn next(queue: &mut Queue, now: u64) -> Option<String> {
    queue.next(&RouteKey::new(HOST, PREFIX), now, |_| true)
}

fn completed(id: &str) -> FinalRecord {
    FinalRecord { id: id.to_string(), outcome: Outcome::Completed { signature: "s".to_string() }, at: 2_000 }
}

fn dead_lettered(id: &str) -> FinalRecord {
    FinalRecord { outcome: Outcome::DeadLetter, ..completed(id) }
}

fn finished_transfer(message: Message, final_record: FinalRecord) -> FinishedTransfer {
    let callback_done = message.envelope.callback.is_none();
    FinishedTransfer { finished: FinishedMessage::new(message, final_record), callback_done }
}

/// The body of a message, if the queue has it.
fn bytes_of(queue: &Queue, id: &str) -> Option<Vec<u8>> {
    queue.message(id).map(|message| message.verified_body().unwrap().to_vec())
}

#[test]
fn a_message_runs_only_once_it_is_replicated_and_due() {
    let mut queue = new_queue();
    assert!(queue.add(message("a")));
    assert_eq!(next(&mut queue, 5_000), None, "not on a second disk yet");
    queue.mark_replicated("a");
    assert_eq!(next(&mut queue, 999), None);
    assert_eq!(queue.next_due(), Some(1_000));
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("a"));
    queue.start("a");
    assert_eq!(next(&mut queue, 1_000), None);
}

#[test]
fn messages_of_a_key_run_one_at_a_time_in_order() {
    let mut queue = new_queue();
    accept(&mut queue, ordered("a", "k", 1));
    accept(&mut queue, ordered("b", "k", 2));
    accept(&mut queue, ordered("c", "other", 3));
    let first = next(&mut queue, 1_000).unwrap();
    queue.start(&first);
    let second = next(&mut queue, 1_000).unwrap();
    assert_eq!((first.as_str(), second.as_str()), ("a", "c"));
    queue.start("c");
    assert_eq!(next(&mut queue, 1_000), None);
    queue.retry("a", 1, 1_200);
    assert_eq!(next(&mut queue, 1_100), None, "the earlier message has not finished");
    assert_eq!(next(&mut queue, 1_200).as_deref(), Some("a"));
    queue.start("a");
    assert!(queue.finish(completed("a")));
    assert_eq!(next(&mut queue, 1_300).as_deref(), Some("b"));
}

#[test]
fn messages_taken_over_run_before_later_ones_of_their_key() {
    let mut queue = new_queue();
    accept(&mut queue, ordered("new", "k", 50));
    accept(&mut queue, ordered("old", "k", 3));
    accept(&mut queue, ordered("older", "k", 2));
    for expected in ["older", "old", "new"] {
        assert_eq!(next(&mut queue, 1_000).as_deref(), Some(expected));
        queue.start(expected);
        queue.finish(completed(expected));
    }
}

#[test]
fn a_started_message_stays_first_of_its_key() {
    let mut queue = new_queue();
    accept(&mut queue, ordered("b", "k", 2));
    queue.start("b");
    accept(&mut queue, ordered("a", "k", 1));
    assert_eq!(next(&mut queue, 1_000), None);
    queue.finish(completed("b"));
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("a"));
}

#[test]
fn messages_that_can_start_on_time_run_before_late_ones() {
    let mut queue = new_queue();
    accept(&mut queue, message("late"));
    accept(&mut queue, with_body(Envelope { due_at: 3_000, ..envelope("fresh") }));
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("fresh"));
    queue.start("fresh");
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("late"));
}

#[test]
fn a_key_with_fewer_late_messages_before_one_on_time_runs_first() {
    let mut queue = new_queue();
    for (sequence, id) in [(1, "a1"), (2, "a2")] {
        accept(&mut queue, ordered(id, "a", sequence));
    }
    accept(&mut queue, ordered("b1", "b", 3));
    accept(&mut queue, with_body(Envelope { due_at: 3_000, ..ordered_envelope("a3", "a", 4) }));
    accept(&mut queue, with_body(Envelope { due_at: 3_000, ..ordered_envelope("b2", "b", 5) }));
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("b1"));
}

#[test]
fn long_overdue_messages_do_not_starve_behind_keys() {
    let mut queue = new_queue();
    accept(&mut queue, message("long overdue"));
    accept(&mut queue, ordered("a1", "a", 1));
    accept(&mut queue, with_body(Envelope { due_at: 9_000, ..ordered_envelope("a2", "a", 2) }));
    assert_eq!(next(&mut queue, 9_100).as_deref(), Some("long overdue"));
}

#[test]
fn a_finished_message_stays_finished() {
    let mut queue = new_queue();
    accept(&mut queue, message("a"));
    queue.start("a");
    assert!(queue.finish(completed("a")));
    assert!(!queue.finish(dead_lettered("a")));
    queue.retry("a", 0, 0);
    assert_eq!(next(&mut queue, 5_000), None);
    assert!(!queue.add(message("a")), "the same id is not accepted again");
    assert_eq!(queue.final_record_of("a"), Some(completed("a")));
}

#[test]
fn a_relinquished_message_is_gone_and_a_started_one_is_not_relinquished() {
    let mut queue = new_queue();
    accept(&mut queue, message("a"));
    accept(&mut queue, message("b"));
    queue.start("b");
    assert!(queue.relinquish("a", 0));
    assert!(!queue.relinquish("b", 0));
    assert_eq!(next(&mut queue, 1_000), None);
    assert!(queue.owned("a").is_none());
    assert_eq!(queue.body_bytes(), 10);
}

#[test]
fn only_accepted_messages_are_reported_to_other_recipients() {
    let mut queue = new_queue();
    queue.add(with_body(Envelope { also_sent_to: vec![9], ..envelope("a") }));
    assert!(queue.accepted_also_sent_to(9).is_empty());
    queue.mark_replicated("a");
    assert_eq!(queue.accepted_also_sent_to(9), ["a"]);
}

#[test]
fn a_replica_held_for_a_new_owner_is_not_dropped_for_the_old_one() {
    let mut queue = new_queue();
    queue.keep_replica(2, message("a"));
    queue.keep_replica(3, message("a"));
    queue.drop_replica(2, "a");
    assert_eq!(queue.replicas_of(3).count(), 1);
    assert_eq!(queue.body_bytes(), 10);
}

#[test]
fn final_records_are_discarded_once_no_longer_needed() {
    let mut queue = new_queue();
    accept(&mut queue, with_callback("owes"));
    accept(&mut queue, message("notified"));
    accept(&mut queue, message("unnotified"));
    queue.confirm_copy("unnotified", 5);
    for id in ["owes", "notified", "unnotified"] {
        queue.finish(completed(id));
    }
    queue.discard_finished(2_001);
    assert!(queue.owned("notified").is_none());
    assert!(queue.owned("owes").is_some() && queue.owned("unnotified").is_some());
}

/// Guards against a recovered queue that differs from the running queue which wrote the records.
#[test]
fn a_restart_recovers_the_state_of_the_process() {
    let mut live = new_queue();
    let mut records = vec![Entry::Disk(DISK)];
    for (i, id) in ["a", "b", "c", "d"].iter().enumerate() {
        let message = ordered(id, "k", i as u64);
        records.push(Entry::Message { owner: DISK, message: message.clone() });
        accept(&mut live, message);
    }
    records.push(Entry::Message { owner: 2, message: message("copy") });
    live.keep_replica(2, message("copy"));
    live.start("a");
    records.push(Entry::AttemptFailed { id: "a".to_string(), attempts: 1 });
    live.retry("a", 1, 0);
    live.start("a");
    records.push(Entry::Finished(completed("a")));
    live.finish(completed("a"));
    records.push(Entry::Dropped { owner: DISK, id: "d".to_string() });
    live.relinquish("d", 0);
    let mut restarted = Queue::default();
    records.into_iter().for_each(|record| restarted.replay(record));
    restarted.finish_recovery();
    restarted.apply_configuration(&configuration());
    assert_eq!(restarted.disk(), DISK);
    assert_eq!(restarted.counts(), live.counts());
    assert_eq!(next(&mut restarted, 1_000), next(&mut live, 1_000));
    assert_eq!(restarted.final_record_of("a"), live.final_record_of("a"));
    assert_eq!(restarted.replicas_of(2).count(), 1);
    assert_eq!(restarted.body_bytes(), live.body_bytes());
}

#[test]
fn a_recovered_message_counts_as_accepted() {
    let mut queue = Queue::default();
    queue.replay(Entry::Disk(DISK));
    queue.replay(Entry::Message { owner: DISK, message: message("a") });
    queue.finish_recovery();
    assert_eq!(queue.owned("a").unwrap().stage(), Some(Stage::Waiting));
}

/// Guards against running a message twice after both stores that received it lost power.
#[test]
fn a_recovered_message_also_sent_to_another_store_waits_until_that_store_relinquishes_it() {
    let mut queue = Queue::default();
    queue.replay(Entry::Disk(DISK));
    let contested = with_body(Envelope { also_sent_to: vec![9], ..envelope("raced") });
    queue.replay(Entry::Message { owner: DISK, message: contested });
    queue.replay(Entry::Message { owner: DISK, message: message("own") });
    let contested = queue.finish_recovery();
    queue.apply_configuration(&configuration());
    assert_eq!(contested.iter().map(Message::id).collect::<Vec<_>>(), ["raced"]);
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("own"));
    queue.start("own");
    assert_eq!(next(&mut queue, 1_000), None);
    queue.mark_replicated("raced");
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("raced"));
    assert_eq!(queue.accepted_also_sent_to(9), ["raced"]);
}

/// Guards against a retiring store that waits forever, because a holder that was notified after it
/// reconnected was not recorded as notified.
#[test]
fn a_finished_message_is_discarded_once_all_holders_were_notified() {
    let mut queue = new_queue();
    accept(&mut queue, message("a"));
    [5, 6].into_iter().for_each(|disk| assert!(queue.begin_copy("a", disk)));
    queue.finish(completed("a"));
    queue.mark_notified(5, &["a".to_string(), "unknown".to_string()]);
    assert_eq!(queue.owned("a").unwrap().unnotified.iter().copied().collect::<Vec<_>>(), [6]);
    queue.mark_notified(6, &["a".to_string()]);
    queue.discard_finished(2_001);
    assert!(queue.owned("a").is_none());
}

/// Guards against a fence that is kept only in memory: after a restart, it would let in copies from a store
/// that was declared lost.
#[test]
fn a_fence_survives_a_restart() {
    let mut queue = new_queue();
    queue.replay(Entry::Disk(DISK));
    queue.replay(Entry::Message { owner: 9, message: message("held before") });
    queue.replay(Entry::Fenced { disk: 9 });
    assert!(queue.fenced().contains(&9));
    // Records from before the fence, and those rewritten by log compaction, stay available for the successor.
    queue.replay(Entry::Message { owner: 9, message: message("rewritten") });
    assert_eq!(queue.replicas_of(9).count(), 2);
}

#[test]
fn replicas_are_listed_in_pages_ordered_by_id() {
    let mut queue = new_queue();
    for id in ["c", "a", "d", "b", "e"] {
        queue.keep_replica(9, message(id));
    }
    queue.keep_replica(8, message("bb"));
    let ids = |after: &str| {
        let after = queue.replicas_after(9, after).take(2).map(|replica| replica.message.id().to_string());
        after.collect::<Vec<_>>()
    };
    assert_eq!(ids(""), ["a", "b"]);
    assert_eq!(ids("b"), ["c", "d"]);
    assert_eq!(ids("d"), ["e"]);
    assert!(ids("e").is_empty());
}

#[test]
fn final_records_are_kept_with_their_owner() {
    let mut queue = new_queue();
    queue.keep_replica(9, message("a"));
    queue.keep_replica(8, message("b"));
    queue.finish(completed("a"));
    queue.finish(completed("b"));
    queue.keep_final_record(9, completed("from a third store"));
    let mut ids: Vec<_> =
        queue.bare_final_records_of(9).map(|final_record| final_record.id.clone()).collect();
    ids.sort();
    assert_eq!(ids, ["a", "from a third store"]);
    queue.discard_finished(3_000);
    assert_eq!(queue.bare_final_records_of(9).count(), 0);
}

/// Guards against an outcome from a third store that finishes an owned message: it applies to replicas only.
#[test]
fn an_outcome_from_a_third_store_applies_to_replicas_only() {
    let mut queue = new_queue();
    queue.keep_replica(9, message("copy"));
    accept(&mut queue, message("own"));
    queue.keep_final_record(9, completed("copy"));
    queue.keep_final_record(9, completed("own"));
    assert!(queue.replica("copy").is_none() && queue.final_record_of("copy").is_some());
    assert!(queue.final_record_of("own").is_none());
    assert_eq!(next(&mut queue, 5_000).as_deref(), Some("own"));
}

/// Guards against a replica that is sent after the message has finished: its holder would never be notified
/// of the outcome.
#[test]
fn no_replica_is_sent_after_the_end_and_recipients_of_one_are_notified() {
    let mut queue = new_queue();
    accept(&mut queue, message("a"));
    assert!(queue.begin_copy("a", 5));
    queue.finish(completed("a"));
    assert!(!queue.begin_copy("a", 6));
    assert_eq!(queue.owned("a").unwrap().unnotified.iter().copied().collect::<Vec<_>>(), [5]);
    assert!(!queue.begin_copy("unknown", 5));
}

/// An edge sent the message to two stores. This one holds a replica for the other store too, and must keep it
/// when it relinquishes the message.
#[test]
fn a_relinquished_message_stays_as_a_replica_for_its_other_owners() {
    let mut queue = new_queue();
    accept(&mut queue, message("a"));
    queue.keep_replica(9, message("a"));
    assert_eq!(queue.held_for(9).live.len(), 1);
    assert!(queue.relinquish("a", 0));
    assert_eq!(queue.replicas_of(9).count(), 1);
    queue.drop_replica(9, "a");
    assert!(queue.replica("a").is_none());
    assert_eq!(queue.body_bytes(), 0);
}

#[test]
fn a_replica_for_two_owners_is_dropped_with_the_last_of_them() {
    let mut queue = new_queue();
    queue.keep_replica(8, message("a"));
    queue.keep_replica(9, message("a"));
    queue.drop_replica(9, "a");
    assert_eq!(queue.replicas_of(8).count(), 1);
    queue.drop_replica(8, "a");
    assert!(queue.replica("a").is_none());
}

/// Guards against lost or repeated callbacks after a store was declared lost: the holders know of them, and
/// the successor sends each one once.
#[test]
fn holders_keep_a_pending_callback_until_it_is_accepted() {
    let mut queue = new_queue();
    queue.keep_replica(9, with_callback("a"));
    queue.finish(completed("a"));
    assert_eq!(queue.finished_after(9, "").count(), 1);
    let transfer = finished_transfer(with_callback("a"), completed("a"));
    assert!(queue.adopt_finished(transfer.clone()));
    assert!(!queue.adopt_finished(transfer.clone()));
    assert!(queue.owned("a").unwrap().callback_pending);

    let mut other = new_queue();
    other.keep_replica(9, with_callback("a"));
    other.finish(completed("a"));
    other.mark_callback_done("a");
    assert_eq!(other.finished_after(9, "").count(), 0);
    assert!(!other.adopt_finished(transfer), "it was accepted");
}

#[test]
fn relinquished_messages_and_pending_callbacks_are_recovered_after_a_restart() {
    let mut queue = new_queue();
    let records = [
        Entry::Disk(DISK),
        Entry::Message { owner: DISK, message: message("left") },
        Entry::Dropped { owner: DISK, id: "left".to_string() },
        Entry::Message { owner: 9, message: with_callback("owed") },
        Entry::Finished(completed("owed")),
        Entry::FinishedMessage {
            owner: DISK,
            transfer: finished_transfer(with_callback("owed"), completed("owed")),
        },
    ];
    records.into_iter().for_each(|record| queue.replay(record));
    assert!(queue.has_relinquished("left") && !queue.has_relinquished("owed"));
    assert!(queue.owned("owed").unwrap().callback_pending);
}

/// Guards against a note that outlives the relinquishment: the message would be dropped at the restart after a compaction.
#[rstest]
#[case::live(false)]
#[case::finished(true)]
fn a_message_that_is_owned_again_is_not_relinquished_any_more(#[case] finished: bool) {
    let first = [
        Entry::Disk(DISK),
        Entry::Message { owner: DISK, message: message("a") },
        Entry::Dropped { owner: DISK, id: "a".to_string() },
    ];
    let owned_again = match finished {
        false => Entry::Message { owner: DISK, message: message("a") },
        true => Entry::FinishedMessage {
            owner: DISK,
            transfer: finished_transfer(with_callback("a"), completed("a")),
        },
    };
    let mut queue = Queue::default();
    first.into_iter().for_each(|record| queue.replay(record));
    assert!(queue.has_relinquished("a") && queue.owned("a").is_none());
    queue.replay(owned_again.clone());
    assert!(!queue.has_relinquished("a") && queue.owned("a").is_some());
    assert!(!queue.note_relinquished("a", 5_000), "it can only be relinquished as an owned message");
    assert_eq!(replication::current_entries(&queue, "a"), [owned_again]);
}

/// Guards against a holder that discards the body of a dead letter: the successor would serve an empty one.
#[test]
fn a_dead_letter_keeps_its_body_from_owner_to_holder_to_successor() {
    for message in [message("a"), with_callback("a")] {
        let mut holder = new_queue();
        holder.keep_replica(9, message.clone());
        holder.finish(dead_lettered("a"));
        assert_eq!(bytes_of(&holder, "a").as_deref(), Some(&BODY[..]), "a holder can serve it");
        let transfer: Vec<FinishedTransfer> = holder.finished_after(9, "").collect();
        let mut successor = Queue::new(2);
        let (entries, new) = replication::adopt_finished(&mut successor, transfer);
        assert_eq!((entries.len(), new.len()), (1, 1), "the message and its end are one record");
        assert_eq!(bytes_of(&successor, "a").as_deref(), Some(&BODY[..]));
        assert_eq!(successor.owned("a").unwrap().callback_pending, message.envelope.callback.is_some());

        let mut restarted = Queue::new(2);
        entries.into_iter().for_each(|entry| restarted.replay(entry));
        assert_eq!(bytes_of(&restarted, "a").as_deref(), Some(&BODY[..]));
        assert_eq!(restarted.final_record_of("a"), Some(dead_lettered("a")));
        assert_eq!(restarted.body_bytes(), BODY.len());
    }
}

#[test]
fn a_dead_letter_keeps_its_body_after_its_callback_and_is_not_called_back_again() {
    let mut holder = new_queue();
    holder.keep_replica(9, with_callback("a"));
    holder.finish(dead_lettered("a"));
    holder.mark_callback_done("a");
    let transfer: Vec<FinishedTransfer> = holder.finished_after(9, "").collect();
    let mut successor = Queue::new(2);
    replication::adopt_finished(&mut successor, transfer);
    assert_eq!(bytes_of(&successor, "a").as_deref(), Some(&BODY[..]));
    assert!(!successor.owned("a").unwrap().callback_pending);
}

#[test]
fn a_completed_message_has_no_body_anywhere() {
    let mut queue = new_queue();
    queue.keep_replica(9, with_callback("kept"));
    accept(&mut queue, message("own"));
    assert!(queue.finish(completed("kept")) && queue.finish(completed("own")));
    assert_eq!((bytes_of(&queue, "kept"), bytes_of(&queue, "own")), (None, None));
    assert_eq!(queue.body_bytes(), 0);
}

/// Guards against treating an empty body, which a client may send, as a missing one.
#[test]
fn an_empty_body_is_not_a_missing_one() {
    let mut queue = new_queue();
    queue.keep_replica(9, Message::new(envelope("a"), Vec::new()));
    queue.finish(dead_lettered("a"));
    assert_eq!(bytes_of(&queue, "a"), Some(Vec::new()));
}

/// Guards against compacted records that describe another state than the original ones, in any order and when
/// repeated.
#[test]
fn compacted_records_describe_the_same_state_as_the_original_ones() {
    let mut queue = new_queue();
    accept(&mut queue, message("live"));
    accept(&mut queue, with_callback("owing"));
    accept(&mut queue, message("dead"));
    queue.keep_replica(9, message("replica"));
    queue.keep_replica(9, with_callback("dead replica"));
    queue.keep_replica(9, message("completed replica"));
    for final_record in [
        completed("owing"),
        dead_lettered("dead"),
        dead_lettered("dead replica"),
        completed("completed replica"),
    ] {
        queue.finish(final_record);
    }
    queue.mark_callback_done("dead replica");
    let ids = ["live", "owing", "dead", "replica", "dead replica", "completed replica"];
    let compacted: Vec<Entry> = ids.iter().flat_map(|id| replication::current_entries(&queue, id)).collect();
    let twice: Vec<Entry> = compacted.iter().chain(&compacted).cloned().collect();
    let reversed: Vec<Entry> = compacted.iter().rev().cloned().collect();
    for records in [compacted, twice, reversed] {
        let mut restarted = new_queue();
        records.into_iter().for_each(|record| restarted.replay(record));
        restarted.finish_recovery();
        restarted.apply_configuration(&configuration());
        assert_eq!(restarted.counts(), queue.counts());
        assert_eq!(restarted.body_bytes(), queue.body_bytes());
        for id in ids {
            assert_eq!(bytes_of(&restarted, id), bytes_of(&queue, id), "{id}");
            assert_eq!(restarted.final_record_of(id), queue.final_record_of(id), "{id}");
        }
        assert_eq!(
            restarted.finished_after(9, "").collect::<Vec<_>>(),
            queue.finished_after(9, "").collect::<Vec<_>>()
        );
        assert!(restarted.owned("owing").unwrap().callback_pending);
    }
}

/// Guards against an end that a compaction forgets: a holder that missed it would have the message run again.
#[rstest]
#[case::nothing_is_owed(message("a"), false)]
#[case::the_callback_was_accepted(with_callback("a"), true)]
fn the_end_of_an_own_message_outlasts_a_compaction(#[case] message: Message, #[case] called_back: bool) {
    let mut queue = new_queue();
    accept(&mut queue, message.clone());
    queue.keep_replica(9, message);
    assert!(queue.finish(completed("a")));
    if called_back {
        queue.mark_callback_done("a");
    }
    let mut restarted = new_queue();
    replication::current_entries(&queue, "a").into_iter().for_each(|record| restarted.replay(record));
    assert_eq!(restarted.final_record_of("a"), Some(completed("a")));
    assert_eq!(restarted.owned("a").map(|owned| owned.callback_pending), Some(false));
    assert_eq!(restarted.held_for(9), queue.held_for(9));
    assert_eq!(restarted.counts(), queue.counts());
    let held = HeldIds { live: BTreeSet::from(["a".to_string()]), ..HeldIds::default() };
    let reconciled = replication::reconcile(&mut restarted, 5, &held);
    assert_eq!((reconciled.missed_entries.len(), reconciled.unknown.len()), (1, 0), "the holder is told");
}

/// A store may lose power before it has written that a message finished. It learns the outcome from a holder.
#[test]
fn an_owner_learns_from_a_holder_what_it_holds_and_what_has_finished() {
    let mut queue = new_queue();
    ["live", "dead", "ended there", "gone"].into_iter().for_each(|id| accept(&mut queue, message(id)));
    ["live", "dead", "gone"].into_iter().for_each(|id| queue.confirm_copy(id, 5));
    queue.finish(dead_lettered("dead"));
    let ids = |ids: &[&str]| ids.iter().map(ToString::to_string).collect::<BTreeSet<String>>();
    let held = HeldIds { live: ids(&["live", "unknown"]), finished: ids(&["dead", "ended there"]) };
    let reconciled = replication::reconcile(&mut queue, 5, &held);
    assert_eq!(reconciled.unknown, ["unknown"]);
    assert_eq!(reconciled.finished_there, ["ended there"]);
    assert!(reconciled.missed_entries.is_empty());
    let copies = |id: &str| queue.owned(id).unwrap().confirmed_holders.contains(&5);
    assert!(copies("live") && copies("dead") && !copies("gone"));
    assert!(queue.owned("dead").unwrap().unnotified.is_empty());
}

#[test]
fn dead_letters_and_pending_callbacks_are_replicated_like_unfinished_messages() {
    let mut queue = new_queue();
    accept(&mut queue, message("dead"));
    accept(&mut queue, with_callback("owing"));
    accept(&mut queue, message("completed"));
    for final_record in [dead_lettered("dead"), completed("owing"), completed("completed")] {
        assert!(queue.finish(final_record));
    }
    let placement = Placement::anywhere(BTreeSet::from([5, 6]), 1);
    let lacking = |queue: &Queue| -> Vec<String> {
        replication::under_replicated_finished(queue, &placement)
            .map(|owned| owned.id().to_string())
            .collect()
    };
    assert_eq!(lacking(&queue), ["dead", "owing"]);
    assert!(queue.begin_finished_copy("dead", 5) && !queue.begin_copy("dead", 5));
    queue.confirm_copy("dead", 5);
    queue.mark_callback_done("owing");
    assert!(lacking(&queue).is_empty());
}

/// Guards against incomplete replication for an absent owner: dead letters have to keep their bodies.
#[test]
fn messages_of_an_absent_owner_are_fully_replicated_with_their_bodies() {
    let mut holder = new_queue();
    holder.keep_replica(9, message("live"));
    holder.keep_replica(9, message("dead"));
    holder.keep_replica(9, message("completed"));
    assert!(holder.finish(dead_lettered("dead")) && holder.finish(completed("completed")));
    let placement = Placement::anywhere(BTreeSet::from([DISK, 2]), 2);
    let targets = replication::replication_targets(&holder, 9, false, &placement);
    let ids = &targets[&2];
    assert_eq!(
        (&ids.live[..], &ids.finished[..], &ids.final_records[..]),
        (&["live".to_string()][..], &["dead".to_string()][..], &["completed".to_string()][..])
    );
    let mut other = Queue::new(2);
    assert_eq!(&replication::missing_ids(&other, 9, ids), ids);
    let batch = replication::ReplicaBatch {
        live: holder.replicas_of(9).map(Into::into).collect(),
        finished: holder.finished_after(9, "").collect(),
        final_records: vec![completed("completed")],
    };
    replication::keep_replica_batch(&mut other, &mut replication::AbsenceTracker::default(), 9, batch);
    assert_eq!(replication::missing_ids(&other, 9, ids), replication::MessageIds::default());
    assert_eq!(bytes_of(&other, "dead").as_deref(), Some(&BODY[..]));
    let of_lost_owner = replication::replication_targets(&holder, 9, true, &placement);
    assert_eq!(
        of_lost_owner[&2],
        replication::MessageIds {
            final_records: vec!["completed".to_string()],
            ..replication::MessageIds::default()
        }
    );
}

#[test]
fn only_the_final_record_stays_once_nothing_is_held_for_any_owner() {
    let mut queue = new_queue();
    queue.keep_replica(9, message("a"));
    queue.finish(dead_lettered("a"));
    queue.keep_finished(8, finished_transfer(message("a"), dead_lettered("a")));
    queue.drop_replica(9, "a");
    assert_eq!(bytes_of(&queue, "a").as_deref(), Some(&BODY[..]), "it is held for the other owner");
    queue.drop_replica(8, "a");
    assert_eq!((bytes_of(&queue, "a"), queue.final_record_of("a")), (None, Some(dead_lettered("a"))));
    assert_eq!(queue.body_bytes(), 0);
}

#[test]
fn ids_held_for_a_store_are_listed_in_pages() {
    let mut queue = new_queue();
    ["b", "d", "e"].into_iter().for_each(|id| queue.keep_replica(9, message(id)));
    ["a", "c"]
        .into_iter()
        .for_each(|id| queue.keep_finished(9, finished_transfer(message(id), dead_lettered(id))));
    let (mut after, mut pages) = (String::new(), Vec::new());
    loop {
        let (page, more) = queue.held_for(9).page_after(&after, 2);
        after = page.last().cloned().unwrap_or_default();
        pages.push((page.live.len(), page.finished.len(), more));
        if !more {
            break;
        }
    }
    assert_eq!(pages, [(1, 1, true), (1, 1, true), (1, 0, false)]);
}

/// Guards against reading a body that was altered, or that belongs to another message.
#[test]
fn a_body_can_only_be_read_as_that_of_its_message() {
    let sound = message("a");
    assert_eq!(sound.verified_body(), Ok(&BODY[..]));
    let mut bytes = borsh::to_vec(&sound).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    let damaged: Message = borsh::from_slice(&bytes).unwrap();
    let error = damaged.verified_body().unwrap_err();
    assert!(error.to_string().contains("message a (10 bytes here)"), "{error}");
    assert!(message("b").body.verified("a").is_err(), "the same bytes, but of another message");
    assert!(Message::new(envelope("a"), Vec::new()).body.verified("b").is_err());
}

#[test]
fn counts_are_by_state() {
    let mut queue = new_queue();
    ["a", "b", "c"].into_iter().for_each(|id| accept(&mut queue, message(id)));
    queue.start("a");
    queue.finish(completed("b"));
    queue.keep_replica(9, message("d"));
    assert_eq!(queue.counts(), Counts { waiting: 1, running: 1, finished: 1, replicas: 1 });
}
