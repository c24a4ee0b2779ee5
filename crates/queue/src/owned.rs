//! What is known of a message that this store owns.
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::{Envelope, Message};
use crate::ready::Position;
use crate::WallMs;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Where a message stands that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not on enough disks yet.
    Replicating,
    /// It may run once it is due and, with a key, once those before it have ended.
    Waiting,
    /// At an endpoint.
    Running,
}

#[derive(Clone, Debug)]
enum State {
    Live(Message, Stage),
    Finished(FinishedMessage),
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
    pub confirmed_holders: BTreeSet<u64>,
    /// Disks that were sent a replica, and may hold it.
    pub sent_to: BTreeSet<u64>,
    /// A call-back about its end is owed, now or once it has ended.
    pub callback_pending: bool,
    /// Disks whose replica doesn't know of the end yet.
    pub unnotified: BTreeSet<u64>,
    /// Disks of other stores that were given the message too and count on a replica here: there is one once this store
    /// has left the message to them.
    pub replica_owners: BTreeSet<u64>,
    /// Where it stands among those of its route that may run.
    pub(crate) position: Option<Position>,
}

impl OwnedMessage {
    pub(crate) fn live(message: Message, replica_owners: BTreeSet<u64>) -> OwnedMessage {
        let callback_pending = message.envelope.callback.is_some();
        OwnedMessage::new(State::Live(message, Stage::Replicating), callback_pending, replica_owners)
    }

    pub(crate) fn finished(
        finished: FinishedMessage,
        callback_pending: bool,
        replica_owners: BTreeSet<u64>,
    ) -> OwnedMessage {
        OwnedMessage::new(State::Finished(finished), callback_pending, replica_owners)
    }

    fn new(state: State, callback_pending: bool, replica_owners: BTreeSet<u64>) -> OwnedMessage {
        OwnedMessage {
            state,
            attempts: 0,
            not_before: 0,
            confirmed_holders: BTreeSet::new(),
            sent_to: BTreeSet::new(),
            callback_pending,
            unnotified: BTreeSet::new(),
            replica_owners,
            position: None,
        }
    }

    pub fn envelope(&self) -> &Rc<Envelope> {
        match &self.state {
            State::Live(message, _) => &message.envelope,
            State::Finished(finished) => finished.envelope(),
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
            State::Finished(finished) => finished.dead_letter(),
        }
    }

    /// The whole message, if it has not ended.
    pub fn live_message(&self) -> Option<&Message> {
        match &self.state {
            State::Live(message, _) => Some(message),
            State::Finished(_) => None,
        }
    }

    /// Where it stands, if it has not ended.
    pub fn stage(&self) -> Option<Stage> {
        match &self.state {
            State::Live(_, stage) => Some(*stage),
            State::Finished(_) => None,
        }
    }

    /// It has not ended.
    pub fn is_live(&self) -> bool {
        self.stage().is_some()
    }

    /// What is kept of it, if it has ended.
    pub fn finished_message(&self) -> Option<&FinishedMessage> {
        match &self.state {
            State::Live(..) => None,
            State::Finished(finished) => Some(finished),
        }
    }

    /// Something is owed of it that must outlast this store, though it has ended: its body, its call-back, or that a repeat
    /// of its operation is known.
    pub fn must_be_retained(&self) -> bool {
        self.finished_message().is_some_and(|finished| self.callback_pending || finished.must_be_retained())
    }

    /// Disks that may hold a replica.
    pub fn possible_holders(&self) -> BTreeSet<u64> {
        self.confirmed_holders.union(&self.sent_to).copied().collect()
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
            State::Live(..) | State::Finished(_) => false,
        }
    }

    /// It has ended; false if it had before.
    pub(crate) fn finish(&mut self, final_record: FinalRecord) -> bool {
        let State::Live(message, _) = &self.state else { return false };
        self.state = State::Finished(FinishedMessage::new(message.clone(), final_record));
        self.unnotified = self.possible_holders();
        true
    }

    /// The message has this body: what was kept of it is damaged.
    pub(crate) fn replace_message(&mut self, replacement: Message) {
        match &mut self.state {
            State::Live(message, _) | State::Finished(FinishedMessage::DeadLetter { message, .. }) => {
                *message = replacement
            }
            State::Finished(FinishedMessage::Completed { .. }) => {}
        }
    }
}
