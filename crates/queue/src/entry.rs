//! The records of what happens to messages, and messages as one store gives them to another.
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::Message;
use borsh::{BorshDeserialize, BorshSerialize};

/// A message that has not ended, as one store gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MessageTransfer {
    pub message: Message,
    /// Attempts that failed.
    pub attempts: u32,
}

/// A message that has ended, as one store gives it to another: in one piece with its end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinishedTransfer {
    pub finished: FinishedMessage,
    /// The call-back about its end was accepted, or nobody is owed one.
    pub callback_done: bool,
}

/// One record of the log. Most are messages, so a box would only be one more allocation for each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Entry {
    /// The identity of this disk: the first record.
    Disk(u64),
    /// A message that has not ended, and is owned by the store with this disk.
    Message { owner: u64, message: Message },
    /// An attempt failed: how many have by now.
    AttemptFailed { id: String, attempts: u32 },
    /// A message has ended that was told of before.
    Finished(FinalRecord),
    /// The call-back about its end was accepted.
    CallbackDone { id: String },
    /// Another store has it: this owner's message, or replica of it, isn't needed any more.
    Dropped { owner: u64, id: String },
    /// The store with this disk was given up: nothing is kept for it any more.
    Fenced { disk: u64 },
    /// A message that has ended, with its end, and is owned by the store with this disk.
    FinishedMessage { owner: u64, transfer: FinishedTransfer },
    /// All that the lost store with this disk owned is here, and others have dropped what they kept of it.
    TakenOver { disk: u64 },
}

impl Entry {
    /// The message that it is about; none, if it is about a disk.
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

    /// Bytes of the body in it.
    pub fn body_bytes(&self) -> usize {
        match self {
            Entry::Message { message, .. } => message.body.len(),
            Entry::FinishedMessage { transfer, .. } => transfer.finished.body_bytes(),
            _ => 0,
        }
    }

    /// Whether it brings a message that its reader may not have had.
    pub fn has_message(&self) -> bool {
        matches!(self, Entry::Message { .. } | Entry::FinishedMessage { .. })
    }
}
