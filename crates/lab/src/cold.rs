//! What all senders together send to destinations that come back cold, against what these bear.
use crate::days;
use indicatif::{ProgressBar, ProgressStyle};
use policy::api::{DestId, Settings};
use policy::rules::Sender;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use world::cold::Case;
use world::partner::{Return, Window};

/// One day.
#[derive(Serialize)]
struct Row {
    senders: usize,
    seed: u64,
    case: Case,
    /// Part of the worth that was served, and G.
    served: f64,
    g: f64,
    returns: Vec<(DestId, Return)>,
}

impl Row {
    /// The most beyond the budget, over what is put down to chance; over 1 a destination falls.
    fn worst(&self) -> f64 {
        self.returns.iter().map(|(_, r)| r.worst.excess()).fold(f64::NEG_INFINITY, f64::max)
    }

    fn worst_told(&self) -> f64 {
        self.returns.iter().map(|(_, r)| r.worst_told.excess_of_told()).fold(f64::NEG_INFINITY, f64::max)
    }

    fn falls(&self) -> usize {
        self.returns.iter().filter(|(_, r)| r.fell.is_some()).count()
    }

    fn pushed_over(&self) -> usize {
        self.returns.iter().filter(|(_, r)| r.pushed_over.is_some()).count()
    }

    fn pushed_over_with_held(&self) -> usize {
        self.returns.iter().filter(|(_, r)| r.pushed_over_with_held.is_some()).count()
    }

    /// What the day was like, by name.
    fn traits(&self) -> Vec<(&'static str, String)> {
        let c = &self.case;
        let load = if c.load < 0.6 {
            "under 0.6"
        } else if c.load < 1.2 {
            "0.6 to 1.2"
        } else {
            "over 1.2"
        };
        vec![
            ("outage", c.outage.clone()),
            ("limits told", c.told.clone()),
            ("load", load.to_string()),
            ("size", c.size.to_string()),
            ("slots at least", c.least_slots.to_string()),
            ("killed", c.killed.to_string()),
            ("upgraded", c.upgraded.to_string()),
            ("hot sender", c.hot_sender.to_string()),
            ("separate routes", c.separate_routes.to_string()),
            ("stated", c.stated.to_string()),
        ]
    }
}

/// True if nothing was pushed over by senders that had been told. Errors: a scenario that can't be read, a file that
/// can't be written, threads that can't be had.
pub fn run(
    path: &Path,
    sets: &[String],
    senders: &[usize],
    seeds: u64,
    out: &PathBuf,
    threads: Option<usize>,
) -> Result<bool, String> {
    let combinations = days::combinations(sets)?;
    let [set] = combinations.as_slice() else { return Err("--set: one value for each key here".to_string()) };
    let base = days::read(path, set)?;
    let wanted: Vec<(usize, u64)> =
        senders.iter().flat_map(|&n| (1..=seeds).map(move |seed| (n, seed))).collect();
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(wanted.len() as u64).with_style(style);
    let play = |&(senders, seed): &(usize, u64)| {
        let make = |settings: &Settings, seed: u64| -> Box<dyn world::Decider> {
            Box::new(Sender::new(settings.clone(), seed))
        };
        let (case, day) = world::cold::day(&base, senders, seed, &make);
        bar.inc(1);
        Row { senders, seed, case, served: day.served, g: day.g, returns: day.returns }
    };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build();
    let rows: Vec<Row> = pool.map_err(|e| e.to_string())?.install(|| wanted.par_iter().map(play).collect());
    bar.finish();
    let lines: Result<Vec<String>, _> = rows.iter().map(serde_json::to_string).collect();
    let text = lines.map_err(|e| e.to_string())?.join("\n") + "\n";
    std::fs::write(out, text).map_err(|e| format!("{} can't be written: {e}", out.display()))?;
    print(&rows, senders);
    Ok(rows.iter().all(|row| row.pushed_over() == 0))
}

/// The interval that holds a share of so many of all with 95% (Wilson).
fn interval(some: usize, all: usize) -> (f64, f64) {
    let (n, z) = (all.max(1) as f64, 1.96_f64);
    let p = some as f64 / n;
    let (middle, half) = (p + z * z / (2.0 * n), z * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt());
    let of = 1.0 + z * z / n;
    (((middle - half) / of).max(0.0), ((middle + half) / of).min(1.0))
}

/// The value below which this part of them lie.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let place = (part * sorted.len().saturating_sub(1) as f64).round() as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

fn print(rows: &[Row], senders: &[usize]) {
    println!("Excess: (calls in the window - N) / (2 x root of N + 2); over 1 a destination falls.\n");
    println!(
        "| senders | seeds | returns | worst excess, of a seed: median (5 to 95%) | most | of the told alone, most \
         | seeds with a fall (95%) | returns with one | pushed over by the told | the same, with what was held \
         | told's share at falls | served | G |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for &n in senders {
        let of: Vec<&Row> = rows.iter().filter(|r| r.senders == n).collect();
        let mut worst: Vec<f64> = of.iter().map(|r| r.worst()).collect();
        worst.sort_by(f64::total_cmp);
        let told = of.iter().map(|r| r.worst_told()).fold(f64::NEG_INFINITY, f64::max);
        let over = of.iter().filter(|r| r.falls() > 0).count();
        let (low, high) = interval(over, of.len());
        let falls = of.iter().flat_map(|r| &r.returns).filter_map(|(_, r)| r.fell);
        let (knew, calls) = falls.fold((0, 0), |(k, c), w| (k + w.told + w.told_once, c + w.calls));
        let share = if calls > 0 { format!("{:.2}", f64::from(knew) / f64::from(calls)) } else { "-".into() };
        let count = |f: fn(&Row) -> usize| of.iter().map(|r| f(r)).sum::<usize>();
        println!(
            "| {n} | {} | {} | {:.2} ({:.2} to {:.2}) | {:.2} | {told:.2} | {over} ({:.1}% to {:.1}%) | {} | {} in {} seeds \
             | {} | {share} | {:.4} | {:.4} |",
            of.len(),
            count(|r| r.returns.len()),
            quantile(&worst, 0.5),
            quantile(&worst, 0.05),
            quantile(&worst, 0.95),
            quantile(&worst, 1.0),
            low * 100.0,
            high * 100.0,
            count(Row::falls),
            count(Row::pushed_over),
            of.iter().filter(|r| r.pushed_over() > 0).count(),
            of.iter().filter(|r| r.pushed_over_with_held() > 0).count(),
            of.iter().map(|r| r.served).sum::<f64>() / of.len().max(1) as f64,
            of.iter().map(|r| r.g).sum::<f64>() / of.len().max(1) as f64,
        );
    }
    let mut by: BTreeMap<(&str, String), [usize; 4]> = BTreeMap::new();
    for row in rows {
        for key in row.traits() {
            let at = by.entry(key).or_default();
            at[0] += 1;
            at[1] += usize::from(row.falls() > 0);
            at[2] += usize::from(row.pushed_over() > 0);
            at[3] += usize::from(row.pushed_over_with_held() > 0);
        }
    }
    println!(
        "\n| where | days | with a fall | pushed over by the told | the same, with what was held |\n\
         | --- | --- | --- | --- | --- |"
    );
    for ((name, value), [days, falls, pushed, with_held]) in by {
        println!("| {name}: {value} | {days} | {falls} | {pushed} | {with_held} |");
    }
    print_causes(rows);
}

/// Who sent what in the windows in which the told pushed a route over.
fn print_causes(rows: &[Row]) {
    let mut by: BTreeMap<(&str, &str), (usize, Window)> = BTreeMap::new();
    for row in rows {
        for window in row.returns.iter().filter_map(|(_, r)| r.pushed_over_with_held) {
            let (windows, sum) = by.entry((&row.case.outage, &row.case.told)).or_default();
            *windows += 1;
            sum.calls += window.calls;
            sum.held += window.held;
            sum.budget += window.budget;
            sum.heard.iter_mut().zip(window.heard).for_each(|(sum, calls)| *sum += calls);
        }
    }
    println!(
        "\n| pushed over, with what was held: outage, limits told | windows | budget | held | calls that arrived \
         after | by senders that had heard no failure | one | two | more |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for ((outage, told), (windows, sum)) in by {
        let [none, one, two, more] = sum.heard;
        println!(
            "| {outage}, {told} | {windows} | {:.0} | {} | {} | {none} | {one} | {two} | {more} |",
            sum.budget, sum.held, sum.calls,
        );
    }
}
