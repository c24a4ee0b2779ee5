//! Numbers drawn from a seed.

/// A sequence of drawn numbers: the same for the same seed.
#[derive(Clone, Debug)]
pub struct Lot(u64);

impl Lot {
    pub fn new(seed: u64) -> Lot {
        Lot(seed)
    }

    /// A number below a bound; 0 where the bound is 0.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }

    /// One of several; nothing where there are none.
    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        from.get(self.draw(from.len() as u64) as usize)
    }
}
