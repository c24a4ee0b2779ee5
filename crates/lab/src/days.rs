//! One day: a scenario, a seed and a way to decide.
use policy::api::{Action, Event, Ns, RouteState, Settings};
use policy::rules::Sender;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::account::Day;
use world::baselines::{Plain, BASELINES};
use world::plan::Plan;
use world::scenario::Scenario;
use world::{Decider, Truth};

/// What is played: all that a result depends on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub scenario: String,
    /// What was set, in order of the keys.
    pub set: String,
    pub policy: String,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub key: Key,
    pub day: Day,
}

pub fn policies() -> Vec<String> {
    std::iter::once("sender").chain(BASELINES.iter().map(|b| b.0)).map(String::from).collect()
}

/// A scenario's file with values set in it, and its name there.
pub fn read(path: &Path, sets: &[(String, String)]) -> Result<Scenario, String> {
    let at = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{at} can't be read: {e}"))?;
    // Read as it is first: an error then names the place in the file.
    let scenario = Scenario::read(&text).map_err(|e| format!("{at}: {e}"))?;
    if sets.is_empty() {
        return Ok(scenario);
    }
    let mut table: toml::Table = text.parse().map_err(|e| format!("{at}: {e}"))?;
    for (key, value) in sets {
        let line: toml::Table =
            format!("v = {value}").parse().map_err(|e| format!("--set {key}={value}: {e}"))?;
        let mut parts: Vec<&str> = key.split('.').collect();
        let last = parts.pop().unwrap_or_default();
        let mut into = &mut table;
        for part in parts {
            let inner = into.entry(part).or_insert_with(|| toml::Table::new().into());
            into = inner.as_table_mut().ok_or_else(|| format!("--set {key}: {part} is no table"))?;
        }
        into.insert(last.to_string(), line["v"].clone());
    }
    Scenario::read(&table.to_string()).map_err(|e| format!("{at} with what is set: {e}"))
}

/// Each combination of values that `--set` asks for.
pub fn combinations(sets: &[String]) -> Result<Vec<Vec<(String, String)>>, String> {
    let mut all = vec![Vec::new()];
    for set in sets {
        let (key, values) =
            set.split_once('=').ok_or_else(|| format!("--set {set}: KEY=VALUES is needed"))?;
        let values: Vec<&str> = match values.starts_with(['[', '"']) {
            true => vec![values],
            false => values.split(',').collect(),
        };
        let with = |old: &Vec<(String, String)>, value: &str| {
            let mut new = old.clone();
            new.push((key.to_string(), value.to_string()));
            new
        };
        all = all.iter().flat_map(|old| values.iter().map(move |v| with(old, v))).collect();
    }
    Ok(all)
}

pub fn name(sets: &[(String, String)]) -> String {
    sets.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>().join(" ")
}

/// Processor time that decisions took.
#[derive(Default)]
pub struct Cost(AtomicU64);

impl Cost {
    pub fn spent(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}

struct Timed<D> {
    inner: D,
    cost: Arc<Cost>,
}

impl<D: Decider> Decider for Timed<D> {
    fn handle(&mut self, now: Ns, events: &[Event], truth: &dyn Truth, out: &mut Vec<Action>) {
        let begun = Instant::now();
        self.inner.handle(now, events, truth, out);
        self.cost.0.fetch_add(begun.elapsed().as_nanos() as u64, Ordering::Relaxed);
    }

    fn route_states(&self, now: Ns) -> Vec<RouteState> {
        self.inner.route_states(now)
    }
}

type Making = Box<dyn Fn(&Settings, u64) -> Box<dyn Decider> + Sync>;

fn making(policy: &str, cost: Arc<Cost>) -> Result<Making, String> {
    if policy == "sender" {
        return Ok(Box::new(move |settings: &Settings, seed| {
            Box::new(Timed { inner: Sender::new(settings.clone(), seed), cost: cost.clone() })
        }));
    }
    let known = BASELINES.iter().find(|b| b.0 == policy);
    let baseline =
        known.ok_or_else(|| format!("{policy} is no way to decide; there are {}", policies().join(", ")))?;
    Ok(Box::new(move |settings: &Settings, seed| {
        Box::new(Timed { inner: Plain::new(settings, seed, baseline), cost: cost.clone() })
    }))
}

pub fn play(scenario: &Scenario, seed: u64, policy: &str, cost: &Arc<Cost>) -> Result<Day, String> {
    let make = making(policy, cost.clone())?;
    Ok(world::fleet::play(&Plan::draw(scenario, seed), &*make))
}

pub fn sim(path: &Path, sets: &[String], seed: u64, policy: &str, json: bool) -> Result<bool, String> {
    let mut well = true;
    for sets in combinations(sets)? {
        let scenario = read(path, &sets)?;
        let (cost, begun) = (Arc::new(Cost::default()), Instant::now());
        let day = play(&scenario, seed, policy, &cost)?;
        let key = Key { scenario: scenario.name.clone(), set: name(&sets), policy: policy.into(), seed };
        if json {
            println!("{}", serde_json::to_string(&Row { key, day: day.clone() }).map_err(|e| e.to_string())?);
        } else {
            print(&key, &day);
        }
        let messages = day.messages.max(1) as f64;
        eprintln!(
            "{:.2} s, {:.1} us of decisions a message ({:.2} us an event)",
            begun.elapsed().as_secs_f64(),
            cost.spent().as_secs_f64() * 1e6 / messages,
            cost.spent().as_secs_f64() * 1e6 / day.events.max(1) as f64,
        );
        well &= day.breaches.is_empty();
    }
    Ok(well)
}

fn print(key: &Key, day: &Day) {
    println!("{} {} seed {} by {}", key.scenario, key.set, key.seed, key.policy);
    println!(
        "G {:.3}: served {:.3}, worst 10 s {:.3}, worst class {:.3}, prices {:.3}; in time {:.3}",
        day.g, day.served, day.worst_window, day.worst_class, day.price, day.in_time
    );
    let of = |n: u64| n as f64 / day.messages.max(1) as f64;
    println!(
        "{} messages; of each {:.2} calls, {:.3} refused calls, {:.2} connections; {:.3} of the work wasted",
        day.messages,
        of(day.calls),
        of(day.calls_refused),
        of(day.connections),
        day.wasted
    );
    for c in &day.classes {
        let [p50, p90, p99, ..] = c.latency_ms;
        println!(
            "{}: {} offered, {} delivered ({} in time), {} refusals, {} failed; {p50}, {p90}, {p99} ms at 50, 90, 99%",
            c.name, c.offered, c.delivered, c.in_time, c.refused, c.failed
        );
    }
    for (rule, count) in &day.breaches {
        println!("rule broken: {rule}, {count} times");
    }
    day.first_breaches.iter().for_each(|what| println!("  {what}"));
}
