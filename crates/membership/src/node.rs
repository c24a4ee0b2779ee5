//! One member's part of the protocol.
use crate::wire::{decode, encode, Body, Id, Message, State, Unfit, Update};
use crate::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
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
    pub forget: Ms,
    /// Two lives of one name are shown as a conflict if both have lived for so long: an upgrade is over by then.
    pub overlap: Ms,
    pub seeds: Vec<SocketAddr>,
}

impl Config {
    pub fn new(fleet: u64, seeds: Vec<SocketAddr>) -> Config {
        Config { fleet, interval: 1_000, timeout: 300, forget: 60_000, overlap: 30_000, seeds }
    }
}

/// Others that are asked to try where a member does not answer.
const HELPERS: usize = 3;
/// Sayings of a suspicion by others that shorten it to its least.
const CONFIRMED: usize = 3;
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

/// What is known of a member.
#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    version: String,
    incarnation: u32,
    state: State,
    by: String,
    since: Ms,
    /// When it was first heard of.
    known: Ms,
    /// While it is suspect: who said so.
    said: BTreeSet<String>,
}

/// What is shown of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub id: Id,
    pub address: SocketAddr,
    pub version: String,
    pub state: State,
    pub incarnation: u32,
    /// For how long it has been so.
    pub for_ms: Ms,
    pub by: String,
    /// Another life under its name is alive too, and has been for longer than an upgrade takes.
    pub conflicts: bool,
}

/// Datagrams that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    pub too_long: u64,
    pub other_version: u64,
    pub other_fleet: u64,
    pub malformed: u64,
}

/// A member that is being asked.
struct Probe {
    id: Id,
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
    id: Id,
    address: SocketAddr,
    version: String,
    incarnation: u32,
    left: bool,
    members: BTreeMap<Id, Member>,
    /// Those that were forgotten, with their last incarnations.
    gone: VecDeque<(Id, u32, Ms)>,
    /// Words to pass on, with how often each was.
    words: BTreeMap<Id, u32>,
    /// In what order members are asked in this turn.
    turn: Vec<Id>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    number: u32,
    next: Ms,
    rounds: u64,
    /// 0: answers come as they should; the higher the less its own word is worth.
    health: u64,
    random: Pcg32,
    pub dropped: Dropped,
}

pub type Out = Vec<(SocketAddr, Vec<u8>)>;

impl Node {
    pub fn new(config: Config, id: Id, address: SocketAddr, version: &str, seed: u64, now: Ms) -> Node {
        let mut node = Node {
            config,
            id,
            address,
            version: version.to_string(),
            incarnation: 0,
            left: false,
            members: BTreeMap::new(),
            gone: VecDeque::new(),
            words: BTreeMap::new(),
            turn: Vec::new(),
            probe: None,
            errands: Vec::new(),
            number: 0,
            next: now,
            rounds: 0,
            health: 0,
            random: Pcg32::seed_from_u64(seed),
            dropped: Dropped::default(),
        };
        // Those that start together don't go on in step.
        node.next = now + node.below(node.config.interval.max(1));
        node
    }

    pub fn id(&self) -> &Id {
        &self.id
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn health(&self) -> u64 {
        self.health
    }

    /// Everybody that is known, itself first.
    pub fn members(&self, now: Ms) -> Vec<View> {
        let own = View {
            id: self.id.clone(),
            address: self.address,
            version: self.version.clone(),
            state: if self.left { State::Left } else { State::Alive },
            incarnation: self.incarnation,
            for_ms: 0,
            by: self.id.name.clone(),
            conflicts: self.conflicts(&self.id, now),
        };
        let others = self.members.iter().map(|(id, m)| View {
            id: id.clone(),
            address: m.address,
            version: m.version.clone(),
            state: m.state,
            incarnation: m.incarnation,
            for_ms: now.saturating_sub(m.since),
            by: m.by.clone(),
            conflicts: self.conflicts(id, now),
        });
        std::iter::once(own).chain(others).collect()
    }

    pub fn state_of(&self, id: &Id) -> Option<State> {
        if *id == self.id {
            return Some(if self.left { State::Left } else { State::Alive });
        }
        self.members.get(id).map(|m| m.state)
    }

    fn conflicts(&self, id: &Id, now: Ms) -> bool {
        let lasting = |other: &Id| match self.members.get(other) {
            Some(m) => m.state <= State::Suspect && now.saturating_sub(m.known) >= self.config.overlap,
            None => *other == self.id && !self.left,
        };
        let lives = || self.members.keys().chain([&self.id]).filter(|other| other.name == id.name);
        lasting(id) && lives().any(|other| other != id && lasting(other))
    }

    /// When `tick` must be called at the latest.
    pub fn wake(&self) -> Ms {
        let probe = self.probe.as_ref().filter(|p| !p.asked_others && !p.answered);
        let early = probe.map_or(Ms::MAX, |p| p.at + self.patience());
        let errand = self.errands.iter().map(|e| e.until).min().unwrap_or(Ms::MAX);
        let suspects = self.members.values().filter(|m| m.state == State::Suspect);
        let over = suspects.map(|m| m.since + self.suspicion(m)).min().unwrap_or(Ms::MAX);
        self.next.min(early).min(errand).min(over)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.random.random_range(0..n.max(1))
    }

    /// Members but itself that are thought to live.
    fn present(&self) -> usize {
        self.members.values().filter(|m| m.state <= State::Suspect).count()
    }

    fn patience(&self) -> Ms {
        self.config.timeout * (1 + self.health)
    }

    fn interval(&self) -> Ms {
        self.config.interval * (1 + self.health)
    }

    /// How long a member may be suspect: the more say so, the shorter.
    fn suspicion(&self, member: &Member) -> Ms {
        let size = (self.present() + 1) as f64;
        let least = SUSPICION * size.log10().max(1.0) * self.config.interval as f64;
        let others = self.present().saturating_sub(1).min(CONFIRMED);
        if others == 0 {
            return least as Ms;
        }
        // The first to say so is no confirmation.
        let said = member.said.len().saturating_sub(1).min(others);
        let part = ((said + 1) as f64).ln() / ((others + 1) as f64).ln();
        (least * (UNCONFIRMED - (UNCONFIRMED - 1.0) * part)) as Ms
    }

    fn own(&self) -> Update {
        Update {
            id: self.id.clone(),
            state: if self.left { State::Left } else { State::Alive },
            address: self.address,
            version: self.version.clone(),
            incarnation: self.incarnation,
            by: self.id.name.clone(),
        }
    }

    fn update(&self, id: &Id) -> Option<Update> {
        let m = self.members.get(id)?;
        let (state, address, incarnation) = (m.state, m.address, m.incarnation);
        Some(Update {
            id: id.clone(),
            state,
            address,
            incarnation,
            version: m.version.clone(),
            by: m.by.clone(),
        })
    }

    /// A datagram with the words that were passed on least; one about its receiver always goes along.
    fn send(&mut self, to: SocketAddr, body: Body, about: Option<&Id>, out: &mut Out) {
        let mut ids: Vec<(u32, Id)> = self.words.iter().map(|(id, &n)| (n, id.clone())).collect();
        ids.sort();
        let about: Vec<Id> = about.into_iter().cloned().collect();
        let order: Vec<Id> = about
            .iter()
            .cloned()
            .chain(ids.into_iter().map(|(_, id)| id).filter(|id| !about.contains(id)))
            .collect();
        let updates: Vec<Update> =
            std::iter::once(self.own()).chain(order.iter().filter_map(|id| self.update(id))).collect();
        let (bytes, count) = encode(self.config.fleet, &body, updates.iter());
        let most = (PASSED_ON * ((self.present() + 2) as f64).log2()).ceil() as u32;
        for update in updates.iter().take(count).skip(1) {
            if let Some(passed) = self.words.get_mut(&update.id) {
                *passed += 1;
                if *passed >= most {
                    self.words.remove(&update.id);
                }
            }
        }
        out.push((to, bytes));
    }

    /// All that is known, in as many datagrams as it takes; only the first asks for the same.
    fn sync(&mut self, to: SocketAddr, wants: bool, out: &mut Out) {
        let own = self.own();
        let all: Vec<Update> = self.members.keys().filter_map(|id| self.update(id)).collect();
        let (mut rest, mut wants) = (&all[..], wants);
        loop {
            let part = std::iter::once(&own).chain(rest);
            let (bytes, count) = encode(self.config.fleet, &Body::Sync { wants }, part);
            out.push((to, bytes));
            rest = &rest[count.saturating_sub(1).min(rest.len())..];
            wants = false;
            if rest.is_empty() {
                return;
            }
        }
    }

    fn pick(&mut self, n: usize, fits: impl Fn(&Id, &Member) -> bool) -> Vec<(Id, SocketAddr)> {
        let mut all: Vec<(Id, SocketAddr)> = self
            .members
            .iter()
            .filter(|(id, m)| fits(id, m))
            .map(|(id, m)| (id.clone(), m.address))
            .collect();
        let mut picked = Vec::new();
        while picked.len() < n && !all.is_empty() {
            let at = self.below(all.len() as u64) as usize;
            picked.push(all.swap_remove(at));
        }
        picked
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Ms, out: &mut Out) {
        self.errands_over(now, out);
        self.suspicions_over(now);
        if self.left {
            self.next = now + self.config.interval;
            return;
        }
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.asked_others && !p.answered) {
            if now >= probe.at + self.patience() {
                self.ask_others(out);
            }
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
    }

    fn ask_next(&mut self, now: Ms, out: &mut Out) {
        let id = loop {
            if self.turn.is_empty() {
                self.turn = self
                    .members
                    .iter()
                    .filter(|(_, m)| m.state <= State::Suspect)
                    .map(|(i, _)| i.clone())
                    .collect();
                for i in (1..self.turn.len()).rev() {
                    let j = self.below(i as u64 + 1) as usize;
                    self.turn.swap(i, j);
                }
            }
            let Some(id) = self.turn.pop() else { return };
            if self.members.get(&id).is_some_and(|m| m.state <= State::Suspect) {
                break id;
            }
        };
        self.number = self.number.wrapping_add(1);
        let (number, at) = (self.number, self.members[&id].address);
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
        let helpers = self.pick(HELPERS, |other, m| *other != id && m.state == State::Alive);
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
            let update = Update { state: State::Suspect, by: self.id.name.clone(), ..update };
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
        let over = |m: &Member| m.state == State::Suspect && now >= m.since + self.suspicion(m);
        let over: Vec<Id> = self.members.iter().filter(|(_, m)| over(m)).map(|(id, _)| id.clone()).collect();
        for id in over {
            if let Some(update) = self.update(&id) {
                let by = self.id.name.clone();
                self.apply(Update { state: State::Failed, by, ..update }, now);
            }
        }
    }

    fn forget(&mut self, now: Ms) {
        let old = |m: &Member| m.state > State::Suspect && now.saturating_sub(m.since) >= self.config.forget;
        let old: Vec<Id> = self.members.iter().filter(|(_, m)| old(m)).map(|(id, _)| id.clone()).collect();
        for id in old {
            if let Some(m) = self.members.remove(&id) {
                self.words.remove(&id);
                self.gone.push_back((id, m.incarnation, now + 10 * self.config.forget));
            }
        }
        while self.gone.front().is_some_and(|g| now >= g.2) || self.gone.len() > REMEMBERED {
            self.gone.pop_front();
        }
    }

    /// Now and then all that is known is compared with one other, and one that is not heard of is looked for: two parts
    /// of a fleet that could not hear each other find together by that. A start asks its seeds until it is heard.
    fn compare(&mut self, out: &mut Out) {
        if self.present() == 0 {
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|s| *s != self.address).collect();
            seeds.into_iter().for_each(|seed| self.sync(seed, true, out));
        }
        if !self.rounds.is_multiple_of(COMPARE) {
            return;
        }
        for (_, at) in self.pick(1, |_, m| m.state == State::Alive) {
            self.sync(at, true, out);
        }
        for (_, at) in self.pick(1, |_, m| m.state == State::Failed) {
            self.sync(at, true, out);
        }
        let known: BTreeSet<SocketAddr> =
            self.members.values().filter(|m| m.state <= State::Suspect).map(|m| m.address).collect();
        let lost: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|s| *s != self.address && !known.contains(s)).collect();
        if !lost.is_empty() {
            let at = lost[self.below(lost.len() as u64) as usize];
            self.sync(at, true, out);
        }
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Ms, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        let Message { body, updates } = match decode(self.config.fleet, bytes) {
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
        if let Some(own) = updates.first().filter(|u| u.state == State::Alive && self.is_late(u)) {
            // It lives, and may not know that it was given up: it must say so louder to be heard again.
            let by = self.id.name.clone();
            let word = Update { state: State::Failed, by, ..own.clone() };
            let updates = [self.own(), word];
            out.push((from, encode(self.config.fleet, &Body::Sync { wants: false }, updates.iter()).0));
        }
        for update in updates {
            self.apply(update, now);
        }
        if self.left {
            return;
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
            Body::Sync { wants } => {
                if wants {
                    self.sync(from, false, out);
                }
            }
        }
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
        self.left = true;
        let number = self.number;
        for (_, at) in self.pick(2 * HELPERS, |_, m| m.state <= State::Suspect) {
            self.send(at, Body::Ack { number }, None, out);
        }
    }

    /// Says once more that it has gone: the first word may be lost.
    pub fn leave_again(&mut self, out: &mut Out) {
        self.left = false;
        self.leave(out);
    }

    fn apply(&mut self, update: Update, now: Ms) {
        if update.id == self.id {
            return self.hear_of_itself(&update);
        }
        let Some(member) = self.members.get_mut(&update.id) else {
            if !self.is_late(&update) {
                self.enter(update, now);
            }
            return;
        };
        if member.state == State::Left {
            return;
        }
        let newer = update.incarnation > member.incarnation;
        let worse = update.incarnation == member.incarnation && update.state > member.state;
        if newer || worse || update.state == State::Left {
            if update.state == State::Suspect {
                member.said = BTreeSet::from([update.by.clone()]);
            }
            member.incarnation = member.incarnation.max(update.incarnation);
            if member.state != update.state {
                member.since = now;
            }
            (member.state, member.by) = (update.state, update.by);
            (member.address, member.version) = (update.address, update.version);
            self.words.insert(update.id, 0);
        } else if update.state == State::Suspect
            && member.state == State::Suspect
            && update.incarnation == member.incarnation
            && member.said.len() <= CONFIRMED
            && member.said.insert(update.by.clone())
        {
            // Who else says so is passed on, as it shortens the suspicion.
            member.by = update.by;
            self.words.insert(update.id, 0);
        }
    }

    /// What was forgotten is not brought back by a late word.
    fn is_late(&self, update: &Update) -> bool {
        self.gone.iter().any(|(id, incarnation, _)| *id == update.id && update.incarnation <= *incarnation)
    }

    fn enter(&mut self, update: Update, now: Ms) {
        let Update { id, state, address, version, incarnation, by } = update;
        let said = BTreeSet::from([by.clone()]);
        self.members.insert(
            id.clone(),
            Member { address, version, incarnation, state, by, since: now, known: now, said },
        );
        // Asked for in this turn, at a place of its own.
        let at = self.below(self.turn.len() as u64 + 1) as usize;
        self.turn.insert(at, id.clone());
        self.words.insert(id, 0);
    }

    /// Others doubt it: it says that it lives, louder than they.
    fn hear_of_itself(&mut self, update: &Update) {
        if update.state == State::Alive || update.incarnation < self.incarnation || self.left {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        self.health = (self.health + 1).min(WORST);
    }
}
