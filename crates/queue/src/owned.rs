//! What is known of a message that this store owns.
use crate::ended::{End, EndedMessage};
use crate::message::{Envelope, Message};
use crate::ready::Place;
use crate::WallMs;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Where a message stands that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not on enough disks yet.
    Copying,
    /// It may run once it is due and, with a key, once those before it have ended.
    Waiting,
    /// At an endpoint.
    Running,
}

#[derive(Clone, Debug)]
enum State {
    Live(Message, Stage),
    Ended(EndedMessage),
}

/// A message that this store owns.
#[derive(Clone, Debug)]
pub struct OwnedMessage {
    state: State,
    /// Attempts that failed.
    pub attempts: u32,
    /// Not to be tried again earlier.
    pub not_before: WallMs,
    /// Disks that hold a replica.
    pub copies: BTreeSet<u64>,
    /// Disks that were sent a replica, and may hold it.
    pub sent: BTreeSet<u64>,
    /// A call-back about its end is owed, now or once it has ended.
    pub owes_callback: bool,
    /// Disks whose replica doesn't know of the end yet.
    pub untold: BTreeSet<u64>,
    /// Disks of other stores that were given the message too and count on a replica here: there is one once this store
    /// has left the message to them.
    pub kept_for: BTreeSet<u64>,
    /// Where it stands among those of its route that may run.
    pub(crate) place: Option<Place>,
}

impl OwnedMessage {
    pub(crate) fn live(message: Message, kept_for: BTreeSet<u64>) -> OwnedMessage {
        let owes_callback = message.envelope.callback.is_some();
        OwnedMessage::new(State::Live(message, Stage::Copying), owes_callback, kept_for)
    }

    pub(crate) fn ended(ended: EndedMessage, owes_callback: bool, kept_for: BTreeSet<u64>) -> OwnedMessage {
        OwnedMessage::new(State::Ended(ended), owes_callback, kept_for)
    }

    fn new(state: State, owes_callback: bool, kept_for: BTreeSet<u64>) -> OwnedMessage {
        OwnedMessage {
            state,
            attempts: 0,
            not_before: 0,
            copies: BTreeSet::new(),
            sent: BTreeSet::new(),
            owes_callback,
            untold: BTreeSet::new(),
            kept_for,
            place: None,
        }
    }

    pub fn envelope(&self) -> &Rc<Envelope> {
        match &self.state {
            State::Live(message, _) => &message.envelope,
            State::Ended(ended) => ended.envelope(),
        }
    }

    /// The request's id.
    pub fn id(&self) -> &str {
        &self.envelope().id
    }

    /// The whole message, unless it is completed.
    pub fn message(&self) -> Option<&Message> {
        match &self.state {
            State::Live(message, _) => Some(message),
            State::Ended(ended) => ended.dead_letter(),
        }
    }

    /// The whole message, if it has not ended.
    pub fn live_message(&self) -> Option<&Message> {
        match &self.state {
            State::Live(message, _) => Some(message),
            State::Ended(_) => None,
        }
    }

    /// Where it stands, if it has not ended.
    pub fn stage(&self) -> Option<Stage> {
        match &self.state {
            State::Live(_, stage) => Some(*stage),
            State::Ended(_) => None,
        }
    }

    /// It has not ended.
    pub fn is_live(&self) -> bool {
        self.stage().is_some()
    }

    /// What is kept of it, if it has ended.
    pub fn ended_message(&self) -> Option<&EndedMessage> {
        match &self.state {
            State::Live(..) => None,
            State::Ended(ended) => Some(ended),
        }
    }

    /// Something is owed of it that must outlast this store, though it has ended: its body, its call-back, or that a repeat
    /// of its operation is known.
    pub fn owes_after_end(&self) -> bool {
        self.ended_message().is_some_and(|ended| self.owes_callback || ended.is_owed())
    }

    /// Disks that may hold a replica.
    pub fn holders(&self) -> BTreeSet<u64> {
        self.copies.union(&self.sent).copied().collect()
    }

    /// Bytes of the body that is kept.
    pub fn body_bytes(&self) -> usize {
        self.message().map_or(0, |message| message.body.len())
    }

    pub(crate) fn due_at(&self) -> WallMs {
        self.envelope().due_at.max(self.not_before)
    }

    /// Changes the stage from one to another; false if it isn't at the first.
    pub(crate) fn advance(&mut self, from: Stage, to: Stage) -> bool {
        match &mut self.state {
            State::Live(_, stage) if *stage == from => {
                *stage = to;
                true
            }
            State::Live(..) | State::Ended(_) => false,
        }
    }

    /// It has ended; false if it had before.
    pub(crate) fn end(&mut self, end: End) -> bool {
        let State::Live(message, _) = &self.state else { return false };
        self.state = State::Ended(EndedMessage::new(message.clone(), end));
        self.untold = self.holders();
        true
    }

    /// The message has this body: what was kept of it is damaged.
    pub(crate) fn set_message(&mut self, whole: Message) {
        match &mut self.state {
            State::Live(message, _) | State::Ended(EndedMessage::DeadLetter { message, .. }) => {
                *message = whole
            }
            State::Ended(EndedMessage::Completed { .. }) => {}
        }
    }
}
