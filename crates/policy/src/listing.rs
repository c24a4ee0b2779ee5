//! The endpoint list, stored compactly and indexed by endpoint and by destination: a listed endpoint that is
//! never used costs only this. No decisions here.
use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// The unit of rate limits and outages: all endpoints of a destination (`EndpointId::MAX`), or one of them.
pub type RouteId = (DestId, EndpointId);

/// A list entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    pub dest: DestId,
    kind: u16,
    zone: u16,
    /// The endpoint takes new calls.
    pub usable: bool,
}

/// The state of a route that was never used: its limit from the list, and when it was first listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hint {
    /// Calls per second; 0 if the list has none.
    pub hint: f64,
    pub since: Ns,
    /// The number of senders among which the limit is split equally at first.
    pub split: usize,
}

#[derive(Debug, Default)]
pub struct Listing {
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    by_dest: BTreeSet<RouteId>,
    /// Endpoints that take no new calls.
    unusable: BTreeSet<EndpointId>,
    routes: BTreeMap<RouteId, Hint>,
    /// Limits that routes reported while in use.
    limits: BTreeMap<RouteId, f64>,
}

/// Narrows an index into a table of the settings; one that is out of range stays so.
fn to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn from_u16(number: u16) -> usize {
    if number == u16::MAX {
        usize::MAX
    } else {
        number.into()
    }
}

impl ListedEndpoint {
    pub fn new(entry: &Entry, usable: bool) -> ListedEndpoint {
        let (kind, zone) = (to_u16(entry.kind), to_u16(entry.zone));
        ListedEndpoint { dest: entry.dest, kind, zone, usable }
    }

    pub fn kind(&self) -> usize {
        from_u16(self.kind)
    }

    pub fn zone(&self) -> usize {
        from_u16(self.zone)
    }
}

impl Listing {
    pub fn get(&self, endpoint: EndpointId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&endpoint)
    }

    /// The entry of an endpoint in use, which stays listed as long as it is used.
    pub fn at(&self, endpoint: EndpointId) -> &ListedEndpoint {
        self.get(endpoint).expect("an endpoint in use is listed")
    }

    /// The endpoints of a destination.
    pub fn endpoints_of(&self, dest: DestId) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_dest.range((dest, 0)..=(dest, EndpointId::MAX)).map(|entry| entry.1)
    }

    /// The endpoints of a destination that take new calls.
    pub fn usable(&self, dest: DestId) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints_of(dest)
            .filter(|endpoint| self.endpoints.get(endpoint).is_some_and(|listed| listed.usable))
    }

    pub fn route_hint(&self, route: RouteId) -> Option<&Hint> {
        self.routes.get(&route)
    }

    pub fn limit(&self, route: RouteId) -> Option<f64> {
        self.limits.get(&route).copied()
    }

    /// Sets the entry of an endpoint; returns the previous one.
    pub fn set(&mut self, endpoint: EndpointId, listed: ListedEndpoint) -> Option<ListedEndpoint> {
        let before = self.endpoints.insert(endpoint, listed);
        if listed.usable {
            self.unusable.remove(&endpoint);
        } else {
            self.unusable.insert(endpoint);
        }
        if before.is_none_or(|before| before.dest != listed.dest) {
            before.into_iter().for_each(|before| self.detach(before.dest, endpoint));
            self.by_dest.insert((listed.dest, endpoint));
        }
        before
    }

    /// Sets a route's limit from the list; the other fields stay as they were first.
    pub fn set_hint(&mut self, route: RouteId, hint: Hint) {
        self.routes.entry(route).or_insert(hint).hint = hint.hint;
    }

    /// Saves a reported limit for as long as the route is listed.
    pub fn save_limit(&mut self, route: RouteId, limit: f64) {
        if self.routes.contains_key(&route) {
            self.limits.insert(route, limit);
        }
    }

    pub fn remove(&mut self, endpoint: EndpointId) -> Option<ListedEndpoint> {
        let listed = self.endpoints.remove(&endpoint)?;
        self.unusable.remove(&endpoint);
        self.detach(listed.dest, endpoint);
        Some(listed)
    }

    /// Removes a route that no endpoint has any more.
    pub fn remove_route(&mut self, route: RouteId) {
        self.routes.remove(&route);
        self.limits.remove(&route);
    }

    /// Marks all endpoints as unusable that a complete list does not name.
    pub fn mark_others_unusable(&mut self, named: &[Entry]) {
        let named: BTreeSet<EndpointId> = named.iter().map(|entry| entry.endpoint).collect();
        for (&id, listed) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            listed.usable = false;
            self.unusable.insert(id);
        }
    }

    pub fn unusable(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.unusable.iter().copied()
    }

    /// Detaches an endpoint from a destination; the last one takes its routes with it.
    fn detach(&mut self, dest: DestId, endpoint: EndpointId) {
        self.by_dest.remove(&(dest, endpoint));
        self.remove_route((dest, endpoint));
        if self.endpoints_of(dest).next().is_none() {
            let all: Vec<RouteId> =
                self.routes.range((dest, 0)..=(dest, EndpointId::MAX)).map(|r| *r.0).collect();
            all.into_iter().for_each(|route| self.remove_route(route));
        }
    }
}
