//! Changes: made by the primary, in force once its backups have them.
use super::*;

impl<S: Storage> Group<S> {
    /// Changes the state as primary, once all before it is on two disks; nothing until then. Tells the
    /// change, to be followed by [`Group::has_committed`].
    pub fn try_propose(
        &mut self,
        command: &Command,
        now: Ms,
    ) -> Option<Result<(ChangeId, Vec<Outgoing>), Rejected>> {
        self.leads(now)?;
        if self.committed_change_number() < self.last_change_number() {
            return None;
        }
        let events = match self.durable.state.decide(command) {
            Ok(events) => events,
            Err(rejected) => return Some(Err(rejected)),
        };
        if events.is_empty() {
            return Some(Ok((self.last_change_id(), Vec::new())));
        }
        events.iter().for_each(|event| self.durable.state.apply(event));
        self.durable.state.position.number += 1;
        self.save();
        Some(Ok((self.last_change_id(), self.replicate(now))))
    }

    pub(super) fn last_change_id(&self) -> ChangeId {
        ChangeId { number: self.last_change_number(), state_generation: self.state_generation }
    }

    /// Whether a change is on two disks; nothing as long as it may still come to that. It can't be told any more once
    /// the state here was replaced by another primary's.
    pub fn is_committed(&self, change: ChangeId, now: Ms) -> Option<bool> {
        if change.state_generation != self.state_generation || self.another_machine_leads() {
            return Some(false);
        }
        match &self.role {
            // The state that a new epoch begins with is on two disks.
            Role::Primary(primary) => (primary.committed_change_number() >= change.number
                && self.leads(now).is_some())
            .then_some(true),
            _ => None,
        }
    }

    /// Another machine leads, as far as is known.
    pub fn another_machine_leads(&self) -> bool {
        matches!(self.role, Role::Follower) && self.primary.is_some_and(|ip| ip != self.settings.me.ip)
    }

    /// Keeps a state of the current epoch, or of one that just began. An older one of the same epoch, which was sent again
    /// and came late, is held already: the state here has everything in it.
    pub(super) fn keep(&mut self, state: State, now: Ms) -> bool {
        self.note_primary(now);
        if state.position > self.durable.state.position {
            self.durable.state = state;
            self.state_generation += 1;
            self.save();
        }
        true
    }

    /// Sends the state to the backups.
    pub(super) fn replicate(&mut self, now: Ms) -> Vec<Outgoing> {
        let state = self.durable.state.clone();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.sent = Some(now);
        let message = Message::Replicate(primary.view.epoch, state);
        let ips = primary.view.backups.iter().filter_map(|disk| primary.ip_of(*disk));
        ips.map(|to| Outgoing { to, message: message.clone() }).collect()
    }
}
