//! Copies of what an absent store owned are made whole among the stores that are there.
//!
//! While an owner is away, each of its messages is on one disk too few. Nothing has to be decided about the owner for
//! that: every store that holds a copy sees to it that the stores chosen for the message have one as well. Who owns and
//! runs the message is decided later, by the stores' view. An owner that returns hears of such copies before anything
//! more is kept for it, so that none of them outlives the end of its message.
use super::copies::AWAY;
use super::peers::IDS_AT_ONCE;
use super::Store;
use crate::calls::{Call, Given};
use queue::{End, Entry};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another store may take to say what it lacks, or to keep it.
const PRESERVE: Duration = Duration::from_millis(2_000);
/// Ends in one call.
const ENDS_AT_ONCE: usize = 2_000;

/// Which owners are away, and what was done about it.
#[derive(Default)]
pub struct Absences {
    /// When each owner last called this store, in milliseconds of the process.
    called: BTreeMap<u64, u64>,
    /// Owners that copies came for from others, and that have not heard of them.
    unreconciled: BTreeSet<u64>,
    /// For each absent owner, the stores that were there when its copies were made whole.
    whole_among: BTreeMap<u64, BTreeSet<u64>>,
    under_way: BTreeSet<u64>,
    /// The stores that were there when it was looked last.
    present: BTreeSet<u64>,
}

impl Absences {
    /// An owner called.
    pub fn heard(&mut self, owner: u64, now: u64) {
        self.called.insert(owner, now);
    }

    /// Whether an owner has to hear what is kept for it before more is kept.
    pub fn must_reconcile(&self, owner: u64) -> bool {
        self.unreconciled.contains(&owner)
    }

    /// An owner has heard of all that is kept for it.
    pub fn reconciled(&mut self, owner: u64) {
        self.unreconciled.remove(&owner);
    }

    fn is_silent(&self, owner: u64, now: u64) -> bool {
        self.called.get(&owner).is_none_or(|at| now >= at + AWAY.as_millis() as u64)
    }
}

/// The stores that are to hold a message, of those that are there: for every holder the same.
pub fn chosen(id: &str, stores: &BTreeSet<u64>, count: usize) -> Vec<u64> {
    let weight = |disk: &u64| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), *disk);
    let mut by_weight: Vec<u64> = stores.iter().copied().collect();
    by_weight.sort_by_key(weight);
    by_weight.truncate(count);
    by_weight
}

/// Ids of live and of ended messages.
type Ids = (Vec<String>, Vec<String>);

impl Store {
    /// Looks which stores are away, and has made whole again what they held or owned.
    pub(super) fn look_for_absences(self: &Rc<Self>) {
        let view = self.known.stores();
        let present = self.present();
        let silent = self.copiers.borrow().values().filter(|c| c.is_silent()).map(|c| c.disk).collect();
        let gone = view.stores.iter().filter(|store| store.gone).map(|store| store.disk).collect();
        let absent: BTreeSet<u64> = BTreeSet::union(&silent, &gone).copied().collect();
        let mut absences = self.absences.borrow_mut();
        if absences.present != present {
            absences.present.clone_from(&present);
            self.needs_repair.set(true);
        }
        absences.whole_among.retain(|owner, _| absent.contains(owner));
        for owner in absent {
            let done = absences.whole_among.get(&owner) == Some(&present);
            if owner != self.disk && !done && absences.under_way.insert(owner) {
                monoio::spawn(self.clone().preserve(owner, present.clone()));
            }
        }
    }

    async fn preserve(self: Rc<Self>, owner: u64, present: BTreeSet<u64>) {
        let mut all = true;
        for (target, (live, ended)) in self.targets(owner, &present) {
            let Some(target) = self.known.store(target) else { continue };
            let to = SocketAddr::new(target.ip, self.port);
            all &= self.preserve_at(to, owner, live, ended).await.is_some();
        }
        let mut absences = self.absences.borrow_mut();
        absences.under_way.remove(&owner);
        if all {
            absences.whole_among.insert(owner, present);
        }
    }

    /// Which messages of an owner other stores should hold, as far as they are known here. Those of a store that was
    /// given up are its heir's to copy; only their ends are looked after.
    fn targets(&self, owner: u64, present: &BTreeSet<u64>) -> BTreeMap<u64, Ids> {
        let view = self.known.stores();
        let staying = |disk: &u64| view.get(*disk).is_some_and(|store| !store.gone && !store.retiring);
        let mut stores: BTreeSet<u64> = present.iter().copied().filter(staying).collect();
        stores.insert(self.disk);
        let others = |id: &str| {
            let chosen = chosen(id, &stores, self.copies_needed + 1);
            chosen.into_iter().filter(|disk| *disk != self.disk)
        };
        let mut targets: BTreeMap<u64, Ids> = BTreeMap::new();
        let queue = self.queue.borrow();
        if self.known.store(owner).is_some() {
            for copy in queue.copies_of(owner) {
                let id = &copy.message.id;
                others(id).for_each(|disk| targets.entry(disk).or_default().0.push(id.clone()));
            }
        }
        for end in queue.ends_of(owner) {
            others(&end.id).for_each(|disk| targets.entry(disk).or_default().1.push(end.id.clone()));
        }
        targets
    }

    /// Sends another store what it lacks; nothing if that failed.
    async fn preserve_at(
        &self,
        to: SocketAddr,
        owner: u64,
        live: Vec<String>,
        ended: Vec<String>,
    ) -> Option<()> {
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

    /// Which of an absent owner's messages aren't here, and of which the end isn't known.
    pub(super) fn lacking_of(&self, owner: u64, live: &[String], ended: &[String]) -> Vec<String> {
        let queue = self.queue.borrow();
        let held = |id: &&String| {
            queue.owned(id).is_some()
                || queue.end_of(id).is_some()
                || queue.copy(id).is_some_and(|copy| copy.owner == owner)
        };
        let live = live.iter().filter(|id| !held(id));
        let ended = ended.iter().filter(|id| queue.end_of(id).is_none());
        live.chain(ended).cloned().collect()
    }

    /// Whether an owner is away for this store too.
    fn is_absent(&self, owner: u64) -> bool {
        let silent = self.copiers.borrow().get(&owner).is_some_and(|copier| copier.is_silent());
        silent && self.absences.borrow().is_silent(owner, self.clock.ms())
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
        let mut entries = Vec::new();
        {
            let mut queue = self.queue.borrow_mut();
            if !given.is_empty() {
                self.absences.borrow_mut().unreconciled.insert(owner);
            }
            for Given { message, attempts } in given {
                let id = message.id.clone();
                queue.keep(owner, message.clone());
                queue.note_attempts(&id, attempts);
                entries.push(Entry::Message { owner, message });
                entries.push(Entry::Failed { id, attempts });
            }
            for end in ends {
                queue.keep_end(owner, end.clone());
                entries.push(Entry::Ended(end));
            }
        }
        self.log.write(&entries).await
    }
}
