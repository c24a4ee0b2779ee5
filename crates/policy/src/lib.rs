//! The decisions of a sender: which message goes where and when, or is refused.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`api`] | the interface: settings, events in, actions out; data only |
//! | [`settings`] | reads the settings object that the platform writes |
//! | [`rules`] | every decision, and the state that decisions rest on |
//! | [`admission`] | the cap alone, for senders with a queue of their own |
//! | `aged`, `levels`, `bucket`, `agenda`, `turns`, `lot` | figures whose weight halves with time, and those by level, a token bucket, times by key, order by key, random numbers |
//! | `listing` | the list as it was told, compact, and indexes of it: nothing of it is held a second time |
//! | `records` | records of destinations in use: they come with the first use, and go where the rules say so |
//! | [`view`] | what operators may see of that state; nothing is decided by it |
//!
//! It must not touch files, sockets, clocks or threads, nor share anything between two senders: time comes with each
//! batch of events, and random numbers come from the seed that [`rules::Sender::new`] is given. One batch's way:
//! [`rules::Sender::handle`] takes each event (a list, a message, the end of an attempt), then looks at what is due,
//! and leaves its actions (send, refuse, fail, a timer) in the caller's vector. The caller carries them out in order.
pub mod admission;
mod aged;
mod agenda;
pub mod api;
mod bucket;
mod levels;
mod listing;
mod lot;
mod records;
pub mod rules;
pub mod settings;
mod turns;
pub mod view;

#[cfg(test)]
mod caps_tests;
