//! Tenants of the simulated world: which keys the operator's configurations held and when, what clients send as their key,
//! and what endpoints may run by it.
use super::Ms;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::Tenant;
use simulation::Simulation;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The tenants of the first configuration.
pub const TENANTS: [&str; 3] = ["large", "small", "other"];
/// For so long a key that was taken away may still be taken, and one that was added may still be refused.
pub const REVOKE: Ms = 5_000;
/// The share of messages of the first tenant; the others share the rest.
const LARGEST_SHARE: f64 = 0.7;
/// Every key begins with it, so that one that is passed on is found in any head or body.
const KEY_WORD: &str = "secret-";

/// What a client sends as its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// A key that a tenant holds, drawn anew for each message.
    #[default]
    OfAnyTenant,
    /// A key that this tenant holds.
    Of(&'static str),
    /// This key, whoever holds it.
    Key(String),
    /// None.
    Missing,
}

/// When a tenant held a key.
#[derive(Clone, Debug)]
struct Holding {
    tenant: String,
    from: Ms,
    until: Option<Ms>,
}

impl Holding {
    /// It was in force at some moment of a span.
    fn overlaps(&self, from: Ms, until: Ms) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }

    /// It was in force all the time, for long enough that all machines in touch have heard of it.
    fn is_settled(&self, from: Ms, until: Ms) -> bool {
        self.from + REVOKE <= from && self.until.is_none_or(|end| end > until)
    }
}

/// The tenants in force, and what was in force before.
pub struct Tenants {
    simulation: Simulation,
    lot: RefCell<Pcg64Mcg>,
    listed: RefCell<Vec<Tenant>>,
    holdings: RefCell<BTreeMap<String, Vec<Holding>>>,
    keys_made: Cell<usize>,
}

impl Tenants {
    /// Three tenants with two keys each and no limits.
    pub fn new(simulation: &Simulation, seed: u64) -> Tenants {
        let tenants = Tenants {
            simulation: simulation.clone(),
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            listed: RefCell::default(),
            holdings: RefCell::default(),
            keys_made: Cell::new(0),
        };
        let founding = TENANTS.map(|name| Tenant {
            name: name.to_string(),
            keys: vec![tenants.new_key(), tenants.new_key()],
            ..Tenant::default()
        });
        tenants.enforce(founding.to_vec());
        tenants
    }

    /// A key that no configuration has held.
    pub fn new_key(&self) -> String {
        let number = self.keys_made.replace(self.keys_made.get() + 1);
        format!("{KEY_WORD}{number}")
    }

    /// The tenants in force.
    pub fn listed(&self) -> Vec<Tenant> {
        self.listed.borrow().clone()
    }

    /// Notes that a configuration with these tenants is acknowledged now.
    pub fn enforce(&self, listed: Vec<Tenant>) {
        let now = self.simulation.ms();
        let mut holdings = self.holdings.borrow_mut();
        let in_force = |key: &str, tenant: &str| listed.iter().any(|t| t.name == tenant && t.holds(key));
        for (key, spans) in holdings.iter_mut() {
            let ended = spans.iter_mut().filter(|s| s.until.is_none() && !in_force(key, &s.tenant));
            ended.for_each(|span| span.until = Some(now));
        }
        for tenant in &listed {
            for key in &tenant.keys {
                let spans = holdings.entry(key.clone()).or_default();
                if spans.iter().all(|span| span.until.is_some()) {
                    spans.push(Holding { tenant: tenant.name.clone(), from: now, until: None });
                }
            }
        }
        *self.listed.borrow_mut() = listed;
    }

    /// As the operator's configuration has them.
    pub fn as_json(&self) -> serde_json::Value {
        let listed = self.listed.borrow();
        let shown = |tenant: &Tenant| {
            serde_json::json!({"Name": tenant.name, "ApiKeys": tenant.keys,
                "RatePerS": tenant.rate_per_s, "Burst": tenant.burst})
        };
        listed.iter().map(shown).collect()
    }

    /// The newest key that a tenant holds.
    pub fn key_of(&self, name: &str) -> Option<String> {
        let listed = self.listed.borrow();
        listed.iter().find(|tenant| tenant.name == name)?.keys.last().cloned()
    }

    /// The tenant that holds a key, or was the last to.
    pub fn holder(&self, key: &str) -> Option<String> {
        let holdings = self.holdings.borrow();
        holdings.get(key)?.last().map(|span| span.tenant.clone())
    }

    /// The key that a client sends.
    pub fn resolve(&self, credential: &Credential) -> Option<String> {
        match credential {
            Credential::OfAnyTenant => self.draw(),
            Credential::Of(name) => self.key_of(name),
            Credential::Key(key) => Some(key.clone()),
            Credential::Missing => None,
        }
    }

    fn draw(&self) -> Option<String> {
        let (listed, mut lot) = (self.listed.borrow(), self.lot.borrow_mut());
        let at = if lot.random_bool(LARGEST_SHARE) { 0 } else { lot.random_range(0..listed.len().max(1)) };
        let tenant = listed.get(at)?;
        let keys = &tenant.keys;
        (!keys.is_empty()).then(|| keys[lot.random_range(0..keys.len())].clone())
    }

    /// Whether something happens, by a lot that nothing else in the world draws from.
    pub fn happens(&self, share: f64) -> bool {
        self.lot.borrow_mut().random_bool(share)
    }

    /// The operator's next change: one tenant's older key goes, and it gets a new one.
    pub fn rotated(&self) -> Vec<Tenant> {
        let mut listed = self.listed();
        let at = self.lot.borrow_mut().random_range(0..listed.len());
        listed[at].keys.remove(0);
        listed[at].keys.push(self.new_key());
        listed
    }

    /// A key that no client should get through with: one that was taken away, if there is one, or one that never was.
    pub fn useless_key(&self) -> String {
        let holdings = self.holdings.borrow();
        let is_gone = |spans: &Vec<Holding>| spans.iter().all(|span| span.until.is_some());
        let gone: Vec<&String> = holdings.iter().filter(|(_, s)| is_gone(s)).map(|(key, _)| key).collect();
        let mut lot = self.lot.borrow_mut();
        match gone.is_empty() || lot.random_bool(0.5) {
            true => format!("{KEY_WORD}never"),
            false => gone[lot.random_range(0..gone.len())].clone(),
        }
    }

    /// What is wrong with a run, on a route that needs a key, of a request that was sent with `key` and runs now.
    pub fn fault_of_run(&self, key: Option<&str>, sent: Ms, head: &str, body: &[u8]) -> Option<String> {
        let told = head.lines().filter_map(|line| line.split_once(": "));
        let told: Vec<&str> =
            told.filter(|(name, _)| name.eq_ignore_ascii_case("x-tenant")).map(|(_, value)| value).collect();
        let passed_on = |bytes: &[u8]| bytes.windows(KEY_WORD.len()).any(|at| at == KEY_WORD.as_bytes());
        if passed_on(head.as_bytes()) || passed_on(body) {
            return Some(format!("UNASKED: a key was passed on in {head:?}"));
        }
        let now = self.simulation.ms();
        let Some(key) = key else { return Some("ROUTE: it ran without a key".to_string()) };
        let holdings = self.holdings.borrow();
        let Some(spans) = holdings.get(key) else {
            return Some("ROUTE: it ran with a key that no configuration has held".to_string());
        };
        let mut open = spans.iter().filter(|span| span.overlaps(sent.saturating_sub(REVOKE), now)).peekable();
        if open.peek().is_none() {
            return Some(format!("CONFIG: it ran with a key that had been taken away: {spans:?}"));
        }
        match open.any(|span| told == [span.tenant.as_str()]) {
            true => None,
            false => Some(format!("UNASKED: the endpoint is told {told:?}, the key was held: {spans:?}")),
        }
    }

    /// What is wrong with the status that answers a request on a route that needs a key.
    pub fn fault_of_answer(&self, key: Option<&str>, sent: Ms, status: u16) -> Option<String> {
        let now = self.simulation.ms();
        let holdings = self.holdings.borrow();
        let spans = key.and_then(|key| holdings.get(key));
        let is_settled = spans.is_some_and(|spans| spans.iter().any(|span| span.is_settled(sent, now)));
        let open = |span: &Holding| span.overlaps(sent.saturating_sub(REVOKE), now);
        let is_open = spans.is_some_and(|spans| spans.iter().any(open));
        match status {
            401 if is_settled => Some(format!("CONFIG: told 401 with a key in force: {spans:?}")),
            202 if !is_open => Some(format!("ROUTE: told 202 with a key that isn't in force: {spans:?}")),
            _ => None,
        }
    }
}
