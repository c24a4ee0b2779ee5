//! What a store keeps for others: replicas of their messages, ends, and what is still owed of messages that have ended.
use crate::ended::{End, EndedMessage};
use crate::entry::{Given, GivenEnded};
use crate::message::Message;
use crate::WallMs;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A message that has not ended, kept for other stores.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Disks of the stores that it is kept for: several, if an edge gave the message to several.
    pub owners: BTreeSet<u64>,
    pub message: Message,
    pub attempts: u32,
}

impl From<&Replica> for Given {
    fn from(replica: &Replica) -> Given {
        Given { message: replica.message.clone(), attempts: replica.attempts }
    }
}

/// What is known here of a message of other stores that has ended.
#[derive(Clone, Debug)]
enum Known {
    /// The end alone: it was heard of without the message, or nothing more is owed of it.
    End(End),
    /// What may still be owed of it: the body of a dead letter, a call-back.
    Message(EndedMessage),
}

/// A message of other stores that has ended.
#[derive(Clone, Debug)]
struct EndedReplica {
    /// Who owned it, as far as that was known here.
    owners: BTreeSet<u64>,
    known: Known,
    /// The call-back about its end was accepted, or nobody is owed one.
    called_back: bool,
}

impl EndedReplica {
    fn end(&self) -> End {
        match &self.known {
            Known::End(end) => end.clone(),
            Known::Message(ended) => ended.end(),
        }
    }

    fn at(&self) -> WallMs {
        match &self.known {
            Known::End(end) => end.at,
            Known::Message(ended) => ended.at(),
        }
    }

    fn message(&self) -> Option<&EndedMessage> {
        match &self.known {
            Known::End(_) => None,
            Known::Message(ended) => Some(ended),
        }
    }

    fn given(&self) -> Option<GivenEnded> {
        Some(GivenEnded { ended: self.message()?.clone(), called_back: self.called_back })
    }

    fn body_bytes(&self) -> usize {
        self.message().map_or(0, EndedMessage::body_bytes)
    }

    /// Keeps of the message only what is still owed.
    fn let_go(&mut self) {
        let is_owed = self.message().is_some_and(EndedMessage::is_owed);
        if self.called_back && !is_owed {
            self.known = Known::End(self.end());
        }
    }
}

/// All that a store keeps for others.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    live: BTreeMap<String, Replica>,
    ended: BTreeMap<String, EndedReplica>,
    /// Bytes of all bodies.
    bytes: usize,
}

impl Replicas {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    pub fn live(&self, id: &str) -> Option<&Replica> {
        self.live.get(id)
    }

    pub fn live_mut(&mut self, id: &str) -> Option<&mut Replica> {
        self.live.get_mut(id)
    }

    /// The message with its body, if that is kept here.
    pub fn message(&self, id: &str) -> Option<&Message> {
        let dead = || self.ended.get(id)?.message()?.dead_letter();
        self.live.get(id).map(|replica| &replica.message).or_else(dead)
    }

    pub fn has_ended(&self, id: &str) -> bool {
        self.ended.contains_key(id)
    }

    pub fn end_of(&self, id: &str) -> Option<End> {
        self.ended.get(id).map(EndedReplica::end)
    }

    /// What is kept of a message that has ended, and for whom.
    pub fn ended(&self, id: &str) -> Option<(&BTreeSet<u64>, GivenEnded)> {
        let replica = self.ended.get(id)?;
        Some((&replica.owners, replica.given()?))
    }

    /// The call-back about an end is known to have been accepted.
    pub fn is_called_back(&self, id: &str) -> bool {
        self.ended.get(id).is_some_and(|replica| replica.called_back)
    }

    /// Keeps a message for its owner. If its end is known, what is new is that this owner may owe something of it.
    pub fn keep(&mut self, owner: u64, message: Message) {
        if let Some(end) = self.end_of(message.id()) {
            let owes_callback = message.envelope.callback.is_some();
            let ended = EndedMessage::new(message, end);
            return self.keep_ended(owner, GivenEnded { ended, called_back: !owes_callback });
        }
        if let Some(replica) = self.live.get_mut(message.id()) {
            replica.owners.insert(owner);
            return;
        }
        self.bytes += message.body.len();
        let (id, owners) = (message.id().to_string(), BTreeSet::from([owner]));
        self.live.insert(id, Replica { owners, message, attempts: 0 });
    }

    /// Keeps a message that has ended for its owner.
    pub fn keep_ended(&mut self, owner: u64, given: GivenEnded) {
        let id = given.ended.id().to_string();
        let called_back = given.called_back || self.is_called_back(&id);
        let mut owners = self.remove(&id);
        owners.insert(owner);
        let ended = given.ended;
        self.put_ended(id, EndedReplica { owners, known: Known::Message(ended), called_back });
    }

    /// A message has ended; false if nothing but that is known of it.
    pub fn end(&mut self, end: End) -> bool {
        let id = end.id.clone();
        match self.take_live(&id) {
            Some(Replica { owners, message, .. }) => {
                let called_back = message.envelope.callback.is_none();
                let known = Known::Message(EndedMessage::new(message, end));
                self.put_ended(id, EndedReplica { owners, known, called_back });
                true
            }
            None => {
                let unknown =
                    EndedReplica { owners: BTreeSet::new(), known: Known::End(end), called_back: false };
                self.ended.entry(id).or_insert(unknown);
                false
            }
        }
    }

    /// Keeps the end of a message of this owner, which is known from a third store.
    pub fn keep_end(&mut self, owner: u64, end: End) {
        let id = end.id.clone();
        self.end(end);
        if let Some(replica) = self.ended.get_mut(&id) {
            replica.owners.insert(owner);
        }
    }

    /// The call-back about an end was accepted.
    pub fn called_back(&mut self, id: &str) {
        if let Some(mut replica) = self.take_ended(id) {
            replica.called_back = true;
            self.put_ended(id.to_string(), replica);
        }
    }

    /// Nothing is kept for this owner any more: what was kept for it alone goes, but for ends.
    pub fn drop_for(&mut self, owner: u64, id: &str) {
        if let Some(mut replica) = self.take_ended(id) {
            let was_last = replica.owners.remove(&owner) && replica.owners.is_empty();
            if was_last {
                replica.known = Known::End(replica.end());
            }
            self.put_ended(id.to_string(), replica);
        }
        let Some(replica) = self.live.get_mut(id) else { return };
        replica.owners.remove(&owner);
        if replica.owners.is_empty() {
            self.take_live(id);
        }
    }

    /// Takes a message away, live or ended; the stores that it was kept for.
    pub fn remove(&mut self, id: &str) -> BTreeSet<u64> {
        let mut owners = self.take_live(id).map_or(BTreeSet::new(), |replica| replica.owners);
        owners.extend(self.take_ended(id).into_iter().flat_map(|replica| replica.owners));
        owners
    }

    /// Replicas of messages of an owner that have not ended, by id, from the first id after one on.
    pub fn live_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Replica> {
        let replicas = self.live.range(rest(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner))
    }

    /// What is kept of an owner's messages that have ended, by id, from the first id after one on.
    pub fn ended_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = GivenEnded> + 'a {
        let replicas = self.ended.range(rest(after)).map(|(_, replica)| replica);
        replicas.filter(move |replica| replica.owners.contains(&owner)).filter_map(EndedReplica::given)
    }

    /// Ends of an owner's messages of which nothing else is kept.
    pub fn bare_ends_of(&self, owner: u64) -> impl Iterator<Item = &End> {
        let of_owner = self.ended.values().filter(move |replica| replica.owners.contains(&owner));
        of_owner.filter_map(|replica| match &replica.known {
            Known::End(end) => Some(end),
            Known::Message(_) => None,
        })
    }

    /// Forgets ends older than a time.
    pub fn forget(&mut self, before: WallMs) {
        let bytes = &mut self.bytes;
        self.ended.retain(|_, replica| {
            let stays = replica.at() >= before;
            if !stays {
                *bytes -= replica.body_bytes();
            }
            stays
        });
    }

    fn take_live(&mut self, id: &str) -> Option<Replica> {
        let replica = self.live.remove(id)?;
        self.bytes -= replica.message.body.len();
        Some(replica)
    }

    fn take_ended(&mut self, id: &str) -> Option<EndedReplica> {
        let replica = self.ended.remove(id)?;
        self.bytes -= replica.body_bytes();
        Some(replica)
    }

    fn put_ended(&mut self, id: String, mut replica: EndedReplica) {
        replica.let_go();
        self.bytes += replica.body_bytes();
        self.ended.insert(id, replica);
    }
}

/// All ids after one.
fn rest(after: &str) -> (Bound<String>, Bound<String>) {
    (Bound::Excluded(after.to_string()), Bound::Unbounded)
}
