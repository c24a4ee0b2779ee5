//! Looking for a primary, and the way to a new epoch: promises of a majority, a copy of the state at the backups, a
//! majority that accepts the view.
use super::lease::Primary;
use super::*;

impl<S: Storage> Group<S> {
    pub(super) fn rest(&mut self, now: Ms) -> Vec<Outgoing> {
        self.role = Role::Follower;
        // The next attempt comes soon, and not at the same moment as another member's.
        self.heard = (now + AGAIN).saturating_sub(self.first_patience());
        Vec::new()
    }

    pub(super) fn first_patience(&self) -> Ms {
        match self.heard_primary {
            None => START_PATIENCE,
            Some(_) => PATIENCE,
        }
    }

    pub(super) fn rank(&self) -> u64 {
        let ip = self.settings.me.ip;
        self.addresses().iter().position(|other| *other == ip).unwrap_or(9) as u64
    }

    pub(super) fn follow(&mut self, now: Ms) -> Vec<Outgoing> {
        let view = self.view();
        let expected = view.is_none_or(|view| view.holds_state(self.settings.me.disk));
        let step = if self.heard_primary.is_none() { START_STEP } else { PATIENCE_STEP };
        let patience = self.first_patience() + step * self.rank() + if expected { 0 } else { 400 };
        if now < self.heard + patience || now < self.leave_until {
            return Vec::new();
        }
        let me = self.status(now);
        self.role = Role::Probing { since: now, statuses: BTreeMap::from([(self.settings.me.disk, me)]) };
        let probe = Message::Probe(self.settings.me.clone());
        self.peers().into_iter().map(|to| Outgoing { to, message: probe.clone() }).collect()
    }

    pub(super) fn judge_probe(&mut self, now: Ms, late: bool) -> Vec<Outgoing> {
        let Role::Probing { statuses, .. } = &self.role else { return Vec::new() };
        let heard = statuses.values().any(|s| s.heartbeat_age < PATIENCE && s.accepted_view.is_some());
        let latest = latest(statuses.values());
        let ready = match &latest {
            Some(view) => view.is_majority(statuses.keys()),
            None => self.founders_ready(statuses, now),
        };
        let may = match &latest {
            Some(view) => view.holds_state(self.settings.me.disk),
            None => self.settings.founder,
        };
        if ready && may && !heard {
            return self.prepare(None, now);
        }
        if late || heard {
            return self.rest(now);
        }
        Vec::new()
    }

    pub(super) fn founders_ready(&self, statuses: &BTreeMap<u64, MemberStatus>, now: Ms) -> bool {
        let founders = self.settings.founders.len();
        let there = statuses.values().filter(|s| s.founder && self.founds(s)).count();
        there == founders || (there > founders / 2 && now >= self.started + FOUNDING)
    }

    pub(super) fn founds(&self, status: &MemberStatus) -> bool {
        self.settings.founders.contains(&status.member.ip)
    }

    /// Asks for a new epoch; with `plan`, for other members in it.
    pub(super) fn prepare(&mut self, plan: Option<Vec<Member>>, now: Ms) -> Vec<Outgoing> {
        let known = match &self.role {
            Role::Probing { statuses, .. } => statuses.values().map(|s| s.promised_epoch).max().unwrap_or(0),
            _ => 0,
        };
        // No two machines ask for the same epoch: of two that ask at once, the higher one wins.
        let round = known.max(self.durable.promised_epoch) / EPOCHS_A_ROUND + 1;
        let epoch = round * EPOCHS_A_ROUND + self.rank().min(EPOCHS_A_ROUND - 1);
        self.promise(epoch);
        let promises = BTreeMap::from([(self.settings.me.disk, self.status(now))]);
        self.role = Role::Preparing { since: now, epoch, promises, plan };
        let message = Message::Prepare(epoch);
        self.peers().into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    pub(super) fn judge_promises(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Preparing { since, epoch, promises, plan } = &self.role else { return Vec::new() };
        let from = latest(promises.values());
        let me = self.settings.me.disk;
        let waiting_for_more = now < since + 100;
        let (enough, all) = match &from {
            Some(view) => (view.is_majority(promises.keys()), view.members.len()),
            None => (self.founders_ready(promises, now), self.settings.founders.len()),
        };
        if !enough || (promises.len() < all.min(2)) {
            return Vec::new();
        }
        if from.as_ref().is_some_and(|view| !view.holds_state(me)) {
            return self.rest(now);
        }
        let members = match (&from, plan) {
            (_, Some(members)) => members.clone(),
            (Some(view), None) => view.members.clone(),
            (None, None) => self.founding_members(promises),
        };
        let wanted = self.settings.tolerance.copies().min(members.len().saturating_sub(1));
        let there = |disk: &u64| *disk != me && promises.contains_key(disk);
        let left = |disk: &u64| self.leaves(*disk, now);
        let held = |disk: &u64| from.as_ref().is_some_and(|view| view.holds_state(*disk));
        let mut candidates: Vec<u64> =
            members.iter().map(|member| member.disk).filter(|d| *d != me).collect();
        // Others that hold the state may still answer; only then are others taken.
        if waiting_for_more && candidates.iter().any(|disk| held(disk) && !left(disk) && !there(disk)) {
            return Vec::new();
        }
        candidates.retain(|disk| there(disk));
        candidates.sort_by_key(|disk| (left(disk), !held(disk)));
        candidates.truncate(wanted);
        if candidates.len() < wanted {
            return Vec::new();
        }
        let previous_members = from.as_ref().map_or_else(Vec::new, |view| view.members.clone());
        let view = View { epoch: *epoch, primary: me, backups: candidates, members, previous_members };
        self.copy(view, from, now)
    }

    pub(super) fn founding_members(&self, promises: &BTreeMap<u64, MemberStatus>) -> Vec<Member> {
        let founders = promises.values().filter(|s| s.founder && self.founds(s));
        founders.map(|status| status.member.clone()).collect()
    }

    pub(super) fn copy(&mut self, view: View, from: Option<View>, now: Ms) -> Vec<Outgoing> {
        self.durable.state.position.epoch = view.epoch;
        self.save();
        let backups = view.members.iter().filter(|member| view.backups.contains(&member.disk));
        let ips: Vec<IpAddr> = backups.map(|member| member.ip).collect();
        let message = Message::Replicate(view.epoch, self.durable.state.clone());
        self.role = Role::Copying { since: now, view, from, copied: BTreeSet::new() };
        ips.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    pub(super) fn install(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Copying { view, from, .. } = &self.role else { return Vec::new() };
        let (view, from) = (view.clone(), from.clone());
        self.accept(view.clone());
        let accepted = BTreeSet::from([self.settings.me.disk]);
        let message = Message::InstallView(view.clone());
        self.role = Role::Installing { since: now, view, from, accepted };
        self.peers().into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    pub(super) fn judge_installed(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Installing { since, view, from, accepted } = &self.role else { return Vec::new() };
        let before = from.as_ref().is_none_or(|view| view.is_majority(accepted));
        if !before || !view.is_majority(accepted) {
            return Vec::new();
        }
        let answered = accepted.iter().map(|disk| (*disk, *since)).collect();
        let (since, last) = (now, self.last_change_number());
        let view = view.clone();
        let copied = view.backups.iter().map(|disk| (*disk, last)).collect();
        self.role = Role::Primary(Primary { view, since, pinged: now, answered, copied, sent: None });
        self.primary = Some(self.settings.me.ip);
        self.ping(now)
    }
}

pub(super) fn latest<'a>(statuses: impl Iterator<Item = &'a MemberStatus>) -> Option<View> {
    statuses.filter_map(|s| s.accepted_view.as_ref()).max_by_key(|view| view.epoch).cloned()
}
