//! What stores decide about copies: those of a store's own messages at others, and those that it keeps for others.
//!
//! Every message is to be on as many other disks as may be lost at once. What follows when a store falls silent, returns
//! or is given up is decided here from what the queue knows; calls, disks and clocks are the caller's.
use crate::entry::{End, Entry, Message};
use crate::others::Copy;
use crate::view::{Known, Queue, Stage};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// A message as one store gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Given {
    pub message: Message,
    /// Attempts that failed.
    pub attempts: u32,
}

impl From<&Copy> for Given {
    fn from(copy: &Copy) -> Given {
        Given { message: (*copy.message).clone(), attempts: copy.attempts }
    }
}

/// Ids of messages that have not ended, and of those that have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ids {
    pub live: Vec<String>,
    pub ended: Vec<String>,
}

/// What an owner learns when another store tells what it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciled {
    /// Ends that the other hasn't heard of.
    pub ends: Vec<Entry>,
    /// Messages that only the other knows.
    pub unknown: Vec<String>,
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
pub fn chosen(id: &str, stores: &BTreeSet<u64>, count: usize) -> Vec<u64> {
    let weight = |disk: &u64| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), *disk);
    let mut by_weight: Vec<u64> = stores.iter().copied().collect();
    by_weight.sort_by_key(weight);
    by_weight.truncate(count);
    by_weight
}

/// Own messages that have not ended and are at fewer of the stores that are there than is wanted.
pub fn lacking_copies<'a>(
    queue: &'a Queue,
    present: &'a BTreeSet<u64>,
    wanted: usize,
) -> impl Iterator<Item = &'a Known> {
    let live = queue.all_owned().filter(|known| matches!(known.stage, Stage::Waiting | Stage::Running));
    live.filter(move |known| known.copies.intersection(present).count() < wanted)
}

/// Keeps what an owner says of its messages. Tells the records to be written, and whether they have to last before the
/// owner is told so.
pub fn keep(queue: &mut Queue, owner: u64, entries: Vec<Entry>) -> (Vec<Entry>, bool) {
    let mut kept = Vec::new();
    let mut must_last = false;
    for entry in entries {
        match &entry {
            Entry::Message { message, .. } => {
                queue.keep(owner, message.clone());
                must_last = true;
            }
            Entry::Failed { id, attempts } => queue.note_attempts(id, *attempts),
            Entry::Ended(end) => {
                queue.end(end.clone());
            }
            Entry::Dropped { id, .. } => queue.drop_copy_of(owner, id),
            Entry::CalledBack { id } => queue.called_back(id),
            Entry::Disk(_) | Entry::Fenced { .. } => continue,
        }
        kept.push(entry);
    }
    (kept, must_last)
}

/// Another store has told which copies of this store's messages it holds.
pub fn reconcile(queue: &mut Queue, holder: u64, held: &BTreeSet<String>) -> Reconciled {
    let mut reconciled = Reconciled::default();
    for id in held {
        if let Some(end) = queue.end_of(id).cloned() {
            reconciled.ends.push(Entry::Ended(end));
        } else if queue.owned(id).is_some() {
            queue.copy_kept(id, holder);
        } else {
            reconciled.unknown.push(id.clone());
        }
    }
    queue.not_held(holder, held);
    reconciled
}

/// Which of an absent owner's messages other stores should hold, of those that are there to stay. Live ones of an owner
/// that was given up are its heir's to copy: only their ends are looked after.
pub fn targets(
    queue: &Queue,
    owner: u64,
    given_up: bool,
    stores: &BTreeSet<u64>,
    count: usize,
) -> BTreeMap<u64, Ids> {
    let others = |id: &str| chosen(id, stores, count).into_iter().filter(|disk| *disk != queue.disk());
    let mut targets: BTreeMap<u64, Ids> = BTreeMap::new();
    for copy in queue.copies_of(owner).filter(|_| !given_up) {
        let id = &copy.message.id;
        others(id).for_each(|disk| targets.entry(disk).or_default().live.push(id.clone()));
    }
    for end in queue.ends_of(owner) {
        others(&end.id).for_each(|disk| targets.entry(disk).or_default().ended.push(end.id.clone()));
    }
    targets
}

/// Which of an absent owner's messages aren't here, and of which the end isn't known.
pub fn lacking_of(queue: &Queue, owner: u64, ids: &Ids) -> Vec<String> {
    let held = |id: &str| {
        let copied = queue.copy(id).is_some_and(|copy| copy.owners.contains(&owner));
        copied || queue.owned(id).is_some() || queue.end_of(id).is_some()
    };
    let live = ids.live.iter().filter(|id| !held(id));
    let ended = ids.ended.iter().filter(|id| queue.end_of(id).is_none());
    live.chain(ended).cloned().collect()
}

/// Keeps copies and ends for an owner that is away; tells the records to be written. The owner has to hear of the
/// copies before anything more is kept for it.
pub fn preserve(
    queue: &mut Queue,
    absences: &mut Absences,
    owner: u64,
    given: Vec<Given>,
    ends: Vec<End>,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    if !given.is_empty() {
        absences.unreconciled.insert(owner);
    }
    for Given { message, attempts } in given {
        let id = message.id.clone();
        queue.keep(owner, message.clone());
        queue.note_attempts(&id, attempts);
        entries.push(Entry::Message { owner, message });
        entries.push(Entry::Failed { id, attempts });
    }
    for end in ends {
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
        let id = message.id.clone();
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

/// A call-back that is owed about an end, as one store gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Owed {
    /// The message, without its body.
    pub message: Message,
    pub end: End,
}

/// Owes call-backs from now on. Tells the records to be written, and the call-backs that are new here.
pub fn adopt_owed(queue: &mut Queue, owed: Vec<Owed>) -> (Vec<Entry>, Vec<Owed>) {
    let mut entries = Vec::new();
    let mut new = Vec::new();
    for owed in owed {
        if queue.adopt_owed(owed.message.clone(), owed.end.clone()) {
            entries.push(Entry::Message { owner: queue.disk(), message: owed.message.clone() });
            entries.push(Entry::Ended(owed.end.clone()));
            new.push(owed);
        }
    }
    (entries, new)
}

/// Messages of an owner that are here and have not ended: own ones, or copies.
pub fn messages_of(queue: &Queue, owner: u64) -> Vec<Given> {
    if owner == queue.disk() {
        let live = queue.all_owned().filter(|known| !matches!(known.stage, Stage::Ended(_)));
        let given = |known: &Known| Given { message: (*known.message).clone(), attempts: known.attempts };
        return live.map(given).collect();
    }
    queue.copies_of(owner).map(Given::from).collect()
}

/// Those of some messages that are owned and safe here, or whose end is known: nobody else is to run them.
pub fn decided(queue: &Queue, mut ids: Vec<String>) -> Vec<String> {
    let is_safe = |id: &str| queue.owned(id).is_some_and(|known| known.stage != Stage::Copying);
    ids.retain(|id| is_safe(id) || queue.end_of(id).is_some());
    ids
}
