//! Who the members are: joins, replacements and planned leaves, one at a time and by agreement of both majorities.
//!
//! A planned stop is a leave if a machine is there that can take the member's place, and a short absence if none is. In
//! both cases the member waits until another holds what it holds, and only then goes.
use super::lease::Primary;
use super::*;

impl<S: Storage> Group<S> {
    /// Notes a machine that isn't a member.
    pub(super) fn note_other(&mut self, member: &Member, now: Ms) {
        if self.is_member(member.disk) || member.disk == self.settings.me.disk {
            return;
        }
        self.others.insert(member.disk, (member.clone(), now));
        self.others.retain(|_, (_, at)| now < *at + OTHERS_FORGOTTEN);
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
        let decides = view.has(disk) || view.previous.iter().any(|member| member.disk == disk);
        let replaced = decides && self.newcomer(primary, now).is_some();
        replaced || (view.holds_state(disk) && self.backups_to_be_had(primary, now))
    }

    /// A machine that is there and isn't a member.
    fn newcomer<'a>(&'a self, primary: &Primary, now: Ms) -> Option<&'a Member> {
        let others = self.others.values().map(|(member, _)| member);
        let mut there = others.filter(|m| !primary.view.has(m.disk) && primary.is_fresh(m.disk, now));
        there.find(|member| !self.leaves(member.disk, now))
    }

    /// Members that suit better: a machine that is there in the place of one that isn't or that leaves, or one more
    /// where there are fewer than are wanted.
    pub(super) fn better_members(&self, now: Ms) -> Option<Vec<Member>> {
        let Role::Primary(primary) = &self.role else { return None };
        let members = &primary.view.members;
        if !primary.view.previous.is_empty() && primary.view.previous != *members {
            return Some(members.clone());
        }
        let newcomer = self.newcomer(primary, now)?;
        let mut better = members.clone();
        if members.len() < 2 * self.settings.tolerance + 1 {
            better.push(newcomer.clone());
            return Some(better);
        }
        let place = self.place_for(newcomer, primary, now)?;
        better[place] = newcomer.clone();
        Some(better)
    }

    /// The member whose place a newcomer should take: one that leaves, the one whose machine it is, or one that was
    /// silent for long.
    fn place_for(&self, newcomer: &Member, primary: &Primary, now: Ms) -> Option<usize> {
        let me = self.settings.me.disk;
        let place = |suits: &dyn Fn(&Member) -> bool| {
            primary.view.members.iter().position(|member| member.disk != me && suits(member))
        };
        let leaves = |member: &Member| self.leaves(member.disk, now);
        let same_machine = |member: &Member| {
            let same = member.name == newcomer.name || member.ip == newcomer.ip;
            same && !primary.is_fresh(member.disk, now)
        };
        let silent = |member: &Member| now >= primary.silent_since(member.disk) + MEMBER_PATIENCE;
        place(&leaves).or_else(|| place(&same_machine)).or_else(|| place(&silent))
    }

    /// The calls of a member that is about to stop: a primary asks its backup to take its place, another member asks the
    /// primary to do without it.
    pub fn leave(&self) -> Vec<Out> {
        let me = self.settings.me.disk;
        if let Role::Primary(primary) = &self.role {
            let message = Message::Transfer(primary.view.epoch);
            let backup = primary.view.backups.iter().find_map(|disk| primary.ip_of(*disk));
            return backup.into_iter().map(|to| Out { to, message: message.clone() }).collect();
        }
        let decides = |view: &View| view.has(me) || view.previous.iter().any(|member| member.disk == me);
        let primary =
            self.primary.filter(|ip| *ip != self.settings.me.ip && self.view().is_some_and(decides));
        primary.into_iter().map(|to| Out { to, message: Message::Leave(me) }).collect()
    }
}
