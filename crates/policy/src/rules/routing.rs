//! Which endpoint of a destination gets a call, and which connections to endpoints are kept.
use super::*;

/// Part of a rough figure that is trusted.
const ROUGH: f64 = 0.6;
/// Share of the slots that calls to all routes in doubt may hold together.
const DOUBT_SLOTS: f64 = 0.25;

impl Sender {
    /// Follows the list. Draining and gone endpoints are unusable before anything of the batch is sent.
    pub(super) fn list(&mut self, whole: bool, entries: &[Entry]) {
        if whole {
            self.listing.withdraw_all();
            self.endpoints.values_mut().for_each(|e| e.usable = false);
        }
        for entry in entries {
            // Where the list tells the limit nothing is held back before a refusal: of many senders few have
            // work for a destination at any time, and an equal share of a small limit holds up each message.
            let told = self.cfg.hints && entry.hint.is_finite();
            let trust = if self.cfg.rough_hints { ROUGH } else { 1.0 };
            let hint = if told { entry.hint.max(0.0) * trust } else { 0.0 };
            let among = if told { 1 } else { self.cfg.n_instances };
            self.open(entry, Told { hint, since: self.now, among });
            self.due(entry.dest, LONG_AGO);
        }
        if whole {
            self.unlisted.extend(self.listing.unusable());
        }
    }

    /// The endpoint for a destination's next call, and when another may be possible; or only that.
    pub(super) fn place(&mut self, id: DestId) -> Result<(EndpointId, Ns), Ns> {
        let now = self.now;
        let mut best = None;
        let mut wake = Ns::MAX;
        let most_trials = ((self.cfg.slots as f64 * DOUBT_SLOTS) as usize).max(1);
        for place in self.dests[&id].places.clone() {
            if !self.endpoints.get(&place).is_some_and(|e| e.dest == id && e.usable) {
                continue;
            }
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
            let far = e.zone != self.cfg.zone;
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
        let ended = std::mem::take(&mut self.ended);
        let brief = 3 * self.cfg.idle_close / self.cfg.n_instances.max(3) as Ns;
        if brief >= self.cfg.idle_close {
            return false;
        }
        self.idle.extend(&ended);
        for id in if periodic { self.idle.clone() } else { ended } {
            let Some(place) = self.endpoints.get_mut(&id) else { continue };
            let stood = if place.in_flight > 0 { 0 } else { self.now - place.used_at };
            if place.gap.max(stood) >= brief {
                place.warm = place.in_flight.div_ceil(self.cfg.streams_per_conn);
                self.idle.remove(&id);
                out.push(Action::Close { endpoint: id });
            }
        }
        !self.idle.is_empty()
    }
}
