//! What operators may see of a sender's state. Nothing is decided by it, and nothing here changes it.
use crate::api::*;
use crate::listing::RouteId;
use crate::rules::{Dest, Endpoint, Route, Sender, FORGET_EVERY, PERIOD};

impl Sender {
    /// Calls out, and what is held for each destination: for the logs.
    pub fn backlog(&self) -> (usize, Vec<Backlog>) {
        let dests = self.active.iter().filter_map(|id| Some((id, self.dests.get(id)?)));
        let view = |(&id, dest): (&DestId, &Dest)| {
            let arrived = dest.held.iter().filter_map(|m| self.messages.get(m)).map(|h| h.arrived).min()?;
            let (held, oldest, hold_reason) =
                (dest.held.len(), self.now - arrived, self.hold_reason(id, dest));
            let route = self.listing.places(id).find_map(|e| self.routes.get(&self.route_of(e)));
            let (limit, share) = route.map_or((0.0, 0.0), |r| (r.hint, r.share_now(self.now, self.fair())));
            let (in_flight, cap) = (dest.in_flight, dest.cap);
            let served = dest.served.per_second(self.now);
            Some(Backlog { dest: id, held, oldest, in_flight, cap, hold_reason, served, limit, share })
        };
        (self.calls.len(), dests.filter_map(view).collect())
    }

    /// Endpoints that get nothing now, whatever room there is: failing, in doubt, or told to wait for.
    pub fn avoided_endpoints(&self, now: Ns) -> impl Iterator<Item = EndpointId> + '_ {
        let avoids = move |id: &EndpointId, e: &Endpoint| {
            let route = self.routes.get(&self.route_of(*id));
            let shut = route.is_some_and(|r| r.doubt || r.wait_until > now);
            e.avoid_until > now || shut
        };
        self.endpoints.iter().filter(move |(id, e)| avoids(id, e)).map(|(&id, _)| id)
    }

    /// What one process hands to the next: each wait, doubt and cold route, and the pace, as they stand. What it leaves
    /// out is at rest.
    pub fn route_states(&self, now: Ns) -> Vec<RouteState> {
        let left = |at: Ns| at.saturating_sub(now).max(0);
        let standing = |(&(dest, endpoint), r): (&RouteId, &Route)| RouteState {
            dest,
            endpoint: (endpoint != EndpointId::MAX).then_some(endpoint),
            wait: left(r.wait_until),
            pause: left(r.not_before),
            doubt: r.doubt,
            cold: r.cold,
            failed: now - r.last_failure,
            trial: left(r.next_trial),
            failures: r.failures,
            refusals: r.refusals,
            failing: r.failing,
            share: r.share,
            share_age: now - r.share_at,
            tokens: r.bucket.tokens,
            served: r.served.aged(now),
        };
        self.routes.iter().map(standing).collect()
    }

    /// When a batch without events may let go of memory, while none comes anyway; no decision waits for it.
    pub fn next_cleanup(&self) -> Option<Ns> {
        let holds = !self.dests.is_empty() || self.listing.unusable().next().is_some();
        holds.then(|| (self.decided_at + PERIOD).max(self.forgot_at + FORGET_EVERY))
    }

    fn hold_reason(&self, id: DestId, dest: &Dest) -> HoldReason {
        let of_route = |r: &Route| match () {
            _ if r.wait_until > self.now => HoldReason::Wait,
            _ if r.doubt => HoldReason::Doubt,
            _ if r.not_before > self.now => HoldReason::Pause,
            _ if r.bucket.tokens < 1.0 => HoldReason::Pace,
            _ => HoldReason::Open,
        };
        let hold_reasons = self.open_routes(id).map(of_route);
        match hold_reasons.reduce(|a, b| if a == HoldReason::Open { a } else { b }) {
            None => HoldReason::NoEndpoint,
            _ if self.is_full() => HoldReason::Slots,
            _ if self.is_capped(id, dest) => HoldReason::Cap,
            Some(hold_reason) => hold_reason,
        }
    }
}
