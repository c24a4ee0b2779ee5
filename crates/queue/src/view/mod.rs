//! The view of all messages that is folded from the records.
mod kept;

use crate::ended::{End, EndedMessage};
use crate::entry::{Entry, GivenEnded};
use crate::message::{Envelope, Message};
use crate::operations::Operations;
use crate::owned::{OwnedMessage, Stage};
use crate::replicas::Replicas;
use crate::schedule::{Messages, Schedule};
use crate::WallMs;
use std::collections::BTreeSet;

pub use kept::HeldIds;

/// How many messages a store has, by what becomes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Waiting, or not on enough disks yet.
    pub waiting: usize,
    pub running: usize,
    pub ended: usize,
    /// Kept for other stores.
    pub replicas: usize,
}

/// The view of one store.
#[derive(Default)]
pub struct Queue {
    disk: u64,
    owned: Messages,
    /// Bytes of the bodies of owned messages.
    bytes: usize,
    schedule: Schedule,
    operations: Operations,
    replicas: Replicas,
    /// Disks of stores that were given up.
    fenced: BTreeSet<u64>,
    /// Disks of lost stores that this one has taken over from.
    taken_over: BTreeSet<u64>,
    /// Messages that were left to others, as read from the disk.
    left: BTreeSet<String>,
}

impl Queue {
    /// The queue of a store with this disk.
    pub fn new(disk: u64) -> Queue {
        Queue { disk, ..Queue::default() }
    }

    /// Folds one record that was read from the disk at a start. Every message that is there counts as taken: whoever
    /// handed it in may have been told so.
    pub fn recover(&mut self, entry: Entry) {
        match entry {
            Entry::Disk(disk) => self.disk = disk,
            Entry::Message { owner, message } if owner == self.disk => self.recover_own(message),
            Entry::Message { owner, message } => self.keep(owner, message),
            Entry::EndedMessage { owner, given } if owner == self.disk => drop(self.adopt_ended(given)),
            Entry::EndedMessage { owner, given } => self.keep_ended(owner, given),
            Entry::Failed { id, attempts } => self.note_attempts(&id, attempts),
            Entry::Ended(end) => drop(self.end(end)),
            Entry::CalledBack { id } => self.called_back(&id),
            Entry::Dropped { owner, id } if owner == self.disk => {
                self.leave(&id);
                self.left.insert(id);
            }
            Entry::Dropped { owner, id } => self.drop_replica_of(owner, &id),
            Entry::Fenced { disk } => self.fence(disk),
            Entry::TakenOver { disk } => self.has_taken_over(disk),
        }
    }

    fn recover_own(&mut self, message: Message) {
        match self.replicas.end_of(message.id()) {
            Some(end) => {
                let called_back = message.envelope.callback.is_none();
                let ended = EndedMessage::new(message, end);
                self.adopt_ended(GivenEnded { ended, called_back });
            }
            None => drop(self.add(message)),
        }
    }

    /// After all records were folded: what is owned here may run. What other stores were given before is told: it may
    /// run once these leave it to this one.
    pub fn recovered(&mut self) -> Vec<Message> {
        let copying = self.owned.values().filter(|owned| owned.stage() == Some(Stage::Copying));
        let (raced, mut own): (Vec<Message>, Vec<Message>) = copying
            .filter_map(OwnedMessage::live_message)
            .cloned()
            .partition(|message| !message.envelope.also_at.is_empty());
        own.sort_by_key(|message| message.envelope.order);
        own.iter().for_each(|message| self.accept(message.id()));
        raced
    }

    /// The highest place that an owned message has.
    pub fn highest_order(&self) -> u64 {
        self.owned.values().map(|owned| owned.envelope().order).max().unwrap_or(0)
    }

    /// The identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Takes a message to own it; it doesn't run before [`Queue::accept`]. False if it is known already.
    pub fn add(&mut self, message: Message) -> bool {
        let id = message.id().to_string();
        if self.owned.contains_key(&id) || self.replicas.has_ended(&id) {
            return false;
        }
        let kept_for = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::live(message, kept_for));
        true
    }

    fn insert(&mut self, id: String, owned: OwnedMessage) {
        self.bytes += owned.body_bytes();
        let rival = self.rival(owned.envelope());
        if rival.is_none_or(|rival| rival.precedence() < owned.precedence()) {
            self.operations.set(owned.envelope());
        }
        self.owned.insert(id, owned);
    }

    pub(crate) fn operations(&self) -> &Operations {
        &self.operations
    }

    /// Finds the message that stays of each operation anew: which one it is may have changed with every record.
    pub(crate) fn index_operations(&mut self) {
        let mut by_precedence: Vec<&OwnedMessage> = self.owned.values().collect();
        by_precedence.sort_by_key(|owned| owned.precedence());
        let mut operations = Operations::default();
        by_precedence.iter().for_each(|owned| operations.set(owned.envelope()));
        self.operations = operations;
    }

    /// A message is on enough disks: it may run, behind those of its key.
    pub fn accept(&mut self, id: &str) {
        let accepted = self.owned.get_mut(id).is_some_and(|o| o.advance(Stage::Copying, Stage::Waiting));
        if accepted {
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
        self.schedule.unready(&mut self.owned, id);
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
        self.schedule.make_ready(&mut self.owned, id);
    }

    /// So many attempts of a message, or of a replica, have failed.
    pub fn note_attempts(&mut self, id: &str, attempts: u32) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.attempts = owned.attempts.max(attempts);
        } else if let Some(replica) = self.replicas.live_mut(id) {
            replica.attempts = replica.attempts.max(attempts);
        }
    }

    /// A message has ended. False if it had already, or isn't known.
    pub fn end(&mut self, end: End) -> bool {
        let id = end.id.clone();
        let Some(owned) = self.owned.get_mut(&id) else { return self.replicas.end(end) };
        let before = owned.body_bytes();
        if !owned.end(end) {
            return false;
        }
        self.bytes = self.bytes + owned.body_bytes() - before;
        let envelope = owned.envelope().clone();
        self.schedule.remove(&mut self.owned, &envelope);
        true
    }

    /// Owns a message that has ended, in the place of the store that did: what is still owed of it is owed here. False if
    /// it has ended here already, or nothing is owed of it.
    pub fn adopt_ended(&mut self, given: GivenEnded) -> bool {
        let id = given.ended.id().to_string();
        let called_back = given.called_back || self.replicas.is_called_back(&id);
        if self.owned.contains_key(&id) {
            let ends = self.end(given.ended.end());
            if ends && called_back {
                self.called_back(&id);
            }
            return ends;
        }
        let owes_nothing = called_back && !given.ended.is_owed();
        if owes_nothing {
            return false;
        }
        let kept_for = self.replicas.remove(&id);
        self.insert(id, OwnedMessage::ended(given.ended, !called_back, kept_for));
        true
    }

    /// Leaves a message that hasn't begun to another store, and keeps a replica for those that count on one here; false if
    /// it has begun, or isn't owned here.
    pub fn leave(&mut self, id: &str) -> bool {
        let stage = self.owned.get(id).and_then(OwnedMessage::stage);
        if !matches!(stage, Some(Stage::Copying | Stage::Waiting)) {
            return false;
        }
        self.schedule.unready(&mut self.owned, id);
        let Some(owned) = self.owned.remove(id) else { return false };
        self.bytes -= owned.body_bytes();
        self.schedule.remove(&mut self.owned, owned.envelope());
        self.operations.remove(owned.envelope());
        if let Some(message) = owned.live_message() {
            owned.kept_for.iter().for_each(|owner| self.keep(*owner, message.clone()));
        }
        true
    }

    /// Messages that are safe here, and that were given to a store before without a clear answer.
    pub fn taken_from(&self, disk: u64) -> Vec<String> {
        let safe = self.owned.values().filter(|owned| owned.stage() != Some(Stage::Copying));
        let taken = safe.filter(|owned| owned.envelope().also_at.contains(&disk));
        taken.map(|owned| owned.id().to_string()).collect()
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
            owned.set_message(message);
            self.bytes = self.bytes + owned.body_bytes() - before;
        }
    }

    /// A replica of a message is about to be sent to a disk. False if none may go out any more: the message has ended, or
    /// isn't owned here. Whoever is sent one is told of the end later, so a replica that goes out after the end would be
    /// one whose holder never hears of it.
    pub fn send_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| owned.is_live()) else { return false };
        owned.sent.insert(disk);
        true
    }

    /// A message that has ended is about to be sent to a disk together with its end. False if it isn't owned here.
    pub fn send_ended(&mut self, id: &str, disk: u64) -> bool {
        let Some(owned) = self.owned.get_mut(id).filter(|owned| !owned.is_live()) else { return false };
        owned.sent.insert(disk);
        true
    }

    /// A disk has a replica of a message.
    pub fn copy_kept(&mut self, id: &str, disk: u64) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.copies.insert(disk);
            owned.sent.insert(disk);
        }
    }

    /// Replicas of a message count only at these disks.
    pub fn keep_copies_at(&mut self, id: &str, counts: impl Fn(&u64) -> bool) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.copies.retain(counts);
        }
    }

    /// A disk holds only these of what is owned here: it has no replica of others, and needn't be told of their ends.
    pub fn not_held(&mut self, disk: u64, held: &HeldIds) {
        let is_held = |id: &str| held.live.contains(id) || held.ended.contains(id);
        for owned in self.owned.values_mut().filter(|owned| !is_held(owned.id())) {
            owned.copies.remove(&disk);
            owned.untold.remove(&disk);
        }
    }

    /// A disk has been told of the ends of these messages.
    pub fn told(&mut self, disk: u64, ids: &[String]) {
        for id in ids {
            if let Some(owned) = self.owned.get_mut(id) {
                owned.untold.remove(&disk);
            }
        }
    }

    /// Messages that were left to other stores before this process started, as far as the log tells.
    pub fn take_left(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.left)
    }

    /// Whether a message is known here to have ended, whoever owns it.
    pub fn has_ended(&self, id: &str) -> bool {
        match self.owned.get(id) {
            Some(owned) => !owned.is_live(),
            None => self.replicas.has_ended(id),
        }
    }

    /// The end of a message, whoever owns it.
    pub fn end_of(&self, id: &str) -> Option<End> {
        match self.owned.get(id) {
            Some(owned) => Some(owned.ended_message()?.end()),
            None => self.replicas.end_of(id),
        }
    }

    /// Nothing is kept any more for the store with this disk.
    pub fn fence(&mut self, disk: u64) {
        self.fenced.insert(disk);
    }

    /// All that a lost store owned is here.
    pub fn has_taken_over(&mut self, disk: u64) {
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
    pub fn bytes(&self) -> usize {
        self.bytes + self.replicas.bytes()
    }

    /// When the oldest message was taken that has not ended.
    pub fn oldest(&self) -> Option<WallMs> {
        self.owned.values().filter(|owned| owned.is_live()).map(|owned| owned.envelope().taken_at).min()
    }

    /// How many messages there are.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { replicas: self.replicas.live_count(), ..Counts::default() };
        for owned in self.owned.values() {
            match owned.stage() {
                Some(Stage::Copying | Stage::Waiting) => counts.waiting += 1,
                Some(Stage::Running) => counts.running += 1,
                None => counts.ended += 1,
            }
        }
        counts
    }

    /// Messages that have not ended and whose route or time is over.
    pub fn over(&self, now: WallMs, route_there: impl Fn(&Envelope) -> bool) -> Vec<String> {
        let live = self.owned.values().filter(|owned| owned.is_live());
        let over = live.filter(|o| now >= o.envelope().expires_at || !route_there(o.envelope()));
        over.map(|owned| owned.id().to_string()).collect()
    }

    /// Forgets ends older than a time, where nobody waits to be told of them.
    pub fn forget(&mut self, before: WallMs) {
        self.replicas.forget(before);
        let (bytes, operations) = (&mut self.bytes, &mut self.operations);
        self.owned.retain(|_, owned| {
            let Some(ended) = owned.ended_message() else { return true };
            let stays = ended.at() >= before || owned.owes_callback || !owned.untold.is_empty();
            if !stays {
                *bytes -= owned.body_bytes();
                operations.remove(owned.envelope());
            }
            stays
        });
    }
}
