//! The one owner of the module: events in, one round of decisions, actions out. It decides nothing itself.
use crate::calls::{self, Cancel, Client, Member};
use crate::classes::Classes;
use crate::config::Config;
use crate::connections::Turnover;
use crate::deadline::{left, wall_ms, Allowance, Clock, Deadline, Shift, Stamp};
use crate::discovery::List;
use crate::figures::{End, Figures, Gauges};
use crate::handover::{Elsewhere, Left};
use crate::journal::{first_id, seen};
use crate::journal::{Begun, Ending, Inheritance, Journal, Live, Record, Release, Taken};
use crate::life::{Life, Stage};
use crate::notices::Notice;
use leadfold::api::*;
use leadfold::rules::Sender;
use leadfold::settings::Around;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// What a client is answered.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    TakenOn,
    /// Handing it in again is harmless; after how long, if that is known.
    Refused(Option<Duration>),
    Failed,
    /// No list has named its destination.
    NoDestination,
    /// Its id is that of another message that is held.
    Conflict,
}

pub enum Input {
    /// A message handed in; `taken.id` is given by the core.
    Offer {
        taken: Box<Taken>,
        end: Deadline,
        life: Life,
        reply: oneshot::Sender<Reply>,
    },
    List(List),
    Ended(Vec<AttemptEnd>),
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// The platform has answered for these notices.
    Noticed(Vec<u64>),
    /// Messages of other processes that are this one's now, once they are written down here.
    TakeOver(Left, oneshot::Sender<bool>),
    /// What the others hold of this sender's bounds.
    Elsewhere(Elsewhere),
    EndedElsewhere(Vec<Release>),
    /// What the process that sent before this one knew.
    Inherited(Inheritance),
    /// No other process of this sender has files any more.
    Alone,
    /// Clients can connect; answered once it is written down.
    Listening(oneshot::Sender<bool>),
    /// A process that was started later is there.
    Succeeded,
    /// Yield all work to that one but the calls out; answered with whether that is written down.
    Yield(oneshot::Sender<bool>),
    /// What stands now, for the figures.
    Gauges(oneshot::Sender<Gauges>),
    /// The file of the configuration was read again.
    Settings(Box<(Settings, Around)>),
    /// No client can come any more: end once nothing is left to do, and start nothing new after this time.
    Wind(Instant),
}

/// A message that the module has not ended.
struct Held {
    taken: Rc<Taken>,
    class: usize,
    end: Deadline,
    attempts: u32,
    /// The least that endpoints were told of its time, where that was not all that was left.
    told: Option<Duration>,
    life: Life,
}

/// An attempt that is out.
struct Out {
    endpoint: EndpointId,
    cancel: Rc<Cancel>,
    written: Rc<Cell<Option<Instant>>>,
}

/// A message that has ended but for its notice.
struct Noticing {
    class: String,
    end: End,
    life: Life,
    /// When the platform should know of it at the latest.
    due: Option<Instant>,
}

/// An endpoint that a list has named.
struct Known {
    name: String,
    /// As the list had it last.
    entry: Entry,
    /// In the list, in whatever state.
    listed: bool,
    /// Since when it takes nothing new.
    closed: Option<Instant>,
}

struct Offered {
    taken: Rc<Taken>,
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
}

pub struct Core {
    sender: Sender,
    settings: Settings,
    around: Around,
    classes: Classes,
    journal: Journal,
    client: Rc<Client>,
    inbox: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    start: Instant,
    /// For what is written down.
    own: Clock,
    /// As it was last written.
    last_stamp: Stamp,
    names: HashMap<String, EndpointId>,
    endpoints: HashMap<EndpointId, Known>,
    /// The version of the list.
    generation: u64,
    /// Numbers are never used again: calls and the module may know an endpoint longer than the list.
    next_endpoint: EndpointId,
    /// All destinations that a list has named: as many as there are customers' systems.
    dests: HashSet<DestId>,
    held: BTreeMap<u64, Held>,
    traces: HashMap<String, u64>,
    noticing: HashMap<u64, Noticing>,
    figures: Rc<Figures>,
    calls: HashMap<(u64, u32), Out>,
    /// Events of the core's own making, for the next round.
    next: Vec<Event>,
    timer: Option<Ns>,
    next_id: u64,
    wind: Option<Instant>,
    /// Messages that are held by another process of this sender.
    held_elsewhere: usize,
    is_succeeded: bool,
    /// The next process has all work but the calls out: the module is asked nothing more.
    has_yielded: bool,
    yielding: Option<oneshot::Sender<bool>>,
    write_failed: bool,
    told: Told,
}

/// What was last logged, and what was turned away at the door since.
struct Told {
    at: Instant,
    no_room: usize,
    no_journal: usize,
    turnover: Turnover,
}

/// Where the module's clock starts: attempts of earlier processes lie before it.
const CLOCK_START: Ns = 1_000_000 * SECOND;
/// Events of one round at most, so that a flood of them does not hold up the answers.
const ROUND: usize = 512;
/// For so long after it was closed an endpoint is remembered, as long as the module does: new ones come all day.
const FORGET: Duration = Duration::from_secs(60);
/// How long after a message's time the platform may hear of its end.
const NOTICE_SLACK: Duration = Duration::from_millis(300);
const FIRST_LIST: Duration = Duration::from_millis(300);
/// How often the log is told of work that stands, and for how long it must have stood.
const LOG_EVERY: Duration = Duration::from_secs(1);
const STANDS: Ns = SECOND;

impl Core {
    pub fn new(
        config: Config,
        (number, journal): (u64, Journal),
        client: Rc<Client>,
        inbox: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core {
        let (start, wall) = (Instant::now(), wall_ms());
        let own = Clock::new(start, wall);
        Core {
            sender: Sender::new(config.settings.clone(), config.seed),
            classes: Classes::new(&config.settings, &config.around),
            settings: config.settings,
            around: config.around,
            next_id: first_id(number),
            journal,
            figures: client.figures.clone(),
            client,
            inbox,
            notices,
            start,
            own,
            last_stamp: own.stamp(start, wall),
            names: HashMap::new(),
            dests: HashSet::new(),
            endpoints: HashMap::new(),
            generation: 0,
            next_endpoint: 0,
            held: BTreeMap::new(),
            traces: HashMap::new(),
            noticing: HashMap::new(),
            calls: HashMap::new(),
            next: Vec::new(),
            timer: None,
            wind: None,
            held_elsewhere: 0,
            is_succeeded: false,
            has_yielded: false,
            yielding: None,
            write_failed: false,
            told: Told { at: Instant::now(), no_room: 0, no_journal: 0, turnover: Turnover::default() },
        }
    }

    fn stamp(&self) -> Stamp {
        self.own.stamp(Instant::now(), wall_ms())
    }

    /// Says in the journal that the wall clock was set, while that matters to what is held.
    fn keep_time(&mut self) {
        if !self.held.is_empty() && self.stamp().is_news_after(self.last_stamp) {
            tracing::warn!("the wall clock was set");
            self.write_all(&[]);
        }
    }

    fn clock(&self, at: Instant) -> Ns {
        CLOCK_START + at.saturating_duration_since(self.start).as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        self.start + since_start(at)
    }

    /// Takes up what earlier processes left; false if it could not be written down. `known` may be old, so a fresh
    /// list is waited for, but not for long. While an earlier one `sends` nothing goes out from here.
    pub async fn resume(&mut self, known: List, left: Left, sends: bool) -> bool {
        let mut events = vec![self.list(known, true)];
        let first = timeout(FIRST_LIST, self.inbox.recv()).await;
        if let Ok(Some(Input::List(list))) = first {
            let whole = list.reset;
            events.push(self.list(list, whole));
        }
        events.push(Event::Elsewhere { sends, calls: Vec::new() });
        let count = left.messages.len();
        let written = self.take_over(left, &mut events);
        if count > 0 {
            tracing::info!(
                messages = self.held.len(),
                notices = self.noticing.len(),
                "resumed from the journal"
            );
        }
        self.round(Vec::new(), events);
        written
    }

    /// Makes messages of an earlier process this one's.
    fn take_over(&mut self, left: Left, events: &mut Vec<Event>) -> bool {
        let Left { messages: mut left, seen: ended } = left;
        left.retain(|live| !self.journal.has_seen(live.taken.id));
        let (now, wall) = (Instant::now(), wall_ms());
        let own = self.own.ms(now);
        left.iter_mut().for_each(|live| *live = live.shifted(Shift::new(live.stamp, wall, own)));
        let records = left.iter().flat_map(Live::records);
        let records: Vec<Record> = records.chain(seen(ended.into_iter())).collect();
        if let Err(error) = self.journal.take_over(&records, self.own.stamp(now, wall)) {
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
        let mut records = Vec::new();
        for (taken, ending, decide) in lost {
            if decide {
                records.push(Record::Decided(taken.id, ending));
            }
            self.notify(&taken, ending, Life::begin(Stage::Notice, now), None);
        }
        self.write(&records);
        true
    }

    /// The event that tells the module of a message, or how it ends without: its notice was under way, or (`true`)
    /// neither the settings nor the journal have its rules, so the module can't be asked.
    fn resumed(&mut self, live: Live, at: Instant) -> Result<Event, (Rc<Taken>, Ending, bool)> {
        let (now, own) = (self.clock(at), self.own.ms(at));
        let taken = live.taken;
        if let Some(ending) = live.ending {
            return Err((taken, ending, false));
        }
        let past = |a: &Begun| PastAttempt {
            endpoint: self.names.get(&a.endpoint).copied(),
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

    pub async fn run(mut self) {
        let mut inputs = Vec::new();
        loop {
            if self.finished() {
                return;
            }
            let wake = self.timer.map(|at| self.instant(at));
            let wake = if self.next.is_empty() { wake } else { Some(Instant::now()) };
            let wake = [wake, self.wind].into_iter().flatten().filter(|&w| self.started_before(w)).min();
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut inputs, ROUND) => if count == 0 { return },
                () = async { match wake { Some(at) => sleep_until(at).await, None => std::future::pending().await } } => {}
            }
            // Whatever else is ready on the sockets comes into the same round.
            tokio::task::yield_now().await;
            while inputs.len() < ROUND {
                let Ok(input) = self.inbox.try_recv() else { break };
                inputs.push(input);
            }
            let mut events = std::mem::take(&mut self.next);
            let now = self.clock(Instant::now());
            if self.timer.is_some_and(|at| at <= now) {
                self.timer = None;
                events.push(Event::Timer);
            }
            self.round(std::mem::take(&mut inputs), events);
            if let Some(reply) = self.yielding.take() {
                let _ = reply.send(self.yield_work());
            }
        }
    }

    /// Makes all but the calls out the next process's. False if that could not be written down: then all stays here.
    fn yield_work(&mut self) -> bool {
        let out: Vec<(u64, u32)> =
            self.calls.keys().copied().filter(|(id, _)| self.held.contains_key(id)).collect();
        let standings = self.sender.standings(self.clock(Instant::now())).into_iter();
        let named = |s: Standing| {
            (s.endpoint.and_then(|e| self.endpoints.get(&e)).map(|known| known.name.clone()), s)
        };
        let closed = self.endpoints.values().filter(|known| known.closed.is_some());
        let closed = closed.map(|known| known.name.clone()).collect();
        let (calls, generation) = (out.len(), self.generation);
        let inheritance = Inheritance { standings: standings.map(named).collect(), generation, closed };
        let kept: HashSet<u64> = out.iter().map(|(id, _)| *id).collect();
        if let Err(error) = self.journal.give_over(Record::Yielded(out, inheritance), self.stamp()) {
            tracing::error!(%error, "cannot yield to the next process");
            return false;
        }
        let given: Vec<u64> = self.held.keys().copied().filter(|id| !kept.contains(id)).collect();
        given.iter().for_each(|&id| _ = self.forget(id));
        (self.has_yielded, self.timer) = (true, None);
        self.next.clear();
        // No call begins from here any more, and no connection is kept.
        self.client.pool.withdraw_all();
        self.client.pool.close_all_idle();
        tracing::info!(messages = given.len(), calls, "work is yielded to the next process");
        true
    }

    /// What still comes once all is yielded: clients' last messages, the ends of the calls out, notices.
    fn after_yield(&mut self, input: Input) {
        let mut records = Vec::new();
        match input {
            Input::Offer { taken, end, reply, .. } => self.pass_on(*taken, end, reply),
            Input::Ended(ends) => ends.iter().for_each(|end| self.release(end, &mut records)),
            Input::Noticed(ids) => self.noticed(ids, &mut records),
            Input::Settings(new) => _ = self.reset(*new),
            Input::TakeOver(_, reply) => _ = reply.send(false),
            Input::Yield(reply) => _ = reply.send(true),
            Input::Gauges(reply) => _ = reply.send(self.gauges(self.clock(Instant::now()))),
            Input::Wind(until) => self.wind = Some(until),
            Input::Elsewhere(_) | Input::EndedElsewhere(_) | Input::Inherited(_) => {}
            Input::List(_) | Input::Alone | Input::Succeeded | Input::Listening(_) | Input::Probed { .. } => {
            }
        }
        self.write(&records);
    }

    /// Takes a message on for the next process, which finds it in this one's journal.
    fn pass_on(&mut self, mut taken: Taken, end: Deadline, reply: oneshot::Sender<Reply>) {
        if !self.dests.contains(&taken.dest) {
            let _ = reply.send(Reply::NoDestination);
            return;
        }
        (taken.id, taken.end) = (self.next_id, self.own.ms(end.instant()));
        let class = self.classes.current(&taken.class);
        let class = class.filter(|_| self.journal.has_room(&taken, 0).is_some());
        let written = class.is_some_and(|class| {
            taken.rules = Some(self.classes.stored(class).into());
            self.next_id += 1;
            self.write(&[Record::Taken(Rc::new(taken))])
        });
        let answer = if written { Reply::TakenOn } else { Reply::Refused(None) };
        if reply.send(answer).is_err() && written {
            // The client has left without its answer: it may hand the message in again elsewhere.
            self.write(&[Record::Ended(self.next_id - 1)]);
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
        let endpoint = self.endpoints.get(&end.endpoint).map_or(String::new(), |known| known.name.clone());
        let (id, attempt, outcome, took, wait) = (end.id, end.attempt, end.outcome, end.took, end.wait);
        records.push(Record::Released(Release { id, attempt, endpoint, outcome, took, wait }));
        if !self.calls.keys().any(|(other, _)| *other == id) {
            self.forget(id);
        }
    }

    fn inherit(&mut self, inheritance: Inheritance, events: &mut Vec<Event>) {
        let Inheritance { standings, generation, closed } = inheritance;
        if generation > self.generation {
            tracing::info!(generation, own = self.generation, "the process before this one has a newer list");
            events.push(self.close(&closed));
        }
        let named = |(name, standing): (Option<String>, Standing)| {
            let endpoint = name.and_then(|name| self.names.get(&name).copied());
            Standing { endpoint, ..standing }
        };
        events.push(Event::Inherited(standings.into_iter().map(named).collect()));
    }

    /// Sends nothing new to these endpoints until a list says otherwise.
    fn close(&mut self, names: &[String]) -> Event {
        let mut entries = Vec::new();
        for endpoint in names.iter().filter_map(|name| self.names.get(name)) {
            let Some(known) = self.endpoints.get_mut(endpoint) else { continue };
            known.closed.get_or_insert_with(Instant::now);
            self.client.pool.withdraw(*endpoint);
            entries.push(Entry { condition: Condition::Draining, ..known.entry });
        }
        Event::List { whole: false, entries }
    }

    fn ended_elsewhere(&self, r: &Release) -> Option<Event> {
        let endpoint = *self.names.get(&r.endpoint)?;
        let (id, attempt, outcome, took, wait) = (r.id, r.attempt, r.outcome, r.took, r.wait);
        let (done, report, kept) = (false, None, false);
        let end = AttemptEnd { id, attempt, endpoint, outcome, took, done, wait, report, kept };
        Some(Event::EndedElsewhere(end))
    }

    fn noticed(&mut self, ids: Vec<u64>, records: &mut Vec<Record>) {
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

    /// While winding down past its time, timers no longer matter.
    fn started_before(&self, wake: Instant) -> bool {
        self.wind.is_none_or(|end| Instant::now() < end || wake > end)
    }

    fn winding(&self) -> bool {
        self.wind.is_some_and(|end| Instant::now() >= end)
    }

    fn finished(&self) -> bool {
        let calm = self.calls.is_empty() && self.noticing.is_empty();
        self.wind.is_some() && calm && (self.held.is_empty() || self.winding())
    }

    fn list(&mut self, list: List, whole: bool) -> Event {
        let now = Instant::now();
        if whole {
            self.client.pool.withdraw_all();
            for known in self.endpoints.values_mut() {
                known.listed = false;
                known.closed.get_or_insert(now);
            }
        }
        self.generation = list.generation;
        let mut entries = Vec::new();
        for instance in list.instances() {
            let condition = match instance.lifecycle.as_str() {
                "Ready" => Condition::Ready,
                "Gone" => Condition::Gone,
                // Also what is not known: it gets nothing new.
                _ => Condition::Draining,
            };
            let endpoint = *self.names.entry(instance.name.clone()).or_insert_with(|| {
                self.next_endpoint += 1;
                self.next_endpoint
            });
            let kind = position(&self.around.kinds, &instance.kind).unwrap_or(usize::MAX);
            let zone = position(&self.around.zones, &instance.zone).unwrap_or(usize::MAX);
            let separate = self.settings.kinds.get(kind).is_some_and(|k| k.separate_routes);
            let ready = condition == Condition::Ready;
            let (dest, hint) = (instance.dest, instance.weight);
            let entry = Entry { endpoint, dest, kind, zone, condition, hint };
            let new = || Known { name: instance.name.clone(), entry, listed: true, closed: None };
            let known = self.endpoints.entry(endpoint).or_insert_with(new);
            (known.entry, known.listed) = (entry, condition != Condition::Gone);
            known.closed = if ready { None } else { known.closed.or(Some(now)) };
            self.client.pool.place(endpoint, instance.address, instance.dest, separate, ready);
            self.dests.insert(dest);
            entries.push(entry);
        }
        self.forget_endpoints(now);
        Event::List { whole, entries }
    }

    fn forget_endpoints(&mut self, now: Instant) {
        let pool = &self.client.pool;
        let busy: HashSet<EndpointId> = self.calls.values().map(|out| out.endpoint).collect();
        self.endpoints.retain(|id, known| {
            let keep = known.closed.is_none_or(|at| now - at < FORGET) || busy.contains(id);
            if keep || !pool.is_done_with(*id) {
                return true;
            }
            pool.forget(*id);
            self.names.remove(&known.name);
            false
        });
    }

    /// One round: all that has come, the module's answer to it, one write, then the actions.
    fn round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let at = Instant::now();
        let now = self.clock(at);
        self.keep_time();
        if self.has_yielded {
            return inputs.into_iter().for_each(|input| self.after_yield(input));
        }
        let mut records = Vec::new();
        let mut round = Round { at, events, offered: BTreeMap::new(), claimed: 0 };
        for input in inputs {
            match input {
                Input::Offer { taken, end, life, reply } => self.offer(*taken, end, life, reply, &mut round),
                Input::List(list) => {
                    let whole = list.reset;
                    round.events.push(self.list(list, whole));
                }
                Input::Ended(ends) => {
                    for end in ends {
                        let (ms, wait, kept) = (end.took / MS, end.wait / MS, end.kept);
                        let (id, attempt, endpoint, outcome) =
                            (end.id, end.attempt, end.endpoint, end.outcome);
                        tracing::debug!(id, attempt, endpoint, ?outcome, ms, wait, kept, "attempt ended");
                        self.ended(&end, &mut records);
                        round.events.push(Event::AttemptEnd(end));
                    }
                }
                Input::Probed { endpoint, outcome, report } => {
                    round.events.push(Event::Probed { endpoint, outcome, report })
                }
                Input::Noticed(ids) => self.noticed(ids, &mut records),
                Input::TakeOver(left, reply) => _ = reply.send(self.take_over(left, &mut round.events)),
                Input::Elsewhere(Elsewhere { sends, calls, held, bytes }) => {
                    self.held_elsewhere = held;
                    self.journal.set_others(bytes);
                    round.events.push(Event::Elsewhere { sends, calls });
                }
                Input::EndedElsewhere(releases) => {
                    let ends = releases.iter().filter_map(|r| self.ended_elsewhere(r));
                    round.events.extend(ends);
                }
                Input::Inherited(inheritance) => self.inherit(inheritance, &mut round.events),
                Input::Alone => self.journal.forget_seen(),
                Input::Succeeded if !self.is_succeeded => {
                    self.is_succeeded = true;
                    records.push(Record::Shared);
                }
                Input::Succeeded => {}
                Input::Listening(reply) => _ = reply.send(self.write(&[Record::Listening])),
                Input::Yield(reply) => self.yielding = Some(reply),
                Input::Gauges(reply) => _ = reply.send(self.gauges(now)),
                Input::Settings(new) => round.events.push(self.reset(*new)),
                Input::Wind(until) => self.wind = Some(until),
            }
        }
        let Round { events, mut offered, .. } = round;
        let mut actions = Vec::new();
        if !self.winding() {
            self.sender.handle(now, &events, &mut actions);
        }
        self.log_backlog(at);
        let mut calls: Vec<(EndpointId, Vec<Member>)> = Vec::new();
        let mut begun = Vec::new();
        let mut endings = Vec::new();
        let mut refused = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    let known = self.endpoints.get(&endpoint);
                    let (Some(held), Some(known)) = (self.held.get_mut(&id), known) else { continue };
                    let (name, kind) = (known.name.clone(), known.entry.kind);
                    let (attempt, by) = (held.attempts, self.start + since_start(by));
                    let time = Allowance::new(held.end, limit, held.told, by);
                    let wait = time.wait.map(|w| w.as_millis() as u64);
                    let at_own = self.own.ms(at);
                    let record =
                        Begun { number: attempt, at: at_own, endpoint: name, wait, never_ran: false };
                    begun.push(Record::Begun(id, record));
                    (held.attempts, held.told) = (attempt + 1, time.wait.or(held.told));
                    held.life.enter(Stage::Dial, at);
                    let taken = held.taken.clone();
                    tracing::debug!(id, attempt, endpoint, dest = taken.dest, limit = limit / MS, "send");
                    let member = Member { attempt, taken, time, written: Rc::default() };
                    // As the module counts: sends to one endpoint in one round share calls.
                    let batch = self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1));
                    match calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
                        Some((_, members)) if members.len() < batch => members.push(member),
                        _ => calls.push((endpoint, vec![member])),
                    }
                }
                Action::Refuse { id, backoff, late } => {
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    self.is_late(id, late);
                    match offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Refused(backoff.map(Duration::from_millis)))),
                        None => endings.push((id, Ending::HandedBack(backoff))),
                    }
                }
                Action::Fail { id, late } => {
                    self.is_late(id, late);
                    match offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Failed)),
                        None => endings.push((id, Ending::GivenUp)),
                    }
                }
                Action::Cancel { id, attempt } => {
                    if let Some(out) = self.calls.get(&(id, attempt)) {
                        out.cancel.set();
                    }
                }
                Action::Probe { endpoint } => {
                    tokio::task::spawn_local(self.client.clone().probe(endpoint));
                }
                Action::Close { endpoint } => self.client.pool.close_idle(endpoint),
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (o, reply) in refused {
            if let Some(held) = self.forget(o.taken.id) {
                self.figures.lived(&held.taken.class, held.life, at);
            }
            o.answer(reply);
        }
        for &(id, ending) in &endings {
            if let Some(Held { taken, mut life, end, .. }) = self.forget(id) {
                records.push(Record::Decided(id, ending));
                life.enter(Stage::Notice, at);
                self.notify(&taken, ending, life, Some(end.instant() + NOTICE_SLACK));
            }
        }
        let mut all: Vec<Record> = offered.values().map(|o| Record::Taken(o.taken.clone())).collect();
        all.append(&mut records);
        let settled = all.len() - offered.len();
        all.append(&mut begun);
        if !self.write(&all) {
            // Without its record nothing new is begun or taken on; what ended is tried by itself.
            let ended = all.split_off(offered.len());
            self.write(&ended[..settled]);
            for (id, o) in offered {
                self.forget(id);
                self.next.push(Event::Expired { id });
                o.answer(Reply::Refused(Some(Duration::from_secs(1))));
            }
            for (endpoint, members) in calls {
                for m in members {
                    let end = calls::end(&m, endpoint, Outcome::NotSent, Instant::now());
                    self.next.push(Event::AttemptEnd(end));
                }
            }
            return;
        }
        for (id, o) in offered {
            // Nothing went out of what was taken on only now. Where its time went while it was written down it is
            // refused, as at the door.
            let over = self.held.get(&id).is_some_and(|h| h.attempts == 0 && h.end.is_over(Instant::now()));
            if over || !o.answer(Reply::TakenOn) {
                // The client has left without its answer: it may hand the message in again elsewhere.
                self.next.push(Event::Expired { id });
                self.forget(id);
                self.write(&[Record::Ended(id)]);
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
        if !self.dests.contains(&taken.dest) {
            let first = self.dests.is_empty();
            let _ = reply.send(if first { Reply::Refused(None) } else { Reply::NoDestination });
            return;
        }
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
        let taken = Rc::new(taken);
        let left = end.left(round.at).as_nanos() as Ns;
        let held = Held { taken: taken.clone(), class, end, attempts: 0, told: None, life };
        let message = self.hold(left, held);
        round.events.push(Event::Message(message));
        round.offered.insert(taken.id, Offered { taken, replies: vec![reply] });
    }

    /// Enters a message that the module is about to be told of.
    fn hold(&mut self, left: Ns, held: Held) -> Message {
        let (id, dest, class) = (held.taken.id, held.taken.dest, held.class);
        let tenant = position(&self.around.tenants, &held.taken.tenant).unwrap_or(0);
        self.traces.insert(held.taken.trace.clone(), id);
        self.classes.opened(class);
        self.held.insert(id, held);
        Message { id, class, dest, left, cost: 0, key: None, tenant }
    }

    /// New settings in place of the old: messages that are held keep theirs.
    fn reset(&mut self, (settings, around): (Settings, Around)) -> Event {
        self.classes.replace(&settings, &around);
        self.figures.show(&around.classes);
        (self.settings, self.around) = (settings, around);
        Event::Settings(self.module_settings())
    }

    fn gauges(&self, now: Ns) -> Gauges {
        let avoided: HashSet<EndpointId> = self.sender.avoided(now).collect();
        let listed = || self.endpoints.iter().filter(|(_, known)| known.listed);
        Gauges {
            pending: self.held.len() + self.noticing.len(),
            members: listed().count(),
            unavailable: listed().filter(|(id, k)| k.closed.is_some() || avoided.contains(id)).count(),
        }
    }

    /// The settings in force with all classes that messages have.
    fn module_settings(&self) -> Settings {
        Settings { classes: self.classes.table(), ..self.settings.clone() }
    }

    fn notify(&mut self, taken: &Taken, ending: Ending, life: Life, due: Option<Instant>) {
        let end = match ending {
            Ending::GivenUp => End::Failed,
            Ending::HandedBack(_) => End::Rejected,
        };
        self.noticing.insert(taken.id, Noticing { class: taken.class.clone(), end, life, due });
        let _ = self.notices.send(Notice { id: taken.id, trace: taken.trace.clone(), ending });
    }

    /// An attempt is out no more: its message goes on to wait, if it does.
    fn came_back(&mut self, end: &AttemptEnd) {
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
    fn ended(&mut self, end: &AttemptEnd, records: &mut Vec<Record>) {
        self.came_back(end);
        if !self.held.contains_key(&end.id) {
            return;
        }
        if end.done {
            records.push(Record::Ended(end.id));
            if let Some(held) = self.forget(end.id) {
                // Withdrawn, by the endpoint's word: not delivered, and not to be handed in again.
                let served = end.outcome == Outcome::Served;
                self.figures.ended(&held.taken.class, if served { End::Completed } else { End::Failed });
                self.figures.lived(&held.taken.class, held.life, Instant::now());
            }
        } else if end.outcome.never_ran() {
            records.push(Record::NeverRan(end.id, end.attempt));
        }
    }

    /// Tells the log where work stands and why, while it does.
    fn log_backlog(&mut self, now: Instant) {
        if now - self.told.at < LOG_EVERY {
            return;
        }
        let (calls, backlog) = self.sender.backlog();
        let stands: Vec<&Backlog> = backlog.iter().filter(|b| b.oldest >= STANDS).collect();
        let (no_room, no_journal) = (self.told.no_room, self.told.no_journal);
        if !stands.is_empty() || no_room + no_journal > 0 {
            let (held, most, slots) = (self.held.len(), self.settings.max_open, self.settings.slots);
            tracing::info!(held, most, calls, slots, no_room, no_journal, "work stands");
            for b in stands {
                let ms = b.oldest / MS;
                let (served, limit, share) = (b.served as f32, b.limit as f32, b.share as f32);
                let (dest, held, out, cap, gate) = (b.dest, b.held, b.in_flight, b.cap, b.gate);
                tracing::info!(dest, held, ms, out, cap, ?gate, served, limit, share, "destination stands");
            }
        }
        let turnover = self.client.pool.turnover.get();
        if turnover != self.told.turnover {
            tracing::info!(?turnover, "connections");
        }
        self.told = Told { at: now, no_room: 0, no_journal: 0, turnover };
    }

    fn forget(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.traces.remove(&held.taken.trace);
        self.classes.ended(held.class);
        Some(held)
    }

    fn write(&mut self, records: &[Record]) -> bool {
        records.is_empty() || self.write_all(records)
    }

    /// Also where there is nothing to be said but the time.
    fn write_all(&mut self, records: &[Record]) -> bool {
        let stamp = self.stamp();
        let result = self.journal.write(records, stamp);
        self.last_stamp = stamp;
        if let Err(error) = &result {
            if !self.write_failed {
                tracing::error!(%error, "cannot write the journal; nothing new is taken on");
            }
        }
        self.write_failed = result.is_err();
        result.is_ok()
    }
}

/// A time of the module's clock, from the start of the process.
fn since_start(at: Ns) -> Duration {
    Duration::from_nanos((at - CLOCK_START).max(0) as u64)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
