//! Counts, means and deviations in which earlier values weigh less. Independent of senders.
use crate::api::Ns;

/// Weights halve every `HALF_LIFE_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingStats<const HALF_LIFE_MS: u64> {
    weight: f64,
    sum: f64,
    sum_of_squares: f64,
    updated_at: Ns,
}

impl<const HALF_LIFE_MS: u64> DecayingStats<HALF_LIFE_MS> {
    const HALF_LIFE: f64 = HALF_LIFE_MS as f64 * 1e6;

    /// As if `weight` values of 1 had just been recorded.
    pub fn new(weight: f64, at: Ns) -> Self {
        DecayingStats { weight, sum: weight, sum_of_squares: weight, updated_at: at }
    }

    /// The number of values, each with the weight that is left of it.
    pub fn weight_at(&self, now: Ns) -> f64 {
        self.weight * (-((now - self.updated_at).max(0) as f64) / Self::HALF_LIFE).exp2()
    }

    /// The constant rate per second that would keep the present weight.
    pub fn per_second(&self, now: Ns) -> f64 {
        self.weight_at(now) * std::f64::consts::LN_2 / (Self::HALF_LIFE / 1e9)
    }

    pub fn record(&mut self, now: Ns, value: f64) {
        let retained = if self.weight > 0.0 { self.weight_at(now) / self.weight } else { 0.0 };
        let (sum, sum_of_squares) =
            (self.sum * retained + value, self.sum_of_squares * retained + value * value);
        *self = DecayingStats { weight: self.weight * retained + 1.0, sum, sum_of_squares, updated_at: now };
    }

    pub fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }

    /// The mean plus `deviations` standard deviations.
    pub fn upper_bound(&self, deviations: f64) -> f64 {
        let variance = (self.sum_of_squares / self.weight.max(1e-9) - self.mean() * self.mean()).max(0.0);
        self.mean() + deviations * variance.sqrt()
    }
}
