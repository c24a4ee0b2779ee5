//! Held messages: accepting them, and giving up those that have no time or no room left.
use super::*;

/// The paper's admission wait: this or 10% of the expected latency, whichever is longer.
const ADMISSION_WAIT: Ns = 100 * MS;
/// Share of `max_open` above which messages are refused after the admission wait.
const OPEN_SHARE: f64 = 0.9;

impl Sender {
    pub(super) fn accept(&mut self, message: Message) {
        if self.messages.contains_key(&message.id) || message.class >= self.cfg.classes.len() {
            return;
        }
        let now = self.now;
        let end = now + message.time_left.clamp(0, self.cfg.classes[message.class].deadline);
        let held =
            Held { message, arrived: now, end, attempts: Vec::new(), finished: false, recovered: false };
        self.key(&message).into_iter().for_each(|key| self.key_queues.push(key, message.id));
        self.messages.insert(message.id, held);
        self.open_messages += 1;
        self.dest_mut(message.dest).classes[message.class].arrivals.record(now, 1.0);
        self.hold(message.id);
    }

    /// Takes over a message of an earlier process with its attempts, which count; some may have run.
    pub(super) fn resume(&mut self, message: Message, past: &[PastAttempt], actions: &mut Vec<Action>) {
        self.accept(message);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        held.recovered = true;
        for attempt in past {
            let zone =
                attempt.endpoint.and_then(|e| self.listing.get(e)).map_or(usize::MAX, |listed| listed.zone());
            let endpoint = attempt.endpoint.unwrap_or(EndpointId::MAX);
            let (call, sent, may_have_run) = (u64::MAX, attempt.sent, attempt.may_have_run);
            held.attempts.push(Attempt { endpoint, zone, call, sent, open: false, may_have_run });
        }
        if past.iter().any(|attempt| attempt.may_have_run) {
            self.pause_key(&message);
        }
        self.check_expiry(message.id, actions);
    }

    pub(super) fn hold(&mut self, id: MsgId) {
        let held = &self.messages[&id];
        let (dest_id, end) = (held.message.dest, self.latest_start(held));
        let is_hopeless = self.evacuating || self.waiting_until(dest_id) > end;
        self.next_expiry = self.next_expiry.min(if is_hopeless { LONG_AGO } else { end });
        let dest = self.dests.get_mut(&dest_id).expect("a held message's destination is known");
        if self.active.insert(dest_id) {
            dest.choose_cap(&self.cfg, self.now);
        }
        dest.held.insert(id);
        self.schedule_dest(dest_id, LONG_AGO);
    }

    /// Marks a message as finished; while it has open attempts it stays, to block its key.
    pub(super) fn finish(&mut self, id: MsgId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        let (message, in_flight) = (held.message, held.is_in_flight());
        if !std::mem::replace(&mut held.finished, true) {
            self.open_messages -= 1;
            self.dest_mut(message.dest).held.remove(&id);
        }
        if !in_flight {
            self.messages.remove(&id);
            self.key(&message).into_iter().for_each(|key| self.key_queues.remove(key, id, self.now));
        }
    }

    pub(super) fn worth_at(&self, held: &Held, at: Ns) -> f64 {
        let class = &self.cfg.classes[held.message.class];
        class.worth_with_time_left(held.end - at, held.message.cost, self.cfg.worth_halves)
    }

    /// The latest time at which a call of a message can be expected to end in time.
    fn latest_start(&self, held: &Held) -> Ns {
        let latency = self.dests[&held.message.dest].latency.mean() as Ns;
        held.end - (latency / 2).min(self.cfg.classes[held.message.class].target / 4).max(2 * self.cfg.tick)
    }

    /// Gives up all held messages and cancels all calls; their messages end with the outcomes.
    pub(super) fn evacuate(&mut self, leaving: bool, actions: &mut Vec<Action>) {
        self.evacuating = leaving;
        if leaving {
            self.next_expiry = self.now;
            self.calls.keys().copied().collect::<Vec<_>>().iter().for_each(|&id| self.cancel(id, actions));
        }
    }

    pub(super) fn expire_held(&mut self, actions: &mut Vec<Action>) {
        let held = self.active.iter().flat_map(|d| self.dests[d].held.iter().copied()).collect::<Vec<_>>();
        self.next_expiry = held.into_iter().map(|id| self.check_expiry(id, actions)).min().unwrap_or(Ns::MAX);
    }

    /// Gives up a held message that has no time left or may not be sent again; returns its latest start.
    pub(super) fn check_expiry(&mut self, id: MsgId, actions: &mut Vec<Action>) -> Ns {
        let held = &self.messages[&id];
        let stuck = held.attempts.first().is_some_and(|first| !self.allows(held, Some(first.endpoint)));
        let at = self.latest_start(held);
        let late = at <= self.now || self.waiting_until(held.message.dest) > at;
        if stuck || late || self.evacuating {
            self.give_up(id, late, actions);
        }
        at
    }

    /// When the first requested wait ends, if every usable endpoint has asked to wait. A message that expires
    /// before that has no chance, and is given up as soon as the wait is known.
    fn waiting_until(&self, id: DestId) -> Ns {
        self.usable_routes(id).map(|r| r.wait_until).min().unwrap_or(LONG_AGO)
    }

    /// Refuses a message, or fails it if it may have run. `late`: for lack of time.
    fn give_up(&mut self, id: MsgId, late: bool, actions: &mut Vec<Action>) {
        let held = &self.messages[&id];
        actions.push(if self.allows(held, None) {
            Action::Refuse { id, backoff: self.backoff(held.message.dest), late }
        } else {
            Action::Fail { id, late }
        });
        self.finish(id);
    }

    /// Delay before a refused message is submitted again: until the next turn, and past any requested wait.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let turn = self.dests.get(&dest).map_or(0.0, |d| d.turn_interval(self.now));
        let wait = self.waiting_until(dest).saturating_sub(self.now);
        (turn as Ns).max(wait).min(self.cfg.max_retry_after).max(ADMISSION_WAIT)
    }

    /// With too many open messages, refuses those held for longer than the admission wait, least worth first.
    /// Messages recovered by a restart keep their turn; later ones are refused in their place.
    pub(super) fn shed_excess(&mut self, actions: &mut Vec<Action>) {
        let excess = self.open_messages.saturating_sub((self.cfg.max_open as f64 * OPEN_SHARE) as usize);
        if excess == 0 {
            return;
        }
        let mut ranked: Vec<(f64, MsgId)> = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let wait = ADMISSION_WAIT.max((dest.latency.mean() / 10.0) as Ns);
            // Far back in a slow queue a message has little worth left by its turn. So a failing
            // destination's messages don't crowd out those of healthy ones.
            let every = dest.turn_interval(self.now);
            for (position, &id) in dest.held.iter().enumerate() {
                let held = &self.messages[&id];
                if self.now - held.arrived > wait && !held.recovered && self.allows(held, None) {
                    ranked.push((self.worth_at(held, self.now + ((position + 1) as f64 * every) as Ns), id));
                }
            }
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in ranked.into_iter().take(excess) {
            self.give_up(id, false, actions);
        }
    }
}
