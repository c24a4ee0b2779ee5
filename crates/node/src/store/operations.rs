//! Deduplication by operation key: all requests with one key are one message. The first request is
//! accepted; repeats are answered with its id.
//!
//! The store that owns the operation's partition decides, based on the messages that it owns. While it
//! takes over from another store, the key may be among messages that it hasn't collected yet, so it decides
//! nothing until it has all of them.
use super::{relinquish::RelinquishReason, summarize_ids, Store};
use crate::calls::{PutAnswer, Refusal};
use net::runtime;
use net::wake::Watched;
use queue::duplicates::{self, Resolution};
use queue::{Entry, Envelope, FinishedTransfer, Message, MessageTransfer, OwnedMessage, Stage, TenantKey};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How long a repeat waits until the first request's message is on enough disks; no longer than an edge
/// waits for a store.
const MAX_WAIT_MS: u64 = 1_200;
/// A waiting repeat checks again after this time, since a change of the available stores sends no
/// notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Operations with a request in progress.
#[derive(Default)]
pub struct Reservations {
    reserved: RefCell<BTreeSet<TenantKey>>,
    /// A request was decided, or a message got another copy.
    changed: Watched,
    counts: Cell<Counts>,
}

/// Number of requests with operation keys by result, since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// First requests that were accepted.
    pub accepted: usize,
    /// Requests that were answered with the id of an earlier one.
    pub repeats: usize,
    /// Requests that waited for an earlier one.
    pub waited: usize,
    /// Requests whose wait timed out.
    pub unclear: usize,
    /// Requests that were refused because it isn't known here whether there was an earlier one.
    pub undecided: usize,
    /// Messages that were dropped in favour of another one of their operation.
    pub superseded: usize,
}

impl Counts {
    /// The counts for the status.
    pub fn as_json(self) -> serde_json::Value {
        let Counts { accepted, repeats, waited, unclear, undecided, superseded } = self;
        serde_json::json!({
            "taken": accepted, "repeats": repeats, "waited": waited,
            "unclear": unclear, "undecided": undecided, "superseded": superseded,
        })
    }
}

impl Reservations {
    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn count(&self, update: impl Fn(&mut Counts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }

    /// Wakes waiting repeats to check again.
    pub fn notify_changed(&self) {
        self.changed.raise();
    }
}

/// Reserves an operation for one request until it is dropped.
struct Reservation {
    store: Rc<Store>,
    operation: TenantKey,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.store.reservations.reserved.borrow_mut().remove(&self.operation);
        self.store.reservations.changed.raise();
    }
}

/// What this store knows of an operation.
enum OperationState {
    Unknown,
    /// Its message, with this id, is on enough disks.
    Replicated(String),
    /// A request is in progress, or its message is on too few disks.
    InProgress,
}

impl Store {
    /// Accepts a message with an operation key, unless the operation already has a message: then the
    /// request is a repeat and is answered with that message's id once it is on enough disks.
    pub(super) async fn put_idempotent(self: &Rc<Self>, operation: TenantKey, message: Message) -> PutAnswer {
        let until = self.clock.ms() + MAX_WAIT_MS;
        let mut waited = false;
        loop {
            // Another store may have become responsible while the request waited.
            if let Some(refusal) = self.key_refusal(&message.envelope) {
                return self.refuse_unless_seen(&message, refusal);
            }
            match self.operation_state(&operation) {
                OperationState::Replicated(id) => {
                    log::debug!("{} repeats the operation of {id}", message.id());
                    self.reservations.count(|counts| counts.repeats += 1);
                    return PutAnswer::Taken { id };
                }
                OperationState::Unknown => {
                    if let Some(answer) = self.accept_first(&operation, &message).await {
                        return answer;
                    }
                }
                OperationState::InProgress if self.clock.ms() >= until => {
                    log::info!(
                        "{}: the first request of its operation isn't on enough disks in time",
                        message.id()
                    );
                    self.reservations.count(|counts| counts.unclear += 1);
                    return PutAnswer::Unclear;
                }
                OperationState::InProgress => {
                    let is_first_wait = !std::mem::replace(&mut waited, true);
                    self.reservations.count(|counts| counts.waited += usize::from(is_first_wait));
                    let seen = self.reservations.changed.get();
                    let _ = runtime::timeout(CHECK_INTERVAL, self.reservations.changed.changed(seen)).await;
                }
            }
        }
    }

    /// Refuses a message; the answer is unclear if this store already owns it from an earlier attempt.
    fn refuse_unless_seen(&self, message: &Message, refusal: Refusal) -> PutAnswer {
        self.reservations.count(|counts| counts.undecided += 1);
        match self.queue.borrow().owned(message.id()).is_some() {
            true => PutAnswer::Unclear,
            false => PutAnswer::Refused(refusal),
        }
    }

    /// Accepts the first request of an operation; none if a message of it arrived from another store
    /// meanwhile.
    async fn accept_first(self: &Rc<Self>, operation: &TenantKey, message: &Message) -> Option<PutAnswer> {
        if let Some(refusal) = self.acceptance_refusal(&message.envelope) {
            return Some(PutAnswer::Refused(refusal));
        }
        self.reservations.reserved.borrow_mut().insert(operation.clone());
        let _reservation = Reservation { store: self.clone(), operation: operation.clone() };
        if let Some(refusal) = self.count_and_check(message).await {
            return Some(PutAnswer::Refused(refusal));
        }
        // A holder may have returned a message that this store's disk has lost.
        if self.queue.borrow().message_of_operation(operation).is_some() {
            return None;
        }
        let answer = self.accept_message(message.clone()).await;
        if matches!(answer, PutAnswer::Taken { .. }) {
            self.reservations.count(|counts| counts.accepted += 1);
        }
        Some(answer)
    }

    fn operation_state(&self, operation: &TenantKey) -> OperationState {
        if self.reservations.reserved.borrow().contains(operation) {
            return OperationState::InProgress;
        }
        let queue = self.queue.borrow();
        match queue.message_of_operation(operation) {
            None => OperationState::Unknown,
            Some(owned) if self.has_acceptance_copies(owned) => {
                OperationState::Replicated(owned.id().to_string())
            }
            Some(_) => OperationState::InProgress,
        }
    }

    /// Whether a message, unfinished or finished, is on as many disks as an acknowledgement requires.
    fn has_acceptance_copies(&self, owned: &OwnedMessage) -> bool {
        let is_written = owned.stage() != Some(Stage::Replicating);
        is_written && self.acceptance_placement().missing_copies(&owned.confirmed_holders) == 0
    }

    /// Whether this store knows all that is known of its operations: it has collected everything from lost
    /// stores, and since the start all reachable holders have reported what they hold.
    pub(super) fn can_decide_operations(&self) -> bool {
        let has_reconciled = self.clock.ms() >= self.recovery_hold_until_ms.get();
        has_reconciled && self.has_applied_latest_view() && !self.is_collecting_takeovers()
    }

    /// Whether a message with an ordering key or operation key may be delivered now: not while this store
    /// may still receive another message with the same key, from a takeover or from a holder of copies.
    pub(super) fn key_allows_delivery(&self, envelope: &Envelope) -> bool {
        match envelope.operation_key.is_some() {
            true => self.can_decide_operations(),
            false => self.has_applied_latest_view() && !self.lacks_taken_over_messages(),
        }
    }

    /// Removes messages whose operation has another message that takes precedence, and relinquishes own
    /// messages that lose to one of `given`.
    pub(super) fn settle_operations(&self, given: Vec<MessageTransfer>) -> Vec<MessageTransfer> {
        let Resolution { to_adopt, superseded, displaced } =
            duplicates::resolve_duplicates(&self.queue.borrow(), given);
        self.reservations.count(|counts| counts.superseded += displaced.len());
        self.relinquish(displaced, RelinquishReason::Superseded);
        self.record_superseded(superseded);
        to_adopt
    }

    /// Relinquishes own unstarted messages of the same operations as finished messages that are about to be
    /// adopted.
    pub(super) fn relinquish_duplicates_of(&self, given: &[FinishedTransfer]) {
        let duplicates: Vec<String> = {
            let queue = self.queue.borrow();
            let duplicates = given.iter().filter_map(|given| queue.duplicate_of(given.finished.envelope()));
            duplicates
                .filter(|duplicate| duplicate.is_live())
                .map(|duplicate| duplicate.id().to_string())
                .collect()
        };
        self.reservations.count(|counts| counts.superseded += duplicates.len());
        self.relinquish(duplicates, RelinquishReason::Superseded);
    }

    /// Records messages that lost to another one of their operation, so that they are neither owned nor
    /// fetched again.
    pub(super) fn record_superseded(&self, ids: Vec<String>) {
        if ids.is_empty() {
            return;
        }
        self.reservations.count(|counts| counts.superseded += ids.len());
        log::warn!("another message of the same operation takes precedence: {}", summarize_ids(&ids));
        for id in ids {
            if self.queue.borrow_mut().note_relinquished(&id, self.clock.ms()) {
                self.log.write_later(&Entry::Dropped { owner: self.disk, id });
            }
        }
    }
}
