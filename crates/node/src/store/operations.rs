//! Requests with one operation key are one message: whichever came first is taken, and the others are told its id.
//!
//! The store that owns the operation's partition decides by the messages that it owns. What it inherits may hold the key as
//! well: it decides nothing before it has all of that.
use super::{races::LeftBecause, some_of, Store};
use crate::calls::{PutAnswer, Refusal};
use net::runtime;
use net::wake::Watched;
use queue::duplicates::{self, Resolution};
use queue::{Entry, Envelope, FinishedTransfer, Message, MessageTransfer, OwnedMessage, Stage, TenantKey};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How long a repeat waits for the message of its operation to be on enough disks, in milliseconds: no longer than an edge
/// waits for a store.
const LONGEST_WAIT: u64 = 1_200;
/// A repeat looks again after so long: stores whose copies count may have come or gone without a word.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Operations whose requests are being decided.
#[derive(Default)]
pub struct Reservations {
    taken: RefCell<BTreeSet<TenantKey>>,
    /// One of them was decided, or a message is at more stores.
    changed: Watched,
    counts: Cell<Counts>,
}

/// How many requests with operation keys came to what end, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// First requests that were taken.
    pub taken: usize,
    /// Requests that were told the id of an earlier one.
    pub repeats: usize,
    /// Requests that waited for an earlier one.
    pub waited: usize,
    /// Requests that waited in vain.
    pub unclear: usize,
    /// Requests that were refused since it isn't known here whether there was an earlier one.
    pub undecided: usize,
    /// Messages that went since another one of their operation stays.
    pub superseded: usize,
}

impl Counts {
    /// For an operator's tool.
    pub fn as_json(self) -> serde_json::Value {
        let Counts { taken, repeats, waited, unclear, undecided, superseded } = self;
        serde_json::json!({
            "taken": taken, "repeats": repeats, "waited": waited,
            "unclear": unclear, "undecided": undecided, "superseded": superseded,
        })
    }
}

impl Reservations {
    /// How many requests came to what end.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn count(&self, one: impl Fn(&mut Counts)) {
        let mut counts = self.counts.get();
        one(&mut counts);
        self.counts.set(counts);
    }

    /// Something that repeats may wait for has changed.
    pub fn look_again(&self) {
        self.changed.raise();
    }
}

/// An operation is reserved for one request until this is dropped.
struct Reservation {
    store: Rc<Store>,
    operation: TenantKey,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.store.reservations.taken.borrow_mut().remove(&self.operation);
        self.store.reservations.changed.raise();
    }
}

/// What is known of an operation.
enum Known {
    Unknown,
    /// Its message is on enough disks, under this id.
    Safe(String),
    /// A request of it is being taken, or its message is on too few disks.
    OnItsWay,
}

impl Store {
    /// Takes a message with an operation key, unless there is one of that operation: then the request is a repeat, and is
    /// told that one's id once it is safe.
    pub(super) async fn put_once(self: &Rc<Self>, operation: TenantKey, message: Message) -> PutAnswer {
        let until = self.clock.ms() + LONGEST_WAIT;
        let mut waited = false;
        loop {
            // Whether it is still this store's to decide may have changed while the request waited.
            if let Some(refusal) = self.refusal_of_key(&message.envelope) {
                return self.refused_unless_known(&message, refusal);
            }
            match self.known_of(&operation) {
                Known::Safe(id) => {
                    log::debug!("{} repeats the operation of {id}", message.id());
                    self.reservations.count(|counts| counts.repeats += 1);
                    return PutAnswer::Taken { id };
                }
                Known::Unknown => {
                    if let Some(answer) = self.put_reserved(&operation, &message).await {
                        return answer;
                    }
                }
                Known::OnItsWay if self.clock.ms() >= until => {
                    log::info!("{}: the first request of its operation isn't safe in time", message.id());
                    self.reservations.count(|counts| counts.unclear += 1);
                    return PutAnswer::Unclear;
                }
                Known::OnItsWay => {
                    let is_first_look = !std::mem::replace(&mut waited, true);
                    self.reservations.count(|counts| counts.waited += usize::from(is_first_look));
                    let seen = self.reservations.changed.get();
                    let _ = runtime::timeout(LOOK_AGAIN, self.reservations.changed.changed(seen)).await;
                }
            }
        }
    }

    /// A message is refused, unless the same request was read before and may have been taken.
    fn refused_unless_known(&self, message: &Message, refusal: Refusal) -> PutAnswer {
        self.reservations.count(|counts| counts.undecided += 1);
        match self.queue.borrow().owned(message.id()).is_some() {
            true => PutAnswer::Unclear,
            false => PutAnswer::Refused(refusal),
        }
    }

    /// Takes the first request of an operation; nothing if a message of it has come from another store meanwhile.
    async fn put_reserved(self: &Rc<Self>, operation: &TenantKey, message: &Message) -> Option<PutAnswer> {
        if let Some(refusal) = self.refusal_to_take(&message.envelope) {
            return Some(PutAnswer::Refused(refusal));
        }
        self.reservations.taken.borrow_mut().insert(operation.clone());
        let _reservation = Reservation { store: self.clone(), operation: operation.clone() };
        if let Some(refusal) = self.refusal_once_counted(message).await {
            return Some(PutAnswer::Refused(refusal));
        }
        // A holder may have given back one that this store's disk has lost.
        if self.queue.borrow().message_of_operation(operation).is_some() {
            return None;
        }
        let answer = self.take(message.clone()).await;
        if matches!(answer, PutAnswer::Taken { .. }) {
            self.reservations.count(|counts| counts.taken += 1);
        }
        Some(answer)
    }

    fn known_of(&self, operation: &TenantKey) -> Known {
        if self.reservations.taken.borrow().contains(operation) {
            return Known::OnItsWay;
        }
        let queue = self.queue.borrow();
        match queue.message_of_operation(operation) {
            None => Known::Unknown,
            Some(owned) if self.is_safe(owned) => Known::Safe(owned.id().to_string()),
            Some(_) => Known::OnItsWay,
        }
    }

    /// A message, live or ended, is on as many disks as it has to be before it is acknowledged.
    fn is_safe(&self, owned: &OwnedMessage) -> bool {
        let is_written = owned.stage() != Some(Stage::Replicating);
        is_written && self.placement_to_take().missing_copies(&owned.confirmed_holders) == 0
    }

    /// All that lost stores had, live or ended, has been told by those that kept it, and since the start all holders that
    /// answer have told what they hold: whatever is known of an operation is known here.
    pub(super) fn knows_operations(&self) -> bool {
        let has_compared = self.clock.ms() >= self.recovered_until.get();
        has_compared && self.knows_its_part() && !self.collects_inheritance()
    }

    /// Whether a message may run as far as its key goes: others of its ordering key, or of its operation, may be among
    /// what is still to be taken over.
    pub(super) fn key_may_run(&self, envelope: &Envelope) -> bool {
        match envelope.operation_key.is_some() {
            true => self.knows_operations(),
            false => self.knows_its_part() && !self.lacks_inheritance(),
        }
    }

    /// Leaves out messages whose operations have another one that stays, and leaves own ones that one of these supersedes.
    pub(super) fn settle_operations(&self, given: Vec<MessageTransfer>) -> Vec<MessageTransfer> {
        let Resolution { to_adopt, superseded, displaced } =
            duplicates::resolve_duplicates(&self.queue.borrow(), given);
        self.reservations.count(|counts| counts.superseded += displaced.len());
        self.leave_to_others(displaced, LeftBecause::Superseded);
        self.record_superseded(superseded);
        to_adopt
    }

    /// A message that has ended is to be owned here: one of the same operation that hasn't begun goes.
    pub(super) fn leave_rivals_of(&self, given: &[FinishedTransfer]) {
        let rivals: Vec<String> = {
            let queue = self.queue.borrow();
            let rivals = given.iter().filter_map(|given| queue.duplicate_of(given.finished.envelope()));
            rivals.filter(|rival| rival.is_live()).map(|rival| rival.id().to_string()).collect()
        };
        self.reservations.count(|counts| counts.superseded += rivals.len());
        self.leave_to_others(rivals, LeftBecause::Superseded);
    }

    /// Messages of operations of which another one stays are neither owned here nor fetched again.
    pub(super) fn record_superseded(&self, ids: Vec<String>) {
        if ids.is_empty() {
            return;
        }
        self.reservations.count(|counts| counts.superseded += ids.len());
        log::warn!("another message of the same operation stays: {}", some_of(&ids));
        for id in ids {
            self.log.note(&Entry::Dropped { owner: self.disk, id: id.clone() });
            self.not_wanted.borrow_mut().insert(id, self.clock.ms());
        }
    }
}
