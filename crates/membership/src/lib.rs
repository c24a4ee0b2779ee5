//! Membership of a fleet: the SWIM protocol with suspicion and incarnation numbers, and Lifeguard's local
//! health.
//!
//! No I/O, clocks or global state: datagrams and the current time are passed in, datagrams are returned, and
//! random numbers come from a seed. The guarantees and measurements are in `docs/membership.md`.
mod digest;
mod gossip;
mod members;
mod node;
mod roster;
mod standing;
mod wire;

pub use node::{Config, DropCounts, MemberView, Node, StrikeError};
pub use roster::{EntryStatus, Roster, RosterEntry, RosterError};
pub use standing::{Permissions, Standing, StandingTracker};
pub use wire::{
    Impairment, MemberId, MemberState, MemberUpdate, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, PROTOCOL_VERSION,
};

/// Milliseconds on a monotonic clock.
pub type Ms = u64;
