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

/// Replaces each first text by the second: what the plan is then turned down with has the third.
fn each_is_turned_down(plan: &str, table: &[(&str, &str, &str)]) {
    for (old, new, says) in table {
        let text = plan.replace(old, new);
        assert_ne!(text, plan, "{old}");
        let why = Plan::read(&text).expect_err(new);
        assert!(why.contains(says), "{new:?}: {why}");
    }
}

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
        ("senders = [20, 40]", "", "no senders, destinations, traffic or held messages: nothing is played"),
        ("seed = 7", "seed = 7\nseed = 8", "duplicate key"),
    ];
    each_is_turned_down(PLAN, &table);
    // What TOML itself finds has its line.
    let why = Plan::read(&PLAN.replace("seed = 7", "seed = 7\nspeed = 9")).unwrap_err();
    assert!(why.contains("line 4"), "{why}");
}

const TRAFFIC: &str = r#"
about = "a test's"
seed = 7
rest_s = 3.0

[bounds]
seconds = 60.0
late_ms = 50

[traffic]
destinations = 30
rates = [10, 100.5]
"#;

#[test]
fn traffic_is_bounded_and_varies_one_thing() {
    let traffic = Plan::read(TRAFFIC).unwrap().traffic.unwrap();
    assert_eq!((traffic.rates.as_slice(), traffic.down.as_slice()), (&[10.0, 100.5][..], &[0.0][..]));
    let table = [
        ("rest_s = 3.0", "", "rest_s is not from 0.1 to 90: 0"),
        ("destinations = 30", "destinations = 0", "traffic.destinations is not from 1 to 200000: 0"),
        ("[10, 100.5]", "[10, 5001]", "traffic.rates[1] is not from 1 to 5000: 5001"),
        ("[10, 100.5]", "[10, nan]", "traffic.rates[1] is not from 1 to 5000: NaN"),
        ("[10, 100.5]", "[]", "traffic.rates and traffic.down need a value each"),
        ("[10, 100.5]", "[10]\ndown = [1.1]", "traffic.down[0] is not from 0 to 1: 1.1"),
        (
            "[10, 100.5]",
            "[10, 20]\ndown = [0, 0.1]",
            "traffic.rates and traffic.down both have several values",
        ),
        ("[10, 100.5]", "[10]\ndisk_mb = 1001", "traffic.disk_mb is not from 1 to 1000: 1001"),
        ("[10, 100.5]", "[10]\nrate = 3", "unknown field `rate`"),
    ];
    each_is_turned_down(TRAFFIC, &table);
}

#[test]
fn held_messages_are_bounded() {
    let plan = TRAFFIC.replace("[traffic]", "[held]").replace("rates = [10, 100.5]", "messages = [10, 200]");
    assert_eq!(Plan::read(&plan).unwrap().held.unwrap().messages, [10, 200]);
    let table = [
        ("rest_s = 3.0", "", "rest_s is not from 0.1 to 90: 0"),
        ("destinations = 30", "destinations = 200001", "held.destinations is not from 1 to 200000: 200001"),
        ("[10, 200]", "[10, 50001]", "held.messages[1] is not from 1 to 50000: 50001"),
        ("[10, 200]", "[10, 1.5]", "invalid type: floating point `1.5`"),
        ("[10, 200]", "[10]\ndisk_mb = 0", "held.disk_mb is not from 1 to 1000: 0"),
        ("[10, 200]", "[10]\nrates = [3]", "unknown field `rates`"),
    ];
    each_is_turned_down(&plan, &table);
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
