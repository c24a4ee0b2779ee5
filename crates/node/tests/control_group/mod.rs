//! Control machines and watchers on a simulated network, operators, and troubles of the primary.
mod operators;

use control::{DurableState, Storage};
use net::http::{Answer, Request};
use net::rpc::Peers;
use net::runtime::{self, sleep};
use net::wake::Watched;
use node::calls::{Call, Custody, Hello, News, Role};
use node::control::{api, Control};
use node::process::{Clock, Process};
use node::watch::{watch, Known};
use operators::Operators;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::{Location, ProcessSettings};
use simulation::clock::WORLD;
use simulation::network::{Network, Tamper};
use simulation::{ProcessId, Simulation};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

pub type Ms = u64;

const PORT: u16 = 7_000;
/// Three members, and two machines that may take a place.
const MACHINES: u8 = 5;
const FOUNDERS: u8 = 3;
const WATCHERS: u8 = 4;
const LENGTH_MS: Ms = 45_000;
const STEP_MS: Ms = 10;
/// The platform's bounds.
const CONTACT_MS: Ms = 4_000;
const CONFIG_APPLY_MS: Ms = 3_000;
const MAX_SKEW_MS: Ms = 12_000;
/// How long an operator waits for an answer.
const OPERATOR_MS: Ms = 3_000;

/// What happens to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Freeze,
    /// It is cut off from the other control machines, and they from it.
    Cut,
    /// What they say doesn't reach it.
    CutToPrimary,
    /// What it says doesn't reach them.
    CutFromPrimary,
    Kill,
    PowerLoss,
    /// It stops, and comes back with an empty disk.
    Wipe,
    /// It stands still, and so does the one that leads then.
    Twice,
}

/// What plays showed.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub acknowledged: usize,
    pub reads: usize,
    pub troubles: usize,
    /// The longest from an acknowledgement until all watchers had the version, outside of troubles and within.
    pub longest_calm_ms: Ms,
    pub longest_ms: Ms,
    pub broken: Option<String>,
}

impl Played {
    pub fn add(&mut self, other: &Played) {
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.troubles += other.troubles;
        self.longest_calm_ms = self.longest_calm_ms.max(other.longest_calm_ms);
        self.longest_ms = self.longest_ms.max(other.longest_ms);
    }
}

/// The disk of a machine: what was saved last.
#[derive(Clone, Default)]
struct SavedState(Rc<RefCell<DurableState>>);

impl Storage for SavedState {
    fn save(&mut self, durable: &DurableState) {
        *self.0.borrow_mut() = durable.clone();
    }
}

struct Running {
    id: ProcessId,
    control: Rc<Control>,
}

struct Machine {
    disk: SavedState,
    running: Option<Running>,
}

fn ip_of(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, number))
}

fn founders() -> Vec<IpAddr> {
    (1..=FOUNDERS).map(ip_of).collect()
}

fn settings(number: u8) -> ProcessSettings {
    let seeds: Vec<String> = founders().iter().map(|ip| format!("\"{ip}:{PORT}\"")).collect();
    let ip = ip_of(number);
    let text = format!(
        "NodeName: c{number}\nIp: {ip}\nZone: z\nPortRange: [{PORT}, {}]\nSeeds: [{}]\nListenAddresses: {{}}\n\
         Bootstrap: true\nLimits: {{ MemoryMb: 256, MaxFds: 1024, DiskMb: 64 }}\nFaultTolerance: {{ Machines: 1 }}\n",
        PORT + 2,
        seeds.join(", ")
    );
    ProcessSettings::parse(&text).expect("sound settings")
}

/// All machines and what happened.
pub struct World {
    simulation: Simulation,
    network: Network,
    machines: RefCell<Vec<Machine>>,
    watchers: Vec<Rc<Known>>,
    lot: RefCell<Pcg64Mcg>,
    /// When a trouble began or ended last, and whether there is one.
    last_trouble: Cell<Ms>,
    troubled: Cell<bool>,
    troubles: Cell<usize>,
    /// Rises with each acknowledgement of an order.
    pub acknowledgements: Watched,
    broken: RefCell<Option<String>>,
}

impl World {
    fn new(seed: u64) -> Rc<World> {
        let simulation = Simulation::new(seed);
        let network = Network::new(&simulation, seed);
        let machine = |_| Machine { disk: SavedState::default(), running: None };
        let watchers = (1..=WATCHERS).map(|number| start_watcher(&simulation, &network, number)).collect();
        Rc::new(World {
            simulation,
            network,
            machines: RefCell::new((1..=MACHINES).map(machine).collect()),
            watchers,
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            last_trouble: Cell::new(0),
            troubled: Cell::new(false),
            troubles: Cell::new(0),
            acknowledgements: Watched::default(),
            broken: RefCell::default(),
        })
    }

    pub fn ms(&self) -> Ms {
        self.simulation.ms()
    }

    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.lot.borrow_mut().random_range(range)
    }

    pub fn broke(&self, what: String) {
        let at = self.ms();
        self.broken.borrow_mut().get_or_insert(format!("at {at} ms: {what}"));
    }

    fn start(&self, number: u8) {
        let ip = ip_of(number);
        let id = self.simulation.new_process(&format!("c{number}"));
        self.network.power_on(ip);
        let mut machines = self.machines.borrow_mut();
        let machine = &mut machines[usize::from(number) - 1];
        let process = Process {
            settings: settings(number),
            clock: Clock::start(),
            stopping: Rc::new(Cell::new(false)),
        };
        let peers = Peers::on(self.network.transport(id, ip));
        let durable = machine.disk.0.borrow().clone();
        let control = Control::new(process, durable, Box::new(machine.disk.clone()), peers);
        let working = control.clone();
        self.simulation.spawn_in(id, async move { working.work() });
        let answering = control.clone();
        let handler = Rc::new(move |from, bytes| {
            let answer: std::pin::Pin<Box<dyn std::future::Future<Output = Vec<u8>>>> =
                Box::pin(answering.clone().answer(from, bytes));
            answer
        });
        self.network.listen(SocketAddr::new(ip, PORT), id, handler);
        machine.running = Some(Running { id, control });
    }

    fn stop(&self, number: u8, power_lost: bool) {
        let running = self.machines.borrow_mut()[usize::from(number) - 1].running.take();
        let Some(running) = running else { return };
        self.simulation.kill(running.id);
        self.network.end_process(running.id, ip_of(number), power_lost);
    }

    fn running(&self, number: u8) -> Option<(ProcessId, Rc<Control>)> {
        let machines = self.machines.borrow();
        let running = machines[usize::from(number) - 1].running.as_ref()?;
        Some((running.id, running.control.clone()))
    }

    /// Calls the operator's API of a machine.
    pub async fn call(&self, number: u8, request: Request) -> Option<Answer> {
        let (id, control) = self.running(number)?;
        let answer = Rc::new(RefCell::new(None));
        let come = Rc::new(Watched::default());
        let (put, raise) = (answer.clone(), come.clone());
        self.simulation.spawn_in(id, async move {
            *put.borrow_mut() = Some(api::answer(control, request).await);
            raise.raise();
        });
        let _ = runtime::timeout(Duration::from_millis(OPERATOR_MS), come.changed(0)).await;
        let answer = answer.borrow_mut().take();
        answer
    }

    /// A machine that takes itself for the primary.
    async fn primary(&self) -> Option<u8> {
        for number in 1..=MACHINES {
            let Some((_, control)) = self.running(number) else { continue };
            let question = borsh::to_vec(&Call::Status).expect("writing to memory");
            let status = control.answer(ip_of(number), question).await;
            let text: String = borsh::from_slice(&status).expect("a text");
            let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            if status["leads"] == true {
                return Some(number);
            }
        }
        None
    }

    fn note_trouble(&self, troubled: bool) {
        self.troubled.set(troubled);
        self.last_trouble.set(self.ms());
    }

    async fn trouble(self: Rc<Self>, kinds: Vec<Trouble>) {
        while !kinds.is_empty() {
            sleep(Duration::from_millis(self.draw(1_000..9_000))).await;
            if self.draw(0..2) == 0 {
                // Right after an acknowledgement: watchers haven't heard of the version yet, or just do.
                self.acknowledgements.changed(self.acknowledgements.get()).await;
            }
            let Some(primary) = self.primary().await else { continue };
            let kind = kinds[self.draw(0..kinds.len() as u64) as usize];
            self.troubles.set(self.troubles.get() + 1);
            self.note_trouble(true);
            self.bring_about(kind, primary).await;
            self.note_trouble(false);
        }
    }

    async fn bring_about(&self, kind: Trouble, primary: u8) {
        let span = Duration::from_millis(self.draw(300..6_000));
        match kind {
            Trouble::Freeze => self.freeze(primary, span).await,
            Trouble::Cut => self.cut(primary, true, true, span).await,
            Trouble::CutToPrimary => self.cut(primary, true, false, span).await,
            Trouble::CutFromPrimary => self.cut(primary, false, true, span).await,
            Trouble::Kill | Trouble::PowerLoss => {
                self.stop(primary, kind == Trouble::PowerLoss);
                sleep(span).await;
                self.start(primary);
            }
            Trouble::Wipe => {
                self.stop(primary, true);
                self.machines.borrow_mut()[usize::from(primary) - 1].disk = SavedState::default();
                sleep(span).await;
                self.start(primary);
            }
            Trouble::Twice => {
                self.freeze(primary, span).await;
                if let Some(next) = self.primary().await {
                    self.freeze(next, span).await;
                }
            }
        }
    }

    async fn freeze(&self, number: u8, span: Duration) {
        let Some((id, _)) = self.running(number) else { return };
        self.simulation.freeze(id);
        sleep(span).await;
        self.simulation.thaw(id);
    }

    async fn cut(&self, number: u8, to: bool, from: bool, span: Duration) {
        for other in (1..=MACHINES).filter(|other| *other != number) {
            if to {
                self.network.cut(ip_of(other), ip_of(number));
            }
            if from {
                self.network.cut(ip_of(number), ip_of(other));
            }
        }
        sleep(span).await;
        self.network.heal();
    }
}

fn start_watcher(simulation: &Simulation, network: &Network, number: u8) -> Rc<Known> {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 2, number));
    let process = simulation.new_process(&format!("e{number}"));
    let hello = Hello {
        name: format!("e{number}"),
        ip,
        location: Location::default(),
        role: Role::Edge,
        disk: 0,
        custody: Custody::default(),
    };
    let known = Known::new(founders());
    let peers = Rc::new(Peers::on(network.transport(process, ip)));
    simulation.spawn_in(process, watch(known.clone(), peers, move || hello.clone(), PORT, founders()));
    known
}

/// Looks at the watchers: the newest acknowledged version within the bounds, and never an older one than before.
struct Judge {
    world: Rc<World>,
    operators: Rc<Operators>,
    highest: Vec<u64>,
    longest_calm_ms: Ms,
    longest_ms: Ms,
}

impl Judge {
    fn look(&mut self) {
        let now = self.world.ms();
        // Troubles touch control machines alone: watchers are in touch once the core is stable for long enough.
        let stable_since = self.world.last_trouble.get();
        let stable = !self.world.troubled.get() && now >= stable_since + CONTACT_MS;
        for (watcher, highest) in self.world.watchers.iter().zip(&mut self.highest) {
            let version = watcher.version();
            if version < *highest {
                self.world.broke(format!("CONFIG: version {version} after {highest}"));
            }
            *highest = version;
            let Some(waiting) = self.operators.acknowledged_ms_of_next(version) else { continue };
            let late = now.saturating_sub(waiting);
            self.longest_ms = self.longest_ms.max(late);
            if stable {
                self.longest_calm_ms = self.longest_calm_ms.max(late);
            }
            let bound = if stable { CONFIG_APPLY_MS } else { CONFIG_APPLY_MS + MAX_SKEW_MS };
            if late > bound {
                self.world.broke(format!("CONFIG: a watcher goes by version {version}, {late} ms late"));
            }
        }
    }
}

/// A planted mistake: watchers are told of no configuration, from a time on.
struct HoldsBack {
    world: Rc<World>,
    from: Ms,
}

impl Tamper for HoldsBack {
    fn change_answer(&self, call: &[u8], answer: Vec<u8>) -> Vec<u8> {
        let is_question = matches!(borsh::from_slice(call), Ok(Call::Watch(..)));
        if !is_question || self.world.ms() < self.from {
            return answer;
        }
        let news: News = borsh::from_slice(&answer).expect("news");
        borsh::to_vec(&News { configuration: None, ..news }).expect("writing to memory")
    }
}

/// Plays one seed; with the planted mistake, configurations are held back from the middle on.
pub fn play(seed: u64, troubles: &[Trouble], holds_back: bool) -> Played {
    let world = World::new(seed);
    if holds_back {
        let from = LENGTH_MS / 2;
        world.network.set_tamper(Rc::new(HoldsBack { world: world.clone(), from }));
    }
    (1..=MACHINES).for_each(|number| world.start(number));
    let operators = Rc::new(Operators::new(world.clone()));
    world.simulation.spawn_in(WORLD, operators.clone().order());
    world.simulation.spawn_in(WORLD, operators.clone().read());
    world.simulation.spawn_in(WORLD, world.clone().trouble(troubles.to_vec()));
    let highest = vec![0; world.watchers.len()];
    let mut judge = Judge {
        world: world.clone(),
        operators: operators.clone(),
        highest,
        longest_calm_ms: 0,
        longest_ms: 0,
    };
    while world.ms() < LENGTH_MS && world.broken.borrow().is_none() {
        world.simulation.run_for(Duration::from_millis(STEP_MS));
        judge.look();
    }
    let played = Played {
        acknowledged: operators.count(),
        reads: operators.reads.get(),
        troubles: world.troubles.get(),
        longest_calm_ms: judge.longest_calm_ms,
        longest_ms: judge.longest_ms,
        broken: world.broken.borrow().clone(),
    };
    runtime::simulate(None);
    played
}
