//! The program's own control machines and watchers in simulated time: when an acknowledged version reaches each watcher, and
//! what operators are told, while primaries stand still, are cut off, stop, or lose their disks.
#[path = "control_group/mod.rs"]
mod control_group;

use control_group::{play, Played, Trouble};
use rstest::rstest;

fn plays(seeds: std::ops::Range<u64>, troubles: &[Trouble]) -> Played {
    let mut all = Played::default();
    for seed in seeds {
        let played = play(seed, troubles, false);
        assert_eq!(played.broken, None, "seed {seed}");
        all.add(&played);
    }
    println!("{all:?}");
    assert!(all.acknowledged > 300, "too few versions were acknowledged: {}", all.acknowledged);
    all
}

/// CONFIG: an edge in touch goes by an older version than the one that was acknowledged; a read is older; a repeat is refused;
/// two orders on one version are taken.
#[rstest]
#[case::calm(&[])]
#[case::stands_still(&[Trouble::Freeze])]
#[case::cut_off(&[Trouble::Cut])]
#[case::does_not_hear(&[Trouble::CutToPrimary])]
#[case::is_not_heard(&[Trouble::CutFromPrimary])]
#[case::stops(&[Trouble::Kill, Trouble::PowerLoss])]
#[case::loses_its_disk(&[Trouble::Wipe])]
#[case::everything(&[
    Trouble::Freeze,
    Trouble::Cut,
    Trouble::CutToPrimary,
    Trouble::CutFromPrimary,
    Trouble::Kill,
    Trouble::PowerLoss,
    Trouble::Wipe,
    Trouble::Twice,
])]
fn acknowledged_versions_reach_watchers_in_touch(#[case] troubles: &[Trouble]) {
    plays(0..25, troubles);
}

#[test]
fn configurations_that_are_held_back_are_found() {
    let broken = play(1, &[], true).broken.unwrap_or_default();
    assert!(broken.contains("CONFIG: a watcher goes by version"), "{broken:?}");
}
