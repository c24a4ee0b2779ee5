//! A token bucket whose limit may change, and to which unused tokens can be returned.
use crate::Ms;

/// Unused tokens may be returned within this time. Tokens taken are counted in windows of this length, the
/// current and the previous one.
pub const RETURN_WINDOW_MS: Ms = 100;

/// How fast a bucket fills, and how many tokens it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Fill rate.
    pub tokens_per_s: f64,
    /// Largest number of tokens held.
    pub depth: f64,
}

impl Limit {
    /// Number of tokens added in this many milliseconds.
    fn tokens_added_in(self, ms: Ms) -> f64 {
        self.tokens_per_s * ms as f64 / 1_000.0
    }
}

/// Tokens that were taken within one [`RETURN_WINDOW_MS`] and not returned.
#[derive(Clone, Copy, Debug, Default)]
struct TakenInWindow {
    window: Ms,
    tokens: u64,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    filled_at: Ms,
    current_window: TakenInWindow,
    previous_window: TakenInWindow,
}

impl Bucket {
    /// An empty bucket that starts to fill at `fills_from`, which may be in the future.
    pub fn new(limit: Limit, fills_from: Ms) -> Bucket {
        let (current_window, previous_window) = (TakenInWindow::default(), TakenInWindow::default());
        Bucket { limit, tokens: 0.0, filled_at: fills_from, current_window, previous_window }
    }

    /// Takes up to `wanted` tokens and returns how many were available.
    pub fn take(&mut self, limit: Limit, wanted: u64, now: Ms) -> u64 {
        self.fill(limit, now);
        let taken = (self.tokens.floor() as u64).min(wanted);
        self.tokens -= taken as f64;
        self.current_window.tokens += taken;
        taken
    }

    /// Returns unused tokens that were taken at `taken_at`. Tokens taken too long ago are discarded: the
    /// bucket may have been full in the meantime and would then hold more than if they had never been taken.
    pub fn return_tokens(&mut self, limit: Limit, tokens: u64, taken_at: Ms, now: Ms) {
        self.fill(limit, now);
        if taken_at > now || now - taken_at > RETURN_WINDOW_MS {
            return;
        }
        let slot = match taken_at / RETURN_WINDOW_MS == self.current_window.window {
            true => &mut self.current_window,
            false => &mut self.previous_window,
        };
        let returned = tokens.min(slot.tokens);
        slot.tokens -= returned;
        self.tokens = (self.tokens + returned as f64).min(limit.depth);
    }

    /// Milliseconds until a token is available.
    pub fn ms_until_token(&self, now: Ms) -> Ms {
        let missing = (1.0 - self.tokens).max(0.0);
        let filling = (missing / self.limit.tokens_per_s * 1_000.0).ceil().min(f64::from(u32::MAX)) as Ms;
        filling + self.filled_at.saturating_sub(now)
    }

    /// The share of the bucket's depth that is used.
    pub fn used_share(&mut self, limit: Limit, now: Ms) -> f64 {
        self.fill(limit, now);
        1.0 - self.tokens / limit.depth
    }

    /// Whether the bucket is full and no token can be returned, so that it can be discarded without loss.
    pub fn is_idle(&mut self, limit: Limit, now: Ms) -> bool {
        self.fill(limit, now);
        self.tokens >= limit.depth && self.current_window.tokens + self.previous_window.tokens == 0
    }

    /// Fills at the lower of the old and the new rate, so that an increase does not apply to the time before
    /// it was known.
    fn fill(&mut self, limit: Limit, now: Ms) {
        self.advance_window(now);
        let rate = self.limit.tokens_per_s.min(limit.tokens_per_s);
        let passed = now.saturating_sub(self.filled_at);
        let filled = self.tokens + Limit { tokens_per_s: rate, ..limit }.tokens_added_in(passed);
        let outstanding = (self.current_window.tokens + self.previous_window.tokens) as f64;
        // Outstanding tokens may still be returned and take up room; what is filled in during the two windows
        // does not count against that.
        let room = limit.depth + limit.tokens_added_in(2 * RETURN_WINDOW_MS) - outstanding;
        self.tokens = filled.min(room.max(self.tokens)).min(limit.depth);
        self.filled_at = self.filled_at.max(now);
        self.limit = limit;
    }

    fn advance_window(&mut self, now: Ms) {
        let window = now / RETURN_WINDOW_MS;
        if window == self.current_window.window {
            return;
        }
        let previous = std::mem::replace(&mut self.current_window, TakenInWindow { window, tokens: 0 });
        self.previous_window =
            if previous.window + 1 == window { previous } else { TakenInWindow::default() };
    }
}
