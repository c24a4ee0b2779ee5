//! When discovery is asked: so often that what it has to tell is in force 5 s after it can be reached, in any
//! number and whatever it did before. Of 510 senders that have lost it 190 a second ask on the average and
//! 310 at most where they are told no, 155 where they hear nothing (each once in 3 s), 212 while all is well.
use crate::api::*;
use crate::lot::Lot;

/// After a failure a sender waits so long for each that there is, and twice and four times that after more.
const ASK: Ns = 100 * MS;

pub struct Asking {
    lot: Lot,
    span: Ns,
    failures: u32,
}

impl Asking {
    /// From a question that fails to the next. 1 s of the 5 is for a slow connection, 0.5 s for the answer.
    pub const EVERY: Ns = 3_500 * MS;
    pub const SOON: Ns = 200 * MS;

    pub fn new(cfg: &Settings, seed: u64) -> Asking {
        // Not the row of the decisions.
        Asking { lot: Lot::seeded(!seed), span: ASK * cfg.n_instances.clamp(1, 100) as Ns, failures: 0 }
    }

    /// How far a start or one held up keeps from others: what discovery's agent holds binds it at once.
    pub fn first(&mut self) -> Ns {
        (self.lot.draw() * (self.span / 4).min(Asking::SOON) as f64) as Ns
    }

    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// How long it waits before it asks again, where a question that `took` so long has brought nothing.
    pub fn failed(&mut self, took: Ns) -> Ns {
        let span = (self.span << self.failures.min(2)).min((Asking::EVERY - took).max(Asking::SOON));
        self.failures += 1;
        span - (self.lot.draw() * (span / 2) as f64) as Ns
    }
}
