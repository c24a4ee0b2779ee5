//! Answers the calls of other members. The size of every answer is bounded: lists and messages are sent in
//! batches.
use super::{encode, Store};
use crate::calls::{Call, EndedPiece, Found, HeldFor, Holder, Piece};
use crate::process;
use crate::traffic;
use queue::replication;
use queue::{Entry, FinalRecord, FinishedTransfer, MessageTransfer, Queue};
use std::net::IpAddr;
use std::rc::Rc;

/// Approximate size of the bodies in one answer, which has at least one message.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Ids in one answer.
pub const MAX_IDS_PER_CALL: usize = 10_000;
/// Approximate size of a message without its body.
const ENVELOPE_BYTES: usize = 256;

/// Takes as many messages as fit one answer, at least one; also returns whether there are more.
pub fn take_batch<T>(messages: impl Iterator<Item = T>, body_bytes: impl Fn(&T) -> usize) -> (Vec<T>, bool) {
    let mut batch = Vec::new();
    let mut bytes = 0;
    for message in messages {
        if bytes >= MAX_BATCH_BYTES {
            return (batch, true);
        }
        bytes += body_bytes(&message) + ENVELOPE_BYTES;
        batch.push(message);
    }
    (batch, false)
}

/// The tenant of a message, if its envelope is here.
fn tenant_of(queue: &Queue, id: &str) -> Holder {
    let owned = queue.owned(id).map(|owned| owned.envelope().clone());
    let live = || queue.message(id).map(|message| message.envelope.clone());
    let finished = || queue.finished_replica(id).map(|(_, given)| given.finished.envelope().clone());
    match owned.or_else(live).or_else(finished).map(|envelope| envelope.tenant.clone()) {
        Some(Some(tenant)) => Holder::Tenant(tenant),
        Some(None) => Holder::Nobody,
        None => Holder::Untold,
    }
}

/// As many unfinished messages as fit one answer.
pub fn message_batch(messages: impl Iterator<Item = MessageTransfer>) -> Piece {
    let (given, more) = take_batch(messages, |given| given.message.body.len());
    Piece { given, more }
}

/// As many finished messages as fit one answer.
pub fn finished_batch(messages: impl Iterator<Item = FinishedTransfer>) -> EndedPiece {
    let (given, more) = take_batch(messages, |given| given.finished.body_bytes());
    EndedPiece { given, more }
}

impl Store {
    /// Answers one call.
    pub async fn answer(self: Rc<Self>, _from: IpAddr, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(call) = borsh::from_slice::<Call>(&bytes) else { return Vec::new() };
        match call {
            Call::Put(message) => encode(&self.put(message).await),
            Call::Replicate { owner, to, session, entries } => {
                encode(&(to == self.disk && self.keep_records(owner, session, entries).await))
            }
            Call::Held { owner, to, session, after } => encode(&self.report_held(owner, to, session, &after)),
            Call::Fetch { ids } => encode(&self.copies_by_id(&ids)),
            Call::Ends { ids } => encode(&self.final_records(&ids)),
            Call::Claim { lost } => encode(&self.claim(lost).await),
            Call::Inherit { lost, after } => encode(&self.takeover_piece(lost, &after)),
            Call::InheritEnded { lost, after } => encode(&self.finished_takeover_piece(lost, &after)),
            Call::Claimed { lost } => encode(&self.release_lost_copies(lost)),
            Call::Leaving { disk } => encode(&self.on_peer_departure(disk)),
            Call::Lacking { owner, ids } => {
                encode(&replication::missing_ids(&self.queue.borrow(), owner, &ids))
            }
            Call::Preserve { owner, preserved } => encode(&self.preserve_for(owner, preserved).await),
            Call::Decided { ids } => encode(&replication::accepted_or_finished(&self.queue.borrow(), ids)),
            Call::HandBack { owner, given, anyway } => {
                encode(&self.accept_hand_back(owner, given, anyway).await)
            }
            Call::HandBackEnded { owner, given } => {
                encode(&self.accept_finished_hand_back(owner, given).await)
            }
            Call::Leave { id, to } => encode(&self.on_relinquish_request(&id, to)),
            Call::Owns { id } => encode(&self.queue.borrow().owned(&id).is_some()),
            Call::Lend { service, permits } => encode(&self.lend(&service, permits)),
            Call::Count(request) => encode(&self.count_for_peer(request)),
            Call::Ping => encode(&true),
            Call::Find { id, body } => encode(&self.find_message(&id, body)),
            Call::Status => encode(&self.status()),
            Call::Watch(..) | Call::Group(_) => Vec::new(),
        }
    }

    /// Whether records of a store are refused because it was declared lost or its takeover has begun.
    pub(super) fn is_refused(&self, owner: u64) -> bool {
        self.cluster.store(owner).is_none() || self.queue.borrow().fenced().contains(&owner)
    }

    /// Stores another store's records of its messages. Refused if that store was declared lost, must
    /// reconcile first, or sends in an outdated session. A store that is about to stop accepts no more
    /// messages, but still the final records of those that it has.
    async fn keep_records(self: &Rc<Self>, owner: u64, session: u64, entries: Vec<Entry>) -> bool {
        self.absences.borrow_mut().record_call(owner, self.clock.ms());
        if self.is_refused(owner) || self.absences.borrow().must_reconcile(owner) {
            return false;
        }
        if self.sessions.borrow().get(&owner) != Some(&session) {
            log::info!("refused records of disk {owner:016x}: they are not of its current session");
            return false;
        }
        if self.log_closed.get() || (self.paused.get() && entries.iter().any(Entry::has_message)) {
            return false;
        }
        let entries = self.finish_own(entries);
        let (kept, must_be_durable) =
            replication::apply_owner_entries(&mut self.queue.borrow_mut(), owner, entries);
        if must_be_durable {
            return self.log.write(&kept).await;
        }
        kept.iter().for_each(|entry| self.log.write_later(entry));
        true
    }

    /// Finishes messages that are owned here too because an edge sent them to both stores: the holders of
    /// this store's copies must learn it as well. Returns the remaining records.
    fn finish_own(self: &Rc<Self>, entries: Vec<Entry>) -> Vec<Entry> {
        let mut others = Vec::new();
        for entry in entries {
            let owned = entry.id().is_some_and(|id| self.queue.borrow().owned(id).is_some());
            match entry {
                Entry::Finished(record) if owned => self.finish(record),
                Entry::FinishedMessage { owner, transfer } if owned => {
                    self.finish(transfer.finished.final_record());
                    others.push(Entry::FinishedMessage { owner, transfer });
                }
                other => others.push(other),
            }
        }
        others
    }

    /// A batch of what is held here for an owner; none if the owner isn't a store.
    fn report_held(&self, owner: u64, to: u64, session: u64, after: &str) -> Option<HeldFor> {
        if to != self.disk || self.is_refused(owner) {
            return None;
        }
        // Records of earlier sessions are refused from here on: they would arrive after this report.
        if after.is_empty() {
            self.sessions.borrow_mut().insert(owner, session);
        } else if self.sessions.borrow().get(&owner) != Some(&session) {
            return None;
        }
        let mut absences = self.absences.borrow_mut();
        absences.record_call(owner, self.clock.ms());
        let queue = self.queue.borrow();
        let (held, more) = queue.held_for(owner).page_after(after, MAX_IDS_PER_CALL);
        if !more {
            absences.mark_reconciled(owner);
        }
        let taken = if after.is_empty() { self.announce_accepted(owner) } else { Vec::new() };
        Some(HeldFor { held, more, taken, leaving: self.draining.get() })
    }

    /// Copies by id, as many as fit one answer, and the number of ids that the answer covers.
    pub(super) fn copies_by_id(&self, ids: &[String]) -> (Vec<MessageTransfer>, u64) {
        let queue = self.queue.borrow();
        let Piece { given, more } =
            message_batch(ids.iter().filter_map(|id| queue.replica(id)).map(MessageTransfer::from));
        let last = given.last().map(|given| given.message.id());
        let processed = match more {
            true => ids.iter().position(|id| Some(id.as_str()) == last).map_or(ids.len(), |at| at + 1),
            false => ids.len(),
        };
        (given, processed as u64)
    }

    /// Stops accepting records of a lost store, durably; false if that fails.
    pub(super) async fn claim(&self, lost: u64) -> bool {
        if self.log_closed.get() {
            return false;
        }
        let known = self.queue.borrow().fenced().contains(&lost);
        self.queue.borrow_mut().fence(lost);
        let fence_record = [Entry::Fenced { disk: lost }];
        self.log.write(if known { &[] } else { &fence_record }).await
    }

    /// A batch of the copies held for a lost store, once its records are refused.
    pub(super) fn takeover_piece(&self, lost: u64, after: &str) -> Option<Piece> {
        let queue = self.queue.borrow();
        queue
            .fenced()
            .contains(&lost)
            .then(|| message_batch(queue.replicas_after(lost, after).map(MessageTransfer::from)))
    }

    /// A batch of the finished messages held for a lost store, once its records are refused.
    pub(super) fn finished_takeover_piece(&self, lost: u64, after: &str) -> Option<EndedPiece> {
        let queue = self.queue.borrow();
        queue.fenced().contains(&lost).then(|| finished_batch(queue.finished_after(lost, after)))
    }

    fn release_lost_copies(&self, lost: u64) -> bool {
        if self.log_closed.get() {
            return false;
        }
        let mut queue = self.queue.borrow_mut();
        let live = queue.replicas_of(lost).map(|replica| replica.message.id().to_string());
        let finished = queue.finished_after(lost, "").map(|given| given.finished.id().to_string());
        let ids: Vec<String> = live.chain(finished).collect();
        for id in ids {
            queue.drop_replica(lost, &id);
            self.log.write_later(&Entry::Dropped { owner: lost, id });
        }
        true
    }

    fn find_message(&self, id: &str, body: bool) -> Found {
        let queue = self.queue.borrow();
        let message = queue.message(id);
        let body = message.filter(|_| body).and_then(|message| self.sound_body(message));
        let known = queue.owned(id).is_some() || message.is_some();
        Found { known, holder: tenant_of(&queue, id), end: queue.final_record_of(id), body }
    }

    /// Final records that are known here for some messages.
    pub(super) fn final_records(&self, ids: &[String]) -> Vec<FinalRecord> {
        let queue = self.queue.borrow();
        ids.iter().filter_map(|id| queue.final_record_of(id)).collect()
    }

    fn status(&self) -> String {
        let queue::Counts { waiting, running, finished, replicas } = self.queue.borrow().counts();
        let oldest = self.queue.borrow().oldest_received_at().map(|at| process::wall_ms().saturating_sub(at));
        let status = serde_json::json!({
            "node": self.settings.node_name, "disk": format!("{:016x}", self.disk),
            "version": self.cluster.version(), "stores": self.cluster.stores().epoch,
            "waiting": waiting, "running": running, "ended": finished, "copies": replicas,
            "oldest_ms": oldest, "backlog": self.backlog(), "free_ring": self.log.free_share(),
            "released_files": self.log.released_files(), "relinquished": self.queue.borrow().relinquished_count(),
            "taking_over": self.takeovers.borrow().len(),
            "operations": self.reservations.counts().as_json(),
            "zone": self.location.zone, "region": self.location.region,
            "tolerance_unmet": self.unmet_tolerance(), "traffic": traffic::as_json(&self.traffic()),
            "endpoints": self.endpoints.borrow().status_json(), "stray_answers": self.client.strays(),
            "tenants_near_limits": self.tenants_near_limits(),
        });
        status.to_string()
    }
}
