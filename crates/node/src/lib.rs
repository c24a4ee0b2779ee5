//! The roles of mallowstep, each a process.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`process`] | settings, logs, signals and the loop that every role runs in |
//! | [`calls`] | what members ask of each other |
//! | [`watch`] | the configuration, the stores and the endpoints, as the control group tells them |
//! | [`edge`] | takes messages from clients and hands them to stores |
//! | [`store`] | keeps messages on disk, in two places, and delivers them |
//! | [`demo`] | the whole system on loopback, with stand-ins for all around it |
//! | [`tools`] | what operators run by hand |
//! | [`traffic`] | bytes by purpose and distance, for the log and the status |
//! | [`control`] | the control group: the operator's API, the list of endpoints, who is there |
pub mod calls;
pub mod control;
pub mod demo;
pub mod edge;
pub mod packed;
pub mod process;
pub mod store;
pub mod tools;
pub mod traffic;
pub mod watch;
