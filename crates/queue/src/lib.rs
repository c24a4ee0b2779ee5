//! The durable queue of one store. No I/O and no clock: times are passed in.
//!
//! What happens to messages is a row of [`Entry`] records, which the store keeps on its disk and gives to the stores
//! that hold replicas. [`Queue`] is the view folded from them: which messages are owned here, which are kept for other
//! stores, which may run now, in which order, and which have ended.
//!
//! A [`Message`] always has its body; where the body isn't needed any more, only an [`Envelope`] is left. So nothing that
//! delivers, shows or hands on a message can take one without its body for one whose body is empty.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`message`] | messages, their envelopes, and bodies with their digests |
//! | [`ended`] | how messages end, and what is kept of one that has ended |
//! | [`entry`] | the records |
//! | [`operations`] | which message there is of each operation, and which of two stays |
//! | [`owned`] | what is known of a message that this store owns |
//! | [`replicas`] | messages and ends that are kept for other stores |
//! | `ready`, `schedule` | what may run of a route, and in which order |
//! | [`rivals`] | which of several messages of one operation stays |
//! | [`view`] | the fold of all records; what is kept for other stores, as they ask for it |
//! | [`placement`] | at which stores the copies of a message lie |
//! | [`custody`] | what is decided about replicas at other stores, and about those kept for them |
pub mod duplicates;
pub mod entry;
pub mod finished;
pub mod message;
pub mod operations;
pub mod owned;
pub mod placement;
mod ready;
pub mod replicas;
pub mod replication;
mod schedule;
pub mod state;

pub use entry::{Entry, FinishedTransfer, MessageTransfer};
pub use finished::{FinalRecord, FinishedMessage, Outcome};
pub use message::{Body, DamagedBody, Envelope, Message, TenantKey};
pub use owned::{OwnedMessage, Stage};
pub use placement::Placement;
pub use replicas::Replica;
pub use state::{Counts, HeldIds, Queue};

/// Milliseconds of the wall clock, since 1970.
pub type WallMs = u64;
