//! How the roster is made and changed: a first one is founded, others are taken in one by one, who leaves says so, and
//! who is gone for good is struck off.
//!
//! Two parts of a fleet that can't hear each other must not both take themselves for the greater one. They don't, as long
//! as any two rosters that are in use have in common somebody of each of their majorities. So one is taken in or struck
//! off at a time, by one member of a majority, and only when most of those who are expected are heard to know of the
//! change before. Who leaves needs nobody's leave: it is gone, by its own word, in all rosters alike, and counts nowhere
//! until it is taken in again.
use super::*;

/// Others that a leave is passed on to by each that it is news to.
const SPREAD: usize = 3;
/// Rounds until a first roster may be made: one that there is would have been heard of.
const FOUND: u64 = 3;
/// While others wait to be taken in, so many that are not known to know the roster are asked in a round.
const POLLED: usize = 24;
/// One that waits to be taken in asks somebody else than the member that it takes for the one to ask, so often.
const ELSEWHERE: u64 = 4;

/// Why a name is not struck off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrikeError {
    /// The roster does not expect it.
    NotExpected,
    /// It is heard of.
    Present,
    /// Those who are not heard of may be the greater part: struck off here, they would be one of two.
    NoMajority,
    /// A change before this one is not known to most yet.
    ChangePending,
}

impl std::fmt::Display for StrikeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            StrikeError::NotExpected => "it is not expected",
            StrikeError::Present => "it is present",
            StrikeError::NoMajority => {
                "this sender is in no majority: those that it does not hear may be one, and there would be two"
            }
            StrikeError::ChangePending => "a change before this one is not known to most yet: try again",
        })
    }
}

impl Node {
    /// Takes a name out of the roster that is gone for good. `vouched`: whoever asks knows that none of those who are not
    /// heard of lives.
    pub fn strike(&mut self, name: &str, vouched: bool, out: &mut Out) -> Result<(), StrikeError> {
        if !self.roster.expects(name) {
            return Err(StrikeError::NotExpected);
        }
        if self.members.is_here(name) {
            return Err(StrikeError::Present);
        }
        if !vouched && !self.seen.standing.permissions().strikes {
            return Err(StrikeError::NoMajority);
        }
        if !vouched && !self.is_agreed() {
            return Err(StrikeError::ChangePending);
        }
        let address = self.roster.get(name).map_or(self.address, |e| e.address);
        let entry = self.set_status(name, EntryStatus::Struck, address);
        self.tell_all(entry, out);
        Ok(())
    }

    /// Most of those who are expected know the roster as it is here.
    fn is_agreed(&self) -> bool {
        let sum = self.seen.whole.1;
        let knows = |m: &Member| m.is_in == Some(true) && m.heard.is_some_and(|h| h.roster == sum);
        let agrees = |e: &&RosterEntry| {
            (e.name == self.id.name && self.is_in) || self.others_named(&e.name).any(knows)
        };
        !self.stale && 2 * self.roster.expected().filter(agrees).count() > self.seen.expected
    }

    /// While others wait to be taken in: asks those that are not known to know the roster as it is here.
    pub(super) fn poll(&mut self, out: &mut Out) {
        if self.joiners.is_empty() {
            return;
        }
        let sum = self.seen.whole.1;
        let may_know = |m: &Member| {
            m.state == MemberState::Alive
                && m.protocol_version() > 1
                && m.heard.is_none_or(|h| h.roster != sum)
        };
        let names: BTreeSet<String> = self.roster.expected().map(|e| e.name.clone()).collect();
        for (_, at) in self.pick(POLLED, |id, m| may_know(m) && names.contains(&id.name)) {
            self.ranges(at, true, out);
        }
    }

    /// Tells everybody of a change, and hears from each that it knows.
    fn tell_all(&mut self, entry: RosterEntry, out: &mut Out) {
        (self.roster_changed, self.stale) = (true, true);
        let told = self.members.iter().filter(|(_, m)| m.is_present() && m.protocol_version() > 1);
        let told: Vec<SocketAddr> = told.map(|(_, m)| m.address).collect();
        for at in told {
            self.say(at, &Body::Roster(vec![entry.clone()]), out);
        }
    }

    /// Another's word on the roster; true if it was news of one change, which is to be answered. That one has left is
    /// passed on: it told a few.
    pub(super) fn merge(&mut self, entries: Vec<RosterEntry>, out: &mut Out) -> bool {
        let is_one = entries.len() == 1;
        let news: Vec<RosterEntry> = entries.into_iter().filter(|e| self.roster.merge(e.clone())).collect();
        news.iter().for_each(|e| self.members.expect(&e.name, self.roster.expects(&e.name)));
        if news.is_empty() {
            return false;
        }
        (self.roster_changed, self.stale) = (true, true);
        for entry in news.into_iter().filter(|e| is_one && e.status == EntryStatus::Left) {
            for (_, at) in self.pick(SPREAD, |_, m| m.state == MemberState::Alive && m.protocol_version() > 1)
            {
                self.say(at, &Body::Roster(vec![entry.clone()]), out);
            }
        }
        is_one
    }

    /// It leaves: its entry, to be told, unless another process of its name goes on in its place.
    pub(super) fn leave_roster(&mut self) -> Option<RosterEntry> {
        let name = self.id.name.clone();
        if self.succeeded || self.others_named(&name).next().is_some() {
            return None;
        }
        if self.roster.expects(&name) {
            self.roster_changed = true;
            return Some(self.set_status(&name, EntryStatus::Left, self.address));
        }
        self.roster.get(&name).filter(|e| e.status == EntryStatus::Left).cloned()
    }

    /// One that nobody expects asks to be taken in, or makes the first roster; one that is in asks for all of it.
    pub(super) fn join(&mut self, out: &mut Out) {
        if self.config.protocol_version == 1 || self.is_in {
            return;
        }
        if self.may_found() {
            return self.found();
        }
        if self.roster.expects(&self.id.name) {
            let complete = |m: &Member| m.heard.is_some_and(|h| h.complete);
            for (_, at) in self.pick(1, |_, m| m.state == MemberState::Alive && complete(m)) {
                self.ranges(at, true, out);
            }
            return;
        }
        let is_in =
            |m: &Member| m.state == MemberState::Alive && m.protocol_version() > 1 && m.is_in != Some(false);
        let first = self.members.iter().find(|(_, m)| is_in(m)).map(|(id, m)| (id.clone(), m.address));
        let asked = match self.rounds.is_multiple_of(ELSEWHERE) {
            true => self.pick(1, |_, m| is_in(m)),
            false => first.into_iter().collect(),
        };
        for (_, at) in asked {
            self.say(at, &Body::Join, out);
        }
    }

    /// The first roster, or a new one after all have left, is made by the first of the seeds alone, once it hears most seeds
    /// and nobody who has a whole roster that expects anybody: so no two are made, and none beside one that there is. Where
    /// words of one are left whose whole is lost, all that they name must be there.
    fn may_found(&self) -> bool {
        let seeds = &self.config.seeds;
        let lacks = self.complete || self.unheard().next().is_some();
        if self.rounds < FOUND || (self.seen.expected > 0 && lacks) {
            return false;
        }
        let knows_none =
            |m: &Member| m.protocol_version() == 1 || m.heard.is_some_and(|h| !(h.complete && h.expects));
        let others = || self.members.iter().map(|(_, m)| m).filter(|m| m.is_present());
        let heard = seeds
            .iter()
            .filter(|seed| **seed == self.address || others().any(|m| m.address == **seed && knows_none(m)));
        let first = seeds.first().is_none_or(|first| *first == self.address);
        // Of those that it has not heard itself others tell whether they are in.
        let knows_some = |m: &Member| m.is_in == Some(true) || (m.heard.is_some() && !knows_none(m));
        let most = 2 * heard.count() >= seeds.len() + usize::from(!seeds.is_empty());
        first && most && !others().any(knows_some)
    }

    /// A roster of all that are heard of: there is no other that they could be in.
    fn found(&mut self) {
        let others =
            self.members.iter().filter(|(_, m)| m.state == MemberState::Alive && m.protocol_version() > 1);
        let mut all: BTreeMap<String, SocketAddr> =
            others.map(|(id, m)| (id.name.clone(), m.address)).collect();
        all.insert(self.id.name.clone(), self.address);
        all.iter().for_each(|(name, address)| _ = self.set_status(name, EntryStatus::Expected, *address));
        (self.complete, self.roster_changed, self.stale) = (true, true, true);
    }

    /// Another asks to be taken in.
    pub(super) fn asked_in(&mut self, id: MemberId, from: SocketAddr, now: Ms, out: &mut Out) {
        match self.roster.get(&id.name).filter(|e| e.status == EntryStatus::Expected).cloned() {
            Some(entry) => self.say(from, &Body::Roster(vec![entry]), out),
            None => {
                self.joiners.insert(id, from);
                self.admit_next(now, out);
            }
        }
    }

    /// The one that takes others in: of those who are expected and there, the first by name.
    fn is_first(&mut self, now: Ms) -> bool {
        self.doubt_until(now);
        let first = self.roster.expected().find(|e| self.members.counts(&e.name));
        first.is_some_and(|e| e.name == self.id.name)
    }

    /// Takes the next one in, if that may be done here and now.
    pub(super) fn admit_next(&mut self, now: Ms, out: &mut Out) {
        if self.joiners.is_empty() || self.stale || !self.seen.standing.permissions().admissions {
            return;
        }
        if !self.is_first(now) {
            return self.joiners.clear();
        }
        while self.is_agreed() {
            let Some((id, _)) = self.joiners.pop_first() else { return };
            let member = self.members.get(&id).filter(|m| m.state == MemberState::Alive);
            if let Some(address) = member.map(|m| m.address).filter(|_| !self.roster.expects(&id.name)) {
                let entry = self.set_status(&id.name, EntryStatus::Expected, address);
                self.tell_all(entry, out);
            }
        }
    }
}
