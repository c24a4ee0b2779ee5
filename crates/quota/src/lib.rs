//! Quotas of tenants, counted by several stores at once. No I/O and no clock: times are passed in.
//!
//! For each tenant up to three stores count ([`Counters`]), each with a token bucket ([`Bucket`]) in its [`Ledger`]. A message
//! needs one token of a quorum of them ([`QuorumRequest`]).
//!
//! | module | what it is |
//! | --- | --- |
//! | [`bucket`] | a token bucket whose limit may change |
//! | [`counters`] | which stores count for a tenant, and the limit of each |
//! | [`ledger`] | what one counting store holds, and how it answers |
//! | [`quorum`] | one message's way to a quorum of tokens |
pub mod bucket;
pub mod counters;
pub mod ledger;
pub mod quorum;

pub use bucket::{Bucket, Limit};
pub use counters::{Counters, COUNTERS_PER_TENANT};
pub use ledger::{Ledger, TenantUsage, TokenRequest, TokenResponse, TokenReturn, TokenStamp};
pub use quorum::{Denial, Progress, QuorumRequest};

/// Milliseconds on a clock that only rises.
pub type Ms = u64;
