//! Ends of attempts: their effect on the message, its call, its destination and its route.
use super::*;

impl Sender {
    pub(super) fn end_attempt(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(held) = self.messages.get_mut(&end.id) else { return };
        let Some(attempt) = held.attempts.get_mut(end.attempt as usize).filter(|a| a.open) else {
            return;
        };
        attempt.open = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (call, message, finished) = (attempt.call, held.message, held.finished || end.done);
        if end.outcome.may_still_run() {
            self.pause_key(&message);
        }
        self.record_message_end(end, call, message.class);
        if finished {
            self.finish(end.id);
        } else if self.messages.get(&end.id).is_some_and(|m| !m.is_in_flight()) {
            self.hold(end.id);
            self.check_expiry(end.id, actions);
        }
    }

    /// Records the end of one of a call's messages; the call ends with the last of them.
    fn record_message_end(&mut self, end: &AttemptEnd, number: u64, class: usize) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number) else { return };
        let first = call.pending == call.messages.len();
        call.pending -= 1;
        let (last, counted) = (call.pending == 0, call.counted);
        let (dest_id, route_id, sent, level) = (call.route.0, call.route, call.sent, call.level);
        if last {
            self.calls.remove(&number);
        }
        let dest = self.dests.get_mut(&dest_id).expect("a call's destination is known");
        dest.add(end, class, level, sent, &self.cfg, now);
        dest.in_flight -= last as usize;
        self.schedule_dest(dest_id, LONG_AGO);
        // Messages of one call may end in several batches, and each of them restarts the wait.
        self.apply_wait(route_id, end.wait);
        if let Some(endpoint) = self.endpoints.get_mut(&end.endpoint).filter(|_| last) {
            endpoint.in_flight -= 1;
            endpoint.used_at = now;
            self.idle_endpoints.set(end.endpoint, Some(LONG_AGO));
        }
        if first {
            self.apply_outcome(end, route_id, sent, counted);
        }
    }

    /// A requested wait holds for all calls to its route. Some held messages may expire before its end.
    pub(super) fn apply_wait(&mut self, id: RouteId, wait: Ns) {
        if let Some(route) = self.routes.get_mut(&id).filter(|_| wait > 0) {
            route.wait_until = route.wait_until.max(self.now.saturating_add(wait));
            self.next_expiry = self.now;
        }
    }

    /// Applies one call's outcome to its route: reports of the limit, and symptoms of an outage.
    pub(super) fn apply_outcome(&mut self, end: &AttemptEnd, route_id: RouteId, sent: Ns, counted: bool) {
        let (now, senders) = (self.now, self.cfg.n_instances.max(1) as f64);
        let jitter = 0.5 + self.rng.uniform();
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else { return };
        let remaining = end.report.and_then(|report| route.reported(report));
        // The endpoint may have closed an idle connection; only a new one shows whether it is down.
        let connection_lost = end.outcome == Outcome::ConnectionLost && !end.reused_connection;
        match end.outcome {
            Outcome::Served => {
                (endpoint.served_at, endpoint.avoid_until) = (now, now);
                route.served(remaining, senders, now);
            }
            Outcome::Crowded => route.crowded(senders, jitter, now),
            Outcome::NotSent => route.paused_until = now + 4 * self.cfg.tick,
            _ => {}
        }
        let failed = match end.outcome {
            // Sent before the last refusal: it repeats that one, and says nothing of the lower rate.
            Outcome::TurnedAway if sent < route.last_refusal => end.wait >= pace::OUTAGE_WAIT,
            Outcome::TurnedAway => route.refused(end.wait, remaining, senders, jitter, now),
            // If it answered another call meanwhile, it is not down: all its connections are in use.
            Outcome::NoConnection => endpoint.served_at < now.saturating_sub(end.took.max(self.cfg.tick)),
            Outcome::ServerError | Outcome::NoAnswer => true,
            Outcome::ConnectionLost => connection_lost,
            Outcome::Served | Outcome::Crowded | Outcome::CalledOff | Outcome::NotSent => false,
        };
        use Outcome::{Crowded, NoAnswer, NoConnection, ServerError};
        if connection_lost || matches!(end.outcome, ServerError | NoAnswer | NoConnection | Crowded) {
            endpoint.avoid_until = now + SECOND;
        }
        if failed {
            self.record_symptom(route_id, !(counted && end.outcome == Outcome::NoAnswer), Some(end.wait));
        }
    }
}
