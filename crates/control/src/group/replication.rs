//! Changes: made by the primary, committed once all backups have stored them.
use super::*;

impl<S: Storage> Group<S> {
    /// Executes a command as primary. Returns `None`, and the caller may try again, unless this machine leads
    /// and all earlier changes are committed. Otherwise returns the change, whose progress
    /// [`Group::is_committed`] shows, and the messages to send.
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

    /// The last change that this machine has stored.
    pub(super) fn last_change_id(&self) -> ChangeId {
        ChangeId { number: self.last_change_number(), state_generation: self.state_generation }
    }

    /// Whether a change is committed; `None` while that is undecided. `Some(false)` means that the outcome
    /// can't be learned from this machine any more: its state was replaced by that of another primary, or
    /// another machine leads.
    pub fn is_committed(&self, change: ChangeId, now: Ms) -> Option<bool> {
        if change.state_generation != self.state_generation || self.another_machine_leads() {
            return Some(false);
        }
        match &self.role {
            // The state with which a new epoch begins is on the disks of all its backups.
            Role::Primary(primary) => (primary.committed_change_number() >= change.number
                && self.leads(now).is_some())
            .then_some(true),
            _ => None,
        }
    }

    /// Whether another machine is the primary, as far as this one knows.
    pub fn another_machine_leads(&self) -> bool {
        matches!(self.role, Role::Follower) && self.primary.is_some_and(|ip| ip != self.settings.me.ip)
    }

    /// Stores a state that the primary sent. An older state of the same epoch, which was resent and came late, is ignored:
    /// the stored state includes every change in it.
    pub(super) fn store_state(&mut self, state: State, now: Ms) -> bool {
        self.record_heartbeat(now);
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
        primary.last_replication = Some(now);
        let message = Message::Replicate(primary.view.epoch, state);
        let addresses = primary.view.backups.iter().filter_map(|disk| primary.ip_of(*disk));
        addresses.map(|to| Outgoing { to, message: message.clone() }).collect()
    }
}
