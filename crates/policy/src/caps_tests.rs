//! Checks the choice of a cap against a direct implementation of the formula, which keeps statistics for
//! every level and scores each of them.
use crate::api::*;
use crate::rng::Rng;
use crate::rules::{Dest, Stats, MIN_WEIGHT};

/// The rule of the paper, over all levels.
struct DirectFormula {
    cap: usize,
    classes: Vec<(Stats, Vec<Stats>)>,
}

fn max_cap(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

impl DirectFormula {
    fn new(cfg: &Settings) -> DirectFormula {
        let seen = (Stats::default(), vec![Stats::default(); max_cap(cfg) + 1]);
        DirectFormula { cap: max_cap(cfg), classes: vec![seen; cfg.classes.len()] }
    }

    fn reset(&mut self, old: &Settings, new: &Settings) {
        for (c, (arrivals, levels)) in self.classes.iter_mut().enumerate() {
            if old.classes[c] != new.classes[c] {
                (*arrivals, *levels) = Default::default();
            }
            levels.resize(max_cap(new) + 1, Stats::default());
        }
        self.cap = if self.cap == max_cap(old) { max_cap(new) } else { self.cap.min(max_cap(new)) };
    }

    fn choose(&mut self, cfg: &Settings, now: Ns) {
        let max_cap = max_cap(cfg);
        let mut scores = vec![0.0; max_cap + 1];
        let mut all = 0.0;
        for ((arrivals, levels), class) in self.classes.iter().zip(&cfg.classes) {
            let share = arrivals.weight_at(now);
            all += share;
            let measured: Vec<usize> =
                (1..=max_cap).filter(|&l| levels[l].weight_at(now) >= MIN_WEIGHT).collect();
            for (level, score) in scores.iter_mut().enumerate().skip(1) {
                let meets = match measured.iter().min_by_key(|&&m| (m.abs_diff(level), m)) {
                    Some(&nearest) => levels[nearest].upper_bound(1.0) < class.target as f64,
                    None => level <= self.cap,
                };
                if meets {
                    *score += level as f64 * share;
                }
            }
        }
        let best = (1..=max_cap).max_by(|&a, &b| scores[a].total_cmp(&scores[b])).unwrap_or(1);
        if scores[best] <= 0.0 && all > MIN_WEIGHT {
            self.cap = 1;
        } else if scores[best] > scores[self.cap] * (1.0 + 1e-9) {
            self.cap = best;
        }
    }
}

struct Draws(Rng);

impl Draws {
    /// A number from 0 to `n` - 1.
    fn under(&mut self, n: usize) -> usize {
        (self.0.uniform() * n as f64) as usize
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.under(all.len())]
    }

    fn class(&mut self) -> Class {
        Class {
            target: self.one_of(&[SECOND, 2 * SECOND, 3 * SECOND]),
            target_stretch: 0.0,
            deadline: 16 * SECOND,
            effect: Effect::Safe,
            scope: DedupScope::All,
            window: 0,
            worth: 1.0,
            late_worth: 0.0,
            in_order: false,
            max_attempts: 8,
        }
    }

    fn slots(&mut self) -> usize {
        self.one_of(&[1, 2, 3, 5, 8, 12, 12, 40, 100])
    }
}

#[test]
fn the_cap_equals_that_of_the_direct_formula() {
    const OUTCOMES: [Outcome; 6] = [
        Outcome::Served,
        Outcome::Served,
        Outcome::Served,
        Outcome::NoAnswer,
        Outcome::TurnedAway,
        Outcome::CalledOff,
    ];
    let mut caps = std::collections::BTreeMap::<usize, usize>::new();
    for seed in 0..300 {
        let mut draws = Draws(Rng::new(seed));
        let classes = (0..1 + draws.under(4)).map(|_| draws.class()).collect();
        let mut cfg = Settings { classes, slots: draws.slots(), ..Settings::default() };
        let (mut dest, mut direct, mut now) = (Dest::new(&cfg), DirectFormula::new(&cfg), 1_000 * SECOND);
        for step in 0..400 {
            // Mostly close together, but now and then so far apart that measurements decay or weigh nothing.
            now += draws.one_of(&[0, MS, 50 * MS, 50 * MS, 200 * MS]);
            if draws.under(60) == 0 {
                now += draws.one_of(&[5 * SECOND, 15 * SECOND, 120 * SECOND, 1_000 * SECOND]);
            }
            let class = draws.under(cfg.classes.len());
            // With equal shares, scores of levels are exactly equal.
            let arrivals = if seed % 3 == 0 { 0..cfg.classes.len() } else { class..class + draws.under(2) };
            for class in arrivals {
                dest.classes[class].arrivals.record(now, 1.0);
                direct.classes[class].0.record(now, 1.0);
            }
            // After a change of slots, a call may have been sent at a level above the maximum.
            let level = 1 + draws.under(max_cap(&cfg) + 1);
            let (outcome, reused_connection) = (draws.one_of(&OUTCOMES), draws.under(10) == 0);
            let took = draws.one_of(&[100 * MS, 900 * MS, 1_500 * MS, 2_500 * MS, 4_000 * MS]);
            let end = AttemptEnd {
                id: 0,
                attempt: 0,
                endpoint: 0,
                outcome,
                took,
                done: false,
                wait: 0,
                report: None,
                reused_connection,
            };
            dest.add(&end, class, level, now - took, &cfg, now);
            use Outcome::{ConnectionLost, NoAnswer, Served, ServerError, TurnedAway};
            let counts = matches!(outcome, Served | ServerError | TurnedAway | NoAnswer | ConnectionLost);
            if counts && !reused_connection {
                let x = if outcome == Outcome::Served { took } else { cfg.classes[class].target };
                direct.classes[class].1[level.min(max_cap(&cfg))].record(now, x as f64);
            }
            dest.choose_cap(&cfg, now);
            direct.choose(&cfg, now);
            assert_eq!(dest.cap, direct.cap, "seed {seed}, step {step}");
            *caps.entry(dest.cap).or_default() += 1;
            if draws.under(100) == 0 {
                let mut new = Settings { slots: draws.slots(), ..cfg.clone() };
                new.classes[class] = draws.class();
                dest.reset(&cfg, &new);
                direct.reset(&cfg, &new);
                cfg = new;
            }
        }
    }
    assert!(caps.len() > 30 && caps[&1] > 1_000, "caps of all sizes are chosen: {caps:?}");
}

#[test]
fn unmeasured_levels_take_no_memory_and_decayed_ones_are_freed() {
    let mut levels = crate::levels::Levels::<3_000>::default();
    let measured = |levels: &crate::levels::Levels<3_000>, now| levels.nearest(now, 0.0, 300).count();
    let first = 1_000 * SECOND;
    for level in [7, 300, 1, 7, 299] {
        levels.record(level, first, 1e9);
    }
    assert_eq!(measured(&levels, first), 4, "one for each level that was booked");
    levels.record(7, first + 300 * SECOND, 1e9);
    levels.record(50, first + 600 * SECOND, 1e9);
    assert_eq!(measured(&levels, first + 600 * SECOND), 2, "what was booked 600 s ago weighs nothing");
    levels.drop_above(49);
    assert_eq!(measured(&levels, first + 600 * SECOND), 1);
}
