//! A sender's own row of random numbers, by its seed. Nothing here knows of senders.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Clone, Debug)]
pub struct Lot(Pcg32);

impl Lot {
    pub fn seeded(seed: u64) -> Lot {
        Lot(Pcg32::seed_from_u64(seed))
    }

    /// From 0 up to 1, which it never is.
    pub fn draw(&mut self) -> f64 {
        self.0.random()
    }
}

impl Default for Lot {
    fn default() -> Lot {
        Lot::seeded(0)
    }
}
