//! Of several messages of one operation one stays: what a queue decides about those that it has and those that it is given.
use crate::entry::MessageTransfer;
use crate::message::{Envelope, TenantKey};
use crate::owned::OwnedMessage;
use crate::state::Queue;
use std::collections::BTreeMap;

impl Queue {
    /// The message that is owned here for an operation, live or ended.
    pub fn message_of_operation(&self, operation: &TenantKey) -> Option<&OwnedMessage> {
        self.owned(self.operations().get(operation)?)
    }

    /// Another message of the same operation that is owned here.
    pub fn duplicate_of(&self, envelope: &Envelope) -> Option<&OwnedMessage> {
        let owned = self.message_of_operation(&envelope.operation()?)?;
        (owned.id() != envelope.id).then_some(owned)
    }

    /// After all records were folded: leaves the messages that have not begun, of each operation all but the one that stays.
    /// Tells their ids.
    pub fn relinquish_duplicates(&mut self) -> Vec<String> {
        self.index_operations();
        let superseded = |owned: &&OwnedMessage| {
            let duplicate = self.duplicate_of(owned.envelope());
            duplicate.is_some_and(|duplicate| duplicate.precedence() > owned.precedence())
        };
        let ids: Vec<String> =
            self.all_owned().filter(superseded).map(|owned| owned.id().to_string()).collect();
        ids.into_iter().filter(|id| self.relinquish(id)).collect()
    }
}

/// Messages that a store may come to own, parted by what it has of their operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resolution {
    /// To be owned.
    pub to_adopt: Vec<MessageTransfer>,
    /// Another message of their operation stays.
    pub superseded: Vec<String>,
    /// Own messages that go, since one of the given ones stays.
    pub displaced: Vec<String>,
}

/// Decides for each operation which one of its messages stays.
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
    /// The one of two messages of an operation that stays; the other is superseded.
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
