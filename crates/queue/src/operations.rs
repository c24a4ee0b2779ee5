//! Which message a store has for each operation: all requests of a tenant with one operation key are one message.
use crate::entry::Given;
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use crate::view::Queue;
use std::collections::{BTreeMap, HashMap};

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
