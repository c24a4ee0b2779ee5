//! What other members ask of a store. Every answer is bounded: lists and messages go out piece by piece.
use super::{encode, Store};
use crate::calls::{Call, EndedPiece, Found, HeldFor, Holder, Piece};
use crate::process;
use crate::traffic;
use queue::replication;
use queue::{Entry, FinalRecord, FinishedTransfer, MessageTransfer, Queue};
use std::net::IpAddr;
use std::rc::Rc;

/// Bytes of bodies in one answer, about; one message at least.
pub const PIECE_BYTES: usize = 512 * 1024;
/// Ids in one answer.
pub const IDS_AT_ONCE: usize = 10_000;
/// What a message takes besides its body, about.
const ENVELOPE_BYTES: usize = 256;

/// As many of some messages as fit one answer, at least one if there is any, and whether there are more.
pub fn piece<T>(messages: impl Iterator<Item = T>, body_bytes: impl Fn(&T) -> usize) -> (Vec<T>, bool) {
    let mut piece = Vec::new();
    let mut bytes = 0;
    for message in messages {
        if bytes >= PIECE_BYTES {
            return (piece, true);
        }
        bytes += body_bytes(&message) + ENVELOPE_BYTES;
        piece.push(message);
    }
    (piece, false)
}

/// Whose message it is, where its envelope is here.
fn holder(queue: &Queue, id: &str) -> Holder {
    let owned = queue.owned(id).map(|owned| owned.envelope().clone());
    let live = || queue.message(id).map(|message| message.envelope.clone());
    let ended = || queue.finished_replica(id).map(|(_, given)| given.finished.envelope().clone());
    match owned.or_else(live).or_else(ended).map(|envelope| envelope.tenant.clone()) {
        Some(Some(tenant)) => Holder::Tenant(tenant),
        Some(None) => Holder::Nobody,
        None => Holder::Untold,
    }
}

/// Messages that have not ended, as many as fit one answer.
pub fn live_piece(messages: impl Iterator<Item = MessageTransfer>) -> Piece {
    let (given, more) = piece(messages, |given| given.message.body.len());
    Piece { given, more }
}

/// Messages that have ended, as many as fit one answer.
pub fn ended_piece(messages: impl Iterator<Item = FinishedTransfer>) -> EndedPiece {
    let (given, more) = piece(messages, |given| given.finished.body_bytes());
    EndedPiece { given, more }
}

impl Store {
    /// Answers one call.
    pub async fn answer(self: Rc<Self>, _from: IpAddr, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(call) = borsh::from_slice::<Call>(&bytes) else { return Vec::new() };
        match call {
            Call::Put(message) => encode(&self.put(message).await),
            Call::Replicate { owner, to, session, entries } => {
                encode(&(to == self.disk && self.keep(owner, session, entries).await))
            }
            Call::Held { owner, to, session, after } => encode(&self.held(owner, to, session, &after)),
            Call::Fetch { ids } => encode(&self.fetch(&ids)),
            Call::Ends { ids } => encode(&self.ends(&ids)),
            Call::Claim { lost } => encode(&self.claim(lost).await),
            Call::Inherit { lost, after } => encode(&self.inherit(lost, &after)),
            Call::InheritEnded { lost, after } => encode(&self.inherit_ended(lost, &after)),
            Call::Claimed { lost } => encode(&self.claimed(lost)),
            Call::Leaving { disk } => encode(&self.peer_leaves(disk)),
            Call::Lacking { owner, ids } => {
                encode(&replication::missing_ids(&self.queue.borrow(), owner, &ids))
            }
            Call::Preserve { owner, preserved } => encode(&self.preserve_for(owner, preserved).await),
            Call::Decided { ids } => encode(&replication::accepted_or_finished(&self.queue.borrow(), ids)),
            Call::HandBack { owner, given, anyway } => encode(&self.take_back(owner, given, anyway).await),
            Call::HandBackEnded { owner, given } => encode(&self.take_back_ended(owner, given).await),
            Call::Leave { id, to } => encode(&self.leave_one(&id, to)),
            Call::Owns { id } => encode(&self.queue.borrow().owned(&id).is_some()),
            Call::Lend { service, permits } => encode(&self.lend(&service, permits)),
            Call::Count(request) => encode(&self.count_for(request)),
            Call::Ping => encode(&true),
            Call::Find { id, body } => encode(&self.find(&id, body)),
            Call::Status => encode(&self.status()),
            Call::Watch(..) | Call::Group(_) => Vec::new(),
        }
    }

    /// Nothing is kept for it: it isn't a store any more, or was given up.
    pub(super) fn is_refused(&self, owner: u64) -> bool {
        self.known.store(owner).is_none() || self.queue.borrow().fenced().contains(&owner)
    }

    /// Keeps what another store says of its messages; false if that isn't a store any more, or has first to hear what
    /// is kept here for it. A store that is about to stop keeps no more messages, but ends of those that it has.
    async fn keep(self: &Rc<Self>, owner: u64, session: u64, entries: Vec<Entry>) -> bool {
        self.absences.borrow_mut().record_call(owner, self.clock.ms());
        if self.is_refused(owner) || self.absences.borrow().must_reconcile(owner) {
            return false;
        }
        if self.sessions.borrow().get(&owner) != Some(&session) {
            log::info!("records of disk {owner:016x} come behind its last comparison: refused");
            return false;
        }
        if self.closing.get() || (self.paused.get() && entries.iter().any(Entry::has_message)) {
            return false;
        }
        let entries = self.finish_own(entries);
        let (kept, must_last) =
            replication::apply_owner_entries(&mut self.queue.borrow_mut(), owner, entries);
        if must_last {
            return self.log.write(&kept).await;
        }
        kept.iter().for_each(|entry| self.log.note(entry));
        true
    }

    /// Ends of messages that are owned here too, because an edge gave them to both stores: those that hold copies for this
    /// one have to hear of them. Leaves the other records.
    fn finish_own(self: &Rc<Self>, entries: Vec<Entry>) -> Vec<Entry> {
        let mut others = Vec::new();
        for entry in entries {
            let owned = entry.id().is_some_and(|id| self.queue.borrow().owned(id).is_some());
            match entry {
                Entry::Finished(end) if owned => self.finish(end),
                Entry::FinishedMessage { owner, transfer } if owned => {
                    self.finish(transfer.finished.final_record());
                    others.push(Entry::FinishedMessage { owner, transfer });
                }
                other => others.push(other),
            }
        }
        others
    }

    /// A piece of what is here of an owner's messages; nothing if that isn't known as a store.
    fn held(&self, owner: u64, to: u64, session: u64, after: &str) -> Option<HeldFor> {
        if to != self.disk || self.is_refused(owner) {
            return None;
        }
        // What was sent before is not taken from here on: it would come in behind what is told now.
        if after.is_empty() {
            self.sessions.borrow_mut().insert(owner, session);
        } else if self.sessions.borrow().get(&owner) != Some(&session) {
            return None;
        }
        let mut absences = self.absences.borrow_mut();
        absences.record_call(owner, self.clock.ms());
        let queue = self.queue.borrow();
        let (held, more) = queue.held_for(owner).page_after(after, IDS_AT_ONCE);
        if !more {
            absences.mark_reconciled(owner);
        }
        let taken = if after.is_empty() { self.promise_taken(owner) } else { Vec::new() };
        Some(HeldFor { held, more, taken, leaving: self.leaving.get() })
    }

    /// Copies by their ids, as many of the first as fit, and how many ids that answers.
    pub(super) fn fetch(&self, ids: &[String]) -> (Vec<MessageTransfer>, u64) {
        let queue = self.queue.borrow();
        let Piece { given, more } =
            live_piece(ids.iter().filter_map(|id| queue.replica(id)).map(MessageTransfer::from));
        let last = given.last().map(|given| given.message.id());
        let asked = match more {
            true => ids.iter().position(|id| Some(id.as_str()) == last).map_or(ids.len(), |at| at + 1),
            false => ids.len(),
        };
        (given, asked as u64)
    }

    /// Nothing of a lost store is kept from now on, after a restart neither; false if that can't be said.
    pub(super) async fn claim(&self, lost: u64) -> bool {
        if self.closing.get() {
            return false;
        }
        let known = self.queue.borrow().fenced().contains(&lost);
        self.queue.borrow_mut().fence(lost);
        let fence = [Entry::Fenced { disk: lost }];
        self.log.write(if known { &[] } else { &fence }).await
    }

    /// A piece of the copies that are kept of a lost store, once nothing more comes from it.
    pub(super) fn inherit(&self, lost: u64, after: &str) -> Option<Piece> {
        let queue = self.queue.borrow();
        queue
            .fenced()
            .contains(&lost)
            .then(|| live_piece(queue.replicas_after(lost, after).map(MessageTransfer::from)))
    }

    /// A piece of what is kept of a lost store's messages that have ended, once nothing more comes from it.
    pub(super) fn inherit_ended(&self, lost: u64, after: &str) -> Option<EndedPiece> {
        let queue = self.queue.borrow();
        queue.fenced().contains(&lost).then(|| ended_piece(queue.finished_after(lost, after)))
    }

    fn claimed(&self, lost: u64) -> bool {
        if self.closing.get() {
            return false;
        }
        let mut queue = self.queue.borrow_mut();
        let live = queue.replicas_of(lost).map(|replica| replica.message.id().to_string());
        let ended = queue.finished_after(lost, "").map(|given| given.finished.id().to_string());
        let ids: Vec<String> = live.chain(ended).collect();
        for id in ids {
            queue.drop_replica(lost, &id);
            self.log.note(&Entry::Dropped { owner: lost, id });
        }
        true
    }

    fn find(&self, id: &str, body: bool) -> Found {
        let queue = self.queue.borrow();
        let message = queue.message(id);
        let body = message.filter(|_| body).and_then(|message| self.sound_body(message));
        let known = queue.owned(id).is_some() || message.is_some();
        Found { known, holder: holder(&queue, id), end: queue.final_record_of(id), body }
    }

    /// Those of some messages' ends that are known here.
    pub(super) fn ends(&self, ids: &[String]) -> Vec<FinalRecord> {
        let queue = self.queue.borrow();
        ids.iter().filter_map(|id| queue.final_record_of(id)).collect()
    }

    fn status(&self) -> String {
        let queue::Counts { waiting, running, finished, replicas } = self.queue.borrow().counts();
        let oldest = self.queue.borrow().oldest_received_at().map(|at| process::wall_ms().saturating_sub(at));
        let status = serde_json::json!({
            "node": self.settings.node_name, "disk": format!("{:016x}", self.disk),
            "version": self.known.version(), "stores": self.known.stores().epoch,
            "waiting": waiting, "running": running, "ended": finished, "copies": replicas,
            "oldest_ms": oldest, "backlog": self.backlog(), "free_ring": self.log.free_share(),
            "taking_over": self.inheriting.borrow().len(),
            "operations": self.reservations.counts().as_json(),
            "zone": self.location.zone, "region": self.location.region,
            "tolerance_unmet": self.unmet_tolerance(), "traffic": traffic::as_json(&self.traffic()),
            "endpoints": self.endpoints.borrow().show(),
            "tenants_near_limits": self.tenants_near_limits(),
        });
        status.to_string()
    }
}
