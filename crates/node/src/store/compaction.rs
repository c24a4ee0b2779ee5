//! Compaction of the log: live records of the oldest file are written again at the end, so that the file
//! can be freed.
use super::Store;
use queue::{replication, Entry};

/// With a smaller share of free ring files, the oldest file is compacted.
const MIN_FREE_RING_SHARE: f64 = 0.3;

impl Store {
    /// Frees a ring file if few are free.
    pub(super) async fn keep_files_free(&self) {
        if self.log.free_share() < MIN_FREE_RING_SHARE {
            self.compact().await;
        }
    }

    /// Writes the live records of the oldest ring file again, and frees the file.
    async fn compact(&self) {
        let Some((segment, ids)) = self.log.oldest() else { return };
        let entries: Vec<Entry> = ids.iter().flat_map(|id| self.current_entries(id)).collect();
        if entries.is_empty() || self.log.write(&entries).await {
            self.log.release(segment);
            let relinquished = entries.iter().filter(|entry| matches!(entry, Entry::Dropped { .. })).count();
            log::info!(
                "compacted log file {segment}: {} records written again, {relinquished} of them of relinquished messages",
                entries.len()
            );
        }
    }

    /// The records that describe all that is known of a message, or of the disk itself for an empty id.
    fn current_entries(&self, id: &str) -> Vec<Entry> {
        let queue = self.queue.borrow();
        if !id.is_empty() {
            return replication::current_entries(&queue, id);
        }
        let fences = queue.fenced().iter().map(|disk| Entry::Fenced { disk: *disk });
        let taken_over = queue.taken_over().iter().map(|disk| Entry::TakenOver { disk: *disk });
        [Entry::Disk(self.disk)].into_iter().chain(fences).chain(taken_over).collect()
    }
}
