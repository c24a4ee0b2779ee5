//! Messages are taken: a store has each on its disk, and as many others as may be lost, before it says so.
use super::races::{Asked, LeftBecause};
use super::Store;
use crate::calls::{PutAnswer, Refusal};
use futures_channel::oneshot;
use net::runtime;
use queue::{Entry, Envelope, Message};
use std::rc::Rc;
use std::time::Duration;

/// A disk that has been at one batch for so long doesn't keep up.
const DISK_LAG: Duration = Duration::from_millis(250);
/// After a failure of the disk.
const PAUSE: Duration = Duration::from_millis(150);
/// With less of the ring free, nothing is taken.
const FULL_BELOW: f64 = 0.1;
/// Share of the process's memory that messages may take.
const MEMORY_SHARE: f64 = 0.4;

impl Store {
    /// Why a message isn't taken.
    fn refusal(&self, envelope: &Envelope) -> Option<Refusal> {
        self.refusal_of_key(envelope).or_else(|| self.refusal_to_take(envelope))
    }

    /// Why this store can say nothing about a message: nothing is taken any more, or what it is bound to is another store's
    /// to decide, or this one's only once it has all that it takes over.
    pub(super) fn refusal_of_key(&self, envelope: &Envelope) -> Option<Refusal> {
        if self.paused.get() {
            return Some(Refusal::Stopping);
        }
        let key = envelope.partition_key()?;
        let owner = self.known.stores().owner(key.digest()).map(|store| store.disk);
        let decides = owner == Some(self.disk) && self.knows_operations();
        (!decides).then_some(Refusal::NotOwner)
    }

    /// Why a message isn't taken that could be.
    pub(super) fn refusal_to_take(&self, envelope: &Envelope) -> Option<Refusal> {
        if self.leaving.get() && envelope.partition_key().is_none() {
            return Some(Refusal::Stopping);
        }
        if self.has_left(&envelope.id) {
            return Some(Refusal::NotOwner);
        }
        if self.settled_copiers().len() < self.tolerance.copies() {
            return Some(Refusal::NoCopy);
        }
        let full = self.log.lag() > DISK_LAG || self.log.free_share() < FULL_BELOW || self.is_memory_full();
        full.then_some(Refusal::Full)
    }

    fn is_memory_full(&self) -> bool {
        let most = (self.settings.limits.memory_mb as f64 * MEMORY_SHARE * 1_048_576.0) as usize;
        self.queue.borrow().body_bytes() > most
    }

    fn next_order(&self) -> u64 {
        let epoch = self.known.stores().epoch << 32;
        let order = (self.last_order.get() + 1).max(epoch);
        self.last_order.set(order);
        order
    }

    /// Answers an edge that hands in a message.
    pub(super) async fn put(self: &Rc<Self>, message: Message) -> PutAnswer {
        if let Some(operation) = message.envelope.operation() {
            return self.put_once(operation, message).await;
        }
        match self.refusal(&message.envelope) {
            Some(refusal) => PutAnswer::Refused(refusal),
            None => self.count_and_take(message).await,
        }
    }

    async fn count_and_take(self: &Rc<Self>, message: Message) -> PutAnswer {
        match self.refusal_once_counted(&message).await {
            Some(refusal) => PutAnswer::Refused(refusal),
            None => self.take(message).await,
        }
    }

    /// Counts a message against its tenant's quota; why it isn't to be taken after that, if it isn't.
    pub(super) async fn refusal_once_counted(self: &Rc<Self>, message: &Message) -> Option<Refusal> {
        self.taking.set(self.taking.get() + 1);
        let counted = self.count(message).await;
        self.taking.set(self.taking.get() - 1);
        // Whether the message is this store's to take may have changed meanwhile.
        counted.err().or_else(|| self.refusal(&message.envelope))
    }

    /// Takes a message: it is taken once it is on this disk and on as many others as may be lost.
    pub(super) async fn take(self: &Rc<Self>, mut message: Message) -> PutAnswer {
        let id = message.id().to_string();
        Rc::make_mut(&mut message.envelope).sequence = self.next_order();
        let entry = Entry::Message { owner: self.disk, message: message.clone() };
        if !self.queue.borrow_mut().add(message.clone()) {
            return PutAnswer::Unclear;
        }
        self.taking.set(self.taking.get() + 1);
        let (store, copy_id, copy_entry) = (self.clone(), id.clone(), entry.clone());
        let (done, copied) = oneshot::channel();
        runtime::spawn(async move {
            store.copy_enough(&copy_id, &copy_entry, Store::placement_to_take).await;
            let _ = done.send(());
        });
        let written = self.log.write(std::slice::from_ref(&entry)).await;
        let _ = copied.await;
        if !written {
            // Others have it, and a repeat of its operation waits for it: it is taken once the disk can be written.
            runtime::spawn(self.clone().accept_once_written(message, entry));
            return PutAnswer::Unclear;
        }
        if self.queue.borrow().owned(&id).is_none() {
            // Another message of its operation has come from a store that held it, and stays.
            self.taking.set(self.taking.get() - 1);
            return PutAnswer::Unclear;
        }
        runtime::spawn(self.clone().accept(message));
        PutAnswer::Taken { id }
    }

    async fn accept_once_written(self: Rc<Self>, message: Message, entry: Entry) {
        while !self.log.write(std::slice::from_ref(&entry)).await {
            runtime::sleep(PAUSE).await;
        }
        self.accept(message).await;
    }

    /// A message is safe: it may run, unless a store that was given it before has begun with it.
    pub async fn accept(self: Rc<Self>, message: Message) {
        match self.ask_to_leave(&message).await {
            Asked::Left { silent } => {
                self.queue.borrow_mut().mark_replicated(message.id());
                silent.into_iter().for_each(|disk| self.require_comparison(disk));
                // What was recovered or adopted may have fewer copies than it should.
                if self.missing_copies(message.id(), &self.placement()) > 0 {
                    self.needs_repair.set(true);
                }
            }
            Asked::Begun => self.leave_to_others(vec![message.id().to_string()], LeftBecause::Begun),
        }
        self.taking.set(self.taking.get() - 1);
        self.reservations.look_again();
        self.work.notify();
    }
}
