//! The state of a message that this store owns.
use crate::finished::{FinalRecord, FinishedMessage};
use crate::message::{Envelope, Message};
use crate::ready::Position;
use crate::routing::MessageRoute;
use crate::WallMs;
use settings::RouteKey;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The stage of an unfinished message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not on enough disks yet.
    Replicating,
    /// May run once it is due and, with an ordering key, once all earlier messages of the key have finished.
    Waiting,
    /// Being delivered to an endpoint.
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
    /// Number of failed delivery attempts.
    pub attempts: u32,
    /// Earliest time of the next attempt.
    pub not_before: WallMs,
    /// Disks that are known to hold a replica.
    pub confirmed_holders: BTreeSet<u64>,
    /// Disks that were sent a replica and may hold it.
    pub sent_to: BTreeSet<u64>,
    /// A callback about the outcome has to be sent, now or once the message has finished.
    pub callback_pending: bool,
    /// Disks that hold a replica and were not notified of the outcome yet.
    pub unnotified: BTreeSet<u64>,
    /// Disks of other stores that received the message too and rely on a replica here. If this store
    /// relinquishes the message, it keeps a replica for them.
    pub replica_owners: BTreeSet<u64>,
    /// Its route by the configuration in force.
    pub(crate) route: MessageRoute,
    /// Where it waits, if it is scheduled.
    pub(crate) slot: Option<Slot>,
}

/// Where a scheduled message waits.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub route: Rc<RouteKey>,
    /// Position among the waiting messages of the route.
    pub position: Position,
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
            route: MessageRoute::default(),
            slot: None,
        }
    }

    /// The envelope, which is always kept.
    pub fn envelope(&self) -> &Rc<Envelope> {
        match &self.state {
            State::Live(message, _) => &message.envelope,
            State::Finished(finished) => finished.envelope(),
        }
    }

    /// The id of the request.
    pub fn id(&self) -> &str {
        &self.envelope().id
    }

    /// The message with its body, unless it is completed.
    pub fn message(&self) -> Option<&Message> {
        match &self.state {
            State::Live(message, _) => Some(message),
            State::Finished(finished) => finished.dead_letter(),
        }
    }

    /// The message with its body, if it has not finished.
    pub fn live_message(&self) -> Option<&Message> {
        match &self.state {
            State::Live(message, _) => Some(message),
            State::Finished(_) => None,
        }
    }

    /// The stage, if the message has not finished.
    pub fn stage(&self) -> Option<Stage> {
        match &self.state {
            State::Live(_, stage) => Some(*stage),
            State::Finished(_) => None,
        }
    }

    /// Whether the message has not finished.
    pub fn is_live(&self) -> bool {
        self.stage().is_some()
    }

    /// What is kept of the message, if it has finished.
    pub fn finished_message(&self) -> Option<&FinishedMessage> {
        match &self.state {
            State::Live(..) => None,
            State::Finished(finished) => Some(finished),
        }
    }

    /// Whether the message has finished but must still survive the loss of this store: because its body can
    /// be requested, its callback is pending, or repeats of its operation have to be recognized.
    pub fn must_be_retained(&self) -> bool {
        self.finished_message().is_some_and(|finished| self.callback_pending || finished.must_be_retained())
    }

    /// Disks that hold a replica or may hold one.
    pub fn possible_holders(&self) -> BTreeSet<u64> {
        self.confirmed_holders.union(&self.sent_to).copied().collect()
    }

    /// Size of the body, if it is kept.
    pub fn body_bytes(&self) -> usize {
        self.message().map_or(0, |message| message.body.len())
    }

    pub(crate) fn due_at(&self) -> WallMs {
        self.envelope().due_at.max(self.not_before)
    }

    /// Moves from one stage to another. Returns false if the message is not in the first.
    pub(crate) fn advance(&mut self, from: Stage, to: Stage) -> bool {
        match &mut self.state {
            State::Live(_, stage) if *stage == from => {
                *stage = to;
                true
            }
            State::Live(..) | State::Finished(_) => false,
        }
    }

    /// Records the outcome. Returns false if the message had finished before.
    pub(crate) fn finish(&mut self, final_record: FinalRecord) -> bool {
        let State::Live(message, _) = &self.state else { return false };
        self.state = State::Finished(FinishedMessage::new(message.clone(), final_record));
        self.unnotified = self.possible_holders();
        true
    }

    /// Replaces a message whose body is damaged.
    pub(crate) fn replace_message(&mut self, replacement: Message) {
        match &mut self.state {
            State::Live(message, _) | State::Finished(FinishedMessage::DeadLetter { message, .. }) => {
                *message = replacement
            }
            State::Finished(FinishedMessage::Completed { .. }) => {}
        }
    }
}
