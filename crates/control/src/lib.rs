//! The replicated control state of a system, and the group of machines that stores it.
//!
//! The crate is sans-I/O: it has no clock and no global state. Callers pass in messages and the current time and send the
//! messages that are returned; durable data is written through [`Storage`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`state`] | the replicated state (configuration, recent configurations, stores) and its commands and events |
//! | [`stores`] | stores, identified by their disks, and the owner of each partition of the key space |
//! | [`view`] | an epoch with its primary, its backups and the members that vote |
//! | [`disk`] | a machine's durable state on a ring of files |
//! | [`group`] | replication to the backups, and failover by a majority vote of the members |
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
pub use stores::{Retirement, Store, StoreView, PARTITIONS};
pub use view::{Member, View};

/// A point in time or a duration, in milliseconds of a monotonic clock.
pub type Ms = u64;
