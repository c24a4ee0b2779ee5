//! Records of destinations in use. They are created on first use, as if they had existed since the
//! destination was listed, and are removed together. `rules` decides when; no decisions here.
use crate::api::*;
use crate::listing::{Hint, ListedEndpoint, RouteId};
use crate::rules::{Dest, Endpoint, Route, Sender, LONG_AGO};

impl Sender {
    /// The route of an endpoint with this destination and kind.
    pub(crate) fn route_for(&self, dest: DestId, kind: usize, endpoint: EndpointId) -> RouteId {
        let separate = self.cfg.kinds.get(kind).is_some_and(|k| k.separate_routes);
        (dest, if separate { endpoint } else { EndpointId::MAX })
    }

    /// The route of a listed endpoint.
    pub(crate) fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let listed = self.listing.at(endpoint);
        self.route_for(listed.dest, listed.kind(), endpoint)
    }

    /// The records of a destination, created on first use.
    pub(crate) fn dest_mut(&mut self, id: DestId) -> &mut Dest {
        if !self.dests.contains_key(&id) {
            self.dests.insert(id, Dest::new(&self.cfg));
            let endpoints: Vec<EndpointId> = self.listing.endpoints_of(id).collect();
            endpoints.into_iter().for_each(|endpoint| self.ensure_endpoint(endpoint));
            self.unused_dests.set(id, Some(self.now));
        }
        self.dests.get_mut(&id).expect("created above if missing")
    }

    /// Creates the records of a listed endpoint and its destination where they are missing.
    pub(crate) fn ensure_endpoint(&mut self, id: EndpointId) {
        let Some(listed) = self.listing.get(id) else { return };
        let (dest, route_id) = (listed.dest, self.route_of(id));
        let unused =
            Endpoint { used_at: LONG_AGO, served_at: LONG_AGO, last_gap: Ns::MAX, ..Endpoint::default() };
        self.endpoints.entry(id).or_insert(unused);
        self.dest_mut(dest);
        let new = self.new_route(route_id);
        let hint = new.hint;
        self.routes.entry(route_id).or_insert(new).hint = hint;
    }

    /// Applies an entry of the list.
    pub(crate) fn set_entry(&mut self, entry: &Entry, usable: bool, route_hint: Hint) {
        let (id, listed) = (entry.endpoint, ListedEndpoint::new(entry, usable));
        let before = self.listing.set(id, listed);
        self.listing.set_hint(self.route_for(entry.dest, entry.kind, id), route_hint);
        if let Some(before) = before.filter(|before| before.dest != entry.dest) {
            self.routes.remove(&(before.dest, id));
        }
        if self.dests.contains_key(&entry.dest) || self.endpoints.contains_key(&id) {
            self.ensure_endpoint(id);
        }
    }

    /// Whether another endpoint has the same route.
    pub(crate) fn shares_route(&self, id: EndpointId) -> bool {
        let route = self.route_of(id);
        self.listing.endpoints_of(route.0).any(|e| e != id && self.route_of(e) == route)
    }

    /// Removes an endpoint, and its route if no other endpoint has it.
    pub(crate) fn remove_endpoint(&mut self, id: EndpointId) {
        let (route, shares) = (self.route_of(id), self.shares_route(id));
        if !shares {
            self.routes.remove(&route);
        }
        // Under earlier settings it may have had a route of its own.
        self.routes.remove(&(route.0, id));
        self.listing.remove(id);
        self.idle_endpoints.set(id, None);
        self.endpoints.remove(&id);
    }

    /// Removes the records of a destination; it stays listed.
    pub(crate) fn remove_dest(&mut self, id: DestId) {
        self.schedule.set(id, None);
        self.unused_dests.set(id, None);
        self.dests.remove(&id);
        for endpoint in self.listing.endpoints_of(id) {
            self.idle_endpoints.set(endpoint, None);
            self.endpoints.remove(&endpoint);
        }
        let routes: Vec<(RouteId, Option<f64>)> = self.routes_of(id).map(|(id, r)| (id, r.limit)).collect();
        for (route, limit) in routes {
            self.routes.remove(&route);
            limit.into_iter().for_each(|limit| self.listing.save_limit(route, limit));
        }
    }

    pub(crate) fn routes_of(&self, id: DestId) -> impl Iterator<Item = (RouteId, &Route)> {
        self.routes.range((id, 0)..=(id, EndpointId::MAX)).map(|(&id, route)| (id, route))
    }
}
