//! Copies of messages that have ended and of which something is owed: the bodies of dead letters, which can be asked for
//! as long as their states, and call-backs. They are at as many other stores as messages that have not ended.
use super::copier::Copier;
use super::peers::PIECE_BYTES;
use super::Store;
use futures_channel::oneshot;
use net::runtime;
use queue::replication;
use queue::{Entry, FinishedTransfer};
use std::rc::Rc;
use std::time::Duration;

/// After a batch that no store has kept.
const PAUSE: Duration = Duration::from_millis(100);
/// Messages in one batch.
const MOST_AT_ONCE: usize = 1_000;

/// A message on its way to one store.
struct Sent {
    id: String,
    disk: u64,
    kept: oneshot::Receiver<bool>,
}

impl Store {
    /// Something is owed of a message that has ended, and too few other stores hold it.
    pub fn lacks_ended_copies(&self) -> bool {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let lacks = replication::under_replicated_finished(&queue, &placement).next().is_some();
        lacks
    }

    /// Copies such messages to other stores, one batch after the other, so that what is taken meanwhile doesn't wait
    /// behind all of them.
    pub(super) async fn copy_ended(self: Rc<Self>) {
        if self.copying_ended.replace(true) {
            return;
        }
        while self.lacks_ended_copies() {
            if !self.copy_ended_batch().await {
                self.needs_repair.set(true);
                runtime::sleep(PAUSE).await;
                break;
            }
        }
        self.copying_ended.set(false);
    }

    /// False if no store has kept anything.
    async fn copy_ended_batch(self: &Rc<Self>) -> bool {
        let mut sent = Vec::new();
        for (given, copiers) in self.ended_batch() {
            let id = given.finished.id().to_string();
            for copier in copiers {
                if self.queue.borrow_mut().begin_finished_copy(&id, copier.disk) {
                    let entry = Entry::FinishedMessage { owner: self.disk, transfer: given.clone() };
                    sent.push(Sent { id: id.clone(), disk: copier.disk, kept: copier.copy(entry) });
                }
            }
        }
        let mut any = false;
        for Sent { id, disk, kept } in sent {
            if kept.await.unwrap_or(false) {
                self.queue.borrow_mut().confirm_copy(&id, disk);
                any = true;
            }
        }
        self.reservations.look_again();
        any
    }

    /// Messages that lack copies, as many as one batch takes, and to which stores each may go.
    fn ended_batch(&self) -> Vec<(FinishedTransfer, Vec<Rc<Copier>>)> {
        let placement = self.placement();
        let copiers = self.settled_copiers();
        let queue = self.queue.borrow();
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for owned in replication::under_replicated_finished(&queue, &placement).take(MOST_AT_ONCE) {
            let missing = placement.missing_copies(&owned.confirmed_holders);
            let others = copiers.iter().filter(|copier| !owned.confirmed_holders.contains(&copier.disk));
            let to = placement.choose(
                others.cloned().collect(),
                |c: &Rc<Copier>| c.disk,
                &owned.confirmed_holders,
                missing,
            );
            bytes += owned.body_bytes() * to.len();
            batch.extend(replication::finished_transfer(owned).map(|given| (given, to)));
            if bytes >= PIECE_BYTES {
                break;
            }
        }
        batch
    }
}
