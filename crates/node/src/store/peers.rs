//! What other members ask of a store. Every answer is bounded: lists and messages go out piece by piece.
use super::{encode, Store};
use crate::calls::{Call, Found, HeldFor, OwedPiece, Piece};
use crate::process;
use queue::custody::{self, Ids};
use queue::{End, Entry, Given, Message, Owed};
use std::net::IpAddr;
use std::rc::Rc;

/// Bytes of bodies in one answer, about; one message at least.
pub const PIECE_BYTES: usize = 512 * 1024;
/// Ids in one answer.
pub const IDS_AT_ONCE: usize = 10_000;
/// Call-backs in one answer.
const OWED_AT_ONCE: usize = 1_000;

/// As many of some messages as fit one answer; at least one, if there is any.
pub fn piece(messages: impl Iterator<Item = Given>) -> Piece {
    let mut piece = Piece::default();
    let mut bytes = 0;
    for given in messages {
        if bytes >= PIECE_BYTES {
            piece.more = true;
            break;
        }
        bytes += given.message.body.len() + 256;
        piece.given.push(given);
    }
    piece
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
            Call::Claim { lost } => encode(&self.claim(lost).await),
            Call::Inherit { lost, after } => encode(&self.inherit(lost, &after)),
            Call::InheritOwed { lost, after } => encode(&self.inherit_owed(lost, &after)),
            Call::Claimed { lost } => encode(&self.claimed(lost)),
            Call::Leaving { disk } => encode(&self.peer_leaves(disk)),
            Call::Lacking { owner, live, ended } => {
                encode(&custody::lacking_of(&self.queue.borrow(), owner, &Ids { live, ended }))
            }
            Call::Preserve { owner, given, ends } => encode(&self.preserve_for(owner, given, ends).await),
            Call::Decided { ids } => encode(&custody::decided(&self.queue.borrow(), ids)),
            Call::HandBack { owner, given, anyway } => encode(&self.take_back(owner, given, anyway).await),
            Call::Leave { id } => encode(&self.leave_one(&id)),
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
        self.absences.borrow_mut().heard(owner, self.clock.ms());
        if self.is_refused(owner) || self.absences.borrow().must_reconcile(owner) {
            return false;
        }
        if self.sessions.borrow().get(&owner) != Some(&session) {
            log::info!("records of disk {owner:016x} come behind its last comparison: refused");
            return false;
        }
        let is_message = |entry: &Entry| matches!(entry, Entry::Message { .. });
        if self.closing.get() || (self.paused.get() && entries.iter().any(is_message)) {
            return false;
        }
        let entries = self.finish_own(entries);
        let (kept, must_last) = custody::keep(&mut self.queue.borrow_mut(), owner, entries);
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
            match entry {
                Entry::Ended(end) if self.queue.borrow().owned(&end.id).is_some() => self.finish(end),
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
        absences.heard(owner, self.clock.ms());
        let queue = self.queue.borrow();
        let mut ids = queue.kept_after(owner, after).into_iter().cloned();
        let copies: Vec<String> = ids.by_ref().take(IDS_AT_ONCE).collect();
        let more = ids.next().is_some();
        if !more {
            absences.reconciled(owner);
        }
        let taken = if after.is_empty() { queue.taken_from(owner) } else { Vec::new() };
        Some(HeldFor { copies, more, taken, leaving: self.leaving.get() })
    }

    /// Copies by their ids, as many of the first as fit, and how many ids that answers.
    pub(super) fn fetch(&self, ids: &[String]) -> (Vec<Given>, u64) {
        let queue = self.queue.borrow();
        let piece = piece(ids.iter().filter_map(|id| queue.copy(id)).map(Given::from));
        let last = piece.given.last().map(|given| &given.message.id);
        let asked = match piece.more {
            true => ids.iter().position(|id| Some(id) == last).map_or(ids.len(), |at| at + 1),
            false => ids.len(),
        };
        (piece.given, asked as u64)
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
        queue.fenced().contains(&lost).then(|| piece(queue.copies_after(lost, after).map(Given::from)))
    }

    /// A piece of the call-backs that a lost store may owe, once nothing more comes from it.
    pub(super) fn inherit_owed(&self, lost: u64, after: &str) -> Option<OwedPiece> {
        let queue = self.queue.borrow();
        if !queue.fenced().contains(&lost) {
            return None;
        }
        let mut all = queue.owed_after(lost, after);
        let take =
            |(message, end): (&Rc<Message>, &End)| Owed { message: (**message).clone(), end: end.clone() };
        let owed = all.by_ref().take(OWED_AT_ONCE).map(take).collect();
        Some(OwedPiece { owed, more: all.next().is_some() })
    }

    fn claimed(&self, lost: u64) -> bool {
        if self.closing.get() {
            return false;
        }
        let mut queue = self.queue.borrow_mut();
        let ids: Vec<String> = queue.copies_of(lost).map(|copy| copy.message.id.clone()).collect();
        for id in ids {
            queue.drop_copy_of(lost, &id);
            self.log.note(&Entry::Dropped { owner: lost, id });
        }
        let owed: Vec<String> = queue.owed_after(lost, "").map(|(_, end)| end.id.clone()).collect();
        for id in owed {
            queue.drop_copy_of(lost, &id);
            self.log.note(&Entry::Dropped { owner: lost, id });
        }
        true
    }

    fn find(&self, id: &str, body: bool) -> Found {
        let queue = self.queue.borrow();
        let message =
            queue.owned(id).map(|known| &known.message).or(queue.copy(id).map(|copy| &copy.message));
        let end = queue.end_of(id).cloned();
        let completed = matches!(&end, Some(end) if end.outcome != queue::Outcome::DeadLetter);
        let body = message.filter(|_| body && !completed).map(|message| message.body.clone());
        Found { known: message.is_some(), end, body }
    }

    fn status(&self) -> String {
        let (waiting, running, ended, copies) = self.queue.borrow().counts();
        let oldest = self.queue.borrow().oldest().map(|at| process::wall_ms().saturating_sub(at));
        let status = serde_json::json!({
            "node": self.settings.node_name, "disk": format!("{:016x}", self.disk),
            "version": self.known.version(), "stores": self.known.stores().epoch,
            "waiting": waiting, "running": running, "ended": ended, "copies": copies,
            "oldest_ms": oldest, "backlog": self.backlog(), "free_ring": self.log.free_share(),
            "taking_over": self.inheriting.borrow().len(),
            "endpoints": self.endpoints.borrow().show(),
        });
        status.to_string()
    }
}
