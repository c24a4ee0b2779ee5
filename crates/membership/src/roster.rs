//! The roster: every name that was admitted and has neither left nor been struck off. Each member stores it,
//! and rosters are merged without a coordinator: of two entries for one name the one with the higher epoch
//! wins, and of two with the same epoch the one that removes the name.
use crate::digest::{self, Digests};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Status of a name. Of two entries with the same epoch the one with the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryStatus {
    /// The name was admitted, and is expected to be present.
    Expected,
    /// The member announced its departure.
    Left,
    /// An operator declared that it is gone for good.
    Struck,
}

/// The latest known change of one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    pub name: String,
    /// One more than any epoch that was known when the entry was made.
    pub epoch: u32,
    #[serde(rename = "place")]
    pub status: EntryStatus,
    /// The member's last known address.
    pub address: SocketAddr,
}

/// Entries of names that are no longer expected are kept for this many epochs, so that no outdated entry
/// brings them back.
const REMEMBERED_EPOCHS: u32 = 4_096;
/// Version of the file format. Files of a higher version can't be read.
const FILE_FORMAT: u32 = 1;

/// Contents of a roster file.
#[derive(Serialize, Deserialize)]
struct RosterFile {
    format: u32,
    fleet: u64,
    /// CRC-32 of the entries as JSON.
    sum: u32,
    entries: Vec<RosterEntry>,
}

/// Why a roster file is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// Truncated, or not a roster file.
    Corrupt(String),
    /// Written for another fleet.
    OtherFleet,
    /// Written by a later program, in this format.
    NewerFormat(u32),
}

impl std::fmt::Display for RosterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RosterError::Corrupt(reason) => write!(f, "the file is corrupt: {reason}"),
            RosterError::OtherFleet => write!(f, "the file belongs to another fleet"),
            RosterError::NewerFormat(format) => {
                write!(f, "the file has format {format}, which a later program wrote")
            }
        }
    }
}

fn entries_checksum(entries: &[RosterEntry]) -> u32 {
    crc32fast::hash(serde_json::to_string(entries).unwrap_or_default().as_bytes())
}

/// One entry for each name that is expected, or was not long ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    entries: BTreeMap<String, RosterEntry>,
    /// Derived from the entries, updated with each change.
    aggregates: Aggregates,
}

/// What follows from the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Aggregates {
    digests: Digests,
    /// Number of expected names.
    expected: usize,
    /// Names that are not expected, ordered by epoch.
    not_expected: BTreeSet<(u32, String)>,
    /// The highest known epoch.
    latest_epoch: u32,
}

impl Aggregates {
    fn add(&mut self, entry: &RosterEntry) {
        self.digests.add(&entry.name, entry_digest(entry));
        match entry.status {
            EntryStatus::Expected => self.expected += 1,
            EntryStatus::Left | EntryStatus::Struck => {
                _ = self.not_expected.insert((entry.epoch, entry.name.clone()))
            }
        }
        // An entry is only replaced by a later one, and the latest ones are never pruned, so the maximum
        // never decreases.
        self.latest_epoch = self.latest_epoch.max(entry.epoch);
    }

    fn subtract(&mut self, entry: &RosterEntry) {
        self.digests.remove(&entry.name, entry_digest(entry));
        match entry.status {
            EntryStatus::Expected => self.expected -= 1,
            EntryStatus::Left | EntryStatus::Struck => {
                _ = self.not_expected.remove(&(entry.epoch, entry.name.clone()))
            }
        }
    }
}

fn entry_digest(entry: &RosterEntry) -> u64 {
    digest::stable_hash(&entry.name, &[u64::from(entry.epoch), entry.status as u64])
}

impl Roster {
    /// Reads a file of this fleet.
    pub fn from_json(fleet: u64, text: &str) -> Result<Roster, RosterError> {
        let corrupt = |e: serde_json::Error| RosterError::Corrupt(e.to_string());
        let value: serde_json::Value = serde_json::from_str(text).map_err(corrupt)?;
        if let Some(format) = value["format"].as_u64().filter(|f| *f > u64::from(FILE_FORMAT)) {
            return Err(RosterError::NewerFormat(format as u32));
        }
        let file: RosterFile = serde_json::from_value(value).map_err(corrupt)?;
        if file.fleet != fleet {
            return Err(RosterError::OtherFleet);
        }
        if entries_checksum(&file.entries) != file.sum {
            return Err(RosterError::Corrupt("the checksum does not match".into()));
        }
        let mut roster = Roster::default();
        file.entries.into_iter().for_each(|e| roster.replace(e));
        Ok(roster)
    }

    /// The contents of a roster file.
    pub fn to_json(&self, fleet: u64) -> String {
        let entries: Vec<RosterEntry> = self.entries.values().cloned().collect();
        let file = RosterFile { format: FILE_FORMAT, fleet, sum: entries_checksum(&entries), entries };
        serde_json::to_string(&file).unwrap_or_default()
    }

    /// The entry of a name.
    pub fn get(&self, name: &str) -> Option<&RosterEntry> {
        self.entries.get(name)
    }

    /// All entries, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }

    /// Entries of the expected names.
    pub fn expected(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values().filter(|e| e.status == EntryStatus::Expected)
    }

    /// Whether a name is expected.
    pub fn expects(&self, name: &str) -> bool {
        self.get(name).is_some_and(|e| e.status == EntryStatus::Expected)
    }

    /// Number of expected names.
    pub(crate) fn expected_count(&self) -> usize {
        self.aggregates.expected
    }

    /// The highest known epoch.
    pub fn latest_epoch(&self) -> u32 {
        self.aggregates.latest_epoch
    }

    fn replace(&mut self, entry: RosterEntry) {
        self.aggregates.add(&entry);
        if let Some(old) = self.entries.insert(entry.name.clone(), entry) {
            self.aggregates.subtract(&old);
        }
    }

    /// Makes a local change: sets the name's entry, with an epoch above all known ones.
    pub fn set(&mut self, name: &str, status: EntryStatus, address: SocketAddr) -> RosterEntry {
        let epoch = self.latest_epoch().saturating_add(1);
        let entry = RosterEntry { name: name.to_string(), epoch, status, address };
        self.replace(entry.clone());
        self.prune();
        entry
    }

    /// Merges another member's entry. Returns whether it was new.
    pub fn merge(&mut self, entry: RosterEntry) -> bool {
        let old = self.entries.get(&entry.name).map(|e| (e.epoch, e.status));
        let is_outdated = entry.status != EntryStatus::Expected
            && entry.epoch < self.latest_epoch().saturating_sub(REMEMBERED_EPOCHS);
        if old >= Some((entry.epoch, entry.status)) || is_outdated {
            return false;
        }
        self.replace(entry);
        self.prune();
        true
    }

    /// Updates a member's address. The epoch stays, as the address is not part of what rosters agree on.
    pub fn update_address(&mut self, name: &str, address: SocketAddr) -> bool {
        let entry = self.entries.get_mut(name).filter(|e| e.address != address);
        entry.map(|e| e.address = address).is_some()
    }

    fn prune(&mut self) {
        let oldest = self.latest_epoch().saturating_sub(REMEMBERED_EPOCHS);
        while let Some((_, name)) =
            self.aggregates.not_expected.first().filter(|(epoch, _)| *epoch < oldest).cloned()
        {
            if let Some(old) = self.entries.remove(&name) {
                self.aggregates.subtract(&old);
            }
        }
    }

    /// One digest over all entries. Rosters that differ only in addresses have the same digest.
    pub fn digest(&self) -> u32 {
        self.digests().combined()
    }

    /// Digests by ranges of names.
    pub(crate) fn digests(&self) -> Digests {
        self.aggregates.digests
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 9))
    }

    #[test]
    fn rosters_converge_whatever_the_order_of_merges() {
        let mut author = Roster::default();
        let mut changes = vec![
            author.set("a", EntryStatus::Expected, address()),
            author.set("b", EntryStatus::Expected, address()),
        ];
        changes.push(author.set("a", EntryStatus::Left, address()));
        changes.push(author.set("c", EntryStatus::Expected, address()));
        changes.push(author.set("a", EntryStatus::Expected, address()));
        // Another member with the same knowledge has struck it off at the same time.
        changes.push(RosterEntry { status: EntryStatus::Struck, ..changes[4].clone() });
        author.merge(changes[5].clone());
        for first in 0..changes.len() {
            let mut other = Roster::default();
            (0..changes.len())
                .for_each(|i| _ = other.merge(changes[(first + i * 5) % changes.len()].clone()));
            assert_eq!(other, author, "from {first}");
            assert!(!changes.iter().any(|w| other.merge(w.clone())), "a second merge changes nothing");
        }
        assert_eq!(author.expected().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["b", "c"]);
    }

    #[test]
    fn names_that_left_are_pruned_and_expected_names_are_kept() {
        let mut roster = Roster::default();
        roster.set("stays", EntryStatus::Expected, address());
        for n in 0..6_000 {
            let name = format!("n{n}");
            roster.set(&name, EntryStatus::Expected, address());
            roster.set(&name, EntryStatus::Left, address());
        }
        assert!(roster.expects("stays") && roster.entries.len() <= REMEMBERED_EPOCHS as usize + 2);
        let mut other = Roster::default();
        roster.entries().for_each(|e| _ = other.merge(e.clone()));
        assert_eq!(other.digests(), roster.digests());
    }

    #[test]
    fn aggregates_match_a_full_scan_of_the_entries() {
        let mut roster = Roster::default();
        for n in 0..9_000u32 {
            let (name, status) = (
                format!("n{}", n % 97),
                [EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck][n as usize % 3],
            );
            match n % 2 {
                0 => _ = roster.set(&name, status, address()),
                _ => _ = roster.merge(RosterEntry { name, epoch: n / 2 + n % 5, status, address: address() }),
            }
            if n % 50 > 0 {
                continue;
            }
            let mut digests = Digests::default();
            roster.entries().for_each(|e| digests.add(&e.name, entry_digest(e)));
            assert_eq!(roster.digests(), digests, "after {n}");
            assert_eq!(roster.expected_count(), roster.expected().count(), "after {n}");
            assert_eq!(Some(roster.latest_epoch()), roster.entries().map(|e| e.epoch).max(), "after {n}");
            assert_eq!(Roster::from_json(1, &roster.to_json(1)), Ok(roster.clone()), "after {n}");
        }
    }

    #[test]
    fn a_truncated_corrupt_foreign_or_newer_file_is_rejected_with_its_reason() {
        let mut roster = Roster::default();
        roster.set("a", EntryStatus::Expected, address());
        roster.set("b", EntryStatus::Left, address());
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
        let corrupted = text.replace("expected", "struck");
        assert!(matches!(Roster::from_json(7, &corrupted), Err(RosterError::Corrupt(_))));
    }
}
