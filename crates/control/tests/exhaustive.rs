//! The control group, every interleaving within bounds: three members and the program's own steps. Messages that were
//! sent arrive in any order, now, later or never; time passes in steps that let a lease end and an election begin; one
//! machine is restarted or loses its disk; two operators send an order each, on one version.
use control::{
    ChangeId, Command, DurableState, Group, GroupSettings, Member, Message, Ms, Outgoing, Reply, Storage,
};
use rstest::rstest;
use settings::{Location, Tolerance};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

const MACHINES: usize = 3;
/// One step of time: more than the patience of a member.
const STEP: Ms = 900;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Memory;

impl Storage for Memory {
    fn save(&mut self, _: &DurableState) {}
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Packet {
    Asks { sent: Ms, from: usize, to: usize, message: Message },
    Answers { sent: Ms, to: usize, message: Message, reply: Box<Reply> },
}

impl Packet {
    /// For an order of its own: packets are kept in a set.
    fn key(&self) -> Vec<u8> {
        match self {
            Packet::Asks { sent, from, to, message } => {
                borsh::to_vec(&(0u8, *sent, *from as u64, *to as u64, message)).unwrap()
            }
            Packet::Answers { sent, to, message, reply } => {
                borsh::to_vec(&(1u8, *sent, *to as u64, message, reply)).unwrap()
            }
        }
    }
}

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    steps: u8,
    restarts: u8,
    wipes: u8,
    orders: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    machines: Vec<Group<Memory>>,
    net: BTreeMap<Vec<u8>, Packet>,
    now: Ms,
    left: Bounds,
    next_disk: u64,
    /// Orders that a machine is at.
    waiting: Vec<(usize, ChangeId, u64)>,
    /// Versions that were confirmed, all built on version 0.
    confirmed: BTreeSet<u64>,
    /// Who led each epoch.
    leaders: BTreeMap<u64, u64>,
    broken: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Vec<u8>),
    Pass,
    Restart(usize),
    Wipe(usize),
    Order(usize),
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
    /// A group that leads, with nothing on its way.
    fn founded(left: Bounds) -> World {
        let fresh = |i: usize| DurableState { disk: i as u64 + 1, ..DurableState::default() };
        let machines = (0..MACHINES).map(|i| machine(i, fresh(i), true, 1)).collect();
        let mut world = World {
            machines,
            net: BTreeMap::new(),
            now: 1,
            left,
            next_disk: 10,
            waiting: Vec::new(),
            confirmed: BTreeSet::new(),
            leaders: BTreeMap::new(),
            broken: None,
        };
        while world.now < 1_000 {
            world.pass(10);
            while let Some((_, packet)) = world.net.pop_first() {
                world.deliver(packet);
            }
        }
        assert!(world.leader().is_some());
        world
    }

    fn leader(&self) -> Option<usize> {
        (0..MACHINES).find(|i| self.machines[*i].leads(self.now).is_some())
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let Some(to) = (0..MACHINES).find(|i| ip(*i) == to) else { continue };
            let packet = Packet::Asks { sent: self.now, from, to, message };
            self.net.insert(packet.key(), packet);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Asks { sent, from, to, message } => {
                let (reply, out) = self.machines[to].handle(ip(from), message.clone(), now);
                self.send(to, out);
                let answer = Packet::Answers { sent, to: from, message, reply: Box::new(reply) };
                self.net.insert(answer.key(), answer);
            }
            Packet::Answers { sent, to, message, reply } => {
                let out = self.machines[to].handle_reply(&message, sent, *reply, now);
                self.send(to, out);
            }
        }
        self.look();
    }

    fn pass(&mut self, span: Ms) {
        self.now += span;
        for i in 0..MACHINES {
            let out = self.machines[i].tick(self.now);
            self.send(i, out);
        }
        self.look();
    }

    fn restart(&mut self, i: usize, durable: DurableState) {
        self.machines[i] = machine(i, durable, false, self.now);
        self.waiting.retain(|(at, _, _)| *at != i);
    }

    fn order(&mut self, i: usize, version: u64) {
        let body = format!(r#"{{"Version":{version},"Routes":[],"Backends":[]}}"#).into_bytes();
        let proposed = self.machines[i].try_propose(&Command::Configure { base: 0, body }, self.now);
        if let Some(Ok((change, out))) = proposed {
            self.send(i, out);
            self.waiting.push((i, change, version));
        }
        self.look();
    }

    /// Notes what is confirmed and who leads, and whether that may be.
    fn look(&mut self) {
        for i in 0..MACHINES {
            let Some(view) = self.machines[i].leads(self.now) else { continue };
            let (epoch, disk) = (view.epoch, self.machines[i].durable().disk);
            if *self.leaders.entry(epoch).or_insert(disk) != disk {
                self.broken = Some("an epoch has two primaries");
            }
        }
        for (i, change, version) in self.waiting.clone() {
            if self.machines[i].is_committed(change, self.now) == Some(true) {
                self.confirmed.insert(version);
            }
        }
        if self.confirmed.len() > 1 {
            self.broken = Some("two orders on one version are confirmed");
        }
        let newest = |i: &usize| self.machines[*i].view().map(|view| view.epoch);
        let leads = |i: &usize| self.machines[*i].leads(self.now).is_some();
        if let Some(i) = (0..MACHINES).filter(leads).max_by_key(newest) {
            let taken = &self.machines[i].durable().state.applied;
            let lost = |version: &u64| !taken.iter().any(|taken| taken.version == *version);
            // An earlier primary may lead by its lease still; it confirms nothing any more.
            let latest = self.leaders.keys().max() == self.machines[i].view().map(|view| view.epoch).as_ref();
            if latest && self.confirmed.iter().any(lost) {
                self.broken = Some("what was confirmed is lost");
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
        actions.extend(world.net.keys().cloned().map(Action::Deliver));
        if world.left.steps > 0 {
            actions.push(Action::Pass);
        }
        for i in 0..MACHINES {
            if world.left.restarts > 0 {
                actions.push(Action::Restart(i));
            }
            if world.left.wipes > 0 {
                actions.push(Action::Wipe(i));
            }
            if world.left.orders > 0 && world.machines[i].leads(world.now).is_some() {
                actions.push(Action::Order(i));
            }
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut world = world.clone();
        match action {
            Action::Deliver(key) => {
                let packet = world.net.remove(&key)?;
                world.deliver(packet);
            }
            Action::Pass => {
                world.left.steps -= 1;
                world.pass(STEP);
            }
            Action::Restart(i) => {
                world.left.restarts -= 1;
                let durable = world.machines[i].durable().clone();
                world.restart(i, durable);
            }
            Action::Wipe(i) => {
                world.left.wipes -= 1;
                let disk = world.next_disk;
                world.next_disk += 1;
                world.restart(i, DurableState { disk, ..DurableState::default() });
            }
            Action::Order(i) => {
                world.left.orders -= 1;
                let version = 10 + u64::from(world.left.orders);
                world.order(i, version);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("nothing is broken", |_, world: &World| world.broken.is_none())]
    }
}

/// So many states are looked at, at the most; where there are fewer within the bounds, all are.
const MOST_STATES: usize = 600_000;

#[rstest]
#[case::one_step(Bounds { steps: 1, restarts: 0, wipes: 0, orders: 1 })]
#[case::elections(Bounds { steps: 3, restarts: 0, wipes: 0, orders: 1 })]
#[case::a_restart(Bounds { steps: 2, restarts: 1, wipes: 0, orders: 1 })]
#[case::a_lost_disk(Bounds { steps: 2, restarts: 0, wipes: 1, orders: 1 })]
#[case::two_orders(Bounds { steps: 2, restarts: 0, wipes: 0, orders: 2 })]
fn no_interleaving_breaks_it(#[case] bounds: Bounds) {
    let checker = Exhaustive(bounds).checker().threads(2).target_state_count(MOST_STATES).spawn_bfs().join();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    let all = if checker.state_count() < MOST_STATES { "all" } else { "not all" };
    println!("{bounds:?}: {states} states ({all} within the bounds), {depth} steps deep");
    checker.assert_properties();
    assert!(states > 1_000, "too few to tell");
}
