//! Messages that an edge gave to several stores, because the first ones didn't answer soon: one of them runs each.
use super::{some_of, Store};
use crate::calls::Call;
use net::runtime;
use queue::{Entry, Message, OwnedMessage, Stage};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another store may take to leave a message to this one.
const LEAVE: Duration = Duration::from_millis(400);
/// Between two looks whether the stores are known.
const PAUSE: Duration = Duration::from_millis(150);

/// That a message was taken here has been told to stores that were given it before.
#[derive(Debug, Default)]
pub struct Promise {
    to: BTreeSet<u64>,
    /// When it was told last.
    pub(super) at: u64,
}

/// What stores say that were given a message before the one that took it.
#[derive(Debug)]
pub enum Asked {
    /// They leave it, but for those that are away.
    Left { silent: Vec<u64> },
    /// One of them has begun to run it.
    Begun,
}

/// Why a message is left to another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeftBecause {
    /// The store with this disk has taken it, and says so when it is asked what it holds.
    TakenAt(u64),
    /// The store with this disk has taken it, and asks for it.
    Asked(u64),
    /// Another store has begun to run it.
    Begun,
    /// Another message of its operation stays.
    Superseded,
}

impl std::fmt::Display for LeftBecause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LeftBecause::TakenAt(disk) => write!(f, "taken at disk {disk:016x}"),
            LeftBecause::Asked(disk) => write!(f, "asked by disk {disk:016x}"),
            LeftBecause::Superseded => f.write_str("another message of the operation stays"),
            LeftBecause::Begun => f.write_str("begun elsewhere"),
        }
    }
}

impl Store {
    /// Asks the stores that were given a message before, or their heirs, to leave it to this one.
    pub async fn ask_to_leave(&self, message: &Message) -> Asked {
        let view = self.known.stores();
        let owners = message.envelope.also_sent_to.iter().filter_map(|disk| view.final_heir(*disk));
        let others: BTreeSet<u64> = owners.filter(|disk| *disk != self.disk).collect();
        let mut silent = Vec::new();
        for disk in others {
            match self.ask_one_to_leave(message.id(), disk).await {
                Some(true) => {}
                Some(false) => return Asked::Begun,
                None => silent.push(disk),
            }
        }
        Asked::Left { silent }
    }

    /// Asks one store, until it answers or is away; nothing if it is.
    async fn ask_one_to_leave(&self, id: &str, disk: u64) -> Option<bool> {
        let call = Call::Leave { id: id.to_string(), to: self.disk };
        while let Some(other) = self.known.store(disk) {
            let to = SocketAddr::new(other.ip, self.port);
            if let Ok(leaves) = self.peers.call::<Call, bool>(to, &call, LEAVE).await {
                return Some(leaves);
            }
            if self.is_away(disk, runtime::now()) {
                log::debug!("{id}: disk {disk:016x} is away and doesn't say that it leaves it");
                return None;
            }
            runtime::sleep(PAUSE).await;
        }
        Some(true)
    }

    /// Has a store that didn't say whether it leaves a message hear that it was taken here: it was stopped for a while, or
    /// answers didn't reach this store, so it may have the message without knowing. Nothing more is taken from it until it
    /// has asked what is held here, which tells it.
    pub fn require_comparison(&self, disk: u64) {
        self.sessions.borrow_mut().remove(&disk);
    }

    /// Recovered messages that other stores were given too run here once these leave them, or don't answer.
    pub async fn accept_raced(self: Rc<Self>, raced: Vec<Message>) {
        if raced.is_empty() {
            return;
        }
        // Where the others are has to be known first.
        while !self.acts_by_a_view() {
            runtime::sleep(PAUSE).await;
        }
        log::info!("{} recovered messages may be at other stores too", raced.len());
        for message in raced {
            self.taking.set(self.taking.get() + 1);
            runtime::spawn(self.clone().accept(message));
        }
        self.needs_repair.set(true);
    }

    /// Another store has taken a message: it isn't run here, nor taken if it comes yet. False if it has begun. It is kept
    /// until the other says that it still has it: a request that was long on its way may come from a store that has left
    /// the message to a third one since, or to this one.
    pub fn leave_one(self: &Rc<Self>, id: &str, to: u64) -> bool {
        let has_begun = |owned: &OwnedMessage| matches!(owned.stage(), Some(Stage::Running) | None);
        let began = self.queue.borrow().owned(id).is_some_and(has_begun);
        let promised = self.promised.borrow().get(id).is_some_and(|promised| promised.to.contains(&to));
        if began || promised {
            return false;
        }
        if self.queue.borrow().owned(id).is_none() {
            self.not_wanted.borrow_mut().insert(id.to_string(), self.clock.ms());
            return true;
        }
        let is_first = {
            let mut asked_for = self.asked_for.borrow_mut();
            let askers = asked_for.entry(id.to_string()).or_default();
            askers.insert(to);
            askers.len() == 1
        };
        if is_first {
            runtime::spawn(self.clone().leave_once_confirmed(id.to_string()));
        }
        true
    }

    /// Whether other stores have asked for a message and none has confirmed yet that it has it: it doesn't run meanwhile.
    pub fn is_asked_for(&self, id: &str) -> bool {
        self.asked_for.borrow().contains_key(id)
    }

    /// Leaves a message to a store that asked for it once that one, or its heir, says that it has it; keeps it if all of
    /// them say that they don't.
    async fn leave_once_confirmed(self: Rc<Self>, id: String) {
        let mut denied: BTreeSet<u64> = BTreeSet::new();
        loop {
            let askers = self.asked_for.borrow().get(&id).cloned().unwrap_or_default();
            let Some(asker) = askers.into_iter().find(|asker| !denied.contains(asker)) else { break };
            match self.ask_whether_owned(&id, asker).await {
                Some(true) => {
                    self.leave_to_others(vec![id.clone()], LeftBecause::Asked(asker));
                    break;
                }
                Some(false) => drop(denied.insert(asker)),
                None => runtime::sleep(PAUSE).await,
            }
        }
        self.asked_for.borrow_mut().remove(&id);
        self.work.notify();
    }

    /// Whether a store, or its heir, owns a message; nothing if it doesn't answer.
    async fn ask_whether_owned(&self, id: &str, disk: u64) -> Option<bool> {
        let view = self.known.stores();
        let Some(owner) = view.final_heir(disk).filter(|owner| *owner != self.disk) else {
            return Some(false);
        };
        let to = SocketAddr::new(view.get(owner)?.ip, self.port);
        let call = Call::Owns { id: id.to_string() };
        self.peers.call::<Call, bool>(to, &call, LEAVE).await.ok()
    }

    /// Messages that this store has taken and that another one was given before, which leaves them here once it hears so.
    /// From then on a request by that one to leave them is an old one.
    pub(super) fn promise_taken(&self, owner: u64) -> Vec<String> {
        let mut taken = self.queue.borrow().accepted_also_sent_to(owner);
        taken.retain(|id| !self.is_asked_for(id));
        let (mut promised, now) = (self.promised.borrow_mut(), self.clock.ms());
        for id in &taken {
            let promise = promised.entry(id.clone()).or_default();
            promise.to.insert(owner);
            promise.at = now;
        }
        taken
    }

    /// A message was left to another store.
    pub fn has_left(&self, id: &str) -> bool {
        self.not_wanted.borrow().contains_key(id)
    }

    /// Messages that others took, because this store gave no clear answer, and that haven't begun here.
    pub fn leave_to_others(&self, taken: Vec<String>, why: LeftBecause) {
        let mut left: Vec<String> = Vec::new();
        for id in taken {
            let entry = Entry::Dropped { owner: self.disk, id: id.clone() };
            let holders = self.holders(&id);
            if self.queue.borrow_mut().relinquish(&id) {
                self.log.note(&entry);
                self.tell(&holders, &entry);
                self.not_wanted.borrow_mut().insert(id.clone(), self.clock.ms());
                left.push(id);
            }
        }
        if !left.is_empty() {
            log::info!("left to stores that took them meanwhile ({why}): {}", some_of(&left));
        }
    }
}
