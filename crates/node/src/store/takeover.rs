//! Takeover from a lost store: all active stores hand over their copies of its messages, and this store
//! then owns and delivers them. Also contains how messages are finished.
use super::ownership::RetryPolicy;
use super::{summarize_ids, Store};
use crate::calls::{Call, EndedPiece, Piece};
use net::runtime;
use queue::{
    replication, Entry, Envelope, FinalRecord, FinishedMessage, FinishedTransfer, Message, MessageTransfer,
    Outcome, OwnedMessage,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for a call of a takeover.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay after a failed call or write, and between checks for missing copies.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Progress of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Collects unfinished messages from the other stores.
    Collecting,
    /// Collects finished messages from the other stores.
    CollectingFinished,
    /// All messages are collected; they are copied until they have all their copies.
    Copying,
    /// All messages have all their copies; the other stores are told to drop theirs for the lost store.
    Releasing,
}

fn dead_letter_of(given: &mut FinishedTransfer) -> Option<&mut Message> {
    match &mut given.finished {
        FinishedMessage::DeadLetter { message, .. } => Some(message),
        FinishedMessage::Completed { .. } => None,
    }
}

impl Store {
    /// Takes over from a lost store: first all stores stop accepting its records, then they hand over what
    /// they hold, batch by batch.
    pub async fn take_over(self: Rc<Self>, lost: u64) {
        while !self.claim(lost).await {
            runtime::sleep(RETRY_DELAY).await;
        }
        let mut asked: Vec<u64> = vec![self.disk];
        while let Some(next) = self.next_unasked(&asked) {
            let to = SocketAddr::new(next.ip, self.port);
            match self.peers.call::<Call, bool>(to, &Call::Claim { lost }, CLAIM_TIMEOUT).await {
                Ok(true) => asked.push(next.disk),
                _ => runtime::sleep(RETRY_DELAY).await,
            }
        }
        for disk in &asked {
            self.collect_from(*disk, lost).await;
        }
        while self.lacks_live_copies() {
            self.needs_repair.set(true);
            runtime::sleep(RETRY_DELAY).await;
        }
        self.takeovers.borrow_mut().insert(lost, TakeoverStep::CollectingFinished);
        self.delivery_wake.notify();
        for disk in &asked {
            self.collect_finished_from(*disk, lost).await;
        }
        self.takeovers.borrow_mut().insert(lost, TakeoverStep::Copying);
        self.delivery_wake.notify();
        while self.lacks_copies() {
            self.needs_repair.set(true);
            runtime::sleep(RETRY_DELAY).await;
        }
        self.takeovers.borrow_mut().insert(lost, TakeoverStep::Releasing);
        self.taken_over.borrow_mut().insert(lost);
        self.delivery_wake.notify();
        log::info!("takeover from a lost store is complete");
        for disk in asked {
            self.notify_completed(disk, lost).await;
        }
        // Recorded so that a later process can decide about operation keys without asking all other stores
        // again.
        self.queue.borrow_mut().mark_taken_over(lost);
        self.log.write_later(&Entry::TakenOver { disk: lost });
        self.takeovers.borrow_mut().remove(&lost);
    }

    /// Tells a store to drop its copies for a lost store, until it confirms or is lost itself. A remaining
    /// copy would be found again by the next successor.
    async fn notify_completed(&self, disk: u64, lost: u64) {
        while let Some(store) = self.cluster.store(disk) {
            let to = SocketAddr::new(store.ip, self.port);
            let call = Call::Claimed { lost };
            if self.peers.call::<Call, bool>(to, &call, CLAIM_TIMEOUT).await == Ok(true) {
                return;
            }
            runtime::sleep(RETRY_DELAY).await;
        }
    }

    /// Whether a takeover is in progress.
    pub fn is_taking_over(&self) -> bool {
        !self.takeovers.borrow().is_empty()
    }

    /// Whether unfinished messages of a lost store are still being collected.
    pub fn lacks_taken_over_messages(&self) -> bool {
        self.takeovers.borrow().values().any(|step| *step == TakeoverStep::Collecting)
    }

    /// Whether any messages of a lost store, unfinished or finished, are still being collected.
    pub fn is_collecting_takeovers(&self) -> bool {
        let collects =
            |step: &TakeoverStep| matches!(step, TakeoverStep::Collecting | TakeoverStep::CollectingFinished);
        self.takeovers.borrow().values().any(collects)
    }

    /// An active store that isn't in `asked`.
    fn next_unasked(&self, asked: &[u64]) -> Option<control::Store> {
        let stores = self.cluster.stores();
        let next = stores.active().find(|store| !asked.contains(&store.disk)).cloned();
        next
    }

    /// Collects a store's copies of a lost store's unfinished messages, batch by batch; stops early if that
    /// store is lost too.
    async fn collect_from(self: &Rc<Self>, disk: u64, lost: u64) {
        let mut after = String::new();
        let (mut count, mut resolved) = (0, Vec::new());
        loop {
            let piece = match disk == self.disk {
                true => self.takeover_piece(lost, &after),
                false => {
                    let Some(store) = self.cluster.store(disk) else { break };
                    let to = SocketAddr::new(store.ip, self.port);
                    let call = Call::Inherit { lost, after: after.clone() };
                    self.peers.call::<Call, Option<Piece>>(to, &call, CLAIM_TIMEOUT).await.unwrap_or(None)
                }
            };
            let Some(Piece { given, more }) = piece else {
                runtime::sleep(RETRY_DELAY).await;
                continue;
            };
            count += given.len();
            after = given.last().map_or(after, |given| given.message.id().to_string());
            let classified = self.classify(given, RetryPolicy::UntilLost).await;
            resolved.extend(classified.resolved_elsewhere);
            self.adopt(classified.unresolved, None).await;
            if !more {
                break;
            }
        }
        log::info!("collected {count} messages of a lost store from disk {disk:016x}");
        if !resolved.is_empty() {
            log::info!("of these, other stores own or know as finished: {}", summarize_ids(&resolved));
        }
    }

    /// Collects a store's copies of a lost store's finished messages, batch by batch.
    async fn collect_finished_from(self: &Rc<Self>, disk: u64, lost: u64) {
        let mut after = String::new();
        while let Some(store) = self.cluster.store(disk) {
            let piece = match disk == self.disk {
                true => self.finished_takeover_piece(lost, &after),
                false => {
                    let to = SocketAddr::new(store.ip, self.port);
                    let call = Call::InheritEnded { lost, after: after.clone() };
                    self.peers
                        .call::<Call, Option<EndedPiece>>(to, &call, CLAIM_TIMEOUT)
                        .await
                        .unwrap_or(None)
                }
            };
            let Some(EndedPiece { given, more }) = piece else {
                runtime::sleep(RETRY_DELAY).await;
                continue;
            };
            after = given.last().map_or(after, |given| given.finished.id().to_string());
            self.adopt_finished(given).await;
            if !more {
                return;
            }
        }
    }

    /// Adopts finished messages together with what they still owe.
    pub(super) async fn adopt_finished(self: &Rc<Self>, given: Vec<FinishedTransfer>) {
        let given = self.with_sound_bodies(given, dead_letter_of).await;
        let is_live = |given: &FinishedTransfer| {
            self.queue.borrow().owned(given.finished.id()).is_some_and(|owned| owned.is_live())
        };
        let (live, finished): (Vec<FinishedTransfer>, Vec<FinishedTransfer>) =
            given.into_iter().partition(is_live);
        live.iter().for_each(|given| self.finish(given.finished.final_record()));
        self.relinquish_duplicates_of(&finished);
        let (entries, new) = replication::adopt_finished(&mut self.queue.borrow_mut(), finished);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(RETRY_DELAY).await;
        }
        if new.is_empty() {
            return;
        }
        let owing: Vec<&FinishedTransfer> = new.iter().filter(|given| !given.callback_done).collect();
        log::info!("adopted {} finished messages, {} call-backs owed", new.len(), owing.len());
        owing
            .iter()
            .for_each(|given| self.queue_callback(given.finished.envelope(), &given.finished.outcome()));
        self.needs_repair.set(true);
    }

    /// Adopts messages and releases them for delivery. `copy` is a store that already holds a copy.
    pub async fn adopt(self: &Rc<Self>, given: Vec<MessageTransfer>, copy: Option<u64>) {
        let given = self.with_sound_bodies(given, |given| Some(&mut given.message)).await;
        let given = self.settle_operations(given);
        let (entries, ids) = replication::adopt(&mut self.queue.borrow_mut(), given);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(RETRY_DELAY).await;
        }
        for id in ids {
            let mut queue = self.queue.borrow_mut();
            copy.into_iter().for_each(|disk| queue.confirm_copy(&id, disk));
            let Some(message) = queue.owned(&id).and_then(|owned| owned.live_message()).cloned() else {
                continue;
            };
            if message.envelope.also_sent_to.is_empty() {
                queue.mark_replicated(&id);
            } else {
                self.pending_accepts.set(self.pending_accepts.get() + 1);
                runtime::spawn(self.clone().activate(message));
            }
        }
        self.needs_repair.set(true);
        self.delivery_wake.notify();
    }

    /// Finishes a message: writes the final record, sends it to the holders of copies, and queues the
    /// call-back.
    pub fn finish(self: &Rc<Self>, record: FinalRecord) {
        let id = record.id.clone();
        if !self.queue.borrow_mut().finish(record.clone()) {
            return;
        }
        self.send_to_holders(&id, &Entry::Finished(record.clone()));
        self.ensure_finished_copies(&id);
        let callback_envelope = self
            .queue
            .borrow()
            .owned(&id)
            .filter(|owned| owned.callback_pending)
            .map(|o| o.envelope().clone());
        match callback_envelope {
            Some(envelope) => {
                let store = self.clone();
                runtime::spawn(async move {
                    while !store.log.write(&[Entry::Finished(record.clone())]).await {
                        runtime::sleep(RETRY_DELAY).await;
                    }
                    store.queue_callback(&envelope, &record.outcome);
                });
            }
            None => self.log.write_later(&Entry::Finished(record)),
        }
    }

    /// A message may finish before it has all its copies; if it still owes something, the missing copies
    /// are made.
    fn ensure_finished_copies(&self, id: &str) {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let owing = queue.owned(id).filter(|owned| owned.must_be_retained());
        if owing.is_some_and(|owned| placement.missing_copies(&owned.confirmed_holders) > 0) {
            self.needs_repair.set(true);
        }
    }

    fn queue_callback(self: &Rc<Self>, envelope: &Envelope, outcome: &Outcome) {
        if let Some(url) = &envelope.callback {
            self.callbacks.push(self.clone(), url, &envelope.id, outcome);
        }
    }

    /// Queues the call-backs that were still owed when the last process ended.
    pub fn resume_callbacks(self: &Rc<Self>) {
        let owed: Vec<FinishedMessage> = {
            let queue = self.queue.borrow();
            let owing = queue.all_owned().filter(|owned| owned.callback_pending);
            owing.filter_map(OwnedMessage::finished_message).cloned().collect()
        };
        owed.iter().for_each(|finished| self.queue_callback(finished.envelope(), &finished.outcome()));
    }

    /// Sends a record to the stores that hold copies of a message.
    pub fn send_to_holders(&self, id: &str, entry: &Entry) {
        self.send_to(&self.holders(id), entry);
    }

    /// Stores that may hold a copy of a message.
    pub fn holders(&self, id: &str) -> Vec<u64> {
        let queue = self.queue.borrow();
        queue.owned(id).map_or(Vec::new(), |known| known.possible_holders().into_iter().collect())
    }

    /// Sends a record to the given stores.
    pub fn send_to(&self, holders: &[u64], entry: &Entry) {
        let replicators = self.replicators.borrow();
        for replicator in holders.iter().filter_map(|disk| replicators.get(disk)) {
            replicator.enqueue(entry.clone());
        }
    }
}
