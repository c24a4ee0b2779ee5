//! Bytes on the disk: framed records in groups, one group a write.
//!
//! Each group begins with a header that lists its records, so that damage to one of them costs no other. To versions
//! that know no groups the header is a record that says nothing, so that they can follow a file of this one.
use crate::record::{Record, Stamp};
use bytes::Bytes;
use std::sync::Arc;

/// Version 1 had no headers.
pub const VERSION: u16 = 2;

/// Length and sum before each frame's content, which begins with the length of its JSON part.
const FRAME: usize = 8;
/// Longest content that is read back: a body of 64 KiB and its headers.
const MAX_CONTENT: usize = 256 << 10;
/// A record that says nothing.
const NO_NEWS: &[u8] = br#"{"S":[]}"#;
const MAGIC: &[u8] = b"leadfold";
/// Where a header's own part begins in its frame, and how long it is without its entries.
const HEADER_AT: usize = FRAME + 4 + NO_NEWS.len();
const FIXED: usize = MAGIC.len() + 2 + 2 + 4 * 8;
const ENTRY: usize = 1 + 8 + 4 + 4;
/// Records of one group at most.
const GROUP: usize = 256;
/// What a group takes besides its records, and besides 17 bytes for each of them.
pub const PER_GROUP: u64 = (HEADER_AT + FIXED) as u64;

/// A file of a version that this one does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Newer(pub u16);

impl std::fmt::Display for Newer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "it is of format version {}, and this program knows {VERSION}", self.0)
    }
}

/// One record as a group's header has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub kind: u8,
    pub id: u64,
    /// Of its whole frame.
    pub length: u32,
    pub sum: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u16,
    /// Tells this file's headers from what a body may hold.
    pub nonce: u64,
    /// Groups of a file count from 0.
    pub number: u64,
    pub stamp: Stamp,
    pub entries: Vec<Entry>,
}

/// A frame that can be read.
pub enum Frame {
    Header(Header),
    Record(Record),
}

fn frame(head: &[u8], body: &[u8], out: &mut Vec<u8>) -> u32 {
    let start = out.len();
    out.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&(head.len() as u32).to_le_bytes());
    out.extend_from_slice(head);
    out.extend_from_slice(body);
    let sum = crc32fast::hash(&out[start + FRAME..]);
    out[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
    sum
}

/// One record by itself, as version 1 has it.
pub fn encode(record: &Record, out: &mut Vec<u8>) -> Entry {
    let start = out.len();
    let (head, body): (_, &[u8]) = match record {
        // It is told by headers only.
        Record::Stamp(_) => (NO_NEWS.to_vec(), &[]),
        Record::Taken(taken) => (serde_json::to_vec(record).expect("records are plain data"), &taken.body),
        _ => (serde_json::to_vec(record).expect("records are plain data"), &[]),
    };
    let sum = frame(&head, body, out);
    let (kind, id) = record.kind();
    Entry { kind, id, length: (out.len() - start) as u32, sum }
}

/// Records in as many groups as they need, one at least. `number` is the first one's, and the next one's after it.
pub fn encode_groups(records: &[Record], nonce: u64, number: &mut u64, stamp: Stamp, out: &mut Vec<u8>) {
    let mut groups = records.chunks(GROUP);
    let mut group = groups.next().unwrap_or_default();
    loop {
        let mut frames = Vec::new();
        let entries: Vec<Entry> = group.iter().map(|r| encode(r, &mut frames)).collect();
        encode_header(&Header { version: VERSION, nonce, number: *number, stamp, entries }, out);
        out.append(&mut frames);
        *number += 1;
        match groups.next() {
            Some(next) => group = next,
            None => return,
        }
    }
}

pub fn encode_header(header: &Header, out: &mut Vec<u8>) {
    let mut body = MAGIC.to_vec();
    body.extend_from_slice(&header.version.to_le_bytes());
    body.extend_from_slice(&(header.entries.len() as u16).to_le_bytes());
    for figure in [header.nonce, header.number, header.stamp.own as u64, header.stamp.wall as u64] {
        body.extend_from_slice(&figure.to_le_bytes());
    }
    for entry in &header.entries {
        body.push(entry.kind);
        body.extend_from_slice(&entry.id.to_le_bytes());
        body.extend_from_slice(&entry.length.to_le_bytes());
        body.extend_from_slice(&entry.sum.to_le_bytes());
    }
    frame(NO_NEWS, &body, out);
}

fn word<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at.checked_add(N)?)?.try_into().ok()
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    word(bytes, at).map(u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    word(bytes, at).map(u64::from_le_bytes)
}

/// The sum that the frame at the start gives of itself.
pub fn sum(bytes: &[u8]) -> u32 {
    u32_at(bytes, 4).unwrap_or_default()
}

/// How long the frame at the start says it is, if that can be.
pub fn claimed(bytes: &[u8]) -> Option<usize> {
    let content = u32_at(bytes, 0)? as usize;
    (4..=MAX_CONTENT).contains(&content).then_some(FRAME + content)
}

/// The frame of so many bytes at the start, if its sum holds.
fn content(bytes: &[u8], length: usize) -> Option<&[u8]> {
    let content = bytes.get(FRAME..length)?;
    (crc32fast::hash(content) == u32_at(bytes, 4)?).then_some(content)
}

/// The frame at the start and its length; None where it is torn or damaged.
pub fn parse(bytes: &[u8]) -> Result<Option<(Frame, usize)>, Newer> {
    let length = claimed(bytes);
    let whole = |length: usize| Some((content(bytes, length)?, length));
    // A header tells its length twice.
    let found = length.and_then(whole).or_else(|| whole(header_length(bytes)?));
    let Some((content, length)) = found else { return Ok(None) };
    Ok(read_content(content)?.map(|frame| (frame, length)))
}

/// How long a header at the start is by the number of its entries.
fn header_length(bytes: &[u8]) -> Option<usize> {
    let own = bytes.get(HEADER_AT..).filter(|own| own.starts_with(MAGIC))?;
    let entries = usize::from(u16::from_le_bytes(word(own, MAGIC.len() + 2)?));
    (looks_like_header(bytes) && entries <= GROUP).then_some(HEADER_AT + FIXED + entries * ENTRY)
}

pub fn looks_like_header(bytes: &[u8]) -> bool {
    bytes.get(..HEADER_AT).is_some_and(|head| head.ends_with(NO_NEWS))
}

fn read_content(content: &[u8]) -> Result<Option<Frame>, Newer> {
    let Some((head, body)) =
        u32_at(content, 0).and_then(|head| content.get(4..)?.split_at_checked(head as usize))
    else {
        return Ok(None);
    };
    if head == NO_NEWS && body.starts_with(MAGIC) {
        let Some(version) = word(body, MAGIC.len()).map(u16::from_le_bytes) else { return Ok(None) };
        // Beyond its version nothing is known of its form.
        return if version > VERSION { Err(Newer(version)) } else { Ok(read_header(version, body)) };
    }
    let Ok(mut record) = serde_json::from_slice(head) else { return Ok(None) };
    if let Record::Taken(taken) = &mut record {
        let Some(taken) = Arc::get_mut(taken) else { return Ok(None) };
        taken.body = Bytes::copy_from_slice(body);
    }
    Ok(Some(Frame::Record(record)))
}

fn read_header(version: u16, body: &[u8]) -> Option<Frame> {
    let at = MAGIC.len() + 4;
    let figure = |i: usize| u64_at(body, at + 8 * i);
    let (nonce, number) = (figure(0)?, figure(1)?);
    let stamp = Stamp { own: figure(2)? as i64, wall: figure(3)? as i64 };
    let (entries, rest) = body.get(FIXED..)?.as_chunks::<ENTRY>();
    let entry = |e: &[u8; ENTRY]| {
        Some(Entry { kind: e[0], id: u64_at(e, 1)?, length: u32_at(e, 9)?, sum: u32_at(e, 13)? })
    };
    let entries: Vec<Entry> = entries.iter().filter_map(entry).collect();
    rest.is_empty().then_some(Frame::Header(Header { version, nonce, number, stamp, entries }))
}

/// The record that an entry lists, if its bytes are whole.
pub fn listed(bytes: &[u8], entry: &Entry) -> Option<Record> {
    let length = entry.length as usize;
    if length <= FRAME || length > FRAME + MAX_CONTENT {
        return None;
    }
    let content = bytes.get(FRAME..length)?;
    if crc32fast::hash(content) != entry.sum {
        return None;
    }
    // Its own length and sum may be what was damaged: what it says is whole.
    match read_content(content) {
        Ok(Some(Frame::Record(record))) => Some(record),
        _ => None,
    }
}

/// The record at the start of what a process that runs is writing, and its length; a header is its stamp.
pub fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    match parse(bytes) {
        Ok(Some((Frame::Record(record), length))) => Some((record, length)),
        Ok(Some((Frame::Header(header), length))) => Some((Record::Stamp(header.stamp), length)),
        _ => None,
    }
}

/// Where the next header of this file begins, from a place on.
pub fn next_header(bytes: &[u8], from: usize, nonce: Option<u64>) -> Result<Option<usize>, Newer> {
    let mut pattern = NO_NEWS.to_vec();
    pattern.extend_from_slice(MAGIC);
    let mut at = (from + FRAME + 4).min(bytes.len());
    while let Some(found) = find(&bytes[at..], &pattern).map(|f| at + f) {
        let start = found - FRAME - 4;
        // By its entries only: what a frame claims may be long, and a body may be full of what looks like headers.
        let whole = header_length(&bytes[start..]).and_then(|length| content(&bytes[start..], length));
        if let Some(Frame::Header(header)) = whole.map(read_content).transpose()?.flatten() {
            if nonce.is_none_or(|nonce| nonce == header.nonce) {
                return Ok(Some(start));
            }
        }
        at = found + 1;
    }
    Ok(None)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let first = pattern[0];
    let mut at = 0;
    while let Some(next) = bytes[at..].iter().position(|&b| b == first) {
        at += next;
        if bytes[at..].starts_with(pattern) {
            return Some(at);
        }
        at += 1;
    }
    None
}
