//! A duty that one process holds at a time, by a lease in an outside store that keeps keys with revisions.
//!
//! No I/O, clock or global state: what is to be asked of the store comes out, its answers and the time go in. What is
//! promised, and on what assumptions, is in `docs/duties.md`.
mod duty;
mod permits;

pub use duty::{Candidate, Change, Config, Duty, Stage, StoreReply, StoreRequest};
pub use permits::{next_permit, DrainRequest};

/// Milliseconds on a clock that only rises.
pub type Ms = u64;
