//! Resolves duplicates: of several messages of one operation, a queue keeps one.
use crate::entry::MessageTransfer;
use crate::message::{Envelope, TenantKey};
use crate::owned::OwnedMessage;
use crate::state::Queue;
use std::collections::BTreeMap;

impl Queue {
    /// The message, finished or not, that is owned here for an operation.
    pub fn message_of_operation(&self, operation: &TenantKey) -> Option<&OwnedMessage> {
        self.owned(self.operations().get(operation)?)
    }

    /// Another message of the same operation that is owned here.
    pub fn duplicate_of(&self, envelope: &Envelope) -> Option<&OwnedMessage> {
        let owned = self.message_of_operation(&envelope.operation()?)?;
        (owned.id() != envelope.id).then_some(owned)
    }

    /// Completes recovery after all records were applied: of several messages of one operation, relinquishes
    /// those that have not started and lack precedence. Returns their ids.
    pub fn relinquish_duplicates(&mut self) -> Vec<String> {
        self.index_operations();
        let superseded = |owned: &&OwnedMessage| {
            let duplicate = self.duplicate_of(owned.envelope());
            duplicate.is_some_and(|duplicate| duplicate.precedence() > owned.precedence())
        };
        let ids: Vec<String> =
            self.all_owned().filter(superseded).map(|owned| owned.id().to_string()).collect();
        // The monotonic clock starts with the process.
        ids.into_iter().filter(|id| self.relinquish(id, 0)).collect()
    }
}

/// The outcome of [`resolve_duplicates`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resolution {
    /// Messages to take ownership of.
    pub to_adopt: Vec<MessageTransfer>,
    /// Ids of the given messages that another message of their operation supersedes.
    pub superseded: Vec<String>,
    /// Ids of owned messages that one of the given messages supersedes.
    pub displaced: Vec<String>,
}

/// Decides for each operation which of its messages is kept, among the given ones and those owned here.
pub fn resolve_duplicates(queue: &Queue, transfers: Vec<MessageTransfer>) -> Resolution {
    let mut resolution = Resolution::default();
    let mut best: BTreeMap<TenantKey, MessageTransfer> = BTreeMap::new();
    for transfer in transfers {
        let Some(operation) = transfer.message.envelope.operation() else {
            resolution.to_adopt.push(transfer);
            continue;
        };
        let prevails = match best.remove(&operation) {
            Some(other) => resolution.prevailing(other, transfer),
            None => transfer,
        };
        best.insert(operation, prevails);
    }
    for transfer in best.into_values() {
        match queue.duplicate_of(&transfer.message.envelope) {
            Some(duplicate) if duplicate.precedence() >= transfer.precedence() => {
                resolution.superseded.push(transfer.message.id().to_string());
                continue;
            }
            Some(duplicate) => resolution.displaced.push(duplicate.id().to_string()),
            None => {}
        }
        resolution.to_adopt.push(transfer);
    }
    resolution
}

impl Resolution {
    /// Returns the message with precedence of two messages of an operation; the other one is superseded.
    fn prevailing(&mut self, one: MessageTransfer, other: MessageTransfer) -> MessageTransfer {
        if one.message.id() == other.message.id() {
            return one;
        }
        let (prevails, yields) = match one.precedence() >= other.precedence() {
            true => (one, other),
            false => (other, one),
        };
        self.superseded.push(yields.message.id().to_string());
        prevails
    }
}
