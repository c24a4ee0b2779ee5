//! Tenant quotas, counted by several stores at once. It does no I/O and reads no clock: times are passed in.
//!
//! For each tenant up to [`COUNTERS_PER_TENANT`] stores are counters ([`Counters`]), each with a token bucket
//! ([`Bucket`]) in its [`Ledger`]. A message needs one token from each counter of a quorum
//! ([`QuorumRequest`]).
//!
//! | module | contents |
//! | --- | --- |
//! | [`bucket`] | a token bucket whose limit may change |
//! | [`counters`] | which stores are counters of a tenant, and the limit of each |
//! | [`ledger`] | the buckets of one counter, and how it answers requests |
//! | [`quorum`] | the request of one message for tokens from a quorum |
pub mod bucket;
pub mod counters;
pub mod ledger;
pub mod quorum;

pub use bucket::{Bucket, Limit};
pub use counters::{Counters, COUNTERS_PER_TENANT};
pub use ledger::{Ledger, TenantUsage, TokenRequest, TokenResponse, TokenReturn, TokenStamp};
pub use quorum::{Denial, Progress, QuorumRequest};

/// Milliseconds of a monotonic clock.
pub type Ms = u64;
