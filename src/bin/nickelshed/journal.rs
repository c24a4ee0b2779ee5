//! What the sender has taken on, kept in `$EDGE_STATE` so that it outlasts the process.
//!
//! One file of records for each process, each record framed by its length and a checksum. It is rewritten with what
//! still lives once it would pass half of the disk that is left, so that both files together stay under the limit.
use crate::classes::Stored;
use crate::deadline::{Shift, Stamp};
use crate::memory::{self, Budget};
use bytes::Bytes;
use leadfold::api::{Ns, Outcome, Standing};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::rc::Rc;

/// A message as it was taken on: all that a call needs after a restart.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Taken {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "u")]
    pub tenant: String,
    #[serde(rename = "d")]
    pub dest: u64,
    #[serde(rename = "m")]
    pub trace: String,
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Deadline, in milliseconds by the clock of the process that wrote it (`Stamp`).
    #[serde(rename = "t")]
    pub end: i64,
    /// What its class asked for when it was taken on; files of before this was kept have none.
    #[serde(rename = "r", default)]
    pub rules: Option<Box<Stored>>,
    /// Holds its part of the memory.
    #[serde(skip)]
    pub body: Bytes,
}

impl Taken {
    /// Whether it is the same message, handed in again.
    pub fn is_same(&self, other: &Taken) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Begun {
    #[serde(rename = "n")]
    pub number: u32,
    /// In milliseconds by the clock of the process that wrote it.
    #[serde(rename = "t")]
    pub at: i64,
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The endpoint was told that no more than this would be waited for, in milliseconds; None: all that was left.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<u64>,
    #[serde(skip)]
    pub never_ran: bool,
}

#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    #[serde(rename = "g")]
    GivenUp,
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

#[derive(Serialize, Deserialize, Clone, Debug)]
pub enum Record {
    #[serde(rename = "T")]
    Taken(Rc<Taken>),
    #[serde(rename = "B")]
    Begun(u64, Begun),
    /// This attempt is known not to have run.
    #[serde(rename = "N")]
    NeverRan(u64, u32),
    /// Its notice is under way. Written before the notice, so that a message whose client may hand it in
    /// again is not sent by the next process too.
    #[serde(rename = "D")]
    Decided(u64, Ending),
    #[serde(rename = "E")]
    Ended(u64),
    /// Messages of earlier processes that were taken over and have ended here: not to be taken over again.
    #[serde(rename = "S")]
    Seen(Vec<u64>),
    /// The process that came after this one is known, and descriptors are shared with it.
    #[serde(rename = "H")]
    Shared,
    /// Clients can connect to the process that writes this.
    #[serde(rename = "L")]
    Listening,
    /// All is the next process's, but for these attempts that are out and the notices under way.
    #[serde(rename = "Y")]
    Yielded(Vec<(u64, u32)>, Inheritance),
    /// One of these attempts has ended without a delivery.
    #[serde(rename = "R")]
    Released(Release),
    /// What the clocks showed as the records after it were written. In the file it is an empty `Seen` with the two
    /// figures as its body, which versions that know no stamps skip.
    #[serde(skip)]
    Stamp(Stamp),
}

/// What the next process must know as soon as it sends.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct Inheritance {
    /// By the names of their endpoints where these are routes apart.
    #[serde(rename = "s")]
    pub standings: Vec<(Option<String>, Standing)>,
    /// The list's version, and the endpoints that take nothing new by it: the next process may have an older one
    /// while discovery is silent.
    #[serde(rename = "g")]
    pub generation: u64,
    #[serde(rename = "c")]
    pub closed: Vec<String>,
}

#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Release {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "n")]
    pub attempt: u32,
    #[serde(rename = "e")]
    pub endpoint: String,
    #[serde(rename = "o")]
    pub outcome: Outcome,
    #[serde(rename = "t")]
    pub took: Ns,
    #[serde(rename = "w")]
    pub wait: Ns,
}

#[derive(Clone)]
pub struct Live {
    pub taken: Rc<Taken>,
    pub attempts: Vec<Begun>,
    pub ending: Option<Ending>,
    /// The last one of its file, once it is handed out.
    pub stamp: Option<Stamp>,
    /// What it may come to in the file, records to come included.
    claim: u64,
}

/// What a file's records come to.
#[derive(Default)]
pub struct Ledger {
    number: u64,
    pub live: BTreeMap<u64, Live>,
    claimed: u64,
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

pub struct Journal {
    path: PathBuf,
    /// Where it is rewritten.
    new: PathBuf,
    file: File,
    size: u64,
    /// All files together stay under this.
    disk: u64,
    /// What other processes' files hold now.
    others: u64,
    ledger: Ledger,
}

/// An id's upper bits are the number of the process that took the message on.
const ID_BITS: u32 = 40;

pub fn first_id(number: u64) -> u64 {
    number << ID_BITS
}

/// Bodies hold at most so much.
pub const MAX_BODY: usize = 64 << 10;
const FRAME: usize = 8;
/// Upper bounds for a record of an attempt with its end, and for the end of a message.
const PER_ATTEMPT: u64 = 192;
const PER_END: u64 = 160;
/// Part of the bound that messages may claim as they are taken on. What is left is for further attempts: most
/// messages need none, and room kept for all that each may have would turn away as many as it lets in.
const TAKE_ON: f64 = 0.8;
/// Names of endpoints longer than this would break the bound above.
pub const MAX_NAME: usize = 64;
/// Ids in one record at most.
const SEEN_AT_ONCE: usize = 1_000;
/// Longest record that is read back: a body of 64 KiB and its headers.
const MAX_RECORD: usize = 256 << 10;

/// A record that says nothing.
const NO_NEWS: &[u8] = br#"{"S":[]}"#;

pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let figures;
    let (head, body): (_, &[u8]) = match record {
        Record::Stamp(stamp) => {
            figures = stamp.to_bytes();
            (NO_NEWS.to_vec(), &figures)
        }
        Record::Taken(taken) => (serde_json::to_vec(record).expect("records are plain data"), &taken.body),
        _ => (serde_json::to_vec(record).expect("records are plain data"), &[]),
    };
    let start = buffer.len();
    buffer.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(head.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(body);
    let sum = crc32fast::hash(&buffer[start + FRAME..]);
    buffer[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
}

/// The record at the start of `bytes` and its length; None where it is torn or damaged.
pub fn decode(bytes: &[u8], budget: &Budget) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize);
    let length = word(0)?;
    if !(4..=MAX_RECORD).contains(&length) {
        return None;
    }
    let payload = bytes.get(FRAME..FRAME + length)?;
    if crc32fast::hash(payload) as usize != word(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(word(FRAME)?)?;
    let mut record = serde_json::from_slice(head).ok()?;
    match &mut record {
        Record::Taken(taken) => Rc::get_mut(taken)?.body = memory::body(body, budget.owe(body.len())),
        Record::Seen(ids) if ids.is_empty() => {
            record = Stamp::from_bytes(body).map_or(record, Record::Stamp);
        }
        _ => {}
    }
    Some((record, FRAME + length))
}

/// What a message may come to in the file, but for attempts after its first.
fn claim(taken: &Taken) -> u64 {
    let texts = taken.class.len() + taken.tenant.len() + taken.trace.len();
    let texts = texts + taken.key.as_ref().map_or(0, String::len);
    // Twice, as JSON may escape a character.
    (2 * texts + taken.body.len()) as u64 + 240 + PER_END + PER_ATTEMPT
}

/// What a record adds to the claims: room for an attempt is there before it begins, and then for one more.
fn growth(record: &Record) -> u64 {
    match record {
        Record::Taken(taken) => claim(taken),
        Record::Begun(..) => PER_ATTEMPT,
        _ => 0,
    }
}

impl Journal {
    /// A new file of the process with this number.
    pub fn create(path: PathBuf, new: PathBuf, number: u64, disk_mb: f64) -> io::Result<Journal> {
        let file = File::create(&path)?;
        // Files count in whole blocks; a part stays free for that and for the folder itself.
        let disk = (disk_mb * 1e6 * 0.94) as u64;
        Ok(Journal { path, new, file, size: 0, disk, others: 0, ledger: Ledger::new(number) })
    }

    /// What the file may grow to: as much again must be free for it to be rewritten.
    fn bound(&self) -> u64 {
        (self.disk.saturating_sub(self.others) / 2 / 512).saturating_sub(4) * 512
    }

    pub fn set_others(&mut self, bytes: u64) {
        self.others = bytes;
    }

    /// The files of others that it has taken messages over from are gone.
    pub fn forget_seen(&mut self) {
        self.ledger.seen.clear();
    }

    pub fn has_seen(&self, id: u64) -> bool {
        self.ledger.live.contains_key(&id) || self.ledger.seen.contains(&id)
    }

    /// Whether there is room for one more besides `waiting` bytes that were promised in this round.
    pub fn has_room(&self, taken: &Taken, waiting: u64) -> Option<u64> {
        let claim = claim(taken);
        let most = (self.bound() as f64 * TAKE_ON) as u64;
        (self.ledger.claimed + waiting + claim <= most).then_some(claim)
    }

    /// Writes down what was another process's: it takes no more than it took there, so it needs no claim.
    pub fn take_over(&mut self, records: &[Record], stamp: Stamp) -> io::Result<()> {
        self.append(records, stamp, self.disk.saturating_sub(self.others))
    }

    /// The last record but for those of what is out. The file is rewritten before, as it only grows after it.
    pub fn give_over(&mut self, record: Record, stamp: Stamp) -> io::Result<()> {
        self.compact(stamp)?;
        self.append(&[record], stamp, self.bound())
    }

    /// Writes the records of a round at once. If that fails nothing of them holds.
    pub fn write(&mut self, records: &[Record], stamp: Stamp) -> io::Result<()> {
        // What is claimed always fits: an end that could not be written down would be undone by a restart.
        let growth: u64 = records.iter().map(growth).sum();
        let bound = self.bound();
        if growth > 0 && self.ledger.claimed + growth > bound {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no room for further attempts"));
        }
        // Once it has yielded, the next process follows the file: it only grows.
        let most = if self.ledger.out.is_some() { self.disk.saturating_sub(self.others) } else { bound };
        self.append(records, stamp, most)
    }

    fn append(&mut self, records: &[Record], stamp: Stamp, bound: u64) -> io::Result<()> {
        let mut buffer = Vec::new();
        encode(&Record::Stamp(stamp), &mut buffer);
        records.iter().for_each(|r| encode(r, &mut buffer));
        if self.size + buffer.len() as u64 > bound && self.ledger.out.is_none() {
            self.compact(stamp)?;
        }
        if self.size + buffer.len() as u64 > bound {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        if let Err(e) = self.file.write_all_at(&buffer, self.size) {
            let _ = self.file.set_len(self.size);
            return Err(e);
        }
        self.size += buffer.len() as u64;
        records.iter().for_each(|r| self.ledger.note(r));
        Ok(())
    }

    /// Rewrites the file with what still lives.
    fn compact(&mut self, stamp: Stamp) -> io::Result<()> {
        let mut buffer = Vec::new();
        encode(&Record::Stamp(stamp), &mut buffer);
        let ledger = &self.ledger;
        ledger.live.values().flat_map(Live::records).for_each(|r| encode(&r, &mut buffer));
        let ended = seen(ledger.seen.iter().copied().filter(|id| !ledger.live.contains_key(id)));
        let rest = ended.into_iter().chain(ledger.shared.then_some(Record::Shared));
        let rest = rest.chain(ledger.listening.then_some(Record::Listening));
        rest.for_each(|r| encode(&r, &mut buffer));
        let mut file = File::create(&self.new)?;
        if let Err(e) = file.write_all(&buffer).and_then(|()| fs::rename(&self.new, &self.path)) {
            let _ = fs::remove_file(&self.new);
            return Err(e);
        }
        (self.file, self.size) = (file, buffer.len() as u64);
        Ok(())
    }
}

/// The records of messages that must not be taken over again.
pub fn seen(ids: impl Iterator<Item = u64>) -> Vec<Record> {
    let ids: Vec<u64> = ids.collect();
    ids.chunks(SEEN_AT_ONCE).map(|part| Record::Seen(part.to_vec())).collect()
}

impl Live {
    pub fn stamped(self, stamp: Option<Stamp>) -> Live {
        Live { stamp, ..self }
    }

    /// The same on another process's clock.
    pub fn shifted(&self, shift: Shift) -> Live {
        let mut live = self.clone();
        Rc::make_mut(&mut live.taken).end = shift.end(live.taken.end);
        live.attempts.iter_mut().for_each(|a| a.at = shift.past(a.at));
        live.stamp = None;
        live
    }

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

    pub fn note(&mut self, record: &Record) {
        match record {
            Record::Taken(taken) => {
                let claim = growth(record);
                self.claimed += claim;
                let live =
                    Live { taken: taken.clone(), attempts: Vec::new(), ending: None, stamp: None, claim };
                if taken.id >> ID_BITS != self.number {
                    self.seen.insert(taken.id);
                }
                self.live.insert(taken.id, live);
            }
            Record::Begun(id, begun) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.push(begun.clone());
                    live.claim += growth(record);
                    self.claimed += growth(record);
                }
            }
            Record::NeverRan(id, number) => {
                self.never_ran(*id, *number);
            }
            Record::Decided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Ended(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.claimed -= live.claim;
                }
                self.out.iter_mut().for_each(|out| out.retain(|(other, _)| other != id));
            }
            Record::Stamp(stamp) => self.stamp = Some(*stamp),
            Record::Seen(ids) => self.seen.extend(ids),
            Record::Shared => self.shared = true,
            Record::Listening => self.listening = true,
            Record::Yielded(out, inheritance) => {
                self.out = Some(out.iter().copied().collect());
                self.inheritance = inheritance.clone();
            }
            Record::Released(release) => {
                self.out.iter_mut().for_each(|out| _ = out.remove(&(release.id, release.attempt)));
                if release.outcome.never_ran() {
                    self.never_ran(release.id, release.attempt);
                }
                self.releases.push(release.clone());
            }
        }
    }
}
