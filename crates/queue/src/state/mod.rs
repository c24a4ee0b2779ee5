//! The queue: the state of all messages after the log records have been applied.
mod held;

use crate::entry::{Entry, FinishedTransfer};
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::{Envelope, Message};
use crate::operations::Operations;
use crate::owned::{OwnedMessage, Stage};
use crate::relinquished::Relinquished;
use crate::replicas::Replicas;
use crate::routing::{MessageRoute, Routing};
use crate::schedule::{Messages, Schedule};
use crate::WallMs;
use settings::{Configuration, RouteKey};
use std::collections::BTreeSet;
use std::rc::Rc;

pub use held::HeldIds;

/// Number of messages in a store, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Waiting to run, or not replicated enough yet.
    pub waiting: usize,
    /// Being delivered to an endpoint.
    pub running: usize,
    /// Finished, with a record still kept.
    pub finished: usize,
    /// Unfinished messages held for other stores.
    pub replicas: usize,
}

/// All messages of one store.
#[derive(Default)]
pub struct Queue {
    disk: u64,
    owned: Messages,
    /// Total size of the bodies of owned messages.
    owned_bytes: usize,
    schedule: Schedule,
    routing: Routing,
    operations: Operations,
    replicas: Replicas,
    /// Disks of stores that were declared lost.
    fenced: BTreeSet<u64>,
    /// Disks of lost stores whose messages this store has taken over.
    taken_over: BTreeSet<u64>,
    relinquished: Relinquished,
}

impl Queue {
    /// An empty queue for the store with this disk.
    pub fn new(disk: u64) -> Queue {
        Queue { disk, ..Queue::default() }
    }

    /// Applies one record that was read from the log at startup. Every message in the log counts as accepted,
    /// because its sender may have received an acknowledgement.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Disk(disk) => self.disk = disk,
            Entry::Message { owner, message } if owner == self.disk => self.replay_owned(message),
            Entry::Message { owner, message } => self.keep_replica(owner, message),
            Entry::FinishedMessage { owner, transfer } if owner == self.disk => {
                self.replay_finished(transfer)
            }
            Entry::FinishedMessage { owner, transfer } => self.keep_finished(owner, transfer),
            Entry::AttemptFailed { id, attempts } => self.record_attempts(&id, attempts),
            Entry::Finished(final_record) => drop(self.finish(final_record)),
            Entry::CallbackDone { id } => self.mark_callback_done(&id),
            Entry::Dropped { owner, id } if owner == self.disk => {
                // The monotonic clock starts with the process.
                if !self.relinquish(&id, 0) {
                    self.note_relinquished(&id, 0);
                }
            }
            Entry::Dropped { owner, id } => self.drop_replica(owner, &id),
            Entry::Fenced { disk } => self.fence(disk),
            Entry::TakenOver { disk } => self.mark_taken_over(disk),
        }
    }

    fn replay_owned(&mut self, message: Message) {
        match self.replicas.final_record_of(message.id()) {
            Some(final_record) => {
                let callback_done = message.envelope.callback.is_none();
                let finished = FinishedMessage::new(message, final_record);
                self.adopt_finished(FinishedTransfer { finished, callback_done });
            }
            None => drop(self.add(message)),
        }
    }

    /// Applies the record of a finished message that this store owns. Its outcome is kept even if nothing else of
    /// it has to be: a holder that missed the outcome may still list the message as unfinished.
    fn replay_finished(&mut self, transfer: FinishedTransfer) {
        let id = transfer.finished.id().to_string();
        if self.owned.contains_key(&id) {
            self.adopt_finished(transfer);
            return;
        }
        let callback_done = transfer.callback_done || self.replicas.is_callback_done(&id);
        self.insert_finished(transfer.finished, callback_done);
    }

    /// Completes recovery after all records were applied: makes the messages owned here runnable. Returns the
    /// messages that were also sent to other stores; they stay in [`Stage::Replicating`] until those stores
    /// relinquish them.
    pub fn finish_recovery(&mut self) -> Vec<Message> {
        let replicating = self.owned.values().filter(|owned| owned.stage() == Some(Stage::Replicating));
        let (contested, mut uncontested): (Vec<Message>, Vec<Message>) = replicating
            .filter_map(OwnedMessage::live_message)
            .cloned()
            .partition(|message| !message.envelope.also_sent_to.is_empty());
        uncontested.sort_by_key(|message| message.envelope.sequence);
        uncontested.iter().for_each(|message| self.mark_replicated(message.id()));
        contested
    }

    /// The highest sequence number of an owned message, or 0 if there is none.
    pub fn highest_sequence(&self) -> u64 {
        self.owned.values().map(|owned| owned.envelope().sequence).max().unwrap_or(0)
    }

    /// Identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Adds a message that this store owns. It does not run before [`Queue::mark_replicated`]. Returns false
    /// if the message is already known.
    pub fn add(&mut self, message: Message) -> bool {
        let id = message.id().to_string();
        if self.owned.contains_key(&id) || self.replicas.is_finished(&id) {
            return false;
        }
        let replica_owners = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::live(message, replica_owners));
        true
    }

    fn insert(&mut self, id: String, mut owned: OwnedMessage) {
        self.owned_bytes += owned.body_bytes();
        owned.route = self.routing.route_of(owned.envelope(), &MessageRoute::Unknown);
        let duplicate = self.duplicate_of(owned.envelope());
        if duplicate.is_none_or(|duplicate| duplicate.precedence() < owned.precedence()) {
            self.operations.set(owned.envelope());
        }
        self.relinquished.remove(&id);
        self.owned.insert(id, owned);
    }

    pub(crate) fn operations(&self) -> &Operations {
        &self.operations
    }

    /// Rebuilds the index of operations. Any record may have changed which message of an operation takes
    /// precedence.
    pub(crate) fn index_operations(&mut self) {
        let mut by_precedence: Vec<&OwnedMessage> = self.owned.values().collect();
        by_precedence.sort_by_key(|owned| owned.precedence());
        let mut operations = Operations::default();
        by_precedence.iter().for_each(|owned| operations.set(owned.envelope()));
        self.operations = operations;
    }

    /// Marks a message as replicated on enough disks: it may run, after the earlier messages of its ordering
    /// key.
    pub fn mark_replicated(&mut self, id: &str) {
        let replicated =
            self.owned.get_mut(id).is_some_and(|o| o.advance(Stage::Replicating, Stage::Waiting));
        if replicated {
            self.schedule.add(&mut self.owned, id);
        }
    }

    /// Applies a newer configuration: each message goes on waiting on the route that it was accepted on.
    pub fn apply_configuration(&mut self, configuration: &Configuration) {
        self.routing.apply(configuration);
        let mut moved = Vec::new();
        for owned in self.owned.values_mut().filter(|owned| owned.is_live()) {
            let route = self.routing.route_of(owned.envelope(), &owned.route);
            if route.key() != owned.route.key() {
                moved.push(owned.id().to_string());
            }
            owned.route = route;
        }
        for id in moved {
            self.schedule.unschedule(&mut self.owned, &id);
            self.schedule.move_to_route(&mut self.owned, &id);
        }
    }

    /// The next message of a route to run among those that `may_run` allows. Messages that can still start
    /// within their target time come first, then late ones in order.
    pub fn next(
        &mut self,
        route: &RouteKey,
        now: WallMs,
        may_run: impl Fn(&Envelope) -> bool,
    ) -> Option<String> {
        self.schedule.next(&mut self.owned, route, now, may_run)
    }

    /// Routes with waiting messages, due or not.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteKey>> {
        self.schedule.routes()
    }

    /// When the next message that is not due yet becomes due.
    pub fn next_due(&self) -> Option<WallMs> {
        self.schedule.next_due()
    }

    /// Number of waiting messages of a route, due or not. Of messages with an ordering key, only the first of
    /// each key counts.
    pub fn backlog(&self, route: &RouteKey) -> usize {
        self.schedule.backlog(route)
    }

    /// Marks a message as being delivered to an endpoint. Returns it, or `None` if it is not waiting.
    pub fn start(&mut self, id: &str) -> Option<Message> {
        self.schedule.unschedule(&mut self.owned, id);
        let owned = self.owned.get_mut(id)?;
        let started = owned.advance(Stage::Waiting, Stage::Running);
        owned.live_message().filter(|_| started).cloned()
    }

    /// Returns a running message to the waiting ones after a delivery that did not finish it. It is not
    /// started again before `not_before`.
    pub fn retry(&mut self, id: &str, attempts: u32, not_before: WallMs) {
        let Some(owned) = self.owned.get_mut(id) else { return };
        if !owned.advance(Stage::Running, Stage::Waiting) {
            return;
        }
        owned.attempts = owned.attempts.max(attempts);
        owned.not_before = not_before;
        self.schedule.schedule_at_due(&mut self.owned, id);
    }

    /// Records how many delivery attempts of a message, owned or held for another store, have failed.
    pub fn record_attempts(&mut self, id: &str, attempts: u32) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.attempts = owned.attempts.max(attempts);
        } else if let Some(replica) = self.replicas.live_mut(id) {
            replica.attempts = replica.attempts.max(attempts);
        }
    }

    /// Records that a message has finished. Returns false if the message had finished before or is unknown.
    pub fn finish(&mut self, final_record: FinalRecord) -> bool {
        let id = final_record.id.clone();
        let Some(owned) = self.owned.get_mut(&id) else { return self.replicas.finish(final_record) };
        let before = owned.body_bytes();
        if !owned.finish(final_record) {
            return false;
        }
        self.owned_bytes = self.owned_bytes + owned.body_bytes() - before;
        let envelope = owned.envelope().clone();
        self.schedule.remove(&mut self.owned, &envelope);
        true
    }

    /// Takes ownership of a finished message from the store that owned it, along with any pending callback.
    /// Returns false if it had finished here already, or if nothing of it has to be retained.
    pub fn adopt_finished(&mut self, transfer: FinishedTransfer) -> bool {
        let id = transfer.finished.id().to_string();
        let callback_done = transfer.callback_done || self.replicas.is_callback_done(&id);
        if self.owned.contains_key(&id) {
            let newly_finished = self.finish(transfer.finished.final_record());
            if newly_finished && callback_done {
                self.mark_callback_done(&id);
            }
            return newly_finished;
        }
        let nothing_pending = callback_done && !transfer.finished.must_be_retained();
        if nothing_pending {
            return false;
        }
        self.insert_finished(transfer.finished, callback_done);
        true
    }

    fn insert_finished(&mut self, finished: FinishedMessage, callback_done: bool) {
        let id = finished.id().to_string();
        let replica_owners = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::finished(finished, !callback_done, replica_owners));
    }

    /// Gives up ownership of a message that has not started, so that another store can own it, and notes
    /// that. A replica stays for the stores in [`OwnedMessage::replica_owners`]. Returns false if the message
    /// has started or is not owned here.
    pub fn relinquish(&mut self, id: &str, now_ms: u64) -> bool {
        let stage = self.owned.get(id).and_then(OwnedMessage::stage);
        if !matches!(stage, Some(Stage::Replicating | Stage::Waiting)) {
            return false;
        }
        self.schedule.unschedule(&mut self.owned, id);
        let Some(owned) = self.owned.remove(id) else { return false };
        self.owned_bytes -= owned.body_bytes();
        self.schedule.remove(&mut self.owned, owned.envelope());
        self.operations.remove(owned.envelope());
        if let Some(message) = owned.live_message() {
            owned.replica_owners.iter().for_each(|owner| self.keep_replica(*owner, message.clone()));
        }
        self.note_relinquished(id, now_ms);
        true
    }

    /// Notes that a message that may still arrive here is left to another store. Returns false if it is owned
    /// here: it has arrived, and only [`Queue::relinquish`] can give it up.
    pub fn note_relinquished(&mut self, id: &str, now_ms: u64) -> bool {
        if self.owned.contains_key(id) {
            return false;
        }
        self.relinquished.insert(id, now_ms);
        true
    }

    /// Whether a message was relinquished to another store and has not become owned here since.
    pub fn has_relinquished(&self, id: &str) -> bool {
        self.relinquished.contains(id)
    }

    /// Number of messages that are noted as relinquished.
    pub fn relinquished_count(&self) -> usize {
        self.relinquished.len()
    }

    /// Forgets messages that were relinquished `ttl_ms` ago or earlier.
    pub fn expire_relinquished(&mut self, now_ms: u64, ttl_ms: u64) {
        self.relinquished.expire(now_ms, ttl_ms);
    }

    /// Messages accepted here that had also been sent to the store with this disk, whose answer was unclear.
    pub fn accepted_also_sent_to(&self, disk: u64) -> Vec<String> {
        let accepted = self.owned.values().filter(|owned| owned.stage() != Some(Stage::Replicating));
        let also_sent = accepted.filter(|owned| owned.envelope().also_sent_to.contains(&disk));
        also_sent.map(|owned| owned.id().to_string()).collect()
    }

    /// An owned message.
    pub fn owned(&self, id: &str) -> Option<&OwnedMessage> {
        self.owned.get(id)
    }

    /// All owned messages.
    pub fn all_owned(&self) -> impl Iterator<Item = &OwnedMessage> {
        self.owned.values()
    }

    /// A message with its body, whoever owns it, if the body is present here.
    pub fn message(&self, id: &str) -> Option<&Message> {
        let owned = self.owned.get(id).and_then(OwnedMessage::message);
        owned.or_else(|| self.replicas.message(id))
    }

    /// Replaces an owned message whose body is damaged by an intact copy from another store.
    pub fn replace_damaged(&mut self, message: Message) {
        if let Some(owned) = self.owned.get_mut(message.id()) {
            let before = owned.body_bytes();
            owned.replace_message(message);
            self.owned_bytes = self.owned_bytes + owned.body_bytes() - before;
        }
    }

    /// Records that a replica is about to be sent to a disk. Returns false if it must not be sent, because
    /// the message has finished or is not owned here. The holders to notify of the outcome are fixed when a
    /// message finishes, so a replica sent later would never be notified.
    pub fn begin_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| owned.is_live()) else { return false };
        owned.sent_to.insert(disk);
        true
    }

    /// Records that a finished message is about to be sent to a disk. Returns false if it is not owned here,
    /// or has not finished.
    pub fn begin_finished_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| !owned.is_live()) else { return false };
        owned.sent_to.insert(disk);
        true
    }

    /// Records that a disk holds a replica of a message.
    pub fn confirm_copy(&mut self, id: &str, disk: u64) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.confirmed_holders.insert(disk);
            owned.sent_to.insert(disk);
        }
    }

    /// Removes confirmed holders of a message that are no longer valid.
    pub fn retain_copies(&mut self, id: &str, is_valid: impl Fn(&u64) -> bool) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.confirmed_holders.retain(is_valid);
        }
    }

    /// Records that, of the messages owned here, a disk holds only `held`: it has no replica of the others
    /// and needs no notification of their outcomes.
    pub fn remove_unheld(&mut self, disk: u64, held: &HeldIds) {
        let is_held = |id: &str| held.live.contains(id) || held.finished.contains(id);
        for owned in self.owned.values_mut().filter(|owned| !is_held(owned.id())) {
            owned.confirmed_holders.remove(&disk);
            owned.unnotified.remove(&disk);
        }
    }

    /// Records that a disk was notified of the outcomes of these messages.
    pub fn mark_notified(&mut self, disk: u64, ids: &[String]) {
        for id in ids {
            if let Some(owned) = self.owned.get_mut(id) {
                owned.unnotified.remove(&disk);
            }
        }
    }

    /// Whether a message, owned or not, is known to have finished.
    pub fn is_finished(&self, id: &str) -> bool {
        match self.owned.get(id) {
            Some(owned) => !owned.is_live(),
            None => self.replicas.is_finished(id),
        }
    }

    /// The final record of a message, owned or not.
    pub fn final_record_of(&self, id: &str) -> Option<FinalRecord> {
        match self.owned.get(id) {
            Some(owned) => Some(owned.finished_message()?.final_record()),
            None => self.replicas.final_record_of(id),
        }
    }

    /// Records that the store with this disk was declared lost. The callers keep nothing more for it.
    pub fn fence(&mut self, disk: u64) {
        self.fenced.insert(disk);
    }

    /// Records that all messages of a lost store are now owned here.
    pub fn mark_taken_over(&mut self, disk: u64) {
        self.taken_over.insert(disk);
    }

    /// Disks of lost stores whose messages this store has taken over.
    pub fn taken_over(&self) -> &BTreeSet<u64> {
        &self.taken_over
    }

    /// Disks of stores that were declared lost, for which nothing more is kept.
    pub fn fenced(&self) -> &BTreeSet<u64> {
        &self.fenced
    }

    /// Total size of all bodies, of owned messages and replicas.
    pub fn body_bytes(&self) -> usize {
        self.owned_bytes + self.replicas.bytes()
    }

    /// When the oldest unfinished owned message was received.
    pub fn oldest_received_at(&self) -> Option<WallMs> {
        self.owned.values().filter(|owned| owned.is_live()).map(|owned| owned.envelope().received_at).min()
    }

    /// Number of messages by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { replicas: self.replicas.live_count(), ..Counts::default() };
        for owned in self.owned.values() {
            match owned.stage() {
                Some(Stage::Replicating | Stage::Waiting) => counts.waiting += 1,
                Some(Stage::Running) => counts.running += 1,
                None => counts.finished += 1,
            }
        }
        counts
    }

    /// Unfinished owned messages that have expired or whose route was dropped.
    pub fn expired_or_unroutable(&self, now: WallMs) -> Vec<String> {
        let live = self.owned.values().filter(|owned| owned.is_live());
        let ending = live.filter(|o| now >= o.envelope().expires_at || o.route == MessageRoute::Dropped);
        ending.map(|owned| owned.id().to_string()).collect()
    }

    /// Discards messages that finished before a time, except owned ones with a pending callback or with
    /// holders that still have to be notified.
    pub fn discard_finished(&mut self, before: WallMs) {
        self.replicas.discard_finished(before);
        let (bytes, operations) = (&mut self.owned_bytes, &mut self.operations);
        self.owned.retain(|_, owned| {
            let Some(finished) = owned.finished_message() else { return true };
            let is_kept = finished.at() >= before || owned.callback_pending || !owned.unnotified.is_empty();
            if !is_kept {
                *bytes -= owned.body_bytes();
                operations.remove(owned.envelope());
            }
            is_kept
        });
    }
}
