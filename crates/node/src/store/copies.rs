//! Copies at other stores: every message is on as many other disks as may be lost, before it is taken and afterwards.
use super::copier::{Copier, HEDGE};
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

/// After a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// What is heard of the copies of one message.
#[derive(Default)]
struct Answers {
    /// Stores that are expected to answer.
    open: Cell<usize>,
    changed: Watched,
}

/// Puts stores in the order in which they are asked: those that aren't late first, then the nearest, of those equally near
/// a different one first each turn. Whether one is late changes by the clock, so that it is asked once for each.
pub fn in_preference<T>(
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
    /// Copies a message until as many other stores have it as are wanted, and to another where one doesn't answer soon.
    pub async fn copy_enough(self: &Rc<Self>, id: &str, entry: &Entry, placement: fn(&Store) -> Placement) {
        let answers = Rc::new(Answers::default());
        let mut asked: Vec<u64> = Vec::new();
        loop {
            let seen = answers.changed.get();
            let placement = placement(self);
            let missing = self.missing_copies(id, &placement);
            if missing == 0 {
                return;
            }
            // Those that have not answered count as copies to come, but for one more after each hedge.
            let more = missing.saturating_sub(answers.open.get());
            let candidates = self
                .settled_copiers()
                .into_iter()
                .filter(|copier| !asked.contains(&copier.disk) && !self.has_copy(id, copier.disk));
            let candidates = placement.choose(candidates.collect(), |c| c.disk, &self.copies_of(id), more);
            if more > 0 && candidates.is_empty() && answers.open.get() == 0 {
                runtime::sleep(PAUSE).await;
                asked.clear();
                continue;
            }
            for copier in candidates {
                asked.push(copier.disk);
                self.copy_to(&copier, id, entry, &answers);
            }
            if runtime::timeout(HEDGE, answers.changed.changed(seen)).await.is_err() {
                answers.open.set(answers.open.get().saturating_sub(1));
            }
        }
    }

    /// How many copies a message needs beyond those that count; none once it has ended.
    pub fn missing_copies(&self, id: &str, placement: &Placement) -> usize {
        let queue = self.queue.borrow();
        let live = queue.owned(id).filter(|owned| owned.is_live());
        live.map_or(0, |owned| placement.missing_copies(&owned.confirmed_holders))
    }

    /// Disks of other stores that have a message of this one.
    fn copies_of(&self, id: &str) -> BTreeSet<u64> {
        self.queue.borrow().owned(id).map_or_else(BTreeSet::new, |owned| owned.confirmed_holders.clone())
    }

    fn has_copy(&self, id: &str, disk: u64) -> bool {
        self.queue.borrow().owned(id).is_some_and(|known| known.confirmed_holders.contains(&disk))
    }

    /// Disks of other stores whose copies count.
    pub fn present(&self) -> BTreeSet<u64> {
        let (copiers, now) = (self.copiers.borrow(), runtime::now());
        copiers.values().filter(|copier| !copier.is_away(now)).map(|copier| copier.disk).collect()
    }

    /// What the stores that are there to stay can't give of the tolerance.
    pub fn unmet_tolerance(&self) -> Option<String> {
        let view = self.known.stores();
        let locations: Vec<&Location> = view.staying().map(|store| &store.location).collect();
        self.tolerance.unmet(&locations)
    }

    /// Where the copies of a message have to be before it is taken.
    pub fn placement_to_take(&self) -> Placement {
        self.placement_of(self.tolerance.copies())
    }

    /// Where the copies of each message should be: at as many other stores as may be lost at once, and at one more in the
    /// place of this store's own while it is about to go. No more than there are stores.
    pub fn placement(&self) -> Placement {
        let wanted = self.tolerance.copies() + usize::from(self.leaving.get());
        self.placement_of(wanted.min(self.present().len()))
    }

    fn placement_of(&self, copies: usize) -> Placement {
        let present = self.present();
        if !self.tolerance.needs_spread() {
            return Placement::anywhere(present, copies);
        }
        let view = self.known.stores();
        let staying = view.staying().filter(|store| present.contains(&store.disk));
        let locations = staying.map(|store| (store.disk, store.location.clone())).collect();
        let own = (!self.leaving.get()).then(|| self.location.clone());
        Placement::anywhere(present, copies).with_spread(self.tolerance, locations, own)
    }

    fn copy_to(self: &Rc<Self>, copier: &Rc<Copier>, id: &str, entry: &Entry, answers: &Rc<Answers>) {
        if !self.queue.borrow_mut().begin_copy(id, copier.disk) {
            return;
        }
        answers.open.set(answers.open.get() + 1);
        let copied = copier.copy(entry.clone());
        let (store, id, disk, answers) = (self.clone(), id.to_string(), copier.disk, answers.clone());
        runtime::spawn(async move {
            if copied.await.unwrap_or(false) {
                store.queue.borrow_mut().confirm_copy(&id, disk);
            }
            answers.open.set(answers.open.get().saturating_sub(1));
            answers.changed.raise();
        });
    }

    /// Once all other stores have told what they have, recovered messages needn't wait.
    pub fn all_settled(&self) {
        if self.copiers.borrow().values().all(|copier| copier.is_settled()) {
            self.recovered_until.set(0);
            self.work.notify();
        }
    }

    /// Other stores that answer, a different one first each time.
    pub fn settled_copiers(&self) -> Vec<Rc<Copier>> {
        let copiers = self.copiers.borrow();
        let view = self.known.stores();
        let stays = |disk: u64| view.get(disk).is_some_and(|store| !store.retiring);
        let there = copiers.values().filter(|c| c.is_settled() && !c.is_leaving() && stays(c.disk));
        let mut settled: Vec<_> = there.cloned().collect();
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let distance = |copier: &Rc<Copier>| {
            let store = view.get(copier.disk);
            store.map_or(Distance::Beyond, |store| self.location.distance(&store.location))
        };
        in_preference(&mut settled, turn, |copier| copier.is_late(), distance);
        settled
    }

    async fn copy_again(self: Rc<Self>, id: String, entry: Entry) {
        let copiers = self.copiers.borrow().clone();
        self.queue.borrow_mut().retain_copies(&id, |disk| copiers.contains_key(disk));
        self.copy_enough(&id, &entry, Store::placement).await;
        self.repairing.borrow_mut().remove(&id);
        self.reservations.look_again();
    }

    /// Copies messages again that are at too few other stores that are there.
    pub async fn repair(self: &Rc<Self>) {
        let now = runtime::now();
        let all_settled = self.copiers.borrow().values().all(|c| c.is_settled() || c.is_away(now));
        let patient = self.clock.ms() < self.started + 3_000;
        if !all_settled && patient {
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
            log::info!("{} messages are copied again", lacking.len());
        }
        runtime::spawn(self.clone().copy_ended());
        for (id, entry) in lacking {
            runtime::spawn(self.clone().copy_again(id, entry));
        }
    }

    /// A message that has not ended is at too few other stores.
    pub fn lacks_live_copies(&self) -> bool {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let lacks = replication::under_replicated(&queue, &placement).next().is_some();
        lacks
    }

    /// A message is at too few other stores, live or ended, if something of it is owed.
    pub fn lacks_copies(&self) -> bool {
        self.lacks_live_copies() || self.lacks_ended_copies()
    }
}
