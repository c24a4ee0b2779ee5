//! What a queue keeps for other stores: copies of their messages, ends, and the call-backs that they may owe.
use crate::entry::{End, Message};
use crate::view::{Known, Queue};
use std::collections::BTreeSet;
use std::ops::Bound;
use std::rc::Rc;

/// A message that is kept for other stores.
#[derive(Clone, Debug)]
pub struct Copy {
    /// Disks of the stores that it is kept for: several, if an edge gave the message to several.
    pub owners: BTreeSet<u64>,
    pub message: Rc<Message>,
    pub attempts: u32,
}

/// What is known here of the call-back about the end of a message that another store owns or owned.
#[derive(Clone, Debug)]
pub(crate) enum Debt {
    /// Nothing: the end was heard of without the message.
    Unknown,
    /// It may be owed: its owner may be lost before it is accepted. The message is kept without its body.
    Open(Rc<Message>),
    /// There is none, or it was accepted.
    Settled,
}

/// The end of a message that is not owned here.
#[derive(Clone, Debug)]
pub(crate) struct OthersEnd {
    /// Who owned it, as far as that was known here.
    pub(crate) owners: BTreeSet<u64>,
    pub(crate) end: End,
    pub(crate) debt: Debt,
}

impl OthersEnd {
    fn open_debt(&self) -> Option<&Rc<Message>> {
        match &self.debt {
            Debt::Open(message) => Some(message),
            Debt::Unknown | Debt::Settled => None,
        }
    }
}

impl Queue {
    /// Keeps a copy for another store.
    pub fn keep(&mut self, owner: u64, message: Message) {
        if let Some(others) = self.ends.get_mut(&message.id) {
            // Its end is known; what is new is that this owner may owe the call-back.
            others.owners.insert(owner);
            if message.callback.is_some() {
                others.debt = Debt::Open(without_body(&message));
            }
            return;
        }
        if let Some(known) = self.owned.get_mut(&message.id) {
            known.kept_for.insert(owner);
            return;
        }
        if let Some(copy) = self.copies.get_mut(&message.id) {
            copy.owners.insert(owner);
            return;
        }
        self.bytes += message.body.len();
        let (id, owners) = (message.id.clone(), BTreeSet::from([owner]));
        self.copies.insert(id, Copy { owners, message: Rc::new(message), attempts: 0 });
    }

    /// Drops a copy.
    pub fn drop_copy(&mut self, id: &str) -> bool {
        let dropped = self.copies.remove(id);
        self.bytes -= dropped.as_ref().map_or(0, |copy| copy.message.body.len());
        dropped.is_some()
    }

    /// Nothing is kept for this owner any more: neither a copy, which goes if it was kept for nobody else, nor the call-back
    /// that it may owe.
    pub fn drop_copy_of(&mut self, owner: u64, id: &str) {
        if let Some(others) = self.ends.get_mut(id) {
            let was_last = others.owners.remove(&owner) && others.owners.is_empty();
            if was_last {
                others.debt = Debt::Settled;
            }
        }
        if let Some(known) = self.owned.get_mut(id) {
            known.kept_for.remove(&owner);
        }
        let Some(copy) = self.copies.get_mut(id) else { return };
        copy.owners.remove(&owner);
        if copy.owners.is_empty() {
            self.drop_copy(id);
        }
    }

    /// A copy that is kept here.
    pub fn copy(&self, id: &str) -> Option<&Copy> {
        self.copies.get(id)
    }

    /// Copies that are kept for a store, by id.
    pub fn copies_of(&self, owner: u64) -> impl Iterator<Item = &Copy> {
        self.copies_after(owner, "")
    }

    /// Ids of messages that are kept for a store, from the first after one on: copies, and own messages of which there will be
    /// a copy once they are left to others.
    pub fn kept_after(&self, owner: u64, after: &str) -> BTreeSet<&String> {
        let rest = || (Bound::Excluded(after.to_string()), Bound::Unbounded);
        let owned = self.owned.range(rest()).filter(|(_, k)| k.is_live() && k.kept_for.contains(&owner));
        let copies = self.copies.range(rest()).filter(|(_, copy)| copy.owners.contains(&owner));
        owned.map(|(id, _)| id).chain(copies.map(|(id, _)| id)).collect()
    }

    /// The same, from the first id after one on.
    pub fn copies_after<'a>(&'a self, owner: u64, after: &str) -> impl Iterator<Item = &'a Copy> {
        let rest = (Bound::Excluded(after.to_string()), Bound::Unbounded);
        self.copies.range(rest).map(|(_, copy)| copy).filter(move |copy| copy.owners.contains(&owner))
    }

    /// Keeps the end of a message of another store, which is known from a third one.
    pub fn keep_end(&mut self, owner: u64, end: End) {
        if self.copies.contains_key(&end.id) {
            self.end(end);
        } else if let Some(known) = self.ends.get_mut(&end.id) {
            known.owners.insert(owner);
        } else if !self.owned.contains_key(&end.id) {
            let owners = BTreeSet::from([owner]);
            self.ends.insert(end.id.clone(), OthersEnd { owners, end, debt: Debt::Unknown });
        }
    }

    /// Ends that are known here of another store's messages.
    pub fn ends_of(&self, owner: u64) -> impl Iterator<Item = &End> {
        self.ends.values().filter(move |others| others.owners.contains(&owner)).map(|others| &others.end)
    }

    /// Whose message it was of which an end is kept, and the message itself if its call-back may be owed.
    pub fn owed(&self, id: &str) -> Option<(&BTreeSet<u64>, &Rc<Message>)> {
        self.ends.get(id).and_then(|others| Some((&others.owners, others.open_debt()?)))
    }

    /// Call-backs that may be owed by another store, by id, from the first id after one on.
    pub fn owed_after<'a>(
        &'a self,
        owner: u64,
        after: &str,
    ) -> impl Iterator<Item = (&'a Rc<Message>, &'a End)> {
        let rest = (Bound::Excluded(after.to_string()), Bound::Unbounded);
        let ends = self.ends.range(rest).map(|(_, others)| others);
        let of_owner = ends.filter(move |others| others.owners.contains(&owner));
        of_owner.filter_map(|others| Some((others.open_debt()?, &others.end)))
    }

    /// Owes the call-back about an end in the place of the store that owned the message. False if it is known already that it
    /// is owed here, or was accepted.
    pub fn adopt_owed(&mut self, message: Message, end: End) -> bool {
        let settled = |others: &OthersEnd| matches!(others.debt, Debt::Settled);
        let was_called_back = self.ends.get(&end.id).is_some_and(settled);
        if self.owned.contains_key(&end.id) || was_called_back {
            return false;
        }
        self.ends.remove(&end.id);
        self.add(message);
        self.end(end)
    }

    /// Ended messages whose call-backs are owed here, and that fewer of these disks know of than is wanted.
    pub fn owed_lacking<'a>(
        &'a self,
        present: &'a BTreeSet<u64>,
        wanted: usize,
    ) -> impl Iterator<Item = &'a Known> {
        let owed = self.owned.values().filter(|known| known.owes_callback && !known.is_live());
        owed.filter(move |known| known.holders().intersection(present).count() < wanted)
    }

    /// A disk is about to be sent an ended message together with its end.
    pub fn send_ended(&mut self, id: &str, disk: u64) {
        if let Some(known) = self.owned.get_mut(id) {
            known.sent.insert(disk);
            known.untold.insert(disk);
        }
    }

    /// The call-back about an end was accepted.
    pub fn called_back(&mut self, id: &str) {
        if let Some(known) = self.owned.get_mut(id) {
            known.owes_callback = false;
        } else if let Some(others) = self.ends.get_mut(id) {
            others.debt = Debt::Settled;
        }
    }
}

/// A message of which only the end matters any more.
pub(crate) fn without_body(message: &Message) -> Rc<Message> {
    Rc::new(Message { body: Vec::new(), ..message.clone() })
}
