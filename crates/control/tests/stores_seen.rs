//! Several stores that are reported in one command.
use control::{Command, State, Store};
use settings::Location;
use std::net::{IpAddr, Ipv4Addr};

fn store(disk: u64, machine: u8) -> Store {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, machine));
    Store::new(disk, format!("store-{machine}"), ip, Location::default(), false)
}

fn report(state: &mut State, stores: Vec<Store>) {
    let events = state.decide(&Command::StoresSeen(stores)).expect("nothing rejects it");
    events.iter().for_each(|event| state.apply(event));
}

/// A machine's disk was replaced twice before the first report. The last disk counts, as if the disks had been reported one
/// by one.
#[test]
fn of_several_disks_on_one_machine_the_last_one_is_active() {
    let (mut together, mut one_by_one) = (State::default(), State::default());
    let stores = vec![store(1, 1), store(2, 2), store(3, 1), store(4, 1)];
    report(&mut together, stores.clone());
    stores.into_iter().for_each(|store| report(&mut one_by_one, vec![store]));
    assert_eq!(together.stores, one_by_one.stores);
    let active: Vec<u64> = together.stores.active().map(|store| store.disk).collect();
    assert_eq!(active, [2, 4]);
    assert_eq!(together.stores.final_successor(1), Some(4));
}
