//! The one owner of the module: events in, one round of decisions, actions out. It decides nothing itself.
//!
//! | file | what of it |
//! | --- | --- |
//! | `round` | a round's four steps: gather, decide, record, act |
//! | `writing` | the journal: what a write comes to, and a file that has failed |
//! | `places` | endpoints, as lists name them |
//! | `passing` | what passes from one process of a sender to the next |
mod passing;
mod places;
mod round;
#[cfg(test)]
mod tests;
mod writing;

use crate::calls::{Cancel, Client};
use crate::classes::Classes;
use crate::connections::Turnover;
use crate::deadline::{Clock, Deadline};
use crate::disk::Log;
use crate::drain::{Drain, Rest};
use crate::figures::{End, Figures, Gauges};
use crate::inbox::{Input, Notice, NOTICE_SLACK};
use crate::life::{Life, Stage};
use journal::{first_id, Record, Stamp, Taken};
use machine::Machine;
use places::Lists;
use policy::api::*;
use policy::rules::Sender;
use policy::settings::HostSettings;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

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

/// What a core is made of.
pub struct Parts {
    pub machine: Rc<dyn Machine>,
    pub settings: Settings,
    pub host_settings: HostSettings,
    pub seed: u64,
    pub journal: Log,
    /// The journal's, which the numbers of its messages begin with.
    pub number: u64,
    /// For what is written down.
    pub own: Clock,
    pub drain: Rc<Drain>,
    pub client: Rc<Client>,
    pub inbox: mpsc::Receiver<Input>,
    pub notices: mpsc::UnboundedSender<Notice>,
}

pub struct Core {
    machine: Rc<dyn Machine>,
    sender: Sender,
    settings: Settings,
    host_settings: HostSettings,
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
    lists: Lists,
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
/// How often a journal that has failed may be tried to be replaced.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// A delivery so shortly before a message's end, or behind it, may be too late by the platform's clock: that one counts
/// from when the client sent the message, ours from when its first byte was read, and timers are late. Its end is noticed
/// as well, which does no harm to one that counts as delivered.
const CROSSING: Duration = Duration::from_millis(50);
const FIRST_LIST: Duration = Duration::from_millis(300);
/// How often the log is told of work that stands, and for how long it must have stood.
const LOG_EVERY: Duration = Duration::from_secs(1);
const STANDS: Ns = SECOND;

impl Core {
    pub fn new(parts: Parts) -> Core {
        let Parts {
            machine,
            settings,
            host_settings,
            seed,
            journal,
            number,
            own,
            drain,
            client,
            inbox,
            notices,
        } = parts;
        let start = Instant::now();
        Core {
            sender: Sender::new(settings.clone(), seed),
            classes: Classes::new(&settings, &host_settings),
            settings,
            host_settings,
            next_id: first_id(number),
            journal,
            drain,
            figures: client.figures.clone(),
            client,
            inbox,
            notices,
            start,
            own,
            last_stamp: own.stamp(start, machine.wall_ms()),
            machine,
            lists: Lists::default(),
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

    fn clock(&self, at: Instant) -> Ns {
        CLOCK_START + at.saturating_duration_since(self.start).as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        self.start + since_start(at)
    }

    pub async fn run(mut self) {
        let mut inputs = Vec::new();
        loop {
            if self.finished() {
                return;
            }
            // Without work a round lets go of what was remembered of it.
            let rest = self.sender.next_cleanup().filter(|_| !self.has_yielded);
            let wake = self.timer.into_iter().chain(rest).min().map(|at| self.instant(at));
            let wake = if self.next.is_empty() { wake } else { Some(Instant::now()) };
            let wake = [wake, self.wind, self.renew_at, self.next_to_forget()]
                .into_iter()
                .flatten()
                .filter(|&w| self.started_before(w))
                .min();
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut inputs, ROUND) => if count == 0 { return },
                // A list goes on with the next round; all that is ready comes before that.
                () = std::future::ready(()), if !self.lists.is_empty() => {}
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

    /// Enters a message that the module is about to be told of.
    fn hold(&mut self, time_left: Ns, held: Held) -> Message {
        let (id, dest, class) = (held.taken.id, held.taken.dest, held.class);
        let tenant = position(&self.host_settings.tenants, &held.taken.tenant).unwrap_or(0);
        self.traces.insert(held.taken.trace.clone(), id);
        self.classes.opened(class);
        self.held.insert(id, held);
        Message { id, class, dest, time_left, cost: 0, key: None, tenant }
    }

    fn forget(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.traces.remove(&held.taken.trace);
        self.classes.ended(held.class);
        Some(held)
    }

    /// The settings in force with all classes that messages have.
    fn module_settings(&self) -> Settings {
        Settings { classes: self.classes.table(), ..self.settings.clone() }
    }

    /// New settings in place of the old: messages that are held keep theirs.
    fn reset(&mut self, (settings, host_settings): (Settings, HostSettings)) -> Event {
        self.classes.replace(&settings, &host_settings);
        self.figures.show(&host_settings.classes);
        (self.settings, self.host_settings) = (settings, host_settings);
        Event::Settings(self.module_settings())
    }

    fn gauges(&self, now: Ns) -> Gauges {
        let endpoints = self.client.pool.endpoints.borrow();
        let (members, closed) = endpoints.counts();
        let open = |id: &EndpointId| endpoints.get(*id).is_some_and(|known| known.is_usable());
        Gauges {
            pending: self.held.len() + self.noticing.len(),
            members,
            unavailable: closed + self.sender.avoided_endpoints(now).filter(open).count(),
            journal: self.journal.figures,
            journal_bytes: self.journal.size(),
            links: self.client.pool.counts(),
            turnover: self.client.pool.turnover(),
            ..Gauges::default()
        }
    }

    /// What is left, but for clients.
    fn rest(&self) -> Rest {
        let out: HashSet<u64> = self.calls.keys().map(|(id, _)| *id).collect();
        let waiting = self.held.keys().filter(|id| !out.contains(id)).count();
        let (held, out, notices) = (waiting + self.held_elsewhere, out.len(), self.noticing.len());
        Rest { clients: 0, held, out, notices, kept: self.journal.ledger().live.len() + self.owed.len() }
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
                let (dest, held, out, cap, gate) = (b.dest, b.held, b.in_flight, b.cap, b.hold_reason);
                tracing::info!(dest, held, ms, out, cap, ?gate, served, limit, share, "destination stands");
            }
        }
        let turnover = self.client.pool.turnover();
        if turnover != self.told.turnover {
            tracing::info!(%turnover, "connections");
        }
        self.told = Told { at: now, no_room: 0, no_journal: 0, turnover };
    }
}

/// A time of the module's clock, from the start of the process.
fn since_start(at: Ns) -> Duration {
    Duration::from_nanos((at - CLOCK_START).max(0) as u64)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
