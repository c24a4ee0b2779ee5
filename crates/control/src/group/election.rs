//! Detection of a missing primary, and the steps to a new epoch: promises of a majority, a copy of the state on every
//! backup, and acceptance of the new view by a majority.
use super::lease::Primary;
use super::*;

impl<S: Storage> Group<S> {
    /// Gives up an election and becomes a follower.
    pub(super) fn abort_attempt(&mut self, now: Ms) -> Vec<Outgoing> {
        self.role = Role::Follower;
        // The next attempt comes soon; the rank keeps it apart from those of other members.
        self.election_timer_start = (now + RETRY_DELAY).saturating_sub(self.base_election_timeout());
        Vec::new()
    }

    /// The time without a primary after which the machine of rank 0 starts an election.
    pub(super) fn base_election_timeout(&self) -> Ms {
        match self.last_heartbeat {
            None => STARTUP_PRIMARY_TIMEOUT,
            Some(_) => PRIMARY_TIMEOUT,
        }
    }

    /// This machine's place in the order of all known addresses.
    pub(super) fn rank(&self) -> u64 {
        let ip = self.settings.me.ip;
        self.addresses().iter().position(|other| *other == ip).unwrap_or(9) as u64
    }

    /// Probes the other machines once no primary was heard from for the timeout. Machines without the state wait longer.
    pub(super) fn tick_follower(&mut self, now: Ms) -> Vec<Outgoing> {
        let view = self.view();
        let holds_state = view.is_none_or(|view| view.holds_state(self.settings.me.disk));
        let timeout_per_rank =
            if self.last_heartbeat.is_none() { STARTUP_TIMEOUT_PER_RANK } else { TIMEOUT_PER_RANK };
        let timeout =
            self.base_election_timeout() + timeout_per_rank * self.rank() + if holds_state { 0 } else { 400 };
        if now < self.election_timer_start + timeout || now < self.election_holdoff_until {
            return Vec::new();
        }
        let own_status = self.status(now);
        self.role =
            Role::Probing { since: now, statuses: BTreeMap::from([(self.settings.me.disk, own_status)]) };
        let probe = Message::Probe(self.settings.me.clone());
        self.peers().into_iter().map(|to| Outgoing { to, message: probe.clone() }).collect()
    }

    /// Begins an epoch if enough machines answered, none of them hears from a primary, and this machine holds the state.
    pub(super) fn evaluate_probe(&mut self, now: Ms, timed_out: bool) -> Vec<Outgoing> {
        let Role::Probing { statuses, .. } = &self.role else { return Vec::new() };
        let primary_alive =
            statuses.values().any(|s| s.heartbeat_age < PRIMARY_TIMEOUT && s.accepted_view.is_some());
        let latest_view = latest_view(statuses.values());
        let has_quorum = match &latest_view {
            Some(view) => view.is_majority(statuses.keys()),
            None => self.founders_ready(statuses, now),
        };
        let may_lead = match &latest_view {
            Some(view) => view.holds_state(self.settings.me.disk),
            None => self.settings.founder,
        };
        if has_quorum && may_lead && !primary_alive {
            return self.prepare(None, now);
        }
        if timed_out || primary_alive {
            return self.abort_attempt(now);
        }
        Vec::new()
    }

    /// Whether all founders answered, or a majority of them after [`FOUNDING_TIMEOUT`].
    pub(super) fn founders_ready(&self, statuses: &BTreeMap<u64, MemberStatus>, now: Ms) -> bool {
        let founders = self.settings.founders.len();
        let present = statuses.values().filter(|s| s.founder && self.is_founder(s)).count();
        present == founders || (present > founders / 2 && now >= self.started_at + FOUNDING_TIMEOUT)
    }

    /// Whether a machine's address is one of the founders' addresses.
    pub(super) fn is_founder(&self, status: &MemberStatus) -> bool {
        self.settings.founders.contains(&status.member.ip)
    }

    /// Asks for promises for a new epoch, with `planned_members` as its members if given.
    pub(super) fn prepare(&mut self, planned_members: Option<Vec<Member>>, now: Ms) -> Vec<Outgoing> {
        let highest_promised = match &self.role {
            Role::Probing { statuses, .. } => statuses.values().map(|s| s.promised_epoch).max().unwrap_or(0),
            _ => 0,
        };
        // No two machines ask for the same epoch: of two that ask at once, the one with the higher epoch wins.
        let round = highest_promised.max(self.durable.promised_epoch) / EPOCHS_PER_ROUND + 1;
        let epoch = round * EPOCHS_PER_ROUND + self.rank().min(EPOCHS_PER_ROUND - 1);
        self.promise_epoch(epoch);
        let promises = BTreeMap::from([(self.settings.me.disk, self.status(now))]);
        self.role = Role::Preparing { since: now, epoch, promises, planned_members };
        let message = Message::Prepare(epoch);
        self.peers().into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Chooses members and backups of the new epoch once a majority has promised, and copies the state to the backups.
    pub(super) fn evaluate_promises(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Preparing { since, epoch, promises, planned_members } = &self.role else {
            return Vec::new();
        };
        let previous_view = latest_view(promises.values());
        let me = self.settings.me.disk;
        let may_wait = now < since + 100;
        let (has_majority, voter_count) = match &previous_view {
            Some(view) => (view.is_majority(promises.keys()), view.members.len()),
            None => (self.founders_ready(promises, now), self.settings.founders.len()),
        };
        if !has_majority || (promises.len() < voter_count.min(2)) {
            return Vec::new();
        }
        if previous_view.as_ref().is_some_and(|view| !view.holds_state(me)) {
            return self.abort_attempt(now);
        }
        let members = match (&previous_view, planned_members) {
            (_, Some(members)) => members.clone(),
            (Some(view), None) => view.members.clone(),
            (None, None) => self.founding_members(promises),
        };
        let backup_count = self.settings.tolerance.copies().min(members.len().saturating_sub(1));
        let has_promised = |disk: &u64| *disk != me && promises.contains_key(disk);
        let is_leaving = |disk: &u64| self.is_leaving(*disk, now);
        let held_state = |disk: &u64| previous_view.as_ref().is_some_and(|view| view.holds_state(*disk));
        let mut candidates: Vec<u64> =
            members.iter().map(|member| member.disk).filter(|d| *d != me).collect();
        // Members that hold the state are preferred as backups, so their answers are waited for a little longer.
        if may_wait
            && candidates.iter().any(|disk| held_state(disk) && !is_leaving(disk) && !has_promised(disk))
        {
            return Vec::new();
        }
        candidates.retain(|disk| has_promised(disk));
        candidates.sort_by_key(|disk| (is_leaving(disk), !held_state(disk)));
        candidates.truncate(backup_count);
        if candidates.len() < backup_count {
            return Vec::new();
        }
        let previous_members = previous_view.as_ref().map_or_else(Vec::new, |view| view.members.clone());
        let view = View { epoch: *epoch, primary: me, backups: candidates, members, previous_members };
        self.copy_state(view, previous_view, now)
    }

    /// The founders among the machines that promised.
    pub(super) fn founding_members(&self, promises: &BTreeMap<u64, MemberStatus>) -> Vec<Member> {
        let founders = promises.values().filter(|s| s.founder && self.is_founder(s));
        founders.map(|status| status.member.clone()).collect()
    }

    /// Sends the state to the backups of the new view.
    pub(super) fn copy_state(&mut self, view: View, previous_view: Option<View>, now: Ms) -> Vec<Outgoing> {
        self.durable.state.position.epoch = view.epoch;
        self.save();
        let backups = view.members.iter().filter(|member| view.backups.contains(&member.disk));
        let ips: Vec<IpAddr> = backups.map(|member| member.ip).collect();
        let message = Message::Replicate(view.epoch, self.durable.state.clone());
        self.role = Role::Copying { since: now, view, previous_view, copied: BTreeSet::new() };
        ips.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Accepts the new view, and asks all machines to accept it.
    pub(super) fn install_view(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Copying { view, previous_view, .. } = &self.role else { return Vec::new() };
        let (view, previous_view) = (view.clone(), previous_view.clone());
        self.accept_view(view.clone());
        let accepted = BTreeSet::from([self.settings.me.disk]);
        let message = Message::InstallView(view.clone());
        self.role = Role::Installing { since: now, view, previous_view, accepted };
        self.peers().into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Becomes primary once a majority of the previous and of the new view has accepted the new one.
    pub(super) fn evaluate_installation(&mut self, now: Ms) -> Vec<Outgoing> {
        let Role::Installing { since, view, previous_view, accepted } = &self.role else { return Vec::new() };
        let previous_majority = previous_view.as_ref().is_none_or(|view| view.is_majority(accepted));
        if !previous_majority || !view.is_majority(accepted) {
            return Vec::new();
        }
        let last_answered = accepted.iter().map(|disk| (*disk, *since)).collect();
        let (since, last_change) = (now, self.last_change_number());
        let view = view.clone();
        let replicated = view.backups.iter().map(|disk| (*disk, last_change)).collect();
        self.role = Role::Primary(Primary {
            view,
            since,
            last_heartbeat_sent: now,
            last_answered,
            replicated,
            last_replication: None,
        });
        self.primary = Some(self.settings.me.ip);
        self.send_heartbeat(now)
    }
}

/// The view of the highest epoch that these machines accepted.
pub(super) fn latest_view<'a>(statuses: impl Iterator<Item = &'a MemberStatus>) -> Option<View> {
    statuses.filter_map(|s| s.accepted_view.as_ref()).max_by_key(|view| view.epoch).cloned()
}
