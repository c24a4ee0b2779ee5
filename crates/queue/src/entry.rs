//! The records of what happens to messages.
use crate::WallMs;
use borsh::{BorshDeserialize, BorshSerialize};

/// A message as it was taken, with what is needed to deliver it.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The request's id; the message goes by it everywhere.
    pub id: String,
    pub host: String,
    pub method: String,
    /// Path with query.
    pub target: String,
    pub content_type: String,
    /// What it is about, as the client says.
    pub key: Option<String>,
    /// It runs only once all of its key that were taken before it have ended.
    pub ordered: bool,
    /// Its place among the messages of its key: rises with each that an owner takes, and from owner to owner.
    pub order: u64,
    pub callback: Option<String>,
    pub route: String,
    /// The version of the configuration by which it was taken.
    pub version: u64,
    pub taken_at: WallMs,
    /// Not to run earlier.
    pub due_at: WallMs,
    /// Milliseconds after it fell due in which a run is to begin.
    pub aim_ms: u64,
    /// Disks of stores that were given it before without a clear answer: they leave it to this one.
    pub also_at: Vec<u64>,
    /// It ends then, run or not.
    pub expires_at: WallMs,
    pub body: Vec<u8>,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// An endpoint did it, and signed so.
    Completed { signature: String },
    /// It never will be done.
    DeadLetter,
}

/// The end of a message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct End {
    pub id: String,
    pub outcome: Outcome,
    pub at: WallMs,
}

/// One record of the log. Most are messages, so a box would only be one more allocation for each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Entry {
    /// The identity of this disk: the first record.
    Disk(u64),
    /// A message that is owned by the store with this disk.
    Message { owner: u64, message: Message },
    /// An attempt failed: how many have by now.
    Failed { id: String, attempts: u32 },
    /// A message has ended.
    Ended(End),
    /// The call-back about its end was accepted.
    CalledBack { id: String },
    /// Another store has it: this owner's message, or copy of it, isn't needed any more.
    Dropped { owner: u64, id: String },
    /// The store with this disk was given up: nothing is kept for it any more.
    Fenced { disk: u64 },
}
