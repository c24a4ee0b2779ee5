//! When discovery is asked: so often that what it has to tell is in force 5 s after it can be reached, in any
//! number and whatever it did before. Of 510 senders that have lost it 190 a second ask on the average and
//! 310 at most where they are told no, 155 where they hear nothing (each once in 3 s), 212 while all is well.
use crate::api::*;
use crate::lot::Lot;

/// After a failure a sender waits so long for each that there is, and twice and four times that after more.
const ASK: Ns = 100 * MS;

pub struct DiscoveryRetry {
    lot: Lot,
    span: Ns,
    failures: u32,
}

impl DiscoveryRetry {
    /// From a question that fails to the next. 1 s of the 5 is for a slow connection, 0.5 s for the answer.
    pub const MAX_INTERVAL: Ns = 3_500 * MS;
    pub const SHORT_DELAY: Ns = 200 * MS;

    pub fn new(cfg: &Settings, seed: u64) -> DiscoveryRetry {
        // Not the row of the decisions.
        DiscoveryRetry {
            lot: Lot::seeded(!seed),
            span: ASK * cfg.n_instances.clamp(1, 100) as Ns,
            failures: 0,
        }
    }

    /// How far a start or one held up keeps from others: what discovery's agent holds binds it at once.
    pub fn initial_delay(&mut self) -> Ns {
        (self.lot.draw() * (self.span / 4).min(DiscoveryRetry::SHORT_DELAY) as f64) as Ns
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// How long it waits before it asks again, where a question that `took` so long has brought nothing.
    pub fn record_failure(&mut self, took: Ns) -> Ns {
        let span = (self.span << self.failures.min(2))
            .min((DiscoveryRetry::MAX_INTERVAL - took).max(DiscoveryRetry::SHORT_DELAY));
        self.failures += 1;
        span - (self.lot.draw() * (span / 2) as f64) as Ns
    }
}
