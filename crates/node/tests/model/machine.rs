//! A machine of the model: the program's own store on a simulated disk.
use super::endpoints::Endpoints;
use super::{Ms, PORT};
use net::client::Client;
use net::rpc::Peers;
use net::runtime::sleep;
use node::process::{Clock, Process};
use node::store::log::{execute, open_ring, Disk, DiskJob, Log};
use node::store::{Store, StoreClients};
use queue::{Entry, Queue};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use ringlog::{Ring, Shape};
use settings::ProcessSettings;
use simulation::disk::Memory;
use simulation::network::Network;
use simulation::{ProcessId, Simulation};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const SHAPE: Shape = Shape { segments: 10, segment_bytes: 64 * 1024 };
/// A sync takes so long in the usual case, and now and then, in milliseconds.
const SYNC_MS: std::ops::Range<u64> = 2..9;
const SLOW_SYNC_MS: std::ops::Range<u64> = 20..120;
const SLOW_SHARE: f64 = 0.02;

/// What a store remembers of a record at a restart; less than all with a planted mistake.
pub type Remembers = fn(Entry) -> Option<Entry>;

/// A process of a store.
pub struct Running {
    pub id: ProcessId,
    pub store: Rc<RefCell<Option<Rc<Store>>>>,
    stopping: Rc<Cell<bool>>,
    stopped: Rc<Cell<bool>>,
    device: Rc<RefCell<Option<Device>>>,
}

/// A planned stop that is under way.
#[derive(Clone, Copy)]
pub struct Stopping {
    /// The process is killed then.
    pub until: Ms,
    /// How long the machine is away afterwards, or for good.
    pub away: Option<Ms>,
}

/// One machine for a store.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub memory: Memory,
    pub running: Option<Running>,
    pub down_until: Ms,
    pub frozen_until: Ms,
    pub stopping: Option<Stopping>,
    pub removed: bool,
}

impl Machine {
    pub fn new(number: usize) -> Machine {
        Machine {
            name: format!("s{number}"),
            ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, number as u8 + 1)),
            memory: Memory::new(SHAPE.segments),
            running: None,
            down_until: 0,
            frozen_until: 0,
            stopping: None,
            removed: false,
        }
    }

    /// The store, once it has read its disk.
    pub fn store(&self) -> Option<Rc<Store>> {
        self.running.as_ref().and_then(|running| running.store.borrow().clone())
    }

    /// Its state, for a report.
    pub fn describe(&self) -> String {
        let Some(store) = self.store() else { return format!("{}: removed {}", self.name, self.removed) };
        let replicators: Vec<String> = store
            .replicators
            .borrow()
            .values()
            .map(|replicator| {
                format!(
                    "{:016x} settled {} leaving {}",
                    replicator.disk,
                    replicator.is_ready(),
                    replicator.is_draining()
                )
            })
            .collect();
        let untold = store.queue.borrow().all_owned().filter(|known| !known.unnotified.is_empty()).count();
        format!(
            "{} {:016x}: {:?}, leaving {} paused {} needs repair {} lacks {} untold {untold} taking {} running {} inheriting {:x?}; {}",
            self.name,
            store.disk,
            store.queue.borrow().counts(),
            store.draining.get(),
            store.paused.get(),
            store.needs_repair.get(),
            store.lacks_copies(),
            store.pending_accepts.get(),
            store.running_deliveries.get(),
            store.takeovers.borrow(),
            replicators.join(", ")
        )
    }

    pub fn works(&self, now: Ms) -> bool {
        self.store().is_some() && now >= self.frozen_until && !self.removed
    }

    /// Whether its process has ended by itself, as planned or to begin anew.
    pub fn has_ended(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.stopped.get())
    }

    /// Starts the program's store on this machine.
    pub fn start(
        &mut self,
        simulation: &Simulation,
        network: &Network,
        endpoints: &Rc<Endpoints>,
        settings: ProcessSettings,
        seed: u64,
        remembers: Remembers,
    ) {
        let id = simulation.new_process(&self.name);
        network.power_on(self.ip);
        let running = Running {
            id,
            store: Rc::default(),
            stopping: Rc::default(),
            stopped: Rc::default(),
            device: Rc::default(),
        };
        let address = SocketAddr::new(self.ip, PORT + 1);
        let (store, stopping, stopped) =
            (running.store.clone(), running.stopping.clone(), running.stopped.clone());
        let (device_place, memory, name, ip) =
            (running.device.clone(), self.memory.clone(), self.name.clone(), self.ip);
        let (network, endpoints) = (network.clone(), endpoints.clone());
        simulation.spawn_in(id, async move {
            let mut queue = Queue::default();
            let mut fold = |entry| {
                if let Some(entry) = remembers(entry) {
                    queue.replay(entry);
                }
            };
            let (ring, found) = open_ring(memory, SHAPE, &mut fold).unwrap();
            let device = Device::new(ring, seed);
            *device_place.borrow_mut() = Some(device.clone());
            let process = Process { settings, clock: Clock::start(), stopping };
            let clients = StoreClients {
                peers: Peers::on(network.transport(id, ip)),
                endpoints: Client::on(endpoints.reached_by(&name)),
                receivers: Client::on(endpoints.reached_by(&name)),
            };
            let opened = Store::open(&process, queue, Log::with_disk(Rc::new(device), found), clients);
            let opened = opened.await.unwrap();
            *store.borrow_mut() = Some(opened.clone());
            let answering = opened.clone();
            let handler =
                move |from, bytes| -> std::pin::Pin<Box<dyn std::future::Future<Output = Vec<u8>>>> {
                    Box::pin(answering.clone().answer(from, bytes))
                };
            network.listen(address, id, Rc::new(handler));
            opened.serve(&process.stopping).await;
            stopped.set(true);
        });
        self.running = Some(running);
    }

    /// The process is told to stop.
    pub fn tell_to_stop(&mut self, until: Ms, away: Option<Ms>) {
        if let Some(running) = &self.running {
            running.stopping.set(true);
            self.stopping = Some(Stopping { until, away });
        }
    }

    /// The process ends at once; with the power goes what wasn't synced.
    pub fn kill(&mut self, simulation: &Simulation, network: &Network, power: bool, lot: &mut Pcg64Mcg) {
        let Some(running) = self.running.take() else { return };
        simulation.kill(running.id);
        network.end_process(running.id, self.ip, power);
        let device = running.device.borrow_mut().take();
        if let Some(device) = device {
            device.abandon(lot);
        }
        if power {
            self.memory.lose_power(lot);
        }
        running.store.borrow_mut().take();
        self.stopping = None;
        self.frozen_until = 0;
    }
}

/// A disk that takes its time.
#[derive(Clone)]
struct Device(Rc<DeviceState>);

struct DeviceState {
    ring: RefCell<Ring<Memory>>,
    jobs: RefCell<VecDeque<DiskJob>>,
    works: Cell<bool>,
    lot: RefCell<Pcg64Mcg>,
}

impl Device {
    fn new(ring: Ring<Memory>, seed: u64) -> Device {
        Device(Rc::new(DeviceState {
            ring: RefCell::new(ring),
            jobs: RefCell::default(),
            works: Cell::new(false),
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }))
    }

    fn sync_time(&self) -> Duration {
        let mut lot = self.0.lot.borrow_mut();
        let range = if lot.random_bool(SLOW_SHARE) { SLOW_SYNC_MS } else { SYNC_MS };
        Duration::from_micros(lot.random_range(range.start * 1_000..range.end * 1_000))
    }

    async fn work(self) {
        while !self.0.jobs.borrow().is_empty() {
            sleep(self.sync_time()).await;
            let job = self.0.jobs.borrow_mut().pop_front().expect("seen above");
            execute(&mut self.0.ring.borrow_mut(), job);
        }
        self.0.works.set(false);
    }

    /// The process is gone: what was being written is there or not, and isn't synced.
    fn abandon(&self, lot: &mut Pcg64Mcg) {
        if let Some(DiskJob::Append(payloads, _)) = self.0.jobs.borrow_mut().pop_front() {
            if lot.random_bool(0.5) {
                let _ = self.0.ring.borrow_mut().append(&payloads);
            }
        }
    }
}

impl Disk for Device {
    fn submit(&self, job: DiskJob) {
        self.0.jobs.borrow_mut().push_back(job);
        if !self.0.works.replace(true) {
            net::runtime::spawn(self.clone().work());
        }
    }
}
