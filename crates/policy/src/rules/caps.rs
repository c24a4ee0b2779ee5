//! The cap on calls in flight to a destination, and the latency measurements that it is chosen by.
use super::*;

/// A call is overdue after the mean latency plus this many deviations; its timeout, if any, is twice that.
const OVERDUE_DEVIATIONS: f64 = 3.0;
const MAX_AGE_FLOOR: Ns = 400 * MS;

pub fn max_cap(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

impl Dest {
    pub fn new(cfg: &Settings) -> Dest {
        Dest { cap: max_cap(cfg), classes: vec![ClassStats::default(); cfg.classes.len()], ..Dest::default() }
    }

    /// Applies new settings: keeps measurements of unchanged classes, and adapts the cap to the slots.
    pub fn reset(&mut self, old: &Settings, new: &Settings) {
        let same = |c: usize| old.classes.get(c).is_some_and(|o| *o == new.classes[c]);
        let mut stats = std::mem::take(&mut self.classes).into_iter();
        let kept = (0..new.classes.len()).map(|c| stats.next().filter(|_| same(c)).unwrap_or_default());
        self.classes = kept.collect();
        let (before, after) = (max_cap(old), max_cap(new));
        self.classes.iter_mut().for_each(|stats| stats.levels.drop_above(after));
        self.cap = if self.cap == before { after } else { self.cap.min(after) };
    }

    /// Chooses the level with the best product of level and share of classes that meet their target there.
    pub fn choose_cap(&mut self, cfg: &Settings, now: Ns) {
        let (max_cap, cap, mut total_arrivals) = (max_cap(cfg), self.cap, 0.0);
        let mut spans = Vec::with_capacity(self.classes.len());
        for (stats, class) in self.classes.iter().zip(&cfg.classes) {
            let (share, target) = (stats.arrivals.weight_at(now), class.target as f64);
            total_arrivals += share;
            // Unmeasured levels use the nearest measured one; unmeasured classes are on target up to the cap.
            let meets = move |s: &Stats| if s.upper_bound(1.0) < target { share } else { 0.0 };
            let known = stats.levels.nearest(now, MIN_WEIGHT, max_cap).map(move |(last, s)| (last, meets(s)));
            spans.push(known.chain([(cap, share), (max_cap, 0.0)]));
        }
        let (mut best, mut at_cap) = ((1, 0.0), 0.0);
        levels::common_spans(spans, max_cap, |levels, shares| {
            let score = |level: usize| shares.iter().fold(0.0, |sum, share| sum + level as f64 * share);
            // While the same classes meet their target the score rises with the level: the last one is best.
            let last = (*levels.end(), score(*levels.end()));
            best = if last.1 >= best.1 { last } else { best };
            at_cap = if levels.contains(&cap) { score(cap) } else { at_cap };
        });
        if best.1 <= 0.0 && total_arrivals > MIN_WEIGHT {
            // No class meets its target at any level: the destination hangs. The paper would keep the cap;
            // here the slots go to other destinations.
            self.cap = 1;
        } else if best.1 > at_cap * (1.0 + 1e-9) {
            self.cap = best.0;
        }
    }

    /// Records how a message's call ended, and the level at which it was sent.
    pub fn add(&mut self, end: &AttemptEnd, class: usize, level: usize, sent: Ns, cfg: &Settings, now: Ns) {
        // A quick error must not look like a quick answer. Unless served, a call counts with the full target,
        // so a class misses its target once about half of its calls fail.
        let took = if end.outcome == Outcome::Served { end.took.max(0) } else { cfg.classes[class].target };
        // Calls that never arrived, were cancelled or broke on a reused connection don't show its load.
        use Outcome::{CalledOff, Crowded, NoConnection, NotSent};
        if !matches!(end.outcome, NoConnection | Crowded | CalledOff | NotSent) && !end.reused_connection {
            self.classes[class].levels.record(level.min(max_cap(cfg)), now, took as f64);
        }
        if end.outcome == Outcome::Served {
            self.served.record(now, 1.0);
        }
        // Clipped, so that one very slow answer does not lengthen all timeouts; lasting slowness is learned
        // within a few calls. A timeout counts too, as the latency is above it.
        if matches!(end.outcome, Outcome::Served | Outcome::NoAnswer | Outcome::CalledOff) {
            let is_measured = self.latency.weight_at(now) >= MIN_WEIGHT;
            let clip = (1.5 * self.latency.upper_bound(OVERDUE_DEVIATIONS)).max(MAX_AGE_FLOOR as f64);
            let took = (now - sent).max(end.took) as f64;
            self.latency.record(now, if is_measured { took.min(clip) } else { took });
        }
    }

    /// How long a call may be in flight before it is overdue.
    pub fn max_age(&self, cfg: &Settings, now: Ns) -> Ns {
        let target = cfg.classes.iter().map(|c| c.target).max().unwrap_or(SECOND).max(MAX_AGE_FLOOR);
        if self.latency.weight_at(now) < MIN_WEIGHT {
            return target;
        }
        (self.latency.upper_bound(OVERDUE_DEVIATIONS) as Ns).clamp(MAX_AGE_FLOOR, target)
    }

    /// Mean time between served messages, in nanoseconds.
    pub fn turn_interval(&self, now: Ns) -> f64 {
        1e9 / self.served.per_second(now).max(0.1)
    }
}
