//! Discovery's agent: a list of any size, its changes, and watches that wait for them. One for all senders.
use crate::wire::{accept, listener, Background, Message};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Of 1,000 destinations so many are down, where nothing else is asked for.
pub const DOWN: u32 = 28;

/// Whether a destination is down, where so many of 1,000 are. They lie all over the list.
pub fn is_down(dest: u32, down: u32) -> bool {
    u64::from(dest) * 131 % 1_000 < down.into()
}

/// The list that a fleet with so many destinations has: 240,000 endpoints at 140,000 destinations, and as many for each of
/// fewer, in discovery's form. `partner`: where those that are up are reached; nobody answers for those that are down,
/// which are so many of 1,000.
pub fn entries(destinations: u32, partner: SocketAddr, down: u32) -> Vec<String> {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut all = Vec::new();
    for dest in 0..destinations {
        // Five in seven have a second one.
        let of_it = if dest % 7 < 5 { 2 } else { 1 };
        let at = if is_down(dest, down) { nobody } else { partner };
        all.extend((0..of_it).map(|number| entry(dest, number, at, 1.0)));
    }
    all
}

/// One endpoint, as a line of the list.
pub fn entry(dest: u32, number: u32, at: SocketAddr, weight: f64) -> String {
    serde_json::json!({"instanceId": format!("d{dest}-{number}"), "hostPort": at.to_string(), "zone": "z",
        "machineType": "plain", "cell": dest, "lifecycle": "Ready", "weight": weight, "startedAtMs": 0})
    .to_string()
}

/// A list as an answer, or as `known` of a configuration.
pub fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

struct List {
    /// As it is now.
    whole: Vec<String>,
    /// The entry of each version after the first.
    changes: Vec<String>,
}

struct Shared {
    list: Mutex<List>,
    /// The version that holds: 1 and the number of changes.
    version: watch::Sender<u64>,
    questions: AtomicU64,
    wholes: AtomicU64,
}

/// Served on a thread of its own until it is dropped.
pub struct Agent {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _thread: Background,
}

impl Agent {
    pub fn start(whole: Vec<String>) -> io::Result<Agent> {
        let (listener, address) = listener()?;
        let shared = Arc::new(Shared {
            list: Mutex::new(List { whole, changes: Vec::new() }),
            version: watch::Sender::new(1),
            questions: AtomicU64::default(),
            wholes: AtomicU64::default(),
        });
        let served = shared.clone();
        let thread = Background::start("agent", move || {
            accept(listener, move |stream| serve(stream, served.clone()))
        })?;
        Ok(Agent { address, shared, _thread: thread })
    }

    /// Tells one entry anew, which stands at this place of the list.
    pub fn change(&self, place: usize, entry: String) {
        let mut list = self.shared.list.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(old) = list.whole.get_mut(place) {
            *old = entry.clone();
        }
        list.changes.push(entry);
        self.shared.version.send_replace(1 + list.changes.len() as u64);
    }

    /// Questions that were answered, and how many of them with the whole list.
    pub fn asked(&self) -> (u64, u64) {
        (self.shared.questions.load(Relaxed), self.shared.wholes.load(Relaxed))
    }
}

async fn serve(mut stream: BufReader<TcpStream>, shared: Arc<Shared>) -> io::Result<()> {
    while let Some(asked) = Message::read(&mut stream).await? {
        // A notice is taken, and no more.
        let (status, body) = match asked.first.starts_with("GET ") {
            true => ("200 OK", shared.answer(&asked.first).await),
            false => ("204 No Content", String::new()),
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.get_mut().write_all(head.as_bytes()).await?;
        stream.get_mut().write_all(body.as_bytes()).await?;
    }
    Ok(())
}

impl Shared {
    /// The whole list, or what has changed since the version that is asked about, once there is something.
    async fn answer(&self, first: &str) -> String {
        self.questions.fetch_add(1, Relaxed);
        let number = |key: &str| {
            let (_, rest) = first.split_once(key)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let mut version = self.version.subscribe();
        let known = number("index=").filter(|known| (1..=*version.borrow()).contains(known));
        if let Some(known) = known {
            let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0));
            let _ = timeout_at(until, version.wait_for(|now| *now > known)).await;
        }
        let held = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let now = 1 + held.changes.len() as u64;
        match known {
            Some(known) => list(now, false, &held.changes[known as usize - 1..]),
            None => {
                self.wholes.fetch_add(1, Relaxed);
                list(now, true, &held.whole)
            }
        }
    }
}
