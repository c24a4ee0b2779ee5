//! Retirement of store machines whose disks are lost meanwhile: the request is about the machine, whichever disk it has.
use control::{Command, Rejected, Retirement, State, Store};
use rstest::rstest;
use settings::{Location, Tolerance};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

const MACHINES: u8 = 4;

/// A store on a disk, at a machine with a name and an address.
fn store_at(disk: u64, name: u8, address: u8) -> Store {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, address));
    Store::new(disk, format!("store-{name}"), ip, Location::default(), false)
}

fn change(state: &mut State, command: Command) {
    let events = state.decide(&command).expect("nothing rejects it");
    events.iter().for_each(|event| state.apply(event));
}

fn report(state: &mut State, store: Store) {
    change(state, Command::StoresSeen(vec![store]));
}

fn request_retirement(state: &mut State) {
    let (name, tolerance) = ("store-1".to_string(), Tolerance::of_machines(1));
    change(state, Command::Retire { name, tolerance });
}

fn lose(state: &mut State, disk: u64) {
    change(state, Command::StoreLost { disk, unreachable: BTreeSet::new() });
}

/// Four machines, each with a disk of its number; the first is asked to retire.
fn retiring() -> State {
    let mut state = State::default();
    (1..=MACHINES).for_each(|machine| report(&mut state, store_at(machine.into(), machine, machine)));
    change(&mut state, Command::AssignPartitions);
    request_retirement(&mut state);
    state
}

/// A store becomes idle, is taken over from, and everything it had is replicated.
fn complete(state: &mut State, disk: u64) {
    lose(state, disk);
    change(state, Command::Retired(disk));
}

fn progress(state: &State) -> Option<Retirement> {
    state.stores.retirement("store-1")
}

/// When the disk of the retiring machine is lost.
#[derive(Clone, Copy, Debug)]
enum Lost {
    WhileInUse,
    OnceGivenUp,
    OnceIdle,
    OnceEmptied,
}

/// Guards against a machine that may be removed although its new disk holds messages.
#[rstest]
fn the_new_disk_of_a_retiring_machine_retires_too(
    #[values(Lost::WhileInUse, Lost::OnceGivenUp, Lost::OnceIdle, Lost::OnceEmptied)] lost: Lost,
    #[values(1, 3)] disks: u64,
) {
    let mut state = retiring();
    match lost {
        Lost::WhileInUse => {}
        Lost::OnceGivenUp | Lost::OnceIdle => self::lose(&mut state, 1),
        Lost::OnceEmptied => complete(&mut state, 1),
    }
    for disk in 10..10 + disks {
        report(&mut state, store_at(disk, 1, 1));
        assert_eq!(progress(&state), Some(Retirement::Running));
        assert!(state.stores.get(disk).unwrap().retiring);
        assert!(!state.stores.owners.contains(&disk), "it takes over nothing");
        assert!(state.stores.remaining().all(|store| store.disk != disk), "it is given nothing");
    }
    // A repeated request changes nothing.
    let epoch = state.stores.epoch;
    request_retirement(&mut state);
    assert_eq!(state.stores.epoch, epoch);

    complete(&mut state, 9 + disks);
    let is_lost = |store: &&Store| store.declared_lost && !store.emptied;
    let lost_disks: Vec<u64> = state.stores.stores.iter().filter(is_lost).map(|store| store.disk).collect();
    for disk in lost_disks {
        assert_eq!(progress(&state), Some(Retirement::Running), "disk {disk} isn't replicated again yet");
        change(&mut state, Command::Emptied(disk));
    }
    assert_eq!(progress(&state), Some(Retirement::Completed));
}

/// A disk that was lost while its machine retires is a loss like any other.
#[test]
fn the_lost_disk_of_a_retiring_machine_is_not_taken_for_an_emptied_one() {
    let mut state = retiring();
    report(&mut state, store_at(10, 1, 1));
    let lost = state.stores.get(1).unwrap();
    assert!(lost.declared_lost && !lost.retiring && !lost.emptied);
    change(&mut state, Command::Retired(1));
    assert!(!state.stores.get(1).unwrap().emptied, "a retirement that was decided before the loss was seen");
}

/// A machine that is replaced at another address while it retires retires at that address.
#[test]
fn a_retirement_that_is_not_completed_holds_at_another_address() {
    let mut state = retiring();
    report(&mut state, store_at(10, 1, 9));
    assert!(state.stores.get(10).unwrap().retiring);
    assert_eq!(progress(&state), Some(Retirement::Running));
}

/// A new machine may have the name of one that was retired and removed. It is in service, and can be retired itself.
#[test]
fn a_new_machine_with_the_name_of_a_retired_one_is_in_service() {
    let mut state = retiring();
    complete(&mut state, 1);
    assert_eq!(progress(&state), Some(Retirement::Completed));
    report(&mut state, store_at(10, 1, 9));
    assert!(state.stores.remaining().any(|store| store.disk == 10));
    assert_eq!(progress(&state), None, "nobody asked for this one");
    report(&mut state, store_at(11, 1, 9));
    assert!(state.stores.remaining().any(|store| store.disk == 11), "nor did it with a new disk");
    request_retirement(&mut state);
    assert_eq!(progress(&state), Some(Retirement::Running));
    report(&mut state, store_at(12, 1, 9));
    assert!(state.stores.get(12).unwrap().retiring);
}

#[test]
fn a_machine_that_nobody_knows_has_no_retirement() {
    let state = retiring();
    assert_eq!(state.stores.retirement("store-2"), None);
    let unknown = Command::Retire { name: "store-9".to_string(), tolerance: Tolerance::of_machines(1) };
    assert_eq!(state.decide(&unknown), Err(Rejected::UnknownStore));
}
