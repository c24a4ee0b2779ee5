//! State shared between two processes of one sender, while the new one replaces the old one.
use super::*;

impl Sender {
    /// While another process of this sender `sends`, this one only holds messages; afterwards the other one's
    /// `calls` in flight still hold slots and count for the caps.
    pub(super) fn set_other_process(&mut self, sends: bool, calls: &[DestId]) {
        (self.other_sends, self.other_calls) = (sends, calls.to_vec());
        self.schedule_all();
    }

    /// An outcome affects its route whichever process made the call.
    pub(super) fn other_process_attempt_end(&mut self, end: &AttemptEnd) {
        let Some(&listed) = self.listing.get(end.endpoint) else { return };
        self.dest_mut(listed.dest);
        let route_id = self.route_of(end.endpoint);
        self.apply_wait(route_id, end.wait);
        self.apply_outcome(end, route_id, self.now - end.took, false);
    }

    /// Restores the routes that the previous process had in use; all others were at rest.
    pub(super) fn restore_routes(&mut self, route_states: &[RouteState]) {
        let now = self.now;
        self.restored_at = Some(now);
        for old in route_states {
            self.dest_mut(old.dest);
            let id = (old.dest, old.endpoint.unwrap_or(EndpointId::MAX));
            let Some(route) = self.routes.get_mut(&id) else { continue };
            route.wait_until = route.wait_until.max(now + old.wait);
            route.paused_until = route.paused_until.max(now + old.pause);
            (route.doubt, route.cold) = (old.doubt, old.cold);
            (route.last_failure, route.next_trial) = (now - old.failed, now + old.trial);
            (route.failures, route.refusals, route.failure_share) = (old.failures, old.refusals, old.failing);
            (route.share, route.share_at) = (old.share, now - old.share_age);
            (route.bucket, route.served) = (Bucket::new(old.tokens, now), Stats::new(old.served, now));
            self.next_expiry = now;
            self.schedule_dest(old.dest, LONG_AGO);
        }
    }
}
