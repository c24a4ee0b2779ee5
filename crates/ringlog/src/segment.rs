//! The bytes of one file of the ring.

/// Marks a file of a ring, with its version.
const MAGIC: [u8; 8] = *b"mstring1";
/// Magic, generation, checksum.
pub const HEADER_BYTES: usize = 20;
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

/// The header of a file.
pub fn header(generation: u64) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..16].copy_from_slice(&generation.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..16]);
    bytes[16..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The generation that a header tells, if it is whole.
pub fn generation_of(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.get(..HEADER_BYTES)?;
    let checksum = u32::from_le_bytes(bytes[16..20].try_into().ok()?);
    if bytes[..8] != MAGIC || crc32fast::hash(&bytes[..16]) != checksum {
        return None;
    }
    Some(u64::from_le_bytes(bytes[8..16].try_into().ok()?))
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
    let Some(generation) = generation_of(bytes) else { return Vec::new() };
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
