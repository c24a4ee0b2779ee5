//! What control costs a sender at the size of a whole fleet: many hollow senders in one process beside real ones.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`plan`] | what a run does, as a strict file |
//! | [`net`] | what lies between members: cuts, and counts of what passes |
//! | [`agent`] | discovery's stand-in, with a list of any size |
//! | [`hollows`] | hollow senders, many on each of a few threads |
//! | [`real`] | real senders: processes that none outlives |
//! | [`fleet`] | one fleet of both, its folders and configurations |
//! | [`run`] | plays a plan on fleets, within its bounds |
//! | `measured` | what is measured on a fleet |
//! | `recorder` | a run under way: its lines and its bounds |
//! | `lists` | what a list costs one real sender |
//! | [`measurement`] | one line of results |
//! | [`page`] | the tables of docs/CAPACITY.md from such lines |
pub mod agent;
pub mod fleet;
pub mod hollows;
mod lists;
mod measured;
pub mod measurement;
pub mod net;
pub mod page;
pub mod plan;
pub mod real;
mod recorder;
pub mod run;
