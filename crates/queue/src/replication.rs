//! What stores decide about replicas: those of a store's own messages at others, and those that it keeps for others.
//!
//! Every message is to be on as many other disks as may be lost at once, and so is every dead letter and every message
//! whose call-back is owed. What follows when a store falls silent, returns or is given up is decided here from what the
//! queue knows; calls, disks and clocks are the caller's.
use crate::entry::{Entry, FinishedTransfer, MessageTransfer};
use crate::finished::FinalRecord;
use crate::owned::{OwnedMessage, Stage};
use crate::placement::Placement;
use crate::state::{HeldIds, Queue};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// Messages of one owner, by what is known of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MessageIds {
    /// Messages that have not ended.
    pub live: Vec<String>,
    /// Messages that have ended and of which something is owed.
    pub finished: Vec<String>,
    /// Messages of which only the end is kept.
    pub final_records: Vec<String>,
}

/// What one store gives another to keep for an owner that is away.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReplicaBatch {
    pub live: Vec<MessageTransfer>,
    pub finished: Vec<FinishedTransfer>,
    pub final_records: Vec<FinalRecord>,
}

impl ReplicaBatch {
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.finished.is_empty() && self.final_records.is_empty()
    }
}

/// What an owner learns when another store tells what it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Ends and accepted call-backs that the other may not have heard of.
    pub missed_entries: Vec<Entry>,
    /// Messages that only the other knows.
    pub unknown: Vec<String>,
    /// Messages that have not ended here, and have by what the other knows.
    pub finished_there: Vec<String>,
}

/// Which owners are away, and what was done about it. Times are milliseconds on a clock that only rises.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    /// When each owner last called this store.
    last_call_ms: BTreeMap<u64, u64>,
    /// Owners that copies came for from others, and that have not heard of them.
    unreconciled: BTreeSet<u64>,
    /// For each absent owner, the stores that were there when its copies were made whole.
    fully_replicated_among: BTreeMap<u64, BTreeSet<u64>>,
    in_progress: BTreeSet<u64>,
    /// The stores that were there when it was looked last.
    present: BTreeSet<u64>,
}

impl AbsenceTracker {
    /// An owner called.
    pub fn record_call(&mut self, owner: u64, now_ms: u64) {
        self.last_call_ms.insert(owner, now_ms);
    }

    /// Whether an owner has to hear what is kept for it before more is kept.
    pub fn must_reconcile(&self, owner: u64) -> bool {
        self.unreconciled.contains(&owner)
    }

    /// An owner has heard of all that is kept for it.
    pub fn mark_reconciled(&mut self, owner: u64) {
        self.unreconciled.remove(&owner);
    }

    /// An owner hasn't called for so long.
    pub fn is_absent(&self, owner: u64, timeout_ms: u64, now_ms: u64) -> bool {
        self.last_call_ms.get(&owner).is_none_or(|at| now_ms >= at + timeout_ms)
    }

    /// Notes which stores are there and which owners are not; tells the owners whose copies are to be made whole, and
    /// whether other stores are there than before.
    pub fn update_presence(&mut self, present: &BTreeSet<u64>, absent: &BTreeSet<u64>) -> (Vec<u64>, bool) {
        let changed = self.present != *present;
        if changed {
            self.present.clone_from(present);
        }
        self.fully_replicated_among.retain(|owner, _| absent.contains(owner));
        let mut due = Vec::new();
        for owner in absent {
            if self.fully_replicated_among.get(owner) != Some(present) && self.in_progress.insert(*owner) {
                due.push(*owner);
            }
        }
        (due, changed)
    }

    /// An absent owner's copies are whole among the stores that were there, or not.
    pub fn replication_finished(&mut self, owner: u64, among: BTreeSet<u64>, complete: bool) {
        self.in_progress.remove(&owner);
        if complete {
            self.fully_replicated_among.insert(owner, among);
        }
    }
}

/// The stores that are to hold a message, of those that are there: for every holder the same.
pub fn choose_holders(id: &str, placement: &Placement) -> Vec<u64> {
    let weight = |disk: &u64| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), *disk);
    let mut by_weight: Vec<u64> = placement.available().iter().copied().collect();
    by_weight.sort_by_key(weight);
    placement.choose(by_weight, |disk| *disk, &BTreeSet::new(), placement.required_copies())
}

/// Own messages that have not ended and lack copies.
pub fn under_replicated<'a>(
    queue: &'a Queue,
    placement: &'a Placement,
) -> impl Iterator<Item = &'a OwnedMessage> {
    let is_accepted = |owned: &&OwnedMessage| matches!(owned.stage(), Some(Stage::Waiting | Stage::Running));
    queue
        .all_owned()
        .filter(is_accepted)
        .filter(|owned| placement.missing_copies(&owned.confirmed_holders) > 0)
}

/// Own messages that have ended, of which something is owed and that lack copies.
pub fn under_replicated_finished<'a>(
    queue: &'a Queue,
    placement: &'a Placement,
) -> impl Iterator<Item = &'a OwnedMessage> {
    let retained = queue.all_owned().filter(|owned| owned.must_be_retained());
    retained.filter(|owned| placement.missing_copies(&owned.confirmed_holders) > 0)
}

/// An own message that has ended, as it is given to another store.
pub fn finished_transfer(owned: &OwnedMessage) -> Option<FinishedTransfer> {
    let finished = owned.finished_message()?.clone();
    Some(FinishedTransfer { finished, callback_done: !owned.callback_pending })
}

/// Keeps what an owner says of its messages. Tells the records to be written, and whether they have to last before the
/// owner is told so.
pub fn apply_owner_entries(queue: &mut Queue, owner: u64, entries: Vec<Entry>) -> (Vec<Entry>, bool) {
    let must_be_durable = entries.iter().any(Entry::has_message);
    let mut applied = Vec::new();
    for entry in entries {
        match &entry {
            Entry::Message { message, .. } => queue.keep_replica(owner, message.clone()),
            Entry::FinishedMessage { transfer, .. } => queue.keep_finished(owner, transfer.clone()),
            Entry::AttemptFailed { id, attempts } => queue.record_attempts(id, *attempts),
            Entry::Finished(final_record) => drop(queue.finish(final_record.clone())),
            Entry::Dropped { id, .. } => queue.drop_replica(owner, id),
            Entry::CallbackDone { id } => queue.mark_callback_done(id),
            Entry::Disk(_) | Entry::Fenced { .. } | Entry::TakenOver { .. } => continue,
        }
        applied.push(entry);
    }
    (applied, must_be_durable)
}

/// Another store has told what it holds of this store's messages.
pub fn reconcile(queue: &mut Queue, holder: u64, held: &HeldIds) -> Reconciliation {
    let mut reconciliation = Reconciliation::default();
    for id in &held.live {
        if let Some(final_record) = queue.final_record_of(id) {
            reconciliation.missed_entries.push(Entry::Finished(final_record));
        }
        match queue.owned(id) {
            Some(_) => queue.confirm_copy(id, holder),
            None if queue.is_finished(id) => {}
            None => reconciliation.unknown.push(id.clone()),
        }
    }
    for id in &held.finished {
        match queue.owned(id).map(OwnedMessage::is_live) {
            Some(true) => reconciliation.finished_there.push(id.clone()),
            Some(false) => {
                queue.confirm_copy(id, holder);
                queue.mark_notified(holder, std::slice::from_ref(id));
                let owned = queue.owned(id).filter(|owned| !owned.callback_pending);
                let callback_done = owned.filter(|owned| owned.envelope().callback.is_some());
                reconciliation
                    .missed_entries
                    .extend(callback_done.map(|_| Entry::CallbackDone { id: id.clone() }));
            }
            None => {}
        }
    }
    queue.remove_unheld(holder, held);
    reconciliation
}

/// Which of an absent owner's messages other stores should hold, of those that are there to stay. What an owner that was
/// given up owed is its heir's to copy: only ends are looked after.
pub fn replication_targets(
    queue: &Queue,
    owner: u64,
    given_up: bool,
    placement: &Placement,
) -> BTreeMap<u64, MessageIds> {
    let mut targets: BTreeMap<u64, MessageIds> = BTreeMap::new();
    let mut add = |id: &str, list: fn(&mut MessageIds) -> &mut Vec<String>| {
        for disk in choose_holders(id, placement).into_iter().filter(|disk| *disk != queue.disk()) {
            list(targets.entry(disk).or_default()).push(id.to_string());
        }
    };
    if !given_up {
        queue.replicas_of(owner).for_each(|replica| add(replica.message.id(), |ids| &mut ids.live));
        queue
            .finished_after(owner, "")
            .for_each(|transfer| add(transfer.finished.id(), |ids| &mut ids.finished));
    }
    queue
        .bare_final_records_of(owner)
        .for_each(|final_record| add(&final_record.id, |ids| &mut ids.final_records));
    targets
}

/// Which of an absent owner's messages aren't here, and of which the end isn't known.
pub fn missing_ids(queue: &Queue, owner: u64, ids: &MessageIds) -> MessageIds {
    let holds_live = |id: &str| {
        let replica = queue.replica(id).is_some_and(|replica| replica.owners.contains(&owner));
        replica || queue.owned(id).is_some() || queue.is_finished(id)
    };
    let holds_finished = |id: &str| {
        let replica = queue.finished_replica(id).is_some_and(|(owners, _)| owners.contains(&owner));
        replica || queue.owned(id).is_some_and(|owned| !owned.is_live())
    };
    let lacking = |ids: &[String], holds: &dyn Fn(&str) -> bool| -> Vec<String> {
        ids.iter().filter(|id| !holds(id)).cloned().collect()
    };
    MessageIds {
        live: lacking(&ids.live, &holds_live),
        finished: lacking(&ids.finished, &holds_finished),
        final_records: lacking(&ids.final_records, &|id| queue.is_finished(id)),
    }
}

/// Keeps messages and ends for an owner that is away; tells the records to be written. The owner has to hear of the
/// messages that have not ended before anything more is kept for it.
pub fn keep_replica_batch(
    queue: &mut Queue,
    absences: &mut AbsenceTracker,
    owner: u64,
    batch: ReplicaBatch,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    if !batch.live.is_empty() {
        absences.unreconciled.insert(owner);
    }
    for MessageTransfer { message, attempts } in batch.live {
        let id = message.id().to_string();
        queue.keep_replica(owner, message.clone());
        queue.record_attempts(&id, attempts);
        entries.push(Entry::Message { owner, message });
        entries.push(Entry::AttemptFailed { id, attempts });
    }
    for transfer in batch.finished {
        queue.keep_finished(owner, transfer.clone());
        entries.push(Entry::FinishedMessage { owner, transfer });
    }
    for final_record in batch.final_records {
        queue.keep_final_record(owner, final_record.clone());
        entries.push(Entry::Finished(final_record));
    }
    entries
}

/// Owns messages from now on. Tells the records to be written, and the ids of those that are new here: they run once
/// the records last.
pub fn adopt(queue: &mut Queue, transfers: Vec<MessageTransfer>) -> (Vec<Entry>, Vec<String>) {
    let mut entries = Vec::new();
    let mut ids = Vec::new();
    for MessageTransfer { message, attempts } in transfers {
        let id = message.id().to_string();
        let entry = Entry::Message { owner: queue.disk(), message: message.clone() };
        if !queue.add(message) {
            continue;
        }
        entries.push(entry);
        if attempts > 0 {
            entries.push(Entry::AttemptFailed { id: id.clone(), attempts });
            queue.record_attempts(&id, attempts);
        }
        ids.push(id);
    }
    (entries, ids)
}

/// Owns messages that have ended from now on, with what is owed of them. Tells the records to be written, and those that
/// are new here.
pub fn adopt_finished(
    queue: &mut Queue,
    transfers: Vec<FinishedTransfer>,
) -> (Vec<Entry>, Vec<FinishedTransfer>) {
    let mut entries = Vec::new();
    let mut new = Vec::new();
    for transfer in transfers {
        if !queue.adopt_finished(transfer.clone()) {
            continue;
        }
        let Some(transfer) = queue.owned(transfer.finished.id()).and_then(finished_transfer) else {
            continue;
        };
        entries.push(Entry::FinishedMessage { owner: queue.disk(), transfer: transfer.clone() });
        new.push(transfer);
    }
    (entries, new)
}

/// Messages of an owner that are here and have not ended: own ones, or replicas.
pub fn live_transfers(queue: &Queue, owner: u64) -> Vec<MessageTransfer> {
    if owner != queue.disk() {
        return queue.replicas_of(owner).map(MessageTransfer::from).collect();
    }
    let transfer = |owned: &OwnedMessage| {
        Some(MessageTransfer { message: owned.live_message()?.clone(), attempts: owned.attempts })
    };
    queue.all_owned().filter_map(transfer).collect()
}

/// Messages of an owner that are here, have ended, and of which something is owed: own ones, or replicas.
pub fn finished_transfers(queue: &Queue, owner: u64) -> Vec<FinishedTransfer> {
    if owner != queue.disk() {
        return queue.finished_after(owner, "").collect();
    }
    queue.all_owned().filter(|owned| owned.must_be_retained()).filter_map(finished_transfer).collect()
}

/// Those of some messages that are owned and safe here, or whose end is known: nobody else is to run them.
pub fn accepted_or_finished(queue: &Queue, mut ids: Vec<String>) -> Vec<String> {
    let is_accepted =
        |id: &str| queue.owned(id).is_some_and(|owned| owned.stage() != Some(Stage::Replicating));
    ids.retain(|id| is_accepted(id) || queue.is_finished(id));
    ids
}

/// The records that tell all that is known of a message, for a log that gives up older ones.
pub fn current_entries(queue: &Queue, id: &str) -> Vec<Entry> {
    if let Some(owned) = queue.owned(id) {
        return current_entries_of_owned(queue.disk(), owned);
    }
    let mut entries = Vec::new();
    if let Some(replica) = queue.replica(id) {
        let message = |owner: &u64| Entry::Message { owner: *owner, message: replica.message.clone() };
        entries.extend(replica.owners.iter().map(message));
        entries.push(Entry::AttemptFailed { id: id.to_string(), attempts: replica.attempts });
    } else if let Some((owners, transfer)) = queue.finished_replica(id) {
        let message = |owner: &u64| Entry::FinishedMessage { owner: *owner, transfer: transfer.clone() };
        entries.extend(owners.iter().map(message));
    } else if let Some(final_record) = queue.final_record_of(id) {
        entries.push(Entry::Finished(final_record));
        if queue.is_callback_done(id) {
            entries.push(Entry::CallbackDone { id: id.to_string() });
        }
    }
    entries
}

fn current_entries_of_owned(disk: u64, owned: &OwnedMessage) -> Vec<Entry> {
    if let Some(transfer) = finished_transfer(owned) {
        return vec![Entry::FinishedMessage { owner: disk, transfer }];
    }
    let mut entries = Vec::new();
    if let Some(message) = owned.live_message() {
        let owners = [disk].into_iter().chain(owned.replica_owners.iter().copied());
        entries.extend(owners.map(|owner| Entry::Message { owner, message: message.clone() }));
    }
    if owned.attempts > 0 {
        entries.push(Entry::AttemptFailed { id: owned.id().to_string(), attempts: owned.attempts });
    }
    entries
}
