//! Digests of the known state, by which two members find out cheaply whether they know the same: one for each
//! of a few ranges of names, and one over all.
use xxhash_rust::xxh64::xxh64;

/// Number of ranges that names are divided into by their hash.
pub const RANGE_COUNT: usize = 32;

/// A hash that is the same in every process and version.
pub fn stable_hash(name: &str, values: &[u64]) -> u64 {
    let bytes: Vec<u8> = name.bytes().chain(values.iter().flat_map(|n| n.to_le_bytes())).collect();
    xxh64(&bytes, 0)
}

/// The range of a name.
pub fn range_of(name: &str) -> usize {
    stable_hash(name, &[]) as usize % RANGE_COUNT
}

/// Folds a hash into 32 bits.
fn fold(hash: u64) -> u32 {
    (hash ^ hash >> 32) as u32
}

/// One digest for each range of names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests(pub [u32; RANGE_COUNT]);

impl Digests {
    /// Adds an item of a name by its hash.
    pub fn add(&mut self, name: &str, hash: u64) {
        let digest = &mut self.0[range_of(name)];
        *digest = digest.wrapping_add(fold(hash));
    }

    /// Removes an item of a name by its hash.
    pub fn remove(&mut self, name: &str, hash: u64) {
        let digest = &mut self.0[range_of(name)];
        *digest = digest.wrapping_sub(fold(hash));
    }

    /// One digest over all ranges.
    pub fn combined(&self) -> u32 {
        let values = self.0.map(u64::from);
        (stable_hash("", &values) >> 32) as u32
    }

    /// Whether two digests differ in a range.
    pub fn differs(&self, other: &Digests, range: usize) -> bool {
        self.0[range] != other.0[range]
    }
}
