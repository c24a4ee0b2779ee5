//! One round: all that has come, the module's answer to it, one write, then the actions.
//!
//! What is said to anybody rests on that write: a client hears that its message is taken on, and a call begins, once
//! that is written down. Without it nothing new is begun or taken on.
use super::*;
use crate::calls::{self, Member};
use crate::deadline::Allowance;
use crate::inbox::{Elsewhere, Reply};
use crate::listing::SLICE;
use journal::{Begun, Ending, Fault};

struct Offered {
    taken: Arc<Taken>,
    /// More than one where the same message came twice in a round.
    replies: Vec<oneshot::Sender<Reply>>,
}

impl Offered {
    /// False if nobody is left to hear it.
    fn answer(self, reply: Reply) -> bool {
        self.replies.into_iter().filter_map(|r| r.send(reply).ok()).count() > 0
    }
}

/// What a round gathers before the module decides.
struct Round {
    at: Instant,
    events: Vec<Event>,
    offered: BTreeMap<u64, Offered>,
    /// Bytes of the journal that the messages of this round may come to take.
    claimed: u64,
    /// What has ended or was noticed.
    records: Vec<Record>,
}

/// What the module has decided, and what of it must be written down first.
struct Decided {
    /// By endpoint: calls to make, and that each of their attempts begins.
    calls: Vec<(EndpointId, Vec<Member>)>,
    begun: Vec<Record>,
    /// Messages that were taken on before and end without being delivered.
    endings: Vec<(u64, Ending)>,
}

/// A message that has ended, until the platform is told.
struct Ended {
    taken: Arc<Taken>,
    ending: Ending,
    life: Life,
    due: Instant,
}

/// What the write has come to.
struct Written {
    /// Why nothing new may be begun or taken on.
    fault: Option<Fault>,
    /// What has ended can't be found open by any start.
    settled: bool,
}

impl Core {
    pub(super) async fn round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let at = Instant::now();
        if self.renew_at.is_some_and(|due| due <= at) {
            self.renew().await;
        }
        self.keep_time().await;
        if self.has_yielded {
            for input in inputs {
                self.after_yield(input).await;
            }
            return;
        }
        let mut round = self.gather(at, inputs, events).await;
        let decided = self.decide(&mut round);
        let ended = self.close_books(&decided.endings, &mut round);
        let (written, calls) = self.record(&mut round, decided).await;
        self.act(round.offered, calls, ended, written).await;
    }

    /// The first step: what has come, as events for the module and as records of what is over.
    async fn gather(&mut self, at: Instant, inputs: Vec<Input>, events: Vec<Event>) -> Round {
        let (offered, claimed, records) = (BTreeMap::new(), 0, Vec::new());
        let mut round = Round { at, events, offered, claimed, records };
        let mut work = SLICE;
        self.follow_lists(&mut work, &mut round.events);
        self.forget_endpoints(at);
        for input in inputs {
            match input {
                Input::Offer { taken, end, life, reply } => self.offer(*taken, end, life, reply, &mut round),
                Input::List(list) => {
                    self.lists.push(list);
                    self.follow_lists(&mut work, &mut round.events);
                }
                Input::Ended(ends) => ends.into_iter().for_each(|end| self.attempt_ended(end, &mut round)),
                Input::Noticed(ids) => self.noticed(ids, &mut round.records),
                Input::TakeOver(left, reply) => {
                    let written = self.take_over(left, &mut round.events).await;
                    let _ = reply.send(written);
                }
                Input::Elsewhere(Elsewhere { sends, calls, held, bytes }) => {
                    self.held_elsewhere = held;
                    self.journal.set_others(bytes);
                    round.events.push(Event::OtherProcess { sends, calls });
                }
                Input::EndedElsewhere(releases) => {
                    let ends = releases.iter().filter_map(|r| self.ended_elsewhere(r));
                    round.events.extend(ends);
                }
                Input::Inherited(inheritance) => self.inherit(inheritance, &mut round.events),
                Input::Alone => self.journal.forget_seen(),
                Input::Succeeded if !self.is_succeeded => {
                    self.is_succeeded = true;
                    round.records.push(Record::Shared);
                }
                Input::Succeeded => {}
                Input::Listening(reply) => {
                    let written = self.commit(vec![Record::Listening]).await;
                    let _ = reply.send(written.is_ok());
                }
                Input::Yield(reply) => self.yielding = Some(reply),
                Input::Gauges(reply) => _ = reply.send(self.gauges(self.clock(at))),
                Input::Rest(reply) => _ = reply.send(self.rest()),
                Input::Evacuate(goes) => round.events.push(Event::Evacuate(goes)),
                Input::Settings(new) => round.events.push(self.reset(*new)),
                Input::Wind(until) => self.wind = Some(until),
            }
        }
        round
    }

    /// The second step: the module's answer. What it turns away of this round's messages is answered at once, as none
    /// of it is written down yet.
    fn decide(&mut self, round: &mut Round) -> Decided {
        let mut actions = Vec::new();
        if !self.winding() {
            self.sender.handle(self.clock(round.at), &round.events, &mut actions);
        }
        self.log_backlog(round.at);
        let mut decided = Decided { calls: Vec::new(), begun: Vec::new(), endings: Vec::new() };
        let mut refused = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, send_by } => {
                    self.begin(round.at, (id, endpoint), timeout, send_by, &mut decided)
                }
                Action::Refuse { id, backoff, late } => {
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    self.is_late(id, late);
                    match round.offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Refused(backoff.map(Duration::from_millis)))),
                        None => decided.endings.push((id, Ending::HandedBack(backoff))),
                    }
                }
                Action::Fail { id, late } => {
                    self.is_late(id, late);
                    match round.offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Failed)),
                        None => decided.endings.push((id, Ending::GivenUp)),
                    }
                }
                Action::Cancel { id, attempt } => {
                    if let Some(out) = self.calls.get(&(id, attempt)) {
                        out.cancel.set();
                    }
                }
                Action::Close { endpoint } => self.client.pool.close_idle(endpoint),
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (o, reply) in refused {
            if let Some(held) = self.forget(o.taken.id) {
                self.figures.lived(&held.taken.class, held.life, round.at);
            }
            o.answer(reply);
        }
        decided
    }

    /// An attempt that begins: what is written down of it, and its part in a call.
    fn begin(
        &mut self,
        at: Instant,
        (id, endpoint): (u64, EndpointId),
        limit: Ns,
        by: Ns,
        decided: &mut Decided,
    ) {
        let endpoints = self.client.pool.endpoints.borrow();
        let (Some(held), Some(known)) = (self.held.get_mut(&id), endpoints.get(endpoint)) else { return };
        let (name, kind) = (known.name.as_str().to_string(), known.kind());
        let attempt = held.attempts;
        let time = Allowance::new(held.end, limit, held.told, self.start + since_start(by));
        let wait = time.wait.map(|w| w.as_millis() as u64);
        let record = Begun { number: attempt, at: self.own.ms(at), endpoint: name, wait, never_ran: false };
        decided.begun.push(Record::Begun(id, record));
        (held.attempts, held.told) = (attempt + 1, time.wait.or(held.told));
        held.life.enter(Stage::Dial, at);
        let taken = held.taken.clone();
        tracing::debug!(id, attempt, endpoint, dest = taken.dest, limit = limit / MS, "send");
        let member = Member { attempt, taken, time, written: Rc::default() };
        // As the module counts: sends to one endpoint in one round share calls.
        let batch = self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1));
        match decided.calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
            Some((_, members)) if members.len() < batch => members.push(member),
            _ => decided.calls.push((endpoint, vec![member])),
        }
    }

    /// Takes what has ended out of the books.
    fn close_books(&mut self, endings: &[(u64, Ending)], round: &mut Round) -> Vec<Ended> {
        let mut ended = Vec::new();
        for &(id, ending) in endings {
            if let Some(Held { taken, mut life, end, .. }) = self.forget(id) {
                round.records.push(Record::Decided(id, ending));
                life.enter(Stage::Notice, round.at);
                ended.push(Ended { taken, ending, life, due: end.instant() + NOTICE_SLACK });
            }
        }
        ended
    }

    /// The third step: one write of all that is new and all that has ended. What has ended is written down also where
    /// nothing new can be.
    async fn record(
        &mut self,
        round: &mut Round,
        decided: Decided,
    ) -> (Written, Vec<(EndpointId, Vec<Member>)>) {
        let Decided { calls, mut begun, .. } = decided;
        let mut all: Vec<Record> = round.offered.values().map(|o| Record::Taken(o.taken.clone())).collect();
        let new = !(all.is_empty() && begun.is_empty());
        let records = std::mem::take(&mut round.records);
        let ended = std::mem::take(&mut self.owed).into_iter().chain(records).collect::<Vec<_>>();
        let mut written = Written { fault: None, settled: true };
        if new {
            all.extend(ended.iter().cloned());
            all.append(&mut begun);
            written.fault = self.commit(all).await.err();
        }
        if !new || written.fault.is_some() {
            written.settled = self.write(ended).await;
        }
        (written, calls)
    }

    /// The last step: what was written down is said and done.
    async fn act(
        &mut self,
        offered: BTreeMap<u64, Offered>,
        calls: Vec<(EndpointId, Vec<Member>)>,
        ended: Vec<Ended>,
        written: Written,
    ) {
        for Ended { taken, ending, life, due } in ended {
            // A message that is handed back comes again: that is only said once no start can find it open.
            let ending = if written.settled { ending } else { Ending::GivenUp };
            self.notify(&taken, ending, life, Some(due));
        }
        if let Some(fault) = written.fault {
            return self.call_off(offered, calls, &fault);
        }
        for (id, o) in offered {
            // Nothing went out of what was taken on only now. Where its time went while it was written down it is
            // refused, as at the door.
            let over = self.held.get(&id).is_some_and(|h| h.attempts == 0 && h.end.is_over(Instant::now()));
            let heard = o.answer(if over { Reply::Refused(None) } else { Reply::TakenOn });
            if over || !heard {
                // The client has left without its answer: it may hand the message in again elsewhere.
                self.next.push(Event::Expired { id });
                self.forget(id);
                self.write(vec![Record::Ended(id)]).await;
            }
        }
        for (endpoint, members) in calls {
            let cancel = Rc::new(Cancel::default());
            for m in &members {
                let out = Out { endpoint, cancel: cancel.clone(), written: m.written.clone() };
                self.calls.insert((m.taken.id, m.attempt), out);
            }
            tokio::task::spawn_local(self.client.clone().call(endpoint, members, cancel));
        }
    }

    /// Without its record nothing new is begun or taken on.
    fn call_off(
        &mut self,
        offered: BTreeMap<u64, Offered>,
        calls: Vec<(EndpointId, Vec<Member>)>,
        fault: &Fault,
    ) {
        for (id, o) in offered {
            self.forget(id);
            self.next.push(Event::Expired { id });
            o.answer(unheld(fault));
        }
        for (endpoint, members) in calls {
            for m in members {
                let end = calls::end(&m, endpoint, Outcome::NotSent, Instant::now());
                self.next.push(Event::AttemptEnd(end));
            }
        }
    }

    fn attempt_ended(&mut self, end: AttemptEnd, round: &mut Round) {
        let (ms, wait, kept) = (end.took / MS, end.wait / MS, end.reused_connection);
        let (id, attempt, endpoint, outcome) = (end.id, end.attempt, end.endpoint, end.outcome);
        tracing::debug!(id, attempt, endpoint, ?outcome, ms, wait, kept, "attempt ended");
        self.ended(&end, &mut round.records);
        round.events.push(Event::AttemptEnd(end));
    }

    fn offer(
        &mut self,
        mut taken: Taken,
        end: Deadline,
        life: Life,
        reply: oneshot::Sender<Reply>,
        round: &mut Round,
    ) {
        if let Some(id) = self.traces.get(&taken.trace) {
            // The same message once more, while it is held: it is taken on already, or shares this round's fate.
            // Another one under its id is told nothing of either.
            match round.offered.get_mut(id) {
                _ if !self.held.get(id).is_some_and(|held| held.taken.is_same(&taken)) => {
                    _ = reply.send(Reply::Conflict)
                }
                Some(first) => first.replies.push(reply),
                None => _ = reply.send(Reply::TakenOn),
            }
            return;
        }
        // Nothing could ever be sent for it. Before the first list nothing is known of any destination.
        let endpoints = self.client.pool.endpoints.borrow();
        if !endpoints.has_dest(taken.dest) {
            let first = endpoints.is_blank();
            let _ = reply.send(if first { Reply::Refused(None) } else { Reply::NoDestination });
            return;
        }
        drop(endpoints);
        taken.id = self.next_id;
        let room = self.journal.has_room(&taken, round.claimed);
        self.told.no_journal += usize::from(room.is_none());
        let full = self.held.len() + self.held_elsewhere >= self.settings.max_open;
        self.told.no_room += usize::from(full);
        let room = room.filter(|_| !full && self.wind.is_none());
        let (Some(claim), Some(class)) = (room, self.classes.current(&taken.class)) else {
            let after = Duration::from_nanos(self.sender.backoff(taken.dest).max(0) as u64);
            let _ = reply.send(Reply::Refused(Some(after)));
            return;
        };
        round.claimed += claim;
        self.next_id += 1;
        taken.rules = Some(self.classes.stored(class).into());
        taken.end = self.own.ms(end.instant());
        let taken = Arc::new(taken);
        let left = end.left(round.at).as_nanos() as Ns;
        let held = Held { taken: taken.clone(), class, end, attempts: 0, told: None, life };
        let message = self.hold(left, held);
        round.events.push(Event::Message(message));
        round.offered.insert(taken.id, Offered { taken, replies: vec![reply] });
    }

    pub(super) fn notify(&mut self, taken: &Taken, ending: Ending, life: Life, due: Option<Instant>) {
        let counts = match ending {
            Ending::GivenUp => End::Failed,
            Ending::HandedBack(_) => End::Rejected,
        };
        self.post((taken, ending), counts, life, due);
    }

    fn post(&mut self, (taken, ending): (&Taken, Ending), counts: End, life: Life, due: Option<Instant>) {
        self.noticing.insert(taken.id, Noticing { class: taken.class.clone(), end: counts, life, due });
        let _ = self.notices.send(Notice { id: taken.id, trace: taken.trace.clone(), ending });
    }

    /// An attempt is out no more: its message goes on to wait, if it does.
    pub(super) fn came_back(&mut self, end: &AttemptEnd) {
        let out = self.calls.remove(&(end.id, end.attempt));
        let (Some(out), Some(held)) = (out, self.held.get_mut(&end.id)) else { return };
        let now = Instant::now();
        if let Some(written) = out.written.get() {
            held.life.enter(Stage::Attempt, written);
        }
        if held.end.is_over(now) && end.outcome != Outcome::Served {
            held.life.run_out();
        }
        held.life.enter(Stage::Queue, now);
    }

    /// The module ends a message, and says whether for lack of time.
    fn is_late(&mut self, id: u64, late: bool) {
        if let Some(held) = self.held.get_mut(&id).filter(|_| late) {
            held.life.run_out();
        }
    }

    /// Books an attempt's end.
    pub(super) fn ended(&mut self, end: &AttemptEnd, records: &mut Vec<Record>) {
        self.came_back(end);
        if !self.held.contains_key(&end.id) {
            return;
        }
        if end.done {
            let Some(Held { taken, end: time, mut life, .. }) = self.forget(end.id) else { return };
            let now = Instant::now();
            // Withdrawn, by the endpoint's word: not delivered, and not to be handed in again.
            let counts = if end.outcome == Outcome::Served { End::Completed } else { End::Failed };
            if counts == End::Completed && time.left(now) < CROSSING {
                records.push(Record::Decided(end.id, Ending::GivenUp));
                life.enter(Stage::Notice, now);
                self.post((&taken, Ending::GivenUp), counts, life, Some(time.instant() + NOTICE_SLACK));
                return;
            }
            records.push(Record::Ended(end.id));
            self.figures.ended(&taken.class, counts);
            self.figures.lived(&taken.class, life, now);
        } else if end.outcome.never_ran() {
            records.push(Record::NeverRan(end.id, end.attempt));
        }
    }

    pub(super) fn noticed(&mut self, ids: Vec<u64>, records: &mut Vec<Record>) {
        let now = Instant::now();
        for id in ids {
            if let Some(Noticing { class, end, mut life, due }) = self.noticing.remove(&id) {
                if due.is_some_and(|due| now > due) {
                    life.run_out();
                }
                self.figures.ended(&class, end);
                self.figures.lived(&class, life, now);
            }
            records.push(Record::Ended(id));
        }
    }
}

/// What a client is told whose message is not held. Where a next process may find it all the same it may yet be
/// delivered, so it must not be handed in again.
pub(super) fn unheld(fault: &Fault) -> Reply {
    match fault {
        Fault::Clean(_) => Reply::Refused(Some(Duration::from_secs(1))),
        Fault::Unknown(_) => Reply::Failed,
    }
}
