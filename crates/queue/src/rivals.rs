//! Of several messages of one operation one stays: what a queue decides about those that it has and those that it is given.
use crate::entry::Given;
use crate::message::{Envelope, TenantKey};
use crate::owned::OwnedMessage;
use crate::view::Queue;
use std::collections::BTreeMap;

impl Queue {
    /// The message that is owned here for an operation, live or ended.
    pub fn of_operation(&self, operation: &TenantKey) -> Option<&OwnedMessage> {
        self.owned(self.operations().get(operation)?)
    }

    /// Another message of the same operation that is owned here.
    pub fn rival(&self, envelope: &Envelope) -> Option<&OwnedMessage> {
        let known = self.of_operation(&envelope.operation()?)?;
        (known.id() != envelope.id).then_some(known)
    }

    /// After all records were folded: leaves the messages that have not begun, of each operation all but the one that stays.
    /// Tells their ids.
    pub fn settle_operations(&mut self) -> Vec<String> {
        self.index_operations();
        let superseded = |owned: &&OwnedMessage| {
            let rival = self.rival(owned.envelope());
            rival.is_some_and(|rival| rival.precedence() > owned.precedence())
        };
        let ids: Vec<String> =
            self.all_owned().filter(superseded).map(|owned| owned.id().to_string()).collect();
        ids.into_iter().filter(|id| self.leave(id)).collect()
    }
}

/// Messages that a store may come to own, parted by what it has of their operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// To be owned.
    pub open: Vec<Given>,
    /// Another message of their operation stays.
    pub superseded: Vec<String>,
    /// Own messages that go, since one of the given ones stays.
    pub displaced: Vec<String>,
}

/// Decides for each operation which one of its messages stays.
pub fn settle(queue: &Queue, given: Vec<Given>) -> Settled {
    let mut settled = Settled::default();
    let mut best: BTreeMap<TenantKey, Given> = BTreeMap::new();
    for given in given {
        let Some(operation) = given.message.envelope.operation() else {
            settled.open.push(given);
            continue;
        };
        let stays = match best.remove(&operation) {
            Some(other) => settled.stronger(other, given),
            None => given,
        };
        best.insert(operation, stays);
    }
    for given in best.into_values() {
        match queue.rival(&given.message.envelope) {
            Some(rival) if rival.precedence() >= given.precedence() => {
                settled.superseded.push(given.message.id().to_string());
                continue;
            }
            Some(rival) => settled.displaced.push(rival.id().to_string()),
            None => {}
        }
        settled.open.push(given);
    }
    settled
}

impl Settled {
    /// The one of two messages of an operation that stays; the other is superseded.
    fn stronger(&mut self, one: Given, other: Given) -> Given {
        if one.message.id() == other.message.id() {
            return one;
        }
        let (stays, goes) = match one.precedence() >= other.precedence() {
            true => (one, other),
            false => (other, one),
        };
        self.superseded.push(goes.message.id().to_string());
        stays
    }
}
