//! The replicated state. A command is checked against the state and yields events; applying events changes the state.
use crate::stores::{Store, StoreView};
use borsh::{BorshDeserialize, BorshSerialize};
use settings::{Configuration, Faults, Location, Tolerance};
use std::collections::BTreeSet;
use std::fmt;

/// How many applied configurations are remembered, so that a repeated request gets the same answer as the first one.
pub const REMEMBERED_CONFIGURATIONS: usize = 4_096;

/// A configuration that was put into force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct AppliedConfiguration {
    pub version: u64,
    /// The version that was in force before, on which this one was built.
    pub base: u64,
    /// Digest of the body.
    pub digest: u128,
}

/// Where a state stands in the sequence of changes. Of two states, the one with the greater position includes every change
/// that was in force in the other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Position {
    /// The epoch of the primary that made the last change, or that took the state over from an earlier epoch.
    pub epoch: u64,
    /// The number of changes so far.
    pub number: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct State {
    /// The position of the last change.
    pub position: Position,
    /// The version of the configuration in force; 0 if there is none yet.
    pub version: u64,
    /// The configuration in force, as it was sent.
    pub body: Vec<u8>,
    /// The configurations that were put into force, the newest last, up to [`REMEMBERED_CONFIGURATIONS`].
    pub applied: Vec<AppliedConfiguration>,
    pub stores: StoreView,
}

/// A request to change the state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Replace the configuration that has the version `base`.
    Configure { base: u64, body: Vec<u8> },
    /// These stores run, and report these details of themselves.
    StoresSeen(Vec<Store>),
    /// A store's disk is lost. None of the unreachable stores becomes its successor if there is another one.
    StoreLost { disk: u64, unreachable: BTreeSet<u64> },
    /// The first stores are known: assign the partitions to them.
    AssignPartitions,
    /// Empty the machine with this name, whichever disk it has. More stores have to remain than machines may be lost at once. If the
    /// tolerance covers zones or regions, the remaining stores must not be spread over them less well than
    /// before.
    Retire { name: String, tolerance: Tolerance },
    /// Everything that a retiring store had is elsewhere.
    Retired(u64),
    /// Everything that a lost store had is fully replicated elsewhere: nothing depends on it any more.
    Emptied(u64),
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Event {
    /// A configuration was put into force.
    Configured { applied: AppliedConfiguration, body: Vec<u8> },
    /// A store was added, or reported new details.
    StoreUpserted(Store),
    /// A store was declared lost.
    StoreLost { disk: u64, successor: Option<u64> },
    /// The partitions were assigned to the first stores.
    PartitionsAssigned,
    /// The store with this disk is being emptied.
    Retiring(u64),
    /// The retiring store with this disk is empty.
    Retired(u64),
    /// Everything that the lost store with this disk had is fully replicated elsewhere.
    Emptied(u64),
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The configuration has faults.
    Invalid(Faults),
    /// The command is built on a version other than the one in force.
    Stale { current: u64 },
    /// The command is built on a version so old that it isn't known any more whether it was applied.
    BaseTooOld { base: u64 },
    /// No store has this name.
    UnknownStore,
    /// Too few stores would remain.
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
                write!(f, "whether a change to version {base} was applied is no longer known; read the configuration")
            }
            Rejected::UnknownStore => f.write_str("no store has this name; see the status for their names"),
            Rejected::TooFewStores => f.write_str(
                "too few stores would remain, or in too few zones or regions; add a store there first",
            ),
        }
    }
}

impl std::error::Error for Rejected {}

impl State {
    /// The events that a command yields; none if the state is already as requested.
    pub fn decide(&self, command: &Command) -> Result<Vec<Event>, Rejected> {
        match command {
            Command::Configure { base, body } => self.decide_configure(*base, body),
            Command::StoresSeen(stores) => Ok(self.decide_stores_seen(stores)),
            Command::StoreLost { disk, unreachable } => match self.stores.get(*disk) {
                Some(store) if !store.declared_lost => {
                    let successor = self.stores.choose_successor(*disk, unreachable);
                    Ok(vec![Event::StoreLost { disk: *disk, successor }])
                }
                _ => Ok(Vec::new()),
            },
            Command::AssignPartitions if self.stores.owners.is_empty() => Ok(vec![Event::PartitionsAssigned]),
            Command::AssignPartitions => Ok(Vec::new()),
            Command::Retire { name, tolerance } => self.decide_retire(name, *tolerance),
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

    fn decide_retire(&self, name: &str, tolerance: Tolerance) -> Result<Vec<Event>, Rejected> {
        let Some(store) = self.stores.active().find(|store| store.name == name) else {
            return match self.stores.retirement(name) {
                Some(_) => Ok(Vec::new()),
                None => Err(Rejected::UnknownStore),
            };
        };
        if store.retiring {
            return Ok(Vec::new());
        }
        let remaining = self.stores.remaining();
        let locations: Vec<&Location> = remaining.clone().map(|store| &store.location).collect();
        let others: Vec<&Location> =
            remaining.filter(|other| other.disk != store.disk).map(|other| &other.location).collect();
        // If the stores don't satisfy the tolerance now, removing this one must not increase what they lack.
        let keeps_spread = tolerance.missing_spread(&others) <= tolerance.missing_spread(&locations);
        match others.len() > tolerance.copies() && (keeps_spread || !tolerance.needs_spread()) {
            true => Ok(vec![Event::Retiring(store.disk)]),
            false => Err(Rejected::TooFewStores),
        }
    }

    fn decide_configure(&self, base: u64, body: &[u8]) -> Result<Vec<Event>, Rejected> {
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

    /// The events for several reported stores; each is compared with the view that includes the ones before it.
    fn decide_stores_seen(&self, stores: &[Store]) -> Vec<Event> {
        let mut after = State { stores: self.stores.clone(), ..State::default() };
        let mut all_events = Vec::new();
        for store in stores {
            let events = after.decide_store_seen(store);
            events.iter().for_each(|event| after.apply(event));
            all_events.extend(events);
        }
        all_events
    }

    fn decide_store_seen(&self, store: &Store) -> Vec<Event> {
        match self.stores.get(store.disk) {
            Some(known) if known.declared_lost || known.has_same_details(store) => Vec::new(),
            Some(_) => vec![Event::StoreUpserted(store.clone())],
            None => {
                let mut added = store.clone();
                added.retiring = self.stores.is_in_retiring_machine(store);
                // A different disk on the same machine: the previous one is lost.
                let previous = self.stores.active().find(|s| s.name == store.name || s.ip == store.ip);
                let lost = previous.map(|previous| self.loss_by_replacement(previous.disk, &added));
                [Event::StoreUpserted(added)].into_iter().chain(lost).collect()
            }
        }
    }

    /// The event that declares a disk lost because another one has appeared on its machine. The replacement
    /// may become its successor.
    fn loss_by_replacement(&self, disk: u64, replacement: &Store) -> Event {
        let mut stores = self.stores.clone();
        stores.upsert(replacement.clone());
        Event::StoreLost { disk, successor: stores.choose_successor(disk, &BTreeSet::new()) }
    }

    /// Applies an event to the state.
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
