//! Messages that an edge sent to several stores because the first ones were slow to answer: exactly one of
//! them delivers each message.
use super::{summarize_ids, Store};
use crate::calls::Call;
use net::runtime;
use queue::{Entry, Message, OwnedMessage, Stage};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for asking another store to relinquish a message.
const RELINQUISH_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a store is asked again, or the view is checked again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A report to other stores that a message was accepted here. It holds until this store relinquishes the message.
#[derive(Debug, Default)]
pub struct AcceptanceNotice {
    to: BTreeSet<u64>,
    /// Time of the last report.
    pub(super) at: u64,
}

/// Result of asking other stores to relinquish a message.
#[derive(Debug)]
pub enum RelinquishResponse {
    /// They relinquish it, except for the unavailable ones in `unanswered`.
    Relinquished { unanswered: Vec<u64> },
    /// One of them has started to deliver it.
    Started,
}

/// Why a message is relinquished to another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelinquishReason {
    /// The store with this disk reported it as accepted when asked for what it holds.
    AcceptedAt(u64),
    /// The store with this disk accepted it and asked for it.
    RequestedBy(u64),
    /// Another store has started to deliver it.
    StartedElsewhere,
    /// Another message of the same operation takes precedence.
    Superseded,
}

impl std::fmt::Display for RelinquishReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RelinquishReason::AcceptedAt(disk) => write!(f, "accepted at disk {disk:016x}"),
            RelinquishReason::RequestedBy(disk) => write!(f, "requested by disk {disk:016x}"),
            RelinquishReason::Superseded => f.write_str("another message of the operation takes precedence"),
            RelinquishReason::StartedElsewhere => f.write_str("delivery started elsewhere"),
        }
    }
}

impl Store {
    /// Asks the stores that received a message before this one, or their successors, to relinquish it.
    pub async fn request_relinquish(&self, message: &Message) -> RelinquishResponse {
        let view = self.cluster.stores();
        let owners = message.envelope.also_sent_to.iter().filter_map(|disk| view.final_successor(*disk));
        let others: BTreeSet<u64> = owners.filter(|disk| *disk != self.disk).collect();
        let mut unanswered = Vec::new();
        for disk in others {
            match self.request_relinquish_from(message.id(), disk).await {
                Some(true) => {}
                Some(false) => return RelinquishResponse::Started,
                None => unanswered.push(disk),
            }
        }
        RelinquishResponse::Relinquished { unanswered }
    }

    /// Asks one store until it answers; none if the store is unavailable.
    async fn request_relinquish_from(&self, id: &str, disk: u64) -> Option<bool> {
        let call = Call::Leave { id: id.to_string(), to: self.disk };
        while let Some(other) = self.cluster.store(disk) {
            let to = SocketAddr::new(other.ip, self.port);
            if let Ok(relinquishes) = self.peers.call::<Call, bool>(to, &call, RELINQUISH_TIMEOUT).await {
                return Some(relinquishes);
            }
            if self.is_unavailable(disk, runtime::now()) {
                log::debug!("{id}: disk {disk:016x} is unavailable and can't confirm the relinquish request");
                return None;
            }
            runtime::sleep(RETRY_DELAY).await;
        }
        Some(true)
    }

    /// Requires a store that didn't answer to reconcile with this one. It may hold the message without
    /// knowing that it was accepted here, say after a pause of its process or a lost answer. Its records
    /// are refused until it has asked what is held here, and that report lists the message.
    pub fn require_reconciliation(&self, disk: u64) {
        self.sessions.borrow_mut().remove(&disk);
    }

    /// Releases recovered messages that were also sent to other stores, once those relinquish them or are
    /// unavailable.
    pub async fn activate_recovered(self: Rc<Self>, recovered: Vec<Message>) {
        if recovered.is_empty() {
            return;
        }
        // The other stores can only be asked once a view is known.
        while !self.has_applied_view() {
            runtime::sleep(RETRY_DELAY).await;
        }
        log::info!("{} recovered messages may also have been sent to other stores", recovered.len());
        for message in recovered {
            self.pending_accepts.set(self.pending_accepts.get() + 1);
            runtime::spawn(self.clone().activate(message));
        }
        self.needs_repair.set(true);
    }

    /// Handles a request to relinquish a message to the store `to`, which has accepted it; false if
    /// delivery has started here, or if `to` was told that the message was accepted here: the request is then
    /// outdated. The message isn't delivered here meanwhile, but is kept until the requester confirms that it
    /// still owns it: a delayed request may come from a store that has since relinquished the message itself,
    /// to a third store or to this one.
    pub fn on_relinquish_request(self: &Rc<Self>, id: &str, to: u64) -> bool {
        let has_started = |owned: &OwnedMessage| matches!(owned.stage(), Some(Stage::Running) | None);
        let started = self.queue.borrow().owned(id).is_some_and(has_started);
        let announced =
            self.acceptance_notices.borrow().get(id).is_some_and(|notice| notice.to.contains(&to));
        if started || announced {
            return false;
        }
        if self.queue.borrow_mut().note_relinquished(id, self.clock.ms()) {
            return true;
        }
        let is_first = {
            let mut relinquish_requests = self.relinquish_requests.borrow_mut();
            let requesters = relinquish_requests.entry(id.to_string()).or_default();
            requesters.insert(to);
            requesters.len() == 1
        };
        if is_first {
            runtime::spawn(self.clone().relinquish_once_confirmed(id.to_string()));
        }
        true
    }

    /// Whether a store has asked for a message and none has confirmed yet that it owns it. The message
    /// isn't delivered meanwhile.
    pub fn has_relinquish_request(&self, id: &str) -> bool {
        self.relinquish_requests.borrow().contains_key(id)
    }

    /// Relinquishes a message once a requester or its successor confirms that it owns it; keeps the message
    /// if all of them deny it.
    async fn relinquish_once_confirmed(self: Rc<Self>, id: String) {
        let mut denied: BTreeSet<u64> = BTreeSet::new();
        loop {
            let requesters = self.relinquish_requests.borrow().get(&id).cloned().unwrap_or_default();
            let Some(requester) = requesters.into_iter().find(|requester| !denied.contains(requester)) else {
                break;
            };
            match self.query_ownership(&id, requester).await {
                Some(true) => {
                    self.relinquish(vec![id.clone()], RelinquishReason::RequestedBy(requester));
                    break;
                }
                Some(false) => drop(denied.insert(requester)),
                None => runtime::sleep(RETRY_DELAY).await,
            }
        }
        self.relinquish_requests.borrow_mut().remove(&id);
        self.delivery_wake.notify();
    }

    /// Asks a store or its successor whether it owns a message; none without an answer.
    async fn query_ownership(&self, id: &str, disk: u64) -> Option<bool> {
        let view = self.cluster.stores();
        let Some(owner) = view.final_successor(disk).filter(|owner| *owner != self.disk) else {
            return Some(false);
        };
        let to = SocketAddr::new(view.get(owner)?.ip, self.port);
        let call = Call::Owns { id: id.to_string() };
        self.peers.call::<Call, bool>(to, &call, RELINQUISH_TIMEOUT).await.ok()
    }

    /// Lists messages that this store accepted and that `owner` received before it; the owner relinquishes
    /// them when it learns this. Any request from the owner to relinquish one of them is outdated from now
    /// on.
    pub(super) fn announce_accepted(&self, owner: u64) -> Vec<String> {
        let mut accepted = self.queue.borrow().accepted_also_sent_to(owner);
        accepted.retain(|id| !self.has_relinquish_request(id));
        let (mut acceptance_notices, now) = (self.acceptance_notices.borrow_mut(), self.clock.ms());
        for id in &accepted {
            let notice = acceptance_notices.entry(id.clone()).or_default();
            notice.to.insert(owner);
            notice.at = now;
        }
        accepted
    }

    /// Whether a message was relinquished to another store and isn't owned here again.
    pub fn has_relinquished(&self, id: &str) -> bool {
        self.queue.borrow().has_relinquished(id)
    }

    /// Relinquishes messages that other stores accepted because this one gave no clear answer, and whose
    /// delivery hasn't started here.
    pub fn relinquish(&self, accepted: Vec<String>, why: RelinquishReason) {
        let mut relinquished: Vec<String> = Vec::new();
        for id in accepted {
            let entry = Entry::Dropped { owner: self.disk, id: id.clone() };
            let holders = self.holders(&id);
            if self.queue.borrow_mut().relinquish(&id, self.clock.ms()) {
                self.acceptance_notices.borrow_mut().remove(&id);
                self.log.write_later(&entry);
                self.send_to(&holders, &entry);
                relinquished.push(id);
            }
        }
        if !relinquished.is_empty() {
            log::info!("relinquished ({why}): {}", summarize_ids(&relinquished));
        }
    }
}
