//! Clients that keep their connections: each goes on using one until the process at its other end closes it or is gone.
use crate::judge::{Judge, Told};
use crate::rig::{call, pause, read_message, Rig};
use crate::Plan;
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
const KEYS: u64 = 12;
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
    let begin = |number: usize| {
        let client = Client {
            number,
            edges: edges.clone(),
            judge: judge.clone(),
            stopping: stopping.clone(),
            lot: plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64 + 1),
            sent: 0,
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
    lot: u64,
    sent: usize,
}

impl Client {
    fn draw(&mut self, below: u64) -> u64 {
        self.lot = self.lot.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.lot >> 33) % below
    }

    fn run(mut self) {
        while !self.stopping.load(Ordering::Relaxed) {
            match self.connect() {
                Some(stream) => self.use_connection(stream),
                None => pause(30),
            }
        }
    }

    /// A new connection to an edge that says it is ready, as the platform would give it.
    fn connect(&mut self) -> Option<TcpStream> {
        let at = self.draw(self.edges.len() as u64) as usize;
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
            if !self.send(&mut stream) {
                return;
            }
            let wait = PAUSE_MS.start + self.draw(PAUSE_MS.end - PAUSE_MS.start);
            pause(wait);
        }
    }

    /// Sends one message; false if the connection has ended.
    fn send(&mut self, stream: &mut TcpStream) -> bool {
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let key = (self.draw(5) < 2).then(|| format!("key-{}", self.draw(KEYS)));
        let route = if key.is_some() { "ordered" } else { "free" };
        let key_line = key.as_ref().map_or(String::new(), |key| format!("X-Ordering-Key: {key}\r\n"));
        let delay =
            if self.draw(6) == 0 { format!("X-Delay-Ms: {}\r\n", self.draw(4_000)) } else { String::new() };
        let request = format!(
            "POST /{route}/{id} HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
             {key_line}{delay}Content-Length: 9\r\n\r\na message"
        );
        self.judge.sent(&id, key);
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let written = Instant::now();
        let Some((head, _)) = read_message(stream) else {
            self.went_unanswered(&id, written);
            return false;
        };
        let status: u16 = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        self.judge.told(
            &id,
            match status {
                202 => Told::Accepted,
                429 | 503 => Told::Refused,
                _ => Told::Unclear,
            },
        );
        let closes = head.to_ascii_lowercase().contains("connection: close");
        !closes
    }

    fn went_unanswered(&self, id: &str, written: Instant) {
        let waited = written.elapsed();
        if waited > LOSS_SLACK && self.judge.is_calm() {
            self.judge.broke(format!("LOST: {id} had no answer for {waited:?}, and its connection ended"));
        }
    }
}
