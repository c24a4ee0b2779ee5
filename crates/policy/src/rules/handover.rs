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
}
