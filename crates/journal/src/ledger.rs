//! What a file's records come to.
use crate::record::{Begun, Ending, Inheritance, Record, Release, Stamp, Taken};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An id's upper bits are the number of the process that took the message on.
const ID_BITS: u32 = 40;

pub fn first_id(number: u64) -> u64 {
    number << ID_BITS
}

/// Upper bounds for a record of an attempt with its end, and for the end of a message.
const PER_ATTEMPT: u64 = 192;
const PER_END: u64 = 160;
/// Ids in one record at most.
const SEEN_AT_ONCE: usize = 1_000;

/// A message that has not ended.
#[derive(Clone, Debug)]
pub struct Live {
    pub taken: Arc<Taken>,
    pub attempts: Vec<Begun>,
    pub ending: Option<Ending>,
    /// The last one of its file, once it is handed out.
    pub stamp: Option<Stamp>,
    /// What it may come to in the file, records to come included.
    claim: u64,
}

/// What a message may come to in the file, but for attempts after its first.
pub fn claim(taken: &Taken) -> u64 {
    let texts = taken.class.len() + taken.tenant.len() + taken.trace.len();
    let texts = texts + taken.key.as_ref().map_or(0, String::len);
    // Twice, as JSON may escape a character.
    (2 * texts + taken.body.len()) as u64 + 240 + PER_END + PER_ATTEMPT
}

/// What a record adds to the claims: room for an attempt is there before it begins, and then for one more.
pub fn growth(record: &Record) -> u64 {
    match record {
        Record::Taken(taken) => claim(taken),
        Record::Begun(..) => PER_ATTEMPT,
        _ => 0,
    }
}

/// The records of messages that must not be taken over again.
pub fn seen(ids: impl Iterator<Item = u64>) -> Vec<Record> {
    let ids: Vec<u64> = ids.collect();
    ids.chunks(SEEN_AT_ONCE).map(|part| Record::Seen(part.to_vec())).collect()
}

impl Live {
    /// All that the file must hold of it.
    pub fn records(&self) -> Vec<Record> {
        let id = self.taken.id;
        let mut records = vec![Record::Taken(self.taken.clone())];
        for attempt in &self.attempts {
            records.push(Record::Begun(id, attempt.clone()));
            records.extend(attempt.never_ran.then_some(Record::NeverRan(id, attempt.number)));
        }
        records.extend(self.ending.map(|ending| Record::Decided(id, ending)));
        records
    }

    pub fn stamped(self, stamp: Option<Stamp>) -> Live {
        Live { stamp, ..self }
    }

    /// An attempt of which no record is left may have been made.
    pub(crate) fn suspect(&mut self) {
        let number = self.attempts.iter().map(|a| a.number.saturating_add(1)).max().unwrap_or(0);
        self.attempts.push(Begun {
            number,
            at: self.stamp.map_or(i64::MIN, |s| s.own),
            endpoint: String::new(),
            wait: None,
            never_ran: false,
        });
    }

    pub(crate) fn is_copy_of(&self, other: &Live) -> bool {
        let numbers = |live: &Live| live.attempts.iter().map(|a| (a.number, a.never_ran)).collect::<Vec<_>>();
        self.ending == other.ending && numbers(self) == numbers(other)
    }
}

#[derive(Default)]
pub struct Ledger {
    number: u64,
    pub live: BTreeMap<u64, Live>,
    pub(crate) claimed: u64,
    /// Messages of other files that were taken over into this one, ended or not.
    pub seen: BTreeSet<u64>,
    pub shared: bool,
    pub listening: bool,
    /// Attempts still out, once the rest was yielded.
    pub out: Option<BTreeSet<(u64, u32)>>,
    /// What came with the yield and after it.
    pub inheritance: Inheritance,
    pub releases: Vec<Release>,
    pub stamp: Option<Stamp>,
}

impl Ledger {
    pub fn new(number: u64) -> Ledger {
        Ledger { number, ..Ledger::default() }
    }

    fn never_ran(&mut self, id: u64, number: u32) {
        if let Some(live) = self.live.get_mut(&id) {
            live.attempts.iter_mut().filter(|a| a.number == number).for_each(|a| a.never_ran = true);
        }
    }

    fn is_others(&self, id: u64) -> bool {
        id >> ID_BITS != self.number
    }

    /// A record that comes twice says nothing new.
    pub fn note(&mut self, record: &Record) {
        match record {
            Record::Taken(taken) => {
                if self.live.contains_key(&taken.id) {
                    return;
                }
                let claim = growth(record);
                self.claimed += claim;
                let (attempts, ending, stamp) = (Vec::new(), None, None);
                let live = Live { taken: taken.clone(), attempts, ending, stamp, claim };
                if self.is_others(taken.id) {
                    self.seen.insert(taken.id);
                }
                self.live.insert(taken.id, live);
            }
            Record::Begun(id, begun) => {
                let Some(live) = self.live.get_mut(id) else { return };
                if !live.attempts.iter().any(|a| a.number == begun.number) {
                    live.attempts.push(begun.clone());
                    live.claim += growth(record);
                    self.claimed += growth(record);
                }
            }
            Record::NeverRan(id, number) => self.never_ran(*id, *number),
            Record::Decided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Ended(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.claimed -= live.claim;
                }
                if self.is_others(*id) {
                    self.seen.insert(*id);
                }
                self.out.iter_mut().for_each(|out| out.retain(|(other, _)| other != id));
            }
            Record::Seen(ids) => self.seen.extend(ids),
            Record::Shared => self.shared = true,
            Record::Listening => self.listening = true,
            Record::Yielded(out, inheritance) => {
                self.out = Some(out.iter().copied().collect());
                self.inheritance = inheritance.clone();
            }
            Record::Released(release) => {
                self.out.iter_mut().for_each(|out| _ = out.remove(&(release.id, release.attempt)));
                if release.never_ran() {
                    self.never_ran(release.id, release.attempt);
                }
                self.releases.push(release.clone());
            }
            Record::Stamp(stamp) => self.stamp = Some(*stamp),
        }
    }

    /// What the file must hold when it is rewritten.
    pub(crate) fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.live.values().flat_map(Live::records).collect();
        records.extend(seen(self.seen.iter().copied().filter(|id| !self.live.contains_key(id))));
        records.extend(self.shared.then_some(Record::Shared));
        records.extend(self.listening.then_some(Record::Listening));
        records
    }
}
