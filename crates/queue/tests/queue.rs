//! The queue of a store: what runs next, what ends, and that a restart finds what the process knew.
use queue::custody;
use queue::{
    Counts, End, EndedMessage, Entry, Envelope, GivenEnded, HeldIds, Message, Outcome, Placement, Queue,
    Stage,
};
use std::collections::BTreeSet;

const DISK: u64 = 1;
const BODY: [u8; 10] = [7; 10];

fn envelope(id: &str) -> Envelope {
    Envelope {
        id: id.to_string(),
        route: "r".to_string(),
        due_at: 1_000,
        taken_at: 1_000,
        aim_ms: 500,
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

fn ordered_envelope(id: &str, key: &str, order: u64) -> Envelope {
    Envelope { key: Some(key.to_string()), ordered: true, order, ..envelope(id) }
}

fn ordered(id: &str, key: &str, order: u64) -> Message {
    with_body(ordered_envelope(id, key, order))
}

fn with_callback(id: &str) -> Message {
    with_body(Envelope { callback: Some("http://10.0.0.1:1/".to_string()), ..envelope(id) })
}

fn take(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.accept(&id);
}

fn next(queue: &mut Queue, now: u64) -> Option<String> {
    queue.next("r", now, |_| true)
}

fn end(id: &str) -> End {
    End { id: id.to_string(), outcome: Outcome::Completed { signature: "s".to_string() }, at: 2_000 }
}

fn dead(id: &str) -> End {
    End { outcome: Outcome::DeadLetter, ..end(id) }
}

fn given_ended(message: Message, end: End) -> GivenEnded {
    let called_back = message.envelope.callback.is_none();
    GivenEnded { ended: EndedMessage::new(message, end), called_back }
}

/// The bytes that a queue has of a message, if it has them.
fn bytes_of(queue: &Queue, id: &str) -> Option<Vec<u8>> {
    queue.message(id).map(|message| message.verified_body().unwrap().to_vec())
}

#[test]
fn a_message_runs_only_once_it_is_safe_and_due() {
    let mut queue = Queue::new(DISK);
    assert!(queue.add(message("a")));
    assert_eq!(next(&mut queue, 5_000), None, "not on a second disk yet");
    queue.accept("a");
    assert_eq!(next(&mut queue, 999), None);
    assert_eq!(queue.next_due(), Some(1_000));
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("a"));
    queue.start("a");
    assert_eq!(next(&mut queue, 1_000), None);
}

#[test]
fn messages_of_a_key_run_one_after_the_other_in_their_order() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, ordered("a", "k", 1));
    take(&mut queue, ordered("b", "k", 2));
    take(&mut queue, ordered("c", "other", 3));
    let first = next(&mut queue, 1_000).unwrap();
    queue.start(&first);
    let second = next(&mut queue, 1_000).unwrap();
    assert_eq!((first.as_str(), second.as_str()), ("a", "c"));
    queue.start("c");
    assert_eq!(next(&mut queue, 1_000), None);
    queue.retry("a", 1, 1_200);
    assert_eq!(next(&mut queue, 1_100), None, "the one before has not ended");
    assert_eq!(next(&mut queue, 1_200).as_deref(), Some("a"));
    queue.start("a");
    assert!(queue.end(end("a")));
    assert_eq!(next(&mut queue, 1_300).as_deref(), Some("b"));
}

#[test]
fn what_is_inherited_takes_its_place_before_what_came_later() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, ordered("new", "k", 50));
    take(&mut queue, ordered("old", "k", 3));
    take(&mut queue, ordered("older", "k", 2));
    for expected in ["older", "old", "new"] {
        assert_eq!(next(&mut queue, 1_000).as_deref(), Some(expected));
        queue.start(expected);
        queue.end(end(expected));
    }
}

#[test]
fn what_has_begun_stays_first_of_its_key() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, ordered("b", "k", 2));
    queue.start("b");
    take(&mut queue, ordered("a", "k", 1));
    assert_eq!(next(&mut queue, 1_000), None);
    queue.end(end("b"));
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("a"));
}

#[test]
fn what_can_still_be_in_time_goes_before_what_is_late() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("late"));
    take(&mut queue, with_body(Envelope { due_at: 3_000, ..envelope("fresh") }));
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("fresh"));
    queue.start("fresh");
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("late"));
}

#[test]
fn a_line_with_fewer_late_ones_before_a_fresh_one_goes_first() {
    let mut queue = Queue::new(DISK);
    for (order, id) in [(1, "a1"), (2, "a2")] {
        take(&mut queue, ordered(id, "a", order));
    }
    take(&mut queue, ordered("b1", "b", 3));
    take(&mut queue, with_body(Envelope { due_at: 3_000, ..ordered_envelope("a3", "a", 4) }));
    take(&mut queue, with_body(Envelope { due_at: 3_000, ..ordered_envelope("b2", "b", 5) }));
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("b1"));
}

#[test]
fn nothing_waits_for_ever_behind_lines() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("forgotten"));
    take(&mut queue, ordered("a1", "a", 1));
    take(&mut queue, with_body(Envelope { due_at: 9_000, ..ordered_envelope("a2", "a", 2) }));
    assert_eq!(next(&mut queue, 9_100).as_deref(), Some("forgotten"));
}

#[test]
fn an_ended_message_stays_ended() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    queue.start("a");
    assert!(queue.end(end("a")));
    assert!(!queue.end(dead("a")));
    queue.retry("a", 0, 0);
    assert_eq!(next(&mut queue, 5_000), None);
    assert!(!queue.add(message("a")), "the same id isn't taken again");
    assert_eq!(queue.end_of("a"), Some(end("a")));
}

#[test]
fn a_message_left_to_another_store_is_gone_and_one_that_began_is_not_left() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    take(&mut queue, message("b"));
    queue.start("b");
    assert!(queue.leave("a"));
    assert!(!queue.leave("b"));
    assert_eq!(next(&mut queue, 1_000), None);
    assert!(queue.owned("a").is_none());
    assert_eq!(queue.bytes(), 10);
}

#[test]
fn only_what_is_safe_here_is_told_as_taken_from_another() {
    let mut queue = Queue::new(DISK);
    queue.add(with_body(Envelope { also_at: vec![9], ..envelope("a") }));
    assert!(queue.taken_from(9).is_empty());
    queue.accept("a");
    assert_eq!(queue.taken_from(9), ["a"]);
}

#[test]
fn a_copy_that_was_given_to_a_new_owner_isnt_dropped_for_the_old_one() {
    let mut queue = Queue::new(DISK);
    queue.keep(2, message("a"));
    queue.keep(3, message("a"));
    queue.drop_replica_of(2, "a");
    assert_eq!(queue.replicas_of(3).count(), 1);
    assert_eq!(queue.bytes(), 10);
}

#[test]
fn ends_are_forgotten_once_nobody_needs_them() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, with_callback("owes"));
    take(&mut queue, message("told"));
    take(&mut queue, message("untold"));
    queue.copy_kept("untold", 5);
    for id in ["owes", "told", "untold"] {
        queue.end(end(id));
    }
    queue.forget(2_001);
    assert!(queue.owned("told").is_none());
    assert!(queue.owned("owes").is_some() && queue.owned("untold").is_some());
}

/// The live queue and the one folded from the records agree, whatever happened.
#[test]
fn a_restart_finds_what_the_process_knew() {
    let mut live = Queue::new(DISK);
    let mut records = vec![Entry::Disk(DISK)];
    for (i, id) in ["a", "b", "c", "d"].iter().enumerate() {
        let message = ordered(id, "k", i as u64);
        records.push(Entry::Message { owner: DISK, message: message.clone() });
        take(&mut live, message);
    }
    records.push(Entry::Message { owner: 2, message: message("copy") });
    live.keep(2, message("copy"));
    live.start("a");
    records.push(Entry::Failed { id: "a".to_string(), attempts: 1 });
    live.retry("a", 1, 0);
    live.start("a");
    records.push(Entry::Ended(end("a")));
    live.end(end("a"));
    records.push(Entry::Dropped { owner: DISK, id: "d".to_string() });
    live.leave("d");
    let mut restarted = Queue::default();
    records.into_iter().for_each(|record| restarted.recover(record));
    restarted.recovered();
    assert_eq!(restarted.disk(), DISK);
    assert_eq!(restarted.counts(), live.counts());
    assert_eq!(next(&mut restarted, 1_000), next(&mut live, 1_000));
    assert_eq!(restarted.end_of("a"), live.end_of("a"));
    assert_eq!(restarted.replicas_of(2).count(), 1);
    assert_eq!(restarted.bytes(), live.bytes());
}

#[test]
fn a_recovered_message_counts_as_taken() {
    let mut queue = Queue::default();
    queue.recover(Entry::Disk(DISK));
    queue.recover(Entry::Message { owner: DISK, message: message("a") });
    queue.recovered();
    assert_eq!(queue.owned("a").unwrap().stage(), Some(Stage::Waiting));
}

/// Both stores that were given a message lost power, and both ran it when they were back.
#[test]
fn a_recovered_message_that_another_store_was_given_waits_until_that_one_leaves_it() {
    let mut queue = Queue::default();
    queue.recover(Entry::Disk(DISK));
    let raced = with_body(Envelope { also_at: vec![9], ..envelope("raced") });
    queue.recover(Entry::Message { owner: DISK, message: raced });
    queue.recover(Entry::Message { owner: DISK, message: message("own") });
    let raced = queue.recovered();
    assert_eq!(raced.iter().map(Message::id).collect::<Vec<_>>(), ["raced"]);
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("own"));
    queue.start("own");
    assert_eq!(next(&mut queue, 1_000), None);
    queue.accept("raced");
    assert_eq!(next(&mut queue, 1_000).as_deref(), Some("raced"));
    assert_eq!(queue.taken_from(9), ["raced"]);
}

/// A store that was to retire waited for ever: who had been told of an end after a reconnection was not noted.
#[test]
fn once_all_holders_were_told_of_an_end_nobody_is_waited_for() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    [5, 6].into_iter().for_each(|disk| assert!(queue.send_copy("a", disk)));
    queue.end(end("a"));
    queue.told(5, &["a".to_string(), "unknown".to_string()]);
    assert_eq!(queue.owned("a").unwrap().untold.iter().copied().collect::<Vec<_>>(), [6]);
    queue.told(6, &["a".to_string()]);
    queue.forget(2_001);
    assert!(queue.owned("a").is_none());
}

/// A fence that only memory knew let copies in again after a restart, from a store that was given up.
#[test]
fn a_fence_outlasts_a_restart() {
    let mut queue = Queue::new(DISK);
    queue.recover(Entry::Disk(DISK));
    queue.recover(Entry::Message { owner: 9, message: message("kept before") });
    queue.recover(Entry::Fenced { disk: 9 });
    assert!(queue.fenced().contains(&9));
    // What was written before the fence, or anew by the ring's care, is still there for the heir.
    queue.recover(Entry::Message { owner: 9, message: message("written anew") });
    assert_eq!(queue.replicas_of(9).count(), 2);
}

#[test]
fn copies_are_told_piece_by_piece_in_the_order_of_their_ids() {
    let mut queue = Queue::new(DISK);
    for id in ["c", "a", "d", "b", "e"] {
        queue.keep(9, message(id));
    }
    queue.keep(8, message("bb"));
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
fn the_ends_of_an_owners_messages_are_known_with_it() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, message("a"));
    queue.keep(8, message("b"));
    queue.end(end("a"));
    queue.end(end("b"));
    queue.keep_end(9, end("from a third store"));
    let mut ids: Vec<_> = queue.bare_ends_of(9).map(|end| end.id.clone()).collect();
    ids.sort();
    assert_eq!(ids, ["a", "from a third store"]);
    queue.forget(3_000);
    assert_eq!(queue.bare_ends_of(9).count(), 0);
}

/// An end that a third store tells ends a copy here, and nothing that is owned here.
#[test]
fn an_end_from_a_third_store_is_for_copies_alone() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, message("copy"));
    take(&mut queue, message("own"));
    queue.keep_end(9, end("copy"));
    queue.keep_end(9, end("own"));
    assert!(queue.replica("copy").is_none() && queue.end_of("copy").is_some());
    assert!(queue.end_of("own").is_none());
    assert_eq!(next(&mut queue, 5_000).as_deref(), Some("own"));
}

/// The cause of an incident: whoever got a copy after the end was never told of it.
#[test]
fn no_copy_goes_out_after_the_end_and_whoever_was_sent_one_is_told() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    assert!(queue.send_copy("a", 5));
    queue.end(end("a"));
    assert!(!queue.send_copy("a", 6));
    assert_eq!(queue.owned("a").unwrap().untold.iter().copied().collect::<Vec<_>>(), [5]);
    assert!(!queue.send_copy("unknown", 5));
}

/// An edge gave a message to two stores: one of them kept it for the other too, and left it.
#[test]
fn a_message_that_is_left_stays_as_a_copy_for_whoever_counts_on_one() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    queue.keep(9, message("a"));
    assert_eq!(queue.held_for(9).live.len(), 1);
    assert!(queue.leave("a"));
    assert_eq!(queue.replicas_of(9).count(), 1);
    queue.drop_replica_of(9, "a");
    assert!(queue.replica("a").is_none());
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn a_copy_for_two_owners_goes_with_the_last_of_them() {
    let mut queue = Queue::new(DISK);
    queue.keep(8, message("a"));
    queue.keep(9, message("a"));
    queue.drop_replica_of(9, "a");
    assert_eq!(queue.replicas_of(8).count(), 1);
    queue.drop_replica_of(8, "a");
    assert!(queue.replica("a").is_none());
}

/// A store that was taken away owed call-backs: who held its messages knows of them, and the heir makes them once.
#[test]
fn a_call_back_is_owed_by_holders_until_it_is_accepted() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, with_callback("a"));
    queue.end(end("a"));
    assert_eq!(queue.ended_after(9, "").count(), 1);
    let given = given_ended(with_callback("a"), end("a"));
    assert!(queue.adopt_ended(given.clone()));
    assert!(!queue.adopt_ended(given.clone()));
    assert!(queue.owned("a").unwrap().owes_callback);

    let mut other = Queue::new(DISK);
    other.keep(9, with_callback("a"));
    other.end(end("a"));
    other.called_back("a");
    assert_eq!(other.ended_after(9, "").count(), 0);
    assert!(!other.adopt_ended(given), "it was accepted");
}

#[test]
fn what_was_left_and_what_is_owed_are_known_after_a_restart() {
    let mut queue = Queue::new(DISK);
    let records = [
        Entry::Disk(DISK),
        Entry::Message { owner: DISK, message: message("left") },
        Entry::Dropped { owner: DISK, id: "left".to_string() },
        Entry::Message { owner: 9, message: with_callback("owed") },
        Entry::Ended(end("owed")),
        Entry::EndedMessage { owner: DISK, given: given_ended(with_callback("owed"), end("owed")) },
    ];
    records.into_iter().for_each(|record| queue.recover(record));
    assert_eq!(queue.take_left().into_iter().collect::<Vec<_>>(), ["left"]);
    assert!(queue.owned("owed").unwrap().owes_callback);
}

/// The cause of an incident: a holder let the body of a dead letter go, and its heir showed an empty one.
#[test]
fn a_dead_letter_keeps_its_body_from_owner_to_holder_to_heir() {
    for message in [message("a"), with_callback("a")] {
        let mut holder = Queue::new(DISK);
        holder.keep(9, message.clone());
        holder.end(dead("a"));
        assert_eq!(bytes_of(&holder, "a").as_deref(), Some(&BODY[..]), "a holder shows it");
        let given: Vec<GivenEnded> = holder.ended_after(9, "").collect();
        let mut heir = Queue::new(2);
        let (entries, new) = custody::adopt_ended(&mut heir, given);
        assert_eq!((entries.len(), new.len()), (1, 1), "the message and its end are one record");
        assert_eq!(bytes_of(&heir, "a").as_deref(), Some(&BODY[..]));
        assert_eq!(heir.owned("a").unwrap().owes_callback, message.envelope.callback.is_some());

        let mut restarted = Queue::new(2);
        entries.into_iter().for_each(|entry| restarted.recover(entry));
        assert_eq!(bytes_of(&restarted, "a").as_deref(), Some(&BODY[..]));
        assert_eq!(restarted.end_of("a"), Some(dead("a")));
        assert_eq!(restarted.bytes(), BODY.len());
    }
}

#[test]
fn a_dead_letter_whose_call_back_was_accepted_keeps_its_body_and_isnt_called_back_again() {
    let mut holder = Queue::new(DISK);
    holder.keep(9, with_callback("a"));
    holder.end(dead("a"));
    holder.called_back("a");
    let given: Vec<GivenEnded> = holder.ended_after(9, "").collect();
    let mut heir = Queue::new(2);
    custody::adopt_ended(&mut heir, given);
    assert_eq!(bytes_of(&heir, "a").as_deref(), Some(&BODY[..]));
    assert!(!heir.owned("a").unwrap().owes_callback);
}

#[test]
fn a_completed_message_has_no_body_anywhere() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, with_callback("kept"));
    take(&mut queue, message("own"));
    assert!(queue.end(end("kept")) && queue.end(end("own")));
    assert_eq!((bytes_of(&queue, "kept"), bytes_of(&queue, "own")), (None, None));
    assert_eq!(queue.bytes(), 0);
}

/// An empty body is one that a client sent, and is kept like any other.
#[test]
fn an_empty_body_is_not_a_missing_one() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, Message::new(envelope("a"), Vec::new()));
    queue.end(dead("a"));
    assert_eq!(bytes_of(&queue, "a"), Some(Vec::new()));
}

/// Whatever the log wrote anew tells the same as what it wrote first, in either order.
#[test]
fn records_written_anew_tell_what_the_first_ones_told() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("live"));
    take(&mut queue, with_callback("owing"));
    take(&mut queue, message("dead"));
    queue.keep(9, message("replica"));
    queue.keep(9, with_callback("dead replica"));
    queue.keep(9, message("completed replica"));
    for end in [end("owing"), dead("dead"), dead("dead replica"), end("completed replica")] {
        queue.end(end);
    }
    queue.called_back("dead replica");
    let ids = ["live", "owing", "dead", "replica", "dead replica", "completed replica"];
    let again: Vec<Entry> = ids.iter().flat_map(|id| custody::records_of(&queue, id)).collect();
    let twice: Vec<Entry> = again.iter().chain(&again).cloned().collect();
    let reversed: Vec<Entry> = again.iter().rev().cloned().collect();
    for records in [again, twice, reversed] {
        let mut restarted = Queue::new(DISK);
        records.into_iter().for_each(|record| restarted.recover(record));
        restarted.recovered();
        assert_eq!(restarted.counts(), queue.counts());
        assert_eq!(restarted.bytes(), queue.bytes());
        for id in ids {
            assert_eq!(bytes_of(&restarted, id), bytes_of(&queue, id), "{id}");
            assert_eq!(restarted.end_of(id), queue.end_of(id), "{id}");
        }
        assert_eq!(
            restarted.ended_after(9, "").collect::<Vec<_>>(),
            queue.ended_after(9, "").collect::<Vec<_>>()
        );
        assert!(restarted.owned("owing").unwrap().owes_callback);
    }
}

/// A message that ended at a store which lost power before its end was written is ended by what a holder knows.
#[test]
fn an_owner_learns_from_a_holder_what_it_holds_and_what_has_ended() {
    let mut queue = Queue::new(DISK);
    ["live", "dead", "ended there", "gone"].into_iter().for_each(|id| take(&mut queue, message(id)));
    ["live", "dead", "gone"].into_iter().for_each(|id| queue.copy_kept(id, 5));
    queue.end(dead("dead"));
    let ids = |ids: &[&str]| ids.iter().map(ToString::to_string).collect::<BTreeSet<String>>();
    let held = HeldIds { live: ids(&["live", "unknown"]), ended: ids(&["dead", "ended there"]) };
    let reconciled = custody::reconcile(&mut queue, 5, &held);
    assert_eq!(reconciled.unknown, ["unknown"]);
    assert_eq!(reconciled.ended_there, ["ended there"]);
    assert!(reconciled.ends.is_empty());
    let copies = |id: &str| queue.owned(id).unwrap().copies.contains(&5);
    assert!(copies("live") && copies("dead") && !copies("gone"));
    assert!(queue.owned("dead").unwrap().untold.is_empty());
}

#[test]
fn dead_letters_and_owed_call_backs_lack_copies_like_messages_that_have_not_ended() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("dead"));
    take(&mut queue, with_callback("owing"));
    take(&mut queue, message("completed"));
    for end in [dead("dead"), end("owing"), end("completed")] {
        assert!(queue.end(end));
    }
    let placement = Placement::anywhere(BTreeSet::from([5, 6]), 1);
    let lacking = |queue: &Queue| -> Vec<String> {
        custody::lacking_ended(queue, &placement).map(|owned| owned.id().to_string()).collect()
    };
    assert_eq!(lacking(&queue), ["dead", "owing"]);
    assert!(queue.send_ended("dead", 5) && !queue.send_copy("dead", 5));
    queue.copy_kept("dead", 5);
    queue.called_back("owing");
    assert!(lacking(&queue).is_empty());
}

/// What is kept for an owner that is away is made whole elsewhere, dead letters with their bodies.
#[test]
fn what_is_kept_for_an_absent_owner_is_made_whole_with_its_bodies() {
    let mut holder = Queue::new(DISK);
    holder.keep(9, message("live"));
    holder.keep(9, message("dead"));
    holder.keep(9, message("completed"));
    assert!(holder.end(dead("dead")) && holder.end(end("completed")));
    let placement = Placement::anywhere(BTreeSet::from([DISK, 2]), 2);
    let targets = custody::targets(&holder, 9, false, &placement);
    let ids = &targets[&2];
    assert_eq!(
        (&ids.live[..], &ids.ended[..], &ids.ends[..]),
        (&["live".to_string()][..], &["dead".to_string()][..], &["completed".to_string()][..])
    );
    let mut other = Queue::new(2);
    assert_eq!(&custody::lacking_of(&other, 9, ids), ids);
    let preserved = custody::Preserved {
        live: holder.replicas_of(9).map(Into::into).collect(),
        ended: holder.ended_after(9, "").collect(),
        ends: vec![end("completed")],
    };
    custody::preserve(&mut other, &mut custody::Absences::default(), 9, preserved);
    assert_eq!(custody::lacking_of(&other, 9, ids), custody::Ids::default());
    assert_eq!(bytes_of(&other, "dead").as_deref(), Some(&BODY[..]));
    let of_given_up = custody::targets(&holder, 9, true, &placement);
    assert_eq!(
        of_given_up[&2],
        custody::Ids { ends: vec!["completed".to_string()], ..custody::Ids::default() }
    );
}

#[test]
fn what_a_holder_kept_for_one_owner_alone_goes_with_it_but_for_the_end() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, message("a"));
    queue.end(dead("a"));
    queue.keep_ended(8, given_ended(message("a"), dead("a")));
    queue.drop_replica_of(9, "a");
    assert_eq!(bytes_of(&queue, "a").as_deref(), Some(&BODY[..]), "it is kept for the other");
    queue.drop_replica_of(8, "a");
    assert_eq!((bytes_of(&queue, "a"), queue.end_of("a")), (None, Some(dead("a"))));
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn what_is_held_for_a_store_is_told_piece_by_piece() {
    let mut queue = Queue::new(DISK);
    ["b", "d", "e"].into_iter().for_each(|id| queue.keep(9, message(id)));
    ["a", "c"].into_iter().for_each(|id| queue.keep_ended(9, given_ended(message(id), dead(id))));
    let (mut after, mut seen) = (String::new(), Vec::new());
    loop {
        let (piece, more) = queue.held_for(9).after(&after, 2);
        after = piece.last().cloned().unwrap_or_default();
        seen.push((piece.live.len(), piece.ended.len(), more));
        if !more {
            break;
        }
    }
    assert_eq!(seen, [(1, 1, true), (1, 1, true), (1, 0, false)]);
}

/// Bytes that aren't those that were taken can't be read as the message's: neither changed ones nor another message's.
#[test]
fn a_body_is_read_only_as_what_was_taken_for_its_message() {
    let sound = message("a");
    assert_eq!(sound.verified_body(), Ok(&BODY[..]));
    let mut bytes = borsh::to_vec(&sound).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    let damaged: Message = borsh::from_slice(&bytes).unwrap();
    let error = damaged.verified_body().unwrap_err();
    assert!(error.to_string().contains("message a (10 bytes here)"), "{error}");
    assert!(message("b").body.verified("a").is_err(), "the same bytes, taken for another message");
    assert!(Message::new(envelope("a"), Vec::new()).body.verified("b").is_err());
}

#[test]
fn counts_tell_messages_by_what_becomes_of_them() {
    let mut queue = Queue::new(DISK);
    ["a", "b", "c"].into_iter().for_each(|id| take(&mut queue, message(id)));
    queue.start("a");
    queue.end(end("b"));
    queue.keep(9, message("d"));
    assert_eq!(queue.counts(), Counts { waiting: 1, running: 1, ended: 1, replicas: 1 });
}
