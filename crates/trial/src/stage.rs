//! All that senders meet besides one another: partners with limits, discovery's agent with the platform behind it, clients.
//! Time is real; partners decide as in simulated time.
use crate::front::Fabric;
use crate::history::{Us, What, MS};
use crate::link::Party;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use policy::api::{Effect, Ns};
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use world::partner::{Heard, Knows, Partner, State};
use world::plan::{random, Plan};
use world::scenario::{May, What as Trouble};

/// PROTOCOL: a client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// A message that got no yes is handed in elsewhere after this, so often at the most.
const AGAIN: Duration = Duration::from_millis(300);
const TRIES: usize = 4;
/// With less time left nobody hands in again.
const WORTH_A_TRY: Ns = 200_000_000;

pub struct Stage {
    pub plan: Plan,
    pub fabric: Rc<Fabric>,
    /// Where senders take clients.
    pub listens: Vec<SocketAddr>,
    /// Endpoints by sender, then by number.
    lists: RefCell<Vec<Value>>,
    partners: RefCell<Vec<Partner<u64>>>,
    turns: RefCell<HashMap<u64, oneshot::Sender<Ns>>>,
    calls: Cell<u64>,
    classes: RefCell<HashMap<String, usize>>,
    /// Messages that clients still try to hand in.
    pub trying: Cell<usize>,
}

type Body = Response<Full<Bytes>>;

/// Answers of one connection that have not been written yet: call, status and the wait that is told.
type Unsaid = Rc<RefCell<VecDeque<(u64, u16, Option<Us>)>>>;

fn answer(status: StatusCode, body: String) -> Body {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// One call at a partner, as it came.
struct Call {
    sender: usize,
    endpoint: usize,
    /// The endpoint has no place for its connection.
    crowded: bool,
}

impl Stage {
    pub fn new(plan: Plan, fabric: Rc<Fabric>, listens: Vec<SocketAddr>) -> Rc<Stage> {
        let partner = |(i, p): (usize, &world::plan::PartnerPlan)| {
            Partner::new(p.clone(), plan.safety, random(plan.seed, 1_000 + i as u64))
        };
        let partners = plan.partners.iter().enumerate().map(partner).collect();
        Rc::new(Stage {
            partners: RefCell::new(partners),
            plan,
            fabric,
            listens,
            lists: RefCell::default(),
            turns: RefCell::default(),
            calls: Cell::default(),
            classes: RefCell::default(),
            trying: Cell::default(),
        })
    }

    fn now(&self) -> Ns {
        (self.fabric.history.now() * 1_000) as Ns
    }

    /// Serves one more sender; gives its list of endpoints and its agent's address. Errors are those of sockets.
    pub async fn meet(self: &Rc<Self>, sender: usize) -> io::Result<(Value, SocketAddr)> {
        let mut instances = Vec::new();
        for (i, place) in self.plan.endpoints.iter().enumerate() {
            let at = self.serve(sender, Some(i)).await?;
            let spec = &self.plan.partners[place.partner];
            instances.push(
                json!({"instanceId": format!("e-{i}"), "hostPort": at.to_string(), "zone": "here",
                "machineType": self.plan.kinds[spec.kind], "cell": place.partner, "lifecycle": "Ready",
                "weight": spec.limit(), "startedAtMs": 0}),
            );
        }
        let list = json!({"generation": 1, "reset": true, "instances": instances});
        self.lists.borrow_mut().push(list.clone());
        Ok((list, self.serve(sender, None).await?))
    }

    /// Serves HTTP to one sender on a free loopback port: an endpoint, or (None) its agent.
    async fn serve(self: &Rc<Self>, sender: usize, endpoint: Option<usize>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let stage = self.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                if !endpoint.is_some_and(|e| stage.is_down(e)) {
                    spawn_local(stage.clone().connection(tcp, sender, endpoint));
                }
            }
        });
        Ok(at)
    }

    fn is_down(&self, endpoint: usize) -> bool {
        self.partners.borrow()[self.plan.endpoints[endpoint].partner].state == State::Down
    }

    async fn connection(self: Rc<Self>, tcp: TcpStream, sender: usize, endpoint: Option<usize>) {
        let near = endpoint.map_or(Party::Agent, |e| Party::Partner(self.plan.endpoints[e].partner));
        let unsaid: Unsaid = Rc::default();
        let (told, history) = (unsaid.clone(), self.fabric.history.clone());
        let written = Rc::new(move || {
            if let Some((call, status, wait)) = told.borrow_mut().pop_front() {
                history.add(What::Told { call, status, wait });
            }
        });
        let stream = self.fabric.shaped(tcp, near, Party::Sender(sender), written);
        let place = endpoint.map(|e| self.plan.endpoints[e]);
        let crowded =
            place.is_some_and(|place| !self.partners.borrow_mut()[place.partner].connect(place.desk));
        let stage = self.clone();
        let service = service_fn(move |request| {
            let (stage, unsaid) = (stage.clone(), unsaid.clone());
            async move {
                let Some(endpoint) = endpoint else {
                    return Ok::<_, Infallible>(stage.agent(sender, request).await);
                };
                match stage.call(Call { sender, endpoint, crowded }, request, &unsaid).await {
                    Some(answer) => Ok(answer),
                    None => std::future::pending().await,
                }
            }
        });
        let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
        let outage = async {
            while !endpoint.is_some_and(|e| self.is_down(e)) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! { _ = served => {}, () = outage => {} }
        if let Some(place) = place.filter(|_| !crowded) {
            self.partners.borrow_mut()[place.partner].disconnect(place.desk);
        }
    }

    /// One call at an endpoint; None where nothing is ever said.
    async fn call(self: &Rc<Self>, of: Call, request: Request<Incoming>, unsaid: &Unsaid) -> Option<Body> {
        let place = self.plan.endpoints[of.endpoint];
        let header = request.headers().get("x-trace-id");
        let id = header.and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
        request.into_body().collect().await.ok()?;
        let class = self.classes.borrow().get(&id).copied().unwrap_or(0);
        let work = self.plan.classes[class].work;
        let work = (work.0 .0 + work.1 .0) / 2;
        let call = self.calls.replace(self.calls.get() + 1);
        let heard = match of.crowded {
            true => Heard::Refused(None),
            false => self.partners.borrow_mut()[place.partner].offer(
                self.now(),
                place.desk,
                call,
                work,
                Knows::Nothing,
            ),
        };
        let may_have_run = !matches!(heard, Heard::Refused(_));
        let (sender, partner) = (of.sender, place.partner);
        self.fabric.history.add(What::Called { call, id, sender, partner, may_have_run });
        let (mut said, wait) = match heard {
            Heard::Serves(takes) => (self.work(place, call, Some(takes)).await?, None),
            Heard::Queued => (self.work(place, call, None).await?, None),
            Heard::Fails => (answer(StatusCode::INTERNAL_SERVER_ERROR, String::new()), None),
            Heard::Silence => return None,
            Heard::Refused(None) => (answer(StatusCode::SERVICE_UNAVAILABLE, String::new()), None),
            Heard::Refused(Some(wait)) => {
                let mut refusal = answer(StatusCode::TOO_MANY_REQUESTS, String::new());
                let seconds = format!("{:.3}", wait as f64 / 1e9);
                refusal.headers_mut().insert("retry-after", seconds.parse().ok()?);
                (refusal, Some(wait as Us / 1_000))
            }
        };
        if of.crowded {
            said.headers_mut().insert("connection", "close".parse().ok()?);
        }
        unsaid.borrow_mut().push_back((call, said.status().as_u16(), wait));
        Some(said)
    }

    /// Serves a call, at once or (None) once its turn has come. By a task of its own: whoever asked may leave, and the work
    /// goes on.
    async fn work(
        self: &Rc<Self>,
        place: world::plan::EndpointPlan,
        call: u64,
        takes: Option<Ns>,
    ) -> Option<Body> {
        let (turn, comes) = oneshot::channel();
        let (say, done) = oneshot::channel();
        if takes.is_none() {
            self.turns.borrow_mut().insert(call, turn);
        }
        let stage = self.clone();
        spawn_local(async move {
            let epoch = stage.partners.borrow()[place.partner].epoch;
            let takes = match takes {
                Some(takes) => takes,
                None => match comes.await {
                    Ok(takes) => takes,
                    Err(_) => return,
                },
            };
            sleep(Duration::from_nanos(takes as u64)).await;
            if stage.partners.borrow()[place.partner].epoch != epoch {
                return;
            }
            let next = stage.partners.borrow_mut()[place.partner].next(place.desk);
            if let Some(next) = next {
                let waiter = stage.turns.borrow_mut().remove(&next.call);
                waiter.into_iter().for_each(|waiter| _ = waiter.send(next.takes));
            }
            let _ = say.send(());
        });
        done.await.ok()?;
        Some(answer(StatusCode::OK, String::new()))
    }

    /// The agent's list, watches and notices.
    async fn agent(self: &Rc<Self>, sender: usize, request: Request<Incoming>) -> Body {
        if request.uri().path() == "/reports" {
            let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            for line in body.split(|b| *b == b'\n').filter_map(|l| serde_json::from_slice::<Value>(l).ok()) {
                if let (Some(id), Some(outcome)) = (line["message"].as_str(), line["outcome"].as_str()) {
                    let (id, outcome) = (id.to_string(), outcome.to_string());
                    self.fabric.history.add(What::Notice { id, sender, outcome });
                }
            }
            return answer(StatusCode::NO_CONTENT, String::new());
        }
        let query = request.uri().query().unwrap_or_default().to_string();
        let wait =
            query.split('&').find_map(|p| p.strip_prefix("wait=")).and_then(|w| w.parse().ok()).unwrap_or(0);
        if query.contains("index=1") {
            sleep(Duration::from_millis(wait)).await;
            let nothing = json!({"generation": 1, "reset": false, "instances": []});
            return answer(StatusCode::OK, nothing.to_string());
        }
        answer(StatusCode::OK, self.lists.borrow()[sender].to_string())
    }

    /// Partners' trouble begins, until `ends`.
    pub fn strike(&self, trouble: &Trouble, partners: &[usize], ends: Ns) {
        for &p in partners {
            let mut all = self.partners.borrow_mut();
            let lost = match trouble {
                Trouble::Down { .. } => all[p].strike(State::Down),
                Trouble::Silent { .. } => all[p].strike(State::Silent),
                Trouble::Failing { fails, .. } => all[p].strike(State::Failing(fails.0)),
                Trouble::Shut { .. } => all[p].strike(State::Shut(ends)),
                Trouble::Slow { times, .. } => {
                    all[p].slow_down(*times);
                    Vec::new()
                }
                Trouble::Lowered { to, .. } => {
                    all[p].lower(*to);
                    Vec::new()
                }
                _ => Vec::new(),
            };
            lost.iter().for_each(|call| _ = self.turns.borrow_mut().remove(call));
        }
    }

    pub fn heal(&self, trouble: &Trouble, partners: &[usize]) {
        for &p in partners {
            let partner = &mut self.partners.borrow_mut()[p];
            match trouble {
                Trouble::Slow { .. } => partner.slow_down(1.0),
                Trouble::Lowered { .. } => partner.lower(1.0),
                _ => partner.come_back(self.now()),
            }
        }
    }

    /// Clients of an open loop, for so long.
    pub async fn clients(self: Rc<Self>, length: Duration) {
        let mut draws = random(self.plan.seed, 9);
        let (begin, mut due) = (Instant::now(), Instant::now());
        for number in 0u64.. {
            let gap: f64 = Exp1.sample(&mut draws);
            due += Duration::from_secs_f64(gap / self.plan.rate);
            if due - begin >= length {
                return;
            }
            let shares: Vec<f64> = self.plan.classes.iter().map(|c| c.share.0).collect();
            let class = pick(&shares, draws.random());
            let partners = self.plan.partners.iter().enumerate();
            let weights: Vec<f64> =
                partners.map(|(p, plan)| if self.plan.goes(class, p) { plan.weight } else { 0.0 }).collect();
            let dest = pick(&weights, draws.random());
            let sender = pick(&self.plan.weights, draws.random());
            let turn: u64 = draws.random();
            sleep_until(due).await;
            spawn_local(self.clone().hand_in(number, class, dest, sender, turn));
        }
    }

    /// Hands a message in, and elsewhere where nobody answers or it is refused; each time by a name of its own.
    async fn hand_in(self: Rc<Self>, number: u64, class: usize, dest: usize, first: usize, turn: u64) {
        self.trying.set(self.trying.get() + 1);
        let spec = &self.plan.classes[class];
        let (due, once, aim) = (Instant::now(), spec.repeat == May::Never, spec.aim.0 as Us / 1_000);
        let window = spec.window.map(|w| w.0 as Us / 1_000);
        let others = self.plan.weights.len();
        for attempt in 0..TRIES {
            let left = spec.deadline.0 - due.elapsed().as_nanos() as Ns;
            if left < WORTH_A_TRY {
                break;
            }
            let id = format!("m{number}.{attempt}");
            // Any other, a new one each time.
            let step = 1 + (turn as usize).wrapping_add(attempt) % others.saturating_sub(1).max(1);
            let sender = if attempt == 0 { first } else { (first + step * attempt) % others };
            self.classes.borrow_mut().insert(id.clone(), class);
            let left_us = left as Us / 1_000 / MS * MS;
            let event = What::HandedIn { id: id.clone(), sender, dest, once, window, left: left_us, aim };
            self.fabric.history.add(event);
            let key = spec.window.map(|_| format!("m{number}"));
            let asked = self.post((sender, dest), &id, key, &spec.name, left_us / MS);
            let status = timeout(PATIENCE, asked).await.ok().flatten().map(|s| s.as_u16());
            self.fabric.history.add(What::Answered { id, sender, status });
            match status {
                None | Some(429 | 503) => sleep(AGAIN).await,
                Some(_) => break,
            }
        }
        self.trying.set(self.trying.get() - 1);
    }

    async fn post(
        &self,
        (sender, dest): (usize, usize),
        id: &str,
        key: Option<String>,
        class: &str,
        left_ms: u64,
    ) -> Option<StatusCode> {
        let mut request = Request::post(format!("/{class}"))
            .header("host", "sender")
            .header("x-trace-id", id)
            .header("x-qos", class)
            .header("x-expires-in-ms", left_ms.to_string())
            .header("x-consignee", format!("dest={dest}"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from_static(b"a desk"))).ok()?;
        let answer = exchange(&self.fabric, Party::Client, sender, self.listens[sender], request).await?;
        Some(answer.0)
    }

    /// What a sender is told of itself, besides what the rig adds.
    pub fn configuration(&self, sender: usize, list: &Value) -> Value {
        let s = &self.plan.settings[sender];
        let class = |c: &world::scenario::Class| {
            let effect = match c.effect() {
                Effect::Safe => "safe",
                Effect::Keyed => "keyed",
                Effect::Unsafe => "unsafe",
            };
            json!({"Name": c.name, "PromiseNs": c.aim.0, "DeadlineNs": c.deadline.0, "Effect": effect,
                "DedupScope": "all", "WindowNs": c.window.map_or(0, |w| w.0),
                "Worth": c.worth, "LateWorth": c.late_worth.0})
        };
        json!({"seed": format!("{:x}", self.plan.seed.wrapping_mul(1_000) + sender as u64),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3}, "known": list,
            "settings": {"NInstances": s.n_instances, "TickNs": s.tick, "Kinds": self.plan.kinds,
                "Localities": ["here"], "Weights": "nominal",
                "FamilyInfo": {"CallsOut": s.slots, "KindBatch": vec![1; self.plan.kinds.len()],
                    "SeparateRoutes": vec![false; self.plan.kinds.len()]},
                "Limits": {"MaxOpen": s.max_open, "MaxAttempts": 8, "Cancel": true, "MayDuplicate": true,
                    "IdleCloseNs": s.idle_close, "DialTimeoutNs": s.dial_timeout,
                    "MaxRetryAfterNs": s.max_retry_after},
                "Safety": {"StartCapacity": s.start_capacity, "ColdNs": s.warm_up, "FallMultiple": s.overload_multiple,
                    "OverloadForNs": s.overload_window},
                "Services": self.plan.classes.iter().map(class).collect::<Vec<_>>()}})
    }
}

/// The place that a draw from 0 to 1 falls on.
fn pick(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    let hit = weights.iter().position(|w| {
        left -= w;
        left <= 0.0 && *w > 0.0
    });
    hit.unwrap_or(weights.len() - 1)
}

/// One request to a sender over a connection of its own: the answer's status and body, None if there was none.
pub async fn exchange(
    fabric: &Rc<Fabric>,
    near: Party,
    sender: usize,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Bytes)> {
    let tcp = TcpStream::connect(at).await.ok()?;
    let stream = fabric.shaped(tcp, near, Party::Sender(sender), Rc::new(|| {}));
    let (mut asks, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    let task = Ends(spawn_local(connection).abort_handle());
    let answer = asks.send_request(request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    drop(task);
    Some((status, body))
}

/// A task that ends with whoever asked, also when that is given up.
struct Ends(tokio::task::AbortHandle);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}
