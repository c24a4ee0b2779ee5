//! Due times: one for each key, read in order of time. Independent of senders.
use crate::api::Ns;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Schedule<K> {
    times: BTreeMap<K, Ns>,
    order: BTreeSet<(Ns, K)>,
}

impl<K: Copy + Ord> Schedule<K> {
    /// Sets the time of a key, replacing any earlier one; `None` removes the key.
    pub fn set(&mut self, key: K, at: Option<Ns>) {
        let before = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        before.into_iter().for_each(|at| _ = self.order.remove(&(at, key)));
        self.order.extend(at.map(|at| (at, key)));
    }

    /// The earliest time.
    pub fn earliest(&self) -> Option<Ns> {
        self.order.first().map(|first| first.0)
    }

    /// The keys that are due, in order of time, then of key.
    pub fn due(&self, now: Ns) -> impl Iterator<Item = K> + '_ {
        self.order.iter().take_while(move |(at, _)| *at <= now).map(|&(_, key)| key)
    }
}
