//! How attempts end: what that means for the message, its call, its destination and its route.
use super::*;

impl Sender {
    pub(super) fn attempt_end(&mut self, e: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(held) = self.messages.get_mut(&e.id) else { return };
        let Some(attempt) = held.attempts.get_mut(e.attempt as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        attempt.may_have_run = !e.outcome.never_ran();
        let (call, message, over) = (attempt.call, held.message, held.over || e.done);
        if e.outcome.may_still_run() {
            self.rest_key(&message);
        }
        self.call_end(e, call, message.class);
        if over {
            self.close(e.id);
        } else if self.messages.get(&e.id).is_some_and(|m| !m.out()) {
            self.hold(e.id);
            self.end_if_hopeless(e.id, out);
        }
    }

    /// Books the end of one of a call's messages; with the last of them the call is over.
    fn call_end(&mut self, e: &AttemptEnd, number: u64, class: usize) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number) else { return };
        let first = call.left == call.messages.len();
        call.left -= 1;
        let (last, overdue) = (call.left == 0, call.overdue);
        let (dest_id, route_id, sent, level) = (call.route.0, call.route, call.sent, call.level);
        if last {
            self.calls.remove(&number);
        }
        let dest = self.dests.get_mut(&dest_id).expect("a call's destination is known");
        dest.book(e, class, level, sent, &self.cfg, now);
        dest.in_flight -= last as usize;
        self.due(dest_id, LONG_AGO);
        // Members of one call may come back in several batches, and a wait runs from each of these.
        self.heed(route_id, e.wait);
        if let Some(place) = self.endpoints.get_mut(&e.endpoint).filter(|_| last) {
            place.in_flight -= 1;
            place.used_at = now;
            self.idle.set(e.endpoint, Some(LONG_AGO));
        }
        if first {
            self.judge(e, route_id, sent, overdue);
        }
    }

    /// A told wait binds all that is sent to its route. Some of what is held may not outlast it.
    pub(super) fn heed(&mut self, id: RouteId, wait: Ns) {
        if let Some(route) = self.routes.get_mut(&id).filter(|_| wait > 0) {
            route.wait_until = route.wait_until.max(self.now.saturating_add(wait));
            self.next_end = self.now;
        }
    }

    /// Reads one call's outcome for its route: the limit's reports and the symptoms of an outage.
    pub(super) fn judge(&mut self, e: &AttemptEnd, route_id: RouteId, sent: Ns, overdue: bool) {
        let (now, n) = (self.now, self.cfg.n_instances.max(1) as f64);
        let jitter = 0.5 + self.lot.draw();
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(place) = self.endpoints.get_mut(&e.endpoint) else { return };
        let left = e.report.and_then(|report| route.reported(report));
        // The endpoint may have closed an idle connection: whether it is down a new one will tell.
        let lost = e.outcome == Outcome::ConnectionLost && !e.reused_connection;
        match e.outcome {
            Outcome::Served => {
                (place.served_at, place.avoid_until) = (now, now);
                route.served(left, n, now);
            }
            Outcome::Crowded => route.crowded(n, jitter, now),
            Outcome::NotSent => route.not_before = now + 4 * self.cfg.tick,
            _ => {}
        }
        let failed = match e.outcome {
            // Sent before the last refusal was heard: it says that once more, not that less is too much too.
            Outcome::TurnedAway if sent < route.refused_at => e.wait >= pace::SHUT_WAIT,
            Outcome::TurnedAway => route.refused(e.wait, left, n, jitter, now),
            // If it answered another call meanwhile its connections are all taken, and it is not down.
            Outcome::NoConnection => place.served_at < now.saturating_sub(e.took.max(self.cfg.tick)),
            Outcome::ServerError | Outcome::NoAnswer => true,
            Outcome::ConnectionLost => lost,
            Outcome::Served | Outcome::Crowded | Outcome::CalledOff | Outcome::NotSent => false,
        };
        use Outcome::{Crowded, NoAnswer, NoConnection, ServerError};
        if lost || matches!(e.outcome, ServerError | NoAnswer | NoConnection | Crowded) {
            place.avoid_until = now + SECOND;
        }
        if failed {
            self.symptom(route_id, !(overdue && e.outcome == Outcome::NoAnswer), Some(e.wait));
        }
    }
}
