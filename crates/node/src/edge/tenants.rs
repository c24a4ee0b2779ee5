//! Whose request it is: the tenant that holds the key in `Authorization`. The key itself goes no further.
use super::{later, Edge};
use crate::calls::{Found, Holder};
use net::http::{Answer, Request};
use settings::{Configuration, Route};
use std::rc::Rc;
use std::time::Duration;

/// Why a request isn't taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// It needs a key, and has none that a tenant holds.
    Unknown,
    /// It needs a key, and which ones are in force hasn't been heard for too long.
    OutOfTouch,
}

impl KeyRefusal {
    /// What the client is told.
    pub fn answer(self) -> Answer {
        match self {
            KeyRefusal::Unknown => {
                let remedy = "no tenant holds this key; send \"Authorization: Bearer KEY\" with one in force";
                Answer::text(401, remedy).with("WWW-Authenticate", "Bearer")
            }
            KeyRefusal::OutOfTouch => {
                later("it isn't known here which keys are in force; ask again").with("Retry-After", "1")
            }
        }
    }
}

/// Who asks for the state or the body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asker {
    /// Whoever it is: no tenants are configured.
    Anyone,
    /// Somebody without a key.
    Nobody,
    /// This tenant.
    Tenant(String),
}

/// Whether what was found may be shown to who asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Granted,
    /// It is another tenant's.
    Denied,
    /// Nobody that answered knows whose it is.
    Unknown,
}

impl Asker {
    /// What of a message that was found this asker may see.
    pub fn access(&self, found: &Found) -> Access {
        match (self, &found.holder) {
            (Asker::Anyone, _) | (_, Holder::Nobody) => Access::Granted,
            (_, Holder::Untold) => Access::Unknown,
            (Asker::Tenant(asker), Holder::Tenant(holder)) if asker == holder => Access::Granted,
            (_, Holder::Tenant(_)) => Access::Denied,
        }
    }
}

/// The keys in force, as far as this process knows.
pub struct Keys {
    configuration: Rc<Configuration>,
    /// Whether requests may be let in by them.
    are_current: bool,
}

impl Keys {
    /// The tenant whose key a request carries; none where the route needs no key and it has no known one.
    pub fn tenant_of(&self, route: &Route, request: &Request) -> Result<Option<String>, KeyRefusal> {
        let tenant = self.holder(request);
        match self.configuration.needs_key(route) {
            false => Ok(tenant),
            true if !self.are_current => Err(KeyRefusal::OutOfTouch),
            true => tenant.map(Some).ok_or(KeyRefusal::Unknown),
        }
    }

    /// Who asks for a message.
    pub fn asker(&self, request: &Request) -> Result<Asker, KeyRefusal> {
        if self.configuration.tenants.is_none() {
            return Ok(Asker::Anyone);
        }
        if key(request).is_none() {
            return Ok(Asker::Nobody);
        }
        match self.are_current {
            true => self.holder(request).map(Asker::Tenant).ok_or(KeyRefusal::Unknown),
            false => Err(KeyRefusal::OutOfTouch),
        }
    }

    fn holder(&self, request: &Request) -> Option<String> {
        let tenant = key(request).and_then(|key| self.configuration.tenant_of_key(key));
        tenant.map(|tenant| tenant.name.clone())
    }
}

/// The key that a request carries.
fn key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header("authorization").split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

impl Edge {
    /// The keys in force, as far as this process knows at this moment.
    pub(super) fn keys(&self) -> Keys {
        Keys { configuration: self.known.configuration(), are_current: self.knows_current_keys() }
    }

    /// Whether it may go by the keys that it knows: where deployments are closed, a process that has heard nothing for
    /// long may not.
    pub(super) fn knows_current_keys(&self) -> bool {
        let bounds = &self.process.settings.bounds;
        let longest = Duration::from_millis(bounds.revoke_ms);
        !bounds.closed || self.known.news_age().is_some_and(|age| age <= longest)
    }
}
