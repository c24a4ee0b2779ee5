//! The queue of a store: what runs next, what ends, and that a restart finds what the process knew.
use queue::{End, Entry, Message, Outcome, Queue, Stage};

const DISK: u64 = 1;

fn message(id: &str) -> Message {
    Message {
        id: id.to_string(),
        route: "r".to_string(),
        due_at: 1_000,
        taken_at: 1_000,
        aim_ms: 500,
        expires_at: 100_000,
        body: vec![7; 10],
        ..Message::default()
    }
}

fn ordered(id: &str, key: &str, order: u64) -> Message {
    Message { key: Some(key.to_string()), ordered: true, order, ..message(id) }
}

fn take(queue: &mut Queue, message: Message) {
    let id = message.id.clone();
    assert!(queue.add(message));
    queue.accept(&id);
}

fn next(queue: &mut Queue, now: u64) -> Option<String> {
    queue.next("r", now, |_| true)
}

fn end(id: &str) -> End {
    End { id: id.to_string(), outcome: Outcome::Completed { signature: "s".to_string() }, at: 2_000 }
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
    take(&mut queue, Message { due_at: 3_000, ..message("fresh") });
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
    take(&mut queue, Message { due_at: 3_000, ..ordered("a3", "a", 4) });
    take(&mut queue, Message { due_at: 3_000, ..ordered("b2", "b", 5) });
    assert_eq!(next(&mut queue, 3_100).as_deref(), Some("b1"));
}

#[test]
fn nothing_waits_for_ever_behind_lines() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("forgotten"));
    take(&mut queue, ordered("a1", "a", 1));
    take(&mut queue, Message { due_at: 9_000, ..ordered("a2", "a", 2) });
    assert_eq!(next(&mut queue, 9_100).as_deref(), Some("forgotten"));
}

#[test]
fn an_ended_message_stays_ended() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, message("a"));
    queue.start("a");
    assert!(queue.end(end("a")));
    assert!(!queue.end(End { outcome: Outcome::DeadLetter, ..end("a") }));
    queue.retry("a", 0, 0);
    assert_eq!(next(&mut queue, 5_000), None);
    assert!(!queue.add(message("a")), "the same id isn't taken again");
    assert_eq!(queue.end_of("a"), Some(&end("a")));
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
    queue.add(Message { also_at: vec![9], ..message("a") });
    assert!(queue.taken_from(9).is_empty());
    queue.accept("a");
    assert_eq!(queue.taken_from(9), ["a"]);
}

#[test]
fn a_copy_that_was_given_to_a_new_owner_isnt_dropped_for_the_old_one() {
    let mut queue = Queue::new(DISK);
    queue.keep(2, message("a"));
    queue.keep(3, message("a"));
    queue.drop_copy_of(2, "a");
    assert_eq!(queue.copies_of(3).count(), 1);
    assert_eq!(queue.bytes(), 10);
}

#[test]
fn ends_are_forgotten_once_nobody_needs_them() {
    let mut queue = Queue::new(DISK);
    take(&mut queue, Message { callback: Some("http://10.0.0.1:1/".to_string()), ..message("owes") });
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
    assert_eq!(restarted.copies_of(2).count(), 1);
    assert_eq!(restarted.bytes(), live.bytes());
}

#[test]
fn a_recovered_message_counts_as_taken() {
    let mut queue = Queue::default();
    queue.recover(Entry::Disk(DISK));
    queue.recover(Entry::Message { owner: DISK, message: message("a") });
    queue.recovered();
    assert_eq!(queue.owned("a").unwrap().stage, Stage::Waiting);
}

/// Both stores that were given a message lost power, and both ran it when they were back.
#[test]
fn a_recovered_message_that_another_store_was_given_waits_until_that_one_leaves_it() {
    let mut queue = Queue::default();
    queue.recover(Entry::Disk(DISK));
    queue.recover(Entry::Message { owner: DISK, message: Message { also_at: vec![9], ..message("raced") } });
    queue.recover(Entry::Message { owner: DISK, message: message("own") });
    let raced = queue.recovered();
    assert_eq!(raced.iter().map(|message| message.id.as_str()).collect::<Vec<_>>(), ["raced"]);
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
    assert_eq!(queue.copies_of(9).count(), 2);
}

#[test]
fn copies_are_told_piece_by_piece_in_the_order_of_their_ids() {
    let mut queue = Queue::new(DISK);
    for id in ["c", "a", "d", "b", "e"] {
        queue.keep(9, message(id));
    }
    queue.keep(8, message("bb"));
    let ids = |after: &str| {
        let after = queue.copies_after(9, after).take(2).map(|copy| copy.message.id.clone());
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
    let mut ids: Vec<_> = queue.ends_of(9).map(|end| end.id.clone()).collect();
    ids.sort();
    assert_eq!(ids, ["a", "from a third store"]);
    queue.forget(3_000);
    assert_eq!(queue.ends_of(9).count(), 0);
}

/// An end that a third store tells ends a copy here, and nothing that is owned here.
#[test]
fn an_end_from_a_third_store_is_for_copies_alone() {
    let mut queue = Queue::new(DISK);
    queue.keep(9, message("copy"));
    take(&mut queue, message("own"));
    queue.keep_end(9, end("copy"));
    queue.keep_end(9, end("own"));
    assert!(queue.copy("copy").is_none() && queue.end_of("copy").is_some());
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
    assert_eq!(queue.kept_after(9, "").len(), 1);
    assert!(queue.leave("a"));
    assert_eq!(queue.copies_of(9).count(), 1);
    queue.drop_copy_of(9, "a");
    assert!(queue.copy("a").is_none());
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn a_copy_for_two_owners_goes_with_the_last_of_them() {
    let mut queue = Queue::new(DISK);
    queue.keep(8, message("a"));
    queue.keep(9, message("a"));
    queue.drop_copy_of(9, "a");
    assert_eq!(queue.copies_of(8).count(), 1);
    queue.drop_copy_of(8, "a");
    assert!(queue.copy("a").is_none());
}

/// A store that was taken away owed call-backs: who held its messages knows of them, and the heir makes them once.
#[test]
fn a_call_back_is_owed_by_holders_until_it_is_accepted() {
    let called = || Message { callback: Some("http://10.0.0.1:1/".to_string()), ..message("a") };
    let mut queue = Queue::new(DISK);
    queue.keep(9, called());
    queue.end(end("a"));
    assert_eq!(queue.owed_after(9, "").count(), 1);
    assert!(queue.adopt_owed(called(), end("a")));
    assert!(!queue.adopt_owed(called(), end("a")));
    assert!(queue.owned("a").unwrap().owes_callback);

    let mut other = Queue::new(DISK);
    other.keep(9, called());
    other.end(end("a"));
    other.called_back("a");
    assert_eq!(other.owed_after(9, "").count(), 0);
    assert!(!other.adopt_owed(called(), end("a")), "it was accepted");
}

#[test]
fn what_was_left_and_what_is_owed_are_known_after_a_restart() {
    let called = || Message { callback: Some("http://10.0.0.1:1/".to_string()), ..message("owed") };
    let mut queue = Queue::new(DISK);
    let records = [
        Entry::Disk(DISK),
        Entry::Message { owner: DISK, message: message("left") },
        Entry::Dropped { owner: DISK, id: "left".to_string() },
        Entry::Message { owner: 9, message: called() },
        Entry::Ended(end("owed")),
        Entry::Message { owner: DISK, message: called() },
    ];
    records.into_iter().for_each(|record| queue.recover(record));
    assert_eq!(queue.take_left().into_iter().collect::<Vec<_>>(), ["left"]);
    assert!(queue.owned("owed").unwrap().owes_callback);
}
