//! All that are known, and what follows from them: kept up as one of them changes, so that no datagram and no round walks
//! through all of them.
use crate::digest::{self, Digests};
use crate::wire::{version_read, MemberId, MemberState, Said};
use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;

/// Sayings of a suspicion by others that shorten it to its least.
pub const CONFIRMED: usize = 3;

/// What is known of a member.
#[derive(Clone, Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub version: String,
    pub incarnation: u32,
    pub state: MemberState,
    pub by: String,
    pub since: Ms,
    /// When it was first heard of.
    pub known: Ms,
    /// While it is suspect: who said so.
    pub said: BTreeSet<String>,
    /// What it last made of the fleet, by its own word.
    pub heard: Option<Said>,
    /// Since when it has seen the fleet otherwise than this one.
    pub differs: Option<Ms>,
    /// Whether it is in the roster, by its own word.
    pub is_in: Option<bool>,
}

impl Member {
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    /// The form of datagrams that it understands.
    pub fn protocol_version(&self) -> u8 {
        version_read(&self.version).1
    }

    /// How many others have said that it is suspect, up to those that matter. The first to say so confirms nothing.
    fn confirmed(&self) -> usize {
        self.said.len().saturating_sub(1).min(CONFIRMED)
    }

    /// It could say whether it is in the roster, and that is not known: who does not know a member yet writes to it in the
    /// first form, which does not tell.
    fn is_untold(&self) -> bool {
        self.state == MemberState::Alive && self.is_in.is_none() && self.protocol_version() > 1
    }

    /// What it makes of the roster is all of one.
    fn latest(&self) -> Option<u32> {
        self.heard.filter(|h| h.complete && self.is_present()).map(|h| h.latest)
    }
}

/// Members at one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reached {
    present: u32,
    /// Those that understand the second form and have not left.
    second_form: u32,
}

/// The lives of one name, the own one too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Named {
    present: u32,
    /// Those that are there and, by their own word, in the roster.
    counting: u32,
    /// The roster has it.
    expected: bool,
}

impl Named {
    fn counts(self) -> bool {
        self.expected && self.counting > 0
    }

    fn is_unheard(self) -> bool {
        self.expected && self.present == 0
    }
}

/// What follows from members, and from who is expected.
#[derive(Debug, Default, PartialEq, Eq)]
struct Sums {
    /// By state, each in the order of members.
    by_state: [Vec<MemberId>; 4],
    /// Suspects, by how many have confirmed it and since when they are.
    suspects: [BTreeSet<(Ms, MemberId)>; CONFIRMED + 1],
    /// Those that failed or left, by when they did.
    ended: BTreeSet<(Ms, MemberId)>,
    /// Those that live and understand the second form, and of whom it is not known whether they are in the roster.
    untold: BTreeSet<MemberId>,
    addresses: BTreeMap<SocketAddr, Reached>,
    names: BTreeMap<String, Named>,
    /// Names that are expected and not heard of.
    unheard: BTreeSet<String>,
    /// How many names are expected and count.
    counting: usize,
    /// The last changes of a whole roster that those present know of, and how many know of each.
    latest: BTreeMap<u32, u32>,
    /// Of those that are present, without the own one.
    view: Digests,
    /// Those that have been suspect since then or longer do not count.
    doubted: Option<Ms>,
    /// Whether the own life is there, and counts.
    own: (bool, bool),
}

impl Sums {
    fn counts(&self, member: &Member) -> bool {
        let doubted = member.state == MemberState::Suspect && Some(member.since) <= self.doubted;
        member.is_present() && member.is_in == Some(true) && !doubted
    }

    fn with_name(&mut self, name: &str, change: impl FnOnce(&mut Named)) {
        let old = self.names.get(name).copied().unwrap_or_default();
        let mut new = old;
        change(&mut new);
        if new == old {
            return;
        }
        self.counting = self.counting + usize::from(new.counts()) - usize::from(old.counts());
        match (old.is_unheard(), new.is_unheard()) {
            (false, true) => _ = self.unheard.insert(name.to_string()),
            (true, false) => _ = self.unheard.remove(name),
            _ => {}
        }
        if new == Named::default() {
            self.names.remove(name);
        } else if let Some(named) = self.names.get_mut(name) {
            *named = new;
        } else {
            self.names.insert(name.to_string(), new);
        }
    }

    fn enter(&mut self, id: &MemberId, member: &Member) {
        let same = &mut self.by_state[member.state as usize];
        if let Err(at) = same.binary_search(id) {
            same.insert(at, id.clone());
        }
        match member.state {
            MemberState::Alive => {}
            MemberState::Suspect => _ = self.suspects[member.confirmed()].insert((member.since, id.clone())),
            MemberState::Failed | MemberState::Left => _ = self.ended.insert((member.since, id.clone())),
        }
        let (present, counts) = (u32::from(member.is_present()), u32::from(self.counts(member)));
        if member.is_untold() {
            self.untold.insert(id.clone());
        }
        let reached = self.addresses.entry(member.address).or_default();
        reached.present += present;
        reached.second_form += u32::from(member.protocol_version() > 1 && member.state != MemberState::Left);
        self.with_name(&id.name, |n| {
            n.present += present;
            n.counting += counts;
        });
        if let Some(latest) = member.latest() {
            *self.latest.entry(latest).or_default() += 1;
        }
        if member.is_present() {
            self.view.add(&id.name, life_digest(id));
        }
    }

    fn leave(&mut self, id: &MemberId, member: &Member) {
        let same = &mut self.by_state[member.state as usize];
        if let Ok(at) = same.binary_search(id) {
            same.remove(at);
        }
        match member.state {
            MemberState::Alive => {}
            MemberState::Suspect => _ = self.suspects[member.confirmed()].remove(&(member.since, id.clone())),
            MemberState::Failed | MemberState::Left => _ = self.ended.remove(&(member.since, id.clone())),
        }
        let (present, counts) = (u32::from(member.is_present()), u32::from(self.counts(member)));
        if member.is_untold() {
            self.untold.remove(id);
        }
        if let Some(reached) = self.addresses.get_mut(&member.address) {
            reached.present -= present;
            reached.second_form -=
                u32::from(member.protocol_version() > 1 && member.state != MemberState::Left);
            if *reached == Reached::default() {
                self.addresses.remove(&member.address);
            }
        }
        self.with_name(&id.name, |n| {
            n.present -= present;
            n.counting -= counts;
        });
        self.forget_latest(member.latest());
        if member.is_present() {
            self.view.take(&id.name, life_digest(id));
        }
    }

    fn forget_latest(&mut self, latest: Option<u32>) {
        let Some(latest) = latest else { return };
        if let Some(count) = self.latest.get_mut(&latest) {
            *count -= 1;
            if *count == 0 {
                self.latest.remove(&latest);
            }
        }
    }
}

/// What the view's sums have of one life.
pub fn life_digest(id: &MemberId) -> u64 {
    digest::of(&id.name, &[id.generation])
}

/// Those of all times from the first to before the second.
fn between(times: Range<Ms>) -> Range<(Ms, MemberId)> {
    let least = MemberId { name: String::new(), generation: 0 };
    (times.start, least.clone())..(times.end, least)
}

#[derive(Default)]
pub struct Members {
    all: BTreeMap<MemberId, Member>,
    sums: Sums,
}

impl Members {
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.all.get(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.all.iter()
    }

    /// The lives of one name, without the own one.
    pub fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        let first = MemberId { name: name.to_string(), generation: 0 };
        self.all.range(first..).take_while(move |(id, _)| id.name == name)
    }

    pub fn insert(&mut self, id: MemberId, member: Member) {
        self.remove(&id);
        self.sums.enter(&id, &member);
        self.all.insert(id, member);
    }

    pub fn remove(&mut self, id: &MemberId) -> Option<Member> {
        let member = self.all.remove(id)?;
        self.sums.leave(id, &member);
        Some(member)
    }

    /// Changes what is known of one.
    pub fn change(&mut self, id: &MemberId, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.all.get_mut(id) {
            self.sums.leave(id, member);
            change(member);
            self.sums.enter(id, member);
        }
    }

    /// Notes what one makes of the fleet by its own word, as comes with every datagram.
    pub fn hear(&mut self, id: &MemberId, said: Said, agrees: bool, now: Ms) {
        let Some(member) = self.all.get_mut(id) else { return };
        let old = member.latest();
        member.heard = Some(said);
        member.differs = if agrees { None } else { member.differs.or(Some(now)) };
        let new = member.latest();
        if old != new {
            self.sums.forget_latest(old);
            if let Some(latest) = new {
                *self.sums.latest.entry(latest).or_default() += 1;
            }
        }
    }

    /// The roster expects a name, or does so no more.
    pub fn expect(&mut self, name: &str, expected: bool) {
        self.sums.with_name(name, |n| n.expected = expected);
    }

    /// The own life is there, and counts.
    pub fn set_own(&mut self, name: &str, present: bool, counts: bool) {
        let old = std::mem::replace(&mut self.sums.own, (present, counts));
        self.sums.with_name(name, |n| {
            n.present = n.present + u32::from(present) - u32::from(old.0);
            n.counting = n.counting + u32::from(counts) - u32::from(old.1);
        });
    }

    /// From now on those that have been suspect since then or longer do not count.
    pub fn doubt(&mut self, since: Option<Ms>) {
        let old = std::mem::replace(&mut self.sums.doubted, since);
        let after = |at: Option<Ms>| at.map_or(0, |at| at + 1);
        let (first, end) = (after(old.min(since)), after(old.max(since)));
        let turned: Vec<MemberId> = self
            .sums
            .suspects
            .iter()
            .flat_map(|same| same.range(between(first..end)))
            .map(|(_, id)| id.clone())
            .collect();
        for id in turned.iter().filter(|id| self.all.get(*id).is_some_and(|m| m.is_in == Some(true))) {
            let doubted = since > old;
            self.sums
                .with_name(&id.name, |n| n.counting = if doubted { n.counting - 1 } else { n.counting + 1 });
        }
    }

    /// Since when the next suspect to be doubted has been one.
    pub fn next_doubt(&self) -> Option<Ms> {
        let first = self.sums.doubted.map_or(0, |at| at + 1);
        let next =
            |same: &BTreeSet<(Ms, MemberId)>| same.range(between(first..Ms::MAX)).next().map(|(at, _)| *at);
        self.sums.suspects.iter().filter_map(next).min()
    }

    /// How many but the own life are thought to live.
    pub fn present(&self) -> usize {
        self.of_state(MemberState::Alive).len() + self.of_state(MemberState::Suspect).len()
    }

    /// In the order of members.
    pub fn of_state(&self, state: MemberState) -> &[MemberId] {
        &self.sums.by_state[state as usize]
    }

    /// Of suspects by how many have confirmed it: since when the first has been one.
    pub fn first_suspects(&self) -> impl Iterator<Item = (usize, Ms)> + '_ {
        let firsts = self.sums.suspects.iter().map(|same| same.first());
        firsts.enumerate().filter_map(|(confirmed, first)| first.map(|(since, _)| (confirmed, *since)))
    }

    /// Suspects whose time is over, in the order of members; `lasts`: how long one may be suspect that so many have
    /// confirmed.
    pub fn suspects_over(&self, now: Ms, lasts: impl Fn(usize) -> Ms) -> Vec<MemberId> {
        let mut over = Vec::new();
        for (confirmed, same) in self.sums.suspects.iter().enumerate().filter(|(_, same)| !same.is_empty()) {
            let lasts = lasts(confirmed);
            over.extend(same.iter().take_while(|(since, _)| now >= since + lasts).map(|(_, id)| id.clone()));
        }
        over.sort();
        over
    }

    /// Those that failed or left then or before, in the order of members.
    pub fn ended(&self, until: Ms) -> Vec<MemberId> {
        let mut ended: Vec<MemberId> =
            self.sums.ended.range(between(0..until + 1)).map(|(_, id)| id.clone()).collect();
        ended.sort();
        ended
    }

    /// Those of whom it is not known whether they are in the roster, and who could say.
    pub fn untold(&self) -> &BTreeSet<MemberId> {
        &self.sums.untold
    }

    /// Somebody at that address understands the second form.
    pub fn speaks_second_form(&self, at: SocketAddr) -> bool {
        self.sums.addresses.get(&at).is_some_and(|r| r.second_form > 0)
    }

    /// Somebody at that address is present.
    pub fn is_present_at(&self, at: SocketAddr) -> bool {
        self.sums.addresses.get(&at).is_some_and(|r| r.present > 0)
    }

    /// Somebody of that name is present, the own life too.
    pub fn is_here(&self, name: &str) -> bool {
        self.sums.names.get(name).is_some_and(|n| n.present > 0)
    }

    /// Somebody of that name counts, the own life too.
    pub fn counts(&self, name: &str) -> bool {
        self.sums.names.get(name).is_some_and(|n| n.counting > 0)
    }

    /// How many names are expected and count.
    pub fn counting(&self) -> usize {
        self.sums.counting
    }

    /// Names that are expected and not heard of.
    pub fn unheard(&self) -> impl Iterator<Item = &str> {
        self.sums.unheard.iter().map(String::as_str)
    }

    /// The last change of a whole roster that one of those present knows of.
    pub fn latest(&self) -> Option<u32> {
        self.sums.latest.last_key_value().map(|(latest, _)| *latest)
    }

    /// Sums of those that are present, without the own one.
    pub fn view(&self) -> Digests {
        self.sums.view
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
