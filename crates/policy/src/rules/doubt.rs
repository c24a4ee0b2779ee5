//! Outages: when a route is in doubt, how it is tried, and how a cold one is loaded again.
use super::*;

/// Failures without a success between, or share of failures (aged), that put a route in doubt.
const DOUBT_RUN: u32 = 3;
const DOUBT_SHARE: f64 = 0.6;
/// Of so many senders each hears little of an outage: one failure less, or a told wait of one that is shut.
const MANY: usize = 10;
/// Trials of a route in doubt are at least so far apart.
const LEAST_SPACING: Ns = 500 * MS;
/// Share of failures that starts the ramp of a cold route anew.
const RELAPSE: f64 = 0.5;
/// Part of the fall-over budget that is used.
const MARGIN: f64 = 0.7;

impl Sender {
    /// One symptom of an outage, whatever its kind. Enough of them put the route in doubt: only single spaced
    /// trials, and once an outcome `told` of one (its wait) a ramp. An overdue call then served was slow.
    /// Should cover kinds not listed too; harms where errors are common but the rest is well.
    pub(super) fn symptom(&mut self, id: RouteId, counts: bool, told: Option<Ns>) {
        let (fair, many) = (self.fair(), self.cfg.n_instances >= MANY);
        let Some(route) = self.routes.get_mut(&id) else { return };
        if counts {
            route.failures += 1;
            route.failing = route.failing * 0.7 + 0.3;
            // Many senders may each have heard of an outage by no more than this as it ends.
            if route.failures > 1 {
                (route.share, route.share_at) = (route.share.min(fair), self.now);
            }
        }
        let shut = many && told.is_some_and(|wait| wait >= pace::SHUT_WAIT);
        let sick = shut || route.failures >= DOUBT_RUN - many as u32 || route.failing > DOUBT_SHARE;
        if sick && !route.doubt {
            route.doubt = true;
            // What is out may yet be served: the first trial is spaced from here, not from the last call.
            route.next_trial = route.next_trial.max(self.now + LEAST_SPACING);
        }
        // Single failures among answers are no outage, and must not start the ramp anew for ever.
        if told.is_some() && (sick || route.cold && route.failing > RELAPSE) {
            route.cold = true;
            route.last_failure = self.now;
        }
    }

    /// Calls out far longer than usual are a symptom before their time-out: unsafe ones may have none. Each
    /// counts once if its endpoint has served nothing since it was sent (when one of two endpoints hangs, the
    /// other goes on serving); meanwhile its endpoint is avoided. If it has, that one call was lost: an
    /// endpoint that is avoided serves nothing, so its silence later says nothing of an outage.
    pub(super) fn notice_overdue(&mut self) {
        let mut seen = Vec::new();
        for call in self.calls.values_mut() {
            let patience = self.dests[&call.route.0].patience(&self.cfg, self.now);
            let Some(place) = self.endpoints.get_mut(&call.endpoint) else { continue };
            if self.now - call.sent > patience {
                call.late = true;
                place.avoid_until = place.avoid_until.max(self.now + SECOND);
                if place.served_at < call.sent && !call.overdue {
                    call.overdue = true;
                    seen.push(call.route);
                }
            }
        }
        for route in seen {
            self.symptom(route, true, None);
        }
    }

    /// When the route may next be called; at or before now means it may be called now.
    pub(super) fn ready_at(&mut self, id: RouteId) -> Ns {
        let (now, fair) = (self.now, self.fair());
        let Some(route) = self.routes.get_mut(&id) else { return Ns::MAX };
        let held_off = route.wait_until.max(route.not_before);
        if held_off > now {
            return held_off;
        }
        if route.cold && !route.doubt && now - route.last_failure > self.cfg.warm_up {
            route.cold = false;
            // All have work that stands by the end of the ramp: an equal share first.
            (route.share, route.share_at) = (route.share.min(fair), now - pace::STALE);
        }
        if route.doubt {
            // A call that is not late yet will tell; one that is may never end and keeps no trials away.
            let telling = self.calls.values().any(|c| c.route == id && !c.late);
            return if telling { Ns::MAX } else { route.next_trial };
        }
        route.paced(route.ramp(&self.cfg, now), fair, now)
    }
}

impl Route {
    /// Calls a second that a cold route may get from this sender: its part of the fall-over budget. It grows
    /// from the last failure seen, as the return may have come right after it.
    fn ramp(&self, c: &Settings, now: Ns) -> f64 {
        let told = [self.limit.unwrap_or(0.0), self.hint].into_iter().find(|&limit| limit > 0.0);
        let capacity = told.unwrap_or_else(|| self.served.per_second(now).max(1.0));
        let warm = ((now - self.last_failure) as f64 / c.warm_up.max(1) as f64).clamp(0.0, 1.0);
        let now_able = c.start_capacity + (1.0 - c.start_capacity) * warm;
        (MARGIN * c.overload_multiple * now_able * capacity).max(0.15) / c.n_instances.max(1) as f64
    }

    /// A call goes out: sets when the next one may, should this route be in doubt by then.
    pub fn space_trials(&mut self, lot: f64, cfg: &Settings, now: Ns) {
        let wait = (2e9 * lot / self.ramp(cfg, now)) as Ns;
        let most = SECOND * cfg.n_instances.max(3) as Ns;
        self.next_trial = now + wait.clamp(LEAST_SPACING, most);
    }
}
