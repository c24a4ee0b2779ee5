//! What is remembered of a destination: records that come with its first use, as if they had stood there since it was
//! listed, and go all together. When they go is decided in `rules`; nothing here decides.
use crate::api::*;
use crate::bucket::Bucket;
use crate::listing::{Listed, Told};
use crate::rules::{Call, Dest, Endpoint, Held, Route, RouteId, Sender, Stat, LONG_AGO};
use std::collections::BTreeMap;

impl Sender {
    /// The route of an endpoint that is listed so.
    pub(crate) fn route_at(&self, dest: DestId, kind: usize, endpoint: EndpointId) -> RouteId {
        let separate = self.cfg.kinds.get(kind).is_some_and(|k| k.separate_routes);
        (dest, if separate { endpoint } else { EndpointId::MAX })
    }

    /// The route of an endpoint whose destination is in use.
    pub(crate) fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let e = &self.endpoints[&endpoint];
        self.route_at(e.dest, e.kind, endpoint)
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

    /// Brings the records of a listed endpoint of a destination in use to what the list says.
    pub(crate) fn open_place(&mut self, id: EndpointId) {
        let Some(&listed) = self.listing.get(id) else { return };
        let (dest, kind, zone, usable) = (listed.dest, listed.kind(), listed.zone(), listed.usable);
        let new = Endpoint { used_at: LONG_AGO, served_at: LONG_AGO, gap: Ns::MAX, ..Endpoint::default() };
        let known = self.endpoints.entry(id).or_insert(new);
        (known.dest, known.kind, known.zone, known.usable) = (dest, kind, zone, usable);
        self.dest(dest).places.insert(id);
        let route_id = self.route_of(id);
        // No list has told of a route that new settings made one.
        let untold = Told { hint: 0.0, since: self.now, among: self.cfg.n_instances };
        let told = self.listing.told(route_id).copied().unwrap_or(untold);
        let limit = self.listing.limit(route_id);
        // Another process of this sender handed on all that it had in use: the rest had stood for long.
        let since = if Some(told.since) > self.inherited_at { told.since } else { LONG_AGO };
        let (share, bucket) = (1.0 / told.among.max(1) as f64, Bucket::of(1.0, since));
        let new = Route { limit, share, share_at: since, bucket, ..Route::default() };
        self.routes.entry(route_id).or_insert(new).hint = told.hint;
    }

    /// Takes an entry of the list in.
    pub(crate) fn open(&mut self, entry: &Entry, told: Told) {
        let (id, listed) = (entry.endpoint, Listed::new(entry));
        let before = self.listing.set(id, listed);
        self.listing.tell(self.route_at(entry.dest, entry.kind, id), told);
        if listed.usable {
            self.unlisted.remove(&id);
        } else {
            self.unlisted.insert(id);
        }
        if let Some(before) = before.filter(|before| before.dest != entry.dest) {
            self.leave_dest(before.dest, id);
        }
        if self.dests.contains_key(&entry.dest) || self.endpoints.contains_key(&id) {
            self.open_place(id);
        }
    }

    /// Whether another endpoint has the route of this one; its destination is in use.
    pub(crate) fn shares_route(&self, id: EndpointId) -> bool {
        let route = self.route_of(id);
        let dest = self.dests.get(&route.0);
        dest.is_some_and(|dest| dest.places.iter().any(|&e| e != id && self.route_of(e) == route))
    }

    /// Drops an endpoint; with the last one of its route goes that.
    pub(crate) fn drop_place(&mut self, id: EndpointId) {
        self.unlisted.remove(&id);
        self.listing.remove(id);
        self.idle.remove(&id);
        if self.endpoints.contains_key(&id) {
            let (route, shares) = (self.route_of(id), self.shares_route(id));
            if !shares {
                self.routes.remove(&route);
            }
            self.leave_dest(route.0, id);
            self.endpoints.remove(&id);
        }
    }

    fn leave_dest(&mut self, dest: DestId, id: EndpointId) {
        self.routes.remove(&(dest, id));
        self.dests.get_mut(&dest).into_iter().for_each(|dest| _ = dest.places.remove(&id));
    }

    /// Drops the records of a destination; it stays listed.
    pub(crate) fn drop_dest(&mut self, id: DestId) {
        self.agenda.set(id, None);
        self.resting.set(id, None);
        for place in self.dests.remove(&id).into_iter().flat_map(|dest| dest.places) {
            self.idle.remove(&place);
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

    /// What was in use there; all else that is listed was at rest.
    pub(crate) fn inherit(&mut self, standings: &[Standing]) {
        self.inherited_at = Some(self.now);
        standings.iter().for_each(|s| self.inherit_one(s));
    }

    fn inherit_one(&mut self, s: &Standing) {
        let now = self.now;
        let id = (s.dest, s.endpoint.unwrap_or(EndpointId::MAX));
        self.dest(s.dest);
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.wait_until = route.wait_until.max(now + s.wait);
        self.next_end = now;
        route.not_before = route.not_before.max(now + s.pause);
        (route.doubt, route.cold) = (s.doubt, s.cold);
        (route.last_failure, route.next_trial) = (now - s.failed, now + s.trial);
        (route.failures, route.refusals, route.failing) = (s.failures, s.refusals, s.failing);
        (route.share, route.share_at) = (s.share, now - s.share_age);
        route.bucket = Bucket::of(s.tokens, now);
        route.served = Stat::of(s.served, now);
        self.due(s.dest, LONG_AGO);
    }
}

impl Call {
    /// Takes all of its messages back that are out.
    pub fn call_off(&mut self, number: u64, messages: &BTreeMap<MsgId, Held>, out: &mut Vec<Action>) {
        self.cancelled = true;
        for &id in &self.messages {
            let mut attempts = messages.get(&id).into_iter().flat_map(|h| h.attempts.iter());
            if let Some(attempt) = attempts.position(|a| a.call == number && a.out) {
                out.push(Action::Cancel { id, attempt: attempt as u32 });
            }
        }
    }
}
