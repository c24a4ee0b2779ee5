//! Configurations as they travel to watchers: compressed, as differences from a version that the watcher has, and in pieces.
//!
//! One with hundreds of routes goes to each watcher whenever it changes. In pieces, what arrived in time is kept: a watcher
//! behind a slow link needs more rounds for it, and doesn't begin anew.
use crate::calls::Part;
use anyhow::{ensure, Context as _};
use borsh::{BorshDeserialize, BorshSerialize};

/// The largest configuration that is unpacked, in bytes; control takes none that is as large.
const MOST_BYTES: u64 = 16 * 1024 * 1024;
/// So many bytes of a configuration are compressed on their own.
const CHUNK_BYTES: usize = 16 * 1024;
/// A piece takes no more chunks once it has so many compressed bytes: few enough that pieces for hundreds of watchers pass
/// a primary's link well within the time for which they wait.
const PIECE_BYTES: usize = 16 * 1024;
/// What LZ4 can refer back to, in bytes.
const WINDOW_BYTES: usize = 64 * 1024;
/// The share of it for the base, where there is one; the rest is for what stands before the chunk.
const BASE_WINDOW_BYTES: usize = 32 * 1024;
/// The base's bytes from so far before the place of a chunk on: text that moved by less is found.
const BASE_LEAD_BYTES: usize = 8 * 1024;

/// A configuration of which a version is known.
#[derive(Clone, Copy, Debug)]
pub struct Version<'a> {
    pub number: u64,
    pub body: &'a [u8],
}

/// Some of the bytes of a configuration.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
struct Piece {
    /// The version that it is a difference from; 0 if from none.
    base: u64,
    /// How many bytes the configuration has.
    total: u64,
    /// How many of them stand before these.
    from: u64,
    /// [`CHUNK_BYTES`] each, but for the last.
    chunks: Vec<Vec<u8>>,
}

/// A whole configuration in one piece.
pub fn pack(configuration: &[u8]) -> Vec<u8> {
    encode(None, configuration, 0, usize::MAX)
}

/// A piece of a configuration, from a byte on, as a difference from a version that the receiver has.
pub fn pack_piece(base: Option<Version>, configuration: &[u8], from: usize) -> Vec<u8> {
    encode(base, configuration, from, PIECE_BYTES)
}

/// The configuration that was packed whole.
pub fn unpack(packed: &[u8]) -> anyhow::Result<Vec<u8>> {
    let mut download = Download::default();
    let whole = download.add(1, packed, Version { number: 0, body: b"" })?;
    whole.context("it is cut short; ask again")
}

fn encode(base: Option<Version>, configuration: &[u8], from: usize, most_bytes: usize) -> Vec<u8> {
    let (mut at, mut packed_bytes, mut chunks) = (from, 0, Vec::new());
    while at < configuration.len() && packed_bytes < most_bytes {
        let end = (at + CHUNK_BYTES).min(configuration.len());
        let dictionary = dictionary(base.map(|base| base.body), &configuration[..at]);
        let chunk = lz4_flex::block::compress_with_dict(&configuration[at..end], &dictionary);
        packed_bytes += chunk.len();
        chunks.push(chunk);
        at = end;
    }
    let base = base.map_or(0, |base| base.number);
    let piece = Piece { base, total: configuration.len() as u64, from: from as u64, chunks };
    borsh::to_vec(&piece).expect("writing to memory")
}

/// What a chunk may refer to: the bytes of the base around its place, and those before it.
fn dictionary(base: Option<&[u8]>, before: &[u8]) -> Vec<u8> {
    let base = base.unwrap_or_default();
    let start = before.len().saturating_sub(BASE_LEAD_BYTES).min(base.len());
    let end = (start + BASE_WINDOW_BYTES).min(base.len());
    let left = WINDOW_BYTES - (end - start);
    [&base[start..end], &before[before.len().saturating_sub(left)..]].concat()
}

/// A configuration that comes in pieces.
#[derive(Debug, Default)]
pub struct Download {
    version: u64,
    bytes: Vec<u8>,
}

impl Download {
    /// The version that is on its way, and how many of its bytes are here.
    pub fn progress(&self) -> Part {
        Part { version: self.version, bytes: self.bytes.len() as u64 }
    }

    /// Adds a piece; the whole configuration with the last one. A piece that doesn't follow what is here is passed over.
    pub fn add(&mut self, version: u64, packed: &[u8], base: Version) -> anyhow::Result<Option<Vec<u8>>> {
        let piece = Piece::try_from_slice(packed).context("it is damaged; ask again")?;
        ensure!(
            piece.total <= MOST_BYTES,
            "it says to have {} bytes; {MOST_BYTES} may be taken",
            piece.total
        );
        if piece.from == 0 {
            *self = Download { version, bytes: Vec::new() };
        }
        let follows = self.version == version && self.bytes.len() as u64 == piece.from;
        if !follows || (piece.base != 0 && piece.base != base.number) {
            return Ok(None);
        }
        let base = (piece.base != 0).then_some(base.body);
        for chunk in &piece.chunks {
            self.add_chunk(chunk, base, piece.total as usize)?;
        }
        let whole = self.bytes.len() as u64 == piece.total;
        Ok(whole.then(|| std::mem::take(self).bytes))
    }

    fn add_chunk(&mut self, chunk: &[u8], base: Option<&[u8]>, total: usize) -> anyhow::Result<()> {
        let size = CHUNK_BYTES.min(total.saturating_sub(self.bytes.len()));
        let dictionary = dictionary(base, &self.bytes);
        let bytes = lz4_flex::block::decompress_with_dict(chunk, size, &dictionary)
            .context("it is damaged; ask again")?;
        ensure!(bytes.len() == size, "a part of it has {} bytes, not {size}; ask again", bytes.len());
        self.bytes.extend(bytes);
        Ok(())
    }
}
