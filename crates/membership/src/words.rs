//! What is to be passed on: those about whom there is news, in the order in which they go along with datagrams.
use crate::wire::Id;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Words {
    /// With how often each was passed on.
    passed: BTreeMap<Id, u32>,
    /// The same in order: first what was passed on least.
    order: BTreeSet<(u32, Id)>,
}

impl Words {
    /// There is news of one.
    pub fn insert(&mut self, id: Id) {
        self.set(id, 0);
    }

    fn set(&mut self, id: Id, passed: u32) {
        if let Some(old) = self.passed.insert(id.clone(), passed) {
            self.order.remove(&(old, id.clone()));
        }
        self.order.insert((passed, id));
    }

    pub fn remove(&mut self, id: &Id) {
        if let Some(passed) = self.passed.remove(id) {
            self.order.remove(&(passed, id.clone()));
        }
    }

    pub fn in_order(&self) -> impl Iterator<Item = &Id> + Clone {
        self.order.iter().map(|(_, id)| id)
    }

    /// It went along once more; after `most` times it is old.
    pub fn pass_on(&mut self, id: &Id, most: u32) {
        match self.passed.get(id).map(|passed| passed + 1) {
            Some(passed) if passed >= most => self.remove(id),
            Some(passed) => self.set(id.clone(), passed),
            None => {}
        }
    }
}
