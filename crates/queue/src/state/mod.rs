//! The view of all messages that is folded from the records.
mod held;

use crate::entry::{Entry, FinishedTransfer};
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::{Envelope, Message};
use crate::operations::Operations;
use crate::owned::{OwnedMessage, Stage};
use crate::replicas::Replicas;
use crate::schedule::{Messages, Schedule};
use crate::WallMs;
use std::collections::BTreeSet;

pub use held::HeldIds;

/// How many messages a store has, by what becomes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Waiting, or not on enough disks yet.
    pub waiting: usize,
    pub running: usize,
    pub finished: usize,
    /// Kept for other stores.
    pub replicas: usize,
}

/// The view of one store.
#[derive(Default)]
pub struct Queue {
    disk: u64,
    owned: Messages,
    /// Bytes of the bodies of owned messages.
    owned_bytes: usize,
    schedule: Schedule,
    operations: Operations,
    replicas: Replicas,
    /// Disks of stores that were given up.
    fenced: BTreeSet<u64>,
    /// Disks of lost stores that this one has taken over from.
    taken_over: BTreeSet<u64>,
    /// Messages that were left to others, as read from the disk.
    relinquished: BTreeSet<String>,
}

impl Queue {
    /// The queue of a store with this disk.
    pub fn new(disk: u64) -> Queue {
        Queue { disk, ..Queue::default() }
    }

    /// Folds one record that was read from the disk at a start. Every message that is there counts as taken: whoever
    /// handed it in may have been told so.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Disk(disk) => self.disk = disk,
            Entry::Message { owner, message } if owner == self.disk => self.replay_owned(message),
            Entry::Message { owner, message } => self.keep_replica(owner, message),
            Entry::FinishedMessage { owner, transfer } if owner == self.disk => {
                self.adopt_finished(transfer);
            }
            Entry::FinishedMessage { owner, transfer } => self.keep_finished(owner, transfer),
            Entry::AttemptFailed { id, attempts } => self.record_attempts(&id, attempts),
            Entry::Finished(final_record) => drop(self.finish(final_record)),
            Entry::CallbackDone { id } => self.mark_callback_done(&id),
            Entry::Dropped { owner, id } if owner == self.disk => {
                self.relinquish(&id);
                self.relinquished.insert(id);
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

    /// After all records were folded: what is owned here may run. What other stores were given before is told: it may
    /// run once these leave it to this one.
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

    /// The highest place that an owned message has.
    pub fn highest_sequence(&self) -> u64 {
        self.owned.values().map(|owned| owned.envelope().sequence).max().unwrap_or(0)
    }

    /// The identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Takes a message to own it; it doesn't run before [`Queue::accept`]. False if it is known already.
    pub fn add(&mut self, message: Message) -> bool {
        let id = message.id().to_string();
        if self.owned.contains_key(&id) || self.replicas.is_finished(&id) {
            return false;
        }
        let replica_owners = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::live(message, replica_owners));
        true
    }

    fn insert(&mut self, id: String, owned: OwnedMessage) {
        self.owned_bytes += owned.body_bytes();
        let duplicate = self.duplicate_of(owned.envelope());
        if duplicate.is_none_or(|duplicate| duplicate.precedence() < owned.precedence()) {
            self.operations.set(owned.envelope());
        }
        self.owned.insert(id, owned);
    }

    pub(crate) fn operations(&self) -> &Operations {
        &self.operations
    }

    /// Finds the message that is_kept of each operation anew: which one it is may have changed with every record.
    pub(crate) fn index_operations(&mut self) {
        let mut by_precedence: Vec<&OwnedMessage> = self.owned.values().collect();
        by_precedence.sort_by_key(|owned| owned.precedence());
        let mut operations = Operations::default();
        by_precedence.iter().for_each(|owned| operations.set(owned.envelope()));
        self.operations = operations;
    }

    /// A message is on enough disks: it may run, behind those of its key.
    pub fn mark_replicated(&mut self, id: &str) {
        let replicated =
            self.owned.get_mut(id).is_some_and(|o| o.advance(Stage::Replicating, Stage::Waiting));
        if replicated {
            self.schedule.add(&mut self.owned, id);
        }
    }

    /// The message of a route that is to run next, of those that `may_run`: first those that can still begin within
    /// their aim, then late ones in their order.
    pub fn next(&mut self, route: &str, now: WallMs, may_run: impl Fn(&Envelope) -> bool) -> Option<String> {
        self.schedule.next(&mut self.owned, route, now, may_run)
    }

    /// Routes with messages that may run.
    pub fn routes(&self) -> impl Iterator<Item = &String> {
        self.schedule.routes()
    }

    /// When the next message falls due that isn't yet.
    pub fn next_due(&self) -> Option<WallMs> {
        self.schedule.next_due()
    }

    /// Waiting messages of a route that may run or become due.
    pub fn backlog(&self, route: &str) -> usize {
        self.schedule.backlog(route)
    }

    /// A message goes to an endpoint.
    pub fn start(&mut self, id: &str) -> Option<Message> {
        self.schedule.unschedule(&mut self.owned, id);
        let owned = self.owned.get_mut(id)?;
        let started = owned.advance(Stage::Waiting, Stage::Running);
        owned.live_message().filter(|_| started).cloned()
    }

    /// It did not end; it may be tried again from a time on.
    pub fn retry(&mut self, id: &str, attempts: u32, not_before: WallMs) {
        let Some(owned) = self.owned.get_mut(id) else { return };
        if !owned.advance(Stage::Running, Stage::Waiting) {
            return;
        }
        owned.attempts = owned.attempts.max(attempts);
        owned.not_before = not_before;
        self.schedule.schedule_at_due(&mut self.owned, id);
    }

    /// So many attempts of a message, or of a replica, have failed.
    pub fn record_attempts(&mut self, id: &str, attempts: u32) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.attempts = owned.attempts.max(attempts);
        } else if let Some(replica) = self.replicas.live_mut(id) {
            replica.attempts = replica.attempts.max(attempts);
        }
    }

    /// A message has ended. False if it had already, or isn't known.
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

    /// Owns a message that has ended, in the place of the store that did: what is still owed of it is owed here. False if
    /// it has ended here already, or nothing is owed of it.
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
        let replica_owners = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::finished(transfer.finished, !callback_done, replica_owners));
        true
    }

    /// Leaves a message that hasn't begun to another store, and keeps a replica for those that count on one here; false if
    /// it has begun, or isn't owned here.
    pub fn relinquish(&mut self, id: &str) -> bool {
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
        true
    }

    /// Messages that are safe here, and that were given to a store before without a clear answer.
    pub fn accepted_also_sent_to(&self, disk: u64) -> Vec<String> {
        let accepted = self.owned.values().filter(|owned| owned.stage() != Some(Stage::Replicating));
        let also_sent = accepted.filter(|owned| owned.envelope().also_sent_to.contains(&disk));
        also_sent.map(|owned| owned.id().to_string()).collect()
    }

    /// A message that is owned here.
    pub fn owned(&self, id: &str) -> Option<&OwnedMessage> {
        self.owned.get(id)
    }

    /// All messages that are owned here.
    pub fn all_owned(&self) -> impl Iterator<Item = &OwnedMessage> {
        self.owned.values()
    }

    /// A message with its body, whoever owns it, if that is kept here.
    pub fn message(&self, id: &str) -> Option<&Message> {
        let owned = self.owned.get(id).and_then(OwnedMessage::message);
        owned.or_else(|| self.replicas.message(id))
    }

    /// The body of a message that is owned here was damaged; this is the message as another store has it.
    pub fn replace_damaged(&mut self, message: Message) {
        if let Some(owned) = self.owned.get_mut(message.id()) {
            let before = owned.body_bytes();
            owned.replace_message(message);
            self.owned_bytes = self.owned_bytes + owned.body_bytes() - before;
        }
    }

    /// A replica of a message is about to be sent to a disk. False if none may go out any more: the message has ended, or
    /// isn't owned here. Whoever is sent one is told of the end later, so a replica that goes out after the end would be
    /// one whose holder never hears of it.
    pub fn begin_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| owned.is_live()) else { return false };
        owned.sent_to.insert(disk);
        true
    }

    /// A message that has ended is about to be sent to a disk together with its end. False if it isn't owned here.
    pub fn begin_finished_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| !owned.is_live()) else { return false };
        owned.sent_to.insert(disk);
        true
    }

    /// A disk has a replica of a message.
    pub fn confirm_copy(&mut self, id: &str, disk: u64) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.confirmed_holders.insert(disk);
            owned.sent_to.insert(disk);
        }
    }

    /// Replicas of a message count only at these disks.
    pub fn retain_copies(&mut self, id: &str, is_valid: impl Fn(&u64) -> bool) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.confirmed_holders.retain(is_valid);
        }
    }

    /// A disk holds only these of what is owned here: it has no replica of others, and needn't be told of their ends.
    pub fn remove_unheld(&mut self, disk: u64, held: &HeldIds) {
        let is_held = |id: &str| held.live.contains(id) || held.finished.contains(id);
        for owned in self.owned.values_mut().filter(|owned| !is_held(owned.id())) {
            owned.confirmed_holders.remove(&disk);
            owned.unnotified.remove(&disk);
        }
    }

    /// A disk has been told of the ends of these messages.
    pub fn mark_notified(&mut self, disk: u64, ids: &[String]) {
        for id in ids {
            if let Some(owned) = self.owned.get_mut(id) {
                owned.unnotified.remove(&disk);
            }
        }
    }

    /// Messages that were left to other stores before this process started, as far as the log tells.
    pub fn take_relinquished(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.relinquished)
    }

    /// Whether a message is known here to have ended, whoever owns it.
    pub fn is_finished(&self, id: &str) -> bool {
        match self.owned.get(id) {
            Some(owned) => !owned.is_live(),
            None => self.replicas.is_finished(id),
        }
    }

    /// The end of a message, whoever owns it.
    pub fn final_record_of(&self, id: &str) -> Option<FinalRecord> {
        match self.owned.get(id) {
            Some(owned) => Some(owned.finished_message()?.final_record()),
            None => self.replicas.final_record_of(id),
        }
    }

    /// Nothing is kept any more for the store with this disk.
    pub fn fence(&mut self, disk: u64) {
        self.fenced.insert(disk);
    }

    /// All that a lost store owned is here.
    pub fn mark_taken_over(&mut self, disk: u64) {
        self.taken_over.insert(disk);
    }

    /// Disks of lost stores that this one has taken over from.
    pub fn taken_over(&self) -> &BTreeSet<u64> {
        &self.taken_over
    }

    /// Disks of stores for which nothing is kept any more.
    pub fn fenced(&self) -> &BTreeSet<u64> {
        &self.fenced
    }

    /// Bytes of the bodies that are held.
    pub fn body_bytes(&self) -> usize {
        self.owned_bytes + self.replicas.bytes()
    }

    /// When the oldest message was taken that has not ended.
    pub fn oldest_received_at(&self) -> Option<WallMs> {
        self.owned.values().filter(|owned| owned.is_live()).map(|owned| owned.envelope().received_at).min()
    }

    /// How many messages there are.
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

    /// Messages that have not ended and whose route or time is over.
    pub fn expired_or_unroutable(
        &self,
        now: WallMs,
        route_exists: impl Fn(&Envelope) -> bool,
    ) -> Vec<String> {
        let live = self.owned.values().filter(|owned| owned.is_live());
        let ending = live.filter(|o| now >= o.envelope().expires_at || !route_exists(o.envelope()));
        ending.map(|owned| owned.id().to_string()).collect()
    }

    /// Forgets ends older than a time, where nobody waits to be told of them.
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
