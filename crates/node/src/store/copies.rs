//! Copies at other stores: what happens to this store's messages goes to each peer that holds some, in its order.
use super::Store;
use crate::calls::{Call, HeldFor};
use futures_channel::oneshot;
use net::runtime;
use net::wake::{Notify, Watched};
use queue::custody::{self, Reconciled};
use queue::{Entry, Given, Message, Stage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a peer may take for a batch.
const REPLICATE: Duration = Duration::from_millis(1_000);
/// How long a peer may take to tell what it holds, or to give it.
const RECONCILE: Duration = Duration::from_millis(2_000);
/// How long another store may take to leave a message to this one.
const LEAVE: Duration = Duration::from_millis(400);
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

/// What is heard of the copies of one message.
#[derive(Default)]
struct Answers {
    /// Stores that are expected to answer.
    open: Cell<usize>,
    changed: Watched,
}

struct Pending {
    entry: Entry,
    waiting: Option<oneshot::Sender<bool>>,
}

/// The way to one other store.
pub struct Copier {
    pub disk: u64,
    address: SocketAddr,
    pending: RefCell<Vec<Pending>>,
    wake: Notify,
    /// What the peer holds of this store is known, and it answers.
    settled: Cell<bool>,
    /// What the peer holds has been compared, and it is being told what it lacks: what happens from then on is told next.
    collecting: Cell<bool>,
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

    /// Everything that was to be told is told.
    pub fn is_idle(&self) -> bool {
        !self.is_settled() || (self.sent_at.get().is_none() && self.pending.borrow().is_empty())
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
        self.pending.borrow_mut().push(Pending { entry, waiting: Some(sender) });
        self.wake.notify();
        receiver
    }

    /// Sends a record.
    pub fn tell(&self, entry: Entry) {
        if self.settled.get() || self.collecting.get() {
            self.pending.borrow_mut().push(Pending { entry, waiting: None });
            self.wake.notify();
        }
    }

    async fn run(self: Rc<Self>, store: Rc<Store>) {
        while !self.ended.get() {
            if !self.settled.get() {
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
            let batch = std::mem::take(&mut *self.pending.borrow_mut());
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
            store.queue.borrow_mut().told(self.disk, &told);
        } else {
            self.settled.set(false);
        }
        for waiting in waiting.into_iter().flatten() {
            let _ = waiting.send(kept);
        }
    }

    async fn replicate(&self, store: &Rc<Store>, entries: Vec<Entry>, within: Duration) -> bool {
        let call = Call::Replicate { owner: store.disk, to: self.disk, entries };
        let answer = store.peers.call::<Call, bool>(self.address, &call, within).await;
        if answer.is_ok() {
            self.heard.set(runtime::now());
        }
        answer.unwrap_or(false)
    }

    /// Asks for all that the peer holds of this store's messages, piece by piece.
    async fn ask_held(&self, store: &Rc<Store>) -> Option<(BTreeSet<String>, Vec<String>)> {
        let mut held = BTreeSet::new();
        let mut taken = Vec::new();
        let mut after = String::new();
        loop {
            let call = Call::Held { owner: store.disk, to: self.disk, after: after.clone() };
            let piece =
                store.peers.call::<Call, Option<HeldFor>>(self.address, &call, RECONCILE).await.ok()??;
            self.heard.set(runtime::now());
            self.leaving.set(piece.leaving);
            taken.extend(piece.taken);
            after = piece.copies.last().cloned().unwrap_or_default();
            held.extend(piece.copies);
            if !piece.more {
                return Some((held, taken));
            }
        }
    }

    /// Learns what the peer holds of this store's messages: ends that it doesn't know are told again, and what this
    /// store doesn't know is fetched.
    async fn reconcile(&self, store: &Rc<Store>) -> bool {
        let Some((held, taken)) = self.ask_held(store).await else { return false };
        store.leave_to_others(taken);
        let Reconciled { ends, unknown } =
            custody::reconcile(&mut store.queue.borrow_mut(), self.disk, &held);
        self.collecting.set(true);
        for ends in ends.chunks(ENDS_AT_ONCE) {
            let told: Vec<String> = ends.iter().filter_map(ended_id).collect();
            if !self.replicate(store, ends.to_vec(), RECONCILE).await {
                return false;
            }
            store.queue.borrow_mut().told(self.disk, &told);
        }
        if !unknown.is_empty() && !self.fetch(store, unknown).await {
            return false;
        }
        store.needs_repair.set(true);
        true
    }

    /// Takes messages of this store that only the peer knows, piece by piece.
    async fn fetch(&self, store: &Rc<Store>, mut ids: Vec<String>) -> bool {
        log::info!("only known at disk {:016x}: {}", self.disk, some_of(&ids));
        while !ids.is_empty() {
            let call = Call::Fetch { ids: ids.clone() };
            let Ok((given, asked)) =
                store.peers.call::<Call, (Vec<Given>, u64)>(self.address, &call, RECONCILE).await
            else {
                return false;
            };
            ids.drain(..(asked as usize).clamp(1, ids.len()));
            store.adopt(given, Some(self.disk)).await;
        }
        true
    }

    /// The batch under way takes longer than it should.
    fn is_late(&self) -> bool {
        self.sent_at.get().is_some_and(|at| runtime::elapsed(at) > HEDGE)
    }
}

/// Puts stores in the order in which they are asked: those that aren't late first, then those at the wanted place, a
/// different one first each turn. Whether one is late changes by the clock, so that it is asked once for each.
pub fn in_preference<T>(
    stores: &mut [T],
    turn: usize,
    late: impl Fn(&T) -> bool,
    wanted: impl Fn(&T) -> bool,
) {
    let count = stores.len().max(1);
    stores.rotate_left(turn % count);
    stores.sort_by_cached_key(|store| (late(store), !wanted(store)));
}

/// How many ids, and the first of them, for the log.
pub fn some_of(ids: &[String]) -> String {
    const SHOWN: usize = 5;
    let first = ids.iter().take(SHOWN).map(String::as_str).collect::<Vec<_>>().join(", ");
    let more = if ids.len() > SHOWN { ", ..." } else { "" };
    format!("{} messages ({first}{more})", ids.len())
}

fn ended_id(entry: &Entry) -> Option<String> {
    match entry {
        Entry::Ended(end) => Some(end.id.clone()),
        _ => None,
    }
}

impl Store {
    /// Copies a message until as many other stores have it as are wanted, and to another where one doesn't answer soon.
    pub async fn copy_enough(self: &Rc<Self>, id: &str, entry: &Entry, wanted: fn(&Store) -> usize) {
        let answers = Rc::new(Answers::default());
        let mut asked: Vec<u64> = Vec::new();
        loop {
            let seen = answers.changed.get();
            let missing = self.missing_copies(id, wanted(self));
            if missing == 0 {
                return;
            }
            // Those that have not answered count as copies to come, but for one more after each hedge.
            let more = missing.saturating_sub(answers.open.get());
            let candidates = self
                .settled_copiers()
                .into_iter()
                .filter(|copier| !asked.contains(&copier.disk) && !self.has_copy(id, copier.disk));
            let candidates: Vec<_> = candidates.take(more).collect();
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

    /// How many copies a message needs beyond those that count.
    pub fn missing_copies(&self, id: &str, wanted: usize) -> usize {
        let queue = self.queue.borrow();
        let Some(known) = queue.owned(id) else { return 0 };
        let present = self.present();
        wanted.saturating_sub(known.copies.intersection(&present).count())
    }

    fn has_copy(&self, id: &str, disk: u64) -> bool {
        self.queue.borrow().owned(id).is_some_and(|known| known.copies.contains(&disk))
    }

    /// Disks of other stores whose copies count.
    pub fn present(&self) -> BTreeSet<u64> {
        let (copiers, now) = (self.copiers.borrow(), runtime::now());
        copiers.values().filter(|copier| !copier.is_away(now)).map(|copier| copier.disk).collect()
    }

    /// Copies that each message should have at other stores: as many as may be lost at once, and one more in the place
    /// of this store's own while it is about to go. No more than there are stores.
    pub fn copies_wanted(&self) -> usize {
        let wanted = self.copies_needed + usize::from(self.leaving.get());
        wanted.min(self.present().len())
    }

    fn copy_to(self: &Rc<Self>, copier: &Rc<Copier>, id: &str, entry: &Entry, answers: &Rc<Answers>) {
        if let Some(known) = self.queue.borrow_mut().owned_mut(id) {
            known.sent.insert(copier.disk);
            if matches!(known.stage, Stage::Ended(_)) {
                log::warn!("{id}: a copy goes to disk {:016x} after its end", copier.disk);
            }
        }
        answers.open.set(answers.open.get() + 1);
        let copied = copier.copy(entry.clone());
        let (store, id, disk, answers) = (self.clone(), id.to_string(), copier.disk, answers.clone());
        runtime::spawn(async move {
            if copied.await.unwrap_or(false) {
                if let Some(known) = store.queue.borrow_mut().owned_mut(&id) {
                    known.copies.insert(disk);
                }
            }
            answers.open.set(answers.open.get().saturating_sub(1));
            answers.changed.raise();
        });
    }

    /// Once all other stores have told what they have, recovered messages needn't wait.
    fn all_settled(&self) {
        if self.copiers.borrow().values().all(|copier| copier.is_settled()) {
            self.recovered_until.set(0);
            self.work.notify();
        }
    }

    /// Asks the stores that were given a message before to leave it to this one. False if one of them has begun.
    pub async fn ask_to_leave(&self, message: &Message) -> bool {
        for disk in &message.also_at {
            let Some(other) = self.known.store(*disk) else { continue };
            let to = SocketAddr::new(other.ip, self.port);
            let call = Call::Leave { id: message.id.clone() };
            // One that doesn't answer is in trouble: it hears of the message before it runs what it recovers.
            if self.peers.call::<Call, bool>(to, &call, LEAVE).await == Ok(false) {
                return false;
            }
        }
        true
    }

    /// Another store has taken a message: it isn't run here, nor taken if it comes yet. False if it has begun.
    pub fn leave_one(&self, id: &str) -> bool {
        let began = self
            .queue
            .borrow()
            .owned(id)
            .is_some_and(|k| matches!(k.stage, Stage::Running | Stage::Ended(_)));
        if !began {
            self.leave_to_others(vec![id.to_string()]);
            self.not_wanted.borrow_mut().insert(id.to_string(), self.clock.ms());
        }
        !began
    }

    /// Messages that others took, because this store gave no clear answer, and that haven't begun here.
    pub fn leave_to_others(&self, taken: Vec<String>) {
        let mut left: Vec<String> = Vec::new();
        for id in taken {
            let entry = Entry::Dropped { owner: self.disk, id: id.clone() };
            let holders = self.holders(&id);
            if self.queue.borrow_mut().leave(&id) {
                self.log.note(&entry);
                self.tell(&holders, &entry);
                left.push(id);
            }
        }
        if !left.is_empty() {
            log::info!("left to stores that took them meanwhile: {}", some_of(&left));
        }
    }

    /// Other stores that answer, a different one first each time.
    pub fn settled_copiers(&self) -> Vec<Rc<Copier>> {
        let copiers = self.copiers.borrow();
        let view = self.known.stores();
        let stays = |disk: u64| view.get(disk).is_some_and(|store| !store.retiring);
        let there = copiers.values().filter(|c| c.is_settled() && !c.leaving.get() && stays(c.disk));
        let mut settled: Vec<_> = there.cloned().collect();
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        // Bytes between zones cost; where a zone may be lost, the copy has to be in another.
        let elsewhere = self.settings.tolerance.zones > 0;
        let here = |disk: u64| view.get(disk).is_some_and(|store| store.zone == self.settings.zone);
        in_preference(&mut settled, turn, |copier| copier.is_late(), |copier| here(copier.disk) != elsewhere);
        settled
    }

    async fn copy_again(self: Rc<Self>, id: String, entry: Entry) {
        let copiers = self.copiers.borrow().clone();
        if let Some(known) = self.queue.borrow_mut().owned_mut(&id) {
            known.copies.retain(|disk| copiers.contains_key(disk));
        }
        self.copy_enough(&id, &entry, Store::copies_wanted).await;
        self.repairing.borrow_mut().remove(&id);
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
            let (present, wanted) = (self.present(), self.copies_wanted());
            let lacking = custody::lacking_copies(&queue, &present, wanted);
            let lacking = lacking.filter(|known| repairing.insert(known.message.id.clone()));
            let entry = |message: &Message| Entry::Message { owner: self.disk, message: message.clone() };
            lacking.map(|known| (known.message.id.clone(), entry(&known.message))).collect()
        };
        if !lacking.is_empty() {
            log::info!("{} messages are copied again", lacking.len());
        }
        for (id, entry) in lacking {
            runtime::spawn(self.clone().copy_again(id, entry));
        }
    }

    /// A message that has not ended is at too few other stores.
    pub fn lacks_copies(&self) -> bool {
        let (queue, present) = (self.queue.borrow(), self.present());
        let lacks = custody::lacking_copies(&queue, &present, self.copies_wanted()).next().is_some();
        lacks
    }
}
