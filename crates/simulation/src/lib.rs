//! Simulated time, networks and disks. Tests run the system's own code on them, many processes on one thread; what
//! happens depends on a seed alone.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`clock`] | tasks, timers and clocks of many processes; processes are killed and frozen |
//! | [`network`] | calls between processes: delays, stalls, cuts, broken connections |
//! | [`logs`] | what the processes log, with simulated time |
//! | [`disk`] | files that outlast a process, and lose what wasn't synced when the power goes |
pub mod clock;
pub mod disk;
pub mod logs;
pub mod network;

pub use clock::{ProcessId, Simulation};
