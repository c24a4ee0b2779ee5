//! What is to be passed on: those about whom there is news, in the order in which they go along with datagrams.
use crate::wire::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// What a word says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// One is present that was not known: the sums of whoever knows it say so.
    Presence,
    /// Anything else, which no sum tells.
    Other,
}

#[derive(Debug, Default)]
pub struct Words {
    /// With how often each was passed on.
    passed: BTreeMap<MemberId, (u32, News)>,
    /// The same in order: first what was passed on least.
    order: BTreeSet<(u32, MemberId)>,
}

impl Words {
    pub fn insert(&mut self, id: MemberId, news: News) {
        self.set(id, 0, news);
    }

    fn set(&mut self, id: MemberId, passed: u32, news: News) {
        if let Some((old, _)) = self.passed.insert(id.clone(), (passed, news)) {
            self.order.remove(&(old, id.clone()));
        }
        self.order.insert((passed, id));
    }

    pub fn remove(&mut self, id: &MemberId) {
        if let Some((passed, _)) = self.passed.remove(id) {
            self.order.remove(&(passed, id.clone()));
        }
    }

    /// Those who are present are known to others without more words.
    pub fn forget_presence(&mut self) {
        self.passed.retain(|_, (_, news)| *news != News::Presence);
        self.order.retain(|(_, id)| self.passed.contains_key(id));
    }

    pub fn in_order(&self) -> impl Iterator<Item = &MemberId> + Clone {
        self.order.iter().map(|(_, id)| id)
    }

    /// It went along once more; after `most` times it is old.
    pub fn pass_on(&mut self, id: &MemberId, most: u32) {
        match self.passed.get(id).map(|(passed, news)| (passed + 1, *news)) {
            Some((passed, _)) if passed >= most => self.remove(id),
            Some((passed, news)) => self.set(id.clone(), passed, news),
            None => {}
        }
    }
}
