//! One member's part of the protocol.
mod joining;

use crate::digest::{self, Digests};
use crate::members::{life_digest, Member, Members, CONFIRMED};
use crate::roster::{EntryStatus, Roster, RosterEntry};
use crate::standing::{Standing, StandingTracker};
use crate::wire::{decode, encode, version_read, version_said};
use crate::wire::{
    Body, Impairment, MemberId, MemberState, MemberUpdate, Message, Said, Unfit, ENTRIES, PROTOCOL_VERSION,
};
use crate::words::{News, Words};
use crate::Ms;
pub use joining::StrikeError;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct Config {
    /// Datagrams of other fleets are dropped.
    pub fleet: u64,
    /// Another member is asked once in so long.
    pub interval: Ms,
    /// How long an answer may take before others are asked to try.
    pub timeout: Ms,
    /// How long one that left or failed is shown; it is remembered ten times as long.
    pub forget_after: Ms,
    /// Two lives of one name are shown as a conflict if both have lived for so long: an upgrade is over by then.
    pub conflict_after: Ms,
    pub seeds: Vec<SocketAddr>,
    /// The highest form of datagrams that it speaks, 1 to `VERSION`: held back while older programs may come back.
    pub protocol_version: u8,
}

impl Config {
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

/// Others that are asked to try where a member does not answer.
const HELPERS: usize = 3;
/// A suspicion lasts this many intervals times the digits of the fleet's size at least, and so many times that at most
/// while nobody confirms it.
const SUSPICION: f64 = 4.0;
const UNCONFIRMED: f64 = 6.0;
/// Each word is passed on so often, times the digits of the fleet's size in base two.
const PASSED_ON: f64 = 3.0;
/// Worst health; intervals and patience grow by it.
const WORST: u64 = 8;
/// In so many intervals all that is known is compared with one other, and one that is not heard of is looked for.
const COMPARE: u64 = 10;
/// Members that are remembered after they were forgotten.
const REMEMBERED: usize = 4_096;
/// Of those who are expected and not heard of, so many are asked in a round by one that hears nobody.
const LOOKED_FOR: usize = 3;
/// Of those of whom it is not known whether they are in the roster, so many are asked in a round: no sum tells of that.
const ASKED: usize = 8;
/// Suspects that are asked once more each time that an answer may take, so that one that lives hears of it.
const REMINDED: usize = 3;
/// One that is suspect for so many times the least of a suspicion, and whom nobody has given up yet, counts no more: in a
/// small part of a fleet few are there to confirm it.
const COUNTS: u64 = 2;
/// Where a member is heard to see the fleet otherwise, that is looked into after so many rounds again.
const LOOK_INTO: u64 = 5;

/// What is shown of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub id: MemberId,
    pub address: SocketAddr,
    pub version: String,
    pub state: MemberState,
    pub incarnation: u32,
    /// For how long it has been so.
    pub for_ms: Ms,
    pub by: String,
    /// Another life under its name is alive too, and has been for longer than an upgrade takes.
    pub conflicts: bool,
    /// The roster has its name.
    pub expected: bool,
    /// What it says of its own standing, and why it can't do its work; None where it has not said, or can't.
    pub standing: Option<Standing>,
    pub impairment: Option<Impairment>,
    /// For how long it has seen the fleet otherwise than this one.
    pub differs_ms: Option<Ms>,
}

/// Datagrams that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    pub too_long: u64,
    pub other_version: u64,
    pub other_fleet: u64,
    pub malformed: u64,
}

/// A member that is being asked.
struct Probe {
    id: MemberId,
    number: u32,
    at: Ms,
    asked_others: bool,
    /// Others that were asked, and how many of these have said that they hear nothing either.
    helpers: usize,
    nacks: usize,
    answered: bool,
}

/// A ping for another's sake.
struct Errand {
    number: u32,
    for_whom: SocketAddr,
    theirs: u32,
    until: Ms,
}

pub struct Node {
    config: Config,
    id: MemberId,
    address: SocketAddr,
    version: String,
    incarnation: u32,
    left: bool,
    members: Members,
    gone: Gone,
    words: Words,
    /// So many datagrams in a row told that their senders know all who are present as this one does.
    agreed: u32,
    /// In what order members are asked in this turn.
    turn: Vec<MemberId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    number: u32,
    next: Ms,
    rounds: u64,
    /// 0: answers come as they should; the higher the less its own word is worth.
    health: u64,
    random: Pcg32,
    pub dropped: DropCounts,
    roster: Roster,
    /// It is to be kept anew.
    roster_changed: bool,
    /// The roster has once been all that another had, or was made or kept here. Of words alone no standing follows: they
    /// may name a few of many.
    complete: bool,
    held: StandingTracker,
    impairment: Option<Impairment>,
    /// What follows from members and roster is to be worked out anew.
    stale: bool,
    seen: Seen,
    /// When the next suspect ceases to count by time alone.
    doubt_at: Option<Ms>,
    looked_into: u64,
    /// When suspects are next asked once more.
    remind_at: Ms,
    /// It is in the roster and knows all of it, as it says of itself.
    is_in: bool,
    /// Another process of its name goes on in its place.
    succeeded: bool,
    /// Those that ask to be taken in.
    joiners: BTreeMap<MemberId, SocketAddr>,
}

/// Those that were forgotten, with their last incarnations, the latest last.
#[derive(Default)]
struct Gone {
    order: VecDeque<(MemberId, u32, Ms)>,
    /// Of each the last.
    incarnations: BTreeMap<MemberId, u32>,
}

impl Gone {
    fn push(&mut self, id: MemberId, incarnation: u32, until: Ms) {
        self.incarnations.insert(id.clone(), incarnation);
        self.order.push_back((id, incarnation, until));
    }

    fn forget(&mut self, now: Ms) {
        while self.order.front().is_some_and(|g| now >= g.2) || self.order.len() > REMEMBERED {
            let Some((id, incarnation, _)) = self.order.pop_front() else { return };
            // It may have come back since, and gone again, with a higher one.
            if self.incarnations.get(&id) == Some(&incarnation) {
                self.incarnations.remove(&id);
            }
        }
    }
}

/// What followed from members and roster when it was last worked out.
struct Seen {
    view: Digests,
    roster: Digests,
    /// One sum over each of these.
    whole: (u32, u32),
    standing: Standing,
    /// Of those who are expected.
    present: usize,
    expected: usize,
}

pub type Out = Vec<(SocketAddr, Vec<u8>)>;

impl Node {
    pub fn new(config: Config, id: MemberId, address: SocketAddr, version: &str, seed: u64, now: Ms) -> Node {
        let version = if config.protocol_version > 1 { version_said(version) } else { version.to_string() };
        let mut node = Node {
            config,
            id,
            address,
            version,
            incarnation: 0,
            left: false,
            members: Members::default(),
            gone: Gone::default(),
            words: Words::default(),
            agreed: 0,
            turn: Vec::new(),
            probe: None,
            errands: Vec::new(),
            number: 0,
            next: now,
            rounds: 0,
            health: 0,
            random: Pcg32::seed_from_u64(seed),
            dropped: DropCounts::default(),
            roster: Roster::default(),
            roster_changed: false,
            complete: false,
            held: StandingTracker::new(now),
            impairment: None,
            stale: true,
            seen: Seen {
                view: Digests::default(),
                roster: Digests::default(),
                whole: (Digests::default().whole(), Digests::default().whole()),
                standing: Standing::Forming,
                present: 0,
                expected: 0,
            },
            doubt_at: None,
            looked_into: 0,
            remind_at: now,
            is_in: false,
            succeeded: false,
            joiners: BTreeMap::new(),
        };
        // Those that start together don't go on in step.
        node.next = now + node.below(node.config.interval.max(1));
        node.count_own();
        node
    }

    /// The same with a roster that was kept.
    pub fn with_roster(mut self, roster: Roster) -> Node {
        self.complete = roster.entries().next().is_some();
        self.is_in = self.complete && roster.expects(&self.id.name);
        self.roster = roster;
        self.roster.expected().for_each(|e| self.members.expect(&e.name, true));
        self.count_own();
        self
    }

    /// The own life counts, or does so no more.
    fn count_own(&mut self) {
        self.members.set_own(&self.id.name, !self.left, self.is_in && !self.left);
    }

    pub fn id(&self) -> &MemberId {
        &self.id
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the roster has changed since this was last asked.
    pub fn take_roster_changed(&mut self) -> bool {
        self.complete && std::mem::take(&mut self.roster_changed)
    }

    /// The standing that counts, and its past.
    pub fn standing(&self) -> &StandingTracker {
        &self.held
    }

    /// Whether it may take and keep a duty of the fleet: by its standing, its steadiness and its own work.
    pub fn may_act(&self, now: Ms) -> bool {
        let steady = !self.held.is_damped(now, self.config.interval);
        self.held.current.permissions().duties && steady && self.impairment.is_none()
    }

    /// A change of the roster that is made here.
    fn set_status(&mut self, name: &str, status: EntryStatus, address: SocketAddr) -> RosterEntry {
        self.members.expect(name, status == EntryStatus::Expected);
        self.roster.set(name, status, address)
    }

    /// How many of those who are expected are present, and how many are expected.
    pub fn counts(&self) -> (usize, usize) {
        (self.seen.present, self.seen.expected)
    }

    /// Those who are expected and do not count as present.
    pub fn missing(&self, now: Ms) -> impl Iterator<Item = &RosterEntry> {
        let counting = self.counting(now);
        self.roster.expected().filter(move |e| !counting.contains(e.name.as_str()))
    }

    /// Those who are expected and not heard of.
    fn unheard(&self) -> impl Iterator<Item = &RosterEntry> {
        self.members.unheard().filter_map(|name| self.roster.get(name))
    }

    /// What keeps it from its work though it answers.
    pub fn set_impairment(&mut self, impairment: Option<Impairment>) {
        self.impairment = impairment;
    }

    /// Another process goes on under its name: as this one leaves the name does not.
    pub fn set_replaced(&mut self) {
        self.succeeded = true;
    }

    pub fn impairment(&self) -> Option<Impairment> {
        self.impairment
    }

    /// The other lives under this name that are thought to be there.
    fn others_named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.named(name).map(|(_, m)| m).filter(|m| m.is_present())
    }

    /// A suspect ceases to count once it has been one for so long.
    fn doubt(&self) -> Ms {
        COUNTS * self.least_suspicion()
    }

    /// Names that are there and, by their own word, in the roster.
    fn counting(&self, now: Ms) -> BTreeSet<&str> {
        let doubt = self.doubt();
        let counts = |m: &Member| {
            let doubted = m.state == MemberState::Suspect && now.saturating_sub(m.since) >= doubt;
            m.is_present() && m.is_in == Some(true) && !doubted
        };
        let others = self.members.iter().filter(|(_, m)| counts(m)).map(|(id, _)| id.name.as_str());
        let own = (self.is_in && !self.left).then_some(self.id.name.as_str());
        others.chain(own).collect()
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn health_score(&self) -> u64 {
        self.health
    }

    /// Everybody that is known, itself first.
    pub fn members(&self, now: Ms) -> Vec<MemberView> {
        let own = MemberView {
            id: self.id.clone(),
            address: self.address,
            version: version_read(&self.version).0.to_string(),
            state: if self.left { MemberState::Left } else { MemberState::Alive },
            incarnation: self.incarnation,
            for_ms: 0,
            by: self.id.name.clone(),
            conflicts: self.conflicts(&self.id, now),
            expected: self.roster.expects(&self.id.name),
            standing: Some(self.held.current),
            impairment: self.impairment,
            differs_ms: None,
        };
        let others = self.members.iter().map(|(id, m)| MemberView {
            id: id.clone(),
            address: m.address,
            version: version_read(&m.version).0.to_string(),
            state: m.state,
            incarnation: m.incarnation,
            for_ms: now.saturating_sub(m.since),
            by: m.by.clone(),
            conflicts: self.conflicts(id, now),
            expected: self.roster.expects(&id.name),
            standing: m.heard.filter(|_| m.is_present()).map(|h| h.standing),
            impairment: m.heard.filter(|_| m.is_present()).and_then(|h| h.impairment),
            differs_ms: m.differs.filter(|_| m.is_present()).map(|since| now.saturating_sub(since)),
        });
        std::iter::once(own).chain(others).collect()
    }

    pub fn state_of(&self, id: &MemberId) -> Option<MemberState> {
        if *id == self.id {
            return Some(if self.left { MemberState::Left } else { MemberState::Alive });
        }
        self.members.get(id).map(|m| m.state)
    }

    /// Another process has its name too, and has had it for longer than an upgrade takes.
    pub fn has_name_conflict(&self, now: Ms) -> bool {
        self.conflicts(&self.id, now)
    }

    fn conflicts(&self, id: &MemberId, now: Ms) -> bool {
        let lasting = |other: &MemberId| match self.members.get(other) {
            Some(m) => m.is_present() && now.saturating_sub(m.known) >= self.config.conflict_after,
            None => *other == self.id && !self.left,
        };
        let own = std::iter::once(&self.id).filter(|own| own.name == id.name);
        let lives = || self.members.named(&id.name).map(|(other, _)| other).chain(own.clone());
        lasting(id) && lives().any(|other| other != id && lasting(other))
    }

    /// When `tick` must be called at the latest.
    pub fn next_deadline(&self) -> Ms {
        let probe = self.probe.as_ref().filter(|p| !p.asked_others && !p.answered);
        let early = probe.map_or(Ms::MAX, |p| p.at + self.patience());
        let errand = self.errands.iter().map(|e| e.until).min().unwrap_or(Ms::MAX);
        let ends = self.members.first_suspects().map(|(confirmed, since)| since + self.suspicion(confirmed));
        let over = ends.min().map(|end| end.min(self.remind_at));
        self.next.min(early).min(errand).min(over.unwrap_or(Ms::MAX))
    }

    fn below(&mut self, n: u64) -> u64 {
        self.random.random_range(0..n.max(1))
    }

    /// How often a word is passed on.
    fn passed_on(&self) -> u32 {
        (PASSED_ON * ((self.members.present() + 2) as f64).log2()).ceil() as u32
    }

    fn patience(&self) -> Ms {
        self.config.timeout * (1 + self.health)
    }

    fn interval(&self) -> Ms {
        self.config.interval * (1 + self.health)
    }

    fn least_suspicion(&self) -> Ms {
        let size = (self.members.present() + 1) as f64;
        (SUSPICION * size.log10().max(1.0) * self.config.interval as f64) as Ms
    }

    /// How long a member may be suspect: the more have confirmed it, the shorter.
    fn suspicion(&self, confirmed: usize) -> Ms {
        let least = self.least_suspicion() as f64;
        let others = self.members.present().saturating_sub(1).min(CONFIRMED);
        if others == 0 {
            return least as Ms;
        }
        let said = confirmed.min(others);
        let part = ((said + 1) as f64).ln() / ((others + 1) as f64).ln();
        (least * (UNCONFIRMED - (UNCONFIRMED - 1.0) * part)) as Ms
    }

    fn own(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.id.clone(),
            state: if self.left { MemberState::Left } else { MemberState::Alive },
            address: self.address,
            version: self.version.clone(),
            incarnation: self.incarnation,
            by: self.id.name.clone(),
            is_in: Some(self.is_in),
        }
    }

    fn update(&self, id: &MemberId) -> Option<MemberUpdate> {
        let m = self.members.get(id)?;
        let (state, address, incarnation) = (m.state, m.address, m.incarnation);
        Some(MemberUpdate {
            id: id.clone(),
            state,
            address,
            incarnation,
            version: m.version.clone(),
            by: m.by.clone(),
            is_in: m.is_in,
        })
    }

    /// What it makes of the fleet, for one who understands that.
    fn said(&self, to: SocketAddr) -> Option<Said> {
        let (view, roster) = self.seen.whole;
        let (standing, expects, latest) =
            (self.held.current, self.seen.expected > 0, self.roster.latest_epoch());
        let (complete, impairment) = (self.complete, self.impairment);
        let said = Said { view, roster, latest, standing, expects, complete, impairment };
        (self.config.protocol_version > 1 && self.members.speaks_second_form(to)).then_some(said)
    }

    fn write<U: Borrow<MemberUpdate>>(
        &self,
        to: SocketAddr,
        body: &Body,
        updates: impl Iterator<Item = U>,
        out: &mut Out,
    ) -> usize {
        let (bytes, count) = encode(self.config.fleet, self.said(to).as_ref(), body, updates);
        out.push((to, bytes));
        count
    }

    /// A datagram with nothing beside but its own word of itself.
    fn say(&self, to: SocketAddr, body: &Body, out: &mut Out) {
        self.write(to, body, std::iter::once(self.own()), out);
    }

    /// A datagram with the words that were passed on least; one about its receiver always goes along.
    fn send(&mut self, to: SocketAddr, body: Body, about: Option<&MemberId>, out: &mut Out) {
        let told: Vec<MemberId> = {
            let others = self.words.in_order().filter(|id| Some(*id) != about);
            let order = || about.into_iter().chain(others.clone());
            let updates = std::iter::once(self.own()).chain(order().filter_map(|id| self.update(id)));
            let count = self.write(to, &body, updates, out);
            let known = order().filter(|id| self.members.get(id).is_some());
            known.take(count.saturating_sub(1)).cloned().collect()
        };
        let most = self.passed_on();
        told.iter().for_each(|id| self.words.pass_on(id, most));
    }

    /// All that is known, in as many datagrams as it takes; only the first asks for the same.
    fn sync(&mut self, to: SocketAddr, wants: bool, out: &mut Out) {
        self.tell(to, wants, |_| true, out);
    }

    /// What is known of these members, and at least its own word.
    fn tell(&self, to: SocketAddr, wants: bool, which: impl Fn(&MemberId) -> bool, out: &mut Out) {
        let own = self.own();
        let all: Vec<MemberUpdate> =
            self.members.iter().filter(|(id, _)| which(id)).filter_map(|(id, _)| self.update(id)).collect();
        let (mut rest, mut wants) = (&all[..], wants);
        loop {
            let part = std::iter::once(&own).chain(rest);
            let count = self.write(to, &Body::Sync { wants }, part, out);
            rest = &rest[count.saturating_sub(1).min(rest.len())..];
            wants = false;
            if rest.is_empty() {
                return;
            }
        }
    }

    /// Asks one who may not know of it for all that it knows.
    fn hail(&self, to: SocketAddr, out: &mut Out) {
        self.say(to, &Body::Sync { wants: true }, out);
    }

    /// Sums of what is known, to find out what is known otherwise.
    fn ranges(&self, to: SocketAddr, wants: bool, out: &mut Out) {
        let (view, roster) = (Box::new(self.seen.view), Box::new(self.seen.roster));
        self.say(to, &Body::Ranges { wants, view, roster }, out);
    }

    /// Tells what another, by its sums, knows otherwise.
    fn tell_apart(&self, to: SocketAddr, view: &Digests, roster: &Digests, out: &mut Out) {
        let other = |mine: &Digests, theirs: &Digests| {
            let (mine, theirs) = (*mine, *theirs);
            move |name: &str| mine.differs(&theirs, digest::range(name))
        };
        if self.seen.view != *view {
            let differs = other(&self.seen.view, view);
            self.tell(to, false, |id| differs(&id.name), out);
        }
        let differs = other(&self.seen.roster, roster);
        let entries: Vec<RosterEntry> = self.roster.entries().filter(|e| differs(&e.name)).cloned().collect();
        for part in entries.chunks(ENTRIES) {
            self.say(to, &Body::Roster(part.to_vec()), out);
        }
    }

    /// Some of those that fit, by chance.
    fn pick(&mut self, n: usize, fits: impl Fn(&MemberId, &Member) -> bool) -> Vec<(MemberId, SocketAddr)> {
        let fit = self.members.iter().filter(|(id, m)| fits(id, m));
        let all: Vec<(&MemberId, SocketAddr)> = fit.map(|(id, m)| (id, m.address)).collect();
        let picked = draw(&mut self.random, n, all.len());
        picked.into_iter().map(|i| (all[i].0.clone(), all[i].1)).collect()
    }

    /// Some of a state by chance, but this one.
    fn pick_of(
        &mut self,
        n: usize,
        state: MemberState,
        but: Option<&MemberId>,
    ) -> Vec<(MemberId, SocketAddr)> {
        let all = self.members.of_state(state);
        let skipped = but.and_then(|id| all.binary_search(id).ok());
        let picked = draw(&mut self.random, n, all.len() - usize::from(skipped.is_some()));
        let id = |i: usize| &all[i + usize::from(skipped.is_some_and(|s| i >= s))];
        let address = |id: &MemberId| self.members.get(id).map(|m| (id.clone(), m.address));
        picked.into_iter().filter_map(|i| address(id(i))).collect()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Ms, out: &mut Out) {
        self.errands_over(now, out);
        self.suspicions_over(now);
        self.stale |= self.doubt_at.is_some_and(|at| now >= at);
        self.look(now);
        if self.left {
            self.next = now + self.config.interval;
            return;
        }
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.asked_others && !p.answered) {
            if now >= probe.at + self.patience() {
                self.ask_others(out);
            }
        }
        if now >= self.remind_at {
            self.remind_at = now + self.config.timeout;
            self.remind(out);
        }
        if now < self.next {
            return;
        }
        self.probe_over(now);
        self.forget(now);
        // A member that was stopped for long goes on from here, not through all that it missed.
        self.next = now + self.interval();
        self.rounds += 1;
        self.ask_next(now, out);
        self.compare(out);
        self.join(out);
        self.ask_untold(out);
        self.admit_next(now, out);
        self.poll(out);
        self.look(now);
    }

    /// Works out what follows from members and roster, where they have changed, and how it stands by that.
    fn look(&mut self, now: Ms) {
        if std::mem::take(&mut self.stale) {
            let mut view = self.members.view();
            if !self.left {
                view.add(&self.id.name, life_digest(&self.id));
            }
            let is_in = self.complete && self.roster.expects(&self.id.name);
            if is_in != self.is_in {
                // News that others must hear.
                (self.is_in, self.incarnation) = (is_in, self.incarnation.saturating_add(1));
            }
            self.count_own();
            self.doubt_until(now);
            self.doubt_at = self.members.next_doubt().map(|since| since + self.doubt());
            let (present, expected) = (self.members.counting(), self.roster.count());
            let standing = Standing::of(is_in, present, expected);
            let roster = self.roster.digests();
            let whole = (view.whole(), roster.whole());
            if whole != self.seen.whole {
                self.agreed = 0;
            }
            self.seen = Seen { view, roster, whole, standing, present, expected };
        }
        let behind = self.members.latest() > Some(self.roster.latest_epoch());
        self.held.observe(self.seen.standing, behind, now, self.config.interval);
    }

    /// By now those that have been suspect for long count no more.
    fn doubt_until(&mut self, now: Ms) {
        self.members.doubt(now.checked_sub(self.doubt()));
    }

    /// Who is suspect is asked far more often than others: if it lives it hears of it, and says so.
    fn remind(&mut self, out: &mut Out) {
        for (id, at) in self.pick_of(REMINDED, MemberState::Suspect, None) {
            self.number = self.number.wrapping_add(1);
            // What is passed on goes to those that are heard: it would be used up on one that is dead.
            let (body, own) = (Body::Ping { number: self.number, to: id.clone() }, self.own());
            let about = self.update(&id);
            self.write(at, &body, std::iter::once(own).chain(about), out);
        }
    }

    fn ask_untold(&mut self, out: &mut Out) {
        let untold = self.members.untold();
        let drawn = draw(&mut self.random, ASKED, untold.len());
        let asked: Vec<MemberId> = drawn.into_iter().filter_map(|i| untold.iter().nth(i).cloned()).collect();
        for id in asked {
            let Some(at) = self.members.get(&id).map(|m| m.address) else { continue };
            self.number = self.number.wrapping_add(1);
            self.say(at, &Body::Ping { number: self.number, to: id }, out);
        }
    }

    fn ask_next(&mut self, now: Ms, out: &mut Out) {
        let (id, at) = loop {
            if self.turn.is_empty() {
                self.turn =
                    self.members.iter().filter(|(_, m)| m.is_present()).map(|(i, _)| i.clone()).collect();
                for i in (1..self.turn.len()).rev() {
                    let j = self.below(i as u64 + 1) as usize;
                    self.turn.swap(i, j);
                }
            }
            let Some(id) = self.turn.pop() else { return };
            if let Some(member) = self.members.get(&id).filter(|m| m.is_present()) {
                break (id, member.address);
            }
        };
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        self.probe = Some(Probe {
            id: id.clone(),
            number,
            at: now,
            asked_others: false,
            helpers: 0,
            nacks: 0,
            answered: false,
        });
        // One that is suspect hears of it first from whoever asks.
        self.send(at, Body::Ping { number, to: id.clone() }, Some(&id), out);
    }

    fn ask_others(&mut self, out: &mut Out) {
        let Some((id, number)) = self.probe.as_mut().map(|p| {
            p.asked_others = true;
            (p.id.clone(), p.number)
        }) else {
            return;
        };
        let Some(at) = self.members.get(&id).map(|m| m.address) else { return };
        let helpers = self.pick_of(HELPERS, MemberState::Alive, Some(&id));
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len();
        }
        for (_, helper) in helpers {
            self.send(helper, Body::Ask { number, of: id.clone(), at }, None, out);
        }
    }

    /// The interval of a probe is over.
    fn probe_over(&mut self, now: Ms) {
        let Some(probe) = self.probe.take() else { return };
        if probe.answered {
            self.health = self.health.saturating_sub(1);
            return;
        }
        // Helpers that say nothing at all make it likely that the fault is here.
        let silent = probe.helpers.saturating_sub(probe.nacks) as u64;
        self.health = (self.health + if probe.helpers > 0 { silent } else { 1 }).min(WORST);
        if let Some(update) = self.update(&probe.id) {
            let update = MemberUpdate { state: MemberState::Suspect, by: self.id.name.clone(), ..update };
            self.apply(update, now);
        }
    }

    fn errands_over(&mut self, now: Ms, out: &mut Out) {
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.errands).into_iter().partition(|e| now >= e.until);
        self.errands = rest;
        for errand in over {
            self.send(errand.for_whom, Body::Nack { number: errand.theirs }, None, out);
        }
    }

    fn suspicions_over(&mut self, now: Ms) {
        let over = self.members.suspects_over(now, |confirmed| self.suspicion(confirmed));
        for id in over {
            if let Some(update) = self.update(&id) {
                let by = self.id.name.clone();
                self.apply(MemberUpdate { state: MemberState::Failed, by, ..update }, now);
            }
        }
    }

    fn forget(&mut self, now: Ms) {
        let ended =
            now.checked_sub(self.config.forget_after).map_or(Vec::new(), |until| self.members.ended(until));
        for id in ended {
            if let Some(m) = self.members.remove(&id) {
                self.stale = true;
                self.words.remove(&id);
                self.gone.push(id, m.incarnation, now + 10 * self.config.forget_after);
            }
        }
        self.gone.forget(now);
    }

    /// Now and then what is known is compared with one other, and one that is not heard of is looked for: two parts of a
    /// fleet that could not hear each other find together by that. A start asks its seeds, and those who are expected,
    /// until it is heard.
    fn compare(&mut self, out: &mut Out) {
        if self.members.present() == 0 {
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|s| *s != self.address).collect();
            seeds.into_iter().for_each(|seed| self.hail(seed, out));
            self.look_for(LOOKED_FOR, out);
        }
        if !self.rounds.is_multiple_of(COMPARE) {
            return;
        }
        for (id, at) in self.pick_of(1, MemberState::Alive, None) {
            match self.members.get(&id).map(|m| (m.protocol_version(), m.heard)) {
                Some((2.., heard)) if self.agrees(heard) => {}
                Some((2.., _)) => self.ranges(at, true, out),
                _ => self.sync(at, true, out),
            }
        }
        for (id, at) in self.pick_of(1, MemberState::Failed, None) {
            match self.members.get(&id).map(Member::protocol_version) {
                Some(2..) => self.ranges(at, true, out),
                _ => self.hail(at, out),
            }
        }
        let is_lost = |seed: &SocketAddr| *seed != self.address && !self.members.is_present_at(*seed);
        let lost: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(is_lost).collect();
        if !lost.is_empty() {
            let at = lost[self.below(lost.len() as u64) as usize];
            self.hail(at, out);
        }
        self.look_for(1, out);
    }

    /// Hails some of those who are expected and not heard of, where they were last.
    fn look_for(&mut self, count: usize, out: &mut Out) {
        let mut all: Vec<SocketAddr> =
            self.unheard().map(|e| e.address).filter(|at| *at != self.address).collect();
        for _ in 0..count.min(all.len()) {
            let at = all.swap_remove(self.below(all.len() as u64) as usize);
            self.hail(at, out);
        }
    }

    /// Whether another, by its own word, sees the fleet as this one does.
    fn agrees(&self, heard: Option<Said>) -> bool {
        heard.is_some_and(|h| (h.view, h.roster) == self.seen.whole)
    }

    /// Another's word on what it makes of the fleet. Where that is something else it is looked into, now and then.
    fn hear(&mut self, id: &MemberId, said: Said, from: SocketAddr, now: Ms, out: &mut Out) {
        let agrees = self.agrees(Some(said));
        self.members.hear(id, said, agrees, now);
        self.heard_agree(agrees && said.standing == Standing::Whole);
        let Some(is_present) = self.members.get(id).map(Member::is_present) else { return };
        if said.complete && !self.complete && said.roster == self.seen.whole.1 {
            (self.complete, self.stale) = (true, true);
        }
        if !agrees && is_present && self.rounds >= self.looked_into + LOOK_INTO {
            self.looked_into = self.rounds;
            self.ranges(from, true, out);
        }
    }

    /// Of many that start at once each has a word on each to pass on, and most of these tell what is known. Who is whole by
    /// the same sums knows of everybody, and that they are in: as many of those in a row as a word is told to stand for
    /// the telling.
    fn heard_agree(&mut self, knows_all: bool) {
        self.agreed = if knows_all { self.agreed + 1 } else { 0 };
        if self.agreed >= self.passed_on() {
            self.agreed = 0;
            self.words.forget_presence();
        }
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Ms, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        let Message { said, body, updates } = match decode(self.config.fleet, bytes) {
            Ok(message) => message,
            Err(unfit) => {
                let count = match unfit {
                    Unfit::TooLong => &mut self.dropped.too_long,
                    Unfit::OtherVersion => &mut self.dropped.other_version,
                    Unfit::OtherFleet => &mut self.dropped.other_fleet,
                    Unfit::Malformed => &mut self.dropped.malformed,
                };
                *count += 1;
                return;
            }
        };
        let sender = updates.first().map(|u| u.id.clone());
        if let Some(own) = updates.first().filter(|u| u.state == MemberState::Alive && self.is_late(u)) {
            // It lives, and may not know that it was given up: it must say so louder to be heard again.
            let by = self.id.name.clone();
            let word = MemberUpdate { state: MemberState::Failed, by, ..own.clone() };
            let updates = [self.own(), word];
            self.write(from, &Body::Sync { wants: false }, updates.iter(), out);
        }
        for update in updates {
            self.apply(update, now);
        }
        if self.left {
            return;
        }
        self.look(now);
        if let (Some(id), Some(said)) = (&sender, said) {
            self.hear(id, said, from, now, out);
            self.admit_next(now, out);
        }
        match body {
            Body::Ping { number, to } => {
                // A later process may have the address: it is not the one that is asked for.
                if to == self.id {
                    self.send(from, Body::Ack { number }, sender.as_ref(), out);
                }
            }
            Body::Ack { number } => self.acked(number, out),
            Body::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.nacks += 1;
                }
            }
            Body::Ask { number, of, at } => {
                self.number = self.number.wrapping_add(1);
                let (own, until) = (self.number, now + self.config.timeout);
                self.errands.push(Errand { number: own, for_whom: from, theirs: number, until });
                self.send(at, Body::Ping { number: own, to: of.clone() }, Some(&of), out);
            }
            Body::Sync { wants: false } => {}
            // One that speaks the second form tells what it lacks.
            Body::Sync { wants: true } => match sender.and_then(|id| self.members.get(&id)) {
                Some(m) if m.protocol_version() > 1 => self.ranges(from, true, out),
                _ => self.sync(from, false, out),
            },
            Body::Ranges { wants, view, roster } => {
                self.tell_apart(from, &view, &roster, out);
                if wants && (self.seen.view, self.seen.roster) != (*view, *roster) {
                    self.ranges(from, false, out);
                } else if wants {
                    // The same is known here: that is news too.
                    self.say(from, &Body::Ack { number: 0 }, out);
                }
            }
            Body::Roster(entries) => {
                let asks = self.merge(entries, out);
                self.look(now);
                if asks {
                    // Whoever makes changes one by one waits to hear that this one is known.
                    self.say(from, &Body::Ack { number: 0 }, out);
                }
            }
            Body::Join => {
                if let Some(id) = sender {
                    self.asked_in(id, from, now, out);
                }
            }
        }
        self.look(now);
    }

    fn acked(&mut self, number: u32, out: &mut Out) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
            probe.answered = true;
        }
        if let Some(at) = self.errands.iter().position(|e| e.number == number) {
            let errand = self.errands.swap_remove(at);
            self.send(errand.for_whom, Body::Ack { number: errand.theirs }, None, out);
        }
    }

    /// It goes, and says so itself: to several at once, as nobody will ask it any more.
    pub fn leave(&mut self, out: &mut Out) {
        if self.left {
            return;
        }
        (self.left, self.stale) = (true, true);
        let number = self.number;
        self.count_own();
        let entry = self.leave_roster();
        // Some, and the seeds: of many that leave together few are there to hear it.
        let mut told = self.pick(2 * HELPERS, |_, m| m.is_present());
        let seeds =
            self.members.iter().filter(|(_, m)| m.is_present() && self.config.seeds.contains(&m.address));
        let seeds: Vec<(MemberId, SocketAddr)> = seeds.map(|(id, m)| (id.clone(), m.address)).collect();
        told.extend(seeds);
        for (id, at) in told {
            self.send(at, Body::Ack { number }, None, out);
            if self.members.get(&id).is_some_and(|m| m.protocol_version() > 1) {
                entry.iter().for_each(|e| self.say(at, &Body::Roster(vec![e.clone()]), out));
            }
        }
    }

    /// Says once more that it has gone: the first word may be lost.
    pub fn resend_leave(&mut self, out: &mut Out) {
        self.left = false;
        self.leave(out);
    }

    fn apply(&mut self, update: MemberUpdate, now: Ms) {
        if update.id == self.id {
            return self.hear_of_itself(&update);
        }
        let Some(member) = self.members.get(&update.id) else {
            if !self.is_late(&update) {
                self.enter(update, now);
            }
            return;
        };
        if member.state == MemberState::Left {
            return;
        }
        let is_same = update.incarnation == member.incarnation;
        let tells_is_in = is_same && member.is_in.is_none() && update.is_in.is_some();
        let newer = update.incarnation > member.incarnation;
        let worse = is_same && update.state > member.state;
        let confirms = is_same
            && (update.state, member.state) == (MemberState::Suspect, MemberState::Suspect)
            && member.said.len() <= CONFIRMED
            && !member.said.contains(&update.by);
        let is_news = newer || worse || update.state == MemberState::Left;
        self.stale |= tells_is_in || newer || (is_news && member.state != update.state);
        if is_news && update.state == MemberState::Alive {
            self.roster_changed |= self.roster.update_address(&update.id.name, update.address);
        }
        if is_news || confirms {
            self.words.insert(update.id.clone(), News::Other);
        }
        if tells_is_in || is_news || confirms {
            let MemberUpdate { id, state, address, version, incarnation, by, is_in } = update;
            self.members.change(&id, |member| {
                if tells_is_in || newer {
                    member.is_in = is_in;
                }
                if is_news {
                    if state == MemberState::Suspect {
                        member.said = BTreeSet::from([by.clone()]);
                    }
                    if member.state != state {
                        member.since = now;
                    }
                    member.incarnation = member.incarnation.max(incarnation);
                    (member.state, member.by) = (state, by);
                    (member.address, member.version) = (address, version);
                } else if confirms {
                    // Who else says so is passed on, as it shortens the suspicion.
                    member.said.insert(by.clone());
                    member.by = by;
                }
            });
        }
    }

    /// What was forgotten is not brought back by a late word.
    fn is_late(&self, update: &MemberUpdate) -> bool {
        self.gone.incarnations.get(&update.id).is_some_and(|last| update.incarnation <= *last)
    }

    fn enter(&mut self, update: MemberUpdate, now: Ms) {
        let MemberUpdate { id, state, address, version, incarnation, by, is_in } = update;
        let said = BTreeSet::from([by.clone()]);
        if state == MemberState::Alive {
            self.roster_changed |= self.roster.update_address(&id.name, address);
        }
        let (since, known, heard, differs) = (now, now, None, None);
        let new =
            Member { address, version, incarnation, state, by, since, known, said, heard, differs, is_in };
        self.members.insert(id.clone(), new);
        self.stale = true;
        // Asked for in this turn, at a place of its own.
        let at = self.below(self.turn.len() as u64 + 1) as usize;
        self.turn.insert(at, id.clone());
        let news = if state == MemberState::Alive { News::Presence } else { News::Other };
        self.words.insert(id, news);
    }

    /// Others doubt it: it says that it lives, louder than they.
    fn hear_of_itself(&mut self, update: &MemberUpdate) {
        if update.state == MemberState::Alive || update.incarnation < self.incarnation || self.left {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        self.health = (self.health + 1).min(WORST);
    }
}

/// Indices of some of so many, by chance.
fn draw(random: &mut Pcg32, n: usize, of: usize) -> Vec<usize> {
    // As if each that is drawn were taken out of a list and the last put in its place, without making the list.
    let mut moved: BTreeMap<usize, usize> = BTreeMap::new();
    let mut drawn = Vec::new();
    for rest in (of.saturating_sub(n)..of).rev() {
        let at = random.random_range(0..rest as u64 + 1) as usize;
        let last = moved.get(&rest).copied().unwrap_or(rest);
        drawn.push(moved.insert(at, last).unwrap_or(at));
    }
    drawn
}
