//! What passes from one process of a sender to the next: messages, calls that are out, and what is known of routes.
use super::round::unheld;
use super::*;
use crate::deadline::{left, Shift};
use crate::inbox::Reply;
use crate::list::List;
use crate::listing::SLICE;
use journal::{seen, Begun, Ending, Inheritance, Left, Live, Release};
use serde_json::Value;
use tokio::time::timeout;

impl Core {
    /// Takes up what earlier processes left; false if it could not be written down. `known` may be old, so a fresh
    /// list is waited for, but not for long. While an earlier one `sends` nothing goes out from here.
    pub async fn resume(&mut self, mut known: List, left: Left, sends: bool) -> bool {
        let mut events = Vec::new();
        known.reset = true;
        self.take_list(known, &mut events).await;
        let first = timeout(FIRST_LIST, self.inbox.recv()).await;
        if let Ok(Some(Input::List(list))) = first {
            self.take_list(list, &mut events).await;
        }
        events.push(Event::OtherProcess { sends, calls: Vec::new() });
        let count = left.messages.len();
        let written = self.take_over(left, &mut events).await;
        if count > 0 {
            tracing::info!(
                messages = self.held.len(),
                notices = self.noticing.len(),
                "resumed from the journal"
            );
        }
        self.round(Vec::new(), events).await;
        written
    }

    /// Takes a list in full. One of many slices is told to the module on the way, and others have their turn meanwhile.
    async fn take_list(&mut self, list: List, events: &mut Vec<Event>) {
        self.lists.push(list);
        self.follow_lists(&mut { SLICE }, events);
        while !self.lists.is_empty() {
            self.round(Vec::new(), std::mem::take(events)).await;
            tokio::task::yield_now().await;
        }
    }

    /// Makes messages of an earlier process this one's.
    pub(super) async fn take_over(&mut self, left: Left, events: &mut Vec<Event>) -> bool {
        let Left { messages: mut left, seen: ended, .. } = left;
        left.retain(|live| !self.journal.has_seen(live.taken.id));
        let (now, wall) = (Instant::now(), self.machine.wall_ms());
        let own = self.own.ms(now);
        left.iter_mut().for_each(|live| *live = Shift::new(live.stamp, wall, own).apply(live));
        let records = left.iter().flat_map(Live::records);
        let records: Vec<Record> = records.chain(seen(ended.into_iter())).collect();
        let stamp = self.own.stamp(now, wall);
        let written = self.journal.run(move |journal| journal.take_over(&records, stamp)).await;
        if let Err(error) = self.settled(written).await {
            tracing::warn!(%error, "cannot take over what another process left; it is tried again");
            return false;
        }
        let mut lost = Vec::new();
        // The module must know their classes before it is told of them.
        let at = events.len();
        for live in left {
            match self.resumed(live, now) {
                Ok(event) => events.push(event),
                Err(end) => lost.push(end),
            }
        }
        events.insert(at, Event::Settings(self.module_settings()));
        let decided = lost.iter().filter(|(.., decide)| *decide);
        let records: Vec<Record> = decided.map(|(taken, end, _)| Record::Decided(taken.id, *end)).collect();
        let written = self.write(records).await;
        for (taken, ending, decide) in lost {
            let ending = if decide && !written { Ending::GivenUp } else { ending };
            self.notify(&taken, ending, Life::begin(Stage::Notice, now), None);
        }
        true
    }

    /// The event that tells the module of a message, or how it ends without: its notice was under way, or (`true`)
    /// neither the settings nor the journal have its rules, so the module can't be asked.
    fn resumed(&mut self, live: Live, at: Instant) -> Result<Event, (Arc<Taken>, Ending, bool)> {
        let (now, own) = (self.clock(at), self.own.ms(at));
        let taken = live.taken;
        if let Some(ending) = live.ending {
            return Err((taken, ending, false));
        }
        let past = |a: &Begun| PastAttempt {
            endpoint: self.client.pool.endpoints.borrow().id_of(&a.endpoint),
            sent: now - left(own, a.at).clamp(0, CLOCK_START),
            may_have_run: !a.never_ran,
        };
        let past: Vec<PastAttempt> = live.attempts.iter().map(past).collect();
        // Numbers may have a gap where one could not be written down; the module counts on from these.
        let attempts = past.len() as u32;
        let Some(class) = self.classes.of(&taken.class, taken.rules.as_deref()) else {
            let ran = past.iter().any(|p| p.may_have_run);
            return Err((taken, if ran { Ending::GivenUp } else { Ending::HandedBack(None) }, true));
        };
        let told = live.attempts.iter().filter_map(|a| a.wait).min().map(Duration::from_millis);
        // No more than the whole of what its class allows, whatever the clocks showed.
        let most = self.classes.deadline(class);
        let left = left(taken.end, own).min(most);
        let end = Deadline::at(at + Duration::from_nanos(left.max(0) as u64));
        let life = Life::begin(Stage::Queue, at);
        let message = self.hold(left, Held { taken, class, end, attempts, told, life });
        Ok(Event::Resumed { message, past })
    }

    /// What the next process is to know: routes, the list's version, and what takes nothing new.
    fn inheritance(&self) -> Inheritance {
        let endpoints = self.client.pool.endpoints.borrow();
        let named = |s: RouteState| {
            let known = s.endpoint.and_then(|e| endpoints.get(e));
            // Figures that are no numbers can't be written; none of these is one.
            Some((known.map(|known| known.name.as_str().to_string()), serde_json::to_value(s).ok()?))
        };
        let standings = self.sender.route_states(self.clock(Instant::now())).into_iter();
        let standings = standings.filter_map(named).collect();
        let closed = endpoints.closed().map(str::to_string).collect();
        Inheritance { standings, generation: self.lists.generation, closed }
    }

    /// Makes all but the calls out the next process's. False if that could not be written down: then all stays here.
    pub(super) async fn yield_work(&mut self) -> bool {
        let out: Vec<(u64, u32)> =
            self.calls.keys().copied().filter(|(id, _)| self.held.contains_key(id)).collect();
        let (calls, inheritance) = (out.len(), self.inheritance());
        let kept: HashSet<u64> = out.iter().map(|(id, _)| *id).collect();
        let (record, stamp) = (Record::Yielded(out, inheritance), self.stamp());
        let written = self.journal.run(move |journal| journal.give_over(record, stamp)).await;
        if let Err(error) = self.settled(written).await {
            tracing::error!(%error, "cannot yield to the next process");
            return false;
        }
        let given: Vec<u64> = self.held.keys().copied().filter(|id| !kept.contains(id)).collect();
        given.iter().for_each(|&id| _ = self.forget(id));
        (self.has_yielded, self.timer) = (true, None);
        self.next.clear();
        // No call begins from here any more, and no connection is kept.
        self.client.pool.shut();
        self.lists.clear();
        tracing::info!(messages = given.len(), calls, "work is yielded to the next process");
        true
    }

    /// What still comes once all is yielded: clients' last messages, the ends of the calls out, notices.
    pub(super) async fn after_yield(&mut self, input: Input) {
        let mut records = Vec::new();
        match input {
            Input::Offer { taken, end, reply, .. } => self.pass_on(*taken, end, reply).await,
            Input::Ended(ends) => ends.iter().for_each(|end| self.release(end, &mut records)),
            Input::Noticed(ids) => self.noticed(ids, &mut records),
            Input::Settings(new) => _ = self.reset(*new),
            Input::TakeOver(_, reply) => _ = reply.send(false),
            Input::Yield(reply) => _ = reply.send(true),
            Input::Gauges(reply) => _ = reply.send(self.gauges(self.clock(Instant::now()))),
            Input::Rest(reply) => _ = reply.send(self.rest()),
            // All that could be ended is the next process's.
            Input::Evacuate(_) => {}
            Input::Wind(until) => self.wind = Some(until),
            Input::Elsewhere(_) | Input::EndedElsewhere(_) | Input::Inherited(_) => {}
            Input::List(_) | Input::Alone | Input::Succeeded | Input::Listening(_) => {}
        }
        self.write(records).await;
    }

    /// Takes a message on for the next process, which finds it in this one's journal.
    async fn pass_on(&mut self, mut taken: Taken, end: Deadline, reply: oneshot::Sender<Reply>) {
        if !self.client.pool.endpoints.borrow().has_dest(taken.dest) {
            let _ = reply.send(Reply::NoDestination);
            return;
        }
        (taken.id, taken.end) = (self.next_id, self.own.ms(end.instant()));
        let class = self.classes.current(&taken.class);
        let class = class.filter(|_| self.journal.has_room(&taken, 0).is_some());
        let Some(class) = class else {
            let _ = reply.send(Reply::Refused(None));
            return;
        };
        taken.rules = Some(self.classes.stored(class).into());
        self.next_id += 1;
        let answer = match self.commit(vec![Record::Taken(Arc::new(taken))]).await {
            Ok(()) => Reply::TakenOn,
            Err(fault) => unheld(&fault),
        };
        if reply.send(answer).is_err() && matches!(answer, Reply::TakenOn) {
            // The client has left without its answer: it may hand the message in again elsewhere.
            self.write(vec![Record::Ended(self.next_id - 1)]).await;
        }
    }

    /// Books the end of a call that was out as all else was yielded. What was not delivered is the next process's.
    fn release(&mut self, end: &AttemptEnd, records: &mut Vec<Record>) {
        if end.done {
            return self.ended(end, records);
        }
        self.came_back(end);
        if !self.held.contains_key(&end.id) {
            return;
        }
        let known = self.client.pool.endpoints.borrow();
        let name_of = |known: &crate::endpoints::Endpoint| known.name.as_str().to_string();
        let endpoint = known.get(end.endpoint).map_or(String::new(), name_of);
        drop(known);
        let (id, attempt, took, wait) = (end.id, end.attempt, end.took, end.wait);
        let outcome = name(end.outcome);
        records.push(Record::Released(Release { id, attempt, endpoint, outcome, took, wait }));
        if !self.calls.keys().any(|(other, _)| *other == id) {
            self.forget(id);
        }
    }

    pub(super) fn inherit(&mut self, inheritance: Inheritance, events: &mut Vec<Event>) {
        let Inheritance { standings, generation, closed } = inheritance;
        if generation > self.lists.generation {
            tracing::info!(
                generation,
                own = self.lists.generation,
                "the process before this one has a newer list"
            );
            events.push(self.close(&closed));
        }
        let named = |(name, standing): (Option<String>, Value)| {
            let endpoint = name.and_then(|name| self.client.pool.endpoints.borrow().id_of(&name));
            Some(RouteState { endpoint, ..serde_json::from_value(standing).ok()? })
        };
        events.push(Event::RestoredRoutes(standings.into_iter().filter_map(named).collect()));
    }

    pub(super) fn ended_elsewhere(&self, r: &Release) -> Option<Event> {
        let endpoint = self.client.pool.endpoints.borrow().id_of(&r.endpoint)?;
        let outcome = serde_json::from_value(Value::from(r.outcome.as_str())).ok()?;
        let (id, attempt, took, wait) = (r.id, r.attempt, r.took, r.wait);
        let (done, report, reused_connection) = (false, None, false);
        let end = AttemptEnd { id, attempt, endpoint, outcome, took, done, wait, report, reused_connection };
        Some(Event::OtherProcessAttemptEnd(end))
    }
}

/// An outcome's name in the journal.
fn name(outcome: Outcome) -> String {
    serde_json::to_value(outcome).ok().and_then(|v| Some(v.as_str()?.to_string())).unwrap_or_default()
}
