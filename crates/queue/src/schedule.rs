//! Decides which owned messages may run: those of an ordering key one after another, those of a route in the
//! order that lets most of them start on time.
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Slot, Stage};
use crate::ready::{Position, Ready};
use crate::WallMs;
use settings::RouteKey;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How many messages of a key are searched for one that can still start on time.
const MAX_LOOKAHEAD: usize = 16;

/// Multiple of its target start time after which a message is long overdue.
const LONG_OVERDUE_TARGET_MULTIPLE: u64 = 11;

/// All messages that a store owns, by id.
pub(crate) type Messages = BTreeMap<String, OwnedMessage>;

/// The waiting messages and their order.
#[derive(Default)]
pub(crate) struct Schedule {
    /// Waiting messages by route; of each ordering key only the first.
    ready: BTreeMap<Rc<RouteKey>, Ready>,
    /// Ids of the messages of each ordering key, in order of their sequence numbers.
    key_queues: BTreeMap<TenantKey, VecDeque<String>>,
}

impl Schedule {
    /// Makes a message runnable, after the earlier ones of its ordering key.
    pub fn add(&mut self, messages: &mut Messages, id: &str) {
        let Some(envelope) = messages.get(id).map(|owned| owned.envelope().clone()) else { return };
        match envelope.ordering_key() {
            Some(key) => self.enqueue(messages, key, &envelope),
            None => self.schedule_at_due(messages, id),
        }
    }

    /// Removes a message that will not run any more. The next of its key may run then.
    pub fn remove(&mut self, messages: &mut Messages, envelope: &Envelope) {
        self.unschedule(messages, &envelope.id);
        let Some(key) = envelope.ordering_key() else { return };
        let Some(key_queue) = self.key_queues.get_mut(&key) else { return };
        let was_first = key_queue.front() == Some(&envelope.id);
        key_queue.retain(|id| *id != envelope.id);
        match key_queue.front().cloned() {
            Some(next) if was_first => self.schedule_at_due(messages, &next),
            Some(_) => {}
            None => drop(self.key_queues.remove(&key)),
        }
    }

    /// Inserts a message into the queue of its key. Only the first one is ready; a message that has started
    /// stays first.
    fn enqueue(&mut self, messages: &mut Messages, key: TenantKey, envelope: &Envelope) {
        let key_queue = self.key_queues.entry(key).or_default();
        let stage = |id: &String| messages.get(id).and_then(OwnedMessage::stage);
        let has_started = key_queue.front().and_then(stage) == Some(Stage::Running);
        let is_earlier =
            |id: &String| messages.get(id).is_some_and(|o| o.envelope().sequence < envelope.sequence);
        let index = key_queue
            .iter()
            .position(|id| !is_earlier(id))
            .unwrap_or(key_queue.len())
            .max(usize::from(has_started));
        let displaced = key_queue.front().filter(|_| index == 0).cloned();
        key_queue.insert(index, envelope.id.clone());
        let first = key_queue.front().cloned();
        if let Some(other) = displaced {
            self.unschedule(messages, &other);
        }
        // The new message may be on time and thereby raise the priority of the whole key.
        let first = first.filter(|id| messages.get(id).and_then(OwnedMessage::stage) == Some(Stage::Waiting));
        if let Some(first) = first {
            self.schedule_at_due(messages, &first);
        }
    }

    /// Removes a message from the waiting ones of its route.
    pub fn unschedule(&mut self, messages: &mut Messages, id: &str) {
        let Some(owned) = messages.get_mut(id) else { return };
        let Some(slot) = owned.slot.take() else { return };
        let Some(ready) = self.ready.get_mut(&slot.route) else { return };
        ready.remove(id, slot.position);
        if ready.len() == 0 {
            self.ready.remove(&slot.route);
        }
    }

    /// Moves a message that may run to its present route; without one, it doesn't run.
    pub fn move_to_route(&mut self, messages: &mut Messages, id: &str) {
        let Some(owned) = messages.get(id) else { return };
        let key_queue = owned.envelope().ordering_key().and_then(|key| self.key_queues.get(&key));
        let is_first = key_queue.is_none_or(|queue| queue.front().is_some_and(|first| first == id));
        if owned.stage() == Some(Stage::Waiting) && is_first {
            self.schedule_at_due(messages, id);
        }
    }

    /// Schedules a message for its due time, when [`Schedule::next`] updates its position.
    pub fn schedule_at_due(&mut self, messages: &mut Messages, id: &str) {
        if let Some(due_at) = messages.get(id).map(OwnedMessage::due_at) {
            self.set_position(messages, id, Position::NotDue(due_at));
        }
    }

    fn set_position(&mut self, messages: &mut Messages, id: &str, position: Position) {
        self.unschedule(messages, id);
        let Some(owned) = messages.get_mut(id) else { return };
        let Some(route) = owned.route.key().cloned() else { return };
        self.ready.entry(route.clone()).or_default().insert(id, position);
        owned.slot = Some(Slot { route, position });
    }

    /// The position of a message that is due: how many messages have to run before the first of its key that
    /// can still start on time, and until when that one can. Messages without one are late.
    fn position_of(&self, messages: &Messages, id: &str, now: WallMs) -> Option<Position> {
        let envelope = messages.get(id)?.envelope();
        let key_queue = envelope.ordering_key().and_then(|key| self.key_queues.get(&key));
        let target = |envelope: &Envelope| envelope.due_at + envelope.target_start_ms;
        let in_key_queue = key_queue.into_iter().flatten().take(MAX_LOOKAHEAD).enumerate();
        let on_time = match key_queue {
            Some(_) => in_key_queue
                .filter_map(|(rank, id)| Some((rank as u32, target(messages.get(id)?.envelope()))))
                .find(|(_, target)| *target > now),
            None => Some((0, target(envelope))).filter(|(_, target)| *target > now),
        };
        Some(match on_time {
            Some((rank, target)) => Position::OnTime(rank, target),
            None => Position::Late(envelope.due_at + envelope.target_start_ms * LONG_OVERDUE_TARGET_MULTIPLE),
        })
    }

    fn update_position(&mut self, messages: &mut Messages, id: &str, now: WallMs) {
        match self.position_of(messages, id, now) {
            Some(position) => self.set_position(messages, id, position),
            None => self.unschedule(messages, id),
        }
    }

    /// The next message of a route to run among those that `may_run` allows, in the order of
    /// [`Ready::in_order`].
    pub fn next(
        &mut self,
        messages: &mut Messages,
        route: &RouteKey,
        now: WallMs,
        may_run: impl Fn(&Envelope) -> bool,
    ) -> Option<String> {
        while let Some(id) = self.ready.get(route)?.first_due(now) {
            self.update_position(messages, &id, now);
        }
        while let Some(id) = self.ready.get(route)?.first_past_target(now) {
            self.update_position(messages, &id, now);
        }
        let allowed = |id: &&String| messages.get(*id).is_some_and(|owned| may_run(owned.envelope()));
        self.ready.get(route)?.in_order(now).find(allowed).cloned()
    }

    /// Routes with waiting messages.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteKey>> {
        self.ready.keys()
    }

    /// When the next message that is not due yet becomes due.
    pub fn next_due(&self) -> Option<WallMs> {
        self.ready.values().filter_map(Ready::next_due).min()
    }

    /// Number of waiting messages of a route.
    pub fn backlog(&self, route: &RouteKey) -> usize {
        self.ready.get(route).map_or(0, Ready::len)
    }
}
