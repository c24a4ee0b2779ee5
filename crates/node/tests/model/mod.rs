//! The program's own stores and edges in simulated time: their calls travel through a network that delays, stalls, cuts
//! and breaks, their disks outlast their processes or don't. Clients hand in messages through the edges, endpoints run
//! them, and both remember.
// Each test file uses a part of it.
#![allow(dead_code, unused_imports)]
mod connections;
mod control;
mod endpoints;
mod hot;
mod machine;
mod mistakes;
mod operations;
mod quota;
mod tenants;
mod troubles;

pub use control::RouteSpec;
pub use endpoints::{Counts, Doom, Sent, PUBLIC_ROUTE};
pub use hot::Tenant as HotTenant;
pub use mistakes::{Brings, DamagesBodies, Mistake};
pub use tenants::{Credential, Tenants, REVOKE};
pub use troubles::Regime;

use control::Control;
use endpoints::{Asked, Endpoints, Expected};
use machine::Machine;
use quota::Quota;

use ::control::Retirement;
use net::http::{Answer, Request};
use net::rpc::Peers;
use node::edge::Edge;
use node::process::{Clock, Process};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::{ProcessSettings, Tenant, Tolerance};
use simulation::clock::WORLD;
use simulation::network::{Network, Tamper};
use simulation::{ProcessId, Simulation};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use troubles::GRACE;

pub type Ms = u64;

/// The first port of members: that of control; stores have the next.
pub const PORT: u16 = 7_000;
const STEP: Ms = 10;
/// The stores are known and settled.
const FOUNDED: Ms = 4_000;
/// After a loss a machine has so long to be whole again.
pub const CATCH_UP: Ms = 4_500;
/// After the last trouble everything that was taken has to end within this.
const CALM: Ms = 40_000;
/// A repeat counts as one in calm if there was no trouble for so long.
pub const CONTACT: Ms = 4_000;
const EDGES: u8 = 2;
/// The longest that an edge works on an answer.
const LONGEST_ANSWER: Ms = 4_000;
/// A client's whole time for one message.
const DEADLINE_MS: &str = "1200";
/// Messages a step, on average.
const PACE: f64 = 0.25;
/// Attempts after which a message is a dead letter.
pub const MAX_ATTEMPTS: u32 = 6;
/// The longest body in the usual case, and now and then.
const BODY_BYTES: usize = 300;
const LONG_BODY_BYTES: usize = 6_000;
const LONG_BODY_SHARE: f64 = 0.03;
const EMPTY_BODY_SHARE: f64 = 0.05;
/// Every body that isn't empty begins with it.
pub const BODY_WORD: &[u8] = b"the words of ";
/// Messages a step with a key that opens nothing, on average, and the share of them with none at all.
const USELESS_KEYS: f64 = 0.02;
const MISSING_SHARE: f64 = 0.3;
/// The share of messages that can never be done.
const DOOMED_SHARE: f64 = 0.1;
/// The share of messages that are due after the run.
const FAR_SHARE: f64 = 0.04;
const FAR: Ms = 300_000;
/// Questions of clients about messages that were taken a step, on average.
const QUESTIONS: f64 = 0.1;
/// A machine is away for so long at a restart.
const RESTART: Ms = 500;
/// A message is sent so often to fill a log, and for so long at most.
const FILL_EVERY: Ms = 20;
const LONGEST_FILL: Ms = 30_000;
/// At the end so many messages are asked for at the same time.
const ASKED_AT_ONCE: usize = 50;

pub fn ip_of_control() -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, 1))
}

fn ip_of_edge(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 2, number + 1))
}

/// Where the machines stand, and what may be lost at once.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Machines that may be lost.
    pub tolerance: usize,
    /// Machines stand in so many regions by turns, and one of these may be lost; in one zone, if there are none.
    pub regions: u8,
    /// Edges without news for long let in nothing that needs a key.
    pub closed: bool,
}

impl Deployment {
    /// What may be lost at once, as the settings say it.
    fn declared(&self) -> Tolerance {
        Tolerance { machines: self.tolerance, zones: 0, regions: usize::from(self.regions > 0) }
    }

    /// The region of a machine.
    pub fn region(&self, number: usize) -> usize {
        number % usize::from(self.regions.max(1))
    }

    /// The settings of a process on a machine.
    pub fn settings(&self, name: &str, ip: IpAddr, number: usize) -> ProcessSettings {
        let seed = SocketAddr::new(ip_of_control(), PORT);
        let (place, lost) = match self.regions {
            0 => ("Zone: z\n".to_string(), String::new()),
            _ => {
                let region = self.region(number);
                (format!("Zone: zone-{region}\nRegion: region-{region}\n"), ", Regions: 1".to_string())
            }
        };
        let text = format!(
            "NodeName: {name}\nIp: {ip}\n{place}PortRange: [{PORT}, {}]\nSeeds: [\"{seed}\"]\nListenAddresses: {{}}\n\
             Bootstrap: true\nLimits: {{ MemoryMb: 256, MaxFds: 1024, DiskMb: 64 }}\n\
             FaultTolerance: {{ Machines: {}{lost} }}\nBounds: {{ Closed: {}, RevokeMs: {REVOKE} }}\n",
            PORT + 2,
            self.tolerance,
            self.closed
        );
        ProcessSettings::parse(&text).unwrap()
    }
}

/// What a run shows of how much happened.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub counts: Counts,
    pub wiped: usize,
    pub rolled: usize,
    pub replaced: usize,
    pub retired: usize,
    pub given_up: usize,
    pub handed_back: usize,
    /// Operations of clients, and requests that were told the id of an earlier one.
    pub operations: usize,
    pub operation_repeats: usize,
    pub broken: Option<String>,
}

/// Stores, edges and all around them.
pub struct World {
    simulation: Simulation,
    network: Network,
    control: Rc<Control>,
    tenants: Rc<Tenants>,
    /// Between two rotations of keys, if there are any.
    rotates_every: Option<Ms>,
    next_rotation: Ms,
    endpoints: Rc<Endpoints>,
    edges: Vec<(ProcessId, Rc<Edge>)>,
    machines: Vec<Machine>,
    lot: Pcg64Mcg,
    tolerance: usize,
    deployment: Deployment,
    mistake: Mistake,
    regime: Regime,
    messages: usize,
    /// Messages that were sent with a key that nobody holds, or none.
    useless: usize,
    cut_until: Ms,
    rough_until: Ms,
    /// Until when a machine counts as lost.
    lost_until: BTreeMap<usize, Ms>,
    /// A disk was lost, and what it held isn't whole again yet.
    owes_disk: bool,
    /// Stores that are to be restarted one after the other, and when the next is.
    roll: Vec<usize>,
    next_roll: Ms,
    /// The operator doesn't ask earlier how far retirements are.
    asks_from: Ms,
    /// Shares of cores are quotas.
    quota: Option<Quota>,
    /// Clients send operation keys, drawn from this lot, if it is there.
    operations: Option<Pcg64Mcg>,
    seen: Seen,
}

impl Drop for World {
    fn drop(&mut self) {
        net::runtime::simulate(None);
    }
}

impl World {
    /// All machines stand in one zone.
    pub fn new(seed: u64, count: usize, tolerance: usize, mistake: Mistake, regime: Regime) -> World {
        World::of(seed, count, Deployment { tolerance, regions: 0, closed: false }, mistake, regime)
    }

    pub fn of(seed: u64, count: usize, deployment: Deployment, mistake: Mistake, regime: Regime) -> World {
        let tolerance = deployment.tolerance;
        let simulation = Simulation::new(seed);
        let network = Network::new(&simulation, seed ^ 0x6e65_7477);
        if mistake != Mistake::None {
            network.set_tamper(Rc::new(mistake));
        }
        let tenants = Rc::new(Tenants::new(&simulation, seed ^ 0x7465_6e61));
        let control = Control::new(&simulation, &tenants, deployment.declared());
        control.retires_at_once.set(mistake == Mistake::RetiresBeforeTheCopy);
        let answering = control.clone();
        let handler = move |_, bytes| -> std::pin::Pin<Box<dyn std::future::Future<Output = Vec<u8>>>> {
            Box::pin(answering.clone().answer(bytes))
        };
        network.listen(SocketAddr::new(ip_of_control(), PORT), WORLD, Rc::new(handler));
        simulation.spawn_in(WORLD, control.clone().keep());
        let endpoints = Endpoints::new(&simulation, tenants.clone(), seed ^ 0x656e_6473);
        let mut world = World {
            control,
            tenants,
            rotates_every: None,
            next_rotation: FOUNDED,
            endpoints,
            edges: Vec::new(),
            machines: Vec::new(),
            lot: Pcg64Mcg::seed_from_u64(seed ^ 0x776f_726c),
            tolerance,
            deployment,
            mistake,
            regime,
            messages: 0,
            useless: 0,
            cut_until: 0,
            rough_until: 0,
            lost_until: BTreeMap::new(),
            owes_disk: false,
            roll: Vec::new(),
            next_roll: 0,
            asks_from: 0,
            quota: None,
            operations: None,
            seen: Seen::default(),
            simulation,
            network,
        };
        world.endpoints.calm_from.set(FOUNDED);
        (0..count).for_each(|_| world.add_machine());
        (0..EDGES).for_each(|number| world.add_edge(number));
        world
    }

    pub fn now(&self) -> Ms {
        self.simulation.ms()
    }

    fn add_machine(&mut self) {
        let machine = Machine::new(self.machines.len());
        self.machines.push(machine);
        self.start(self.machines.len() - 1);
    }

    fn start(&mut self, i: usize) {
        let seed = self.lot.random_range(0..u64::MAX);
        let (simulation, network, endpoints) = (&self.simulation, &self.network, &self.endpoints);
        let machine = &mut self.machines[i];
        let settings = self.deployment.settings(&machine.name, machine.ip, i);
        machine.start(simulation, network, endpoints, settings, seed, self.mistake.remembers());
    }

    fn add_edge(&mut self, number: u8) {
        let ip = ip_of_edge(number);
        let id = self.simulation.new_process(&format!("e{number}"));
        let process = Process {
            settings: self.deployment.settings(&format!("e{number}"), ip, usize::from(number)),
            clock: Clock::start(),
            stopping: Rc::new(Cell::new(false)),
        };
        let edge = Edge::new(process, Peers::on(self.network.transport(id, ip)));
        let following = edge.clone();
        self.simulation.spawn_in(id, async move { following.follow_control() });
        self.edges.push((id, edge));
    }

    /// Plays for a time with troubles, then until all has ended; then looks what became of every message.
    pub fn play(mut self, troubles_for: Ms) -> Seen {
        while self.now() < troubles_for && !self.is_broken() {
            self.trouble();
            self.rotate_keys();
            self.hand_in();
            self.hand_in_with_useless_key();
            self.ask_meanwhile();
            self.step();
        }
        self.end_troubles();
        let end = self.now() + CALM;
        while self.now() < end && !self.is_broken() {
            self.step();
        }
        if !self.is_broken() {
            self.endpoints.check_end();
            self.check_answers();
        }
        (self.seen.operation_repeats, self.seen.operations) = self.repeats_and_operations();
        self.seen.counts = self.endpoints.counts();
        self.seen.given_up =
            self.control.state.borrow().stores.stores.iter().filter(|s| s.declared_lost).count();
        self.seen.broken = self.endpoints.broken.borrow().clone();
        if self.seen.broken.is_some() {
            println!("{}", self.describe());
        }
        self.seen.clone()
    }

    /// What each machine and the stores' view look like, for a report.
    fn describe(&self) -> String {
        let mut lines: Vec<String> = self.machines.iter().map(Machine::describe).collect();
        let state = self.control.state.borrow();
        for store in &state.stores.stores {
            let (gone, heir) = (store.declared_lost, store.successor);
            let (retiring, emptied) = (store.retiring, store.emptied);
            let line = format!("view {} {:016x}", store.name, store.disk);
            lines
                .push(format!("{line}: gone {gone} heir {heir:016x?} retiring {retiring} emptied {emptied}"));
        }
        lines.join("\n")
    }

    fn is_broken(&self) -> bool {
        self.endpoints.broken.borrow().is_some()
    }

    fn step(&mut self) {
        self.simulation.run_for(Duration::from_millis(STEP));
        let now = self.now();
        self.spend_quotas();
        for i in 0..self.machines.len() {
            self.look_after(i, now);
        }
        self.take_retired_away();
        if now >= self.cut_until && self.cut_until > 0 {
            self.network.heal();
            self.cut_until = 0;
        }
        self.network.set_rough(now < self.rough_until);
    }

    /// Starts, thaws and ends the process of a machine when it is time.
    fn look_after(&mut self, i: usize, now: Ms) {
        let machine = &mut self.machines[i];
        if machine.removed {
            return;
        }
        if machine.frozen_until > 0 && now >= machine.frozen_until {
            machine.frozen_until = 0;
            machine.running.iter().for_each(|running| self.simulation.thaw(running.id));
        }
        let began_anew = machine.running.as_ref().is_some_and(|r| self.simulation.has_exited(r.id));
        if began_anew {
            machine.kill(&self.simulation, &self.network, false, &mut self.lot);
            machine.memory.wipe();
            machine.down_until = now + 300;
            self.seen.handed_back += 1;
        }
        self.go_on_stopping(i, now);
        let machine = &self.machines[i];
        if machine.running.is_none() && !machine.removed && now >= machine.down_until {
            self.start(i);
        }
    }

    fn go_on_stopping(&mut self, i: usize, now: Ms) {
        let Some(stopping) = self.machines[i].stopping else { return };
        let at_once = self.mistake == Mistake::LeavesBeforeTheCopy;
        if !at_once && now < stopping.until && !self.machines[i].has_ended() {
            return;
        }
        let machine = &mut self.machines[i];
        machine.kill(&self.simulation, &self.network, false, &mut self.lot);
        match stopping.away {
            Some(span) => machine.down_until = now + span,
            None => machine.removed = true,
        }
    }

    /// Machines whose retirement is completed go, with their disks.
    fn take_retired_away(&mut self) {
        if self.now() < self.asks_from {
            return;
        }
        let completed: Vec<String> = {
            let state = self.control.state.borrow();
            let is_completed = |name: &String| state.stores.retirement(name) == Some(Retirement::Completed);
            self.machines.iter().map(|machine| machine.name.clone()).filter(is_completed).collect()
        };
        for name in completed {
            let machine = self.machines.iter_mut().find(|m| m.name == name && !m.removed);
            if let Some(machine) = machine {
                machine.kill(&self.simulation, &self.network, true, &mut self.lot);
                machine.removed = true;
                self.seen.retired += 1;
                self.wipe_after_retirement();
            }
        }
    }

    /// Lets time pass without clients.
    pub fn advance(&mut self, span: Ms) {
        let until = self.now() + span;
        while self.now() < until {
            self.step();
        }
    }

    /// A client sends one message without a key; all runs take a fixed time from now on.
    pub fn send_one(&mut self, id: &str, run_takes: Ms) {
        self.endpoints.all_take.set(Some(run_takes));
        self.hand_over(id, Sent::default());
    }

    /// A client sends one message that can never be done.
    pub fn send_doomed(&mut self, id: &str, doom: Doom, wants_callback: bool) {
        self.hand_over(id, Sent { doom: Some(doom), wants_callback, ..Sent::default() });
    }

    /// A client sends one message that is due after a time.
    pub fn send_delayed(&mut self, id: &str, delay: Ms) {
        let wants_callback = self.lot.random_bool(0.5);
        self.hand_over(id, Sent { due: self.now() + delay, wants_callback, ..Sent::default() });
    }

    /// From now on endpoints send each answer that doesn't end its message a second time, so much later.
    pub fn answer_again_after(&mut self, span: Ms) {
        self.endpoints.answers_again_after.set(Some(span));
    }

    /// The receivers of call-backs are down for a time.
    pub fn receivers_down(&mut self, span: Ms) {
        self.endpoints.receivers_down_until.set(self.now() + span);
    }

    /// A machine is without power for a time; its disk is lost, too, or stays.
    pub fn power_off(&mut self, i: usize, span: Ms, wiped: bool) {
        self.kill(i, span, true);
        if wiped {
            self.machines[i].memory.wipe();
        }
    }

    /// A machine is told to stop, and is taken away with its disk once its process has ended.
    pub fn stop_for_good(&mut self, i: usize) {
        let until = self.now() + GRACE;
        self.machines[i].tell_to_stop(until, None);
        while !self.machines[i].removed {
            self.step();
        }
    }

    /// Adds an empty store, which owns no partition; returns the number of its machine.
    pub fn add_store(&mut self) -> usize {
        self.add_machine();
        self.machines.len() - 1
    }

    /// A machine is told to stop, and is started again once its process has ended.
    pub fn restart(&mut self, i: usize) {
        let until = self.now() + GRACE;
        self.machines[i].tell_to_stop(until, Some(RESTART));
        while self.machines[i].stopping.is_some() {
            self.step();
        }
        self.advance(RESTART);
    }

    /// Sends messages with long bodies until a store has freed so many more files of its log.
    pub fn fill_log(&mut self, i: usize, files: usize) {
        let freed = |world: &World| world.machines[i].store().map_or(0, |store| store.log.released_files());
        let (wanted, until) = (freed(self) + files, self.now() + LONGEST_FILL);
        while freed(self) < wanted {
            assert!(self.now() < until, "the log isn't filled in time");
            let id = format!("fill{}", self.messages);
            self.messages += 1;
            let body = BODY_WORD.iter().copied().cycle().take(LONG_BODY_BYTES).collect();
            self.hand_to(self.messages % self.edges.len(), &id, Sent { body, ..Sent::default() });
            self.advance(FILL_EVERY);
        }
    }

    /// What is broken by now, if every message that was taken has to be done.
    pub fn broken(&self) -> Option<String> {
        self.endpoints.check_end();
        let broken = self.endpoints.broken.borrow().clone();
        broken
    }

    /// The tenants in force, and what was in force before.
    pub fn tenants(&self) -> Rc<Tenants> {
        self.tenants.clone()
    }

    /// The operator's next configuration has no list of tenants.
    pub fn configure_without_tenants(&self) {
        self.tenants.enforce(Vec::new());
        self.control.configure(None);
    }

    /// The operator's next configuration has these routes and no list of tenants.
    pub fn configure_routes(&self, routes: &[RouteSpec]) {
        self.tenants.enforce(Vec::new());
        self.control.configure_routes(routes);
    }

    /// Clients ask an edge, which answers at once or after a while.
    pub fn ask(&mut self, edge: usize, request: Request) -> Answer {
        let (process, edge) = self.edges[edge].clone();
        let answered = Rc::new(RefCell::new(None));
        let told = answered.clone();
        self.simulation.spawn_in(process, async move {
            *told.borrow_mut() = Some(edge.answer(request).await);
        });
        let until = self.now() + LONGEST_ANSWER;
        while answered.borrow().is_none() && self.now() < until {
            self.step();
        }
        let answer = answered.borrow_mut().take();
        answer.expect("an edge answers in time")
    }

    /// A client asks an edge for the state of a message, with a key or without.
    pub fn ask_state(&mut self, edge: usize, id: &str, key: Option<&str>) -> Answer {
        self.ask(edge, get(&format!("/v1/message/{id}"), key))
    }

    /// A client asks an edge for the body of a message, with a key or without.
    pub fn ask_body(&mut self, edge: usize, id: &str, key: Option<&str>) -> Answer {
        self.ask(edge, get(&format!("/v1/message-body/{id}"), key))
    }

    /// An edge hears nothing of control, and control nothing of it, until the network heals.
    pub fn cut_off_from_control(&self, edge: usize) {
        let (ip, control) = (ip_of_edge(edge as u8), ip_of_control());
        self.network.cut(ip, control);
        self.network.cut(control, ip);
    }

    /// All that was cut is joined again.
    pub fn heal(&self) {
        self.network.heal();
    }

    /// An edge stands still until it is thawed; what is sent to it waits.
    pub fn freeze_edge(&self, edge: usize) {
        self.simulation.freeze(self.edges[edge].0);
    }

    /// An edge goes on.
    pub fn thaw_edge(&self, edge: usize) {
        self.simulation.thaw(self.edges[edge].0);
    }

    /// Whether an edge calls itself ready.
    pub fn is_ready(&self, edge: usize) -> bool {
        let (process, edge) = self.edges[edge].clone();
        let ready = Rc::new(Cell::new(false));
        let told = ready.clone();
        self.simulation.spawn_in(process, async move { told.set(edge.is_ready()) });
        self.simulation.run_for(Duration::from_millis(1));
        ready.get()
    }

    /// The status that answered a message's client, if it has an answer.
    pub fn told(&self, id: &str) -> Option<u16> {
        self.endpoints.told_of(id)
    }

    /// Each begin of a message: when, and by which store.
    pub fn begins(&self, id: &str) -> Vec<(Ms, String)> {
        self.endpoints.begins(id)
    }

    /// The service of each run of a message.
    pub fn services(&self, id: &str) -> Vec<String> {
        self.endpoints.services(id)
    }

    /// Asks for a store to be emptied.
    pub fn retire(&self, name: &str) {
        self.control.retire(name);
    }

    /// The operator doesn't ask how far retirements are for a time: machines stay that could be taken away.
    pub fn leave_retired_for(&mut self, span: Ms) {
        self.asks_from = self.now() + span;
    }

    /// From now on each process has a share of a core that is a quota: once it is spent, the process stands still for the
    /// rest of a tenth of a second.
    pub fn set_quota(&mut self) {
        self.quota = Some(Quota::default());
    }

    fn spend_quotas(&mut self) {
        let (now, machines) = (self.now(), &self.machines);
        let Some(quota) = &mut self.quota else { return };
        let working = machines.iter().filter(|machine| now >= machine.frozen_until);
        let stores = working.filter_map(|machine| machine.running.as_ref().map(|running| running.id));
        let processes: Vec<ProcessId> = stores.chain(self.edges.iter().map(|(id, _)| *id)).collect();
        quota.spend(&self.simulation, now, &processes, &mut self.lot);
    }

    /// Changes calls on their way.
    pub fn set_tamper(&self, tamper: Rc<dyn Tamper>) {
        self.network.set_tamper(tamper);
    }

    /// Now and then a client sends a message.
    fn hand_in(&mut self) {
        if self.now() < FOUNDED || !self.lot.random_bool(PACE) {
            return;
        }
        let id = format!("m{}", self.messages);
        self.messages += 1;
        let key = self.lot.random_bool(0.4).then(|| format!("k{}", self.lot.random_range(0..12)));
        let delay = match key.is_none() && self.lot.random_bool(FAR_SHARE) {
            true => FAR,
            false if self.lot.random_bool(0.2) => self.lot.random_range(500..12_000),
            false => 0,
        };
        let doom = match self.lot.random_bool(DOOMED_SHARE) {
            true if self.lot.random_bool(0.5) => Some(Doom::Fails),
            true => Some(Doom::Refused),
            false => None,
        };
        let wants_callback = key.is_none() && self.lot.random_bool(0.5);
        let body = Vec::new();
        let due = self.now() + delay;
        let message = Sent { key, wants_callback, body, doom, due, ..Sent::default() };
        if !self.hand_over_as_operation(&id, &message) {
            self.hand_over(&id, message);
        }
    }

    /// Now and then a client sends a message with no key, or with one that nobody holds.
    fn hand_in_with_useless_key(&mut self) {
        if self.now() < FOUNDED || !self.tenants.happens(USELESS_KEYS) {
            return;
        }
        let id = format!("u{}", self.useless);
        self.useless += 1;
        let credential = match self.tenants.happens(MISSING_SHARE) {
            true => Credential::Missing,
            false => Credential::Key(self.tenants.useless_key()),
        };
        let (edge, body) = (self.useless % self.edges.len(), id.clone().into_bytes());
        self.hand_to(edge, &id, Sent { credential, body, ..Sent::default() });
    }

    /// From now on keys of tenants are taken away and added, one each.
    pub fn rotate_keys_every(&mut self, span: Ms) {
        self.rotates_every = Some(span);
    }

    fn rotate_keys(&mut self) {
        let Some(span) = self.rotates_every.filter(|_| self.now() >= self.next_rotation) else { return };
        self.next_rotation = self.now() + span;
        self.configure(self.tenants.rotated());
    }

    /// The operator's next configuration has these tenants.
    pub fn configure(&self, listed: Vec<Tenant>) {
        self.tenants.enforce(listed);
        self.control.configure(Some(self.tenants.as_json()));
    }

    /// A body that no other message has, unless it is empty.
    fn draw_body(&mut self, id: &str) -> Vec<u8> {
        if self.lot.random_bool(EMPTY_BODY_SHARE) {
            return Vec::new();
        }
        let longest = if self.lot.random_bool(LONG_BODY_SHARE) { LONG_BODY_BYTES } else { BODY_BYTES };
        let text = [BODY_WORD, id.as_bytes(), b"; "].concat();
        let length = self.lot.random_range(text.len()..longest);
        text.into_iter().cycle().take(length).collect()
    }

    fn hand_over(&mut self, id: &str, mut message: Sent) {
        message.body = self.draw_body(id);
        let edge = self.lot.random_range(0..self.edges.len());
        self.hand_to(edge, id, message);
    }

    /// A client sends a message, as it is, through an edge.
    pub fn hand_to(&mut self, edge: usize, id: &str, mut message: Sent) {
        message.api_key = self.tenants.resolve(&message.credential);
        let (process, edge) = self.edges[edge].clone();
        let request = request(id, &message, message.due.saturating_sub(self.now()));
        self.endpoints.sent(id, message);
        let (id, endpoints) = (id.to_string(), self.endpoints.clone());
        self.simulation.spawn_in(process, async move {
            let answer = edge.answer(request).await;
            endpoints.told(&id, answer.status, &queue_id(&answer));
        });
    }

    /// Now and then a client asks for the state or the body of a message that it has sent.
    fn ask_meanwhile(&mut self) {
        if self.messages == 0 || !self.lot.random_bool(QUESTIONS) {
            return;
        }
        let id = format!("m{}", self.lot.random_range(0..self.messages));
        let (process, edge) = self.edges[self.lot.random_range(0..self.edges.len())].clone();
        let (endpoints, wants_body) = (self.endpoints.clone(), self.lot.random_bool(0.5));
        let asked_at = self.now();
        let key = self.key_to_ask_with(self.endpoints.api_key_of(&id).as_deref());
        self.simulation.spawn_in(process, async move {
            if wants_body {
                let answer = edge.answer(get(&format!("/v1/message-body/{id}"), key.as_deref())).await;
                endpoints.body_shown(&id, asked_at, answer.status, &answer.body);
            } else {
                let answer = edge.answer(get(&format!("/v1/message/{id}"), key.as_deref())).await;
                endpoints.state_shown(&id, asked_at, answer.status, &String::from_utf8_lossy(&answer.body));
            }
        });
    }

    /// A key that the tenant holds now that once sent this one.
    fn key_to_ask_with(&self, sent: Option<&str>) -> Option<String> {
        sent.and_then(|key| self.tenants.holder(key)).and_then(|name| self.tenants.key_of(&name))
    }

    /// In calm the state of every message is told as it is, and the body of each that is live or dead comes back.
    pub fn check_answers(&mut self) {
        let taken = self.endpoints.taken();
        for (turn, asked) in taken.chunks(ASKED_AT_ONCE).enumerate() {
            let (process, edge) = self.edges[turn % self.edges.len()].clone();
            for asked in asked.iter().cloned() {
                let (edge, endpoints) = (edge.clone(), self.endpoints.clone());
                let key = self.key_to_ask_with(asked.api_key.as_deref());
                self.simulation
                    .spawn_in(process, async move { check_answers_about(edge, endpoints, asked, key).await });
            }
            self.advance(400);
        }
        self.advance(3_000);
    }
}

/// Asks for the state and the body of a message, and compares both with what has to come.
async fn check_answers_about(edge: Rc<Edge>, endpoints: Rc<Endpoints>, asked: Asked, key: Option<String>) {
    let Asked { id, body, expected, .. } = asked;
    let key = key.as_deref();
    let state = edge.clone().answer(get(&format!("/v1/message/{id}"), key)).await;
    let told = String::from_utf8_lossy(&state.body).into_owned();
    let right = match expected {
        Expected::Queued => told.contains("queued"),
        Expected::Completed => state.status == 503 || told.contains("completed"),
        Expected::DeadLetter => told.contains("dead_letter"),
    };
    if !right {
        endpoints.broke(format!("STATE: {id} is {expected:?}, told {} {told}", state.status));
    }
    let shown = edge.answer(get(&format!("/v1/message-body/{id}"), key)).await;
    endpoints.body_shown(&id, Ms::MAX, shown.status, &shown.body);
    let owed = expected != Expected::Completed;
    if owed && (shown.status != 200 || shown.body != body) {
        let (status, came) = (shown.status, shown.body.len());
        endpoints.broke(format!(
            "MIXED: {id} is {expected:?}; of its {} bytes came {status}, {came} bytes",
            body.len()
        ));
    }
}

/// The message that a client's answer names.
fn queue_id(answer: &net::http::Answer) -> String {
    let named = answer.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("x-queue-message-id"));
    named.map_or(String::new(), |(_, id)| id.to_string())
}

/// A question of a client, with a key or without.
pub fn get(target: &str, api_key: Option<&str>) -> Request {
    let (mut headers, body) = (http::HeaderMap::new(), bytes::Bytes::new());
    if let Some(key) = api_key {
        headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
    }
    Request { method: http::Method::GET, target: target.to_string(), headers, body, keep_alive: true }
}

/// A message as a client sends it.
pub fn request(id: &str, message: &Sent, delay: Ms) -> Request {
    let mut headers = http::HeaderMap::new();
    headers.insert("host", "h".parse().unwrap());
    headers.insert("x-request-id", id.parse().unwrap());
    headers.insert("x-deadline-ms", DEADLINE_MS.parse().unwrap());
    if delay > 0 {
        headers.insert("x-delay-ms", delay.to_string().parse().unwrap());
    }
    if let Some(key) = &message.key {
        headers.insert("x-ordering-key", key.parse().unwrap());
    }
    if let Some(operation) = &message.operation {
        headers.insert("x-operation-key", operation.parse().unwrap());
    }
    if message.wants_callback {
        headers.insert("x-callback-url", format!("http://10.0.9.200:{PORT}/done").parse().unwrap());
    }
    if let Some(key) = &message.api_key {
        headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
    }
    // Whoever sends it: the endpoints are told the tenant that holds the key.
    headers.insert("x-tenant", "smuggled".parse().unwrap());
    let (target, body) = (format!("/{}/{id}", message.route()), message.body.clone().into());
    Request { method: http::Method::POST, target, headers, body, keep_alive: true }
}
