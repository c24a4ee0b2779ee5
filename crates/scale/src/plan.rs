//! What a scale run does, as a strict file. A wrong one is turned down with its place.
use serde::Deserialize;
use std::path::Path;

/// The most of each that a plan may ask for.
const MOST_RATE: f64 = 5_000.0;
const MOST_HELD: f64 = 50_000.0;
const MOST_DISK: u32 = 1_000;
const MOST_SENDERS: u32 = 600;
const MOST_PROCESSES: u32 = 200;
const MOST_DESTINATIONS: u32 = 200_000;
const MOST_SECONDS: f64 = 90.0;

/// How a fleet begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Begin {
    /// All start together with what they kept of a fleet that was whole.
    Kept,
    /// For the first time: nobody knows of anybody but the seeds.
    First,
}

/// What is lost and comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum What {
    #[serde(rename = "machine")]
    Machine,
    /// One in 30 of all senders.
    #[serde(rename = "rack")]
    Rack,
    /// One in 6.
    #[serde(rename = "zone")]
    Zone,
    /// Half.
    #[serde(rename = "region")]
    Region,
    /// Half: what one region says does not reach the other.
    #[serde(rename = "region one-way")]
    RegionOneWay,
}

impl What {
    pub fn name(self) -> &'static str {
        match self {
            What::Machine => "machine",
            What::Rack => "rack",
            What::Zone => "zone",
            What::Region => "region",
            What::RegionOneWay => "region one-way",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    pub what: What,
    /// For how long it is lost, seconds.
    pub lost_s: f64,
    /// How long all may take to agree that it is back.
    pub back_s: f64,
}

/// Who tells a sender its list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToldBy {
    Discovery,
    Known,
}

/// What clients hand in at one real sender, for each rate and each share that is down; one of the two is varied.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// All of its list, and all get messages.
    pub destinations: u32,
    /// Messages a second.
    pub rates: Vec<f64>,
    /// Shares of the destinations that are down.
    #[serde(default = "none_down")]
    pub down: Vec<f64>,
    /// What its folder may take.
    #[serde(default = "usual_disk")]
    pub disk_mb: u32,
}

fn none_down() -> Vec<f64> {
    vec![0.0]
}

fn usual_disk() -> u32 {
    3
}

impl Traffic {
    fn check(&self) -> Result<(), String> {
        within("traffic.destinations", self.destinations.into(), 1.0, MOST_DESTINATIONS.into())?;
        within("traffic.disk_mb", self.disk_mb.into(), 1.0, MOST_DISK.into())?;
        all_within("traffic.rates", &self.rates, 1.0, MOST_RATE)?;
        all_within("traffic.down", &self.down, 0.0, 1.0)?;
        match (self.rates.len(), self.down.len()) {
            (0, _) | (_, 0) => Err("traffic.rates and traffic.down need a value each".into()),
            (1, _) | (_, 1) => Ok(()),
            _ => Err("traffic.rates and traffic.down both have several values".into()),
        }
    }
}

/// Messages that one real sender holds for destinations that are all down.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    pub destinations: u32,
    /// So many are handed in, each number to a sender of its own.
    pub messages: Vec<u32>,
    #[serde(default = "usual_disk")]
    pub disk_mb: u32,
}

impl Held {
    fn check(&self) -> Result<(), String> {
        within("held.destinations", self.destinations.into(), 1.0, MOST_DESTINATIONS.into())?;
        within("held.disk_mb", self.disk_mb.into(), 1.0, MOST_DISK.into())?;
        let messages: Vec<f64> = self.messages.iter().map(|n| f64::from(*n)).collect();
        all_within("held.messages", &messages, 1.0, MOST_HELD)
    }
}

fn within(key: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    match (least..=most).contains(&value) {
        true => Ok(()),
        false => Err(format!("{key} is not from {least} to {most}: {value}")),
    }
}

fn all_within(key: &str, values: &[f64], least: f64, most: f64) -> Result<(), String> {
    values.iter().enumerate().try_for_each(|(i, v)| within(&format!("{key}[{i}]"), *v, least, most))
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// For the whole run.
    pub seconds: f64,
    /// A run whose own threads come later than this does not count.
    pub late_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The file's name without its ending.
    #[serde(skip)]
    pub name: String,
    pub about: String,
    pub seed: u64,
    pub bounds: Bounds,
    /// Sizes of fleets, one after the other.
    #[serde(default)]
    pub senders: Vec<u32>,
    /// How many of each are real processes.
    #[serde(default)]
    pub real: u32,
    /// Membership's interval.
    #[serde(default = "second")]
    pub interval_ms: u64,
    #[serde(default = "kept")]
    pub begin: Begin,
    /// How long all of a fleet may take to agree at its start.
    #[serde(default)]
    pub starting_s: f64,
    /// How long news may take to be passed on, or messages go, before the rest begins, and how long that is looked at.
    #[serde(default)]
    pub settle_s: f64,
    #[serde(default)]
    pub rest_s: f64,
    /// The rest is measured in so many parts, for its spread.
    #[serde(default = "one")]
    pub parts: u32,
    #[serde(default)]
    pub events: Vec<Event>,
    /// So many changes of the configuration at once, one after the other.
    #[serde(default)]
    pub changes: Vec<u32>,
    /// Lists of so many destinations, each to a sender alone.
    #[serde(default)]
    pub destinations: Vec<u32>,
    /// By whom such a list is told.
    #[serde(default)]
    pub told_by: Vec<ToldBy>,
    /// How long a sender may take until it has its list.
    #[serde(default)]
    pub list_s: f64,
    #[serde(default)]
    pub traffic: Option<Traffic>,
    #[serde(default)]
    pub held: Option<Held>,
}

fn second() -> u64 {
    1_000
}

fn kept() -> Begin {
    Begin::Kept
}

fn one() -> u32 {
    1
}

impl Plan {
    /// Reads a file. The error has its path and the place in it.
    pub fn open(path: &Path) -> Result<Plan, String> {
        let at = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{at} can't be read: {e}"))?;
        let mut plan = Plan::read(&text).map_err(|e| format!("{at}: {e}"))?;
        plan.name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok(plan)
    }

    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_string())?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        within("bounds.seconds", self.bounds.seconds, 1.0, MOST_SECONDS)?;
        within("bounds.late_ms", self.bounds.late_ms as f64, 1.0, 10_000.0)?;
        within("interval_ms", self.interval_ms as f64, 100.0, 60_000.0)?;
        within("parts", self.parts.into(), 1.0, 100.0)?;
        for (key, seconds) in
            [("starting_s", self.starting_s), ("settle_s", self.settle_s), ("rest_s", self.rest_s)]
        {
            within(key, seconds, 0.0, MOST_SECONDS)?;
        }
        within("list_s", self.list_s, 0.0, MOST_SECONDS)?;
        within("real", self.real.into(), 0.0, (MOST_PROCESSES - 1).into())?;
        for (i, senders) in self.senders.iter().enumerate() {
            let least = self.real.max(SEEDS as u32);
            within(&format!("senders[{i}]"), (*senders).into(), least.into(), MOST_SENDERS.into())?;
        }
        for (i, event) in self.events.iter().enumerate() {
            within(&format!("events[{i}].lost_s"), event.lost_s, 0.1, MOST_SECONDS)?;
            within(&format!("events[{i}].back_s"), event.back_s, 0.1, MOST_SECONDS)?;
        }
        for (i, changes) in self.changes.iter().enumerate() {
            within(&format!("changes[{i}]"), (*changes).into(), 1.0, 100.0)?;
        }
        for (i, destinations) in self.destinations.iter().enumerate() {
            within(&format!("destinations[{i}]"), (*destinations).into(), 1.0, MOST_DESTINATIONS.into())?;
        }
        self.traffic.as_ref().map_or(Ok(()), Traffic::check)?;
        self.held.as_ref().map_or(Ok(()), Held::check)?;
        let alone = self.traffic.is_some() || self.held.is_some();
        if alone {
            within("rest_s", self.rest_s, 0.1, MOST_SECONDS)?;
        }
        let plays_nothing = self.senders.is_empty() && self.destinations.is_empty() && !alone;
        let idle = self.told_by.is_empty() != self.destinations.is_empty();
        match (plays_nothing, idle) {
            (true, _) => Err("no senders, destinations, traffic or held messages: nothing is played".into()),
            (_, true) => Err("destinations and told_by go together".into()),
            _ if self.senders.is_empty() && !(self.events.is_empty() && self.changes.is_empty()) => {
                Err("events and changes need senders".into())
            }
            _ => Ok(()),
        }
    }
}

/// Members whose addresses all are told.
pub const SEEDS: usize = 3;
