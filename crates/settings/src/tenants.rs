//! Tenants: who may send requests, with which keys, and how many.
use crate::declare::{any, not_empty, Faults};
use std::collections::BTreeMap;

crate::declare! {
    /// A customer whose requests are told from those of others by their keys.
    #[derive(Clone, Debug, Default, PartialEq)]
    pub struct Tenant {
        "Name" name: String = [], not_empty;
        /// Each of these authenticates the tenant; none may be held by another one.
        "ApiKeys" keys: Vec<String> = [Vec::new()], any;
        /// Accepted messages a second, summed over all machines; without it there is no limit.
        "RatePerS" rate_per_s: Option<f64> = [None], not_negative_if_given;
        /// Accepted messages beyond the rate that may come at once; 0 where it is left out.
        "Burst" burst: Option<f64> = [None], not_negative_if_given;
    }
}

/// How many messages a tenant may have accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Messages a second.
    pub rate_per_s: f64,
    /// Messages beyond the rate that may come at once.
    pub burst: f64,
}

impl Tenant {
    /// Whether a key authenticates this tenant.
    pub fn holds(&self, key: &str) -> bool {
        self.keys.iter().any(|held| held == key)
    }

    /// The tenant's limit, if it has one.
    pub fn quota(&self) -> Option<Quota> {
        let rate_per_s = self.rate_per_s?;
        Some(Quota { rate_per_s, burst: self.burst.unwrap_or(0.0) })
    }
}

fn not_negative_if_given(figure: &Option<f64>) -> Result<(), &'static str> {
    match figure.is_none_or(|figure| figure >= 0.0) {
        true => Ok(()),
        false => Err("is below 0; give 0 or more, or leave it out"),
    }
}

/// Names every tenant that can't be told from another one.
pub(crate) fn check_tenants(tenants: &[Tenant], faults: &mut Faults) {
    let mut names = BTreeMap::new();
    let mut holders = BTreeMap::new();
    for (i, tenant) in tenants.iter().enumerate() {
        if let Some(other) = names.insert(&tenant.name, i) {
            faults.add(&format!("Tenants[{i}].Name"), format!("is that of Tenants[{other}]; rename one"));
        }
        for key in &tenant.keys {
            let other = holders.insert(key, i).filter(|other| *other != i);
            if let Some(other) = other {
                let message = format!("has a key that Tenants[{other}] holds too; give it a key of its own");
                faults.add(&format!("Tenants[{i}].ApiKeys"), message);
            }
        }
    }
}
