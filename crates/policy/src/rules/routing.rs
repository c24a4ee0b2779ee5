//! Which endpoint of a destination gets a call, and which connections to endpoints are kept.
use super::*;

/// Part of a rough figure that is trusted.
const ROUGH: f64 = 0.6;
/// Share of the slots that calls to all routes in doubt may hold together.
const DOUBT_SLOTS: f64 = 0.25;

impl Sender {
    /// Follows the list. Draining and gone endpoints are unusable before anything of the batch is sent.
    pub(super) fn list(&mut self, complete: bool, entries: &[Entry]) {
        if complete {
            self.listing.withdraw_others(entries);
        }
        for entry in entries {
            // Where the list tells the limit nothing is held back before a refusal: of many senders few have
            // work for a destination at any time, and an equal share of a small limit holds up each message.
            let told = self.cfg.hints && entry.hint.is_finite();
            let trust = if self.cfg.rough_hints { ROUGH } else { 1.0 };
            let hint = if told { entry.hint.max(0.0) * trust } else { 0.0 };
            let among = if told { 1 } else { self.cfg.n_instances };
            self.open(entry, entry.condition == Condition::Ready, Told { hint, since: self.now, among });
            self.due(entry.dest, LONG_AGO);
        }
    }

    /// A route as it begins: as if it had stood there, open and warm, since the list told of it.
    pub(crate) fn new_route(&self, id: RouteId) -> Route {
        // No list has told of a route that new settings made one.
        let untold = Told { hint: 0.0, since: self.now, among: self.cfg.n_instances };
        let told = self.listing.told(id).copied().unwrap_or(untold);
        // Another process of this sender handed on all that it had in use: the rest had stood for long.
        let since = if Some(told.since) > self.inherited_at { told.since } else { LONG_AGO };
        let (limit, hint, share) = (self.listing.limit(id), told.hint, 1.0 / told.among.max(1) as f64);
        Route { limit, hint, share, share_at: since, bucket: Bucket::of(1.0, since), ..Route::default() }
    }

    /// The endpoint for a destination's next call, and when another may be possible; or only that.
    pub(super) fn place(&mut self, id: DestId) -> Result<(EndpointId, Ns), Ns> {
        let now = self.now;
        let mut best = None;
        let mut wake = Ns::MAX;
        let most_trials = ((self.cfg.slots as f64 * DOUBT_SLOTS) as usize).max(1);
        for place in self.listing.usable(id).collect::<Vec<_>>() {
            let route_id = self.route_of(place);
            let at = self.ready_at(route_id);
            if at > now {
                wake = wake.min(at);
                continue;
            }
            let trials = || self.calls.values().filter(|c| c.trial).count();
            if self.routes[&route_id].doubt && trials() >= most_trials {
                continue;
            }
            // Ties fall by lot: by the list's order all senders would take the same endpoint.
            let lot = (self.lot.draw() * 1e9) as u64;
            let e = &self.endpoints[&place];
            let warm = if now - e.used_at < self.cfg.idle_close { e.warm } else { e.in_flight };
            let cold_conn = e.in_flight >= warm * self.cfg.streams_per_conn;
            let far = self.listing.at(place).zone() != self.cfg.zone;
            let key = (e.avoid_until > now, far, cold_conn, e.in_flight, lot, place);
            best = Some(best.map_or(key, |b| key.min(b)));
        }
        best.map(|(.., place)| (place, wake)).ok_or(wake)
    }

    /// Books a call that goes out to an endpoint.
    pub(super) fn occupy(&mut self, endpoint: EndpointId) {
        let (now, cfg) = (self.now, &self.cfg);
        let place = self.endpoints.get_mut(&endpoint).expect("a candidate's endpoint is known");
        place.gap = now.saturating_sub(place.used_at);
        if place.gap >= cfg.idle_close {
            place.warm = place.in_flight;
        }
        place.in_flight += 1;
        place.used_at = now;
        place.warm = place.warm.max(place.in_flight.div_ceil(cfg.streams_per_conn));
    }

    /// Closes idle connections that are seldom used or have stood for long: an endpoint takes only so many,
    /// and those who hold them hear nothing of the others that find no place. All senders together keep about
    /// as many as three would, which keep all. Costs handshakes. Tells whether some are still to be closed,
    /// though no message may come by then.
    pub(super) fn close_idle(&mut self, periodic: bool, out: &mut Vec<Action>) -> bool {
        let brief = 3 * self.cfg.idle_close / self.cfg.n_instances.max(3) as Ns;
        let used_at = if periodic { self.now - brief } else { LONG_AGO };
        for id in self.idle.due(used_at).collect::<BTreeSet<_>>() {
            self.idle.set(id, None);
            let place = self.endpoints.get_mut(&id).filter(|_| brief < self.cfg.idle_close);
            let Some(place) = place else { continue };
            let stood = if place.in_flight > 0 { 0 } else { self.now - place.used_at };
            if place.gap.max(stood) >= brief {
                place.warm = place.in_flight.div_ceil(self.cfg.streams_per_conn);
                out.push(Action::Close { endpoint: id });
            } else {
                self.idle.set(id, Some(place.used_at));
            }
        }
        self.idle.first().is_some()
    }
}
