//! Copies of finished messages that still owe something: the body of a dead letter, which can be read as
//! long as its state, or a call-back. They need as many copies as unfinished messages.
use super::replicator::Replicator;
use super::rpc_handlers::MAX_BATCH_BYTES;
use super::Store;
use futures_channel::oneshot;
use net::runtime;
use queue::replication;
use queue::{Entry, FinishedTransfer};
use std::rc::Rc;
use std::time::Duration;

/// Delay after a batch that no store acknowledged.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Messages in one batch.
const MAX_BATCH_MESSAGES: usize = 1_000;

/// A copy that one store hasn't acknowledged yet.
struct PendingCopy {
    id: String,
    disk: u64,
    acknowledged: oneshot::Receiver<bool>,
}

impl Store {
    /// Whether a finished message that still owes something lacks copies.
    pub fn lacks_finished_copies(&self) -> bool {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let lacks = replication::under_replicated_finished(&queue, &placement).next().is_some();
        lacks
    }

    /// Copies finished messages to other stores one batch at a time, so that newly accepted messages don't
    /// wait behind all of them.
    pub(super) async fn copy_finished(self: Rc<Self>) {
        if self.copying_finished.replace(true) {
            return;
        }
        while self.lacks_finished_copies() {
            if !self.copy_finished_batch().await {
                self.needs_repair.set(true);
                runtime::sleep(RETRY_DELAY).await;
                break;
            }
        }
        self.copying_finished.set(false);
    }

    /// Copies one batch; false if no store acknowledged any message.
    async fn copy_finished_batch(self: &Rc<Self>) -> bool {
        let mut sent = Vec::new();
        for (given, replicators) in self.next_batch() {
            let id = given.finished.id().to_string();
            for replicator in replicators {
                if self.queue.borrow_mut().begin_finished_copy(&id, replicator.disk) {
                    let entry = Entry::FinishedMessage { owner: self.disk, transfer: given.clone() };
                    sent.push(PendingCopy {
                        id: id.clone(),
                        disk: replicator.disk,
                        acknowledged: replicator.replicate_entry(entry),
                    });
                }
            }
        }
        let mut any_kept = false;
        for PendingCopy { id, disk, acknowledged } in sent {
            if acknowledged.await.unwrap_or(false) {
                self.queue.borrow_mut().confirm_copy(&id, disk);
                any_kept = true;
            }
        }
        self.reservations.notify_changed();
        any_kept
    }

    /// The next messages that lack copies, as many as fit one batch, with the stores to send them to.
    fn next_batch(&self) -> Vec<(FinishedTransfer, Vec<Rc<Replicator>>)> {
        let placement = self.placement();
        let replicators = self.ready_replicators();
        let queue = self.queue.borrow();
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for owned in replication::under_replicated_finished(&queue, &placement).take(MAX_BATCH_MESSAGES) {
            let missing = placement.missing_copies(&owned.confirmed_holders);
            let others =
                replicators.iter().filter(|replicator| !owned.confirmed_holders.contains(&replicator.disk));
            let to = placement.choose(
                others.cloned().collect(),
                |c: &Rc<Replicator>| c.disk,
                &owned.confirmed_holders,
                missing,
            );
            bytes += owned.body_bytes() * to.len();
            batch.extend(replication::finished_transfer(owned).map(|given| (given, to)));
            if bytes >= MAX_BATCH_BYTES {
                break;
            }
        }
        batch
    }
}
