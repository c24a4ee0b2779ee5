//! Every judge finds its offender in a history that is good but for that, and nothing in the good one.
use trial::history::{Event, What, MS, SECOND};
use trial::judges::{judge, Terms, JUDGES};

fn terms() -> Terms {
    Terms { senders: 2, per_machine: 1, membership: true, duties: true, drains: 1, stretch: 1.0 }
}

fn handed(id: &str, sender: usize, once: bool) -> What {
    What::HandedIn { id: id.into(), sender, dest: 3, once, window: None, left: 4 * SECOND, aim: SECOND }
}

fn keyed(id: &str, sender: usize) -> What {
    let (dest, once, window) = (3, false, Some(SECOND));
    What::HandedIn { id: id.into(), sender, dest, once, window, left: 4 * SECOND, aim: SECOND }
}

fn answered(id: &str, sender: usize) -> What {
    What::Answered { id: id.into(), sender, status: Some(202) }
}

fn called(call: u64, id: &str, sender: usize, may_have_run: bool) -> What {
    What::Called { call, id: id.into(), sender, partner: 3, may_have_run }
}

fn told(call: u64, status: u16, wait: Option<u64>) -> What {
    What::Told { call, status, wait: wait.map(|ms| ms * MS) }
}

fn notice(id: &str, outcome: &str) -> What {
    What::Notice { id: id.into(), sender: 0, outcome: outcome.into() }
}

fn stored(key: &str, value: Option<&str>) -> What {
    What::Stored {
        key: format!("fleet/duties/drain-permits/{key}"),
        value: value.map(String::from),
        revision: 1,
    }
}

fn members(sender: usize, lives: [u64; 2]) -> What {
    let view = [("s0", lives[0]), ("s1", lives[1])].map(|(n, l)| (n.to_string(), l, "alive".to_string()));
    What::Members { sender, asked: 0, view: view.into() }
}

fn standing(sender: usize, standing: &str) -> What {
    What::Standing { sender, asked: 0, standing: standing.into(), present: 2, expected: 2 }
}

fn at(ms: u64, what: What) -> Event {
    Event { at: ms * MS, what }
}

/// Delivered at once, after a refusal, given up; a permit and a drain; a death; rest.
fn good() -> Vec<Event> {
    let mut all = Vec::new();
    for sender in 0..2 {
        all.push(at(0, What::Started { sender, life: 1, process: 9 }));
        all.push(at(10, What::Ready { sender, life: 1 }));
    }
    all.extend([
        at(100, handed("m1.0", 0, true)),
        at(101, answered("m1.0", 0)),
        at(102, called(1, "m1.0", 0, false)),
        at(103, told(1, 429, Some(500))),
        at(700, called(2, "m1.0", 0, true)),
        at(800, told(2, 200, None)),
        at(900, handed("m2.0", 1, true)),
        at(901, answered("m2.0", 1)),
        at(902, called(3, "m2.0", 1, true)),
        at(2_000, What::Duty { sender: 0, asked: 1_990 * MS, held: Some(5) }),
        at(2_010, stored("given/a", Some("5"))),
        at(2_020, What::DrainAsked { machine: 0 }),
        at(2_100, What::DrainEnded { machine: 0, code: 0 }),
        at(2_110, stored("given/a", None)),
        at(2_900, What::DrainCancelled { machine: 0 }),
        at(3_000, What::Signalled { sender: 0, life: 1, signal: libc::SIGKILL }),
        at(3_010, What::Ended { sender: 0, life: 1, faulty: false }),
        at(3_600, What::Started { sender: 0, life: 2, process: 10 }),
        at(3_700, What::Ready { sender: 0, life: 2 }),
        at(4_500, notice("m2.0", "given_up")),
        at(4_600, What::Duty { sender: 1, asked: 4_590 * MS, held: Some(7) }),
        at(4_610, stored("given/b", Some("7"))),
        at(4_700, stored("given/b", None)),
        at(6_000, What::Quiet),
    ]);
    for sender in 0..2 {
        all.push(at(6_100, What::Pending { sender, count: 0 }));
        all.push(at(6_110, members(sender, [2, 1])));
        all.push(at(6_111, standing(sender, "whole")));
        all.push(at(6_120, What::Duty { sender, asked: 6_115 * MS, held: (sender == 1).then_some(7) }));
    }
    all.push(at(9_000, What::Over));
    all
}

/// The judges that find something.
fn found(events: &[Event], terms: &Terms) -> Vec<String> {
    let mut names: Vec<String> = judge(events, terms).into_iter().map(|f| f.judge).collect();
    names.dedup();
    names
}

/// The good history with something more in it, at its time.
fn with(more: Vec<Event>) -> Vec<Event> {
    let mut all = good();
    all.extend(more);
    all.sort_by_key(|e| e.at);
    all
}

/// The good history without what is named.
fn without(drop: impl Fn(&What) -> bool) -> Vec<Event> {
    good().into_iter().filter(|e| !drop(&e.what)).collect()
}

/// Inside the window of the second attempt that may have run, and outside that of the first.
fn repeated_beyond_its_window() -> Vec<Event> {
    with(vec![
        at(4_000, keyed("m9.0", 0)),
        at(4_010, called(20, "m9.0", 0, false)),
        at(4_100, called(21, "m9.0", 0, true)),
        at(4_700, called(22, "m9.0", 0, true)),
        at(5_160, called(23, "m9.0", 0, false)),
    ])
}

#[test]
fn each_judge_finds_its_offender_and_no_other_does() {
    assert_eq!(judge(&good(), &terms()), []);
    let is_notice = |w: &What| matches!(w, What::Notice { .. });
    let last_duty = |w: &What| *w == What::Duty { sender: 1, asked: 6_115 * MS, held: Some(7) };
    let late: Vec<Event> =
        without(is_notice).into_iter().chain([at(5_600, notice("m2.0", "given_up"))]).collect();
    let mut late = late;
    late.sort_by_key(|e| e.at);
    let attempts: Vec<Event> = (0..9).map(|i| at(1_000 + i, called(20 + i, "m9.0", 1, false))).collect();
    let attempts = [vec![at(950, handed("m9.0", 1, false))], attempts].concat();
    let offenders = [
        ("one_end_in_time", without(is_notice)),
        ("one_end_in_time", late),
        ("no_two_ends", with(vec![at(1_500, notice("m1.0", "given_up"))])),
        (
            "no_two_ends",
            with(vec![
                at(950, handed("m8.0", 0, false)),
                at(960, called(8, "m8.0", 0, true)),
                at(970, told(8, 200, None)),
                at(1_500, called(9, "m8.0", 0, true)),
            ]),
        ),
        (
            "no_two_ends",
            with(vec![
                at(950, handed("m8.0", 0, false)),
                at(1_500, notice("m8.0", "given_up")),
                at(1_600, notice("m8.0", "handed_back")),
            ]),
        ),
        ("nothing_unsafe_twice", with(vec![at(1_000, called(9, "m2.0", 0, true))])),
        (
            "nothing_unsafe_twice",
            without(is_notice).into_iter().chain([at(4_500, notice("m2.0", "handed_back"))]).collect(),
        ),
        ("window", repeated_beyond_its_window()),
        ("attempts", with(attempts)),
        ("right_partner", with(vec![at(1_000, called(9, "m0.0", 0, true))])),
        ("waits", with(vec![at(900, handed("m9.0", 0, false)), at(400, called(9, "m9.0", 0, true))])),
        ("fence", with(vec![at(4_650, stored("round", Some("5")))])),
        ("one_holder", with(vec![at(4_800, What::Duty { sender: 0, asked: 4_700 * MS, held: Some(5) })])),
        (
            "small_part",
            with(vec![
                at(4_650, standing(1, "minority")),
                at(5_000, What::Duty { sender: 1, asked: 4_990 * MS, held: Some(7) }),
                at(5_050, standing(1, "minority")),
                at(5_100, standing(1, "majority")),
            ]),
        ),
        ("agreement", with(vec![at(6_200, standing(1, "majority"))])),
        ("permits", with(vec![at(2_050, stored("given/b", Some("5"))), at(2_060, stored("given/b", None))])),
        (
            "drained",
            with(vec![
                at(2_500, handed("m9.0", 0, false)),
                at(2_501, answered("m9.0", 0)),
                at(2_502, called(9, "m9.0", 0, true)),
                at(2_600, told(9, 200, None)),
            ]),
        ),
        ("agreement", with(vec![at(6_200, members(1, [1, 1]))])),
        ("agreement", without(|w| matches!(w, What::Members { sender: 1, .. }))),
        ("rest", with(vec![at(6_200, What::Pending { sender: 1, count: 2 })])),
        ("rest", without(last_duty)),
        ("no_crash", with(vec![at(5_000, What::Ended { sender: 1, life: 1, faulty: true })])),
    ];
    let names = offenders.each_ref().map(|o| o.0);
    let sorted = |mut events: Vec<Event>| {
        events.sort_by_key(|e| e.at);
        events
    };
    for (name, events) in offenders.map(|(name, events)| (name, sorted(events))) {
        assert_eq!(found(&events, &terms()), [name]);
    }
    for (name, _) in JUDGES {
        assert!(names.contains(&name), "{name} has an offender");
    }
}

#[test]
fn a_repeat_inside_its_window_is_none_beyond_it() {
    // Turned away at first: that one never ran, and its window has not begun.
    let mut history = with(vec![
        at(4_000, keyed("m9.0", 0)),
        at(4_010, called(20, "m9.0", 0, false)),
        at(4_100, called(21, "m9.0", 0, true)),
        at(5_140, called(22, "m9.0", 0, true)),
    ]);
    assert_eq!(judge(&history, &terms()), []);
    history.push(at(5_210, called(23, "m9.0", 0, true)));
    assert_eq!(found(&history, &terms()), ["window"]);
    // On a busy machine what is read late may have been written in time.
    assert_eq!(judge(&history, &Terms { stretch: 3.0, ..terms() }), []);
}

#[test]
fn what_a_fault_excuses_is_excused_until_shortly_after_it_and_no_longer() {
    let frozen = |notice_at: u64| {
        let mut all = without(|w| matches!(w, What::Notice { .. }));
        all.extend([
            at(4_000, What::Signalled { sender: 1, life: 1, signal: libc::SIGSTOP }),
            at(5_500, What::Signalled { sender: 1, life: 1, signal: libc::SIGCONT }),
            at(notice_at, notice("m2.0", "given_up")),
        ]);
        all.sort_by_key(|e| e.at);
        all
    };
    assert_eq!(judge(&frozen(7_000), &terms()), []);
    assert_eq!(found(&frozen(8_000), &terms()), ["one_end_in_time"]);
    // On a machine that is busy bounds are stretched.
    assert_eq!(judge(&frozen(8_000), &Terms { stretch: 2.0, ..terms() }), []);
    // A folder that is older than the message took it along.
    let lost = |as_of: Option<u64>| {
        let mut all = without(|w| matches!(w, What::Notice { .. }));
        all.push(at(3_000, What::Folder { sender: 1, as_of: as_of.map(|ms| ms * MS) }));
        all.sort_by_key(|e| e.at);
        found(&all, &terms())
    };
    assert_eq!(lost(None), Vec::<String>::new());
    assert_eq!(lost(Some(500)), Vec::<String>::new());
    assert_eq!(lost(Some(2_000)), ["one_end_in_time"]);
}
