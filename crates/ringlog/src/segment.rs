//! The bytes of one file of the ring.

/// The number of a file in its ring.
pub type SegmentId = usize;

/// Marks a file of a ring.
const MAGIC: [u8; 7] = *b"mstring";
/// The version of the header and the records, as a digit.
const VERSION: u8 = b'2';
/// Magic and version, generation, first generation that counts, checksum.
pub const HEADER_BYTES: usize = 28;
/// Length, generation, checksum.
pub const RECORD_OVERHEAD: usize = 16;

/// A record as it was read, with the file's generation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// The generation of its file: records of a higher one are younger.
    pub generation: u64,
    /// What was appended.
    pub payload: Vec<u8>,
}

/// What stands at the beginning of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Header {
    /// How many files were begun before it, and this one.
    pub generation: u64,
    /// Files of lower generations held nothing that counts when this one was begun.
    pub first: u64,
}

/// What the first bytes of a file are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// None of a ring, or torn: nothing after it counts.
    Unused,
    /// A file of a ring that another version of the program wrote.
    OtherVersion,
    Begun(Header),
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..7].copy_from_slice(&MAGIC);
        bytes[7] = VERSION;
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.first.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }
}

impl Start {
    /// Reads the first bytes of a file.
    pub fn of(bytes: &[u8]) -> Start {
        if bytes.get(..7) == Some(&MAGIC) && bytes.get(7).is_some_and(|version| *version != VERSION) {
            return Start::OtherVersion;
        }
        match read_header(bytes) {
            Some(header) => Start::Begun(header),
            None => Start::Unused,
        }
    }
}

fn read_header(bytes: &[u8]) -> Option<Header> {
    let bytes = bytes.get(..HEADER_BYTES)?;
    let number = |at: usize| Some(u64::from_le_bytes(bytes[at..at + 8].try_into().ok()?));
    let checksum = u32::from_le_bytes(bytes[24..28].try_into().ok()?);
    let is_whole = bytes[..7] == MAGIC && crc32fast::hash(&bytes[..24]) == checksum;
    is_whole.then_some(Header { generation: number(8)?, first: number(16)? })
}

/// Appends a record's bytes.
pub fn encode(generation: u64, payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&generation.to_le_bytes());
    out.extend_from_slice(&checksum(generation, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

fn checksum(generation: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(&generation.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// All whole records of a file, up to the first that is not whole or is of an earlier use.
pub fn read_segment(bytes: &[u8]) -> Vec<Record> {
    let Some(Header { generation, .. }) = read_header(bytes) else { return Vec::new() };
    let mut records = Vec::new();
    let mut at = HEADER_BYTES;
    while let Some(payload) = record_at(bytes, at, generation) {
        at += RECORD_OVERHEAD + payload.len();
        records.push(Record { generation, payload: payload.to_vec() });
    }
    records
}

fn record_at(bytes: &[u8], at: usize, generation: u64) -> Option<&[u8]> {
    let head = bytes.get(at..at + RECORD_OVERHEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let of = u64::from_le_bytes(head[4..12].try_into().ok()?);
    let sum = u32::from_le_bytes(head[12..16].try_into().ok()?);
    let payload = bytes.get(at + RECORD_OVERHEAD..at + RECORD_OVERHEAD + length)?;
    (of == generation && length > 0 && checksum(generation, payload) == sum).then_some(payload)
}
