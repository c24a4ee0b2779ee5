//! The way to one other store: what happens to this store's messages goes to it in order, if it holds copies of them.
//!
//! A way begins with a comparison of what the other store holds, and begins anew after every failure. Each comparison
//! opens a session with a number of its own, and every record is sent in one: the other store takes none of an earlier
//! session, so that what was still on its way when it told what it holds can't come in behind that.
use super::decided::Patience;
use super::peers::PIECE_BYTES;
use super::races::LeftBecause;
use super::{some_of, Store};
use crate::calls::{Call, HeldFor};
use futures_channel::oneshot;
use net::runtime;
use net::wake::Notify;
use queue::replication::{self, Reconciliation};
use queue::{Entry, FinalRecord, HeldIds, MessageTransfer};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a peer may take for a batch.
const REPLICATE: Duration = Duration::from_millis(1_000);
/// How long a peer may take to tell what it holds, or to give it.
const RECONCILE: Duration = Duration::from_millis(2_000);
/// After a failure.
const PAUSE: Duration = Duration::from_millis(100);
/// A peer that hasn't answered for so long is away: its copies are made again elsewhere.
pub const AWAY: Duration = Duration::from_millis(1_500);
/// How often a peer is asked for a sign of life while there is nothing to tell it.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Ends that are told again at once.
const ENDS_AT_ONCE: usize = 5_000;
/// A peer that hasn't answered for so long isn't waited for alone.
pub const HEDGE: Duration = Duration::from_millis(40);

struct Pending {
    entry: Entry,
    waiting: Option<oneshot::Sender<bool>>,
}

/// The way to one other store.
pub struct Copier {
    pub disk: u64,
    address: SocketAddr,
    pending: RefCell<VecDeque<Pending>>,
    wake: Notify,
    /// What the peer holds of this store is known, and it answers.
    settled: Cell<bool>,
    /// What the peer holds has been compared, and it is being told what it lacks: what happens from then on is told next.
    collecting: Cell<bool>,
    /// The session that the last comparison opened.
    session: Cell<u64>,
    /// The peer's disk is lost, or it has another address.
    ended: Cell<bool>,
    /// The peer said that it is about to stop.
    leaving: Cell<bool>,
    /// When the peer answered last.
    heard: Cell<Instant>,
    /// When the batch that is under way to it was sent.
    sent_at: Cell<Option<Instant>>,
}

impl Copier {
    /// Starts the way to a store.
    pub fn start(store: Rc<Store>, disk: u64, address: SocketAddr) -> Rc<Copier> {
        let copier = Rc::new(Copier {
            disk,
            address,
            pending: RefCell::default(),
            wake: Notify::default(),
            settled: Cell::new(false),
            collecting: Cell::new(false),
            session: Cell::new(0),
            ended: Cell::new(false),
            leaving: Cell::new(false),
            heard: Cell::new(runtime::now()),
            sent_at: Cell::new(None),
        });
        runtime::spawn(copier.clone().run(store));
        copier
    }

    /// Whether messages can be copied there now.
    pub fn is_settled(&self) -> bool {
        self.settled.get() && !self.ended.get()
    }

    /// Whether copies there don't count: the peer is about to stop, or hasn't answered for too long.
    pub fn is_away(&self, now: Instant) -> bool {
        self.leaving.get() || self.is_silent(now)
    }

    /// The peer hasn't answered for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard.get()) >= AWAY
    }

    /// The peer has said that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// The peer is about to stop.
    pub fn set_leaving(&self) {
        self.leaving.set(true);
    }

    /// The peer has heard everything that was to be told.
    pub fn is_idle(&self) -> bool {
        self.is_settled() && self.sent_at.get().is_none() && self.pending.borrow().is_empty()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The store isn't there any more, as far as this way goes.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake.notify();
    }

    /// Sends a record, and tells whether it is on the peer's disk.
    pub fn copy(&self, entry: Entry) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push_back(Pending { entry, waiting: Some(sender) });
        self.wake.notify();
        receiver
    }

    /// Sends a record.
    pub fn tell(&self, entry: Entry) {
        if self.settled.get() || self.collecting.get() {
            self.pending.borrow_mut().push_back(Pending { entry, waiting: None });
            self.wake.notify();
        }
    }

    async fn run(self: Rc<Self>, store: Rc<Store>) {
        while !self.ended.get() {
            if !self.settled.get() {
                // What was to be told in the last session is void: ends that come from now on are told by what the peer
                // reports, so nothing of before may come in behind that report.
                self.drop_pending();
                let settled = self.reconcile(&store).await;
                self.settled.set(settled);
                self.collecting.set(false);
                store.all_settled();
                if !settled {
                    self.drop_pending();
                    runtime::sleep(PAUSE).await;
                }
                continue;
            }
            let batch = self.next_batch();
            if batch.is_empty() && runtime::timeout(HEARTBEAT, self.wake.notified()).await.is_ok() {
                continue;
            }
            // An empty batch is a heartbeat.
            if !batch.is_empty() {
                self.sent_at.set(Some(runtime::now()));
            }
            self.send(&store, batch).await;
            self.sent_at.set(None);
        }
        self.drop_pending();
    }

    /// What is sent next: no more at once than the peer can write in its time.
    fn next_batch(&self) -> Vec<Pending> {
        let mut pending = self.pending.borrow_mut();
        let (mut batch, mut bytes) = (Vec::new(), 0);
        while let Some(next) = pending.pop_front_if(|_| bytes < PIECE_BYTES) {
            bytes += next.entry.body_bytes();
            batch.push(next);
        }
        batch
    }

    fn drop_pending(&self) {
        for pending in self.pending.borrow_mut().drain(..) {
            if let Some(waiting) = pending.waiting {
                let _ = waiting.send(false);
            }
        }
    }

    async fn send(&self, store: &Rc<Store>, batch: Vec<Pending>) {
        let (entries, waiting): (Vec<Entry>, Vec<_>) =
            batch.into_iter().map(|p| (p.entry, p.waiting)).unzip();
        let told: Vec<String> = entries.iter().filter_map(ended_id).collect();
        let kept = self.replicate(store, entries, REPLICATE).await;
        if kept {
            store.queue.borrow_mut().mark_notified(self.disk, &told);
        } else {
            self.settled.set(false);
        }
        for waiting in waiting.into_iter().flatten() {
            let _ = waiting.send(kept);
        }
    }

    async fn replicate(&self, store: &Rc<Store>, entries: Vec<Entry>, within: Duration) -> bool {
        let session = self.session.get();
        let call = Call::Replicate { owner: store.disk, to: self.disk, session, entries };
        let answer = store.peers.call::<Call, bool>(self.address, &call, within).await;
        if answer.is_ok() {
            self.heard.set(runtime::now());
        }
        answer.unwrap_or(false)
    }

    /// Asks for all that the peer holds of this store's messages, piece by piece.
    async fn ask_held(&self, store: &Rc<Store>) -> Option<(HeldIds, Vec<String>)> {
        let mut held = HeldIds::default();
        let mut taken = Vec::new();
        let session = runtime::unique();
        self.session.set(session);
        let mut after = String::new();
        loop {
            let call = Call::Held { owner: store.disk, to: self.disk, session, after: after.clone() };
            let piece =
                store.peers.call::<Call, Option<HeldFor>>(self.address, &call, RECONCILE).await.ok()??;
            self.heard.set(runtime::now());
            self.leaving.set(piece.leaving);
            taken.extend(piece.taken);
            after = piece.held.last().cloned().unwrap_or_default();
            held.live.extend(piece.held.live);
            held.finished.extend(piece.held.finished);
            if !piece.more {
                return Some((held, taken));
            }
        }
    }

    /// Learns what the peer holds of this store's messages: ends that it doesn't know are told again, and what this
    /// store doesn't know is fetched.
    async fn reconcile(&self, store: &Rc<Store>) -> bool {
        let Some((held, taken)) = self.ask_held(store).await else { return false };
        store.leave_to_others(taken, LeftBecause::TakenAt(self.disk));
        let Reconciliation { missed_entries, unknown, finished_there } =
            replication::reconcile(&mut store.queue.borrow_mut(), self.disk, &held);
        self.collecting.set(true);
        for ends in missed_entries.chunks(ENDS_AT_ONCE) {
            let told: Vec<String> = ends.iter().filter_map(ended_id).collect();
            if !self.replicate(store, ends.to_vec(), RECONCILE).await {
                return false;
            }
            store.queue.borrow_mut().mark_notified(self.disk, &told);
        }
        if !finished_there.is_empty() && !self.learn_ends(store, finished_there).await {
            return false;
        }
        // Of a completed message the peer keeps the end alone, and doesn't list it as held.
        let unheld = store.recovered_and_not_among(&held.live);
        if !unheld.is_empty() && !self.learn_ends(store, unheld).await {
            return false;
        }
        if !unknown.is_empty() && !self.fetch(store, unknown).await {
            return false;
        }
        store.needs_repair.set(true);
        true
    }

    /// Asks the peer which of some messages of this store have ended: an end was on its way to this store's disk when the
    /// process was killed.
    async fn learn_ends(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        for ids in ids.chunks(ENDS_AT_ONCE) {
            let call = Call::Ends { ids: ids.to_vec() };
            let Ok(ends) = store.peers.call::<Call, Vec<FinalRecord>>(self.address, &call, RECONCILE).await
            else {
                return false;
            };
            if !ends.is_empty() {
                let ended: Vec<String> = ends.iter().map(|end| end.id.clone()).collect();
                log::info!("ended by what disk {:016x} knows: {}", self.disk, some_of(&ended));
            }
            ends.into_iter().for_each(|end| store.finish(end));
        }
        true
    }

    /// Takes messages of this store that only the peer knows, piece by piece. Those that were left to other stores, or
    /// that others have decided, are copies that the peer needn't keep.
    async fn fetch(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        let (left, mut ids): (Vec<String>, Vec<String>) = ids.into_iter().partition(|id| store.has_left(id));
        if !left.is_empty() && !self.drop_copies(store, left).await {
            return false;
        }
        if ids.is_empty() {
            return true;
        }
        log::info!("only known at disk {:016x}: {}", self.disk, some_of(&ids));
        while !ids.is_empty() {
            let call = Call::Fetch { ids: ids.clone() };
            let Ok((given, asked)) =
                store.peers.call::<Call, (Vec<MessageTransfer>, u64)>(self.address, &call, RECONCILE).await
            else {
                return false;
            };
            ids.drain(..(asked as usize).clamp(1, ids.len()));
            let parted = store.part(given, Patience::UnlessAway).await;
            let adopted: Vec<String> =
                parted.open.iter().map(|given| given.message.id().to_string()).collect();
            store.adopt(parted.open, Some(self.disk)).await;
            let superseded = adopted.into_iter().filter(|id| store.has_left(id));
            let dropped: Vec<String> = parted.elsewhere.into_iter().chain(superseded).collect();
            if !dropped.is_empty() && !self.drop_copies(store, dropped).await {
                return false;
            }
        }
        true
    }

    /// Tells the peer that copies aren't needed any more.
    async fn drop_copies(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        let entries = ids.into_iter().map(|id| Entry::Dropped { owner: store.disk, id }).collect();
        self.replicate(store, entries, RECONCILE).await
    }

    /// The batch under way takes longer than it should.
    pub fn is_late(&self) -> bool {
        self.sent_at.get().is_some_and(|at| runtime::elapsed(at) > HEDGE)
    }
}

fn ended_id(entry: &Entry) -> Option<String> {
    match entry {
        Entry::Finished(end) => Some(end.id.clone()),
        _ => None,
    }
}
