//! The rate of calls under a limit that all senders share, learned from served and refused calls.
use super::*;

/// A requested wait of this length means an outage, not a rate limit.
pub const OUTAGE_WAIT: Ns = 1_500 * MS;
/// This many consecutive refusals mean an outage too, if no report says how much of the limit is left.
const OUTAGE_REFUSALS: u32 = 4;
/// How long a report of the limit's use is valid; over as long again the fair share grows to the full limit.
pub const REPORT_LIFETIME: Ns = 5 * SECOND;
/// Part of the fair share left after one refusal, and the minimum after several; less among many senders.
/// Some limits count refused calls too: no call is served until all senders make clearly fewer calls.
const REFUSAL_FACTOR: f64 = 0.8;
const MIN_REFUSAL_FACTOR: f64 = 0.5;
/// The share doubles per step after a refusal, over a few requested waits, so that a used-up limit shows.
const RECOVERY_STEP: Ns = SECOND;
/// While allowance is left each answer multiplies the share by this power of the number of senders: growth
/// from the fair share to the full limit then takes the same number of answers for any number of senders.
const SHARE_RISE_EXPONENT: f64 = 0.045;

/// The depth of the token bucket for a rate in calls per second.
fn burst(rate: f64) -> f64 {
    (0.4 * rate).clamp(1.0, 4.0)
}

impl Route {
    pub fn rate(&self) -> f64 {
        self.limit.unwrap_or(self.hint)
    }

    /// The share that may be used now. A reduced one grows back, as other senders' calls are not seen: soon
    /// up to the `fair` share, which keeps the limit; above it only once the last report is out of date.
    pub fn current_share(&self, now: Ns, fair: f64) -> f64 {
        let elapsed = (now - self.share_at).max(0) as f64 / SECOND as f64;
        let (step, ttl) = (RECOVERY_STEP as f64 / SECOND as f64, REPORT_LIFETIME as f64 / SECOND as f64);
        let halvings = (fair / self.share).log2().max(0.0);
        let recovery = if halvings > 0.0 { step * (1.0 + halvings) } else { 0.0 };
        if elapsed < recovery {
            self.share * ((elapsed - step).max(0.0) / step).exp2()
        } else {
            (self.share.max(fair) * fair.recip().powf((elapsed - recovery - ttl).max(0.0) / ttl)).min(1.0)
        }
    }

    /// Records a report; returns the remaining share of the allowance, if there is a limit.
    pub fn reported(&mut self, report: LimitReport) -> Option<f64> {
        if !report.limit.is_finite() || report.limit < 0.0 {
            return None;
        }
        self.limit = Some(match self.limit {
            Some(old) if old > 0.0 && report.limit > 0.0 => old + 0.3 * (report.limit - old),
            _ => report.limit,
        });
        (report.limit > 0.0).then_some(report.remaining)
    }

    /// A call was served. The share follows the allowance left, the only sign of other senders' calls.
    pub fn served(&mut self, remaining: Option<f64>, senders: f64, now: Ns) {
        self.served.record(now, 1.0);
        (self.failures, self.refusals, self.crowded) = (0, 0, 0);
        self.failure_share *= 0.7;
        self.doubt = false;
        let Some(remaining) = remaining else { return };
        let share = self.current_share(now, 1.0 / senders);
        (self.share, self.share_at) = match remaining {
            l if l > 0.5 => ((share * senders.powf(SHARE_RISE_EXPONENT)).min(1.0), now - REPORT_LIFETIME),
            l if l < 0.2 => ((share * 0.95).max(0.7 / senders), now),
            _ => (share, now),
        };
    }

    /// A call was refused. Returns whether that means an outage rather than the limit: by plenty of allowance
    /// left or, without a report, by a long wait or many refusals.
    pub fn refused(&mut self, wait: Ns, remaining: Option<f64>, senders: f64, jitter: f64, now: Ns) -> bool {
        self.last_refusal = now;
        self.refusals += 1;
        // Each of many senders sees few of the refusals, so each refusal weighs more.
        let weight = 1.0 + (senders / 3.0).max(1.0).log10();
        let reduced = self.current_share(now, 1.0 / senders).min(1.0 / senders) * REFUSAL_FACTOR.powf(weight);
        self.share = reduced.max(MIN_REFUSAL_FACTOR.powf(weight) / senders);
        // The share must not grow back during the pause, or new calls alone would exhaust the limit.
        let rate = self.rate() * self.share;
        self.share_at = now + if rate > 0.0 { (1e9 / rate).min(30e9) as Ns } else { 0 };
        // Senders that were refused together must not return at the same time.
        self.bucket.tokens = self.bucket.tokens.min(0.0) + 1.0 - jitter;
        let pause = (CONTROL_PERIOD << (self.refusals - 1).min(4)) as f64 * jitter;
        self.paused_until = self.paused_until.max(now + pause as Ns);
        remaining.map_or(wait >= OUTAGE_WAIT || self.refusals >= OUTAGE_REFUSALS, |remaining| remaining > 0.4)
    }

    /// A new connection was turned away. Each try costs the endpoint a handshake, so after a few failures all
    /// senders together try half as often as they may call.
    pub fn crowded(&mut self, senders: f64, jitter: f64, now: Ns) {
        let interval = if self.rate() > 0.0 { 2e9 * senders / self.rate() } else { f64::INFINITY };
        let pause = ((CONTROL_PERIOD << self.crowded.min(6)) as f64).min(interval.max(CONTROL_PERIOD as f64));
        self.crowded += 1;
        self.paused_until = self.paused_until.max(now + (pause * jitter) as Ns);
    }

    /// When the rate allows the next call; a cold route gets no more than `warm_up_rate`.
    pub fn next_call_at(&mut self, warm_up_rate: f64, fair: f64, now: Ns) -> Ns {
        let limit = self.rate();
        let mut rate = if limit > 0.0 { limit * self.current_share(now, fair) } else { f64::INFINITY };
        let mut burst = burst(rate);
        if self.cold {
            (rate, burst) = (rate.min(warm_up_rate), 1.0);
        }
        if rate.is_infinite() {
            // Without a limit no debt may build up: it would block a cold route long after its outage.
            self.bucket = Bucket::new(1.0, now);
            return now;
        }
        self.bucket.refill(rate, burst, now)
    }

    /// Whether the route equals a new one: open, warm, with the full limit. Consecutive failures don't count
    /// any more, as the last call is at least `RETENTION` ago; doubt does, as only a trial ends it.
    pub fn is_at_rest(&self, warm_up: Ns, fair: f64, now: Ns) -> bool {
        let is_open = !self.doubt && self.wait_until.max(self.paused_until) <= now;
        let rate = self.rate();
        let is_full = rate <= 0.0 || self.bucket.is_full(rate, burst(rate), now);
        // After warming up it starts with the fair share, for queued messages; that is over by `RETENTION`.
        let is_warm = self.last_failure.saturating_add(warm_up).saturating_add(RETENTION) <= now;
        let full_share = self.current_share(now, fair) >= 1.0 && self.served.weight_at(now) < MIN_WEIGHT;
        is_open && is_full && is_warm && full_share
    }
}
