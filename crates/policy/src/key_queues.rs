//! Order by key: a queue of members for each key, and pauses between them. Independent of senders.
use crate::api::Ns;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct KeyQueue {
    members: VecDeque<u64>,
    paused_until: Ns,
}

#[derive(Debug, Default)]
pub struct KeyQueues {
    keys: BTreeMap<u64, KeyQueue>,
}

impl KeyQueues {
    /// Appends a member to the queue of a key.
    pub fn push(&mut self, key: u64, member: u64) {
        self.keys.entry(key).or_default().members.push_back(member);
    }

    /// Removes a member from its key's queue.
    pub fn remove(&mut self, key: u64, member: u64, now: Ns) {
        let Some(queue) = self.keys.get_mut(&key) else { return };
        queue.members.retain(|&queued| queued != member);
        if queue.members.is_empty() && queue.paused_until <= now {
            self.keys.remove(&key);
        }
    }

    /// Until when the key is paused, if the member is first in its queue.
    pub fn turn_starts_at(&self, key: u64, member: u64) -> Option<Ns> {
        self.keys
            .get(&key)
            .filter(|queue| queue.members.front() == Some(&member))
            .map(|queue| queue.paused_until)
    }

    pub fn pause(&mut self, key: u64, until: Ns) {
        self.keys.get_mut(&key).into_iter().for_each(|queue| queue.paused_until = until);
    }

    /// Removes keys whose queue is empty and whose pause is over.
    pub fn prune(&mut self, now: Ns) {
        self.keys.retain(|_, queue| !queue.members.is_empty() || queue.paused_until > now);
    }
}
