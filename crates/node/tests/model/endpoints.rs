//! What clients were told and what endpoints ran: the judge of a run.
use super::connections::Connection;
use super::control::service_at;
use super::operations::Operations;
use super::tenants::{Credential, Tenants};
use super::{Ms, CONTACT, MAX_ATTEMPTS};
use net::client::{CallError, Exchange, Service, SimulatedConnection};
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

/// The route whose requests need no key.
pub const PUBLIC_ROUTE: &str = "public";

/// Messages that no endpoint can ever do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doom {
    /// Each run ends with 500.
    Fails,
    /// Each run ends with 422.
    Refused,
}

/// What a client hands in.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    pub operation: Option<String>,
    pub key: Option<String>,
    /// Whose key the client means to send.
    pub credential: Credential,
    /// The key that it sends.
    pub api_key: Option<String>,
    /// The route; if there is none, one that fits the message.
    pub route: Option<&'static str>,
    /// A call-back about its end is owed to the client.
    pub wants_callback: bool,
    pub body: Vec<u8>,
    pub doom: Option<Doom>,
    /// It isn't to run earlier.
    pub due: Ms,
}

impl Sent {
    /// The route on which it is sent.
    pub fn route(&self) -> &'static str {
        self.route.unwrap_or(if self.key.is_some() { "ordered" } else { "free" })
    }

    /// Its route needs a key.
    pub fn needs_key(&self) -> bool {
        self.route() != PUBLIC_ROUTE
    }
}

/// What became of a message.
#[derive(Default)]
pub struct Fate {
    message: Sent,
    sent: Ms,
    accepted: Option<Ms>,
    /// The status that answered it.
    status: Option<u16>,
    /// The client was told that it never runs.
    refused: bool,
    /// When an endpoint did it.
    done: Option<Ms>,
    /// The sender read that.
    known: bool,
    /// Each begin: when, and by which store.
    begins: Vec<(Ms, String)>,
    /// The service of each begin.
    services: Vec<String>,
    /// Answers of endpoints that this attempt failed.
    failures: u32,
    /// An endpoint has answered that it can never be done.
    refused_for_good: bool,
    called_back: usize,
}

impl Fate {
    fn is_dead(&self) -> bool {
        self.refused_for_good || self.failures >= MAX_ATTEMPTS
    }

    fn has_ended(&self) -> bool {
        self.done.is_some() || self.is_dead()
    }

    fn was_accepted_before(&self, at: Ms) -> bool {
        self.accepted.is_some_and(|accepted| accepted < at)
    }

    /// What a state or a call-back may say of its end.
    fn may_be_called(&self, state: &str) -> bool {
        match state {
            "completed" => self.done.is_some(),
            "dead_letter" => self.is_dead(),
            _ => false,
        }
    }
}

/// A message that was taken, for a check of what can be asked about it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub body: Vec<u8>,
    /// The key with which it was sent.
    pub api_key: Option<String>,
    pub expected: Expected,
}

/// Where a message stands by what endpoints did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    Queued,
    Completed,
    DeadLetter,
}

/// How much was seen.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub dead: usize,
    /// Bodies that came back whole.
    pub bodies: usize,
    pub taken: usize,
    pub refused: usize,
    pub unclear: usize,
    pub runs: usize,
    pub repeats: usize,
}

/// All endpoints, and what clients were told.
pub struct Endpoints {
    simulation: Simulation,
    pub tenants: Rc<Tenants>,
    lot: RefCell<Pcg64Mcg>,
    fates: RefCell<BTreeMap<String, Fate>>,
    pub operations: RefCell<Operations>,
    /// No trouble that wasn't planned since then.
    pub calm_from: Cell<Ms>,
    /// The first rule that was broken.
    pub broken: RefCell<Option<String>>,
    runs: Cell<usize>,
    bodies: Cell<usize>,
    /// Every run succeeds and takes so long, if this is set.
    pub all_take: Cell<Option<Ms>>,
    /// The receivers of call-backs don't answer until then.
    pub receivers_down_until: Cell<Ms>,
    /// Each answer that doesn't end its message is sent a second time after so long, if this is set.
    pub answers_again_after: Cell<Option<Ms>>,
}

enum End {
    Success,
    Failure,
    RefusedForGood,
    TurnedAway,
    Silence,
}

impl Endpoints {
    pub fn new(simulation: &Simulation, tenants: Rc<Tenants>, seed: u64) -> Rc<Endpoints> {
        Rc::new(Endpoints {
            simulation: simulation.clone(),
            tenants,
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            fates: RefCell::default(),
            operations: RefCell::default(),
            calm_from: Cell::new(0),
            broken: RefCell::default(),
            runs: Cell::new(0),
            bodies: Cell::new(0),
            all_take: Cell::new(None),
            receivers_down_until: Cell::new(0),
            answers_again_after: Cell::new(None),
        })
    }

    /// A client sends a message.
    pub fn sent(&self, id: &str, message: Sent) {
        self.operations.borrow_mut().sent(id, &message, self.simulation.ms());
        let fate = Fate { message, sent: self.simulation.ms(), ..Fate::default() };
        self.fates.borrow_mut().insert(id.to_string(), fate);
    }

    /// The client has its answer, which names this message.
    pub fn told(&self, id: &str, status: u16, named: &str) {
        let wrong = self.operations.borrow_mut().told(id, status, named);
        wrong.into_iter().for_each(|wrong| self.broke(wrong));
        let mut fates = self.fates.borrow_mut();
        fates.get_mut(id).expect("it was sent").status = Some(status);
        // A repeat is told the first one's id: that one was taken.
        let of = if status == 202 && fates.contains_key(named) { named } else { id };
        let fate = fates.get_mut(of).expect("it was sent");
        match status {
            202 => drop(fate.accepted.get_or_insert(self.simulation.ms())),
            503 | 429 | 401 => fate.refused = true,
            _ => {}
        }
        if fate.refused && !fate.begins.is_empty() {
            self.broke(format!("REFUSED: {id} ran, and was answered {status}: {:?}", fate.begins));
        }
        let own = fates.get(id).expect("it was sent");
        let key = own.message.api_key.as_deref();
        let judged = own.message.needs_key();
        let fault = judged.then(|| self.tenants.fault_of_answer(key, own.sent, status)).flatten();
        if let Some(fault) = fault {
            self.broke(format!("{fault}: {id}"));
        }
    }

    /// A rule was broken.
    pub fn broke(&self, what: String) {
        self.broken.borrow_mut().get_or_insert(format!("{what}, at {}", self.simulation.ms()));
    }

    /// How a run ends.
    fn draw_end(&self, doom: Option<Doom>) -> End {
        let by_itself = match doom {
            Some(Doom::Fails) => End::Failure,
            Some(Doom::Refused) => End::RefusedForGood,
            None => End::Success,
        };
        match self.lot.borrow_mut().random_range(0..100) {
            _ if self.all_take.get().is_some() => by_itself,
            0..2 => End::TurnedAway,
            2..5 => End::Failure,
            5..6 => End::Silence,
            _ => by_itself,
        }
    }

    fn begin(&self, id: &str, at: SocketAddr, by: &str, head: &str, body: &[u8]) -> End {
        let now = self.simulation.ms();
        self.runs.set(self.runs.get() + 1);
        let doom = self.fates.borrow().get(id).expect("it was sent").message.doom;
        let end = self.draw_end(doom);
        if matches!(end, End::TurnedAway) {
            return end;
        }
        let mut fates = self.fates.borrow_mut();
        let fate = fates.get_mut(id).expect("it was sent");
        fate.begins.push((now, by.to_string()));
        fate.services.push(service_at(at));
        let twice = self.operations.borrow_mut().begun(id, now);
        twice.into_iter().for_each(|twice| self.broke(twice));
        if fate.message.body != body {
            let (sent, ran) = (fate.message.body.len(), body.len());
            self.broke(format!(
                "UNASKED: {id} ran with {ran} other bytes than the {sent} sent: {:?}",
                fate.begins
            ));
        }
        self.judge_tenant(id, &fate.message, fate.sent, head);
        if fate.known && now >= self.calm_from.get() + CONTACT {
            self.broke(format!("TWICE: {id} ran again in calm: {:?}", fate.begins));
        }
        if fate.refused {
            self.broke(format!("REFUSED: {id} runs, and was refused: {:?}", fate.begins));
        }
        let (key, sent) = (fate.message.key.clone(), fate.sent);
        let tenant = self.tenant_of(&fate.message);
        let before = |(other, fate): (&String, &Fate)| {
            let earlier = fate.accepted.is_some_and(|at| at < sent) && !fate.has_ended();
            let same_key = key.is_some() && fate.message.key == key;
            (other != id && same_key && earlier && self.tenant_of(&fate.message) == tenant)
                .then(|| other.clone())
        };
        let first = fates.iter().find_map(before);
        if let Some(other) = first {
            self.broke(format!("ORDER: {id} began before {other} of its key had ended"));
        }
        end
    }

    fn tenant_of(&self, message: &Sent) -> Option<String> {
        message.api_key.as_ref().and_then(|key| self.tenants.holder(key))
    }

    /// A run is told its tenant, and came with a key that was in force.
    fn judge_tenant(&self, id: &str, message: &Sent, sent: Ms, head: &str) {
        if !message.needs_key() {
            return;
        }
        let key = message.api_key.as_deref();
        if let Some(fault) = self.tenants.fault_of_run(key, sent, head, &message.body) {
            self.broke(format!("{fault}: {id}"));
        }
    }

    fn takes(&self) -> Duration {
        if let Some(ms) = self.all_take.get() {
            return Duration::from_millis(ms);
        }
        let mut lot = self.lot.borrow_mut();
        let ms = if lot.random_bool(0.35) { lot.random_range(150..900) } else { lot.random_range(5..80) };
        Duration::from_millis(ms)
    }

    /// A run has ended with a status. What can never be done isn't done by a run whose answer is lost either.
    fn ran(&self, id: &str, status: u16) {
        let now = self.simulation.ms();
        let mut fates = self.fates.borrow_mut();
        let fate = fates.get_mut(id).expect("it was sent");
        match status {
            500 => fate.failures += 1,
            422 => fate.refused_for_good = true,
            _ if fate.message.doom.is_none() => drop(fate.done.get_or_insert(now)),
            _ => {}
        }
    }

    fn read(&self, id: &str) {
        self.fates.borrow_mut().get_mut(id).expect("it was sent").known = true;
    }

    /// Every message that was taken and is due has to have ended by now, and every client that wants it called back.
    pub fn check_end(&self) {
        let now = self.simulation.ms();
        for (id, fate) in self.fates.borrow().iter().filter(|(_, fate)| fate.accepted.is_some()) {
            if fate.message.wants_callback && fate.has_ended() && fate.called_back == 0 {
                let by = &fate.begins;
                self.broke(format!("LOST: no call-back about {id}, done at {:?}, ran {by:?}", fate.done));
            }
            if fate.message.due <= now && !fate.has_ended() {
                self.broke(format!("LOST: {id}, taken at {:?}, never ran: {:?}", fate.accepted, fate.begins));
            }
        }
    }

    /// The status that answered a message's client, if it has an answer.
    pub fn told_of(&self, id: &str) -> Option<u16> {
        self.fates.borrow().get(id).and_then(|fate| fate.status)
    }

    /// The key with which a message was sent.
    pub fn api_key_of(&self, id: &str) -> Option<String> {
        self.fates.borrow().get(id).and_then(|fate| fate.message.api_key.clone())
    }

    /// Each begin of a message: when, and by which store.
    pub fn begins(&self, id: &str) -> Vec<(Ms, String)> {
        self.fates.borrow().get(id).map_or(Vec::new(), |fate| fate.begins.clone())
    }

    /// The service of each run of a message.
    pub fn services(&self, id: &str) -> Vec<String> {
        self.fates.borrow().get(id).map_or(Vec::new(), |fate| fate.services.clone())
    }

    /// Every message that was taken, and where it stands.
    pub fn taken(&self) -> Vec<Asked> {
        let fates = self.fates.borrow();
        let taken = fates.iter().filter(|(_, fate)| fate.accepted.is_some());
        let asked = |(id, fate): (&String, &Fate)| Asked {
            id: id.clone(),
            body: fate.message.body.clone(),
            api_key: fate.message.api_key.clone(),
            expected: match (fate.done.is_some(), fate.is_dead()) {
                (true, _) => Expected::Completed,
                (false, true) => Expected::DeadLetter,
                (false, false) => Expected::Queued,
            },
        };
        taken.map(asked).collect()
    }

    /// A client asked for the state of a message while things go on.
    pub fn state_shown(&self, id: &str, asked_at: Ms, status: u16, told: &str) {
        let fates = self.fates.borrow();
        let Some(fate) = fates.get(id).filter(|fate| fate.was_accepted_before(asked_at)) else { return };
        let state = ["completed", "dead_letter"].into_iter().find(|state| told.contains(state));
        let wrong = state.is_some_and(|state| !fate.may_be_called(state));
        if wrong || status == 404 {
            self.broke(format!(
                "STATE: {id}, asked for meanwhile, is told {status} {told}: {:?}",
                fate.begins
            ));
        }
    }

    /// A client asked for the body of a message while things go on.
    pub fn body_shown(&self, id: &str, asked_at: Ms, status: u16, body: &[u8]) {
        let fates = self.fates.borrow();
        let Some(fate) = fates.get(id).filter(|fate| fate.was_accepted_before(asked_at)) else { return };
        if status == 200 && fate.message.body != body {
            let (sent, came) = (fate.message.body.len(), body.len());
            self.broke(format!("MIXED: {sent} bytes of {id} came back as {came} others: {:?}", fate.begins));
        }
        if status == 200 {
            self.bodies.set(self.bodies.get() + 1);
        }
        if status == 404 && fate.done.is_none() {
            self.broke(format!("LOST: the body of {id} is told not to be there: {:?}", fate.begins));
        }
    }

    pub fn counts(&self) -> Counts {
        let fates = self.fates.borrow();
        let count = |which: fn(&Fate) -> bool| fates.values().filter(|fate| which(fate)).count();
        Counts {
            taken: count(|fate| fate.accepted.is_some()),
            refused: count(|fate| fate.refused),
            unclear: count(|fate| fate.accepted.is_none() && !fate.refused),
            dead: count(|fate| fate.accepted.is_some() && fate.done.is_none() && fate.is_dead()),
            bodies: self.bodies.get(),
            runs: self.runs.get(),
            repeats: count(|fate| fate.begins.len() > 1),
        }
    }

    /// The endpoints as one store reaches them.
    pub fn reached_by(self: &Rc<Self>, store: &str) -> Rc<dyn Service> {
        let connections = RefCell::default();
        Rc::new(Reached { endpoints: self.clone(), store: store.to_string(), connections })
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
        if !fate.may_be_called(told["State"].as_str().unwrap_or_default()) {
            self.broke(format!("MIXED: a call-back about {id} says {told}"));
        }
        Ok(answer(200, "", &[]))
    }

    async fn run(
        self: Rc<Self>,
        id: String,
        at: SocketAddr,
        by: String,
        head: String,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<Response, CallError> {
        sleep(Duration::from_millis(1)).await;
        let end = self.begin(&id, at, &by, &head, &body);
        if matches!(end, End::TurnedAway) {
            return Ok(answer(503, &id, &[("x-not-executed", "1")]));
        }
        // The endpoint works on, whatever becomes of the caller.
        let (finished, takes) = (Rc::new(net::wake::Notify::default()), self.takes());
        let (endpoints, ended, ran) = (self.clone(), finished.clone(), id.clone());
        let (status, is_silent) = match end {
            End::Failure => (500, false),
            End::RefusedForGood => (422, false),
            End::Silence => (200, true),
            End::Success | End::TurnedAway => (200, false),
        };
        self.simulation.spawn_in(WORLD, async move {
            sleep(takes).await;
            endpoints.ran(&ran, status);
            ended.notify();
        });
        if is_silent {
            sleep(within).await;
            return Err(CallError::TimedOut);
        }
        timeout(within, finished.notified()).await.map_err(|_| CallError::TimedOut)?;
        if status != 200 {
            return Ok(answer(status, &id, &[]));
        }
        self.read(&id);
        Ok(success(&id))
    }

    /// Runs a request that came over a connection, one after the other there, and sends its answer, now and then twice.
    async fn run_over(self: Rc<Self>, connection: Rc<Connection>, delivery: Delivery) {
        let turn = connection.take_turn().await;
        if !connection.is_open() {
            return turn.end();
        }
        let Delivery { id, at, by, head, body } = delivery;
        let end = self.begin(&id, at, &by, &head, &body);
        if matches!(end, End::TurnedAway) {
            connection.send(answer(503, &id, &[("x-not-executed", "1")]));
            return turn.end();
        }
        sleep(self.takes()).await;
        let answer = match end {
            End::Failure => answer(500, &id, &[]),
            End::RefusedForGood => answer(422, &id, &[]),
            End::Success | End::Silence | End::TurnedAway => success(&id),
        };
        self.ran(&id, answer.status.as_u16());
        if matches!(end, End::Silence) {
            return turn.end();
        }
        let is_repeated = answer.status == 500;
        connection.send(answer.clone());
        turn.end();
        if let Some(after) = self.answers_again_after.get().filter(|_| is_repeated) {
            sleep(Duration::from_millis(after)).await;
            connection.send(answer);
        }
    }
}

/// A request as an endpoint gets it.
struct Delivery {
    id: String,
    at: SocketAddr,
    by: String,
    head: String,
    body: Vec<u8>,
}

fn success(id: &str) -> Response {
    answer(200, id, &[("x-server-signature", "done")])
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
    connections: RefCell<BTreeMap<SimulatedConnection, Rc<Connection>>>,
}

impl Reached {
    /// Sends a request over a connection, and takes the next answer there that names it.
    fn call_over(
        &self,
        connection: SimulatedConnection,
        delivery: Delivery,
        within: Duration,
    ) -> impl std::future::Future<Output = Result<Response, CallError>> {
        let connection = self.connections.borrow_mut().entry(connection).or_default().clone();
        let (endpoints, id) = (self.endpoints.clone(), delivery.id.clone());
        endpoints.simulation.spawn_in(WORLD, endpoints.clone().run_over(connection.clone(), delivery));
        async move {
            let answer = timeout(within, connection.answer_to(&id)).await.map_err(|_| {
                connection.close();
                CallError::TimedOut
            })?;
            if answer.status == 200 {
                endpoints.read(&id);
            }
            Ok(answer)
        }
    }
}

impl Service for Reached {
    fn call(
        &self,
        to: SocketAddr,
        connection: SimulatedConnection,
        request: Vec<u8>,
        within: Duration,
    ) -> Exchange {
        let (head, body) = split_request(&request);
        let text = String::from_utf8_lossy(&request).into_owned();
        if text.starts_with("POST /done ") {
            return Box::pin(self.endpoints.clone().receive(text, within));
        }
        let id = head.lines().find_map(|line| line.strip_prefix("X-Request-Id: ")).unwrap().to_string();
        let by = self.store.clone();
        if self.endpoints.answers_again_after.get().is_some() {
            return Box::pin(self.call_over(connection, Delivery { id, at: to, by, head, body }, within));
        }
        Box::pin(self.endpoints.clone().run(id, to, by, head, body, within))
    }

    fn is_quiet(&self, connection: SimulatedConnection) -> bool {
        self.connections.borrow().get(&connection).is_none_or(|connection| connection.is_quiet())
    }
}

/// The head of a request, and its body.
fn split_request(request: &[u8]) -> (String, Vec<u8>) {
    const BETWEEN: &[u8] = b"\r\n\r\n";
    let at = request.windows(BETWEEN.len()).position(|bytes| bytes == BETWEEN).expect("a head has an end");
    let head = String::from_utf8_lossy(&request[..at]).into_owned();
    (head, request[at + BETWEEN.len()..].to_vec())
}
