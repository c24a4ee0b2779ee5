//! What a store keeps for others: replicas of their messages, ends, and what is still owed of messages that have ended.
use crate::entry::{FinishedTransfer, MessageTransfer};
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::Message;
use crate::WallMs;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A message that has not ended, kept for other stores.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Disks of the stores that it is kept for: several, if an edge gave the message to several.
    pub owners: BTreeSet<u64>,
    pub message: Message,
    pub attempts: u32,
}

impl From<&Replica> for MessageTransfer {
    fn from(replica: &Replica) -> MessageTransfer {
        MessageTransfer { message: replica.message.clone(), attempts: replica.attempts }
    }
}

/// What is known here of a message of other stores that has ended.
#[derive(Clone, Debug)]
enum Retained {
    /// The end alone: it was heard of without the message, or nothing more is owed of it.
    FinalRecord(FinalRecord),
    /// What may still be owed of it: the body of a dead letter, a call-back.
    Message(FinishedMessage),
}

/// A message of other stores that has ended.
#[derive(Clone, Debug)]
struct FinishedReplica {
    /// Who owned it, as far as that was known here.
    owners: BTreeSet<u64>,
    retained: Retained,
    /// The call-back about its end was accepted, or nobody is owed one.
    callback_done: bool,
}

impl FinishedReplica {
    fn final_record(&self) -> FinalRecord {
        match &self.retained {
            Retained::FinalRecord(final_record) => final_record.clone(),
            Retained::Message(finished) => finished.final_record(),
        }
    }

    fn at(&self) -> WallMs {
        match &self.retained {
            Retained::FinalRecord(final_record) => final_record.at,
            Retained::Message(finished) => finished.at(),
        }
    }

    fn message(&self) -> Option<&FinishedMessage> {
        match &self.retained {
            Retained::FinalRecord(_) => None,
            Retained::Message(finished) => Some(finished),
        }
    }

    fn transfer(&self) -> Option<FinishedTransfer> {
        Some(FinishedTransfer { finished: self.message()?.clone(), callback_done: self.callback_done })
    }

    fn body_bytes(&self) -> usize {
        self.message().map_or(0, FinishedMessage::body_bytes)
    }

    /// Keeps of the message only what is still owed.
    fn trim(&mut self) {
        let must_be_retained = self.message().is_some_and(FinishedMessage::must_be_retained);
        if self.callback_done && !must_be_retained {
            self.retained = Retained::FinalRecord(self.final_record());
        }
    }
}

/// All that a store keeps for others.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    live: BTreeMap<String, Replica>,
    finished: BTreeMap<String, FinishedReplica>,
    /// Bytes of all bodies.
    bytes: usize,
}

impl Replicas {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    pub fn live(&self, id: &str) -> Option<&Replica> {
        self.live.get(id)
    }

    pub fn live_mut(&mut self, id: &str) -> Option<&mut Replica> {
        self.live.get_mut(id)
    }

    /// The message with its body, if that is kept here.
    pub fn message(&self, id: &str) -> Option<&Message> {
        let dead_letter = || self.finished.get(id)?.message()?.dead_letter();
        self.live.get(id).map(|replica| &replica.message).or_else(dead_letter)
    }

    pub fn is_finished(&self, id: &str) -> bool {
        self.finished.contains_key(id)
    }

    pub fn final_record_of(&self, id: &str) -> Option<FinalRecord> {
        self.finished.get(id).map(FinishedReplica::final_record)
    }

    /// What is kept of a message that has ended, and for whom.
    pub fn finished(&self, id: &str) -> Option<(&BTreeSet<u64>, FinishedTransfer)> {
        let replica = self.finished.get(id)?;
        Some((&replica.owners, replica.transfer()?))
    }

    /// The call-back about an end is known to have been accepted.
    pub fn is_callback_done(&self, id: &str) -> bool {
        self.finished.get(id).is_some_and(|replica| replica.callback_done)
    }

    /// Keeps a message for its owner. If its end is retained, what is new is that this owner may owe something of it.
    pub fn keep(&mut self, owner: u64, message: Message) {
        if let Some(final_record) = self.final_record_of(message.id()) {
            let callback_pending = message.envelope.callback.is_some();
            let finished = FinishedMessage::new(message, final_record);
            return self
                .keep_finished(owner, FinishedTransfer { finished, callback_done: !callback_pending });
        }
        if let Some(replica) = self.live.get_mut(message.id()) {
            replica.owners.insert(owner);
            return;
        }
        self.bytes += message.body.len();
        let (id, owners) = (message.id().to_string(), BTreeSet::from([owner]));
        self.live.insert(id, Replica { owners, message, attempts: 0 });
    }

    /// Keeps a message that has ended for its owner.
    pub fn keep_finished(&mut self, owner: u64, transfer: FinishedTransfer) {
        let id = transfer.finished.id().to_string();
        let callback_done = transfer.callback_done || self.is_callback_done(&id);
        let mut owners = self.remove(&id);
        owners.insert(owner);
        let finished = transfer.finished;
        self.insert_finished(
            id,
            FinishedReplica { owners, retained: Retained::Message(finished), callback_done },
        );
    }

    /// A message has ended; false if nothing but that is known of it.
    pub fn finish(&mut self, final_record: FinalRecord) -> bool {
        let id = final_record.id.clone();
        match self.take_live(&id) {
            Some(Replica { owners, message, .. }) => {
                let callback_done = message.envelope.callback.is_none();
                let retained = Retained::Message(FinishedMessage::new(message, final_record));
                self.insert_finished(id, FinishedReplica { owners, retained, callback_done });
                true
            }
            None => {
                let replica = FinishedReplica {
                    owners: BTreeSet::new(),
                    retained: Retained::FinalRecord(final_record),
                    callback_done: false,
                };
                self.finished.entry(id).or_insert(replica);
                false
            }
        }
    }

    /// Keeps the end of a message of this owner, which is retained from a third store.
    pub fn keep_final_record(&mut self, owner: u64, final_record: FinalRecord) {
        let id = final_record.id.clone();
        self.finish(final_record);
        if let Some(replica) = self.finished.get_mut(&id) {
            replica.owners.insert(owner);
        }
    }

    /// The call-back about an end was accepted.
    pub fn mark_callback_done(&mut self, id: &str) {
        if let Some(mut replica) = self.take_finished(id) {
            replica.callback_done = true;
            self.insert_finished(id.to_string(), replica);
        }
    }

    /// Nothing is kept for this owner any more: what was kept for it alone goes, but for ends.
    pub fn drop_for(&mut self, owner: u64, id: &str) {
        if let Some(mut replica) = self.take_finished(id) {
            let was_last = replica.owners.remove(&owner) && replica.owners.is_empty();
            if was_last {
                replica.retained = Retained::FinalRecord(replica.final_record());
            }
            self.insert_finished(id.to_string(), replica);
        }
        let Some(replica) = self.live.get_mut(id) else { return };
        replica.owners.remove(&owner);
        if replica.owners.is_empty() {
            self.take_live(id);
        }
    }

    /// Takes a message away, live or ended; the stores that it was kept for.
    pub fn remove(&mut self, id: &str) -> BTreeSet<u64> {
        let mut owners = self.take_live(id).map_or(BTreeSet::new(), |replica| replica.owners);
        owners.extend(self.take_finished(id).into_iter().flat_map(|replica| replica.owners));
        owners
    }

    /// Replicas of messages of an owner that have not ended, by id, from the first id after one on.
    pub fn live_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Replica> {
        let replicas = self.live.range(ids_after(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner))
    }

    /// What is kept of an owner's messages that have ended, by id, from the first id after one on.
    pub fn finished_after<'a>(
        &'a self,
        owner: u64,
        after: &str,
    ) -> impl Iterator<Item = FinishedTransfer> + 'a {
        let replicas = self.finished.range(ids_after(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner)).filter_map(FinishedReplica::transfer)
    }

    /// Ends of an owner's messages of which nothing else is kept.
    pub fn bare_final_records_of(&self, owner: u64) -> impl Iterator<Item = &FinalRecord> {
        let of_owner = self.finished.values().filter(move |replica| replica.owners.contains(&owner));
        of_owner.filter_map(|replica| match &replica.retained {
            Retained::FinalRecord(final_record) => Some(final_record),
            Retained::Message(_) => None,
        })
    }

    /// Forgets ends older than a time.
    pub fn discard_finished(&mut self, before: WallMs) {
        let bytes = &mut self.bytes;
        self.finished.retain(|_, replica| {
            let is_kept = replica.at() >= before;
            if !is_kept {
                *bytes -= replica.body_bytes();
            }
            is_kept
        });
    }

    fn take_live(&mut self, id: &str) -> Option<Replica> {
        let replica = self.live.remove(id)?;
        self.bytes -= replica.message.body.len();
        Some(replica)
    }

    fn take_finished(&mut self, id: &str) -> Option<FinishedReplica> {
        let replica = self.finished.remove(id)?;
        self.bytes -= replica.body_bytes();
        Some(replica)
    }

    fn insert_finished(&mut self, id: String, mut replica: FinishedReplica) {
        replica.trim();
        self.bytes += replica.body_bytes();
        self.finished.insert(id, replica);
    }
}

/// All ids after one.
fn ids_after(after: &str) -> (Bound<String>, Bound<String>) {
    (Bound::Excluded(after.to_string()), Bound::Unbounded)
}
