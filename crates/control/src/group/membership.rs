//! Membership changes: joins, replacements and planned leaves, one at a time and agreed by a majority of the old and of the
//! new members.
//!
//! A member that is about to stop is replaced if a non-member is available, and otherwise stays a member during a short
//! absence. In both cases it waits until another machine holds the state in its place before it stops.
use super::lease::Primary;
use super::*;

/// What a machine that is about to stop has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaveStep {
    /// Send this request, and repeat it until the reply says that it needn't wait.
    Request(Outgoing),
    /// Wait: the primary isn't known yet.
    Wait,
    /// Stop: the group doesn't depend on this machine.
    Ready,
}

impl<S: Storage> Group<S> {
    /// Records a machine that isn't a member, and forgets those that weren't heard from for long.
    pub(super) fn record_non_member(&mut self, member: &Member, now: Ms) {
        if self.is_member(member.disk) || member.disk == self.settings.me.disk {
            return;
        }
        self.non_members.insert(member.disk, (member.clone(), now));
        self.non_members.retain(|_, (_, at)| now < *at + NON_MEMBER_EXPIRY);
    }

    /// Records a view that another machine reported, if it is later than the accepted one. A machine that starts and knows
    /// only a few addresses finds the primary through it.
    pub(super) fn record_reported_view(&mut self, view: &View) {
        let later = |known: Option<&View>| known.is_none_or(|known| known.epoch < view.epoch);
        if later(self.view()) && later(self.reported_view.as_ref()) {
            self.reported_view = Some(view.clone());
        }
    }

    /// Whether a member has asked to leave recently.
    pub(super) fn is_leaving(&self, disk: u64, now: Ms) -> bool {
        self.leaving.get(&disk).is_some_and(|at| now < at + LEAVE_VALIDITY)
    }

    /// Handles a leave request. Returns true as long as the member should wait: until another machine has
    /// replaced it or, if none can, at least holds the state instead. A machine that isn't primary can't
    /// tell, and always returns true.
    pub(super) fn handle_leave(&mut self, disk: u64, now: Ms) -> bool {
        self.leaving.insert(disk, now);
        self.leaving.retain(|_, at| now < *at + LEAVE_VALIDITY);
        let Role::Primary(primary) = &self.role else { return true };
        let view = &primary.view;
        let can_join = |(member, at): &(Member, Ms)| {
            !view.has_vote(member.disk) && now < at + MEMBER_TIMEOUT && !self.is_leaving(member.disk, now)
        };
        // A new primary may not have heard yet from the machine that is to replace the member.
        if now < primary.since + DISCOVERY_DELAY {
            return true;
        }
        // A member that is being removed keeps its vote until the view without it is the only one in force.
        let is_being_removed = view.has_vote(disk) && !view.is_member(disk);
        let is_replaceable =
            is_being_removed || (view.is_member(disk) && self.non_members.values().any(can_join));
        is_replaceable || (view.holds_state(disk) && self.has_enough_backups(primary, now))
    }

    /// Non-members that answered recently and aren't about to stop.
    pub(super) fn available_non_members<'a>(
        &'a self,
        primary: &'a Primary,
        now: Ms,
    ) -> impl Iterator<Item = &'a Member> {
        let others = self.non_members.values().map(|(member, _)| member);
        let available =
            others.filter(move |m| !primary.view.is_member(m.disk) && primary.answered_recently(m.disk, now));
        available.filter(move |member| !self.is_leaving(member.disk, now))
    }

    /// A better list of members, if there is one: with a non-member instead of a member that is unreachable or about to stop,
    /// with one more member where there are too few, or with a member from another zone or region so that a majority
    /// survives more of what may be lost at once. A change that isn't complete yet is completed first.
    pub(super) fn improved_members(&self, now: Ms) -> Option<Vec<Member>> {
        let Role::Primary(primary) = &self.role else { return None };
        let members = &primary.view.members;
        if !primary.view.previous_members.is_empty() && primary.view.previous_members != *members {
            return Some(members.clone());
        }
        let newcomer = self.available_non_members(primary, now).next()?;
        if members.len() < self.settings.tolerance.group_size() {
            let newcomer = self.newcomer_by_spread(primary, now).unwrap_or(newcomer);
            return Some(members.iter().chain([newcomer]).cloned().collect());
        }
        let replaced = self.index_to_replace(newcomer, primary, now).map(|index| (index, newcomer));
        let (index, newcomer) = replaced.or_else(|| self.replacement_by_spread(primary, now))?;
        let mut better = members.clone();
        better[index] = newcomer.clone();
        Some(better)
    }

    /// The index of the member that a newcomer should replace: the member of the same machine, one that is about to stop, or
    /// one that was unreachable for [`MEMBER_TIMEOUT`].
    fn index_to_replace(&self, newcomer: &Member, primary: &Primary, now: Ms) -> Option<usize> {
        let me = self.settings.me.disk;
        let find_index = |matches: &dyn Fn(&Member) -> bool| {
            primary.view.members.iter().position(|member| member.disk != me && matches(member))
        };
        let is_leaving = |member: &Member| self.is_leaving(member.disk, now);
        // A different disk at a member's address shows that the member no longer exists. The newcomer replaces that member
        // and no other: a machine is a member only once.
        let same_machine = |member: &Member| member.name == newcomer.name || member.ip == newcomer.ip;
        if let Some(index) = find_index(&same_machine) {
            let still_answers = primary.answered_recently(primary.view.members[index].disk, now);
            return Some(index).filter(|_| !still_answers);
        }
        let is_unreachable = |member: &Member| now >= primary.unreachable_since(member.disk) + MEMBER_TIMEOUT;
        find_index(&is_leaving).or_else(|| find_index(&is_unreachable))
    }

    /// What this machine has to do next before it stops: a primary asks a backup to become primary, another member asks the
    /// primary to replace it.
    pub fn next_leave_step(&self) -> LeaveStep {
        let me = self.settings.me.disk;
        let Some(view) = self.view().filter(|view| view.has_vote(me) && view.members.len() > 1) else {
            return LeaveStep::Ready;
        };
        if let Role::Primary(primary) = &self.role {
            let message = Message::TransferLeadership(view.epoch);
            let backup = primary.view.backups.iter().find_map(|disk| primary.ip_of(*disk));
            return backup.map_or(LeaveStep::Ready, |to| LeaveStep::Request(Outgoing { to, message }));
        }
        match self.primary.filter(|ip| *ip != self.settings.me.ip) {
            Some(to) => LeaveStep::Request(Outgoing { to, message: Message::Leave(me) }),
            None => LeaveStep::Wait,
        }
    }
}
