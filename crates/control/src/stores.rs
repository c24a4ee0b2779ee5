//! The stores of a system, by the identity of their disks.
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Location;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Keys are shared out by partitions; each has one owner. Enough that the stores' shares of them differ little.
pub const PARTITIONS: usize = 256;

/// A store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Store {
    /// The identity of its disk.
    pub disk: u64,
    pub name: String,
    pub ip: IpAddr,
    pub location: Location,
    /// Its disk is lost: nothing that it held is there, and nothing is taken from it.
    pub declared_lost: bool,
    /// Who takes over what a lost store owned.
    pub successor: Option<u64>,
    /// It said that it stops as planned, and hasn't been heard as running since: others keep what it kept.
    pub leaving: bool,
    /// It is to be emptied and taken away.
    pub retiring: bool,
    /// All that it had is elsewhere, whole: it may be taken away, or was lost and isn't missed any more.
    pub emptied: bool,
}

/// All stores, and who owns which partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct StoreView {
    /// Rises with every change.
    pub epoch: u64,
    pub stores: Vec<Store>,
    /// The disk that owns each partition; empty until the first stores are known.
    pub owners: Vec<u64>,
}

impl Store {
    /// A store that nothing is known of but what it says of itself.
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

    /// Whether another store that is there says the same of itself.
    pub fn has_same_details(&self, other: &Store) -> bool {
        let same_machine = self.name == other.name && self.ip == other.ip && self.location == other.location;
        self.disk == other.disk && same_machine && self.leaving == other.leaving
    }
}

impl StoreView {
    /// The store of a disk.
    pub fn get(&self, disk: u64) -> Option<&Store> {
        self.stores.iter().find(|store| store.disk == disk)
    }

    /// Stores whose disks are not lost.
    pub fn active(&self) -> impl Iterator<Item = &Store> + Clone {
        self.stores.iter().filter(|store| !store.declared_lost)
    }

    /// Stores that are there to stay.
    pub fn remaining(&self) -> impl Iterator<Item = &Store> + Clone {
        self.active().filter(|store| !store.retiring)
    }

    /// The store of this name that was asked to retire last.
    pub fn last_retiring_named(&self, name: &str) -> Option<&Store> {
        self.stores.iter().rev().find(|store| store.retiring && store.name == name)
    }

    /// Who owns a key, by a digest of it.
    pub fn owner(&self, key: u64) -> Option<&Store> {
        let partition = key as usize % PARTITIONS;
        self.owners.get(partition).and_then(|disk| self.get(*disk))
    }

    /// Who has what a lost store owned now: the last of the line of heirs.
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

    /// Lost stores whose messages a store has to take over.
    pub fn lost_stores_taken_over_by(&self, disk: u64) -> Vec<u64> {
        let declared_lost = self.stores.iter().filter(|store| store.declared_lost);
        declared_lost
            .filter(|store| self.final_successor(store.disk) == Some(disk))
            .map(|store| store.disk)
            .collect()
    }

    /// Adds a store, or notes what it says of itself now.
    pub fn upsert(&mut self, store: Store) {
        match self.stores.iter_mut().find(|known| known.disk == store.disk) {
            Some(known) => {
                (known.name, known.ip, known.location) = (store.name, store.ip, store.location);
                known.leaving = store.leaving;
            }
            None => self.stores.push(store),
        }
        self.epoch += 1;
    }

    /// Shares out the partitions among the active stores, once.
    pub fn assign_partitions(&mut self) {
        let mut disks: Vec<u64> = self.active().map(|store| store.disk).collect();
        disks.sort_unstable();
        if self.owners.is_empty() && !disks.is_empty() {
            self.owners = (0..PARTITIONS).map(|i| disks[i % disks.len()]).collect();
            self.epoch += 1;
        }
    }

    /// A store's disk is lost: an heir takes over its partitions and its messages.
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

    /// A store begins to retire, or has.
    pub fn retire(&mut self, disk: u64, emptied: bool) {
        if let Some(store) = self.stores.iter_mut().find(|store| store.disk == disk) {
            (store.retiring, store.emptied) = (true, emptied);
            self.epoch += 1;
        }
    }

    /// All that a lost store had is elsewhere.
    pub fn mark_emptied(&mut self, disk: u64) {
        if let Some(store) = self.stores.iter_mut().find(|store| store.disk == disk) {
            store.emptied = true;
            self.epoch += 1;
        }
    }

    /// The store that should take over from one, if its disk is lost: one that isn't silent or about to stop, if there is
    /// one, and of these the one that owns least; then one of the same name, then the nearest.
    pub fn choose_successor(&self, disk: u64, unreachable: &BTreeSet<u64>) -> Option<u64> {
        let lost = self.get(disk)?;
        let owned = |store: &Store| self.owners.iter().filter(|owner| **owner == store.disk).count();
        let others = self.remaining().filter(|store| store.disk != disk);
        let order = |s: &&Store| {
            let distance = s.location.distance(&lost.location);
            (s.leaving || unreachable.contains(&s.disk), owned(s), s.name != lost.name, distance, s.disk)
        };
        others.min_by_key(order).map(|store| store.disk)
    }
}
