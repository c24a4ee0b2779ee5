//! Judges: each reads a whole history after the run and says what is wrong in it. They go by order, and by bounds that
//! start when a fault has ended.
use crate::history::{Event, Us, What, MS, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a judge must know besides the history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Terms {
    pub senders: usize,
    pub per_machine: usize,
    pub membership: bool,
    pub duties: bool,
    /// Machines that may drain at a time.
    pub drains: usize,
    /// Times out of this rig's control take so many times as long as on a machine that is not busy.
    pub stretch: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    pub judge: String,
    pub at: Us,
    /// The message that went wrong, where it is one.
    pub id: Option<String>,
    pub says: String,
}

type Judge = fn(&Book<'_>, &Terms) -> Vec<Said>;

/// When, which message, and what is wrong.
type Said = (Us, Option<String>, String);

/// Every judge by name.
pub const JUDGES: [(&str, Judge); 15] = [
    ("one_end_in_time", one_end_in_time),
    ("no_two_ends", no_two_ends),
    ("nothing_unsafe_twice", nothing_unsafe_twice),
    ("window", window),
    ("attempts", attempts),
    ("right_partner", right_partner),
    ("waits", waits),
    ("fence", fence),
    ("one_holder", one_holder),
    ("small_part", small_part),
    ("permits", permits),
    ("drained", drained),
    ("agreement", agreement),
    ("rest", rest),
    ("no_crash", no_crash),
];

/// Hears all judges.
pub fn judge(events: &[Event], terms: &Terms) -> Vec<Finding> {
    let book = Book::read(events);
    let mut all = Vec::new();
    for (name, judge) in JUDGES {
        let finding = |(at, id, says)| Finding { judge: name.to_string(), at, id, says };
        all.extend(judge(&book, terms).into_iter().map(finding));
    }
    all.sort_by_key(|f| f.at);
    all
}

#[derive(Default)]
pub struct Message {
    pub sender: usize,
    pub dest: usize,
    pub once: bool,
    /// Under its key repeats are dropped for so long.
    pub window: Option<Us>,
    pub handed: Us,
    pub due: Us,
    pub aim: Us,
    /// Its client heard that it was taken on.
    pub taken: Option<Us>,
    pub refused: bool,
    pub calls: Vec<u64>,
    pub notices: Vec<(Us, String)>,
}

pub struct Call {
    pub at: Us,
    pub id: String,
    pub sender: usize,
    pub partner: usize,
    pub may_have_run: bool,
    /// When its answer was written, the status, and the wait that it told.
    pub told: Option<(Us, u16, Option<Us>)>,
}

/// Spans of time by sender.
type Spans = BTreeMap<usize, Vec<(Us, Us)>>;

/// A history sorted by what it is about.
pub struct Book<'a> {
    pub events: &'a [Event],
    pub messages: BTreeMap<String, Message>,
    pub calls: BTreeMap<u64, Call>,
    /// By sender: spans in which it could not be expected to tell an end (down, frozen, cut off from the platform).
    unable: Spans,
    /// By sender: spans in which it could write nothing down.
    full: Spans,
    /// By sender: its folder was lost, or put back to what it was then.
    folders: BTreeMap<usize, Vec<(Us, Option<Us>)>>,
    over: Us,
}

impl<'a> Book<'a> {
    pub fn read(events: &'a [Event]) -> Book<'a> {
        let over = events.last().map_or(0, |e| e.at);
        let (messages, calls, folders) = Default::default();
        let unable = spans(events, over, |name| name.contains("agent"));
        // Of faults alone: what is down or frozen can write nothing, and has nothing to write.
        let faults: Vec<Event> =
            events.iter().filter(|e| matches!(e.what, What::Fault { .. })).cloned().collect();
        let full = spans(&faults, over, |name| name == "disk full");
        let mut book = Book { events, messages, calls, unable, full, folders, over };
        for event in events {
            book.take(event);
        }
        book
    }

    fn take(&mut self, event: &Event) {
        let at = event.at;
        match &event.what {
            What::HandedIn { id, sender, dest, once, window, left, aim } => {
                let (sender, dest, once, window, aim) = (*sender, *dest, *once, *window, *aim);
                let (handed, due) = (at, at + left);
                let new = Message { sender, dest, once, window, handed, due, aim, ..Message::default() };
                self.messages.insert(id.clone(), new);
            }
            What::Answered { id, status, .. } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.taken = matches!(status, Some(200 | 202)).then_some(at);
                    message.refused = matches!(status, Some(429 | 503));
                }
            }
            What::Called { call, id, sender, partner, may_have_run } => {
                let (sender, partner, may_have_run) = (*sender, *partner, *may_have_run);
                let new = Call { at, id: id.clone(), sender, partner, may_have_run, told: None };
                self.calls.insert(*call, new);
                if let Some(message) = self.messages.get_mut(id) {
                    message.calls.push(*call);
                }
            }
            What::Told { call, status, wait } => {
                if let Some(call) = self.calls.get_mut(call) {
                    call.told = Some((at, *status, *wait));
                }
            }
            What::Notice { id, outcome, .. } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.notices.push((at, outcome.clone()));
                }
            }
            What::Folder { sender, as_of } => {
                self.folders.entry(*sender).or_default().push((at, *as_of));
            }
            _ => {}
        }
    }

    pub fn delivered(&self, message: &Message) -> Option<Us> {
        let told = message.calls.iter().filter_map(|c| self.calls[c].told);
        told.filter(|t| t.1 == 200).map(|t| t.0).min()
    }

    /// The first 200 that its sender must have heard: one that came so late may have found the call given up.
    fn surely_heard(&self, message: &Message, terms: &Terms) -> Option<Us> {
        let calls = message.calls.iter().map(|c| &self.calls[c]);
        let told = calls.filter_map(|c| c.told.filter(|t| t.1 == 200).map(|t| (c.at, t.0)));
        // What is read late was written early: on a busy machine less is sure.
        let sure = told.filter(|(at, told)| stretched(told - at, terms) <= GIVES_UP);
        sure.map(|(_, told)| told).min()
    }

    /// The later of a moment and of the end of what kept the sender from telling, with its time to come back to itself.
    fn excused(&self, sender: usize, mut by: Us, terms: &Terms) -> Us {
        let back = stretched(BACK, terms);
        let mut spans = self.unable.get(&sender).cloned().unwrap_or_default();
        spans.sort_unstable();
        for (from, to) in spans {
            if from <= by + stretched(GRACE, terms) && to + back > by {
                by = to + back;
            }
        }
        by
    }

    /// Whether something kept the sender from its work, or from writing it down, about that time.
    fn was_unable(&self, sender: usize, at: Us, about: Us) -> bool {
        let of = |spans: &Spans| spans.get(&sender).cloned().unwrap_or_default();
        let mut spans = of(&self.unable).into_iter().chain(of(&self.full));
        spans.any(|(from, to)| from <= at + about && at <= to + about)
    }

    /// What it held went with its folder, or with one that is older than the message.
    fn went_with_folder(&self, message: &Message) -> bool {
        let lost = self.folders.get(&message.sender).into_iter().flatten();
        let taken = message.taken.unwrap_or(message.handed);
        lost.into_iter().any(|(at, as_of)| *at > message.handed && as_of.is_none_or(|t| t < taken))
    }

    /// The last of something that each sender told once all was quiet.
    fn last<T>(&self, of: impl Fn(&What) -> Option<(usize, T)>) -> BTreeMap<usize, T> {
        let quiet = self.events.iter().position(|e| e.what == What::Quiet).unwrap_or(self.events.len());
        self.events[quiet..].iter().filter_map(|e| of(&e.what)).collect()
    }
}

/// PROTOCOL: a message is lost 300 ms after its time, each limit on sockets 50 ms later; the rig's own way is short.
const GRACE: Us = 400 * MS;
/// PROTOCOL: no notice is overdue until 1.5 s after the sender is ready again.
const BACK: Us = 1_600 * MS;
/// No call is given up sooner than this.
const GIVES_UP: Us = 300 * MS;
/// PROTOCOL: calls so soon behind a told wait are let through.
const CROSSING: Us = 100 * MS;

/// PROTOCOL: on sockets every limit is so much longer.
const WINDOW_GRACE: Us = 50 * MS;

fn stretched(span: Us, terms: &Terms) -> Us {
    (span as f64 * terms.stretch) as Us
}

/// When no process of a sender serves, or it stands still, or a fault of such a name strikes it.
fn spans(events: &[Event], over: Us, strikes: impl Fn(&str) -> bool) -> Spans {
    let mut all = Spans::new();
    let mut open: BTreeMap<(usize, &str, usize), Us> = BTreeMap::new();
    let mut serving: BTreeMap<usize, BTreeSet<u32>> = BTreeMap::new();
    for Event { at, what } in events {
        let (mut begins, mut ends) = (Vec::new(), Vec::new());
        let mut gone = |sender: usize, life: u32| {
            let lives = serving.entry(sender).or_default();
            lives.remove(&life);
            lives.is_empty().then_some((sender, "down", 0))
        };
        match what {
            What::Signalled { sender, signal: libc::SIGSTOP, .. } => begins.push((*sender, "frozen", 0)),
            What::Signalled { sender, signal: libc::SIGCONT, .. } => ends.push((*sender, "frozen", 0)),
            What::Signalled { sender, life, signal: libc::SIGKILL | libc::SIGTERM }
            | What::Ended { sender, life, .. }
            | What::Started { sender, life, .. } => begins.extend(gone(*sender, *life)),
            What::Ready { sender, life } => {
                serving.entry(*sender).or_default().insert(*life);
                ends.push((*sender, "down", 0));
            }
            What::Fault { number, name, senders, begins: to } if strikes(name) => {
                let keys = senders.iter().map(|s| (*s, "cut", *number));
                if *to { &mut begins } else { &mut ends }.extend(keys);
            }
            _ => {}
        }
        for key in begins {
            open.entry(key).or_insert(*at);
        }
        for key in ends {
            if let Some(from) = open.remove(&key) {
                all.entry(key.0).or_default().push((from, *at));
            }
        }
    }
    for ((sender, ..), from) in open {
        all.entry(sender).or_default().push((from, over));
    }
    all
}

/// What was taken on is delivered or ended by a notice in its time.
fn one_end_in_time(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for (id, message) in &book.messages {
        let Some(taken) = message.taken else { continue };
        if book.went_with_folder(message) {
            continue;
        }
        let by = book.excused(message.sender, taken.max(message.due), terms) + stretched(GRACE, terms);
        let notice = message.notices.iter().map(|n| n.0).min();
        let end = [book.delivered(message), notice].into_iter().flatten().min();
        let wrong = match end {
            Some(end) if end <= by => continue,
            Some(end) => format!("ended {} ms late", (end - by) / MS),
            None if by > book.over => continue,
            None => "taken on, and never ended".into(),
        };
        said.push((by, Some(id.clone()), format!("sender {}: {wrong}", message.sender)));
    }
    said
}

/// Nothing is called given up, or sent again, that its sender knows to be delivered, and no end is taken back.
fn no_two_ends(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for (id, message) in &book.messages {
        let kinds: BTreeSet<&str> = message.notices.iter().map(|n| n.1.as_str()).collect();
        if let [first, second, ..] = &message.notices[..] {
            let kept = !book.was_unable(message.sender, first.0, stretched(CROSSING, terms));
            if kinds.len() > 1 && kept {
                said.push((second.0, Some(id.clone()), format!("ended as {kinds:?}")));
            }
        }
        let Some(told) = book.surely_heard(message, terms) else { continue };
        let bound = told + stretched(CROSSING, terms);
        if book.was_unable(message.sender, told, stretched(CROSSING, terms)) {
            continue;
        }
        if let Some((noted, _)) = message.notices.first().filter(|(noted, _)| *noted > bound) {
            let later = (noted - told) / MS;
            let says = format!("ended by a notice {later} ms after it was delivered");
            said.push((*noted, Some(id.clone()), says));
        }
        // Whoever handed it in elsewhere has made it another sender's too.
        let by = message.calls.iter().map(|c| &book.calls[c]);
        let again = by.filter(|c| c.sender == message.sender).find(|c| c.at > bound);
        if let Some(call) = again {
            let later = (call.at - told) / MS;
            said.push((call.at, Some(id.clone()), format!("sent {later} ms after it was delivered")));
        }
    }
    said
}

/// What may have run goes out no more, and its client is not asked to come again with it.
fn nothing_unsafe_twice(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for (id, message) in book.messages.iter().filter(|(_, m)| m.once) {
        let calls: Vec<&Call> = message.calls.iter().map(|c| &book.calls[c]).collect();
        let Some(ran) = calls.iter().position(|c| c.may_have_run) else { continue };
        let ran_at = calls[ran].at;
        let back = message.notices.iter().find(|(at, outcome)| *at > ran_at && outcome == "handed_back");
        if let Some((at, _)) = back {
            said.push((*at, Some(id.clone()), "handed back though it may have run".into()));
        }
        if let Some(again) = calls.get(ran + 1) {
            let (a, b) = (calls[ran].sender, again.sender);
            said.push((again.at, Some(id.clone()), format!("sent by {b} after it may have run for {a}")));
        }
    }
    said
}

/// Nothing goes again once repeats of it are dropped no more: so long after the first attempt that may have run, by
/// whichever process of its sender.
fn window(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for (id, message) in &book.messages {
        let Some(window) = message.window else { continue };
        let calls = || message.calls.iter().map(|c| &book.calls[c]);
        let Some(ran) = calls().filter(|c| c.may_have_run).map(|c| c.at).min() else { continue };
        let bound = ran + window + stretched(WINDOW_GRACE, terms);
        if let Some(again) = calls().find(|c| c.at > bound) {
            let later = (again.at - ran) / MS;
            let says =
                format!("sent by {} {later} ms after it may have run, beyond its window", again.sender);
            said.push((again.at, Some(id.clone()), says));
        }
    }
    said
}

/// The settings allow so many attempts.
const ATTEMPTS: usize = 8;

fn attempts(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let over = book.messages.iter().filter(|(_, m)| m.calls.len() > ATTEMPTS);
    over.map(|(id, m)| {
        let last = book.calls[&m.calls[ATTEMPTS]].at;
        (last, Some(id.clone()), format!("{} attempts", m.calls.len()))
    })
    .collect()
}

fn right_partner(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let wrong = |call: &Call| match book.messages.get(&call.id) {
        None => Some("of a message that nobody handed in".to_string()),
        Some(m) if m.dest != call.partner => Some(format!("for {} sent to {}", m.dest, call.partner)),
        Some(_) => None,
    };
    let calls = book.calls.values();
    calls.filter_map(|c| Some((c.at, Some(c.id.clone()), wrong(c)?))).collect()
}

/// A wait that was told holds for that partner, for every message of that sender, until it is over or a restart.
fn waits(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut starts: BTreeMap<usize, Vec<Us>> = BTreeMap::new();
    for event in book.events {
        if let What::Started { sender, .. } = event.what {
            starts.entry(sender).or_default().push(event.at);
        }
    }
    let mut by: BTreeMap<(usize, usize), Vec<&Call>> = BTreeMap::new();
    book.calls.values().for_each(|c| by.entry((c.sender, c.partner)).or_default().push(c));
    let mut said = Vec::new();
    for ((sender, partner), calls) in by {
        let told = calls.iter().filter_map(|c| c.told.and_then(|(at, _, wait)| Some((at, at + wait?))));
        for (from, to) in told {
            let bound = from + stretched(CROSSING, terms);
            let within = calls.iter().find(|c| c.at > bound && c.at + 50 * MS < to);
            let Some(call) = within else { continue };
            let restarted =
                starts.get(&sender).is_some_and(|s| s.iter().any(|t| (from..call.at).contains(t)));
            if !restarted {
                let early = (to - call.at) / MS;
                let says = format!("sender {sender} called {partner} {early} ms before a told wait is over");
                said.push((call.at, Some(call.id.clone()), says));
            }
        }
    }
    said
}

/// Keys that only the holder of the duty writes, its token in them.
fn is_fenced(key: &str) -> bool {
    key.contains("/given/") || key.ends_with("/round")
}

/// No write under the duty has a lower token after a higher: never did two holders both act.
fn fence(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let mut highest = 0;
    let mut said = Vec::new();
    for event in book.events {
        let What::Stored { key, value: Some(value), .. } = &event.what else { continue };
        let Some(token) = value.parse::<i64>().ok().filter(|_| is_fenced(key)) else { continue };
        if token < highest {
            said.push((event.at, None, format!("{key} written under {token} after {highest}")));
        }
        highest = highest.max(token);
    }
    said
}

/// Nobody says that it holds the duty who was asked after another had said so under a higher token.
fn one_holder(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let mut highest: Option<(i64, usize, Us)> = None;
    let mut said = Vec::new();
    for event in book.events {
        let What::Duty { sender, asked, held: Some(token) } = event.what else { continue };
        match highest {
            Some((high, other, known)) if token < high && asked > known && other != sender => {
                said.push((
                    event.at,
                    None,
                    format!("{sender} holds it under {token}, {other} under {high} before"),
                ));
            }
            Some((high, ..)) if token <= high => {}
            _ => highest = Some((token, sender, event.at)),
        }
    }
    said
}

/// Standings in which no duty may be held.
const SMALL: [&str; 3] = ["forming", "alone", "minority"];
/// How long one that finds itself in a small part may take to give its duty back.
const GIVES_BACK: Us = 300 * MS;

/// Who is not in the greater part of its fleet, by its own word, holds no duty.
fn small_part(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    // By sender: since when it has said so at every question, and what it then held. That counts once it says so again:
    // it may have risen between two questions.
    let mut since: BTreeMap<usize, (Us, Option<Said>)> = BTreeMap::new();
    let mut said = Vec::new();
    for event in book.events {
        match &event.what {
            What::Standing { sender, standing, .. } if SMALL.contains(&standing.as_str()) => {
                let (_, held) = since.entry(*sender).or_insert((event.at, None));
                said.extend(held.take());
            }
            What::Standing { sender, .. } | What::Started { sender, .. } => _ = since.remove(sender),
            What::Duty { sender, asked, held: Some(token) } => {
                let Some((from, held)) = since.get_mut(sender) else { continue };
                if *asked > *from + stretched(GIVES_BACK, terms) {
                    let says = format!("{sender} holds the duty under {token} in a small part");
                    *held = Some((event.at, None, says));
                }
            }
            _ => {}
        }
    }
    said
}

fn permits(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut given = BTreeSet::new();
    let mut said = Vec::new();
    for event in book.events {
        let What::Stored { key, value, .. } = &event.what else { continue };
        if !key.contains("/given/") {
            continue;
        }
        match value {
            Some(_) => given.insert(key),
            None => given.remove(key),
        };
        if given.len() > terms.drains {
            said.push((event.at, None, format!("permits for {given:?} at a time")));
        }
    }
    said
}

/// A machine whose drain was said to be done takes nothing on until that is taken back, and has nothing left.
fn drained(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for (i, event) in book.events.iter().enumerate() {
        let What::DrainEnded { machine, code: 0 } = event.what else { continue };
        let own = |sender: usize| sender / terms.per_machine == machine;
        // A drain ends with its process.
        let ends = |what: &What| match what {
            What::Started { sender, .. } => own(*sender),
            what => *what == What::DrainCancelled { machine },
        };
        let until = book.events[i..].iter().find(|e| ends(&e.what)).map_or(book.over, |e| e.at);
        for (id, message) in book.messages.iter().filter(|(_, m)| own(m.sender) && m.taken.is_some()) {
            let notice = message.notices.iter().map(|n| n.0).min();
            let end = [book.delivered(message), notice].into_iter().flatten().min();
            // One that was handed in as the drain was taken back may be answered after that.
            let meanwhile = message.handed >= event.at && message.taken.is_some_and(|taken| taken < until);
            let wrong = if meanwhile {
                "was taken on by a machine that is drained"
            } else if message.handed < event.at && end.is_none_or(|end| end > event.at) {
                "was left on a machine that is called empty"
            } else {
                continue;
            };
            said.push((event.at, Some(id.clone()), format!("machine {machine}: {wrong}")));
        }
    }
    said
}

/// All members agree in the end on who lives, and all that run are among these.
fn agreement(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    if !terms.membership {
        return Vec::new();
    }
    let views = book.last(|what| match what {
        What::Members { sender, view, .. } => Some((*sender, alive(view))),
        _ => None,
    });
    let wrong = disagreement(&views, terms.senders);
    let standings = book.last(|what| match what {
        What::Standing { sender, standing, present, expected, .. } => {
            Some((*sender, (standing.clone(), *present, *expected)))
        }
        _ => None,
    });
    let apart = standings.iter().find(|(_, (standing, ..))| standing != "whole");
    let apart = apart.map(|(sender, (standing, present, expected))| {
        format!("{sender} says in the end that it is in a {standing}, with {present} of {expected}")
    });
    wrong.into_iter().chain(apart).map(|says| (book.over, None, says)).collect()
}

/// Who lives by one view: names with lives.
pub fn alive(view: &[(String, u64, String)]) -> BTreeSet<(String, u64)> {
    view.iter().filter(|v| v.2 == "alive").map(|v| (v.0.clone(), v.1)).collect()
}

/// Why these views are not one, if they are not.
pub fn disagreement(views: &BTreeMap<usize, BTreeSet<(String, u64)>>, senders: usize) -> Option<String> {
    if views.len() < senders {
        return Some(format!("{} of {senders} senders told of members at the end", views.len()));
    }
    let first = views.values().next()?;
    if let Some((sender, other)) = views.iter().find(|(_, v)| *v != first) {
        let more: Vec<_> = first.symmetric_difference(other).collect();
        return Some(format!("sender {sender} and the first differ on {more:?}"));
    }
    let names: BTreeSet<&String> = first.iter().map(|(name, _)| name).collect();
    (names.len() < senders).then(|| format!("only {} of {senders} live by all views", names.len()))
}

/// In the end nothing is held, the duty is held, and all are ready.
fn rest(book: &Book<'_>, terms: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    let pending = book.last(|what| match what {
        What::Pending { sender, count } => Some((*sender, *count)),
        _ => None,
    });
    for sender in 0..terms.senders {
        match pending.get(&sender) {
            Some(0) => {}
            Some(left) => said.push((book.over, None, format!("sender {sender} still holds {left}"))),
            None => said.push((book.over, None, format!("sender {sender} tells nothing of what it holds"))),
        }
    }
    let held = book.last(|what| match what {
        What::Duty { sender, held, .. } => Some((*sender, *held)),
        _ => None,
    });
    if terms.duties && !held.values().any(Option::is_some) {
        said.push((book.over, None, "nobody holds the duty".into()));
    }
    said
}

fn no_crash(book: &Book<'_>, _: &Terms) -> Vec<Said> {
    let mut said = Vec::new();
    for event in book.events {
        if let What::Ended { sender, life, faulty: true } = event.what {
            said.push((event.at, None, format!("sender {sender}, life {life}, ended by itself or in error")));
        }
    }
    said
}

/// What a trial came to, in figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub messages: usize,
    /// Within what was wanted, over all that were due.
    pub in_time: f64,
    pub taken: usize,
    pub delivered: usize,
    pub handed_back: usize,
    pub given_up: usize,
    pub refused: usize,
    pub calls: usize,
    pub datagrams: usize,
    pub events: usize,
    /// From the last fault's end to agreement and rest, seconds.
    pub settled_s: f64,
}

pub fn figures(events: &[Event]) -> Figures {
    let book = Book::read(events);
    let mut first: BTreeMap<&str, (Us, bool)> = BTreeMap::new();
    for (id, message) in &book.messages {
        let name = id.split('.').next().unwrap_or(id);
        let entry = first.entry(name).or_insert((message.handed, false));
        entry.0 = entry.0.min(message.handed);
    }
    for (id, message) in &book.messages {
        if let Some(entry) = first.get_mut(id.split('.').next().unwrap_or(id)) {
            entry.1 |= book.delivered(message).is_some_and(|told| told <= entry.0 + message.aim);
        }
    }
    let taken: Vec<&Message> = book.messages.values().filter(|m| m.taken.is_some()).collect();
    let ended = |as_: &str| {
        let by = |m: &&&Message| book.delivered(m).is_none() && m.notices.iter().any(|n| n.1 == as_);
        taken.iter().filter(by).count()
    };
    let count = |what: fn(&What) -> bool| events.iter().filter(|e| what(&e.what)).count();
    let quiet = events.iter().find(|e| e.what == What::Quiet).map_or(book.over, |e| e.at);
    Figures {
        messages: first.len(),
        in_time: first.values().filter(|f| f.1).count() as f64 / first.len().max(1) as f64,
        taken: taken.len(),
        delivered: taken.iter().filter(|m| book.delivered(m).is_some()).count(),
        handed_back: ended("handed_back"),
        given_up: ended("given_up"),
        refused: book.messages.values().filter(|m| m.refused).count(),
        calls: book.calls.len(),
        datagrams: count(|w| matches!(w, What::Datagram { .. })),
        events: events.len(),
        settled_s: book.over.saturating_sub(quiet) as f64 / SECOND as f64,
    }
}
