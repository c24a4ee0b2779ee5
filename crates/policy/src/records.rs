//! What is remembered of a destination: records that come with its first use, as if they had stood there since it was
//! listed, and go all together. When they go is decided in `rules`; nothing here decides.
use crate::api::*;
use crate::listing::{Listed, RouteId, Told};
use crate::rules::{Dest, Endpoint, Route, Sender, LONG_AGO};

impl Sender {
    /// The route of an endpoint that is listed so.
    pub(crate) fn route_at(&self, dest: DestId, kind: usize, endpoint: EndpointId) -> RouteId {
        let separate = self.cfg.kinds.get(kind).is_some_and(|k| k.separate_routes);
        (dest, if separate { endpoint } else { EndpointId::MAX })
    }

    /// The route of a listed endpoint.
    pub(crate) fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let listed = self.listing.at(endpoint);
        self.route_at(listed.dest, listed.kind(), endpoint)
    }

    /// The records of a destination; a first use makes them.
    pub(crate) fn dest(&mut self, id: DestId) -> &mut Dest {
        if !self.dests.contains_key(&id) {
            self.dests.insert(id, Dest::new(&self.cfg));
            let places: Vec<EndpointId> = self.listing.places(id).collect();
            places.into_iter().for_each(|place| self.open_place(place));
            self.resting.set(id, Some(self.now));
        }
        self.dests.get_mut(&id).expect("made above where it was missing")
    }

    /// Sees to it that a listed endpoint has its records, and its destination too.
    pub(crate) fn open_place(&mut self, id: EndpointId) {
        let Some(listed) = self.listing.get(id) else { return };
        let (dest, route_id) = (listed.dest, self.route_of(id));
        let never = Endpoint { used_at: LONG_AGO, served_at: LONG_AGO, gap: Ns::MAX, ..Endpoint::default() };
        self.endpoints.entry(id).or_insert(never);
        self.dest(dest);
        let new = self.new_route(route_id);
        let hint = new.hint;
        self.routes.entry(route_id).or_insert(new).hint = hint;
    }

    /// Takes an entry of the list in.
    pub(crate) fn open(&mut self, entry: &Entry, usable: bool, told: Told) {
        let (id, listed) = (entry.endpoint, Listed::new(entry, usable));
        let before = self.listing.set(id, listed);
        self.listing.tell(self.route_at(entry.dest, entry.kind, id), told);
        if let Some(before) = before.filter(|before| before.dest != entry.dest) {
            self.routes.remove(&(before.dest, id));
        }
        if self.dests.contains_key(&entry.dest) || self.endpoints.contains_key(&id) {
            self.open_place(id);
        }
    }

    /// Whether another endpoint has the route of this one.
    pub(crate) fn shares_route(&self, id: EndpointId) -> bool {
        let route = self.route_of(id);
        self.listing.places(route.0).any(|e| e != id && self.route_of(e) == route)
    }

    /// Drops an endpoint; with the last one of its route goes that.
    pub(crate) fn drop_place(&mut self, id: EndpointId) {
        let (route, shares) = (self.route_of(id), self.shares_route(id));
        if !shares {
            self.routes.remove(&route);
        }
        // It had one of its own if other settings held once.
        self.routes.remove(&(route.0, id));
        self.listing.remove(id);
        self.idle.set(id, None);
        self.endpoints.remove(&id);
    }

    /// Drops the records of a destination; it stays listed.
    pub(crate) fn drop_dest(&mut self, id: DestId) {
        self.agenda.set(id, None);
        self.resting.set(id, None);
        self.dests.remove(&id);
        for place in self.listing.places(id) {
            self.idle.set(place, None);
            self.endpoints.remove(&place);
        }
        let routes: Vec<(RouteId, Option<f64>)> = self.routes_of(id).map(|(id, r)| (id, r.limit)).collect();
        for (route, limit) in routes {
            self.routes.remove(&route);
            limit.into_iter().for_each(|limit| self.listing.keep_limit(route, limit));
        }
    }

    pub(crate) fn routes_of(&self, id: DestId) -> impl Iterator<Item = (RouteId, &Route)> {
        self.routes.range((id, 0)..=(id, EndpointId::MAX)).map(|(&id, route)| (id, route))
    }
}
