//! What clients were told and what endpoints ran: the judge of a soak.
mod tenancy;

use crate::operations::Operations;
use crate::rig::{failure, header, success, Request, MAX_ATTEMPTS};
use crate::tenants::{Ledger, KEY_MARK};
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A repeat counts as one in calm if there was no unplanned trouble for so long.
pub const CONTACT: Duration = Duration::from_secs(4);
/// The body of a dead letter is asked for this long after its end; stores keep it for longer.
const ASKED_FOR: Duration = Duration::from_secs(100);
/// A process that goes on reads an answer within this.
const READ_WITHIN: Duration = Duration::from_millis(300);
/// An endpoint works so long on a message, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 3..60;
const LONG_WORK_MS: std::ops::Range<u64> = 100..700;
/// One message in so many takes long.
const LONG_ONE_IN: u64 = 4;

/// What a client was told of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Nothing,
    Accepted,
    /// It is the same as an earlier one, which was accepted.
    Repeat,
    Refused,
    /// An answer that promises nothing.
    Unclear,
}

/// Messages that no endpoint can ever do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doom {
    /// Each run ends with 500.
    Fails,
    /// Each run ends with 422.
    Refused,
}

/// What a client hands in.
#[derive(Clone, Debug)]
pub struct Sent {
    pub key: Option<String>,
    pub body: String,
    pub doom: Option<Doom>,
    /// It falls due after the run.
    pub is_far: bool,
    pub wants_callback: bool,
    /// The key of a tenant that it is sent with.
    pub api_key: String,
    /// Requests of its tenant with the same one are one message.
    pub operation: Option<String>,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug)]
struct Answered {
    at: Instant,
    status: u16,
}

struct Fate {
    message: Sent,
    sent: Instant,
    accepted: Option<Instant>,
    told: Told,
    answer: Option<Answered>,
    /// Each begin, and whether its answer was written.
    begins: Vec<Instant>,
    done: Option<Instant>,
    answered: Option<Instant>,
    /// Answers of endpoints that this attempt failed.
    failures: u32,
    /// When endpoints had answered so that it is a dead letter.
    dead: Option<Instant>,
    called_back: bool,
}

impl Fate {
    fn has_ended(&self) -> bool {
        self.done.is_some() || self.dead.is_some()
    }

    /// It was taken, is due, and has not ended, or nobody was called back about its end.
    fn is_open(&self) -> bool {
        let owes_callback = self.message.wants_callback && !self.called_back;
        self.told == Told::Accepted && !self.message.is_far && (!self.has_ended() || owes_callback)
    }
}

/// A message whose body is owed to whoever asks.
#[derive(Clone, Debug)]
pub struct Owed {
    pub id: String,
    pub body: String,
    pub state: &'static str,
    /// Who may ask.
    pub tenant: String,
}

#[derive(Default)]
struct State {
    fates: BTreeMap<String, Fate>,
    /// Each moment at which there was unplanned trouble.
    troubles: Vec<Instant>,
    broken: Vec<String>,
}

/// The judge.
pub struct Judge {
    seed: u64,
    began: Instant,
    state: Mutex<State>,
    ledger: Mutex<Ledger>,
    operations: Mutex<Operations>,
}

impl Judge {
    pub fn new(seed: u64) -> Judge {
        let (ledger, operations) = (Mutex::default(), Mutex::default());
        Judge { seed, began: Instant::now(), state: Mutex::default(), ledger, operations }
    }

    fn at(&self, at: Instant) -> String {
        format!("{:.3} s", at.duration_since(self.began).as_secs_f64())
    }

    /// A rule was broken.
    pub fn broke(&self, what: String) {
        let what = format!("{what} (at {})", self.at(Instant::now()));
        self.state.lock().unwrap().broken.push(what);
    }

    /// There is unplanned trouble now.
    pub fn trouble(&self) {
        self.state.lock().unwrap().troubles.push(Instant::now());
    }

    /// Whether there was no unplanned trouble for a while.
    pub fn is_calm(&self) -> bool {
        is_calm(&self.state.lock().unwrap())
    }

    /// A client sends a message.
    pub fn sent(&self, id: &str, message: Sent) {
        if let Some(operation) = &message.operation {
            self.operation_sent(id, &message.api_key, operation);
        }
        let fate = Fate {
            message,
            sent: Instant::now(),
            accepted: None,
            told: Told::Nothing,
            answer: None,
            begins: Vec::new(),
            done: None,
            answered: None,
            failures: 0,
            dead: None,
            called_back: false,
        };
        self.state.lock().unwrap().fates.insert(id.to_string(), fate);
    }

    /// A client was told something of a message, and with a 202 the name that it has.
    pub fn told(&self, id: &str, status: u16, named: &str) {
        let told = match status {
            202 => self.accepted_as(id, named),
            401 | 429 | 503 => Told::Refused,
            _ => Told::Unclear,
        };
        let mut state = self.state.lock().unwrap();
        let fate = state.fates.get_mut(id).expect("it was sent");
        fate.told = told;
        fate.answer = Some(Answered { at: Instant::now(), status });
        fate.accepted = (told == Told::Accepted).then(Instant::now);
        let ran_anyway = matches!(told, Told::Refused | Told::Repeat) && !fate.begins.is_empty();
        drop(state);
        if ran_anyway {
            self.broke(format!("REFUSED: {id} ran, and was answered {status}, {told:?}"));
        }
        self.check_answer(id, status);
    }

    /// An endpoint or the receiver of call-backs has read a request.
    pub fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        match request.head.starts_with("POST /done ") {
            true => self.receive(&request.body, stream),
            false => self.run(request, stream),
        }
    }

    /// A client is called back about an end.
    fn receive(&self, body: &str, stream: &mut TcpStream) -> bool {
        if body.contains(KEY_MARK) {
            self.broke(format!("UNASKED: a call-back has a key: {body}"));
        }
        let told: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let id = told["Id"].as_str().unwrap_or_default().to_string();
        let is_right = match self.state.lock().unwrap().fates.get_mut(&id) {
            Some(fate) => {
                fate.called_back = true;
                match told["State"].as_str() {
                    Some("completed") => fate.done.is_some(),
                    Some("dead_letter") => fate.dead.is_some(),
                    _ => false,
                }
            }
            None => false,
        };
        if !is_right {
            self.broke(format!("MIXED: a call-back says {body}"));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_ok()
    }

    /// An endpoint runs a message, and answers.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = header(&request.head, "X-Request-Id").to_string();
        self.begin(&id, &request.body);
        self.check_run(&id, &request.head);
        std::thread::sleep(self.work(&id));
        let Some(doom) = self.end_run(&id) else { return false };
        let status = match doom {
            Some(Doom::Fails) => 500,
            Some(Doom::Refused) => 422,
            None => return self.succeed(&id, stream),
        };
        stream.write_all(failure(status, &id).as_bytes()).is_ok()
    }

    /// A run has ended, well or not; nothing if nobody sent the message.
    fn end_run(&self, id: &str) -> Option<Option<Doom>> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let fate = state.fates.get_mut(id)?;
        fate.failures += u32::from(fate.message.doom == Some(Doom::Fails));
        match fate.message.doom {
            None => drop(fate.done.get_or_insert(now)),
            Some(Doom::Refused) => drop(fate.dead.get_or_insert(now)),
            Some(Doom::Fails) if fate.failures >= MAX_ATTEMPTS => drop(fate.dead.get_or_insert(now)),
            Some(Doom::Fails) => {}
        }
        Some(fate.message.doom)
    }

    fn succeed(&self, id: &str, stream: &mut TcpStream) -> bool {
        // The first bytes that are written to a connection whose other end is gone are taken by the system all the same.
        if is_closed(stream) {
            return false;
        }
        let written = stream.write_all(success(id).as_bytes()).is_ok();
        if let Some(fate) = self.state.lock().unwrap().fates.get_mut(id).filter(|_| written) {
            fate.answered.get_or_insert(Instant::now());
        }
        written
    }

    /// How long a message takes: drawn from its id and the seed.
    fn work(&self, id: &str) -> Duration {
        let number = id
            .bytes()
            .fold(self.seed, |number, byte| (number ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3));
        let range = if (number >> 8).is_multiple_of(LONG_ONE_IN) { LONG_WORK_MS } else { WORK_MS };
        Duration::from_millis(range.start + (number >> 20) % (range.end - range.start))
    }

    fn begin(&self, id: &str, body: &str) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let calm = is_calm(&state);
        let mut broken = Vec::new();
        let answered = state.fates.get(id).and_then(|fate| fate.answered);
        let known = answered.is_some_and(|at| now.duration_since(at) > READ_WITHIN && was_read(&state, at));
        let troubles = if known && calm { state.troubles.clone() } else { Vec::new() };
        let Some(fate) = state.fates.get_mut(id) else {
            drop(state);
            return self.broke(format!("UNASKED: {id}"));
        };
        if known && calm {
            let begins: Vec<String> = fate.begins.iter().map(|at| self.at(*at)).collect();
            let answered = answered.map(|at| self.at(at));
            let troubles: Vec<String> = troubles.iter().map(|at| self.at(*at)).collect();
            broken.push(format!(
                "TWICE: {id}, keyed {:?}, runs again; sent {}, accepted {:?}, begun {begins:?}, answered {answered:?}; \
                 troubles: {troubles:?}",
                fate.message.key,
                self.at(fate.sent),
                fate.accepted.map(|at| self.at(at))
            ));
        }
        if fate.told == Told::Refused {
            broken.push(format!("REFUSED: {id} runs, and was refused"));
        }
        if fate.told == Told::Repeat {
            broken.push(format!("TWICE: {id} runs, and was told to be the same as an earlier one"));
        }
        if fate.message.body != body {
            broken.push(format!(
                "UNASKED: {id} runs with {} bytes of {}",
                body.len(),
                fate.message.body.len()
            ));
        }
        fate.begins.push(now);
        let (key, sent) = (fate.message.key.clone(), fate.sent);
        let earlier = |(other, fate): (&String, &Fate)| {
            let before = fate.accepted.is_some_and(|at| at < sent) && !fate.has_ended();
            (other != id && key.is_some() && fate.message.key == key && before).then(|| other.clone())
        };
        if let Some(other) = state.fates.iter().find_map(earlier) {
            broken.push(format!("ORDER: {id} begins before {other} of its key has ended"));
        }
        drop(state);
        broken.into_iter().for_each(|broken| self.broke(broken));
    }

    /// Messages that were taken, are due, and haven't ended or are owed a call-back.
    pub fn open(&self) -> usize {
        self.state.lock().unwrap().fates.values().filter(|fate| fate.is_open()).count()
    }

    /// Every message that was taken and is due has to have ended by now, and nobody waits for a call-back.
    pub fn check_end(&self) {
        let lost: Vec<String> = {
            let state = self.state.lock().unwrap();
            let open = state.fates.iter().filter(|(_, fate)| fate.is_open());
            let told = |(id, fate): (&String, &Fate)| {
                let ended = if fate.has_ended() { "has no call-back" } else { "has not ended" };
                format!("LOST: {id}, sent at {}, {ended}; {} runs", self.at(fate.sent), fate.begins.len())
            };
            open.map(told).collect()
        };
        lost.into_iter().for_each(|lost| self.broke(lost));
    }

    /// Every message that was taken and whose body is owed: it has not ended, or is a dead letter that isn't old.
    pub fn owed(&self) -> Vec<Owed> {
        let state = self.state.lock().unwrap();
        let taken = state.fates.iter().filter(|(_, fate)| fate.told == Told::Accepted && fate.done.is_none());
        let owed = taken.filter(|(_, fate)| fate.dead.is_none_or(|at| at.elapsed() < ASKED_FOR));
        let ledger = self.ledger();
        let asked = |(id, fate): (&String, &Fate)| {
            Some(Owed {
                id: id.clone(),
                body: fate.message.body.clone(),
                state: if fate.dead.is_some() { "dead_letter" } else { "queued" },
                tenant: ledger.holder(&fate.message.api_key)?.to_string(),
            })
        };
        owed.filter_map(asked).collect()
    }

    /// A client has asked for the body of a message that was taken.
    pub fn body_shown(&self, id: &str, status: u16, body: &str) {
        let state = self.state.lock().unwrap();
        let Some(fate) = state.fates.get(id).filter(|fate| fate.told == Told::Accepted) else { return };
        let is_other = status == 200 && fate.message.body != body;
        let is_denied = status == 404 && fate.done.is_none();
        let sent = fate.message.body.len();
        drop(state);
        if is_other || is_denied {
            self.broke(format!("MIXED: of the {sent} bytes of {id} came {status}, {} bytes", body.len()));
        }
    }

    pub fn broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    pub fn summary(&self) -> String {
        let tenancy = self.tenancy_summary();
        let state = self.state.lock().unwrap();
        let told = |told: Told| state.fates.values().filter(|fate| fate.told == told).count();
        let repeats = state.fates.values().filter(|fate| fate.begins.len() > 1).count();
        let dead = state.fates.values().filter(|fate| fate.dead.is_some()).count();
        format!(
            "{} accepted, {dead} dead letters, {} refused, {} unclear, {} without an answer, {repeats} ran more than once, {} told as repeats; {tenancy}",
            told(Told::Accepted),
            told(Told::Refused),
            told(Told::Unclear),
            told(Told::Nothing),
            told(Told::Repeat)
        )
    }
}

/// Whether the other end of a connection has closed it, or is gone.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let next = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket");
    match next {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn is_calm(state: &State) -> bool {
    state.troubles.last().is_none_or(|at| at.elapsed() > CONTACT)
}

/// Whether there was no unplanned trouble in a span, and for a while before.
fn was_calm(state: &State, from: Instant, until: Instant) -> bool {
    let span = from.checked_sub(CONTACT).unwrap_or(from)..=until;
    !state.troubles.iter().any(|at| span.contains(at))
}

/// Whether an answer that was written at an instant can't but have been read by its sender: a process that was killed
/// or stood still right then may not have.
fn was_read(state: &State, written: Instant) -> bool {
    let around = written.checked_sub(READ_WITHIN).unwrap_or(written)..written + READ_WITHIN;
    !state.troubles.iter().any(|at| around.contains(at))
}
