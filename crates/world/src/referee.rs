//! The rules, judged from what is seen: calls at endpoints, answers, ends. It never asks a sender what it thinks.
use policy::api::{Action, DestId, Effect, EndpointId, Ns, MS};
use std::collections::BTreeMap;

/// BRIEF and PROTOCOL, the rules; DESIGN, the cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A message that was taken on has exactly one end, before its time is up.
    OneEnd,
    /// What may have run is not sent again, or handed back, where its effect may not be repeated.
    Repeat,
    /// Nothing new to an endpoint later than 500 ms after word that it drains or is gone.
    Drain,
    /// A wait that was told holds for every message.
    Wait,
    /// A partner that is back cold is not pushed over by those who knew.
    Cold,
    /// At most as many attempts as the settings allow.
    Attempts,
    /// Only to endpoints of the message's destination.
    Cell,
    /// Calls in flight to one destination stay within three quarters of the slots.
    Cap,
}

pub const RULES: [(Rule, &str); 8] = [
    (Rule::OneEnd, "one end"),
    (Rule::Repeat, "repeat"),
    (Rule::Drain, "drain"),
    (Rule::Wait, "wait"),
    (Rule::Cold, "cold"),
    (Rule::Attempts, "attempts"),
    (Rule::Cell, "cell"),
    (Rule::Cap, "cap"),
];

/// PROTOCOL: every time limit is 50 ms longer; calls within 100 ms of a wait's answer are let through.
const SLACK: Ns = 50 * MS;
/// PROTOCOL: a message is lost if it has no end 300 ms after its time.
const LOST_AFTER: Ns = 300 * MS;

/// What a send was like, as the world saw it.
pub struct Seen {
    pub at: Ns,
    pub dest: DestId,
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub cell: DestId,
    pub effect: Effect,
    /// Earlier attempts, and whether one of them may have run.
    pub attempts: u32,
    pub may_have_run: bool,
    pub most_attempts: u32,
    /// When this sender was told that the endpoint takes nothing new.
    pub closed: Option<Ns>,
    /// Until when this sender was told to wait there.
    pub wait_until: Ns,
    /// Calls in flight there with this one, and the sender's slots.
    pub in_flight: usize,
    pub slots: usize,
}

/// One breach: a rule, when, and what was seen.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub at: Ns,
    pub what: String,
}

#[derive(Default)]
pub struct Referee {
    pub counts: BTreeMap<Rule, u64>,
    /// The first few.
    pub first: Vec<Breach>,
}

const KEPT: usize = 8;

impl Referee {
    fn breach(&mut self, rule: Rule, at: Ns, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.first.len() < KEPT {
            self.first.push(Breach { rule, at, what: what() });
        }
    }

    /// A call's first byte is written.
    pub fn send(&mut self, id: u64, s: &Seen) {
        let at = s.at;
        if s.cell != s.dest {
            self.breach(Rule::Cell, at, || format!("message {id} for {} went to one of {}", s.dest, s.cell));
        }
        if s.attempts >= s.most_attempts {
            self.breach(Rule::Attempts, at, || format!("message {id} has had {} attempts", s.attempts));
        }
        if s.may_have_run && s.effect == Effect::Unsafe {
            self.breach(Rule::Repeat, at, || format!("message {id} may have run and is sent again"));
        }
        if s.closed.is_some_and(|told| at > told + 500 * MS + SLACK) {
            self.breach(Rule::Drain, at, || {
                format!("message {id} went to {} that takes nothing new", s.endpoint)
            });
        }
        if s.wait_until > at + SLACK {
            self.breach(Rule::Wait, at, || {
                format!("message {id} went to {} with {} ms left to wait", s.dest, (s.wait_until - at) / MS)
            });
        }
        if s.in_flight > (s.slots * 3 / 4).max(1) {
            self.breach(Rule::Cap, at, || {
                format!("{} calls to {} with {} slots", s.in_flight, s.dest, s.slots)
            });
        }
    }

    /// A final answer. `over`: it had one already.
    pub fn end(&mut self, id: u64, at: Ns, action: &Action, over: bool, effect: Effect, may_have_run: bool) {
        if over {
            self.breach(Rule::OneEnd, at, || format!("message {id} ends once more: {action:?}"));
        }
        if matches!(action, Action::Refuse { .. }) && may_have_run && effect == Effect::Unsafe {
            self.breach(Rule::Repeat, at, || format!("message {id} may have run and is handed back"));
        }
    }

    /// The day is over, or the message's time: it had no end by then, or only this late.
    pub fn left(&mut self, id: u64, end: Ns, at: Ns) {
        if at > end + LOST_AFTER {
            self.breach(Rule::OneEnd, at, || {
                format!("message {id} has no end {} ms after its time", (at - end) / MS)
            });
        }
    }

    pub fn pushed_over(&mut self, dest: DestId, at: Ns) {
        self.breach(Rule::Cold, at, || format!("{dest} was cold, and fell over"));
    }
}
