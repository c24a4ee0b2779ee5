//! A view of a sender's state for operators. Nothing is decided or changed here.
use crate::api::*;
use crate::listing::RouteId;
use crate::rules::{Dest, Endpoint, Route, Sender, CLEANUP_INTERVAL, CONTROL_PERIOD};

impl Sender {
    /// The number of calls in flight, and the destinations with held messages; for logs.
    pub fn backlog(&self) -> (usize, Vec<Backlog>) {
        let dests = self.active.iter().filter_map(|id| Some((id, self.dests.get(id)?)));
        let view = |(&id, dest): (&DestId, &Dest)| {
            let arrived = dest.held.iter().filter_map(|m| self.messages.get(m)).map(|h| h.arrived).min()?;
            let (held, oldest, hold_reason) =
                (dest.held.len(), self.now - arrived, self.hold_reason(id, dest));
            let route = self.listing.endpoints_of(id).find_map(|e| self.routes.get(&self.route_of(e)));
            let (limit, share) =
                route.map_or((0.0, 0.0), |r| (r.hint, r.current_share(self.now, self.fair_share())));
            let (in_flight, cap) = (dest.in_flight, dest.cap);
            let served = dest.served.per_second(self.now);
            Some(Backlog { dest: id, held, oldest, in_flight, cap, hold_reason, served, limit, share })
        };
        (self.calls.len(), dests.filter_map(view).collect())
    }

    /// Endpoints that get no calls now, whatever slots are free: failing, in doubt, or within a requested
    /// wait.
    pub fn avoided_endpoints(&self, now: Ns) -> impl Iterator<Item = EndpointId> + '_ {
        let avoids = move |id: &EndpointId, e: &Endpoint| {
            let route = self.routes.get(&self.route_of(*id));
            let is_blocked = route.is_some_and(|r| r.doubt || r.wait_until > now);
            e.avoid_until > now || is_blocked
        };
        self.endpoints.iter().filter(move |(id, e)| avoids(id, e)).map(|(&id, _)| id)
    }

    /// The state that one process hands over to the next: the waits, circuit breakers and rates of all routes
    /// in use. Routes that are not included are at rest.
    pub fn route_states(&self, now: Ns) -> Vec<RouteState> {
        let remaining = |at: Ns| at.saturating_sub(now).max(0);
        let route_state = |(&(dest, endpoint), r): (&RouteId, &Route)| RouteState {
            dest,
            endpoint: (endpoint != EndpointId::MAX).then_some(endpoint),
            wait: remaining(r.wait_until),
            pause: remaining(r.paused_until),
            doubt: r.doubt,
            cold: r.cold,
            failed: now - r.last_failure,
            trial: remaining(r.next_trial),
            failures: r.failures,
            refusals: r.refusals,
            failing: r.failure_share,
            share: r.share,
            share_age: now - r.share_at,
            tokens: r.bucket.tokens,
            served: r.served.weight_at(now),
        };
        self.routes.iter().map(route_state).collect()
    }

    /// When a batch without events may free memory, if none comes before; no decision depends on it.
    pub fn next_cleanup(&self) -> Option<Ns> {
        let has_records = !self.dests.is_empty() || self.listing.unusable().next().is_some();
        has_records.then(|| (self.period_at + CONTROL_PERIOD).max(self.cleaned_up_at + CLEANUP_INTERVAL))
    }

    fn hold_reason(&self, id: DestId, dest: &Dest) -> HoldReason {
        let reason_of_route = |r: &Route| match () {
            _ if r.wait_until > self.now => HoldReason::Wait,
            _ if r.doubt => HoldReason::Doubt,
            _ if r.paused_until > self.now => HoldReason::Pause,
            _ if r.bucket.tokens < 1.0 => HoldReason::Pace,
            _ => HoldReason::Open,
        };
        let hold_reasons = self.usable_routes(id).map(reason_of_route);
        match hold_reasons.reduce(|a, b| if a == HoldReason::Open { a } else { b }) {
            None => HoldReason::NoEndpoint,
            _ if self.is_full() => HoldReason::Slots,
            _ if self.is_capped(id, dest) => HoldReason::Cap,
            Some(hold_reason) => hold_reason,
        }
    }
}
