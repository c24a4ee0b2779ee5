//! The store role: keeps messages on its disk and at another store, and delivers those that it owns.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`log`](mod@log) | records to the ring of files, by a thread of their own |
//! | [`copies`] | the second copy of each message, and what is said to its holder |
//! | [`takeover`] | what a lost store owned; ends of messages |
//! | [`endpoints`] | caps, doubts and choice of endpoints |
//! | [`deliver`] | messages to endpoints |
//! | [`callbacks`] | call-backs about ends |
pub mod callbacks;
pub mod copies;
pub mod deliver;
pub mod endpoints;
pub mod log;
pub mod takeover;

use crate::calls::{Call, Custody, Estate, Found, Given, HeldFor, Hello, PutAnswer, Refusal, Role};
use crate::process::{self, stopped, unique, Clock, Process};
use crate::watch::{watch, Known};
use anyhow::Context as _;
use monoio::net::TcpListener;
use net::client::Client;
use net::rpc::{serve, Peers};
use net::wake::Notify;
use queue::{Entry, Message, Queue, Stage};
use settings::ProcessSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A disk that has been at one batch for so long doesn't keep up.
const DISK_LAG: Duration = Duration::from_millis(250);
/// With less of the ring free, its oldest file is written anew.
const COMPACT_BELOW: f64 = 0.3;
/// With less of it free, nothing is taken.
const FULL_BELOW: f64 = 0.1;
/// Share of the process's memory that messages may take.
const MEMORY_SHARE: f64 = 0.4;
/// How often repairs and the ring are looked after.
const CARE: Duration = Duration::from_millis(200);
/// How long recovered messages wait to hear whether others took them, in milliseconds.
const RECOVERED_WAIT: u64 = 1_200;
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
    pub copiers: RefCell<BTreeMap<u64, Rc<copies::Copier>>>,
    pub endpoints: RefCell<endpoints::Endpoints>,
    pub buckets: RefCell<BTreeMap<String, deliver::Bucket>>,
    pub client: Client,
    pub callbacks: callbacks::Callbacks,
    /// Wakes the delivery sender.
    pub work: Notify,
    /// Deliveries under way.
    pub running: Cell<usize>,
    /// Messages that are being taken.
    pub taking: Cell<usize>,
    /// Bytes of messages that are owned and not ended, about.
    pub turn: Cell<usize>,
    pub needs_repair: Cell<bool>,
    /// Copies of each message at other stores: as many as machines may be lost at once.
    pub copies_needed: usize,
    /// Lost stores that are being taken over from, and those that were.
    pub inheriting: RefCell<BTreeSet<u64>>,
    pub inherited: RefCell<BTreeSet<u64>>,
    /// Lost stores that nothing is kept for any more.
    fenced: RefCell<BTreeSet<u64>>,
    /// The epoch of the stores' view by which this store acts.
    epoch: Cell<u64>,
    /// It is to be taken away; it does nothing any more that others don't know of.
    retiring: Cell<bool>,
    idle: Cell<bool>,
    /// Messages that other stores have taken, and that may still come here.
    not_wanted: RefCell<HashSet<String>>,
    /// Until then, or until all copies are known, messages that were recovered and may be elsewhere wait.
    pub recovered_until: Cell<u64>,
    /// About to stop: only ordered messages go on.
    pub leaving: Cell<bool>,
    /// Nothing is delivered or taken any more.
    pub paused: Cell<bool>,
    last_order: Cell<u64>,
}

/// Starts the role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}

async fn run(process: Process) -> anyhow::Result<()> {
    let settings = process.settings.clone();
    let folder = settings.data_dir.clone().context("DataDir is missing; give the store a disk")?;
    let mut queue = Queue::default();
    let shape = log::shape(settings.limits.disk_mb);
    let log = log::Log::open(Path::new(&folder), shape, &mut |entry| queue.recover(entry))?;
    if queue.disk() == 0 {
        let disk = unique();
        anyhow::ensure!(
            log.write(&[Entry::Disk(disk)]).await,
            "the disk can't be written; check its space and health"
        );
        queue.recover(Entry::Disk(disk));
    }
    let raced = queue.recovered();
    let seeds = settings.seed_ips();
    let store = Rc::new(Store {
        clock: process.clock,
        started: process.clock.ms(),
        disk: queue.disk(),
        port: settings.store_port(),
        known: Known::new(seeds.clone()),
        peers: Rc::new(Peers::default()),
        log,
        last_order: Cell::new(queue.highest_order()),
        queue: RefCell::new(queue),
        copiers: RefCell::default(),
        endpoints: RefCell::default(),
        buckets: RefCell::default(),
        client: Client::default(),
        callbacks: callbacks::Callbacks::default(),
        work: Notify::default(),
        running: Cell::new(0),
        taking: Cell::new(0),
        turn: Cell::new(0),
        needs_repair: Cell::new(true),
        copies_needed: settings.tolerance.machines.max(1) as usize,
        inheriting: RefCell::default(),
        inherited: RefCell::default(),
        fenced: RefCell::default(),
        recovered_until: Cell::new(process.clock.ms() + RECOVERED_WAIT),
        epoch: Cell::new(0),
        retiring: Cell::new(false),
        idle: Cell::new(false),
        not_wanted: RefCell::default(),
        leaving: Cell::new(false),
        paused: Cell::new(false),
        settings,
    });
    let (waiting, _, ended, copies) = store.queue.borrow().counts();
    ::log::info!("disk {:016x}: {waiting} messages waiting, {ended} ended, {copies} copies", store.disk);
    let listener = TcpListener::bind(SocketAddr::new(store.settings.own_ip(), store.port))
        .context("the members' port is taken; free it")?;
    let answering = store.clone();
    monoio::spawn(serve(
        listener,
        Rc::new(move |from, bytes| Box::pin(answering.clone().answer(from, bytes))),
    ));
    let telling = store.clone();
    let hello = move || telling.hello();
    monoio::spawn(watch(
        store.known.clone(),
        store.peers.clone(),
        hello,
        store.settings.control_port(),
        seeds,
    ));
    monoio::spawn(store.clone().follow_stores());
    monoio::spawn(store.clone().care());
    monoio::spawn(deliver::deliver(store.clone()));
    monoio::spawn(store.clone().accept_raced(raced));
    store.owed_callbacks();
    stopped(&process.stopping).await;
    store.leave().await;
    Ok(())
}

impl Store {
    fn hello(&self) -> Hello {
        let inherited = self.inherited.borrow().iter().copied().collect();
        let custody =
            Custody { epoch: self.epoch.get(), whole: self.is_whole(), idle: self.idle.get(), inherited };
        Hello {
            name: self.settings.node_name.clone(),
            ip: self.settings.own_ip(),
            zone: self.settings.zone.clone(),
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

    /// Keeps a way to every other store, and takes over from lost ones.
    async fn follow_stores(self: Rc<Self>) {
        let mut seen = 0;
        loop {
            self.known.changes.changed(seen).await;
            seen = self.known.changes.get();
            let view = self.known.stores();
            let me = view.get(self.disk);
            if me.is_some_and(|store| store.retiring) {
                if !self.retiring.replace(true) {
                    monoio::spawn(self.clone().retire());
                }
            } else if me.is_some_and(|store| store.gone) {
                self.start_anew();
            }
            self.keep_copiers(&view);
            self.epoch.set(view.epoch);
            for lost in view.inherited_by(self.disk) {
                let known = self.inherited.borrow().contains(&lost);
                if !known && self.inheriting.borrow_mut().insert(lost) {
                    monoio::spawn(self.clone().take_over(lost));
                }
            }
        }
    }

    fn keep_copiers(self: &Rc<Self>, view: &control::StoreView) {
        let mut copiers = self.copiers.borrow_mut();
        copiers.retain(|disk, copier| {
            let store = view.get(*disk).filter(|store| !store.gone);
            let stays = store.is_some_and(|store| copier.address().ip() == store.ip);
            if !stays {
                copier.end();
                self.needs_repair.set(true);
            }
            stays
        });
        for store in view.active().filter(|store| store.disk != self.disk) {
            let address = SocketAddr::new(store.ip, self.port);
            copiers
                .entry(store.disk)
                .or_insert_with(|| copies::Copier::start(self.clone(), store.disk, address));
        }
    }

    /// The store is to be taken away: it ends what it does, and tells all that others need to know.
    async fn retire(self: Rc<Self>) {
        ::log::info!("retires");
        self.leaving.set(true);
        while self.running.get() > self.ordered_running() || self.needs_repair.get() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        self.paused.set(true);
        while self.running.get() > 0 || self.taking.get() > 0 || !self.is_whole() || !self.all_told() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        self.idle.set(true);
        ::log::info!("is idle: others may take over");
    }

    /// Every holder of a copy knows of the end of its message.
    fn all_told(&self) -> bool {
        let copiers = self.copiers.borrow();
        let queue = self.queue.borrow();
        let told = |known: &queue::Known| known.untold.iter().all(|disk| !copiers.contains_key(disk));
        let all = queue.all_owned().all(told);
        all && copiers.values().all(|copier| copier.is_idle())
    }

    /// Others have taken over from this disk: what is on it doesn't count any more.
    fn start_anew(&self) -> ! {
        ::log::error!("others have taken over from this disk; the store begins anew with an empty one");
        if let Some(folder) = &self.settings.data_dir {
            for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        std::process::exit(1)
    }

    async fn care(self: Rc<Self>) {
        loop {
            monoio::time::sleep(CARE).await;
            if self.needs_repair.get() {
                self.repair().await;
            }
            if self.log.free_share() < COMPACT_BELOW {
                self.compact().await;
            }
        }
    }

    /// Writes what still counts in the oldest file of the ring anew, and frees it.
    async fn compact(&self) {
        let Some((segment, ids)) = self.log.oldest() else { return };
        let entries: Vec<Entry> = ids.iter().flat_map(|id| self.entries_of(id)).collect();
        if entries.is_empty() || self.log.write(&entries).await {
            self.log.release(segment);
        }
    }

    /// The records that tell all that is known of a message.
    fn entries_of(&self, id: &str) -> Vec<Entry> {
        if id.is_empty() {
            return vec![Entry::Disk(self.disk)];
        }
        let queue = self.queue.borrow();
        let mut entries = Vec::new();
        if let Some(known) = queue.owned(id) {
            entries.push(Entry::Message { owner: self.disk, message: (*known.message).clone() });
            if known.attempts > 0 {
                entries.push(Entry::Failed { id: id.to_string(), attempts: known.attempts });
            }
            if let Stage::Ended(end) = &known.stage {
                entries.push(Entry::Ended(end.clone()));
            }
            if !known.owes_callback && known.message.callback.is_some() {
                entries.push(Entry::CalledBack { id: id.to_string() });
            }
        } else if let Some(copy) = queue.copy(id) {
            entries.push(Entry::Message { owner: copy.owner, message: (*copy.message).clone() });
            entries.push(Entry::Failed { id: id.to_string(), attempts: copy.attempts });
        } else if let Some(end) = queue.end_of(id) {
            entries.push(Entry::Ended(end.clone()));
        }
        entries
    }

    async fn answer(self: Rc<Self>, _from: IpAddr, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(call) = borsh::from_slice::<Call>(&bytes) else { return Vec::new() };
        match call {
            Call::Put(message) => encode(&self.put(message).await),
            Call::Replicate { owner, entries } => encode(&self.keep(owner, entries).await),
            Call::Held { owner } => encode(&self.held(owner)),
            Call::Fetch { ids } => encode(&self.fetch(&ids)),
            Call::Claim { lost } => encode(&self.claim(lost)),
            Call::Claimed { lost } => encode(&self.claimed(lost)),
            Call::Leave { id } => encode(&self.leave_one(&id)),
            Call::Ping => encode(&true),
            Call::Find { id, body } => encode(&self.find(&id, body)),
            Call::Status => encode(&self.status()),
            Call::Watch(..) | Call::Group(_) => Vec::new(),
        }
    }

    /// Why a message isn't taken.
    fn refusal(&self, message: &Message) -> Option<Refusal> {
        let key = message.key.as_ref().filter(|_| message.ordered);
        if self.paused.get() || (self.leaving.get() && key.is_none()) {
            return Some(Refusal::Stopping);
        }
        let owner = key.map(|key| self.known.stores().owner(key).map(|store| store.disk));
        if owner.is_some_and(|owner| owner != Some(self.disk)) {
            return Some(Refusal::NotOwner);
        }
        if self.copiers.borrow().values().filter(|copier| copier.is_settled()).count() < self.copies_needed {
            return Some(Refusal::NoCopy);
        }
        let full = self.log.lag() > DISK_LAG || self.log.free_share() < FULL_BELOW || self.is_memory_full();
        full.then_some(Refusal::Full)
    }

    fn is_memory_full(&self) -> bool {
        let most = (self.settings.limits.memory_mb as f64 * MEMORY_SHARE * 1_048_576.0) as usize;
        self.queue.borrow().bytes() > most
    }

    fn next_order(&self) -> u64 {
        let epoch = self.known.stores().epoch << 32;
        let order = (self.last_order.get() + 1).max(epoch);
        self.last_order.set(order);
        order
    }

    /// Takes a message: it is taken once it is on this disk and on another.
    async fn put(self: &Rc<Self>, mut message: Message) -> PutAnswer {
        if let Some(refusal) = self.refusal(&message) {
            return PutAnswer::Refused(refusal);
        }
        if self.not_wanted.borrow().contains(&message.id) {
            return PutAnswer::Refused(Refusal::NotOwner);
        }
        let id = message.id.clone();
        message.order = self.next_order();
        let entry = Entry::Message { owner: self.disk, message: message.clone() };
        if !self.queue.borrow_mut().add(message.clone()) {
            return PutAnswer::Unclear;
        }
        self.taking.set(self.taking.get() + 1);
        let (store, copy_id, copy_entry) = (self.clone(), id.clone(), entry.clone());
        let copied = monoio::spawn(async move { store.copy_enough(&copy_id, &copy_entry).await });
        let written = self.log.write(std::slice::from_ref(&entry)).await;
        copied.await;
        if !written {
            self.taking.set(self.taking.get() - 1);
            return PutAnswer::Unclear;
        }
        monoio::spawn(self.clone().accept(message));
        PutAnswer::Taken
    }

    /// A message is safe: it may run, unless a store that was given it before has begun with it.
    pub async fn accept(self: Rc<Self>, message: Message) {
        if self.ask_to_leave(&message).await {
            self.queue.borrow_mut().accept(&message.id);
            // What was recovered or adopted may have fewer copies than it should.
            if self.missing_copies(&message.id) > 0 {
                self.needs_repair.set(true);
            }
        } else {
            self.leave_to_others(vec![message.id]);
        }
        self.taking.set(self.taking.get() - 1);
        self.work.notify();
    }

    /// Keeps what another store says of its messages; false if that isn't a store any more.
    async fn keep(&self, owner: u64, entries: Vec<Entry>) -> bool {
        if self.paused.get() || self.known.store(owner).is_none() || self.fenced.borrow().contains(&owner) {
            return false;
        }
        let mut kept = Vec::new();
        let mut must_last = false;
        {
            let mut queue = self.queue.borrow_mut();
            for entry in entries {
                match &entry {
                    Entry::Message { message, .. } => {
                        queue.keep(owner, message.clone());
                        must_last = true;
                    }
                    Entry::Failed { id, attempts } => queue.note_attempts(id, *attempts),
                    Entry::Ended(end) => {
                        queue.end(end.clone());
                    }
                    Entry::Dropped { id, .. } => queue.drop_copy_of(owner, id),
                    _ => continue,
                }
                kept.push(entry);
            }
        }
        if must_last {
            return self.log.write(&kept).await;
        }
        kept.iter().for_each(|entry| self.log.note(entry));
        true
    }

    /// What is here of an owner's messages; nothing if that isn't known as a store.
    fn held(&self, owner: u64) -> Option<HeldFor> {
        self.known.store(owner)?;
        let queue = self.queue.borrow();
        let copies = queue.copies_of(owner).map(|copy| copy.message.id.clone()).collect();
        Some(HeldFor { copies, taken: queue.taken_from(owner) })
    }

    fn fetch(&self, ids: &[String]) -> Vec<Given> {
        let queue = self.queue.borrow();
        let copies = ids.iter().filter_map(|id| queue.copy(id));
        copies.map(|copy| Given { message: (*copy.message).clone(), attempts: copy.attempts }).collect()
    }

    /// Gives all that is kept of a lost store, which isn't listened to any more.
    fn claim(&self, lost: u64) -> Option<Estate> {
        if self.paused.get() {
            return None;
        }
        self.fenced.borrow_mut().insert(lost);
        Some(self.estate_of(lost))
    }

    fn claimed(&self, lost: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let ids: Vec<String> = queue.copies_of(lost).map(|copy| copy.message.id.clone()).collect();
        for id in ids {
            queue.drop_copy_of(lost, &id);
            self.log.note(&Entry::Dropped { owner: lost, id });
        }
        true
    }

    fn find(&self, id: &str, body: bool) -> Found {
        let queue = self.queue.borrow();
        let message =
            queue.owned(id).map(|known| &known.message).or(queue.copy(id).map(|copy| &copy.message));
        let end = queue.end_of(id).cloned();
        let completed = matches!(&end, Some(end) if end.outcome != queue::Outcome::DeadLetter);
        let body = message.filter(|_| body && !completed).map(|message| message.body.clone());
        Found { known: message.is_some(), end, body }
    }

    fn status(&self) -> String {
        let (waiting, running, ended, copies) = self.queue.borrow().counts();
        let oldest = self.queue.borrow().oldest().map(|at| process::wall_ms().saturating_sub(at));
        let status = serde_json::json!({
            "node": self.settings.node_name, "disk": format!("{:016x}", self.disk),
            "version": self.known.version(), "stores": self.known.stores().epoch,
            "waiting": waiting, "running": running, "ended": ended, "copies": copies,
            "oldest_ms": oldest, "backlog": self.backlog(), "free_ring": self.log.free_share(),
            "taking_over": self.inheriting.borrow().len(),
            "endpoints": self.endpoints.borrow().show(),
        });
        status.to_string()
    }

    /// A planned stop: unordered messages are left to others at once, deliveries under way end, and all that happened
    /// is on the disks here and at the copies.
    async fn leave(self: &Rc<Self>) {
        self.leaving.set(true);
        let grace = Duration::from_secs_f64((self.settings.bounds.grace_s - RESERVE_S).max(0.5));
        let until = self.clock.ms() + grace.as_millis() as u64;
        while self.running.get() > self.ordered_running() && self.clock.ms() < until {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        self.paused.set(true);
        while (self.running.get() > 0 || self.taking.get() > 0) && self.clock.ms() < until {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        let told = |copier: &Rc<copies::Copier>| copier.is_idle();
        let flush = self.clock.ms() + 400;
        while !self.copiers.borrow().values().all(told) && self.clock.ms() < flush {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        self.log.write(&[]).await;
        ::log::info!("stops; {} deliveries under way", self.running.get());
    }

    fn ordered_running(&self) -> usize {
        let queue = self.queue.borrow();
        queue.all_owned().filter(|known| known.stage == Stage::Running && known.message.ordered).count()
    }
}

fn encode<T: borsh::BorshSerialize>(answer: &T) -> Vec<u8> {
    borsh::to_vec(answer).expect("writing to memory")
}
