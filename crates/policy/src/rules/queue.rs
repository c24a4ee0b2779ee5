//! What is held: taking on, waiting, and the final answers to what is given up.
use super::*;

/// The paper's admission wait: this or 10% of the expected run time, whichever is longer.
const ADMISSION: Ns = 100 * MS;
/// Share of the room that may be held before the admission wait counts.
const ROOM: f64 = 0.9;

impl Sender {
    pub(super) fn take(&mut self, message: Message) {
        if self.messages.contains_key(&message.id) || message.class >= self.cfg.classes.len() {
            return;
        }
        let now = self.now;
        let end = now + message.time_left.clamp(0, self.cfg.classes[message.class].deadline);
        let held = Held { message, arrived: now, end, attempts: Vec::new(), over: false, found: false };
        self.key(&message).into_iter().for_each(|key| self.keys.join(key, message.id));
        self.messages.insert(message.id, held);
        self.open += 1;
        self.dest(message.dest).classes[message.class].arrivals.book(now, 1.0);
        self.hold(message.id);
    }

    /// Takes up what an earlier process left: attempts used count on, and one that was out then may have run.
    pub(super) fn resume(&mut self, message: Message, past: &[PastAttempt], out: &mut Vec<Action>) {
        self.take(message);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        held.found = true;
        for p in past {
            let zone =
                p.endpoint.and_then(|e| self.listing.get(e)).map_or(usize::MAX, |listed| listed.zone());
            let endpoint = p.endpoint.unwrap_or(EndpointId::MAX);
            let (call, sent, may_have_run) = (u64::MAX, p.sent, p.may_have_run);
            held.attempts.push(Attempt { endpoint, zone, call, sent, out: false, may_have_run });
        }
        if past.iter().any(|p| p.may_have_run) {
            self.rest_key(&message);
        }
        self.end_if_hopeless(message.id, out);
    }

    /// Holds a message until its turn.
    pub(super) fn hold(&mut self, id: MsgId) {
        let held = &self.messages[&id];
        let (dest_id, end) = (held.message.dest, self.last_call(held));
        let over = self.evacuates || self.waits_until(dest_id) > end;
        self.next_end = self.next_end.min(if over { LONG_AGO } else { end });
        let dest = self.dests.get_mut(&dest_id).expect("a held message's destination is known");
        if self.active.insert(dest_id) {
            dest.choose_cap(&self.cfg, self.now);
        }
        dest.held.insert(id);
        self.due(dest_id, LONG_AGO);
    }

    /// Ends the book on a message that is over; it stays while attempts are out, to hold its key's turn.
    pub(super) fn close(&mut self, id: MsgId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        let (message, out) = (held.message, held.out());
        if !std::mem::replace(&mut held.over, true) {
            self.open -= 1;
            self.dest(message.dest).held.remove(&id);
        }
        if !out {
            self.messages.remove(&id);
            self.key(&message).into_iter().for_each(|key| self.keys.leave(key, id, self.now));
        }
    }

    /// Worth of a message if it were delivered at a time.
    pub(super) fn worth(&self, held: &Held, at: Ns) -> f64 {
        let class = &self.cfg.classes[held.message.class];
        class.worth_with_time_left(held.end - at, held.message.cost, self.cfg.worth_halves)
    }

    /// When a message's time left no longer covers a call.
    fn last_call(&self, held: &Held) -> Ns {
        let latency = self.dests[&held.message.dest].latency.mean() as Ns;
        held.end - (latency / 2).min(self.cfg.classes[held.message.class].target / 4).max(2 * self.cfg.tick)
    }

    /// Ends all that is held, and calls off what is out: it ends as its outcome comes.
    pub(super) fn evacuate(&mut self, goes: bool, out: &mut Vec<Action>) {
        self.evacuates = goes;
        if goes {
            self.next_end = self.now;
            self.calls.keys().copied().collect::<Vec<_>>().iter().for_each(|&call| self.call_off(call, out));
        }
    }

    /// Looks through all held work for what has no time left.
    pub(super) fn end_hopeless(&mut self, out: &mut Vec<Action>) {
        let held = self.active.iter().flat_map(|d| self.dests[d].held.iter().copied()).collect::<Vec<_>>();
        self.next_end = held.into_iter().map(|id| self.end_if_hopeless(id, out)).min().unwrap_or(Ns::MAX);
    }

    /// Ends a held message past that, or that may not go again; tells when it will be due.
    pub(super) fn end_if_hopeless(&mut self, id: MsgId, out: &mut Vec<Action>) -> Ns {
        let held = &self.messages[&id];
        let stuck = held.attempts.first().is_some_and(|first| !self.allows(held, Some(first.endpoint)));
        let at = self.last_call(held);
        let late = at <= self.now || self.waits_until(held.message.dest) > at;
        if stuck || late || self.evacuates {
            self.give_up(id, late, out);
        }
        at
    }

    /// Until when every endpoint that takes new work has told to wait. A wait binds all that is sent there:
    /// what can't outlast it is over as soon as it is told.
    fn waits_until(&self, id: DestId) -> Ns {
        self.open_routes(id).map(|r| r.wait_until).min().unwrap_or(LONG_AGO)
    }

    /// `late`: for lack of time.
    fn give_up(&mut self, id: MsgId, late: bool, out: &mut Vec<Action>) {
        let held = &self.messages[&id];
        out.push(if self.allows(held, None) {
            Action::Refuse { id, backoff: self.backoff(held.message.dest), late }
        } else {
            Action::Fail { id, late }
        });
        self.close(id);
    }

    /// When to hand in again what is refused: room comes with the destination's next turn, behind any wait.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let turn = self.dests.get(&dest).map_or(0.0, |d| d.turn_every(self.now));
        let wait = self.waits_until(dest).saturating_sub(self.now);
        (turn as Ns).max(wait).min(self.cfg.max_retry_after).max(ADMISSION)
    }

    /// Past a bound on what is held, refuses what waited longer than the admission wait, least worth first.
    /// What a restart has found keeps its turn: who comes after it is refused in its place.
    pub(super) fn make_room(&mut self, out: &mut Vec<Action>) {
        let over = self.open.saturating_sub((self.cfg.max_open as f64 * ROOM) as usize);
        if over == 0 {
            return;
        }
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let wait = ADMISSION.max((dest.latency.mean() / 10.0) as Ns);
            // By its turn, what is far back in a slow queue has little left, whatever its worth: a sick
            // destination's work must not keep the well ones' out of the room.
            let every = dest.turn_every(self.now);
            for (place, &id) in dest.held.iter().enumerate() {
                let held = &self.messages[&id];
                if self.now - held.arrived > wait && !held.found && self.allows(held, None) {
                    order.push((self.worth(held, self.now + ((place + 1) as f64 * every) as Ns), id));
                }
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in order.into_iter().take(over) {
            self.give_up(id, false, out);
        }
    }
}
