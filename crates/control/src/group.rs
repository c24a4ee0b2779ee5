//! Primary and backup, and the members whose epochs decide who they are.
//!
//! A change is acknowledged once it is on the synced disks of the primary and the backups of one epoch. A new epoch is
//! begun by one that was primary or backup in the last: a majority of the members promises it to take nothing of lower
//! epochs, it gives the state to its backups, and a majority accepts the new view. Members need not hold the state; what
//! they keep of it is the epoch and its view. There is no log that a majority replicates.
use crate::state::{Command, Rejected, State};
use crate::view::{Member, View};
use crate::Ms;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// How often a primary tells that it is there.
pub const PING_EVERY: Ms = 200;
/// Without word from a primary for so long, a member looks for another.
const PATIENCE: Ms = 700;
/// The same after a start, when nobody was heard yet.
const START_PATIENCE: Ms = 60;
/// More of it with each place in the order of members, so that not all try at once.
const PATIENCE_STEP: Ms = 150;
/// The same after a start.
const START_STEP: Ms = 60;
/// After an attempt that came to nothing.
const AGAIN: Ms = 100;
/// Epochs are asked for by rounds, in which each machine has its own.
const EPOCHS_A_ROUND: u64 = 64;
/// A machine that was promised an epoch has so long to lead it.
const LEAVE: Ms = 400;
/// How long answers to a probe are waited for.
const PROBE: Ms = 150;
/// A primary that no majority has answered for so long is none any more.
const LEASE: Ms = 1_200;
/// How long a step on the way to a new epoch may take.
const STEP: Ms = 500;
/// A backup that doesn't answer for so long is replaced.
const BACKUP_PATIENCE: Ms = 700;
/// A member that was silent for so long may be replaced by a machine that isn't one yet.
const MEMBER_PATIENCE: Ms = 2_500;
/// Founders are waited for so long before a majority of them begins.
const FOUNDING: Ms = 1_500;

/// What a machine of the group keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Durable {
    /// The identity of the disk.
    pub disk: u64,
    /// Nothing of a lower epoch is taken.
    pub promised: u64,
    pub accepted: Option<View>,
    pub state: State,
}

/// Keeps what must last; it is synced when `save` returns.
pub trait Storage {
    fn save(&mut self, durable: &Durable);
}

/// What is known from the start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: Member,
    /// Machines that begin the system, by address.
    pub founders: Vec<IpAddr>,
    /// The system starts for the first time, with an empty disk here.
    pub founder: bool,
    /// How many machines may be lost at once.
    pub tolerance: usize,
}

/// What one machine of the group says to another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// How do you stand?
    Probe(Member),
    /// Take nothing below this epoch.
    Prepare(u64),
    /// Keep this state, of this epoch.
    Replicate(u64, State),
    /// Accept this view.
    Install(View),
    /// I am the primary of this view.
    Ping(View),
    /// I am about to stop: take my place.
    Transfer(u64),
}

/// How a machine stands.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Standing {
    pub member: Member,
    pub promised: u64,
    pub accepted: Option<View>,
    /// Since it heard from a primary.
    pub heard_ago: Ms,
    /// It takes part in founding the system.
    pub founder: bool,
}

/// The answer to each message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Reply {
    pub taken: bool,
    pub standing: Standing,
}

/// A message that is to be sent; its answer goes to [`Group::reply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    pub to: IpAddr,
    pub message: Message,
}

/// What a machine is at, for logs and status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Follows,
    LooksForPrimary,
    AsksForEpoch(u64),
    CopiesState(u64),
    InstallsView(u64),
    Leads(u64),
}

enum Role {
    Follower,
    Probing { since: Ms, standings: BTreeMap<u64, Standing> },
    Preparing { since: Ms, epoch: u64, promises: BTreeMap<u64, Standing>, plan: Option<Vec<Member>> },
    Copying { since: Ms, view: View, from: Option<View>, copied: BTreeSet<u64> },
    Installing { since: Ms, view: View, from: Option<View>, accepted: BTreeSet<u64> },
    Primary(Primary),
}

struct Primary {
    view: View,
    pinged: Ms,
    /// When each machine answered last, by disk.
    answered: BTreeMap<u64, Ms>,
    /// The number of the last change that each backup has.
    copied: BTreeMap<u64, u64>,
    sent: Option<(u64, Ms)>,
}

/// A change that was asked for here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    number: u64,
    /// Which state it was made on.
    line: u64,
}

/// One machine's part in the group.
pub struct Group<S> {
    settings: Settings,
    durable: Durable,
    storage: S,
    role: Role,
    heard: Ms,
    /// Another machine is on its way to an epoch: it is left alone until then.
    leave_until: Ms,
    /// When a primary was heard; nothing in this life yet.
    heard_primary: Option<Ms>,
    started: Ms,
    /// Rises when the state here is replaced by another primary's.
    line: u64,
    primary: Option<IpAddr>,
    /// Machines that serve control but aren't members, and when they were heard.
    others: BTreeMap<u64, (Member, Ms)>,
}

impl<S: Storage> Group<S> {
    pub fn new(settings: Settings, durable: Durable, storage: S, now: Ms) -> Group<S> {
        let (role, others) = (Role::Follower, BTreeMap::new());
        Group {
            settings,
            durable,
            storage,
            role,
            heard: now,
            leave_until: 0,
            heard_primary: None,
            started: now,
            line: 0,
            primary: None,
            others,
        }
    }

    /// What is on this machine's disk.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// Where the primary was last heard.
    pub fn primary(&self) -> Option<IpAddr> {
        self.primary
    }

    /// What this machine is at.
    pub fn stage(&self) -> Stage {
        match &self.role {
            Role::Follower => Stage::Follows,
            Role::Probing { .. } => Stage::LooksForPrimary,
            Role::Preparing { epoch, .. } => Stage::AsksForEpoch(*epoch),
            Role::Copying { view, .. } => Stage::CopiesState(view.epoch),
            Role::Installing { view, .. } => Stage::InstallsView(view.epoch),
            Role::Primary(primary) => Stage::Leads(primary.view.epoch),
        }
    }

    /// The view in which this machine is primary, if a majority has answered lately.
    pub fn leads(&self, now: Ms) -> Option<&View> {
        match &self.role {
            Role::Primary(primary) if primary.lease(self.settings.me.disk, now) => Some(&primary.view),
            _ => None,
        }
    }

    /// The number of the last change that is on the primary's and all backups' disks.
    pub fn committed(&self) -> u64 {
        match &self.role {
            Role::Primary(primary) => primary.committed(),
            _ => 0,
        }
    }

    /// The last change that this machine has, on one disk at least.
    pub fn last(&self) -> u64 {
        self.durable.state.at.1
    }

    /// The view that counts here.
    pub fn view(&self) -> Option<&View> {
        self.durable.accepted.as_ref()
    }

    /// The members' addresses and those of the founders.
    pub fn addresses(&self) -> Vec<IpAddr> {
        let members = self.durable.accepted.iter().flat_map(|view| view.members.iter().map(|m| m.ip));
        let others = self.others.values().map(|(member, _)| member.ip);
        let all = members.chain(others).chain(self.settings.founders.iter().copied());
        all.collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn peers(&self) -> Vec<IpAddr> {
        self.addresses().into_iter().filter(|ip| *ip != self.settings.me.ip).collect()
    }

    fn standing(&self, now: Ms) -> Standing {
        let leads = self.leads(now).is_some();
        Standing {
            member: self.settings.me.clone(),
            promised: self.durable.promised,
            accepted: self.durable.accepted.clone(),
            heard_ago: if leads {
                0
            } else {
                self.heard_primary.map_or(Ms::MAX, |at| now.saturating_sub(at))
            },
            founder: self.settings.founder,
        }
    }

    fn save(&mut self) {
        self.storage.save(&self.durable);
    }

    /// Changes the state as primary, once all before it is on two disks; nothing until then. Tells the
    /// change, to be followed by [`Group::has_committed`].
    pub fn propose_when_settled(
        &mut self,
        command: &Command,
        now: Ms,
    ) -> Option<Result<(Change, Vec<Out>), Rejected>> {
        self.leads(now)?;
        if self.committed() < self.last() {
            return None;
        }
        let events = match self.durable.state.decide(command) {
            Ok(events) => events,
            Err(rejected) => return Some(Err(rejected)),
        };
        if events.is_empty() {
            return Some(Ok((self.last_change(), Vec::new())));
        }
        events.iter().for_each(|event| self.durable.state.fold(event));
        self.durable.state.at.1 += 1;
        self.save();
        Some(Ok((self.last_change(), self.replicate(now))))
    }

    fn last_change(&self) -> Change {
        Change { number: self.last(), line: self.line }
    }

    /// Whether a change is on two disks; nothing as long as it may still come to that. It can't be told any more once
    /// the state here was replaced by another primary's.
    pub fn has_committed(&self, change: Change, now: Ms) -> Option<bool> {
        if change.line != self.line || self.primary_elsewhere() {
            return Some(false);
        }
        match &self.role {
            // The state that a new epoch begins with is on two disks.
            Role::Primary(primary) => {
                (primary.committed() >= change.number && self.leads(now).is_some()).then_some(true)
            }
            _ => None,
        }
    }

    /// Another machine leads, as far as is known.
    pub fn primary_elsewhere(&self) -> bool {
        matches!(self.role, Role::Follower) && self.primary.is_some_and(|ip| ip != self.settings.me.ip)
    }

    fn replicate(&mut self, now: Ms) -> Vec<Out> {
        let state = self.durable.state.clone();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.sent = Some((state.at.1, now));
        let message = Message::Replicate(primary.view.epoch, state);
        let ips = primary.view.backups.iter().filter_map(|disk| primary.ip_of(*disk));
        ips.map(|to| Out { to, message: message.clone() }).collect()
    }

    /// Answers another machine.
    pub fn handle(&mut self, from: IpAddr, message: Message, now: Ms) -> (Reply, Vec<Out>) {
        let mut out = Vec::new();
        let taken = match message {
            Message::Probe(member) => {
                if !self.is_member(member.disk) && member.disk != self.settings.me.disk {
                    self.others.insert(member.disk, (member, now));
                }
                true
            }
            Message::Prepare(epoch) if epoch > self.durable.promised => {
                self.leave_until = now + LEAVE;
                self.promise(epoch)
            }
            Message::Prepare(_) => false,
            Message::Replicate(epoch, state) => {
                let taken = self.heed(epoch);
                if taken {
                    self.note_primary(now);
                    self.durable.state = state;
                    self.line += 1;
                    self.save();
                }
                taken
            }
            Message::Install(view) => self.heed(view.epoch) && self.accept(view),
            Message::Ping(view) => self.pinged(from, view, now),
            Message::Transfer(epoch) => {
                let me = self.settings.me.disk;
                let mine = self.view().is_some_and(|v| v.epoch == epoch && v.backups.contains(&me));
                if mine {
                    out = self.prepare(None, now);
                }
                mine
            }
        };
        (Reply { taken, standing: self.standing(now) }, out)
    }

    fn is_member(&self, disk: u64) -> bool {
        self.view().is_some_and(|view| view.has(disk))
    }

    fn promise(&mut self, epoch: u64) -> bool {
        self.durable.promised = epoch;
        self.save();
        self.role = Role::Follower;
        true
    }

    /// Whether a message of an epoch counts; what this machine does in a lower one ends.
    fn heed(&mut self, epoch: u64) -> bool {
        if epoch < self.durable.promised {
            return false;
        }
        if epoch > self.durable.promised {
            self.promise(epoch);
        }
        true
    }

    fn note_primary(&mut self, now: Ms) {
        self.heard = now;
        self.heard_primary = Some(now);
    }

    fn accept(&mut self, view: View) -> bool {
        if self.durable.accepted.as_ref() != Some(&view) {
            self.durable.accepted = Some(view);
            self.save();
        }
        true
    }

    fn pinged(&mut self, from: IpAddr, view: View, now: Ms) -> bool {
        if !self.heed(view.epoch) {
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.note_primary(now);
        self.primary = Some(from);
        self.accept(view)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) -> Vec<Out> {
        match &self.role {
            Role::Follower => self.follow(now),
            Role::Probing { since, .. } if now >= since + PROBE => self.judge_probe(now, true),
            Role::Preparing { since, .. } | Role::Copying { since, .. } | Role::Installing { since, .. }
                if now >= since + STEP =>
            {
                self.rest(now)
            }
            Role::Preparing { .. } => self.judge_promises(now),
            Role::Primary(_) => self.lead(now),
            _ => Vec::new(),
        }
    }

    fn rest(&mut self, now: Ms) -> Vec<Out> {
        self.role = Role::Follower;
        // The next attempt comes soon, and not at the same moment as another member's.
        self.heard = (now + AGAIN).saturating_sub(self.first_patience());
        Vec::new()
    }

    fn first_patience(&self) -> Ms {
        match self.heard_primary {
            None => START_PATIENCE,
            Some(_) => PATIENCE,
        }
    }

    fn rank(&self) -> u64 {
        let ip = self.settings.me.ip;
        self.addresses().iter().position(|other| *other == ip).unwrap_or(9) as u64
    }

    fn follow(&mut self, now: Ms) -> Vec<Out> {
        let view = self.view();
        let expected = view.is_none_or(|view| view.holds_state(self.settings.me.disk));
        let step = if self.heard_primary.is_none() { START_STEP } else { PATIENCE_STEP };
        let patience = self.first_patience() + step * self.rank() + if expected { 0 } else { 400 };
        if now < self.heard + patience || now < self.leave_until {
            return Vec::new();
        }
        let me = self.standing(now);
        self.role = Role::Probing { since: now, standings: BTreeMap::from([(self.settings.me.disk, me)]) };
        let probe = Message::Probe(self.settings.me.clone());
        self.peers().into_iter().map(|to| Out { to, message: probe.clone() }).collect()
    }

    /// Takes the answer to a message that was sent.
    pub fn reply(&mut self, message: &Message, reply: Reply, now: Ms) -> Vec<Out> {
        let standing = reply.standing;
        let disk = standing.member.disk;
        if !self.is_member(disk) && disk != self.settings.me.disk {
            self.others.insert(disk, (standing.member.clone(), now));
        }
        match (&mut self.role, message) {
            (Role::Probing { standings, .. }, Message::Probe(_)) => {
                standings.insert(disk, standing);
                self.judge_probe(now, false)
            }
            (Role::Preparing { epoch, promises, .. }, Message::Prepare(of)) if epoch == of => {
                if !reply.taken {
                    return self.rest(now);
                }
                promises.insert(disk, standing);
                self.judge_promises(now)
            }
            (Role::Copying { view, copied, .. }, Message::Replicate(of, _)) if view.epoch == *of => {
                if !reply.taken {
                    return self.rest(now);
                }
                copied.insert(disk);
                match view.backups.iter().all(|backup| copied.contains(backup)) {
                    true => self.install(now),
                    false => Vec::new(),
                }
            }
            (Role::Installing { view, accepted, .. }, Message::Install(of)) if view == of => {
                if !reply.taken {
                    return self.rest(now);
                }
                accepted.insert(disk);
                self.judge_installed(now)
            }
            (Role::Primary(primary), sent) => {
                if standing.promised > primary.view.epoch {
                    self.role = Role::Follower;
                    self.heard = now;
                    return Vec::new();
                }
                primary.answered.insert(disk, now);
                if let Message::Replicate(epoch, state) = sent {
                    if reply.taken && *epoch == primary.view.epoch {
                        let copied = primary.copied.entry(disk).or_default();
                        *copied = (*copied).max(state.at.1);
                    }
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn judge_probe(&mut self, now: Ms, late: bool) -> Vec<Out> {
        let Role::Probing { standings, .. } = &self.role else { return Vec::new() };
        let heard = standings.values().any(|s| s.heard_ago < PATIENCE && s.accepted.is_some());
        let latest = latest(standings.values());
        let ready = match &latest {
            Some(view) => view.is_majority(standings.keys()),
            None => self.founders_ready(standings, now),
        };
        let may = match &latest {
            Some(view) => view.holds_state(self.settings.me.disk),
            None => self.settings.founder,
        };
        if ready && may && !heard {
            return self.prepare(None, now);
        }
        if late || heard {
            return self.rest(now);
        }
        Vec::new()
    }

    fn founders_ready(&self, standings: &BTreeMap<u64, Standing>, now: Ms) -> bool {
        let founders = self.settings.founders.len();
        let there = standings.values().filter(|s| s.founder && self.founds(s)).count();
        there == founders || (there > founders / 2 && now >= self.started + FOUNDING)
    }

    fn founds(&self, standing: &Standing) -> bool {
        self.settings.founders.contains(&standing.member.ip)
    }

    /// Asks for a new epoch; with `plan`, for other members in it.
    fn prepare(&mut self, plan: Option<Vec<Member>>, now: Ms) -> Vec<Out> {
        let known = match &self.role {
            Role::Probing { standings, .. } => standings.values().map(|s| s.promised).max().unwrap_or(0),
            _ => 0,
        };
        // No two machines ask for the same epoch: of two that ask at once, the higher one wins.
        let round = known.max(self.durable.promised) / EPOCHS_A_ROUND + 1;
        let epoch = round * EPOCHS_A_ROUND + self.rank().min(EPOCHS_A_ROUND - 1);
        self.promise(epoch);
        let promises = BTreeMap::from([(self.settings.me.disk, self.standing(now))]);
        self.role = Role::Preparing { since: now, epoch, promises, plan };
        let message = Message::Prepare(epoch);
        self.peers().into_iter().map(|to| Out { to, message: message.clone() }).collect()
    }

    fn judge_promises(&mut self, now: Ms) -> Vec<Out> {
        let Role::Preparing { since, epoch, promises, plan } = &self.role else { return Vec::new() };
        let from = latest(promises.values());
        let me = self.settings.me.disk;
        let waiting_for_more = now < since + 100;
        let (enough, all) = match &from {
            Some(view) => (view.is_majority(promises.keys()), view.members.len()),
            None => (self.founders_ready(promises, now), self.settings.founders.len()),
        };
        if !enough || (promises.len() < all.min(2)) {
            return Vec::new();
        }
        if from.as_ref().is_some_and(|view| !view.holds_state(me)) {
            return self.rest(now);
        }
        let members = match (&from, plan) {
            (_, Some(members)) => members.clone(),
            (Some(view), None) => view.members.clone(),
            (None, None) => self.founding_members(promises),
        };
        let wanted = self.settings.tolerance.min(members.len().saturating_sub(1));
        let there = |disk: &u64| *disk != me && promises.contains_key(disk);
        let held = |disk: &u64| from.as_ref().is_some_and(|view| view.holds_state(*disk));
        let mut candidates: Vec<u64> =
            members.iter().map(|member| member.disk).filter(|d| *d != me).collect();
        // Others that hold the state may still answer; only then are others taken.
        if waiting_for_more && candidates.iter().any(|disk| held(disk) && !there(disk)) {
            return Vec::new();
        }
        candidates.retain(|disk| there(disk));
        candidates.sort_by_key(|disk| !held(disk));
        candidates.truncate(wanted);
        if candidates.len() < wanted {
            return Vec::new();
        }
        let previous = from.as_ref().map_or_else(Vec::new, |view| view.members.clone());
        let view = View { epoch: *epoch, primary: me, backups: candidates, members, previous };
        self.copy(view, from, now)
    }

    fn founding_members(&self, promises: &BTreeMap<u64, Standing>) -> Vec<Member> {
        let founders = promises.values().filter(|s| s.founder && self.founds(s));
        founders.map(|standing| standing.member.clone()).collect()
    }

    fn copy(&mut self, view: View, from: Option<View>, now: Ms) -> Vec<Out> {
        self.durable.state.at.0 = view.epoch;
        self.save();
        let backups = view.members.iter().filter(|member| view.backups.contains(&member.disk));
        let ips: Vec<IpAddr> = backups.map(|member| member.ip).collect();
        let message = Message::Replicate(view.epoch, self.durable.state.clone());
        self.role = Role::Copying { since: now, view, from, copied: BTreeSet::new() };
        ips.into_iter().map(|to| Out { to, message: message.clone() }).collect()
    }

    fn install(&mut self, now: Ms) -> Vec<Out> {
        let Role::Copying { view, from, .. } = &self.role else { return Vec::new() };
        let (view, from) = (view.clone(), from.clone());
        self.accept(view.clone());
        let accepted = BTreeSet::from([self.settings.me.disk]);
        let message = Message::Install(view.clone());
        self.role = Role::Installing { since: now, view, from, accepted };
        self.peers().into_iter().map(|to| Out { to, message: message.clone() }).collect()
    }

    fn judge_installed(&mut self, now: Ms) -> Vec<Out> {
        let Role::Installing { view, from, accepted, .. } = &self.role else { return Vec::new() };
        let before = from.as_ref().is_none_or(|view| view.is_majority(accepted));
        if !before || !view.is_majority(accepted) {
            return Vec::new();
        }
        let answered = accepted.iter().map(|disk| (*disk, now)).collect();
        let last = self.durable.state.at.1;
        let view = view.clone();
        let copied = view.backups.iter().map(|disk| (*disk, last)).collect();
        self.role = Role::Primary(Primary { view, pinged: now, answered, copied, sent: None });
        self.primary = Some(self.settings.me.ip);
        self.ping(now)
    }

    fn ping(&mut self, now: Ms) -> Vec<Out> {
        let peers = self.peers();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        primary.pinged = now;
        let message = Message::Ping(primary.view.clone());
        peers.into_iter().map(|to| Out { to, message: message.clone() }).collect()
    }

    fn lead(&mut self, now: Ms) -> Vec<Out> {
        let me = self.settings.me.disk;
        let last = self.last();
        let Role::Primary(primary) = &mut self.role else { return Vec::new() };
        if !primary.lease(me, now) {
            self.role = Role::Follower;
            self.heard = now;
            return Vec::new();
        }
        let waits = primary.committed() < last;
        let silent = |disk: &u64| now >= primary.answered.get(disk).copied().unwrap_or(0) + BACKUP_PATIENCE;
        // A backup that just joined has its time too.
        if primary.view.backups.iter().any(silent)
            && primary.could_do_better(me, now, self.settings.tolerance)
        {
            return self.prepare(None, now);
        }
        if let Some(members) = self.better_members(now) {
            return self.prepare(Some(members), now);
        }
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let mut out = Vec::new();
        if waits && primary.sent.is_none_or(|(_, at)| now >= at + STEP) {
            out.extend(self.replicate(now));
        }
        let Role::Primary(primary) = &self.role else { return out };
        if now >= primary.pinged + PING_EVERY {
            out.extend(self.ping(now));
        }
        out
    }

    /// Members that suit better: a machine that is there in the place of one that isn't, or one more where there are
    /// fewer than are wanted.
    fn better_members(&self, now: Ms) -> Option<Vec<Member>> {
        let Role::Primary(primary) = &self.role else { return None };
        if !primary.view.previous.is_empty() && primary.view.previous != primary.view.members {
            return Some(primary.view.members.clone());
        }
        let heard = |disk: u64| primary.answered.get(&disk).copied().unwrap_or(0);
        let members = &primary.view.members;
        let fresh = |disk: u64| now < heard(disk) + BACKUP_PATIENCE;
        let newcomer =
            self.others.values().map(|(m, _)| m).find(|m| !primary.view.has(m.disk) && fresh(m.disk))?;
        let mut better = members.clone();
        if members.len() < 2 * self.settings.tolerance + 1 {
            better.push(newcomer.clone());
            return Some(better);
        }
        let me = self.settings.me.disk;
        let same = members.iter().position(|m| m.name == newcomer.name || m.ip == newcomer.ip);
        let silent = members
            .iter()
            .position(|m| m.disk != me && now >= heard(m.disk) + MEMBER_PATIENCE && heard(m.disk) > 0);
        let never =
            members.iter().position(|m| m.disk != me && heard(m.disk) == 0 && now > self.started + 5_000);
        let place =
            same.filter(|i| members[*i].disk != me && !fresh(members[*i].disk)).or(silent).or(never)?;
        better[place] = newcomer.clone();
        Some(better)
    }

    /// This machine is about to stop: the backup is asked to take its place.
    pub fn hand_over(&mut self) -> Vec<Out> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let message = Message::Transfer(primary.view.epoch);
        let backup = primary.view.backups.iter().find_map(|disk| primary.ip_of(*disk));
        backup.into_iter().map(|to| Out { to, message: message.clone() }).collect()
    }

    /// The calls that show, once a majority has answered them, that no other primary has begun.
    pub fn confirmations(&self) -> Vec<Out> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let message = Message::Ping(primary.view.clone());
        let others = primary.view.members.iter().filter(|m| m.disk != self.settings.me.disk);
        others.map(|member| Out { to: member.ip, message: message.clone() }).collect()
    }
}

impl Primary {
    /// The number of the last change that all backups have.
    fn committed(&self) -> u64 {
        let of = |disk: &u64| self.copied.get(disk).copied().unwrap_or(0);
        self.view.backups.iter().map(of).min().unwrap_or(0)
    }

    /// Enough members answer for a view with all its backups.
    fn could_do_better(&self, me: u64, now: Ms, tolerance: usize) -> bool {
        let heard = |disk: u64| self.answered.get(&disk).copied().unwrap_or(0);
        let others =
            self.view.members.iter().filter(|m| m.disk != me && now < heard(m.disk) + BACKUP_PATIENCE);
        others.count() >= tolerance.min(self.view.members.len().saturating_sub(1))
    }

    fn lease(&self, me: u64, now: Ms) -> bool {
        let fresh = self.answered.iter().filter(|(disk, at)| **disk != me && now < **at + LEASE);
        self.view.is_majority(fresh.map(|(disk, _)| disk).chain([&me]))
    }

    fn ip_of(&self, disk: u64) -> Option<IpAddr> {
        self.view.members.iter().find(|member| member.disk == disk).map(|member| member.ip)
    }
}

fn latest<'a>(standings: impl Iterator<Item = &'a Standing>) -> Option<View> {
    standings.filter_map(|s| s.accepted.as_ref()).max_by_key(|view| view.epoch).cloned()
}
