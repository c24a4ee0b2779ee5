//! The updates to spread: the members that they are about, in the order in which they are added to datagrams.
use crate::wire::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// What an update carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// A member is present that was unknown. The digests of every member that knows it show that too.
    Presence,
    /// Anything else; no digest covers it.
    Other,
}

/// Members about whom there are updates to spread.
#[derive(Debug, Default)]
pub struct GossipQueue {
    /// How often each update was sent, and its kind.
    entries: BTreeMap<MemberId, (u32, UpdateKind)>,
    /// The same in sending order, least sent first.
    order: BTreeSet<(u32, MemberId)>,
}

impl GossipQueue {
    /// Queues an update about a member, as not sent yet.
    pub fn insert(&mut self, id: MemberId, kind: UpdateKind) {
        self.set_count(id, 0, kind);
    }

    fn set_count(&mut self, id: MemberId, sent_count: u32, kind: UpdateKind) {
        if let Some((old_count, _)) = self.entries.insert(id.clone(), (sent_count, kind)) {
            self.order.remove(&(old_count, id.clone()));
        }
        self.order.insert((sent_count, id));
    }

    /// Discards the update about a member.
    pub fn remove(&mut self, id: &MemberId) {
        if let Some((sent_count, _)) = self.entries.remove(id) {
            self.order.remove(&(sent_count, id.clone()));
        }
    }

    /// Discards the updates that only report presence.
    pub fn remove_presence(&mut self) {
        self.entries.retain(|_, (_, kind)| *kind != UpdateKind::Presence);
        self.order.retain(|(_, id)| self.entries.contains_key(id));
    }

    /// The members in sending order.
    pub fn in_order(&self) -> impl Iterator<Item = &MemberId> + Clone {
        self.order.iter().map(|(_, id)| id)
    }

    /// Counts one more sending. After `limit` times the update is discarded.
    pub fn record_sent(&mut self, id: &MemberId, limit: u32) {
        match self.entries.get(id).map(|(sent_count, kind)| (sent_count + 1, *kind)) {
            Some((sent_count, _)) if sent_count >= limit => self.remove(id),
            Some((sent_count, kind)) => self.set_count(id.clone(), sent_count, kind),
            None => {}
        }
    }
}
