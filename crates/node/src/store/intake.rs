//! Accepts messages: a message is acknowledged once it is on this disk and on as many others as the
//! tolerance requires.
use super::relinquish::{RelinquishReason, RelinquishResponse};
use super::Store;
use crate::calls::{PutAnswer, Refusal};
use futures_channel::oneshot;
use net::runtime;
use queue::{Entry, Envelope, Message};
use std::rc::Rc;
use std::time::Duration;

/// If the disk has worked on one batch for this long, the store counts as overloaded.
const MAX_DISK_LAG: Duration = Duration::from_millis(250);
/// Delay after a failed write to the disk.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum share of free ring files; below it no message is accepted.
const MIN_FREE_RING_SHARE: f64 = 0.1;
/// Share of the process memory that messages may use.
const MAX_MEMORY_SHARE: f64 = 0.4;

impl Store {
    /// Why a message can't be accepted, if so.
    fn refusal(&self, envelope: &Envelope) -> Option<Refusal> {
        self.key_refusal(envelope).or_else(|| self.acceptance_refusal(envelope))
    }

    /// Why this store can't decide about a message: it is paused, another store owns the key's partition,
    /// or this store hasn't yet collected all that it takes over.
    pub(super) fn key_refusal(&self, envelope: &Envelope) -> Option<Refusal> {
        if self.paused.get() {
            return Some(Refusal::Stopping);
        }
        let key = envelope.partition_key()?;
        let owner = self.cluster.stores().owner(key.digest()).map(|store| store.disk);
        let decides = owner == Some(self.disk) && self.can_decide_operations();
        (!decides).then_some(Refusal::NotOwner)
    }

    /// Why a message can't be accepted although this store may decide about it.
    pub(super) fn acceptance_refusal(&self, envelope: &Envelope) -> Option<Refusal> {
        if self.draining.get() && envelope.partition_key().is_none() {
            return Some(Refusal::Stopping);
        }
        if self.has_relinquished(&envelope.id) {
            return Some(Refusal::NotOwner);
        }
        if self.ready_replicators().len() < self.tolerance.copies() {
            return Some(Refusal::NoCopy);
        }
        let full = self.log.current_batch_age() > MAX_DISK_LAG
            || self.log.free_share() < MIN_FREE_RING_SHARE
            || self.is_memory_full();
        full.then_some(Refusal::Full)
    }

    fn is_memory_full(&self) -> bool {
        let max_bytes = (self.settings.limits.memory_mb as f64 * MAX_MEMORY_SHARE * 1_048_576.0) as usize;
        self.queue.borrow().body_bytes() > max_bytes
    }

    fn next_sequence(&self) -> u64 {
        let epoch = self.cluster.stores().epoch << 32;
        let sequence = (self.last_sequence.get() + 1).max(epoch);
        self.last_sequence.set(sequence);
        sequence
    }

    /// Answers an edge that sends a message.
    pub(super) async fn put(self: &Rc<Self>, message: Message) -> PutAnswer {
        if let Some(operation) = message.envelope.operation() {
            return self.put_idempotent(operation, message).await;
        }
        match self.refusal(&message.envelope) {
            Some(refusal) => PutAnswer::Refused(refusal),
            None => self.count_and_accept(message).await,
        }
    }

    async fn count_and_accept(self: &Rc<Self>, message: Message) -> PutAnswer {
        match self.count_and_check(&message).await {
            Some(refusal) => PutAnswer::Refused(refusal),
            None => self.accept_message(message).await,
        }
    }

    /// Counts a message against its tenant's quota; returns the reason if it can't be accepted after that.
    pub(super) async fn count_and_check(self: &Rc<Self>, message: &Message) -> Option<Refusal> {
        self.pending_accepts.set(self.pending_accepts.get() + 1);
        let counted = self.count(message).await;
        self.pending_accepts.set(self.pending_accepts.get() - 1);
        // Meanwhile another store may have become responsible for the message.
        counted.err().or_else(|| self.refusal(&message.envelope))
    }

    /// Accepts a message: writes it to this disk and copies it to as many other stores as the tolerance
    /// requires.
    pub(super) async fn accept_message(self: &Rc<Self>, mut message: Message) -> PutAnswer {
        let id = message.id().to_string();
        Rc::make_mut(&mut message.envelope).sequence = self.next_sequence();
        let entry = Entry::Message { owner: self.disk, message: message.clone() };
        if !self.queue.borrow_mut().add(message.clone()) {
            return PutAnswer::Unclear;
        }
        self.pending_accepts.set(self.pending_accepts.get() + 1);
        let (store, copy_id, copy_entry) = (self.clone(), id.clone(), entry.clone());
        let (done, copied) = oneshot::channel();
        runtime::spawn(async move {
            store.ensure_copies(&copy_id, &copy_entry, Store::acceptance_placement).await;
            let _ = done.send(());
        });
        let written = self.log.write(std::slice::from_ref(&entry)).await;
        let _ = copied.await;
        if !written {
            // Other stores hold a copy, and repeats of its operation wait for it, so the write is retried
            // until it succeeds.
            runtime::spawn(self.clone().activate_once_written(message, entry));
            return PutAnswer::Unclear;
        }
        if self.queue.borrow().owned(&id).is_none() {
            // Another message of the same operation arrived from a store that held it, and takes
            // precedence.
            self.pending_accepts.set(self.pending_accepts.get() - 1);
            return PutAnswer::Unclear;
        }
        runtime::spawn(self.clone().activate(message));
        PutAnswer::Taken { id }
    }

    async fn activate_once_written(self: Rc<Self>, message: Message, entry: Entry) {
        while !self.log.write(std::slice::from_ref(&entry)).await {
            runtime::sleep(RETRY_DELAY).await;
        }
        self.activate(message).await;
    }

    /// Releases an accepted message for delivery, unless another store that received it has started to
    /// deliver it.
    pub async fn activate(self: Rc<Self>, message: Message) {
        match self.request_relinquish(&message).await {
            RelinquishResponse::Relinquished { unanswered } => {
                self.queue.borrow_mut().mark_replicated(message.id());
                unanswered.into_iter().for_each(|disk| self.require_reconciliation(disk));
                // A recovered or adopted message may lack copies.
                if self.missing_copies(message.id(), &self.placement()) > 0 {
                    self.needs_repair.set(true);
                }
            }
            RelinquishResponse::Started => {
                self.relinquish(vec![message.id().to_string()], RelinquishReason::StartedElsewhere)
            }
        }
        self.pending_accepts.set(self.pending_accepts.get() - 1);
        self.reservations.notify_changed();
        self.delivery_wake.notify();
    }
}
