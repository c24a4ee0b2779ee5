//! Who is expected: every name that has joined and has neither left nor been struck off. Kept by each member, merged
//! without anybody in charge: of two words on one name the later one holds, and of two that are as late the one that
//! takes it away.
use crate::digest::{self, Digests};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Where a name stands. Of words that are as late the last of these holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryStatus {
    Expected,
    /// It has said so itself.
    Left,
    /// An operator has said that it is gone for good.
    Struck,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    pub name: String,
    /// One more than any change that was known when this one was made.
    pub epoch: u32,
    #[serde(rename = "place")]
    pub status: EntryStatus,
    /// Where it was last heard of.
    pub address: SocketAddr,
}

/// So many changes back those that left are remembered, so that no late word brings them back.
const REMEMBERED: u32 = 4_096;
/// Version of the file. A file of a higher one is none that this program can read.
const FORMAT: u32 = 1;

/// As it is kept in a file.
#[derive(Serialize, Deserialize)]
struct Kept {
    format: u32,
    fleet: u64,
    /// Of the entries' text.
    sum: u32,
    entries: Vec<RosterEntry>,
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// Torn or not a roster at all.
    Corrupt(String),
    OtherFleet,
    /// Written by a later program, in this format.
    NewerFormat(u32),
}

impl std::fmt::Display for RosterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RosterError::Corrupt(why) => write!(f, "it is broken: {why}"),
            RosterError::OtherFleet => write!(f, "it is another fleet's"),
            RosterError::NewerFormat(format) => write!(f, "its format {format} is a later program's"),
        }
    }
}

fn sum(entries: &[RosterEntry]) -> u32 {
    crc32fast::hash(serde_json::to_string(entries).unwrap_or_default().as_bytes())
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    entries: BTreeMap<String, RosterEntry>,
    /// What follows from the entries, kept up with each change.
    sums: Sums,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Sums {
    digests: Digests,
    /// How many are expected.
    expected: usize,
    /// Those that are not, by their changes.
    ended: BTreeSet<(u32, String)>,
    /// The last change that is known.
    latest: u32,
}

impl Sums {
    fn enter(&mut self, entry: &RosterEntry) {
        self.digests.add(&entry.name, digest_of(entry));
        match entry.status {
            EntryStatus::Expected => self.expected += 1,
            EntryStatus::Left | EntryStatus::Struck => {
                _ = self.ended.insert((entry.epoch, entry.name.clone()))
            }
        }
        // Of an entry only a later one takes the place, and none of the last is forgotten.
        self.latest = self.latest.max(entry.epoch);
    }

    fn leave(&mut self, entry: &RosterEntry) {
        self.digests.take(&entry.name, digest_of(entry));
        match entry.status {
            EntryStatus::Expected => self.expected -= 1,
            EntryStatus::Left | EntryStatus::Struck => {
                _ = self.ended.remove(&(entry.epoch, entry.name.clone()))
            }
        }
    }
}

fn digest_of(entry: &RosterEntry) -> u64 {
    digest::of(&entry.name, &[u64::from(entry.epoch), entry.status as u64])
}

impl Roster {
    /// The entries of a file of this fleet.
    pub fn from_json(fleet: u64, text: &str) -> Result<Roster, RosterError> {
        let broken = |e: serde_json::Error| RosterError::Corrupt(e.to_string());
        let value: serde_json::Value = serde_json::from_str(text).map_err(broken)?;
        if let Some(format) = value["format"].as_u64().filter(|f| *f > u64::from(FORMAT)) {
            return Err(RosterError::NewerFormat(format as u32));
        }
        let kept: Kept = serde_json::from_value(value).map_err(broken)?;
        if kept.fleet != fleet {
            return Err(RosterError::OtherFleet);
        }
        if sum(&kept.entries) != kept.sum {
            return Err(RosterError::Corrupt("its sum is wrong".into()));
        }
        let mut roster = Roster::default();
        kept.entries.into_iter().for_each(|e| roster.put(e));
        Ok(roster)
    }

    /// What a file of it holds.
    pub fn to_json(&self, fleet: u64) -> String {
        let entries: Vec<RosterEntry> = self.entries.values().cloned().collect();
        let kept = Kept { format: FORMAT, fleet, sum: sum(&entries), entries };
        serde_json::to_string(&kept).unwrap_or_default()
    }

    pub fn get(&self, name: &str) -> Option<&RosterEntry> {
        self.entries.get(name)
    }

    pub fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }

    /// Those that are expected.
    pub fn expected(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values().filter(|e| e.status == EntryStatus::Expected)
    }

    pub fn expects(&self, name: &str) -> bool {
        self.get(name).is_some_and(|e| e.status == EntryStatus::Expected)
    }

    /// How many are expected.
    pub(crate) fn count(&self) -> usize {
        self.sums.expected
    }

    /// The last change that is known.
    pub fn latest_epoch(&self) -> u32 {
        self.sums.latest
    }

    fn put(&mut self, entry: RosterEntry) {
        self.sums.enter(&entry);
        if let Some(old) = self.entries.insert(entry.name.clone(), entry) {
            self.sums.leave(&old);
        }
    }

    /// A change made here: the latest word on that name.
    pub fn set(&mut self, name: &str, status: EntryStatus, address: SocketAddr) -> RosterEntry {
        let epoch = self.latest_epoch().saturating_add(1);
        let entry = RosterEntry { name: name.to_string(), epoch, status, address };
        self.put(entry.clone());
        self.prune();
        entry
    }

    /// Another's word. True if it says something new.
    pub fn merge(&mut self, entry: RosterEntry) -> bool {
        let old = self.entries.get(&entry.name).map(|e| (e.epoch, e.status));
        let is_late = entry.status != EntryStatus::Expected
            && entry.epoch < self.latest_epoch().saturating_sub(REMEMBERED);
        if old >= Some((entry.epoch, entry.status)) || is_late {
            return false;
        }
        self.put(entry);
        self.prune();
        true
    }

    /// Where a member is heard of now; no change of the roster.
    pub fn update_address(&mut self, name: &str, address: SocketAddr) -> bool {
        let entry = self.entries.get_mut(name).filter(|e| e.address != address);
        entry.map(|e| e.address = address).is_some()
    }

    fn prune(&mut self) {
        let least = self.latest_epoch().saturating_sub(REMEMBERED);
        while let Some((_, name)) = self.sums.ended.first().filter(|(epoch, _)| *epoch < least).cloned() {
            if let Some(old) = self.entries.remove(&name) {
                self.sums.leave(&old);
            }
        }
    }

    /// One sum over all: equal where the same is known, wherever members were heard of.
    pub fn digest(&self) -> u32 {
        self.digests().whole()
    }

    /// The same by ranges of names.
    pub(crate) fn digests(&self) -> Digests {
        self.sums.digests
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 9))
    }

    #[test]
    fn whatever_the_order_of_words_all_come_to_the_same() {
        let mut author = Roster::default();
        let mut words =
            vec![author.set("a", EntryStatus::Expected, at()), author.set("b", EntryStatus::Expected, at())];
        words.push(author.set("a", EntryStatus::Left, at()));
        words.push(author.set("c", EntryStatus::Expected, at()));
        words.push(author.set("a", EntryStatus::Expected, at()));
        // Another who knew as much has struck it off at the same time.
        words.push(RosterEntry { status: EntryStatus::Struck, ..words[4].clone() });
        author.merge(words[5].clone());
        for first in 0..words.len() {
            let mut other = Roster::default();
            (0..words.len()).for_each(|i| _ = other.merge(words[(first + i * 5) % words.len()].clone()));
            assert_eq!(other, author, "from {first}");
            assert!(!words.iter().any(|w| other.merge(w.clone())), "nothing is new twice");
        }
        assert_eq!(author.expected().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["b", "c"]);
    }

    #[test]
    fn those_that_left_are_forgotten_in_the_end_and_nobody_who_is_expected_is() {
        let mut roster = Roster::default();
        roster.set("stays", EntryStatus::Expected, at());
        for n in 0..6_000 {
            let name = format!("n{n}");
            roster.set(&name, EntryStatus::Expected, at());
            roster.set(&name, EntryStatus::Left, at());
        }
        assert!(roster.expects("stays") && roster.entries.len() <= REMEMBERED as usize + 2);
        let mut other = Roster::default();
        roster.entries().for_each(|e| _ = other.merge(e.clone()));
        assert_eq!(other.digests(), roster.digests());
    }

    #[test]
    fn what_is_kept_up_is_what_a_walk_through_all_entries_finds() {
        let mut roster = Roster::default();
        for n in 0..9_000u32 {
            let (name, status) = (
                format!("n{}", n % 97),
                [EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck][n as usize % 3],
            );
            match n % 2 {
                0 => _ = roster.set(&name, status, at()),
                _ => _ = roster.merge(RosterEntry { name, epoch: n / 2 + n % 5, status, address: at() }),
            }
            if n % 50 > 0 {
                continue;
            }
            let mut digests = Digests::default();
            roster.entries().for_each(|e| digests.add(&e.name, digest_of(e)));
            assert_eq!(roster.digests(), digests, "after {n}");
            assert_eq!(roster.count(), roster.expected().count(), "after {n}");
            assert_eq!(Some(roster.latest_epoch()), roster.entries().map(|e| e.epoch).max(), "after {n}");
            assert_eq!(Roster::from_json(1, &roster.to_json(1)), Ok(roster.clone()), "after {n}");
        }
    }

    #[test]
    fn a_file_is_taken_whole_or_named_as_what_it_is() {
        let mut roster = Roster::default();
        roster.set("a", EntryStatus::Expected, at());
        roster.set("b", EntryStatus::Left, at());
        let text = roster.to_json(7);
        assert_eq!(Roster::from_json(7, &text), Ok(roster));
        assert_eq!(Roster::from_json(8, &text), Err(RosterError::OtherFleet));
        assert_eq!(
            Roster::from_json(7, &text.replace("\"format\":1", "\"format\":2")),
            Err(RosterError::NewerFormat(2))
        );
        for cut in 0..text.len() {
            assert!(
                matches!(Roster::from_json(7, &text[..cut]), Err(RosterError::Corrupt(_))),
                "cut at {cut}"
            );
        }
        let hurt = text.replace("expected", "struck");
        assert!(matches!(Roster::from_json(7, &hurt), Err(RosterError::Corrupt(_))));
    }
}
