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
use queue::custody::{self, Ids, Preserved};
use queue::{GivenEnded, Placement};
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
        let (due_owners, changed) = self.absences.borrow_mut().look(&available, &absent);
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
            all_sent &= self.preserve_at(to, owner, ids).await.is_some();
        }
        self.absences.borrow_mut().done(owner, available, all_sent);
    }

    /// The copies of an owner's messages that each other store should hold, as far as this store knows the
    /// messages.
    fn copy_targets(&self, owner: u64, available: &BTreeSet<u64>) -> BTreeMap<u64, Ids> {
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
        custody::targets(&self.queue.borrow(), owner, is_lost, &placement)
    }

    /// Sends another store the copies it lacks; none if that failed.
    async fn preserve_at(&self, to: SocketAddr, owner: u64, ids: Ids) -> Option<()> {
        for live in ids.live.chunks(MAX_IDS_PER_CALL) {
            let query = Ids { live: live.to_vec(), ..Ids::default() };
            let missing = self.query_missing(to, owner, query).await?.live;
            let mut remaining = &missing[..];
            while !remaining.is_empty() {
                let (live, processed) = self.copies_by_id(remaining);
                remaining = &remaining[(processed as usize).clamp(1, remaining.len())..];
                self.send_preserved(to, owner, Preserved { live, ..Preserved::default() }).await?;
            }
        }
        for ended in ids.ended.chunks(MAX_IDS_PER_CALL) {
            let query = Ids { ended: ended.to_vec(), ..Ids::default() };
            let mut missing = self.query_missing(to, owner, query).await?.ended.into_iter();
            while missing.len() > 0 {
                let ended = self.next_finished_batch(&mut missing);
                self.send_preserved(to, owner, Preserved { ended, ..Preserved::default() }).await?;
            }
        }
        for ends in ids.ends.chunks(MAX_IDS_PER_CALL) {
            let query = Ids { ends: ends.to_vec(), ..Ids::default() };
            let missing = self.query_missing(to, owner, query).await?.ends;
            for ids in missing.chunks(MAX_FINAL_RECORDS_PER_CALL) {
                let ends = self.final_records(ids);
                self.send_preserved(to, owner, Preserved { ends, ..Preserved::default() }).await?;
            }
        }
        Some(())
    }

    /// The next finished messages that fit one call.
    fn next_finished_batch(&self, ids: &mut std::vec::IntoIter<String>) -> Vec<GivenEnded> {
        let queue = self.queue.borrow();
        let (mut ended, mut bytes) = (Vec::new(), 0);
        for id in ids.by_ref() {
            let Some((_, given)) = queue.ended_replica(&id) else { continue };
            bytes += given.ended.body_bytes();
            ended.push(given);
            if bytes >= MAX_BATCH_BYTES || ended.len() >= MAX_FINAL_RECORDS_PER_CALL {
                break;
            }
        }
        ended
    }

    async fn query_missing(&self, to: SocketAddr, owner: u64, ids: Ids) -> Option<Ids> {
        self.peers.call::<Call, Ids>(to, &Call::Lacking { owner, ids }, PRESERVE_TIMEOUT).await.ok()
    }

    async fn send_preserved(&self, to: SocketAddr, owner: u64, preserved: Preserved) -> Option<()> {
        if preserved.is_empty() {
            return Some(());
        }
        let call = Call::Preserve { owner, preserved };
        let kept = self.peers.call::<Call, bool>(to, &call, PRESERVE_TIMEOUT).await.ok()?;
        kept.then_some(())
    }

    /// Whether this store too can't reach an owner.
    fn is_absent(&self, owner: u64) -> bool {
        let unresponsive = self
            .replicators
            .borrow()
            .get(&owner)
            .is_some_and(|replicator| replicator.is_unresponsive(runtime::now()));
        unresponsive
            && self.absences.borrow().is_silent(owner, UNAVAILABLE_AFTER.as_millis() as u64, self.clock.ms())
    }

    /// Stores messages and final records for an absent owner. Messages are refused if the owner is
    /// reachable or declared lost: the owner or its successor is then responsible for them.
    pub(super) async fn preserve_for(&self, owner: u64, preserved: Preserved) -> bool {
        if self.paused.get() || self.draining.get() {
            return false;
        }
        let has_messages = !preserved.live.is_empty() || !preserved.ended.is_empty();
        if has_messages && (self.is_refused(owner) || !self.is_absent(owner)) {
            return false;
        }
        let entries = {
            let (mut queue, mut absences) = (self.queue.borrow_mut(), self.absences.borrow_mut());
            custody::preserve(&mut queue, &mut absences, owner, preserved)
        };
        self.log.write(&entries).await
    }
}
