//! What a store holds for others: replicas of their unfinished messages, final records, and finished messages
//! that have to be retained.
use crate::entry::{FinishedTransfer, MessageTransfer};
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::Message;
use crate::WallMs;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// An unfinished message held for other stores.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Disks of the stores that it is held for: several, if an edge sent the message to several stores.
    pub owners: BTreeSet<u64>,
    /// The message with its body.
    pub message: Message,
    /// Number of failed delivery attempts.
    pub attempts: u32,
}

impl From<&Replica> for MessageTransfer {
    fn from(replica: &Replica) -> MessageTransfer {
        MessageTransfer { message: replica.message.clone(), attempts: replica.attempts }
    }
}

/// What is kept of a finished message of other stores.
#[derive(Clone, Debug)]
enum Retained {
    /// Only the final record: the message itself was never here, or is no longer needed.
    FinalRecord(FinalRecord),
    /// The finished message, which is needed for the body of a dead letter, for a pending callback or for its
    /// operation key.
    Message(FinishedMessage),
}

/// A finished message of other stores.
#[derive(Clone, Debug)]
struct FinishedReplica {
    /// Disks of the owners, as far as they are known.
    owners: BTreeSet<u64>,
    retained: Retained,
    /// The callback was accepted, or none was requested.
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

    /// Reduces the message to its final record if nothing else is needed.
    fn trim(&mut self) {
        let must_be_retained = self.message().is_some_and(FinishedMessage::must_be_retained);
        if self.callback_done && !must_be_retained {
            self.retained = Retained::FinalRecord(self.final_record());
        }
    }
}

/// Everything that a store holds for others.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    live: BTreeMap<String, Replica>,
    finished: BTreeMap<String, FinishedReplica>,
    /// Total size of all bodies.
    bytes: usize,
}

impl Replicas {
    /// Total size of all bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of unfinished replicas.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// The replica of an unfinished message.
    pub fn live(&self, id: &str) -> Option<&Replica> {
        self.live.get(id)
    }

    /// The replica of an unfinished message, to change it.
    pub fn live_mut(&mut self, id: &str) -> Option<&mut Replica> {
        self.live.get_mut(id)
    }

    /// The message with its body, if the body is present.
    pub fn message(&self, id: &str) -> Option<&Message> {
        let dead_letter = || self.finished.get(id)?.message()?.dead_letter();
        self.live.get(id).map(|replica| &replica.message).or_else(dead_letter)
    }

    /// Whether a message is known to have finished.
    pub fn is_finished(&self, id: &str) -> bool {
        self.finished.contains_key(id)
    }

    /// The final record of a message, if it is known to have finished.
    pub fn final_record_of(&self, id: &str) -> Option<FinalRecord> {
        self.finished.get(id).map(FinishedReplica::final_record)
    }

    /// A finished message that is still kept, and the disks of its owners.
    pub fn finished(&self, id: &str) -> Option<(&BTreeSet<u64>, FinishedTransfer)> {
        let replica = self.finished.get(id)?;
        Some((&replica.owners, replica.transfer()?))
    }

    /// Whether no callback is pending any more for a finished message.
    pub fn is_callback_done(&self, id: &str) -> bool {
        self.finished.get(id).is_some_and(|replica| replica.callback_done)
    }

    /// Holds a message for its owner. If the message is known to have finished, it is held as a finished
    /// message, since this owner may still have to send its callback.
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

    /// Holds a finished message for its owner.
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

    /// Records an outcome. Returns false if there is no unfinished replica of the message.
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

    /// Keeps a final record for an owner, as reported by a third store.
    pub fn keep_final_record(&mut self, owner: u64, final_record: FinalRecord) {
        let id = final_record.id.clone();
        self.finish(final_record);
        if let Some(replica) = self.finished.get_mut(&id) {
            replica.owners.insert(owner);
        }
    }

    /// Records that the receiver accepted the callback.
    pub fn mark_callback_done(&mut self, id: &str) {
        if let Some(mut replica) = self.take_finished(id) {
            replica.callback_done = true;
            self.insert_finished(id.to_string(), replica);
        }
    }

    /// Stops holding a message for this owner. What was held for no other owner is removed, except for the
    /// final record.
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

    /// Removes a message, finished or not. Returns the disks of the owners that it was held for.
    pub fn remove(&mut self, id: &str) -> BTreeSet<u64> {
        let mut owners = self.take_live(id).map_or(BTreeSet::new(), |replica| replica.owners);
        owners.extend(self.take_finished(id).into_iter().flat_map(|replica| replica.owners));
        owners
    }

    /// Replicas of an owner's unfinished messages with ids greater than `after`, ordered by id.
    pub fn live_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Replica> {
        let replicas = self.live.range(ids_after(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner))
    }

    /// Finished messages of an owner that are still kept, with ids greater than `after`, ordered by id.
    pub fn finished_after<'a>(
        &'a self,
        owner: u64,
        after: &str,
    ) -> impl Iterator<Item = FinishedTransfer> + 'a {
        let replicas = self.finished.range(ids_after(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner)).filter_map(FinishedReplica::transfer)
    }

    /// Final records of an owner's messages for which this store keeps no envelope or body.
    pub fn bare_final_records_of(&self, owner: u64) -> impl Iterator<Item = &FinalRecord> {
        let of_owner = self.finished.values().filter(move |replica| replica.owners.contains(&owner));
        of_owner.filter_map(|replica| match &replica.retained {
            Retained::FinalRecord(final_record) => Some(final_record),
            Retained::Message(_) => None,
        })
    }

    /// Discards messages that finished before a time.
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

/// The range of all ids greater than `after`.
fn ids_after(after: &str) -> (Bound<String>, Bound<String>) {
    (Bound::Excluded(after.to_string()), Bound::Unbounded)
}
