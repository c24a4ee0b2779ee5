//! How the roster is founded and changed: one member founds the first roster, further members are admitted
//! one at a time, a leaving member announces its departure, and an operator strikes off a member that is gone
//! for good.
//!
//! Two partitions of a fleet must never both take themselves for the majority. That holds as long as any
//! majorities of any two rosters in use have a member in common. Therefore one member of a majority admits or
//! strikes off one name at a time, and only once most expected members are known to have the previous change.
//! Leaving needs no permission: by its own announcement the member is gone from all rosters alike, and is
//! counted nowhere until it is admitted again.
use super::*;

/// Members to which each recipient passes on that a member has left.
const LEAVE_RELAYS: usize = 3;
/// Rounds before a first roster may be founded; an existing roster would have become known by then.
const FOUNDING_ROUNDS: u64 = 3;
/// While members wait for admission, how many members without the current roster are asked for theirs in each
/// round.
const POLLS_PER_ROUND: usize = 24;
/// Every so many rounds, a joining member asks a random member instead of the one that it takes for the
/// admitting one.
const RANDOM_JOIN_ROUNDS: u64 = 4;

/// Why a name was not struck off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrikeError {
    /// The roster does not expect the name.
    NotExpected,
    /// A process of that name is present.
    Present,
    /// The absent members may form a majority; striking one off here could make a second majority.
    NoMajority,
    /// The previous change has not reached a majority yet.
    ChangePending,
}

impl std::fmt::Display for StrikeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            StrikeError::NotExpected => "it is not expected",
            StrikeError::Present => "it is present",
            StrikeError::NoMajority => {
                "this sender is not in a majority: the members that it can't reach may form one, and there would be two"
            }
            StrikeError::ChangePending => "an earlier change has not reached a majority yet: try again",
        })
    }
}

impl Node {
    /// Removes a name that is gone for good from the roster. `vouched`: the operator confirms that none of
    /// the absent members lives.
    pub fn strike(
        &mut self,
        name: &str,
        vouched: bool,
        datagrams: &mut Datagrams,
    ) -> Result<(), StrikeError> {
        if !self.roster.expects(name) {
            return Err(StrikeError::NotExpected);
        }
        if self.members.is_name_present(name) {
            return Err(StrikeError::Present);
        }
        if !vouched && !self.derived.standing.permissions().strike_members {
            return Err(StrikeError::NoMajority);
        }
        if !vouched && !self.majority_has_roster() {
            return Err(StrikeError::ChangePending);
        }
        let address = self.roster.get(name).map_or(self.address, |e| e.address);
        let entry = self.set_status(name, EntryStatus::Struck, address);
        self.broadcast_entry(entry, datagrams);
        Ok(())
    }

    /// Whether most of the expected members have the same roster as this one.
    fn majority_has_roster(&self) -> bool {
        let digest = self.derived.combined.1;
        let has_same_roster = |m: &Member| {
            m.in_roster == Some(true) && m.summary.is_some_and(|summary| summary.roster_digest == digest)
        };
        let knows_roster = |e: &&RosterEntry| {
            (e.name == self.id.name && self.in_roster) || self.others_with_name(&e.name).any(has_same_roster)
        };
        !self.stale && 2 * self.roster.expected().filter(knows_roster).count() > self.derived.expected
    }

    /// While members wait for admission, asks the members that may not have the current roster for theirs.
    pub(super) fn poll_members(&mut self, datagrams: &mut Datagrams) {
        if self.joiners.is_empty() {
            return;
        }
        let digest = self.derived.combined.1;
        let may_know = |m: &Member| {
            m.state == MemberState::Alive
                && m.protocol_version() > 1
                && m.summary.is_none_or(|summary| summary.roster_digest != digest)
        };
        let names: BTreeSet<String> = self.roster.expected().map(|e| e.name.clone()).collect();
        for (_, address) in self.pick_random(POLLS_PER_ROUND, |id, m| may_know(m) && names.contains(&id.name))
        {
            self.send_digests(address, true, datagrams);
        }
    }

    /// Sends a change to all members; each acknowledges it.
    fn broadcast_entry(&mut self, entry: RosterEntry, datagrams: &mut Datagrams) {
        (self.roster_changed, self.stale) = (true, true);
        let recipients = self.members.iter().filter(|(_, m)| m.is_present() && m.protocol_version() > 1);
        let recipients: Vec<SocketAddr> = recipients.map(|(_, m)| m.address).collect();
        for address in recipients {
            self.send_plain(address, &Body::Roster(vec![entry.clone()]), datagrams);
        }
    }

    /// Merges another member's roster entries. Returns true if a single change was new, which has to be
    /// acknowledged. A departure is passed on, as the leaving member told only a few.
    pub(super) fn merge_entries(&mut self, entries: Vec<RosterEntry>, datagrams: &mut Datagrams) -> bool {
        let is_single = entries.len() == 1;
        let changed: Vec<RosterEntry> =
            entries.into_iter().filter(|e| self.roster.merge(e.clone())).collect();
        changed.iter().for_each(|e| self.members.set_expected(&e.name, self.roster.expects(&e.name)));
        if changed.is_empty() {
            return false;
        }
        (self.roster_changed, self.stale) = (true, true);
        for entry in changed.into_iter().filter(|e| is_single && e.status == EntryStatus::Left) {
            for (_, address) in self
                .pick_random(LEAVE_RELAYS, |_, m| m.state == MemberState::Alive && m.protocol_version() > 1)
            {
                self.send_plain(address, &Body::Roster(vec![entry.clone()]), datagrams);
            }
        }
        is_single
    }

    /// Leaves the roster. Returns the entry to announce, unless another process continues under this name.
    pub(super) fn leave_roster(&mut self) -> Option<RosterEntry> {
        let name = self.id.name.clone();
        if self.replaced || self.others_with_name(&name).next().is_some() {
            return None;
        }
        if self.roster.expects(&name) {
            self.roster_changed = true;
            return Some(self.set_status(&name, EntryStatus::Left, self.address));
        }
        self.roster.get(&name).filter(|e| e.status == EntryStatus::Left).cloned()
    }

    /// Takes the next step into the roster: founds the first one, asks to be admitted, or, if admitted
    /// already, asks for the whole roster.
    pub(super) fn request_join(&mut self, datagrams: &mut Datagrams) {
        if self.config.protocol_version == 1 || self.in_roster {
            return;
        }
        if self.may_found_roster() {
            return self.found_roster();
        }
        if self.roster.expects(&self.id.name) {
            let has_complete_roster = |m: &Member| m.summary.is_some_and(|summary| summary.roster_complete);
            for (_, address) in
                self.pick_random(1, |_, m| m.state == MemberState::Alive && has_complete_roster(m))
            {
                self.send_digests(address, true, datagrams);
            }
            return;
        }
        let may_admit = |m: &Member| {
            m.state == MemberState::Alive && m.protocol_version() > 1 && m.in_roster != Some(false)
        };
        let first_member =
            self.members.iter().find(|(_, m)| may_admit(m)).map(|(id, m)| (id.clone(), m.address));
        let recipients = match self.rounds.is_multiple_of(RANDOM_JOIN_ROUNDS) {
            true => self.pick_random(1, |_, m| may_admit(m)),
            false => first_member.into_iter().collect(),
        };
        for (_, address) in recipients {
            self.send_plain(address, &Body::Join, datagrams);
        }
    }

    /// Whether this member may found the first roster, or a new one after all members have left. Only the
    /// first seed does so, once it reaches most seeds and no present member has a complete roster that
    /// expects anybody: so there is only one founder, and none beside an existing roster. If single entries
    /// are left of a roster that was lost, all names in them must be present.
    fn may_found_roster(&self) -> bool {
        let seeds = &self.config.seeds;
        let roster_unusable = self.roster_complete || self.absent_entries().next().is_some();
        if self.rounds < FOUNDING_ROUNDS || (self.derived.expected > 0 && roster_unusable) {
            return false;
        }
        let has_no_roster = |m: &Member| {
            m.protocol_version() == 1
                || m.summary.is_some_and(|summary| !(summary.roster_complete && summary.has_expected))
        };
        let others = || self.members.iter().map(|(_, m)| m).filter(|m| m.is_present());
        let reached_seeds = seeds.iter().filter(|seed| {
            **seed == self.address || others().any(|m| m.address == **seed && has_no_roster(m))
        });
        let is_first_seed = seeds.first().is_none_or(|first| *first == self.address);
        // The roster status of members without direct contact is known from others' updates.
        let has_roster = |m: &Member| m.in_roster == Some(true) || (m.summary.is_some() && !has_no_roster(m));
        let reaches_most_seeds = 2 * reached_seeds.count() >= seeds.len() + usize::from(!seeds.is_empty());
        is_first_seed && reaches_most_seeds && !others().any(has_roster)
    }

    /// Founds a roster of all present members; there is no other roster that they could be in.
    fn found_roster(&mut self) {
        let others =
            self.members.iter().filter(|(_, m)| m.state == MemberState::Alive && m.protocol_version() > 1);
        let mut founders: BTreeMap<String, SocketAddr> =
            others.map(|(id, m)| (id.name.clone(), m.address)).collect();
        founders.insert(self.id.name.clone(), self.address);
        founders
            .iter()
            .for_each(|(name, address)| _ = self.set_status(name, EntryStatus::Expected, *address));
        (self.roster_complete, self.roster_changed, self.stale) = (true, true, true);
    }

    /// Another member asks to be admitted.
    pub(super) fn handle_join(&mut self, id: MemberId, from: SocketAddr, now: Ms, datagrams: &mut Datagrams) {
        match self.roster.get(&id.name).filter(|e| e.status == EntryStatus::Expected).cloned() {
            Some(entry) => self.send_plain(from, &Body::Roster(vec![entry]), datagrams),
            None => {
                self.joiners.insert(id, from);
                self.admit_next(now, datagrams);
            }
        }
    }

    /// Whether this member is the one that admits others: the first by name of the expected and present
    /// members.
    fn is_admitter(&mut self, now: Ms) -> bool {
        self.discount_suspects(now);
        let first = self.roster.expected().find(|e| self.members.is_counted(&e.name));
        first.is_some_and(|e| e.name == self.id.name)
    }

    /// Admits the waiting members one at a time, as long as this member is the one to admit others, has a
    /// majority, and most expected members have the previous change.
    pub(super) fn admit_next(&mut self, now: Ms, datagrams: &mut Datagrams) {
        if self.joiners.is_empty() || self.stale || !self.derived.standing.permissions().admit_members {
            return;
        }
        if !self.is_admitter(now) {
            return self.joiners.clear();
        }
        while self.majority_has_roster() {
            let Some((id, _)) = self.joiners.pop_first() else { return };
            let member = self.members.get(&id).filter(|m| m.state == MemberState::Alive);
            if let Some(address) = member.map(|m| m.address).filter(|_| !self.roster.expects(&id.name)) {
                let entry = self.set_status(&id.name, EntryStatus::Expected, address);
                self.broadcast_entry(entry, datagrams);
            }
        }
    }
}
