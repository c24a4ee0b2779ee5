//! What follows from each view of the stores: ways to the others, and what lost ones owned.
use super::{copier, takeover, Store};
use net::runtime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

impl Store {
    /// Keeps a way to every other store, and takes over from lost ones.
    pub(super) async fn follow_stores(self: Rc<Self>) {
        let mut seen = 0;
        let mut unmet = None;
        loop {
            self.known.changes.changed(seen).await;
            seen = self.known.changes.get();
            let view = self.known.stores();
            let me = view.get(self.disk);
            if let Some(store) = me.filter(|store| store.declared_lost) {
                self.is_given_up(store.retiring);
                continue;
            }
            if me.is_some_and(|store| store.retiring) && !self.retiring.replace(true) {
                runtime::spawn(self.clone().retire(self.acts_by_a_view()));
            }
            let unmet_before = std::mem::replace(&mut unmet, self.unmet_tolerance());
            if let Some(unmet) = unmet.as_ref().filter(|_| unmet != unmet_before) {
                ::log::warn!("what may be lost at once can't be borne now: {unmet}");
            }
            self.keep_copiers(&view);
            self.epoch.set(view.epoch);
            for lost in view.lost_stores_taken_over_by(self.disk) {
                let known =
                    self.inherited.borrow().contains(&lost) || self.inheriting.borrow().contains_key(&lost);
                if !known {
                    self.inheriting.borrow_mut().insert(lost, takeover::Inheriting::Collecting);
                    runtime::spawn(self.clone().take_over(lost));
                }
            }
        }
    }

    /// Others have taken over from this disk: nothing runs here any more. What only this store has is handed back, unless
    /// it was retired: then others had all before.
    fn is_given_up(self: &Rc<Self>, retired: bool) {
        self.leaving.set(true);
        self.paused.set(true);
        if !retired && !self.given_up.replace(true) {
            runtime::spawn(self.clone().hand_back());
        }
    }

    /// Messages that were read from the disk at the start, that have not ended since by what is known here, and that aren't
    /// among these.
    pub(super) fn recovered_and_not_among(&self, ids: &BTreeSet<String>) -> Vec<String> {
        let (queue, mut recovered) = (self.queue.borrow(), self.recovered.borrow_mut());
        recovered.retain(|id| queue.owned(id).is_some_and(|owned| owned.is_live()));
        recovered.difference(ids).cloned().collect()
    }

    /// Whether this store has heard, since it started, that it is one, and acts by that.
    pub fn acts_by_a_view(&self) -> bool {
        self.epoch.get() > 0
    }

    /// Whether this store acts by the newest view that it has heard of: what it has to take over is known.
    pub fn knows_its_part(&self) -> bool {
        let epoch = self.known.stores().epoch;
        epoch > 0 && self.epoch.get() == epoch
    }

    fn keep_copiers(self: &Rc<Self>, view: &control::StoreView) {
        let mut copiers = self.copiers.borrow_mut();
        copiers.retain(|disk, copier| {
            let store = view.get(*disk).filter(|store| !store.declared_lost);
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
                .or_insert_with(|| copier::Copier::start(self.clone(), store.disk, address));
        }
    }
}
