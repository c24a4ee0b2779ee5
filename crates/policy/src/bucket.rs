//! A token bucket whose rate and depth are given with each call, as both may change. Independent of senders.
use crate::api::Ns;

#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    pub tokens: f64,
    filled_at: Ns,
}

impl Bucket {
    pub fn new(tokens: f64, now: Ns) -> Bucket {
        Bucket { tokens, filled_at: now }
    }

    pub fn is_full(mut self, rate: f64, depth: f64, now: Ns) -> bool {
        self.refill(rate, depth, now);
        self.tokens >= depth
    }

    /// Adds tokens for the time passed, at `rate` tokens per second and up to `depth`. Returns when the
    /// bucket holds one token: now or later.
    pub fn refill(&mut self, rate: f64, depth: f64, now: Ns) -> Ns {
        let passed = (now - self.filled_at).max(0) as f64 / 1e9;
        *self = Bucket { tokens: (self.tokens + passed * rate).min(depth), filled_at: now };
        if self.tokens >= 1.0 {
            now
        } else {
            now + ((1.0 - self.tokens) / rate * 1e9) as Ns + 1
        }
    }
}
