//! The endpoints of a delivery sender: what each may have in flight, and which are in doubt.
use crate::calls;
use policy::admission::{Admission, ClassDeadline};
use policy::api::Outcome;
use settings::{Configuration, Distance, Location, Service, Topology};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Slots of an endpoint that hasn't told them yet.
const UNTOLD_SLOTS: usize = 16;
const MS: i64 = 1_000_000;
/// First and longest pause of an endpoint that failed.
const DOUBT_MS: (u64, u64) = (50, 400);
/// An endpoint that turned a message away as full gets none for so long.
const FULL_MS: u64 = 40;
/// One that isn't who it was.
const MOVED_MS: u64 = 2_000;

/// One endpoint.
pub struct Endpoint {
    pub address: SocketAddr,
    /// Its incarnation, where it is on a list.
    pub id: Option<String>,
    /// Where it stands, if it is on a list: others are outside, as near as any.
    location: Option<Location>,
    pub in_flight: usize,
    /// Calls that it accepts from this sender at the most.
    connections: usize,
    admission: Admission,
    /// Gets nothing new: draining, or gone from the list.
    leaving: bool,
    failures: u32,
    avoid_until: u64,
}

impl Endpoint {
    fn may_take(&self, now: u64) -> bool {
        let most = if self.failures > 0 { 1 } else { self.admission.cap().min(self.connections) };
        !self.leaving && now >= self.avoid_until && self.in_flight < most
    }

    fn distance(&self, from: &Location) -> Distance {
        self.location.as_ref().map_or(Distance::SameZone, |location| from.distance(location))
    }

    fn room(&self) -> f64 {
        self.in_flight as f64 / self.admission.slots().max(1) as f64
    }
}

/// All endpoints of a sender, by service.
#[derive(Default)]
pub struct Endpoints {
    services: BTreeMap<String, Vec<Endpoint>>,
    /// Names of the routes of a service: its classes.
    classes: BTreeMap<String, Vec<String>>,
}

impl Endpoints {
    /// Takes a new list and a new configuration; what was learned of endpoints that stay is kept.
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
            let deadline = |ms: u64| ClassDeadline { deadline: ms as i64 * MS };
            let classes: Vec<_> = routes.iter().map(|route| deadline(route.timeout_ms)).collect();
            self.classes
                .insert(service.name.clone(), routes.iter().map(|route| route.name.clone()).collect());
            let old = before.remove(&service.name).unwrap_or_default();
            let endpoints = wanted(service, list, topology, old, &classes, senders);
            self.services.insert(service.name.clone(), endpoints);
        }
    }

    /// The number of a route's class at its service.
    pub fn class(&self, service: &str, route: &str) -> usize {
        let classes = self.classes.get(service);
        classes.and_then(|classes| classes.iter().position(|name| name == route)).unwrap_or(usize::MAX)
    }

    /// An endpoint of the service that may take a message: the nearest to `from`, of these the one with most room.
    pub fn pick(&self, service: &str, from: &Location, now: u64) -> Option<usize> {
        let endpoints = self.services.get(service)?;
        let free = endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.may_take(now));
        let order = |e: &Endpoint| (e.distance(from), e.room());
        let best = free.min_by(|(_, a), (_, b)| {
            let (a, b) = (order(a), order(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        best.map(|(i, _)| i)
    }

    /// A call begins: the endpoint's address, its incarnation, and the level at which it is.
    pub fn begin(
        &mut self,
        service: &str,
        at: usize,
        class: usize,
        now: i64,
    ) -> (SocketAddr, Option<String>, usize) {
        let endpoint = &mut self.services.get_mut(service).expect("was picked")[at];
        endpoint.in_flight += 1;
        endpoint.admission.record_arrival(class, now);
        (endpoint.address, endpoint.id.clone(), endpoint.in_flight)
    }

    /// A call has ended; the endpoint may have told how many slots it has.
    pub fn end(&mut self, call: &Call, outcome: Outcome, slots: Option<usize>, clock: (u64, i64)) {
        let Some(endpoint) = self.find(call) else { return };
        let (now, ns) = clock;
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.admission.record_end(outcome, ns - call.began, call.class, call.level, ns);
        if let Some(slots) = slots.filter(|slots| *slots > 0 && *slots != endpoint.admission.slots()) {
            endpoint.admission.reconfigure(slots, &call.classes);
        }
        match outcome {
            Outcome::Served | Outcome::ServerError => endpoint.failures = 0,
            Outcome::TurnedAway => endpoint.avoid_until = now + FULL_MS,
            Outcome::CalledOff => endpoint.avoid_until = now + MOVED_MS,
            _ => {
                endpoint.failures += 1;
                let pause = DOUBT_MS.0 << endpoint.failures.min(4);
                endpoint.avoid_until = now + pause.min(DOUBT_MS.1);
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
        routes.map(|route| ClassDeadline { deadline: route.timeout_ms as i64 * MS }).collect()
    }

    /// Chooses all caps anew.
    pub fn choose_caps(&mut self, now: i64) {
        let endpoints = self.services.values_mut().flatten();
        endpoints
            .filter(|endpoint| endpoint.in_flight > 0)
            .for_each(|endpoint| endpoint.admission.update_cap(now));
    }

    /// When the next endpoint of a service that is avoided may be tried.
    pub fn next_try(&self, service: &str, now: u64) -> Option<u64> {
        let endpoints = self.services.get(service)?;
        endpoints.iter().filter(|e| !e.leaving && e.avoid_until > now).map(|e| e.avoid_until).min()
    }

    /// Whether any endpoint is at this address.
    pub fn knows(&self, address: &SocketAddr) -> bool {
        self.services.values().flatten().any(|endpoint| endpoint.address == *address)
    }

    /// How far an endpoint at this address is, if it is on the list.
    pub fn distance_of(&self, ip: IpAddr, from: &Location) -> Option<Distance> {
        let mut all = self.services.values().flatten();
        let endpoint = all.find(|endpoint| endpoint.address.ip() == ip);
        endpoint.and_then(|endpoint| endpoint.location.as_ref()).map(|location| from.distance(location))
    }

    /// For an operator's tool: address, cap, in flight, failures.
    pub fn show(&self) -> Vec<serde_json::Value> {
        let show = |(service, e): (&String, &Endpoint)| {
            serde_json::json!({
                "service": service, "address": e.address.to_string(), "slots": e.admission.slots(),
                "cap": e.admission.cap(), "in_flight": e.in_flight, "failures": e.failures, "leaving": e.leaving,
            })
        };
        self.services.iter().flat_map(|(name, list)| list.iter().map(move |e| (name, e))).map(show).collect()
    }
}

/// A call that is under way.
pub struct Call {
    pub service: String,
    pub address: SocketAddr,
    pub instance: Option<String>,
    pub class: usize,
    pub classes: Vec<ClassDeadline>,
    pub level: usize,
    /// On the steady clock, in nanoseconds.
    pub began: i64,
}

fn wanted(
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
                   leaving: bool| {
        let known = old.iter().position(|e| e.address == address && e.id == id).map(|i| old.swap_remove(i));
        let mut endpoint = known.unwrap_or_else(|| Endpoint {
            address,
            id,
            location,
            in_flight: 0,
            connections,
            admission: Admission::new(slots.unwrap_or(UNTOLD_SLOTS), classes),
            leaving,
            failures: 0,
            avoid_until: 0,
        });
        let slots = slots.unwrap_or(endpoint.admission.slots());
        endpoint.admission.reconfigure(slots, classes);
        (endpoint.leaving, endpoint.connections) = (leaving, connections);
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
    // Those that are gone stay until their calls have ended.
    for mut gone in old.into_iter().filter(|endpoint| endpoint.in_flight > 0) {
        gone.leaving = true;
        endpoints.push(gone);
    }
    endpoints
}
