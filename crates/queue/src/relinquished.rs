//! Messages that this store has relinquished to other stores.
use std::collections::HashMap;

/// Ids of relinquished messages. A listed message is owned by another store, so this list and the messages
/// owned here have no id in common: [`crate::Queue`] removes an id when it becomes the owner again.
#[derive(Debug, Default)]
pub(crate) struct Relinquished {
    /// When each message was relinquished, in milliseconds of the process's monotonic clock.
    at_ms: HashMap<String, u64>,
}

impl Relinquished {
    /// Lists a message from now on.
    pub fn insert(&mut self, id: &str, now_ms: u64) {
        self.at_ms.insert(id.to_string(), now_ms);
    }

    /// Removes a message that this store owns again.
    pub fn remove(&mut self, id: &str) {
        self.at_ms.remove(id);
    }

    /// Whether a message is listed.
    pub fn contains(&self, id: &str) -> bool {
        self.at_ms.contains_key(id)
    }

    /// Number of listed messages.
    pub fn len(&self) -> usize {
        self.at_ms.len()
    }

    /// Removes the messages that were listed `ttl_ms` ago or earlier.
    pub fn expire(&mut self, now_ms: u64, ttl_ms: u64) {
        self.at_ms.retain(|_, at_ms| now_ms < *at_ms + ttl_ms);
    }
}
