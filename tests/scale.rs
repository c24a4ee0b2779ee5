//! The scale run in its short form: what it counts, and that nothing of it is left. No clock time is judged.
use scale::measurement::Measurement;
use scale::plan::Plan;
use scale::run::{play, Play};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use trial::peers::{folders, program};

/// Far longer than anything here takes.
const BOUND: Duration = Duration::from_secs(30);

/// Twenty senders of which two are real, with ten intervals a second.
const SHORT: &str = r#"
about = "a test's"
seed = 3
senders = [20]
real = 2
interval_ms = 100
starting_s = 30.0
settle_s = 4.0
rest_s = 1.0
changes = [1, 10]

[bounds]
seconds = 80.0
late_ms = 10000

[[events]]
what = "machine"
lost_s = 4.0
back_s = 25.0
"#;

fn folder(name: &str) -> PathBuf {
    folders().join(format!("scale-test-{}-{name}", std::process::id()))
}

/// Processes whose parent this is.
fn children(parent: u32) -> BTreeSet<u32> {
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let is_child = |id: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Behind the program's name, which may have spaces: its state and its parent.
        let rest = stat.rsplit(") ").next().unwrap_or_default().to_string();
        rest.split(' ').nth(1).and_then(|p| p.parse().ok()) == Some(parent)
    };
    processes.filter_map(|p| p.file_name().to_str()?.parse().ok()).filter(is_child).collect()
}

/// Processes that were given a folder of this name.
fn in_folder(folder: &Path) -> BTreeSet<u32> {
    let has = |id: &u32| {
        let given = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
        String::from_utf8_lossy(&given).contains(folder.to_str().unwrap())
    };
    children(std::process::id()).into_iter().filter(has).collect()
}

fn is_running(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with(['Z', 'X']))
}

fn until(what: &str, so: impl Fn() -> bool) {
    let until = Instant::now() + BOUND;
    while !so() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn played(plan: &str, name: &str) -> (Vec<Measurement>, Result<scale::run::Summary, String>) {
    let mut lines = Vec::new();
    let plan = Plan::read(plan).unwrap();
    println!("seed {}", plan.seed);
    let summary = play(Play {
        plan,
        program: program("nickelshed"),
        folder: folder(name),
        stop: Arc::default(),
        tell: &mut |line| lines.push(line.clone()),
        progress: &|_| {},
    });
    assert_eq!(in_folder(&folder(name)), BTreeSet::new(), "processes are left");
    let left: Vec<_> = std::fs::read_dir(folder(name)).into_iter().flatten().flatten().collect();
    assert!(left.is_empty(), "{left:?} is left");
    let _ = std::fs::remove_dir(folder(name));
    (lines, summary)
}

#[test]
fn a_small_fleet_is_counted_and_nothing_of_it_is_left() {
    let (lines, summary) = played(SHORT, "short");
    let summary = summary.unwrap();
    let of = |what: &str| -> Vec<&Measurement> {
        let all: Vec<_> = lines.iter().filter(|l| l.what == what).collect();
        assert!(!all.is_empty(), "{what} was not measured: {lines:#?}");
        all
    };
    let value = |what: &str| of(what)[0].value;
    assert_eq!((summary.processes, summary.lines), (3, lines.len()));
    assert!(summary.memory > 0 && summary.memory < summary.memory_bound);
    // All agreed: at the start, on the one that was lost, and that it was back.
    let void: Vec<_> = lines.iter().filter(|l| l.void.is_some()).collect();
    assert!(void.is_empty(), "{void:#?}");
    assert_eq!(of("time until all agree that it is lost")[0].event.as_deref(), Some("machine"));
    assert_eq!(value("wrong verdicts"), 0.0);
    // A ping, its answer, and what little else there is; none is lost between members that are not cut off.
    let datagrams = value("datagrams out a member and interval");
    assert!((1.0..4.0).contains(&datagrams), "{datagrams}");
    let bytes = value("bytes out a member and interval") / datagrams;
    assert!((60.0..600.0).contains(&bytes), "{bytes} a datagram");
    let lost = datagrams - value("datagrams in a member and interval");
    assert!(lost.abs() < 0.05 * datagrams, "{lost} of {datagrams}");
    // By those settings that were told last, at hollow and real ones.
    let events: Vec<_> =
        of("time until in force at the last real one").iter().map(|l| l.event.clone()).collect();
    assert_eq!(events, [Some("change".to_string()), Some("ten changes".to_string())]);
    for line in &lines {
        assert_eq!((line.senders, line.real, line.seed), (20, 2, 3), "{line:?}");
        let text = serde_json::to_string(line).unwrap();
        assert_eq!(&serde_json::from_str::<Measurement>(&text).unwrap(), line);
    }
}

#[test]
fn a_list_is_measured_at_one_real_sender_and_one_that_is_not_taken_says_so() {
    let plan =
        "about = \"a test's\"\nseed = 3\ndestinations = [30, 300]\ntold_by = [\"discovery\", \"known\"]\n\
                list_s = 20.0\n[bounds]\nseconds = 80.0\nlate_ms = 10000\n";
    let (lines, summary) = played(plan, "lists");
    assert_eq!(summary.unwrap().void, 0, "{lines:#?}");
    let resident: Vec<f64> =
        lines.iter().filter(|l| l.what == "resident, told by known").map(|l| l.value).collect();
    assert_eq!(resident.len(), 2);
    assert!(resident.iter().all(|bytes| (1e6..100e6).contains(bytes)), "{resident:?}");
    assert_eq!(lines.iter().filter(|l| l.what.starts_with("processor time of a change")).count(), 4);
    // A sender has no time at all to take this one.
    let (lines, _) = played(&plan.replace("list_s = 20.0", "list_s = 0.0").replace("30, 300", "300"), "late");
    let held = lines.iter().find(|l| l.what.starts_with("time until the list is held")).unwrap();
    assert_eq!(held.void.as_deref(), Some("the list was not taken within 0 s"));
}

#[test]
fn messages_that_are_handed_in_are_delivered_once_and_what_control_takes_meanwhile_is_counted() {
    let plan =
        "about = \"a test's\"\nseed = 3\nsettle_s = 0.5\nrest_s = 1.0\nparts = 2\n[bounds]\nseconds = 80.0\n\
                late_ms = 10000\n[traffic]\ndestinations = 20\nrates = [50, 200]\n";
    let (lines, summary) = played(plan, "traffic");
    assert_eq!(summary.unwrap().void, 0, "{lines:#?}");
    for (rate, handed_in) in [(50.0, 75.0), (200.0, 300.0)] {
        let of = |what: &str| -> Vec<f64> {
            let what = format!("{what}, 20 destinations");
            lines.iter().filter(|l| l.at == rate && l.what == what).map(|l| l.value).collect()
        };
        assert_eq!(of("messages handed in"), [handed_in]);
        // All destinations are up, and a client that is refused on a busy machine is told so.
        assert_eq!(of("messages taken on"), of("messages delivered"));
        let taken_on = of("messages taken on")[0];
        assert!(taken_on >= 0.9 * handed_in, "{taken_on} of {handed_in}");
        assert_eq!(of("messages sent again though they may not be"), [0.0]);
        assert_eq!(of("processor time a message").len(), 2);
        // Watches alone: nothing of control goes by the message.
        let bytes = of("bytes out a second under traffic");
        assert!(bytes.len() == 2 && bytes.iter().all(|b| (0.0..2_000.0).contains(b)), "{bytes:?}");
    }
}

#[test]
fn messages_that_are_held_are_there_after_a_restart() {
    let plan =
        "about = \"a test's\"\nseed = 3\nrest_s = 0.2\n[bounds]\nseconds = 80.0\nlate_ms = 10000\n[held]\n\
                destinations = 20\nmessages = [60]\n";
    let (lines, summary) = played(plan, "held");
    assert_eq!(summary.unwrap().void, 0, "{lines:#?}");
    let value = |what: &str| lines.iter().find(|l| l.what == what).unwrap().value;
    assert_eq!((value("messages taken on"), value("held before a restart less held after it")), (60.0, 0.0));
    assert!(lines.iter().all(|l| l.varied == "held" && l.at == 60.0), "{lines:#?}");
    assert!(value("journal's file") > 60.0 * 200.0);
}

#[test]
fn a_bound_that_is_reached_ends_the_run_with_all_that_it_started() {
    let plan = SHORT.replace("seconds = 80.0", "seconds = 1.0");
    let why = played(&plan, "bound").1.unwrap_err();
    assert_eq!(why, "the bound of 1 s is reached");
}

/// The program at work on a plan, with its first real senders running.
fn at_work(name: &str) -> (Child, BTreeSet<u32>, PathBuf) {
    let plan = folder(name).with_extension("toml");
    std::fs::create_dir_all(folders()).unwrap();
    std::fs::write(&plan, SHORT.replace("settle_s = 4.0", "settle_s = 60.0")).unwrap();
    let mut command = Command::new(program("nickellab"));
    command.arg("scale").arg(&plan).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut lab = command.spawn().unwrap();
    let mut first = String::new();
    BufReader::new(lab.stdout.take().unwrap()).read_line(&mut first).unwrap();
    assert!(first.contains("until all agree"), "{first}");
    let reals = children(lab.id());
    assert_eq!(reals.len(), 2);
    (lab, reals, plan)
}

fn state(lab: &Child) -> PathBuf {
    folders().join(format!("scale-{}", lab.id()))
}

#[test]
fn no_process_outlives_a_run_that_is_killed() {
    let (mut lab, reals, plan) = at_work("killed");
    lab.kill().unwrap();
    lab.wait().unwrap();
    until("the real senders have gone", || !reals.iter().any(|id| is_running(*id)));
    let _ = std::fs::remove_dir_all(state(&lab));
    let _ = std::fs::remove_file(plan);
}

#[test]
fn a_run_that_is_interrupted_says_so_and_leaves_nothing() {
    let (lab, reals, plan) = at_work("interrupted");
    let (id, state) = (lab.id().to_string(), state(&lab));
    assert!(state.is_dir());
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    let output = lab.wait_with_output().unwrap();
    let says = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{says}");
    assert!(says.contains("it was interrupted"), "{says}");
    until("the real senders have gone", || !reals.iter().any(|id| is_running(*id)));
    assert!(!state.exists());
    let _ = std::fs::remove_file(plan);
}

#[test]
fn a_wrong_plan_is_one_error_with_file_and_place() {
    let plan = folder("wrong").with_extension("toml");
    std::fs::create_dir_all(folders()).unwrap();
    std::fs::write(&plan, SHORT.replace("seed = 3", "seed = 3\nspeed = 9")).unwrap();
    let output = Command::new(program("nickellab")).arg("scale").arg(&plan).output().unwrap();
    let says = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), output.stdout.is_empty()), (Some(2), true), "{says}");
    let file: &Path = &plan;
    assert!(says.contains(file.to_str().unwrap()) && says.contains("line 4"), "{says}");
    let _ = std::fs::remove_file(plan);
}
