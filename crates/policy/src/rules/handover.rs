//! What two processes of one sender tell each other.
use super::*;

impl Sender {
    /// While another process of this sender sends, this one holds what it takes; later that one's calls out
    /// hold their slots and count for the caps.
    pub(super) fn elsewhere(&mut self, sends: bool, calls: &[DestId]) {
        (self.sends_elsewhere, self.elsewhere) = (sends, calls.to_vec());
        self.look_at_all();
    }

    /// What an outcome tells of its route holds whichever process made the call.
    pub(super) fn ended_elsewhere(&mut self, e: &AttemptEnd) {
        let Some(&listed) = self.listing.get(e.endpoint) else { return };
        self.dest(listed.dest);
        let route_id = self.route_of(e.endpoint);
        self.heed(route_id, e.wait);
        self.judge(e, route_id, self.now - e.took, false);
    }

    /// Takes up what the process before this one knew: all that it had in use; all else was at rest.
    pub(super) fn inherit(&mut self, route_states: &[RouteState]) {
        let now = self.now;
        self.inherited_at = Some(now);
        for s in route_states {
            self.dest(s.dest);
            let id = (s.dest, s.endpoint.unwrap_or(EndpointId::MAX));
            let Some(route) = self.routes.get_mut(&id) else { continue };
            route.wait_until = route.wait_until.max(now + s.wait);
            route.not_before = route.not_before.max(now + s.pause);
            (route.doubt, route.cold) = (s.doubt, s.cold);
            (route.last_failure, route.next_trial) = (now - s.failed, now + s.trial);
            (route.failures, route.refusals, route.failing) = (s.failures, s.refusals, s.failing);
            (route.share, route.share_at) = (s.share, now - s.share_age);
            (route.bucket, route.served) = (Bucket::of(s.tokens, now), Stat::of(s.served, now));
            self.next_end = now;
            self.due(s.dest, LONG_AGO);
        }
    }
}
