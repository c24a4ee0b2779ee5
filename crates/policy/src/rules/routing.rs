//! Chooses the endpoint for a call, follows the endpoint list, and closes idle connections.
use super::*;

const ROUGH_HINT_FACTOR: f64 = 0.6;
/// Share of the slots that all trial calls may hold together.
const TRIAL_SLOT_SHARE: f64 = 0.25;

impl Sender {
    /// Applies a list. Draining and gone endpoints are unusable before any call of the batch is sent.
    pub(super) fn apply_list(&mut self, complete: bool, entries: &[Entry]) {
        if complete {
            self.listing.mark_others_unusable(entries);
        }
        for entry in entries {
            // With a limit from the list a sender starts with all of it until it is refused: few senders have
            // messages for a destination at a time, and a fair share of a small limit would delay each one.
            let has_hint = self.cfg.hints && entry.hint.is_finite();
            let factor = if self.cfg.rough_hints { ROUGH_HINT_FACTOR } else { 1.0 };
            let hint = if has_hint { entry.hint.max(0.0) * factor } else { 0.0 };
            let split = if has_hint { 1 } else { self.cfg.n_instances };
            self.set_entry(entry, entry.condition == Condition::Ready, Hint { hint, since: self.now, split });
            self.schedule_dest(entry.dest, LONG_AGO);
        }
    }

    /// A new route: open and warm, as if it had been unused since it was listed.
    pub(crate) fn new_route(&self, id: RouteId) -> Route {
        // A route that came about by new settings has never been listed.
        let unlisted = Hint { hint: 0.0, since: self.now, split: self.cfg.n_instances };
        let listed = self.listing.route_hint(id).copied().unwrap_or(unlisted);
        // Another process of this sender handed over all routes in use: the others have long been unused.
        let since = if Some(listed.since) > self.restored_at { listed.since } else { LONG_AGO };
        let (limit, hint, share) = (self.listing.limit(id), listed.hint, 1.0 / listed.split.max(1) as f64);
        Route { limit, hint, share, share_at: since, bucket: Bucket::new(1.0, since), ..Route::default() }
    }

    /// The endpoint for a destination's next call and when another may be ready; or else only that time.
    pub(super) fn choose_endpoint(&mut self, id: DestId) -> Result<(EndpointId, Ns), Ns> {
        let now = self.now;
        let mut best = None;
        let mut wake = Ns::MAX;
        let max_trials = ((self.cfg.slots as f64 * TRIAL_SLOT_SHARE) as usize).max(1);
        for endpoint in self.listing.usable(id).collect::<Vec<_>>() {
            let route_id = self.route_of(endpoint);
            let at = self.ready_at(route_id);
            if at > now {
                wake = wake.min(at);
                continue;
            }
            let trials = || self.calls.values().filter(|c| c.trial).count();
            if self.routes[&route_id].doubt && trials() >= max_trials {
                continue;
            }
            // Ties are broken at random: by the order of the list all senders would choose the same one.
            let tie_break = (self.rng.uniform() * 1e9) as u64;
            let usage = &self.endpoints[&endpoint];
            let warm =
                if now - usage.used_at < self.cfg.idle_close { usage.connections } else { usage.in_flight };
            let must_dial = usage.in_flight >= warm * self.cfg.streams_per_conn;
            let other_zone = self.listing.at(endpoint).zone() != self.cfg.zone;
            let key = (usage.avoid_until > now, other_zone, must_dial, usage.in_flight, tie_break, endpoint);
            best = Some(best.map_or(key, |b| key.min(b)));
        }
        best.map(|(.., endpoint)| (endpoint, wake)).ok_or(wake)
    }

    pub(super) fn mark_sent(&mut self, id: EndpointId) {
        let (now, cfg) = (self.now, &self.cfg);
        let endpoint = self.endpoints.get_mut(&id).expect("a candidate's endpoint is known");
        endpoint.last_gap = now.saturating_sub(endpoint.used_at);
        if endpoint.last_gap >= cfg.idle_close {
            endpoint.connections = endpoint.in_flight;
        }
        endpoint.in_flight += 1;
        endpoint.used_at = now;
        endpoint.connections = endpoint.connections.max(endpoint.in_flight.div_ceil(cfg.streams_per_conn));
    }

    /// Closes connections that are seldom used or idle for long, which costs handshakes: an endpoint takes a
    /// limited number, and a sender that holds some doesn't see others being turned away. All senders
    /// together keep about as many as three would without closing any. Returns whether some are still to be
    /// closed, which needs a timer even if no message comes.
    pub(super) fn close_idle(&mut self, periodic: bool, actions: &mut Vec<Action>) -> bool {
        let max_idle = 3 * self.cfg.idle_close / self.cfg.n_instances.max(3) as Ns;
        let used_at = if periodic { self.now - max_idle } else { LONG_AGO };
        for id in self.idle_endpoints.due(used_at).collect::<BTreeSet<_>>() {
            self.idle_endpoints.set(id, None);
            let endpoint = self.endpoints.get_mut(&id).filter(|_| max_idle < self.cfg.idle_close);
            let Some(endpoint) = endpoint else { continue };
            let idle_for = if endpoint.in_flight > 0 { 0 } else { self.now - endpoint.used_at };
            if endpoint.last_gap.max(idle_for) >= max_idle {
                endpoint.connections = endpoint.in_flight.div_ceil(self.cfg.streams_per_conn);
                actions.push(Action::Close { endpoint: id });
            } else {
                self.idle_endpoints.set(id, Some(endpoint.used_at));
            }
        }
        self.idle_endpoints.earliest().is_some()
    }
}
