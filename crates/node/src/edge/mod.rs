//! The edge role: takes messages from clients, hands each to a store, and answers 202 once it is on two disks. What clients
//! ask about messages is looked up at the stores (`lookup`). Whose requests they are is told by their keys (`tenants`).
mod handover;
mod lookup;
mod tenants;

use crate::calls::{Custody, Hello, PutAnswer, Refusal, Role};
use crate::process::{self, stopped, wall_ms, Process};
use crate::traffic;
use crate::watch::{watch, Known};
use anyhow::Context as _;
use handover::Health;
use monoio::net::TcpListener;
use net::http::{Answer, Bounds, Request};
use net::rpc::Peers;
use net::runtime;
use net::server::{Server, ServerBounds};
use queue::{Envelope, Message, Outcome};
use settings::{Location, Route};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// The share of a client's time that stores are waited for.
const PATIENCE_SHARE: f64 = 0.45;
/// The longest that a store is waited for.
const LONGEST_PUT: Duration = Duration::from_millis(1_500);
/// Not ready, but still serving: until the platform has noticed.
const LEAVING: Duration = Duration::from_millis(2_300);
/// What is left of the grace when the process ends at the latest.
const RESERVE_S: f64 = 0.8;

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

    /// Whether clients should come here.
    pub fn is_ready(&self) -> bool {
        let has_stores = self.known.stores().active().next().is_some();
        !self.leaving.get() && self.known.version() > 0 && has_stores && self.knows_current_keys()
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
                return match self.keys().asker(&request) {
                    Ok(asker) => self.state(id, &asker).await,
                    Err(refusal) => refusal.answer(),
                };
            }
            if let Some(id) = path.strip_prefix("/v1/message-body/") {
                return match self.keys().asker(&request) {
                    Ok(asker) => self.body(id, &asker).await,
                    Err(refusal) => refusal.answer(),
                };
            }
        }
        let configuration = self.known.configuration();
        let host = request.header("host").split(':').next().unwrap_or_default().to_string();
        match configuration.route(&host, &path) {
            Some(route) => match self.keys().tenant_of(route, &request) {
                Ok(tenant) => self.take(&request, route, &host, tenant).await,
                Err(refusal) => refusal.answer(),
            },
            None => Answer::text(404, "no route has this host and path; see the configuration"),
        }
    }

    async fn take(&self, request: &Request, route: &Route, host: &str, tenant: Option<String>) -> Answer {
        let message = self.message(request, route, host, tenant);
        let deadline = request.header("x-deadline-ms").parse().map_or(LONGEST_PUT, Duration::from_millis);
        let patience = deadline.mul_f64(PATIENCE_SHARE);
        let own_id = message.id().to_string();
        match self.put(message, patience.min(LONGEST_PUT)).await {
            PutAnswer::Taken { id } => Answer::empty(202).with("X-Queue-Message-Id", id),
            PutAnswer::Refused(Refusal::OverQuota) => over_quota(),
            PutAnswer::Refused(refusal) => {
                log::debug!("{own_id} not taken: {refusal:?}");
                later("no store can take the message now; ask again")
                    .with("Retry-After", retry_after(deadline))
            }
            PutAnswer::Unclear => {
                Answer::text(504, "the message may have been taken; nothing is known of it")
            }
        }
    }

    fn message(&self, request: &Request, route: &Route, host: &str, tenant: Option<String>) -> Message {
        let now = wall_ms();
        let id = match request.header("x-request-id") {
            "" => format!("m-{:016x}", runtime::unique()),
            id => id.to_string(),
        };
        let delay = request.header("x-delay-ms").parse().unwrap_or(0_u64);
        let key = request.header("x-ordering-key");
        let operation_key = request.header("x-operation-key");
        let callback = request.header("x-callback-url");
        let envelope = Envelope {
            id,
            host: host.to_string(),
            method: request.method.to_string(),
            target: request.target.clone(),
            content_type: request.header("content-type").to_string(),
            tenant,
            operation_key: (!operation_key.is_empty()).then(|| operation_key.to_string()),
            key: (!key.is_empty()).then(|| key.to_string()),
            ordered: route.ordered && !key.is_empty(),
            sequence: 0,
            callback: (route.callback && !callback.is_empty()).then(|| callback.to_string()),
            route: route.name.clone(),
            config_version: self.known.version(),
            received_at: now,
            due_at: now + delay,
            target_start_ms: route.target_start_ms,
            also_sent_to: Vec::new(),
            expires_at: now + (route.retention_s * 1_000.0) as u64,
        };
        Message::new(envelope, request.body.to_vec())
    }
}

/// A request that has not run and never will: the client may come again.
fn later(why: &str) -> Answer {
    Answer::text(503, why)
}

/// A request that its tenant's quota doesn't allow: it has not run and never will.
fn over_quota() -> Answer {
    Answer::text(429, "the tenant's quota is spent; ask again, or have it raised").with("Retry-After", "1")
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
