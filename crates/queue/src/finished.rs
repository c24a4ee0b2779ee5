//! Outcomes of messages, and what is kept of a finished message.
use crate::message::{Envelope, Message};
use crate::WallMs;
use borsh::{BorshDeserialize, BorshSerialize};
use std::rc::Rc;

/// The outcome of a message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// An endpoint completed it and signed the result.
    Completed { signature: String },
    /// It will never be completed.
    DeadLetter,
}

/// The outcome of a message, for stores that already have the message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinalRecord {
    /// The id of the message.
    pub id: String,
    /// How it finished.
    pub outcome: Outcome,
    /// When it finished.
    pub at: WallMs,
}

/// A finished message together with its outcome. Of a completed message only the envelope is kept; a dead
/// letter keeps its body, which can be requested as long as its state.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum FinishedMessage {
    Completed { envelope: Rc<Envelope>, signature: String, at: WallMs },
    DeadLetter { message: Message, at: WallMs },
}

impl FinishedMessage {
    /// What is kept of a message with this outcome.
    pub fn new(message: Message, final_record: FinalRecord) -> FinishedMessage {
        match final_record.outcome {
            Outcome::Completed { signature } => {
                FinishedMessage::Completed { envelope: message.envelope, signature, at: final_record.at }
            }
            Outcome::DeadLetter => FinishedMessage::DeadLetter { message, at: final_record.at },
        }
    }

    /// The envelope, which is always kept.
    pub fn envelope(&self) -> &Rc<Envelope> {
        match self {
            FinishedMessage::Completed { envelope, .. } => envelope,
            FinishedMessage::DeadLetter { message, .. } => &message.envelope,
        }
    }

    /// The id of the request.
    pub fn id(&self) -> &str {
        &self.envelope().id
    }

    /// The message with its body, if it is a dead letter.
    pub fn dead_letter(&self) -> Option<&Message> {
        match self {
            FinishedMessage::Completed { .. } => None,
            FinishedMessage::DeadLetter { message, .. } => Some(message),
        }
    }

    /// Whether the message has to be retained even with no callback pending: its body can be requested, or
    /// repeats of its operation have to be recognized.
    pub fn must_be_retained(&self) -> bool {
        self.dead_letter().is_some() || self.envelope().has_operation_key()
    }

    /// When it finished.
    pub fn at(&self) -> WallMs {
        match self {
            FinishedMessage::Completed { at, .. } | FinishedMessage::DeadLetter { at, .. } => *at,
        }
    }

    /// How it finished.
    pub fn outcome(&self) -> Outcome {
        match self {
            FinishedMessage::Completed { signature, .. } => {
                Outcome::Completed { signature: signature.clone() }
            }
            FinishedMessage::DeadLetter { .. } => Outcome::DeadLetter,
        }
    }

    /// The outcome without the message.
    pub fn final_record(&self) -> FinalRecord {
        FinalRecord { id: self.id().to_string(), outcome: self.outcome(), at: self.at() }
    }

    /// Size of the body, if it is kept.
    pub fn body_bytes(&self) -> usize {
        self.dead_letter().map_or(0, |message| message.body.len())
    }
}
