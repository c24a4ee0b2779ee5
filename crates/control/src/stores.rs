//! The stores of a system, identified by their disks, and the owners of the partitions.
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Location;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The number of partitions of the key space; each has one owner. There are enough of them to give all stores nearly equal
/// shares.
pub const PARTITIONS: usize = 256;

/// A store that is or was part of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Store {
    /// The identity of the store's disk.
    pub disk: u64,
    pub name: String,
    pub ip: IpAddr,
    pub location: Location,
    /// The disk was declared lost: the data on it doesn't count any more, and nothing is accepted from this store.
    pub declared_lost: bool,
    /// The disk of the store that takes over what this one owned, once it is declared lost.
    pub successor: Option<u64>,
    /// The store announced a planned stop and hasn't reported since that it runs. Other stores hold the
    /// copies that it held.
    pub leaving: bool,
    /// The operator asked for this store's machine to be emptied and removed, and this is the machine's disk: if
    /// the machine loses it, the request passes on to its next disk.
    pub retiring: bool,
    /// Everything the store had is fully replicated elsewhere: it may be removed or, if it was lost, no longer counts as a
    /// loss.
    pub emptied: bool,
}

/// Progress of the retirement of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// Something may still depend on the machine.
    Running,
    /// Everything that any disk of the machine had is fully replicated elsewhere: the machine may be removed.
    Completed,
}

/// All stores, and the owner of each partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct StoreView {
    /// Increases with every change of this view.
    pub epoch: u64,
    pub stores: Vec<Store>,
    /// The disk of the owner, by partition; empty until the partitions are first assigned.
    pub owners: Vec<u64>,
}

impl Store {
    /// A newly reported store: not lost and not retiring.
    pub fn new(disk: u64, name: String, ip: IpAddr, location: Location, leaving: bool) -> Store {
        Store {
            disk,
            name,
            ip,
            location,
            declared_lost: false,
            successor: None,
            leaving,
            retiring: false,
            emptied: false,
        }
    }

    /// Whether a report from a running store has the same disk, name, address, location and `leaving` flag as this one.
    pub fn has_same_details(&self, other: &Store) -> bool {
        let same_machine = self.name == other.name && self.ip == other.ip && self.location == other.location;
        self.disk == other.disk && same_machine && self.leaving == other.leaving
    }
}

impl StoreView {
    /// The store with this disk.
    pub fn get(&self, disk: u64) -> Option<&Store> {
        self.stores.iter().find(|store| store.disk == disk)
    }

    /// Stores that weren't declared lost.
    pub fn active(&self) -> impl Iterator<Item = &Store> + Clone {
        self.stores.iter().filter(|store| !store.declared_lost)
    }

    /// Stores that were neither declared lost nor asked to retire.
    pub fn remaining(&self) -> impl Iterator<Item = &Store> + Clone {
        self.active().filter(|store| !store.retiring)
    }

    /// Progress of the retirement of the machine with this name; none if it wasn't requested, or if another
    /// machine has come under this name since.
    pub fn retirement(&self, name: &str) -> Option<Retirement> {
        let disks = || self.stores.iter().filter(|store| store.name == name);
        let is_requested = disks().any(|store| store.retiring);
        let is_in_service = disks().any(|store| !store.declared_lost && !store.retiring);
        if !is_requested || is_in_service {
            return None;
        }
        match disks().all(|store| store.emptied) {
            true => Some(Retirement::Completed),
            false => Some(Retirement::Running),
        }
    }

    /// Whether a newly reported disk is in a machine that was asked to retire. Once the retirement is completed,
    /// the machine is still the same as long as its address is: its disk may have been lost before its removal.
    pub fn is_in_retiring_machine(&self, store: &Store) -> bool {
        let mut previous = self.stores.iter().filter(|known| known.retiring && known.name == store.name);
        previous.any(|known| !known.emptied || known.ip == store.ip)
    }

    /// The store that owns a key, given a digest of the key.
    pub fn owner(&self, key: u64) -> Option<&Store> {
        let partition = key as usize % PARTITIONS;
        self.owners.get(partition).and_then(|disk| self.get(*disk))
    }

    /// The store that has taken over, or has to take over, what a store owned: the last one in the chain of successors. This
    /// is the store itself unless it was declared lost, and none if the last one of the chain was declared lost too.
    pub fn final_successor(&self, disk: u64) -> Option<u64> {
        let mut store = self.get(disk)?;
        for _ in 0..self.stores.len() {
            match store.successor.and_then(|successor| self.get(successor)) {
                Some(successor) if store.declared_lost => store = successor,
                _ => break,
            }
        }
        (!store.declared_lost).then_some(store.disk)
    }

    /// The disks of the lost stores whose messages a store has to take over.
    pub fn lost_stores_taken_over_by(&self, disk: u64) -> Vec<u64> {
        let lost = self.stores.iter().filter(|store| store.declared_lost);
        lost.filter(|store| self.final_successor(store.disk) == Some(disk)).map(|store| store.disk).collect()
    }

    /// Adds a store, or updates the details that a known store reports.
    pub fn upsert(&mut self, store: Store) {
        match self.stores.iter_mut().find(|known| known.disk == store.disk) {
            Some(known) => {
                (known.name, known.ip, known.location) = (store.name, store.ip, store.location);
                known.leaving = store.leaving;
            }
            None => {
                if store.retiring {
                    self.pass_on_retirement(&store.name);
                }
                self.stores.push(store);
            }
        }
        self.epoch += 1;
    }

    /// A retiring machine has a new disk, which is empty. The previous one was lost like any other disk, and
    /// what it had is yet to be replicated again.
    fn pass_on_retirement(&mut self, name: &str) {
        let previous = self.stores.iter_mut().filter(|store| store.name == name && !store.emptied);
        previous.for_each(|store| store.retiring = false);
    }

    /// Assigns the partitions evenly to the active stores, unless they were assigned before.
    pub fn assign_partitions(&mut self) {
        let mut disks: Vec<u64> = self.active().map(|store| store.disk).collect();
        disks.sort_unstable();
        if self.owners.is_empty() && !disks.is_empty() {
            self.owners = (0..PARTITIONS).map(|partition| disks[partition % disks.len()]).collect();
            self.epoch += 1;
        }
    }

    /// Declares a store's disk lost: its successor takes over its partitions and its messages.
    pub fn declare_lost(&mut self, disk: u64, successor: Option<u64>) {
        if let Some(store) = self.stores.iter_mut().find(|store| store.disk == disk) {
            store.declared_lost = true;
            store.successor = successor;
        }
        if let Some(successor) = successor {
            self.owners.iter_mut().filter(|owner| **owner == disk).for_each(|owner| *owner = successor);
        }
        self.epoch += 1;
    }

    /// Marks a store as retiring or, with `emptied`, as retired.
    pub fn retire(&mut self, disk: u64, emptied: bool) {
        if let Some(store) = self.stores.iter_mut().find(|store| store.disk == disk) {
            (store.retiring, store.emptied) = (true, emptied);
            self.epoch += 1;
        }
    }

    /// Marks a lost store as emptied: everything it had is fully replicated elsewhere.
    pub fn mark_emptied(&mut self, disk: u64) {
        if let Some(store) = self.stores.iter_mut().find(|store| store.disk == disk) {
            store.emptied = true;
            self.epoch += 1;
        }
    }

    /// The store that should take over if this disk is declared lost. Candidates are compared by these
    /// criteria, in this order: reachable and not about to stop, fewest owned partitions, same name as the
    /// lost store, smallest distance.
    pub fn choose_successor(&self, disk: u64, unreachable: &BTreeSet<u64>) -> Option<u64> {
        let lost = self.get(disk)?;
        let owned_partitions =
            |store: &Store| self.owners.iter().filter(|owner| **owner == store.disk).count();
        let others = self.remaining().filter(|store| store.disk != disk);
        let preference = |s: &&Store| {
            let distance = s.location.distance(&lost.location);
            (
                s.leaving || unreachable.contains(&s.disk),
                owned_partitions(s),
                s.name != lost.name,
                distance,
                s.disk,
            )
        };
        others.min_by_key(preference).map(|store| store.disk)
    }
}
