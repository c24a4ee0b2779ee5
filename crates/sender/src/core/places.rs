//! Endpoints as lists name them: lists are taken in slices, and only what differs goes to the module and the pool.
use super::*;
use crate::endpoints::{Change, Said, UNKNOWN};
use crate::list::{Instance, List};
use crate::listing::Listing;

/// Endpoints that are forgotten in a round at most.
const FORGOTTEN: usize = 2_000;

/// Lists that have come and are not yet taken in full.
#[derive(Default)]
pub(super) struct Lists {
    waiting: VecDeque<List>,
    current: Option<Listing>,
    /// The version of the list held.
    pub generation: u64,
}

impl Lists {
    pub fn push(&mut self, list: List) {
        self.waiting.push_back(list);
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.current.is_none()
    }

    pub fn clear(&mut self) {
        self.waiting.clear();
        self.current = None;
    }
}

impl Core {
    /// Goes on with the lists that have come, as far as `work` lasts.
    pub(super) fn follow_lists(&mut self, work: &mut usize, events: &mut Vec<Event>) {
        let now = Instant::now();
        let (settings, host_settings) = (&self.settings, &self.host_settings);
        let terms = |list: &List, instance: &Instance| said(settings, host_settings, list, instance);
        let mut changes = Vec::new();
        while *work > 0 {
            let mut endpoints = self.client.pool.endpoints.borrow_mut();
            let next = || self.lists.waiting.pop_front().map(|list| Listing::new(list, &mut endpoints));
            let Some(mut listing) = self.lists.current.take().or_else(next) else { break };
            let is_taken = listing.step(&mut endpoints, &terms, now, work, &mut changes);
            if listing.is_binding() {
                self.lists.generation = listing.generation();
            }
            match is_taken {
                true => listing.tell(),
                false => self.lists.current = Some(listing),
            }
        }
        changes.iter().for_each(|change| self.client.pool.follow(change));
        if !changes.is_empty() {
            let entries = changes.iter().map(|change: &Change| change.entry).collect();
            events.push(Event::List { complete: false, entries });
        }
    }

    /// Sends nothing new to these endpoints until a list says otherwise.
    pub(super) fn close(&mut self, names: &[String]) -> Event {
        let (now, pool) = (Instant::now(), &self.client.pool);
        let mut endpoints = pool.endpoints.borrow_mut();
        let close = |name: &String| endpoints.id_of(name).and_then(|id| endpoints.close(id, now));
        let entries: Vec<Entry> = names.iter().filter_map(close).collect();
        drop(endpoints);
        entries.iter().for_each(|entry| pool.withdraw(entry.endpoint));
        Event::List { complete: false, entries }
    }

    /// When an endpoint may next be forgotten; never while a list is taken, which refers to them, or once all is
    /// yielded.
    pub(super) fn next_to_forget(&self) -> Option<Instant> {
        let may = self.lists.is_empty() && !self.has_yielded;
        self.client.pool.endpoints.borrow().next_to_forget().filter(|_| may)
    }

    pub(super) fn forget_endpoints(&mut self, now: Instant) {
        if self.next_to_forget().is_none_or(|due| due > now) {
            return;
        }
        let pool = &self.client.pool;
        let busy: HashSet<EndpointId> = self.calls.values().map(|out| out.endpoint).collect();
        let mut endpoints = pool.endpoints.borrow_mut();
        let forgotten =
            endpoints.forget(now, FORGOTTEN, |id, known| busy.contains(&id) || !pool.is_done_with(known));
        drop(endpoints);
        forgotten.into_iter().for_each(|endpoint| pool.forget(endpoint));
    }
}

fn said(settings: &Settings, host_settings: &HostSettings, list: &List, instance: &Instance) -> Said {
    let place = |names: &[String], name| position(names, name).map_or(UNKNOWN, |n| n as u16);
    let (kind, zone) =
        (place(&host_settings.kinds, list.kind(instance)), place(&host_settings.zones, list.zone(instance)));
    Said {
        address: instance.address.clone(),
        dest: instance.dest,
        hint: instance.weight,
        kind,
        zone,
        condition: instance.condition,
        separate: settings.kinds.get(usize::from(kind)).is_some_and(|k| k.separate_routes),
    }
}
