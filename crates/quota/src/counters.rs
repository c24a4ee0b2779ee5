//! Selects the counters of a tenant: the owners of consecutive partitions, starting at a digest of the tenant
//! name. The selection is the same on every machine and changes only with the owners of partitions: a newly
//! added store displaces none.
use crate::bucket::Limit;
use settings::Quota;
use xxhash_rust::xxh3::xxh3_64;

/// Number of stores that count for a tenant, if there are that many.
pub const COUNTERS_PER_TENANT: usize = 5;
/// A bucket holds at least what fills it in this time, in seconds; with less, tokens would be lost between
/// two calls.
const MIN_DEPTH_S: f64 = 0.1;
/// Minimum depth of a bucket.
const MIN_DEPTH_TOKENS: f64 = 2.0;

/// The stores that count for one tenant, by their disks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counters {
    disks: Vec<u64>,
}

impl Counters {
    /// The counters of a tenant, given the disks of the owners of all partitions.
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

    /// Disks of the counters, in ascending order.
    pub fn disks(&self) -> &[u64] {
        &self.disks
    }

    /// Whether the store with this disk is a counter.
    pub fn contains(&self, disk: u64) -> bool {
        self.disks.contains(&disk)
    }

    /// Number of counters that have to grant a token for one message. Any two quorums share a counter.
    pub fn quorum(&self) -> usize {
        self.disks.len() / 2 + 1
    }

    /// A digest that identifies this set of counters.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.disks.iter().flat_map(|disk| disk.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// The limit of each bucket, such that all counters together cannot grant more messages than the quota.
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
