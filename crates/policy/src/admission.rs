//! The cap on calls in flight to one endpoint, for senders that keep their queue themselves: the same figures and the
//! same choice as on the ordinary path of [`crate::rules`].
use crate::api::{AttemptEnd, Class, Effect, Ns, Outcome, Settings};
use crate::rules::Dest;

/// A class of messages, as far as admission needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassDeadline {
    /// What its latency is held against, in nanoseconds.
    pub deadline: Ns,
}

/// Admission to one endpoint.
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
    /// A new endpoint: its cap starts at the top, three quarters of its slots.
    pub fn new(slots: usize, classes: &[ClassDeadline]) -> Admission {
        let settings = settings(slots, classes);
        Admission { dest: Dest::new(&settings), settings }
    }

    /// Other slots or classes; what was measured of classes that are the same stays.
    pub fn reconfigure(&mut self, slots: usize, classes: &[ClassDeadline]) {
        let changed = settings(slots, classes);
        if changed.slots != self.settings.slots || changed.classes != self.settings.classes {
            self.dest.reset(&self.settings, &changed);
            self.settings = changed;
        }
    }

    /// Calls that may be in flight.
    pub fn cap(&self) -> usize {
        self.dest.cap
    }

    /// Slots that the endpoint was last said to have.
    pub fn slots(&self) -> usize {
        self.settings.slots
    }

    /// A message of a class has come for this endpoint's service.
    pub fn record_arrival(&mut self, class: usize, now: Ns) {
        if let Some(seen) = self.dest.classes.get_mut(class) {
            seen.arrivals.book(now, 1.0);
        }
    }

    /// Books how a call ended that was sent when so many were in flight.
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
        self.dest.book(&end, class, level, now - took, &self.settings, now);
    }

    /// Chooses the cap anew; called every control period.
    pub fn update_cap(&mut self, now: Ns) {
        self.dest.choose_cap(&self.settings, now);
    }
}
