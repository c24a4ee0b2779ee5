//! What may run of one route, in the order in which it should.
use crate::WallMs;
use std::collections::BTreeSet;

/// Where a message stands among those of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Not due before.
    NotDue(WallMs),
    /// After so many runs a message can still begin within its aim, until then.
    OnTime(u32, WallMs),
    /// Its aim has passed; by then it has waited for very long.
    Overdue(WallMs),
}

/// The messages of one route.
#[derive(Default)]
pub struct Ready {
    not_due: BTreeSet<(WallMs, String)>,
    on_time: BTreeSet<(u32, WallMs, String)>,
    overdue: BTreeSet<(WallMs, String)>,
}

impl Ready {
    pub fn insert(&mut self, id: &str, position: Position) {
        let id = id.to_string();
        match position {
            Position::NotDue(at) => self.not_due.insert((at, id)),
            Position::OnTime(rank, target) => self.on_time.insert((rank, target, id)),
            Position::Overdue(at) => self.overdue.insert((at, id)),
        };
    }

    pub fn remove(&mut self, id: &str, position: Position) {
        let id = id.to_string();
        match position {
            Position::NotDue(at) => self.not_due.remove(&(at, id)),
            Position::OnTime(rank, target) => self.on_time.remove(&(rank, target, id)),
            Position::Overdue(at) => self.overdue.remove(&(at, id)),
        };
    }

    /// The first that has fallen due since it was placed.
    pub fn first_due(&self, now: WallMs) -> Option<String> {
        self.not_due.first().filter(|(at, _)| *at <= now).map(|(_, id)| id.clone())
    }

    /// The first of the fresh ones, if its aim has passed since it was placed.
    pub fn first_past_target(&self, now: WallMs) -> Option<String> {
        self.on_time.first().filter(|(_, target, _)| *target <= now).map(|(_, _, id)| id.clone())
    }

    /// Those that are due: what can begin within its aim at once, what has waited for very long, what can begin within
    /// its aim after others, then the rest in its order.
    pub fn in_order(&self, now: WallMs) -> impl Iterator<Item = &String> {
        let at_once = self.on_time.iter().take_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let after_others = self.on_time.iter().skip_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let long = self.overdue.iter().take_while(move |(at, _)| *at <= now);
        let rest = self.overdue.iter().skip_while(move |(at, _)| *at <= now);
        at_once.chain(long.map(|(_, id)| id)).chain(after_others).chain(rest.map(|(_, id)| id))
    }

    /// When the next one falls due.
    pub fn next_due(&self) -> Option<WallMs> {
        self.not_due.first().map(|(at, _)| *at)
    }

    pub fn len(&self) -> usize {
        self.not_due.len() + self.on_time.len() + self.overdue.len()
    }
}
