//! A sender's own sequence of random numbers, from a seed. Independent of senders' state.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Clone, Debug)]
pub struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// A uniform number from 0 up to, but excluding, 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }
}

impl Default for Rng {
    fn default() -> Rng {
        Rng::new(0)
    }
}
