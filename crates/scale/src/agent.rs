//! Discovery's agent: a list of any size, its changes, and watches that wait for them. One for all senders.
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout_at, Instant};

/// Of 1,000 destinations so many are down.
const DOWN: u32 = 28;

/// The list that a fleet with so many destinations has: 240,000 endpoints at 140,000 destinations, and as many for each of
/// fewer, in discovery's form. `partner`: where those that are up are reached; nobody answers for those that are down.
pub fn entries(destinations: u32, partner: SocketAddr) -> Vec<String> {
    let down = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut all = Vec::new();
    for dest in 0..destinations {
        // Five in seven have a second one.
        let of_it = if dest % 7 < 5 { 2 } else { 1 };
        let at = if dest * 131 % 1_000 < DOWN { down } else { partner };
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
    thread: Option<(oneshot::Sender<()>, std::thread::JoinHandle<()>)>,
}

impl Agent {
    pub fn start(whole: Vec<String>) -> io::Result<Agent> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            list: Mutex::new(List { whole, changes: Vec::new() }),
            version: watch::Sender::new(1),
            questions: AtomicU64::default(),
            wholes: AtomicU64::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let served = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("agent".into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                tokio::select! {
                    _ = accept(listener, served) => {}
                    _ = stopped => {}
                }
            });
        })?;
        Ok(Agent { address, shared, thread: Some((stop, thread)) })
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

impl Drop for Agent {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.thread.take() {
            let _ = stop.send(());
            let _ = thread.join();
        }
    }
}

async fn accept(listener: std::net::TcpListener, shared: Arc<Shared>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        let shared = shared.clone();
        // One that breaks is its sender's to make anew.
        spawn_local(async move { _ = serve(stream, &shared).await });
    }
}

async fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    loop {
        let (mut first, mut length) = (String::new(), 0);
        if stream.read_line(&mut first).await? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().map_err(io::Error::other)?;
            }
        }
        tokio::io::copy(&mut (&mut stream).take(length), &mut tokio::io::sink()).await?;
        let body = if first.starts_with("GET ") { shared.answer(&first).await } else { String::new() };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.get_mut().write_all(head.as_bytes()).await?;
        stream.get_mut().write_all(body.as_bytes()).await?;
    }
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
