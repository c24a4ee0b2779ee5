//! The tables from made-up measurements whose slopes are known, and from input that is broken.

use scale::measurement::Measurement;
use scale::page::{read, render, replace, Line, BEGIN, END};

/// A point of a slope, in a run of as many senders as are varied or eight.
fn point(role: &str, what: &str, unit: &str, varied: &str, at: f64, value: f64) -> Measurement {
    let senders = if varied == "senders" { at as u32 } else { 8 };
    let [plan, role, what, unit, varied] = ["made-up", role, what, unit, varied].map(str::to_string);
    let (event, void, destinations, seed, late_ms) = (None, None, 30, 1, 4);
    let real = 8;
    Measurement {
        plan,
        role,
        what,
        unit,
        varied,
        at,
        event,
        senders,
        real,
        destinations,
        seed,
        value,
        late_ms,
        void,
    }
}

fn event(name: &str, role: &str, what: &str, unit: &str, value: f64) -> Measurement {
    Measurement { event: Some(name.to_string()), senders: 510, ..point(role, what, unit, "", 0.0, value) }
}

/// The cells of the rows that begin so.
fn rows(text: &str, start: &str) -> Vec<Vec<String>> {
    let of = text.lines().filter(|line| line.starts_with(start));
    of.map(|line| line.trim_matches('|').split('|').map(|cell| cell.trim().to_string()).collect()).collect()
}

fn row(text: &str, start: &str) -> Vec<String> {
    let mut all = rows(text, start);
    assert_eq!(all.len(), 1, "{start} in {text}");
    all.remove(0)
}

const SENDERS: [f64; 4] = [30.0, 60.0, 150.0, 255.0];

#[test]
fn a_known_line_is_found_with_its_value_at_the_planned_size_and_what_the_budget_bears() {
    // 100 B/s and 2 B/s a sender: 1,120 at 510; 4,000 at 1,950.
    let of = |at| point("membership", "bytes out", "B/s", "senders", at, 100.0 + 2.0 * at);
    let text = render(&SENDERS.map(of));
    let row = row(&text, "| membership |");
    let expected = [
        "membership",
        "bytes out",
        "senders, 4 from 30 to 255, made-up",
        "200 B/s ± 0 B/s for 100 senders",
        "100 B/s",
        "0%",
        "1.12 KB/s, `extrapolated x2`",
        "4 KB/s",
        "1,950, `extrapolated x7.65`",
        "3.82",
    ];
    assert_eq!(row, expected);
    // Measured up to the planned size, nothing of it is extrapolated but what lies beyond.
    let text = render(&[30.0, 100.0, 300.0, 510.0].map(of));
    let row = self::row(&text, "| membership |");
    assert_eq!((row[6].as_str(), row[8].as_str()), ("1.12 KB/s", "1,950, `extrapolated x3.82`"));
}

#[test]
fn the_standard_error_is_that_of_the_textbook() {
    // By hand: means 2.5 and 5.25, sums of squares 5 and of products 9.5; off by -0.4, 0.7, -0.2 and -0.1, squares 0.7.
    let points = [(1.0, 2.0), (2.0, 5.0), (3.0, 6.0), (4.0, 8.0)];
    let line = Line::through(&points).unwrap();
    assert!((line.slope - 1.9).abs() < 1e-12 && (line.intercept - 0.5).abs() < 1e-12, "{line:?}");
    assert!((line.error - (0.7f64 / 2.0 / 5.0).sqrt()).abs() < 1e-12, "{line:?}");
    // Furthest off by share: 2 where the line has 2.4.
    assert!((line.worst - 0.4 / 2.4).abs() < 1e-12, "{line:?}");
    assert_eq!(line.meets(0.25), Some(0.0));
    assert_eq!(Line { slope: 0.0, ..line }.meets(10.0), None);
    // What does not grow and is over it from the first does not pass for what can grow for ever.
    assert_eq!(Line { slope: -0.1, ..line }.meets(0.25), Some(0.0));
}

#[test]
fn seeds_have_lines_of_their_own_and_their_range_is_told() {
    let of = |seed: u64, slope: f64| {
        SENDERS.map(|at| Measurement { seed, ..point("duties", "resident", "B", "senders", at, slope * at) })
    };
    let text = render(&[of(1, 900.0), of(2, 1_000.0), of(3, 1_100.0)].concat());
    let row = row(&text, "| duties |");
    assert!(row[3].starts_with("100 KB ± "), "{row:?}");
    assert!(row[3].ends_with(" for 100 senders (90 KB to 110 KB)"), "{row:?}");
    assert_eq!(row[7], "128 MB");
    assert_eq!(row[2], "senders, 4 from 30 to 255, made-up");
}

#[test]
fn destinations_and_traffic_have_planned_sizes_of_their_own_and_messages_no_budget_of_control() {
    let lists = [30.0, 1_000.0, 4_000.0, 70_000.0]
        .map(|at| point("lists", "resident", "B", "destinations", at, 6e6 + 20_000.0 * at));
    let rate = [10.0, 100.0, 500.0, 1_549.0]
        .map(|at| point("messages", "processor time", "cores", "rate", at, 0.0002 * at));
    let flat = [10.0, 20.0, 30.0, 40.0].map(|at| point("control", "resident", "B", "churn", at, 5_000.0));
    let text = render(&[&lists[..], &rate, &flat].concat());
    let row = |start| self::row(&text, start);
    let lists = row("| lists |");
    assert_eq!(lists[6], "2,806 MB, `extrapolated x2`");
    assert_eq!((lists[8].as_str(), lists[9].as_str()), ("6,100", "0.0436"));
    let rate = row("| messages |");
    assert_eq!(rate[6..], ["31% of a core", "none", "-", "-"]);
    assert_eq!(rate[3], "2% of a core ± 0% of a core for 100 messages a second");
    let flat = row("| control |");
    assert_eq!(flat[6..], ["no size is planned", "128 MB", "does not grow", "-"]);
}

#[test]
fn plans_that_measure_the_same_make_one_line_and_an_interval_is_a_second_at_work() {
    let of = |plan: &str, what: &str, unit: &str, at: f64, value: f64| Measurement {
        plan: plan.to_string(),
        ..point("membership", what, unit, "senders", at, value)
    };
    let small =
        [30.0, 60.0, 100.0].map(|at| of("small", "bytes out a member and interval", "B", at, 390.0 + at));
    let large = [of("large", "bytes out a member and interval", "B", 510.0, 900.0)];
    let time = "processor time a member and interval, real";
    let busy = SENDERS.map(|at| of("small", time, "us", at, 2.0 * at));
    // A whole second of all else that control does is in the processor time of this plan: it has no place on that line.
    let slow = [of("large", time, "us", 510.0, 9_000.0)];
    let starting =
        SENDERS.map(|at| of("small", "bytes out a member and interval, starting", "B", at, 2.0 * at));
    let text = render(&[&small[..], &large, &busy, &slow, &starting].concat());
    let row = |start| self::row(&text, start);
    let bytes = row("| membership | bytes out a member and interval | ");
    assert_eq!(bytes[2], "senders, 4 from 30 to 510, large, small");
    assert_eq!(bytes[6..], ["900 B", "4 KB", "3,610, `extrapolated x7.08`", "7.08"]);
    let slow = row("| membership | processor time a member and interval, real | 510 senders, large");
    assert_eq!(slow[3], "9,000 us");
    let busy = row("| membership | processor time a member and interval, real | senders, 4");
    assert_eq!(
        busy[6..],
        ["1,020 us, `extrapolated x2`", "22,000 us", "11,000, `extrapolated x43.1`", "21.6"]
    );
    let starting = row("| membership | bytes out a member and interval, starting");
    assert_eq!(starting[7..], ["none", "-", "-"]);
}

#[test]
fn what_is_void_is_counted_and_in_no_table() {
    let mut all: Vec<Measurement> = SENDERS
        .map(|at| point("membership", "bytes out", "B/s", "senders", at, 2.0 * at))
        .into_iter()
        .collect();
    let spoilt = |value, why: &str| Measurement {
        void: Some(why.to_string()),
        late_ms: 9_000,
        ..point("membership", "bytes out", "B/s", "senders", 510.0, value)
    };
    all.extend([spoilt(1e9, "stalled"), spoilt(1e9, "stalled"), spoilt(1e9, "half of the memory")]);
    let void =
        Measurement { void: Some("stalled".to_string()), ..event("zone", "membership", "time", "s", 77.0) };
    all.push(void);
    let text = render(&all);
    assert_eq!(row(&text, "| membership |")[3], "200 B/s ± 0 B/s for 100 senders");
    assert_eq!(row(&text, "| made-up |"), ["made-up", "8", "4", "1", "510, 8", "30", "4 ms"]);
    assert!(text.contains("is in no table below: half of the memory (1); stalled (3)."), "{text}");
    assert!(!text.contains("77") && text.contains("None was measured."), "{text}");
}

#[test]
fn three_sizes_make_no_line_however_often_they_are_measured() {
    let of = |at| point("settings", "time", "s", "senders", at, at / 10.0);
    let text = render(&[30.0, 60.0, 90.0, 90.0, 60.0, 30.0].map(of));
    let expected = [
        ["settings", "time", "30 senders, made-up", "3 s (3 s to 3 s)", "2"],
        ["settings", "time", "60 senders, made-up", "6 s (6 s to 6 s)", "2"],
        ["settings", "time", "90 senders, made-up", "9 s (9 s to 9 s)", "2"],
    ];
    assert_eq!(rows(&text, "| settings |"), expected);
    assert!(text.contains("### Measured at too few sizes for a line"));
}

#[test]
fn events_are_told_by_their_middle_in_the_order_of_what_is_lost() {
    let time = |name, value| event(name, "membership", "time until all agree", "s", value);
    let all = [time("zone", 31.0), time("machine", 12.0), time("machine", 14.5), time("machine", 90.0)];
    let text = render(&all);
    let events = rows(&text, "| machine |").into_iter().chain(rows(&text, "| zone |")).collect::<Vec<_>>();
    let of = "510, 8, made-up";
    let machine = ["machine", "membership", "time until all agree", of, "14.5 s (12 s to 90 s)", "3"];
    assert_eq!(events, [machine, ["zone", "membership", "time until all agree", of, "31 s", "1"]]);
    assert!(text.find("| machine |").unwrap() < text.find("| zone |").unwrap());
}

#[test]
fn a_broken_line_is_one_error_with_its_file_and_place() {
    let good = serde_json::to_string(&point("lists", "resident", "B", "senders", 30.0, 1.0)).unwrap();
    assert_eq!(read("a.jsonl", &format!("{good}\n\n{good}\n")).unwrap().len(), 2);
    let with = |from: &str, to: &str| {
        assert!(good.contains(from), "{from} in {good}");
        good.replace(from, to)
    };
    let cases = [
        ("{".to_string(), "EOF while parsing an object"),
        (with("\"lists\"", "\"list\""), "no such role: \"list\""),
        (with("\"varied\":\"senders\"", "\"varied\":\"sender\""), "nothing that can be varied: \"sender\""),
        (with("\"varied\":\"senders\"", "\"varied\":\"\""), "nothing that can be varied: \"\""),
        (with("\"event\":null", "\"event\":\"flood\""), "no such event: \"flood\""),
        (with("\"event\":null", "\"event\":\"zone\""), "an event varies nothing"),
        (with("\"seed\":1", "\"seed\":-1"), "invalid value: integer `-1`, expected u64"),
        (with("\"seed\":1", "\"seeds\":1"), "unknown field `seeds`"),
        (with("\"value\":1.0", "\"value\":1e999"), "number out of range"),
    ];
    for (broken, why) in cases {
        let error = read("b.jsonl", &format!("{good}\n\n{broken}\n{good}")).unwrap_err();
        assert!(error.starts_with(&format!("b.jsonl:3: {why}")), "{error}");
        assert!(!error.contains('\n') && !error.contains("at line"), "{error}");
    }
    assert_eq!(read("c.jsonl", "\n").unwrap_err(), "c.jsonl: no measurement in it");
}

#[test]
fn the_part_between_the_marks_is_replaced_and_nothing_else_and_twice_is_once() {
    let page = format!("# Capacity\n\n{BEGIN}\nold | table\n{END}\n\n## Questions\n");
    let once = replace(&page, "### New\n\n").unwrap();
    assert_eq!(once, format!("# Capacity\n\n{BEGIN}\n### New\n{END}\n\n## Questions\n"));
    assert_eq!(replace(&once, "### New\n\n").unwrap(), once);
    assert_eq!(replace("# Capacity\n", "x").unwrap_err(), format!("no line {BEGIN}"));
    let swapped = format!("{END}\n{BEGIN}\n");
    assert_eq!(replace(&swapped, "x").unwrap_err(), format!("no line {END} behind {BEGIN}"));
}
