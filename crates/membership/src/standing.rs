//! What part of those who are expected a member is in, by its own view, and what follows from that.
use crate::Ms;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// It is not expected by anybody yet: no fleet has formed, or it has not been taken in.
    Forming,
    /// Nobody else who is expected is heard of.
    Alone,
    /// Half of those who are expected, or fewer.
    Minority,
    /// More than half.
    Majority,
    /// All.
    Whole,
}

impl Standing {
    pub const ALL: [Standing; 5] =
        [Standing::Forming, Standing::Alone, Standing::Minority, Standing::Majority, Standing::Whole];

    pub fn name(self) -> &'static str {
        match self {
            Standing::Forming => "forming",
            Standing::Alone => "alone",
            Standing::Minority => "minority",
            Standing::Majority => "majority",
            Standing::Whole => "whole",
        }
    }

    /// `expected`: names in the roster, the own one if `included`; `present`: those of them that are heard of, itself too.
    pub fn of(included: bool, present: usize, expected: usize) -> Standing {
        match (included, present, expected) {
            (false, ..) => Standing::Forming,
            (_, p, n) if p >= n => Standing::Whole,
            (_, p, n) if 2 * p > n => Standing::Majority,
            (_, 1, _) => Standing::Alone,
            _ => Standing::Minority,
        }
    }

    /// The one table of what follows. Clients, deliveries and readiness follow from it in nothing.
    pub fn permissions(self) -> Permissions {
        let most = self >= Standing::Majority;
        Permissions { duties: most, permits: most, strikes: most, admissions: most }
    }
}

/// What a member may do by its standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Take and keep a duty of the fleet.
    pub duties: bool,
    /// Let a machine drain.
    pub permits: bool,
    /// Strike one off that is not heard of, unless the operator vouches that it is gone.
    pub strikes: bool,
    /// Take in one that is not expected yet.
    pub admissions: bool,
}

/// One that fell into a small part so often within so many intervals comes and goes: it holds no duty until that is longer
/// ago.
const FALLS: usize = 3;
const FORGIVEN: u64 = 120;
/// For so many intervals a better standing must last before it counts; a worse one counts at once.
const STEADY: u64 = 5;

/// A standing with its past.
#[derive(Clone, Debug)]
pub struct StandingTracker {
    pub current: Standing,
    pub since: Ms,
    /// Times that it has changed.
    pub changes: u64,
    /// A better one, and since when it would be so.
    better: Option<(Standing, Ms)>,
    /// When it last fell into a small part, the latest last.
    falls: VecDeque<Ms>,
}

impl StandingTracker {
    pub fn new(now: Ms) -> StandingTracker {
        StandingTracker {
            current: Standing::Forming,
            since: now,
            changes: 0,
            better: None,
            falls: VecDeque::new(),
        }
    }

    /// The standing that the view gives at this moment; true if what counts has changed. `behind`: others know of changes
    /// that this one does not: what it takes for the greater part may be none.
    pub fn observe(&mut self, raw: Standing, behind: bool, now: Ms, interval: Ms) -> bool {
        let raw =
            if behind && raw > self.current { raw.min(Standing::Minority).max(self.current) } else { raw };
        if raw <= self.current {
            self.better = None;
            return raw < self.current && self.change(raw, now);
        }
        // Of what it was meanwhile the least counts.
        let (least, since) = self.better.map_or((raw, now), |(seen, since)| (seen.min(raw), since));
        self.better = Some((least, since));
        now >= since + STEADY * interval && self.change(least, now)
    }

    /// It comes and goes. Times are forgiven one by one.
    pub fn is_damped(&self, now: Ms, interval: Ms) -> bool {
        let recent = |at: &&Ms| now.saturating_sub(**at) < FORGIVEN * interval;
        self.falls.iter().filter(recent).count() >= FALLS
    }

    fn change(&mut self, to: Standing, now: Ms) -> bool {
        if self.current.permissions().duties && !to.permissions().duties {
            self.falls.push_back(now);
            if self.falls.len() > FALLS {
                self.falls.pop_front();
            }
        }
        (self.current, self.since, self.better) = (to, now, None);
        self.changes += 1;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn halves_and_thirds_are_minorities_and_no_two_parts_are_both_more_than_half() {
        assert_eq!(Standing::of(true, 3, 6), Standing::Minority);
        assert_eq!(Standing::of(true, 1, 2), Standing::Alone);
        assert_eq!(Standing::of(true, 2, 6), Standing::Minority);
        assert_eq!(Standing::of(true, 2, 3), Standing::Majority);
        assert_eq!(Standing::of(true, 1, 1), Standing::Whole);
        assert_eq!(Standing::of(false, 5, 5), Standing::Forming);
        for n in 1..40 {
            for p in 1..n {
                let both = [p, n - p].map(|p| Standing::of(true, p, n).permissions().duties);
                assert_ne!(both, [true, true], "{p} of {n}");
            }
        }
    }

    #[test]
    fn worse_counts_at_once_and_better_only_if_it_lasts() {
        let mut held = StandingTracker::new(0);
        assert!(!held.observe(Standing::Whole, false, 0, 1_000));
        assert!(!held.observe(Standing::Majority, false, 1_000, 1_000), "it is shorter than it must be");
        assert!(held.observe(Standing::Whole, false, 5_000, 1_000));
        assert_eq!((held.current, held.changes), (Standing::Majority, 1), "the least of what it was");
        assert!(held.observe(Standing::Alone, false, 5_001, 1_000));
        // A cut that heals and returns never counts as healed.
        for turn in 0..20 {
            assert!(!held.observe(Standing::Whole, false, 6_000 + turn * 4_000, 1_000));
            assert!(!held.observe(Standing::Alone, false, 8_000 + turn * 4_000, 1_000));
        }
        assert_eq!((held.current, held.changes), (Standing::Alone, 2));
        // Others know more: what looks like all may be the smaller part.
        (0..9).for_each(|n| _ = held.observe(Standing::Whole, true, 200_000 + n * 1_000, 1_000));
        assert_eq!(held.current, Standing::Minority);
    }

    #[test]
    fn one_that_comes_and_goes_is_damped_and_forgiven_by_time() {
        let mut held = StandingTracker::new(0);
        let mut now = 0;
        for falls in 0..4 {
            assert_eq!(held.is_damped(now, 1_000), falls >= FALLS, "after {falls}");
            held.observe(Standing::Whole, false, now, 1_000);
            now += 6_000;
            assert!(held.observe(Standing::Whole, false, now, 1_000));
            assert!(held.observe(Standing::Minority, false, now + 500, 1_000));
            now += 1_000;
        }
        assert!(held.is_damped(now, 1_000));
        // Two falls of the last three are still young then.
        assert!(!held.is_damped(now + (FORGIVEN - 8) * 1_000, 1_000));
    }
}
