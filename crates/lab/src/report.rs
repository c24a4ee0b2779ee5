//! A file of results as a report: plots and tables, as HTML, Markdown and JSON.
use crate::compare::{self, Difference};
use crate::days::Row;
use crate::sweep;
use plotters::prelude::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::Path;
use world::account::{Day, Second};

const SIZE: (u32, u32) = (760, 300);

/// A line's name and its points.
type Line = (String, Vec<(f64, f64)>);

/// What of a second is drawn.
type Of = fn(&Second) -> f64;

/// A plot over the seconds of a day.
struct Plot {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    of: Of,
    /// Drawn beside the first way to decide: what would have been allowed.
    beside: Option<(&'static str, Of)>,
}

const PLOTS: [Plot; 4] = [
    Plot {
        file: "in-time",
        title: "Delivered in time, of those that came in that second",
        unit: "share",
        of: |s| if s.offered > 0 { f64::from(s.in_time) / f64::from(s.offered) } else { f64::NAN },
        beside: None,
    },
    Plot {
        file: "refusals",
        title: "Refusals to clients",
        unit: "a second",
        of: |s| s.refused.into(),
        beside: None,
    },
    Plot {
        file: "calls",
        title: "Calls that partners took, against what all limits allow",
        unit: "a second",
        of: |s| f64::from(s.calls.saturating_sub(s.calls_refused)),
        beside: Some(("allowed", |s| s.allowed)),
    },
    Plot {
        file: "connections",
        title: "Connections open",
        unit: "connections",
        of: |s| s.open.into(),
        beside: None,
    },
];

/// Over five seconds and all days of one way to decide, the mean.
fn course(days: &[&Day], of: Of) -> Vec<(f64, f64)> {
    const SPAN: usize = 5;
    let longest = days.iter().map(|d| d.seconds.len()).max().unwrap_or(0);
    let points = (0..longest / SPAN).filter_map(|i| {
        let seconds = days.iter().flat_map(|d| d.seconds.iter().skip(i * SPAN).take(SPAN));
        let values: Vec<f64> = seconds.map(of).filter(|v| v.is_finite()).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        (!values.is_empty()).then_some(((i * SPAN) as f64 + SPAN as f64 / 2.0, mean))
    });
    points.collect()
}

fn draw(path: &Path, title: &str, x: &str, unit: &str, lines: &[Line]) -> Result<(), String> {
    let all = || lines.iter().flat_map(|(_, points)| points);
    let end = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(0.0, f64::max).max(1e-9) * 1.08;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let fail = |e: String| format!("{}: {e}", path.display());
    root.fill(&WHITE).map_err(|e| fail(e.to_string()))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end * 1.3, 0.0..top)
        .map_err(|e| fail(e.to_string()))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(x).y_desc(unit).light_line_style(WHITE);
    mesh.draw().map_err(|e| fail(e.to_string()))?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)));
        let line = line.map_err(|e| fail(e.to_string()))?;
        line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let mut legend = chart.configure_series_labels();
    legend
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::LowerRight);
    legend.draw().map_err(|e| fail(e.to_string()))?;
    root.present().map_err(|e| fail(e.to_string()))
}

/// By percentile: the mean over days of the slowest class's latency.
fn latency(days: &[&Day]) -> Vec<(f64, f64)> {
    let at = |i: usize| {
        let slowest = days.iter().filter_map(|d| d.classes.iter().map(|c| c.latency_ms[i]).max());
        slowest.map(|ms| ms as f64).sum::<f64>() / days.len().max(1) as f64
    };
    (0..4).map(|i| (i as f64 + 1.0, at(i))).collect()
}

/// One scenario's part of the report.
struct Part {
    name: String,
    plots: Vec<(String, &'static str)>,
    rows: Vec<[String; 9]>,
}

const HEAD: [&str; 9] = [
    "policy",
    "G",
    "G of the sender less its own",
    "in time",
    "refused calls",
    "connections",
    "held s",
    "at partners s",
    "rules broken",
];

fn part(out: &Path, name: &str, rows: &[Row]) -> Result<Part, String> {
    let mut by: BTreeMap<&str, Vec<&Day>> = BTreeMap::new();
    rows.iter().for_each(|r| by.entry(r.key.policy.as_str()).or_default().push(&r.day));
    let plain: String = name.chars().map(|c| if c.is_alphanumeric() { c } else { '-' }).collect();
    let mut plots = Vec::new();
    for plot in &PLOTS {
        let mut lines: Vec<Line> =
            by.iter().map(|(p, days)| (p.to_string(), course(days, plot.of))).collect();
        if let (Some((label, of)), Some(days)) = (plot.beside, by.values().next()) {
            lines.push((label.to_string(), course(days, of)));
        }
        let file = format!("{plain}-{}.svg", plot.file);
        draw(&out.join(&file), plot.title, "second of the day", plot.unit, &lines)?;
        plots.push((file, plot.title));
    }
    let lines: Vec<Line> = by.iter().map(|(p, days)| (p.to_string(), latency(days))).collect();
    let (file, title) =
        (format!("{plain}-latency.svg"), "Latency of the slowest class by percentile (50, 90, 99, 99.9)");
    draw(&out.join(&file), title, "percentile", "ms", &lines)?;
    plots.push((file, title));
    let rows = by.iter().map(|(policy, days)| row(rows, policy, days)).collect();
    Ok(Part { name: name.to_string(), plots, rows })
}

fn row(rows: &[Row], policy: &str, days: &[&Day]) -> [String; 9] {
    let mean = |of: &dyn Fn(&Day) -> f64| days.iter().map(|d| of(d)).sum::<f64>() / days.len() as f64;
    let each = |of: fn(&Day) -> u64| mean(&|d| of(d) as f64 / d.messages.max(1) as f64);
    let pairs: Vec<f64> = compare::pairs(rows, "sender", policy, |d| d.g).into_values().flatten().collect();
    let against = match Difference::of(&pairs).filter(|_| policy != "sender") {
        Some(d) => format!("{:+.3} ({:+.3} to {:+.3}), {}", d.mean, d.low, d.high, d.verdict()),
        None => String::new(),
    };
    let broken: BTreeSet<&str> =
        days.iter().flat_map(|d| d.breaches.iter().map(|(rule, _)| rule.as_str())).collect();
    [
        policy.to_string(),
        format!("{:.3}", mean(&|d| d.g)),
        against,
        format!("{:.3}", mean(&|d| d.in_time)),
        format!("{:.3}", each(|d| d.calls_refused)),
        format!("{:.3}", each(|d| d.connections)),
        format!("{:.2}", mean(&|d| d.spent.held / d.messages.max(1) as f64)),
        format!("{:.2}", mean(&|d| d.spent.at_partners / d.messages.max(1) as f64)),
        broken.into_iter().collect::<Vec<_>>().join(", "),
    ]
}

fn markdown(parts: &[Part]) -> String {
    let mut text = String::from("# Days of a fleet\n");
    for part in parts {
        let _ = writeln!(
            text,
            "\n## {}\n\n| {} |\n|{}",
            part.name,
            HEAD.join(" | "),
            " --- |".repeat(HEAD.len())
        );
        part.rows.iter().for_each(|row| _ = writeln!(text, "| {} |", row.join(" | ")));
        part.plots.iter().for_each(|(file, title)| _ = write!(text, "\n![{title}]({file})\n"));
    }
    text
}

/// One file: the plots are in it.
fn html(out: &Path, parts: &[Part]) -> Result<String, String> {
    let mut text = String::from(
        "<!doctype html><meta charset=utf-8><title>Days of a fleet</title><style>body{font-family:sans-serif;margin:2em}\
         table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:left}</style>",
    );
    for part in parts {
        let cells = |row: &[String], tag: &str| -> String {
            row.iter().map(|c| format!("<{tag}>{c}</{tag}>")).collect()
        };
        let _ =
            write!(text, "<h2>{}</h2><table><tr>{}</tr>", part.name, cells(&HEAD.map(String::from), "th"));
        part.rows.iter().for_each(|row| _ = write!(text, "<tr>{}</tr>", cells(row, "td")));
        text.push_str("</table>");
        for (file, _) in &part.plots {
            let svg = fs::read_to_string(out.join(file)).map_err(|e| format!("{file}: {e}"))?;
            text.push_str(&svg);
        }
    }
    Ok(text)
}

pub fn run(results: &Path, out: &Path) -> Result<(), String> {
    let rows = sweep::rows(results)?;
    if rows.is_empty() {
        return Err(format!("{} has no day", results.display()));
    }
    let cannot = |e: std::io::Error| format!("{} can't be written: {e}", out.display());
    fs::create_dir_all(out).map_err(cannot)?;
    let mut by: BTreeMap<String, Vec<Row>> = BTreeMap::new();
    for row in rows {
        by.entry(format!("{} {}", row.key.scenario, row.key.set).trim().to_string()).or_default().push(row);
    }
    let parts: Vec<Part> = by.iter().map(|(name, rows)| part(out, name, rows)).collect::<Result<_, _>>()?;
    let of = |part: &Part| -> Value {
        let rows = part
            .rows
            .iter()
            .map(|row| HEAD.iter().zip(row).map(|(k, v)| (k.to_string(), json!(v))).collect());
        json!({"scenario": part.name, "policies": rows.collect::<Vec<serde_json::Map<String, Value>>>()})
    };
    let json = Value::from(parts.iter().map(of).collect::<Vec<_>>());
    fs::write(out.join("report.md"), markdown(&parts)).map_err(cannot)?;
    fs::write(out.join("report.json"), format!("{json:#}\n")).map_err(cannot)?;
    fs::write(out.join("report.html"), html(out, &parts)?).map_err(cannot)?;
    println!("{}", out.join("report.html").display());
    Ok(())
}
