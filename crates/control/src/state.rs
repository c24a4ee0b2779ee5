//! What the group keeps. A command is checked against the state and gives events; the state is folded from these.
use crate::stores::{Store, StoreView};
use borsh::{BorshDeserialize, BorshSerialize};
use settings::{Configuration, Faults};
use std::fmt;

/// How many taken configurations are remembered, so that their repeats are answered as they were.
pub const REMEMBERED: usize = 4_096;

/// A configuration that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Taken {
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
    pub at: Position,
    pub version: u64,
    /// The configuration in force, as it was sent.
    pub body: Vec<u8>,
    pub taken: Vec<Taken>,
    pub stores: StoreView,
}

/// What is asked of the state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Replace the configuration that has the version `base`.
    Configure { base: u64, body: Vec<u8> },
    /// A store with this disk is there, and says this of itself.
    StoreSeen(Store),
    /// A store's disk is lost.
    StoreLost(u64),
    /// The first stores are known: share out the partitions.
    ShareOut,
    /// Empty the store of this name; so many others have to stay.
    Retire { name: String, others: usize },
    /// All that a retiring store had is elsewhere.
    Retired(u64),
    /// All that a lost store had is elsewhere, whole: nothing rests on it any more.
    Emptied(u64),
}

/// What changes the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Event {
    Configured { taken: Taken, body: Vec<u8> },
    StorePut(Store),
    StoreLost(u64),
    SharedOut,
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
    Forgotten { base: u64 },
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
            Rejected::Forgotten { base } => {
                write!(f, "it is not known any more what was built on version {base}; read the configuration")
            }
            Rejected::UnknownStore => f.write_str("no store has this name; see the status for their names"),
            Rejected::TooFewStores => f.write_str("too few stores would stay; add one first"),
        }
    }
}

impl std::error::Error for Rejected {}

impl State {
    /// The events that a command gives; none where what it asks for holds already.
    pub fn decide(&self, command: &Command) -> Result<Vec<Event>, Rejected> {
        match command {
            Command::Configure { base, body } => self.configure(*base, body),
            Command::StoreSeen(store) => Ok(self.store_seen(store)),
            Command::StoreLost(disk) => match self.stores.get(*disk) {
                Some(store) if !store.gone => Ok(vec![Event::StoreLost(*disk)]),
                _ => Ok(Vec::new()),
            },
            Command::ShareOut if self.stores.owners.is_empty() => Ok(vec![Event::SharedOut]),
            Command::ShareOut => Ok(Vec::new()),
            Command::Retire { name, others } => self.retire(name, *others),
            Command::Retired(disk) => match self.stores.get(*disk) {
                Some(store) if store.retiring && !store.emptied => Ok(vec![Event::Retired(*disk)]),
                _ => Ok(Vec::new()),
            },
            Command::Emptied(disk) => match self.stores.get(*disk) {
                Some(store) if store.gone && !store.emptied => Ok(vec![Event::Emptied(*disk)]),
                _ => Ok(Vec::new()),
            },
        }
    }

    fn retire(&self, name: &str, others: usize) -> Result<Vec<Event>, Rejected> {
        let Some(store) = self.stores.active().find(|store| store.name == name) else {
            return match self.stores.retired(name) {
                Some(_) => Ok(Vec::new()),
                None => Err(Rejected::UnknownStore),
            };
        };
        if store.retiring {
            return Ok(Vec::new());
        }
        match self.stores.staying().filter(|other| other.disk != store.disk).count() >= others {
            true => Ok(vec![Event::Retiring(store.disk)]),
            false => Err(Rejected::TooFewStores),
        }
    }

    fn configure(&self, base: u64, body: &[u8]) -> Result<Vec<Event>, Rejected> {
        let digest = xxhash_rust::xxh3::xxh3_128(body);
        if self.taken.iter().any(|taken| taken.base == base && taken.digest == digest) {
            return Ok(Vec::new());
        }
        let configuration = Configuration::parse(body).map_err(Rejected::Invalid)?;
        if self.taken.len() >= REMEMBERED && self.taken.first().is_some_and(|oldest| base < oldest.base) {
            return Err(Rejected::Forgotten { base });
        }
        if base != self.version {
            return Err(Rejected::Stale { current: self.version });
        }
        if configuration.version <= self.version {
            let mut faults = Faults::default();
            faults.add("Version", format!("is not above {}; choose a higher one", self.version));
            return Err(Rejected::Invalid(faults));
        }
        let taken = Taken { version: configuration.version, base, digest };
        Ok(vec![Event::Configured { taken, body: body.to_vec() }])
    }

    fn store_seen(&self, store: &Store) -> Vec<Event> {
        match self.stores.get(store.disk) {
            Some(known) if known.gone || known.says_the_same(store) => Vec::new(),
            Some(_) => vec![Event::StorePut(store.clone())],
            None => {
                // Another disk at the same machine: the one before is lost.
                let before = self.stores.active().find(|s| s.name == store.name || s.ip == store.ip);
                let lost = before.map(|store| Event::StoreLost(store.disk));
                [Event::StorePut(store.clone())].into_iter().chain(lost).collect()
            }
        }
    }

    /// Carries out an event.
    pub fn fold(&mut self, event: &Event) {
        match event {
            Event::Configured { taken, body } => {
                self.version = taken.version;
                self.body = body.clone();
                self.taken.push(taken.clone());
                let surplus = self.taken.len().saturating_sub(REMEMBERED);
                self.taken.drain(..surplus);
            }
            Event::StorePut(store) => self.stores.put(store.clone()),
            Event::StoreLost(disk) => self.stores.lose(*disk),
            Event::SharedOut => self.stores.share_out(),
            Event::Retiring(disk) => self.stores.retire(*disk, false),
            Event::Retired(disk) => self.stores.retire(*disk, true),
            Event::Emptied(disk) => self.stores.empty(*disk),
        }
    }
}
