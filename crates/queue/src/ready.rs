//! The waiting messages of one route, in the order in which they should run.
use crate::WallMs;
use std::collections::BTreeSet;

/// Position of a message among those of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Not due before this time.
    NotDue(WallMs),
    /// The message, or a later one of the same ordering key, can still start within its target time. Contains
    /// the number of messages that have to run before that one, and the time until which it is on time.
    OnTime(u32, WallMs),
    /// The target start time has passed. The message counts as long overdue from this time on.
    Late(WallMs),
}

/// The waiting messages of one route.
#[derive(Default)]
pub struct Ready {
    not_due: BTreeSet<(WallMs, String)>,
    on_time: BTreeSet<(u32, WallMs, String)>,
    late: BTreeSet<(WallMs, String)>,
}

impl Ready {
    /// Adds a message at this position.
    pub fn insert(&mut self, id: &str, position: Position) {
        let id = id.to_string();
        match position {
            Position::NotDue(at) => self.not_due.insert((at, id)),
            Position::OnTime(rank, target) => self.on_time.insert((rank, target, id)),
            Position::Late(at) => self.late.insert((at, id)),
        };
    }

    /// Removes a message from this position.
    pub fn remove(&mut self, id: &str, position: Position) {
        let id = id.to_string();
        match position {
            Position::NotDue(at) => self.not_due.remove(&(at, id)),
            Position::OnTime(rank, target) => self.on_time.remove(&(rank, target, id)),
            Position::Late(at) => self.late.remove(&(at, id)),
        };
    }

    /// The first message that has become due since its position was set.
    pub fn first_due(&self, now: WallMs) -> Option<String> {
        self.not_due.first().filter(|(at, _)| *at <= now).map(|(_, id)| id.clone())
    }

    /// The first message on time, if its target start time has passed since its position was set.
    pub fn first_past_target(&self, now: WallMs) -> Option<String> {
        self.on_time.first().filter(|(_, target, _)| *target <= now).map(|(_, _, id)| id.clone())
    }

    /// All messages that are due: first those that can start on time at once, then long overdue ones, then
    /// those that let a later one of their key start on time, then the remaining late ones.
    pub fn in_order(&self, now: WallMs) -> impl Iterator<Item = &String> {
        let at_once = self.on_time.iter().take_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let after_others = self.on_time.iter().skip_while(|(rank, _, _)| *rank == 0).map(|(_, _, id)| id);
        let long_overdue = self.late.iter().take_while(move |(at, _)| *at <= now);
        let other_late = self.late.iter().skip_while(move |(at, _)| *at <= now);
        at_once.chain(long_overdue.map(|(_, id)| id)).chain(after_others).chain(other_late.map(|(_, id)| id))
    }

    /// When the next message becomes due.
    pub fn next_due(&self) -> Option<WallMs> {
        self.not_due.first().map(|(at, _)| *at)
    }

    /// Number of messages, due or not.
    pub fn len(&self) -> usize {
        self.not_due.len() + self.on_time.len() + self.late.len()
    }
}
