//! What a primary does: it tells that it is there, and is one only as long as a majority answers.
use super::*;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Primary {
    pub(super) view: View,
    /// When it became primary.
    pub(super) since: Ms,
    /// When it told last that it is there.
    pub(super) pinged: Ms,
    /// When the last question was sent that a machine answered, by disk. An answer proves nothing about the time since.
    pub(super) answered: BTreeMap<u64, Ms>,
    /// The number of the last change that each backup has.
    pub(super) copied: BTreeMap<u64, u64>,
    /// When the state was sent to the backups.
    pub(super) sent: Option<Ms>,
}

impl<S: Storage> Group<S> {
    /// The view in which this machine is primary, if a majority has answered lately.
    pub fn leads(&self, now: Ms) -> Option<&View> {
        match &self.role {
            Role::Primary(primary) if primary.lease(self.settings.me.disk, now) => Some(&primary.view),
            _ => None,
        }
    }

    pub(super) fn ping(&mut self, now: Ms) -> Vec<Outgoing> {
        let peers = self.peers();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.pinged = now;
        let message = Message::Heartbeat(primary.view.clone());
        peers.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Lets time pass for a primary.
    pub(super) fn lead(&mut self, now: Ms) -> Vec<Outgoing> {
        let me = self.settings.me.disk;
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        if !primary.lease(me, now) {
            self.role = Role::Follower;
            self.heard = now;
            return Vec::new();
        }
        if self.wants_other_backups(primary, now) {
            return self.prepare(None, now);
        }
        if let Some(members) = self.better_members(now) {
            return self.prepare(Some(members), now);
        }
        let waits = primary.committed_change_number() < self.last_change_number();
        let (send, ping) = (
            waits && primary.sent.is_none_or(|at| now >= at + STEP),
            now >= primary.pinged + HEARTBEAT_INTERVAL,
        );
        let mut out = if send { self.replicate(now) } else { Vec::new() };
        if ping {
            out.extend(self.ping(now));
        }
        out
    }

    /// A backup is silent or about to stop, and there are enough others for its part.
    fn wants_other_backups(&self, primary: &Primary, now: Ms) -> bool {
        let silent = |disk: u64| now >= primary.silent_since(disk) + BACKUP_PATIENCE;
        let unfit = |disk: &u64| silent(*disk) || self.leaves(*disk, now);
        primary.view.backups.iter().any(unfit) && self.backups_to_be_had(primary, now)
    }

    /// Enough members answer, and stay, for a view with all its backups.
    pub(super) fn backups_to_be_had(&self, primary: &Primary, now: Ms) -> bool {
        let wanted = self.settings.tolerance.copies().min(primary.view.members.len().saturating_sub(1));
        self.fit_members(primary, now).count() >= wanted
    }

    /// Other members that answer and stay.
    pub(super) fn fit_members<'a>(
        &'a self,
        primary: &'a Primary,
        now: Ms,
    ) -> impl Iterator<Item = &'a Member> {
        let me = self.settings.me.disk;
        let others = primary.view.members.iter().filter(move |member| member.disk != me);
        others.filter(move |m| primary.is_fresh(m.disk, now) && !self.leaves(m.disk, now))
    }

    /// Begins to ask the members whether this machine leads still, for a call that came and may only be answered if it
    /// does; nothing where it doesn't lead by what it knows.
    pub fn confirm_leadership(&self, now: Ms) -> Option<(LeadershipConfirmation, Vec<Outgoing>)> {
        let view = self.leads(now)?.clone();
        let me = self.settings.me.disk;
        let message = Message::Heartbeat(view.clone());
        let others = view.members.iter().chain(&view.previous_members).filter(|member| member.disk != me);
        let mut ips: BTreeSet<IpAddr> = others.map(|member| member.ip).collect();
        ips.remove(&self.settings.me.ip);
        let questions = ips.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect();
        Some((LeadershipConfirmation { view, agreed: BTreeSet::from([me]) }, questions))
    }
}

/// A question to the members whether a machine leads, and who has said so. An answer is given after the question, so a
/// majority of them shows that no other machine led when the call came that needs to know.
#[derive(Clone, Debug)]
pub struct LeadershipConfirmation {
    view: View,
    agreed: BTreeSet<u64>,
}

impl LeadershipConfirmation {
    /// Notes the answer to one of the questions.
    pub fn record_reply(&mut self, reply: &Reply) {
        if reply.accepted {
            self.agreed.insert(reply.status.member.disk);
        }
    }

    /// A majority has said so.
    pub fn has_majority(&self) -> bool {
        self.view.is_majority(&self.agreed)
    }

    /// The machine still leads in the epoch for which it asked.
    pub fn is_current<S: Storage>(&self, group: &Group<S>, now: Ms) -> bool {
        group.leads(now).is_some_and(|view| view.epoch == self.view.epoch)
    }
}

impl Primary {
    /// The number of the last change that all backups have.
    pub(super) fn committed_change_number(&self) -> u64 {
        let of = |disk: &u64| self.copied.get(disk).copied().unwrap_or(0);
        self.view.backups.iter().map(of).min().unwrap_or(0)
    }

    /// A machine answered a question that was sent at a time.
    pub(super) fn note_answer(&mut self, disk: u64, sent: Ms) {
        let at = self.answered.entry(disk).or_default();
        *at = (*at).max(sent);
    }

    /// Since when nothing shows that a machine is there.
    pub(super) fn silent_since(&self, disk: u64) -> Ms {
        self.answered.get(&disk).copied().unwrap_or(0).max(self.since)
    }

    /// A machine has answered lately.
    pub(super) fn is_fresh(&self, disk: u64, now: Ms) -> bool {
        now < self.answered.get(&disk).copied().unwrap_or(0) + BACKUP_PATIENCE
    }

    /// A majority has answered questions that were sent lately.
    pub(super) fn lease(&self, me: u64, now: Ms) -> bool {
        let fresh = self.answered.iter().filter(|(disk, at)| **disk != me && now < **at + LEASE);
        self.view.is_majority(fresh.map(|(disk, _)| disk).chain([&me]))
    }

    pub(super) fn ip_of(&self, disk: u64) -> Option<IpAddr> {
        self.view.members.iter().find(|member| member.disk == disk).map(|member| member.ip)
    }
}
