//! What control costs a sender at the size of a whole fleet: many hollow senders in one process beside real ones.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`measurement`] | one line of results |
pub mod measurement;
