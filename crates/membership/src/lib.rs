//! Who of a fleet is present: SWIM with suspicion and incarnation numbers, and Lifeguard's local health.
//!
//! No I/O, clock or global state: datagrams and times are passed in, datagrams come out, and random numbers come from a
//! seed. What is promised and measured is in `docs/membership.md`.
mod digest;
mod members;
mod node;
mod roster;
mod standing;
mod wire;
mod words;

pub use node::{Config, DropCounts, MemberView, Node, StrikeError};
pub use roster::{EntryStatus, Roster, RosterEntry, RosterError};
pub use standing::{Permissions, Standing, StandingTracker};
pub use wire::{
    Impairment, MemberId, MemberState, MemberUpdate, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, PROTOCOL_VERSION,
};

/// Milliseconds on a clock that only rises.
pub type Ms = u64;
