//! Two ways to decide over the same days: the mean difference and how sure it is.
use crate::days::{Key, Row};
use crate::sweep;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use world::account::Day;

/// Resamples for an interval, and the part of them that it leaves out at each side.
const SAMPLES: usize = 4_000;
const TAIL: f64 = 0.025;

/// A mean difference with the interval that holds 95% of resampled means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub pairs: usize,
}

impl Difference {
    /// By bootstrap over the pairs; None of no pair.
    pub fn of(pairs: &[f64]) -> Option<Difference> {
        if pairs.is_empty() {
            return None;
        }
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / pairs.len() as f64;
        // Its own row of numbers: the same pairs have the same interval.
        let mut random = Pcg64::seed_from_u64(pairs.len() as u64);
        let mut means: Vec<f64> = (0..SAMPLES)
            .map(|_| mean(&mut (0..pairs.len()).map(|_| pairs[random.random_range(0..pairs.len())])))
            .collect();
        means.sort_by(f64::total_cmp);
        let at = |part: f64| means[((SAMPLES - 1) as f64 * part).round() as usize];
        let (low, high) = (at(TAIL), at(1.0 - TAIL));
        Some(Difference { mean: mean(&mut pairs.iter().copied()), low, high, pairs: pairs.len() })
    }

    pub fn verdict(&self) -> &'static str {
        match () {
            _ if self.low > 0.0 => "ahead",
            _ if self.high < 0.0 => "behind",
            _ => "no difference seen",
        }
    }
}

/// What of a day is compared.
pub fn figure(name: &str) -> Result<fn(&Day) -> f64, String> {
    Ok(match name {
        "g" => |d| d.g,
        "served" => |d| d.served,
        "in_time" => |d| d.in_time,
        "worst_window" => |d| d.worst_window,
        "worst_class" => |d| d.worst_class,
        "price" => |d| -d.price,
        _ => return Err(format!("{name} is none of g, served, in_time, worst_window, worst_class, price")),
    })
}

/// By scenario with what was set: the differences of the days that both have.
pub fn pairs(rows: &[Row], a: &str, b: &str, of: fn(&Day) -> f64) -> BTreeMap<String, Vec<f64>> {
    let by = |policy: &str| -> BTreeMap<Key, f64> {
        let own = rows.iter().filter(|r| r.key.policy == policy);
        own.map(|r| (Key { policy: String::new(), ..r.key.clone() }, of(&r.day))).collect()
    };
    let (a, b) = (by(a), by(b));
    let mut pairs: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (key, value) in &a {
        if let Some(other) = b.get(key) {
            let name = format!("{} {}", key.scenario, key.set).trim().to_string();
            pairs.entry(name).or_default().push(value - other);
        }
    }
    pairs
}

pub fn run(results: &Path, a: &str, b: &[String], name: &str) -> Result<(), String> {
    let rows = sweep::rows(results)?;
    let of = figure(name)?;
    let policies: BTreeSet<String> = rows.iter().map(|r| r.key.policy.clone()).collect();
    if let Some(missing) = std::iter::once(&a.to_string()).chain(b).find(|p| !policies.contains(*p)) {
        return Err(format!("{} has no day of {missing}", results.display()));
    }
    let others: Vec<String> =
        if b.is_empty() { policies.into_iter().filter(|p| p != a).collect() } else { b.to_vec() };
    for b in others {
        println!("{a} against {b}, {name}:");
        let pairs = pairs(&rows, a, &b, of);
        let all: Vec<f64> = pairs.values().flatten().copied().collect();
        let each = pairs.iter().map(|(name, values)| (name.as_str(), values));
        for (name, values) in each.chain([("all", &all)]) {
            let Some(d) = Difference::of(values) else { continue };
            println!(
                "  {name:24} {:+.3} ({:+.3} to {:+.3}), {} pairs: {}",
                d.mean,
                d.low,
                d.high,
                d.pairs,
                d.verdict()
            );
        }
    }
    Ok(())
}
