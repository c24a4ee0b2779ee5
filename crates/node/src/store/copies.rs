//! Copies of messages on other stores: a message is accepted once it is on as many other disks as the
//! tolerance requires, and copies that are lost later are restored.
use super::replicator::{Replicator, HEDGE_AFTER};
use super::Store;
use net::runtime;
use net::wake::Watched;
use queue::replication;
use queue::{Entry, Message, Placement};
use settings::{Distance, Location};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Delay before the next attempt when no store can be asked.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Progress of copying one message.
#[derive(Default)]
struct CopyAttempts {
    /// Number of stores whose answer is still expected.
    outstanding: Cell<usize>,
    changed: Watched,
}

/// Sorts stores by the order in which they are asked: stores that answer in time before late ones, then by
/// distance; equally distant stores take turns. `late` depends on the clock, so it is evaluated once per
/// store.
pub fn sort_by_preference<T>(
    stores: &mut [T],
    turn: usize,
    late: impl Fn(&T) -> bool,
    distance: impl Fn(&T) -> Distance,
) {
    let count = stores.len().max(1);
    stores.rotate_left(turn % count);
    stores.sort_by_cached_key(|store| (late(store), distance(store)));
}

impl Store {
    /// Copies a message to other stores until `placement` is satisfied; asks one more store when an answer
    /// takes longer than [`HEDGE_AFTER`].
    pub async fn ensure_copies(self: &Rc<Self>, id: &str, entry: &Entry, placement: fn(&Store) -> Placement) {
        let attempts = Rc::new(CopyAttempts::default());
        let mut tried: Vec<u64> = Vec::new();
        loop {
            let seen = attempts.changed.get();
            let placement = placement(self);
            let missing = self.missing_copies(id, &placement);
            if missing == 0 {
                return;
            }
            // Outstanding requests count as copies to come; each hedge timeout subtracts one.
            let more = missing.saturating_sub(attempts.outstanding.get());
            let candidates = self.ready_replicators().into_iter().filter(|replicator| {
                !tried.contains(&replicator.disk) && !self.has_copy(id, replicator.disk)
            });
            let candidates = placement.choose(candidates.collect(), |c| c.disk, &self.copies_of(id), more);
            if more > 0 && candidates.is_empty() && attempts.outstanding.get() == 0 {
                runtime::sleep(RETRY_DELAY).await;
                tried.clear();
                continue;
            }
            for replicator in candidates {
                tried.push(replicator.disk);
                self.copy_to(&replicator, id, entry, &attempts);
            }
            if runtime::timeout(HEDGE_AFTER, attempts.changed.changed(seen)).await.is_err() {
                attempts.outstanding.set(attempts.outstanding.get().saturating_sub(1));
            }
        }
    }

    /// Number of copies that an unfinished message lacks; 0 for a finished one.
    pub fn missing_copies(&self, id: &str, placement: &Placement) -> usize {
        let queue = self.queue.borrow();
        let live = queue.owned(id).filter(|owned| owned.is_live());
        live.map_or(0, |owned| placement.missing_copies(&owned.confirmed_holders))
    }

    /// Disks of other stores that hold a copy of an own message.
    fn copies_of(&self, id: &str) -> BTreeSet<u64> {
        self.queue.borrow().owned(id).map_or_else(BTreeSet::new, |owned| owned.confirmed_holders.clone())
    }

    fn has_copy(&self, id: &str, disk: u64) -> bool {
        self.queue.borrow().owned(id).is_some_and(|known| known.confirmed_holders.contains(&disk))
    }

    /// Disks of other stores whose copies count.
    pub fn available_disks(&self) -> BTreeSet<u64> {
        let (replicators, now) = (self.replicators.borrow(), runtime::now());
        replicators
            .values()
            .filter(|replicator| !replicator.is_unavailable(now))
            .map(|replicator| replicator.disk)
            .collect()
    }

    /// Explains what the remaining stores lack for the configured failure tolerance; none if they suffice.
    pub fn unmet_tolerance(&self) -> Option<String> {
        let view = self.cluster.stores();
        let locations: Vec<&Location> = view.remaining().map(|store| &store.location).collect();
        self.tolerance.unmet(&locations)
    }

    /// Placement that a message needs before it is accepted.
    pub fn acceptance_placement(&self) -> Placement {
        self.placement_of(self.tolerance.copies())
    }

    /// Placement that each message should have: as many other stores as may be lost at once, and one more
    /// while this store is draining, but no more than are available.
    pub fn placement(&self) -> Placement {
        let wanted = self.tolerance.copies() + usize::from(self.draining.get());
        self.placement_of(wanted.min(self.available_disks().len()))
    }

    fn placement_of(&self, copies: usize) -> Placement {
        let available = self.available_disks();
        if !self.tolerance.needs_spread() {
            return Placement::anywhere(available, copies);
        }
        let view = self.cluster.stores();
        let remaining = view.remaining().filter(|store| available.contains(&store.disk));
        let locations = remaining.map(|store| (store.disk, store.location.clone())).collect();
        let own = (!self.draining.get()).then(|| self.location.clone());
        Placement::anywhere(available, copies).with_spread(self.tolerance, locations, own)
    }

    fn copy_to(
        self: &Rc<Self>,
        replicator: &Rc<Replicator>,
        id: &str,
        entry: &Entry,
        attempts: &Rc<CopyAttempts>,
    ) {
        if !self.queue.borrow_mut().begin_copy(id, replicator.disk) {
            return;
        }
        attempts.outstanding.set(attempts.outstanding.get() + 1);
        let copied = replicator.replicate_entry(entry.clone());
        let (store, id, disk, attempts) = (self.clone(), id.to_string(), replicator.disk, attempts.clone());
        runtime::spawn(async move {
            if copied.await.unwrap_or(false) {
                store.queue.borrow_mut().confirm_copy(&id, disk);
            }
            attempts.outstanding.set(attempts.outstanding.get().saturating_sub(1));
            attempts.changed.raise();
        });
    }

    /// Releases recovered messages once every other store has reported what it holds.
    pub fn release_recovered_if_ready(&self) {
        if self.replicators.borrow().values().all(|replicator| replicator.is_ready()) {
            self.recovery_hold_until_ms.set(0);
            self.delivery_wake.notify();
        }
    }

    /// Replicators that can take copies now, in order of preference.
    pub fn ready_replicators(&self) -> Vec<Rc<Replicator>> {
        let replicators = self.replicators.borrow();
        let view = self.cluster.stores();
        let is_remaining = |disk: u64| view.get(disk).is_some_and(|store| !store.retiring);
        let usable =
            replicators.values().filter(|c| c.is_ready() && !c.is_draining() && is_remaining(c.disk));
        let mut ready: Vec<_> = usable.cloned().collect();
        let turn = self.next_turn.get();
        self.next_turn.set(turn + 1);
        let distance = |replicator: &Rc<Replicator>| {
            let store = view.get(replicator.disk);
            store.map_or(Distance::Beyond, |store| self.location.distance(&store.location))
        };
        sort_by_preference(&mut ready, turn, |replicator| replicator.is_late(), distance);
        ready
    }

    async fn restore_copies(self: Rc<Self>, id: String, entry: Entry) {
        let replicators = self.replicators.borrow().clone();
        self.queue.borrow_mut().retain_copies(&id, |disk| replicators.contains_key(disk));
        self.ensure_copies(&id, &entry, Store::placement).await;
        self.repairing.borrow_mut().remove(&id);
        self.reservations.notify_changed();
    }

    /// Copies messages again that lack copies on available stores.
    pub async fn repair(self: &Rc<Self>) {
        let now = runtime::now();
        let all_ready = self.replicators.borrow().values().all(|c| c.is_ready() || c.is_unavailable(now));
        let is_starting = self.clock.ms() < self.started + 3_000;
        if !all_ready && is_starting {
            return;
        }
        self.needs_repair.set(false);
        let lacking: Vec<(String, Entry)> = {
            let (queue, mut repairing) = (self.queue.borrow(), self.repairing.borrow_mut());
            let placement = self.placement();
            let lacking = replication::under_replicated(&queue, &placement);
            let lacking = lacking.filter_map(|owned| owned.live_message());
            let lacking = lacking.filter(|message| repairing.insert(message.id().to_string()));
            let entry = |message: &Message| Entry::Message { owner: self.disk, message: message.clone() };
            lacking.map(|message| (message.id().to_string(), entry(message))).collect()
        };
        if !lacking.is_empty() {
            log::info!("restoring the copies of {} messages", lacking.len());
        }
        runtime::spawn(self.clone().copy_finished());
        for (id, entry) in lacking {
            runtime::spawn(self.clone().restore_copies(id, entry));
        }
    }

    /// Whether an unfinished message lacks copies.
    pub fn lacks_live_copies(&self) -> bool {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let lacks = replication::under_replicated(&queue, &placement).next().is_some();
        lacks
    }

    /// Whether any message lacks copies: an unfinished one, or a finished one that still owes something.
    pub fn lacks_copies(&self) -> bool {
        self.lacks_live_copies() || self.lacks_finished_copies()
    }
}
