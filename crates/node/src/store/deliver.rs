//! The delivery sender of a store: messages that may run go to endpoints that may take them.
use super::endpoints::Call;
use super::Store;
use crate::process::wall_ms;
use net::client::CallError;
use net::http::{encode_request, Response};
use net::repeat::Repeat;
use net::runtime;
use policy::api::Outcome as Told;
use queue::{Entry, Envelope, FinalRecord, Outcome};
use settings::{Configuration, Route};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// How often caps are chosen (the paper's control rate).
const CONTROL: Duration = Duration::from_millis(100);
/// The longest sleep without a reason to wake.
const IDLE: u64 = 1_000;
/// The shortest, in milliseconds.
const SOONEST: u64 = 2;
/// An answer may come so much after the route's time.
const SLACK: Duration = Duration::from_millis(100);
/// Pauses between the attempts of a message.
const FAILED_PAUSE: u64 = 60;
const LONGEST_FAILED_PAUSE: u64 = 500;
const UNKNOWN_PAUSE: u64 = 60;
const NOT_RUN_PAUSE: u64 = 10;
/// What an answer, or its absence, says of the message.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Done(String),
    Never,
    Failed,
    NotRun,
    Moved,
    Unknown,
}

/// Reads an answer to a delivery.
pub fn verdict(id: &str, answer: &Result<Response, CallError>) -> Verdict {
    let response = match answer {
        Ok(response) => response,
        Err(CallError::NotSent) => return Verdict::NotRun,
        Err(_) => return Verdict::Unknown,
    };
    let of = response.header("x-request-id");
    if !of.is_empty() && of != id {
        return Verdict::Unknown;
    }
    let not_run = response.headers.contains_key("x-not-executed");
    let signature = response.header("x-server-signature");
    match response.status.as_u16() {
        421 => Verdict::Moved,
        _ if not_run => Verdict::NotRun,
        200..=299 if !signature.is_empty() => Verdict::Done(signature.to_string()),
        422 => Verdict::Never,
        500 => Verdict::Failed,
        _ => Verdict::Unknown,
    }
}

fn outcome(verdict: &Verdict, answer: &Result<Response, CallError>) -> Told {
    match (verdict, answer) {
        (Verdict::Done(_) | Verdict::Never, _) => Told::Served,
        (Verdict::Failed, _) => Told::ServerError,
        (Verdict::Moved, _) => Told::CalledOff,
        (_, Err(CallError::NotSent)) => Told::NoConnection,
        (Verdict::NotRun, _) => Told::TurnedAway,
        (_, Err(CallError::TimedOut)) => Told::NoAnswer,
        _ => Told::ConnectionLost,
    }
}

/// The slots of an endpoint that tells its load: the last of three numbers, after those of running and waiting requests.
fn slots(answer: &Result<Response, CallError>) -> Option<usize> {
    let told = answer.as_ref().ok()?.header("x-server-load");
    told.split(',').nth(2)?.trim().parse().ok()
}

/// Delivers for good.
pub async fn deliver(store: Rc<Store>) {
    runtime::spawn(choose_caps(store.clone()));
    runtime::spawn(follow(store.clone()));
    loop {
        let next = store.start_due();
        let wait = Duration::from_millis(next.saturating_sub(wall_ms()).clamp(1, IDLE));
        let _ = runtime::timeout(wait, store.work.notified()).await;
    }
}

async fn choose_caps(store: Rc<Store>) {
    loop {
        runtime::sleep(CONTROL).await;
        store.endpoints.borrow_mut().choose_caps(store.clock.ns());
    }
}

/// Takes each new list and configuration; messages whose route was dropped end.
async fn follow(store: Rc<Store>) {
    let mut seen = 0;
    let mut unknown_zones = BTreeSet::new();
    loop {
        let changes = store.known.changes.changed(seen);
        let _ = runtime::timeout(Duration::from_millis(1_000), changes).await;
        if seen != store.known.changes.get() {
            seen = store.known.changes.get();
            let configuration = store.known.configuration();
            let senders = store.known.stores().active().count();
            let (list, topology) = (store.known.endpoints(), &store.settings.topology);
            for endpoint in list.iter().filter(|endpoint| !topology.knows(&endpoint.zone)) {
                if unknown_zones.insert(endpoint.zone.clone()) {
                    log::warn!(
                        "the zone {:?} of endpoint {} is not among Zones of the settings, so it counts as far: add it",
                        endpoint.zone,
                        endpoint.id
                    );
                }
            }
            store.endpoints.borrow_mut().update(&configuration, &list, topology, senders);
        }
        store.end_what_is_over();
        let endpoints = &store.endpoints;
        store.client.sweep(|address| endpoints.borrow().knows(address));
        store.work.notify();
    }
}

impl Store {
    fn end_what_is_over(self: &Rc<Self>) {
        let now = wall_ms();
        let version = self.known.version();
        if version == 0 {
            return;
        }
        let configuration = self.known.configuration();
        let there = |envelope: &Envelope| {
            envelope.config_version > version || configuration.named(&envelope.route).is_some()
        };
        let over = self.queue.borrow().expired_or_unroutable(now, there);
        for id in over {
            log::info!("{id} ends: its route or its time is over");
            self.finish(FinalRecord { id, outcome: Outcome::DeadLetter, at: now });
        }
        // The end may be by the clock of another store.
        let bounds = &self.settings.bounds;
        let told_for = bounds.status_ttl_s.max(bounds.key_window_s);
        let keep = (told_for * 1_000.0) as u64 + bounds.max_skew_ms;
        self.queue.borrow_mut().discard_finished(now.saturating_sub(keep));
    }

    /// Starts all that may run; tells when to look again.
    fn start_due(self: &Rc<Self>) -> u64 {
        let now = wall_ms();
        let mut next = now + IDLE;
        if self.known.version() == 0 || self.paused.get() {
            return next;
        }
        let configuration = self.known.configuration();
        let names: Vec<String> = self.queue.borrow().routes().cloned().collect();
        let mut routes: Vec<&Route> = names.iter().filter_map(|name| configuration.named(name)).collect();
        routes.sort_by_key(|route| route.priority);
        for route in routes {
            next = next.min(self.start_route(&configuration, route, now));
        }
        let due = self.queue.borrow().next_due().unwrap_or(next);
        next.min(due.max(now + SOONEST))
    }

    /// Nothing runs before this store knows that it still owns what it recovered, and nothing whose time is over.
    fn may_run(&self, envelope: &Envelope, now: u64) -> bool {
        let is_bound = envelope.partition_key().is_some();
        let key_may = !is_bound || self.key_may_run(envelope);
        let is_elsewhere = (self.leaving.get() && !is_bound) || self.is_asked_for(&envelope.id);
        let is_here = !is_elsewhere && self.clock.ms() >= self.recovered_until.get();
        let may = key_may && (envelope.ordered || is_here);
        may && self.acts_by_a_view() && now < envelope.expires_at
    }

    fn start_route(self: &Rc<Self>, configuration: &Rc<Configuration>, route: &Route, now: u64) -> u64 {
        let steady = self.clock.ms();
        loop {
            let due = self.queue.borrow_mut().next(&route.name, now, |envelope| self.may_run(envelope, now));
            let Some(id) = due else { return now + IDLE };
            let picked = self.endpoints.borrow().pick(&route.service, &self.location, steady);
            let Some(endpoint) = picked else {
                let next = self.endpoints.borrow().next_try(&route.service, steady);
                return next.map_or(now + IDLE, |at| now + (at - steady));
            };
            let waiting = self.queue.borrow().backlog(&route.name);
            if let Err(wait) = self.spend(configuration, &route.service, waiting, steady) {
                return now + wait;
            }
            self.start_one(configuration, route, &id, endpoint);
        }
    }

    fn start_one(self: &Rc<Self>, configuration: &Rc<Configuration>, route: &Route, id: &str, at: usize) {
        let Some(message) = self.queue.borrow_mut().start(id) else { return };
        let body = match message.verified_body() {
            Ok(body) => body,
            Err(error) => {
                log::error!("disk {:016x}: {error}", self.disk);
                runtime::spawn(self.clone().replace_body(message));
                return;
            }
        };
        let began = self.clock.ns();
        let mut endpoints = self.endpoints.borrow_mut();
        let class = endpoints.class(&route.service, &route.name);
        let (address, instance, level) = endpoints.begin(&route.service, at, class, began);
        let classes = endpoints.deadlines(configuration, &route.service);
        let call = Call { service: route.service.clone(), address, instance, class, classes, level, began };
        let request = request(&message.envelope, body, &call, route.timeout_ms);
        let within = Duration::from_millis(route.timeout_ms) + SLACK;
        self.running.set(self.running.get() + 1);
        runtime::spawn(self.clone().run_one(
            id.to_string(),
            request,
            within,
            call,
            route.max_attempts as u32,
        ));
    }

    async fn run_one(self: Rc<Self>, id: String, request: Vec<u8>, within: Duration, call: Call, most: u32) {
        // It may have run if no answer comes: whether it goes out again is the queue's to decide.
        let answer = self.client.call(call.address, request, within, &id, Repeat::Never).await;
        let verdict = verdict(&id, &answer);
        if !matches!(verdict, Verdict::Done(_)) {
            log::debug!("{id} at {}: {verdict:?}", call.address);
        }
        let clock = (self.clock.ms(), self.clock.ns());
        self.endpoints.borrow_mut().end(&call, outcome(&verdict, &answer), slots(&answer), clock);
        self.running.set(self.running.get() - 1);
        self.conclude(&id, verdict, most);
        self.work.notify();
    }

    fn conclude(self: &Rc<Self>, id: &str, verdict: Verdict, most: u32) {
        let now = wall_ms();
        let end = |outcome| FinalRecord { id: id.to_string(), outcome, at: now };
        let failed = self.queue.borrow().owned(id).map_or(0, |known| known.attempts);
        match verdict {
            Verdict::Done(signature) => self.finish(end(Outcome::Completed { signature })),
            Verdict::Never => self.finish(end(Outcome::DeadLetter)),
            Verdict::Failed if failed + 1 >= most => self.finish(end(Outcome::DeadLetter)),
            Verdict::Failed => {
                let attempts = failed + 1;
                let pause = (FAILED_PAUSE << attempts.min(8)).min(LONGEST_FAILED_PAUSE);
                self.queue.borrow_mut().retry(id, attempts, now + pause);
                let entry = Entry::AttemptFailed { id: id.to_string(), attempts };
                self.log.note(&entry);
                self.tell_copies(id, &entry);
            }
            Verdict::NotRun | Verdict::Moved => {
                self.queue.borrow_mut().retry(id, failed, now + NOT_RUN_PAUSE);
            }
            Verdict::Unknown => self.queue.borrow_mut().retry(id, failed, now + UNKNOWN_PAUSE),
        }
    }

    /// For an operator's tool.
    pub fn backlog(&self) -> BTreeMap<String, usize> {
        let queue = self.queue.borrow();
        let backlog = queue.routes().map(|route| (route.clone(), queue.backlog(route))).collect();
        backlog
    }
}

/// The delivery: the request as it arrived, with this attempt's time and the endpoint that is meant.
fn request(envelope: &Envelope, body: &[u8], call: &Call, timeout_ms: u64) -> Vec<u8> {
    let timeout = timeout_ms.to_string();
    let mut headers =
        vec![("Host", envelope.host.as_str()), ("X-Request-Id", &envelope.id), ("X-Deadline-Ms", &timeout)];
    if let Some(instance) = &call.instance {
        headers.push(("X-Expected-Instance", instance));
    }
    if let Some(tenant) = &envelope.tenant {
        headers.push(("X-Tenant", tenant));
    }
    if let Some(key) = &envelope.key {
        headers.push(("X-Ordering-Key", key));
    }
    if !envelope.content_type.is_empty() {
        headers.push(("Content-Type", &envelope.content_type));
    }
    encode_request(&envelope.method, &envelope.target, &headers, body)
}
