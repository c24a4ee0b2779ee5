//! The cap alone, as used by senders with a queue of their own.
use policy::admission::{Admission, ClassDeadline};
use policy::api::Outcome;

const MS: i64 = 1_000_000;
const CLASSES: [ClassDeadline; 1] = [ClassDeadline { deadline: 100 * MS }];

#[test]
fn a_new_endpoint_starts_at_three_quarters_of_its_slots() {
    assert_eq!(Admission::new(8, &CLASSES).cap(), 6);
    assert_eq!(Admission::new(1, &CLASSES).cap(), 1);
}

#[test]
fn the_cap_leaves_a_level_that_misses_the_deadline_and_returns_to_it() {
    let mut admission = Admission::new(8, &CLASSES);
    let mut now = 0;
    let mut play = |admission: &mut Admission, slow_above: usize, rounds: usize| {
        for _ in 0..rounds {
            now += 20 * MS;
            admission.record_arrival(0, now);
            let level = admission.cap();
            let took = if level > slow_above { 150 * MS } else { 40 * MS };
            admission.record_end(Outcome::Served, took, 0, level, now);
            admission.update_cap(now);
        }
    };
    play(&mut admission, 2, 600);
    assert!(admission.cap() <= 3, "cap {}", admission.cap());
    play(&mut admission, 8, 1_500);
    assert_eq!(admission.cap(), 6);
}

#[test]
fn quick_errors_do_not_count_as_low_latency() {
    let mut admission = Admission::new(8, &CLASSES);
    for i in 1..200 {
        let now = i * 20 * MS;
        admission.record_arrival(0, now);
        admission.record_end(Outcome::ServerError, MS, 0, admission.cap(), now);
        admission.update_cap(now);
    }
    assert_eq!(admission.cap(), 1, "where every class misses everywhere the slots are others'");
}

#[test]
fn a_change_of_slots_keeps_the_cap_at_its_maximum() {
    let mut admission = Admission::new(8, &CLASSES);
    admission.reconfigure(4, &CLASSES);
    assert_eq!((admission.cap(), admission.slots()), (3, 4));
}
