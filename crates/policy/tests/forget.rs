//! What is remembered of a destination comes with its first use and goes once nothing in it can matter: seen through
//! the interface, where `Sender::standings` names each route that is remembered.
mod common;
use common::*;
use policy::api::*;

/// Time passes and nothing comes but timers.
fn idle(s: &mut Stand, span: Ns) -> Vec<Action> {
    let until = s.now + span;
    let mut all = Vec::new();
    while s.now < until {
        s.now += 100 * MS;
        all.extend(s.give(vec![Event::Timer]));
    }
    all
}

fn remembered(s: &Stand) -> Vec<DestId> {
    s.sender.route_states(s.now).iter().map(|standing| standing.dest).collect()
}

/// So many messages of a class at once; tells which are sent in the same moment.
fn burst(s: &mut Stand, first: MsgId, count: u64, dest: DestId, class: usize) -> Vec<(MsgId, EndpointId)> {
    sends(&s.give((first..first + count).map(|id| Event::Message(message(id, dest, class))).collect()))
}

/// The clients take back what is left.
fn expire(s: &mut Stand, ids: std::ops::Range<MsgId>) {
    s.give(ids.map(|id| Event::Expired { id }).collect());
}

fn serve(s: &mut Stand, sent: &[(MsgId, EndpointId)]) {
    for &(id, endpoint) in sent {
        s.end(end(id, 0, endpoint, Outcome::Served));
    }
}

/// Its calls fail, and its work was taken back meanwhile.
fn bring_down(s: &mut Stand, dest: DestId) {
    let sent = burst(s, 900, 9, dest, 1);
    assert_eq!(sent.len(), 9);
    s.now += 50 * MS;
    expire(s, 900..909);
    for (id, endpoint) in sent {
        s.end(end(id, 0, endpoint, Outcome::ConnectionLost));
    }
    assert!(s.sender.route_states(s.now).iter().any(|standing| standing.dest == dest && standing.doubt));
}

fn hints(hint: f64) -> (Settings, Entry) {
    (Settings { hints: true, ..settings() }, Entry { hint, ..entry(1, 1, 0) })
}

#[test]
fn nothing_is_remembered_of_what_is_only_listed() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 1)]);
    idle(&mut s, SECOND);
    assert!(remembered(&s).is_empty());
    let sent = burst(&mut s, 0, 1, 1, 1);
    assert_eq!(remembered(&s), [1], "it comes with the first use");
    serve(&mut s, &sent);
}

#[test]
fn what_was_served_is_forgotten_and_serves_again_as_if_it_were_new() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 1)]);
    for round in 0..3 {
        for dest in [1, 2] {
            let sent = burst(&mut s, round * 100 + dest * 20, 9, dest, 1);
            assert_eq!(sent.len(), 9, "round {round}, destination {dest}");
            s.now += 100 * MS;
            serve(&mut s, &sent);
        }
        idle(&mut s, 30 * SECOND);
        assert_eq!(remembered(&s), [1, 2], "what was measured may still weigh");
        idle(&mut s, 45 * SECOND);
        assert!(remembered(&s).is_empty(), "round {round}: {:?}", remembered(&s));
    }
}

#[test]
fn batches_at_the_times_that_it_tells_are_enough_to_forget_and_end_with_that() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    assert_eq!(s.sender.next_cleanup(), None, "what is only listed stays");
    s.give(vec![Event::List { complete: true, entries: vec![entry(1, 1, 0)] }]);
    assert!(s.sender.next_cleanup().is_some(), "an endpoint is gone");
    let sent = burst(&mut s, 1, 1, 1, 1);
    s.now += 50 * MS;
    serve(&mut s, &sent);
    let mut batches = 0;
    while let Some(at) = s.sender.next_cleanup() {
        assert!(at > s.now && batches < 20, "batch {batches}: {at} at {}", s.now);
        s.now = at;
        s.give(vec![]);
        batches += 1;
    }
    assert!(remembered(&s).is_empty() && s.now - T0 < 90 * SECOND, "{} s", (s.now - T0) / SECOND);
}

#[test]
fn a_wait_that_was_told_binds_for_as_long_as_it_lasts() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0)]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    let told = AttemptEnd { wait: 300 * SECOND, ..end(1, 0, sent[0].1, Outcome::TurnedAway) };
    s.end(told);
    let until = s.now + 300 * SECOND;
    idle(&mut s, 200 * SECOND);
    let actions = s.take(message(2, 1, 1));
    assert!(
        sends(&actions).is_empty() && finals(&actions).len() == 1,
        "it can't outlast the wait: {actions:?}"
    );
    let wait = until - s.now;
    idle(&mut s, wait);
    assert_eq!(burst(&mut s, 3, 1, 1, 1).len(), 1);
}

#[test]
fn a_destination_that_failed_is_tried_with_one_call_however_long_ago_that_was() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0)]);
    bring_down(&mut s, 1);
    idle(&mut s, 1_000 * SECOND);
    let sent = burst(&mut s, 1, 9, 1, 1);
    assert_eq!(sent.len(), 1, "a single trial");
    assert_eq!(s.sender.avoided_endpoints(s.now).collect::<Vec<_>>(), [1]);
    expire(&mut s, 1..10);
    s.now += 50 * MS;
    serve(&mut s, &sent);
    idle(&mut s, 200 * SECOND);
    assert!(s.sender.avoided_endpoints(s.now).next().is_none());
}

#[test]
fn a_cold_return_keeps_its_ramp_through_a_pause_longer_than_anything_else_is_kept() {
    let warm_up = 400 * SECOND;
    let mut s = Stand::new(Settings { warm_up, ..settings() }, &[entry(1, 1, 0)]);
    bring_down(&mut s, 1);
    idle(&mut s, 5 * SECOND);
    let sent = burst(&mut s, 1, 1, 1, 1);
    serve(&mut s, &sent);
    idle(&mut s, 150 * SECOND);
    let sent = burst(&mut s, 2, 9, 1, 1);
    assert_eq!(sent.len(), 1, "the ramp lets one go at once");
    expire(&mut s, 2..11);
    s.now += 50 * MS;
    serve(&mut s, &sent);
    idle(&mut s, warm_up + 200 * SECOND);
    assert!(remembered(&s).is_empty(), "warm again, and long ago");
}

#[test]
fn what_is_left_of_an_allowance_stands_until_the_bucket_is_full_again() {
    let (cfg, entry) = hints(0.01);
    let mut s = Stand::new(cfg, &[entry]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    s.now += 50 * MS;
    serve(&mut s, &sent);
    idle(&mut s, 80 * SECOND);
    assert!(burst(&mut s, 2, 1, 1, 1).is_empty(), "one call in 100 s");
    idle(&mut s, 15 * SECOND);
    expire(&mut s, 2..3);
    idle(&mut s, 100 * SECOND);
    assert_eq!(burst(&mut s, 3, 1, 1, 1).len(), 1);
}

#[test]
fn a_limit_that_was_reported_outlives_all_else() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0)]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    let report = Some(LimitReport { remaining: 0.9, limit: 2.0 });
    s.end(AttemptEnd { report, ..end(1, 0, sent[0].1, Outcome::Served) });
    idle(&mut s, 100 * SECOND);
    assert!(remembered(&s).is_empty());
    assert_eq!(burst(&mut s, 2, 9, 1, 1).len(), 1, "two calls a second, not all at once");
}

#[test]
fn calls_and_held_messages_keep_it() {
    let deadline = 400 * SECOND;
    let long = |class: &Class| Class { deadline, ..class.clone() };
    let classes = settings().classes.iter().map(long).collect();
    let cfg = Settings { classes, ..settings() };
    let mut s = Stand::new(cfg, &[entry(1, 1, 0), entry(2, 2, 0)]);
    let message = |id, dest| Message { time_left: deadline, ..message(id, dest, 2) };
    let sent = sends(&s.give((1..12).map(|id| Event::Message(message(id, 1))).collect()));
    assert_eq!(sent.len(), 9);
    s.give(vec![Event::List {
        complete: false,
        entries: vec![Entry { condition: Condition::Draining, ..entry(2, 2, 0) }],
    }]);
    s.take(message(20, 2));
    idle(&mut s, 200 * SECOND);
    let back = s.give(vec![Event::List { complete: false, entries: vec![entry(2, 2, 0)] }]);
    assert_eq!(sends(&back), [(20, 2)], "what was held for an endpoint goes to it");
    for (id, endpoint) in sent {
        s.end(end(id, 0, endpoint, Outcome::Served));
    }
    assert_eq!(s.sender.backlog().0, 3, "two that were held, and the other destination's");
}

#[test]
fn what_another_process_knew_of_a_destination_never_used_here_binds() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0), entry(3, 3, 0)]);
    let standing = |dest| RouteState {
        dest,
        failed: 300 * SECOND,
        share: 1.0,
        share_age: 300 * SECOND,
        ..RouteState::default()
    };
    let waits = RouteState { wait: 300 * SECOND, tokens: 1.0, ..standing(1) };
    let doubts = RouteState { doubt: true, failures: 3, failing: 0.7, tokens: 1.0, ..standing(2) };
    s.give(vec![Event::RestoredRoutes(vec![waits, doubts])]);
    let told = AttemptEnd { wait: 300 * SECOND, ..end(77, 0, 3, Outcome::TurnedAway) };
    s.give(vec![Event::OtherProcessAttemptEnd(told)]);
    idle(&mut s, 100 * SECOND);
    assert!(burst(&mut s, 1, 9, 1, 1).is_empty());
    assert_eq!(burst(&mut s, 20, 9, 2, 1).len(), 1, "a trial");
    assert!(burst(&mut s, 40, 9, 3, 1).is_empty());
}

#[test]
fn a_small_share_that_another_process_had_is_kept_until_it_has_grown_back() {
    let (cfg, entry) = hints(1_000.0);
    let mut s = Stand::new(Settings { n_instances: 510, ..cfg }, &[entry]);
    idle(&mut s, 60 * SECOND);
    let failed = 300 * SECOND;
    s.give(vec![Event::RestoredRoutes(vec![RouteState {
        dest: 1,
        failed,
        share: 1e-5,
        tokens: 4.0,
        ..RouteState::default()
    }])]);
    idle(&mut s, 12 * SECOND);
    assert_eq!(burst(&mut s, 1, 9, 1, 1).len(), 1, "not the four that all of the limit allows");
}

#[test]
fn calls_of_another_process_keep_it() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0)]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    serve(&mut s, &sent);
    s.give(vec![Event::OtherProcess { sends: false, calls: vec![1] }]);
    idle(&mut s, 200 * SECOND);
    assert_eq!(remembered(&s), [1]);
    s.give(vec![Event::OtherProcess { sends: false, calls: vec![] }]);
    idle(&mut s, 20 * SECOND);
    assert!(remembered(&s).is_empty());
}

#[test]
fn a_first_use_finds_the_bucket_filled_since_the_destination_was_listed() {
    for (after, at_once) in [(0, 1), (200 * MS, 2), (SECOND, 2)] {
        let (cfg, entry) = hints(5.0);
        let mut s = Stand::new(cfg, &[entry]);
        s.now += after;
        assert_eq!(burst(&mut s, 1, 9, 1, 1).len(), at_once, "first used after {after} ns");
    }
}

#[test]
fn a_first_use_finds_the_share_grown_since_the_destination_was_listed() {
    let sent_after = |idled: Ns| {
        let mut s = Stand::new(Settings { n_instances: 10, ..settings() }, &[entry(1, 1, 0)]);
        s.now += idled;
        // It tells of its limit, and that others use some of it too: the share stays.
        let report = Some(LimitReport { remaining: 0.4, limit: 20.0 });
        let mut sent = burst(&mut s, 1, 60, 1, 1);
        let (mut count, until) = (0, s.now + 2 * SECOND);
        while s.now < until {
            s.now += 20 * MS;
            let ends = sent.iter().map(|&(id, e)| AttemptEnd { report, ..end(id, 0, e, Outcome::Served) });
            let events: Vec<Event> = ends.map(Event::AttemptEnd).chain([Event::Timer]).collect();
            count += sent.len();
            sent = sends(&s.give(events));
        }
        count
    };
    let (fresh, grown) = (sent_after(0), sent_after(30 * SECOND));
    assert!(fresh < 20 && grown > 40, "an equal share at first, all after 30 s: {fresh}, {grown}");
}

#[test]
fn a_first_use_finds_the_hint_that_was_told_last_of_any_of_its_endpoints() {
    let (cfg, first) = hints(5.0);
    let second = Entry { endpoint: 2, ..first };
    let mut s = Stand::new(cfg, &[first, second]);
    let entries = vec![Entry { hint: 0.01, ..first }];
    s.give(vec![Event::List { complete: false, entries }]);
    s.now += 20 * SECOND;
    assert_eq!(burst(&mut s, 1, 9, 1, 1).len(), 1, "one call in 100 s");
}

#[test]
fn new_settings_hold_for_a_destination_with_and_without_records() {
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    serve(&mut s, &sent);
    let classes = [settings().classes, vec![class(Effect::Safe)]].concat();
    let kinds = settings().kinds.iter().map(|kind| Kind { separate_routes: true, ..*kind }).collect();
    let new = Settings { classes, kinds, slots: 40, ..settings() };
    s.give(vec![Event::Settings(new)]);
    for (first, dest) in [(100, 1), (200, 2)] {
        let sent = burst(&mut s, first, 35, dest, 3);
        assert_eq!(
            sent.len(),
            if dest == 1 { 30 } else { 10 },
            "destination {dest}: the cap, then the slots"
        );
    }
    // One slot: what has its records and what gets them now both keep to it.
    expire(&mut s, 100..135);
    expire(&mut s, 200..235);
    let mut s = Stand::new(settings(), &[entry(1, 1, 0), entry(2, 2, 0)]);
    let sent = burst(&mut s, 1, 1, 1, 1);
    serve(&mut s, &sent);
    s.give(vec![Event::Settings(Settings { slots: 1, ..settings() })]);
    for (first, dest) in [(100, 1), (200, 2)] {
        let sent = burst(&mut s, first, 3, dest, 1);
        assert_eq!(sent.len(), 1, "destination {dest}");
        expire(&mut s, first..first + 3);
        serve(&mut s, &sent);
    }
}

#[test]
fn an_endpoint_that_changes_its_destination_serves_the_new_one_alone() {
    for used in [false, true] {
        let mut s = Stand::new(settings(), &[entry(1, 1, 1), entry(2, 1, 1)]);
        let sent = if used { burst(&mut s, 1, 2, 1, 1) } else { Vec::new() };
        s.give(vec![Event::List { complete: false, entries: vec![entry(1, 2, 1)] }]);
        serve(&mut s, &sent);
        let one = burst(&mut s, 100, 4, 1, 1);
        let two = burst(&mut s, 200, 4, 2, 1);
        assert!(one.len() == 4 && one.iter().all(|&(_, e)| e == 2), "used {used}: {one:?}");
        assert!(two.len() == 4 && two.iter().all(|&(_, e)| e == 1), "used {used}: {two:?}");
        serve(&mut s, &one);
        serve(&mut s, &two);
        idle(&mut s, 100 * SECOND);
        assert!(remembered(&s).is_empty());
    }
}

#[test]
fn what_is_gone_while_it_waits_waits_when_it_is_listed_again() {
    for kind in [0, 1] {
        let mut s = Stand::new(settings(), &[entry(1, 1, kind)]);
        let sent = burst(&mut s, 1, 1, 1, 1);
        s.end(AttemptEnd { wait: 300 * SECOND, ..end(1, 0, sent[0].1, Outcome::TurnedAway) });
        s.give(vec![Event::List { complete: true, entries: vec![] }]);
        idle(&mut s, 200 * SECOND);
        s.give(vec![Event::List { complete: false, entries: vec![entry(1, 1, kind)] }]);
        assert!(burst(&mut s, 2, 1, 1, 1).is_empty(), "kind {kind}");
    }
}

#[test]
fn an_entry_that_is_there_twice_or_unknown_and_gone_leaves_what_the_last_one_says() {
    let gone = |e| Entry { condition: Condition::Gone, ..e };
    let mut s =
        Stand::new(settings(), &[gone(entry(1, 1, 0)), entry(1, 1, 0), entry(2, 2, 0), gone(entry(2, 2, 0))]);
    s.give(vec![Event::List { complete: false, entries: vec![gone(entry(9, 9, 0))] }]);
    assert_eq!(burst(&mut s, 1, 1, 1, 1), [(1, 1)]);
    assert!(burst(&mut s, 2, 1, 2, 1).is_empty());
    assert!(burst(&mut s, 3, 1, 9, 1).is_empty());
    idle(&mut s, 30 * SECOND);
    assert!(burst(&mut s, 4, 1, 2, 1).is_empty(), "it is gone for good");
}
