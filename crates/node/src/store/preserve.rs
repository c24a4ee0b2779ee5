//! Copies of what an absent store owned are made whole among the stores that are there.
//!
//! While an owner is away, each of its messages is on one disk too few. Nothing has to be decided about the owner for
//! that: every store that holds a copy sees to it that the stores chosen for the message have one as well. Who owns and
//! runs the message is decided later, by the stores' view. An owner that returns hears of such copies before anything
//! more is kept for it, so that none of them outlives the end of its message.
use super::copier::AWAY;
use super::peers::IDS_AT_ONCE;
use super::Store;
use crate::calls::Call;
use net::runtime;
use queue::custody::{self, Ids};
use queue::{End, Given};
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
        let (due, changed) = self.absences.borrow_mut().look(&present, &absent);
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
        self.absences.borrow_mut().done(owner, present, all);
    }

    /// Which messages of an owner other stores should hold, as far as they are known here.
    fn targets(&self, owner: u64, present: &BTreeSet<u64>) -> BTreeMap<u64, Ids> {
        let view = self.known.stores();
        let stays = |disk: &u64| view.get(*disk).is_some_and(|store| !store.gone && !store.retiring);
        let mut stores: BTreeSet<u64> = present.iter().copied().filter(stays).collect();
        stores.insert(self.disk);
        let given_up = self.known.store(owner).is_none();
        custody::targets(&self.queue.borrow(), owner, given_up, &stores, self.copies_needed + 1)
    }

    /// Sends another store what it lacks; nothing if that failed.
    async fn preserve_at(&self, to: SocketAddr, owner: u64, ids: Ids) -> Option<()> {
        let Ids { live, ended } = ids;
        for live in live.chunks(IDS_AT_ONCE) {
            let lacking = self.ask_lacking(to, owner, live.to_vec(), Vec::new()).await?;
            let mut left = &lacking[..];
            while !left.is_empty() {
                let (given, asked) = self.copies_from(left);
                left = &left[asked..];
                self.send_preserved(to, owner, given, Vec::new()).await?;
            }
        }
        for ended in ended.chunks(IDS_AT_ONCE) {
            let lacking = self.ask_lacking(to, owner, Vec::new(), ended.to_vec()).await?;
            for ids in lacking.chunks(ENDS_AT_ONCE) {
                let ends = self.ends_by(ids);
                self.send_preserved(to, owner, Vec::new(), ends).await?;
            }
        }
        Some(())
    }

    fn ends_by(&self, ids: &[String]) -> Vec<End> {
        let queue = self.queue.borrow();
        ids.iter().filter_map(|id| queue.end_of(id).cloned()).collect()
    }

    /// Copies of the first of some messages, as many as fit one call, and how many ids that settles.
    fn copies_from(&self, ids: &[String]) -> (Vec<Given>, usize) {
        let (given, asked) = self.fetch(ids);
        (given, (asked as usize).clamp(1, ids.len()))
    }

    async fn ask_lacking(
        &self,
        to: SocketAddr,
        owner: u64,
        live: Vec<String>,
        ended: Vec<String>,
    ) -> Option<Vec<String>> {
        let call = Call::Lacking { owner, live, ended };
        self.peers.call::<Call, Vec<String>>(to, &call, PRESERVE).await.ok()
    }

    async fn send_preserved(
        &self,
        to: SocketAddr,
        owner: u64,
        given: Vec<Given>,
        ends: Vec<End>,
    ) -> Option<()> {
        if given.is_empty() && ends.is_empty() {
            return Some(());
        }
        let call = Call::Preserve { owner, given, ends };
        let kept = self.peers.call::<Call, bool>(to, &call, PRESERVE).await.ok()?;
        kept.then_some(())
    }

    /// Whether an owner is away for this store too.
    fn is_absent(&self, owner: u64) -> bool {
        let silent = self.copiers.borrow().get(&owner).is_some_and(|copier| copier.is_silent(runtime::now()));
        silent && self.absences.borrow().is_silent(owner, AWAY.as_millis() as u64, self.clock.ms())
    }

    /// Keeps copies and ends for an owner that is away. Copies are refused where the owner isn't away, or was given up:
    /// it, or its heir, sees to them then.
    pub(super) async fn preserve_for(&self, owner: u64, given: Vec<Given>, ends: Vec<End>) -> bool {
        if self.paused.get() || self.leaving.get() {
            return false;
        }
        if !given.is_empty() && (self.is_refused(owner) || !self.is_absent(owner)) {
            return false;
        }
        let entries = {
            let (mut queue, mut absences) = (self.queue.borrow_mut(), self.absences.borrow_mut());
            custody::preserve(&mut queue, &mut absences, owner, given, ends)
        };
        self.log.write(&entries).await
    }
}
