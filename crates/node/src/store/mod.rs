//! The store role: keeps messages on its disk and at another store, and delivers those that it owns.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`log`](mod@log) | records to the ring of files, by a thread of their own |
//! | [`bodies`] | damaged bodies are replaced by those of other stores |
//! | [`intake`] | messages are taken |
//! | `operations` | requests with one operation key are one message |
//! | `following` | what follows from each view of the stores |
//! | `compaction` | the oldest files of the log are written anew |
//! | [`copies`] | copies of each message at other stores |
//! | [`ended`] | copies of messages that have ended and of which something is owed |
//! | [`copier`] | the way to one other store: what it holds, and what it is told |
//! | [`races`] | messages that an edge gave to several stores |
//! | [`decided`] | what others know of a message before it is run in another store's place |
//! | [`preserve`] | copies of what an absent store owned are made whole by those that hold them |
//! | [`peers`] | what other members ask |
//! | [`leaving`] | planned stops, retirement, and the return of a store that was given up |
//! | [`takeover`] | what a lost store owned; ends of messages |
//! | [`quota`] | messages are counted against their tenants' quotas |
//! | [`quota_calls`] | calls to the stores that count, in batches |
//! | [`rates`] | shares of the rates of services, and what stores lend each other |
//! | [`endpoints`] | caps, doubts and choice of endpoints |
//! | [`deliver`] | messages to endpoints |
//! | [`callbacks`] | call-backs about ends |
pub mod bodies;
pub mod callbacks;
mod compaction;
pub mod copier;
pub mod copies;
pub mod decided;
pub mod deliver;
pub mod ended;
pub mod endpoints;
mod following;
pub mod intake;
pub mod leaving;
pub mod log;
mod operations;
pub mod peers;
pub mod preserve;
pub mod quota;
pub mod quota_calls;
pub mod races;
pub mod rates;
pub mod takeover;

use crate::calls::{Custody, Hello, Role};
use crate::process::{self, stopped, Clock, Process};
use crate::traffic;
use crate::watch::{watch, Known};
use anyhow::Context as _;
use monoio::net::TcpListener;
use net::client::Client;
use net::rpc::{serve, Peers};
use net::runtime;
use net::wake::Notify;
use queue::{Entry, Message, Queue};
use settings::{Location, ProcessSettings, Tolerance};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// How often repairs and the ring are looked after.
const CARE: Duration = Duration::from_millis(200);
/// How long recovered messages wait to hear whether others took them, in milliseconds.
const RECOVERED_WAIT: u64 = 1_200;
/// So many messages at most can have been given their order, and sent to other stores, by an earlier process whose disk
/// has no record of them.
const ORDERS_NOT_SYNCED: u64 = 1 << 16;
/// What is left of the grace when the process ends at the latest.
const RESERVE_S: f64 = 0.9;

/// One store process.
pub struct Store {
    pub settings: ProcessSettings,
    pub clock: Clock,
    pub started: u64,
    /// The identity of its disk.
    pub disk: u64,
    pub port: u16,
    pub known: Rc<Known>,
    pub peers: Rc<Peers>,
    pub log: Rc<log::Log>,
    pub queue: RefCell<Queue>,
    /// Messages that had not ended by what was read from the disk at the start.
    recovered: RefCell<BTreeSet<String>>,
    /// Recovered messages that other stores were given too, until they are looked after.
    raced: RefCell<Vec<Message>>,
    pub copiers: RefCell<BTreeMap<u64, Rc<copier::Copier>>>,
    /// For each owner the session in which its records are taken.
    sessions: RefCell<BTreeMap<u64, u64>>,
    pub endpoints: RefCell<endpoints::Endpoints>,
    pub buckets: RefCell<BTreeMap<String, rates::Bucket>>,
    /// Counts messages against tenants' quotas.
    pub counting: quota::Counting,
    pub client: Client,
    pub callbacks: callbacks::Callbacks,
    /// Wakes the delivery sender.
    pub work: Notify,
    /// Wakes the care for copies before its time.
    pub cared: Notify,
    /// Deliveries under way.
    pub running: Cell<usize>,
    /// Messages that are being taken.
    pub taking: Cell<usize>,
    /// Operations whose requests are being decided.
    pub reservations: operations::Reservations,
    /// Bytes of messages that are owned and not ended, about.
    pub turn: Cell<usize>,
    pub needs_repair: Cell<bool>,
    /// Where this store stands.
    pub location: Location,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Lost stores that are being taken over from, and those that were.
    pub inheriting: RefCell<BTreeMap<u64, takeover::Inheriting>>,
    pub inherited: RefCell<BTreeSet<u64>>,
    /// Messages that are being copied again.
    pub repairing: RefCell<BTreeSet<String>>,
    /// Messages that have ended are being copied again.
    copying_ended: Cell<bool>,
    /// Who is away, and whose copies are made whole because of it.
    pub absences: RefCell<queue::replication::AbsenceTracker>,
    /// The epoch of the stores' view by which this store acts.
    epoch: Cell<u64>,
    /// It is to be taken away; it does nothing any more that others don't know of.
    retiring: Cell<bool>,
    idle: Cell<bool>,
    /// It was given up, and gives back what may be nowhere else.
    given_up: Cell<bool>,
    /// Messages that other stores have taken, and that may still come here; with the time at which they said so.
    not_wanted: RefCell<HashMap<String, u64>>,
    /// Messages of which others were told that they were taken here.
    promised: RefCell<HashMap<String, races::Promise>>,
    /// Messages that other stores have asked for, until one has confirmed that it has them.
    asked_for: RefCell<BTreeMap<String, BTreeSet<u64>>>,
    /// Until then, or until all copies are known, messages that were recovered and may be elsewhere wait.
    pub recovered_until: Cell<u64>,
    /// About to stop: only ordered messages go on.
    pub leaving: Cell<bool>,
    /// Nothing is delivered or taken any more.
    pub paused: Cell<bool>,
    /// The last records are written: nothing is kept any more.
    closing: Cell<bool>,
    last_order: Cell<u64>,
}

/// Starts the role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}

async fn run(process: Process) -> anyhow::Result<()> {
    let folder = process.settings.data_dir.clone().context("DataDir is missing; give the store a disk")?;
    let mut queue = Queue::default();
    let shape = log::shape(process.settings.limits.disk_mb);
    let log = log::Log::open(Path::new(&folder), shape, &mut |entry| queue.replay(entry))?;
    let surroundings = Surroundings {
        peers: Peers::default(),
        endpoints: Client::counted_as("deliveries"),
        receivers: Client::counted_as("call-backs"),
    };
    let store = Store::open(&process, queue, log, surroundings).await?;
    let listener = TcpListener::bind(SocketAddr::new(store.settings.own_ip(), store.port))
        .context("the members' port is taken; free it")?;
    let answering = store.clone();
    runtime::spawn(serve(
        listener,
        Rc::new(move |from, bytes| Box::pin(answering.clone().answer(from, bytes))),
    ));
    store.serve(&process.stopping).await;
    Ok(())
}

/// How a store reaches what is around it.
pub struct Surroundings {
    /// Other members.
    pub peers: Peers,
    /// Endpoints, and receivers of call-backs.
    pub endpoints: Client,
    pub receivers: Client,
}

impl Store {
    /// A store that begins with what is on its disk: the queue as it was folded from the log.
    pub async fn open(
        process: &Process,
        mut queue: Queue,
        log: Rc<log::Log>,
        surroundings: Surroundings,
    ) -> anyhow::Result<Rc<Store>> {
        let is_new = queue.disk() == 0;
        if is_new {
            let disk = runtime::unique();
            anyhow::ensure!(
                log.write(&[Entry::Disk(disk)]).await,
                "the disk can't be written; check its space and health"
            );
            queue.replay(Entry::Disk(disk));
        }
        // Whose messages the others are is known by it: it is read first.
        log.begin_files_with(&Entry::Disk(queue.disk()));
        let superseded = queue.relinquish_duplicates();
        let raced = queue.finish_recovery();
        let live = queue.all_owned().filter(|owned| owned.is_live());
        let recovered = live.map(|owned| owned.id().to_string()).collect();
        let started = process.clock.ms();
        let left = queue.take_relinquished().into_iter().map(|id| (id, started)).collect();
        let taken_over = queue.taken_over().clone();
        let settings = process.settings.clone();
        let store = Rc::new(Store {
            clock: process.clock,
            started,
            disk: queue.disk(),
            counting: quota::Counting::new(queue.disk(), !is_new),
            port: settings.store_port(),
            known: Known::new(settings.seed_ips()),
            peers: Rc::new(surroundings.peers),
            log,
            last_order: Cell::new(queue.highest_sequence() + ORDERS_NOT_SYNCED),
            queue: RefCell::new(queue),
            recovered: RefCell::new(recovered),
            raced: RefCell::new(raced),
            copiers: RefCell::default(),
            sessions: RefCell::default(),
            endpoints: RefCell::default(),
            buckets: RefCell::default(),
            client: surroundings.endpoints,
            callbacks: callbacks::Callbacks::new(surroundings.receivers),
            work: Notify::default(),
            cared: Notify::default(),
            running: Cell::new(0),
            taking: Cell::new(0),
            reservations: operations::Reservations::default(),
            turn: Cell::new(0),
            needs_repair: Cell::new(true),
            location: settings.location(),
            tolerance: settings.tolerance(),
            inheriting: RefCell::default(),
            inherited: RefCell::new(taken_over),
            repairing: RefCell::default(),
            copying_ended: Cell::new(false),
            absences: RefCell::default(),
            recovered_until: Cell::new(process.clock.ms() + RECOVERED_WAIT),
            epoch: Cell::new(0),
            retiring: Cell::new(false),
            idle: Cell::new(false),
            given_up: Cell::new(false),
            not_wanted: RefCell::new(left),
            promised: RefCell::default(),
            asked_for: RefCell::default(),
            leaving: Cell::new(false),
            paused: Cell::new(false),
            closing: Cell::new(false),
            settings,
        });
        store.record_superseded(superseded);
        let queue::Counts { waiting, finished, replicas, .. } = store.queue.borrow().counts();
        ::log::info!(
            "disk {:016x}: {waiting} messages waiting, {finished} ended, {replicas} copies",
            store.disk
        );
        Ok(store)
    }

    /// Runs until the process is told to stop, and has stopped.
    pub async fn serve(self: Rc<Self>, stopping: &Cell<bool>) {
        let telling = self.clone();
        runtime::spawn(watch(
            self.known.clone(),
            self.peers.clone(),
            move || telling.hello(),
            self.settings.control_port(),
            self.settings.seed_ips(),
        ));
        runtime::spawn(self.clone().follow_stores());
        runtime::spawn(self.clone().follow_counters());
        runtime::spawn(self.clone().care());
        runtime::spawn(self.clone().log_traffic());
        runtime::spawn(deliver::deliver(self.clone()));
        runtime::spawn(self.clone().accept_raced(self.raced.take()));
        self.owed_callbacks();
        stopped(stopping).await;
        self.leave().await;
    }

    fn hello(&self) -> Hello {
        let inherited = self.inherited.borrow().iter().copied().collect();
        let custody = Custody {
            epoch: self.epoch.get(),
            whole: self.is_whole(),
            idle: self.idle.get(),
            leaving: self.leaving.get() && !self.retiring.get(),
            inherited,
        };
        Hello {
            name: self.settings.node_name.clone(),
            ip: self.settings.own_ip(),
            location: self.settings.location(),
            role: Role::Store,
            disk: self.disk,
            custody,
        }
    }

    /// Every message that has not ended is at another active store too.
    fn is_whole(&self) -> bool {
        let settled = self.copiers.borrow().values().all(|copier| copier.is_settled());
        settled && !self.needs_repair.get() && !self.lacks_copies()
    }

    async fn care(self: Rc<Self>) {
        loop {
            let _ = runtime::timeout(CARE, self.cared.notified()).await;
            self.look_for_absences();
            self.forget_not_wanted();
            if self.needs_repair.get() {
                self.repair().await;
            }
            self.keep_files_free().await;
        }
    }

    async fn log_traffic(self: Rc<Self>) {
        loop {
            runtime::sleep(traffic::LOG_EVERY).await;
            traffic::log(&self.traffic());
        }
    }

    /// What this store has sent since it started, by purpose and distance.
    pub(super) fn traffic(&self) -> traffic::Traffic {
        let (view, endpoints) = (self.known.stores(), self.endpoints.borrow());
        let distance = |ip: IpAddr| {
            let store = view.stores.iter().find(|store| store.ip == ip);
            let store = store.map(|store| self.location.distance(&store.location));
            store.or_else(|| endpoints.distance_of(ip, &self.location))
        };
        let meters = [&self.peers.meter, &self.client.meter, self.callbacks.meter()];
        traffic::add_up(&meters, distance)
    }

    fn forget_not_wanted(&self) {
        let ttl = (self.settings.bounds.status_ttl_s * 1_000.0) as u64;
        let now = self.clock.ms();
        self.not_wanted.borrow_mut().retain(|_, at| now < *at + ttl);
        self.promised.borrow_mut().retain(|_, promise| now < promise.at + ttl);
    }
}

fn encode<T: borsh::BorshSerialize>(answer: &T) -> Vec<u8> {
    borsh::to_vec(answer).expect("writing to memory")
}

/// How many ids, and the first of them, for the log.
pub fn some_of(ids: &[String]) -> String {
    const SHOWN: usize = 5;
    let first = ids.iter().take(SHOWN).map(String::as_str).collect::<Vec<_>>().join(", ");
    let more = if ids.len() > SHOWN { ", ..." } else { "" };
    format!("{} messages ({first}{more})", ids.len())
}
