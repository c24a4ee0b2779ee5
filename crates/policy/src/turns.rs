//! Order by key: who is first of each key, and until when a key rests. Nothing here knows of senders.
use crate::api::Ns;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct Turn {
    queue: VecDeque<u64>,
    rest_until: Ns,
}

#[derive(Debug, Default)]
pub struct Turns {
    keys: BTreeMap<u64, Turn>,
}

impl Turns {
    /// Queues up behind all others of a key.
    pub fn join(&mut self, key: u64, member: u64) {
        self.keys.entry(key).or_default().queue.push_back(member);
    }

    /// Takes a member out of its key's queue.
    pub fn leave(&mut self, key: u64, member: u64, now: Ns) {
        let Some(turn) = self.keys.get_mut(&key) else { return };
        turn.queue.retain(|&queued| queued != member);
        if turn.queue.is_empty() && turn.rest_until <= now {
            self.keys.remove(&key);
        }
    }

    /// Until when a key rests, if a member is the first of it.
    pub fn first_after(&self, key: u64, member: u64) -> Option<Ns> {
        self.keys.get(&key).filter(|turn| turn.queue.front() == Some(&member)).map(|turn| turn.rest_until)
    }

    pub fn rest(&mut self, key: u64, until: Ns) {
        self.keys.get_mut(&key).into_iter().for_each(|turn| turn.rest_until = until);
    }

    /// Drops keys that nobody queues for and that have rested.
    pub fn forget(&mut self, now: Ns) {
        self.keys.retain(|_, turn| !turn.queue.is_empty() || turn.rest_until > now);
    }
}
