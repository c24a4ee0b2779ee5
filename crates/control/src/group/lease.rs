//! The tasks of a primary, and its lease: it sends heartbeats, and stays primary only as long as a majority answers.
use super::*;

/// What a primary knows of the other machines.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Primary {
    pub(super) view: View,
    /// When this machine became primary.
    pub(super) since: Ms,
    /// When the last heartbeat was sent.
    pub(super) last_heartbeat_sent: Ms,
    /// When the latest message was sent that a machine has answered, by disk. An answer proves nothing about the time after
    /// its message was sent.
    pub(super) last_answered: BTreeMap<u64, Ms>,
    /// The number of the last change that each backup has stored, by disk.
    pub(super) replicated: BTreeMap<u64, u64>,
    /// When the state was last sent to the backups.
    pub(super) last_replication: Option<Ms>,
}

impl<S: Storage> Group<S> {
    /// The view in which this machine is primary, if its lease is valid: a majority has answered recently.
    pub fn leads(&self, now: Ms) -> Option<&View> {
        match &self.role {
            Role::Primary(primary) if primary.holds_lease(self.settings.me.disk, now) => Some(&primary.view),
            _ => None,
        }
    }

    /// Sends a heartbeat with the view to all other machines.
    pub(super) fn send_heartbeat(&mut self, now: Ms) -> Vec<Outgoing> {
        let peers = self.peers();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.last_heartbeat_sent = now;
        let message = Message::Heartbeat(primary.view.clone());
        peers.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Does what is due for a primary: steps down without a lease, changes backups or members, resends the state, sends
    /// heartbeats.
    pub(super) fn tick_primary(&mut self, now: Ms) -> Vec<Outgoing> {
        let me = self.settings.me.disk;
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        if !primary.holds_lease(me, now) {
            self.role = Role::Follower;
            self.election_timer_start = now;
            return Vec::new();
        }
        if self.needs_other_backups(primary, now) {
            return self.prepare(None, now);
        }
        if let Some(members) = self.improved_members(now) {
            return self.prepare(Some(members), now);
        }
        let has_uncommitted = primary.committed_change_number() < self.last_change_number();
        let (resend, heartbeat_due) = (
            has_uncommitted && primary.last_replication.is_none_or(|at| now >= at + STEP_TIMEOUT),
            now >= primary.last_heartbeat_sent + HEARTBEAT_INTERVAL,
        );
        let mut outgoing = if resend { self.replicate(now) } else { Vec::new() };
        if heartbeat_due {
            outgoing.extend(self.send_heartbeat(now));
        }
        outgoing
    }

    /// Whether a backup is unreachable or about to stop, and enough other members are available.
    fn needs_other_backups(&self, primary: &Primary, now: Ms) -> bool {
        let unreachable = |disk: u64| now >= primary.unreachable_since(disk) + BACKUP_TIMEOUT;
        let must_replace = |disk: &u64| unreachable(*disk) || self.is_leaving(*disk, now);
        primary.view.backups.iter().any(must_replace) && self.has_enough_backups(primary, now)
    }

    /// Whether enough members are available for a view with all its backups.
    pub(super) fn has_enough_backups(&self, primary: &Primary, now: Ms) -> bool {
        let wanted = self.settings.tolerance.copies().min(primary.view.members.len().saturating_sub(1));
        self.available_members(primary, now).count() >= wanted
    }

    /// Other members that answered recently and aren't about to stop.
    pub(super) fn available_members<'a>(
        &'a self,
        primary: &'a Primary,
        now: Ms,
    ) -> impl Iterator<Item = &'a Member> {
        let me = self.settings.me.disk;
        let others = primary.view.members.iter().filter(move |member| member.disk != me);
        others.filter(move |m| primary.answered_recently(m.disk, now) && !self.is_leaving(m.disk, now))
    }

    /// Asks the members to confirm that this machine is still primary, before it answers a request that only
    /// a primary may answer. Returns `None` if it doesn't hold the lease.
    pub fn confirm_leadership(&self, now: Ms) -> Option<(LeadershipConfirmation, Vec<Outgoing>)> {
        let view = self.leads(now)?.clone();
        let me = self.settings.me.disk;
        let message = Message::Heartbeat(view.clone());
        let others = view.members.iter().chain(&view.previous_members).filter(|member| member.disk != me);
        let mut ips: BTreeSet<IpAddr> = others.map(|member| member.ip).collect();
        ips.remove(&self.settings.me.ip);
        let requests = ips.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect();
        Some((LeadershipConfirmation { view, agreed: BTreeSet::from([me]) }, requests))
    }
}

/// A round of requests to confirm that a machine is primary, and the members that confirmed it. Each reply is given after
/// its request, so a majority of them proves that no other machine was primary when the round began.
#[derive(Clone, Debug)]
pub struct LeadershipConfirmation {
    view: View,
    agreed: BTreeSet<u64>,
}

impl LeadershipConfirmation {
    /// Records the reply to one of the requests.
    pub fn record_reply(&mut self, reply: &Reply) {
        if reply.accepted {
            self.agreed.insert(reply.status.member.disk);
        }
    }

    /// Whether a majority has confirmed it.
    pub fn has_majority(&self) -> bool {
        self.view.is_majority(&self.agreed)
    }

    /// Whether the machine is still primary of the epoch in which the requests were sent.
    pub fn is_current<S: Storage>(&self, group: &Group<S>, now: Ms) -> bool {
        group.leads(now).is_some_and(|view| view.epoch == self.view.epoch)
    }
}

impl Primary {
    /// The number of the last change that all backups have stored.
    pub(super) fn committed_change_number(&self) -> u64 {
        let replicated_by = |disk: &u64| self.replicated.get(disk).copied().unwrap_or(0);
        self.view.backups.iter().map(replicated_by).min().unwrap_or(0)
    }

    /// Records that a machine answered a message that was sent at `sent`.
    pub(super) fn record_answer(&mut self, disk: u64, sent: Ms) {
        let at = self.last_answered.entry(disk).or_default();
        *at = (*at).max(sent);
    }

    /// The time since which nothing proves that a machine is reachable.
    pub(super) fn unreachable_since(&self, disk: u64) -> Ms {
        self.last_answered.get(&disk).copied().unwrap_or(0).max(self.since)
    }

    /// Whether a machine has answered within [`BACKUP_TIMEOUT`].
    pub(super) fn answered_recently(&self, disk: u64, now: Ms) -> bool {
        now < self.last_answered.get(&disk).copied().unwrap_or(0) + BACKUP_TIMEOUT
    }

    /// Whether a majority has answered messages that were sent within [`LEASE_DURATION`].
    pub(super) fn holds_lease(&self, me: u64, now: Ms) -> bool {
        let recent =
            self.last_answered.iter().filter(|(disk, at)| **disk != me && now < **at + LEASE_DURATION);
        self.view.is_majority(recent.map(|(disk, _)| disk).chain([&me]))
    }

    /// The address of a member.
    pub(super) fn ip_of(&self, disk: u64) -> Option<IpAddr> {
        self.view.members.iter().find(|member| member.disk == disk).map(|member| member.ip)
    }
}
