//! What may be lost at once, and which sets of machines outlast it.
use rstest::rstest;
use settings::{Location, Tolerance};

/// Machines by the number of the region that each stands in, each in a zone of its own.
fn in_regions(layout: &[usize]) -> Vec<Location> {
    let at = |(machine, region): (usize, &usize)| Location {
        zone: format!("zone-{machine}"),
        region: format!("region-{region}"),
    };
    layout.iter().enumerate().map(at).collect()
}

fn tolerance(machines: usize, zones: usize, regions: usize) -> Tolerance {
    Tolerance { machines, zones, regions }
}

#[rstest]
#[case::one_machine(&[0], tolerance(1, 0, 0), true)]
#[case::two_machines_of_which_one_may_be_lost(&[0, 0], tolerance(1, 0, 0), false)]
#[case::all_in_a_region(&[0, 0, 0], tolerance(1, 0, 1), true)]
#[case::in_two_regions(&[0, 1], tolerance(1, 0, 1), false)]
#[case::in_two_zones(&[0, 0], tolerance(1, 1, 0), false)]
#[case::nothing_declared_still_bears_a_machine(&[0], tolerance(0, 0, 0), true)]
fn a_loss_is_covered_by_machines_or_by_places(
    #[case] lost: &[usize],
    #[case] tolerance: Tolerance,
    #[case] covered: bool,
) {
    let lost = in_regions(lost);
    assert_eq!(tolerance.covers_loss_of(&lost.iter().collect::<Vec<_>>()), covered);
}

#[rstest]
#[case::evenly(&[0, 1, 2], tolerance(1, 0, 1), 0)]
#[case::two_in_a_region(&[0, 0, 1], tolerance(1, 0, 1), 1)]
#[case::two_two_one(&[0, 0, 1, 1, 2], tolerance(2, 0, 1), 0)]
#[case::three_one_one(&[0, 0, 0, 1, 2], tolerance(2, 0, 1), 1)]
#[case::too_few_machines(&[0, 1, 2], tolerance(2, 0, 1), 1)]
#[case::zones(&[0, 0, 0], tolerance(1, 1, 0), 0)]
fn a_majority_is_left_or_so_much_is_lacking(
    #[case] members: &[usize],
    #[case] tolerance: Tolerance,
    #[case] shortfall: usize,
) {
    let members = in_regions(members);
    assert_eq!(tolerance.majority_shortfall(&members.iter().collect::<Vec<_>>()), shortfall);
}
