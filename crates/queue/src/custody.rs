//! What stores decide about replicas: those of a store's own messages at others, and those that it keeps for others.
//!
//! Every message is to be on as many other disks as may be lost at once, and so is every dead letter and every message
//! whose call-back is owed. What follows when a store falls silent, returns or is given up is decided here from what the
//! queue knows; calls, disks and clocks are the caller's.
use crate::ended::End;
use crate::entry::{Entry, Given, GivenEnded};
use crate::owned::{OwnedMessage, Stage};
use crate::placement::Placement;
use crate::view::{HeldIds, Queue};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// Messages of one owner, by what is known of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Ids {
    /// Messages that have not ended.
    pub live: Vec<String>,
    /// Messages that have ended and of which something is owed.
    pub ended: Vec<String>,
    /// Messages of which only the end is kept.
    pub ends: Vec<String>,
}

/// What one store gives another to keep for an owner that is away.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Preserved {
    pub live: Vec<Given>,
    pub ended: Vec<GivenEnded>,
    pub ends: Vec<End>,
}

impl Preserved {
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.ended.is_empty() && self.ends.is_empty()
    }
}

/// What an owner learns when another store tells what it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciled {
    /// Ends and accepted call-backs that the other may not have heard of.
    pub ends: Vec<Entry>,
    /// Messages that only the other knows.
    pub unknown: Vec<String>,
    /// Messages that have not ended here, and have by what the other knows.
    pub ended_there: Vec<String>,
}

/// Which owners are away, and what was done about it. Times are milliseconds on a clock that only rises.
#[derive(Debug, Default)]
pub struct Absences {
    /// When each owner last called this store.
    called: BTreeMap<u64, u64>,
    /// Owners that copies came for from others, and that have not heard of them.
    unreconciled: BTreeSet<u64>,
    /// For each absent owner, the stores that were there when its copies were made whole.
    whole_among: BTreeMap<u64, BTreeSet<u64>>,
    under_way: BTreeSet<u64>,
    /// The stores that were there when it was looked last.
    present: BTreeSet<u64>,
}

impl Absences {
    /// An owner called.
    pub fn heard(&mut self, owner: u64, now: u64) {
        self.called.insert(owner, now);
    }

    /// Whether an owner has to hear what is kept for it before more is kept.
    pub fn must_reconcile(&self, owner: u64) -> bool {
        self.unreconciled.contains(&owner)
    }

    /// An owner has heard of all that is kept for it.
    pub fn reconciled(&mut self, owner: u64) {
        self.unreconciled.remove(&owner);
    }

    /// An owner hasn't called for so long.
    pub fn is_silent(&self, owner: u64, away: u64, now: u64) -> bool {
        self.called.get(&owner).is_none_or(|at| now >= at + away)
    }

    /// Notes which stores are there and which owners are not; tells the owners whose copies are to be made whole, and
    /// whether other stores are there than before.
    pub fn look(&mut self, present: &BTreeSet<u64>, absent: &BTreeSet<u64>) -> (Vec<u64>, bool) {
        let changed = self.present != *present;
        if changed {
            self.present.clone_from(present);
        }
        self.whole_among.retain(|owner, _| absent.contains(owner));
        let mut due = Vec::new();
        for owner in absent {
            if self.whole_among.get(owner) != Some(present) && self.under_way.insert(*owner) {
                due.push(*owner);
            }
        }
        (due, changed)
    }

    /// An absent owner's copies are whole among the stores that were there, or not.
    pub fn done(&mut self, owner: u64, among: BTreeSet<u64>, whole: bool) {
        self.under_way.remove(&owner);
        if whole {
            self.whole_among.insert(owner, among);
        }
    }
}

/// The stores that are to hold a message, of those that are there: for every holder the same.
pub fn chosen(id: &str, placement: &Placement) -> Vec<u64> {
    let weight = |disk: &u64| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), *disk);
    let mut by_weight: Vec<u64> = placement.present().iter().copied().collect();
    by_weight.sort_by_key(weight);
    placement.choose(by_weight, |disk| *disk, &BTreeSet::new(), placement.copies())
}

/// Own messages that have not ended and lack copies.
pub fn lacking_copies<'a>(
    queue: &'a Queue,
    placement: &'a Placement,
) -> impl Iterator<Item = &'a OwnedMessage> {
    let safe = |owned: &&OwnedMessage| matches!(owned.stage(), Some(Stage::Waiting | Stage::Running));
    queue.all_owned().filter(safe).filter(|owned| placement.missing(&owned.copies) > 0)
}

/// Own messages that have ended, of which something is owed and that lack copies.
pub fn lacking_ended<'a>(
    queue: &'a Queue,
    placement: &'a Placement,
) -> impl Iterator<Item = &'a OwnedMessage> {
    let owing = queue.all_owned().filter(|owned| owned.owes_after_end());
    owing.filter(|owned| placement.missing(&owned.copies) > 0)
}

/// An own message that has ended, as it is given to another store.
pub fn given_ended(owned: &OwnedMessage) -> Option<GivenEnded> {
    let ended = owned.ended_message()?.clone();
    Some(GivenEnded { ended, called_back: !owned.owes_callback })
}

/// Keeps what an owner says of its messages. Tells the records to be written, and whether they have to last before the
/// owner is told so.
pub fn keep(queue: &mut Queue, owner: u64, entries: Vec<Entry>) -> (Vec<Entry>, bool) {
    let must_last = entries.iter().any(Entry::has_message);
    let mut kept = Vec::new();
    for entry in entries {
        match &entry {
            Entry::Message { message, .. } => queue.keep(owner, message.clone()),
            Entry::EndedMessage { given, .. } => queue.keep_ended(owner, given.clone()),
            Entry::Failed { id, attempts } => queue.note_attempts(id, *attempts),
            Entry::Ended(end) => drop(queue.end(end.clone())),
            Entry::Dropped { id, .. } => queue.drop_replica_of(owner, id),
            Entry::CalledBack { id } => queue.called_back(id),
            Entry::Disk(_) | Entry::Fenced { .. } | Entry::TakenOver { .. } => continue,
        }
        kept.push(entry);
    }
    (kept, must_last)
}

/// Another store has told what it holds of this store's messages.
pub fn reconcile(queue: &mut Queue, holder: u64, held: &HeldIds) -> Reconciled {
    let mut reconciled = Reconciled::default();
    for id in &held.live {
        if let Some(end) = queue.end_of(id) {
            reconciled.ends.push(Entry::Ended(end));
        }
        match queue.owned(id) {
            Some(_) => queue.copy_kept(id, holder),
            None if queue.has_ended(id) => {}
            None => reconciled.unknown.push(id.clone()),
        }
    }
    for id in &held.ended {
        match queue.owned(id).map(OwnedMessage::is_live) {
            Some(true) => reconciled.ended_there.push(id.clone()),
            Some(false) => {
                queue.copy_kept(id, holder);
                queue.told(holder, std::slice::from_ref(id));
                let owned = queue.owned(id).filter(|owned| !owned.owes_callback);
                let called_back = owned.filter(|owned| owned.envelope().callback.is_some());
                reconciled.ends.extend(called_back.map(|_| Entry::CalledBack { id: id.clone() }));
            }
            None => {}
        }
    }
    queue.not_held(holder, held);
    reconciled
}

/// Which of an absent owner's messages other stores should hold, of those that are there to stay. What an owner that was
/// given up owed is its heir's to copy: only ends are looked after.
pub fn targets(queue: &Queue, owner: u64, given_up: bool, placement: &Placement) -> BTreeMap<u64, Ids> {
    let mut targets: BTreeMap<u64, Ids> = BTreeMap::new();
    let mut add = |id: &str, list: fn(&mut Ids) -> &mut Vec<String>| {
        for disk in chosen(id, placement).into_iter().filter(|disk| *disk != queue.disk()) {
            list(targets.entry(disk).or_default()).push(id.to_string());
        }
    };
    if !given_up {
        queue.replicas_of(owner).for_each(|replica| add(replica.message.id(), |ids| &mut ids.live));
        queue.ended_after(owner, "").for_each(|given| add(given.ended.id(), |ids| &mut ids.ended));
    }
    queue.bare_ends_of(owner).for_each(|end| add(&end.id, |ids| &mut ids.ends));
    targets
}

/// Which of an absent owner's messages aren't here, and of which the end isn't known.
pub fn lacking_of(queue: &Queue, owner: u64, ids: &Ids) -> Ids {
    let holds_live = |id: &str| {
        let replica = queue.replica(id).is_some_and(|replica| replica.owners.contains(&owner));
        replica || queue.owned(id).is_some() || queue.has_ended(id)
    };
    let holds_ended = |id: &str| {
        let replica = queue.ended_replica(id).is_some_and(|(owners, _)| owners.contains(&owner));
        replica || queue.owned(id).is_some_and(|owned| !owned.is_live())
    };
    let lacking = |ids: &[String], holds: &dyn Fn(&str) -> bool| -> Vec<String> {
        ids.iter().filter(|id| !holds(id)).cloned().collect()
    };
    Ids {
        live: lacking(&ids.live, &holds_live),
        ended: lacking(&ids.ended, &holds_ended),
        ends: lacking(&ids.ends, &|id| queue.has_ended(id)),
    }
}

/// Keeps messages and ends for an owner that is away; tells the records to be written. The owner has to hear of the
/// messages that have not ended before anything more is kept for it.
pub fn preserve(queue: &mut Queue, absences: &mut Absences, owner: u64, preserved: Preserved) -> Vec<Entry> {
    let mut entries = Vec::new();
    if !preserved.live.is_empty() {
        absences.unreconciled.insert(owner);
    }
    for Given { message, attempts } in preserved.live {
        let id = message.id().to_string();
        queue.keep(owner, message.clone());
        queue.note_attempts(&id, attempts);
        entries.push(Entry::Message { owner, message });
        entries.push(Entry::Failed { id, attempts });
    }
    for given in preserved.ended {
        queue.keep_ended(owner, given.clone());
        entries.push(Entry::EndedMessage { owner, given });
    }
    for end in preserved.ends {
        queue.keep_end(owner, end.clone());
        entries.push(Entry::Ended(end));
    }
    entries
}

/// Owns messages from now on. Tells the records to be written, and the ids of those that are new here: they run once
/// the records last.
pub fn adopt(queue: &mut Queue, given: Vec<Given>) -> (Vec<Entry>, Vec<String>) {
    let mut entries = Vec::new();
    let mut ids = Vec::new();
    for Given { message, attempts } in given {
        let id = message.id().to_string();
        let entry = Entry::Message { owner: queue.disk(), message: message.clone() };
        if !queue.add(message) {
            continue;
        }
        entries.push(entry);
        if attempts > 0 {
            entries.push(Entry::Failed { id: id.clone(), attempts });
            queue.note_attempts(&id, attempts);
        }
        ids.push(id);
    }
    (entries, ids)
}

/// Owns messages that have ended from now on, with what is owed of them. Tells the records to be written, and those that
/// are new here.
pub fn adopt_ended(queue: &mut Queue, given: Vec<GivenEnded>) -> (Vec<Entry>, Vec<GivenEnded>) {
    let mut entries = Vec::new();
    let mut new = Vec::new();
    for given in given {
        if !queue.adopt_ended(given.clone()) {
            continue;
        }
        let Some(given) = queue.owned(given.ended.id()).and_then(given_ended) else { continue };
        entries.push(Entry::EndedMessage { owner: queue.disk(), given: given.clone() });
        new.push(given);
    }
    (entries, new)
}

/// Messages of an owner that are here and have not ended: own ones, or replicas.
pub fn messages_of(queue: &Queue, owner: u64) -> Vec<Given> {
    if owner != queue.disk() {
        return queue.replicas_of(owner).map(Given::from).collect();
    }
    let given = |owned: &OwnedMessage| {
        Some(Given { message: owned.live_message()?.clone(), attempts: owned.attempts })
    };
    queue.all_owned().filter_map(given).collect()
}

/// Messages of an owner that are here, have ended, and of which something is owed: own ones, or replicas.
pub fn ended_of(queue: &Queue, owner: u64) -> Vec<GivenEnded> {
    if owner != queue.disk() {
        return queue.ended_after(owner, "").collect();
    }
    queue.all_owned().filter(|owned| owned.owes_after_end()).filter_map(given_ended).collect()
}

/// Those of some messages that are owned and safe here, or whose end is known: nobody else is to run them.
pub fn decided(queue: &Queue, mut ids: Vec<String>) -> Vec<String> {
    let is_safe = |id: &str| queue.owned(id).is_some_and(|owned| owned.stage() != Some(Stage::Copying));
    ids.retain(|id| is_safe(id) || queue.has_ended(id));
    ids
}

/// The records that tell all that is known of a message, for a log that gives up older ones.
pub fn records_of(queue: &Queue, id: &str) -> Vec<Entry> {
    if let Some(owned) = queue.owned(id) {
        return records_of_owned(queue.disk(), owned);
    }
    let mut entries = Vec::new();
    if let Some(replica) = queue.replica(id) {
        let message = |owner: &u64| Entry::Message { owner: *owner, message: replica.message.clone() };
        entries.extend(replica.owners.iter().map(message));
        entries.push(Entry::Failed { id: id.to_string(), attempts: replica.attempts });
    } else if let Some((owners, given)) = queue.ended_replica(id) {
        let message = |owner: &u64| Entry::EndedMessage { owner: *owner, given: given.clone() };
        entries.extend(owners.iter().map(message));
    } else if let Some(end) = queue.end_of(id) {
        entries.push(Entry::Ended(end));
        if queue.is_called_back(id) {
            entries.push(Entry::CalledBack { id: id.to_string() });
        }
    }
    entries
}

fn records_of_owned(disk: u64, owned: &OwnedMessage) -> Vec<Entry> {
    if let Some(given) = given_ended(owned) {
        return vec![Entry::EndedMessage { owner: disk, given }];
    }
    let mut entries = Vec::new();
    if let Some(message) = owned.live_message() {
        let owners = [disk].into_iter().chain(owned.kept_for.iter().copied());
        entries.extend(owners.map(|owner| Entry::Message { owner, message: message.clone() }));
    }
    if owned.attempts > 0 {
        entries.push(Entry::Failed { id: owned.id().to_string(), attempts: owned.attempts });
    }
    entries
}
