//! Reading what ended processes left, whatever has become of it.
//!
//! Records are facts: a message was taken on, an attempt began, and so on. What they come to does not depend on their
//! order, nor on how often one is there; only on which are missing. What is missing is known by the groups' headers, and
//! where nothing is known the worst is assumed.
use crate::format::{self, claimed, listed, looks_like_header, next_header, parse};
use crate::format::{Entry, Frame, Header, Newer};
use crate::ledger::{Ledger, Live};
use crate::record::{Ending, Record, Stamp};
use std::collections::{BTreeMap, BTreeSet};

/// What is lost at a damaged place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing: what the place said is known from elsewhere.
    Nothing,
    /// This record, by kind and message.
    Record(u8, u64),
    /// Any record may have been there.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    pub at: usize,
    pub length: usize,
    pub loss: Loss,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "bytes {} to {}: ", self.at, self.at + self.length)?;
        let kind = |kind| match kind {
            b'T' => "lost: message",
            b'B' => "lost: an attempt, which counts as one that may have run, of message",
            b'N' => "lost: that an attempt never ran, of message",
            b'D' => "lost: how it ended, which counts as given up, of message",
            b'E' => "damaged, nothing lost: the end of message",
            b'R' => "lost: the end of an attempt that was out at the yield, of message",
            _ => "lost: a record that concerns no single message, of kind",
        };
        match self.loss {
            Loss::Nothing => write!(f, "damaged, nothing lost"),
            Loss::Record(k, id) if id > 0 => write!(f, "{} {id}", kind(k)),
            Loss::Record(k, _) => write!(f, "{} {}", kind(k), k as char),
            Loss::Unknown => {
                write!(f, "lost: records unknown; every message before counts as one that may have been sent")
            }
        }
    }
}

/// One file as far as it can be read.
#[derive(Debug, Default)]
pub struct Recovered {
    /// 0 of an empty file.
    pub version: u16,
    pub records: Vec<Record>,
    pub stamp: Option<Stamp>,
    pub damage: Vec<Damage>,
    /// Where a last write was cut short, and how much of it is there. Nobody has been told of what was in it.
    pub torn: Option<(usize, usize)>,
}

impl Recovered {
    pub fn is_sound(&self) -> bool {
        self.damage.is_empty() && self.torn.is_none()
    }
}

/// Reads a whole file. Its time grows with the file's length alone.
pub fn read(bytes: &[u8]) -> Result<Recovered, Newer> {
    let mut file = Recovered { version: u16::from(!bytes.is_empty()), ..Recovered::default() };
    let mut nonce = None;
    let mut numbers = BTreeMap::new();
    let mut lost_headers = 0;
    let mut strays = Strays::default();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        match parse(rest)? {
            Some((Frame::Record(record), length)) => {
                file.records.push(record);
                at += length;
            }
            Some((Frame::Header(header), length)) => {
                if format::claimed(rest) != Some(length) {
                    file.damage.push(Damage { at, length, loss: Loss::Nothing });
                }
                nonce.get_or_insert(header.nonce);
                file.version = header.version;
                numbers.insert(header.number, header.stamp);
                at = read_group(bytes, at + length, &header, &mut file, &mut strays)?;
            }
            None => {
                let length = claimed(rest).filter(|&l| {
                    l == rest.len() || rest.get(l..).is_some_and(|next| matches!(parse(next), Ok(Some(_))))
                });
                let next = if length.is_none() { next_header(bytes, at + 1, nonce)? } else { None };
                let (length, loss) = match (length, next) {
                    // The records of a group follow each other without their header too.
                    (Some(length), _) if looks_like_header(rest) && file.version > 1 => {
                        lost_headers += 1;
                        (length, Loss::Nothing)
                    }
                    (Some(length), _) => (length, Loss::Unknown),
                    (None, Some(next)) => (next - at, Loss::Unknown),
                    (None, None) => {
                        // The last write did not come to its end; before there were headers also a frame that
                        // is whole but damaged hides all that is behind it.
                        let cut = file.version > 1 || claimed(rest).is_none_or(|l| l > rest.len());
                        if cut {
                            file.torn = Some((at, rest.len()));
                            break;
                        }
                        (rest.len(), Loss::Unknown)
                    }
                };
                file.damage.push(Damage { at, length, loss });
                at += length;
            }
        }
    }
    strays.settle(&mut file);
    file.stamp = numbers.last_key_value().map(|(_, stamp)| *stamp);
    let groups = numbers.last_key_value().map_or(0, |(last, _)| last.saturating_add(1));
    if groups > (numbers.len() + lost_headers) as u64 && !file.damage.iter().any(|d| d.loss == Loss::Unknown)
    {
        file.damage.push(Damage { at: 0, length: bytes.len(), loss: Loss::Unknown });
    }
    Ok(file)
}

/// What stands in the place of what a header lists, to be found elsewhere in the file: records may be swapped.
#[derive(Default)]
struct Strays {
    missing: Vec<(usize, Entry)>,
    /// Behind the file's end.
    cut: Vec<Entry>,
    found: Vec<(u32, usize, Record)>,
}

impl Strays {
    fn settle(self, file: &mut Recovered) {
        let Strays { missing, cut, mut found } = self;
        let mut place = |entry: &Entry| {
            let is = |(sum, l, _): &(u32, usize, Record)| *sum == entry.sum && *l == entry.length as usize;
            let record = found.iter().position(is).map(|at| found.swap_remove(at).2);
            let is_there = record.is_some();
            file.records.extend(record);
            is_there
        };
        for entry in cut {
            place(&entry);
        }
        for (at, entry) in missing {
            let loss = if place(&entry) { Loss::Nothing } else { Loss::Record(entry.kind, entry.id) };
            file.damage.push(Damage { at, length: entry.length as usize, loss });
        }
    }
}

/// Reads the records behind a header, each where it must be; where the next group begins.
fn read_group(
    bytes: &[u8],
    start: usize,
    header: &Header,
    file: &mut Recovered,
    strays: &mut Strays,
) -> Result<usize, Newer> {
    let mut at = start;
    let mut missing = Vec::new();
    for entry in &header.entries {
        let length = entry.length as usize;
        let rest = bytes.get(at..).unwrap_or_default();
        match listed(rest, entry) {
            Some(record) => {
                if claimed(rest) != Some(length) || !matches!(parse(rest), Ok(Some(_))) {
                    file.damage.push(Damage { at, length, loss: Loss::Nothing });
                }
                file.records.push(record);
            }
            None => missing.push((at, *entry)),
        }
        at += length;
    }
    if missing.is_empty() {
        return Ok(at);
    }
    let next = next_header(bytes, start, Some(header.nonce))?;
    let (end, is_last) = (next.unwrap_or(bytes.len()), next.is_none());
    // What is behind the file's end was never there: that write did not come to its end.
    let is_cut = |&(at, entry): &(usize, Entry)| is_last && at + entry.length as usize > bytes.len();
    let (cut, missing): (Vec<_>, Vec<_>) = missing.into_iter().partition(is_cut);
    if let Some(&(first, _)) = cut.first() {
        file.torn = Some((first.min(bytes.len()), bytes.len().saturating_sub(first)));
    }
    // Whatever is whole in its stretch, from frame to frame and from each place that the header names.
    let mut places =
        header.entries.iter().scan(start, |at, e| Some(std::mem::replace(at, *at + e.length as usize)));
    let mut at = start;
    while at < end {
        match parse(&bytes[at..end])? {
            Some((Frame::Record(record), length)) => {
                let sum = format::sum(&bytes[at..]);
                let is = |e: &Entry| e.sum == sum && e.length as usize == length;
                // Those in their place are read already.
                if missing.iter().any(|(_, e)| is(e)) || !header.entries.iter().any(is) {
                    strays.found.push((sum, length, record));
                }
                at += length;
            }
            _ => match places.find(|&place| place > at) {
                Some(place) => at = place,
                None => break,
            },
        }
    }
    strays.missing.extend(missing);
    strays.cut.extend(cut.into_iter().map(|(_, entry)| entry));
    Ok(end)
}

/// In which order facts are noted: an attempt needs its message, and an end takes both away.
fn rank(record: &Record) -> u8 {
    match record {
        Record::Taken(_) => 0,
        Record::Yielded(..) => 1,
        Record::Begun(..) => 2,
        Record::NeverRan(..) | Record::Released(_) => 3,
        Record::Decided(..) => 4,
        Record::Ended(_) => 5,
        Record::Seen(_) | Record::Shared | Record::Listening | Record::Stamp(_) => 6,
    }
}

/// A file with what its damage means.
pub struct Whole {
    pub ledger: Ledger,
    /// Messages of older files of which more may have been known here.
    doubted: BTreeSet<u64>,
    doubts_all: bool,
}

impl Whole {
    pub fn new(number: u64, file: &Recovered) -> Whole {
        let mut ledger = Ledger::new(number);
        let mut records: Vec<&Record> = file.records.iter().collect();
        records.sort_by_key(|r| rank(r));
        records.into_iter().for_each(|r| ledger.note(r));
        ledger.stamp = file.stamp;
        let mut whole = Whole { ledger, doubted: BTreeSet::new(), doubts_all: false };
        for damage in &file.damage {
            match damage.loss {
                Loss::Nothing => {}
                Loss::Record(kind, id) => whole.lose(kind, id),
                Loss::Unknown => {
                    whole.doubts_all = true;
                    whole.ledger.live.values_mut().filter(|l| l.ending.is_none()).for_each(Live::suspect);
                }
            }
        }
        whole
    }

    fn lose(&mut self, kind: u8, id: u64) {
        match kind {
            b'E' => self.ledger.note(&Record::Ended(id)),
            b'B' => self.ledger.live.get_mut(&id).into_iter().for_each(Live::suspect),
            b'D' => {
                if let Some(live) = self.ledger.live.get_mut(&id) {
                    live.ending.get_or_insert(Ending::GivenUp);
                }
            }
            b'N' | b'R' => {}
            b'S' | b'Y' => self.doubts_all |= kind == b'S',
            _ => {}
        }
        self.doubted.insert(id);
    }
}

/// What ended processes have left.
#[derive(Default)]
pub struct Left {
    pub messages: Vec<Live>,
    /// What they had taken over from others and ended: the file that it came from may outlast theirs.
    pub seen: BTreeSet<u64>,
    /// Files of which nothing is needed beside the others.
    pub redundant: Vec<u64>,
}

/// What several files come to, each message once. By the numbers of their processes.
pub fn recover(files: BTreeMap<u64, Whole>) -> Left {
    let mut left = Left::default();
    let (mut doubted, mut doubts_all) = (BTreeSet::new(), false);
    let copies = pure_copy(&files);
    let oldest = files.keys().next().copied();
    // The newest first: what it had taken over, and perhaps ended, is in the older one's file still.
    for (number, whole) in files.into_iter().rev() {
        if copies == Some(number) {
            left.redundant.push(number);
            continue;
        }
        let Ledger { live, stamp, seen, .. } = whole.ledger;
        let mut new: Vec<Live> = live.into_values().filter(|l| !left.seen.contains(&l.taken.id)).collect();
        // One that is not the oldest may still tell what of an older one is over.
        if new.is_empty() && Some(number) == oldest {
            left.redundant.push(number);
        }
        for live in &mut new {
            if (doubts_all || doubted.contains(&live.taken.id)) && live.ending.is_none() {
                live.suspect();
            }
        }
        left.messages.extend(new.into_iter().map(|l| l.stamped(stamp)));
        left.seen.extend(seen);
        doubted.extend(whole.doubted);
        doubts_all |= whole.doubts_all;
    }
    left.messages.sort_by_key(|live| live.taken.id);
    left.messages.iter().for_each(|live| _ = left.seen.remove(&live.taken.id));
    left
}

/// The newest file, if it holds nothing but copies from the one before: a start that ended before it was through
/// leaves such a one, and many of them would fill the disk.
fn pure_copy(files: &BTreeMap<u64, Whole>) -> Option<u64> {
    let mut newest = files.iter().rev();
    let ((&number, new), (_, old)) = (newest.next()?, newest.next()?);
    let is_copy = |(id, live): (&u64, &Live)| old.ledger.live.get(id).is_some_and(|o| live.is_copy_of(o));
    let only = new.ledger.live.iter().all(is_copy)
        && new.ledger.seen.iter().all(|id| new.ledger.live.contains_key(id) || old.ledger.seen.contains(id));
    (only && !new.doubts_all && new.doubted.is_empty()).then_some(number)
}
