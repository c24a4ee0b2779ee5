//! The core's writes to the journal.
use super::*;
use crate::deadline::was_set;
use journal::{Ending, Fault};

impl Core {
    pub(super) fn stamp(&self) -> Stamp {
        self.own.stamp(Instant::now(), self.machine.wall_ms())
    }

    /// Says in the journal that the wall clock was set, while that matters to what is held.
    pub(super) async fn keep_time(&mut self) {
        if !self.held.is_empty() && was_set(self.last_stamp, self.stamp()) {
            tracing::warn!("the wall clock was set");
            // A failure is logged, and the next write says it too.
            let _ = self.commit(Vec::new()).await;
        }
    }

    /// What a write has come to. Where nobody can tell what of it will be found, the file is replaced by one that holds
    /// only what is certain, before anything else is done.
    pub(super) async fn settled(&mut self, written: Result<(), Fault>) -> Result<(), Fault> {
        let Err(fault) = written else {
            if std::mem::take(&mut self.write_failed) {
                self.drain.set_stuck(false);
                tracing::info!("the journal can be written again");
            }
            return Ok(());
        };
        if !std::mem::replace(&mut self.write_failed, true) {
            self.drain.set_stuck(true);
            tracing::error!(%fault, "cannot write the journal; nothing new is taken on");
        }
        match fault {
            Fault::Unknown(error) if self.renew().await => Err(Fault::Clean(error)),
            fault => Err(fault),
        }
    }

    /// Replaces a journal that has failed; if that fails too it is tried again after a while.
    pub(super) async fn renew(&mut self) -> bool {
        let stamp = self.stamp();
        let renewed = self.journal.run(move |journal| journal.renew(stamp)).await;
        self.drain.set_unfit(renewed.is_err());
        self.renew_at = renewed.is_err().then(|| Instant::now() + RENEW_EVERY);
        match renewed {
            Ok(()) => tracing::warn!("the journal has failed and was replaced by a new file"),
            Err(error) => tracing::error!(%error, "the journal has failed and can't be replaced; not ready"),
        }
        self.renew_at.is_none()
    }

    /// Writes down all of these or none.
    pub(super) async fn commit(&mut self, records: Vec<Record>) -> Result<(), Fault> {
        let stamp = self.stamp();
        let written = self.journal.run(move |journal| journal.write(&records, stamp)).await;
        if written.is_ok() {
            self.last_stamp = stamp;
        }
        self.settled(written).await
    }

    /// Writes down what has ended. What can't be written is kept for the next time: it is so all the same.
    pub(super) async fn write(&mut self, mut records: Vec<Record>) -> bool {
        if !self.owed.is_empty() {
            records.splice(0..0, std::mem::take(&mut self.owed));
        }
        if records.is_empty() {
            return true;
        }
        let written = self.commit(records.clone()).await.is_ok();
        if !written {
            // The platform was told no more than that of it (`notify`).
            let said = |record| match record {
                Record::Decided(id, _) => Record::Decided(id, Ending::GivenUp),
                record => record,
            };
            self.owed = records.into_iter().map(said).collect();
        }
        written
    }
}
