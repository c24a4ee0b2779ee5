//! The table of endpoints by itself.
use super::*;
use std::net::SocketAddr;

fn said(dest: DestId, condition: Condition) -> Said {
    let at: SocketAddr = "10.0.0.1:80".parse().unwrap();
    Said { address: at.into(), dest, hint: 0.0, kind: 0, zone: UNKNOWN, condition, separate: true }
}

fn after(now: Instant, seconds: u64) -> Instant {
    now + Duration::from_secs(seconds)
}

#[test]
fn a_record_stays_small() {
    assert!(std::mem::size_of::<Option<Endpoint>>() <= 80, "{}", std::mem::size_of::<Option<Endpoint>>());
}

#[test]
fn names_of_any_length_are_found_and_numbers_are_never_used_again() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    let names: Vec<String> = (1..=64).map(|n| "é".repeat(n / 2) + &"x".repeat(n % 2)).collect();
    for (i, name) in names.iter().enumerate() {
        let change = endpoints.insert(Name::new(name), said(i as u64, Condition::Gone), now);
        assert_eq!(endpoints.id_of(name), Some(change.entry.endpoint));
    }
    let known: Vec<&str> = endpoints.slots.iter().flatten().map(|e| e.name.as_str()).collect();
    assert_eq!(known, names);
    assert_eq!(endpoints.forget(after(now, 61), usize::MAX, |_, _| false).len(), 64);
    assert_eq!(endpoints.id_of(&names[0]), None);
    let again = endpoints.insert(Name::new(&names[0]), said(0, Condition::Ready), now);
    assert_eq!((again.entry.endpoint, again.entry.zone), (65, usize::MAX));
}

#[test]
fn what_is_closed_is_forgotten_after_a_while_unless_it_is_kept_or_opened_again() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    let ids: Vec<EndpointId> = (0..4)
        .map(|n| {
            endpoints.insert(Name::new(&format!("s-{n}")), said(n, Condition::Ready), now).entry.endpoint
        })
        .collect();
    assert_eq!(endpoints.next_to_forget(), None);
    for slot in 0..3 {
        assert!(endpoints.update(slot, said(slot.into(), Condition::Draining), now).is_some());
    }
    assert!(endpoints.update(1, said(1, Condition::Ready), after(now, 30)).is_some());
    assert_eq!(endpoints.counts(), (4, 2));
    let due = endpoints.next_to_forget().unwrap();
    assert!(due >= after(now, 60));
    assert!(endpoints.forget(due - Duration::from_millis(1), 9, |_, _| false).is_empty());
    assert_eq!(endpoints.forget(due, 9, |id, _| id == ids[0]), [ids[2]]);
    assert_eq!(endpoints.counts(), (3, 1));
    // The one that was kept is looked at again after as long.
    let later = endpoints.next_to_forget().unwrap();
    assert!(later >= after(due, 60));
    assert_eq!(endpoints.forget(later, 9, |_, _| false), [ids[0]]);
    assert!(endpoints.has_dest(0) && endpoints.next_to_forget().is_none());
    assert_eq!(endpoints.closed().count(), 0);
}

#[test]
fn a_table_that_shrinks_gives_its_room_back_and_still_finds_what_is_left() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    for n in 0..100_000u64 {
        endpoints.insert(Name::new(&format!("s-{n}")), said(n, Condition::Ready), now);
    }
    for slot in 0..100_000 {
        if slot % 10_000 != 7 {
            assert!(endpoints.remove_from_list(slot, now).is_some());
        }
    }
    assert_eq!(endpoints.counts(), (10, 0));
    while !endpoints.forget(after(now, 62), 2_000, |_, _| false).is_empty() {}
    assert!(endpoints.slots.capacity() <= 2 * SMALL, "{}", endpoints.slots.capacity());
    let of_closings = endpoints.closings.capacity();
    assert!(endpoints.by_id.capacity() <= 2 * SMALL && of_closings <= 2 * SMALL, "{of_closings}");
    for n in 0..10 {
        let name = format!("s-{}", n * 10_000 + 7);
        assert!(endpoints.id_of(&name).is_some_and(|id| endpoints.get(id).is_some_and(Endpoint::is_usable)));
    }
    assert!(endpoints.has_dest(5), "a destination that was named stays so");
}

#[test]
fn former_destinations_are_bounded() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    let named = endpoints.insert(Name::new("s"), said(0, Condition::Ready), now);
    assert_eq!(named.entry.dest, 0);
    for dest in 1..=2 * FORMER_DESTS as u64 + 10 {
        assert!(endpoints.update(0, said(dest, Condition::Ready), now).is_some());
    }
    assert!(endpoints.dests.len() <= 2 * FORMER_DESTS);
    assert!(endpoints.has_dest(2 * FORMER_DESTS as u64 + 10) && !endpoints.has_dest(1));
}
