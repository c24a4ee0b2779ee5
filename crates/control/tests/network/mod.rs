//! A network of group members in simulated time. Messages are delayed, doubled, lost, and held up by cuts; machines are
//! killed, frozen, without power, wiped, replaced and told to leave. Operators send orders and read back, at any machine
//! and over and over, and remember what they were told.
mod disk;
mod operators;
mod troubles;

use control::{Command, DurableState, Group, GroupSettings, LeaveStep, Member, Message, Ms, Outgoing, Reply};
use disk::{ControlDisk as _, Memory, Stored};
use operators::Operators;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use troubles::Troubles;

pub use troubles::Regime;

const STEP: Ms = 10;
/// A new system has so long to come to its size.
const FOUNDED: Ms = 5_000;
/// After the loss of all that may be lost at once, another machine leads by then, in milliseconds.
const UNTIL_LED: Ms = 2_500;
/// After the last trouble everything has to be well again.
const CALM: Ms = 12_000;

/// A mistake that is planted to see whether the properties find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// Acknowledges a change before the backup has it.
    EarlyAcknowledgement,
    /// A member with an empty disk takes itself for the one it was.
    KeepsIdentity,
    /// A disk loses the last state it was given.
    ForgetsState,
    /// A disk loses the view that it accepted.
    ForgetsView,
    /// A disk loses the epoch that it promised.
    ForgetsPromise,
    /// A disk loses which orders were taken.
    ForgetsOrders,
    /// A backup goes back to an older state that comes late.
    KeepsOlderState,
    /// A read is answered without asking a majority.
    ReadsUnconfirmed,
    /// An answer is taken for that to another call.
    AnswerToAnother,
    /// A member that leaves doesn't wait until others have what it holds.
    LeavesAtOnce,
    /// Where machines stand doesn't matter for who is a member.
    IgnoresLocations,
}

struct Machine {
    ip: IpAddr,
    disk: Memory,
    group: Option<Group<Stored>>,
    /// Down or frozen until then.
    down_until: Ms,
    frozen_until: Ms,
    /// It was told to stop, and goes by then at the latest.
    leaving: Option<Leaving>,
    /// It is taken away for good.
    removed: bool,
    founder: bool,
}

/// A loss that is looked at by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// A disk: the machine is back after half a second, with an empty one.
    Disk,
    /// A machine, for good: an empty one comes after a second, at another address.
    Machine,
    /// A planned replacement: the empty machine comes first.
    Planned,
}

struct Leaving {
    until: Ms,
    asked: Ms,
    /// How long it is away, or for good.
    span: Option<Ms>,
}

enum Event {
    Arrive { to: usize, from: IpAddr, sent: Ms, message: Message },
    Return { to: usize, message: Message, sent: Ms, reply: Box<Reply> },
}

/// What a run shows of how much happened.
#[derive(Debug, Default)]
pub struct Seen {
    pub acknowledged: usize,
    pub repeated: usize,
    pub refused: usize,
    pub reads: usize,
    pub epochs: usize,
    pub replaced: usize,
    pub broken: Option<String>,
}

pub struct Network {
    lot: Pcg64Mcg,
    now: Ms,
    machines: Vec<Machine>,
    events: BTreeMap<(Ms, u64), Event>,
    number: u64,
    next_disk: u64,
    bug: Bug,
    /// How many machines may be lost at once.
    tolerance: usize,
    /// What the machines are told that may be lost at once.
    declared: Tolerance,
    /// Where machines stand, by their order; nowhere known, if they are more.
    locations: Vec<Location>,
    /// Machines act at the same moments, every so often, and all messages take as long as each other.
    lockstep: Option<Ms>,
    /// No message is lost, doubled or late.
    sound: bool,
    operators: Operators,
    troubles: Troubles,
    /// Who led each epoch.
    leaders: BTreeMap<u64, u64>,
    seen: Seen,
}

impl Network {
    /// `count` machines, of which the first three found the system.
    pub fn new(seed: u64, count: usize, tolerance: usize, bug: Bug) -> Network {
        Network::under(seed, count, tolerance, bug, Regime::Tolerated)
    }

    /// The same under another regime of troubles.
    pub fn under(seed: u64, count: usize, tolerance: usize, bug: Bug, regime: Regime) -> Network {
        let mut network = Network {
            lot: Pcg64Mcg::seed_from_u64(seed),
            now: 1,
            machines: Vec::new(),
            events: BTreeMap::new(),
            number: 0,
            next_disk: 100,
            bug,
            tolerance,
            declared: Tolerance::of_machines(tolerance),
            locations: Vec::new(),
            lockstep: None,
            sound: false,
            operators: Operators::default(),
            troubles: Troubles::new(regime),
            leaders: BTreeMap::new(),
            seen: Seen::default(),
        };
        for _ in 0..count {
            network.add_machine(true);
        }
        network
    }

    /// Machines at these locations, on a sound network; the first three found the system.
    pub fn at(seed: u64, locations: Vec<Location>, declared: Tolerance, bug: Bug) -> Network {
        let mut network = Network::new(seed, 0, declared.copies(), bug);
        network.declared = match bug {
            Bug::IgnoresLocations => Tolerance::of_machines(declared.machines),
            _ => declared,
        };
        network.sound = true;
        let count = locations.len();
        network.locations = locations;
        for _ in 0..count {
            network.add_machine(true);
        }
        network
    }

    /// Loses all machines at some locations, for good or for a while, in the instant after an order was confirmed. What is
    /// broken by that: whatever of it was confirmed has to outlast it, and somebody has to lead meanwhile.
    pub fn outlasts_loss(
        mut self,
        is_lost: impl Fn(&Location) -> bool,
        away: Option<Ms>,
    ) -> Result<(), String> {
        self.pass_calmly(FOUNDED + 3_000);
        let confirmed = self.operators.confirmed_count();
        while self.operators.confirmed_count() == confirmed {
            self.step();
        }
        let lost: Vec<usize> = (0..self.machines.len()).filter(|i| is_lost(&self.locations[*i])).collect();
        for i in lost {
            self.power_off(i, away.unwrap_or(0));
            self.machines[i].removed = away.is_none();
        }
        self.pass_calmly(self.now + UNTIL_LED);
        if self.leader().is_none() {
            return Err("nobody leads without what was lost".to_string());
        }
        self.pass_calmly(self.now + CALM);
        self.check_end();
        self.seen.broken.map_or(Ok(()), Err)
    }

    /// What the one that leads after a calm start says of the tolerance that its members can't give.
    pub fn unmet_tolerance(mut self) -> Option<String> {
        self.pass_calmly(FOUNDED + 3_000);
        self.group(self.leader().expect("somebody leads")).expect("it works").unmet_tolerance()
    }

    /// The same, with machines that act at the same moments.
    pub fn lockstep(seed: u64, count: usize, every: Ms) -> Network {
        Network { lockstep: Some(every), ..Network::new(seed, count, 1, Bug::None) }
    }

    /// Adds a machine with an empty disk, and starts it.
    fn add_machine(&mut self, founder: bool) -> usize {
        let i = self.machines.len();
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, i as u8 + 1));
        self.machines.push(Machine {
            ip,
            disk: Memory::empty(),
            group: None,
            down_until: 0,
            frozen_until: 0,
            leaving: None,
            removed: false,
            founder: founder && i < 3,
        });
        self.start(i, founder);
        i
    }

    /// Kills all machines at once after a calm start, and tells how long it takes until somebody leads again.
    pub fn recovery(mut self) -> Option<Ms> {
        self.pass_calmly(FOUNDED);
        (0..self.machines.len()).for_each(|i| self.kill(i, 500));
        let back = self.now + 500;
        while self.now < back + 10_000 {
            self.step();
            if self.leader().is_some() {
                return Some(self.now - back);
            }
        }
        None
    }

    /// Lets time pass without troubles.
    pub fn pass_calmly(&mut self, until: Ms) {
        while self.now < until {
            self.step();
        }
    }

    /// Loses a machine after a calm start on a sound network, and tells how long it takes until the next loss is borne: from when its
    /// successor is there, or from when it has left as planned.
    pub fn until_next_loss_is_borne(mut self, loss: Loss) -> Option<Ms> {
        self.sound = true;
        self.pass_calmly(FOUNDED + 2_000);
        let i = self.lot.random_range(0..self.machines.len());
        match loss {
            Loss::Disk => {
                self.wipe(i, 500);
                self.pass_calmly(self.now + 500);
            }
            Loss::Machine => {
                self.machines[i].group = None;
                self.machines[i].removed = true;
                self.pass_calmly(self.now + 1_000);
                self.add_machine(false);
            }
            Loss::Planned => {
                self.add_machine(false);
                self.pass_calmly(self.now + 4_500);
                self.machines[i].leaving = Some(Leaving { until: self.now + 3_000, asked: 0, span: None });
                while !self.machines[i].removed {
                    self.step();
                }
            }
        }
        let from = self.now;
        while self.now < from + 20_000 {
            if self.bears_a_loss() {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    /// Somebody leads a whole view: all its members are there, and no others decide.
    fn bears_a_loss(&self) -> bool {
        let Some(group) = self.leader().and_then(|leader| self.group(leader)) else { return false };
        let view = group.view().expect("it leads");
        let there = |disk: u64| {
            self.machines.iter().filter_map(|m| m.group.as_ref()).any(|g| g.durable().disk == disk)
        };
        let alone = view.previous_members.is_empty() || view.previous_members == view.members;
        let whole = view.members.len() == 2 * self.tolerance + 1;
        whole && alone && view.members.iter().all(|member| there(member.disk))
    }

    /// The machine that leads, by its lease.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |i: &usize| self.works(*i) && self.group(*i).is_some_and(|group| group.leads(self.now).is_some());
        let epoch = |i: &usize| self.group(*i).and_then(|group| group.view()).map(|view| view.epoch);
        (0..self.machines.len()).filter(leads).max_by_key(epoch)
    }

    fn group(&self, i: usize) -> Option<&Group<Stored>> {
        self.machines[i].group.as_ref()
    }

    fn is_lost(&mut self) -> bool {
        !self.sound && self.lockstep.is_none() && self.lot.random_bool(0.02)
    }

    fn delay(&mut self) -> Ms {
        match self.lockstep {
            Some(_) => 10,
            // Now and then a message waits in a connection that is made anew.
            None if !self.sound && self.lot.random_bool(0.01) => self.lot.random_range(300..4_000),
            None => self.lot.random_range(1..25),
        }
    }

    fn start(&mut self, i: usize, first: bool) {
        let founders = self.machines.iter().filter(|m| m.founder).map(|machine| machine.ip).collect();
        let machine = &mut self.machines[i];
        let (mut durable, storage) = machine.disk.open();
        let fresh = durable.disk == 0;
        if fresh {
            durable.disk = self.next_disk;
            self.next_disk += 1;
        }
        let location = self.locations.get(i).cloned().unwrap_or_default();
        let me = Member { disk: durable.disk, name: format!("m{i}"), ip: machine.ip, location };
        let founder = first && fresh && machine.founder;
        let settings = GroupSettings { me, founders, founder, tolerance: self.declared };
        machine.leaving = None;
        machine.group = Some(Group::new(settings, durable, storage, self.now));
    }

    fn schedule(&mut self, after: Ms, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn index(&self, ip: IpAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.ip == ip)
    }

    /// When something that is sent now arrives, or never: what a cut holds up may come once it heals.
    fn arrival(&mut self, from: usize, to: usize) -> Option<Ms> {
        if self.is_lost() {
            return None;
        }
        let delay = self.delay();
        if !self.troubles.is_cut(from, to) {
            return Some(delay);
        }
        let held = self.lot.random_bool(0.5);
        held.then(|| self.troubles.cut_until().saturating_sub(self.now) + delay)
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let Some(to) = self.index(to) else { continue };
            let (sent, ip) = (self.now, self.machines[from].ip);
            let copies = 1 + usize::from(self.lockstep.is_none() && self.lot.random_bool(0.01));
            for _ in 0..copies {
                if let Some(delay) = self.arrival(from, to) {
                    self.schedule(delay, Event::Arrive { to, from: ip, sent, message: message.clone() });
                }
            }
        }
    }

    fn works(&self, i: usize) -> bool {
        let machine = &self.machines[i];
        machine.group.is_some() && self.now >= machine.frozen_until
    }

    /// Plays for a time, with troubles, then without any; then checks what was acknowledged.
    pub fn play(mut self, troubles_for: Ms) -> Seen {
        let calm_from = self.now + troubles_for;
        while self.now < calm_from + CALM && self.seen.broken.is_none() {
            if self.now < calm_from {
                self.trouble();
            } else if self.now < calm_from + STEP {
                self.bring_back_all();
            }
            self.step();
        }
        if self.seen.broken.is_none() {
            self.check_end();
        }
        self.operators.count(&mut self.seen);
        self.seen.epochs = self.leaders.len();
        self.seen
    }

    fn bring_back_all(&mut self) {
        self.troubles.heal();
        for machine in &mut self.machines {
            machine.down_until = machine.down_until.min(self.now);
            machine.frozen_until = machine.frozen_until.min(self.now);
            machine.disk.keep_power();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for i in 0..self.machines.len() {
            let machine = &self.machines[i];
            if machine.group.is_none() && !machine.removed && self.now >= machine.down_until {
                self.start(i, false);
            }
        }
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let event = entry.remove();
            self.happen(event);
        }
        for i in 0..self.machines.len() {
            if self.works(i) && self.lockstep.is_none_or(|every| self.now % every < STEP) {
                let now = self.now;
                let out = self.machines[i].group.as_mut().expect("works").tick(now);
                self.send_if_lit(i, out);
                self.go_on_leaving(i);
            }
        }
        self.watch_leaders();
        self.operate();
    }

    /// What a machine says counts only if its disk still had power when it was kept.
    fn send_if_lit(&mut self, i: usize, out: Vec<Outgoing>) {
        if self.machines[i].disk.is_dark() {
            let span = self.lot.random_range(100..2_000);
            return self.power_off(i, span);
        }
        self.send(i, out);
    }

    fn happen(&mut self, event: Event) {
        let to = match &event {
            Event::Arrive { to, .. } | Event::Return { to, .. } => *to,
        };
        if self.machines[to].group.is_none() {
            return;
        }
        if !self.works(to) {
            // What waits in its sockets is read one after the other when it wakes.
            let wait = self.machines[to].frozen_until - self.now + self.lot.random_range(0..400);
            return self.schedule(wait, event);
        }
        match event {
            Event::Arrive { from, sent, message, .. } => self.arrive(to, from, sent, message),
            Event::Return { message, sent, reply, .. } => self.come_back(to, message, sent, *reply),
        }
    }

    fn arrive(&mut self, to: usize, from: IpAddr, sent: Ms, message: Message) {
        let now = self.now;
        self.go_back_to_older_state(to, &message);
        let group = self.machines[to].group.as_mut().expect("works");
        let (reply, out) = group.handle(from, message.clone(), now);
        if self.machines[to].disk.is_dark() {
            return self.send_if_lit(to, Vec::new());
        }
        self.send(to, out);
        let Some(back) = self.index(from) else { return };
        if let Some(delay) = self.arrival(to, back) {
            self.schedule(delay, Event::Return { to: back, message, sent, reply: Box::new(reply) });
        }
    }

    /// The planted mistake: a backup keeps any state of its epoch.
    fn go_back_to_older_state(&mut self, to: usize, message: &Message) {
        let Message::Replicate(epoch, state) = message else { return };
        let group = self.group(to).expect("works");
        let held = group.durable().state.position;
        let older = held.epoch == *epoch && state.position < held && group.durable().promised_epoch == *epoch;
        if self.bug == Bug::KeepsOlderState && older {
            let durable = DurableState { state: state.clone(), ..group.durable().clone() };
            self.machines[to].disk.overwrite(&durable);
            self.start(to, false);
        }
    }

    fn come_back(&mut self, to: usize, message: Message, sent: Ms, reply: Reply) {
        let now = self.now;
        let message = match self.bug == Bug::AnswerToAnother && self.lot.random_bool(0.02) {
            true => self.another_call(to).unwrap_or(message),
            false => message,
        };
        self.operators.answered(to, &message, sent, &reply);
        if matches!(message, Message::Leave(_)) && !reply.accepted {
            return self.go(to);
        }
        let out = self.machines[to].group.as_mut().expect("works").handle_reply(&message, sent, reply, now);
        self.send_if_lit(to, out);
    }

    /// The planted mistake: a call whose answer is taken for that to another one.
    fn another_call(&self, from: usize) -> Option<Message> {
        let ip = self.machines[from].ip;
        let mut calls = self.events.values().filter_map(|event| match event {
            Event::Arrive { from, message: message @ Message::Replicate(..), .. } if *from == ip => {
                Some(message)
            }
            _ => None,
        });
        calls.next_back().cloned()
    }

    /// An epoch has one primary.
    fn watch_leaders(&mut self) {
        for i in 0..self.machines.len() {
            let Some(group) = self.group(i) else { continue };
            let Some(view) = group.leads(self.now) else { continue };
            let (epoch, disk) = (view.epoch, group.durable().disk);
            if *self.leaders.entry(epoch).or_insert(disk) != disk {
                self.seen.broken = Some(format!("two primaries in epoch {epoch}"));
            }
        }
    }

    fn go_on_leaving(&mut self, i: usize) {
        let now = self.now;
        let Some(leaving) = &mut self.machines[i].leaving else { return };
        if now >= leaving.until {
            return self.go(i);
        }
        if now < leaving.asked + 100 {
            return;
        }
        leaving.asked = now;
        match self.group(i).expect("works").next_leave_step() {
            LeaveStep::Ready => self.go(i),
            LeaveStep::Wait => {}
            LeaveStep::Request(question) => self.send(i, vec![question]),
        }
    }

    /// A machine that was told to stop has stopped.
    fn go(&mut self, i: usize) {
        let Some(leaving) = self.machines[i].leaving.take() else { return };
        self.machines[i].group = None;
        match leaving.span {
            Some(span) => self.machines[i].down_until = self.now + span,
            None => self.machines[i].removed = true,
        }
        self.troubles.left(i, self.now, leaving.span);
    }

    /// After the calm somebody leads, and has everything that was acknowledged; and what was refused is not in force.
    fn check_end(&mut self) {
        let Some(leader) = self.leader() else {
            let stands = |m: &Machine| match &m.group {
                Some(group) => {
                    format!(
                        "{}: {:?} {:?}\n",
                        m.ip,
                        group.stage(),
                        DurableState { state: Default::default(), ..group.durable().clone() }
                    )
                }
                None => format!("{}: removed {}\n", m.ip, m.removed),
            };
            let all: String = self.machines.iter().map(stands).collect();
            self.seen.broken = Some(format!("nobody leads after the calm\n{all}"));
            return;
        };
        let group = self.group(leader).expect("leads");
        let broken = self.operators.check(&group.durable().state);
        let members = group.view().expect("leads").members.len();
        self.seen.broken = broken;
        let there = self.machines.iter().filter(|machine| !machine.removed).count();
        if members < there.min(2 * self.tolerance + 1) {
            self.seen.broken = Some("a member was lost and not replaced".to_string());
        }
    }
}
