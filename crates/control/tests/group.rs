//! The control group under seeded schedules of message loss, delay, partitions, kills, freezes, power loss and disk loss,
//! with planned stops and replacements, while operators change and read the configuration at any machine.
//!
//! Checked properties: a confirmed change is never lost or rejected afterwards; no two changes to the same version, or with
//! the same version number, are confirmed; a rejected change is not in force; a read returns nothing older than what was
//! confirmed before it began; an epoch has one primary; after the faults there is a primary, and lost members were replaced.
//! Planted bugs show that these checks detect violations.
mod network;

use network::{Bug, Loss, Network, Outcome, Regime};
use rstest::rstest;
use settings::{Location, Tolerance};

/// How long faults are injected in each run.
const FAULT_PERIOD_MS: u64 = 40_000;

/// Runs the seeds and adds up what happened.
fn run(seeds: std::ops::Range<u64>, count: usize, tolerance: usize, regime: Regime) -> Outcome {
    let mut all = Outcome::default();
    for seed in seeds {
        let outcome = Network::with_regime(seed, count, tolerance, Bug::None, regime).run(FAULT_PERIOD_MS);
        assert_eq!(outcome.violation, None, "seed {seed}");
        all.acknowledged += outcome.acknowledged;
        all.repeats += outcome.repeats;
        all.rejected += outcome.rejected;
        all.reads += outcome.reads;
        all.epochs += outcome.epochs;
        all.replaced += outcome.replaced;
    }
    println!("{count} machines, {regime:?}: {all:?}");
    all
}

#[test]
fn confirmed_changes_are_never_lost_or_rejected_and_each_epoch_has_one_primary() {
    let outcome = run(0..300, 3, 1, Regime::Tolerated);
    assert!(outcome.acknowledged > 20_000, "too few to tell: {outcome:?}");
    assert!(
        outcome.epochs > 1_000 && outcome.reads > 40_000 && outcome.rejected > 20_000,
        "too few to tell: {outcome:?}"
    );
    assert!(outcome.repeats > 10_000 && outcome.replaced > 40, "too few to tell: {outcome:?}");
}

/// More machines than tolerated are down, isolated or frozen at once, for up to twenty seconds. No more disks are lost at
/// once than tolerated.
#[test]
fn no_change_is_lost_while_more_machines_are_down_than_tolerated() {
    let outcome = run(10_000..10_200, 3, 1, Regime::BeyondTolerated);
    assert!(outcome.acknowledged > 6_000 && outcome.epochs > 700, "too few to tell: {outcome:?}");
    run(11_000..11_080, 5, 2, Regime::BeyondTolerated);
    run(12_000..12_100, 3, 1, Regime::Rapid);
    run(13_000..13_060, 5, 2, Regime::Rapid);
}

/// The primary is isolated or frozen, clients reach both sides, and delayed messages arrive later.
#[test]
fn an_isolated_primary_gives_no_stale_answers() {
    let outcome = run(14_000..14_150, 3, 1, Regime::IsolatedPrimary);
    assert!(outcome.epochs > 600, "too few to tell: {outcome:?}");
    run(15_000..15_050, 5, 2, Regime::IsolatedPrimary);
}

#[test]
fn a_group_with_spare_machines_keeps_its_size() {
    run(1_000..1_100, 5, 1, Regime::Tolerated);
}

#[test]
fn five_machines_tolerate_the_loss_of_two() {
    run(2_000..2_100, 5, 2, Regime::Tolerated);
}

/// The next loss may come as soon as the replacement had its time to catch up (`CatchUpS`, by tolerance). After a planned
/// leave it may come at once, except while the last member hasn't received the new view.
#[rstest]
#[case(Loss::Disk, 1, 4_500)]
#[case(Loss::Disk, 2, 6_000)]
#[case(Loss::Machine, 1, 4_500)]
#[case(Loss::Machine, 2, 6_000)]
#[case(Loss::Planned, 1, 100)]
#[case(Loss::Planned, 2, 100)]
fn the_next_loss_is_tolerated_in_time(#[case] loss: Loss, #[case] tolerance: usize, #[case] bound: u64) {
    let times = (0..20).map(|seed| {
        let network = Network::new(seed, 2 * tolerance + 1, tolerance, Bug::None);
        network.time_until_next_loss_is_tolerated(loss).expect("the next loss is never tolerated")
    });
    let times: Vec<u64> = times.collect();
    println!("{loss:?}, tolerance {tolerance}: the next loss is tolerated after {times:?} ms");
    assert!(times.iter().all(|time| *time <= bound), "{times:?} ms");
}

/// Guards against an endless election: two candidates that act at the same times asked for the same epoch, rejected each
/// other, and retried after the same delay.
#[rstest]
fn machines_in_lockstep_elect_a_primary_within_a_second(
    #[values(3, 5)] count: usize,
    #[values(10, 50, 100)] every: u64,
) {
    for seed in 0..20 {
        let recovery_time = Network::in_lockstep(seed, count, every).recovery_time();
        assert!(
            recovery_time.is_some_and(|recovery_time| recovery_time < 1_000),
            "seed {seed}: {recovery_time:?}"
        );
    }
}

/// What the numbers of a layout stand for: zones of one region, or regions in which every machine has its own zone.
#[derive(Clone, Copy, Debug)]
enum FailureDomain {
    Zone,
    Region,
}

impl FailureDomain {
    /// The locations of machines, given the number of each machine's zone or region.
    fn locations(self, layout: &[usize]) -> Vec<Location> {
        let at = |(machine, domain): (usize, &usize)| match self {
            FailureDomain::Zone => Location { zone: format!("zone-{domain}"), region: "region".to_string() },
            FailureDomain::Region => {
                Location { zone: format!("zone-{machine}"), region: format!("region-{domain}") }
            }
        };
        layout.iter().enumerate().map(at).collect()
    }

    /// Tolerates the loss of this many machines, or of one zone or region with all its machines.
    fn tolerance(self, machines: usize) -> Tolerance {
        match self {
            FailureDomain::Zone => Tolerance { machines, zones: 1, regions: 0 },
            FailureDomain::Region => Tolerance { machines, zones: 0, regions: 1 },
        }
    }

    fn contains(self, location: &Location, number: usize) -> bool {
        match self {
            FailureDomain::Zone => location.zone == format!("zone-{number}"),
            FailureDomain::Region => location.region == format!("region-{number}"),
        }
    }
}

/// Loses every zone or region of a layout, permanently and for a while; returns the violations.
fn losses_not_survived(domain: FailureDomain, layout: &[usize], machines: usize, bug: Bug) -> Vec<String> {
    let domains = layout.iter().max().expect("machines") + 1;
    let losses = (0..6).flat_map(|seed| (0..domains).map(move |lost| (seed, lost)));
    let runs = losses.flat_map(|(seed, lost)| [None, Some(6_000)].map(|downtime| (seed, lost, downtime)));
    let violations = runs.filter_map(|(seed, lost, downtime)| {
        let network =
            Network::with_locations(seed, domain.locations(layout), domain.tolerance(machines), bug);
        let result = network.survives_loss(|location| domain.contains(location, lost), downtime);
        result.err().map(|violation| format!("seed {seed}, {lost} lost, {downtime:?}: {violation}"))
    });
    violations.collect()
}

/// Whichever zone or region is lost, a change that was confirmed just before is kept, and another machine becomes primary.
/// The first three machines are the founders, whatever their locations.
#[rstest]
#[case::evenly(&[0, 1, 2], 1)]
#[case::two_two_one(&[0, 0, 1, 1, 2], 1)]
#[case::two_two_one_of_which_two_may_be_lost(&[0, 0, 1, 1, 2], 2)]
#[case::three_one_one(&[0, 0, 0, 1, 2], 1)]
#[case::one_three_one(&[0, 1, 1, 1, 2], 1)]
#[case::three_three_one(&[1, 1, 1, 0, 0, 0, 2], 1)]
fn losing_any_tolerated_zone_or_region_keeps_a_primary_and_all_changes(
    #[values(FailureDomain::Zone, FailureDomain::Region)] domain: FailureDomain,
    #[case] layout: &[usize],
    #[case] machines: usize,
) {
    let violations = losses_not_survived(domain, layout, machines, Bug::None);
    assert!(violations.is_empty(), "{violations:#?}");
    let network = Network::with_locations(1, domain.locations(layout), domain.tolerance(machines), Bug::None);
    assert_eq!(network.unmet_tolerance(), None);
}

/// The planted bug: members are chosen by the number of machines alone.
#[rstest]
fn choosing_members_without_their_locations_is_detected(
    #[values(FailureDomain::Zone, FailureDomain::Region)] domain: FailureDomain,
    #[values(&[0, 0, 1, 1, 2], &[0, 0, 0, 1, 2])] layout: &[usize],
) {
    assert!(!losses_not_survived(domain, layout, 1, Bug::IgnoresLocations).is_empty());
}

/// With all machines in two of three regions, or with too few machines, the loss of one region can't be tolerated.
#[rstest]
#[case::two_regions(&[0, 0, 0, 1, 1], 1, "leaves no majority")]
#[case::three_of_five_in_one(&[0, 0, 0, 1, 2], 2, "leaves no majority")]
#[case::too_few(&[0, 1], 1, "3 control machines are needed, there are 2")]
fn unmet_tolerance_is_reported(#[case] layout: &[usize], #[case] machines: usize, #[case] expected: &str) {
    let network = Network::with_locations(
        1,
        FailureDomain::Region.locations(layout),
        FailureDomain::Region.tolerance(machines),
        Bug::None,
    );
    let unmet = network.unmet_tolerance().expect("something is unmet");
    assert!(unmet.contains(expected), "{unmet}");
}

/// With all machines in two regions, the group still survives the loss of the smaller one.
#[test]
fn a_group_in_two_regions_survives_the_loss_of_the_smaller_one() {
    let (layout, tolerance) =
        (FailureDomain::Region.locations(&[0, 0, 0, 1, 1]), FailureDomain::Region.tolerance(1));
    for seed in 0..6 {
        let network = Network::with_locations(seed, layout.clone(), tolerance, Bug::None);
        assert_eq!(
            network.survives_loss(|location| FailureDomain::Region.contains(location, 1), None),
            Ok(())
        );
    }
}

const ALL_REGIMES: &[Regime] =
    &[Regime::Tolerated, Regime::BeyondTolerated, Regime::Rapid, Regime::IsolatedPrimary];

/// Two planted bugs are tested in `tests/replication.rs` instead, because random schedules of 600 seeds don't
/// reach their short windows: a lease counted from the time at which a reply is read, and a rejection without
/// confirmation.
#[rstest]
#[case(Bug::EarlyAcknowledgement, ALL_REGIMES)]
#[case(Bug::ReusesIdentity, ALL_REGIMES)]
#[case(Bug::LosesState, ALL_REGIMES)]
#[case(Bug::LosesView, ALL_REGIMES)]
#[case(Bug::LosesPromise, ALL_REGIMES)]
#[case(Bug::LosesAppliedConfigurations, ALL_REGIMES)]
#[case(Bug::AcceptsOlderState, ALL_REGIMES)]
#[case(Bug::MisroutedReply, ALL_REGIMES)]
#[case(Bug::StopsWithoutWaiting, &[Regime::Tolerated])]
// This bug shows only in a short window: the first seed that detects it is 582.
#[case::reads_unconfirmed(Bug::ReadsUnconfirmed, &[Regime::IsolatedPrimary])]
fn planted_bugs_are_detected(#[case] bug: Bug, #[case] regimes: &[Regime]) {
    let first = if bug == Bug::ReadsUnconfirmed { 560 } else { 0 };
    let found = (first..first + 300).find_map(|seed| {
        let regime = regimes[seed as usize % regimes.len()];
        let violation = Network::with_regime(seed, 3, 1, bug, regime).run(FAULT_PERIOD_MS).violation?;
        Some((seed, violation))
    });
    println!("{bug:?}: detected by seed {found:?}");
    assert!(found.is_some(), "{bug:?} was not detected in 300 seeds");
}
