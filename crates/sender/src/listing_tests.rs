//! Lists in slices against lists that are taken at once.
use super::*;
use crate::endpoints::UNKNOWN;
use crate::list::Address;
use policy::api::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

type Row = (usize, u16, u64, &'static str);

fn list(reset: bool, rows: &[Row]) -> List {
    let entry = |&(name, port, dest, lifecycle): &Row| {
        json!({"instanceId": format!("s-{name}"), "hostPort": format!("10.0.0.1:{port}"), "zone": "z",
            "machineType": "m", "cell": dest, "lifecycle": lifecycle})
    };
    let entries: Vec<_> = rows.iter().map(entry).collect();
    serde_json::from_value(json!({"generation": 5, "reset": reset, "instances": entries})).unwrap()
}

fn terms(list: &List, instance: &Instance) -> Said {
    Said {
        address: instance.address.clone(),
        dest: instance.dest,
        hint: instance.weight,
        kind: if list.kind(instance) == "m" { 0 } else { UNKNOWN },
        zone: 0,
        condition: instance.condition,
        separate: false,
    }
}

/// All changes of a list that is taken in slices of so much work.
fn take(
    endpoints: &mut Endpoints,
    list: List,
    now: Instant,
    mut slice: impl FnMut() -> usize,
) -> Vec<Change> {
    let mut listing = Listing::new(list, endpoints);
    let mut changes = Vec::new();
    while !listing.step(endpoints, &terms, now, &mut slice(), &mut changes) {}
    changes
}

/// What holds after a list: address, destination and lifecycle by name.
type Held = BTreeMap<usize, (u16, u64, &'static str)>;

fn hold(held: &mut Held, reset: bool, rows: &[Row]) {
    if reset {
        held.values_mut().for_each(|row| row.2 = "Gone");
    }
    held.extend(rows.iter().map(|&(name, port, dest, lifecycle)| (name, (port, dest, lifecycle))));
}

#[test]
fn slices_of_any_size_come_to_what_the_lists_say_and_what_drains_comes_first() {
    for seed in 0..400u64 {
        let mut random = Pcg32::seed_from_u64(seed);
        let now = Instant::now();
        let (mut endpoints, mut held) = (Endpoints::new(now), Held::new());
        // As the module sees them: by number, and whether it takes new work.
        let mut module: BTreeMap<EndpointId, (u64, bool)> = BTreeMap::new();
        let mut usable: BTreeMap<usize, bool> = BTreeMap::new();
        for _ in 0..8 {
            let mut below = |n: usize| random.random_range(0..n);
            let count = below(40);
            let rows: Vec<Row> = (0..count)
                .map(|_| {
                    let lifecycle = ["Ready", "Ready", "Ready", "Terminating", "Gone"][below(5)];
                    (below(30), 1 + below(3) as u16, below(3) as u64, lifecycle)
                })
                .collect();
            let reset = below(2) == 0;
            let changes = take(&mut endpoints, list(reset, &rows), now, || 1 + below(30));
            hold(&mut held, reset, &rows);
            for change in &changes {
                let ready = change.entry.condition == Condition::Ready;
                module.insert(change.entry.endpoint, (change.entry.dest, ready));
            }
            // Of those that were usable and are no more, each was told before any other news.
            let after = |name: &usize| held[name].2 == "Ready";
            let closed: Vec<&usize> =
                usable.iter().filter(|(n, was)| **was && !after(n)).map(|(n, _)| n).collect();
            let first = changes.iter().take(closed.len());
            assert!(first.clone().all(|c| c.entry.condition != Condition::Ready), "seed {seed}: {changes:?}");
            for (name, (port, dest, lifecycle)) in &held {
                let id = endpoints.id_of(&format!("s-{name}")).unwrap();
                let known = endpoints.get(id).unwrap();
                let ready = *lifecycle == "Ready";
                assert_eq!(known.is_usable(), ready, "seed {seed}: {name}");
                assert_eq!(module[&id].1, ready, "seed {seed}: {name} in the module");
                if ready {
                    let address: SocketAddr = ([10, 0, 0, 1], *port).into();
                    assert_eq!((&known.said.address, known.said.dest), (&Address::from(address), *dest));
                    assert_eq!(module[&id].0, *dest, "seed {seed}: {name} in the module");
                }
                assert!(endpoints.has_dest(known.said.dest));
            }
            let listed = held.values().filter(|row| row.2 != "Gone").count();
            let closed = held.values().filter(|row| row.2 == "Terminating").count();
            assert_eq!(endpoints.counts(), (listed, closed), "seed {seed}");
            // The same once more says nothing.
            let again: Vec<Row> = held.iter().map(|(&n, &(port, dest, l))| (n, port, dest, l)).collect();
            assert!(take(&mut endpoints, list(true, &again), now, || 7).is_empty(), "seed {seed}");
            usable = held.iter().map(|(&name, row)| (name, row.2 == "Ready")).collect();
        }
    }
}

#[test]
fn an_entry_that_comes_twice_holds_as_it_was_last_and_is_never_told_otherwise() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    take(&mut endpoints, list(true, &[(1, 80, 7, "Ready"), (2, 80, 7, "Ready")]), now, || 1);
    let twice = list(true, &[(1, 80, 7, "Terminating"), (2, 80, 7, "Ready"), (1, 80, 7, "Ready")]);
    assert!(take(&mut endpoints, twice, now, || 1).is_empty());
    let twice = list(true, &[(1, 80, 7, "Ready"), (2, 80, 7, "Ready"), (1, 81, 8, "Terminating")]);
    let changes = take(&mut endpoints, twice, now, || 1);
    assert_eq!(changes.len(), 1);
    let Change { entry, moved } = changes[0];
    assert!(entry.condition == Condition::Draining && entry.dest == 8 && moved);
}

#[test]
fn one_that_was_closed_in_between_is_opened_by_the_same_list() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    let rows = [(1, 80, 7, "Ready"), (2, 80, 7, "Ready")];
    take(&mut endpoints, list(true, &rows), now, || 100);
    let id = endpoints.id_of("s-1").unwrap();
    assert_eq!(endpoints.close(id, now).unwrap().condition, Condition::Draining);
    assert_eq!((endpoints.counts(), endpoints.get(id).unwrap().is_usable()), ((2, 1), false));
    let changes = take(&mut endpoints, list(true, &rows), now, || 100);
    assert_eq!(
        changes.iter().map(|c| (c.entry.endpoint, c.entry.condition)).collect::<Vec<_>>(),
        [(id, Condition::Ready)]
    );
    assert_eq!(endpoints.counts(), (2, 0));
}

#[test]
fn the_version_counts_once_what_is_gone_was_told() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new(now);
    let rows: Vec<Row> = (0..50).map(|n| (n, 80, 7, "Ready")).collect();
    take(&mut endpoints, list(true, &rows), now, || 100);
    let mut listing = Listing::new(list(true, &[(60, 80, 7, "Ready"), (3, 80, 7, "Ready")]), &mut endpoints);
    let mut changes = Vec::new();
    while !listing.is_binding() {
        assert!(!listing.step(&mut endpoints, &terms, now, &mut 1, &mut changes));
    }
    assert!(changes.iter().all(|c| c.entry.condition == Condition::Gone));
    assert_eq!((changes.len(), listing.generation()), (49, 5));
    let later = now + Duration::from_secs(3_600);
    assert_eq!(endpoints.forget(later, usize::MAX, |_, _| false).len(), 49);
    assert_eq!(endpoints.counts(), (1, 0));
}
