//! Quotas of tenants, counted by several stores at once. No I/O and no clock: times are passed in.
//!
//! For each tenant up to three stores count ([`Counters`]), each with a token bucket ([`Bucket`]) in its [`Ledger`]. A message
//! needs one token of a quorum of them ([`Grant`]).
//!
//! | module | what it is |
//! | --- | --- |
//! | [`bucket`] | a token bucket whose limit may change |
//! | [`counters`] | which stores count for a tenant, and the limit of each |
//! | [`ledger`] | what one counting store holds, and how it answers |
//! | [`grant`] | one message's way to a quorum of tokens |
pub mod bucket;
pub mod counters;
pub mod grant;
pub mod ledger;

pub use bucket::{Bucket, Limit};
pub use counters::{Counters, COUNTERS};
pub use grant::{Denial, Grant, Progress};
pub use ledger::{Counted, Ledger, Return, Stamp, Use, Want};

/// Milliseconds on a clock that only rises.
pub type Ms = u64;
