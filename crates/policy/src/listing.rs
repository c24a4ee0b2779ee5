//! The list of endpoints as it was told, compact, by endpoint and by destination: what is listed and never used costs
//! this and nothing else. Nothing here decides.
use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// What shares one limit and one outage: all endpoints of a destination (`EndpointId::MAX`), or one of them.
pub type RouteId = (DestId, EndpointId);

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    pub dest: DestId,
    kind: u16,
    zone: u16,
    /// It takes new work.
    pub usable: bool,
}

/// What holds for a route that was never used: what the list told of its limit, and when it came on the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Calls a second; 0 where the list doesn't tell.
    pub hint: f64,
    pub since: Ns,
    /// So many share the limit equally at first.
    pub among: usize,
}

#[derive(Debug, Default)]
pub struct Listing {
    endpoints: BTreeMap<EndpointId, Listed>,
    places: BTreeSet<RouteId>,
    /// Those that take no new work.
    unusable: BTreeSet<EndpointId>,
    routes: BTreeMap<RouteId, Told>,
    /// Limits that routes reported when they were used.
    limits: BTreeMap<RouteId, f64>,
}

/// A number in a table of the settings; what is in none stays so.
fn narrow(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn wide(number: u16) -> usize {
    if number == u16::MAX {
        usize::MAX
    } else {
        number.into()
    }
}

impl Listed {
    pub fn new(entry: &Entry, usable: bool) -> Listed {
        let (kind, zone) = (narrow(entry.kind), narrow(entry.zone));
        Listed { dest: entry.dest, kind, zone, usable }
    }

    pub fn kind(&self) -> usize {
        wide(self.kind)
    }

    pub fn zone(&self) -> usize {
        wide(self.zone)
    }
}

impl Listing {
    pub fn get(&self, endpoint: EndpointId) -> Option<&Listed> {
        self.endpoints.get(&endpoint)
    }

    /// What the list says of an endpoint that is in use: as long as it is, it stays listed.
    pub fn at(&self, endpoint: EndpointId) -> &Listed {
        self.get(endpoint).expect("what is in use is listed")
    }

    /// The endpoints of a destination.
    pub fn places(&self, dest: DestId) -> impl Iterator<Item = EndpointId> + '_ {
        self.places.range((dest, 0)..=(dest, EndpointId::MAX)).map(|place| place.1)
    }

    /// Those of them that take new work.
    pub fn usable(&self, dest: DestId) -> impl Iterator<Item = EndpointId> + '_ {
        self.places(dest).filter(|place| self.endpoints.get(place).is_some_and(|listed| listed.usable))
    }

    pub fn told(&self, route: RouteId) -> Option<&Told> {
        self.routes.get(&route)
    }

    pub fn limit(&self, route: RouteId) -> Option<f64> {
        self.limits.get(&route).copied()
    }

    /// Books an endpoint as it is listed now; tells how it was before.
    pub fn set(&mut self, endpoint: EndpointId, listed: Listed) -> Option<Listed> {
        let before = self.endpoints.insert(endpoint, listed);
        if listed.usable {
            self.unusable.remove(&endpoint);
        } else {
            self.unusable.insert(endpoint);
        }
        if before.is_none_or(|before| before.dest != listed.dest) {
            before.into_iter().for_each(|before| self.leave(before.dest, endpoint));
            self.places.insert((listed.dest, endpoint));
        }
        before
    }

    /// Books what the list tells of a route's limit; the rest stands as it was told first.
    pub fn tell(&mut self, route: RouteId, told: Told) {
        self.routes.entry(route).or_insert(told).hint = told.hint;
    }

    /// Keeps a limit that a route has reported, for as long as it is listed.
    pub fn keep_limit(&mut self, route: RouteId, limit: f64) {
        if self.routes.contains_key(&route) {
            self.limits.insert(route, limit);
        }
    }

    pub fn remove(&mut self, endpoint: EndpointId) -> Option<Listed> {
        let listed = self.endpoints.remove(&endpoint)?;
        self.unusable.remove(&endpoint);
        self.leave(listed.dest, endpoint);
        Some(listed)
    }

    /// Drops what is told of a route that no endpoint has any more.
    pub fn forget(&mut self, route: RouteId) {
        self.routes.remove(&route);
        self.limits.remove(&route);
    }

    /// A whole list comes: what it doesn't name takes no new work.
    pub fn withdraw_others(&mut self, named: &[Entry]) {
        let named: BTreeSet<EndpointId> = named.iter().map(|entry| entry.endpoint).collect();
        for (&id, listed) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            listed.usable = false;
            self.unusable.insert(id);
        }
    }

    pub fn unusable(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.unusable.iter().copied()
    }

    /// An endpoint leaves a destination; with the last one goes what was told of its routes.
    fn leave(&mut self, dest: DestId, endpoint: EndpointId) {
        self.places.remove(&(dest, endpoint));
        self.forget((dest, endpoint));
        if self.places(dest).next().is_none() {
            let all: Vec<RouteId> =
                self.routes.range((dest, 0)..=(dest, EndpointId::MAX)).map(|r| *r.0).collect();
            all.into_iter().for_each(|route| self.forget(route));
        }
    }
}
