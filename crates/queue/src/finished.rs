//! How messages end, and what is kept of one that has ended.
use crate::message::{Envelope, Message};
use crate::WallMs;
use borsh::{BorshDeserialize, BorshSerialize};
use std::rc::Rc;

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// An endpoint did it, and signed so.
    Completed { signature: String },
    /// It never will be done.
    DeadLetter,
}

/// The end of a message, for those who know the message already.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinalRecord {
    pub id: String,
    pub outcome: Outcome,
    pub at: WallMs,
}

/// A message that has ended, together with its end: of a completed one the envelope is kept, of a dead letter all, since
/// its body can be asked for as long as its state.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum FinishedMessage {
    Completed { envelope: Rc<Envelope>, signature: String, at: WallMs },
    DeadLetter { message: Message, at: WallMs },
}

impl FinishedMessage {
    /// What is kept of a message once it has ended.
    pub fn new(message: Message, final_record: FinalRecord) -> FinishedMessage {
        match final_record.outcome {
            Outcome::Completed { signature } => {
                FinishedMessage::Completed { envelope: message.envelope, signature, at: final_record.at }
            }
            Outcome::DeadLetter => FinishedMessage::DeadLetter { message, at: final_record.at },
        }
    }

    pub fn envelope(&self) -> &Rc<Envelope> {
        match self {
            FinishedMessage::Completed { envelope, .. } => envelope,
            FinishedMessage::DeadLetter { message, .. } => &message.envelope,
        }
    }

    /// The request's id.
    pub fn id(&self) -> &str {
        &self.envelope().id
    }

    /// The whole message, if it is a dead letter.
    pub fn dead_letter(&self) -> Option<&Message> {
        match self {
            FinishedMessage::Completed { .. } => None,
            FinishedMessage::DeadLetter { message, .. } => Some(message),
        }
    }

    /// It is owed itself, whoever was called back: its body can be asked for, or a repeat of its operation has to be known.
    pub fn must_be_retained(&self) -> bool {
        self.dead_letter().is_some() || self.envelope().has_operation_key()
    }

    /// When it ended.
    pub fn at(&self) -> WallMs {
        match self {
            FinishedMessage::Completed { at, .. } | FinishedMessage::DeadLetter { at, .. } => *at,
        }
    }

    pub fn outcome(&self) -> Outcome {
        match self {
            FinishedMessage::Completed { signature, .. } => {
                Outcome::Completed { signature: signature.clone() }
            }
            FinishedMessage::DeadLetter { .. } => Outcome::DeadLetter,
        }
    }

    pub fn final_record(&self) -> FinalRecord {
        FinalRecord { id: self.id().to_string(), outcome: self.outcome(), at: self.at() }
    }

    /// Bytes of the body that is kept.
    pub fn body_bytes(&self) -> usize {
        self.dead_letter().map_or(0, |message| message.body.len())
    }
}
