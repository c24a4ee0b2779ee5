//! Planned stops, retirement, and the return of a store that was declared lost. In each case, messages that
//! exist only here are made safe on other stores first.
use super::ownership::RetryPolicy;
use super::rpc_handlers::{finished_batch, message_batch};
use super::{Store, SHUTDOWN_RESERVE_S};
use crate::calls::Call;
use crate::watch::HOLD;
use net::rpc::RpcError;
use net::runtime;
use queue::{replication, FinishedTransfer, MessageTransfer, Stage};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for asking another store whether it still needs this one.
const DEPARTURE_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between two such calls.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Number of failed calls after which a store isn't waited for.
const MAX_DEPARTURE_FAILURES: u32 = 3;
/// Interval of the check whether all messages are safe; each check goes through all owned messages.
const SAFETY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for a successor to make a batch of messages safe.
const HAND_BACK_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay between two attempts to hand back.
const HAND_BACK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// For this long a successor accepts messages only if all other active stores answer; after that it accepts
/// them even if some don't.
const HAND_BACK_ALL_ANSWERS_MS: u64 = 6_000;
/// How long to wait for deliveries in progress before the hand-back.
const RUNNING_DELIVERIES_WAIT_MS: u64 = 2_000;
/// How long a successor waits for the copies of messages that are handed back.
const COPY_WAIT_MS: u64 = 2_500;

impl Store {
    /// Performs a planned stop, possibly for good: stops starting messages without a key, waits for
    /// deliveries in progress, and ensures that all messages are on enough other stores.
    pub(super) async fn shut_down(self: &Rc<Self>) {
        self.draining.set(true);
        self.needs_repair.set(true);
        let grace = Duration::from_secs_f64((self.settings.bounds.grace_s - SHUTDOWN_RESERVE_S).max(0.5));
        let until = self.clock.ms() + grace.as_millis() as u64;
        self.notify_control();
        let needed_by_peers = self.announce_departure(until);
        self.repair().await;
        while self.running_deliveries.get() > self.running_with_key() && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        self.paused.set(true);
        let busy = || self.running_deliveries.get() > 0 || self.pending_accepts.get() > 0;
        let lacks = || {
            self.needs_repair.get()
                || self.lacks_copies()
                || self.is_taking_over()
                || !self.all_records_acknowledged()
        };
        let needed = || needed_by_peers.get() > 0 || lacks();
        while (busy() || needed()) && self.clock.ms() < until {
            runtime::sleep(SAFETY_CHECK_INTERVAL).await;
        }
        self.log_closed.set(true);
        self.log.write(&[]).await;
        log::info!(
            "store stops: {} deliveries in progress, still needed: {}",
            self.running_deliveries.get(),
            needed()
        );
        self.log_unacknowledged();
    }

    /// Logs final records that available holders of copies haven't acknowledged.
    fn log_unacknowledged(&self) {
        let (queue, available) = (self.queue.borrow(), self.available_disks());
        for owned in queue.all_owned() {
            let disks = owned.unnotified.intersection(&available).map(|disk| format!("{disk:016x}"));
            let disks: Vec<String> = disks.collect();
            if !disks.is_empty() {
                log::warn!(
                    "{}: its final record isn't acknowledged by disks {}",
                    owned.id(),
                    disks.join(", ")
                );
            }
        }
    }

    /// Notifies the control group at once that this store is stopping. A watch call may be held open by the
    /// group; a shorter timeout would break the connection of the regular watch call.
    fn notify_control(self: &Rc<Self>) {
        for member in self.cluster.group() {
            let store = self.clone();
            runtime::spawn(async move {
                let to = SocketAddr::new(member, store.settings.control_port());
                let call = Call::Watch(store.hello(), store.cluster.seen());
                let _ = store.peers.call::<Call, crate::calls::News>(to, &call, HOLD * 2).await;
            });
        }
    }

    /// Announces the stop to all other stores; returns the number of stores that still need this one.
    fn announce_departure(self: &Rc<Self>, until: u64) -> Rc<Cell<usize>> {
        let needed_by = Rc::new(Cell::new(0));
        for replicator in self.replicators.borrow().values() {
            needed_by.set(needed_by.get() + 1);
            let (store, needed_by, to) = (self.clone(), needed_by.clone(), replicator.address());
            runtime::spawn(async move {
                let mut failures = 0;
                while store.clock.ms() < until && failures < MAX_DEPARTURE_FAILURES {
                    match store
                        .peers
                        .call::<Call, bool>(to, &Call::Leaving { disk: store.disk }, DEPARTURE_CALL_TIMEOUT)
                        .await
                    {
                        Ok(true) => break,
                        Ok(false) => {}
                        Err(_) => failures += 1,
                    }
                    runtime::sleep(DEPARTURE_RETRY_DELAY).await;
                }
                needed_by.set(needed_by.get() - 1);
            });
        }
        needed_by
    }

    /// Another store is about to stop, so its copies don't count any more. Returns true once this store
    /// doesn't depend on them.
    pub(super) fn on_peer_departure(&self, disk: u64) -> bool {
        let replicator = self.replicators.borrow().get(&disk).cloned();
        if let Some(replicator) = replicator.filter(|replicator| !replicator.is_draining()) {
            replicator.set_draining();
            self.needs_repair.set(true);
            self.maintenance_wake.notify();
        }
        !self.needs_repair.get() && !self.lacks_copies()
    }

    /// Retires this store: finishes deliveries and replicates all that others need. `since_started` tells
    /// whether retirement was requested during the life of this process.
    pub(super) async fn retire(self: Rc<Self>, since_started: bool) {
        log::info!("retires");
        self.draining.set(true);
        if !since_started {
            // An earlier process may have reported that it is ready, so the successor may have started.
            self.paused.set(true);
        }
        self.needs_repair.set(true);
        while self.running_deliveries.get() > self.running_with_key() || self.needs_repair.get() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.paused.set(true);
        let busy =
            || self.running_deliveries.get() > 0 || self.pending_accepts.get() > 0 || self.is_taking_over();
        while busy() || !self.is_fully_replicated() || !self.all_records_acknowledged() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.retirement_ready.set(true);
        log::info!("retirement is complete: other stores may take over");
    }

    /// Whether every available holder of copies has acknowledged all records, in particular final ones.
    fn all_records_acknowledged(&self) -> bool {
        let (available, replicators) = (self.available_disks(), self.replicators.borrow());
        let queue = self.queue.borrow();
        let all_acknowledged = queue.all_owned().all(|owned| owned.unnotified.is_disjoint(&available));
        all_acknowledged
            && available
                .iter()
                .all(|disk| replicators.get(disk).is_some_and(|replicator| replicator.is_drained()))
    }

    /// Number of running deliveries of messages that a key binds to this store; they continue until it
    /// stops.
    fn running_with_key(&self) -> usize {
        let queue = self.queue.borrow();
        let runs = queue.all_owned().filter(|owned| owned.stage() == Some(Stage::Running));
        runs.filter(|owned| owned.envelope().partition_key().is_some()).count()
    }

    /// Other stores took over from this disk while it was unavailable. Messages on it may exist nowhere
    /// else if further disks were lost, so they are handed back to the successors before the store restarts
    /// empty.
    pub(super) async fn hand_back(self: Rc<Self>) {
        log::error!("other stores have taken over from this disk; its messages are handed back to them");
        self.draining.set(true);
        self.paused.set(true);
        let started_at = self.clock.ms();
        while self.running_deliveries.get() > 0 && self.clock.ms() < started_at + RUNNING_DELIVERIES_WAIT_MS {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        while !self.hand_back_all(self.clock.ms() > started_at + HAND_BACK_ALL_ANSWERS_MS).await {
            runtime::sleep(HAND_BACK_RETRY_DELAY).await;
        }
        self.restart_empty().await;
    }

    /// Hands back own messages and copies of messages of other lost stores; false if some aren't safe yet.
    async fn hand_back_all(&self, anyway: bool) -> bool {
        let view = self.cluster.stores();
        let mut all_safe = true;
        for owner in view.stores.iter().filter(|store| store.declared_lost) {
            let messages = replication::live_transfers(&self.queue.borrow(), owner.disk);
            let finished = replication::finished_transfers(&self.queue.borrow(), owner.disk);
            if messages.is_empty() && finished.is_empty() {
                continue;
            }
            log::info!("handing back {} unfinished and {} finished messages", messages.len(), finished.len());
            let Some(successor) = view.final_successor(owner.disk).and_then(|successor| view.get(successor))
            else {
                all_safe = false;
                continue;
            };
            all_safe &=
                self.hand_back_messages(successor, owner.disk, messages, anyway).await.is_ok_and(|safe| safe);
            all_safe &= self.hand_back_finished(successor, owner.disk, finished).await.is_ok_and(|safe| safe);
        }
        all_safe
    }

    async fn hand_back_messages(
        &self,
        successor: &control::Store,
        owner: u64,
        messages: Vec<MessageTransfer>,
        anyway: bool,
    ) -> Result<bool, RpcError> {
        let to = SocketAddr::new(successor.ip, self.port);
        let mut remaining = &messages[..];
        while !remaining.is_empty() {
            let given = message_batch(remaining.iter().cloned()).given;
            remaining = &remaining[given.len()..];
            let call = Call::HandBack { owner, given, anyway };
            if !self.peers.call::<Call, bool>(to, &call, HAND_BACK_TIMEOUT).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn hand_back_finished(
        &self,
        successor: &control::Store,
        owner: u64,
        messages: Vec<FinishedTransfer>,
    ) -> Result<bool, RpcError> {
        let to = SocketAddr::new(successor.ip, self.port);
        let mut remaining = &messages[..];
        while !remaining.is_empty() {
            let given = finished_batch(remaining.iter().cloned()).given;
            remaining = &remaining[given.len()..];
            let call = Call::HandBackEnded { owner, given };
            if !self.peers.call::<Call, bool>(to, &call, HAND_BACK_TIMEOUT).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Whether this store is the successor that accepts an owner's messages from a returned store.
    fn can_accept_hand_back(&self, owner: u64) -> bool {
        let is_successor = self.cluster.stores().final_successor(owner) == Some(self.disk);
        is_successor && self.taken_over.borrow().contains(&owner) && !self.draining.get()
    }

    /// Accepts finished messages from a store that was declared lost. Returns true once they are safe.
    pub(super) async fn accept_finished_hand_back(
        self: &Rc<Self>,
        owner: u64,
        given: Vec<FinishedTransfer>,
    ) -> bool {
        if !self.can_accept_hand_back(owner) {
            return false;
        }
        self.adopt_finished(given).await;
        let until = self.clock.ms() + COPY_WAIT_MS;
        while self.lacks_finished_copies() && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        !self.lacks_finished_copies()
    }

    /// Accepts messages from a store that was declared lost, except those that an active store owns or
    /// knows as finished. Returns true once they are safe. If an active store doesn't answer, nothing is
    /// accepted unless `anyway` is set.
    pub(super) async fn accept_hand_back(
        self: &Rc<Self>,
        owner: u64,
        mut given: Vec<MessageTransfer>,
        anyway: bool,
    ) -> bool {
        if !self.can_accept_hand_back(owner) {
            return false;
        }
        let mut unresolved = self.unresolved_here(&given);
        let (resolved, all_answered) = self.resolved_elsewhere(unresolved.clone(), RetryPolicy::Once).await;
        if !all_answered && !anyway {
            return false;
        }
        unresolved.retain(|id| !resolved.contains(id));
        let unresolved: BTreeSet<String> = unresolved.into_iter().collect();
        given.retain(|given| unresolved.contains(given.message.id()));
        if !given.is_empty() {
            log::warn!("{} messages are handed back by a store that was declared lost", given.len());
        }
        let ids: Vec<String> = given.iter().map(|given| given.message.id().to_string()).collect();
        self.adopt(given, None).await;
        let until = self.clock.ms() + COPY_WAIT_MS;
        let is_safe = |id: &String| self.missing_copies(id, &self.placement()) == 0;
        while !ids.iter().all(is_safe) && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        ids.iter().all(is_safe)
    }

    /// Deletes everything on this disk and exits, so that the store restarts empty.
    async fn restart_empty(&self) {
        log::error!("the store restarts with an empty disk");
        if let Some(folder) = &self.settings.data_dir {
            for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        runtime::exit().await;
    }
}
