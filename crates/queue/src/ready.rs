//! What may run of one route, in the order in which it should.
use crate::WallMs;
use std::collections::BTreeSet;

/// Where a message stands among those of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Not due before.
    Future(WallMs),
    /// After so many runs a message can still begin within its aim, until then.
    Fresh(u32, WallMs),
    /// Its aim has passed; by then it has waited for very long.
    Late(WallMs),
}

/// The messages of one route.
#[derive(Default)]
pub struct Ready {
    future: BTreeSet<(WallMs, String)>,
    fresh: BTreeSet<(u32, WallMs, String)>,
    late: BTreeSet<(WallMs, String)>,
}

impl Ready {
    pub fn insert(&mut self, id: &str, place: Place) {
        let id = id.to_string();
        match place {
            Place::Future(at) => self.future.insert((at, id)),
            Place::Fresh(rank, aim) => self.fresh.insert((rank, aim, id)),
            Place::Late(at) => self.late.insert((at, id)),
        };
    }

    pub fn remove(&mut self, id: &str, place: Place) {
        let id = id.to_string();
        match place {
            Place::Future(at) => self.future.remove(&(at, id)),
            Place::Fresh(rank, aim) => self.fresh.remove(&(rank, aim, id)),
            Place::Late(at) => self.late.remove(&(at, id)),
        };
    }

    /// The first that has fallen due since it was placed.
    pub fn first_due(&self, now: WallMs) -> Option<String> {
        self.future.first().filter(|(at, _)| *at <= now).map(|(_, id)| id.clone())
    }

    /// The first of the fresh ones, if its aim has passed since it was placed.
    pub fn first_stale(&self, now: WallMs) -> Option<String> {
        self.fresh.first().filter(|(_, aim, _)| *aim <= now).map(|(_, _, id)| id.clone())
    }

    /// Those that are due: what can begin within its aim at once, what has waited for very long, what can begin within
    /// its aim after others, then the rest in its order.
    pub fn in_order(&self, now: WallMs) -> impl Iterator<Item = &String> {
        let at_once = self.fresh.iter().take_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let after_others = self.fresh.iter().skip_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let long = self.late.iter().take_while(move |(at, _)| *at <= now);
        let rest = self.late.iter().skip_while(move |(at, _)| *at <= now);
        at_once.chain(long.map(|(_, id)| id)).chain(after_others).chain(rest.map(|(_, id)| id))
    }

    /// When the next one falls due.
    pub fn next_due(&self) -> Option<WallMs> {
        self.future.first().map(|(at, _)| *at)
    }

    pub fn len(&self) -> usize {
        self.future.len() + self.fresh.len() + self.late.len()
    }
}
