//! Restores the copies of messages whose owner is unavailable.
//!
//! While an owner is unavailable, each of its messages is on one disk fewer than required. Restoring the
//! copies needs no decision about the owner: each store that holds a copy makes sure that the other stores
//! chosen for the message have one too. The view of the stores later decides who owns and delivers the
//! message. A returning owner first learns which copies were made, before anything more is stored for it,
//! so that no copy outlives the end of its message.
use super::replicator::UNAVAILABLE_AFTER;
use super::rpc_handlers::{MAX_BATCH_BYTES, MAX_IDS_PER_CALL};
use super::Store;
use crate::calls::Call;
use net::runtime;
use queue::replication::{self, MessageIds, ReplicaBatch};
use queue::{FinishedTransfer, Placement};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for asking a store what it lacks, and for storing copies there.
const PRESERVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Final records in one call.
const MAX_FINAL_RECORDS_PER_CALL: usize = 2_000;

impl Store {
    /// Determines which stores are absent, and starts to restore the copies that they held or owned.
    pub(super) fn check_absences(self: &Rc<Self>) {
        let view = self.cluster.stores();
        let (available, now) = (self.available_disks(), runtime::now());
        let unresponsive =
            self.replicators.borrow().values().filter(|c| c.is_unresponsive(now)).map(|c| c.disk).collect();
        let lost = view.stores.iter().filter(|store| store.declared_lost).map(|store| store.disk).collect();
        let mut absent: BTreeSet<u64> = BTreeSet::union(&unresponsive, &lost).copied().collect();
        absent.remove(&self.disk);
        let (due_owners, changed) = self.absences.borrow_mut().update_presence(&available, &absent);
        if changed {
            self.needs_repair.set(true);
        }
        for owner in due_owners {
            runtime::spawn(self.clone().preserve_copies(owner, available.clone()));
        }
    }

    async fn preserve_copies(self: Rc<Self>, owner: u64, available: BTreeSet<u64>) {
        let mut all_sent = true;
        for (target, ids) in self.copy_targets(owner, &available) {
            let Some(target) = self.cluster.store(target) else { continue };
            let to = SocketAddr::new(target.ip, self.port);
            all_sent &= self.send_missing_copies(to, owner, ids).await.is_some();
        }
        self.absences.borrow_mut().replication_finished(owner, available, all_sent);
    }

    /// For each other store, the ids of the owner's messages that it should hold copies of. Covers only the
    /// messages that this store knows.
    fn copy_targets(&self, owner: u64, available: &BTreeSet<u64>) -> BTreeMap<u64, MessageIds> {
        let view = self.cluster.stores();
        let is_remaining =
            |disk: &u64| view.get(*disk).is_some_and(|store| !store.declared_lost && !store.retiring);
        let mut stores: BTreeSet<u64> = available.iter().copied().filter(is_remaining).collect();
        stores.insert(self.disk);
        let is_lost = self.cluster.store(owner).is_none();
        let locations = stores.iter().filter_map(|disk| Some((*disk, view.get(*disk)?.location.clone())));
        let locations = locations.collect();
        let placement = Placement::anywhere(stores, self.tolerance.copies() + 1);
        let placement = match self.tolerance.needs_spread() {
            true => placement.with_spread(self.tolerance, locations, None),
            false => placement,
        };
        replication::replication_targets(&self.queue.borrow(), owner, is_lost, &placement)
    }

    /// Asks another store which of these messages it lacks and sends it those; none if a call failed.
    async fn send_missing_copies(&self, to: SocketAddr, owner: u64, ids: MessageIds) -> Option<()> {
        for live in ids.live.chunks(MAX_IDS_PER_CALL) {
            let query = MessageIds { live: live.to_vec(), ..MessageIds::default() };
            let missing = self.request_missing_ids(to, owner, query).await?.live;
            let mut remaining = &missing[..];
            while !remaining.is_empty() {
                let (live, processed) = self.copies_by_id(remaining);
                remaining = &remaining[(processed as usize).clamp(1, remaining.len())..];
                self.send_replica_batch(to, owner, ReplicaBatch { live, ..ReplicaBatch::default() }).await?;
            }
        }
        for finished in ids.finished.chunks(MAX_IDS_PER_CALL) {
            let query = MessageIds { finished: finished.to_vec(), ..MessageIds::default() };
            let mut missing = self.request_missing_ids(to, owner, query).await?.finished.into_iter();
            while missing.len() > 0 {
                let finished = self.next_finished_batch(&mut missing);
                self.send_replica_batch(to, owner, ReplicaBatch { finished, ..ReplicaBatch::default() })
                    .await?;
            }
        }
        for final_records in ids.final_records.chunks(MAX_IDS_PER_CALL) {
            let query = MessageIds { final_records: final_records.to_vec(), ..MessageIds::default() };
            let missing = self.request_missing_ids(to, owner, query).await?.final_records;
            for ids in missing.chunks(MAX_FINAL_RECORDS_PER_CALL) {
                let final_records = self.final_records(ids);
                self.send_replica_batch(to, owner, ReplicaBatch { final_records, ..ReplicaBatch::default() })
                    .await?;
            }
        }
        Some(())
    }

    /// The next finished messages that fit one call.
    fn next_finished_batch(&self, ids: &mut std::vec::IntoIter<String>) -> Vec<FinishedTransfer> {
        let queue = self.queue.borrow();
        let (mut finished, mut bytes) = (Vec::new(), 0);
        for id in ids.by_ref() {
            let Some((_, given)) = queue.finished_replica(&id) else { continue };
            bytes += given.finished.body_bytes();
            finished.push(given);
            if bytes >= MAX_BATCH_BYTES || finished.len() >= MAX_FINAL_RECORDS_PER_CALL {
                break;
            }
        }
        finished
    }

    async fn request_missing_ids(&self, to: SocketAddr, owner: u64, ids: MessageIds) -> Option<MessageIds> {
        self.peers.call::<Call, MessageIds>(to, &Call::Lacking { owner, ids }, PRESERVE_TIMEOUT).await.ok()
    }

    async fn send_replica_batch(&self, to: SocketAddr, owner: u64, preserved: ReplicaBatch) -> Option<()> {
        if preserved.is_empty() {
            return Some(());
        }
        let call = Call::Preserve { owner, preserved };
        let kept = self.peers.call::<Call, bool>(to, &call, PRESERVE_TIMEOUT).await.ok()?;
        kept.then_some(())
    }

    /// Whether an owner is absent according to this store as well.
    fn is_absent(&self, owner: u64) -> bool {
        let unresponsive = self
            .replicators
            .borrow()
            .get(&owner)
            .is_some_and(|replicator| replicator.is_unresponsive(runtime::now()));
        unresponsive
            && self.absences.borrow().is_absent(owner, UNAVAILABLE_AFTER.as_millis() as u64, self.clock.ms())
    }

    /// Stores messages and final records for an absent owner. Messages are refused if the owner is
    /// reachable or declared lost: the owner or its successor is then responsible for them.
    pub(super) async fn preserve_for(&self, owner: u64, preserved: ReplicaBatch) -> bool {
        if self.paused.get() || self.draining.get() {
            return false;
        }
        let has_messages = !preserved.live.is_empty() || !preserved.finished.is_empty();
        if has_messages && (self.is_refused(owner) || !self.is_absent(owner)) {
            return false;
        }
        let entries = {
            let (mut queue, mut absences) = (self.queue.borrow_mut(), self.absences.borrow_mut());
            replication::keep_replica_batch(&mut queue, &mut absences, owner, preserved)
        };
        self.log.write(&entries).await
    }
}
