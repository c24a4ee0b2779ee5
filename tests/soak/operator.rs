//! The operator: changes time-outs, keys and limits in series, and now and then sends what can't be in force.
use crate::judge::Judge;
use crate::lot::Lot;
use crate::rig::{pause, Rig};
use crate::tenants::{first_tenants, with_tenants, Quota, Tenant, CONFIG_APPLY, HOT, KEY_MARK, UNLIMITED};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A limit that was lowered is topped up after so long.
const TOP_UP_AFTER: Duration = Duration::from_millis(1_000);
/// One limit in so many stays lowered.
const STAYS_ONE_IN: u64 = 3;
const LOWERED: Quota = Quota { rate_per_s: 4.0, burst: 2.0 };

/// Limits that are given back later.
struct TopUp {
    at: Instant,
    tenant: usize,
    quota: Option<Quota>,
}

/// The operator of a run.
pub struct Operator {
    judge: Arc<Judge>,
    lot: Lot,
    version: u64,
    timeout_ms: u64,
    tenants: Vec<Tenant>,
    keys_made: usize,
    top_up: Option<TopUp>,
}

impl Operator {
    pub fn new(seed: u64, judge: Arc<Judge>) -> Operator {
        let tenants = first_tenants();
        let lot = Lot::new(seed.wrapping_add(991));
        Operator { judge, lot, version: 1, timeout_ms: 1_000, tenants, keys_made: 0, top_up: None }
    }

    /// Sends the first configuration with tenants.
    pub fn begin(&mut self, rig: &Rig) {
        self.order(rig, self.tenants.clone());
    }

    /// Makes a change; what kind it was.
    pub fn change(&mut self, rig: &Rig) -> &'static str {
        match self.lot.draw(7) {
            1..=3 if self.without_keys().is_some() => {
                self.change_keys(rig, "key given back", |keys, new| keys.push(new))
            }
            0 => {
                self.timeout_ms = 1_000 + self.lot.draw(500);
                self.order(rig, self.tenants.clone());
                "change"
            }
            1 => self.change_keys(rig, "key added", |keys, new| keys.push(new)),
            2 => self.change_keys(rig, "key rotated", |keys, new| *keys = vec![new]),
            3 => self.change_keys(rig, "keys revoked", |keys, _| drop(keys.pop())),
            4 | 5 => self.lower_a_limit(rig),
            _ => {
                self.order_two_with_one_key(rig);
                "shared key"
            }
        }
    }

    /// What is due by now.
    pub fn go_on(&mut self, rig: &Rig) {
        if let Some(top_up) = self.top_up.take_if(|top_up| Instant::now() >= top_up.at) {
            let mut tenants = self.tenants.clone();
            tenants[top_up.tenant].quota = top_up.quota;
            self.order(rig, tenants);
        }
    }

    /// Every tenant has a key at the end, so that it may ask for its messages.
    pub fn end(&mut self, rig: &Rig) {
        let mut tenants = self.tenants.clone();
        for tenant in tenants.iter_mut().filter(|tenant| tenant.keys.is_empty()) {
            tenant.keys.push(self.new_key(&tenant.name));
        }
        if tenants != self.tenants {
            self.order(rig, tenants);
            pause(CONFIG_APPLY.as_millis() as u64);
        }
    }

    /// A tenant that has lost its last key.
    fn without_keys(&self) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.keys.is_empty())
    }

    fn new_key(&mut self, tenant: &str) -> String {
        self.keys_made += 1;
        format!("{KEY_MARK}{tenant}-{}", self.keys_made)
    }

    fn change_keys(
        &mut self,
        rig: &Rig,
        kind: &'static str,
        change: impl Fn(&mut Vec<String>, String),
    ) -> &'static str {
        let drawn = self.lot.draw(self.tenants.len() as u64) as usize;
        let at = self.without_keys().unwrap_or(drawn);
        let mut tenants = self.tenants.clone();
        let new = self.new_key(&tenants[at].name);
        change(&mut tenants[at].keys, new);
        self.order(rig, tenants);
        kind
    }

    /// A limit is lowered; mostly it is topped up a second later.
    fn lower_a_limit(&mut self, rig: &Rig) -> &'static str {
        let names = |name: &str| name != UNLIMITED && name != HOT;
        let at: Vec<usize> = (0..self.tenants.len()).filter(|at| names(&self.tenants[*at].name)).collect();
        let Some(&tenant) = self.lot.pick(&at).filter(|_| self.top_up.is_none()) else { return "no change" };
        let quota = first_tenants()[tenant].quota;
        let stays = self.lot.draw(STAYS_ONE_IN) == 0;
        let mut tenants = self.tenants.clone();
        tenants[tenant].quota = Some(LOWERED);
        self.order(rig, tenants);
        if !stays {
            self.top_up = Some(TopUp { at: Instant::now() + TOP_UP_AFTER, tenant, quota });
        }
        "limit lowered"
    }

    /// Sends a configuration that has to be taken.
    fn order(&mut self, rig: &Rig, tenants: Vec<Tenant>) {
        self.judge.ledger().sends(&tenants);
        let status =
            rig.order_anywhere(self.version, &with_tenants(self.version + 1, self.timeout_ms, &tenants));
        match status {
            Some(200) => {
                self.judge.ledger().acknowledged();
                self.version += 1;
                self.tenants = tenants;
            }
            other => {
                self.judge.broke(format!("CONFIG: version {} was answered {other:?}", self.version + 1));
            }
        }
    }

    /// Two tenants with one key are refused, and the version before stays in force.
    fn order_two_with_one_key(&mut self, rig: &Rig) {
        let mut tenants = self.tenants.clone();
        let shared = self.new_key("shared");
        for tenant in tenants.iter_mut().rev().take(2) {
            tenant.keys.push(shared.clone());
        }
        let body = with_tenants(self.version + 1, self.timeout_ms, &tenants);
        let status = rig.order_anywhere(self.version, &body);
        if status != Some(400) {
            self.judge.broke(format!("CONFIG: two tenants with one key were answered {status:?}"));
        }
        let read = rig.ask_anywhere("GET", "/v1/config/read");
        let read = read.filter(|answer| answer.status == 200).map(|answer| answer.body);
        let in_force = read.as_deref().and_then(|body| serde_json::from_str::<serde_json::Value>(body).ok());
        let wanted = with_tenants(self.version, self.timeout_ms, &self.tenants);
        let wanted: serde_json::Value = serde_json::from_str(&wanted).expect("it is JSON");
        if in_force.as_ref() != Some(&wanted) {
            self.judge.broke(format!("CONFIG: {in_force:?} is in force after it was refused; {wanted} was"));
        }
    }
}
