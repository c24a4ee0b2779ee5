//! A member's standing: which part of the expected members it can reach, and what it may do in that case.
use crate::Ms;
use std::collections::VecDeque;

/// The part of the expected members that a member can reach, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// The member is not in the roster yet: no fleet has formed, or it has not been admitted.
    Forming,
    /// No other expected member is present.
    Alone,
    /// Half of the expected members, or fewer, are present.
    Minority,
    /// More than half of the expected members are present.
    Majority,
    /// All expected members are present.
    Whole,
}

impl Standing {
    /// All standings, in the order of their codes in datagrams.
    pub const ALL: [Standing; 5] =
        [Standing::Forming, Standing::Alone, Standing::Minority, Standing::Majority, Standing::Whole];

    /// The name in logs, JSON and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Forming => "forming",
            Standing::Alone => "alone",
            Standing::Minority => "minority",
            Standing::Majority => "majority",
            Standing::Whole => "whole",
        }
    }

    /// `expected`: number of names in the roster; `in_roster`: whether the own name is among them; `present`:
    /// number of them that are present, the own one included.
    pub fn of(in_roster: bool, present: usize, expected: usize) -> Standing {
        match (in_roster, present, expected) {
            (false, ..) => Standing::Forming,
            (_, p, n) if p >= n => Standing::Whole,
            (_, p, n) if 2 * p > n => Standing::Majority,
            (_, 1, _) => Standing::Alone,
            _ => Standing::Minority,
        }
    }

    /// What the standing permits. Clients, deliveries and readiness do not depend on it.
    pub fn permissions(self) -> Permissions {
        let has_majority = self >= Standing::Majority;
        Permissions {
            hold_duties: has_majority,
            grant_permits: has_majority,
            strike_members: has_majority,
            admit_members: has_majority,
        }
    }
}

/// What a member may do by its standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Take and keep a duty of the fleet.
    pub hold_duties: bool,
    /// Grant a machine the permit to drain.
    pub grant_permits: bool,
    /// Strike off an absent member without the operator's confirmation that it is gone.
    pub strike_members: bool,
    /// Admit a member that is not expected yet.
    pub admit_members: bool,
}

/// A member that lost its majority this many times within this many intervals is unstable: it holds no duty
/// until enough of the losses are older.
const MAX_MAJORITY_LOSSES: usize = 3;
const DAMPING_INTERVALS: u64 = 120;
/// A better standing takes effect once it has lasted this many intervals; a worse one at once.
const STABLE_INTERVALS: u64 = 5;

/// The standing in force, with its history.
#[derive(Clone, Debug)]
pub struct StandingTracker {
    /// The standing in force.
    pub current: Standing,
    /// When it took effect.
    pub since: Ms,
    /// How often the standing has changed.
    pub changes: u64,
    /// The lowest of the better standings seen since this time.
    pending_improvement: Option<(Standing, Ms)>,
    /// When the majority was lost, oldest first.
    majority_losses: VecDeque<Ms>,
}

impl StandingTracker {
    /// Starts with `Forming`.
    pub fn new(now: Ms) -> StandingTracker {
        StandingTracker {
            current: Standing::Forming,
            since: now,
            changes: 0,
            pending_improvement: None,
            majority_losses: VecDeque::new(),
        }
    }

    /// Takes the standing that the current view gives. Returns whether the standing in force has changed.
    /// `behind`: others know roster changes that this member doesn't, so what looks like a majority may be
    /// none.
    pub fn observe(&mut self, observed: Standing, behind: bool, now: Ms, interval: Ms) -> bool {
        let observed = if behind && observed > self.current {
            observed.min(Standing::Minority).max(self.current)
        } else {
            observed
        };
        if observed <= self.current {
            self.pending_improvement = None;
            return observed < self.current && self.change(observed, now);
        }
        // The lowest standing during the wait takes effect.
        let (lowest, since) = self
            .pending_improvement
            .map_or((observed, now), |(previous, since)| (previous.min(observed), since));
        self.pending_improvement = Some((lowest, since));
        now >= since + STABLE_INTERVALS * interval && self.change(lowest, now)
    }

    /// Whether the majority was lost too often recently. Losses age one by one.
    pub fn is_damped(&self, now: Ms, interval: Ms) -> bool {
        let recent = |at: &&Ms| now.saturating_sub(**at) < DAMPING_INTERVALS * interval;
        self.majority_losses.iter().filter(recent).count() >= MAX_MAJORITY_LOSSES
    }

    fn change(&mut self, new_standing: Standing, now: Ms) -> bool {
        if self.current.permissions().hold_duties && !new_standing.permissions().hold_duties {
            self.majority_losses.push_back(now);
            if self.majority_losses.len() > MAX_MAJORITY_LOSSES {
                self.majority_losses.pop_front();
            }
        }
        (self.current, self.since, self.pending_improvement) = (new_standing, now, None);
        self.changes += 1;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_is_a_minority_and_no_two_partitions_both_have_a_majority() {
        assert_eq!(Standing::of(true, 3, 6), Standing::Minority);
        assert_eq!(Standing::of(true, 1, 2), Standing::Alone);
        assert_eq!(Standing::of(true, 2, 6), Standing::Minority);
        assert_eq!(Standing::of(true, 2, 3), Standing::Majority);
        assert_eq!(Standing::of(true, 1, 1), Standing::Whole);
        assert_eq!(Standing::of(false, 5, 5), Standing::Forming);
        for n in 1..40 {
            for p in 1..n {
                let both = [p, n - p].map(|p| Standing::of(true, p, n).permissions().hold_duties);
                assert_ne!(both, [true, true], "{p} of {n}");
            }
        }
    }

    #[test]
    fn a_worse_standing_counts_at_once_and_a_better_one_only_once_stable() {
        let mut tracker = StandingTracker::new(0);
        assert!(!tracker.observe(Standing::Whole, false, 0, 1_000));
        assert!(
            !tracker.observe(Standing::Majority, false, 1_000, 1_000),
            "the improvement has not lasted long enough"
        );
        assert!(tracker.observe(Standing::Whole, false, 5_000, 1_000));
        assert_eq!(
            (tracker.current, tracker.changes),
            (Standing::Majority, 1),
            "the lowest standing of the wait"
        );
        assert!(tracker.observe(Standing::Alone, false, 5_001, 1_000));
        // A partition that heals and returns never counts as healed.
        for turn in 0..20 {
            assert!(!tracker.observe(Standing::Whole, false, 6_000 + turn * 4_000, 1_000));
            assert!(!tracker.observe(Standing::Alone, false, 8_000 + turn * 4_000, 1_000));
        }
        assert_eq!((tracker.current, tracker.changes), (Standing::Alone, 2));
        // Others know roster changes that this member doesn't, so what looks like the whole fleet may be a
        // minority.
        (0..9).for_each(|n| _ = tracker.observe(Standing::Whole, true, 200_000 + n * 1_000, 1_000));
        assert_eq!(tracker.current, Standing::Minority);
    }

    #[test]
    fn repeated_majority_losses_are_damped_until_they_age() {
        let mut tracker = StandingTracker::new(0);
        let mut now = 0;
        for majority_losses in 0..4 {
            assert_eq!(
                tracker.is_damped(now, 1_000),
                majority_losses >= MAX_MAJORITY_LOSSES,
                "after {majority_losses}"
            );
            tracker.observe(Standing::Whole, false, now, 1_000);
            now += 6_000;
            assert!(tracker.observe(Standing::Whole, false, now, 1_000));
            assert!(tracker.observe(Standing::Minority, false, now + 500, 1_000));
            now += 1_000;
        }
        assert!(tracker.is_damped(now, 1_000));
        // Two of the last three losses are still recent then.
        assert!(!tracker.is_damped(now + (DAMPING_INTERVALS - 8) * 1_000, 1_000));
    }
}
