//! Files of the log are given up: what still counts in the oldest one is written anew, at the end.
use super::Store;
use queue::{replication, Entry};

/// With less of the ring free, its oldest file is written anew.
const FREE_BELOW: f64 = 0.3;

impl Store {
    /// Frees a file of the ring, if few are free.
    pub(super) async fn keep_files_free(&self) {
        if self.log.free_share() < FREE_BELOW {
            self.compact().await;
        }
    }

    /// Writes what still counts in the oldest file of the ring anew, and frees it.
    async fn compact(&self) {
        let Some((segment, ids)) = self.log.oldest() else { return };
        let entries: Vec<Entry> = ids.iter().flat_map(|id| self.entries_of(id)).collect();
        if entries.is_empty() || self.log.write(&entries).await {
            self.log.release(segment);
        }
    }

    /// The records that tell all that is known of a message; without an id, of the disk itself.
    fn entries_of(&self, id: &str) -> Vec<Entry> {
        let queue = self.queue.borrow();
        if !id.is_empty() {
            let left = self.not_wanted.borrow().contains_key(id);
            let left = left.then(|| Entry::Dropped { owner: self.disk, id: id.to_string() });
            return replication::current_entries(&queue, id).into_iter().chain(left).collect();
        }
        let fences = queue.fenced().iter().map(|disk| Entry::Fenced { disk: *disk });
        let taken_over = queue.taken_over().iter().map(|disk| Entry::TakenOver { disk: *disk });
        [Entry::Disk(self.disk)].into_iter().chain(fences).chain(taken_over).collect()
    }
}
