//! The edge role: takes messages from clients, hands each to a store, and answers 202 once it is on two disks. What clients
//! ask about messages is looked up at the stores (`lookup`).
mod lookup;

use crate::calls::{Call, Custody, Hello, PutAnswer, Refusal, Role};
use crate::process::{self, stopped, wall_ms, Process};
use crate::traffic;
use crate::watch::{watch, Known};
use anyhow::Context as _;
use control::{Store, StoreView};
use monoio::net::TcpListener;
use net::http::{Answer, Bounds, Request};
use net::rpc::{Peers, RpcError};
use net::runtime;
use net::server::{Server, ServerBounds};
use net::wake::Watched;
use queue::{Envelope, Message, Outcome};
use settings::{Location, Route};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// A store that hasn't answered for so long is suspected, and another one is asked.
const SWITCH: Duration = Duration::from_millis(110);
/// How often a suspected store is asked whether it answers, and for how long.
const PING_EVERY: Duration = Duration::from_millis(150);
const PING: Duration = Duration::from_millis(300);
/// The share of a client's time that stores are waited for.
const PATIENCE_SHARE: f64 = 0.45;
/// The longest that a store is waited for.
const LONGEST_PUT: Duration = Duration::from_millis(1_500);
/// Not ready, but still serving: until the platform has noticed.
const LEAVING: Duration = Duration::from_millis(2_300);
/// What is left of the grace when the process ends at the latest.
const RESERVE_S: f64 = 0.8;

/// Stores that don't answer, by address. They are asked until they do.
#[derive(Default)]
struct Health {
    suspects: RefCell<BTreeSet<SocketAddr>>,
}

impl Health {
    fn suspect(&self, store: SocketAddr) {
        self.suspects.borrow_mut().insert(store);
    }

    fn is_suspect(&self, store: SocketAddr) -> bool {
        self.suspects.borrow().contains(&store)
    }

    async fn ask_suspects(self: Rc<Self>, peers: Rc<Peers>) {
        loop {
            runtime::sleep(PING_EVERY).await;
            let suspects: Vec<SocketAddr> = self.suspects.borrow().iter().copied().collect();
            for store in suspects {
                let (health, peers) = (self.clone(), peers.clone());
                runtime::spawn(async move {
                    if peers.call::<Call, bool>(store, &Call::Ping, PING).await.is_ok() {
                        health.suspects.borrow_mut().remove(&store);
                    }
                });
            }
        }
    }
}

/// The answers of stores that were given the same message.
#[derive(Default)]
struct Race {
    answers: RefCell<Vec<(u64, Result<PutAnswer, RpcError>)>>,
    changed: Watched,
}

/// A message on its way to a store.
struct Put {
    message: Message,
    /// Stores that haven't answered.
    open: usize,
    unclear: bool,
    refusal: Refusal,
}

impl Race {
    /// Notes the answers that came.
    fn take(&self, put: &mut Put) -> Vec<PutAnswer> {
        let mut told = Vec::new();
        for (disk, answer) in self.answers.borrow_mut().drain(..) {
            put.open -= 1;
            match answer {
                Ok(PutAnswer::Refused(why)) => put.refused(disk, why),
                Err(RpcError::Unreachable) => put.refused(disk, Refusal::NoCopy),
                Ok(PutAnswer::Unclear) | Err(_) => put.unclear = true,
                Ok(PutAnswer::Taken) => {}
            }
            told.extend(answer.ok());
        }
        told
    }
}

impl Put {
    /// A store didn't write the message anywhere.
    fn refused(&mut self, disk: u64, why: Refusal) {
        self.refusal = why;
        Rc::make_mut(&mut self.message.envelope).also_at.retain(|other| *other != disk);
    }
}

/// One edge process.
pub struct Edge {
    process: Process,
    known: Rc<Known>,
    peers: Rc<Peers>,
    server: Rc<Server>,
    /// Where this process stands.
    location: Location,
    leaving: Cell<bool>,
    /// Which stores don't answer.
    health: Rc<Health>,
    turn: Cell<usize>,
    /// Disks of lost stores, and when this process heard of each.
    losses: RefCell<BTreeMap<u64, u64>>,
}

/// Starts the role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}

async fn run(process: Process) -> anyhow::Result<()> {
    let edge = Edge::new(process, Peers::default());
    edge.clone().follow_control();
    edge.clone().serve_readiness(edge.process.settings.listen.readiness.as_deref())?;
    edge.clone().serve_clients(edge.process.settings.listen.http.as_deref())?;
    stopped(&edge.process.stopping).await;
    edge.leave().await;
    Ok(())
}

fn bounds(limits: &settings::Limits) -> ServerBounds {
    ServerBounds {
        message: Bounds {
            head_bytes: limits.max_header_bytes as usize,
            body_bytes: limits.max_body_bytes as usize,
        },
        head_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}

impl Edge {
    /// An edge that knows nothing yet.
    pub fn new(process: Process, peers: Peers) -> Rc<Edge> {
        Rc::new(Edge {
            known: Known::new(process.settings.seed_ips()),
            peers: Rc::new(peers),
            server: Server::new(bounds(&settings::Limits::default())),
            location: process.settings.location(),
            leaving: Cell::new(false),
            health: Rc::new(Health::default()),
            turn: Cell::new(runtime::unique() as usize % 1_000),
            losses: RefCell::default(),
            process,
        })
    }

    /// Learns for good what control and stores tell.
    pub fn follow_control(self: Rc<Self>) {
        let settings = &self.process.settings;
        let hello = Hello {
            name: settings.node_name.clone(),
            ip: settings.own_ip(),
            location: settings.location(),
            role: Role::Edge,
            disk: 0,
            custody: Custody::default(),
        };
        runtime::spawn(watch(
            self.known.clone(),
            self.peers.clone(),
            move || hello.clone(),
            settings.control_port(),
            settings.seed_ips(),
        ));
        runtime::spawn(self.health.clone().ask_suspects(self.peers.clone()));
        runtime::spawn(self.clone().log_traffic());
        runtime::spawn(self.follow_limits());
    }

    async fn log_traffic(self: Rc<Self>) {
        loop {
            runtime::sleep(traffic::LOG_EVERY).await;
            let stores = self.known.stores();
            let distance = |ip: IpAddr| {
                let store = stores.stores.iter().find(|store| store.ip == ip);
                store.map(|store| self.location.distance(&store.location))
            };
            traffic::log(&traffic::add_up(&[&self.peers.meter], distance));
        }
    }

    async fn follow_limits(self: Rc<Self>) {
        let mut seen = 0;
        loop {
            self.known.changes.changed(seen).await;
            seen = self.known.changes.get();
            self.server.bounds.set(bounds(&self.known.configuration().limits));
        }
    }

    fn serve_readiness(self: Rc<Self>, address: Option<&str>) -> anyhow::Result<()> {
        let Some(address) = address else { return Ok(()) };
        let listener = TcpListener::bind(address).context("the readiness port is taken; free it")?;
        let server = Server::new(bounds(&settings::Limits::default()));
        let answer = move |_| {
            let ready = self.is_ready();
            let answer = async move { Answer::empty(if ready { 200 } else { 503 }) };
            Box::pin(answer) as std::pin::Pin<Box<dyn std::future::Future<Output = Answer>>>
        };
        runtime::spawn(server.serve(listener, Rc::new(answer)));
        Ok(())
    }

    fn serve_clients(self: Rc<Self>, address: Option<&str>) -> anyhow::Result<()> {
        let address = address.context("ListenAddresses.Http is missing; add it")?;
        let listener = TcpListener::bind(address).context("the clients' port is taken; free it")?;
        let server = self.server.clone();
        runtime::spawn(
            server.serve(listener, Rc::new(move |request| Box::pin(self.clone().answer(request)))),
        );
        Ok(())
    }

    fn is_ready(&self) -> bool {
        !self.leaving.get() && self.known.version() > 0 && self.known.stores().active().next().is_some()
    }

    /// Says that it isn't ready, serves on until the platform has noticed, and answers what was begun.
    async fn leave(&self) {
        self.leaving.set(true);
        runtime::sleep(LEAVING).await;
        self.server.closing.set(true);
        let grace = Duration::from_secs_f64((self.process.settings.bounds.grace_s - RESERVE_S).max(0.0));
        let until = self.process.clock.ms() + grace.saturating_sub(LEAVING).as_millis() as u64;
        let mut quiet = 0;
        while self.process.clock.ms() < until && quiet < 5 {
            runtime::sleep(Duration::from_millis(20)).await;
            quiet = if self.server.busy.get() == 0 { quiet + 1 } else { 0 };
        }
        log::info!("stops");
    }

    /// Answers one request of a client.
    pub async fn answer(self: Rc<Self>, request: Request) -> Answer {
        if self.known.version() == 0 {
            return later("no configuration is known here yet; ask again").with("Retry-After", "0");
        }
        let path = request.path().to_string();
        if request.method == "GET" {
            if let Some(id) = path.strip_prefix("/v1/message/") {
                return self.state(id).await;
            }
            if let Some(id) = path.strip_prefix("/v1/message-body/") {
                return self.body(id).await;
            }
        }
        let configuration = self.known.configuration();
        let host = request.header("host").split(':').next().unwrap_or_default().to_string();
        match configuration.route(&host, &path) {
            Some(route) => self.take(&request, route, &host).await,
            None => Answer::text(404, "no route has this host and path; see the configuration"),
        }
    }

    async fn take(&self, request: &Request, route: &Route, host: &str) -> Answer {
        let message = self.message(request, route, host);
        let deadline = request.header("x-deadline-ms").parse().map_or(LONGEST_PUT, Duration::from_millis);
        let patience = deadline.mul_f64(PATIENCE_SHARE);
        let id = message.id().to_string();
        match self.put(message, patience.min(LONGEST_PUT)).await {
            PutAnswer::Taken => Answer::empty(202).with("X-Queue-Message-Id", id),
            PutAnswer::Refused(refusal) => {
                log::debug!("{id} not taken: {refusal:?}");
                later("no store can take the message now; ask again")
                    .with("Retry-After", retry_after(deadline))
            }
            PutAnswer::Unclear => {
                Answer::text(504, "the message may have been taken; nothing is known of it")
            }
        }
    }

    fn message(&self, request: &Request, route: &Route, host: &str) -> Message {
        let now = wall_ms();
        let id = match request.header("x-request-id") {
            "" => format!("m-{:016x}", runtime::unique()),
            id => id.to_string(),
        };
        let delay = request.header("x-delay-ms").parse().unwrap_or(0_u64);
        let key = request.header("x-ordering-key");
        let callback = request.header("x-callback-url");
        let envelope = Envelope {
            id,
            host: host.to_string(),
            method: request.method.to_string(),
            target: request.target.clone(),
            content_type: request.header("content-type").to_string(),
            key: (!key.is_empty()).then(|| key.to_string()),
            ordered: route.ordered && !key.is_empty(),
            order: 0,
            callback: (route.callback && !callback.is_empty()).then(|| callback.to_string()),
            route: route.name.clone(),
            version: self.known.version(),
            taken_at: now,
            due_at: now + delay,
            aim_ms: route.target_start_ms,
            also_at: Vec::new(),
            expires_at: now + (route.retention_s * 1_000.0) as u64,
        };
        Message::new(envelope, request.body.to_vec())
    }

    /// Hands a message to the stores that may have it, until one takes it or nothing more can be said. Where one
    /// doesn't answer soon the next is asked too, and told so: the first leaves the message to it.
    async fn put(&self, message: Message, patience: Duration) -> PutAnswer {
        let stores = self.known.stores();
        let mut candidates = self.candidates(&message, &stores).into_iter();
        let race = Rc::new(Race::default());
        let mut put = Put { message, open: 0, unclear: false, refusal: Refusal::NoCopy };
        let until = self.process.clock.ms() + patience.as_millis() as u64;
        loop {
            match candidates.next() {
                Some(store) => {
                    put.open += 1;
                    self.ask(&store, &put.message, patience, &race);
                    Rc::make_mut(&mut put.message.envelope).also_at.push(store.disk);
                }
                None if put.open == 0 => break,
                None => {}
            }
            let last = candidates.len() == 0;
            loop {
                let left = Duration::from_millis(until.saturating_sub(self.process.clock.ms()));
                let wait = if last { left } else { left.min(SWITCH) };
                let seen = race.changed.get();
                let told = race.take(&mut put);
                if told.contains(&PutAnswer::Taken) {
                    return PutAnswer::Taken;
                }
                if put.open == 0 {
                    break;
                }
                if runtime::timeout(wait, race.changed.changed(seen)).await.is_err() {
                    break;
                }
            }
            if self.process.clock.ms() >= until {
                break;
            }
        }
        match put.unclear || put.open > 0 {
            true => PutAnswer::Unclear,
            false => PutAnswer::Refused(put.refusal),
        }
    }

    /// Asks one store, and lets the race know how it answers. One that is late is suspected.
    fn ask(&self, store: &Store, message: &Message, patience: Duration, race: &Rc<Race>) {
        let to = SocketAddr::new(store.ip, self.process.settings.store_port());
        let call = Call::Put(message.clone());
        let (peers, race, health, disk) = (self.peers.clone(), race.clone(), self.health.clone(), store.disk);
        let answered = Rc::new(Cell::new(false));
        let (late, suspected) = (answered.clone(), self.health.clone());
        runtime::spawn(async move {
            runtime::sleep(SWITCH).await;
            if !late.get() {
                suspected.suspect(to);
            }
        });
        runtime::spawn(async move {
            let answer = peers.call::<Call, PutAnswer>(to, &call, patience).await;
            answered.set(true);
            if answer.is_err() {
                health.suspect(to);
            }
            race.answers.borrow_mut().push((disk, answer));
            race.changed.raise();
        });
    }

    /// The owner of an ordered message's key; else the stores by their distance, those equally near by turns. A suspect gets nothing:
    /// what it would be given might be lost or not, and the client couldn't be told to come again.
    fn candidates(&self, message: &Message, stores: &StoreView) -> Vec<Store> {
        let suspected = |store: &Store| {
            self.health.is_suspect(SocketAddr::new(store.ip, self.process.settings.store_port()))
        };
        if let Some(key) = message.envelope.order_key() {
            let owner = stores.owner(key).filter(|store| !store.gone && !suspected(store));
            return owner.into_iter().cloned().collect();
        }
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let mut sound: Vec<Store> = stores.staying().filter(|store| !suspected(store)).cloned().collect();
        let count = sound.len().max(1);
        sound.rotate_left(turn % count);
        sound.sort_by_key(|store| store.location.distance(&self.location));
        sound
    }
}

/// A request that has not run and never will: the client may come again.
fn later(why: &str) -> Answer {
    Answer::text(503, why)
}

/// When a client should come again, in whole seconds: later if it has the time.
fn retry_after(deadline: Duration) -> &'static str {
    match deadline >= Duration::from_millis(1_150) {
        true => "1",
        false => "0",
    }
}

/// The state of a message that has ended, as clients and receivers of call-backs read it.
pub fn end_json(outcome: &Outcome, id: Option<&str>) -> String {
    let (state, signature) = match outcome {
        Outcome::Completed { signature } => ("completed", Some(signature.as_str())),
        Outcome::DeadLetter => ("dead_letter", None),
    };
    let mut json = serde_json::Map::new();
    if let Some(id) = id {
        json.insert("Id".to_string(), id.into());
    }
    json.insert("State".to_string(), state.into());
    if let Some(signature) = signature {
        json.insert("Signature".to_string(), signature.into());
    }
    serde_json::Value::Object(json).to_string()
}
