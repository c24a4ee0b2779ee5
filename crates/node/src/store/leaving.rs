//! Planned stops, retirement, and the return of a store that was given up. In each of them what is only here is made
//! safe elsewhere before this store goes.
use super::peers::piece;
use super::{Store, RESERVE_S};
use crate::calls::Call;
use crate::watch::HOLD;
use net::rpc::RpcError;
use net::runtime;
use queue::{custody, Given, Stage};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another store may take to say whether it can do without this one.
const FAREWELL: Duration = Duration::from_millis(300);
/// Between two such questions.
const FAREWELL_PAUSE: Duration = Duration::from_millis(40);
/// A store that doesn't answer so often isn't waited for.
const FAREWELL_FAILURES: u32 = 3;
/// The last words to other stores may take so long, in milliseconds.
const FLUSH: u64 = 400;
/// How long an heir may take to make safe what it is given back.
const HAND_BACK: Duration = Duration::from_millis(4_000);
/// Between two attempts of that.
const HAND_BACK_PAUSE: Duration = Duration::from_millis(200);
/// After so many milliseconds the heir no longer waits for stores that don't answer.
const HAND_BACK_PATIENCE: u64 = 6_000;
/// How long deliveries under way may take before that, in milliseconds.
const RUN_OUT: u64 = 2_000;
/// How long another store may take to say what it knows of some messages.
const DECIDED: Duration = Duration::from_millis(1_000);
/// How long copies of what was given back may take, in milliseconds.
const SAFE_WITHIN: u64 = 2_500;

impl Store {
    /// A planned stop, which may be for good: unordered messages are left to others at once, deliveries under way end,
    /// and all that is here is at as many other stores as there have to be without this one.
    pub(super) async fn leave(self: &Rc<Self>) {
        self.leaving.set(true);
        self.needs_repair.set(true);
        let grace = Duration::from_secs_f64((self.settings.bounds.grace_s - RESERVE_S).max(0.5));
        let until = self.clock.ms() + grace.as_millis() as u64;
        self.tell_control();
        let dispensable = self.say_farewell(until);
        self.repair().await;
        while self.running.get() > self.ordered_running() && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        self.paused.set(true);
        let busy = || self.running.get() > 0 || self.taking.get() > 0;
        let needed = || dispensable.get() > 0 || self.needs_repair.get() || self.lacks_copies();
        while (busy() || needed()) && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        let flush = self.clock.ms() + FLUSH;
        while !self.copiers.borrow().values().all(|copier| copier.is_idle()) && self.clock.ms() < flush {
            runtime::sleep(Duration::from_millis(2)).await;
        }
        self.log.write(&[]).await;
        log::info!("stops; {} deliveries under way, needed: {}", self.running.get(), needed());
        self.log_untold();
    }

    /// Which ends other stores hold copies of and haven't been told of: they would be run again by an heir.
    fn log_untold(&self) {
        let queue = self.queue.borrow();
        for known in queue.all_owned().filter(|known| !known.untold.is_empty()) {
            let disks: Vec<String> = known.untold.iter().map(|disk| format!("{disk:016x}")).collect();
            log::warn!("{}: its end isn't told to disks {}", known.message.id, disks.join(", "));
        }
    }

    /// Says to the control group at once that this store is about to stop. The answer may be held back for as long as that
    /// of any question for news; a shorter patience would break the connection under the one that waits there.
    fn tell_control(self: &Rc<Self>) {
        for member in self.known.group() {
            let store = self.clone();
            runtime::spawn(async move {
                let to = SocketAddr::new(member, store.settings.control_port());
                let call = Call::Watch(store.hello(), store.known.seen());
                let _ = store.peers.call::<Call, crate::calls::News>(to, &call, HOLD * 2).await;
            });
        }
    }

    /// Says to all other stores that this one is about to stop; counts those that can't do without it yet.
    fn say_farewell(self: &Rc<Self>, until: u64) -> Rc<Cell<usize>> {
        let needing = Rc::new(Cell::new(0));
        for copier in self.copiers.borrow().values() {
            needing.set(needing.get() + 1);
            let (store, needing, to) = (self.clone(), needing.clone(), copier.address());
            runtime::spawn(async move {
                let mut failures = 0;
                while store.clock.ms() < until && failures < FAREWELL_FAILURES {
                    match store
                        .peers
                        .call::<Call, bool>(to, &Call::Leaving { disk: store.disk }, FAREWELL)
                        .await
                    {
                        Ok(true) => break,
                        Ok(false) => {}
                        Err(_) => failures += 1,
                    }
                    runtime::sleep(FAREWELL_PAUSE).await;
                }
                needing.set(needing.get() - 1);
            });
        }
        needing
    }

    /// Another store is about to stop: what it holds doesn't count any more. True once nothing here rests on it.
    pub(super) fn peer_leaves(&self, disk: u64) -> bool {
        let copier = self.copiers.borrow().get(&disk).cloned();
        if let Some(copier) = copier.filter(|copier| !copier.is_leaving()) {
            copier.set_leaving();
            self.needs_repair.set(true);
            self.cared.notify();
        }
        !self.needs_repair.get() && !self.lacks_copies()
    }

    /// The store is to be taken away: it ends what it does, and tells all that others need to know.
    pub(super) async fn retire(self: Rc<Self>) {
        log::info!("retires");
        self.leaving.set(true);
        self.needs_repair.set(true);
        while self.running.get() > self.ordered_running() || self.needs_repair.get() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.paused.set(true);
        while self.running.get() > 0 || self.taking.get() > 0 || !self.is_whole() || !self.all_told() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.idle.set(true);
        log::info!("is idle: others may take over");
    }

    /// Every holder of a copy knows of the end of its message.
    fn all_told(&self) -> bool {
        let copiers = self.copiers.borrow();
        let queue = self.queue.borrow();
        let told = |known: &queue::Known| known.untold.iter().all(|disk| !copiers.contains_key(disk));
        let all = queue.all_owned().all(told);
        all && copiers.values().all(|copier| copier.is_idle())
    }

    fn ordered_running(&self) -> usize {
        let queue = self.queue.borrow();
        queue.all_owned().filter(|known| known.stage == Stage::Running && known.message.ordered).count()
    }

    /// Others have taken over from this disk while it was away. What it holds may be nowhere else, if other disks were
    /// lost meanwhile: it goes to the heirs before the store begins anew.
    pub(super) async fn hand_back(self: Rc<Self>) {
        log::error!("others have taken over from this disk; what it holds is handed back to them");
        self.leaving.set(true);
        self.paused.set(true);
        let begun = self.clock.ms();
        while self.running.get() > 0 && self.clock.ms() < begun + RUN_OUT {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        while !self.hand_back_all(self.clock.ms() > begun + HAND_BACK_PATIENCE).await {
            runtime::sleep(HAND_BACK_PAUSE).await;
        }
        self.start_anew().await;
    }

    /// Hands back this store's own messages and the copies of others that were given up; false if some aren't safe.
    async fn hand_back_all(&self, anyway: bool) -> bool {
        let view = self.known.stores();
        let mut all = true;
        for owner in view.stores.iter().filter(|store| store.gone) {
            let messages = custody::messages_of(&self.queue.borrow(), owner.disk);
            if messages.is_empty() {
                continue;
            }
            log::info!("{} messages are handed back", messages.len());
            let heir = view.final_heir(owner.disk).and_then(|heir| view.get(heir));
            all &= match heir {
                Some(heir) => self.give_to(heir, owner.disk, messages, anyway).await.is_ok_and(|safe| safe),
                None => false,
            };
        }
        all
    }

    async fn give_to(
        &self,
        heir: &control::Store,
        owner: u64,
        messages: Vec<Given>,
        anyway: bool,
    ) -> Result<bool, RpcError> {
        let to = SocketAddr::new(heir.ip, self.port);
        let mut left = &messages[..];
        while !left.is_empty() {
            let given = piece(left.iter().cloned()).given;
            left = &left[given.len()..];
            let call = Call::HandBack { owner, given, anyway };
            if !self.peers.call::<Call, bool>(to, &call, HAND_BACK).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Takes messages that a store which was given up had, unless they are decided: owned by a store that is there, or
    /// ended. True once they are safe. A store that doesn't answer is waited for, unless they are to be taken `anyway`.
    pub(super) async fn take_back(self: &Rc<Self>, owner: u64, mut given: Vec<Given>, anyway: bool) -> bool {
        let view = self.known.stores();
        let mine = view.final_heir(owner) == Some(self.disk) && self.inherited.borrow().contains(&owner);
        if !mine || self.leaving.get() {
            return false;
        }
        let mut open: Vec<String> = given.iter().map(|given| given.message.id.clone()).collect();
        for decided in custody::decided(&self.queue.borrow(), open.clone()) {
            open.retain(|id| *id != decided);
        }
        for other in view.active().filter(|store| store.disk != self.disk) {
            let to = SocketAddr::new(other.ip, self.port);
            let call = Call::Decided { ids: open.clone() };
            match self.peers.call::<Call, Vec<String>>(to, &call, DECIDED).await {
                Ok(decided) => {
                    let decided: BTreeSet<String> = decided.into_iter().collect();
                    open.retain(|id| !decided.contains(id));
                }
                Err(_) if anyway => {}
                Err(_) => return false,
            }
        }
        let open: BTreeSet<String> = open.into_iter().collect();
        given.retain(|given| open.contains(&given.message.id));
        if !given.is_empty() {
            log::warn!("{} messages come back from a store that was given up", given.len());
        }
        let ids: Vec<String> = given.iter().map(|given| given.message.id.clone()).collect();
        self.adopt(given, None).await;
        let until = self.clock.ms() + SAFE_WITHIN;
        let is_safe = |id: &String| self.missing_copies(id, self.copies_wanted()) == 0;
        while !ids.iter().all(is_safe) && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        ids.iter().all(is_safe)
    }

    /// What is on this disk doesn't count any more: the store begins anew with an empty one.
    async fn start_anew(&self) {
        log::error!("the store begins anew with an empty disk");
        if let Some(folder) = &self.settings.data_dir {
            for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        runtime::exit().await;
    }
}
