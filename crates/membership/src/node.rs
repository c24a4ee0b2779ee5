//! One member's state machine: it probes other members, spreads what it learns, and derives its standing in
//! the fleet.
mod joining;

use crate::digest::{self, Digests};
use crate::gossip::{GossipQueue, UpdateKind};
use crate::members::{member_digest, Member, Members, MAX_CONFIRMATIONS};
use crate::roster::{EntryStatus, Roster, RosterEntry};
use crate::standing::{Standing, StandingTracker};
use crate::wire::{decode, encode, split_protocol_version, with_protocol_version};
use crate::wire::{
    Body, DecodeError, FleetSummary, Impairment, MemberId, MemberState, MemberUpdate, Message,
    MAX_ROSTER_ENTRIES, PROTOCOL_VERSION,
};
use crate::Ms;
pub use joining::StrikeError;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identifies the fleet; datagrams of other fleets are dropped.
    pub fleet: u64,
    /// Length of a round: one other member is probed in each.
    pub interval: Ms,
    /// How long a reply to a ping may take before other members are asked to ping the target.
    pub timeout: Ms,
    /// How long a member that left or failed is still listed. It is remembered ten times as long, so that
    /// outdated updates can't bring it back.
    pub forget_after: Ms,
    /// How long two processes of one name must both have been present before that counts as a conflict; an
    /// upgrade takes less.
    pub conflict_after: Ms,
    /// Addresses that a member without any contact asks for the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The highest protocol version to speak, from 1 to `PROTOCOL_VERSION`. A lower one is set while older
    /// programs may come back.
    pub protocol_version: u8,
}

impl Config {
    /// The usual settings for a fleet with these seeds.
    pub fn new(fleet: u64, seeds: Vec<SocketAddr>) -> Config {
        let (interval, timeout, forget_after, conflict_after) = (1_000, 300, 60_000, 30_000);
        Config {
            fleet,
            interval,
            timeout,
            forget_after,
            conflict_after,
            seeds,
            protocol_version: PROTOCOL_VERSION,
        }
    }
}

/// Members that are asked to ping a target that doesn't answer.
const INDIRECT_PROBES: usize = 3;
/// A suspicion lasts at least this many intervals, times the decimal logarithm of the fleet's size (at least
/// 1). While no other member confirms it, it lasts `MAX_SUSPICION_FACTOR` times as long.
const MIN_SUSPICION_FACTOR: f64 = 4.0;
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Each update is sent this many times, times the binary logarithm of the fleet's size.
const GOSSIP_FACTOR: f64 = 3.0;
/// Upper bound of the health score; intervals and timeouts grow with the score.
const MAX_HEALTH_SCORE: u64 = 8;
/// Every so many rounds, the state is compared with one other member, and one absent seed and one absent
/// expected member are contacted.
const EXCHANGE_ROUNDS: u64 = 10;
/// Upper bound of the forgotten members that are remembered.
const MAX_FORGOTTEN_MEMBERS: usize = 4_096;
/// Expected but absent members that a member without any contact asks in each round.
const ABSENT_CONTACTS_PER_ROUND: usize = 3;
/// Members with unknown roster status that are pinged in each round. Digests don't cover that status.
const ROSTER_QUERIES_PER_ROUND: usize = 8;
/// Suspects that are pinged once more in each probe timeout, so that a living one learns of the suspicion.
const SUSPECTS_PER_REMINDER: usize = 3;
/// A suspect is no longer counted as present after this many times the least suspicion timeout, even if
/// nobody has declared it failed: in a small partition few members can confirm the suspicion.
const DISCOUNT_FACTOR: u64 = 2;
/// Rounds between two exchanges of digests that are triggered by a member with a different view.
const DISAGREEMENT_ROUNDS: u64 = 5;

/// A member as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The process.
    pub id: MemberId,
    pub address: SocketAddr,
    /// The version of its program.
    pub version: String,
    pub state: MemberState,
    pub incarnation: u32,
    /// How long the member has been in this state.
    pub for_ms: Ms,
    /// The member that reported the state.
    pub by: String,
    /// Another process of the same name has also been present for longer than an upgrade takes.
    pub conflicts: bool,
    /// Whether the roster expects the name.
    pub expected: bool,
    /// The standing and impairment that the member reports; None if it has reported none, or can't.
    pub standing: Option<Standing>,
    pub impairment: Option<Impairment>,
    /// How long the member's view of the fleet has differed from the local one.
    pub differs_ms: Option<Ms>,
}

/// Numbers of dropped datagrams, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    pub too_long: u64,
    pub other_version: u64,
    pub other_fleet: u64,
    pub malformed: u64,
}

/// A ping that waits for its answer.
struct Probe {
    id: MemberId,
    sequence: u32,
    started_at: Ms,
    sent_indirect: bool,
    /// Members that were asked to ping the target, and how many of them reported that it doesn't answer them
    /// either.
    helpers: usize,
    nacks: usize,
    answered: bool,
}

/// A ping on behalf of another member.
struct RelayedPing {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    deadline: Ms,
}

/// One member: takes datagrams and the time, and returns the datagrams to send.
pub struct Node {
    config: Config,
    id: MemberId,
    address: SocketAddr,
    version: String,
    incarnation: u32,
    left: bool,
    members: Members,
    forgotten: ForgottenMembers,
    gossip: GossipQueue,
    /// Consecutive datagrams whose senders knew all present members, as this one does.
    agreeing_datagrams: u32,
    /// Members that are still to be probed in this turn; the last is next.
    probe_order: Vec<MemberId>,
    probe: Option<Probe>,
    relays: Vec<RelayedPing>,
    sequence: u32,
    next_round_at: Ms,
    rounds: u64,
    /// Lifeguard's local health: 0 while replies arrive in time. The higher it is, the less this member
    /// trusts its own suspicions.
    health_score: u64,
    random: Pcg32,
    pub dropped: DropCounts,
    roster: Roster,
    /// The roster has to be stored again.
    roster_changed: bool,
    /// The roster was complete at some time: it equalled another member's complete roster, was founded here,
    /// or was loaded. Single entries aren't enough to derive a standing from; they may name a few of many
    /// members.
    roster_complete: bool,
    standing_tracker: StandingTracker,
    impairment: Option<Impairment>,
    /// Members or roster have changed, so `derived` has to be computed again.
    stale: bool,
    derived: Derived,
    /// When the next suspect ceases to be counted merely by the passing of time.
    next_discount_at: Option<Ms>,
    last_disagreement_round: u64,
    /// When suspects are pinged next.
    next_reminder_at: Ms,
    /// Whether this member is in the roster and knows all of it, as it reports to others.
    in_roster: bool,
    /// Another process continues under this name.
    replaced: bool,
    /// Members that asked to be admitted to the roster, with their addresses.
    joiners: BTreeMap<MemberId, SocketAddr>,
}

/// Members that were forgotten, with their last incarnations, oldest first.
#[derive(Default)]
struct ForgottenMembers {
    order: VecDeque<(MemberId, u32, Ms)>,
    /// The last incarnation of each.
    incarnations: BTreeMap<MemberId, u32>,
}

impl ForgottenMembers {
    fn push(&mut self, id: MemberId, incarnation: u32, forget_at: Ms) {
        self.incarnations.insert(id.clone(), incarnation);
        self.order.push_back((id, incarnation, forget_at));
    }

    fn expire(&mut self, now: Ms) {
        while self.order.front().is_some_and(|entry| now >= entry.2)
            || self.order.len() > MAX_FORGOTTEN_MEMBERS
        {
            let Some((id, incarnation, _)) = self.order.pop_front() else { return };
            // The member may have come back since, and been forgotten again with a higher incarnation.
            if self.incarnations.get(&id) == Some(&incarnation) {
                self.incarnations.remove(&id);
            }
        }
    }
}

/// What was derived from members and roster when they last changed.
struct Derived {
    view: Digests,
    roster: Digests,
    /// The combined digests of `view` and `roster`.
    combined: (u32, u32),
    standing: Standing,
    /// Expected names that are counted as present.
    present: usize,
    expected: usize,
}

/// Datagrams to send, with their recipients.
pub type Datagrams = Vec<(SocketAddr, Vec<u8>)>;

impl Node {
    /// A member that knows nobody yet. `seed` drives its random choices.
    pub fn new(config: Config, id: MemberId, address: SocketAddr, version: &str, seed: u64, now: Ms) -> Node {
        let version =
            if config.protocol_version > 1 { with_protocol_version(version) } else { version.to_string() };
        let mut node = Node {
            config,
            id,
            address,
            version,
            incarnation: 0,
            left: false,
            members: Members::default(),
            forgotten: ForgottenMembers::default(),
            gossip: GossipQueue::default(),
            agreeing_datagrams: 0,
            probe_order: Vec::new(),
            probe: None,
            relays: Vec::new(),
            sequence: 0,
            next_round_at: now,
            rounds: 0,
            health_score: 0,
            random: Pcg32::seed_from_u64(seed),
            dropped: DropCounts::default(),
            roster: Roster::default(),
            roster_changed: false,
            roster_complete: false,
            standing_tracker: StandingTracker::new(now),
            impairment: None,
            stale: true,
            derived: Derived {
                view: Digests::default(),
                roster: Digests::default(),
                combined: (Digests::default().combined(), Digests::default().combined()),
                standing: Standing::Forming,
                present: 0,
                expected: 0,
            },
            next_discount_at: None,
            last_disagreement_round: 0,
            next_reminder_at: now,
            in_roster: false,
            replaced: false,
            joiners: BTreeMap::new(),
        };
        // Members that start together should not run in lockstep.
        node.next_round_at = now + node.random_below(node.config.interval.max(1));
        node.refresh_own_presence();
        node
    }

    /// Starts with a roster that was stored.
    pub fn with_roster(mut self, roster: Roster) -> Node {
        self.roster_complete = roster.entries().next().is_some();
        self.in_roster = self.roster_complete && roster.expects(&self.id.name);
        self.roster = roster;
        self.roster.expected().for_each(|e| self.members.set_expected(&e.name, true));
        self.refresh_own_presence();
        self
    }

    /// Updates the aggregates with this member's own presence.
    fn refresh_own_presence(&mut self) {
        self.members.set_own_presence(&self.id.name, !self.left, self.in_roster && !self.left);
    }

    /// The member itself.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// The roster as this member knows it.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the roster has changed since the last call and has to be stored.
    pub fn take_roster_changed(&mut self) -> bool {
        self.roster_complete && std::mem::take(&mut self.roster_changed)
    }

    /// The standing that is in force, and its history.
    pub fn standing(&self) -> &StandingTracker {
        &self.standing_tracker
    }

    /// Whether this member may take and keep a duty of the fleet: it needs a majority, a stable standing, and
    /// no impairment.
    pub fn may_act(&self, now: Ms) -> bool {
        let is_stable = !self.standing_tracker.is_damped(now, self.config.interval);
        self.standing_tracker.current.permissions().hold_duties && is_stable && self.impairment.is_none()
    }

    /// Makes a change to the roster.
    fn set_status(&mut self, name: &str, status: EntryStatus, address: SocketAddr) -> RosterEntry {
        self.members.set_expected(name, status == EntryStatus::Expected);
        self.roster.set(name, status, address)
    }

    /// The number of expected names that are present, and the number of expected names.
    pub fn counts(&self) -> (usize, usize) {
        (self.derived.present, self.derived.expected)
    }

    /// The expected entries that are not counted: no process of the name is present and in the roster, or
    /// only one that has been suspect for too long.
    pub fn missing(&self, now: Ms) -> impl Iterator<Item = &RosterEntry> {
        let counted = self.counted_names(now);
        self.roster.expected().filter(move |e| !counted.contains(e.name.as_str()))
    }

    /// The expected entries of which no process is present.
    fn absent_entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.members.absent_names().filter_map(|name| self.roster.get(name))
    }

    /// Sets the reason why this member can't do its work although it answers.
    pub fn set_impairment(&mut self, impairment: Option<Impairment>) {
        self.impairment = impairment;
    }

    /// Another process continues under this name, so the name stays in the roster when this process leaves.
    pub fn set_replaced(&mut self) {
        self.replaced = true;
    }

    /// The reason why this member can't do its work, as set.
    pub fn impairment(&self) -> Option<Impairment> {
        self.impairment
    }

    /// Other processes of this name that are thought to be present.
    fn others_with_name<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.with_name(name).map(|(_, m)| m).filter(|m| m.is_present())
    }

    /// How long a member may be suspect before it is no longer counted.
    fn discount_delay(&self) -> Ms {
        DISCOUNT_FACTOR * self.min_suspicion()
    }

    /// Names that are present and, as they report themselves, in the roster.
    fn counted_names(&self, now: Ms) -> BTreeSet<&str> {
        let discount_delay = self.discount_delay();
        let is_counted = |m: &Member| {
            let is_discounted =
                m.state == MemberState::Suspect && now.saturating_sub(m.since) >= discount_delay;
            m.is_present() && m.in_roster == Some(true) && !is_discounted
        };
        let others = self.members.iter().filter(|(_, m)| is_counted(m)).map(|(id, _)| id.name.as_str());
        let own = (self.in_roster && !self.left).then_some(self.id.name.as_str());
        others.chain(own).collect()
    }

    /// The member's own incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// The health score: 0 is best.
    pub fn health_score(&self) -> u64 {
        self.health_score
    }

    /// All known members, this one first.
    pub fn members(&self, now: Ms) -> Vec<MemberView> {
        let own = MemberView {
            id: self.id.clone(),
            address: self.address,
            version: split_protocol_version(&self.version).0.to_string(),
            state: if self.left { MemberState::Left } else { MemberState::Alive },
            incarnation: self.incarnation,
            for_ms: 0,
            by: self.id.name.clone(),
            conflicts: self.conflicts(&self.id, now),
            expected: self.roster.expects(&self.id.name),
            standing: Some(self.standing_tracker.current),
            impairment: self.impairment,
            differs_ms: None,
        };
        let others = self.members.iter().map(|(id, m)| MemberView {
            id: id.clone(),
            address: m.address,
            version: split_protocol_version(&m.version).0.to_string(),
            state: m.state,
            incarnation: m.incarnation,
            for_ms: now.saturating_sub(m.since),
            by: m.by.clone(),
            conflicts: self.conflicts(id, now),
            expected: self.roster.expects(&id.name),
            standing: m.summary.filter(|_| m.is_present()).map(|summary| summary.standing),
            impairment: m.summary.filter(|_| m.is_present()).and_then(|summary| summary.impairment),
            differs_ms: m.differs_since.filter(|_| m.is_present()).map(|since| now.saturating_sub(since)),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// The state of a member, this one included; None if it is unknown or forgotten.
    pub fn state_of(&self, id: &MemberId) -> Option<MemberState> {
        if *id == self.id {
            return Some(if self.left { MemberState::Left } else { MemberState::Alive });
        }
        self.members.get(id).map(|m| m.state)
    }

    /// Whether another process has had the same name for longer than an upgrade takes.
    pub fn has_name_conflict(&self, now: Ms) -> bool {
        self.conflicts(&self.id, now)
    }

    /// Whether another process of the member's name has been present for as long as `conflict_after`.
    fn conflicts(&self, id: &MemberId, now: Ms) -> bool {
        let is_established = |other: &MemberId| match self.members.get(other) {
            Some(m) => m.is_present() && now.saturating_sub(m.first_seen) >= self.config.conflict_after,
            None => *other == self.id && !self.left,
        };
        let own = std::iter::once(&self.id).filter(|own| own.name == id.name);
        let namesakes = || self.members.with_name(&id.name).map(|(other, _)| other).chain(own.clone());
        is_established(id) && namesakes().any(|other| other != id && is_established(other))
    }

    /// When `tick` must be called at the latest.
    pub fn next_deadline(&self) -> Ms {
        let probe = self.probe.as_ref().filter(|p| !p.sent_indirect && !p.answered);
        let probe_deadline = probe.map_or(Ms::MAX, |p| p.started_at + self.probe_timeout());
        let relay_deadline = self.relays.iter().map(|ping| ping.deadline).min().unwrap_or(Ms::MAX);
        let suspicion_ends = self
            .members
            .oldest_suspects()
            .map(|(confirmations, since)| since + self.suspicion_timeout(confirmations));
        let suspicion_deadline = suspicion_ends.min().map(|end| end.min(self.next_reminder_at));
        self.next_round_at.min(probe_deadline).min(relay_deadline).min(suspicion_deadline.unwrap_or(Ms::MAX))
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.random.random_range(0..n.max(1))
    }

    /// How often an update is sent before it is discarded.
    fn gossip_limit(&self) -> u32 {
        (GOSSIP_FACTOR * ((self.members.present_count() + 2) as f64).log2()).ceil() as u32
    }

    /// How long an answer may take, given the health score.
    fn probe_timeout(&self) -> Ms {
        self.config.timeout * (1 + self.health_score)
    }

    /// The length of a round, given the health score.
    fn round_interval(&self) -> Ms {
        self.config.interval * (1 + self.health_score)
    }

    /// How long a suspicion lasts at least, given the fleet's size.
    fn min_suspicion(&self) -> Ms {
        let size = (self.members.present_count() + 1) as f64;
        (MIN_SUSPICION_FACTOR * size.log10().max(1.0) * self.config.interval as f64) as Ms
    }

    /// How long a member may be suspect. Each confirmation by another member shortens that.
    fn suspicion_timeout(&self, confirmations: usize) -> Ms {
        let min_suspicion = self.min_suspicion() as f64;
        let others = self.members.present_count().saturating_sub(1).min(MAX_CONFIRMATIONS);
        if others == 0 {
            return min_suspicion as Ms;
        }
        let confirmations = confirmations.min(others);
        let fraction = ((confirmations + 1) as f64).ln() / ((others + 1) as f64).ln();
        (min_suspicion * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * fraction)) as Ms
    }

    /// This member's update about itself.
    fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.id.clone(),
            state: if self.left { MemberState::Left } else { MemberState::Alive },
            address: self.address,
            version: self.version.clone(),
            incarnation: self.incarnation,
            by: self.id.name.clone(),
            in_roster: Some(self.in_roster),
        }
    }

    /// The update about a known member.
    fn update_about(&self, id: &MemberId) -> Option<MemberUpdate> {
        let m = self.members.get(id)?;
        let (state, address, incarnation) = (m.state, m.address, m.incarnation);
        Some(MemberUpdate {
            id: id.clone(),
            state,
            address,
            incarnation,
            version: m.version.clone(),
            by: m.by.clone(),
            in_roster: m.in_roster,
        })
    }

    /// This member's view of the fleet in short, for a recipient that understands it.
    fn summary_for(&self, to: SocketAddr) -> Option<FleetSummary> {
        let (view_digest, roster_digest) = self.derived.combined;
        let (standing, has_expected, latest_epoch) =
            (self.standing_tracker.current, self.derived.expected > 0, self.roster.latest_epoch());
        let (roster_complete, impairment) = (self.roster_complete, self.impairment);
        let summary = FleetSummary {
            view_digest,
            roster_digest,
            latest_epoch,
            standing,
            has_expected,
            roster_complete,
            impairment,
        };
        (self.config.protocol_version > 1 && self.members.speaks_version_2(to)).then_some(summary)
    }

    /// Encodes a datagram and returns how many of the updates fitted.
    fn push_datagram<U: Borrow<MemberUpdate>>(
        &self,
        to: SocketAddr,
        body: &Body,
        updates: impl Iterator<Item = U>,
        datagrams: &mut Datagrams,
    ) -> usize {
        let (bytes, count) = encode(self.config.fleet, self.summary_for(to).as_ref(), body, updates);
        datagrams.push((to, bytes));
        count
    }

    /// Sends a datagram with no update but this member's own.
    fn send_plain(&self, to: SocketAddr, body: &Body, datagrams: &mut Datagrams) {
        self.push_datagram(to, body, std::iter::once(self.own_update()), datagrams);
    }

    /// Sends a datagram with the updates that were sent least often. An update about the recipient always
    /// goes along.
    fn send(&mut self, to: SocketAddr, body: Body, about: Option<&MemberId>, datagrams: &mut Datagrams) {
        let sent: Vec<MemberId> = {
            let others = self.gossip.in_order().filter(|id| Some(*id) != about);
            let order = || about.into_iter().chain(others.clone());
            let updates =
                std::iter::once(self.own_update()).chain(order().filter_map(|id| self.update_about(id)));
            let count = self.push_datagram(to, &body, updates, datagrams);
            let known = order().filter(|id| self.members.get(id).is_some());
            known.take(count.saturating_sub(1)).cloned().collect()
        };
        let limit = self.gossip_limit();
        sent.iter().for_each(|id| self.gossip.record_sent(id, limit));
    }

    /// Sends all known members, in as many datagrams as needed. Only the first may ask for the same in
    /// return.
    fn send_all_members(&mut self, to: SocketAddr, wants_reply: bool, datagrams: &mut Datagrams) {
        self.send_members(to, wants_reply, |_| true, datagrams);
    }

    /// Sends the matching members, and in any case the own update.
    fn send_members(
        &self,
        to: SocketAddr,
        wants_reply: bool,
        matches: impl Fn(&MemberId) -> bool,
        datagrams: &mut Datagrams,
    ) {
        let own = self.own_update();
        let all: Vec<MemberUpdate> = self
            .members
            .iter()
            .filter(|(id, _)| matches(id))
            .filter_map(|(id, _)| self.update_about(id))
            .collect();
        let (mut remaining, mut wants_reply) = (&all[..], wants_reply);
        loop {
            let updates = std::iter::once(&own).chain(remaining);
            let count = self.push_datagram(to, &Body::Sync { wants_reply }, updates, datagrams);
            remaining = &remaining[count.saturating_sub(1).min(remaining.len())..];
            wants_reply = false;
            if remaining.is_empty() {
                return;
            }
        }
    }

    /// Asks a recipient that may not know this member for all that it knows.
    fn request_sync(&self, to: SocketAddr, datagrams: &mut Datagrams) {
        self.send_plain(to, &Body::Sync { wants_reply: true }, datagrams);
    }

    /// Sends digests of the known state, so that the recipient finds out what differs.
    fn send_digests(&self, to: SocketAddr, wants_reply: bool, datagrams: &mut Datagrams) {
        let (view, roster) = (Box::new(self.derived.view), Box::new(self.derived.roster));
        self.send_plain(to, &Body::Digests { wants_reply, view, roster }, datagrams);
    }

    /// Sends what differs from another member's digests.
    fn send_differences(&self, to: SocketAddr, view: &Digests, roster: &Digests, datagrams: &mut Datagrams) {
        let differing = |mine: &Digests, theirs: &Digests| {
            let (mine, theirs) = (*mine, *theirs);
            move |name: &str| mine.differs(&theirs, digest::range_of(name))
        };
        if self.derived.view != *view {
            let differs = differing(&self.derived.view, view);
            self.send_members(to, false, |id| differs(&id.name), datagrams);
        }
        let differs = differing(&self.derived.roster, roster);
        let entries: Vec<RosterEntry> = self.roster.entries().filter(|e| differs(&e.name)).cloned().collect();
        for part in entries.chunks(MAX_ROSTER_ENTRIES) {
            self.send_plain(to, &Body::Roster(part.to_vec()), datagrams);
        }
    }

    /// Some of the matching members, at random.
    fn pick_random(
        &mut self,
        count: usize,
        matches: impl Fn(&MemberId, &Member) -> bool,
    ) -> Vec<(MemberId, SocketAddr)> {
        let matching = self.members.iter().filter(|(id, m)| matches(id, m));
        let all: Vec<(&MemberId, SocketAddr)> = matching.map(|(id, m)| (id, m.address)).collect();
        let picked = sample_indices(&mut self.random, count, all.len());
        picked.into_iter().map(|i| (all[i].0.clone(), all[i].1)).collect()
    }

    /// Some of the members in a state, at random, except one.
    fn pick_in_state(
        &mut self,
        count: usize,
        state: MemberState,
        except: Option<&MemberId>,
    ) -> Vec<(MemberId, SocketAddr)> {
        let all = self.members.in_state(state);
        let skipped = except.and_then(|id| all.binary_search(id).ok());
        let picked = sample_indices(&mut self.random, count, all.len() - usize::from(skipped.is_some()));
        let id = |i: usize| &all[i + usize::from(skipped.is_some_and(|s| i >= s))];
        let address = |id: &MemberId| self.members.get(id).map(|m| (id.clone(), m.address));
        picked.into_iter().filter_map(|i| address(id(i))).collect()
    }

    /// Does everything that is due.
    pub fn tick(&mut self, now: Ms, datagrams: &mut Datagrams) {
        self.expire_relays(now, datagrams);
        self.expire_suspicions(now);
        self.stale |= self.next_discount_at.is_some_and(|at| now >= at);
        self.refresh(now);
        if self.left {
            self.next_round_at = now + self.config.interval;
            return;
        }
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.sent_indirect && !p.answered) {
            if now >= probe.started_at + self.probe_timeout() {
                self.request_indirect_pings(datagrams);
            }
        }
        if now >= self.next_reminder_at {
            self.next_reminder_at = now + self.config.timeout;
            self.remind_suspects(datagrams);
        }
        if now < self.next_round_at {
            return;
        }
        self.finish_probe(now);
        self.forget_ended(now);
        // A member that was stopped for long continues from here and doesn't catch up on missed rounds.
        self.next_round_at = now + self.round_interval();
        self.rounds += 1;
        self.probe_next(now, datagrams);
        self.exchange_state(datagrams);
        self.request_join(datagrams);
        self.query_roster_status(datagrams);
        self.admit_next(now, datagrams);
        self.poll_members(datagrams);
        self.refresh(now);
    }

    /// Recomputes the derived state if members or roster have changed, and updates the standing in force.
    fn refresh(&mut self, now: Ms) {
        if std::mem::take(&mut self.stale) {
            let mut view = self.members.view_digests();
            if !self.left {
                view.add(&self.id.name, member_digest(&self.id));
            }
            let in_roster = self.roster_complete && self.roster.expects(&self.id.name);
            if in_roster != self.in_roster {
                // Others must learn of the change, so it gets a new incarnation.
                (self.in_roster, self.incarnation) = (in_roster, self.incarnation.saturating_add(1));
            }
            self.refresh_own_presence();
            self.discount_suspects(now);
            self.next_discount_at =
                self.members.next_discounted_since().map(|since| since + self.discount_delay());
            let (present, expected) = (self.members.counted(), self.roster.expected_count());
            let standing = Standing::of(in_roster, present, expected);
            let roster = self.roster.digests();
            let combined = (view.combined(), roster.combined());
            if combined != self.derived.combined {
                self.agreeing_datagrams = 0;
            }
            self.derived = Derived { view, roster, combined, standing, present, expected };
        }
        let behind = self.members.latest_roster_epoch() > Some(self.roster.latest_epoch());
        self.standing_tracker.observe(self.derived.standing, behind, now, self.config.interval);
    }

    /// Stops counting members that have been suspect for `discount_delay` or longer.
    fn discount_suspects(&mut self, now: Ms) {
        self.members.discount_suspects_since(now.checked_sub(self.discount_delay()));
    }

    /// Pings suspects far more often than other members: one that lives learns of the suspicion and refutes
    /// it.
    fn remind_suspects(&mut self, datagrams: &mut Datagrams) {
        for (id, address) in self.pick_in_state(SUSPECTS_PER_REMINDER, MemberState::Suspect, None) {
            self.sequence = self.sequence.wrapping_add(1);
            // Queued updates are not added: each is sent a limited number of times, and those sent to a dead
            // member would be wasted.
            let (body, own) = (Body::Ping { sequence: self.sequence, target: id.clone() }, self.own_update());
            let about = self.update_about(&id);
            self.push_datagram(address, &body, std::iter::once(own).chain(about), datagrams);
        }
    }

    /// Pings members whose roster status is unknown.
    fn query_roster_status(&mut self, datagrams: &mut Datagrams) {
        let unknown = self.members.unknown_roster_status();
        let sampled = sample_indices(&mut self.random, ROSTER_QUERIES_PER_ROUND, unknown.len());
        let recipients: Vec<MemberId> =
            sampled.into_iter().filter_map(|i| unknown.iter().nth(i).cloned()).collect();
        for id in recipients {
            let Some(address) = self.members.get(&id).map(|m| m.address) else { continue };
            self.sequence = self.sequence.wrapping_add(1);
            self.send_plain(address, &Body::Ping { sequence: self.sequence, target: id }, datagrams);
        }
    }

    /// Pings the next member in turn.
    fn probe_next(&mut self, now: Ms, datagrams: &mut Datagrams) {
        let (id, address) = loop {
            if self.probe_order.is_empty() {
                self.probe_order =
                    self.members.iter().filter(|(_, m)| m.is_present()).map(|(i, _)| i.clone()).collect();
                for i in (1..self.probe_order.len()).rev() {
                    let j = self.random_below(i as u64 + 1) as usize;
                    self.probe_order.swap(i, j);
                }
            }
            let Some(id) = self.probe_order.pop() else { return };
            if let Some(member) = self.members.get(&id).filter(|m| m.is_present()) {
                break (id, member.address);
            }
        };
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.probe = Some(Probe {
            id: id.clone(),
            sequence,
            started_at: now,
            sent_indirect: false,
            helpers: 0,
            nacks: 0,
            answered: false,
        });
        // A suspect learns of the suspicion first from the member that probes it.
        self.send(address, Body::Ping { sequence, target: id.clone() }, Some(&id), datagrams);
    }

    /// Asks helpers to ping the target of the current probe.
    fn request_indirect_pings(&mut self, datagrams: &mut Datagrams) {
        let Some((id, sequence)) = self.probe.as_mut().map(|p| {
            p.sent_indirect = true;
            (p.id.clone(), p.sequence)
        }) else {
            return;
        };
        let Some(address) = self.members.get(&id).map(|m| m.address) else { return };
        let helpers = self.pick_in_state(INDIRECT_PROBES, MemberState::Alive, Some(&id));
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len();
        }
        for (_, helper) in helpers {
            self.send(helper, Body::PingRequest { sequence, target: id.clone(), address }, None, datagrams);
        }
    }

    /// Evaluates the probe at the end of its round.
    fn finish_probe(&mut self, now: Ms) {
        let Some(probe) = self.probe.take() else { return };
        if probe.answered {
            self.health_score = self.health_score.saturating_sub(1);
            return;
        }
        // Helpers that don't reply at all make a fault on this side likely.
        let silent_helpers = probe.helpers.saturating_sub(probe.nacks) as u64;
        self.health_score =
            (self.health_score + if probe.helpers > 0 { silent_helpers } else { 1 }).min(MAX_HEALTH_SCORE);
        if let Some(update) = self.update_about(&probe.id) {
            let update = MemberUpdate { state: MemberState::Suspect, by: self.id.name.clone(), ..update };
            self.apply_update(update, now);
        }
    }

    /// Reports to the requesters that the targets did not answer.
    fn expire_relays(&mut self, now: Ms, datagrams: &mut Datagrams) {
        let (expired, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.relays).into_iter().partition(|ping| now >= ping.deadline);
        self.relays = pending;
        for relayed in expired {
            self.send(
                relayed.requester,
                Body::Nack { sequence: relayed.requester_sequence },
                None,
                datagrams,
            );
        }
    }

    /// Declares suspects failed whose timeout is over.
    fn expire_suspicions(&mut self, now: Ms) {
        let expired =
            self.members.expired_suspects(now, |confirmations| self.suspicion_timeout(confirmations));
        for id in expired {
            if let Some(update) = self.update_about(&id) {
                let by = self.id.name.clone();
                self.apply_update(MemberUpdate { state: MemberState::Failed, by, ..update }, now);
            }
        }
    }

    /// Forgets members that failed or left long ago.
    fn forget_ended(&mut self, now: Ms) {
        let ended = now
            .checked_sub(self.config.forget_after)
            .map_or(Vec::new(), |ended_by| self.members.ended(ended_by));
        for id in ended {
            if let Some(m) = self.members.remove(&id) {
                self.stale = true;
                self.gossip.remove(&id);
                self.forgotten.push(id, m.incarnation, now + 10 * self.config.forget_after);
            }
        }
        self.forgotten.expire(now);
    }

    /// Every `EXCHANGE_ROUNDS` rounds, compares the state with one other member and contacts absent ones, so
    /// that partitions that could not reach each other merge again. A member without any contact asks its
    /// seeds and the expected members in each round until one answers.
    fn exchange_state(&mut self, datagrams: &mut Datagrams) {
        if self.members.present_count() == 0 {
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|s| *s != self.address).collect();
            seeds.into_iter().for_each(|seed| self.request_sync(seed, datagrams));
            self.contact_absent(ABSENT_CONTACTS_PER_ROUND, datagrams);
        }
        if !self.rounds.is_multiple_of(EXCHANGE_ROUNDS) {
            return;
        }
        for (id, address) in self.pick_in_state(1, MemberState::Alive, None) {
            match self.members.get(&id).map(|m| (m.protocol_version(), m.summary)) {
                Some((2.., summary)) if self.agrees(summary) => {}
                Some((2.., _)) => self.send_digests(address, true, datagrams),
                _ => self.send_all_members(address, true, datagrams),
            }
        }
        for (id, address) in self.pick_in_state(1, MemberState::Failed, None) {
            match self.members.get(&id).map(Member::protocol_version) {
                Some(2..) => self.send_digests(address, true, datagrams),
                _ => self.request_sync(address, datagrams),
            }
        }
        let is_absent = |seed: &SocketAddr| *seed != self.address && !self.members.is_address_present(*seed);
        let absent_seeds: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(is_absent).collect();
        if !absent_seeds.is_empty() {
            let address = absent_seeds[self.random_below(absent_seeds.len() as u64) as usize];
            self.request_sync(address, datagrams);
        }
        self.contact_absent(1, datagrams);
    }

    /// Asks some of the expected but absent members for their state, at their last known addresses.
    fn contact_absent(&mut self, count: usize, datagrams: &mut Datagrams) {
        let mut all: Vec<SocketAddr> =
            self.absent_entries().map(|e| e.address).filter(|address| *address != self.address).collect();
        for _ in 0..count.min(all.len()) {
            let address = all.swap_remove(self.random_below(all.len() as u64) as usize);
            self.request_sync(address, datagrams);
        }
    }

    /// Whether another member reports the same view of the fleet as this one has.
    fn agrees(&self, summary: Option<FleetSummary>) -> bool {
        summary.is_some_and(|summary| (summary.view_digest, summary.roster_digest) == self.derived.combined)
    }

    /// Records the view that another member reports. If it differs, digests are exchanged, at most
    /// once every `DISAGREEMENT_ROUNDS` rounds.
    fn handle_summary(
        &mut self,
        id: &MemberId,
        summary: FleetSummary,
        from: SocketAddr,
        now: Ms,
        datagrams: &mut Datagrams,
    ) {
        let agrees = self.agrees(Some(summary));
        self.members.record_summary(id, summary, agrees, now);
        self.count_agreement(agrees && summary.standing == Standing::Whole);
        let Some(is_present) = self.members.get(id).map(Member::is_present) else { return };
        if summary.roster_complete
            && !self.roster_complete
            && summary.roster_digest == self.derived.combined.1
        {
            (self.roster_complete, self.stale) = (true, true);
        }
        if !agrees && is_present && self.rounds >= self.last_disagreement_round + DISAGREEMENT_ROUNDS {
            self.last_disagreement_round = self.rounds;
            self.send_digests(from, true, datagrams);
        }
    }

    /// Stops sending updates about mere presence once they are widely known. When many members start at once,
    /// each holds an update about every other, and most of them carry nothing new. A sender with standing
    /// `Whole` and the same digests knows all members and their roster status; as many such datagrams in a
    /// row as an update is sent times replace sending it.
    fn count_agreement(&mut self, knows_all: bool) {
        self.agreeing_datagrams = if knows_all { self.agreeing_datagrams + 1 } else { 0 };
        if self.agreeing_datagrams >= self.gossip_limit() {
            self.agreeing_datagrams = 0;
            self.gossip.remove_presence();
        }
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Ms, from: SocketAddr, bytes: &[u8], datagrams: &mut Datagrams) {
        let Message { summary, body, updates } = match decode(self.config.fleet, bytes) {
            Ok(message) => message,
            Err(error) => {
                let count = match error {
                    DecodeError::TooLong => &mut self.dropped.too_long,
                    DecodeError::OtherVersion => &mut self.dropped.other_version,
                    DecodeError::OtherFleet => &mut self.dropped.other_fleet,
                    DecodeError::Malformed => &mut self.dropped.malformed,
                };
                *count += 1;
                return;
            }
        };
        let sender = updates.first().map(|u| u.id.clone());
        if let Some(about_sender) =
            updates.first().filter(|u| u.state == MemberState::Alive && self.is_outdated(u))
        {
            // The sender lives and may not know that it was declared failed: it must raise its incarnation to
            // be accepted again.
            let by = self.id.name.clone();
            let failed = MemberUpdate { state: MemberState::Failed, by, ..about_sender.clone() };
            let updates = [self.own_update(), failed];
            self.push_datagram(from, &Body::Sync { wants_reply: false }, updates.iter(), datagrams);
        }
        for update in updates {
            self.apply_update(update, now);
        }
        if self.left {
            return;
        }
        self.refresh(now);
        if let (Some(id), Some(summary)) = (&sender, summary) {
            self.handle_summary(id, summary, from, now, datagrams);
            self.admit_next(now, datagrams);
        }
        match body {
            Body::Ping { sequence, target } => {
                // A later process may have the same address; the ping is not for that one.
                if target == self.id {
                    self.send(from, Body::Ack { sequence }, sender.as_ref(), datagrams);
                }
            }
            Body::Ack { sequence } => self.handle_ack(sequence, datagrams),
            Body::Nack { sequence } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
                    probe.nacks += 1;
                }
            }
            Body::PingRequest { sequence: requester_sequence, target, address } => {
                self.sequence = self.sequence.wrapping_add(1);
                let (sequence, deadline) = (self.sequence, now + self.config.timeout);
                self.relays.push(RelayedPing { sequence, requester: from, requester_sequence, deadline });
                self.send(address, Body::Ping { sequence, target: target.clone() }, Some(&target), datagrams);
            }
            Body::Sync { wants_reply: false } => {}
            // A member that speaks version 2 sends only what this one lacks.
            Body::Sync { wants_reply: true } => match sender.and_then(|id| self.members.get(&id)) {
                Some(m) if m.protocol_version() > 1 => self.send_digests(from, true, datagrams),
                _ => self.send_all_members(from, false, datagrams),
            },
            Body::Digests { wants_reply, view, roster } => {
                self.send_differences(from, &view, &roster, datagrams);
                if wants_reply && (self.derived.view, self.derived.roster) != (*view, *roster) {
                    self.send_digests(from, false, datagrams);
                } else if wants_reply {
                    // The digests are equal, which the sender should learn too.
                    self.send_plain(from, &Body::Ack { sequence: 0 }, datagrams);
                }
            }
            Body::Roster(entries) => {
                let wants_ack = self.merge_entries(entries, datagrams);
                self.refresh(now);
                if wants_ack {
                    // The member that makes changes one at a time waits to learn that this one is known.
                    self.send_plain(from, &Body::Ack { sequence: 0 }, datagrams);
                }
            }
            Body::Join => {
                if let Some(id) = sender {
                    self.handle_join(id, from, now, datagrams);
                }
            }
        }
        self.refresh(now);
    }

    /// Handles the answer to a probe or to a ping on behalf of another member.
    fn handle_ack(&mut self, sequence: u32, datagrams: &mut Datagrams) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
            probe.answered = true;
        }
        if let Some(index) = self.relays.iter().position(|e| e.sequence == sequence) {
            let relayed = self.relays.swap_remove(index);
            self.send(relayed.requester, Body::Ack { sequence: relayed.requester_sequence }, None, datagrams);
        }
    }

    /// Announces the departure to several members at once, as nobody will probe this one any more.
    pub fn leave(&mut self, datagrams: &mut Datagrams) {
        if self.left {
            return;
        }
        (self.left, self.stale) = (true, true);
        let sequence = self.sequence;
        self.refresh_own_presence();
        let entry = self.leave_roster();
        // Some random members, and the seeds: when many leave together, few are left to receive the
        // announcement.
        let mut recipients = self.pick_random(2 * INDIRECT_PROBES, |_, m| m.is_present());
        let seeds =
            self.members.iter().filter(|(_, m)| m.is_present() && self.config.seeds.contains(&m.address));
        let seeds: Vec<(MemberId, SocketAddr)> = seeds.map(|(id, m)| (id.clone(), m.address)).collect();
        recipients.extend(seeds);
        for (id, address) in recipients {
            self.send(address, Body::Ack { sequence }, None, datagrams);
            if self.members.get(&id).is_some_and(|m| m.protocol_version() > 1) {
                entry
                    .iter()
                    .for_each(|e| self.send_plain(address, &Body::Roster(vec![e.clone()]), datagrams));
            }
        }
    }

    /// Announces the departure once more, as the first datagrams may be lost.
    pub fn resend_leave(&mut self, datagrams: &mut Datagrams) {
        self.left = false;
        self.leave(datagrams);
    }

    /// Applies an update if it is newer than what is known.
    fn apply_update(&mut self, update: MemberUpdate, now: Ms) {
        if update.id == self.id {
            return self.refute(&update);
        }
        let Some(member) = self.members.get(&update.id) else {
            if !self.is_outdated(&update) {
                self.add_member(update, now);
            }
            return;
        };
        if member.state == MemberState::Left {
            return;
        }
        let same_incarnation = update.incarnation == member.incarnation;
        let adds_roster_status = same_incarnation && member.in_roster.is_none() && update.in_roster.is_some();
        let is_newer = update.incarnation > member.incarnation;
        let is_worse = same_incarnation && update.state > member.state;
        let is_confirmation = same_incarnation
            && (update.state, member.state) == (MemberState::Suspect, MemberState::Suspect)
            && member.suspected_by.len() <= MAX_CONFIRMATIONS
            && !member.suspected_by.contains(&update.by);
        let supersedes = is_newer || is_worse || update.state == MemberState::Left;
        self.stale |= adds_roster_status || is_newer || (supersedes && member.state != update.state);
        if supersedes && update.state == MemberState::Alive {
            self.roster_changed |= self.roster.update_address(&update.id.name, update.address);
        }
        if supersedes || is_confirmation {
            self.gossip.insert(update.id.clone(), UpdateKind::Other);
        }
        if adds_roster_status || supersedes || is_confirmation {
            let MemberUpdate { id, state, address, version, incarnation, by, in_roster } = update;
            self.members.change(&id, |member| {
                if adds_roster_status || is_newer {
                    member.in_roster = in_roster;
                }
                if supersedes {
                    if state == MemberState::Suspect {
                        member.suspected_by = BTreeSet::from([by.clone()]);
                    }
                    if member.state != state {
                        member.since = now;
                    }
                    member.incarnation = member.incarnation.max(incarnation);
                    (member.state, member.by) = (state, by);
                    (member.address, member.version) = (address, version);
                } else if is_confirmation {
                    // The confirmation is passed on, as it shortens the suspicion at other members.
                    member.suspected_by.insert(by.clone());
                    member.by = by;
                }
            });
        }
    }

    /// Whether the update is about a forgotten member and not newer than its last incarnation.
    fn is_outdated(&self, update: &MemberUpdate) -> bool {
        self.forgotten.incarnations.get(&update.id).is_some_and(|last| update.incarnation <= *last)
    }

    /// Adds a member that was unknown.
    fn add_member(&mut self, update: MemberUpdate, now: Ms) {
        let MemberUpdate { id, state, address, version, incarnation, by, in_roster } = update;
        let suspected_by = BTreeSet::from([by.clone()]);
        if state == MemberState::Alive {
            self.roster_changed |= self.roster.update_address(&id.name, address);
        }
        let (since, first_seen, summary, differs_since) = (now, now, None, None);
        let member = Member {
            address,
            version,
            incarnation,
            state,
            by,
            since,
            first_seen,
            suspected_by,
            summary,
            differs_since,
            in_roster,
        };
        self.members.insert(id.clone(), member);
        self.stale = true;
        // The member is probed in this turn, at a random position.
        let position = self.random_below(self.probe_order.len() as u64 + 1) as usize;
        self.probe_order.insert(position, id.clone());
        let kind = if state == MemberState::Alive { UpdateKind::Presence } else { UpdateKind::Other };
        self.gossip.insert(id, kind);
    }

    /// Refutes a suspicion about this member by raising its incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.state == MemberState::Alive || update.incarnation < self.incarnation || self.left {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }
}

/// Random distinct indices below `total`.
fn sample_indices(random: &mut Pcg32, count: usize, total: usize) -> Vec<usize> {
    // A partial Fisher-Yates shuffle that stores only the positions that were swapped, not the whole list of
    // indices.
    let mut moved: BTreeMap<usize, usize> = BTreeMap::new();
    let mut sampled = Vec::new();
    for last in (total.saturating_sub(count)..total).rev() {
        let index = random.random_range(0..last as u64 + 1) as usize;
        let moved_last = moved.get(&last).copied().unwrap_or(last);
        sampled.push(moved.insert(index, moved_last).unwrap_or(index));
    }
    sampled
}
