//! The state of a sender: plain records.
use super::*;
use crate::decaying_stats::DecayingStats;

pub const LONG_AGO: Ns = Ns::MIN / 2;
/// Measurements whose weight halves every 3 s; below `MIN_WEIGHT` they count as none.
pub type Stats = DecayingStats<3_000>;
pub const MIN_WEIGHT: f64 = 0.15;

pub struct Attempt {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub call: u64,
    pub sent: Ns,
    pub open: bool,
    pub may_have_run: bool,
}

/// A message that was accepted, until it and all its attempts have ended.
pub struct Held {
    pub message: Message,
    pub arrived: Ns,
    pub end: Ns,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    /// Accepted by an earlier process and found again after a restart.
    pub recovered: bool,
}

impl Held {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}

/// One call in flight: all its messages share one slot and one outcome.
#[derive(Default)]
pub struct Call {
    pub endpoint: EndpointId,
    pub route: RouteId,
    pub level: usize,
    pub sent: Ns,
    /// Messages of the call that have no outcome yet.
    pub pending: usize,
    /// In flight for longer than `Dest::max_age`; `counted` once that was taken as a symptom of an outage.
    pub overdue: bool,
    pub counted: bool,
    pub trial: bool,
    pub messages: Vec<MsgId>,
    pub cancelled: bool,
}

#[derive(Default)]
pub struct Endpoint {
    pub in_flight: usize,
    pub used_at: Ns,
    /// Time between the last two calls.
    pub last_gap: Ns,
    /// Estimated open connections: the most calls in flight since idle connections were last closed.
    pub connections: usize,
    pub served_at: Ns,
    pub avoid_until: Ns,
}

/// The unit of rate limits and outages: a destination, or one endpoint of it where routes are separate.
#[derive(Default)]
pub struct Route {
    /// Limit in calls per second from reports (`None` before the first), and from the list; 0: no limit.
    pub limit: Option<f64>,
    pub hint: f64,
    /// This sender's share of the limit as of `share_at`; see `current_share`.
    pub share: f64,
    pub share_at: Ns,
    pub bucket: Bucket,
    pub wait_until: Ns,
    pub paused_until: Ns,
    pub failures: u32,
    pub refusals: u32,
    /// Consecutive calls turned away because the endpoint holds all the connections it takes.
    pub crowded: u32,
    pub last_refusal: Ns,
    pub failure_share: f64,
    /// The circuit breaker is open: only single trial calls are made.
    pub doubt: bool,
    /// An outage was confirmed; the load is ramped up after it.
    pub cold: bool,
    pub last_failure: Ns,
    pub next_trial: Ns,
    pub served: Stats,
}

/// Measurements of a class at a destination: arrivals, and latency by level.
#[derive(Clone, Default)]
pub struct ClassStats {
    pub arrivals: Stats,
    pub levels: levels::Levels<3_000>,
}

/// The queue and the measurements of a destination; `latency` and `served` are over all classes.
#[derive(Default)]
pub struct Dest {
    pub cap: usize,
    pub in_flight: usize,
    pub held: BTreeSet<MsgId>,
    pub classes: Vec<ClassStats>,
    pub latency: Stats,
    pub served: Stats,
}
