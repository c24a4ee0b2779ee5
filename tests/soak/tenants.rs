//! Which keys and quotas the configurations of a run hold, and from when on a machine in touch goes by them.
use crate::rig::configuration;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A machine in touch goes by a configuration so long after its acknowledgement (`ConfigApplyMs`).
pub const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
/// Every key of a tenant, and every one that no configuration holds, begins with this and can be found by it.
pub const KEY_MARK: &str = "secret-";
/// Sends without a limit.
pub const UNLIMITED: &str = "shop-0";
/// Sends many times what it may.
pub const HOT: &str = "shop-2";

/// A limit on accepted messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// A tenant as a configuration holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub keys: Vec<String>,
    pub quota: Option<Quota>,
}

impl Tenant {
    fn new(number: usize, quota: Option<Quota>) -> Tenant {
        let name = format!("shop-{number}");
        Tenant { keys: vec![format!("{KEY_MARK}{name}-0")], name, quota }
    }

    fn json(&self) -> Value {
        let mut value = json!({"Name": self.name, "ApiKeys": self.keys});
        if let Some(quota) = self.quota {
            value["RatePerS"] = quota.rate_per_s.into();
            value["Burst"] = quota.burst.into();
        }
        value
    }
}

/// The tenants that a run begins with: one without a limit, one far below its own, one far above, one near it.
pub fn first_tenants() -> Vec<Tenant> {
    let quota = |rate_per_s, burst| Some(Quota { rate_per_s, burst });
    vec![
        Tenant::new(0, None),
        Tenant::new(1, quota(200.0, 100.0)),
        Tenant::new(2, quota(8.0, 4.0)),
        Tenant::new(3, quota(60.0, 30.0)),
    ]
}

/// The rig's configuration with tenants in it.
pub fn with_tenants(version: u64, timeout_ms: u64, tenants: &[Tenant]) -> String {
    let mut value: Value = serde_json::from_str(&configuration(version, timeout_ms)).expect("it is JSON");
    value["Tenants"] = tenants.iter().map(Tenant::json).collect();
    value.to_string()
}

/// A configuration that was sent and may have been taken.
#[derive(Clone, Debug)]
struct Revision {
    tenants: Vec<Tenant>,
    sent: Instant,
    acknowledged: Option<Instant>,
}

impl Revision {
    fn holder(&self, key: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.keys.iter().any(|held| held == key))
    }
}

/// All configurations of a run, in their order. A key is never given to a second tenant.
#[derive(Default)]
pub struct Ledger {
    revisions: Vec<Revision>,
}

impl Ledger {
    /// A configuration is about to be sent.
    pub fn sends(&mut self, tenants: &[Tenant]) {
        let revision = Revision { tenants: tenants.to_vec(), sent: Instant::now(), acknowledged: None };
        self.revisions.push(revision);
    }

    /// The one that was sent last is acknowledged.
    pub fn acknowledged(&mut self) {
        let last = self.revisions.last_mut().expect("one was sent");
        last.acknowledged = Some(Instant::now());
    }

    /// The tenant that holds a key, or ever did.
    pub fn holder(&self, key: &str) -> Option<&str> {
        self.revisions.iter().find_map(|revision| revision.holder(key)).map(|tenant| tenant.name.as_str())
    }

    /// What machines in touch may go by at some moment of a span, where there was trouble at these moments: each
    /// configuration that was sent by its end, until a later one binds.
    fn in_force(
        &self,
        from: Instant,
        until: Instant,
        troubles: &[Instant],
    ) -> impl Iterator<Item = &Revision> {
        let is_bound = |revision: &Revision| {
            revision.acknowledged.is_some_and(|at| all_in_touch_since(at, troubles) < from)
        };
        let first = self.revisions.iter().rposition(is_bound).unwrap_or(0);
        self.revisions[first..].iter().filter(move |revision| revision.sent <= until)
    }

    /// Whether a key may be in force at some moment of a span.
    pub fn may_open(&self, key: &str, from: Instant, until: Instant, troubles: &[Instant]) -> bool {
        self.in_force(from, until, troubles).any(|revision| revision.holder(key).is_some())
    }

    /// Whether a key has to be in force throughout a span.
    pub fn must_open(&self, key: &str, from: Instant, until: Instant, troubles: &[Instant]) -> bool {
        let mut revisions = self.in_force(from, until, troubles).peekable();
        revisions.peek().is_some() && revisions.all(|revision| revision.holder(key).is_some())
    }

    /// The limits of a tenant that may be in force at some moment of a span; none where it may have no limit.
    pub fn quotas(
        &self,
        tenant: &str,
        from: Instant,
        until: Instant,
        troubles: &[Instant],
    ) -> Option<Vec<Quota>> {
        let named = |revision: &Revision| {
            let tenant = revision.tenants.iter().find(|other| other.name == tenant);
            tenant.and_then(|tenant| tenant.quota)
        };
        self.in_force(from, until, troubles).map(named).collect()
    }

    /// The names of all tenants.
    pub fn names(&self) -> Vec<String> {
        let first = self.revisions.first().into_iter().flat_map(|revision| &revision.tenants);
        first.map(|tenant| tenant.name.clone()).collect()
    }

    /// The newest key of a tenant that an operator has heard to be in force.
    pub fn newest_key(&self, tenant: &str) -> Option<String> {
        let latest = self.revisions.iter().rfind(|revision| revision.acknowledged.is_some())?;
        let tenant = latest.tenants.iter().find(|other| other.name == tenant)?;
        tenant.keys.last().cloned()
    }

    /// Keys that the latest configuration took away or earlier ones did.
    pub fn revoked_keys(&self, tenant: &str) -> Vec<String> {
        let Some(latest) = self.revisions.last() else { return Vec::new() };
        let of_tenant = self.revisions.iter().flat_map(|revision| &revision.tenants);
        let mut keys: Vec<String> =
            of_tenant.filter(|other| other.name == tenant).flat_map(|other| other.keys.clone()).collect();
        keys.sort_unstable();
        keys.dedup();
        keys.retain(|key| latest.holder(key).is_none());
        keys
    }
}

/// From when on every machine goes by what was acknowledged at an instant: after it has had `ConfigApplyMs` without trouble.
fn all_in_touch_since(acknowledged: Instant, troubles: &[Instant]) -> Instant {
    let mut since = acknowledged + CONFIG_APPLY;
    for trouble in troubles.iter().filter(|at| **at >= acknowledged) {
        if *trouble <= since {
            since = since.max(*trouble + CONFIG_APPLY);
        }
    }
    since
}
