//! Which message a store has for each operation: all requests of a tenant with one operation key are one message.
use crate::entry::MessageTransfer;
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use std::collections::HashMap;

/// How far a message has come. Which of two messages of one operation stays is decided by it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    NotStarted,
    /// An attempt has failed.
    Attempted,
    Running,
    Finished,
}

/// What decides between two messages of one operation: the one that has come further stays, of those that have not begun
/// the one that was taken later. An owner takes a second one only where the first is on too few disks to have been
/// acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    progress: Progress,
    sequence: u64,
}

impl Precedence {
    fn live(attempts: u32, sequence: u64) -> Precedence {
        let progress = if attempts > 0 { Progress::Attempted } else { Progress::NotStarted };
        Precedence { progress, sequence }
    }
}

impl OwnedMessage {
    pub fn precedence(&self) -> Precedence {
        let sequence = self.envelope().sequence;
        match self.stage() {
            None => Precedence { progress: Progress::Finished, sequence },
            Some(Stage::Running) => Precedence { progress: Progress::Running, sequence },
            Some(Stage::Replicating | Stage::Waiting) => Precedence::live(self.attempts, sequence),
        }
    }
}

impl MessageTransfer {
    pub fn precedence(&self) -> Precedence {
        Precedence::live(self.attempts, self.message.envelope.sequence)
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
