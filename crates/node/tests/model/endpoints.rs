//! What clients were told and what endpoints ran: the judge of a run.
use super::{Ms, CONTACT};
use net::client::{CallError, Exchange, Service};
use net::http::Response;
use net::runtime::{sleep, timeout};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use simulation::clock::WORLD;
use simulation::Simulation;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What became of a message.
#[derive(Default)]
pub struct Fate {
    key: Option<String>,
    sent: Ms,
    accepted: Option<Ms>,
    /// The client was told that it never runs.
    refused: bool,
    /// When an endpoint did it.
    done: Option<Ms>,
    /// The sender read that.
    known: bool,
    /// Each begin: when, and by which store.
    begins: Vec<(Ms, String)>,
    /// A call-back about its end is owed to the client.
    wants_callback: bool,
    called_back: usize,
}

/// How much was seen.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub taken: usize,
    pub refused: usize,
    pub unclear: usize,
    pub runs: usize,
    pub repeats: usize,
}

/// All endpoints, and what clients were told.
pub struct Endpoints {
    simulation: Simulation,
    lot: RefCell<Pcg64Mcg>,
    fates: RefCell<BTreeMap<String, Fate>>,
    /// No trouble that wasn't planned since then.
    pub calm_from: Cell<Ms>,
    /// The first rule that was broken.
    pub broken: RefCell<Option<String>>,
    runs: Cell<usize>,
    /// Every run succeeds and takes so long, if this is set.
    pub all_take: Cell<Option<Ms>>,
    /// The receivers of call-backs don't answer until then.
    pub receivers_down_until: Cell<Ms>,
}

enum End {
    Success,
    Failure,
    TurnedAway,
    Silence,
}

impl Endpoints {
    pub fn new(simulation: &Simulation, seed: u64) -> Rc<Endpoints> {
        Rc::new(Endpoints {
            simulation: simulation.clone(),
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            fates: RefCell::default(),
            calm_from: Cell::new(0),
            broken: RefCell::default(),
            runs: Cell::new(0),
            all_take: Cell::new(None),
            receivers_down_until: Cell::new(0),
        })
    }

    /// A client sends a message.
    pub fn sent(&self, id: &str, key: Option<String>, wants_callback: bool) {
        let fate = Fate { key, wants_callback, sent: self.simulation.ms(), ..Fate::default() };
        self.fates.borrow_mut().insert(id.to_string(), fate);
    }

    /// The client has its answer.
    pub fn told(&self, id: &str, status: u16) {
        let mut fates = self.fates.borrow_mut();
        let fate = fates.get_mut(id).expect("it was sent");
        match status {
            202 => fate.accepted = Some(self.simulation.ms()),
            503 | 429 => fate.refused = true,
            _ => {}
        }
        if fate.refused && !fate.begins.is_empty() {
            self.broke(format!("REFUSED: {id} ran, and was answered {status}: {:?}", fate.begins));
        }
    }

    fn broke(&self, what: String) {
        self.broken.borrow_mut().get_or_insert(format!("{what}, at {}", self.simulation.ms()));
    }

    fn begin(&self, id: &str, by: &str) -> End {
        let now = self.simulation.ms();
        self.runs.set(self.runs.get() + 1);
        let end = match self.lot.borrow_mut().random_range(0..100) {
            _ if self.all_take.get().is_some() => End::Success,
            0..2 => End::TurnedAway,
            2..5 => End::Failure,
            5..6 => End::Silence,
            _ => End::Success,
        };
        if matches!(end, End::TurnedAway) {
            return end;
        }
        let mut fates = self.fates.borrow_mut();
        let fate = fates.get_mut(id).expect("it was sent");
        fate.begins.push((now, by.to_string()));
        if fate.known && now >= self.calm_from.get() + CONTACT {
            self.broke(format!("TWICE: {id} ran again in calm: {:?}", fate.begins));
        }
        if fate.refused {
            self.broke(format!("REFUSED: {id} runs, and was refused: {:?}", fate.begins));
        }
        let (key, sent) = (fate.key.clone(), fate.sent);
        let before = |(other, fate): (&String, &Fate)| {
            let earlier = fate.accepted.is_some_and(|at| at < sent) && fate.done.is_none();
            (other != id && key.is_some() && fate.key == key && earlier).then(|| other.clone())
        };
        let first = fates.iter().find_map(before);
        if let Some(other) = first {
            self.broke(format!("ORDER: {id} began before {other} of its key had ended"));
        }
        end
    }

    fn takes(&self) -> Duration {
        if let Some(ms) = self.all_take.get() {
            return Duration::from_millis(ms);
        }
        let mut lot = self.lot.borrow_mut();
        let ms = if lot.random_bool(0.35) { lot.random_range(150..900) } else { lot.random_range(5..80) };
        Duration::from_millis(ms)
    }

    fn done(&self, id: &str) {
        let now = self.simulation.ms();
        self.fates.borrow_mut().get_mut(id).expect("it was sent").done.get_or_insert(now);
    }

    fn read(&self, id: &str) {
        self.fates.borrow_mut().get_mut(id).expect("it was sent").known = true;
    }

    /// Every message that was taken has to be done by now, and every client that wants it called back.
    pub fn check_end(&self) {
        for (id, fate) in self.fates.borrow().iter() {
            if fate.accepted.is_some() && fate.wants_callback && fate.done.is_some() && fate.called_back == 0
            {
                let by = &fate.begins;
                self.broke(format!("LOST: no call-back about {id}, done at {:?}, ran {by:?}", fate.done));
            }
            if fate.accepted.is_some() && fate.done.is_none() {
                self.broke(format!("LOST: {id}, taken at {:?}, never ran: {:?}", fate.accepted, fate.begins));
            }
        }
    }

    /// Each begin of a message: when, and by which store.
    pub fn begins(&self, id: &str) -> Vec<(Ms, String)> {
        self.fates.borrow().get(id).map_or(Vec::new(), |fate| fate.begins.clone())
    }

    /// Ids of messages that were taken and are done.
    pub fn completed(&self) -> Vec<String> {
        let fates = self.fates.borrow();
        let done = fates.iter().filter(|(_, fate)| fate.accepted.is_some() && fate.done.is_some());
        done.map(|(id, _)| id.clone()).collect()
    }

    pub fn counts(&self) -> Counts {
        let fates = self.fates.borrow();
        let count = |which: fn(&Fate) -> bool| fates.values().filter(|fate| which(fate)).count();
        Counts {
            taken: count(|fate| fate.accepted.is_some()),
            refused: count(|fate| fate.refused),
            unclear: count(|fate| fate.accepted.is_none() && !fate.refused),
            runs: self.runs.get(),
            repeats: count(|fate| fate.begins.len() > 1),
        }
    }

    /// The endpoints as one store reaches them.
    pub fn reached_by(self: &Rc<Self>, store: &str) -> Rc<dyn Service> {
        Rc::new(Reached { endpoints: self.clone(), store: store.to_string() })
    }

    /// A receiver is told of an end.
    async fn receive(self: Rc<Self>, request: String, within: Duration) -> Result<Response, CallError> {
        let takes = self.lot.borrow_mut().random_range(3..30);
        sleep(Duration::from_millis(takes)).await;
        if self.simulation.ms() < self.receivers_down_until.get() {
            let refuses = self.lot.borrow_mut().random_bool(0.5);
            if !refuses {
                sleep(within).await;
            }
            return Err(if refuses { CallError::NotSent } else { CallError::TimedOut });
        }
        let body = request.rsplit("\r\n\r\n").next().unwrap_or_default();
        let told: serde_json::Value = serde_json::from_str(body).expect("call-backs are JSON");
        let id = told["Id"].as_str().expect("they name the message").to_string();
        let mut fates = self.fates.borrow_mut();
        let fate = fates.get_mut(&id).expect("it was sent");
        fate.called_back += 1;
        if fate.done.is_none() || told["State"] != "completed" {
            self.broke(format!("MIXED: a call-back about {id} says {told}"));
        }
        Ok(answer(200, "", &[]))
    }

    async fn run(self: Rc<Self>, id: String, by: String, within: Duration) -> Result<Response, CallError> {
        sleep(Duration::from_millis(1)).await;
        let end = self.begin(&id, &by);
        if matches!(end, End::TurnedAway) {
            return Ok(answer(503, &id, &[("x-not-executed", "1")]));
        }
        // The endpoint works on, whatever becomes of the caller.
        let (finished, takes) = (Rc::new(net::wake::Notify::default()), self.takes());
        let (endpoints, ended, ran) = (self.clone(), finished.clone(), id.clone());
        let succeeds = !matches!(end, End::Failure);
        self.simulation.spawn_in(WORLD, async move {
            sleep(takes).await;
            if succeeds {
                endpoints.done(&ran);
            }
            ended.notify();
        });
        if matches!(end, End::Silence) {
            sleep(within).await;
            return Err(CallError::TimedOut);
        }
        timeout(within, finished.notified()).await.map_err(|_| CallError::TimedOut)?;
        if !succeeds {
            return Ok(answer(500, &id, &[]));
        }
        self.read(&id);
        Ok(answer(200, &id, &[("x-server-signature", "done")]))
    }
}

fn answer(status: u16, id: &str, headers: &[(&'static str, &str)]) -> Response {
    let mut all = http::HeaderMap::new();
    all.insert("x-request-id", id.parse().unwrap());
    for (name, value) in headers {
        all.insert(*name, value.parse().unwrap());
    }
    Response {
        status: http::StatusCode::from_u16(status).unwrap(),
        headers: all,
        body: bytes::Bytes::new(),
        keep_alive: true,
    }
}

struct Reached {
    endpoints: Rc<Endpoints>,
    store: String,
}

impl Service for Reached {
    fn call(&self, _to: SocketAddr, request: Vec<u8>, within: Duration) -> Exchange {
        let text = String::from_utf8_lossy(&request).into_owned();
        if text.starts_with("POST /done ") {
            return Box::pin(self.endpoints.clone().receive(text, within));
        }
        let id = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: ")).unwrap().to_string();
        Box::pin(self.endpoints.clone().run(id, self.store.clone(), within))
    }
}
