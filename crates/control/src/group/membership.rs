//! Who the members are: joins, replacements and planned leaves, one at a time and by agreement of both majorities.
//!
//! A planned stop is a leave if a machine is there that can take the member's place, and a short absence if none is. In
//! both cases the member waits until another holds what it holds, and only then goes.
use super::lease::Primary;
use super::*;

/// What a machine that is about to stop has to do before it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaveStep {
    /// To ask this, and again until the answer is that it needn't wait.
    Request(Outgoing),
    /// To wait: who could take its place isn't known yet.
    Wait,
    /// Nothing: the group doesn't rest on it.
    Ready,
}

impl<S: Storage> Group<S> {
    /// Notes a machine that isn't a member.
    pub(super) fn note_other(&mut self, member: &Member, now: Ms) {
        if self.is_member(member.disk) || member.disk == self.settings.me.disk {
            return;
        }
        self.others.insert(member.disk, (member.clone(), now));
        self.others.retain(|_, (_, at)| now < *at + OTHERS_FORGOTTEN);
    }

    /// Notes where the members of a view are, if it is later than the one that counts here: a machine that starts, and is told
    /// of a few others only, finds the primary by theirs.
    pub(super) fn note_view(&mut self, view: &View) {
        let later = |known: Option<&View>| known.is_none_or(|known| known.epoch < view.epoch);
        if later(self.view()) && later(self.told.as_ref()) {
            self.told = Some(view.clone());
        }
    }

    /// Whether a member is about to stop.
    pub(super) fn leaves(&self, disk: u64, now: Ms) -> bool {
        self.leaving.get(&disk).is_some_and(|at| now < at + LEAVING)
    }

    /// A member is about to stop. True as long as it should wait: until another machine has its place, or at least its
    /// copy of the state. One that doesn't lead can't tell.
    pub(super) fn member_leaves(&mut self, disk: u64, now: Ms) -> bool {
        self.leaving.insert(disk, now);
        self.leaving.retain(|_, at| now < *at + LEAVING);
        let Role::Primary(primary) = &self.role else { return true };
        let view = &primary.view;
        let there = |(member, at): &(Member, Ms)| {
            !view.has_vote(member.disk) && now < at + MEMBER_PATIENCE && !self.leaves(member.disk, now)
        };
        // Who is there to take its place isn't known to one that has only begun to lead.
        if now < primary.since + NEWCOMERS_HEARD {
            return true;
        }
        // One that is on its way out still decides, until the view that is without it stands alone.
        let on_its_way = view.has_vote(disk) && !view.is_member(disk);
        let replaced = on_its_way || (view.is_member(disk) && self.others.values().any(there));
        replaced || (view.holds_state(disk) && self.backups_to_be_had(primary, now))
    }

    /// Machines that are there and aren't members.
    pub(super) fn newcomers<'a>(&'a self, primary: &'a Primary, now: Ms) -> impl Iterator<Item = &'a Member> {
        let others = self.others.values().map(|(member, _)| member);
        let there = others.filter(move |m| !primary.view.is_member(m.disk) && primary.is_fresh(m.disk, now));
        there.filter(move |member| !self.leaves(member.disk, now))
    }

    /// Members that suit better: a machine that is there in the place of one that isn't or that leaves, one more where there
    /// are fewer than are wanted, or one in a place without which a majority doesn't outlast what may be lost.
    pub(super) fn better_members(&self, now: Ms) -> Option<Vec<Member>> {
        let Role::Primary(primary) = &self.role else { return None };
        let members = &primary.view.members;
        if !primary.view.previous_members.is_empty() && primary.view.previous_members != *members {
            return Some(members.clone());
        }
        let newcomer = self.newcomers(primary, now).next()?;
        if members.len() < self.settings.tolerance.group_size() {
            let newcomer = self.newcomer_by_spread(primary, now).unwrap_or(newcomer);
            return Some(members.iter().chain([newcomer]).cloned().collect());
        }
        let replaced = self.place_for(newcomer, primary, now).map(|place| (place, newcomer));
        let (place, newcomer) = replaced.or_else(|| self.better_spread_of_members(primary, now))?;
        let mut better = members.clone();
        better[place] = newcomer.clone();
        Some(better)
    }

    /// The member whose place a newcomer should take: the one whose machine it is, one that leaves, or one that was
    /// silent for long.
    fn place_for(&self, newcomer: &Member, primary: &Primary, now: Ms) -> Option<usize> {
        let me = self.settings.me.disk;
        let place = |suits: &dyn Fn(&Member) -> bool| {
            primary.view.members.iter().position(|member| member.disk != me && suits(member))
        };
        let leaves = |member: &Member| self.leaves(member.disk, now);
        // What answers from a member's address, with another disk, shows that the member is no more. It takes that place,
        // and no other: a machine is a member once.
        let same_machine = |member: &Member| member.name == newcomer.name || member.ip == newcomer.ip;
        if let Some(own) = place(&same_machine) {
            let there = primary.is_fresh(primary.view.members[own].disk, now);
            return Some(own).filter(|_| !there);
        }
        let silent = |member: &Member| now >= primary.silent_since(member.disk) + MEMBER_PATIENCE;
        place(&leaves).or_else(|| place(&silent))
    }

    /// What a machine that is about to stop has to do first: a primary asks its backup to take its place, another member
    /// asks the primary to do without it.
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
