//! Which message a store has for each operation: all requests of a tenant with one operation key are one message.
use crate::entry::Given;
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use std::collections::HashMap;

/// How far a message has come. Which of two messages of one operation stays is decided by it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    NotBegun,
    /// An attempt has failed.
    Attempted,
    Running,
    Ended,
}

/// What decides between two messages of one operation: the one that has come further stays, of those that have not begun
/// the one that was taken later. An owner takes a second one only where the first is on too few disks to have been
/// acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    progress: Progress,
    order: u64,
}

impl Precedence {
    fn live(attempts: u32, order: u64) -> Precedence {
        let progress = if attempts > 0 { Progress::Attempted } else { Progress::NotBegun };
        Precedence { progress, order }
    }
}

impl OwnedMessage {
    pub fn precedence(&self) -> Precedence {
        let order = self.envelope().order;
        match self.stage() {
            None => Precedence { progress: Progress::Ended, order },
            Some(Stage::Running) => Precedence { progress: Progress::Running, order },
            Some(Stage::Copying | Stage::Waiting) => Precedence::live(self.attempts, order),
        }
    }
}

impl Given {
    pub fn precedence(&self) -> Precedence {
        Precedence::live(self.attempts, self.message.envelope.order)
    }
}

/// The message of each operation, by its id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operations {
    messages: HashMap<TenantKey, String>,
}

impl Operations {
    pub fn get(&self, operation: &TenantKey) -> Option<&String> {
        self.messages.get(operation)
    }

    /// This message is the one of its operation from now on.
    pub fn set(&mut self, envelope: &Envelope) {
        if let Some(operation) = envelope.operation() {
            self.messages.insert(operation, envelope.id.clone());
        }
    }

    /// A message isn't owned any more.
    pub fn remove(&mut self, envelope: &Envelope) {
        let Some(operation) = envelope.operation() else { return };
        if self.messages.get(&operation) == Some(&envelope.id) {
            self.messages.remove(&operation);
        }
    }
}
