//! The edge role: takes messages from clients, hands each to a store, and answers 202 once it is on two disks.
use crate::calls::{Call, Found, Hello, PutAnswer, Refusal, Role};
use crate::process::{self, stopped, unique, wall_ms, Process};
use crate::watch::{watch, Known};
use anyhow::Context as _;
use control::{Store, StoreView};
use monoio::net::TcpListener;
use net::http::{Answer, Bounds, Request};
use net::rpc::{Peers, RpcError};
use net::server::{Server, ServerBounds};
use queue::{Message, Outcome};
use settings::Route;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// A store that couldn't be reached isn't tried for so long, as long as there is another.
const AVOID_MS: u64 = 300;
/// The longest that a store is waited for.
const LONGEST_PUT: Duration = Duration::from_millis(1_500);
/// Asking stores about a message.
const FIND: Duration = Duration::from_millis(1_200);
/// Not ready, but still serving: until the platform has noticed.
const LEAVING: Duration = Duration::from_millis(2_300);
/// What is left of the grace when the process ends at the latest.
const RESERVE_S: f64 = 0.8;

struct Edge {
    process: Process,
    known: Rc<Known>,
    peers: Rc<Peers>,
    server: Rc<Server>,
    leaving: Cell<bool>,
    /// Until when a store is avoided.
    avoided: RefCell<HashMap<IpAddr, u64>>,
    turn: Cell<usize>,
}

/// Starts the role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}

async fn run(process: Process) -> anyhow::Result<()> {
    let settings = process.settings.clone();
    let seeds = settings.seed_ips();
    let edge = Rc::new(Edge {
        known: Known::new(seeds.clone()),
        peers: Rc::new(Peers::default()),
        server: Server::new(bounds(&settings::Limits::default())),
        leaving: Cell::new(false),
        avoided: RefCell::default(),
        turn: Cell::new(unique() as usize % 1_000),
        process,
    });
    let hello = Hello {
        name: settings.node_name.clone(),
        ip: settings.own_ip(),
        zone: settings.zone.clone(),
        role: Role::Edge,
        disk: 0,
    };
    monoio::spawn(watch(edge.known.clone(), edge.peers.clone(), hello, settings.member_port(), seeds));
    monoio::spawn(edge.clone().follow_limits());
    edge.clone().serve_readiness(settings.listen.readiness.as_deref())?;
    edge.clone().serve_clients(settings.listen.http.as_deref())?;
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
        monoio::spawn(server.serve(listener, Rc::new(answer)));
        Ok(())
    }

    fn serve_clients(self: Rc<Self>, address: Option<&str>) -> anyhow::Result<()> {
        let address = address.context("ListenAddresses.Http is missing; add it")?;
        let listener = TcpListener::bind(address).context("the clients' port is taken; free it")?;
        let server = self.server.clone();
        monoio::spawn(server.serve(listener, Rc::new(move |request| Box::pin(self.clone().answer(request)))));
        Ok(())
    }

    fn is_ready(&self) -> bool {
        !self.leaving.get() && self.known.version() > 0 && self.known.stores().active().next().is_some()
    }

    /// Says that it isn't ready, serves on until the platform has noticed, and answers what was begun.
    async fn leave(&self) {
        self.leaving.set(true);
        monoio::time::sleep(LEAVING).await;
        self.server.closing.set(true);
        let grace = Duration::from_secs_f64((self.process.settings.bounds.grace_s - RESERVE_S).max(0.0));
        let until = self.process.clock.ms() + grace.saturating_sub(LEAVING).as_millis() as u64;
        let mut quiet = 0;
        while self.process.clock.ms() < until && quiet < 5 {
            monoio::time::sleep(Duration::from_millis(20)).await;
            quiet = if self.server.busy.get() == 0 { quiet + 1 } else { 0 };
        }
        log::info!("stops");
    }

    async fn answer(self: Rc<Self>, request: Request) -> Answer {
        if self.known.version() == 0 {
            return later("no configuration is known here yet; ask again");
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
        let patience = request.header("x-deadline-ms").parse().map_or(LONGEST_PUT, Duration::from_millis);
        let id = message.id.clone();
        match self.put(message, patience.min(LONGEST_PUT)).await {
            PutAnswer::Taken => Answer::empty(202).with("X-Queue-Message-Id", id),
            PutAnswer::Refused(refusal) => {
                log::debug!("{id} not taken: {refusal:?}");
                later("no store can take the message now; ask again")
            }
            PutAnswer::Unclear => {
                Answer::text(504, "the message may have been taken; nothing is known of it")
            }
        }
    }

    fn message(&self, request: &Request, route: &Route, host: &str) -> Message {
        let now = wall_ms();
        let id = match request.header("x-request-id") {
            "" => format!("m-{:016x}", unique()),
            id => id.to_string(),
        };
        let delay = request.header("x-delay-ms").parse().unwrap_or(0_u64);
        let key = request.header("x-ordering-key");
        let callback = request.header("x-callback-url");
        Message {
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
            expires_at: now + (route.retention_s * 1_000.0) as u64,
            body: request.body.to_vec(),
        }
    }

    /// Hands a message to the stores that may have it, one after the other, until one takes it or nothing more can be
    /// said.
    async fn put(&self, message: Message, patience: Duration) -> PutAnswer {
        let stores = self.known.stores();
        let mut refusal = Refusal::NoCopy;
        for store in self.candidates(&message, &stores) {
            let to = SocketAddr::new(store.ip, self.process.settings.member_port());
            let call = Call::Put(message.clone());
            match self.peers.call::<Call, PutAnswer>(to, &call, patience).await {
                Ok(PutAnswer::Refused(why)) => refusal = why,
                Ok(answer) => return answer,
                Err(RpcError::Unreachable) => self.avoid(store.ip),
                Err(_) => {
                    self.avoid(store.ip);
                    return PutAnswer::Unclear;
                }
            }
        }
        PutAnswer::Refused(refusal)
    }

    /// The owner of an ordered message's key; else the stores of this zone, then others, those that answer first.
    fn candidates(&self, message: &Message, stores: &StoreView) -> Vec<Store> {
        if let Some(key) = message.key.as_ref().filter(|_| message.ordered) {
            return stores.owner(key).filter(|store| !store.gone).into_iter().cloned().collect();
        }
        let now = self.process.clock.ms();
        let avoided = |store: &Store| self.avoided.borrow().get(&store.ip).is_some_and(|until| now < *until);
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let mut active: Vec<Store> = stores.active().cloned().collect();
        let count = active.len().max(1);
        active.rotate_left(turn % count);
        active.sort_by_key(|store| (avoided(store), store.zone != self.process.settings.zone));
        active
    }

    fn avoid(&self, ip: IpAddr) {
        self.avoided.borrow_mut().insert(ip, self.process.clock.ms() + AVOID_MS);
    }

    async fn state(&self, id: &str) -> Answer {
        let found = self.find(id, false).await;
        match (&found.end, found.known) {
            (Some(end), _) => Answer::json(200, end_json(&end.outcome, None)),
            (None, true) => Answer::json(200, r#"{"State":"queued"}"#),
            (None, false) => Answer::text(404, "no store that answers knows this message"),
        }
    }

    async fn body(&self, id: &str) -> Answer {
        match self.find(id, true).await.body {
            Some(body) => Answer { status: 200, headers: Vec::new(), body },
            None => Answer::text(404, "no store that answers has this message's bytes"),
        }
    }

    /// Asks all stores. An end that any knows counts more than a copy that hasn't heard of it.
    async fn find(&self, id: &str, body: bool) -> Found {
        let found = Rc::new(RefCell::new(Found::default()));
        let stores = self.known.stores();
        let waiting = Rc::new(Cell::new(0));
        for store in stores.active() {
            let to = SocketAddr::new(store.ip, self.process.settings.member_port());
            let call = Call::Find { id: id.to_string(), body };
            let (peers, found, waiting) = (self.peers.clone(), found.clone(), waiting.clone());
            waiting.set(waiting.get() + 1);
            monoio::spawn(async move {
                if let Ok(answer) = peers.call::<Call, Found>(to, &call, FIND).await {
                    let mut found = found.borrow_mut();
                    found.known |= answer.known;
                    found.end = found.end.take().or(answer.end);
                    found.body = found.body.take().or(answer.body);
                }
                waiting.set(waiting.get() - 1);
            });
        }
        let until = self.process.clock.ms() + FIND.as_millis() as u64;
        let enough = |found: &Found| if body { found.body.is_some() } else { found.end.is_some() };
        while waiting.get() > 0 && self.process.clock.ms() < until && !enough(&found.borrow()) {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        let found = found.borrow().clone();
        found
    }
}

/// A request that has not run and never will: the client may come again.
fn later(why: &str) -> Answer {
    Answer::text(503, why).with("Retry-After", "0")
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
