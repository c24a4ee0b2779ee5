//! Leader election: of several candidates, one process at a time holds a duty, by a lease in an external
//! store whose keys have revisions.
//!
//! No I/O, clocks or global state: requests to the store are returned, its replies and the current time are
//! passed in. The guarantees and their assumptions are described in `docs/duties.md`.
mod duty;
mod permits;

pub use duty::{Candidate, Change, Config, Duty, Stage, StoreReply, StoreRequest};
pub use permits::{next_permit, DrainRequest};

/// Milliseconds on a monotonic clock.
pub type Ms = u64;
