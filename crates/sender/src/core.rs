//! The one owner of the module: events in, one round of decisions, actions out. It decides nothing itself.
use crate::calls::{self, Cancel, Client, Member};
use crate::classes::Classes;
use crate::config::Config;
use crate::connections::Turnover;
use crate::deadline::{left, wall_ms, was_set, Allowance, Clock, Deadline, Shift};
use crate::discovery::List;
use crate::disk::Log;
use crate::drain::{Drain, Rest};
use crate::figures::{End, Figures, Gauges};
use crate::handover::Elsewhere;
use crate::life::{Life, Stage};
use crate::notices::Notice;
use journal::{first_id, seen, Begun, Ending, Fault, Inheritance, Left, Live, Record, Release, Stamp, Taken};
use policy::api::*;
use policy::rules::Sender;
use policy::settings::Around;
use serde_json::Value;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
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
    /// What is left here, as the drain goes on.
    Rest(oneshot::Sender<Rest>),
    /// The machine goes for good, or stays.
    Evacuate(bool),
    /// The file of the configuration was read again.
    Settings(Box<(Settings, Around)>),
    /// No client can come any more: end once nothing is left to do, and start nothing new after this time.
    Wind(Instant),
}

/// A message that the module has not ended.
struct Held {
    taken: Arc<Taken>,
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
}

pub struct Core {
    sender: Sender,
    settings: Settings,
    around: Around,
    classes: Classes,
    journal: Log,
    drain: Rc<Drain>,
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
    /// Ends that could not be written down yet.
    owed: Vec<Record>,
    /// When a journal that has failed may next be replaced.
    renew_at: Option<Instant>,
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
/// How often a journal that has failed may be tried to be replaced.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// How long after a message's time the platform may hear of its end.
const NOTICE_SLACK: Duration = Duration::from_millis(300);
const FIRST_LIST: Duration = Duration::from_millis(300);
/// How often the log is told of work that stands, and for how long it must have stood.
const LOG_EVERY: Duration = Duration::from_secs(1);
const STANDS: Ns = SECOND;

impl Core {
    pub fn new(
        config: Config,
        (number, journal, own): (u64, Log, Clock),
        drain: Rc<Drain>,
        client: Rc<Client>,
        inbox: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core {
        let (start, wall) = (Instant::now(), wall_ms());
        Core {
            sender: Sender::new(config.settings.clone(), config.seed),
            classes: Classes::new(&config.settings, &config.around),
            settings: config.settings,
            around: config.around,
            next_id: first_id(number),
            journal,
            drain,
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
            owed: Vec::new(),
            renew_at: None,
            told: Told { at: Instant::now(), no_room: 0, no_journal: 0, turnover: Turnover::default() },
        }
    }

    fn stamp(&self) -> Stamp {
        self.own.stamp(Instant::now(), wall_ms())
    }

    /// Says in the journal that the wall clock was set, while that matters to what is held.
    async fn keep_time(&mut self) {
        if !self.held.is_empty() && was_set(self.last_stamp, self.stamp()) {
            tracing::warn!("the wall clock was set");
            // A failure is logged, and the next write says it too.
            let _ = self.commit(Vec::new()).await;
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

    /// Makes messages of an earlier process this one's.
    async fn take_over(&mut self, left: Left, events: &mut Vec<Event>) -> bool {
        let Left { messages: mut left, seen: ended, .. } = left;
        left.retain(|live| !self.journal.has_seen(live.taken.id));
        let (now, wall) = (Instant::now(), wall_ms());
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
            let wake = [wake, self.wind, self.renew_at]
                .into_iter()
                .flatten()
                .filter(|&w| self.started_before(w))
                .min();
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
            self.round(std::mem::take(&mut inputs), events).await;
            if let Some(reply) = self.yielding.take() {
                let _ = reply.send(self.yield_work().await);
            }
        }
    }

    /// Makes all but the calls out the next process's. False if that could not be written down: then all stays here.
    async fn yield_work(&mut self) -> bool {
        let out: Vec<(u64, u32)> =
            self.calls.keys().copied().filter(|(id, _)| self.held.contains_key(id)).collect();
        let standings = self.sender.standings(self.clock(Instant::now())).into_iter();
        let named = |s: Standing| {
            (s.endpoint.and_then(|e| self.endpoints.get(&e)).map(|known| known.name.clone()), s)
        };
        let closed = self.endpoints.values().filter(|known| known.closed.is_some());
        let closed = closed.map(|known| known.name.clone()).collect();
        let (calls, generation) = (out.len(), self.generation);
        let named = |s: Standing| {
            let (endpoint, standing) = named(s);
            // Figures that are no numbers can't be written; none of these is one.
            Some((endpoint, serde_json::to_value(standing).ok()?))
        };
        let inheritance =
            Inheritance { standings: standings.filter_map(named).collect(), generation, closed };
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
        self.client.pool.withdraw_all();
        self.client.pool.close_all_idle();
        tracing::info!(messages = given.len(), calls, "work is yielded to the next process");
        true
    }

    /// What still comes once all is yielded: clients' last messages, the ends of the calls out, notices.
    async fn after_yield(&mut self, input: Input) {
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
        if !self.dests.contains(&taken.dest) {
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
        let endpoint = self.endpoints.get(&end.endpoint).map_or(String::new(), |known| known.name.clone());
        let (id, attempt, took, wait) = (end.id, end.attempt, end.took, end.wait);
        let outcome = name(end.outcome);
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
        let named = |(name, standing): (Option<String>, Value)| {
            let endpoint = name.and_then(|name| self.names.get(&name).copied());
            Some(Standing { endpoint, ..serde_json::from_value(standing).ok()? })
        };
        events.push(Event::Inherited(standings.into_iter().filter_map(named).collect()));
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
        let outcome = serde_json::from_value(Value::from(r.outcome.as_str())).ok()?;
        let (id, attempt, took, wait) = (r.id, r.attempt, r.took, r.wait);
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

    /// What a write has come to. Where nobody can tell what of it will be found, the file is replaced by one that holds
    /// only what is certain, before anything else is done.
    async fn settled(&mut self, written: Result<(), Fault>) -> Result<(), Fault> {
        let Err(fault) = written else {
            if std::mem::take(&mut self.write_failed) {
                tracing::info!("the journal can be written again");
            }
            return Ok(());
        };
        if !std::mem::replace(&mut self.write_failed, true) {
            tracing::error!(%fault, "cannot write the journal; nothing new is taken on");
        }
        match fault {
            Fault::Unknown(error) if self.renew().await => Err(Fault::Clean(error)),
            fault => Err(fault),
        }
    }

    /// Replaces a journal that has failed; if that fails too it is tried again after a while.
    async fn renew(&mut self) -> bool {
        let stamp = self.stamp();
        let renewed = self.journal.run(move |journal| journal.renew(stamp)).await;
        self.drain.set_unfit(renewed.is_err());
        self.renew_at = renewed.is_err().then(|| Instant::now() + RENEW_EVERY);
        match renewed {
            Ok(()) => tracing::warn!("the journal has failed and was replaced by a new file"),
            Err(error) => tracing::error!(%error, "the journal has failed and can't be replaced; not ready"),
        }
        self.renew_at.is_none()
    }

    /// Writes down all of these or none.
    async fn commit(&mut self, records: Vec<Record>) -> Result<(), Fault> {
        let stamp = self.stamp();
        let written = self.journal.run(move |journal| journal.write(&records, stamp)).await;
        if written.is_ok() {
            self.last_stamp = stamp;
        }
        self.settled(written).await
    }

    /// Writes down what has ended. What can't be written is kept for the next time: it is so all the same.
    async fn write(&mut self, mut records: Vec<Record>) -> bool {
        if !self.owed.is_empty() {
            records.splice(0..0, std::mem::take(&mut self.owed));
        }
        if records.is_empty() {
            return true;
        }
        let written = self.commit(records.clone()).await.is_ok();
        if !written {
            // The platform was told no more than that of it (`notify`).
            let said = |record| match record {
                Record::Decided(id, _) => Record::Decided(id, Ending::GivenUp),
                record => record,
            };
            self.owed = records.into_iter().map(said).collect();
        }
        written
    }

    /// One round: all that has come, the module's answer to it, one write, then the actions.
    async fn round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let at = Instant::now();
        let now = self.clock(at);
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
                Input::Noticed(ids) => self.noticed(ids, &mut records),
                Input::TakeOver(left, reply) => {
                    let written = self.take_over(left, &mut round.events).await;
                    let _ = reply.send(written);
                }
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
                Input::Listening(reply) => {
                    let written = self.commit(vec![Record::Listening]).await;
                    let _ = reply.send(written.is_ok());
                }
                Input::Yield(reply) => self.yielding = Some(reply),
                Input::Gauges(reply) => _ = reply.send(self.gauges(now)),
                Input::Rest(reply) => _ = reply.send(self.rest()),
                Input::Evacuate(goes) => round.events.push(Event::Evacuate(goes)),
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
        let mut ended = Vec::new();
        for &(id, ending) in &endings {
            if let Some(Held { taken, mut life, end, .. }) = self.forget(id) {
                records.push(Record::Decided(id, ending));
                life.enter(Stage::Notice, at);
                ended.push((taken, ending, life, end.instant() + NOTICE_SLACK));
            }
        }
        let mut all: Vec<Record> = offered.values().map(|o| Record::Taken(o.taken.clone())).collect();
        // What has ended is written down also where nothing new can be.
        let new = !(all.is_empty() && begun.is_empty());
        let settled = std::mem::take(&mut self.owed).into_iter().chain(records).collect::<Vec<_>>();
        let mut decided = true;
        let mut fault = None;
        if new {
            all.extend(settled.iter().cloned());
            all.append(&mut begun);
            fault = self.commit(all).await.err();
        }
        if !new || fault.is_some() {
            decided = self.write(settled).await;
        }
        for (taken, ending, life, due) in ended {
            // A message that is handed back comes again: that is only said once no start can find it open.
            let ending = if decided { ending } else { Ending::GivenUp };
            self.notify(&taken, ending, life, Some(due));
        }
        if let Some(fault) = fault {
            // Without its record nothing new is begun or taken on.
            for (id, o) in offered {
                self.forget(id);
                self.next.push(Event::Expired { id });
                o.answer(unheld(&fault));
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
        let taken = Arc::new(taken);
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
            journal: self.journal.figures,
            journal_bytes: self.journal.size(),
            links: self.client.pool.counts(),
            turnover: self.client.pool.turnover(),
            fleet: None,
        }
    }

    /// What is left, but for clients.
    fn rest(&self) -> Rest {
        let out: HashSet<u64> = self.calls.keys().map(|(id, _)| *id).collect();
        let waiting = self.held.keys().filter(|id| !out.contains(id)).count();
        let (held, out, notices) = (waiting + self.held_elsewhere, out.len(), self.noticing.len());
        Rest { clients: 0, held, out, notices, kept: self.journal.ledger().live.len() + self.owed.len() }
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
        let turnover = self.client.pool.turnover();
        if turnover != self.told.turnover {
            tracing::info!(%turnover, "connections");
        }
        self.told = Told { at: now, no_room: 0, no_journal: 0, turnover };
    }

    fn forget(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.traces.remove(&held.taken.trace);
        self.classes.ended(held.class);
        Some(held)
    }
}

/// What a client is told whose message is not held. Where a next process may find it all the same it may yet be
/// delivered, so it must not be handed in again.
fn unheld(fault: &Fault) -> Reply {
    match fault {
        Fault::Clean(_) => Reply::Refused(Some(Duration::from_secs(1))),
        Fault::Unknown(_) => Reply::Failed,
    }
}

/// An outcome's name in the journal.
fn name(outcome: Outcome) -> String {
    serde_json::to_value(outcome).ok().and_then(|v| Some(v.as_str()?.to_string())).unwrap_or_default()
}

/// A time of the module's clock, from the start of the process.
fn since_start(at: Ns) -> Duration {
    Duration::from_nanos((at - CLOCK_START).max(0) as u64)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::connections::Pool;
    use crate::disk::Disk;
    use crate::life::Life;
    use journal::storage::Storage;
    use journal::{Durability, Journal, Names};
    use serde_json::json;
    use std::fs::File;
    use std::io;
    use std::path::{Path, PathBuf};
    use std::sync::Mutex;
    use tokio::task::{spawn_local, LocalSet};

    /// How many of the next operations of each kind fail.
    #[derive(Default)]
    struct Plan {
        syncs: usize,
        writes: usize,
        /// The next sync takes so long.
        slow: Duration,
    }

    struct Failing(Disk, Arc<Mutex<Plan>>);

    impl Failing {
        fn may(&self, of: impl Fn(&mut Plan) -> &mut usize) -> io::Result<()> {
            let mut plan = self.1.lock().unwrap();
            let left = of(&mut plan);
            match *left {
                0 => Ok(()),
                _ => {
                    *left -= 1;
                    Err(io::Error::other("injected"))
                }
            }
        }
    }

    impl Storage for Failing {
        type File = File;
        fn create(&mut self, name: &str) -> io::Result<File> {
            self.0.create(name)
        }
        fn write_at(&mut self, file: &File, bytes: &[u8], at: u64) -> io::Result<()> {
            self.may(|p| &mut p.writes)?;
            self.0.write_at(file, bytes, at)
        }
        fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
            self.0.truncate(file, length)
        }
        fn sync(&mut self, file: &File) -> io::Result<()> {
            let slow = std::mem::take(&mut self.1.lock().unwrap().slow);
            std::thread::sleep(slow);
            self.may(|p| &mut p.syncs)?;
            self.0.sync(file)
        }
        fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
            self.0.rename(from, to)
        }
        fn remove(&mut self, name: &str) -> io::Result<()> {
            self.0.remove(name)
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            self.0.sync_folder()
        }
    }

    struct Stand {
        core: mpsc::Sender<Input>,
        drain: Rc<Drain>,
        plan: Arc<Mutex<Plan>>,
        notices: mpsc::UnboundedReceiver<Notice>,
        folder: PathBuf,
    }

    /// A core whose one endpoint nobody can connect to.
    async fn stand(name: &str) -> Stand {
        let folder = std::env::temp_dir().join(format!("leadfold-core-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let class = json!({"Name": "order", "PromiseNs": 1_000_000_000, "DeadlineNs": 4_000_000_000u64,
            "Effect": "unsafe", "DedupScope": "all", "WindowNs": 1_000_000_000, "Worth": 1, "LateWorth": 0.3});
        let value = json!({"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["z"],
            "Weights": "silent", "FamilyInfo": {"CallsOut": 4, "KindBatch": [1], "SeparateRoutes": [false]},
            "Limits": {"MaxOpen": 20, "MaxAttempts": 8, "IdleCloseNs": 1_000_000_000,
                "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 1_000_000_000},
            "Safety": {"StartCapacity": 0.3, "ColdNs": 1_000_000_000, "FallMultiple": 2,
                "OverloadForNs": 1_000_000_000},
            "Services": [class]});
        let (settings, around) = policy::settings::read(&value).unwrap();
        let known = serde_json::from_value(json!({"generation": 1, "reset": true, "instances": [{
            "instanceId": "e-1", "hostPort": "127.0.0.1:9", "zone": "z", "machineType": "plain", "cell": 7,
            "lifecycle": "Terminating", "weight": 1.0, "startedAtMs": 0}]}));
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let config = Config {
            listen: nowhere,
            discovery: nowhere,
            control: None,
            state: folder.clone(),
            name: "n0".into(),
            registry: None,
            membership: None,
            duties: None,
            seed: 1,
            limits: crate::config::Limits { memory_mb: 32.0, sockets: 256, disk_mb: 1.0 },
            durability: Durability::Power,
            known: List::default(),
            settings: settings.clone(),
            around,
            file: Value::Null,
        };
        let plan = Arc::new(Mutex::new(Plan::default()));
        let clock = Clock::new(Instant::now(), wall_ms());
        let keeper: crate::disk::Keeper = Box::new(Failing(Disk::new(&folder), plan.clone()));
        let names = Names { file: "journal.1".into(), rewrite: "rewrite.1".into() };
        let stamp = clock.stamp(Instant::now(), wall_ms());
        let journal = Journal::create(keeper, names, 1, 1.0, Durability::Power, 7, stamp).unwrap();
        let (core_in, inbox) = mpsc::channel(64);
        let (notices_in, notices) = mpsc::unbounded_channel();
        let pool = Rc::new(Pool::new(settings.dial_timeout, settings.idle_close, 8));
        let client = Rc::new(Client { core: core_in.clone(), figures: Rc::default(), pool });
        let drain = Rc::new(Drain::new(Instant::now()));
        drain.listening(Instant::now());
        let journal = (1, Log::new(journal), clock);
        let mut core = Core::new(config, journal, drain.clone(), client, inbox, notices_in);
        core.resume(known.unwrap(), Left::default(), false).await;
        spawn_local(core.run());
        Stand { core: core_in, drain, plan, notices, folder }
    }

    impl Stand {
        async fn offer(&self, trace: &str, ms: u64) -> Reply {
            let (reply, answer) = oneshot::channel();
            let now = Instant::now();
            let taken = Taken {
                id: 0,
                class: "order".into(),
                tenant: String::new(),
                dest: 7,
                trace: trace.into(),
                key: None,
                end: 0,
                rules: None,
                body: Default::default(),
            };
            let (end, life) = (Deadline::at(now + Duration::from_millis(ms)), Life::begin(Stage::Queue, now));
            let input = Input::Offer { taken: Box::new(taken), end, life, reply };
            assert!(self.core.send(input).await.is_ok());
            answer.await.unwrap()
        }

        /// What a start would find now.
        fn found(&self) -> Vec<String> {
            let bytes = std::fs::read(Path::new(&self.folder).join("journal.1")).unwrap();
            let whole = journal::Whole::new(1, &journal::read(&bytes).unwrap());
            whole.ledger.live.values().map(|l| l.taken.trace.clone()).collect()
        }
    }

    async fn until(what: &str, so: impl Fn() -> bool) {
        let bound = Instant::now() + Duration::from_secs(30);
        while !so() {
            assert!(Instant::now() < bound, "waited in vain until {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    #[tokio::test]
    async fn after_a_failed_sync_a_new_file_takes_the_place_of_the_old_before_anything_is_said() {
        let run = async {
            let stand = stand("once").await;
            assert!(matches!(stand.offer("first", 4_000).await, Reply::TakenOn));
            stand.plan.lock().unwrap().syncs = 1;
            assert!(matches!(stand.offer("second", 4_000).await, Reply::Refused(_)));
            assert_eq!(stand.found(), ["first"], "a start must not find what may be handed in elsewhere");
            assert!(stand.drain.is_ready());
            assert!(matches!(stand.offer("third", 4_000).await, Reply::TakenOn));
            assert_eq!(stand.found(), ["first", "third"]);
        };
        LocalSet::new().run_until(run).await;
    }

    #[tokio::test]
    async fn a_journal_that_cannot_be_replaced_is_not_ready_and_says_nothing_that_it_cannot_keep() {
        let run = async {
            let stand = stand("long").await;
            stand.plan.lock().unwrap().syncs = usize::MAX;
            // It may be found, so it must not be handed in elsewhere.
            assert!(matches!(stand.offer("first", 4_000).await, Reply::Failed));
            assert!(!stand.drain.is_ready() && stand.drain.is_active());
            assert!(matches!(stand.offer("second", 4_000).await, Reply::Refused(_)));
            stand.plan.lock().unwrap().syncs = 0;
            until("it is ready again", || stand.drain.is_ready()).await;
            assert!(stand.found().is_empty());
            assert!(matches!(stand.offer("third", 4_000).await, Reply::TakenOn));
        };
        LocalSet::new().run_until(run).await;
    }

    #[tokio::test]
    async fn a_message_whose_time_goes_while_it_is_written_down_is_refused_and_not_kept() {
        let run = async {
            let stand = stand("slow").await;
            stand.plan.lock().unwrap().slow = Duration::from_millis(120);
            // The rest goes on meanwhile, and what comes is gathered for the next write.
            let (slow, other) = tokio::join!(stand.offer("slow", 60), stand.offer("other", 4_000));
            assert!(matches!(slow, Reply::Refused(_)), "{slow:?}");
            assert!(matches!(other, Reply::TakenOn), "{other:?}");
            until("only the other is kept", || stand.found() == ["other"]).await;
        };
        LocalSet::new().run_until(run).await;
    }

    #[tokio::test]
    async fn a_message_is_handed_back_only_where_no_start_can_find_it_open() {
        let run = async {
            let mut stand = stand("back").await;
            assert!(matches!(stand.offer("well", 300).await, Reply::TakenOn));
            let notice = stand.notices.recv().await.unwrap();
            assert!(matches!(notice.ending, Ending::HandedBack(Some(_))), "{:?}", notice.ending);
            assert!(matches!(stand.offer("hurt", 300).await, Reply::TakenOn));
            stand.plan.lock().unwrap().writes = usize::MAX;
            let notice = stand.notices.recv().await.unwrap();
            assert_eq!((notice.trace.as_str(), notice.ending), ("hurt", Ending::GivenUp));
            // Once it can be written it says the same.
            stand.plan.lock().unwrap().writes = 0;
            assert!(matches!(stand.offer("next", 4_000).await, Reply::TakenOn));
            let bytes = std::fs::read(stand.folder.join("journal.1")).unwrap();
            let whole = journal::Whole::new(1, &journal::read(&bytes).unwrap());
            let hurt = whole.ledger.live.values().find(|l| l.taken.trace == "hurt").unwrap();
            assert_eq!(hurt.ending, Some(Ending::GivenUp));
        };
        LocalSet::new().run_until(run).await;
    }
}
