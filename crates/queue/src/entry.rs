//! Log records, and messages in transfer from one store to another.
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::Message;
use borsh::{BorshDeserialize, BorshSerialize};

/// An unfinished message in transfer to another store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MessageTransfer {
    /// The message with its body.
    pub message: Message,
    /// Number of failed delivery attempts.
    pub attempts: u32,
}

/// A finished message in transfer to another store, together with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinishedTransfer {
    /// The message and its outcome.
    pub finished: FinishedMessage,
    /// The callback was accepted, or none was requested.
    pub callback_done: bool,
}

/// A log record. Most records are messages, so boxing them would only cost an allocation for each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Entry {
    /// The identity of this disk; the first record.
    Disk(u64),
    /// An unfinished message that the store with this disk owns.
    Message { owner: u64, message: Message },
    /// A delivery attempt failed; `attempts` is the total so far.
    AttemptFailed { id: String, attempts: u32 },
    /// A message, recorded earlier, has finished.
    Finished(FinalRecord),
    /// The receiver accepted the callback about the outcome.
    CallbackDone { id: String },
    /// This owner's message, or its replica, is no longer needed because another store has it.
    Dropped { owner: u64, id: String },
    /// The store with this disk was declared lost; nothing more is kept for it.
    Fenced { disk: u64 },
    /// A finished message, with its outcome, that the store with this disk owns.
    FinishedMessage { owner: u64, transfer: FinishedTransfer },
    /// This store has taken over everything from the lost store with this disk, and the other stores have
    /// dropped their replicas of it.
    TakenOver { disk: u64 },
}

impl Entry {
    /// The id of the message that the record is about, unless it is about a disk.
    pub fn id(&self) -> Option<&str> {
        match self {
            Entry::Disk(_) | Entry::Fenced { .. } | Entry::TakenOver { .. } => None,
            Entry::Message { message, .. } => Some(message.id()),
            Entry::FinishedMessage { transfer, .. } => Some(transfer.finished.id()),
            Entry::AttemptFailed { id, .. } | Entry::CallbackDone { id } | Entry::Dropped { id, .. } => {
                Some(id)
            }
            Entry::Finished(final_record) => Some(&final_record.id),
        }
    }

    /// Size of the body in the record.
    pub fn body_bytes(&self) -> usize {
        match self {
            Entry::Message { message, .. } => message.body.len(),
            Entry::FinishedMessage { transfer, .. } => transfer.finished.body_bytes(),
            _ => 0,
        }
    }

    /// Whether the record contains a message that its receiver may not have.
    pub fn has_message(&self) -> bool {
        matches!(self, Entry::Message { .. } | Entry::FinishedMessage { .. })
    }
}
