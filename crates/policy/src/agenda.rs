//! What is due when: one time for each key, read in the order of times. Nothing here knows of senders.
use crate::api::Ns;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Agenda<K> {
    times: BTreeMap<K, Ns>,
    order: BTreeSet<(Ns, K)>,
}

impl<K: Copy + Ord> Agenda<K> {
    /// Sets the time of a key in place of the one before; None takes it off.
    pub fn set(&mut self, key: K, at: Option<Ns>) {
        let before = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        before.into_iter().for_each(|at| _ = self.order.remove(&(at, key)));
        self.order.extend(at.map(|at| (at, key)));
    }

    /// The earliest time.
    pub fn first(&self) -> Option<Ns> {
        self.order.first().map(|first| first.0)
    }

    /// The keys whose time has come, the earliest first; of equal times the least key.
    pub fn due(&self, now: Ns) -> impl Iterator<Item = K> + '_ {
        self.order.iter().take_while(move |(at, _)| *at <= now).map(|&(_, key)| key)
    }
}
