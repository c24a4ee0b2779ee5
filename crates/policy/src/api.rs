//! The interface of the decision module: settings, events and actions. Data only, no decisions.
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in nanoseconds. The clock has any origin and is monotonic.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;

/// The caller's number for a message; never used again after the message has ended.
pub type MsgId = u64;
/// The caller's number for an endpoint; unchanged as long as the sender runs.
pub type EndpointId = u32;
/// The number of a destination: one partner's system.
pub type DestId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// The endpoints of a destination that share one deduplication of keyed messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Endpoint,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target latency: delivered within this time, a message earns its full worth.
    pub target: Ns,
    /// The target grows by this multiple of the expected work of the message (`Message::cost`).
    pub target_stretch: f64,
    /// From the first submission until the message is given up.
    pub deadline: Ns,
    pub effect: Effect,
    pub scope: DedupScope,
    /// For keyed messages: how long repeats are dropped, from the first attempt that may have run.
    pub window: Ns,
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_worth: f64,
    pub in_order: bool,
    /// Maximum number of attempts of a message.
    pub max_attempts: u32,
}

impl Class {
    /// The worth of a message that is delivered with `time_left` until its deadline: the full worth within
    /// the target, which grows with the expected work (`cost`); then decreasing, by halves or linearly;
    /// nothing after the deadline.
    pub fn worth_with_time_left(&self, time_left: Ns, cost: Ns, worth_halves: bool) -> f64 {
        let (age, deadline) = ((self.deadline - time_left) as f64, self.deadline as f64);
        let target = (self.target as f64 + self.target_stretch * cost as f64).min(deadline);
        let share = if time_left < 0 {
            0.0
        } else if age <= target {
            1.0
        } else if worth_halves {
            (-((age - target) / target)).exp2().max(self.late_worth)
        } else {
            1.0 - (1.0 - self.late_worth) * (age - target) / (deadline - target).max(1.0)
        };
        self.worth * share
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Kind {
    /// Maximum number of messages in one call.
    pub batch: usize,
    /// Each endpoint has its own rate limit and circuit breaker.
    pub separate_routes: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages per second, over all senders, that earn their full worth.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    pub over_share_worth: f64,
    /// Worth halves with each further target time; else it falls linearly until the deadline.
    pub worth_halves: bool,
    pub n_instances: usize,
    pub zone: usize,
    pub tick: Ns,
    /// Calls that this sender may have in flight at once.
    pub slots: usize,
    /// Messages it may hold, whether sent or not.
    pub max_open: usize,
    /// The longest backoff that clients follow.
    pub max_retry_after: Ns,
    pub may_duplicate: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub streams_per_conn: usize,
    pub idle_close: Ns,
    pub dial_timeout: Ns,
    /// The list gives a rate limit in calls per second, exact or (`rough_hints`) rough.
    pub hints: bool,
    pub rough_hints: bool,
    pub start_capacity: f64,
    pub warm_up: Ns,
    pub overload_multiple: f64,
    pub overload_window: Ns,
    pub key_pause: Ns,
    pub price_handshake: f64,
    pub price_cross_zone: f64,
    pub price_refused: f64,
    pub price_waste: f64,
    /// For each zone: the price of a message that a separate route there accepts.
    pub route_fee: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    pub condition: Condition,
    /// Rate limit in calls per second, if `Settings::hints` is set.
    pub hint: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub id: MsgId,
    pub class: usize,
    pub dest: DestId,
    /// How long the message may still be delivered.
    pub time_left: Ns,
    pub cost: Ns,
    pub key: Option<u64>,
    pub tenant: usize,
}

/// What an answer reports of the destination's rate limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitReport {
    /// Share of the allowance that remains.
    pub remaining: f64,
    /// Calls per second from all senders; 0 if there is no limit.
    pub limit: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    /// The new connection was turned away: the endpoint is up, but holds all the connections it takes.
    Crowded,
    ConnectionLost,
    CalledOff,
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::Crowded | Outcome::NotSent)
    }

    /// Whether the attempt may still be running after this outcome.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::NoAnswer | Outcome::ConnectionLost | Outcome::CalledOff)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub id: MsgId,
    /// Attempts of a message are numbered from 0.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub took: Ns,
    /// The message has ended, by this attempt or before.
    pub done: bool,
    /// The destination (or route) asked to send nothing for this time; 0 if it did not.
    pub wait: Ns,
    pub report: Option<LimitReport>,
    /// The connection was lost without an answer, and had carried calls before: the other side may just have
    /// closed it while it was idle.
    pub reused_connection: bool,
}

/// An attempt made by an earlier process, with times on this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct PastAttempt {
    /// `None` if the endpoint is no longer listed.
    pub endpoint: Option<EndpointId>,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// The state of a route that one process of a sender hands over to the next. A route is a destination, or one
/// endpoint of it where routes are separate. All times are durations from now: time left to wait, or time
/// passed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteState {
    pub dest: DestId,
    #[serde(skip)]
    pub endpoint: Option<EndpointId>,
    pub wait: Ns,
    pub pause: Ns,
    pub doubt: bool,
    pub cold: bool,
    pub failed: Ns,
    pub trial: Ns,
    pub failures: u32,
    pub refusals: u32,
    pub failing: f64,
    pub share: f64,
    pub share_age: Ns,
    pub tokens: f64,
    pub served: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A list of endpoints. If it is `complete`, endpoints that it does not name are gone.
    List {
        complete: bool,
        entries: Vec<Entry>,
    },
    Message(Message),
    /// A message that an earlier process of this sender accepted; `past` are its attempts, all ended with
    /// that process.
    Resumed {
        message: Message,
        past: Vec<PastAttempt>,
    },
    AttemptEnd(AttemptEnd),
    /// Destinations of calls that another process of this sender still has in flight; they hold slots. While
    /// that process sends by itself (`sends`) it has all slots.
    OtherProcess {
        sends: bool,
        calls: Vec<DestId>,
    },
    /// An attempt of that process has ended.
    OtherProcessAttemptEnd(AttemptEnd),
    /// The routes that the previous process had in use.
    RestoredRoutes(Vec<RouteState>),
    /// New settings replace the old ones. A class of open messages keeps its number and its rules: it stays
    /// in the table as long as they do, even if no new message has it.
    Settings(Settings),
    /// The client withdrew the message; it needs no answer.
    Expired {
        id: MsgId,
    },
    /// The machine is being retired (or, if false, is kept after all): all messages end now, and so does each
    /// new one.
    Evacuate(bool),
    Timer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// All messages sent to one endpoint in the same batch of actions share calls of up to `Kind::batch`
    /// messages. `timeout` 0: no timeout other than the client's.
    Send {
        id: MsgId,
        endpoint: EndpointId,
        timeout: Ns,
        /// The first byte must be written before this time, even if connecting takes long.
        send_by: Ns,
    },
    /// Final: submitting the message again is harmless.
    Refuse {
        id: MsgId,
        backoff: Ns,
        /// Because the message has no time left.
        late: bool,
    },
    /// Final: the message may have taken effect.
    Fail {
        id: MsgId,
        late: bool,
    },
    Cancel {
        id: MsgId,
        attempt: u32,
    },
    /// Close this sender's idle connections to the endpoint.
    Close {
        endpoint: EndpointId,
    },
    /// Request an `Event::Timer` at or after this time.
    Timer {
        at: Ns,
    },
}

/// Why a destination's held messages are not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    Open,
    /// All slots of the sender are in use.
    Slots,
    /// The calls in flight have reached the cap.
    Cap,
    /// No listed endpoint takes new calls.
    NoEndpoint,
    /// The destination asked to wait.
    Wait,
    /// The destination refused a call and gets none for a moment.
    Pause,
    /// The circuit breaker is open: a trial call is in flight, or the next one is not due.
    Doubt,
    /// The rate limit, or the capacity of a cold route, is used up for now.
    Pace,
}

/// The state of a destination with held messages, for logs. Nothing is decided by it.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    pub dest: DestId,
    pub held: usize,
    /// Age of the oldest held message.
    pub oldest: Ns,
    pub in_flight: usize,
    pub cap: usize,
    pub hold_reason: HoldReason,
    /// Recently served messages per second.
    pub served: f64,
    /// Calls per second that it takes from all senders (0: unknown), and the share of it used here.
    pub limit: f64,
    pub share: f64,
}
