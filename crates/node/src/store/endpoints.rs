//! Endpoints of the delivery: concurrency limits, backoff after failures, and choice of the next endpoint.
use crate::calls;
use policy::admission::{Admission, ClassDeadline};
use policy::api::Outcome;
use settings::{Configuration, Distance, Location, Route, RouteKey, Service, Topology};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Assumed slots of an endpoint that hasn't reported any.
const DEFAULT_SLOTS: usize = 16;
const NANOS_PER_MS: i64 = 1_000_000;
/// Base and longest backoff after failures; the base doubles with each failure in a row.
const FAILURE_BACKOFF_MS: (u64, u64) = (50, 400);
/// Backoff after an endpoint rejected a message because it is full.
const FULL_BACKOFF_MS: u64 = 40;
/// Backoff after an address turned out to be another instance.
const MOVED_BACKOFF_MS: u64 = 2_000;

/// One endpoint.
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Id of the instance, if it is on the platform's list.
    pub id: Option<String>,
    /// Location, if it is on the list; other endpoints count as being in the same zone.
    location: Option<Location>,
    /// Calls in progress.
    pub in_flight: usize,
    /// Concurrent calls that it accepts from this sender.
    connections: usize,
    admission: Admission,
    /// Gets no new calls: it is draining or was removed from the list.
    draining: bool,
    failures: u32,
    avoid_until: u64,
}

impl Endpoint {
    fn has_capacity(&self, now: u64) -> bool {
        let limit = if self.failures > 0 { 1 } else { self.admission.cap().min(self.connections) };
        !self.draining && now >= self.avoid_until && self.in_flight < limit
    }

    fn distance(&self, from: &Location) -> Distance {
        self.location.as_ref().map_or(Distance::SameZone, |location| from.distance(location))
    }

    fn load(&self) -> f64 {
        self.in_flight as f64 / self.admission.slots().max(1) as f64
    }
}

/// All endpoints of a sender, by service.
#[derive(Default)]
pub struct Endpoints {
    services: BTreeMap<String, Vec<Endpoint>>,
    /// A service's routes; each route is a class.
    classes: BTreeMap<String, Vec<RouteKey>>,
}

impl Endpoints {
    /// Applies a new list and configuration; keeps the state of endpoints that remain.
    pub fn update(
        &mut self,
        configuration: &Configuration,
        list: &[calls::Endpoint],
        topology: &Topology,
        senders: usize,
    ) {
        let mut before = std::mem::take(&mut self.services);
        self.classes.clear();
        for service in &configuration.services {
            let routes = configuration.routes.iter().filter(|route| route.service == service.name);
            let routes: Vec<_> = routes.collect();
            let deadline = |ms: u64| ClassDeadline { deadline: ms as i64 * NANOS_PER_MS };
            let classes: Vec<_> = routes.iter().map(|route| deadline(route.timeout_ms)).collect();
            self.classes.insert(service.name.clone(), routes.iter().map(|route| route.key()).collect());
            let old = before.remove(&service.name).unwrap_or_default();
            let endpoints = build_endpoints(service, list, topology, old, &classes, senders);
            self.services.insert(service.name.clone(), endpoints);
        }
    }

    /// Index of a route in its service's list of routes, which is its class; `usize::MAX` if it isn't listed.
    pub fn class(&self, route: &Route) -> usize {
        let classes = self.classes.get(&route.service);
        let index = classes.and_then(|classes| classes.iter().position(|key| key.identifies(route)));
        index.unwrap_or(usize::MAX)
    }

    /// Index of the endpoint that gets the next message: the nearest to `from` that has capacity, and of
    /// equally near ones the least loaded.
    pub fn pick(&self, service: &str, from: &Location, now: u64) -> Option<usize> {
        let endpoints = self.services.get(service)?;
        let free = endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.has_capacity(now));
        let order = |e: &Endpoint| (e.distance(from), e.load());
        let best = free.min_by(|(_, a), (_, b)| {
            let (a, b) = (order(a), order(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        best.map(|(i, _)| i)
    }

    /// Records the start of a call; returns the endpoint's address, its instance id, and the number of its
    /// calls in flight.
    pub fn begin(
        &mut self,
        service: &str,
        index: usize,
        class: usize,
        now: i64,
    ) -> (SocketAddr, Option<String>, usize) {
        let endpoint = &mut self.services.get_mut(service).expect("was picked")[index];
        endpoint.in_flight += 1;
        endpoint.admission.record_arrival(class, now);
        (endpoint.address, endpoint.id.clone(), endpoint.in_flight)
    }

    /// Records the end of a call; `slots` is what the endpoint reported, if anything.
    pub fn end(&mut self, call: &Call, outcome: Outcome, slots: Option<usize>, clock: (u64, i64)) {
        let Some(endpoint) = self.find(call) else { return };
        let (now, ns) = clock;
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.admission.record_end(outcome, ns - call.started_at_ns, call.class, call.concurrency, ns);
        if let Some(slots) = slots.filter(|slots| *slots > 0 && *slots != endpoint.admission.slots()) {
            endpoint.admission.reconfigure(slots, &call.classes);
        }
        match outcome {
            Outcome::Served | Outcome::ServerError => endpoint.failures = 0,
            Outcome::TurnedAway => endpoint.avoid_until = now + FULL_BACKOFF_MS,
            Outcome::CalledOff => endpoint.avoid_until = now + MOVED_BACKOFF_MS,
            _ => {
                endpoint.failures += 1;
                let pause = FAILURE_BACKOFF_MS.0 << endpoint.failures.min(4);
                endpoint.avoid_until = now + pause.min(FAILURE_BACKOFF_MS.1);
            }
        }
    }

    fn find(&mut self, call: &Call) -> Option<&mut Endpoint> {
        let endpoints = self.services.get_mut(&call.service)?;
        endpoints.iter_mut().find(|e| e.address == call.address && e.id == call.instance)
    }

    /// The deadlines of a service's classes.
    pub fn deadlines(&self, configuration: &Configuration, service: &str) -> Vec<ClassDeadline> {
        let routes = configuration.routes.iter().filter(|route| route.service == service);
        routes.map(|route| ClassDeadline { deadline: route.timeout_ms as i64 * NANOS_PER_MS }).collect()
    }

    /// Recomputes the concurrency limits of all endpoints.
    pub fn choose_caps(&mut self, now: i64) {
        let endpoints = self.services.values_mut().flatten();
        endpoints
            .filter(|endpoint| endpoint.in_flight > 0)
            .for_each(|endpoint| endpoint.admission.update_cap(now));
    }

    /// When the backoff of a service's next endpoint ends.
    pub fn next_try(&self, service: &str, now: u64) -> Option<u64> {
        let endpoints = self.services.get(service)?;
        endpoints.iter().filter(|e| !e.draining && e.avoid_until > now).map(|e| e.avoid_until).min()
    }

    /// Whether any endpoint has this address.
    pub fn contains_address(&self, address: &SocketAddr) -> bool {
        self.services.values().flatten().any(|endpoint| endpoint.address == *address)
    }

    /// Distance to the endpoint with this address, if it is on the list.
    pub fn distance_of(&self, ip: IpAddr, from: &Location) -> Option<Distance> {
        let mut all = self.services.values().flatten();
        let endpoint = all.find(|endpoint| endpoint.address.ip() == ip);
        endpoint.and_then(|endpoint| endpoint.location.as_ref()).map(|location| from.distance(location))
    }

    /// State of all endpoints for the status.
    pub fn status_json(&self) -> Vec<serde_json::Value> {
        let to_json = |(service, e): (&String, &Endpoint)| {
            serde_json::json!({
                "service": service, "address": e.address.to_string(), "slots": e.admission.slots(),
                "cap": e.admission.cap(), "in_flight": e.in_flight, "failures": e.failures, "leaving": e.draining,
            })
        };
        self.services
            .iter()
            .flat_map(|(name, list)| list.iter().map(move |e| (name, e)))
            .map(to_json)
            .collect()
    }
}

/// A call in progress.
pub struct Call {
    /// Name of the service.
    pub service: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Expected instance at the address, if known.
    pub instance: Option<String>,
    /// Class of the route.
    pub class: usize,
    /// Deadlines of the service's classes.
    pub classes: Vec<ClassDeadline>,
    /// Calls in flight at the endpoint when this one started, including it.
    pub concurrency: usize,
    /// Start of the call on the monotonic clock.
    pub started_at_ns: i64,
}

fn build_endpoints(
    service: &Service,
    list: &[calls::Endpoint],
    topology: &Topology,
    mut old: Vec<Endpoint>,
    classes: &[ClassDeadline],
    senders: usize,
) -> Vec<Endpoint> {
    let connections = (service.max_connections as usize / senders.max(1)).max(1);
    let mut endpoints = Vec::new();
    let mut add = |address: SocketAddr,
                   id: Option<String>,
                   location: Option<Location>,
                   slots: Option<usize>,
                   draining: bool| {
        let known = old.iter().position(|e| e.address == address && e.id == id).map(|i| old.swap_remove(i));
        let mut endpoint = known.unwrap_or_else(|| Endpoint {
            address,
            id,
            location,
            in_flight: 0,
            connections,
            admission: Admission::new(slots.unwrap_or(DEFAULT_SLOTS), classes),
            draining,
            failures: 0,
            avoid_until: 0,
        });
        let slots = slots.unwrap_or(endpoint.admission.slots());
        endpoint.admission.reconfigure(slots, classes);
        (endpoint.draining, endpoint.connections) = (draining, connections);
        endpoints.push(endpoint);
    };
    if let Some(address) = service.pinned.as_ref().and_then(|address| address.parse().ok()) {
        add(address, None, None, None, false);
    }
    for entry in list.iter().filter(|entry| entry.service == service.name) {
        if let Ok(address) = entry.address.parse() {
            let slots = Some(entry.capacity.max(1) as usize);
            let location = Some(topology.locate(&entry.zone));
            add(address, Some(entry.id.clone()), location, slots, entry.draining);
        }
    }
    // Removed endpoints stay until their calls have ended.
    for mut gone in old.into_iter().filter(|endpoint| endpoint.in_flight > 0) {
        gone.draining = true;
        endpoints.push(gone);
    }
    endpoints
}
