//! What control costs a sender at the size of a whole fleet: many hollow senders in one process beside real ones.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`plan`] | what a run does, as a strict file |
//! | [`net`] | what lies between members: cuts, and counts of what passes |
//! | [`wire`] | HTTP as the stand-ins speak it |
//! | [`agent`] | discovery's stand-in, with a list of any size |
//! | [`hollows`] | hollow senders, many on each of a few threads |
//! | [`real`] | real senders: processes that none outlives |
//! | [`fleet`] | one fleet of both, its folders and configurations |
//! | [`run`] | plays a plan on fleets, within its bounds |
//! | `measured` | what is measured on a fleet |
//! | `recorder` | a run under way: its lines and its bounds |
//! | `alone` | one real sender alone |
//! | `lists` | what a list costs it |
//! | [`traffic`] | clients, and partners that answer |
//! | `messages` | what messages cost it, and what becomes of them |
//! | `held` | what those cost that it holds |
//! | [`measurement`] | one line of results |
//! | [`page`] | the tables of docs/CAPACITY.md from such lines |
pub mod agent;
mod alone;
pub mod fleet;
mod held;
pub mod hollows;
mod lists;
mod measured;
pub mod measurement;
mod messages;
pub mod net;
pub mod page;
pub mod plan;
pub mod real;
mod recorder;
pub mod run;
pub mod traffic;
pub mod wire;
