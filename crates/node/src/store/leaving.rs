//! Planned stops, retirement, and the return of a store that was given up. In each of them what is only here is made
//! safe elsewhere before this store goes.
use super::decided::Patience;
use super::peers::{ended_piece, live_piece};
use super::{Store, RESERVE_S};
use crate::calls::Call;
use crate::watch::HOLD;
use net::rpc::RpcError;
use net::runtime;
use queue::{replication, FinishedTransfer, MessageTransfer, Stage};
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
/// Between two looks whether all is safe elsewhere: each goes through all messages that are owned.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// How long an heir may take to make safe what it is given back.
const HAND_BACK: Duration = Duration::from_millis(4_000);
/// Between two attempts of that.
const HAND_BACK_PAUSE: Duration = Duration::from_millis(200);
/// After so many milliseconds the heir no longer waits for stores that don't answer.
const HAND_BACK_PATIENCE: u64 = 6_000;
/// How long deliveries under way may take before that, in milliseconds.
const RUN_OUT: u64 = 2_000;
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
        while self.running.get() > self.bound_running() && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        self.paused.set(true);
        let busy = || self.running.get() > 0 || self.taking.get() > 0;
        let lacks =
            || self.needs_repair.get() || self.lacks_copies() || self.is_taking_over() || !self.all_told();
        let needed = || dispensable.get() > 0 || lacks();
        while (busy() || needed()) && self.clock.ms() < until {
            runtime::sleep(LOOK_AGAIN).await;
        }
        self.closing.set(true);
        self.log.write(&[]).await;
        log::info!("stops; {} deliveries under way, needed: {}", self.running.get(), needed());
        self.log_untold();
    }

    /// Which ends stores that are there hold copies of and haven't been told of.
    fn log_untold(&self) {
        let (queue, present) = (self.queue.borrow(), self.present());
        for owned in queue.all_owned() {
            let disks = owned.unnotified.intersection(&present).map(|disk| format!("{disk:016x}"));
            let disks: Vec<String> = disks.collect();
            if !disks.is_empty() {
                log::warn!("{}: its end isn't told to disks {}", owned.id(), disks.join(", "));
            }
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

    /// The store is to be taken away: it ends what it does, and tells all that others need to know. `since_started`: it
    /// was asked to in the life of this process.
    pub(super) async fn retire(self: Rc<Self>, since_started: bool) {
        log::info!("retires");
        self.leaving.set(true);
        if !since_started {
            // An earlier process may have said that it is idle: the heir may have begun.
            self.paused.set(true);
        }
        self.needs_repair.set(true);
        while self.running.get() > self.bound_running() || self.needs_repair.get() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.paused.set(true);
        let busy = || self.running.get() > 0 || self.taking.get() > 0 || self.is_taking_over();
        while busy() || !self.is_whole() || !self.all_told() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        self.idle.set(true);
        log::info!("is idle: others may take over");
    }

    /// Every holder of a copy that is there has heard all that was to be told, the ends of its messages above all.
    fn all_told(&self) -> bool {
        let (present, copiers) = (self.present(), self.copiers.borrow());
        let queue = self.queue.borrow();
        let all = queue.all_owned().all(|owned| owned.unnotified.is_disjoint(&present));
        all && present.iter().all(|disk| copiers.get(disk).is_some_and(|copier| copier.is_idle()))
    }

    /// Deliveries of messages that are bound to this store by a key: they go on until it stops.
    fn bound_running(&self) -> usize {
        let queue = self.queue.borrow();
        let runs = queue.all_owned().filter(|owned| owned.stage() == Some(Stage::Running));
        runs.filter(|owned| owned.envelope().partition_key().is_some()).count()
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
            let messages = replication::live_transfers(&self.queue.borrow(), owner.disk);
            let ended = replication::finished_transfers(&self.queue.borrow(), owner.disk);
            if messages.is_empty() && ended.is_empty() {
                continue;
            }
            log::info!("{} messages and {} ended ones are handed back", messages.len(), ended.len());
            let Some(heir) = view.final_heir(owner.disk).and_then(|heir| view.get(heir)) else {
                all = false;
                continue;
            };
            all &= self.give_to(heir, owner.disk, messages, anyway).await.is_ok_and(|safe| safe);
            all &= self.give_ended_to(heir, owner.disk, ended).await.is_ok_and(|safe| safe);
        }
        all
    }

    async fn give_to(
        &self,
        heir: &control::Store,
        owner: u64,
        messages: Vec<MessageTransfer>,
        anyway: bool,
    ) -> Result<bool, RpcError> {
        let to = SocketAddr::new(heir.ip, self.port);
        let mut left = &messages[..];
        while !left.is_empty() {
            let given = live_piece(left.iter().cloned()).given;
            left = &left[given.len()..];
            let call = Call::HandBack { owner, given, anyway };
            if !self.peers.call::<Call, bool>(to, &call, HAND_BACK).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn give_ended_to(
        &self,
        heir: &control::Store,
        owner: u64,
        messages: Vec<FinishedTransfer>,
    ) -> Result<bool, RpcError> {
        let to = SocketAddr::new(heir.ip, self.port);
        let mut left = &messages[..];
        while !left.is_empty() {
            let given = ended_piece(left.iter().cloned()).given;
            left = &left[given.len()..];
            let call = Call::HandBackEnded { owner, given };
            if !self.peers.call::<Call, bool>(to, &call, HAND_BACK).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Whether a store that was given up hands back to this one what it has of an owner's messages.
    fn takes_back(&self, owner: u64) -> bool {
        let is_heir = self.known.stores().final_heir(owner) == Some(self.disk);
        is_heir && self.inherited.borrow().contains(&owner) && !self.leaving.get()
    }

    /// Takes messages that have ended and that a store which was given up had. True once they are safe.
    pub(super) async fn take_back_ended(self: &Rc<Self>, owner: u64, given: Vec<FinishedTransfer>) -> bool {
        if !self.takes_back(owner) {
            return false;
        }
        self.adopt_ended(given).await;
        let until = self.clock.ms() + SAFE_WITHIN;
        while self.lacks_ended_copies() && self.clock.ms() < until {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        !self.lacks_ended_copies()
    }

    /// Takes messages that a store which was given up had, unless they are decided: owned by a store that is there, or
    /// ended. True once they are safe. A store that doesn't answer is waited for, unless they are to be taken `anyway`.
    pub(super) async fn take_back(
        self: &Rc<Self>,
        owner: u64,
        mut given: Vec<MessageTransfer>,
        anyway: bool,
    ) -> bool {
        if !self.takes_back(owner) {
            return false;
        }
        let mut open = self.not_decided_here(&given);
        let (decided, all) = self.decided_elsewhere(open.clone(), Patience::Once).await;
        if !all && !anyway {
            return false;
        }
        open.retain(|id| !decided.contains(id));
        let open: BTreeSet<String> = open.into_iter().collect();
        given.retain(|given| open.contains(given.message.id()));
        if !given.is_empty() {
            log::warn!("{} messages come back from a store that was given up", given.len());
        }
        let ids: Vec<String> = given.iter().map(|given| given.message.id().to_string()).collect();
        self.adopt(given, None).await;
        let until = self.clock.ms() + SAFE_WITHIN;
        let is_safe = |id: &String| self.missing_copies(id, &self.placement()) == 0;
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
