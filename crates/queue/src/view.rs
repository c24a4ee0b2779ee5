//! The view of all messages that is folded from the records, and what may run.
use crate::entry::{End, Entry, Message, Outcome};
use crate::others::{without_body, Copy, Debt, OthersEnd};
use crate::ready::{Place, Ready};
use crate::WallMs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How far a line of a key is looked through for a message that may still run in its aim.
const LONGEST_LOOK: usize = 16;

/// After so many times its aim, a message has waited for very long.
const VERY_LATE: u64 = 11;

/// Where a message stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not on enough disks yet.
    Copying,
    /// It may run once it is due and, with a key, once those before it have ended.
    Waiting,
    /// At an endpoint.
    Running,
    Ended(End),
}

/// What is known of a message that is owned here.
#[derive(Clone, Debug)]
pub struct Known {
    pub message: Rc<Message>,
    pub stage: Stage,
    /// Attempts that failed.
    pub attempts: u32,
    /// Not to be tried again earlier.
    pub not_before: WallMs,
    /// Disks that hold a copy.
    pub copies: BTreeSet<u64>,
    /// Disks that were sent a copy, and may hold it.
    pub sent: BTreeSet<u64>,
    /// The call-back about its end is still owed.
    pub owes_callback: bool,
    /// Disks whose copy doesn't know of the end yet.
    pub untold: BTreeSet<u64>,
    /// Disks of other stores that were given the message too and count on a copy here: there is one once this store has
    /// left the message to them.
    pub kept_for: BTreeSet<u64>,
    /// Where it stands among those of its route that may run.
    place: Option<Place>,
}

impl Known {
    fn due_at(&self) -> WallMs {
        self.message.due_at.max(self.not_before)
    }

    /// It has not ended.
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Ended(_))
    }

    /// Disks that may hold a copy.
    pub fn holders(&self) -> BTreeSet<u64> {
        self.copies.union(&self.sent).copied().collect()
    }
}

/// The view of one store.
#[derive(Default)]
pub struct Queue {
    disk: u64,
    /// Bytes of the bodies of live messages and copies.
    pub(crate) bytes: usize,
    pub(crate) owned: BTreeMap<String, Known>,
    pub(crate) copies: BTreeMap<String, Copy>,
    /// Ends of messages that others own, or owned.
    pub(crate) ends: BTreeMap<String, OthersEnd>,
    /// Disks of stores that were given up.
    fenced: BTreeSet<u64>,
    /// Waiting messages by route; of those with a key only the first.
    ready: BTreeMap<String, Ready>,
    /// Messages that were left to others, as read from the disk.
    left: BTreeSet<String>,
    /// Messages of a key in the order in which they were taken.
    keys: BTreeMap<String, VecDeque<String>>,
}

impl Queue {
    /// The queue of a store with this disk.
    pub fn new(disk: u64) -> Queue {
        Queue { disk, ..Queue::default() }
    }

    /// Folds one record that was read from the disk at a start. Every message that is there counts as taken: whoever
    /// handed it in may have been told so.
    pub fn recover(&mut self, entry: Entry) {
        match entry {
            Entry::Disk(disk) => self.disk = disk,
            Entry::Message { owner, message } if owner == self.disk => {
                match self.end_of(&message.id).cloned() {
                    Some(end) => drop(self.adopt_owed(message, end)),
                    None => drop(self.add(message)),
                }
            }
            Entry::Message { owner, message } => self.keep(owner, message),
            Entry::Failed { id, attempts } => self.note_attempts(&id, attempts),
            Entry::Ended(end) => {
                self.end(end);
            }
            Entry::CalledBack { id } => self.called_back(&id),
            Entry::Dropped { owner, id } if owner == self.disk => {
                self.leave(&id);
                self.left.insert(id);
            }
            Entry::Dropped { owner, id } => {
                self.drop_copy_of(owner, &id);
            }
            Entry::Fenced { disk } => self.fence(disk),
        }
    }

    /// After all records were folded: what is owned here may run. What other stores were given before is told: it may
    /// run once these leave it to this one.
    pub fn recovered(&mut self) -> Vec<Rc<Message>> {
        let copying = self.owned.values().filter(|known| known.stage == Stage::Copying);
        let (raced, mut own): (Vec<_>, Vec<_>) =
            copying.map(|known| known.message.clone()).partition(|message| !message.also_at.is_empty());
        own.sort_by_key(|message| message.order);
        own.iter().for_each(|message| self.accept(&message.id));
        raced
    }

    /// The highest place that an owned message has.
    pub fn highest_order(&self) -> u64 {
        self.owned.values().map(|known| known.message.order).max().unwrap_or(0)
    }

    /// The identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Takes a message to own it; it doesn't run before [`Queue::accept`]. False if it is known already.
    pub fn add(&mut self, message: Message) -> bool {
        if self.owned.contains_key(&message.id) || self.ends.contains_key(&message.id) {
            return false;
        }
        let kept_for = self.copies.get(&message.id).map_or(BTreeSet::new(), |copy| copy.owners.clone());
        self.drop_copy(&message.id);
        self.bytes += message.body.len();
        let known = Known {
            kept_for,
            owes_callback: message.callback.is_some(),
            stage: Stage::Copying,
            attempts: 0,
            not_before: 0,
            copies: BTreeSet::new(),
            sent: BTreeSet::new(),
            untold: BTreeSet::new(),
            place: None,
            message: Rc::new(message),
        };
        self.owned.insert(known.message.id.clone(), known);
        true
    }

    /// A message is on enough disks: it may run, behind those of its key.
    pub fn accept(&mut self, id: &str) {
        let Some(known) = self.owned.get_mut(id).filter(|known| known.stage == Stage::Copying) else {
            return;
        };
        known.stage = Stage::Waiting;
        let message = known.message.clone();
        if let Some(key) = order_key(&message) {
            return self.join_line(key, &message);
        }
        self.make_ready(id);
    }

    /// Takes its place in the line of its key. Only the first of a line is ready; one that has begun stays first.
    fn join_line(&mut self, key: String, message: &Message) {
        let line = self.keys.entry(key.clone()).or_default();
        let begun = line.front().and_then(|id| self.owned.get(id)).is_some_and(|k| k.stage == Stage::Running);
        let owned = &self.owned;
        let earlier = |id: &String| owned.get(id).is_some_and(|known| known.message.order < message.order);
        let place = line.iter().position(|id| !earlier(id)).unwrap_or(line.len()).max(usize::from(begun));
        let displaced = line.front().filter(|_| place == 0).cloned();
        line.insert(place, message.id.clone());
        if let Some(other) = displaced {
            self.unready(&other);
        }
        if place == 0 {
            self.make_ready(&message.id);
        } else if let Some(first) = self.keys.get(&key).and_then(|line| line.front()).cloned() {
            // It may be worth more now to get on with this line.
            if self.owned.get(&first).is_some_and(|known| known.stage == Stage::Waiting) {
                self.make_ready(&first);
            }
        }
    }

    fn unready(&mut self, id: &str) {
        let Some(known) = self.owned.get_mut(id) else { return };
        if let (Some(place), Some(ready)) = (known.place.take(), self.ready.get_mut(&known.message.route)) {
            ready.remove(id, place);
        }
    }

    /// It waits for its time; [`Queue::next`] moves it on.
    fn make_ready(&mut self, id: &str) {
        self.unready(id);
        let Some(known) = self.owned.get_mut(id) else { return };
        let place = Place::Future(known.due_at());
        known.place = Some(place);
        self.ready.entry(known.message.route.clone()).or_default().insert(id, place);
    }

    /// Where a message that is due stands: how many are to run before the first of its line that may still run in its
    /// aim, and until when that is; late ones come after all of these.
    fn place_of(&self, id: &str, now: WallMs) -> Option<Place> {
        let known = self.owned.get(id)?;
        let line = order_key(&known.message).and_then(|key| self.keys.get(&key));
        let aim = |message: &Message| message.due_at + message.aim_ms;
        let in_line = line.into_iter().flatten().take(LONGEST_LOOK).enumerate();
        let fresh = match line {
            Some(_) => in_line
                .filter_map(|(rank, id)| Some((rank as u32, aim(&self.owned.get(id)?.message))))
                .find(|(_, aim)| *aim > now),
            None => Some((0, aim(&known.message))).filter(|(_, aim)| *aim > now),
        };
        Some(match fresh {
            Some((rank, aim)) => Place::Fresh(rank, aim),
            None => Place::Late(known.message.due_at + known.message.aim_ms * VERY_LATE),
        })
    }

    fn place_again(&mut self, id: &str, now: WallMs) {
        self.unready(id);
        let Some(place) = self.place_of(id, now) else { return };
        let Some(known) = self.owned.get_mut(id) else { return };
        known.place = Some(place);
        self.ready.entry(known.message.route.clone()).or_default().insert(id, place);
    }

    /// The message of a route that is to run next, of those that `may_run`: first those that can still begin within
    /// their aim, then late ones in their order.
    pub fn next(&mut self, route: &str, now: WallMs, may_run: impl Fn(&Message) -> bool) -> Option<String> {
        while let Some(id) = self.ready.get(route)?.first_due(now) {
            self.place_again(&id, now);
        }
        while let Some(id) = self.ready.get(route)?.first_stale(now) {
            self.place_again(&id, now);
        }
        let allowed = |id: &&String| self.owned.get(*id).is_some_and(|known| may_run(&known.message));
        self.ready.get(route)?.in_order(now).find(allowed).cloned()
    }

    /// Routes with messages that may run, by route the earliest that is due.
    pub fn routes(&self) -> impl Iterator<Item = &String> {
        self.ready.iter().filter(|(_, ready)| ready.len() > 0).map(|(route, _)| route)
    }

    /// When the next message falls due that isn't yet.
    pub fn next_due(&self) -> Option<WallMs> {
        self.ready.values().filter_map(Ready::next_due).min()
    }

    /// Waiting messages of a route that may run or become due.
    pub fn backlog(&self, route: &str) -> usize {
        self.ready.get(route).map_or(0, Ready::len)
    }

    /// A message goes to an endpoint.
    pub fn start(&mut self, id: &str) -> Option<Rc<Message>> {
        self.unready(id);
        let known = self.owned.get_mut(id).filter(|known| known.stage == Stage::Waiting)?;
        known.stage = Stage::Running;
        Some(known.message.clone())
    }

    /// It did not end; it may be tried again from a time on.
    pub fn retry(&mut self, id: &str, attempts: u32, not_before: WallMs) {
        let Some(known) = self.owned.get_mut(id).filter(|known| known.stage == Stage::Running) else {
            return;
        };
        known.stage = Stage::Waiting;
        known.attempts = known.attempts.max(attempts);
        known.not_before = not_before;
        self.make_ready(id);
    }

    /// So many attempts of a message, or of a copy, have failed.
    pub fn note_attempts(&mut self, id: &str, attempts: u32) {
        if let Some(known) = self.owned.get_mut(id) {
            known.attempts = known.attempts.max(attempts);
        } else if let Some(copy) = self.copies.get_mut(id) {
            copy.attempts = copy.attempts.max(attempts);
        }
    }

    /// A message has ended. False if it had already, or isn't known.
    pub fn end(&mut self, end: End) -> bool {
        let id = end.id.clone();
        if let Some(Copy { owners, message, .. }) = self.copies.get(&id).cloned() {
            self.drop_copy(&id);
            let debt = match message.callback {
                Some(_) => Debt::Open(without_body(&message)),
                None => Debt::Settled,
            };
            self.ends.insert(id, OthersEnd { owners, end, debt });
            return true;
        }
        self.unready(&id);
        let Some(known) = self.owned.get_mut(&id) else {
            self.ends.entry(id).or_insert(OthersEnd { owners: BTreeSet::new(), end, debt: Debt::Unknown });
            return false;
        };
        if matches!(known.stage, Stage::Ended(_)) {
            return false;
        }
        known.untold = known.holders();
        let keep_body = end.outcome == Outcome::DeadLetter;
        known.stage = Stage::Ended(end);
        let message = known.message.clone();
        if !keep_body {
            self.bytes -= message.body.len();
            known.message = without_body(&message);
        }
        self.next_of_key(&message);
        true
    }

    fn next_of_key(&mut self, message: &Message) {
        let Some(key) = order_key(message) else { return };
        let Some(line) = self.keys.get_mut(&key) else { return };
        let was_first = line.front() == Some(&message.id);
        line.retain(|id| *id != message.id);
        let next = line.front().cloned();
        match next {
            Some(next) if was_first => self.make_ready(&next),
            Some(_) => {}
            None => {
                self.keys.remove(&key);
            }
        }
    }

    /// Leaves a message that hasn't begun to another store, and keeps a copy for those that count on one here; false if it
    /// has begun, or isn't owned here.
    pub fn leave(&mut self, id: &str) -> bool {
        let left = self.owned.get(id).is_some_and(|k| matches!(k.stage, Stage::Copying | Stage::Waiting));
        if !left {
            return false;
        }
        self.unready(id);
        if let Some(known) = self.owned.remove(id) {
            self.bytes -= known.message.body.len();
            self.next_of_key(&known.message);
            for owner in known.kept_for {
                self.keep(owner, (*known.message).clone());
            }
        }
        true
    }

    /// Messages that are safe here, and that were given to a store before without a clear answer.
    pub fn taken_from(&self, disk: u64) -> Vec<String> {
        let safe = self.owned.values().filter(|known| known.stage != Stage::Copying);
        let taken = safe.filter(|known| known.message.also_at.contains(&disk));
        taken.map(|known| known.message.id.clone()).collect()
    }

    /// A message that is owned here.
    pub fn owned(&self, id: &str) -> Option<&Known> {
        self.owned.get(id)
    }

    /// A copy of a message is about to be sent to a disk. False if none may go out any more: the message has ended, or
    /// isn't owned here. Whoever is sent a copy is told of the end later, so a copy that goes out after the end would be
    /// one whose holder never hears of it.
    pub fn send_copy(&mut self, id: &str, disk: u64) -> bool {
        let Some(known) = self.owned.get_mut(id).filter(|known| known.is_live()) else { return false };
        known.sent.insert(disk);
        true
    }

    /// A disk has a copy of a message.
    pub fn copy_kept(&mut self, id: &str, disk: u64) {
        if let Some(known) = self.owned.get_mut(id) {
            known.copies.insert(disk);
            known.sent.insert(disk);
        }
    }

    /// Copies of a message count only at these disks.
    pub fn keep_copies_at(&mut self, id: &str, counts: impl Fn(&u64) -> bool) {
        if let Some(known) = self.owned.get_mut(id) {
            known.copies.retain(counts);
        }
    }

    /// A disk holds only these of what is owned here: it has no copy of others, and needn't be told of their ends.
    pub fn not_held(&mut self, disk: u64, held: &BTreeSet<String>) {
        for known in self.owned.values_mut().filter(|known| !held.contains(&known.message.id)) {
            known.copies.remove(&disk);
            known.untold.remove(&disk);
        }
    }

    /// A disk has been told of the ends of these messages.
    pub fn told(&mut self, disk: u64, ids: &[String]) {
        for id in ids {
            if let Some(known) = self.owned.get_mut(id) {
                known.untold.remove(&disk);
            }
        }
    }

    /// All messages that are owned here.
    pub fn all_owned(&self) -> impl Iterator<Item = &Known> {
        self.owned.values()
    }

    /// Messages that were left to other stores before this process started, as far as the log tells.
    pub fn take_left(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.left)
    }

    /// The end of a message that another store owns or owned.
    pub fn end_of(&self, id: &str) -> Option<&End> {
        match self.owned.get(id).map(|known| &known.stage) {
            Some(Stage::Ended(end)) => Some(end),
            Some(_) => None,
            None => self.ends.get(id).map(|others| &others.end),
        }
    }

    /// Nothing is kept any more for the store with this disk.
    pub fn fence(&mut self, disk: u64) {
        self.fenced.insert(disk);
    }

    /// Disks of stores for which nothing is kept any more.
    pub fn fenced(&self) -> &BTreeSet<u64> {
        &self.fenced
    }

    /// Bytes of the bodies that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the oldest message was taken that has not ended.
    pub fn oldest(&self) -> Option<WallMs> {
        let live = self.owned.values().filter(|known| !matches!(known.stage, Stage::Ended(_)));
        live.map(|known| known.message.taken_at).min()
    }

    /// Messages by stage: waiting or copying, running, ended; and copies.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let of =
            |wanted: fn(&Stage) -> bool| self.owned.values().filter(|known| wanted(&known.stage)).count();
        let waiting = of(|stage| matches!(stage, Stage::Waiting | Stage::Copying));
        let ended = of(|stage| matches!(stage, Stage::Ended(_)));
        (waiting, of(|stage| *stage == Stage::Running), ended, self.copies.len())
    }

    /// Messages that have not ended and whose route or time is over.
    pub fn over(&self, now: WallMs, route_there: impl Fn(&Message) -> bool) -> Vec<String> {
        let live = self.owned.values().filter(|known| !matches!(known.stage, Stage::Ended(_)));
        let over = live.filter(|known| now >= known.message.expires_at || !route_there(&known.message));
        over.map(|known| known.message.id.clone()).collect()
    }

    /// Forgets ends older than a time, where nobody waits to be told of them.
    pub fn forget(&mut self, before: WallMs) {
        self.ends.retain(|_, others| others.end.at >= before);
        let bytes = &mut self.bytes;
        self.owned.retain(|_, known| {
            let Stage::Ended(end) = &known.stage else { return true };
            let stays = end.at >= before || known.owes_callback || !known.untold.is_empty();
            if !stays {
                *bytes -= known.message.body.len();
            }
            stays
        });
    }
}

/// Order is kept among the messages of one key, whatever their routes.
fn order_key(message: &Message) -> Option<String> {
    message.key.clone().filter(|_| message.ordered)
}
