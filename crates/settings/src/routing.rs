//! Which route a request belongs to. A route is identified by the requests that it matches: its name is a label, which a
//! later configuration may give to another route.
use crate::configuration::{Configuration, Route};
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;

/// The identity of a route, which no two routes of a configuration share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey {
    /// The host in lower case.
    host: String,
    prefix: String,
}

impl RouteKey {
    /// The identity of the route with this host and path prefix.
    pub fn new(host: &str, prefix: &str) -> RouteKey {
        RouteKey { host: host.to_ascii_lowercase(), prefix: prefix.to_string() }
    }

    /// Whether it identifies this route.
    pub fn identifies(&self, route: &Route) -> bool {
        self.host.eq_ignore_ascii_case(&route.host) && self.prefix == route.prefix
    }
}

impl fmt::Display for RouteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.host, self.prefix)
    }
}

/// Host and path of a request.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// The host without a port.
    pub host: &'a str,
    /// The path without a query.
    pub path: &'a str,
}

impl Destination<'_> {
    fn matches(self, host: &str, prefix: &str) -> bool {
        host.eq_ignore_ascii_case(self.host) && self.path.starts_with(prefix)
    }

    /// The route that gets the request: the longest prefix among those of its host.
    pub fn select<T>(self, routes: impl Iterator<Item = T>, parts: impl Fn(&T) -> (&str, &str)) -> Option<T> {
        let matching = routes.filter(|route| {
            let (host, prefix) = parts(route);
            self.matches(host, prefix)
        });
        matching.max_by_key(|route| parts(route).1.len())
    }
}

/// The routes of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    keys: HashSet<Rc<RouteKey>>,
}

impl RouteTable {
    /// The routes of a configuration.
    pub fn of(configuration: &Configuration) -> RouteTable {
        RouteTable { keys: configuration.routes.iter().map(|route| Rc::new(route.key())).collect() }
    }

    /// The route that gets a request.
    pub fn select(&self, destination: Destination) -> Option<&Rc<RouteKey>> {
        destination.select(self.keys.iter(), |key| (&key.host, &key.prefix))
    }

    /// Whether the configuration has this route.
    pub fn contains(&self, key: &RouteKey) -> bool {
        self.keys.contains(key)
    }
}
