//! Which stores are there: those that ask for news. A disk is lost when another one comes in its place.
use super::{Changed, Control};
use crate::calls::{Custody, Hello, Role, Seen};
use control::{Command, Store, StoreView};
use net::runtime;
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

#[cfg(test)]
#[path = "census_tests.rs"]
mod tests;

/// How often it is looked.
const EVERY: Duration = Duration::from_millis(100);
/// After the first store came, others are waited for so long before the keys are shared out.
const FIRST_STORES: u64 = 1_500;
/// A store that is silent for so long is lost, if an empty one has come since, or if it said that it stops while an
/// empty one was there: a planned replacement. A restart takes less.
const REPLACED: u64 = 4_000;
/// A store that is silent for so long is lost.
const LOST: u64 = 15_000;
/// The same where it may hold the only copy of something: a store that nobody brings back must not stop the system for
/// good.
const LOST_ANYWAY: u64 = 120_000;

struct Watcher {
    hello: Hello,
    seen: Seen,
    /// When it was heard first, and last.
    first: u64,
    at: u64,
}

/// A store that was heard within this many milliseconds is there.
const HEARD_LATELY: u64 = 2_000;

/// Who asked for news, and when.
#[derive(Default)]
pub struct Census {
    watchers: BTreeMap<String, Watcher>,
    first_store: Option<u64>,
    /// Since when this machine leads.
    since: Option<u64>,
    /// When each lost disk was heard last; 0 for those that were when this machine began to lead.
    losses: BTreeMap<u64, u64>,
    /// Stores that say that they stop.
    stops: PlannedStops,
}

/// Since when the view has said of stores that they stop as planned, by the clock of a machine that holds the state,
/// whether it leads or not. A store that is away since an earlier primary is waited for from then on.
#[derive(Default)]
struct PlannedStops {
    since: BTreeMap<u64, u64>,
    /// The epoch of the view that was read last.
    epoch: u64,
}

impl PlannedStops {
    /// Reads the view that this machine holds now.
    fn note(&mut self, view: &StoreView, now: u64) {
        // To come back and stop again takes a store two changes. It may have, in a view that wasn't read.
        if view.epoch > self.epoch + 1 {
            self.since.clear();
        }
        self.epoch = view.epoch;
        let leaving = |disk: u64| view.get(disk).is_some_and(|store| store.leaving && !store.declared_lost);
        self.since.retain(|disk, _| leaving(*disk));
        for store in view.active().filter(|store| store.leaving) {
            self.since.entry(store.disk).or_insert(now);
        }
    }

    /// When the store of a disk said that it stops, if it hasn't been heard as running since.
    fn said_at(&self, disk: u64) -> Option<u64> {
        self.since.get(&disk).copied()
    }
}

impl Census {
    /// A watcher was heard.
    pub fn heard(&mut self, hello: &Hello, seen: Seen, now: u64) {
        if hello.role == Role::Store {
            self.first_store.get_or_insert(now);
        }
        let name = format!("{}/{}", hello.name, hello.disk);
        let first = self.watchers.get(&name).map_or(now, |watcher| watcher.first);
        self.watchers.insert(name, Watcher { hello: hello.clone(), seen, first, at: now });
        self.watchers.retain(|_, watcher| now < watcher.at + 60_000);
    }

    /// All watchers with what they have, and when they were heard, for an operator's tool.
    pub fn watchers(&self, now: u64) -> Vec<serde_json::Value> {
        let show = |w: &Watcher| {
            let role = if w.hello.role == Role::Store { "store" } else { "edge" };
            serde_json::json!({"name": w.hello.name, "role": role, "version": w.seen.version, "stores": w.seen.stores,
                "part_version": w.seen.part.version, "part_bytes": w.seen.part.bytes,
                "heard_ms_ago": now.saturating_sub(w.at)})
        };
        self.watchers.values().map(show).collect()
    }

    fn stores(&self) -> impl Iterator<Item = &Watcher> {
        self.watchers.values().filter(|watcher| watcher.hello.role == Role::Store)
    }

    /// What is known of the store with this disk.
    fn store(&self, disk: u64) -> Option<&Watcher> {
        self.stores().find(|watcher| watcher.hello.disk == disk)
    }

    fn silent(&self, disk: u64, now: u64) -> u64 {
        let heard =
            self.stores().filter(|watcher| watcher.hello.disk == disk).map(|watcher| watcher.at).max();
        let known = heard.max(self.stops.said_at(disk));
        now.saturating_sub(known.or(self.since).unwrap_or(now))
    }

    /// How long a store may be silent: less if an empty one came since.
    fn patience(&self, store: &Store, view: &StoreView, now: u64) -> u64 {
        // A primary that hasn't heard it can't tell who came after it.
        let heard = self.store(store.disk).map_or(u64::MAX, |watcher| watcher.at);
        let successor = |other: &Store| {
            let came = self.store(other.disk).is_some_and(|watcher| store.leaving || watcher.first > heard);
            came && self.silent(other.disk, now) < HEARD_LATELY && !view.owners.contains(&other.disk)
        };
        match view.active().any(successor) {
            true => REPLACED,
            false => LOST,
        }
    }

    /// What a store that was heard lately says of its messages.
    fn custody(&self, disk: u64, now: u64) -> Option<&Custody> {
        self.store(disk).filter(|watcher| now < watcher.at + 2_500).map(|watcher| &watcher.hello.custody)
    }

    /// Nothing rests on a lost store any more: its heir has taken over, and all stores are whole by the newest view.
    fn is_empty(&self, lost: &Store, view: &StoreView, now: u64) -> bool {
        let whole = |store: &Store| {
            self.custody(store.disk, now).is_some_and(|custody| custody.whole && custody.epoch >= view.epoch)
        };
        let heir = view.final_successor(lost.disk).and_then(|heir| self.custody(heir, now));
        let inherited = heir.is_some_and(|custody| custody.inherited.contains(&lost.disk));
        inherited && view.active().all(whole)
    }

    /// The next step of a store's retirement, or of the end of a loss: others take over from a retiring store once it is
    /// idle, and a lost one isn't missed any more once all are whole. That is kept in the state, since the next primary
    /// hasn't heard the stores that are gone by then.
    fn emptying(&self, view: &StoreView, now: u64) -> Option<Command> {
        let mut retiring = view.stores.iter().filter(|store| store.retiring && !store.emptied);
        if let Some(store) = retiring.next() {
            if !store.declared_lost {
                let idle = self.custody(store.disk, now).is_some_and(|custody| custody.idle);
                return idle.then(|| self.loss_of(store, view, now));
            }
            return self.is_empty(store, view, now).then_some(Command::Retired(store.disk));
        }
        let mut lost = view.stores.iter().filter(|store| store.declared_lost && !store.emptied);
        let is_made_good = |store: &Store| store.leaving || self.is_empty(store, view, now);
        lost.find(|store| is_made_good(store)).map(|store| Command::Emptied(store.disk))
    }

    fn note_losses(&mut self, view: &StoreView, now: u64) {
        for store in view.stores.iter().filter(|store| store.declared_lost && !store.emptied) {
            // What it had was made whole from when it fell silent on, not from when it was given up.
            let at = if self.since.is_none() { 0 } else { now.saturating_sub(self.silent(store.disk, now)) };
            self.losses.entry(store.disk).or_insert(at);
        }
    }

    /// Whether a silent store's disk may be done without: it said that it stops, and had others keep what it kept; or no
    /// more disks than are borne are lost with it, of those that were lost since it was heard last and those that their
    /// heirs haven't taken over from yet. Else it may hold the only copy of something, and is waited for.
    fn is_dispensable(&self, store: &Store, view: &StoreView, now: u64, tolerance: Tolerance) -> bool {
        if store.leaving {
            return true;
        }
        let silent = self.silent(store.disk, now);
        let since_then = |lost: &Store| self.losses.get(&lost.disk).is_some_and(|at| at + silent >= now);
        let taken_over = |lost: &Store| {
            let heir = view.final_successor(lost.disk).and_then(|heir| self.store(heir));
            heir.is_some_and(|heir| heir.hello.custody.inherited.contains(&lost.disk))
        };
        // A retired store was whole elsewhere before it went.
        let lost = view.stores.iter().filter(|lost| lost.declared_lost && !lost.emptied && !lost.retiring);
        let open = lost.filter(|lost| since_then(lost) || !taken_over(lost));
        let missed: Vec<&Location> = open.chain([store]).map(|store| &store.location).collect();
        tolerance.covers_loss_of(&missed) || silent >= LOST_ANYWAY
    }

    /// The loss of a store: one that is silent too is no heir, if another is there.
    fn loss_of(&self, store: &Store, view: &StoreView, now: u64) -> Command {
        let silent = |store: &&Store| self.silent(store.disk, now) >= HEARD_LATELY;
        let silent: BTreeSet<u64> = view.active().filter(silent).map(|store| store.disk).collect();
        Command::StoreLost { disk: store.disk, unreachable: silent }
    }

    /// Stores that were heard lately and of which the view doesn't have what they say of themselves. All of them are one
    /// change: each change goes to every watcher, and hundreds of stores may come at once. Of several disks at one machine the
    /// one that was heard first goes first, since a later one takes its place.
    fn unknown(&self, view: &StoreView, now: u64) -> Vec<Store> {
        let lately = self.stores().filter(|watcher| now < watcher.at + HEARD_LATELY);
        let mut lately: Vec<&Watcher> = lately.collect();
        lately.sort_by_key(|watcher| watcher.first);
        let stores = lately.into_iter().map(|watcher| watcher.hello.store());
        let is_news = |store: &Store| {
            view.get(store.disk).is_none_or(|known| !known.declared_lost && !known.has_same_details(store))
        };
        stores.filter(is_news).collect()
    }

    /// This machine doesn't lead. What the view that it holds says of planned stops counts once it does.
    pub fn follows(&mut self, view: &StoreView, now: u64) {
        (self.since, self.losses) = (None, BTreeMap::new());
        self.stops.note(view, now);
    }

    /// What should change in the view of the stores, where so much may be lost at once.
    pub fn wanted(&mut self, view: &StoreView, now: u64, tolerance: Tolerance) -> Option<Command> {
        self.stops.note(view, now);
        self.note_losses(view, now);
        let since = *self.since.get_or_insert(now);
        let unknown = self.unknown(view, now);
        if !unknown.is_empty() {
            return Some(Command::StoresSeen(unknown));
        }
        if view.owners.is_empty() {
            let ready = self.first_store.is_some_and(|first| now >= first + FIRST_STORES);
            return ready.then_some(Command::AssignPartitions);
        }
        if let Some(command) = self.emptying(view, now) {
            return Some(command);
        }
        if now < since + REPLACED {
            return None;
        }
        let alive = view.active().filter(|store| self.silent(store.disk, now) < HEARD_LATELY).count();
        let lost = view.active().find(|store| {
            let silent = self.silent(store.disk, now);
            // Who came after it is looked for only where that matters: with hundreds of watchers it takes long.
            silent >= REPLACED && silent >= self.patience(store, view, now)
        });
        let lost = lost.filter(|store| alive >= 2 && self.is_dispensable(store, view, now, tolerance));
        lost.map(|store| self.loss_of(store, view, now))
    }
}

/// Keeps the view of the stores, as long as this machine leads.
pub async fn keep(control: Rc<Control>) {
    let tolerance = control.process.settings.tolerance();
    loop {
        runtime::sleep(EVERY).await;
        let Some(state) = control.committed_state() else {
            let group = control.group.borrow();
            control.census.borrow_mut().follows(&group.durable().state.stores, control.now());
            continue;
        };
        let wanted = control.census.borrow_mut().wanted(&state.stores, control.now(), tolerance);
        if let Some(command) = wanted {
            log::info!("stores: {command:?}");
            if let Changed::Rejected(rejected) = control.change(command).await {
                log::warn!("stores: {rejected}");
            }
        }
    }
}
