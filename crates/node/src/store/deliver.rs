//! Delivery of a store's messages to endpoints.
use super::endpoints::Call;
use super::Store;
use crate::process::wall_ms;
use net::client::{CallError, Identity};
use net::http::{encode_request, Response};
use net::repeat::Repeat;
use net::runtime;
use policy::api::Outcome as PolicyOutcome;
use queue::{Entry, Envelope, FinalRecord, Outcome};
use settings::{Configuration, Route, RouteKey};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the concurrency limits of endpoints are updated. The QoSmax paper, which describes the
/// method, calls it the control rate.
const CAP_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two passes over the routes.
const MAX_IDLE_MS: u64 = 1_000;
/// Shortest time between two passes over the routes.
const MIN_WAIT_MS: u64 = 2;
/// Time after the route's timeout during which an answer is still accepted.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Base and longest delay before the next attempt after failures; the base doubles with each failure.
const FAILED_RETRY_MS: u64 = 60;
const MAX_FAILED_RETRY_MS: u64 = 500;
/// Delay before the next attempt when it isn't known whether the message was executed.
const UNKNOWN_RESULT_RETRY_MS: u64 = 60;
/// Delay before the next attempt after a delivery that was not executed.
const NOT_EXECUTED_RETRY_MS: u64 = 10;

/// What the answer to a delivery, or its absence, means for the message.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Executed, with this server signature.
    Completed(String),
    /// Rejected for good: the message becomes a dead letter.
    Rejected,
    /// Executed and failed: counts as an attempt.
    Failed,
    /// Not executed: the message is sent again soon.
    NotExecuted,
    /// Another instance answers at this address.
    WrongInstance,
    /// It isn't known whether the message was executed.
    Unknown,
}

/// Interprets the answer to a delivery, or its absence.
pub fn verdict(id: &str, answer: &Result<Response, CallError>) -> Verdict {
    match answer {
        Ok(response) if is_of_another(id, response) => Verdict::Unknown,
        Ok(response) => verdict_of(response),
        Err(CallError::NotSent) => Verdict::NotExecuted,
        Err(_) => Verdict::Unknown,
    }
}

fn is_of_another(id: &str, response: &Response) -> bool {
    let answered_id = response.header("x-request-id");
    !answered_id.is_empty() && answered_id != id
}

/// Interprets an answer that belongs to the message.
fn verdict_of(response: &Response) -> Verdict {
    let not_executed = response.headers.contains_key("x-not-executed");
    let signature = response.header("x-server-signature");
    match response.status.as_u16() {
        421 => Verdict::WrongInstance,
        _ if not_executed => Verdict::NotExecuted,
        200..=299 if !signature.is_empty() => Verdict::Completed(signature.to_string()),
        422 => Verdict::Rejected,
        500 => Verdict::Failed,
        _ => Verdict::Unknown,
    }
}

/// Whether the message isn't sent again after this answer.
fn ends_message(response: &Response) -> bool {
    matches!(verdict_of(response), Verdict::Completed(_) | Verdict::Rejected)
}

fn policy_outcome(verdict: &Verdict, answer: &Result<Response, CallError>) -> PolicyOutcome {
    match (verdict, answer) {
        (Verdict::Completed(_) | Verdict::Rejected, _) => PolicyOutcome::Served,
        (Verdict::Failed, _) => PolicyOutcome::ServerError,
        (Verdict::WrongInstance, _) => PolicyOutcome::CalledOff,
        (_, Err(CallError::NotSent)) => PolicyOutcome::NoConnection,
        (Verdict::NotExecuted, _) => PolicyOutcome::TurnedAway,
        (_, Err(CallError::TimedOut)) => PolicyOutcome::NoAnswer,
        _ => PolicyOutcome::ConnectionLost,
    }
}

/// Slots of an endpoint that reports its load in the header `X-Server-Load`, as three numbers separated by
/// commas: running requests, waiting requests, slots.
fn slots(answer: &Result<Response, CallError>) -> Option<usize> {
    let load = answer.as_ref().ok()?.header("x-server-load");
    load.split(',').nth(2)?.trim().parse().ok()
}

/// Runs deliveries until the process ends.
pub async fn deliver(store: Rc<Store>) {
    runtime::spawn(choose_caps(store.clone()));
    runtime::spawn(follow_configuration(store.clone()));
    loop {
        let next = store.start_due();
        let wait = Duration::from_millis(next.saturating_sub(wall_ms()).clamp(1, MAX_IDLE_MS));
        let _ = runtime::timeout(wait, store.delivery_wake.notified()).await;
    }
}

async fn choose_caps(store: Rc<Store>) {
    loop {
        runtime::sleep(CAP_UPDATE_INTERVAL).await;
        store.endpoints.borrow_mut().choose_caps(store.clock.ns());
    }
}

/// Applies each new list of endpoints and configuration, and finishes messages whose route was removed.
async fn follow_configuration(store: Rc<Store>) {
    let mut seen = 0;
    let mut applied = 0;
    let mut unknown_zones = BTreeSet::new();
    loop {
        let changes = store.cluster.changes.changed(seen);
        let _ = runtime::timeout(Duration::from_millis(1_000), changes).await;
        if seen != store.cluster.changes.get() {
            seen = store.cluster.changes.get();
            let configuration = store.cluster.configuration();
            let senders = store.cluster.stores().active().count();
            let (list, topology) = (store.cluster.endpoints(), &store.settings.topology);
            for endpoint in list.iter().filter(|endpoint| !topology.knows(&endpoint.zone)) {
                if unknown_zones.insert(endpoint.zone.clone()) {
                    log::warn!(
                        "zone {:?} of endpoint {} is not in the setting Zones and counts as distant; add it",
                        endpoint.zone,
                        endpoint.id
                    );
                }
            }
            store.endpoints.borrow_mut().update(&configuration, &list, topology, senders);
            if configuration.version > applied {
                applied = configuration.version;
                store.queue.borrow_mut().apply_configuration(&configuration);
            }
        }
        store.finish_expired();
        let endpoints = &store.endpoints;
        store.client.sweep(|address| endpoints.borrow().contains_address(address));
        store.delivery_wake.notify();
    }
}

impl Store {
    fn finish_expired(self: &Rc<Self>) {
        let now = wall_ms();
        if self.cluster.version() == 0 {
            return;
        }
        let expired = self.queue.borrow().expired_or_unroutable(now);
        for id in expired {
            log::info!("{id} becomes a dead letter: its route was removed or it has expired");
            self.finish(FinalRecord { id, outcome: Outcome::DeadLetter, at: now });
        }
        // The time in a final record may come from the clock of another store.
        let bounds = &self.settings.bounds;
        let retention_s = bounds.status_ttl_s.max(bounds.key_window_s);
        let retention_ms = (retention_s * 1_000.0) as u64 + bounds.max_skew_ms;
        self.queue.borrow_mut().discard_finished(now.saturating_sub(retention_ms));
    }

    /// Starts all deliveries that are due; returns the wall-clock time of the next pass.
    fn start_due(self: &Rc<Self>) -> u64 {
        let now = wall_ms();
        let mut next = now + MAX_IDLE_MS;
        if self.cluster.version() == 0 || self.paused.get() {
            return next;
        }
        let configuration = self.cluster.configuration();
        let keys: Vec<Rc<RouteKey>> = self.queue.borrow().routes().cloned().collect();
        let mut routes: Vec<(Rc<RouteKey>, &Route)> = keys
            .into_iter()
            .filter_map(|key| configuration.route_with_key(&key).map(|route| (key, route)))
            .collect();
        routes.sort_by_key(|(_, route)| route.priority);
        for (key, route) in routes {
            next = next.min(self.start_route(&configuration, &key, route, now));
        }
        let due = self.queue.borrow().next_due().unwrap_or(next);
        next.min(due.max(now + MIN_WAIT_MS))
    }

    /// Whether a message may be delivered now. It is held back while another store may own it, and isn't
    /// delivered after its expiry.
    fn may_run(&self, envelope: &Envelope, now: u64) -> bool {
        let is_bound = envelope.partition_key().is_some();
        let key_allows = !is_bound || self.key_allows_delivery(envelope);
        let is_withheld = (self.draining.get() && !is_bound) || self.has_relinquish_request(&envelope.id);
        let is_released = !is_withheld && self.clock.ms() >= self.recovery_hold_until_ms.get();
        let may = key_allows && (envelope.ordered || is_released);
        may && self.has_applied_view() && now < envelope.expires_at
    }

    fn start_route(
        self: &Rc<Self>,
        configuration: &Rc<Configuration>,
        key: &RouteKey,
        route: &Route,
        now: u64,
    ) -> u64 {
        let steady_now = self.clock.ms();
        loop {
            let due = self.queue.borrow_mut().next(key, now, |envelope| self.may_run(envelope, now));
            let Some(id) = due else { return now + MAX_IDLE_MS };
            let picked = self.endpoints.borrow().pick(&route.service, &self.location, steady_now);
            let Some(endpoint) = picked else {
                let next = self.endpoints.borrow().next_try(&route.service, steady_now);
                return next.map_or(now + MAX_IDLE_MS, |at| now + (at - steady_now));
            };
            let waiting = self.queue.borrow().backlog(key);
            if let Err(wait) = self.take_permit(configuration, &route.service, waiting, steady_now) {
                return now + wait;
            }
            self.start_delivery(configuration, route, &id, endpoint);
        }
    }

    fn start_delivery(
        self: &Rc<Self>,
        configuration: &Rc<Configuration>,
        route: &Route,
        id: &str,
        endpoint_index: usize,
    ) {
        let Some(message) = self.queue.borrow_mut().start(id) else { return };
        let body = match message.verified_body() {
            Ok(body) => body,
            Err(error) => {
                log::error!("disk {:016x}: {error}", self.disk);
                runtime::spawn(self.clone().replace_body(message));
                return;
            }
        };
        let started_at_ns = self.clock.ns();
        let mut endpoints = self.endpoints.borrow_mut();
        let class = endpoints.class(route);
        let (address, instance, concurrency) =
            endpoints.begin(&route.service, endpoint_index, class, started_at_ns);
        let classes = endpoints.deadlines(configuration, &route.service);
        let call = Call {
            service: route.service.clone(),
            address,
            instance,
            class,
            classes,
            concurrency,
            started_at_ns,
        };
        let request = request(&message.envelope, body, &call, route.timeout_ms);
        let timeout = Duration::from_millis(route.timeout_ms) + ANSWER_GRACE;
        self.running_deliveries.set(self.running_deliveries.get() + 1);
        runtime::spawn(self.clone().run_delivery(
            id.to_string(),
            request,
            timeout,
            call,
            route.max_attempts as u32,
        ));
    }

    async fn run_delivery(
        self: Rc<Self>,
        id: String,
        request: Vec<u8>,
        timeout: Duration,
        call: Call,
        max_attempts: u32,
    ) {
        // Without an answer the request may have been executed; the queue decides whether to send it again.
        let identity = Identity::until(&id, ends_message);
        let answer = self.client.call(call.address, request, timeout, identity, Repeat::Never).await;
        let verdict = verdict(&id, &answer);
        if !matches!(verdict, Verdict::Completed(_)) {
            log::debug!("{id} at {}: {verdict:?}", call.address);
        }
        let clock = (self.clock.ms(), self.clock.ns());
        self.endpoints.borrow_mut().end(&call, policy_outcome(&verdict, &answer), slots(&answer), clock);
        self.running_deliveries.set(self.running_deliveries.get() - 1);
        self.conclude(&id, verdict, max_attempts);
        self.delivery_wake.notify();
    }

    fn conclude(self: &Rc<Self>, id: &str, verdict: Verdict, max_attempts: u32) {
        let now = wall_ms();
        let end = |outcome| FinalRecord { id: id.to_string(), outcome, at: now };
        let failed = self.queue.borrow().owned(id).map_or(0, |known| known.attempts);
        match verdict {
            Verdict::Completed(signature) => self.finish(end(Outcome::Completed { signature })),
            Verdict::Rejected => self.finish(end(Outcome::DeadLetter)),
            Verdict::Failed if failed + 1 >= max_attempts => self.finish(end(Outcome::DeadLetter)),
            Verdict::Failed => {
                let attempts = failed + 1;
                let delay = (FAILED_RETRY_MS << attempts.min(8)).min(MAX_FAILED_RETRY_MS);
                self.queue.borrow_mut().retry(id, attempts, now + delay);
                let entry = Entry::AttemptFailed { id: id.to_string(), attempts };
                self.log.write_later(&entry);
                self.send_to_holders(id, &entry);
            }
            Verdict::NotExecuted | Verdict::WrongInstance => {
                self.queue.borrow_mut().retry(id, failed, now + NOT_EXECUTED_RETRY_MS);
            }
            Verdict::Unknown => self.queue.borrow_mut().retry(id, failed, now + UNKNOWN_RESULT_RETRY_MS),
        }
    }

    /// Number of waiting messages by host and path prefix of their route, for the status.
    pub fn backlog(&self) -> BTreeMap<String, usize> {
        let queue = self.queue.borrow();
        let backlog = queue.routes().map(|route| (route.to_string(), queue.backlog(route))).collect();
        backlog
    }
}

/// Builds the delivery request: the original request with this attempt's timeout and the expected instance.
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
