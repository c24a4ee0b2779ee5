//! Replication of this store's records to one other store (the peer), in order.
//!
//! A connection starts with a comparison of what the peer holds and starts over after every failure. Each
//! comparison opens a session with a unique number, and each record is sent within a session. The peer
//! refuses records of earlier sessions, so a delayed record can't arrive after the peer has reported what
//! it holds.
use super::ownership::RetryPolicy;
use super::relinquish::RelinquishReason;
use super::rpc_handlers::MAX_BATCH_BYTES;
use super::{summarize_ids, Store};
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

/// Timeout for a batch of records.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for a call of the comparison: listing, fetching or discarding copies.
const RECONCILE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay after a failed comparison.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A peer that hasn't answered for this long is unavailable: its copies are restored elsewhere.
pub const UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_500);
/// Interval of heartbeats while there are no records to send.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Final records in one call of the comparison.
const MAX_FINAL_RECORDS_PER_CALL: usize = 5_000;
/// After this time without an answer, another peer is asked as well.
pub const HEDGE_AFTER: Duration = Duration::from_millis(40);

/// A record that waits to be sent.
struct PendingRecord {
    entry: Entry,
    /// Informed whether the record is durable on the peer.
    acknowledgement: Option<oneshot::Sender<bool>>,
}

/// Replication to one other store.
pub struct Replicator {
    /// The peer's disk.
    pub disk: u64,
    address: SocketAddr,
    pending: RefCell<VecDeque<PendingRecord>>,
    wake: Notify,
    /// The comparison is done and the peer answers.
    ready: Cell<bool>,
    /// The comparison is done and missing final records are being sent: new records are queued from here
    /// on.
    catching_up: Cell<bool>,
    /// Session that the last comparison opened.
    session: Cell<u64>,
    /// The peer's disk is lost, or its address has changed.
    closed: Cell<bool>,
    /// The peer has announced that it will stop.
    draining: Cell<bool>,
    /// Time of the peer's last answer.
    last_answer_at: Cell<Instant>,
    /// When the batch in progress was sent.
    batch_sent_at: Cell<Option<Instant>>,
}

impl Replicator {
    /// Starts replication to a store.
    pub fn start(store: Rc<Store>, disk: u64, address: SocketAddr) -> Rc<Replicator> {
        let replicator = Rc::new(Replicator {
            disk,
            address,
            pending: RefCell::default(),
            wake: Notify::default(),
            ready: Cell::new(false),
            catching_up: Cell::new(false),
            session: Cell::new(0),
            closed: Cell::new(false),
            draining: Cell::new(false),
            last_answer_at: Cell::new(runtime::now()),
            batch_sent_at: Cell::new(None),
        });
        runtime::spawn(replicator.clone().run(store));
        replicator
    }

    /// Whether messages can be copied to the peer now.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.closed.get()
    }

    /// Whether copies on the peer don't count: it is about to stop or unresponsive.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.draining.get() || self.is_unresponsive(now)
    }

    /// Whether the peer hasn't answered for [`UNAVAILABLE_AFTER`].
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_answer_at.get()) >= UNAVAILABLE_AFTER
    }

    /// Whether the peer has announced that it will stop.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Records that the peer has announced that it will stop.
    pub fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Whether the peer has acknowledged all queued records.
    pub fn is_drained(&self) -> bool {
        self.is_ready() && self.batch_sent_at.get().is_none() && self.pending.borrow().is_empty()
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends replication to this peer.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify();
    }

    /// Sends a record; the receiver reports whether it is durable on the peer.
    pub fn replicate_entry(&self, entry: Entry) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push_back(PendingRecord { entry, acknowledgement: Some(sender) });
        self.wake.notify();
        receiver
    }

    /// Sends a record without waiting for an acknowledgement.
    pub fn enqueue(&self, entry: Entry) {
        if self.ready.get() || self.catching_up.get() {
            self.pending.borrow_mut().push_back(PendingRecord { entry, acknowledgement: None });
            self.wake.notify();
        }
    }

    async fn run(self: Rc<Self>, store: Rc<Store>) {
        while !self.closed.get() {
            if !self.ready.get() {
                // Records queued in the last session are void: messages that finish from now on are covered
                // by the peer's report, and no older record may arrive after that report.
                self.fail_pending();
                let ready = self.reconcile(&store).await;
                self.ready.set(ready);
                self.catching_up.set(false);
                store.release_recovered_if_ready();
                if !ready {
                    self.fail_pending();
                    runtime::sleep(RETRY_DELAY).await;
                }
                continue;
            }
            let batch = self.next_batch();
            if batch.is_empty() && runtime::timeout(HEARTBEAT_INTERVAL, self.wake.notified()).await.is_ok() {
                continue;
            }
            // An empty batch is a heartbeat.
            if !batch.is_empty() {
                self.batch_sent_at.set(Some(runtime::now()));
            }
            self.send(&store, batch).await;
            self.batch_sent_at.set(None);
        }
        self.fail_pending();
    }

    /// The next records to send, limited to what the peer can write within the timeout.
    fn next_batch(&self) -> Vec<PendingRecord> {
        let mut pending = self.pending.borrow_mut();
        let (mut batch, mut bytes) = (Vec::new(), 0);
        while let Some(next) = pending.pop_front_if(|_| bytes < MAX_BATCH_BYTES) {
            bytes += next.entry.body_bytes();
            batch.push(next);
        }
        batch
    }

    fn fail_pending(&self) {
        for pending in self.pending.borrow_mut().drain(..) {
            if let Some(acknowledgement) = pending.acknowledgement {
                let _ = acknowledgement.send(false);
            }
        }
    }

    async fn send(&self, store: &Rc<Store>, batch: Vec<PendingRecord>) {
        let (entries, acknowledgements): (Vec<Entry>, Vec<_>) =
            batch.into_iter().map(|p| (p.entry, p.acknowledgement)).unzip();
        let finished_ids: Vec<String> = entries.iter().filter_map(finished_id).collect();
        let acknowledged = self.replicate(store, entries, REPLICATE_TIMEOUT).await;
        if acknowledged {
            store.queue.borrow_mut().mark_notified(self.disk, &finished_ids);
        } else {
            self.ready.set(false);
        }
        for acknowledgement in acknowledgements.into_iter().flatten() {
            let _ = acknowledgement.send(acknowledged);
        }
    }

    async fn replicate(&self, store: &Rc<Store>, entries: Vec<Entry>, timeout: Duration) -> bool {
        let session = self.session.get();
        let call = Call::Replicate { owner: store.disk, to: self.disk, session, entries };
        let answer = store.peers.call::<Call, bool>(self.address, &call, timeout).await;
        if answer.is_ok() {
            self.last_answer_at.set(runtime::now());
        }
        answer.unwrap_or(false)
    }

    /// Lists what the peer holds of this store's messages, batch by batch. Also returns the messages that
    /// the peer accepted itself.
    async fn request_held(&self, store: &Rc<Store>) -> Option<(HeldIds, Vec<String>)> {
        let mut held = HeldIds::default();
        let mut taken = Vec::new();
        let session = runtime::unique();
        self.session.set(session);
        let mut after = String::new();
        loop {
            let call = Call::Held { owner: store.disk, to: self.disk, session, after: after.clone() };
            let piece = store
                .peers
                .call::<Call, Option<HeldFor>>(self.address, &call, RECONCILE_TIMEOUT)
                .await
                .ok()??;
            self.last_answer_at.set(runtime::now());
            self.draining.set(piece.leaving);
            taken.extend(piece.taken);
            after = piece.held.last().cloned().unwrap_or_default();
            held.live.extend(piece.held.live);
            held.finished.extend(piece.held.finished);
            if !piece.more {
                return Some((held, taken));
            }
        }
    }

    /// Compares this store's messages with those that the peer holds: sends final records that the peer
    /// lacks and fetches messages that only the peer has.
    async fn reconcile(&self, store: &Rc<Store>) -> bool {
        let Some((held, taken)) = self.request_held(store).await else { return false };
        store.relinquish(taken, RelinquishReason::AcceptedAt(self.disk));
        let Reconciliation { missed_entries, unknown, finished_there } =
            replication::reconcile(&mut store.queue.borrow_mut(), self.disk, &held);
        self.catching_up.set(true);
        for records in missed_entries.chunks(MAX_FINAL_RECORDS_PER_CALL) {
            let finished_ids: Vec<String> = records.iter().filter_map(finished_id).collect();
            if !self.replicate(store, records.to_vec(), RECONCILE_TIMEOUT).await {
                return false;
            }
            store.queue.borrow_mut().mark_notified(self.disk, &finished_ids);
        }
        if !finished_there.is_empty() && !self.fetch_outcomes(store, finished_there).await {
            return false;
        }
        // Of a completed message the peer keeps only the final record and doesn't list the message.
        let missing_there = store.recovered_missing_from(&held.live);
        if !missing_there.is_empty() && !self.fetch_outcomes(store, missing_there).await {
            return false;
        }
        if !unknown.is_empty() && !self.fetch_missing(store, unknown).await {
            return false;
        }
        store.needs_repair.set(true);
        true
    }

    /// Asks the peer which of this store's messages are finished. Their final records may have been lost
    /// when the process was killed before they reached this store's disk.
    async fn fetch_outcomes(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        for ids in ids.chunks(MAX_FINAL_RECORDS_PER_CALL) {
            let call = Call::Ends { ids: ids.to_vec() };
            let Ok(records) =
                store.peers.call::<Call, Vec<FinalRecord>>(self.address, &call, RECONCILE_TIMEOUT).await
            else {
                return false;
            };
            if !records.is_empty() {
                let finished_ids: Vec<String> = records.iter().map(|record| record.id.clone()).collect();
                log::info!("finished according to disk {:016x}: {}", self.disk, summarize_ids(&finished_ids));
            }
            records.into_iter().for_each(|record| store.finish(record));
        }
        true
    }

    /// Fetches messages of this store that only the peer has, batch by batch. The peer discards copies of
    /// messages that were relinquished or that another store owns or knows as finished.
    async fn fetch_missing(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        let (relinquished, mut ids): (Vec<String>, Vec<String>) =
            ids.into_iter().partition(|id| store.has_relinquished(id));
        if !relinquished.is_empty() {
            let ids = summarize_ids(&relinquished);
            log::info!("disk {:016x} discards its copies of relinquished messages: {ids}", self.disk);
            if !self.discard_copies(store, relinquished).await {
                return false;
            }
        }
        if ids.is_empty() {
            return true;
        }
        log::info!("only on disk {:016x}: {}", self.disk, summarize_ids(&ids));
        while !ids.is_empty() {
            let call = Call::Fetch { ids: ids.clone() };
            let Ok((given, processed)) = store
                .peers
                .call::<Call, (Vec<MessageTransfer>, u64)>(self.address, &call, RECONCILE_TIMEOUT)
                .await
            else {
                return false;
            };
            ids.drain(..(processed as usize).clamp(1, ids.len()));
            let classified = store.classify(given, RetryPolicy::UntilUnavailable).await;
            let adopted: Vec<String> =
                classified.unresolved.iter().map(|given| given.message.id().to_string()).collect();
            store.adopt(classified.unresolved, Some(self.disk)).await;
            let superseded = adopted.into_iter().filter(|id| store.has_relinquished(id));
            let dropped: Vec<String> = classified.resolved_elsewhere.into_iter().chain(superseded).collect();
            if !dropped.is_empty() && !self.discard_copies(store, dropped).await {
                return false;
            }
        }
        true
    }

    /// Tells the peer to discard copies.
    async fn discard_copies(&self, store: &Rc<Store>, ids: Vec<String>) -> bool {
        let entries = ids.into_iter().map(|id| Entry::Dropped { owner: store.disk, id }).collect();
        self.replicate(store, entries, RECONCILE_TIMEOUT).await
    }

    /// Whether the batch in progress takes longer than [`HEDGE_AFTER`].
    pub fn is_late(&self) -> bool {
        self.batch_sent_at.get().is_some_and(|at| runtime::elapsed(at) > HEDGE_AFTER)
    }
}

fn finished_id(entry: &Entry) -> Option<String> {
    match entry {
        Entry::Finished(record) => Some(record.id.clone()),
        _ => None,
    }
}
