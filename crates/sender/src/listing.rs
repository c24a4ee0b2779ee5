//! A list that is being taken, slice by slice: compared with the endpoints that are known, so that only what differs
//! goes further. What drains or is gone comes first. No I/O, no clock.
use crate::endpoints::{Change, Endpoints, Said, Slot};
use crate::list::{Instance, List};
use policy::api::Condition;
use std::collections::HashMap;
use tokio::time::Instant;

/// Work of one slice: as many entries are looked at, or one in `CHANGE` as many changed. A client waits through three
/// rounds or so: to be accepted, read and taken on.
pub const SLICE: usize = 2_000;
const CHANGE: usize = 8;

const NONE: u32 = u32::MAX;

/// By entry, or (`Gone`) by slot: what comes next.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Which endpoint each entry names, if it is known.
    Find(usize),
    /// Entries of endpoints that take nothing new any more.
    Close(usize),
    /// Endpoints that a whole list lacks.
    Gone(usize),
    /// All that is new or changed.
    Update(usize),
}

/// By slot: the last entry that names it. An entry that comes twice holds as it was last.
enum Last {
    /// For a whole list, which every slot is compared with.
    Whole(Vec<u32>),
    /// A change costs what it names, however many are listed.
    Change(HashMap<Slot, u32>),
}

impl Last {
    fn get(&self, slot: Slot) -> Option<u32> {
        match self {
            Last::Whole(all) => all.get(slot as usize).copied(),
            Last::Change(named) => named.get(&slot).copied(),
        }
    }

    fn set(&mut self, slot: Slot, entry: u32) {
        match self {
            Last::Whole(all) => all[slot as usize] = entry,
            Last::Change(named) => _ = named.insert(slot, entry),
        }
    }
}

pub struct Listing {
    list: List,
    stage: Stage,
    /// By entry: its endpoint's slot.
    found: Vec<Slot>,
    last: Last,
    /// Entries that are not ready.
    closing: Vec<u32>,
}

/// How an entry reads by the settings in force: by its kind and zone.
pub type Terms<'a> = &'a dyn Fn(&List, &Instance) -> Said;

impl Listing {
    pub fn new(list: List, endpoints: &mut Endpoints) -> Listing {
        endpoints.reserve(list.len().saturating_sub(endpoints.slots()));
        let last = match list.reset {
            true => Last::Whole(vec![NONE; endpoints.slots()]),
            false => Last::Change(HashMap::new()),
        };
        let found = Vec::with_capacity(list.len());
        Listing { list, stage: Stage::Find(0), found, last, closing: Vec::new() }
    }

    /// What drains or is gone was taken: from here on the version of the list counts as the one held.
    pub fn is_binding(&self) -> bool {
        matches!(self.stage, Stage::Update(_))
    }

    pub fn generation(&self) -> u64 {
        self.list.generation
    }

    /// Tells whoever waits that all of it is taken.
    pub fn tell(self) {
        let _ = self.list.taken.map(|taken| taken.send(()));
    }

    /// Goes on as far as `work` lasts; true once all is taken.
    pub fn step(
        &mut self,
        endpoints: &mut Endpoints,
        terms: Terms,
        now: Instant,
        work: &mut usize,
        changes: &mut Vec<Change>,
    ) -> bool {
        while *work > 0 {
            let (next, change) = match self.stage {
                Stage::Find(entry) => (self.find(entry, endpoints), None),
                Stage::Close(n) => self.close(n, endpoints, terms, now),
                Stage::Gone(slot) => self.gone(slot, endpoints, now),
                Stage::Update(entry) if entry == self.list.len() => return true,
                Stage::Update(entry) => {
                    self.list.give_back(entry);
                    (Stage::Update(entry + 1), self.update(entry, endpoints, terms, now))
                }
            };
            self.stage = next;
            *work = work.saturating_sub(if change.is_some() { CHANGE } else { 1 });
            changes.extend(change);
        }
        matches!(self.stage, Stage::Update(entry) if entry == self.list.len())
    }

    fn find(&mut self, entry: usize, endpoints: &Endpoints) -> Stage {
        let Some(instance) = self.list.get(entry) else { return Stage::Close(0) };
        let slot = endpoints.find(instance.name.as_str());
        self.found.push(slot.unwrap_or(NONE));
        if let Some(slot) = slot {
            self.last.set(slot, entry as u32);
            if instance.condition != Condition::Ready {
                self.closing.push(entry as u32);
            }
        }
        Stage::Find(entry + 1)
    }

    fn is_last(&self, entry: usize, slot: Slot) -> bool {
        self.last.get(slot).is_some_and(|last| last as usize == entry)
    }

    fn close(
        &mut self,
        n: usize,
        endpoints: &mut Endpoints,
        terms: Terms,
        now: Instant,
    ) -> (Stage, Option<Change>) {
        let Some(&entry) = self.closing.get(n) else {
            let next = if self.list.reset { Stage::Gone(0) } else { Stage::Update(0) };
            return (next, None);
        };
        (Stage::Close(n + 1), self.update(entry as usize, endpoints, terms, now))
    }

    fn gone(&self, slot: usize, endpoints: &mut Endpoints, now: Instant) -> (Stage, Option<Change>) {
        match self.last.get(slot as Slot) {
            None => (Stage::Update(0), None),
            Some(last) if last != NONE => (Stage::Gone(slot + 1), None),
            Some(_) => (Stage::Gone(slot + 1), endpoints.remove_from_list(slot as Slot, now)),
        }
    }

    fn update(&self, entry: usize, endpoints: &mut Endpoints, terms: Terms, now: Instant) -> Option<Change> {
        let instance = self.list.get(entry)?;
        let said = terms(&self.list, instance);
        match self.found[entry] {
            NONE => match endpoints.find(instance.name.as_str()) {
                // Twice in this list.
                Some(slot) => endpoints.update(slot, said, now),
                None => Some(endpoints.insert(instance.name.clone(), said, now)),
            },
            slot if self.is_last(entry, slot) => endpoints.update(slot, said, now),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "listing_tests.rs"]
mod tests;
