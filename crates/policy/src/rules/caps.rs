//! The design's cap on calls in flight to a destination, and the latencies that it is chosen by.
use super::*;

/// A call is overdue after mean + PATIENCE deviations, and timed out at twice that where it may go again.
const PATIENCE: f64 = 3.0;
const LEAST_PATIENCE: Ns = 400 * MS;

/// Caps run from one to three quarters of the slots.
pub fn top(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

impl Dest {
    pub fn new(cfg: &Settings) -> Dest {
        Dest { cap: top(cfg), classes: vec![Seen::default(); cfg.classes.len()], ..Dest::default() }
    }

    /// New settings: what was measured of a class stands while its rules do; caps keep to new slots.
    pub fn reset(&mut self, old: &Settings, new: &Settings) {
        let same = |c: usize| old.classes.get(c).is_some_and(|o| *o == new.classes[c]);
        let mut seen = std::mem::take(&mut self.classes).into_iter();
        let kept = (0..new.classes.len()).map(|c| seen.next().filter(|_| same(c)).unwrap_or_default());
        self.classes = kept.collect();
        let (before, after) = (top(old), top(new));
        self.classes.iter_mut().for_each(|seen| seen.levels.cut(after));
        self.cap = if self.cap == before { after } else { self.cap.min(after) };
    }

    /// The design's rule: the level with the best level x share of classes that meet their aim there.
    pub fn choose_cap(&mut self, cfg: &Settings, now: Ns) {
        let (top, cap, mut all) = (top(cfg), self.cap, 0.0);
        let mut spans = Vec::with_capacity(self.classes.len());
        for (seen, class) in self.classes.iter().zip(&cfg.classes) {
            let (share, target) = (seen.arrivals.aged(now), class.target as f64);
            all += share;
            // An unmeasured level borrows the nearest; an unmeasured class just meets its aim at the cap.
            let meets = move |s: &Stat| if s.bound(1.0) < target { share } else { 0.0 };
            let near = seen.levels.nearest(now, MEASURED, top).map(move |(last, s)| (last, meets(s)));
            spans.push(near.chain([(cap, share), (top, 0.0)]));
        }
        let (mut best, mut at_cap) = ((1, 0.0), 0.0);
        levels::common_spans(spans, top, |levels, shares| {
            let score = |level: usize| shares.iter().fold(0.0, |sum, share| sum + level as f64 * share);
            // Where the same classes meet their aim the score only grows: the last level is the best.
            let last = (*levels.end(), score(*levels.end()));
            best = if last.1 >= best.1 { last } else { best };
            at_cap = if levels.contains(&cap) { score(cap) } else { at_cap };
        });
        if best.1 <= 0.0 && all > MEASURED {
            // Every class misses everywhere (hung): the paper would keep the cap; the slots are others' now.
            self.cap = 1;
        } else if best.1 > at_cap * (1.0 + 1e-9) {
            self.cap = best.0;
        }
    }

    /// Books how a message's call ended, which was sent at a level.
    pub fn book(&mut self, e: &AttemptEnd, class: usize, level: usize, sent: Ns, cfg: &Settings, now: Ns) {
        // Quick errors would read as quick answers: all but a served call books the full aim, so that a
        // class misses there once about half of its calls fail.
        let took = if e.outcome == Outcome::Served { e.took.max(0) } else { cfg.classes[class].target };
        // What never reached it, was taken back or broke on a kept connection tells nothing of its load.
        use Outcome::{CalledOff, Crowded, NoConnection, NotSent};
        if !matches!(e.outcome, NoConnection | Crowded | CalledOff | NotSent) && !e.reused_connection {
            self.classes[class].levels.book(level.min(top(cfg)), now, took as f64);
        }
        if e.outcome == Outcome::Served {
            self.served.book(now, 1.0);
        }
        // Clipped, so that one answer of a heavy tail does not stretch all time-outs; a slow spell is
        // learned within a few. A time-out tells that the latency is beyond it.
        if matches!(e.outcome, Outcome::Served | Outcome::NoAnswer | Outcome::CalledOff) {
            let known = self.latency.aged(now) >= MEASURED;
            let clip = (1.5 * self.latency.bound(PATIENCE)).max(LEAST_PATIENCE as f64);
            let took = (now - sent).max(e.took) as f64;
            self.latency.book(now, if known { took.min(clip) } else { took });
        }
    }

    /// How long a call may be out before it is overdue.
    pub fn patience(&self, cfg: &Settings, now: Ns) -> Ns {
        let target = cfg.classes.iter().map(|c| c.target).max().unwrap_or(SECOND).max(LEAST_PATIENCE);
        if self.latency.aged(now) < MEASURED {
            return target;
        }
        (self.latency.bound(PATIENCE) as Ns).clamp(LEAST_PATIENCE, target)
    }

    /// Time from one message served to the next, in nanoseconds.
    pub fn turn_every(&self, now: Ns) -> f64 {
        1e9 / self.served.per_second(now).max(0.1)
    }
}
