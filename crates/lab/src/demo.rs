//! A sender at work on loopback: partners, discovery and clients for twenty seconds, with one partner and the sender
//! killed once. Time is real; partners decide as in simulated time.
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indicatif::{ProgressBar, ProgressStyle};
use policy::api::{Ns, MS, SECOND};
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use world::partner::{Heard, Partner, State};
use world::plan::{random, Plan};
use world::scenario::Scenario;

const LENGTH: Ns = 20 * SECOND;
const PARTNER_DOWN: (Ns, Ns) = (5 * SECOND, 9 * SECOND);
const SENDER_KILLED: Ns = 13 * SECOND;
/// PROTOCOL: the next start comes 0.6 s after SIGKILL.
const RESTART: Duration = Duration::from_millis(600);
/// PROTOCOL: a client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);

const DAY: &str = r#"
name = "demo"
about = "One sender, a few partners."
length = "20s"
[fleet]
senders = 1
endpoints = [5, 6]
full-load = 30.0
load = 0.7
least-slots = 8
least-open = 100
[clients]
zipf = [0.6, 0.6]
"#;

/// What became of a message, as it is seen from outside.
#[derive(Default)]
struct Seen {
    due: Option<Instant>,
    class: usize,
    taken: bool,
    /// Calls that were answered with 200.
    delivered: u32,
    after: Option<Duration>,
    ended: Option<String>,
}

struct Stage {
    plan: Plan,
    start: Instant,
    partners: RefCell<Vec<Partner<u64>>>,
    turns: RefCell<HashMap<u64, oneshot::Sender<Ns>>>,
    next: RefCell<u64>,
    messages: RefCell<BTreeMap<String, Seen>>,
    list: RefCell<Value>,
    calls: RefCell<(u64, u64)>,
}

type Body = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: String) -> Body {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

impl Stage {
    fn now(&self) -> Ns {
        self.start.elapsed().as_nanos() as Ns
    }

    /// One call at an endpoint; None where nothing is ever said.
    async fn call(self: Rc<Self>, endpoint: usize, request: Request<Incoming>) -> Option<Body> {
        let place = self.plan.endpoints[endpoint];
        let id =
            request.headers().get("x-trace-id").and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
        request.into_body().collect().await.ok()?;
        let class = self.messages.borrow().get(&id).map_or(0, |m| m.class);
        let work = self.plan.classes[class].work;
        let work = (work.0 .0 + work.1 .0) / 2;
        let number = self.next.replace_with(|n| *n + 1);
        self.calls.borrow_mut().0 += 1;
        let heard =
            self.partners.borrow_mut()[place.partner].offer(self.now(), place.desk, number, work, false);
        match heard {
            Heard::Serves(takes) => self.work(endpoint, number, Some(takes), id).await,
            Heard::Queued => self.work(endpoint, number, None, id).await,
            Heard::Fails => Some(answer(StatusCode::INTERNAL_SERVER_ERROR, String::new())),
            Heard::Silence => None,
            Heard::Refused(wait) => {
                self.calls.borrow_mut().1 += 1;
                let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
                if let Some(wait) = wait {
                    *refusal.status_mut() = StatusCode::TOO_MANY_REQUESTS;
                    let seconds = format!("{:.3}", wait as f64 / 1e9);
                    refusal.headers_mut().insert("retry-after", seconds.parse().ok()?);
                }
                Some(refusal)
            }
        }
    }

    /// Serves a call, at once or (None) once its turn has come. By a task of its own: whoever asked may leave, and the work
    /// goes on.
    async fn work(
        self: Rc<Self>,
        endpoint: usize,
        number: u64,
        takes: Option<Ns>,
        id: String,
    ) -> Option<Body> {
        let (turn, comes) = oneshot::channel();
        let (say, done) = oneshot::channel();
        if takes.is_none() {
            self.turns.borrow_mut().insert(number, turn);
        }
        spawn_local(async move {
            let place = self.plan.endpoints[endpoint];
            let epoch = self.partners.borrow()[place.partner].epoch;
            let takes = match takes {
                Some(takes) => takes,
                None => match comes.await {
                    Ok(takes) => takes,
                    Err(_) => return,
                },
            };
            sleep(Duration::from_nanos(takes as u64)).await;
            if self.partners.borrow()[place.partner].epoch != epoch {
                return;
            }
            let next = self.partners.borrow_mut()[place.partner].next(place.desk);
            if let Some(next) = next {
                let waiter = self.turns.borrow_mut().remove(&next.call);
                waiter.into_iter().for_each(|waiter| _ = waiter.send(next.takes));
            }
            if let Some(seen) = self.messages.borrow_mut().get_mut(&id) {
                seen.delivered += 1;
                seen.after = seen.after.or(seen.due.map(|due| due.elapsed()));
            }
            let _ = say.send(());
        });
        done.await.ok()?;
        Some(answer(StatusCode::OK, String::new()))
    }

    /// The agent's list, watches and notices.
    async fn discovery(self: Rc<Self>, request: Request<Incoming>) -> Body {
        if request.uri().path() == "/reports" {
            let body = request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            for line in body.split(|b| *b == b'\n').filter_map(|l| serde_json::from_slice::<Value>(l).ok()) {
                let (id, outcome) = (line["message"].as_str(), line["outcome"].as_str());
                let mut messages = self.messages.borrow_mut();
                let seen = id.and_then(|id| messages.get_mut(id));
                seen.into_iter().for_each(|seen| seen.ended = outcome.map(String::from));
            }
            return answer(StatusCode::NO_CONTENT, String::new());
        }
        let query = request.uri().query().unwrap_or_default().to_string();
        let wait =
            query.split('&').find_map(|p| p.strip_prefix("wait=")).and_then(|w| w.parse().ok()).unwrap_or(0);
        if query.contains("index=1") {
            sleep(Duration::from_millis(wait)).await;
            return answer(
                StatusCode::OK,
                json!({"generation": 1, "reset": false, "instances": []}).to_string(),
            );
        }
        let list = self.list.borrow().to_string();
        answer(StatusCode::OK, list)
    }
}

/// Serves HTTP on a free loopback port. `partner`: whose outage takes its connections too.
async fn serve(stage: Rc<Stage>, endpoint: Option<usize>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stage = stage.clone();
            let down = move |stage: &Stage| {
                endpoint.is_some_and(|e| {
                    stage.partners.borrow()[stage.plan.endpoints[e].partner].state == State::Down
                })
            };
            if down(&stage) {
                continue;
            }
            spawn_local(async move {
                let own = stage.clone();
                let service = service_fn(move |request| {
                    let stage = own.clone();
                    async move {
                        match endpoint {
                            None => Ok::<_, Infallible>(stage.discovery(request).await),
                            Some(endpoint) => match stage.call(endpoint, request).await {
                                Some(answer) => Ok(answer),
                                None => std::future::pending().await,
                            },
                        }
                    }
                });
                let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
                let outage = async {
                    while !down(&stage) {
                        sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! { _ = served => {}, () = outage => {} }
            });
        }
    });
    Ok(at)
}

/// The sender's process; it ends with this one, whatever ends that.
struct Sender {
    child: Child,
}

impl Sender {
    fn start(folder: &Path, discovery: SocketAddr, at: SocketAddr) -> Result<Sender, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("nickelshed");
        let mut command = Command::new(&program);
        command
            .env("EDGE_CONFIG", folder.join("config.json"))
            .env("EDGE_STATE", folder.join("state"))
            .env("EDGE_LISTEN", at.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("RUST_LOG", "error")
            .stdin(Stdio::null());
        // SAFETY: between fork and exec only the one call, which is safe there.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        };
        let child = command.spawn().map_err(|e| format!("{} can't be started: {e}", program.display()))?;
        Ok(Sender { child })
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn exchange(at: SocketAddr, request: Request<Full<Bytes>>) -> Option<StatusCode> {
    let stream = TcpStream::connect(at).await.ok()?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    let task = spawn_local(connection);
    let answer = sender.send_request(request).await.ok();
    task.abort();
    Some(answer?.status())
}

async fn ready(at: SocketAddr) -> Result<(), String> {
    let bound = Instant::now() + Duration::from_secs(10);
    while Instant::now() < bound {
        let request = Request::get("/healthz").header("host", "sender").body(Full::default());
        if exchange(at, request.map_err(|e| e.to_string())?).await == Some(StatusCode::OK) {
            return Ok(());
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err("the sender does not become ready".into())
}

/// Hands a message in, and once more where nobody is there or it is refused.
async fn hand_in(stage: Rc<Stage>, at: SocketAddr, id: String, class: usize, dest: usize) {
    let spec = &stage.plan.classes[class];
    let (due, name, deadline) = (Instant::now(), spec.name.clone(), spec.deadline.0);
    stage.messages.borrow_mut().insert(id.clone(), Seen { due: Some(due), class, ..Seen::default() });
    for _ in 0..20 {
        let left = deadline / MS - due.elapsed().as_millis() as Ns;
        let request = Request::post(format!("/{name}"))
            .header("host", "sender")
            .header("x-trace-id", &id)
            .header("x-qos", &name)
            .header("x-expires-in-ms", left.max(0).to_string())
            .header("x-consignee", format!("dest={dest}"))
            .body(Full::new(Bytes::from_static(b"a desk")));
        let Ok(request) = request else { return };
        match timeout(PATIENCE, exchange(at, request)).await {
            Ok(Some(StatusCode::ACCEPTED)) => {
                stage.messages.borrow_mut().entry(id).or_default().taken = true;
                return;
            }
            _ => sleep(Duration::from_millis(300)).await,
        }
    }
}

fn configuration(plan: &Plan, list: &Value) -> Value {
    let s = &plan.settings[0];
    let class = |c: &world::scenario::Class| {
        let effect = if c.repeat == world::scenario::May::Repeat { "safe" } else { "unsafe" };
        json!({"Name": c.name, "PromiseNs": c.aim.0, "DeadlineNs": c.deadline.0, "Effect": effect, "Worth": c.worth,
            "LateWorth": c.late_worth.0})
    };
    json!({"name": "demo", "seed": "1", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3},
        "known": list,
        "settings": {"NInstances": 1, "TickNs": s.tick, "Kinds": plan.kinds, "Localities": ["here"], "Weights": "nominal",
            "FamilyInfo": {"CallsOut": s.slots, "KindBatch": [1, 1], "SeparateRoutes": [false, false]},
            "Limits": {"MaxOpen": s.max_open, "MaxAttempts": 8, "Cancel": true, "MayDuplicate": true,
                "IdleCloseNs": s.idle_close, "DialTimeoutNs": s.dial_timeout, "MaxRetryAfterNs": s.max_retry_after},
            "Safety": {"StartCapacity": s.start_capacity, "ColdNs": s.cold, "FallMultiple": s.fall_multiple,
                "OverloadForNs": s.overload_for},
            "Services": plan.classes.iter().map(class).collect::<Vec<_>>()}})
}

async fn clients(stage: Rc<Stage>, at: SocketAddr) {
    let mut draws = random(stage.plan.seed, 9);
    let mut due = Instant::now();
    for number in 0u64.. {
        let gap: f64 = Exp1.sample(&mut draws);
        due += Duration::from_secs_f64(gap / stage.plan.rate);
        sleep_until(due).await;
        if stage.now() >= LENGTH {
            return;
        }
        let shares = stage.plan.classes[0].share.0;
        let class = usize::from(draws.random::<f64>() >= shares);
        let goes: Vec<usize> =
            (0..stage.plan.partners.len()).filter(|&p| stage.plan.goes(class, p)).collect();
        let all: f64 = goes.iter().map(|&p| stage.plan.partners[p].weight).sum();
        let mut left = draws.random::<f64>() * all;
        let of = |p: &&usize| {
            left -= stage.plan.partners[**p].weight;
            left <= 0.0
        };
        let dest = goes.iter().find(of).or(goes.last()).copied().unwrap_or(0);
        spawn_local(hand_in(stage.clone(), at, format!("m-{number}"), class, dest));
    }
}

async fn play(folder: PathBuf) -> Result<(), String> {
    let scenario = Scenario::read(DAY)?;
    let plan = Plan::draw(&scenario, 1);
    let partner = |(i, p): (usize, &world::plan::PartnerPlan)| {
        Partner::new(p.clone(), plan.safety, random(plan.seed, 1_000 + i as u64))
    };
    let partners = plan.partners.iter().enumerate().map(partner).collect();
    let stage = Rc::new(Stage {
        start: Instant::now(),
        partners: RefCell::new(partners),
        plan,
        turns: RefCell::default(),
        next: RefCell::default(),
        messages: RefCell::default(),
        list: RefCell::default(),
        calls: RefCell::default(),
    });
    let mut instances = Vec::new();
    for (i, place) in stage.plan.endpoints.iter().enumerate() {
        let at = serve(stage.clone(), Some(i)).await.map_err(|e| e.to_string())?;
        let spec = &stage.plan.partners[place.partner];
        instances.push(json!({"instanceId": format!("e-{i}"), "hostPort": at.to_string(), "zone": "here",
            "machineType": stage.plan.kinds[spec.kind], "cell": place.partner, "lifecycle": "Ready",
            "weight": spec.limit(), "startedAtMs": 0}));
    }
    let list = json!({"generation": 1, "reset": true, "instances": instances});
    stage.list.replace(list.clone());
    let discovery = serve(stage.clone(), None).await.map_err(|e| e.to_string())?;
    std::fs::create_dir_all(folder.join("state")).map_err(|e| e.to_string())?;
    let config = configuration(&stage.plan, &list).to_string();
    std::fs::write(folder.join("config.json"), config).map_err(|e| e.to_string())?;
    // A port that was free a moment ago.
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let at = free.map_err(|e| e.to_string())?;
    let mut sender = Some(Sender::start(&folder, discovery, at)?);
    ready(at).await?;
    println!(
        "one sender, {} partners with {} endpoints, {:.0} messages a second",
        stage.plan.partners.len(),
        stage.plan.endpoints.len(),
        stage.plan.rate
    );
    spawn_local(clients(stage.clone(), at));
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s {msg}").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new((LENGTH / SECOND) as u64).with_style(style);
    // What was handed in last may take its time.
    let end = LENGTH + 6 * SECOND;
    let (mut went, mut back) = (false, false);
    let mut killed = false;
    while stage.now() < end {
        let now = stage.now();
        if now >= PARTNER_DOWN.0 && !std::mem::replace(&mut went, true) {
            let lost = stage.partners.borrow_mut()[0].strike(State::Down);
            lost.iter().for_each(|call| _ = stage.turns.borrow_mut().remove(call));
            bar.set_message("the largest partner is down");
        }
        if now >= PARTNER_DOWN.1 && !std::mem::replace(&mut back, true) {
            stage.partners.borrow_mut()[0].come_back(now);
            bar.set_message("it is back, and cold");
        }
        if now >= SENDER_KILLED && !std::mem::replace(&mut killed, true) {
            bar.set_message("the sender was killed");
            drop(sender.take());
            sleep(RESTART).await;
            sender = Some(Sender::start(&folder, discovery, at)?);
            ready(at).await?;
            bar.set_message("it has taken up its journal");
        }
        bar.set_position((now / SECOND).min(LENGTH / SECOND) as u64);
        sleep(Duration::from_millis(50)).await;
    }
    bar.finish_and_clear();
    drop(sender);
    report(&stage)
}

fn report(stage: &Stage) -> Result<(), String> {
    let messages = stage.messages.borrow();
    let taken: Vec<&Seen> = messages.values().filter(|m| m.taken).collect();
    let delivered: Vec<&&Seen> = taken.iter().filter(|m| m.delivered > 0).collect();
    let mut after: Vec<Duration> = delivered.iter().filter_map(|m| m.after).collect();
    after.sort();
    let at = |part: f64| after.get((after.len() as f64 * part) as usize).map_or(0, Duration::as_millis);
    let ended = |outcome: &str| {
        taken.iter().filter(|m| m.delivered == 0 && m.ended.as_deref() == Some(outcome)).count()
    };
    let without = taken.iter().filter(|m| m.delivered == 0 && m.ended.is_none()).count();
    let is_unsafe = |m: &&&Seen| stage.plan.classes[m.class].repeat == world::scenario::May::Never;
    let twice: BTreeSet<u32> =
        taken.iter().filter(is_unsafe).map(|m| m.delivered).filter(|n| *n > 1).collect();
    let (calls, refused) = *stage.calls.borrow();
    println!("{} handed in, {} taken on, {} delivered", messages.len(), taken.len(), delivered.len());
    println!("half of them within {} ms, 99 in 100 within {} ms of when they were due", at(0.5), at(0.99));
    println!("{calls} calls, {refused} of them refused above a limit");
    println!(
        "{} handed back, {} given up, {without} without an end so far",
        ended("handed_back"),
        ended("given_up")
    );
    match twice.is_empty() {
        true => println!("nothing took effect twice that may not"),
        false => return Err("a message that may not be repeated took effect twice".into()),
    }
    Ok(())
}

/// Plays the demonstration in a new folder below the system's for temporary files, which is gone after it.
pub fn run() -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("nickellab-demo-{}", std::process::id()));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let played = LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = play(folder.clone()) => played,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    });
    let _ = std::fs::remove_dir_all(&folder);
    played
}
