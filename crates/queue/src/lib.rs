//! The durable queue of one store. No I/O and no clock: times are passed in.
//!
//! What happens to messages is a row of [`Entry`] records, which the store keeps on its disk and gives to the stores
//! that hold copies. [`Queue`] is the view folded from them: which messages are owned here, which are kept for others,
//! which may run now, in which order, and which have ended.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`custody`] | what is decided about copies at other stores, and about those kept for them |
//! | [`entry`] | the records |
//! | `others` | copies, ends and owed call-backs of other stores' messages |
//! | `ready` | what may run of a route, and in which order |
//! | [`view`] | the fold, and what may run |
pub mod custody;
pub mod entry;
mod others;
mod ready;
pub mod view;

pub use custody::{Given, Owed};
pub use entry::{End, Entry, Message, Outcome};
pub use others::Copy;
pub use view::{Known, Queue, Stage};

/// Milliseconds of the wall clock, since 1970.
pub type WallMs = u64;
