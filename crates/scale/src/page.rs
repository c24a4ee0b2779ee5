//! The tables of docs/CAPACITY.md, from lines of results. Nothing here reads or writes a file.
//!
//! What is measured over at least [`SIZES`] sizes gets a line by least squares; where it meets the planned size and the
//! budget follows from that. The line is all that is known beyond the largest size that was measured, and is named so.
use crate::measurement::Measurement;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Fewer sizes make no line.
pub const SIZES: usize = 4;
/// Between these two lines of the page stands what [`render`] gives.
pub const BEGIN: &str = "<!-- begin: nickellab scale --page -->";
pub const END: &str = "<!-- end: nickellab scale --page -->";

/// What is varied, for how much of it a slope is told, and the size that the operators plan for. 790,000 events a second and
/// 1.7 billion held are shared by 510 senders.
const VARIED: [(&str, (&str, f64), Option<f64>); 6] = [
    ("senders", ("100 senders", 100.0), Some(510.0)),
    ("destinations", ("1,000 destinations", 1e3), Some(140_000.0)),
    ("rate", ("100 messages a second", 100.0), Some(1_549.0)),
    ("held", ("1,000 held messages", 1e3), Some(3_333_333.0)),
    ("churn", ("1 changed entry a second", 1.0), None),
    ("down", ("1% that is down", 0.01), Some(0.028)),
];

/// Roles, and whether the budget of control holds for them.
const ROLES: [(&str, bool); 7] = [
    ("membership", true),
    ("lists", true),
    ("settings", true),
    ("duties", true),
    ("control", true),
    ("messages", false),
    ("journal", false),
];

/// What a sender may spend on all of control, in the unit of what was measured. An interval of membership is a second at
/// work, whatever it was in the run. A start is no rest, so it has none.
fn budget(what: &str, unit: &str) -> Option<f64> {
    let each_second = what.contains("a member and interval") && !what.ends_with("starting");
    match unit {
        "B" if what.starts_with("resident") => Some(128e6),
        "B" if each_second => Some(4_000.0),
        "us" if each_second => Some(22_000.0),
        "B/s" => Some(4_000.0),
        "cores" => Some(0.022),
        _ => None,
    }
}

const EVENTS: [&str; 7] = ["machine", "rack", "zone", "region", "region one-way", "change", "ten changes"];

/// Measurements of a file, one a line; empty lines are passed over. The error names file and line.
pub fn read(file: &str, text: &str) -> Result<Vec<Measurement>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let read = lines.map(|(i, line)| measurement(line).map_err(|why| format!("{file}:{}: {why}", i + 1)));
    let all = read.collect::<Result<Vec<_>, _>>()?;
    match all.is_empty() {
        true => Err(format!("{file}: no measurement in it")),
        false => Ok(all),
    }
}

fn measurement(line: &str) -> Result<Measurement, String> {
    // serde_json names a line too, which is always the first.
    let read = serde_json::from_str::<Measurement>(line);
    let m = read.map_err(|e| e.to_string().split(" at line ").next().unwrap_or_default().to_string())?;
    if !ROLES.iter().any(|(role, _)| *role == m.role) {
        return Err(format!("no such role: {:?}", m.role));
    }
    match &m.event {
        Some(event) if !EVENTS.contains(&event.as_str()) => Err(format!("no such event: {event:?}")),
        Some(_) if !m.varied.is_empty() => Err("an event varies nothing".to_string()),
        None if !VARIED.iter().any(|(varied, ..)| *varied == m.varied) => {
            Err(format!("nothing that can be varied: {:?}", m.varied))
        }
        _ => Ok(m),
    }
}

/// A page with its tables replaced; the error says which of the two lines it lacks.
pub fn replace(page: &str, tables: &str) -> Result<String, String> {
    let (head, rest) = page.split_once(BEGIN).ok_or_else(|| format!("no line {BEGIN}"))?;
    let (_, tail) = rest.split_once(END).ok_or_else(|| format!("no line {END} behind {BEGIN}"))?;
    Ok(format!("{head}{BEGIN}\n{}\n{END}{tail}", tables.trim_end()))
}

/// All tables, as Markdown.
pub fn render(measurements: &[Measurement]) -> String {
    let counted: Vec<&Measurement> = measurements.iter().filter(|m| m.void.is_none()).collect();
    [runs(measurements), slopes(&counted), points(&counted), events(&counted)].concat()
}

/// A line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// Standard error of the slope; 0 where all points lie on the line.
    pub error: f64,
    /// How far a point is off the line at most, as a share of what the line has there.
    pub worst: f64,
}

impl Line {
    /// None through fewer than `SIZES` different sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let sizes: BTreeSet<u64> = points.iter().map(|(x, _)| x.to_bits()).collect();
        if sizes.len() < SIZES {
            return None;
        }
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let over = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
        let (xx, xy) = (over(&|p| (p.0 - x).powi(2)), over(&|p| (p.0 - x) * (p.1 - y)));
        let slope = xy / xx;
        let intercept = y - slope * x;
        let off = |p: &(f64, f64)| p.1 - intercept - slope * p.0;
        let error = (over(&|p| off(p).powi(2)) / (n - 2.0) / xx).sqrt();
        let share = |p: &(f64, f64)| off(p).abs() / (intercept + slope * p.0).abs().max(f64::MIN_POSITIVE);
        Some(Line { slope, intercept, error, worst: points.iter().map(share).fold(0.0, f64::max) })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The size at which the line meets a budget: 0 where it begins above it, none where it does not rise.
    pub fn meets(&self, budget: f64) -> Option<f64> {
        match self.intercept > budget {
            true => Some(0.0),
            false => (self.slope > 0.0).then(|| (budget - self.intercept) / self.slope),
        }
    }
}

/// What one line is drawn through: role, what, unit, what is varied, and the plan where plans are apart. Plans that measure the
/// same at other sizes are one line. Processor time is not the same in all: the shorter a plan's interval, the less of what
/// control does by the second is in it.
type Key<'a> = (usize, &'a str, &'a str, &'a str, &'a str);

/// By role in the order of `ROLES`.
fn groups<'a>(measurements: &[&'a Measurement]) -> BTreeMap<Key<'a>, Vec<&'a Measurement>> {
    let mut groups: BTreeMap<Key, Vec<&Measurement>> = BTreeMap::new();
    for m in measurements.iter().filter(|m| m.event.is_none()) {
        let role = ROLES.iter().position(|(role, _)| *role == m.role).unwrap_or(ROLES.len());
        let plan = if m.what.starts_with("processor time") { m.plan.as_str() } else { "" };
        groups.entry((role, &m.what, &m.unit, &m.varied, plan)).or_default().push(m);
    }
    groups
}

fn plans(group: &[&Measurement]) -> String {
    let plans: BTreeSet<&str> = group.iter().map(|m| m.plan.as_str()).collect();
    plans.into_iter().collect::<Vec<_>>().join(", ")
}

fn points_of(group: &[&Measurement]) -> Vec<(f64, f64)> {
    group.iter().map(|m| (m.at, m.value)).collect()
}

fn runs(measurements: &[Measurement]) -> String {
    let mut plans: BTreeMap<&str, Vec<&Measurement>> = BTreeMap::new();
    measurements.iter().for_each(|m| plans.entry(&m.plan).or_default().push(m));
    let mut text = "### Runs\n\n| plan | lines | void | seeds | senders, of these real, at most | destinations at most | \
                    late at most |\n| --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for (plan, all) in plans {
        let most = |of: fn(&Measurement) -> u64| all.iter().map(|m| of(m)).max().unwrap_or(0);
        let seeds: BTreeSet<u64> = all.iter().map(|m| m.seed).collect();
        let void = all.iter().filter(|m| m.void.is_some()).count();
        let counted = all.iter().filter(|m| m.void.is_none());
        let _ = writeln!(
            text,
            "| {plan} | {} | {void} | {} | {}, {} | {} | {} ms |",
            all.len(),
            seeds.len(),
            most(|m| m.senders.into()),
            most(|m| m.real.into()),
            number(most(|m| m.destinations.into()) as f64),
            counted.map(|m| m.late_ms).max().unwrap_or(0),
        );
    }
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    let void = measurements.iter().filter_map(|m| m.void.as_deref());
    void.for_each(|why| *reasons.entry(why).or_default() += 1);
    let why: Vec<String> = reasons.iter().map(|(why, count)| format!("{why} ({count})")).collect();
    if !why.is_empty() {
        let _ = writeln!(text, "\nWhat is void is in no table below: {}.", why.join("; "));
    }
    text + "\n"
}

fn slopes(measurements: &[&Measurement]) -> String {
    let mut text = "### Slopes\n\nA line by least squares; ± its slope's standard error, in brackets the least and most of the \
                    seeds' own lines. `off` is how far a point is off the line at most. The factor is the size that the budget of all \
                    control together would bear, by the planned one.\n\n\
                    | role | what | over, sizes, plans | slope | at 0 | off | at the planned size | budget | borne | factor |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for (key, group) in groups(measurements) {
        if let Some(line) = Line::through(&points_of(&group)) {
            text += &slope(key, &group, line);
        }
    }
    text + "\n"
}

fn slope((role, what, unit, varied, _): Key, group: &[&Measurement], line: Line) -> String {
    let sizes: BTreeSet<u64> = group.iter().map(|m| m.at.to_bits()).collect();
    let (least, most) = range(group.iter().map(|m| m.at));
    let known = VARIED.iter().find(|(name, ..)| *name == varied);
    let ((much, times), planned) = known.map_or((("1", 1.0), None), |&(_, much, planned)| (much, planned));
    let (role, is_control) = ROLES.get(role).copied().unwrap_or(("", false));
    let budget = budget(what, unit).filter(|_| is_control);
    let seeds: BTreeSet<u64> = group.iter().map(|m| m.seed).collect();
    let own = seeds.iter().filter_map(|seed| {
        let of: Vec<(f64, f64)> = group.iter().filter(|m| m.seed == *seed).map(|m| (m.at, m.value)).collect();
        Line::through(&of).map(|line| line.slope)
    });
    let own: Vec<f64> = own.collect();
    let spread = match own.len() {
        0 | 1 => String::new(),
        _ => {
            let (least, most) = range(own.into_iter());
            format!(" ({} to {})", quantity(least * times, unit), quantity(most * times, unit))
        }
    };
    let at_planned = planned.map_or("no size is planned".to_string(), |planned| {
        let (value, beyond) = (quantity(line.at(planned), unit), planned / most);
        match beyond > 1.0 {
            true => format!("{value}, `extrapolated x{}`", number(beyond)),
            false => value,
        }
    });
    let borne = budget.map(|budget| line.meets(budget));
    let borne_text = match borne {
        None => "-".to_string(),
        Some(None) => "does not grow".to_string(),
        Some(Some(size)) if size > most => {
            format!("{}, `extrapolated x{}`", number(size), number(size / most))
        }
        Some(Some(size)) => number(size),
    };
    let factor = match (borne.flatten(), planned) {
        (Some(size), Some(planned)) => number(size / planned),
        _ => "-".to_string(),
    };
    format!(
        "| {role} | {what} | {varied}, {} from {} to {}, {} | {} ± {} for {much}{spread} | {} | {} | {at_planned} | {} | \
         {borne_text} | {factor} |\n",
        sizes.len(),
        number(least),
        number(most),
        plans(group),
        quantity(line.slope * times, unit),
        quantity(line.error * times, unit),
        quantity(line.intercept, unit),
        quantity(line.worst, "share"),
        budget.map_or("none".to_string(), |budget| quantity(budget, unit)),
    )
}

/// What has too few sizes for a line.
fn points(measurements: &[&Measurement]) -> String {
    let mut rows = String::new();
    for ((role, what, unit, varied, _), group) in groups(measurements) {
        if Line::through(&points_of(&group)).is_some() {
            continue;
        }
        let plans = plans(&group);
        let mut sizes: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        group.iter().for_each(|m| sizes.entry(m.at.to_bits()).or_default().push(m.value));
        let mut sizes: Vec<(f64, Vec<f64>)> =
            sizes.into_iter().map(|(at, values)| (f64::from_bits(at), values)).collect();
        sizes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, values) in sizes {
            let (role, count) = (ROLES.get(role).map_or("", |r| r.0), values.len());
            let value = middle(values, unit);
            let _ =
                writeln!(rows, "| {role} | {what} | {} {varied}, {plans} | {value} | {count} |", number(at));
        }
    }
    match rows.is_empty() {
        true => rows,
        false => format!(
            "### Measured at too few sizes for a line\n\n| role | what | at, plans | median (least to most) | lines |\n\
             | --- | --- | --- | --- | --- |\n{rows}\n"
        ),
    }
}

/// Of an event: its number, role, what, unit, senders, of these real, and plan.
type EventKey<'a> = (usize, &'a str, &'a str, &'a str, u32, u32, &'a str);

fn events(measurements: &[&Measurement]) -> String {
    let mut groups: BTreeMap<EventKey, Vec<f64>> = BTreeMap::new();
    for m in measurements {
        let Some(event) = m.event.as_deref().and_then(|e| EVENTS.iter().position(|known| *known == e)) else {
            continue;
        };
        let key =
            (event, m.role.as_str(), m.what.as_str(), m.unit.as_str(), m.senders, m.real, m.plan.as_str());
        groups.entry(key).or_default().push(m.value);
    }
    let mut text = "### Events\n\n".to_string();
    if groups.is_empty() {
        return text + "None was measured.\n\n";
    }
    text += "| event | role | what | senders, of these real, plan | median (least to most) | lines |\n\
             | --- | --- | --- | --- | --- | --- |\n";
    for ((event, role, what, unit, senders, real, plan), values) in groups {
        let (count, value) = (values.len(), middle(values, unit));
        let _ = writeln!(
            text,
            "| {} | {role} | {what} | {senders}, {real}, {plan} | {value} | {count} |",
            EVENTS[event]
        );
    }
    text + "\n"
}

fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(least, most), v| (least.min(v), most.max(v)))
}

/// Median, and least to most where there is more than one.
fn middle(mut values: Vec<f64>, unit: &str) -> String {
    values.sort_by(f64::total_cmp);
    let n = values.len();
    let median = quantity((values[(n - 1) / 2] + values[n / 2]) / 2.0, unit);
    match n {
        1 => median,
        _ => format!("{median} ({} to {})", quantity(values[0], unit), quantity(values[n - 1], unit)),
    }
}

/// A value with its unit, as people read it.
fn quantity(value: f64, unit: &str) -> String {
    let scaled = |unit: &str| match value.abs() {
        v if v >= 1e6 => format!("{} M{unit}", number(value / 1e6)),
        v if v >= 1e3 => format!("{} K{unit}", number(value / 1e3)),
        _ => format!("{} {unit}", number(value)),
    };
    match unit {
        "B" | "B/s" => scaled(unit),
        "cores" => format!("{}% of a core", number(value * 100.0)),
        "share" => format!("{}%", number(value * 100.0)),
        "count" => number(value),
        unit => format!("{} {unit}", number(value)),
    }
}

/// Three figures, more where whole numbers have them; thousands are parted by commas.
fn number(value: f64) -> String {
    // What rounding leaves of nothing is nothing.
    if value.abs() < 1e-9 {
        return "0".to_string();
    }
    let digits = (2 - value.abs().log10().floor() as i32).clamp(0, 12) as usize;
    let text = format!("{:.digits$}", value.abs());
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let part = part.trim_end_matches('0');
    let mut parted = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            parted.push(',');
        }
        parted.push(digit);
    }
    let sign = if value < 0.0 { "-" } else { "" };
    match part.is_empty() {
        true => format!("{sign}{parted}"),
        false => format!("{sign}{parted}.{part}"),
    }
}
