//! The control group as stores and edges see it: one machine that is always there. Who is there and who is lost is
//! decided by the program's own census and state.
use super::endpoints::PUBLIC_ROUTE;
use super::tenants::Tenants;
use super::{ip_of_control, PORT};
use control::{Command, State};
use net::runtime::{sleep, timeout};
use net::wake::Watched;
use node::calls::{Call, Endpoint, EndpointList, News, Seen};
use node::control::census::Census;
use node::packed::pack;
use settings::Tolerance;
use simulation::Simulation;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const HOLD: Duration = Duration::from_millis(1_000);
const EVERY: Duration = Duration::from_millis(100);
const ENDPOINTS: u16 = 4;
/// Services with one endpoint each, which only configurations of a test's own name.
pub const FURTHER_SERVICES: [&str; 3] = ["partners", "proofdesk", "runbook"];

/// A route of a test's own configuration.
#[derive(Clone, Copy, Debug)]
pub struct RouteSpec {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
}

/// The control group.
pub struct Control {
    simulation: Simulation,
    census: RefCell<Census>,
    pub state: RefCell<State>,
    changes: Watched,
    tolerance: Tolerance,
    /// The planted mistake: what was retired may go before its heir has all.
    pub retires_at_once: Cell<bool>,
}

impl Control {
    pub fn new(simulation: &Simulation, tenants: &Tenants, tolerance: Tolerance) -> Rc<Control> {
        let control = Rc::new(Control {
            simulation: simulation.clone(),
            census: RefCell::default(),
            state: RefCell::default(),
            changes: Watched::default(),
            tolerance,
            retires_at_once: Cell::new(false),
        });
        control.configure(Some(tenants.as_json()));
        control
    }

    /// The operator's next configuration, with these tenants; without any, no request needs a key.
    pub fn configure(&self, tenants: Option<serde_json::Value>) {
        let base = self.state.borrow().version;
        self.change(Command::Configure { base, body: configuration(base + 1, tenants) });
    }

    /// The operator's next configuration, with these routes and without tenants.
    pub fn configure_routes(&self, routes: &[RouteSpec]) {
        let base = self.state.borrow().version;
        self.change(Command::Configure { base, body: configuration_of(base + 1, routes) });
    }

    /// Carries out a command, if it changes anything.
    pub fn change(&self, command: Command) {
        let Ok(events) = self.state.borrow().decide(&command) else { return };
        for event in &events {
            self.state.borrow_mut().apply(event);
        }
        if !events.is_empty() {
            self.changes.raise();
        }
    }

    /// Asks for a store to be emptied.
    pub fn retire(&self, name: &str) {
        self.change(Command::Retire { name: name.to_string(), tolerance: self.tolerance });
    }

    /// Follows who is there, for good.
    pub async fn keep(self: Rc<Self>) {
        loop {
            sleep(EVERY).await;
            let stores = self.state.borrow().stores.clone();
            let wanted = self.census.borrow_mut().wanted(&stores, self.simulation.ms(), self.tolerance);
            wanted.into_iter().for_each(|command| self.change(command));
            if self.retires_at_once.get() {
                let gone = stores.stores.iter().filter(|s| s.retiring && s.declared_lost && !s.emptied);
                gone.for_each(|store| self.change(Command::Retired(store.disk)));
            }
        }
    }

    /// Answers a member.
    pub async fn answer(self: Rc<Self>, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(Call::Watch(hello, seen)) = borsh::from_slice::<Call>(&bytes) else { return Vec::new() };
        self.census.borrow_mut().heard(&hello, seen, self.simulation.ms());
        let before = self.changes.get();
        if !self.has_news(seen) {
            let _ = timeout(HOLD, self.changes.changed(before)).await;
        }
        borsh::to_vec(&self.news(seen)).unwrap()
    }

    fn has_news(&self, seen: Seen) -> bool {
        let state = self.state.borrow();
        state.version > seen.version || state.stores.epoch > seen.stores || seen.list < (1, 1)
    }

    fn news(&self, seen: Seen) -> News {
        let state = self.state.borrow();
        News {
            leads: true,
            epoch: 1,
            primary: Some(ip_of_control()),
            group: vec![ip_of_control()],
            configuration: (state.version > seen.version).then(|| (state.version, pack(&state.body))),
            stores: (state.stores.epoch > seen.stores).then(|| state.stores.clone()),
            list: (seen.list < (1, 1)).then(|| EndpointList::pack((1, 1), &endpoints())),
        }
    }
}

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |(i, service): (usize, &str)| Endpoint {
        id: format!("i-{i}"),
        service: service.to_string(),
        address: format!("10.0.9.{}:{PORT}", i + 1),
        zone: "z".to_string(),
        capacity: 40,
        draining: false,
    };
    let services = std::iter::repeat_n("work", usize::from(ENDPOINTS)).chain(FURTHER_SERVICES);
    services.enumerate().map(endpoint).collect()
}

/// The service whose endpoint has an address.
pub fn service_at(address: SocketAddr) -> String {
    let at = address.to_string();
    let endpoint = endpoints().into_iter().find(|endpoint| endpoint.address == at);
    endpoint.expect("the address is listed").service
}

fn configuration_of(version: u64, routes: &[RouteSpec]) -> Vec<u8> {
    let route = |spec: &RouteSpec| {
        serde_json::json!({"Name": spec.name, "Host": "h", "PathPrefix": spec.prefix, "TimeoutMs": 1500,
            "Backend": spec.service, "MaxAttempts": super::MAX_ATTEMPTS, "RetentionS": 600.0})
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services = FURTHER_SERVICES.map(|name| serde_json::json!({"Name": name, "MaxConnections": 400}));
    serde_json::json!({"Version": version, "Routes": routes, "Backends": services}).to_string().into_bytes()
}

fn configuration(version: u64, tenants: Option<serde_json::Value>) -> Vec<u8> {
    let route = |name: &str, ordered: bool| {
        serde_json::json!({"Name": name, "Host": "h", "PathPrefix": format!("/{name}/"), "Type": "async",
            "TimeoutMs": 1500, "TargetLatencyMs": 100, "TargetStartMs": 1000, "Priority": 1, "Backend": "work",
            "MaxAttempts": super::MAX_ATTEMPTS, "Ordered": ordered, "RetentionS": 600.0, "CallbackUrl": !ordered,
            "Public": name == PUBLIC_ROUTE})
    };
    let routes = [
        route("free", false),
        route("ordered", true),
        route("ordered-too", true),
        route(PUBLIC_ROUTE, false),
    ];
    let service = serde_json::json!({"Name": "work", "HealthPath": "/health", "MaxConnections": 400, "Idempotent": false});
    serde_json::json!({"Version": version, "Routes": routes, "Backends": [service], "Tenants": tenants})
        .to_string()
        .into_bytes()
}
