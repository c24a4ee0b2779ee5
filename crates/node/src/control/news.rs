//! What watchers are told: what the group has committed, packed once for all that have the same.
use crate::calls::{Endpoint, EndpointList, Role, Seen};
use crate::packed::{pack_piece, Version};
use control::{State, StoreView};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// So many configurations are remembered: a watcher that has one of them is sent the difference, and one that is in the
/// middle of it gets the rest.
const REMEMBERED: usize = 4;

/// What the group has committed, as it is told to watchers.
#[derive(Default)]
pub struct Bulletin {
    state: Rc<State>,
    /// The configurations that were committed last, the newest at the end.
    configurations: VecDeque<Committed>,
    /// Pieces of them that were packed.
    pieces: RefCell<BTreeMap<PieceKey, Vec<u8>>>,
    endpoints: Vec<Endpoint>,
    list: EndpointList,
}

struct Committed {
    version: u64,
    body: Vec<u8>,
}

/// Which piece it is: of which version, from which byte on, as a difference from which other one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PieceKey {
    version: u64,
    from: u64,
    base: u64,
}

/// What is newer than what a watcher has.
#[derive(Debug, Default)]
pub struct Newer {
    pub configuration: Option<(u64, Vec<u8>)>,
    pub stores: Option<StoreView>,
    pub list: Option<EndpointList>,
}

impl Newer {
    /// There is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.stores.is_none() && self.list.is_none()
    }
}

impl Bulletin {
    /// The state that was committed last.
    pub fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// How many endpoints the list has.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Takes a committed state; whether it is another one.
    pub fn publish(&mut self, state: &State) -> bool {
        if self.state.position == state.position {
            return false;
        }
        let newest = self.configurations.back().map_or(0, |newest| newest.version);
        if state.version > newest && !state.body.is_empty() {
            self.configurations.push_back(Committed { version: state.version, body: state.body.clone() });
            let surplus = self.configurations.len().saturating_sub(REMEMBERED);
            self.configurations.drain(..surplus);
            self.pieces.borrow_mut().retain(|piece, _| piece.version >= self.configurations[0].version);
        }
        self.state = Rc::new(state.clone());
        true
    }

    /// Takes the list of endpoints; whether there is anything new about it.
    pub fn publish_list(&mut self, number: (u64, u64), endpoints: Vec<Endpoint>) -> bool {
        let is_news = self.endpoints != endpoints || self.list.number.0 != number.0;
        if is_news {
            self.list = EndpointList::pack(number, &endpoints);
            self.endpoints = endpoints;
        }
        is_news
    }

    /// What is newer than what a watcher has. Endpoints matter to stores alone, which call them.
    pub fn newer(&self, seen: Seen, role: Role) -> Newer {
        let stores = &self.state.stores;
        Newer {
            configuration: self.next_piece(seen),
            stores: (stores.epoch > seen.stores).then(|| stores.clone()),
            list: (role == Role::Store && self.list.number > seen.list).then(|| self.list.clone()),
        }
    }

    /// The next piece of the configuration that a watcher is sent: of the one that it has begun with, or of the newest. One
    /// that would begin anew with each change might never come to an end.
    fn next_piece(&self, seen: Seen) -> Option<(u64, Vec<u8>)> {
        let begun = self.configurations.iter().find(|committed| committed.version == seen.part.version);
        let begun = begun.filter(|committed| seen.part.bytes < committed.body.len() as u64);
        let wanted = begun.or(self.configurations.back()).filter(|wanted| wanted.version > seen.version)?;
        let from = begun.map_or(0, |_| seen.part.bytes);
        let base = self.configurations.iter().find(|committed| committed.version == seen.base);
        let key = PieceKey { version: wanted.version, from, base: base.map_or(0, |base| base.version) };
        let mut pieces = self.pieces.borrow_mut();
        let piece = pieces.entry(key).or_insert_with(|| {
            let base = base.map(|base| Version { number: base.version, body: &base.body });
            pack_piece(base, &wanted.body, from as usize)
        });
        Some((wanted.version, piece.clone()))
    }
}
