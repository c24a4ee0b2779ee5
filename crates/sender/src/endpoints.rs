//! The endpoints that lists have named: one compact record for each, found by number and by name. What is known of
//! their use lies elsewhere and only while they are in use.
use crate::list::{Address, Name};
use hashbrown::HashTable;
use policy::api::{Condition, DestId, EndpointId, Entry};
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::num::NonZeroU32;
use std::time::Duration;
use tokio::time::Instant;

/// For so long after it was closed an endpoint is remembered, as long as the module does: new ones come all day.
const FORGET: u32 = 60;
/// Destinations that are remembered though no endpoint names them any more; beyond twice that and those that are
/// named, they are forgotten.
const FORMER_DESTS: usize = 250_000;
/// Where less than one part in so many of a table is in use, the rest is given back.
const SPARSE: usize = 4;
const SMALL: usize = 1_024;

/// A second of the table's clock, from 1.
type Second = NonZeroU32;

/// A kind or zone that the settings don't name.
pub const UNKNOWN: u16 = u16::MAX;

/// What an entry says of an endpoint, in the terms of the settings.
#[derive(Clone, Debug)]
pub struct Said {
    pub address: Address,
    pub dest: DestId,
    pub hint: f64,
    pub kind: u16,
    pub zone: u16,
    pub condition: Condition,
    /// It has its own limit, pace and outages.
    pub separate: bool,
}

/// An endpoint that a list has named.
#[derive(Debug)]
pub struct Endpoint {
    pub name: Name,
    pub said: Said,
    id: EndpointId,
    /// Since when it takes nothing new.
    closed: Option<Second>,
}

impl Endpoint {
    pub fn is_usable(&self) -> bool {
        self.closed.is_none()
    }

    /// In the list, in whatever state.
    fn is_listed(&self) -> bool {
        self.said.condition != Condition::Gone
    }

    pub fn route(&self) -> (DestId, Option<EndpointId>) {
        (self.said.dest, self.said.separate.then_some(self.id))
    }

    pub fn kind(&self) -> usize {
        index(self.said.kind)
    }

    pub fn entry(&self) -> Entry {
        let Said { dest, hint, kind, zone, condition, .. } = self.said;
        Entry { endpoint: self.id, dest, kind: index(kind), zone: index(zone), condition, hint }
    }
}

fn index(of: u16) -> usize {
    if of == UNKNOWN {
        usize::MAX
    } else {
        usize::from(of)
    }
}

/// What has changed at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub entry: Entry,
    /// Its address is another one.
    pub moved: bool,
}

/// A place in the table; another endpoint's once that one is forgotten.
pub type Slot = u32;

pub struct Endpoints {
    start: Instant,
    slots: Vec<Option<Endpoint>>,
    free: Vec<Slot>,
    by_id: HashTable<(EndpointId, Slot)>,
    /// With the name's hash, which a larger table is filled by.
    by_name: HashTable<(u32, Slot)>,
    hasher: RandomState,
    /// Numbers are never used again: calls and the module may know an endpoint longer than the list.
    last: EndpointId,
    /// All destinations that a list has named: as many as there are customers' systems.
    dests: HashSet<DestId>,
    most_dests: usize,
    listed: usize,
    /// Listed, but they take nothing new.
    listed_closed: usize,
    /// What was closed and when, the first in front; not all of them are closed still.
    closings: VecDeque<(Second, EndpointId)>,
}

fn hash_of_id(id: EndpointId) -> u64 {
    u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn wide(hash: u32) -> u64 {
    u64::from(hash) << 32 | u64::from(hash)
}

impl Endpoints {
    pub fn new(start: Instant) -> Endpoints {
        Endpoints {
            start,
            slots: Vec::new(),
            free: Vec::new(),
            by_id: HashTable::new(),
            by_name: HashTable::new(),
            hasher: RandomState::new(),
            last: 0,
            dests: HashSet::new(),
            most_dests: 2 * FORMER_DESTS,
            listed: 0,
            listed_closed: 0,
            closings: VecDeque::new(),
        }
    }

    fn second(&self, now: Instant) -> Second {
        let passed = now.saturating_duration_since(self.start).as_secs();
        Second::MIN.saturating_add(u32::try_from(passed).unwrap_or(u32::MAX))
    }

    /// Those in the list, and those of them that take nothing new.
    pub fn counts(&self) -> (usize, usize) {
        (self.listed, self.listed_closed)
    }

    /// Slots, those that are free among them.
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    pub fn at(&self, slot: Slot) -> Option<&Endpoint> {
        self.slots.get(slot as usize)?.as_ref()
    }

    fn slot(&self, id: EndpointId) -> Option<Slot> {
        self.by_id.find(hash_of_id(id), |(other, _)| *other == id).map(|(_, slot)| *slot)
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.at(self.slot(id)?)
    }

    fn hash(&self, name: &str) -> u32 {
        self.hasher.hash_one(name) as u32
    }

    pub fn find(&self, name: &str) -> Option<Slot> {
        let hash = self.hash(name);
        let is = |(h, slot): &(u32, Slot)| {
            *h == hash && self.at(*slot).is_some_and(|known| known.name.as_str() == name)
        };
        self.by_name.find(wide(hash), is).map(|(_, slot)| *slot)
    }

    pub fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.at(self.find(name)?).map(|known| known.id)
    }

    /// No list has named any destination.
    pub fn is_blank(&self) -> bool {
        self.dests.is_empty()
    }

    /// Whether a list has named a destination.
    pub fn has_dest(&self, dest: DestId) -> bool {
        self.dests.contains(&dest)
    }

    /// The names of those that take nothing new.
    pub fn closed(&self) -> impl Iterator<Item = &str> {
        let closed = self.slots.iter().flatten().filter(|known| !known.is_usable());
        closed.map(|known| known.name.as_str())
    }

    /// Room for so many more at once, as a table that grows later must move what it has.
    pub fn reserve(&mut self, more: usize) {
        let more = more.saturating_sub(self.free.len());
        self.by_id.reserve(more, |(id, _)| hash_of_id(*id));
        self.by_name.reserve(more, |(hash, _)| wide(*hash));
    }

    /// Takes what a list says of the endpoint in a slot; None if nothing of it is new.
    pub fn update(&mut self, slot: Slot, said: Said, now: Instant) -> Option<Change> {
        let second = self.second(now);
        let known = self.slots.get_mut(slot as usize)?.as_mut()?;
        let ready = said.condition == Condition::Ready;
        if is_same(&known.said, &said) && known.is_usable() == ready {
            return None;
        }
        let before = (known.is_listed(), known.is_listed() && !known.is_usable());
        let moved = known.said.address != said.address;
        let (id, dest) = (known.id, said.dest);
        known.said = said;
        let closes = !ready && known.closed.is_none();
        known.closed = if ready { None } else { known.closed.or(Some(second)) };
        let change = Change { entry: known.entry(), moved };
        let after = (known.is_listed(), known.is_listed() && !known.is_usable());
        self.recount(before, after);
        if closes {
            self.closings.push_back((second, id));
        }
        self.name_dest(dest);
        Some(change)
    }

    /// Takes up an endpoint that is not known.
    pub fn insert(&mut self, name: Name, said: Said, now: Instant) -> Change {
        let second = self.second(now);
        self.last += 1;
        let (id, dest, ready) = (self.last, said.dest, said.condition == Condition::Ready);
        let hash = self.hash(name.as_str());
        let known = Endpoint { name, said, id, closed: (!ready).then_some(second) };
        let change = Change { entry: known.entry(), moved: false };
        let after = (known.is_listed(), known.is_listed() && !ready);
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = Some(known);
                slot
            }
            None => {
                if self.slots.len() == self.slots.capacity() {
                    // Not twice as much, of which half could lie idle.
                    self.slots.reserve_exact((self.slots.len() / 8).max(SMALL));
                }
                self.slots.push(Some(known));
                (self.slots.len() - 1) as Slot
            }
        };
        self.by_id.insert_unique(hash_of_id(id), (id, slot), |(id, _)| hash_of_id(*id));
        self.by_name.insert_unique(wide(hash), (hash, slot), |(hash, _)| wide(*hash));
        self.recount((false, false), after);
        if !ready {
            self.closings.push_back((second, id));
        }
        self.name_dest(dest);
        change
    }

    /// The list no longer names what is in a slot. None if it was known to take nothing new.
    pub fn remove_from_list(&mut self, slot: Slot, now: Instant) -> Option<Change> {
        let known = self.at(slot).filter(|known| known.is_listed())?;
        let was_usable = known.is_usable();
        let said = Said { condition: Condition::Gone, ..known.said.clone() };
        self.update(slot, said, now).filter(|_| was_usable)
    }

    /// It takes nothing new until a list says otherwise.
    pub fn close(&mut self, id: EndpointId, now: Instant) -> Option<Entry> {
        let second = self.second(now);
        let slot = self.slot(id)?;
        let known = self.slots.get_mut(slot as usize)?.as_mut()?;
        let entry = Entry { condition: Condition::Draining, ..known.entry() };
        if known.closed.is_none() {
            known.closed = Some(second);
            let listed = known.is_listed();
            self.recount((listed, false), (listed, listed));
            self.closings.push_back((second, id));
        }
        Some(entry)
    }

    /// When one may next be forgotten.
    pub fn next_to_forget(&self) -> Option<Instant> {
        let (closed, _) = self.closings.front()?;
        Some(self.start + Duration::from_secs(u64::from(closed.get()) + u64::from(FORGET)))
    }

    /// Forgets what was closed for so long, and not kept for another reason, in order and so many at most.
    pub fn forget(
        &mut self,
        now: Instant,
        most: usize,
        keep: impl Fn(EndpointId, &Endpoint) -> bool,
    ) -> Vec<EndpointId> {
        let second = self.second(now);
        let mut forgotten = Vec::new();
        for _ in 0..most {
            let due = self.closings.front().filter(|(at, _)| at.get().saturating_add(FORGET) < second.get());
            let Some(&(at, id)) = due else { break };
            self.closings.pop_front();
            let Some(slot) = self.slot(id) else { continue };
            let Some(known) = self.slots[slot as usize].as_mut().filter(|known| known.closed == Some(at))
            else {
                continue;
            };
            if keep(id, known) {
                known.closed = Some(second);
                self.closings.push_back((second, id));
                continue;
            }
            self.drop_slot(slot);
            forgotten.push(id);
        }
        self.give_back();
        forgotten
    }

    fn drop_slot(&mut self, slot: Slot) {
        let Some(known) = self.slots[slot as usize].take() else { return };
        self.recount((known.is_listed(), known.is_listed() && !known.is_usable()), (false, false));
        self.free.push(slot);
        let hash = self.hash(known.name.as_str());
        if let Ok(place) = self.by_id.find_entry(hash_of_id(known.id), |(id, _)| *id == known.id) {
            place.remove();
        }
        if let Ok(place) = self.by_name.find_entry(wide(hash), |(_, other)| *other == slot) {
            place.remove();
        }
    }

    /// Gives the room of a table back that is nearly empty.
    fn give_back(&mut self) {
        let live = self.by_id.len();
        if self.slots.len() < SMALL || live * SPARSE > self.slots.len() {
            return;
        }
        let slots = std::mem::take(&mut self.slots);
        (self.by_id, self.by_name, self.free) = (HashTable::new(), HashTable::new(), Vec::new());
        self.reserve(live);
        self.slots.reserve_exact(live + SMALL);
        for known in slots.into_iter().flatten() {
            let (slot, hash, id) = (self.slots.len() as Slot, self.hash(known.name.as_str()), known.id);
            self.by_id.insert_unique(hash_of_id(id), (id, slot), |(id, _)| hash_of_id(*id));
            self.by_name.insert_unique(wide(hash), (hash, slot), |(hash, _)| wide(*hash));
            self.slots.push(Some(known));
        }
        self.closings.shrink_to(2 * self.closings.len());
    }

    fn recount(&mut self, before: (bool, bool), after: (bool, bool)) {
        self.listed = self.listed + usize::from(after.0) - usize::from(before.0);
        self.listed_closed = self.listed_closed + usize::from(after.1) - usize::from(before.1);
    }

    fn name_dest(&mut self, dest: DestId) {
        self.dests.insert(dest);
        if self.dests.len() > self.most_dests {
            self.dests = self.slots.iter().flatten().map(|known| known.said.dest).collect();
            self.most_dests = 2 * self.dests.len().max(FORMER_DESTS);
        }
    }
}

fn is_same(a: &Said, b: &Said) -> bool {
    let plain = |s: &Said| (s.dest, s.hint.to_bits(), s.kind, s.zone, s.condition, s.separate);
    plain(a) == plain(b) && a.address == b.address
}

#[cfg(test)]
#[path = "endpoints_tests.rs"]
mod tests;
