//! All known members, and aggregates over them. The aggregates are updated with each change of a member, so
//! that no datagram and no round has to scan all members.
use crate::digest::{self, Digests};
use crate::wire::{split_protocol_version, FleetSummary, MemberId, MemberState};
use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;

/// Confirmations by others that shorten a suspicion to its minimum.
pub const MAX_CONFIRMATIONS: usize = 3;

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
    pub first_seen: Ms,
    /// While it is suspect: the members that suspect it.
    pub suspected_by: BTreeSet<String>,
    /// The view of the fleet that it reported last.
    pub summary: Option<FleetSummary>,
    /// Since when its view of the fleet has differed from the local one.
    pub differs_since: Option<Ms>,
    /// Whether it is in the roster, as it reports itself.
    pub in_roster: Option<bool>,
}

impl Member {
    /// Whether it is thought to live.
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    /// The highest protocol version that it understands.
    pub fn protocol_version(&self) -> u8 {
        split_protocol_version(&self.version).1
    }

    /// How many others confirmed the suspicion, up to `MAX_CONFIRMATIONS`. The first report confirms nothing.
    fn confirmations(&self) -> usize {
        self.suspected_by.len().saturating_sub(1).min(MAX_CONFIRMATIONS)
    }

    /// Whether it could report its roster status but hasn't: members that don't know it yet use version 1,
    /// which doesn't carry the status.
    fn lacks_roster_status(&self) -> bool {
        self.state == MemberState::Alive && self.in_roster.is_none() && self.protocol_version() > 1
    }

    /// The latest epoch of its roster, if it is present and its roster is complete.
    fn latest_epoch(&self) -> Option<u32> {
        self.summary
            .filter(|summary| summary.roster_complete && self.is_present())
            .map(|summary| summary.latest_epoch)
    }
}

/// Members at one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AddressCounts {
    present: u32,
    /// Members that understand version 2 and have not left.
    speaks_version_2: u32,
}

/// The processes of one name, this one included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct NameCounts {
    present: u32,
    /// Processes that are present and, as they report themselves, in the roster.
    counted: u32,
    /// The roster expects the name.
    expected: bool,
}

impl NameCounts {
    fn is_counted(self) -> bool {
        self.expected && self.counted > 0
    }

    fn is_absent(self) -> bool {
        self.expected && self.present == 0
    }
}

/// What follows from the members and from the expected names.
#[derive(Debug, Default, PartialEq, Eq)]
struct Aggregates {
    /// Members by state, each list in the order of their ids.
    by_state: [Vec<MemberId>; 4],
    /// Suspects by number of confirmations, ordered by the start of the suspicion.
    suspects: [BTreeSet<(Ms, MemberId)>; MAX_CONFIRMATIONS + 1],
    /// Members that failed or left, ordered by when they did.
    ended: BTreeSet<(Ms, MemberId)>,
    /// Living members that understand version 2 and whose roster status is unknown.
    unknown_roster_status: BTreeSet<MemberId>,
    addresses: BTreeMap<SocketAddr, AddressCounts>,
    names: BTreeMap<String, NameCounts>,
    /// Expected names of which no process is present.
    absent_names: BTreeSet<String>,
    /// Number of expected names that are counted as present.
    counted: usize,
    /// The latest roster epochs that present members with a complete roster report, and how many report each.
    roster_epochs: BTreeMap<u32, u32>,
    /// Digests of the present members, without this one.
    view_digests: Digests,
    /// Members that have been suspect since this time or longer are not counted.
    discounted_since: Option<Ms>,
    /// Whether this member is present, and whether it is counted.
    own: (bool, bool),
}

impl Aggregates {
    fn is_counted(&self, member: &Member) -> bool {
        let is_discounted =
            member.state == MemberState::Suspect && Some(member.since) <= self.discounted_since;
        member.is_present() && member.in_roster == Some(true) && !is_discounted
    }

    /// Changes the counts of a name, and what follows from them.
    fn change_name(&mut self, name: &str, change: impl FnOnce(&mut NameCounts)) {
        let old = self.names.get(name).copied().unwrap_or_default();
        let mut new = old;
        change(&mut new);
        if new == old {
            return;
        }
        self.counted = self.counted + usize::from(new.is_counted()) - usize::from(old.is_counted());
        match (old.is_absent(), new.is_absent()) {
            (false, true) => _ = self.absent_names.insert(name.to_string()),
            (true, false) => _ = self.absent_names.remove(name),
            _ => {}
        }
        if new == NameCounts::default() {
            self.names.remove(name);
        } else if let Some(counts) = self.names.get_mut(name) {
            *counts = new;
        } else {
            self.names.insert(name.to_string(), new);
        }
    }

    /// Includes a member.
    fn add(&mut self, id: &MemberId, member: &Member) {
        let ids = &mut self.by_state[member.state as usize];
        if let Err(position) = ids.binary_search(id) {
            ids.insert(position, id.clone());
        }
        match member.state {
            MemberState::Alive => {}
            MemberState::Suspect => {
                _ = self.suspects[member.confirmations()].insert((member.since, id.clone()))
            }
            MemberState::Failed | MemberState::Left => _ = self.ended.insert((member.since, id.clone())),
        }
        let (present, is_counted) = (u32::from(member.is_present()), u32::from(self.is_counted(member)));
        if member.lacks_roster_status() {
            self.unknown_roster_status.insert(id.clone());
        }
        let address_counts = self.addresses.entry(member.address).or_default();
        address_counts.present += present;
        address_counts.speaks_version_2 +=
            u32::from(member.protocol_version() > 1 && member.state != MemberState::Left);
        self.change_name(&id.name, |counts| {
            counts.present += present;
            counts.counted += is_counted;
        });
        if let Some(latest_epoch) = member.latest_epoch() {
            *self.roster_epochs.entry(latest_epoch).or_default() += 1;
        }
        if member.is_present() {
            self.view_digests.add(&id.name, member_digest(id));
        }
    }

    /// Excludes a member that was included as it is now.
    fn subtract(&mut self, id: &MemberId, member: &Member) {
        let ids = &mut self.by_state[member.state as usize];
        if let Ok(position) = ids.binary_search(id) {
            ids.remove(position);
        }
        match member.state {
            MemberState::Alive => {}
            MemberState::Suspect => {
                _ = self.suspects[member.confirmations()].remove(&(member.since, id.clone()))
            }
            MemberState::Failed | MemberState::Left => _ = self.ended.remove(&(member.since, id.clone())),
        }
        let (present, is_counted) = (u32::from(member.is_present()), u32::from(self.is_counted(member)));
        if member.lacks_roster_status() {
            self.unknown_roster_status.remove(id);
        }
        if let Some(address_counts) = self.addresses.get_mut(&member.address) {
            address_counts.present -= present;
            address_counts.speaks_version_2 -=
                u32::from(member.protocol_version() > 1 && member.state != MemberState::Left);
            if *address_counts == AddressCounts::default() {
                self.addresses.remove(&member.address);
            }
        }
        self.change_name(&id.name, |counts| {
            counts.present -= present;
            counts.counted -= is_counted;
        });
        self.remove_roster_epoch(member.latest_epoch());
        if member.is_present() {
            self.view_digests.remove(&id.name, member_digest(id));
        }
    }

    fn remove_roster_epoch(&mut self, latest_epoch: Option<u32>) {
        let Some(latest_epoch) = latest_epoch else { return };
        if let Some(count) = self.roster_epochs.get_mut(&latest_epoch) {
            *count -= 1;
            if *count == 0 {
                self.roster_epochs.remove(&latest_epoch);
            }
        }
    }
}

/// A member's part of the view digests.
pub fn member_digest(id: &MemberId) -> u64 {
    digest::stable_hash(&id.name, &[id.generation])
}

/// All pairs from the start of the range to before its end.
fn time_range(times: Range<Ms>) -> Range<(Ms, MemberId)> {
    let lowest_id = MemberId { name: String::new(), generation: 0 };
    (times.start, lowest_id.clone())..(times.end, lowest_id)
}

/// All known members but this one, with the aggregates over them.
#[derive(Default)]
pub struct Members {
    all: BTreeMap<MemberId, Member>,
    aggregates: Aggregates,
}

impl Members {
    /// What is known of a member.
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.all.get(id)
    }

    /// All members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.all.iter()
    }

    /// The processes of one name, without this one.
    pub fn with_name<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        let first = MemberId { name: name.to_string(), generation: 0 };
        self.all.range(first..).take_while(move |(id, _)| id.name == name)
    }

    /// Adds a member, or replaces it.
    pub fn insert(&mut self, id: MemberId, member: Member) {
        self.remove(&id);
        self.aggregates.add(&id, &member);
        self.all.insert(id, member);
    }

    /// Removes a member.
    pub fn remove(&mut self, id: &MemberId) -> Option<Member> {
        let member = self.all.remove(id)?;
        self.aggregates.subtract(id, &member);
        Some(member)
    }

    /// Changes what is known of a member.
    pub fn change(&mut self, id: &MemberId, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.all.get_mut(id) {
            self.aggregates.subtract(id, member);
            change(member);
            self.aggregates.add(id, member);
        }
    }

    /// Records the view that a member reports; it comes with every datagram of version 2.
    pub fn record_summary(&mut self, id: &MemberId, summary: FleetSummary, agrees: bool, now: Ms) {
        let Some(member) = self.all.get_mut(id) else { return };
        let old = member.latest_epoch();
        member.summary = Some(summary);
        member.differs_since = if agrees { None } else { member.differs_since.or(Some(now)) };
        let new = member.latest_epoch();
        if old != new {
            self.aggregates.remove_roster_epoch(old);
            if let Some(latest_epoch) = new {
                *self.aggregates.roster_epochs.entry(latest_epoch).or_default() += 1;
            }
        }
    }

    /// Sets whether the roster expects a name.
    pub fn set_expected(&mut self, name: &str, expected: bool) {
        self.aggregates.change_name(name, |counts| counts.expected = expected);
    }

    /// Sets whether this member is present, and whether it is counted.
    pub fn set_own_presence(&mut self, name: &str, present: bool, is_counted: bool) {
        let old = std::mem::replace(&mut self.aggregates.own, (present, is_counted));
        self.aggregates.change_name(name, |counts| {
            counts.present = counts.present + u32::from(present) - u32::from(old.0);
            counts.counted = counts.counted + u32::from(is_counted) - u32::from(old.1);
        });
    }

    /// From now on, members that have been suspect since this time or longer are not counted.
    pub fn discount_suspects_since(&mut self, since: Option<Ms>) {
        let old = std::mem::replace(&mut self.aggregates.discounted_since, since);
        let after = |at: Option<Ms>| at.map_or(0, |at| at + 1);
        let (first, end) = (after(old.min(since)), after(old.max(since)));
        let affected: Vec<MemberId> = self
            .aggregates
            .suspects
            .iter()
            .flat_map(|ids| ids.range(time_range(first..end)))
            .map(|(_, id)| id.clone())
            .collect();
        for id in affected.iter().filter(|id| self.all.get(*id).is_some_and(|m| m.in_roster == Some(true))) {
            let is_discounted = since > old;
            self.aggregates.change_name(&id.name, |counts| {
                counts.counted = if is_discounted { counts.counted - 1 } else { counts.counted + 1 }
            });
        }
    }

    /// The start of the oldest suspicion that still counts.
    pub fn next_discounted_since(&self) -> Option<Ms> {
        let first = self.aggregates.discounted_since.map_or(0, |at| at + 1);
        let next =
            |ids: &BTreeSet<(Ms, MemberId)>| ids.range(time_range(first..Ms::MAX)).next().map(|(at, _)| *at);
        self.aggregates.suspects.iter().filter_map(next).min()
    }

    /// Number of other members that are thought to live.
    pub fn present_count(&self) -> usize {
        self.in_state(MemberState::Alive).len() + self.in_state(MemberState::Suspect).len()
    }

    /// The members in a state, ordered by id.
    pub fn in_state(&self, state: MemberState) -> &[MemberId] {
        &self.aggregates.by_state[state as usize]
    }

    /// For each number of confirmations with any suspects: when the oldest of them became suspect.
    pub fn oldest_suspects(&self) -> impl Iterator<Item = (usize, Ms)> + '_ {
        let firsts = self.aggregates.suspects.iter().map(|ids| ids.first());
        firsts
            .enumerate()
            .filter_map(|(confirmations, first)| first.map(|(since, _)| (confirmations, *since)))
    }

    /// Suspects whose timeout is over, ordered by id. `timeout` gives the timeout for a number of
    /// confirmations.
    pub fn expired_suspects(&self, now: Ms, timeout: impl Fn(usize) -> Ms) -> Vec<MemberId> {
        let mut expired = Vec::new();
        for (confirmations, ids) in
            self.aggregates.suspects.iter().enumerate().filter(|(_, ids)| !ids.is_empty())
        {
            let timeout = timeout(confirmations);
            expired
                .extend(ids.iter().take_while(|(since, _)| now >= since + timeout).map(|(_, id)| id.clone()));
        }
        expired.sort();
        expired
    }

    /// Members that failed or left at this time or before, ordered by id.
    pub fn ended(&self, until: Ms) -> Vec<MemberId> {
        let mut ended: Vec<MemberId> =
            self.aggregates.ended.range(time_range(0..until + 1)).map(|(_, id)| id.clone()).collect();
        ended.sort();
        ended
    }

    /// Members that could report their roster status, and have not.
    pub fn unknown_roster_status(&self) -> &BTreeSet<MemberId> {
        &self.aggregates.unknown_roster_status
    }

    /// Whether a member at the address understands version 2.
    pub fn speaks_version_2(&self, address: SocketAddr) -> bool {
        self.aggregates.addresses.get(&address).is_some_and(|counts| counts.speaks_version_2 > 0)
    }

    /// Whether a member at the address is present.
    pub fn is_address_present(&self, address: SocketAddr) -> bool {
        self.aggregates.addresses.get(&address).is_some_and(|counts| counts.present > 0)
    }

    /// Whether a process of the name is present, this one included.
    pub fn is_name_present(&self, name: &str) -> bool {
        self.aggregates.names.get(name).is_some_and(|counts| counts.present > 0)
    }

    /// Whether a process of the name is counted, this one included.
    pub fn is_counted(&self, name: &str) -> bool {
        self.aggregates.names.get(name).is_some_and(|counts| counts.counted > 0)
    }

    /// Number of expected names that are counted.
    pub fn counted(&self) -> usize {
        self.aggregates.counted
    }

    /// Expected names of which no process is present.
    pub fn absent_names(&self) -> impl Iterator<Item = &str> {
        self.aggregates.absent_names.iter().map(String::as_str)
    }

    /// The latest epoch that a present member with a complete roster reports.
    pub fn latest_roster_epoch(&self) -> Option<u32> {
        self.aggregates.roster_epochs.last_key_value().map(|(latest_epoch, _)| *latest_epoch)
    }

    /// Digests of the present members, without this one.
    pub fn view_digests(&self) -> Digests {
        self.aggregates.view_digests
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
