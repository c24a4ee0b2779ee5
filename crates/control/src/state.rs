//! What the group keeps. A command is checked against the state and gives events; the state is folded from these.
use crate::stores::{Store, StoreView};
use borsh::{BorshDeserialize, BorshSerialize};
use settings::{Configuration, Faults, Location, Tolerance};
use std::collections::BTreeSet;
use std::fmt;

/// How many taken configurations are remembered, so that their repeats are answered as they were.
pub const REMEMBERED_CONFIGURATIONS: usize = 4_096;

/// A configuration that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct AppliedConfiguration {
    pub version: u64,
    /// The version that it was built on.
    pub base: u64,
    /// Digest of its body.
    pub digest: u128,
}

/// How old a state is: of two, the one with the later position has everything that was in force in the other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Position {
    /// The epoch of the primary that made it or took it over.
    pub epoch: u64,
    /// How many changes were made before, and this.
    pub number: u64,
}

/// The whole state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct State {
    /// The position of the last change.
    pub position: Position,
    pub version: u64,
    /// The configuration in force, as it was sent.
    pub body: Vec<u8>,
    pub applied: Vec<AppliedConfiguration>,
    pub stores: StoreView,
}

/// What is asked of the state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Replace the configuration that has the version `base`.
    Configure { base: u64, body: Vec<u8> },
    /// Stores with these disks are there, and say this of themselves.
    StoresSeen(Vec<Store>),
    /// A store's disk is lost; its heir is to be none of those that are silent, if another one is there.
    StoreLost { disk: u64, unreachable: BTreeSet<u64> },
    /// The first stores are known: share out the partitions.
    AssignPartitions,
    /// Empty the store of this name; as many others have to stay, and in as many places, as may be lost and one more.
    Retire { name: String, tolerance: Tolerance },
    /// All that a retiring store had is elsewhere.
    Retired(u64),
    /// All that a lost store had is elsewhere, whole: nothing rests on it any more.
    Emptied(u64),
}

/// What changes the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Event {
    Configured { applied: AppliedConfiguration, body: Vec<u8> },
    StoreUpserted(Store),
    StoreLost { disk: u64, successor: Option<u64> },
    PartitionsAssigned,
    Retiring(u64),
    Retired(u64),
    Emptied(u64),
}

/// Why a command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The configuration has faults.
    Invalid(Faults),
    /// Another version is in force.
    Stale { current: u64 },
    /// It is built on a version so old that it isn't remembered whether it was taken.
    BaseTooOld { base: u64 },
    /// No store has this name.
    UnknownStore,
    /// Too few stores would stay.
    TooFewStores,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Invalid(faults) => write!(f, "{faults}"),
            Rejected::Stale { current } => {
                write!(f, "version {current} is in force; read it, and build the change on it")
            }
            Rejected::BaseTooOld { base } => {
                write!(f, "it is not known any more what was built on version {base}; read the configuration")
            }
            Rejected::UnknownStore => f.write_str("no store has this name; see the status for their names"),
            Rejected::TooFewStores => {
                f.write_str("too few stores would stay, or in too few zones or regions; add one there first")
            }
        }
    }
}

impl std::error::Error for Rejected {}

impl State {
    /// The events that a command gives; none where what it asks for holds already.
    pub fn decide(&self, command: &Command) -> Result<Vec<Event>, Rejected> {
        match command {
            Command::Configure { base, body } => self.configure(*base, body),
            Command::StoresSeen(stores) => Ok(self.stores_seen(stores)),
            Command::StoreLost { disk, unreachable } => match self.stores.get(*disk) {
                Some(store) if !store.declared_lost => {
                    let successor = self.stores.choose_successor(*disk, unreachable);
                    Ok(vec![Event::StoreLost { disk: *disk, successor }])
                }
                _ => Ok(Vec::new()),
            },
            Command::AssignPartitions if self.stores.owners.is_empty() => Ok(vec![Event::PartitionsAssigned]),
            Command::AssignPartitions => Ok(Vec::new()),
            Command::Retire { name, tolerance } => self.retire(name, *tolerance),
            Command::Retired(disk) => match self.stores.get(*disk) {
                Some(store) if store.retiring && !store.emptied => Ok(vec![Event::Retired(*disk)]),
                _ => Ok(Vec::new()),
            },
            Command::Emptied(disk) => match self.stores.get(*disk) {
                Some(store) if store.declared_lost && !store.emptied => Ok(vec![Event::Emptied(*disk)]),
                _ => Ok(Vec::new()),
            },
        }
    }

    fn retire(&self, name: &str, tolerance: Tolerance) -> Result<Vec<Event>, Rejected> {
        let Some(store) = self.stores.active().find(|store| store.name == name) else {
            return match self.stores.last_retiring_named(name) {
                Some(_) => Ok(Vec::new()),
                None => Err(Rejected::UnknownStore),
            };
        };
        if store.retiring {
            return Ok(Vec::new());
        }
        let remaining = self.stores.remaining();
        let locations: Vec<&Location> = remaining.clone().map(|remaining| &remaining.location).collect();
        let others: Vec<&Location> =
            remaining.filter(|other| other.disk != store.disk).map(|other| &other.location).collect();
        // Where the stores don't bear all of the tolerance, they bear no less of it without this one.
        let spread = tolerance.missing_spread(&others) <= tolerance.missing_spread(&locations);
        match others.len() > tolerance.copies() && (spread || !tolerance.needs_spread()) {
            true => Ok(vec![Event::Retiring(store.disk)]),
            false => Err(Rejected::TooFewStores),
        }
    }

    fn configure(&self, base: u64, body: &[u8]) -> Result<Vec<Event>, Rejected> {
        let digest = xxhash_rust::xxh3::xxh3_128(body);
        if self.applied.iter().any(|applied| applied.base == base && applied.digest == digest) {
            return Ok(Vec::new());
        }
        let configuration = Configuration::parse(body).map_err(Rejected::Invalid)?;
        if self.applied.len() >= REMEMBERED_CONFIGURATIONS
            && self.applied.first().is_some_and(|oldest| base < oldest.base)
        {
            return Err(Rejected::BaseTooOld { base });
        }
        if base != self.version {
            return Err(Rejected::Stale { current: self.version });
        }
        if configuration.version <= self.version {
            let mut faults = Faults::default();
            faults.add("Version", format!("is not above {}; choose a higher one", self.version));
            return Err(Rejected::Invalid(faults));
        }
        let applied = AppliedConfiguration { version: configuration.version, base, digest };
        Ok(vec![Event::Configured { applied, body: body.to_vec() }])
    }

    /// Each store is looked at by the view with those before it.
    fn stores_seen(&self, stores: &[Store]) -> Vec<Event> {
        let mut after = State { stores: self.stores.clone(), ..State::default() };
        let mut all = Vec::new();
        for store in stores {
            let events = after.store_seen(store);
            events.iter().for_each(|event| after.apply(event));
            all.extend(events);
        }
        all
    }

    fn store_seen(&self, store: &Store) -> Vec<Event> {
        match self.stores.get(store.disk) {
            Some(known) if known.declared_lost || known.has_same_details(store) => Vec::new(),
            Some(_) => vec![Event::StoreUpserted(store.clone())],
            None => {
                // Another disk at the same machine: the one before is lost.
                let before = self.stores.active().find(|s| s.name == store.name || s.ip == store.ip);
                let lost = before.map(|before| self.replaced_by(before.disk, store));
                [Event::StoreUpserted(store.clone())].into_iter().chain(lost).collect()
            }
        }
    }

    /// A store's disk is lost, as another one at its machine shows, which is known from then on.
    fn replaced_by(&self, disk: u64, replacement: &Store) -> Event {
        let mut stores = self.stores.clone();
        stores.upsert(replacement.clone());
        Event::StoreLost { disk, successor: stores.choose_successor(disk, &BTreeSet::new()) }
    }

    /// Carries out an event.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Configured { applied, body } => {
                self.version = applied.version;
                self.body = body.clone();
                self.applied.push(applied.clone());
                let surplus = self.applied.len().saturating_sub(REMEMBERED_CONFIGURATIONS);
                self.applied.drain(..surplus);
            }
            Event::StoreUpserted(store) => self.stores.upsert(store.clone()),
            Event::StoreLost { disk, successor } => self.stores.declare_lost(*disk, *successor),
            Event::PartitionsAssigned => self.stores.assign_partitions(),
            Event::Retiring(disk) => self.stores.retire(*disk, false),
            Event::Retired(disk) => self.stores.retire(*disk, true),
            Event::Emptied(disk) => self.stores.mark_emptied(*disk),
        }
    }
}
