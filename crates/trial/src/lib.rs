//! Many real senders on loopback with faults between them: the trial rig.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`file`] | what a trial is, as a strict file |
//! | [`link`] | what stands between two parties, by direction; no I/O |
//! | [`front`] | carries that out on real sockets: every path goes through one |
//! | [`disk`] | how long the rig's own writes take |
//! | [`process`] | a sender's processes; none outlives the rig |
//! | [`stage`] | partners, discovery's agent, the platform and clients, on the lab's model of partners |
//! | [`etcd`] | the store's stand-in |
//! | [`agent`] | discovery's agent with lists of any size |
//! | [`peers`] | smaller stand-ins that a test scripts call by call |
//! | [`history`] | everything that was seen, on one clock |
//! | [`judges`] | what is wrong in a history |
//! | [`run`] | plays a trial |
//! | [`picture`] | draws one |
pub mod agent;
pub mod disk;
pub mod etcd;
pub mod file;
pub mod front;
pub mod history;
pub mod judges;
pub mod link;
pub mod peers;
pub mod picture;
pub mod process;
pub mod run;
pub mod stage;
