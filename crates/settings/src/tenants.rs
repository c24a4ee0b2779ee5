//! Tenants: who may send requests, with which keys, and how many.
use crate::declare::Faults;
use std::collections::BTreeMap;

crate::declare! {
    /// A customer whose requests are told from those of others by their keys.
    #[derive(Clone, Debug, Default, PartialEq)]
    pub struct Tenant {
        /// Told to endpoints in `X-Tenant`.
        "Name" name: String = [], usable_in_a_header;
        /// Each of these authenticates the tenant; none may be held by another one.
        "ApiKeys" keys: Vec<String> = [Vec::new()], usable_as_keys;
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

/// The value of a header must not end it, nor be changed on its way.
fn usable_in_a_header(name: &str) -> Result<(), &'static str> {
    let is_plain = name.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic());
    match !name.is_empty() && is_plain && name.trim() == name {
        true => Ok(()),
        false => Err("can't be told in a header; give a name of ASCII letters, digits and signs"),
    }
}

/// A client has to be able to send each of them.
fn usable_as_keys(keys: &[String]) -> Result<(), &'static str> {
    let is_usable = |key: &String| !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    match keys.iter().all(is_usable) {
        true => Ok(()),
        false => {
            Err("has a key that no client can send; give ASCII letters, digits and signs, without spaces")
        }
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
