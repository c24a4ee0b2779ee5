//! What a sender has taken on, kept so that it outlasts the process and, where that is asked for, the loss of power.
//!
//! No I/O, clock or global state: files are behind `Storage`, times and random numbers are passed in. The format is in
//! `docs/journal.md`.
mod format;
mod ledger;
mod log;
mod record;
mod recover;
pub mod storage;

pub use format::{decode, encode, encode_groups, Newer, VERSION};
pub use ledger::{first_id, seen, Ledger, Live};
pub use log::{Durability, Fault, Figures, Journal, Names};
pub use record::*;
pub use recover::{read, recover, Damage, Left, Loss, Recovered, Whole};
