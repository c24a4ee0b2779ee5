//! The durable queue of one store. It does no I/O and reads no clock: times are passed in.
//!
//! Everything that happens to messages is a sequence of [`Entry`] log records, which the store writes to its
//! disk and sends to the stores that hold replicas. [`Queue`] is the state obtained by applying these
//! records: which messages are owned here, which are held for other stores, which may run now and in which
//! order, and which have finished.
//!
//! A [`Message`] always has its body; where the body is no longer needed, only an [`Envelope`] is kept. Code
//! that delivers, shows or transfers a message can therefore not mistake a missing body for an empty one.
//!
//! | module | contents |
//! | --- | --- |
//! | [`message`] | messages, their envelopes, and bodies with their digests |
//! | [`finished`] | outcomes, and what is kept of a finished message |
//! | [`entry`] | log records, and messages in transfer between stores |
//! | [`operations`] | index of messages by operation, and the precedence among duplicates |
//! | [`owned`] | the state of a message that this store owns |
//! | `relinquished` | messages that this store left to other stores |
//! | [`replicas`] | messages and final records held for other stores |
//! | `routing` | which route an owned message belongs to |
//! | `ready`, `schedule` | which messages of a route may run, and in which order |
//! | [`duplicates`] | which of several messages of one operation is kept |
//! | [`state`] | the queue itself: the state after all records, and access to what is held for other stores |
//! | [`placement`] | which stores should hold the copies of a message |
//! | [`replication`] | replicas of own messages at other stores, and replicas held for other stores |
pub mod duplicates;
pub mod entry;
pub mod finished;
pub mod message;
pub mod operations;
pub mod owned;
pub mod placement;
mod ready;
mod relinquished;
pub mod replicas;
pub mod replication;
mod routing;
mod schedule;
pub mod state;

pub use entry::{Entry, FinishedTransfer, MessageTransfer};
pub use finished::{FinalRecord, FinishedMessage, Outcome};
pub use message::{Body, DamagedBody, Envelope, Message, TenantKey};
pub use owned::{OwnedMessage, Stage};
pub use placement::Placement;
pub use replicas::Replica;
pub use state::{Counts, HeldIds, Queue};

/// Wall clock time in milliseconds since the Unix epoch.
pub type WallMs = u64;
