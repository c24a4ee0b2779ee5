//! The pace of calls under a limit that all senders share, learned from what is served and refused.
use super::*;

/// A told wait of this length is no limit's: the route is shut. So are so many refusals in a row, where the
/// limit might explain them too.
pub const SHUT_WAIT: Ns = 1_500 * MS;
const SHUT_RUN: u32 = 4;
/// What was told of a limit's use holds for so long; in as long again an equal share grows to all.
pub const STALE: Ns = 5 * SECOND;
/// A refusal leaves this part of an equal share, and refusals in a row at least so much of it; less among
/// many. At some limits refused calls count too: nobody is served until all together ask for clearly less.
const LESS: f64 = 0.8;
const LEAST: f64 = 0.5;
/// After a refusal an equal share comes back in steps of this, each twice the one before: some waits that are
/// told, so that a limit that is still used up shows in time.
const RECOVER: Ns = SECOND;
/// Room left takes the share up by this power of the number of senders: as many answers lead from an equal
/// share to all, however many there are.
const RISE: f64 = 0.045;

/// How many calls at once a rate in calls a second allows.
fn burst(rate: f64) -> f64 {
    (0.4 * rate).clamp(1.0, 4.0)
}

impl Route {
    /// The limit as it was reported, else as the list has it; 0 where neither tells.
    pub fn rate(&self) -> f64 {
        self.limit.unwrap_or(self.hint)
    }

    /// The share that may be used: what is not told again grows back, as others' calls are not seen. Up to an
    /// equal one (`fair`) soon, as all together keep to the limit then; beyond it only once news is stale.
    pub fn share_now(&self, now: Ns, fair: f64) -> f64 {
        let since = (now - self.share_at).max(0) as f64 / SECOND as f64;
        let (recover, stale) = (RECOVER as f64 / SECOND as f64, STALE as f64 / SECOND as f64);
        let below = (fair / self.share).log2().max(0.0);
        let back = if below > 0.0 { recover * (1.0 + below) } else { 0.0 };
        if since < back {
            self.share * ((since - recover).max(0.0) / recover).exp2()
        } else {
            (self.share.max(fair) * fair.recip().powf((since - back - stale).max(0.0) / stale)).min(1.0)
        }
    }

    /// Books a report of the limit; tells what of the allowance is left, if there is one.
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

    /// A call was served. The share follows what is left of the allowance: others' calls are not seen
    /// otherwise, and served without a word of the limit tells nothing of others' part.
    pub fn served(&mut self, left: Option<f64>, n: f64, now: Ns) {
        self.served.book(now, 1.0);
        (self.failures, self.refusals, self.crowded) = (0, 0, 0);
        self.failing *= 0.7;
        self.doubt = false;
        let Some(left) = left else { return };
        let share = self.share_now(now, 1.0 / n);
        (self.share, self.share_at) = match left {
            l if l > 0.5 => ((share * n.powf(RISE)).min(1.0), now - STALE),
            l if l < 0.2 => ((share * 0.95).max(0.7 / n), now),
            _ => (share, now),
        };
    }

    /// A call was refused; tells whether that reads as shut rather than as the limit: a long wait, plenty
    /// left, or refusals only.
    pub fn refused(&mut self, wait: Ns, left: Option<f64>, n: f64, jitter: f64, now: Ns) -> bool {
        self.refused_at = now;
        self.refusals += 1;
        // Of many senders each hears few of the refusals, so each of these weighs more.
        let weight = 1.0 + (n / 3.0).max(1.0).log10();
        let less = self.share_now(now, 1.0 / n).min(1.0 / n) * LESS.powf(weight);
        self.share = less.max(LEAST.powf(weight) / n);
        // The pause is no staleness: else all would grow back in it and use up the limit by asking.
        let rate = self.rate() * self.share;
        self.share_at = now + if rate > 0.0 { (1e9 / rate).min(30e9) as Ns } else { 0 };
        // Those who were refused together come back around their turn's end, not in step at it.
        self.bucket.tokens = self.bucket.tokens.min(0.0) + 1.0 - jitter;
        let back = (PERIOD << (self.refusals - 1).min(4)) as f64 * jitter;
        self.not_before = self.not_before.max(now + back as Ns);
        left.map_or(wait >= SHUT_WAIT || self.refusals >= SHUT_RUN, |l| l > 0.4)
    }

    /// A new connection found no place. Each try costs the endpoint a handshake: all senders together try
    /// half as often as they may call, once they were turned away a few times.
    pub fn crowded(&mut self, n: f64, jitter: f64, now: Ns) {
        let turn = if self.rate() > 0.0 { 2e9 * n / self.rate() } else { f64::INFINITY };
        let back = ((PERIOD << self.crowded.min(6)) as f64).min(turn.max(PERIOD as f64));
        self.crowded += 1;
        self.not_before = self.not_before.max(now + (back * jitter) as Ns);
    }

    /// When the pace allows the next call. `ramp`: what a cold route may get.
    pub fn paced(&mut self, ramp: f64, fair: f64, now: Ns) -> Ns {
        let limit = self.rate();
        let mut rate = if limit > 0.0 { limit * self.share_now(now, fair) } else { f64::INFINITY };
        let mut burst = burst(rate);
        if self.cold {
            (rate, burst) = (rate.min(ramp), 1.0);
        }
        if rate.is_infinite() {
            // No debt from a time without a limit: it would keep a cold route closed long after its outage.
            self.bucket = Bucket::of(1.0, now);
            return now;
        }
        self.bucket.fill(rate, burst, now)
    }

    /// Whether it is as if it were made anew, listed long ago: open, warm, with all of its limit for this
    /// sender. Refusals and failures in a row, and those for want of a place, are none over such a time
    /// (`KEEP` at least since the last call); a doubt stays, as only a trial can tell.
    pub fn is_at_rest(&self, cold: Ns, fair: f64, now: Ns) -> bool {
        let open = !self.doubt && self.wait_until.max(self.not_before) <= now;
        let rate = self.rate();
        let full = rate <= 0.0 || self.bucket.is_full(rate, burst(rate), now);
        // Once warm it begins with an equal share: that is for work that stood, and past in as long again.
        let warm = self.last_failure.saturating_add(cold).saturating_add(KEEP) <= now;
        let whole = self.share_now(now, fair) >= 1.0 && self.served.aged(now) < MEASURED;
        open && full && warm && whole
    }
}
