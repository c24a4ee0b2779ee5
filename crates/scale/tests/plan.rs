//! A plan that is wrong is turned down with its place.
use scale::plan::{Begin, Plan, What};
use std::path::Path;

const PLAN: &str = r#"
about = "a test's"
seed = 7
senders = [20, 40]
real = 2
interval_ms = 200
begin = "first"
starting_s = 5.0
rest_s = 3.0
changes = [1, 10]

[bounds]
seconds = 60.0
late_ms = 50

[[events]]
what = "region one-way"
lost_s = 4.0
back_s = 6.5
"#;

#[test]
fn a_plan_is_read_whole() {
    let plan = Plan::read(PLAN).unwrap();
    assert_eq!((plan.seed, plan.senders.as_slice(), plan.real, plan.interval_ms), (7, &[20, 40][..], 2, 200));
    assert_eq!((plan.begin, plan.events[0].what), (Begin::First, What::RegionOneWay));
    assert_eq!((plan.parts, plan.settle_s, plan.changes.as_slice()), (1, 0.0, &[1, 10][..]));
}

#[test]
fn each_fault_is_told_once_with_its_place() {
    let table = [
        ("seed = 7", "seed = 7\nspeed = 9", "unknown field `speed`"),
        ("seed = 7", "seed = \"many\"", "invalid type: string \"many\""),
        ("seed = 7\n", "", "missing field `seed`"),
        ("what = \"region one-way\"", "what = \"planet\"", "unknown variant `planet`"),
        ("lost_s = 4.0", "lost_s = 0", "events[0].lost_s is not from 0.1 to 90: 0"),
        ("senders = [20, 40]", "senders = [20, 601]", "senders[1] is not from 3 to 600: 601"),
        ("real = 2", "real = 21", "senders[0] is not from 21 to 600: 20"),
        ("real = 2", "real = 200", "real is not from 0 to 199: 200"),
        ("interval_ms = 200", "interval_ms = 99", "interval_ms is not from 100 to 60000: 99"),
        ("seconds = 60.0", "seconds = 91", "bounds.seconds is not from 1 to 90: 91"),
        ("changes = [1, 10]", "changes = [0]", "changes[0] is not from 1 to 100: 0"),
        ("changes = [1, 10]", "destinations = [30]", "destinations and told_by go together"),
        ("changes = [1, 10]", "destinations = [200001]", "destinations[0] is not from 1 to 200000: 200001"),
        ("senders = [20, 40]", "", "senders and destinations are both empty"),
        ("seed = 7", "seed = 7\nseed = 8", "duplicate key"),
    ];
    for (old, new, says) in table {
        let text = PLAN.replace(old, new);
        assert_ne!(text, PLAN, "{old}");
        let why = Plan::read(&text).expect_err(new);
        assert!(why.contains(says), "{new:?}: {why}");
    }
    // What TOML itself finds has its line.
    let why = Plan::read(&PLAN.replace("seed = 7", "seed = 7\nspeed = 9")).unwrap_err();
    assert!(why.contains("line 4"), "{why}");
}

#[test]
fn a_file_that_is_not_there_or_is_wrong_is_named() {
    let why = Plan::open(Path::new("nowhere/none.toml")).unwrap_err();
    assert!(why.starts_with("nowhere/none.toml can't be read"), "{why}");
}

#[test]
fn the_plans_that_are_kept_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale");
    let files = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let plans: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    assert!(!plans.is_empty());
    plans.iter().for_each(|path| _ = Plan::open(path).unwrap());
}
