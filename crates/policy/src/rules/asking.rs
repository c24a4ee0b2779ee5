//! Backoff of requests to service discovery. Any number of senders get its list within 5 s after it can be
//! reached again. Of 510 senders that have lost it, a mean of 190 and at most 310 a second ask while they are
//! refused, and 155 while they get no answer (each once in 3 s); 212 a second ask in normal operation.
use crate::api::*;
use crate::rng::Rng;

/// Delay after a first failure, times the number of senders; doubled and quadrupled after further failures.
const DELAY: Ns = 100 * MS;

/// The delays before one sender's requests to discovery.
pub struct DiscoveryRetry {
    rng: Rng,
    span: Ns,
    failures: u32,
}

impl DiscoveryRetry {
    /// From a request that fails to the next. Of the 5 s, 1 s is for a slow connection, 0.5 s for the answer.
    pub const MAX_INTERVAL: Ns = 3_500 * MS;
    pub const SHORT_DELAY: Ns = 200 * MS;

    pub fn new(cfg: &Settings, seed: u64) -> DiscoveryRetry {
        // Not the random numbers that the decisions use.
        DiscoveryRetry {
            rng: Rng::new(!seed),
            span: DELAY * cfg.n_instances.clamp(1, 100) as Ns,
            failures: 0,
        }
    }

    /// Spreads senders at their start, or after a pause; short, as they must follow the current list at once.
    pub fn initial_delay(&mut self) -> Ns {
        (self.rng.uniform() * (self.span / 4).min(DiscoveryRetry::SHORT_DELAY) as f64) as Ns
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next request, after one that `took` so long has failed.
    pub fn record_failure(&mut self, took: Ns) -> Ns {
        let span = (self.span << self.failures.min(2))
            .min((DiscoveryRetry::MAX_INTERVAL - took).max(DiscoveryRetry::SHORT_DELAY));
        self.failures += 1;
        span - (self.rng.uniform() * (span / 2) as f64) as Ns
    }
}
