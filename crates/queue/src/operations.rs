//! Index of messages by operation: all requests of a tenant with the same operation key are one message.
use crate::entry::MessageTransfer;
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use std::collections::HashMap;

/// Progress of a message, the first criterion of [`Precedence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    NotStarted,
    /// At least one attempt has failed.
    Attempted,
    Running,
    Finished,
}

/// Decides which of two messages of one operation is kept: the one that has progressed further or, at equal
/// progress, the one accepted later, which has the higher sequence number. An owner accepts a second one only
/// if the first is on too few disks to have been acknowledged.
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
    /// Precedence of an owned message over other messages of its operation.
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
    /// Precedence of a transferred message, which counts as not running.
    pub fn precedence(&self) -> Precedence {
        Precedence::live(self.attempts, self.message.envelope.sequence)
    }
}

/// Maps each operation to the id of its message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operations {
    messages: HashMap<TenantKey, String>,
}

impl Operations {
    /// The id of the message of an operation.
    pub fn get(&self, operation: &TenantKey) -> Option<&String> {
        self.messages.get(operation)
    }

    /// Records this message as the one that is kept for its operation.
    pub fn set(&mut self, envelope: &Envelope) {
        if let Some(operation) = envelope.operation() {
            self.messages.insert(operation, envelope.id.clone());
        }
    }

    /// Removes a message that is no longer owned.
    pub fn remove(&mut self, envelope: &Envelope) {
        let Some(operation) = envelope.operation() else { return };
        if self.messages.get(&operation) == Some(&envelope.id) {
            self.messages.remove(&operation);
        }
    }
}
