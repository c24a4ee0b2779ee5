//! Whether what a tenant had accepted stays within its limits.
use crate::tenants::{Ledger, Quota};
use std::time::{Duration, Instant};

/// Accepted messages are counted in every window of this length (`QuotaWindowS`).
const WINDOW: Duration = Duration::from_secs(5);
/// The share by which a limit may be exceeded in a window, and so many messages besides (`QuotaOverage`, `QuotaSlack`).
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A message that was accepted at some moment between these two.
#[derive(Clone, Copy, Debug)]
pub struct Accept {
    pub sent: Instant,
    pub by: Instant,
}

impl Quota {
    /// How many messages may be accepted in a window.
    fn bound(self) -> f64 {
        (self.rate_per_s * WINDOW.as_secs_f64() + self.burst) * (1.0 + OVERAGE) + SLACK
    }
}

/// The window of a tenant that comes nearest to its bound.
#[derive(Clone, Copy, Debug)]
pub struct Fullest {
    pub from: Instant,
    pub accepted: usize,
    pub bound: f64,
}

/// Finds it among all windows with a limit; each counts only what was surely accepted within it.
pub fn fullest_window(
    tenant: &str,
    accepts: &[Accept],
    ledger: &Ledger,
    troubles: &[Instant],
) -> Option<Fullest> {
    let windows = accepts.iter().filter_map(|first| {
        let (from, until) = (first.sent, first.sent + WINDOW);
        // A lower limit binds one window after all machines go by it.
        let since = from.checked_sub(WINDOW).unwrap_or(from);
        let quotas = ledger.quotas(tenant, since, until, troubles)?;
        let bound = quotas.into_iter().map(Quota::bound).reduce(f64::max)?;
        let accepted = accepts.iter().filter(|other| other.sent >= from && other.by <= until).count();
        Some(Fullest { from, accepted, bound })
    });
    let share = |window: &Fullest| window.accepted as f64 / window.bound;
    windows.max_by(|one, other| share(one).total_cmp(&share(other)))
}
