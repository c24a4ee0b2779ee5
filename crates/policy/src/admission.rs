//! The cap on calls in flight to one endpoint, for senders that keep their own queue: the same measurements
//! and the same choice as in [`crate::rules`].
use crate::api::{AttemptEnd, Class, Effect, Ns, Outcome, Settings};
use crate::rules::Dest;

/// The part of a class of messages that admission needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassDeadline {
    /// The latency that its calls must stay below, in nanoseconds.
    pub deadline: Ns,
}

/// Admission control for one endpoint.
pub struct Admission {
    settings: Settings,
    dest: Dest,
}

fn settings(slots: usize, classes: &[ClassDeadline]) -> Settings {
    let class = |class: &ClassDeadline| Class {
        target: class.deadline,
        target_stretch: 0.0,
        deadline: class.deadline,
        effect: Effect::Unsafe,
        scope: crate::api::DedupScope::All,
        window: 0,
        worth: 1.0,
        late_worth: 0.0,
        in_order: false,
        max_attempts: 1,
    };
    Settings { slots, classes: classes.iter().map(class).collect(), ..Settings::default() }
}

impl Admission {
    /// A new endpoint: its cap starts at the maximum, three quarters of its slots.
    pub fn new(slots: usize, classes: &[ClassDeadline]) -> Admission {
        let settings = settings(slots, classes);
        Admission { dest: Dest::new(&settings), settings }
    }

    /// Changes slots or classes; measurements of unchanged classes are kept.
    pub fn reconfigure(&mut self, slots: usize, classes: &[ClassDeadline]) {
        let changed = settings(slots, classes);
        if changed.slots != self.settings.slots || changed.classes != self.settings.classes {
            self.dest.reset(&self.settings, &changed);
            self.settings = changed;
        }
    }

    /// The number of calls that may be in flight.
    pub fn cap(&self) -> usize {
        self.dest.cap
    }

    /// The slots that the endpoint last reported.
    pub fn slots(&self) -> usize {
        self.settings.slots
    }

    /// Records that a message of a class has arrived for this endpoint's service.
    pub fn record_arrival(&mut self, class: usize, now: Ns) {
        if let Some(stats) = self.dest.classes.get_mut(class) {
            stats.arrivals.record(now, 1.0);
        }
    }

    /// Records how a call ended; `level` is the number of calls in flight when it was sent.
    pub fn record_end(&mut self, outcome: Outcome, took: Ns, class: usize, level: usize, now: Ns) {
        if class >= self.settings.classes.len() {
            return;
        }
        let end = AttemptEnd {
            id: 0,
            attempt: 0,
            endpoint: 0,
            outcome,
            took,
            done: outcome == Outcome::Served,
            wait: 0,
            report: None,
            reused_connection: false,
        };
        self.dest.add(&end, class, level, now - took, &self.settings, now);
    }

    /// Chooses the cap; called every control period.
    pub fn update_cap(&mut self, now: Ns) {
        self.dest.choose_cap(&self.settings, now);
    }
}
