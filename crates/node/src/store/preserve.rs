//! Copies of what an absent store owned are made whole among the stores that are there.
//!
//! While an owner is away, each of its messages is on one disk too few. Nothing has to be decided about the owner for
//! that: every store that holds a copy sees to it that the stores chosen for the message have one as well. Who owns and
//! runs the message is decided later, by the stores' view. An owner that returns hears of such copies before anything
//! more is kept for it, so that none of them outlives the end of its message.
use super::copier::AWAY;
use super::peers::{IDS_AT_ONCE, PIECE_BYTES};
use super::Store;
use crate::calls::Call;
use net::runtime;
use queue::replication::{self, MessageIds, ReplicaBatch};
use queue::{FinishedTransfer, Placement};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another store may take to say what it lacks, or to keep it.
const PRESERVE: Duration = Duration::from_millis(2_000);
/// Ends in one call.
const ENDS_AT_ONCE: usize = 2_000;

impl Store {
    /// Looks which stores are away, and has made whole again what they held or owned.
    pub(super) fn look_for_absences(self: &Rc<Self>) {
        let view = self.known.stores();
        let (present, now) = (self.present(), runtime::now());
        let silent = self.copiers.borrow().values().filter(|c| c.is_silent(now)).map(|c| c.disk).collect();
        let gone = view.stores.iter().filter(|store| store.gone).map(|store| store.disk).collect();
        let mut absent: BTreeSet<u64> = BTreeSet::union(&silent, &gone).copied().collect();
        absent.remove(&self.disk);
        let (due, changed) = self.absences.borrow_mut().update_presence(&present, &absent);
        if changed {
            self.needs_repair.set(true);
        }
        for owner in due {
            runtime::spawn(self.clone().preserve(owner, present.clone()));
        }
    }

    async fn preserve(self: Rc<Self>, owner: u64, present: BTreeSet<u64>) {
        let mut all = true;
        for (target, ids) in self.targets(owner, &present) {
            let Some(target) = self.known.store(target) else { continue };
            let to = SocketAddr::new(target.ip, self.port);
            all &= self.preserve_at(to, owner, ids).await.is_some();
        }
        self.absences.borrow_mut().replication_finished(owner, present, all);
    }

    /// Which messages of an owner other stores should hold, as far as they are known here.
    fn targets(&self, owner: u64, present: &BTreeSet<u64>) -> BTreeMap<u64, MessageIds> {
        let view = self.known.stores();
        let stays = |disk: &u64| view.get(*disk).is_some_and(|store| !store.gone && !store.retiring);
        let mut stores: BTreeSet<u64> = present.iter().copied().filter(stays).collect();
        stores.insert(self.disk);
        let given_up = self.known.store(owner).is_none();
        let locations = stores.iter().filter_map(|disk| Some((*disk, view.get(*disk)?.location.clone())));
        let locations = locations.collect();
        let placement = Placement::anywhere(stores, self.tolerance.copies() + 1);
        let placement = match self.tolerance.needs_spread() {
            true => placement.with_spread(self.tolerance, locations, None),
            false => placement,
        };
        replication::replication_targets(&self.queue.borrow(), owner, given_up, &placement)
    }

    /// Sends another store what it lacks; nothing if that failed.
    async fn preserve_at(&self, to: SocketAddr, owner: u64, ids: MessageIds) -> Option<()> {
        for live in ids.live.chunks(IDS_AT_ONCE) {
            let asked = MessageIds { live: live.to_vec(), ..MessageIds::default() };
            let lacking = self.ask_lacking(to, owner, asked).await?.live;
            let mut left = &lacking[..];
            while !left.is_empty() {
                let (live, settled) = self.fetch(left);
                left = &left[(settled as usize).clamp(1, left.len())..];
                self.send_preserved(to, owner, ReplicaBatch { live, ..ReplicaBatch::default() }).await?;
            }
        }
        for finished in ids.finished.chunks(IDS_AT_ONCE) {
            let asked = MessageIds { finished: finished.to_vec(), ..MessageIds::default() };
            let mut lacking = self.ask_lacking(to, owner, asked).await?.finished.into_iter();
            while lacking.len() > 0 {
                let finished = self.ended_by(&mut lacking);
                self.send_preserved(to, owner, ReplicaBatch { finished, ..ReplicaBatch::default() }).await?;
            }
        }
        for final_records in ids.final_records.chunks(IDS_AT_ONCE) {
            let asked = MessageIds { final_records: final_records.to_vec(), ..MessageIds::default() };
            let lacking = self.ask_lacking(to, owner, asked).await?.final_records;
            for ids in lacking.chunks(ENDS_AT_ONCE) {
                let final_records = self.ends(ids);
                self.send_preserved(to, owner, ReplicaBatch { final_records, ..ReplicaBatch::default() })
                    .await?;
            }
        }
        Some(())
    }

    /// The first of some messages that have ended, as many as fit one call.
    fn ended_by(&self, ids: &mut std::vec::IntoIter<String>) -> Vec<FinishedTransfer> {
        let queue = self.queue.borrow();
        let (mut finished, mut bytes) = (Vec::new(), 0);
        for id in ids.by_ref() {
            let Some((_, given)) = queue.finished_replica(&id) else { continue };
            bytes += given.finished.body_bytes();
            finished.push(given);
            if bytes >= PIECE_BYTES || finished.len() >= ENDS_AT_ONCE {
                break;
            }
        }
        finished
    }

    async fn ask_lacking(&self, to: SocketAddr, owner: u64, ids: MessageIds) -> Option<MessageIds> {
        self.peers.call::<Call, MessageIds>(to, &Call::Lacking { owner, ids }, PRESERVE).await.ok()
    }

    async fn send_preserved(&self, to: SocketAddr, owner: u64, preserved: ReplicaBatch) -> Option<()> {
        if preserved.is_empty() {
            return Some(());
        }
        let call = Call::Preserve { owner, preserved };
        let kept = self.peers.call::<Call, bool>(to, &call, PRESERVE).await.ok()?;
        kept.then_some(())
    }

    /// Whether an owner is away for this store too.
    fn is_absent(&self, owner: u64) -> bool {
        let silent = self.copiers.borrow().get(&owner).is_some_and(|copier| copier.is_silent(runtime::now()));
        silent && self.absences.borrow().is_absent(owner, AWAY.as_millis() as u64, self.clock.ms())
    }

    /// Keeps messages and ends for an owner that is away. Messages are refused where the owner isn't away, or was given
    /// up: it, or its heir, sees to them then.
    pub(super) async fn preserve_for(&self, owner: u64, preserved: ReplicaBatch) -> bool {
        if self.paused.get() || self.leaving.get() {
            return false;
        }
        let has_messages = !preserved.live.is_empty() || !preserved.finished.is_empty();
        if has_messages && (self.is_refused(owner) || !self.is_absent(owner)) {
            return false;
        }
        let entries = {
            let (mut queue, mut absences) = (self.queue.borrow_mut(), self.absences.borrow_mut());
            replication::keep_replica_batch(&mut queue, &mut absences, owner, preserved)
        };
        self.log.write(&entries).await
    }
}
