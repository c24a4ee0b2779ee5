//! Sends the most urgent held messages, as caps, slots, rate limits and circuit breakers allow.
use super::*;

/// A call that may be made, and its worth per time that it holds a slot, as slots may be scarce.
struct Plan {
    dest: DestId,
    endpoint: EndpointId,
    messages: Vec<MsgId>,
    worth_rate: f64,
}

impl Sender {
    /// Sends what is possible now, most valuable calls first. With no free slot only periodic batches plan.
    pub(super) fn dispatch(&mut self, periodic: bool, actions: &mut Vec<Action>) {
        if self.is_full() && !periodic {
            return;
        }
        let mut due: Vec<DestId> = self.schedule.due(self.now).collect();
        let mut plans: Vec<Plan> = Vec::new();
        loop {
            for id in due.drain(..) {
                match self.plan_call(id) {
                    Ok(plan) => plans.push(plan),
                    Err(at) => self.schedule_dest(id, at),
                }
            }
            let best = (0..plans.len()).max_by(|&a, &b| plans[a].worth_rate.total_cmp(&plans[b].worth_rate));
            let Some(best) = best.filter(|_| !self.is_full()) else { break };
            let plan = plans.swap_remove(best);
            due.push(plan.dest);
            self.send(plan, actions);
        }
        if self.cfg.may_cancel && !plans.is_empty() && !self.calls.values().any(|c| c.cancelled) {
            self.cancel_for_slot(actions);
        }
    }

    /// The next call to a destination, or else when one may be possible.
    fn plan_call(&mut self, id: DestId) -> Result<Plan, Ns> {
        let dest = &self.dests[&id];
        if dest.held.is_empty() || self.is_capped(id, dest) {
            return Err(Ns::MAX);
        }
        let (endpoint, wake) = self.choose_endpoint(id)?;
        let messages = self.most_urgent(id, endpoint);
        if messages.is_empty() {
            return Err(wake);
        }
        let latency = self.dests[&id].latency.mean() as Ns;
        let gain: f64 = messages.iter().map(|m| self.worth_at(&self.messages[m], self.now + latency)).sum();
        let worth_rate = gain / latency.max(CONTROL_PERIOD) as f64;
        Ok(Plan { dest: id, endpoint, messages, worth_rate })
    }

    /// The held messages that go to an endpoint first, as many as fit into one call: those that lose most
    /// worth if sent last instead of now. In a short queue that is the oldest ones; in a long one all lose
    /// their worth, so fresh messages go first and late ones get the rest.
    fn most_urgent(&self, id: DestId, endpoint: EndpointId) -> Vec<MsgId> {
        let (now, dest, route_id) = (self.now, &self.dests[&id], self.route_of(endpoint));
        let batch = self.cfg.kinds.get(self.listing.at(endpoint).kind()).map_or(1, |k| k.batch.max(1));
        let drain = ((dest.held.len() as f64 * dest.turn_interval(now)) as Ns).clamp(SECOND, 30 * SECOND);
        let latency = dest.latency.mean() as Ns;
        let mut ranked: Vec<(f64, MsgId)> = Vec::new();
        for &m in &dest.held {
            let held = &self.messages[&m];
            if !self.allows(held, Some(endpoint)) || !self.has_turn(held) {
                continue;
            }
            let mut urgency = self.worth_at(held, now + latency) - self.worth_at(held, now + latency + drain);
            // A trial may be lost: an unsafe message goes last, as it can't be sent again, and not at all
            // while the outcome of another call is awaited.
            if self.routes[&route_id].doubt && self.cfg.classes[held.message.class].effect == Effect::Unsafe {
                if self.calls.values().any(|c| c.route == route_id) {
                    continue;
                }
                urgency -= 1e6;
            }
            ranked.push((urgency, m));
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked.into_iter().take(batch).map(|(_, m)| m).collect()
    }

    fn send(&mut self, plan: Plan, actions: &mut Vec<Action>) {
        let (now, endpoint, route_id) = (self.now, plan.endpoint, self.route_of(plan.endpoint));
        let draw = self.rng.uniform();
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.schedule_trial(draw, &self.cfg, now);
        route.bucket.tokens -= 1.0;
        let trial = route.doubt;
        self.mark_sent(endpoint);
        let zone = self.listing.at(endpoint).zone();
        let dest = self.dests.get_mut(&plan.dest).expect("a candidate's destination is known");
        dest.in_flight += 1;
        let level = dest.in_flight.min(max_cap(&self.cfg));
        let timeout = 2 * dest.max_age(&self.cfg, now);
        dest.held.retain(|h| !plan.messages.contains(h));
        let (call, pending, route) = (self.next_call, plan.messages.len(), route_id);
        self.next_call += 1;
        for &id in &plan.messages {
            // A repeat that arrives after the deduplication window would not be dropped.
            let held = &self.messages[&id];
            let is_repeat = held.attempts.iter().any(|a| a.may_have_run);
            let send_by = if is_repeat { self.resend_until(held) } else { held.end };
            let held = self.messages.get_mut(&id).expect("held messages are known");
            held.attempts.push(Attempt { endpoint, zone, call, sent: now, open: true, may_have_run: true });
            // A timeout helps only if the message may be sent again after it.
            let resend_at = now + timeout + 2 * self.cfg.tick;
            let resends = resend_at < self.resend_until(&self.messages[&id]);
            actions.push(Action::Send { id, endpoint, timeout: if resends { timeout } else { 0 }, send_by });
        }
        let messages = plan.messages;
        let new = Call { endpoint, route, level, sent: now, pending, trial, messages, ..Call::default() };
        self.calls.insert(call, new);
    }

    /// Cancels the longest overdue call while all slots are in use and messages wait: at `max_age` if all its
    /// messages may be sent again, at three times that in any case (unsafe messages then fail, but the slot
    /// serves many others). Guards against hung or lossy destinations that hold every slot. Where everything
    /// is slow or a message is heavy this would harm, so a message is cancelled early only once.
    fn cancel_for_slot(&mut self, actions: &mut Vec<Action>) {
        // Messages of the call that have an outcome don't matter; one that hangs holds the slot for all.
        let may_resend = |id: &MsgId| {
            self.messages.get(id).is_none_or(|h| {
                let runs = h.attempts.iter().filter(|a| a.may_have_run).count();
                !h.is_in_flight() || runs == 1 && self.now + SECOND < self.resend_until(h)
            })
        };
        let is_cancellable = |c: &Call| {
            let (age, max_age) = (self.now - c.sent, self.dests[&c.route.0].max_age(&self.cfg, self.now));
            age > max_age && c.messages.iter().all(may_resend) || age > 3 * max_age
        };
        let overdue = self.calls.iter().find(|(_, c)| is_cancellable(c)).map(|(&number, _)| number);
        overdue.into_iter().for_each(|call| self.cancel(call, actions));
    }

    /// Cancels the open attempts of a call.
    pub(super) fn cancel(&mut self, number: u64, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.cancelled = true;
        for &id in &call.messages {
            let mut attempts = self.messages.get(&id).into_iter().flat_map(|h| h.attempts.iter());
            let attempt = attempts.position(|a| a.call == number && a.open);
            actions.extend(attempt.map(|attempt| Action::Cancel { id, attempt: attempt as u32 }));
        }
    }
}
