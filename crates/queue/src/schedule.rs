//! Which of the messages that a store owns may run: those of a key one after the other, those of a route in the order in
//! which they are worth most.
use crate::message::{Envelope, TenantKey};
use crate::owned::{OwnedMessage, Stage};
use crate::ready::{Place, Ready};
use crate::WallMs;
use std::collections::{BTreeMap, VecDeque};

/// How far a line of a key is looked through for a message that may still run in its aim.
const LONGEST_LOOK: usize = 16;

/// After so many times its aim, a message has waited for very long.
const VERY_LATE: u64 = 11;

/// All messages that a store owns, by id.
pub(crate) type Messages = BTreeMap<String, OwnedMessage>;

/// What may run, and in which order.
#[derive(Default)]
pub(crate) struct Schedule {
    /// Waiting messages by route; of those with a key only the first.
    ready: BTreeMap<String, Ready>,
    /// Messages of a key in the order in which they were taken.
    lines: BTreeMap<TenantKey, VecDeque<String>>,
}

impl Schedule {
    /// A message may run from now on, behind those of its key.
    pub fn add(&mut self, messages: &mut Messages, id: &str) {
        let Some(envelope) = messages.get(id).map(|owned| owned.envelope().clone()) else { return };
        match envelope.order_key() {
            Some(key) => self.join_line(messages, key, &envelope),
            None => self.make_ready(messages, id),
        }
    }

    /// A message doesn't run any more: the next of its key may.
    pub fn remove(&mut self, messages: &mut Messages, envelope: &Envelope) {
        self.unready(messages, &envelope.id);
        let Some(key) = envelope.order_key() else { return };
        let Some(line) = self.lines.get_mut(&key) else { return };
        let was_first = line.front() == Some(&envelope.id);
        line.retain(|id| *id != envelope.id);
        match line.front().cloned() {
            Some(next) if was_first => self.make_ready(messages, &next),
            Some(_) => {}
            None => drop(self.lines.remove(&key)),
        }
    }

    /// Takes its place in the line of its key. Only the first of a line is ready; one that has begun stays first.
    fn join_line(&mut self, messages: &mut Messages, key: TenantKey, envelope: &Envelope) {
        let line = self.lines.entry(key).or_default();
        let stage = |id: &String| messages.get(id).and_then(OwnedMessage::stage);
        let has_begun = line.front().and_then(stage) == Some(Stage::Running);
        let is_earlier = |id: &String| messages.get(id).is_some_and(|o| o.envelope().order < envelope.order);
        let place =
            line.iter().position(|id| !is_earlier(id)).unwrap_or(line.len()).max(usize::from(has_begun));
        let displaced = line.front().filter(|_| place == 0).cloned();
        line.insert(place, envelope.id.clone());
        let first = line.front().cloned();
        if let Some(other) = displaced {
            self.unready(messages, &other);
        }
        // With a new message in it, it may be worth more now to get on with the line.
        let first = first.filter(|id| messages.get(id).and_then(OwnedMessage::stage) == Some(Stage::Waiting));
        if let Some(first) = first {
            self.make_ready(messages, &first);
        }
    }

    /// It isn't among those that may run.
    pub fn unready(&mut self, messages: &mut Messages, id: &str) {
        let Some(owned) = messages.get_mut(id) else { return };
        let place = owned.place.take();
        if let (Some(place), Some(ready)) = (place, self.ready.get_mut(&owned.envelope().route)) {
            ready.remove(id, place);
        }
    }

    /// It waits for its time; [`Schedule::next`] moves it on.
    pub fn make_ready(&mut self, messages: &mut Messages, id: &str) {
        if let Some(due_at) = messages.get(id).map(OwnedMessage::due_at) {
            self.place(messages, id, Place::Future(due_at));
        }
    }

    fn place(&mut self, messages: &mut Messages, id: &str, place: Place) {
        self.unready(messages, id);
        let Some(owned) = messages.get_mut(id) else { return };
        owned.place = Some(place);
        self.ready.entry(owned.envelope().route.clone()).or_default().insert(id, place);
    }

    /// Where a message that is due stands: how many are to run before the first of its line that may still run in its
    /// aim, and until when that is; late ones come after all of these.
    fn place_of(&self, messages: &Messages, id: &str, now: WallMs) -> Option<Place> {
        let envelope = messages.get(id)?.envelope();
        let line = envelope.order_key().and_then(|key| self.lines.get(&key));
        let aim = |envelope: &Envelope| envelope.due_at + envelope.aim_ms;
        let in_line = line.into_iter().flatten().take(LONGEST_LOOK).enumerate();
        let fresh = match line {
            Some(_) => in_line
                .filter_map(|(rank, id)| Some((rank as u32, aim(messages.get(id)?.envelope()))))
                .find(|(_, aim)| *aim > now),
            None => Some((0, aim(envelope))).filter(|(_, aim)| *aim > now),
        };
        Some(match fresh {
            Some((rank, aim)) => Place::Fresh(rank, aim),
            None => Place::Late(envelope.due_at + envelope.aim_ms * VERY_LATE),
        })
    }

    fn place_again(&mut self, messages: &mut Messages, id: &str, now: WallMs) {
        match self.place_of(messages, id, now) {
            Some(place) => self.place(messages, id, place),
            None => self.unready(messages, id),
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
            self.place_again(messages, &id, now);
        }
        while let Some(id) = self.ready.get(route)?.first_stale(now) {
            self.place_again(messages, &id, now);
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
