//! A fleet's calls to destinations that come back cold, against what these bear.
use policy::api::Settings;
use policy::rules::Sender;
use world::cold::{day, Case};
use world::scenario::Scenario;
use world::Decider;

const BASE: &str = include_str!("../../../scenarios/cold.toml");

/// Days whose outage no call outlives, and on which all senders know of each other and of the limit. What hangs and what
/// tells no limit is measured by `nickellab cold` and has falls (docs/lab.md, Open).
fn is_plain(case: &Case) -> bool {
    let outage = matches!(case.outage.as_str(), "down" | "failing" | "silent" | "shut");
    outage && case.told != "nowhere" && case.killed == 0.0 && case.upgraded == 0.0 && case.stated >= 1.0
}

fn make(settings: &Settings, seed: u64) -> Box<dyn Decider> {
    Box::new(Sender::new(settings.clone(), seed))
}

#[test]
fn no_destination_that_returns_cold_is_pushed_over_by_a_fleet_that_was_told_of_its_outage() {
    let base = Scenario::read(BASE).unwrap();
    for (senders, seeds) in [(20, 60), (30, 60), (300, 12), (510, 12)] {
        let mut returns = 0;
        for seed in (1..=seeds).filter(|&seed| is_plain(&Case::draw(seed))) {
            let (case, day) = day(&base, senders, seed, &make);
            for (dest, seen) in &day.returns {
                let pushed = seen.pushed_over;
                assert!(pushed.is_none(), "{senders} senders, seed {seed}, {dest}: {pushed:?} on {case:?}");
                returns += usize::from(seen.worst.calls > 0);
            }
        }
        assert!(returns >= 5, "{senders} senders: {returns} returns were called at");
    }
}
