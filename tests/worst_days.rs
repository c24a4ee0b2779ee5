//! The five things that operators meet with systems of this kind, brought about on real processes; judged by what
//! operators, clients and endpoints are told.
#[allow(dead_code)] // the soak uses the rest
mod rig;

use rig::{configuration, pause, Endpoints, Rig, Role};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// A primary stands still for a while, wakes, and finds its sockets full; the others have gone on meanwhile.
#[test]
fn a_control_machine_that_was_away_tells_nothing_old_and_refuses_nothing() {
    let mut rig = Rig::start(Endpoints::Plain);
    let old = rig.primary();
    rig.freeze(Role::Control, old);
    // The order lands in the sockets of the frozen machine too.
    let newer = configuration(2, 900);
    let unanswered = rig.order_at(old, 1, &newer);
    assert_eq!(unanswered, None, "it stands still");
    assert_eq!(rig.order_anywhere(1, &newer), Some(200));
    pause(3_000);
    rig.thaw(Role::Control, old);
    for _ in 0..40 {
        assert!(rig.read_at(old).is_none_or(|version| version >= 2), "an old configuration was read");
        let again = rig.order_at(old, 1, &newer).map(|answer| answer.status);
        assert!(matches!(again, None | Some(200 | 307 | 503)), "what was taken is refused: {again:?}");
        let rival = rig.order_at(old, 1, &configuration(3, 800)).map(|answer| answer.status);
        assert!(matches!(rival, None | Some(412 | 307 | 503)), "a lost race is confirmed: {rival:?}");
        let retire = rig.ask_control(old, "POST", "/v1/retire/store-0/start").map(|answer| answer.status);
        assert!(matches!(retire, None | Some(200 | 409 | 307 | 503)), "a store is denied: {retire:?}");
        pause(20);
    }
}

/// Two operators send different orders of one number at once; both send again what they sent, to every machine.
#[test]
fn of_two_orders_with_one_number_one_is_confirmed_and_stays_so() {
    let rig = Rig::start(Endpoints::Plain);
    for round in 0..5 {
        let base = 1 + round;
        let orders = [configuration(base + 1, 901), configuration(base + 1, 902)];
        let answers: Vec<Option<u16>> = std::thread::scope(|scope| {
            let sent: Vec<_> =
                orders.iter().map(|order| scope.spawn(|| rig.order_anywhere(base, order))).collect();
            sent.into_iter().map(|answer| answer.join().unwrap()).collect()
        });
        let statuses: BTreeSet<_> = answers.iter().flatten().copied().collect();
        assert_eq!(statuses, BTreeSet::from([200, 412]), "{answers:?}");
        let winner = answers.iter().position(|answer| *answer == Some(200)).unwrap();
        for machine in 0..3 {
            let again =
                |order: usize| rig.order_at(machine, base, &orders[order]).map(|answer| answer.status);
            assert!(matches!(again(winner), Some(200 | 307 | 503)));
            assert!(matches!(again(1 - winner), Some(412 | 307 | 503)));
        }
    }
}

/// A store is replaced as planned; as soon as the old one has stopped, another one loses its disk.
#[test]
fn a_second_loss_right_after_a_planned_replacement_loses_no_message() {
    let mut rig = Rig::start(Endpoints::Plain);
    pause(2_500);
    rig.add(Role::Store, 3);
    pause(1_500);
    let ids: Vec<String> = (0..60).map(|i| rig.send(&format!("held-{i}"), 12_000)).collect();
    let took = rig.stop(Role::Store, 0);
    assert!(took < Duration::from_millis(5_500), "it stopped after {took:?}");
    rig.kill(Role::Store, 1);
    rig.start_again(Role::Store, 1, true);
    for id in &ids {
        assert_eq!(rig.completed(id), format!("done-{id}"));
    }
}

/// Hundreds of changes while a member is away; then it returns, with its disk or with an empty one, and the primary goes.
#[rstest]
fn a_member_that_missed_hundreds_of_changes_catches_up_before_it_counts(#[values(false, true)] wiped: bool) {
    let mut rig = Rig::start(Endpoints::Plain);
    let away = (0..3).find(|machine| *machine != rig.primary()).unwrap();
    rig.kill(Role::Control, away);
    for base in 1..=300 {
        assert_eq!(rig.order_anywhere(base, &configuration(base + 1, 1_000 + base)), Some(200));
    }
    rig.start_again(Role::Control, away, wiped);
    pause(4_500);
    let primary = rig.primary();
    rig.kill(Role::Control, primary);
    let next = rig.primary();
    assert_ne!(next, primary);
    assert_eq!(rig.order_anywhere(301, &configuration(302, 999)), Some(200));
    for machine in (0..3).filter(|machine| *machine != primary) {
        assert!(rig.read_at(machine).is_none_or(|version| version == 302));
    }
    // An order of long ago, whose answer was lost.
    assert_eq!(rig.order_anywhere(7, &configuration(8, 1_007)), Some(200));
}

/// Endpoints answer twice: the second answer is nobody's.
#[test]
fn an_answer_that_comes_twice_is_taken_for_its_own_message_alone() {
    let rig = Rig::start(Endpoints::AnswerTwice);
    let ids: Vec<String> = (0..120).map(|i| rig.send(&format!("twice-{i}"), 0)).collect();
    for id in &ids {
        assert_eq!(rig.completed(id), format!("done-{id}"));
    }
    let runs = rig.runs.lock().unwrap();
    let again: Vec<_> = ids.iter().filter(|id| runs[*id] != 1).collect();
    assert!(again.is_empty(), "ran more than once: {again:?}");
}

/// Endpoints run a message and lose the answer: it goes out again under its own id, until one success is known.
#[test]
fn a_message_whose_answer_was_lost_goes_out_again_under_its_id_and_not_after_its_success() {
    let rig = Rig::start(Endpoints::LoseFirstAnswer);
    let ids: Vec<String> = (0..60).map(|i| rig.send(&format!("lost-{i}"), 0)).collect();
    for id in &ids {
        assert_eq!(rig.completed(id), format!("done-{id}"));
    }
    let runs = rig.runs.lock().unwrap();
    let other: Vec<_> = ids.iter().filter(|id| runs[*id] != 2).collect();
    assert!(other.is_empty(), "not run twice, once without an answer: {other:?}");
}
