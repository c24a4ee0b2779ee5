//! Records of a destination are created on its first use and removed once they no longer affect any decision.
//! `Sender::route_states` names each route that has records.
mod common;
use common::*;
use policy::api::*;

/// Advances the clock with timers only.
fn advance_idle(harness: &mut Harness, span: Ns) -> Vec<Action> {
    let until = harness.now + span;
    let mut all = Vec::new();
    while harness.now < until {
        harness.now += 100 * MS;
        all.extend(harness.handle(vec![Event::Timer]));
    }
    all
}

fn dests_with_records(harness: &Harness) -> Vec<DestId> {
    harness.sender.route_states(harness.now).iter().map(|standing| standing.dest).collect()
}

/// Submits `count` messages of a class at once; returns those that are sent at once.
fn submit_burst(
    harness: &mut Harness,
    first: MsgId,
    count: u64,
    dest: DestId,
    class: usize,
) -> Vec<(MsgId, EndpointId)> {
    sends(
        &harness.handle((first..first + count).map(|id| Event::Message(message(id, dest, class))).collect()),
    )
}

/// The clients withdraw the messages.
fn expire_messages(harness: &mut Harness, ids: std::ops::Range<MsgId>) {
    harness.handle(ids.map(|id| Event::Expired { id }).collect());
}

fn serve(harness: &mut Harness, sent: &[(MsgId, EndpointId)]) {
    for &(id, endpoint) in sent {
        harness.end(end(id, 0, endpoint, Outcome::Served));
    }
}

/// Fails all calls to a destination after its messages were withdrawn.
fn bring_down(harness: &mut Harness, dest: DestId) {
    let sent = submit_burst(harness, 900, 9, dest, 1);
    assert_eq!(sent.len(), 9);
    harness.now += 50 * MS;
    expire_messages(harness, 900..909);
    for (id, endpoint) in sent {
        harness.end(end(id, 0, endpoint, Outcome::ConnectionLost));
    }
    assert!(harness
        .sender
        .route_states(harness.now)
        .iter()
        .any(|standing| standing.dest == dest && standing.doubt));
}

fn with_hint(hint: f64) -> (Settings, Entry) {
    (Settings { hints: true, ..settings() }, Entry { hint, ..entry(1, 1, 0) })
}

#[test]
fn a_destination_that_is_only_listed_has_no_records() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 1)]);
    advance_idle(&mut harness, SECOND);
    assert!(dests_with_records(&harness).is_empty());
    let sent = submit_burst(&mut harness, 0, 1, 1, 1);
    assert_eq!(dests_with_records(&harness), [1], "the records are created on first use");
    serve(&mut harness, &sent);
}

#[test]
fn an_unused_destination_loses_its_records_and_serves_again_like_a_new_one() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 1)]);
    for round in 0..3 {
        for dest in [1, 2] {
            let sent = submit_burst(&mut harness, round * 100 + dest * 20, 9, dest, 1);
            assert_eq!(sent.len(), 9, "round {round}, destination {dest}");
            harness.now += 100 * MS;
            serve(&mut harness, &sent);
        }
        advance_idle(&mut harness, 30 * SECOND);
        assert_eq!(dests_with_records(&harness), [1, 2], "measurements may still have weight");
        advance_idle(&mut harness, 45 * SECOND);
        assert!(dests_with_records(&harness).is_empty(), "round {round}: {:?}", dests_with_records(&harness));
    }
}

#[test]
fn batches_at_next_cleanup_remove_all_records_and_then_stop() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    assert_eq!(harness.sender.next_cleanup(), None, "a destination that is only listed needs no cleanup");
    harness.handle(vec![Event::List { complete: true, entries: vec![entry(1, 1, 0)] }]);
    assert!(harness.sender.next_cleanup().is_some(), "an endpoint is gone");
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    harness.now += 50 * MS;
    serve(&mut harness, &sent);
    let mut batches = 0;
    while let Some(at) = harness.sender.next_cleanup() {
        assert!(at > harness.now && batches < 20, "batch {batches}: {at} at {}", harness.now);
        harness.now = at;
        harness.handle(vec![]);
        batches += 1;
    }
    assert!(
        dests_with_records(&harness).is_empty() && harness.now - START < 90 * SECOND,
        "{} s",
        (harness.now - START) / SECOND
    );
}

#[test]
fn a_requested_wait_is_kept_until_its_end() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    let told = AttemptEnd { wait: 300 * SECOND, ..end(1, 0, sent[0].1, Outcome::TurnedAway) };
    harness.end(told);
    let until = harness.now + 300 * SECOND;
    advance_idle(&mut harness, 200 * SECOND);
    let actions = harness.submit(message(2, 1, 1));
    assert!(
        sends(&actions).is_empty() && final_actions(&actions).len() == 1,
        "it can't outlast the wait: {actions:?}"
    );
    let wait = until - harness.now;
    advance_idle(&mut harness, wait);
    assert_eq!(submit_burst(&mut harness, 3, 1, 1, 1).len(), 1);
}

#[test]
fn a_destination_in_doubt_gets_a_single_trial_even_long_after_it_failed() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
    bring_down(&mut harness, 1);
    advance_idle(&mut harness, 1_000 * SECOND);
    let sent = submit_burst(&mut harness, 1, 9, 1, 1);
    assert_eq!(sent.len(), 1, "a single trial");
    assert_eq!(harness.sender.avoided_endpoints(harness.now).collect::<Vec<_>>(), [1]);
    expire_messages(&mut harness, 1..10);
    harness.now += 50 * MS;
    serve(&mut harness, &sent);
    advance_idle(&mut harness, 200 * SECOND);
    assert!(harness.sender.avoided_endpoints(harness.now).next().is_none());
}

#[test]
fn a_cold_route_keeps_its_warm_up_through_a_pause_longer_than_the_retention() {
    let warm_up = 400 * SECOND;
    let mut harness = Harness::new(Settings { warm_up, ..settings() }, &[entry(1, 1, 0)]);
    bring_down(&mut harness, 1);
    advance_idle(&mut harness, 5 * SECOND);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    serve(&mut harness, &sent);
    advance_idle(&mut harness, 150 * SECOND);
    let sent = submit_burst(&mut harness, 2, 9, 1, 1);
    assert_eq!(sent.len(), 1, "the ramp lets one go at once");
    expire_messages(&mut harness, 2..11);
    harness.now += 50 * MS;
    serve(&mut harness, &sent);
    advance_idle(&mut harness, warm_up + 200 * SECOND);
    assert!(dests_with_records(&harness).is_empty(), "warm again for long enough");
}

#[test]
fn records_are_kept_until_the_token_bucket_is_full_again() {
    let (cfg, entry) = with_hint(0.01);
    let mut harness = Harness::new(cfg, &[entry]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    harness.now += 50 * MS;
    serve(&mut harness, &sent);
    advance_idle(&mut harness, 80 * SECOND);
    assert!(submit_burst(&mut harness, 2, 1, 1, 1).is_empty(), "one call in 100 s");
    advance_idle(&mut harness, 15 * SECOND);
    expire_messages(&mut harness, 2..3);
    advance_idle(&mut harness, 100 * SECOND);
    assert_eq!(submit_burst(&mut harness, 3, 1, 1, 1).len(), 1);
}

#[test]
fn a_reported_limit_is_kept_after_the_records_are_removed() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    let report = Some(LimitReport { remaining: 0.9, limit: 2.0 });
    harness.end(AttemptEnd { report, ..end(1, 0, sent[0].1, Outcome::Served) });
    advance_idle(&mut harness, 100 * SECOND);
    assert!(dests_with_records(&harness).is_empty());
    assert_eq!(submit_burst(&mut harness, 2, 9, 1, 1).len(), 1, "two calls a second, not all at once");
}

#[test]
fn calls_in_flight_and_held_messages_keep_the_records() {
    let deadline = 400 * SECOND;
    let long = |class: &Class| Class { deadline, ..class.clone() };
    let classes = settings().classes.iter().map(long).collect();
    let cfg = Settings { classes, ..settings() };
    let mut harness = Harness::new(cfg, &[entry(1, 1, 0), entry(2, 2, 0)]);
    let message = |id, dest| Message { time_left: deadline, ..message(id, dest, 2) };
    let sent = sends(&harness.handle((1..12).map(|id| Event::Message(message(id, 1))).collect()));
    assert_eq!(sent.len(), 9);
    harness.handle(vec![Event::List {
        complete: false,
        entries: vec![Entry { condition: Condition::Draining, ..entry(2, 2, 0) }],
    }]);
    harness.submit(message(20, 2));
    advance_idle(&mut harness, 200 * SECOND);
    let back = harness.handle(vec![Event::List { complete: false, entries: vec![entry(2, 2, 0)] }]);
    assert_eq!(sends(&back), [(20, 2)], "a held message is sent once its endpoint is ready");
    for (id, endpoint) in sent {
        harness.end(end(id, 0, endpoint, Outcome::Served));
    }
    assert_eq!(harness.sender.backlog().0, 3, "two that were held, and the other destination's");
}

#[test]
fn route_states_of_another_process_apply_to_destinations_never_used_here() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0), entry(3, 3, 0)]);
    let standing = |dest| RouteState {
        dest,
        failed: 300 * SECOND,
        share: 1.0,
        share_age: 300 * SECOND,
        ..RouteState::default()
    };
    let waits = RouteState { wait: 300 * SECOND, tokens: 1.0, ..standing(1) };
    let doubts = RouteState { doubt: true, failures: 3, failing: 0.7, tokens: 1.0, ..standing(2) };
    harness.handle(vec![Event::RestoredRoutes(vec![waits, doubts])]);
    let told = AttemptEnd { wait: 300 * SECOND, ..end(77, 0, 3, Outcome::TurnedAway) };
    harness.handle(vec![Event::OtherProcessAttemptEnd(told)]);
    advance_idle(&mut harness, 100 * SECOND);
    assert!(submit_burst(&mut harness, 1, 9, 1, 1).is_empty());
    assert_eq!(submit_burst(&mut harness, 20, 9, 2, 1).len(), 1, "a trial");
    assert!(submit_burst(&mut harness, 40, 9, 3, 1).is_empty());
}

#[test]
fn a_small_share_from_another_process_is_kept_until_it_has_grown_back() {
    let (cfg, entry) = with_hint(1_000.0);
    let mut harness = Harness::new(Settings { n_instances: 510, ..cfg }, &[entry]);
    advance_idle(&mut harness, 60 * SECOND);
    let failed = 300 * SECOND;
    harness.handle(vec![Event::RestoredRoutes(vec![RouteState {
        dest: 1,
        failed,
        share: 1e-5,
        tokens: 4.0,
        ..RouteState::default()
    }])]);
    advance_idle(&mut harness, 12 * SECOND);
    assert_eq!(submit_burst(&mut harness, 1, 9, 1, 1).len(), 1, "not the four that all of the limit allows");
}

#[test]
fn calls_of_another_process_keep_the_records() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    serve(&mut harness, &sent);
    harness.handle(vec![Event::OtherProcess { sends: false, calls: vec![1] }]);
    advance_idle(&mut harness, 200 * SECOND);
    assert_eq!(dests_with_records(&harness), [1]);
    harness.handle(vec![Event::OtherProcess { sends: false, calls: vec![] }]);
    advance_idle(&mut harness, 20 * SECOND);
    assert!(dests_with_records(&harness).is_empty());
}

#[test]
fn a_first_use_finds_the_bucket_filled_since_the_destination_was_listed() {
    for (after, at_once) in [(0, 1), (200 * MS, 2), (SECOND, 2)] {
        let (cfg, entry) = with_hint(5.0);
        let mut harness = Harness::new(cfg, &[entry]);
        harness.now += after;
        assert_eq!(submit_burst(&mut harness, 1, 9, 1, 1).len(), at_once, "first used after {after} ns");
    }
}

#[test]
fn a_first_use_finds_the_share_grown_since_the_destination_was_listed() {
    let sent_after = |idled: Ns| {
        let mut harness = Harness::new(Settings { n_instances: 10, ..settings() }, &[entry(1, 1, 0)]);
        harness.now += idled;
        // It reports its limit, and that others use part of it: the share stays.
        let report = Some(LimitReport { remaining: 0.4, limit: 20.0 });
        let mut sent = submit_burst(&mut harness, 1, 60, 1, 1);
        let (mut count, until) = (0, harness.now + 2 * SECOND);
        while harness.now < until {
            harness.now += 20 * MS;
            let ends = sent.iter().map(|&(id, e)| AttemptEnd { report, ..end(id, 0, e, Outcome::Served) });
            let events: Vec<Event> = ends.map(Event::AttemptEnd).chain([Event::Timer]).collect();
            count += sent.len();
            sent = sends(&harness.handle(events));
        }
        count
    };
    let (fresh, grown) = (sent_after(0), sent_after(30 * SECOND));
    assert!(fresh < 20 && grown > 40, "an equal share at first, all after 30 s: {fresh}, {grown}");
}

#[test]
fn a_first_use_finds_the_last_hint_of_any_of_its_endpoints() {
    let (cfg, first) = with_hint(5.0);
    let second = Entry { endpoint: 2, ..first };
    let mut harness = Harness::new(cfg, &[first, second]);
    let entries = vec![Entry { hint: 0.01, ..first }];
    harness.handle(vec![Event::List { complete: false, entries }]);
    harness.now += 20 * SECOND;
    assert_eq!(submit_burst(&mut harness, 1, 9, 1, 1).len(), 1, "one call in 100 s");
}

#[test]
fn new_settings_apply_to_destinations_with_and_without_records() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    serve(&mut harness, &sent);
    let classes = [settings().classes, vec![class(Effect::Safe)]].concat();
    let kinds = settings().kinds.iter().map(|kind| Kind { separate_routes: true, ..*kind }).collect();
    let new = Settings { classes, kinds, slots: 40, ..settings() };
    harness.handle(vec![Event::Settings(new)]);
    for (first, dest) in [(100, 1), (200, 2)] {
        let sent = submit_burst(&mut harness, first, 35, dest, 3);
        assert_eq!(
            sent.len(),
            if dest == 1 { 30 } else { 10 },
            "destination {dest}: the cap, then the slots"
        );
    }
    // One slot: destinations with and without records both keep to it.
    expire_messages(&mut harness, 100..135);
    expire_messages(&mut harness, 200..235);
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    let sent = submit_burst(&mut harness, 1, 1, 1, 1);
    serve(&mut harness, &sent);
    harness.handle(vec![Event::Settings(Settings { slots: 1, ..settings() })]);
    for (first, dest) in [(100, 1), (200, 2)] {
        let sent = submit_burst(&mut harness, first, 3, dest, 1);
        assert_eq!(sent.len(), 1, "destination {dest}");
        expire_messages(&mut harness, first..first + 3);
        serve(&mut harness, &sent);
    }
}

#[test]
fn an_endpoint_that_moves_to_another_destination_serves_only_that_one() {
    for used in [false, true] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 1), entry(2, 1, 1)]);
        let sent = if used { submit_burst(&mut harness, 1, 2, 1, 1) } else { Vec::new() };
        harness.handle(vec![Event::List { complete: false, entries: vec![entry(1, 2, 1)] }]);
        serve(&mut harness, &sent);
        let one = submit_burst(&mut harness, 100, 4, 1, 1);
        let two = submit_burst(&mut harness, 200, 4, 2, 1);
        assert!(one.len() == 4 && one.iter().all(|&(_, e)| e == 2), "used {used}: {one:?}");
        assert!(two.len() == 4 && two.iter().all(|&(_, e)| e == 1), "used {used}: {two:?}");
        serve(&mut harness, &one);
        serve(&mut harness, &two);
        advance_idle(&mut harness, 100 * SECOND);
        assert!(dests_with_records(&harness).is_empty());
    }
}

#[test]
fn a_wait_still_holds_when_a_removed_endpoint_is_listed_again() {
    for kind in [0, 1] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, kind)]);
        let sent = submit_burst(&mut harness, 1, 1, 1, 1);
        harness.end(AttemptEnd { wait: 300 * SECOND, ..end(1, 0, sent[0].1, Outcome::TurnedAway) });
        harness.handle(vec![Event::List { complete: true, entries: vec![] }]);
        advance_idle(&mut harness, 200 * SECOND);
        harness.handle(vec![Event::List { complete: false, entries: vec![entry(1, 1, kind)] }]);
        assert!(submit_burst(&mut harness, 2, 1, 1, 1).is_empty(), "kind {kind}");
    }
}

#[test]
fn of_duplicate_entries_the_last_one_counts_and_unknown_gone_ones_are_ignored() {
    let gone = |e| Entry { condition: Condition::Gone, ..e };
    let mut harness = Harness::new(
        settings(),
        &[gone(entry(1, 1, 0)), entry(1, 1, 0), entry(2, 2, 0), gone(entry(2, 2, 0))],
    );
    harness.handle(vec![Event::List { complete: false, entries: vec![gone(entry(9, 9, 0))] }]);
    assert_eq!(submit_burst(&mut harness, 1, 1, 1, 1), [(1, 1)]);
    assert!(submit_burst(&mut harness, 2, 1, 2, 1).is_empty());
    assert!(submit_burst(&mut harness, 3, 1, 9, 1).is_empty());
    advance_idle(&mut harness, 30 * SECOND);
    assert!(submit_burst(&mut harness, 4, 1, 2, 1).is_empty(), "it is removed");
}
