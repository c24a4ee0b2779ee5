//! Whose request it is: the tenant that holds the key in `Authorization`. The key itself goes no further.
use net::http::{Answer, Request};
use settings::{Configuration, Route};

/// A request on a route that needs a key came without one that a tenant holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

impl UnknownKey {
    /// What the client is told.
    pub fn answer(self) -> Answer {
        Answer::text(401, "no tenant holds this key; send \"Authorization: Bearer KEY\" with one in force")
            .with("WWW-Authenticate", "Bearer")
    }
}

/// The key that a request carries.
pub fn key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header("authorization").split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// The tenant whose key a request carries; none where the route needs no key and it has no known one.
pub fn of_request(
    configuration: &Configuration,
    route: &Route,
    request: &Request,
) -> Result<Option<String>, UnknownKey> {
    let tenant = key(request).and_then(|key| configuration.tenant_of_key(key));
    match tenant {
        Some(tenant) => Ok(Some(tenant.name.clone())),
        None if configuration.needs_key(route) => Err(UnknownKey),
        None => Ok(None),
    }
}
