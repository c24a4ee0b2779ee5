//! The control state of a system, and the group of machines that keeps it.
//!
//! No I/O, clock or global state: messages and times are passed in, messages come out, and what must last goes through
//! [`Storage`].
//!
//! | module | what it is |
//! | --- | --- |
//! | [`state`] | what is kept: the configuration, those taken before it, the stores; commands, events, the fold |
//! | [`stores`] | stores by the identity of their disks, and who owns which partition of the keys |
//! | [`view`] | an epoch: its primary, its backup, and the members that decide |
//! | [`disk`] | what a machine keeps, on a ring of files |
//! | [`group`] | replication to a backup, and failover decided by a majority of the members' epochs |
pub mod disk;
pub mod group;
pub mod state;
pub mod stores;
pub mod view;

pub use group::{
    ChangeId, DurableState, Group, GroupSettings, LeadershipConfirmation, LeaveStep, Message, Outgoing,
    Reply, Stage, Storage,
};
pub use state::{Command, Event, Position, Rejected, State};
pub use stores::{Store, StoreView, PARTITIONS};
pub use view::{Member, View};

/// Milliseconds on a clock that only rises.
pub type Ms = u64;
