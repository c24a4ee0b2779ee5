//! The configuration that the operator sends: routes, services, limits and tenants.
use crate::declare::{above_zero, any, not_empty, not_negative, Faults, Readable};
use crate::routing::{Destination, RouteKey};
use crate::tenants::{check_tenants, Tenant};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

crate::declare! {
    /// Which messages go to which service, and by what rules.
    #[derive(Clone, Debug, Default, PartialEq)]
    pub struct Route {
        "Name" name: String = [], not_empty;
        "Host" host: String = [], not_empty;
        "PathPrefix" prefix: String = [], path_prefix;
        "Type" kind: String = [String::from("async")], any;
        /// Milliseconds for one delivery.
        "TimeoutMs" timeout_ms: u64 = [], above_zero;
        "TargetLatencyMs" target_latency_ms: u64 = [100], any;
        /// Milliseconds in which a run is to begin.
        "TargetStartMs" target_start_ms: u64 = [1000], any;
        /// 0 is the highest.
        "Priority" priority: u64 = [0], any;
        "Backend" service: String = [], not_empty;
        "MaxAttempts" max_attempts: u64 = [1], above_zero;
        "Ordered" ordered: bool = [false], any;
        /// Seconds for which a message is kept.
        "RetentionS" retention_s: f64 = [90.0], not_negative;
        "CallbackUrl" callback: bool = [false], any;
        /// Requests need no key, even where tenants are configured.
        "Public" public: bool = [false], any;
    }
}

impl Route {
    /// Its identity. Its name isn't one: another configuration may give the name to another route.
    pub fn key(&self) -> RouteKey {
        RouteKey::new(&self.host, &self.prefix)
    }
}

crate::declare! {
    /// What a route's messages are delivered to.
    #[derive(Clone, Debug, Default, PartialEq)]
    pub struct Service {
        "Name" name: String = [], not_empty;
        "HealthPath" health_path: String = [String::from("/health")], any;
        /// Connections that one endpoint accepts from all callers.
        "MaxConnections" max_connections: u64 = [16], any;
        /// Messages a second from all senders together; 0 for no bound.
        "RatePerS" rate_per_s: f64 = [0.0], not_negative;
        /// Repeats get the first success once more.
        "Idempotent" idempotent: bool = [false], any;
        /// The one endpoint of a service that is on no list.
        "PinnedEndpoint" pinned: Option<String> = [None], any;
    }
}

crate::declare! {
    /// Bounds of what clients may send.
    #[derive(Clone, Debug, PartialEq)]
    pub struct Limits {
        "MaxHeaderBytes" max_header_bytes: u64 = [16_384], above_zero;
        "MaxBodyBytes" max_body_bytes: u64 = [262_144], any;
        "HeaderTimeoutMs" header_timeout_ms: u64 = [3_000], above_zero;
        "IdleTimeoutMs" idle_timeout_ms: u64 = [15_000], above_zero;
    }
}

impl Default for Limits {
    fn default() -> Limits {
        let (max_header_bytes, max_body_bytes) = (16_384, 262_144);
        Limits { max_header_bytes, max_body_bytes, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

crate::declare! {
    /// A whole configuration.
    #[derive(Clone, Debug, Default, PartialEq)]
    pub struct Configuration {
        "Version" version: u64 = [], any;
        "Routes" routes: Vec<Route> = [], any;
        "Backends" services: Vec<Service> = [], any;
        "Limits" limits: Limits = [Limits::default()], any;
        /// Who may send requests, by key. Without a list of tenants, no request needs a key.
        "Tenants" tenants: Option<Vec<Tenant>> = [None], any;
    }
}

fn path_prefix(prefix: &str) -> Result<(), &'static str> {
    match prefix.starts_with('/') {
        true => Ok(()),
        false => Err("does not begin with /; write the path from its root"),
    }
}

impl Configuration {
    /// Reads a configuration and names every fault in it.
    pub fn parse(body: &[u8]) -> Result<Configuration, Faults> {
        let mut faults = Faults::default();
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => {
                faults.add("configuration", format!("is not whole JSON ({error}); send all of it"));
                return Err(faults);
            }
        };
        let read = Configuration::read(&value, "", &mut faults);
        if let Some(configuration) = &read {
            configuration.check_services(&mut faults);
            configuration.check_places(&mut faults);
            check_tenants(configuration.tenants.as_deref().unwrap_or_default(), &mut faults);
        }
        match read {
            Some(configuration) if faults.0.is_empty() => Ok(configuration),
            _ => Err(faults),
        }
    }

    fn check_services(&self, faults: &mut Faults) {
        let mut names = BTreeSet::new();
        for (i, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                faults.add(&format!("Backends[{i}].Name"), "stands twice; rename or drop one");
            }
        }
        for (i, route) in self.routes.iter().enumerate() {
            if !names.contains(&route.service) {
                let message = format!("names no service ({}); add it to Backends", route.service);
                faults.add(&format!("Routes[{i}].Backend"), message);
            }
        }
    }

    fn check_places(&self, faults: &mut Faults) {
        let mut places = BTreeMap::new();
        for (i, route) in self.routes.iter().enumerate() {
            if let Some(other) = places.insert((&route.host, &route.prefix), i) {
                let message = format!("has host and prefix of Routes[{other}]; change one of them");
                faults.add(&format!("Routes[{i}]"), message);
            }
        }
    }

    /// The route of a request: the longest prefix among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        Destination { host, path }.select(self.routes.iter(), |route| (&route.host, &route.prefix))
    }

    /// The route with this identity.
    pub fn route_with_key(&self, key: &RouteKey) -> Option<&Route> {
        self.routes.iter().rfind(|route| key.identifies(route))
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Whether requests on a route need the key of a tenant.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.tenants.is_some() && !route.public
    }

    /// The tenant that holds a key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Tenant> {
        self.tenants.iter().flatten().find(|tenant| tenant.holds(key))
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().flatten().find(|tenant| tenant.name == name)
    }
}
