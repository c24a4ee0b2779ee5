//! Reacts to each new view of the stores: updates the replicators, and takes over from lost stores.
use super::{replicator, takeover, Store};
use net::runtime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

impl Store {
    /// Applies each new view of the stores.
    pub(super) async fn follow_store_view(self: Rc<Self>) {
        let mut seen = 0;
        let mut unmet = None;
        loop {
            self.cluster.changes.changed(seen).await;
            seen = self.cluster.changes.get();
            let view = self.cluster.stores();
            let own_entry = view.get(self.disk);
            if own_entry.is_some_and(|store| store.declared_lost) {
                self.on_declared_lost();
                continue;
            }
            if own_entry.is_some_and(|store| store.retiring) && !self.retiring.replace(true) {
                runtime::spawn(self.clone().retire(self.has_applied_view()));
            }
            let previous_unmet = std::mem::replace(&mut unmet, self.unmet_tolerance());
            if let Some(unmet) = unmet.as_ref().filter(|_| unmet != previous_unmet) {
                ::log::warn!("the stores can't provide the configured tolerance now: {unmet}");
            }
            self.update_replicators(&view);
            self.view_epoch.set(view.epoch);
            for lost in view.lost_stores_taken_over_by(self.disk) {
                let is_started =
                    self.taken_over.borrow().contains(&lost) || self.takeovers.borrow().contains_key(&lost);
                if !is_started {
                    self.takeovers.borrow_mut().insert(lost, takeover::TakeoverStep::Collecting);
                    runtime::spawn(self.clone().take_over(lost));
                }
            }
        }
    }

    /// Other stores have taken over from this disk, so nothing runs here any more. Messages that may exist
    /// only here are handed back. A store that has completed its retirement has none: the others had all of them
    /// before. That it was asked to retire is not enough, as it may have been declared lost for its silence.
    fn on_declared_lost(self: &Rc<Self>) {
        self.draining.set(true);
        self.paused.set(true);
        if !self.retirement_ready.get() && !self.declared_lost.replace(true) {
            runtime::spawn(self.clone().hand_back());
        }
    }

    /// Messages that were recovered at start, are still unfinished here, and aren't among `ids`.
    pub(super) fn recovered_missing_from(&self, ids: &BTreeSet<String>) -> Vec<String> {
        let (queue, mut recovered) = (self.queue.borrow(), self.recovered.borrow_mut());
        recovered.retain(|id| queue.owned(id).is_some_and(|owned| owned.is_live()));
        recovered.difference(ids).cloned().collect()
    }

    /// Whether this process has applied a view of which this store is a member.
    pub fn has_applied_view(&self) -> bool {
        self.view_epoch.get() > 0
    }

    /// Whether this store has applied the newest view that it has received, and so knows which stores it
    /// takes over from.
    pub fn has_applied_latest_view(&self) -> bool {
        let epoch = self.cluster.stores().epoch;
        epoch > 0 && self.view_epoch.get() == epoch
    }

    fn update_replicators(self: &Rc<Self>, view: &control::StoreView) {
        let mut replicators = self.replicators.borrow_mut();
        replicators.retain(|disk, replicator| {
            let store = view.get(*disk).filter(|store| !store.declared_lost);
            let is_current = store.is_some_and(|store| replicator.address().ip() == store.ip);
            if !is_current {
                replicator.close();
                self.needs_repair.set(true);
            }
            is_current
        });
        for store in view.active().filter(|store| store.disk != self.disk) {
            let address = SocketAddr::new(store.ip, self.port);
            replicators
                .entry(store.disk)
                .or_insert_with(|| replicator::Replicator::start(self.clone(), store.disk, address));
        }
    }
}
