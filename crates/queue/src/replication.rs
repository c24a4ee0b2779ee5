//! Decisions about replicas: those of a store's own messages at other stores, and those that it holds for
//! others.
//!
//! Every message has to be on as many other disks as may be lost at once, and so does every dead letter and
//! every finished message with a pending callback or an operation key. This module decides from the state of
//! the queue what to do when a store becomes unreachable, returns or is declared lost. Network calls, disk
//! writes and clocks are left to the caller.
use crate::entry::{Entry, FinishedTransfer, MessageTransfer};
use crate::finished::FinalRecord;
use crate::owned::{OwnedMessage, Stage};
use crate::placement::Placement;
use crate::state::{HeldIds, Queue};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ids of one owner's messages, grouped by what is stored for each: an unfinished message, a finished one, or
/// only its final record.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MessageIds {
    /// Messages that have not finished.
    pub live: Vec<String>,
    /// Finished messages that have to be retained.
    pub finished: Vec<String>,
    /// Finished messages for which only the final record is kept.
    pub final_records: Vec<String>,
}

/// Replicas that one store sends to another to hold for an absent owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReplicaBatch {
    /// Unfinished messages.
    pub live: Vec<MessageTransfer>,
    /// Finished messages that have to be retained.
    pub finished: Vec<FinishedTransfer>,
    /// Final records without their messages.
    pub final_records: Vec<FinalRecord>,
}

impl ReplicaBatch {
    /// Whether the batch contains nothing.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.finished.is_empty() && self.final_records.is_empty()
    }
}

/// What an owner learns from the list of messages that another store holds for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Outcomes and completed callbacks that the holder may not know.
    pub missed_entries: Vec<Entry>,
    /// Messages that only the holder knows.
    pub unknown: Vec<String>,
    /// Messages that have not finished here, but have finished as far as the holder knows.
    pub finished_there: Vec<String>,
}

/// Tracks which owners are absent, and the replication of their messages. Times are milliseconds of a
/// monotonic clock.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    /// When each owner last called this store.
    last_call_ms: BTreeMap<u64, u64>,
    /// Owners that have not learned yet which replicas other stores added here for them.
    unreconciled: BTreeSet<u64>,
    /// For each absent owner, the available stores at the time when its messages were last fully replicated.
    fully_replicated_among: BTreeMap<u64, BTreeSet<u64>>,
    /// Absent owners whose messages are being replicated now.
    in_progress: BTreeSet<u64>,
    /// The stores that were available at the last update.
    present: BTreeSet<u64>,
}

impl AbsenceTracker {
    /// Records a call from an owner.
    pub fn record_call(&mut self, owner: u64, now_ms: u64) {
        self.last_call_ms.insert(owner, now_ms);
    }

    /// Whether an owner has to learn what is held for it before it may add anything more.
    pub fn must_reconcile(&self, owner: u64) -> bool {
        self.unreconciled.contains(&owner)
    }

    /// Records that an owner has learned of everything held for it.
    pub fn mark_reconciled(&mut self, owner: u64) {
        self.unreconciled.remove(&owner);
    }

    /// Whether an owner has not called for `timeout_ms`.
    pub fn is_absent(&self, owner: u64, timeout_ms: u64, now_ms: u64) -> bool {
        self.last_call_ms.get(&owner).is_none_or(|at| now_ms >= at + timeout_ms)
    }

    /// Records which stores are available and which owners are absent. Returns the absent owners whose
    /// messages have to be replicated now, and whether the set of available stores changed.
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

    /// Records that replication for an absent owner has ended, and whether its messages are fully replicated
    /// among these stores.
    pub fn replication_finished(&mut self, owner: u64, among: BTreeSet<u64>, complete: bool) {
        self.in_progress.remove(&owner);
        if complete {
            self.fully_replicated_among.insert(owner, among);
        }
    }
}

/// The available stores that should hold a message, chosen by rendezvous hashing: every holder computes the
/// same result.
pub fn choose_holders(id: &str, placement: &Placement) -> Vec<u64> {
    let weight = |disk: &u64| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), *disk);
    let mut by_weight: Vec<u64> = placement.available().iter().copied().collect();
    by_weight.sort_by_key(weight);
    placement.choose(by_weight, |disk| *disk, &BTreeSet::new(), placement.required_copies())
}

/// Own unfinished messages that lack copies.
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

/// Own finished messages that have to be retained and lack copies.
pub fn under_replicated_finished<'a>(
    queue: &'a Queue,
    placement: &'a Placement,
) -> impl Iterator<Item = &'a OwnedMessage> {
    let retained = queue.all_owned().filter(|owned| owned.must_be_retained());
    retained.filter(|owned| placement.missing_copies(&owned.confirmed_holders) > 0)
}

/// The transfer of an owned message to another store, if it has finished.
pub fn finished_transfer(owned: &OwnedMessage) -> Option<FinishedTransfer> {
    let finished = owned.finished_message()?.clone();
    Some(FinishedTransfer { finished, callback_done: !owned.callback_pending })
}

/// Applies records that an owner sent about its messages. Returns the records to write to the log, and
/// whether they have to be durable before they are acknowledged.
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

/// Compares the messages owned here with what another store holds of them, and updates their holders.
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

/// Which messages of an absent owner each of the available stores should hold. If the owner was declared
/// lost, its successor takes care of the messages, so only final records are included.
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

/// Which of these messages of an absent owner are missing here, and which final records are unknown.
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

/// Holds messages and final records for an absent owner, and returns the records to write to the log. If
/// there are unfinished messages among them, the owner has to reconcile before it may add anything more.
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

/// Takes ownership of messages. Returns the records to write to the log, and the ids of the messages that are
/// new here; these may run once the records are durable.
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

/// Takes ownership of finished messages. Returns the records to write to the log, and the messages that are
/// new here.
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

/// Unfinished messages of an owner: owned messages if the owner is this store, replicas otherwise.
pub fn live_transfers(queue: &Queue, owner: u64) -> Vec<MessageTransfer> {
    if owner != queue.disk() {
        return queue.replicas_of(owner).map(MessageTransfer::from).collect();
    }
    let transfer = |owned: &OwnedMessage| {
        Some(MessageTransfer { message: owned.live_message()?.clone(), attempts: owned.attempts })
    };
    queue.all_owned().filter_map(transfer).collect()
}

/// Finished messages of an owner that have to be retained: owned messages if the owner is this store,
/// replicas otherwise.
pub fn finished_transfers(queue: &Queue, owner: u64) -> Vec<FinishedTransfer> {
    if owner != queue.disk() {
        return queue.finished_after(owner, "").collect();
    }
    queue.all_owned().filter(|owned| owned.must_be_retained()).filter_map(finished_transfer).collect()
}

/// Those of the given messages that this store has accepted or knows to have finished. No other store may run
/// them.
pub fn accepted_or_finished(queue: &Queue, mut ids: Vec<String>) -> Vec<String> {
    let is_accepted =
        |id: &str| queue.owned(id).is_some_and(|owned| owned.stage() != Some(Stage::Replicating));
    ids.retain(|id| is_accepted(id) || queue.is_finished(id));
    ids
}

/// The records that describe the current state of a message, for compaction of the log. They are appended
/// behind all earlier records of the message, so that a restart applies them last.
pub fn current_entries(queue: &Queue, id: &str) -> Vec<Entry> {
    if let Some(owned) = queue.owned(id) {
        return current_entries_of_owned(queue.disk(), owned);
    }
    let mut entries = Vec::new();
    if queue.has_relinquished(id) {
        entries.push(Entry::Dropped { owner: queue.disk(), id: id.to_string() });
    }
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
    let owners = [disk].into_iter().chain(owned.replica_owners.iter().copied());
    if let Some(transfer) = finished_transfer(owned) {
        return owners.map(|owner| Entry::FinishedMessage { owner, transfer: transfer.clone() }).collect();
    }
    let mut entries = Vec::new();
    if let Some(message) = owned.live_message() {
        entries.extend(owners.map(|owner| Entry::Message { owner, message: message.clone() }));
    }
    if owned.attempts > 0 {
        entries.push(Entry::AttemptFailed { id: owned.id().to_string(), attempts: owned.attempts });
    }
    entries
}
