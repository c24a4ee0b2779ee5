//! The store role: keeps messages on its own disk and on other stores, and delivers the messages it owns.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`log`](mod@log) | writes records to the ring of log files on a separate thread |
//! | `compaction` | rewrites live records of the oldest log file so that the file can be freed |
//! | [`intake`] | accepts messages from edges |
//! | `operations` | deduplicates requests with the same operation key |
//! | [`relinquish`](mod@relinquish) | decides which store keeps a message that an edge sent to several stores |
//! | [`copies`] | keeps enough copies of each unfinished message on other stores |
//! | [`finished_copies`] | keeps enough copies of finished messages that still owe something |
//! | [`replicator`] | sends records to one other store and compares what it holds |
//! | [`ownership`] | asks other stores whether a message is already owned or finished |
//! | [`absent_owners`] | restores the copies of messages whose owner is unavailable |
//! | [`body_repair`] | replaces damaged bodies with those of other stores |
//! | `view_changes` | reacts to each new view of the stores |
//! | [`takeover`] | takes over the messages of a lost store; finishes messages |
//! | [`shutdown`] | planned stops, retirement, and the return of a store that was declared lost |
//! | [`rpc_handlers`] | answers the calls of other members |
//! | [`quota`] | counts messages against the quotas of their tenants |
//! | [`quota_calls`] | batches the calls to the stores that count for a tenant |
//! | [`rates`] | divides the rate limits of services among the stores, with lending |
//! | [`endpoints`] | concurrency limits, backoff and choice of endpoints |
//! | [`deliver`] | delivers messages to endpoints |
//! | [`callbacks`] | sends call-backs for finished messages |
pub mod absent_owners;
pub mod body_repair;
pub mod callbacks;
mod compaction;
pub mod copies;
pub mod deliver;
pub mod endpoints;
pub mod finished_copies;
pub mod intake;
pub mod log;
mod operations;
pub mod ownership;
pub mod quota;
pub mod quota_calls;
pub mod rates;
pub mod relinquish;
pub mod replicator;
pub mod rpc_handlers;
pub mod shutdown;
pub mod takeover;
mod view_changes;

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

/// Interval of the periodic checks of copies and free log files.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// How long recovered messages are held back at most while other stores report whether they accepted them.
const RECOVERY_HOLD_MS: u64 = 1_200;
/// Upper bound on the sequence numbers that an earlier process may have assigned and sent to other stores
/// without a record of them on its disk.
const MAX_UNSYNCED_SEQUENCES: u64 = 1 << 16;
/// Part of the shutdown grace period that is reserved for the end of the process.
const SHUTDOWN_RESERVE_S: f64 = 0.9;

/// One store process.
pub struct Store {
    pub settings: ProcessSettings,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Start of the process on that clock, in milliseconds.
    pub started: u64,
    /// Identity of this store's disk.
    pub disk: u64,
    /// Port on which stores call each other.
    pub port: u16,
    /// Configuration, view of the stores and endpoints as reported by the control group.
    pub cluster: Rc<Known>,
    /// Calls to other members.
    pub peers: Rc<Peers>,
    /// Log on this store's disk.
    pub log: Rc<log::Log>,
    /// Own messages, and copies held for other stores.
    pub queue: RefCell<Queue>,
    /// Messages that were unfinished according to the disk at start.
    recovered: RefCell<BTreeSet<String>>,
    /// Recovered messages that an edge also sent to other stores, until they are resolved.
    recovered_also_sent: RefCell<Vec<Message>>,
    /// Replication to each other store, by disk.
    pub replicators: RefCell<BTreeMap<u64, Rc<replicator::Replicator>>>,
    /// For each owner, the session whose records are accepted.
    sessions: RefCell<BTreeMap<u64, u64>>,
    /// Endpoints of the deliveries.
    pub endpoints: RefCell<endpoints::Endpoints>,
    /// Rate limit permits, by service.
    pub buckets: RefCell<BTreeMap<String, rates::Bucket>>,
    /// Counts messages against the quotas of tenants.
    pub quotas: quota::QuotaState,
    /// HTTP client for deliveries.
    pub client: Client,
    /// Call-backs that are owed.
    pub callbacks: callbacks::Callbacks,
    /// Wakes the delivery loop.
    pub delivery_wake: Notify,
    /// Wakes the maintenance loop before its interval is over.
    pub maintenance_wake: Notify,
    /// Number of deliveries in progress.
    pub running_deliveries: Cell<usize>,
    /// Number of messages that are being accepted.
    pub pending_accepts: Cell<usize>,
    /// Operations with a request in progress.
    pub reservations: operations::Reservations,
    /// Round-robin counter for choosing other stores.
    pub next_turn: Cell<usize>,
    /// Some messages may lack copies.
    pub needs_repair: Cell<bool>,
    /// Location of this store.
    pub location: Location,
    /// Failures that the stores must tolerate.
    pub tolerance: Tolerance,
    /// Takeovers in progress by lost store, and lost stores whose takeover is done.
    pub takeovers: RefCell<BTreeMap<u64, takeover::TakeoverStep>>,
    pub taken_over: RefCell<BTreeSet<u64>>,
    /// Messages whose copies are being restored.
    pub repairing: RefCell<BTreeSet<String>>,
    /// Whether finished messages are being copied.
    copying_finished: Cell<bool>,
    /// Unavailable stores, and whether the copies of their messages have been restored.
    pub absences: RefCell<queue::replication::AbsenceTracker>,
    /// Epoch of the last view of the stores that this store has applied.
    view_epoch: Cell<u64>,
    /// This store is being retired.
    retiring: Cell<bool>,
    /// Retirement is complete: this store accepts and delivers nothing any more, and the available holders of
    /// copies have acknowledged all its records.
    retirement_ready: Cell<bool>,
    /// This store was declared lost and hands back messages that may exist nowhere else.
    declared_lost: Cell<bool>,
    /// Messages that this store has reported to other stores as accepted here.
    acceptance_notices: RefCell<HashMap<String, relinquish::AcceptanceNotice>>,
    /// Messages that other stores have asked this store to relinquish, with the requesters, until one of
    /// them confirms that it owns the message.
    relinquish_requests: RefCell<BTreeMap<String, BTreeSet<u64>>>,
    /// Recovered messages that may also be elsewhere are held back until this time, or until all
    /// replicators are ready.
    pub recovery_hold_until_ms: Cell<u64>,
    /// A stop is planned: only messages bound to this store by a key continue.
    pub draining: Cell<bool>,
    /// No message is accepted or delivered any more.
    pub paused: Cell<bool>,
    /// The last records are written: no record is accepted any more.
    log_closed: Cell<bool>,
    /// Last sequence number that was assigned.
    last_sequence: Cell<u64>,
}

/// Starts the store role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}

async fn run(process: Process) -> anyhow::Result<()> {
    let folder = process
        .settings
        .data_dir
        .clone()
        .context("the setting DataDir is missing; set it to a folder on the store's disk")?;
    let mut queue = Queue::default();
    let shape = log::ring_shape(process.settings.limits.disk_mb);
    let log = log::Log::open(Path::new(&folder), shape, &mut |entry| queue.replay(entry))?;
    let clients = StoreClients {
        peers: Peers::default(),
        endpoints: Client::counted_as("deliveries"),
        receivers: Client::counted_as("call-backs"),
    };
    let store = Store::open(&process, queue, log, clients).await?;
    let listener = TcpListener::bind(SocketAddr::new(store.settings.own_ip(), store.port))
        .context("the members' port is in use; free it")?;
    let handler_store = store.clone();
    runtime::spawn(serve(
        listener,
        Rc::new(move |from, bytes| Box::pin(handler_store.clone().answer(from, bytes))),
    ));
    store.serve(&process.stopping).await;
    Ok(())
}

/// Transports to other members, endpoints and call-back receivers.
pub struct StoreClients {
    /// Calls to other members.
    pub peers: Peers,
    /// HTTP clients for endpoints and call-back receivers.
    pub endpoints: Client,
    pub receivers: Client,
}

impl Store {
    /// Opens a store from the queue that was rebuilt from the log on its disk.
    pub async fn open(
        process: &Process,
        mut queue: Queue,
        log: Rc<log::Log>,
        clients: StoreClients,
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
        // The disk identity tells own messages from copies, so it must be the first record that recovery
        // reads.
        log.set_preamble(&Entry::Disk(queue.disk()));
        let superseded = queue.relinquish_duplicates();
        let recovered_also_sent = queue.finish_recovery();
        let live = queue.all_owned().filter(|owned| owned.is_live());
        let recovered = live.map(|owned| owned.id().to_string()).collect();
        let started = process.clock.ms();
        let taken_over = queue.taken_over().clone();
        let settings = process.settings.clone();
        let store = Rc::new(Store {
            clock: process.clock,
            started,
            disk: queue.disk(),
            quotas: quota::QuotaState::new(queue.disk(), !is_new),
            port: settings.store_port(),
            cluster: Known::new(settings.seed_ips()),
            peers: Rc::new(clients.peers),
            log,
            last_sequence: Cell::new(queue.highest_sequence() + MAX_UNSYNCED_SEQUENCES),
            queue: RefCell::new(queue),
            recovered: RefCell::new(recovered),
            recovered_also_sent: RefCell::new(recovered_also_sent),
            replicators: RefCell::default(),
            sessions: RefCell::default(),
            endpoints: RefCell::default(),
            buckets: RefCell::default(),
            client: clients.endpoints,
            callbacks: callbacks::Callbacks::new(clients.receivers),
            delivery_wake: Notify::default(),
            maintenance_wake: Notify::default(),
            running_deliveries: Cell::new(0),
            pending_accepts: Cell::new(0),
            reservations: operations::Reservations::default(),
            next_turn: Cell::new(0),
            needs_repair: Cell::new(true),
            location: settings.location(),
            tolerance: settings.tolerance(),
            takeovers: RefCell::default(),
            taken_over: RefCell::new(taken_over),
            repairing: RefCell::default(),
            copying_finished: Cell::new(false),
            absences: RefCell::default(),
            recovery_hold_until_ms: Cell::new(process.clock.ms() + RECOVERY_HOLD_MS),
            view_epoch: Cell::new(0),
            retiring: Cell::new(false),
            retirement_ready: Cell::new(false),
            declared_lost: Cell::new(false),
            acceptance_notices: RefCell::default(),
            relinquish_requests: RefCell::default(),
            draining: Cell::new(false),
            paused: Cell::new(false),
            log_closed: Cell::new(false),
            settings,
        });
        store.record_superseded(superseded);
        let queue::Counts { waiting, finished, replicas, .. } = store.queue.borrow().counts();
        let relinquished = store.queue.borrow().relinquished_count();
        ::log::info!(
            "disk {:016x}: {waiting} messages waiting, {finished} finished, {replicas} copies, {relinquished} relinquished",
            store.disk
        );
        Ok(store)
    }

    /// Runs until the process is asked to stop and the planned stop is complete.
    pub async fn serve(self: Rc<Self>, stopping: &Cell<bool>) {
        let announcing = self.clone();
        runtime::spawn(watch(
            self.cluster.clone(),
            self.peers.clone(),
            move || announcing.hello(),
            self.settings.control_port(),
            self.settings.seed_ips(),
        ));
        runtime::spawn(self.clone().follow_store_view());
        runtime::spawn(self.clone().follow_membership());
        runtime::spawn(self.clone().run_maintenance());
        runtime::spawn(self.clone().log_traffic());
        runtime::spawn(deliver::deliver(self.clone()));
        runtime::spawn(self.clone().activate_recovered(self.recovered_also_sent.take()));
        self.resume_callbacks();
        stopped(stopping).await;
        self.shut_down().await;
    }

    fn hello(&self) -> Hello {
        let inherited = self.taken_over.borrow().iter().copied().collect();
        let custody = Custody {
            epoch: self.view_epoch.get(),
            whole: self.is_fully_replicated(),
            idle: self.retirement_ready.get(),
            leaving: self.draining.get() && !self.retiring.get(),
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

    /// Whether every message has all its copies on other available stores.
    fn is_fully_replicated(&self) -> bool {
        let settled = self.replicators.borrow().values().all(|replicator| replicator.is_ready());
        settled && !self.needs_repair.get() && !self.lacks_copies()
    }

    async fn run_maintenance(self: Rc<Self>) {
        loop {
            let _ = runtime::timeout(MAINTENANCE_INTERVAL, self.maintenance_wake.notified()).await;
            self.check_absences();
            self.expire_relinquished();
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

    /// Bytes that this store has sent since its start, by purpose and distance.
    pub(super) fn traffic(&self) -> traffic::Traffic {
        let (view, endpoints) = (self.cluster.stores(), self.endpoints.borrow());
        let distance = |ip: IpAddr| {
            let store = view.stores.iter().find(|store| store.ip == ip);
            let store = store.map(|store| self.location.distance(&store.location));
            store.or_else(|| endpoints.distance_of(ip, &self.location))
        };
        let meters = [&self.peers.meter, &self.client.meter, self.callbacks.meter()];
        traffic::add_up(&meters, distance)
    }

    fn expire_relinquished(&self) {
        let ttl = (self.settings.bounds.status_ttl_s * 1_000.0) as u64;
        let now = self.clock.ms();
        self.queue.borrow_mut().expire_relinquished(now, ttl);
        self.acceptance_notices.borrow_mut().retain(|_, notice| now < notice.at + ttl);
    }
}

fn encode<T: borsh::BorshSerialize>(answer: &T) -> Vec<u8> {
    borsh::to_vec(answer).expect("writing to memory")
}

/// Formats the number of ids and the first few of them for a log line.
pub fn summarize_ids(ids: &[String]) -> String {
    const SHOWN: usize = 5;
    let first = ids.iter().take(SHOWN).map(String::as_str).collect::<Vec<_>>().join(", ");
    let more = if ids.len() > SHOWN { ", ..." } else { "" };
    format!("{} messages ({first}{more})", ids.len())
}
