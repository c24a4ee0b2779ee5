//! What a queue holds for other stores.
use super::Queue;
use crate::entry::FinishedTransfer;
use crate::finished::FinalRecord;
use crate::message::Message;
use crate::replicas::Replica;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Ids of the messages that a store holds for their owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldIds {
    /// Messages that have not finished, as far as the holder knows.
    pub live: BTreeSet<String>,
    /// Finished messages that are still kept along with their outcome.
    pub finished: BTreeSet<String>,
}

impl HeldIds {
    /// The first `count` ids after `after`, and whether there are more.
    pub fn page_after(&self, after: &str, count: usize) -> (HeldIds, bool) {
        let rest = || (Bound::Excluded(after.to_string()), Bound::Unbounded);
        let live = self.live.range(rest()).map(|id| (id, true));
        let finished = self.finished.range(rest()).map(|id| (id, false));
        let mut ids: BTreeSet<(&String, bool)> = live.chain(finished).collect();
        let rest = ids.iter().nth(count).copied().map(|first| ids.split_off(&first));
        let mut piece = HeldIds::default();
        for (id, is_live) in ids {
            let list = if is_live { &mut piece.live } else { &mut piece.finished };
            list.insert(id.clone());
        }
        (piece, rest.is_some())
    }

    /// The greatest id.
    pub fn last(&self) -> Option<&String> {
        self.live.last().max(self.finished.last())
    }
}

impl Queue {
    /// Holds a message for its owner, another store.
    pub fn keep_replica(&mut self, owner: u64, message: Message) {
        match self.owned.get_mut(message.id()) {
            Some(owned) => drop(owned.replica_owners.insert(owner)),
            None => self.replicas.keep(owner, message),
        }
    }

    /// Holds a finished message for its owner, another store. If this store owns the message and it has not
    /// finished here, the caller has to finish it.
    pub fn keep_finished(&mut self, owner: u64, transfer: FinishedTransfer) {
        match self.owned.get_mut(transfer.finished.id()) {
            Some(owned) => drop(owned.replica_owners.insert(owner)),
            None => self.replicas.keep_finished(owner, transfer),
        }
    }

    /// Stops holding a message for this owner. The replica is removed if it was held for no other owner; a
    /// final record is kept.
    pub fn drop_replica(&mut self, owner: u64, id: &str) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.replica_owners.remove(&owner);
        }
        self.replicas.drop_for(owner, id);
    }

    /// The replica of an unfinished message.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.replicas.live(id)
    }

    /// Replicas of an owner's unfinished messages, ordered by id.
    pub fn replicas_of(&self, owner: u64) -> impl Iterator<Item = &Replica> {
        self.replicas_after(owner, "")
    }

    /// Replicas of an owner's unfinished messages with ids greater than `after`, ordered by id.
    pub fn replicas_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Replica> {
        self.replicas.live_after(owner, after)
    }

    /// Finished messages of an owner that are still kept, with ids greater than `after`, ordered by id.
    pub fn finished_after<'a>(
        &'a self,
        owner: u64,
        after: &str,
    ) -> impl Iterator<Item = FinishedTransfer> + 'a {
        self.replicas.finished_after(owner, after)
    }

    /// A finished message of other stores that is still kept, and the disks of its owners.
    pub fn finished_replica(&self, id: &str) -> Option<(&BTreeSet<u64>, FinishedTransfer)> {
        self.replicas.finished(id)
    }

    /// Whether no callback is pending any more for a finished message of other stores.
    pub fn is_callback_done(&self, id: &str) -> bool {
        self.replicas.is_callback_done(id)
    }

    /// Everything held for a store: replicas, and owned messages of which a replica will remain once this
    /// store relinquishes them.
    pub fn held_for(&self, owner: u64) -> HeldIds {
        let mut held = HeldIds::default();
        held.live.extend(self.replicas_of(owner).map(|replica| replica.message.id().to_string()));
        held.finished
            .extend(self.finished_after(owner, "").map(|transfer| transfer.finished.id().to_string()));
        for owned in self.owned.values().filter(|owned| owned.replica_owners.contains(&owner)) {
            match owned.is_live() {
                true => held.live.insert(owned.id().to_string()),
                false => held.finished.insert(owned.id().to_string()),
            };
        }
        held
    }

    /// Keeps the final record of another store's message, as reported by a third store. Does nothing if the
    /// message is owned here.
    pub fn keep_final_record(&mut self, owner: u64, final_record: FinalRecord) {
        if !self.owned.contains_key(&final_record.id) {
            self.replicas.keep_final_record(owner, final_record);
        }
    }

    /// Final records of an owner's messages of which nothing else is kept.
    pub fn bare_final_records_of(&self, owner: u64) -> impl Iterator<Item = &FinalRecord> {
        self.replicas.bare_final_records_of(owner)
    }

    /// Records that the receiver accepted the callback about the outcome of a message.
    pub fn mark_callback_done(&mut self, id: &str) {
        match self.owned.get_mut(id) {
            Some(owned) => owned.callback_pending = false,
            None => self.replicas.mark_callback_done(id),
        }
    }
}
