//! Clients that keep their connections: each goes on using one until the process at its other end closes it or is gone.
use crate::judge::{Doom, Judge, Sent};
use crate::lot::Lot;
use crate::rig::{call, header, pause, read_message, Rig};
use crate::tenants::{HOT, KEY_MARK};
use crate::Plan;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_millis(500);
/// A client waits so long for an answer.
const ANSWER: Duration = Duration::from_secs(4);
/// Between two messages of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// The same for one that sends many times what its tenant may.
const HOT_PAUSE_MS: std::ops::Range<u64> = 4..16;
const KEYS: u64 = 12;
/// One message in so many can never be done, falls due after the run, is delayed, has a key or an empty body.
const DOOMED_ONE_IN: u64 = 10;
const FAR_ONE_IN: u64 = 25;
const DELAYED_ONE_IN: u64 = 6;
const EMPTY_ONE_IN: u64 = 20;
const FAR_MS: u64 = 800_000;
const MOST_BYTES: u64 = 3_000;
/// After one message in so many, the client asks for the body of one that it sent before.
const ASKS_ONE_IN: u64 = 6;
/// A request of an operation is sent so often at most: after failures, after one in so many 429, one in so many 202.
const MOST_TRIES: usize = 4;
const AFTER_LIMIT_ONE_IN: u64 = 5;
const AFTER_ACCEPT_ONE_IN: u64 = 6;
/// Of so many messages, one is of no operation, and one comes with a key that doesn't open.
const NO_OPERATION_ONE_IN: u64 = 4;
const WRONG_KEY_ONE_IN: u64 = 30;
/// A request that was read whole has an answer within this, around planned work, or its connection closes sooner.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// The clients of a run.
pub struct Clients {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Ends them, and waits until all have their answers.
    pub fn stop(self) {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client ends");
        }
    }
}

/// An edge as clients reach it.
#[derive(Clone, Copy)]
struct Edge {
    clients: SocketAddr,
    readiness: SocketAddr,
}

/// Starts all clients of a run.
pub fn start(rig: &Rig, plan: Plan, judge: &Arc<Judge>) -> Clients {
    let edges: Vec<Edge> = (0..plan.size.edges)
        .map(|edge| Edge { clients: rig.clients(edge), readiness: rig.readiness(edge) })
        .collect();
    let stopping = Arc::new(AtomicBool::new(false));
    let tenants = judge.ledger().names();
    let begin = |number: usize| {
        let tenant = tenants[number % tenants.len()].clone();
        let client = Client {
            number,
            edges: edges.clone(),
            judge: judge.clone(),
            stopping: stopping.clone(),
            lot: Lot::new(plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64 + 1)),
            sent: 0,
            api_key: judge.ledger().newest_key(&tenant).expect("each begins with one"),
            colleague: number / tenants.len(),
            tenant,
            at: 0,
            kept: BTreeMap::new(),
            callbacks: rig.callbacks(),
        };
        std::thread::spawn(move || client.run())
    };
    Clients { threads: (0..plan.clients).map(begin).collect(), stopping: stopping.clone() }
}

struct Client {
    number: usize,
    edges: Vec<Edge>,
    judge: Arc<Judge>,
    stopping: Arc<AtomicBool>,
    lot: Lot,
    sent: usize,
    /// Whose keys it has, and the one that it uses.
    tenant: String,
    api_key: String,
    /// Its number among the clients of its tenant; those of other tenants with this number use the same operation keys.
    colleague: usize,
    /// The edge that it mostly sends to.
    at: usize,
    /// Connections to others, for repeats.
    kept: BTreeMap<usize, TcpStream>,
    /// Where call-backs are received.
    callbacks: SocketAddr,
}

/// How a try ended.
struct Try {
    /// The answer's status, if one came.
    status: Option<u16>,
    /// The connection may be used again.
    is_open: bool,
}

impl Client {
    fn draw(&mut self, below: u64) -> u64 {
        self.lot.draw(below)
    }

    fn run(mut self) {
        while !self.stopping.load(Ordering::Relaxed) {
            self.at = self.draw(self.edges.len() as u64) as usize;
            match self.connect(self.at) {
                Some(stream) => self.use_connection(stream),
                None => pause(30),
            }
        }
    }

    /// A new connection to an edge, if it says that it is ready, as the platform would give it.
    fn connect(&self, at: usize) -> Option<TcpStream> {
        let edge = self.edges[at];
        let ready = call(edge.readiness, "GET", "/v1/ready", &[], "")?;
        if ready.status != 200 {
            return None;
        }
        let stream = TcpStream::connect_timeout(&edge.clients, CONNECT).ok()?;
        stream.set_read_timeout(Some(ANSWER)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Sends one message after the other until the connection ends.
    fn use_connection(&mut self, mut stream: TcpStream) {
        while !self.stopping.load(Ordering::Relaxed) {
            if !self.send(&mut stream) || !self.ask_for_a_body(&mut stream) {
                return;
            }
            let span = if self.tenant == HOT { HOT_PAUSE_MS } else { PAUSE_MS };
            let wait = span.start + self.draw(span.end - span.start);
            pause(wait);
        }
    }

    /// What the next message is like, and after how long it falls due.
    fn next_message(&mut self, id: &str) -> (Sent, u64) {
        let ordered = (self.draw(5) < 2).then(|| self.draw(KEYS));
        let key = ordered.map(|number| format!("key-{}-{number}", self.tenant));
        let is_far = key.is_none() && self.draw(FAR_ONE_IN) == 0;
        let delay = match self.draw(DELAYED_ONE_IN) {
            _ if is_far => FAR_MS,
            0 => self.draw(4_000),
            _ => 0,
        };
        let doom = match self.draw(2 * DOOMED_ONE_IN) {
            0 => Some(Doom::Fails),
            1 => Some(Doom::Refused),
            _ => None,
        };
        let text = format!("what {id} says; ");
        let length = if self.draw(EMPTY_ONE_IN) == 0 { 0 } else { text.len() as u64 + self.draw(MOST_BYTES) };
        let body = text.chars().cycle().take(length as usize).collect();
        let wants_callback = key.is_none() && self.draw(2) == 0;
        let operation =
            (self.draw(NO_OPERATION_ONE_IN) > 0).then(|| format!("op-{}-{}", self.colleague, self.sent));
        let api_key = self.api_key.clone();
        (Sent { key, body, doom, is_far, wants_callback, api_key, operation }, delay)
    }

    /// Sends one message, and repeats of it to others; false if the connection has ended.
    fn send(&mut self, stream: &mut TcpStream) -> bool {
        let id = self.next_id();
        let (message, delay) = self.next_message(&id);
        let first = self.try_once(stream, &id, &message, delay);
        if message.operation.is_some() {
            self.repeat(&message, delay, first.status);
        }
        first.is_open
    }

    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("c{}-{}", self.number, self.sent)
    }

    /// Sends an operation again to one edge after the other, each time under a new id, after failures and now and then
    /// after an answer.
    fn repeat(&mut self, message: &Sent, delay: u64, mut status: Option<u16>) {
        let mut last = self.at;
        for _ in 1..MOST_TRIES {
            let is_enough = match status {
                Some(202) => self.draw(AFTER_ACCEPT_ONE_IN) > 0,
                Some(429) => self.draw(AFTER_LIMIT_ONE_IN) > 0,
                _ => false,
            };
            if is_enough || self.stopping.load(Ordering::Relaxed) {
                return;
            }
            last = self.another_edge(last);
            let Some(mut stream) = self.kept.remove(&last).or_else(|| self.connect(last)) else { continue };
            let id = self.next_id();
            let again = self.try_once(&mut stream, &id, message, delay);
            status = again.status;
            if again.is_open {
                self.kept.insert(last, stream);
            }
        }
    }

    fn another_edge(&mut self, last: usize) -> usize {
        let others: Vec<usize> = (0..self.edges.len()).filter(|at| *at != last).collect();
        self.lot.pick(&others).copied().unwrap_or(last)
    }

    /// The key of the next try: now and then one that nobody holds, or that was taken away.
    fn key_to_send(&mut self) -> String {
        if self.draw(WRONG_KEY_ONE_IN) > 0 {
            return self.api_key.clone();
        }
        let revoked = self.judge.ledger().revoked_keys(&self.tenant);
        match self.lot.pick(&revoked) {
            Some(key) if self.draw(2) == 0 => key.clone(),
            _ => format!("{KEY_MARK}unknown-{}", self.number),
        }
    }

    /// Sends a message once under an id.
    fn try_once(&mut self, stream: &mut TcpStream, id: &str, message: &Sent, delay: u64) -> Try {
        let message = Sent { api_key: self.key_to_send(), ..message.clone() };
        let (request, api_key) = (self.request(id, &message, delay), message.api_key.clone());
        self.judge.sent(id, message);
        if stream.write_all(request.as_bytes()).is_err() {
            return Try { status: None, is_open: false };
        }
        let written = Instant::now();
        let Some((head, _)) = read_message(stream) else {
            self.went_unanswered(id, written);
            return Try { status: None, is_open: false };
        };
        let (status, named) = (status_of(&head), header(&head, "X-Queue-Message-Id"));
        self.judge.told(id, status, if named.is_empty() { id } else { named });
        if status == 401 && api_key == self.api_key {
            self.take_newest_key();
        }
        Try { status: Some(status), is_open: !says_close(&head) }
    }

    /// Its key was taken away: it is given another one, if its tenant has one.
    fn take_newest_key(&mut self) {
        if let Some(key) = self.judge.ledger().newest_key(&self.tenant) {
            self.api_key = key;
        }
    }

    fn request(&self, id: &str, message: &Sent, delay: u64) -> String {
        let route = if message.key.is_some() { "ordered" } else { "free" };
        let line = |name: &str, value: &Option<String>| {
            value.as_ref().map_or(String::new(), |value| format!("{name}: {value}\r\n"))
        };
        let key = line("X-Ordering-Key", &message.key);
        let operation = line("X-Operation-Key", &message.operation);
        let delay = line("X-Delay-Ms", &(delay > 0).then(|| delay.to_string()));
        let callback = message.wants_callback.then(|| format!("http://{}/done", self.callbacks));
        let callback = line("X-Callback-Url", &callback);
        format!(
            "POST /{route}/{} HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
             Authorization: Bearer {}\r\n{key}{operation}{delay}{callback}Content-Length: {}\r\n\r\n{}",
            message.operation.as_deref().unwrap_or(id),
            message.api_key,
            message.body.len(),
            message.body
        )
    }

    /// Now and then asks for the body of a message that was sent before; false if the connection has ended.
    fn ask_for_a_body(&mut self, stream: &mut TcpStream) -> bool {
        if self.draw(ASKS_ONE_IN) > 0 {
            return true;
        }
        let earlier = 1 + self.draw(self.sent as u64);
        let id = format!("c{}-{earlier}", self.number);
        let request = format!(
            "GET /v1/message-body/{id} HTTP/1.1\r\nHost: rig.example\r\nAuthorization: Bearer {}\r\n\r\n",
            self.api_key
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let Some((head, body)) = read_message(stream) else { return false };
        self.judge.body_shown(&id, status_of(&head), &body);
        !says_close(&head)
    }

    fn went_unanswered(&self, id: &str, written: Instant) {
        let waited = written.elapsed();
        if waited > LOSS_SLACK && self.judge.is_calm() {
            self.judge.broke(format!("LOST: {id} had no answer for {waited:?}, and its connection ended"));
        }
    }
}

fn status_of(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn says_close(head: &str) -> bool {
    head.to_ascii_lowercase().contains("connection: close")
}
