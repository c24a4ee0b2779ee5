//! The decisions of a sender: which message goes where and when, or is refused.
//!
//! | module | content |
//! | --- | --- |
//! | [`api`] | the interface: settings, events in, actions out; data only |
//! | [`settings`] | reads the settings object that the platform writes |
//! | [`rules`] | every decision, and the state that decisions depend on |
//! | [`admission`] | only the cap on calls in flight, for senders with a queue of their own |
//! | `decaying_stats`, `levels`, `bucket`, `schedule`, `key_queues`, `rng` | statistics whose weight halves with time, these by level, a token bucket, due times by key, order by key, random numbers |
//! | `listing` | the endpoint list with its indexes, compact and without copies |
//! | `records` | creates and removes the records of destinations in use; `rules` decides when they go |
//! | [`view`] | that state as operators see it; nothing is decided by it |
//!
//! The crate uses no files, sockets, clocks or threads, and two senders share nothing: the time comes with
//! each batch of events, and random numbers come from the seed given to [`rules::Sender::new`]. For each
//! batch [`rules::Sender::handle`] applies the events (a list, a message, the end of an attempt), then plans
//! what is due, and appends its actions (send, refuse, fail, a timer) to the caller's vector. The caller
//! carries them out in order.
pub mod admission;
pub mod api;
mod bucket;
mod decaying_stats;
mod key_queues;
mod levels;
mod listing;
mod records;
mod rng;
pub mod rules;
mod schedule;
pub mod settings;
pub mod view;

#[cfg(test)]
mod caps_tests;
