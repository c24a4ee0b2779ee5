//! What a queue keeps for other stores, as they ask for it.
use super::Queue;
use crate::entry::FinishedTransfer;
use crate::finished::FinalRecord;
use crate::message::Message;
use crate::replicas::Replica;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;
use std::ops::Bound;

/// What a store holds for the owner of some messages, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldIds {
    /// Messages that have not ended as far as it knows.
    pub live: BTreeSet<String>,
    /// Messages that have ended, with what is still owed of them.
    pub finished: BTreeSet<String>,
}

impl HeldIds {
    /// As many of the first ids after one, and whether there are more.
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

    /// The last id.
    pub fn last(&self) -> Option<&String> {
        self.live.last().max(self.finished.last())
    }
}

impl Queue {
    /// Keeps a message for another store.
    pub fn keep_replica(&mut self, owner: u64, message: Message) {
        match self.owned.get_mut(message.id()) {
            Some(owned) => drop(owned.replica_owners.insert(owner)),
            None => self.replicas.keep(owner, message),
        }
    }

    /// Keeps a message that has ended for another store. What is owned here and has not ended is ended by the caller.
    pub fn keep_finished(&mut self, owner: u64, transfer: FinishedTransfer) {
        match self.owned.get_mut(transfer.finished.id()) {
            Some(owned) => drop(owned.replica_owners.insert(owner)),
            None => self.replicas.keep_finished(owner, transfer),
        }
    }

    /// Nothing is kept of a message for this owner any more: what was kept for it alone goes, but for ends.
    pub fn drop_replica(&mut self, owner: u64, id: &str) {
        if let Some(owned) = self.owned.get_mut(id) {
            owned.replica_owners.remove(&owner);
        }
        self.replicas.drop_for(owner, id);
    }

    /// A replica that is kept here of a message that has not ended.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.replicas.live(id)
    }

    /// Replicas of messages of an owner that have not ended, by id.
    pub fn replicas_of(&self, owner: u64) -> impl Iterator<Item = &Replica> {
        self.replicas_after(owner, "")
    }

    /// The same, from the first id after one on.
    pub fn replicas_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Replica> {
        self.replicas.live_after(owner, after)
    }

    /// What is kept of an owner's messages that have ended, by id, from the first id after one on.
    pub fn finished_after<'a>(
        &'a self,
        owner: u64,
        after: &str,
    ) -> impl Iterator<Item = FinishedTransfer> + 'a {
        self.replicas.finished_after(owner, after)
    }

    /// What is kept of a message of others that has ended, and for whom.
    pub fn finished_replica(&self, id: &str) -> Option<(&BTreeSet<u64>, FinishedTransfer)> {
        self.replicas.finished(id)
    }

    /// The call-back about the end of a message of others is known to have been accepted.
    pub fn is_callback_done(&self, id: &str) -> bool {
        self.replicas.is_callback_done(id)
    }

    /// All that is held for a store: replicas, and own messages of which there will be one once they are left to others.
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

    /// Keeps the end of a message of another store, which is known from a third one.
    pub fn keep_final_record(&mut self, owner: u64, final_record: FinalRecord) {
        if !self.owned.contains_key(&final_record.id) {
            self.replicas.keep_final_record(owner, final_record);
        }
    }

    /// Ends of another store's messages of which nothing else is kept.
    pub fn bare_final_records_of(&self, owner: u64) -> impl Iterator<Item = &FinalRecord> {
        self.replicas.bare_final_records_of(owner)
    }

    /// The call-back about an end was accepted.
    pub fn mark_callback_done(&mut self, id: &str) {
        match self.owned.get_mut(id) {
            Some(owned) => owned.callback_pending = false,
            None => self.replicas.mark_callback_done(id),
        }
    }
}
