//! Which stores count for a tenant: the owners of a few partitions in a row, the first by a digest of the tenant. They are
//! the same on every machine, and change only with the owners: a store that is added displaces none.
use crate::bucket::Limit;
use settings::Quota;
use xxhash_rust::xxh3::xxh3_64;

/// So many stores count for a tenant, where there are as many.
pub const COUNTERS_PER_TENANT: usize = 5;
/// A bucket holds at least what fills it in so long: with less, tokens are lost between two calls.
const MIN_DEPTH_S: f64 = 0.1;
/// And at least so many tokens.
const MIN_DEPTH_TOKENS: f64 = 2.0;

/// The stores that count for one tenant, by their disks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counters {
    disks: Vec<u64>,
}

impl Counters {
    /// Those that count for a tenant, by the disks of the owners of all partitions.
    pub fn for_tenant(tenant: &str, owners: impl IntoIterator<Item = u64>) -> Counters {
        let owners: Vec<u64> = owners.into_iter().collect();
        let first = xxh3_64(tenant.as_bytes()) as usize % owners.len().max(1);
        let mut disks = Vec::with_capacity(COUNTERS_PER_TENANT);
        for owner in owners[first..].iter().chain(&owners[..first]) {
            if disks.len() < COUNTERS_PER_TENANT && !disks.contains(owner) {
                disks.push(*owner);
            }
        }
        disks.sort_unstable();
        Counters { disks }
    }

    /// Their disks, in order.
    pub fn disks(&self) -> &[u64] {
        &self.disks
    }

    /// Whether a disk's store counts.
    pub fn contains(&self, disk: u64) -> bool {
        self.disks.contains(&disk)
    }

    /// So many of them have to give a token for one message: any two such sets share a counter.
    pub fn quorum(&self) -> usize {
        self.disks.len() / 2 + 1
    }

    /// The same for the same set alone.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.disks.iter().flat_map(|disk| disk.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// The limit of each bucket, so that all together can't grant more messages than the quota.
    pub fn bucket_limit(&self, quota: Quota) -> Limit {
        let share = self.quorum() as f64 / self.disks.len().max(1) as f64;
        let tokens_per_s = quota.rate_per_s * share;
        let depth = (quota.burst * share).max(tokens_per_s * MIN_DEPTH_S);
        match quota.rate_per_s > 0.0 || quota.burst >= 1.0 {
            true => Limit { tokens_per_s, depth: depth.max(MIN_DEPTH_TOKENS) },
            false => Limit { tokens_per_s: 0.0, depth: 0.0 },
        }
    }
}
