//! One line of results.
use serde::{Deserialize, Serialize};

/// One line of JSON of the scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// The name of the plan's file, without its ending.
    pub plan: String,
    /// Whose cost it is: "membership", "lists", "settings", "duties", "control", "messages" or "journal".
    pub role: String,
    /// What was measured, as in "bytes out a member and second", "resident", "processor time", "time until all agree".
    pub what: String,
    /// The value's unit: "B/s", "B", "cores", "s", "count" or "us".
    pub unit: String,
    /// What differs among the lines of one slope: "senders", "destinations", "rate", "held", "churn" or "down"; empty for
    /// an event.
    pub varied: String,
    /// The value of what is varied.
    pub at: f64,
    /// "machine", "rack", "zone", "region", "region one-way", "change" or "ten changes"; none on a slope.
    pub event: Option<String>,
    /// All senders of the run, and how many of these were real processes.
    pub senders: u32,
    pub real: u32,
    pub destinations: u32,
    pub seed: u64,
    pub value: f64,
    /// How late the run's own clock was at worst, in milliseconds.
    pub late_ms: u64,
    /// Why it does not count: the run's own process stalled, or a bound was reached.
    pub void: Option<String>,
}
