//! What goes now: the most urgent of the held work, as caps, slots, pace and doubt allow.
use super::*;

/// A call that may be made: where, with which messages, and its worth for the time that it holds a slot.
struct Plan {
    dest: DestId,
    endpoint: EndpointId,
    messages: Vec<MsgId>,
    worth: f64,
}

impl Sender {
    /// Sends what may go now, the most urgent first. While all slots are taken only the period looks.
    pub(super) fn dispatch(&mut self, periodic: bool, out: &mut Vec<Action>) {
        if self.is_full() && !periodic {
            return;
        }
        let mut look: Vec<DestId> = self.agenda.due(self.now).collect();
        let mut sendable: Vec<Plan> = Vec::new();
        loop {
            for id in look.drain(..) {
                match self.candidate(id) {
                    Ok(plan) => sendable.push(plan),
                    Err(at) => self.due(id, at),
                }
            }
            let best = (0..sendable.len()).max_by(|&a, &b| sendable[a].worth.total_cmp(&sendable[b].worth));
            let Some(best) = best.filter(|_| !self.is_full()) else { break };
            let plan = sendable.swap_remove(best);
            look.push(plan.dest);
            self.send(plan, out);
        }
        if self.cfg.may_cancel && !sendable.is_empty() && !self.calls.values().any(|c| c.cancelled) {
            self.free_a_slot(out);
        }
    }

    /// The next call to a destination; or when one may be possible.
    fn candidate(&mut self, id: DestId) -> Result<Plan, Ns> {
        let dest = &self.dests[&id];
        if dest.held.is_empty() || self.is_capped(id, dest) {
            return Err(Ns::MAX);
        }
        let (endpoint, wake) = self.place(id)?;
        let messages = self.most_urgent(id, endpoint);
        if messages.is_empty() {
            return Err(wake);
        }
        let latency = self.dests[&id].latency.mean() as Ns;
        let gain: f64 = messages.iter().map(|m| self.worth(&self.messages[m], self.now + latency)).sum();
        // Where slots are scarce, worth for the time that a slot is held counts.
        let worth = gain / latency.max(PERIOD) as f64;
        Ok(Plan { dest: id, endpoint, messages, worth })
    }

    /// What of the held work goes first to an endpoint, as much as fits into one call: by what going last
    /// instead of now would cost. In a short queue that is little but to the oldest, in a long one all: fresh
    /// work goes first, and late work takes what is left over.
    fn most_urgent(&self, id: DestId, endpoint: EndpointId) -> Vec<MsgId> {
        let (now, dest, route_id) = (self.now, &self.dests[&id], self.route_of(endpoint));
        let batch = self.cfg.kinds.get(self.listing.at(endpoint).kind()).map_or(1, |k| k.batch.max(1));
        let drain = ((dest.held.len() as f64 * dest.turn_every(now)) as Ns).clamp(SECOND, 30 * SECOND);
        let latency = dest.latency.mean() as Ns;
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for &m in &dest.held {
            let held = &self.messages[&m];
            if !self.allows(held, Some(endpoint)) || !self.has_turn(held) {
                continue;
            }
            let mut urgency = self.worth(held, now + latency) - self.worth(held, now + latency + drain);
            // A trial may be lost: an unsafe message cannot be sent again and goes last, and not at all while
            // calls are out that may still tell.
            if self.routes[&route_id].doubt && self.cfg.classes[held.message.class].effect == Effect::Unsafe {
                if self.calls.values().any(|c| c.route == route_id) {
                    continue;
                }
                urgency -= 1e6;
            }
            order.push((urgency, m));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().take(batch).map(|(_, m)| m).collect()
    }

    fn send(&mut self, plan: Plan, out: &mut Vec<Action>) {
        let (now, endpoint, route_id) = (self.now, plan.endpoint, self.route_of(plan.endpoint));
        let lot = self.lot.draw();
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.space_trials(lot, &self.cfg, now);
        route.bucket.tokens -= 1.0;
        let trial = route.doubt;
        self.occupy(endpoint);
        let zone = self.listing.at(endpoint).zone();
        let dest = self.dests.get_mut(&plan.dest).expect("a candidate's destination is known");
        dest.in_flight += 1;
        let level = dest.in_flight.min(top(&self.cfg));
        let patience = 2 * dest.patience(&self.cfg, now);
        dest.held.retain(|h| !plan.messages.contains(h));
        let (call, left, route) = (self.next_call, plan.messages.len(), route_id);
        self.next_call += 1;
        for &id in &plan.messages {
            // A repeat that a slow connection carried past the window would not be dropped as one.
            let held = &self.messages[&id];
            let repeat = held.attempts.iter().any(|a| a.may_have_run);
            let send_by = if repeat { self.resend_until(held) } else { held.end };
            let held = self.messages.get_mut(&id).expect("held messages are known");
            held.attempts.push(Attempt { endpoint, zone, call, sent: now, out: true, may_have_run: true });
            // Giving up early gains only where the message may then go again.
            let again = now + patience + 2 * self.cfg.tick;
            let useful = again < self.resend_until(&self.messages[&id]);
            out.push(Action::Send { id, endpoint, timeout: if useful { patience } else { 0 }, send_by });
        }
        let messages = plan.messages;
        let new = Call { endpoint, route, level, sent: now, left, trial, messages, ..Call::default() };
        self.calls.insert(call, new);
    }

    /// All slots are taken while work waits: calls off the call longest overdue if its work may go again, or
    /// if it has had three times its time: an unsafe message then fails, as its slot serves many others.
    /// Guards against hung or lossy destinations that hold every slot; would harm where all is slow or a
    /// message is heavy by itself, so each is called off once at most while it may go on.
    fn free_a_slot(&mut self, out: &mut Vec<Action>) {
        // Members of a call that have come back don't matter; one that hangs holds the slot for all.
        let fresh = |id: &MsgId| {
            self.messages.get(id).is_none_or(|h| {
                let runs = h.attempts.iter().filter(|a| a.may_have_run).count();
                !h.out() || runs == 1 && self.now + SECOND < self.resend_until(h)
            })
        };
        let may_end = |c: &Call| {
            let (age, patience) = (self.now - c.sent, self.dests[&c.route.0].patience(&self.cfg, self.now));
            age > patience && c.messages.iter().all(fresh) || age > 3 * patience
        };
        let overdue = self.calls.iter().find(|(_, c)| may_end(c)).map(|(&number, _)| number);
        overdue.into_iter().for_each(|call| self.call_off(call, out));
    }

    /// Takes back all messages of a call that are out.
    pub(super) fn call_off(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.cancelled = true;
        for &id in &call.messages {
            let mut attempts = self.messages.get(&id).into_iter().flat_map(|h| h.attempts.iter());
            let attempt = attempts.position(|a| a.call == number && a.out);
            out.extend(attempt.map(|attempt| Action::Cancel { id, attempt: attempt as u32 }));
        }
    }
}
