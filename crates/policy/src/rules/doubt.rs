//! Outages: a circuit breaker for each route. A route in doubt (open breaker) gets only single trial calls;
//! after an outage it is cold, and its load is ramped up.
use super::*;

/// Consecutive failures, or decaying share of failed calls, that put a route in doubt.
const DOUBT_FAILURES: u32 = 3;
const DOUBT_SHARE: f64 = 0.6;
/// With this many senders each sees little of an outage: one failure less, or one `OUTAGE_WAIT`, is enough.
const MANY_SENDERS: usize = 10;
const MIN_TRIAL_SPACING: Ns = 500 * MS;
/// Share of failed calls that restarts the warm-up of a cold route.
const RELAPSE_FAILURE_SHARE: f64 = 0.5;
const BUDGET_SHARE: f64 = 0.7;

impl Sender {
    /// Records a symptom of an outage; enough of them put the route in doubt. `wait` is the wait requested by
    /// a failed outcome; `None` means an overdue call, which may just be slow and starts no warm-up. Harmful
    /// where frequent errors have other causes than an outage.
    pub(super) fn record_symptom(&mut self, id: RouteId, counts: bool, wait: Option<Ns>) {
        let (fair, many) = (self.fair_share(), self.cfg.n_instances >= MANY_SENDERS);
        let Some(route) = self.routes.get_mut(&id) else { return };
        if counts {
            route.failures += 1;
            route.failure_share = route.failure_share * 0.7 + 0.3;
            // With many senders, each may have seen just two failures by the end of an outage.
            if route.failures > 1 {
                (route.share, route.share_at) = (route.share.min(fair), self.now);
            }
        }
        let is_shut = many && wait.is_some_and(|wait| wait >= pace::OUTAGE_WAIT);
        let is_down =
            is_shut || route.failures >= DOUBT_FAILURES - many as u32 || route.failure_share > DOUBT_SHARE;
        if is_down && !route.doubt {
            route.doubt = true;
            // Calls in flight may still be served: the first trial is spaced from now, not from the last one.
            route.next_trial = route.next_trial.max(self.now + MIN_TRIAL_SPACING);
        }
        // Single failures among answers are no outage, and must not restart the warm-up again and again.
        if wait.is_some() && (is_down || route.cold && route.failure_share > RELAPSE_FAILURE_SHARE) {
            route.cold = true;
            route.last_failure = self.now;
        }
    }

    /// Counts overdue calls as symptoms before their timeout, as calls with unsafe messages may have none.
    /// Each counts once, if its endpoint has served nothing since it was sent: one of two endpoints may hang
    /// alone. Otherwise only that call was lost; the endpoint is avoided, so its later silence is no symptom.
    pub(super) fn check_overdue(&mut self) {
        let mut suspected = Vec::new();
        for call in self.calls.values_mut() {
            let max_age = self.dests[&call.route.0].max_age(&self.cfg, self.now);
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            if self.now - call.sent > max_age {
                call.overdue = true;
                endpoint.avoid_until = endpoint.avoid_until.max(self.now + SECOND);
                if endpoint.served_at < call.sent && !call.counted {
                    call.counted = true;
                    suspected.push(call.route);
                }
            }
        }
        for route in suspected {
            self.record_symptom(route, true, None);
        }
    }

    /// The earliest time of the route's next call; a time that is not in the future means at once.
    pub(super) fn ready_at(&mut self, id: RouteId) -> Ns {
        let (now, fair) = (self.now, self.fair_share());
        let Some(route) = self.routes.get_mut(&id) else { return Ns::MAX };
        let blocked_until = route.wait_until.max(route.paused_until);
        if blocked_until > now {
            return blocked_until;
        }
        if route.cold && !route.doubt && now - route.last_failure > self.cfg.warm_up {
            route.cold = false;
            // All senders have queued messages by the end of the warm-up, so each begins with the fair share.
            (route.share, route.share_at) = (route.share.min(fair), now - pace::REPORT_LIFETIME);
        }
        if route.doubt {
            // Waits for the outcome of calls in flight, but not of overdue ones, which may never end.
            let awaits_outcome = self.calls.values().any(|c| c.route == id && !c.overdue);
            return if awaits_outcome { Ns::MAX } else { route.next_trial };
        }
        route.next_call_at(route.warm_up_rate(&self.cfg, now), fair, now)
    }
}

impl Route {
    /// Calls per second that a cold route may get from this sender: its part of the overload budget. The
    /// budget grows from the last failure, as the destination may have returned right after it.
    fn warm_up_rate(&self, cfg: &Settings, now: Ns) -> f64 {
        let limit = [self.limit.unwrap_or(0.0), self.hint].into_iter().find(|&limit| limit > 0.0);
        let capacity = limit.unwrap_or_else(|| self.served.per_second(now).max(1.0));
        let warmth = ((now - self.last_failure) as f64 / cfg.warm_up.max(1) as f64).clamp(0.0, 1.0);
        let ability = cfg.start_capacity + (1.0 - cfg.start_capacity) * warmth;
        (BUDGET_SHARE * cfg.overload_multiple * ability * capacity).max(0.15) / cfg.n_instances.max(1) as f64
    }

    /// Called for each call sent: sets when the next one may follow if the route is in doubt by then.
    pub fn schedule_trial(&mut self, draw: f64, cfg: &Settings, now: Ns) {
        let spacing = (2e9 * draw / self.warm_up_rate(cfg, now)) as Ns;
        let max_spacing = SECOND * cfg.n_instances.max(3) as Ns;
        self.next_trial = now + spacing.clamp(MIN_TRIAL_SPACING, max_spacing);
    }
}
