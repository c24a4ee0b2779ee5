//! A network of group members in simulated time. Messages are delayed, duplicated, lost, and held up by partitions;
//! machines are killed, frozen, wiped, replaced, asked to leave, or lose power. Operators send configuration changes and
//! reads to any machine, repeat them, and record the answers.
mod disk;
mod faults;
mod operators;

use control::{Command, DurableState, Group, GroupSettings, LeaveStep, Member, Message, Ms, Outgoing, Reply};
use disk::{ControlDisk as _, Memory, MemoryStorage};
use faults::FaultInjection;
use operators::Operators;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

pub use faults::Regime;

/// One step of simulated time.
const STEP: Ms = 10;
/// The time in which a new system reaches its full size.
const STARTUP_TIME: Ms = 5_000;
/// The time in which another machine becomes primary after a loss of everything that may be lost at once.
const FAILOVER_TIMEOUT: Ms = 2_500;
/// The time in which the group has to recover after the last fault.
const RECOVERY_TIME: Ms = 12_000;

/// A bug that is planted to see whether the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// Acknowledges a change before the backup has it.
    EarlyAcknowledgement,
    /// A member whose disk was wiped keeps its old identity.
    ReusesIdentity,
    /// A disk loses the stored state.
    LosesState,
    /// A disk loses the accepted view.
    LosesView,
    /// A disk loses the promised epoch.
    LosesPromise,
    /// A disk loses the record of applied configurations.
    LosesAppliedConfigurations,
    /// A backup returns to an older state that arrives late.
    AcceptsOlderState,
    /// A read is answered without confirmation by a majority.
    ReadsUnconfirmed,
    /// A reply is attributed to another request.
    MisroutedReply,
    /// A leaving member doesn't wait until others hold its state.
    StopsWithoutWaiting,
    /// Members are chosen without regard to zones and regions.
    IgnoresLocations,
}

struct Machine {
    ip: IpAddr,
    disk: Memory,
    group: Option<Group<MemoryStorage>>,
    /// When a machine that is down starts again.
    down_until: Ms,
    frozen_until: Ms,
    /// A planned stop in progress.
    leaving: Option<Leaving>,
    /// It was removed permanently.
    removed: bool,
    founder: bool,
}

/// A single loss on an otherwise healthy network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// A disk: the machine is back after half a second with an empty disk.
    Disk,
    /// A machine, permanently: an empty one with another address is added after a second.
    Machine,
    /// A planned replacement: the empty machine is added first.
    Planned,
}

/// A planned stop of a machine.
struct Leaving {
    /// The machine stops at this time at the latest.
    deadline: Ms,
    last_request: Ms,
    /// How long the machine stays down; permanently if empty.
    downtime: Option<Ms>,
}

enum Event {
    DeliverMessage { to: usize, from: IpAddr, sent: Ms, message: Message },
    DeliverReply { to: usize, message: Message, sent: Ms, reply: Box<Reply> },
}

/// What happened in a run, and the first violated property.
#[derive(Debug, Default)]
pub struct Outcome {
    pub acknowledged: usize,
    pub repeats: usize,
    pub rejected: usize,
    pub reads: usize,
    pub epochs: usize,
    pub replaced: usize,
    pub violation: Option<String>,
}

/// A simulated network of group members, with its operators and faults.
pub struct Network {
    rng: Pcg64Mcg,
    now: Ms,
    machines: Vec<Machine>,
    events: BTreeMap<(Ms, u64), Event>,
    /// Numbers the events, which are ordered by time and then by this number.
    next_event_number: u64,
    next_disk: u64,
    bug: Bug,
    /// How many machines may be lost at once.
    tolerance: usize,
    /// What may be lost at once, as the machines are configured.
    configured_tolerance: Tolerance,
    /// The locations of the first machines; further machines have the default location.
    locations: Vec<Location>,
    /// If set, all machines act at the same times, at this interval, and all messages take equally long.
    lockstep_interval: Option<Ms>,
    /// No message is lost or arrives very late.
    reliable: bool,
    operators: Operators,
    faults: FaultInjection,
    /// The disk of the primary, by epoch.
    leaders: BTreeMap<u64, u64>,
    outcome: Outcome,
}

impl Network {
    /// `count` machines, of which the first three are the founders.
    pub fn new(seed: u64, count: usize, tolerance: usize, bug: Bug) -> Network {
        Network::with_regime(seed, count, tolerance, bug, Regime::Tolerated)
    }

    /// The same with another fault regime.
    pub fn with_regime(seed: u64, count: usize, tolerance: usize, bug: Bug, regime: Regime) -> Network {
        let mut network = Network {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 1,
            machines: Vec::new(),
            events: BTreeMap::new(),
            next_event_number: 0,
            next_disk: 100,
            bug,
            tolerance,
            configured_tolerance: Tolerance::of_machines(tolerance),
            locations: Vec::new(),
            lockstep_interval: None,
            reliable: false,
            operators: Operators::default(),
            faults: FaultInjection::new(regime),
            leaders: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for _ in 0..count {
            network.add_machine(true);
        }
        network
    }

    /// Machines at these locations, on a reliable network; the first three are the founders.
    pub fn with_locations(
        seed: u64,
        locations: Vec<Location>,
        configured_tolerance: Tolerance,
        bug: Bug,
    ) -> Network {
        let mut network = Network::new(seed, 0, configured_tolerance.copies(), bug);
        network.configured_tolerance = match bug {
            Bug::IgnoresLocations => Tolerance::of_machines(configured_tolerance.machines),
            _ => configured_tolerance,
        };
        network.reliable = true;
        let count = locations.len();
        network.locations = locations;
        for _ in 0..count {
            network.add_machine(true);
        }
        network
    }

    /// Loses all machines at some locations, permanently or for a while, immediately after a change was confirmed. Fails if
    /// no machine becomes primary in time, or if a confirmed change is lost.
    pub fn survives_loss(
        mut self,
        is_lost: impl Fn(&Location) -> bool,
        downtime: Option<Ms>,
    ) -> Result<(), String> {
        self.run_without_faults(STARTUP_TIME + 3_000);
        let confirmed = self.operators.confirmed_count();
        while self.operators.confirmed_count() == confirmed {
            self.step();
        }
        let lost: Vec<usize> = (0..self.machines.len()).filter(|i| is_lost(&self.locations[*i])).collect();
        for i in lost {
            self.power_off(i, downtime.unwrap_or(0));
            self.machines[i].removed = downtime.is_none();
        }
        self.run_without_faults(self.now + FAILOVER_TIMEOUT);
        if self.leader().is_none() {
            return Err("no primary after the loss".to_string());
        }
        self.run_without_faults(self.now + RECOVERY_TIME);
        self.check_final_state();
        self.outcome.violation.map_or(Ok(()), Err)
    }

    /// The unmet tolerance that the primary reports after a start without faults.
    pub fn unmet_tolerance(mut self) -> Option<String> {
        self.run_without_faults(STARTUP_TIME + 3_000);
        self.group(self.leader().expect("a primary")).expect("is running").unmet_tolerance()
    }

    /// Like [`Network::new`] with a tolerance of one machine, with machines that all act at the same times.
    pub fn in_lockstep(seed: u64, count: usize, every: Ms) -> Network {
        Network { lockstep_interval: Some(every), ..Network::new(seed, count, 1, Bug::None) }
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

    /// Kills all machines at once after a start without faults; the time from their restart until one is primary again.
    pub fn recovery_time(mut self) -> Option<Ms> {
        self.run_without_faults(STARTUP_TIME);
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

    /// Advances the time without faults.
    pub fn run_without_faults(&mut self, until: Ms) {
        while self.now < until {
            self.step();
        }
    }

    /// Loses a machine or a disk on a reliable network, after a start without faults. The time until the next loss is
    /// tolerated, from the start of the replacement or from the end of the planned leave.
    pub fn time_until_next_loss_is_tolerated(mut self, loss: Loss) -> Option<Ms> {
        self.reliable = true;
        self.run_without_faults(STARTUP_TIME + 2_000);
        let i = self.rng.random_range(0..self.machines.len());
        match loss {
            Loss::Disk => {
                self.wipe(i, 500);
                self.run_without_faults(self.now + 500);
            }
            Loss::Machine => {
                self.machines[i].group = None;
                self.machines[i].removed = true;
                self.run_without_faults(self.now + 1_000);
                self.add_machine(false);
            }
            Loss::Planned => {
                self.add_machine(false);
                self.run_without_faults(self.now + 4_500);
                self.machines[i].leaving =
                    Some(Leaving { deadline: self.now + 3_000, last_request: 0, downtime: None });
                while !self.machines[i].removed {
                    self.step();
                }
            }
        }
        let from = self.now;
        while self.now < from + 20_000 {
            if self.tolerates_a_loss() {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    /// Whether there is a primary whose view is complete: all members run, and no previous members have a vote.
    fn tolerates_a_loss(&self) -> bool {
        let Some(group) = self.leader().and_then(|leader| self.group(leader)) else { return false };
        let view = group.view().expect("is primary");
        let is_running = |disk: u64| {
            self.machines.iter().filter_map(|m| m.group.as_ref()).any(|g| g.durable().disk == disk)
        };
        let is_stable = view.previous_members.is_empty() || view.previous_members == view.members;
        let is_complete = view.members.len() == 2 * self.tolerance + 1;
        is_complete && is_stable && view.members.iter().all(|member| is_running(member.disk))
    }

    /// The machine that holds a valid lease as primary, in the latest epoch if there are several.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            self.is_running(*i) && self.group(*i).is_some_and(|group| group.leads(self.now).is_some())
        };
        let epoch = |i: &usize| self.group(*i).and_then(|group| group.view()).map(|view| view.epoch);
        (0..self.machines.len()).filter(leads).max_by_key(epoch)
    }

    fn group(&self, i: usize) -> Option<&Group<MemoryStorage>> {
        self.machines[i].group.as_ref()
    }

    fn drops_message(&mut self) -> bool {
        !self.reliable && self.lockstep_interval.is_none() && self.rng.random_bool(0.02)
    }

    fn delay(&mut self) -> Ms {
        match self.lockstep_interval {
            Some(_) => 10,
            // Sometimes a message waits until a connection has been reopened.
            None if !self.reliable && self.rng.random_bool(0.01) => self.rng.random_range(300..4_000),
            None => self.rng.random_range(1..25),
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
        let settings = GroupSettings { me, founders, founder, tolerance: self.configured_tolerance };
        machine.leaving = None;
        machine.group = Some(Group::new(settings, durable, storage, self.now));
    }

    fn schedule(&mut self, after: Ms, event: Event) {
        self.next_event_number += 1;
        self.events.insert((self.now + after, self.next_event_number), event);
    }

    fn index(&self, ip: IpAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.ip == ip)
    }

    /// The delay of a message that is sent now; none if it is lost. A message held up by a partition may arrive after it.
    fn arrival_delay(&mut self, from: usize, to: usize) -> Option<Ms> {
        if self.drops_message() {
            return None;
        }
        let delay = self.delay();
        if !self.faults.is_blocked(from, to) {
            return Some(delay);
        }
        let arrives_later = self.rng.random_bool(0.5);
        arrives_later.then(|| self.faults.partition_end().saturating_sub(self.now) + delay)
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            let Some(to) = self.index(to) else { continue };
            let (sent, ip) = (self.now, self.machines[from].ip);
            let copies = 1 + usize::from(self.lockstep_interval.is_none() && self.rng.random_bool(0.01));
            for _ in 0..copies {
                if let Some(delay) = self.arrival_delay(from, to) {
                    self.schedule(
                        delay,
                        Event::DeliverMessage { to, from: ip, sent, message: message.clone() },
                    );
                }
            }
        }
    }

    fn is_running(&self, i: usize) -> bool {
        let machine = &self.machines[i];
        machine.group.is_some() && self.now >= machine.frozen_until
    }

    /// Runs with faults for a time, then without, and checks the final state.
    pub fn run(mut self, fault_period: Ms) -> Outcome {
        let fault_end = self.now + fault_period;
        while self.now < fault_end + RECOVERY_TIME && self.outcome.violation.is_none() {
            if self.now < fault_end {
                self.inject_faults();
            } else if self.now < fault_end + STEP {
                self.end_all_faults();
            }
            self.step();
        }
        if self.outcome.violation.is_none() {
            self.check_final_state();
        }
        self.operators.add_to_outcome(&mut self.outcome);
        self.outcome.epochs = self.leaders.len();
        self.outcome
    }

    fn end_all_faults(&mut self) {
        self.faults.heal();
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
            self.process_event(event);
        }
        for i in 0..self.machines.len() {
            if self.is_running(i) && self.lockstep_interval.is_none_or(|every| self.now % every < STEP) {
                let now = self.now;
                let outgoing = self.machines[i].group.as_mut().expect("is running").tick(now);
                self.send_if_powered(i, outgoing);
                self.continue_leaving(i);
            }
        }
        self.check_leaders();
        self.run_operators();
    }

    /// Sends messages unless the disk lost power while the machine handled the event; it then goes down instead.
    fn send_if_powered(&mut self, i: usize, outgoing: Vec<Outgoing>) {
        if self.machines[i].disk.is_dark() {
            let downtime = self.rng.random_range(100..2_000);
            return self.power_off(i, downtime);
        }
        self.send(i, outgoing);
    }

    fn process_event(&mut self, event: Event) {
        let to = match &event {
            Event::DeliverMessage { to, .. } | Event::DeliverReply { to, .. } => *to,
        };
        if self.machines[to].group.is_none() {
            return;
        }
        if !self.is_running(to) {
            // Messages that wait in its sockets are read one after the other when it wakes up.
            let delay = self.machines[to].frozen_until - self.now + self.rng.random_range(0..400);
            return self.schedule(delay, event);
        }
        match event {
            Event::DeliverMessage { from, sent, message, .. } => {
                self.deliver_message(to, from, sent, message)
            }
            Event::DeliverReply { message, sent, reply, .. } => self.deliver_reply(to, message, sent, *reply),
        }
    }

    fn deliver_message(&mut self, to: usize, from: IpAddr, sent: Ms, message: Message) {
        let now = self.now;
        self.overwrite_with_older_state(to, &message);
        let group = self.machines[to].group.as_mut().expect("is running");
        let (reply, outgoing) = group.handle(from, message.clone(), now);
        if self.machines[to].disk.is_dark() {
            return self.send_if_powered(to, Vec::new());
        }
        self.send(to, outgoing);
        let Some(back) = self.index(from) else { return };
        if let Some(delay) = self.arrival_delay(to, back) {
            self.schedule(delay, Event::DeliverReply { to: back, message, sent, reply: Box::new(reply) });
        }
    }

    /// The planted bug: a backup stores any state of its epoch, also an older one.
    fn overwrite_with_older_state(&mut self, to: usize, message: &Message) {
        let Message::Replicate(epoch, state) = message else { return };
        let group = self.group(to).expect("is running");
        let stored = group.durable().state.position;
        let older =
            stored.epoch == *epoch && state.position < stored && group.durable().promised_epoch == *epoch;
        if self.bug == Bug::AcceptsOlderState && older {
            let durable = DurableState { state: state.clone(), ..group.durable().clone() };
            self.machines[to].disk.overwrite(&durable);
            self.start(to, false);
        }
    }

    fn deliver_reply(&mut self, to: usize, message: Message, sent: Ms, reply: Reply) {
        let now = self.now;
        let message = match self.bug == Bug::MisroutedReply && self.rng.random_bool(0.02) {
            true => self.other_request(to).unwrap_or(message),
            false => message,
        };
        self.operators.record_reply(to, &message, sent, &reply);
        if matches!(message, Message::Leave(_)) && !reply.accepted {
            return self.stop_machine(to);
        }
        let outgoing =
            self.machines[to].group.as_mut().expect("is running").handle_reply(&message, sent, reply, now);
        self.send_if_powered(to, outgoing);
    }

    /// The planted bug: another request from the same machine, to which a reply is attributed.
    fn other_request(&self, from: usize) -> Option<Message> {
        let ip = self.machines[from].ip;
        let mut calls = self.events.values().filter_map(|event| match event {
            Event::DeliverMessage { from, message: message @ Message::Replicate(..), .. } if *from == ip => {
                Some(message)
            }
            _ => None,
        });
        calls.next_back().cloned()
    }

    /// Checks that no epoch has two primaries.
    fn check_leaders(&mut self) {
        for i in 0..self.machines.len() {
            let Some(group) = self.group(i) else { continue };
            let Some(view) = group.leads(self.now) else { continue };
            let (epoch, disk) = (view.epoch, group.durable().disk);
            if *self.leaders.entry(epoch).or_insert(disk) != disk {
                self.outcome.violation = Some(format!("two primaries in epoch {epoch}"));
            }
        }
    }

    fn continue_leaving(&mut self, i: usize) {
        let now = self.now;
        let Some(leaving) = &mut self.machines[i].leaving else { return };
        if now >= leaving.deadline {
            return self.stop_machine(i);
        }
        if now < leaving.last_request + 100 {
            return;
        }
        leaving.last_request = now;
        match self.group(i).expect("is running").next_leave_step() {
            LeaveStep::Ready => self.stop_machine(i),
            LeaveStep::Wait => {}
            LeaveStep::Request(question) => self.send(i, vec![question]),
        }
    }

    /// Completes a planned stop.
    fn stop_machine(&mut self, i: usize) {
        let Some(leaving) = self.machines[i].leaving.take() else { return };
        self.machines[i].group = None;
        match leaving.downtime {
            Some(downtime) => self.machines[i].down_until = self.now + downtime,
            None => self.machines[i].removed = true,
        }
        self.faults.record_stop(i, self.now, leaving.downtime);
    }

    /// Checks that there is a primary after the period without faults, that it has every acknowledged change and no rejected
    /// one, and that lost members were replaced.
    fn check_final_state(&mut self) {
        let Some(leader) = self.leader() else {
            let describe = |m: &Machine| match &m.group {
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
            let all: String = self.machines.iter().map(describe).collect();
            self.outcome.violation = Some(format!("no primary after the recovery time\n{all}"));
            return;
        };
        let group = self.group(leader).expect("is primary");
        let violation = self.operators.check(&group.durable().state);
        let members = group.view().expect("is primary").members.len();
        self.outcome.violation = violation;
        let present = self.machines.iter().filter(|machine| !machine.removed).count();
        if members < present.min(2 * self.tolerance + 1) {
            self.outcome.violation = Some("a lost member was not replaced".to_string());
        }
    }
}
