//! Model checking of the control group: every interleaving of three members within bounds, with the real implementation.
//! Messages arrive in any order, now, later or never. Time advances in steps long enough to end a lease or to begin an
//! election. One machine is restarted or loses its disk, and two operators each propose a change to the same version.
use control::{
    ChangeId, Command, DurableState, Group, GroupSettings, Member, Message, Ms, Outgoing, Reply, Storage,
};
use rstest::rstest;
use settings::{Location, Tolerance};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

const MACHINES: usize = 3;
/// One step of time: longer than a member waits for a primary.
const TIME_STEP: Ms = 900;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Memory;

impl Storage for Memory {
    fn save(&mut self, _: &DurableState) {}
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Packet {
    Request { sent: Ms, from: usize, to: usize, message: Message },
    Reply { sent: Ms, to: usize, message: Message, reply: Box<Reply> },
}

impl Packet {
    /// A key that identifies and orders the packets in flight.
    fn key(&self) -> Vec<u8> {
        match self {
            Packet::Request { sent, from, to, message } => {
                borsh::to_vec(&(0u8, *sent, *from as u64, *to as u64, message)).unwrap()
            }
            Packet::Reply { sent, to, message, reply } => {
                borsh::to_vec(&(1u8, *sent, *to as u64, message, reply)).unwrap()
            }
        }
    }
}

/// How many actions of each kind may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    time_steps: u8,
    restarts: u8,
    disk_losses: u8,
    proposals: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    machines: Vec<Group<Memory>>,
    in_flight: BTreeMap<Vec<u8>, Packet>,
    now: Ms,
    remaining: Bounds,
    next_disk: u64,
    /// Proposed changes that aren't committed yet: the machine, the change and its version.
    pending: Vec<(usize, ChangeId, u64)>,
    /// Versions that were confirmed, all built on version 0.
    confirmed: BTreeSet<u64>,
    /// The disk of the primary, by epoch.
    leaders: BTreeMap<u64, u64>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Vec<u8>),
    AdvanceTime,
    Restart(usize),
    LoseDisk(usize),
    Propose(usize),
}

fn ip(i: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, i as u8 + 1))
}

fn machine(i: usize, durable: DurableState, founder: bool, now: Ms) -> Group<Memory> {
    let me = Member { disk: durable.disk, name: format!("m{i}"), ip: ip(i), location: Location::default() };
    let founders = (0..MACHINES).map(ip).collect();
    Group::new(
        GroupSettings { me, founders, founder, tolerance: Tolerance::of_machines(1) },
        durable,
        Memory,
        now,
    )
}

impl World {
    /// A group with a primary and no messages in flight.
    fn founded(remaining: Bounds) -> World {
        let fresh = |i: usize| DurableState { disk: i as u64 + 1, ..DurableState::default() };
        let machines = (0..MACHINES).map(|i| machine(i, fresh(i), true, 1)).collect();
        let mut world = World {
            machines,
            in_flight: BTreeMap::new(),
            now: 1,
            remaining,
            next_disk: 10,
            pending: Vec::new(),
            confirmed: BTreeSet::new(),
            leaders: BTreeMap::new(),
            violation: None,
        };
        while world.now < 1_000 {
            world.advance_time(10);
            while let Some((_, packet)) = world.in_flight.pop_first() {
                world.deliver(packet);
            }
        }
        assert!(world.leader().is_some());
        world
    }

    fn leader(&self) -> Option<usize> {
        (0..MACHINES).find(|i| self.machines[*i].leads(self.now).is_some())
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            let Some(to) = (0..MACHINES).find(|i| ip(*i) == to) else { continue };
            let packet = Packet::Request { sent: self.now, from, to, message };
            self.in_flight.insert(packet.key(), packet);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Request { sent, from, to, message } => {
                let (reply, outgoing) = self.machines[to].handle(ip(from), message.clone(), now);
                self.send(to, outgoing);
                let packet = Packet::Reply { sent, to: from, message, reply: Box::new(reply) };
                self.in_flight.insert(packet.key(), packet);
            }
            Packet::Reply { sent, to, message, reply } => {
                let outgoing = self.machines[to].handle_reply(&message, sent, *reply, now);
                self.send(to, outgoing);
            }
        }
        self.check_invariants();
    }

    fn advance_time(&mut self, span: Ms) {
        self.now += span;
        for i in 0..MACHINES {
            let outgoing = self.machines[i].tick(self.now);
            self.send(i, outgoing);
        }
        self.check_invariants();
    }

    fn restart(&mut self, i: usize, durable: DurableState) {
        self.machines[i] = machine(i, durable, false, self.now);
        self.pending.retain(|(at, _, _)| *at != i);
    }

    fn propose(&mut self, i: usize, version: u64) {
        let body = format!(r#"{{"Version":{version},"Routes":[],"Backends":[]}}"#).into_bytes();
        let proposed = self.machines[i].try_propose(&Command::Configure { base: 0, body }, self.now);
        if let Some(Ok((change, outgoing))) = proposed {
            self.send(i, outgoing);
            self.pending.push((i, change, version));
        }
        self.check_invariants();
    }

    /// Records confirmed changes and primaries, and checks the invariants.
    fn check_invariants(&mut self) {
        for i in 0..MACHINES {
            let Some(view) = self.machines[i].leads(self.now) else { continue };
            let (epoch, disk) = (view.epoch, self.machines[i].durable().disk);
            if *self.leaders.entry(epoch).or_insert(disk) != disk {
                self.violation = Some("an epoch has two primaries");
            }
        }
        for (i, change, version) in self.pending.clone() {
            if self.machines[i].is_committed(change, self.now) == Some(true) {
                self.confirmed.insert(version);
            }
        }
        if self.confirmed.len() > 1 {
            self.violation = Some("two changes to one version are confirmed");
        }
        let newest = |i: &usize| self.machines[*i].view().map(|view| view.epoch);
        let leads = |i: &usize| self.machines[*i].leads(self.now).is_some();
        if let Some(i) = (0..MACHINES).filter(leads).max_by_key(newest) {
            let applied = &self.machines[i].durable().state.applied;
            let lost = |version: &u64| !applied.iter().any(|applied| applied.version == *version);
            // An earlier primary may still hold its lease, but it can't confirm anything any more.
            let latest = self.leaders.keys().max() == self.machines[i].view().map(|view| view.epoch).as_ref();
            if latest && self.confirmed.iter().any(lost) {
                self.violation = Some("a confirmed change is lost");
            }
        }
    }
}

struct Exhaustive(Bounds);

impl Model for Exhaustive {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::founded(self.0)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        actions.extend(world.in_flight.keys().cloned().map(Action::Deliver));
        if world.remaining.time_steps > 0 {
            actions.push(Action::AdvanceTime);
        }
        for i in 0..MACHINES {
            if world.remaining.restarts > 0 {
                actions.push(Action::Restart(i));
            }
            if world.remaining.disk_losses > 0 {
                actions.push(Action::LoseDisk(i));
            }
            if world.remaining.proposals > 0 && world.machines[i].leads(world.now).is_some() {
                actions.push(Action::Propose(i));
            }
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut world = world.clone();
        match action {
            Action::Deliver(key) => {
                let packet = world.in_flight.remove(&key)?;
                world.deliver(packet);
            }
            Action::AdvanceTime => {
                world.remaining.time_steps -= 1;
                world.advance_time(TIME_STEP);
            }
            Action::Restart(i) => {
                world.remaining.restarts -= 1;
                let durable = world.machines[i].durable().clone();
                world.restart(i, durable);
            }
            Action::LoseDisk(i) => {
                world.remaining.disk_losses -= 1;
                let disk = world.next_disk;
                world.next_disk += 1;
                world.restart(i, DurableState { disk, ..DurableState::default() });
            }
            Action::Propose(i) => {
                world.remaining.proposals -= 1;
                let version = 10 + u64::from(world.remaining.proposals);
                world.propose(i, version);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no invariant is violated", |_, world: &World| world.violation.is_none())]
    }
}

/// At most this many states are visited; if the bounds allow fewer, all of them are.
const MAX_STATES: usize = 600_000;

#[rstest]
#[case::one_step(Bounds { time_steps: 1, restarts: 0, disk_losses: 0, proposals: 1 })]
#[case::elections(Bounds { time_steps: 3, restarts: 0, disk_losses: 0, proposals: 1 })]
#[case::a_restart(Bounds { time_steps: 2, restarts: 1, disk_losses: 0, proposals: 1 })]
#[case::a_lost_disk(Bounds { time_steps: 2, restarts: 0, disk_losses: 1, proposals: 1 })]
#[case::two_proposals(Bounds { time_steps: 2, restarts: 0, disk_losses: 0, proposals: 2 })]
fn no_interleaving_violates_an_invariant(#[case] bounds: Bounds) {
    let checker = Exhaustive(bounds).checker().threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    let all = if checker.state_count() < MAX_STATES { "all" } else { "not all" };
    println!("{bounds:?}: {states} states ({all} within the bounds), {depth} actions deep");
    checker.assert_properties();
    assert!(states > 1_000, "too few states to be conclusive");
}
