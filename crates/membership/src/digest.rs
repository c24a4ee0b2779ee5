//! Short sums of what is known, so that two who know the same find that out without telling it all: one for each of a
//! few ranges of names, and one over all.
use xxhash_rust::xxh64::xxh64;

/// Ranges that names fall into by their hash.
pub const RANGES: usize = 32;

/// A hash that is the same in every process and version.
pub fn of(name: &str, with: &[u64]) -> u64 {
    let bytes: Vec<u8> = name.bytes().chain(with.iter().flat_map(|n| n.to_le_bytes())).collect();
    xxh64(&bytes, 0)
}

/// The range that a name is in.
pub fn range(name: &str) -> usize {
    of(name, &[]) as usize % RANGES
}

fn short(hash: u64) -> u32 {
    (hash ^ hash >> 32) as u32
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests(pub [u32; RANGES]);

impl Digests {
    /// Something is known of a name; its hash.
    pub fn add(&mut self, name: &str, hash: u64) {
        let at = &mut self.0[range(name)];
        *at = at.wrapping_add(short(hash));
    }

    /// That is known no more.
    pub fn take(&mut self, name: &str, hash: u64) {
        let at = &mut self.0[range(name)];
        *at = at.wrapping_sub(short(hash));
    }

    pub fn whole(&self) -> u32 {
        let words = self.0.map(u64::from);
        (of("", &words) >> 32) as u32
    }

    pub fn differs(&self, other: &Digests, range: usize) -> bool {
        self.0[range] != other.0[range]
    }
}
