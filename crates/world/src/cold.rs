//! Days on which destinations with about four fifths of the traffic fail for some ten seconds and come back cold. What a fleet may be like just then is
//! drawn from the seed: each way in which a ramp that one sender keeps to may not hold for all of them.
use crate::account::Day;
use crate::fleet::play;
use crate::plan::{random, Plan};
use crate::scenario::{LimitsTold, Range, Scenario, Share, Span, Trouble, What};
use crate::Maker;
use policy::api::{Ns, MS, SECOND};
use rand::seq::IndexedRandom;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// What a day is like besides the ranges of its scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Case {
    pub outage: String,
    /// Where limits are told.
    pub told: String,
    /// Traffic as a part of full load, and full load over that of a usual destination.
    pub load: f64,
    pub size: f64,
    pub least_slots: usize,
    /// Parts of the senders that are killed during the outage, and that are replaced by a process which is told what the
    /// one before knew.
    pub killed: f64,
    pub upgraded: f64,
    /// One sender gets a third of all.
    pub hot_sender: bool,
    /// Each endpoint has a limit and a cold return of its own.
    pub separate_routes: bool,
    /// Number of senders as the settings have it, over the true one.
    pub stated: f64,
}

impl Case {
    pub fn draw(seed: u64) -> Case {
        let mut random = random(seed, 6);
        let mut one = |of: &[&str]| of.choose(&mut random).copied().unwrap_or_default().to_string();
        let outage = one(&["down", "silent", "hung", "failing", "shut"]);
        let told = one(&["lists", "answers", "nowhere"]);
        let mut pick = |of: &[f64]| of.choose(&mut random).copied().unwrap_or_default();
        // A large destination with far more than it takes is left out for its cost alone.
        let (size, most) = [(1.0, 4.0), (1.0, 4.0), (1.0, 4.0), (5.0, 3.0), (25.0, 1.5)]
            [pick(&[0.0, 1.0, 2.0, 3.0, 4.0]) as usize];
        let least_slots = pick(&[2.0, 8.0, 24.0]) as usize;
        let (killed, upgraded) = (pick(&[0.0, 0.0, 0.0, 0.3, 0.7]), pick(&[0.0, 0.0, 0.0, 0.5]));
        let (hot_sender, separate_routes) = (pick(&[0.0, 0.0, 1.0]) > 0.0, pick(&[0.0, 0.0, 1.0]) > 0.0);
        let stated = pick(&[1.0, 1.0, 1.0, 0.8, 1.25]);
        let load = f64::exp(random.random_range(f64::ln(0.2)..=f64::ln(most)));
        Case { outage, told, load, size, least_slots, killed, upgraded, hot_sender, separate_routes, stated }
    }

    /// The scenario of this case's day.
    pub fn scenario(&self, base: &Scenario, senders: usize, seed: u64) -> Scenario {
        let mut random = random(seed, 7);
        let mut day = base.clone();
        let fleet = &mut day.fleet;
        (fleet.senders, fleet.load, fleet.least_slots) = (senders, self.load, self.least_slots);
        fleet.stated = Some(((senders as f64 * self.stated).round() as usize).max(1));
        fleet.limits_told = match self.told.as_str() {
            "lists" => LimitsTold::InLists,
            "answers" => LimitsTold::InAnswers,
            _ => LimitsTold::Nowhere,
        };
        let (low, high) = (fleet.endpoints.0 as f64, fleet.endpoints.1 as f64);
        // Two to four messages a second for each destination (BENCH), of 1.75 endpoints each.
        fleet.full_load = Some((low + high) / 3.5 * random.random_range(2.0..=4.0) * self.size);
        day.kinds.iter_mut().for_each(|kind| kind.separate_routes = self.separate_routes);
        let at = random.random_range(9 * SECOND..=11 * SECOND);
        let lasts: Ns = random.random_range(7 * SECOND..=12 * SECOND);
        let part = Share(1.0);
        let outage = match self.outage.as_str() {
            "down" => What::Down { part },
            "silent" => What::Silent { part },
            "hung" => What::Hung { part },
            "failing" => What::Failing { part, fails: Share(0.95) },
            _ => What::Shut { part },
        };
        let mut trouble = |at: Ns, lasts: Option<Ns>, what| {
            day.troubles.push(Trouble { at: Span(at), lasts: lasts.map(Span), what });
        };
        trouble(at, Some(lasts), outage);
        if self.killed > 0.0 {
            let (part, back) = (Share(self.killed), Range(Span(600 * MS), Span(1_500 * MS)));
            trouble(at + lasts * random.random_range(20..95) / 100, None, What::Kill { part, back });
        }
        if self.upgraded > 0.0 {
            let part = Share(self.upgraded);
            trouble(at + lasts * random.random_range(20..95) / 100, None, What::Upgrade { part });
        }
        if self.hot_sender {
            trouble(0, None, What::HotSender { share: Share(0.33) });
        }
        day
    }
}

/// Plays the day that a seed draws for so many senders.
pub fn day(base: &Scenario, senders: usize, seed: u64, make: &Maker) -> (Case, Day) {
    let case = Case::draw(seed);
    let plan = Plan::draw(&case.scenario(base, senders, seed), seed);
    let day = play(&plan, make);
    (case, day)
}
