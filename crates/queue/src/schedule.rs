//! Which of the messages that a store owns may run: those of a key one after the other, those of a route in the order in
//! which they are worth most.
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use crate::ready::{Position, Ready};
use crate::WallMs;
use std::collections::{BTreeMap, VecDeque};

/// How far a line of a key is looked through for a message that may still run in its aim.
const MAX_LOOKAHEAD: usize = 16;

/// After so many times its aim, a message has waited for very long.
const OVERDUE_TARGET_MULTIPLE: u64 = 11;

/// All messages that a store owns, by id.
pub(crate) type Messages = BTreeMap<String, OwnedMessage>;

/// What may run, and in which order.
#[derive(Default)]
pub(crate) struct Schedule {
    /// Waiting messages by route; of those with a key only the first.
    ready: BTreeMap<String, Ready>,
    /// Messages of a key in the order in which they were taken.
    key_queues: BTreeMap<TenantKey, VecDeque<String>>,
}

impl Schedule {
    /// A message may run from now on, behind those of its key.
    pub fn add(&mut self, messages: &mut Messages, id: &str) {
        let Some(envelope) = messages.get(id).map(|owned| owned.envelope().clone()) else { return };
        match envelope.ordering_key() {
            Some(key) => self.enqueue(messages, key, &envelope),
            None => self.schedule_at_due(messages, id),
        }
    }

    /// A message doesn't run any more: the next of its key may.
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

    /// Takes its place in the line of its key. Only the first of a line is ready; one that has begun stays first.
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
        // With a new message in it, it may be worth more now to get on with the line.
        let first = first.filter(|id| messages.get(id).and_then(OwnedMessage::stage) == Some(Stage::Waiting));
        if let Some(first) = first {
            self.schedule_at_due(messages, &first);
        }
    }

    /// It isn't among those that may run.
    pub fn unschedule(&mut self, messages: &mut Messages, id: &str) {
        let Some(owned) = messages.get_mut(id) else { return };
        let position = owned.position.take();
        if let (Some(position), Some(ready)) = (position, self.ready.get_mut(&owned.envelope().route)) {
            ready.remove(id, position);
        }
    }

    /// It waits for its time; [`Schedule::next`] moves it on.
    pub fn schedule_at_due(&mut self, messages: &mut Messages, id: &str) {
        if let Some(due_at) = messages.get(id).map(OwnedMessage::due_at) {
            self.set_position(messages, id, Position::NotDue(due_at));
        }
    }

    fn set_position(&mut self, messages: &mut Messages, id: &str, position: Position) {
        self.unschedule(messages, id);
        let Some(owned) = messages.get_mut(id) else { return };
        owned.position = Some(position);
        self.ready.entry(owned.envelope().route.clone()).or_default().insert(id, position);
    }

    /// Where a message that is due stands: how many are to run before the first of its line that may still run in its
    /// aim, and until when that is; late ones come after all of these.
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
            None => Position::Overdue(envelope.due_at + envelope.target_start_ms * OVERDUE_TARGET_MULTIPLE),
        })
    }

    fn update_position(&mut self, messages: &mut Messages, id: &str, now: WallMs) {
        match self.position_of(messages, id, now) {
            Some(position) => self.set_position(messages, id, position),
            None => self.unschedule(messages, id),
        }
    }

    /// The message of a route that is to run next, of those that `may_run`: first those that can still begin within
    /// their aim, then late ones in their order.
    pub fn next(
        &mut self,
        messages: &mut Messages,
        route: &str,
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

    /// Routes with messages that may run.
    pub fn routes(&self) -> impl Iterator<Item = &String> {
        self.ready.iter().filter(|(_, ready)| ready.len() > 0).map(|(route, _)| route)
    }

    /// When the next message falls due that isn't yet.
    pub fn next_due(&self) -> Option<WallMs> {
        self.ready.values().filter_map(Ready::next_due).min()
    }

    /// Waiting messages of a route that may run or become due.
    pub fn backlog(&self, route: &str) -> usize {
        self.ready.get(route).map_or(0, Ready::len)
    }
}
