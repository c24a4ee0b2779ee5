//! A picture of a trial: a lane for each sender, its states over time, faults as bands, messages that went wrong marked.
use crate::history::{Event, Us, What, SECOND};
use crate::judges::Finding;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// What a lane shows.
#[derive(Clone, Copy, PartialEq)]
enum Lane {
    Gone,
    Starting,
    Ready,
    Frozen,
    Ending,
}

impl Lane {
    fn colour(self) -> RGBColor {
        match self {
            Lane::Gone => RGBColor(225, 225, 225),
            Lane::Starting => RGBColor(250, 214, 110),
            Lane::Ready => RGBColor(140, 200, 140),
            Lane::Frozen => RGBColor(120, 160, 225),
            Lane::Ending => RGBColor(240, 160, 90),
        }
    }

    const ALL: [(Lane, &'static str); 5] = [
        (Lane::Ready, "ready"),
        (Lane::Starting, "starting"),
        (Lane::Ending, "told to end"),
        (Lane::Frozen, "frozen"),
        (Lane::Gone, "no process"),
    ];
}

/// Spans of states by sender: of its newest process, where an upgrade has two.
fn lanes(events: &[Event], over: Us) -> BTreeMap<usize, Vec<(Us, Us, Lane)>> {
    let mut lives: BTreeMap<usize, BTreeMap<u32, Lane>> = BTreeMap::new();
    let mut all: BTreeMap<usize, Vec<(Us, Us, Lane)>> = BTreeMap::new();
    for Event { at, what } in events {
        let (sender, life, lane) = match what {
            What::Started { sender, life, .. } => (*sender, *life, Some(Lane::Starting)),
            What::Ready { sender, life } => (*sender, *life, Some(Lane::Ready)),
            What::Ended { sender, life, .. } => (*sender, *life, None),
            What::Signalled { sender, life, signal } => match *signal {
                libc::SIGSTOP => (*sender, *life, Some(Lane::Frozen)),
                libc::SIGCONT => (*sender, *life, Some(Lane::Ready)),
                libc::SIGTERM => (*sender, *life, Some(Lane::Ending)),
                _ => continue,
            },
            _ => continue,
        };
        let own = lives.entry(sender).or_default();
        match lane {
            Some(lane) => _ = own.insert(life, lane),
            None => _ = own.remove(&life),
        }
        let lane = own.last_key_value().map_or(Lane::Gone, |(_, lane)| *lane);
        let spans = all.entry(sender).or_default();
        if let Some(last) = spans.last_mut() {
            last.1 = *at;
        }
        spans.push((*at, over, lane));
    }
    all
}

/// Faults with their spans and senders.
fn bands(events: &[Event], over: Us) -> Vec<(Us, Us, String, Vec<usize>)> {
    let mut open: BTreeMap<usize, (Us, String, Vec<usize>)> = BTreeMap::new();
    let mut all = Vec::new();
    for Event { at, what } in events {
        let What::Fault { number, name, senders, begins } = what else { continue };
        match begins {
            true => _ = open.insert(*number, (*at, name.clone(), senders.clone())),
            false => {
                if let Some((from, name, senders)) = open.remove(number) {
                    all.push((from, *at, name, senders));
                }
            }
        }
    }
    all.extend(open.into_values().map(|(from, name, senders)| (from, over, name, senders)));
    all
}

fn seconds(at: Us) -> f64 {
    at as f64 / SECOND as f64
}

/// Draws a history into an SVG file. The error is the file's.
pub fn draw(path: &Path, title: &str, events: &[Event], findings: &[Finding]) -> Result<(), String> {
    let over = events.last().map_or(SECOND, |e| e.at);
    let (lanes, bands) = (lanes(events, over), bands(events, over));
    let count = lanes.len().max(1);
    let height = 150 + 18 * (count + bands.len()) as u32;
    let root = SVGBackend::new(path, (1_200, height)).into_drawing_area();
    let done = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        let rows = (count + bands.len()) as f64;
        let mut chart: Chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .margin_top(28)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..seconds(over), rows..0.0)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds")
            .y_labels(0)
            .draw()?;
        let offset = bands.len() as f64;
        for (sender, spans) in &lanes {
            let y = offset + *sender as f64;
            let bars = spans.iter().map(|(from, to, lane)| {
                Rectangle::new([(seconds(*from), y + 0.15), (seconds(*to), y + 0.85)], lane.colour().filled())
            });
            chart.draw_series(bars)?;
            let label = Text::new(format!("s{sender}"), (0.0, y + 0.3), ("sans-serif", 11));
            chart.draw_series([label])?;
        }
        for (row, (from, to, name, senders)) in bands.iter().enumerate() {
            let (from, to, y) = (seconds(*from), seconds(*to).max(seconds(*from) + 0.05), row as f64);
            let colour = Palette99::pick(row);
            chart.draw_series([Rectangle::new(
                [(from, y + 0.15), (to, y + 0.85)],
                colour.mix(0.5).filled(),
            )])?;
            let struck = senders.iter().map(|s| {
                let y = offset + *s as f64;
                Rectangle::new([(from, y), (to, y + 1.0)], colour.mix(0.25).filled())
            });
            chart.draw_series(struck)?;
            chart.draw_series([Text::new(name.clone(), (from, y + 0.3), ("sans-serif", 12))])?;
        }
        wrong(&mut chart, events, findings, offset)?;
        legend(&root)?;
        root.present()?;
        Ok(())
    };
    done().map_err(|e| format!("{}: {e}", path.display()))
}

/// Crosses where messages went wrong, on the lane of the sender that had them; others on the top line.
fn wrong(
    chart: &mut Chart<'_, '_>,
    events: &[Event],
    findings: &[Finding],
    offset: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut senders = BTreeMap::new();
    for event in events {
        if let What::HandedIn { id, sender, .. } = &event.what {
            senders.insert(id.as_str(), *sender);
        }
    }
    let marks = findings.iter().map(|f| {
        let lane = f.id.as_deref().and_then(|id| senders.get(id)).map_or(0.0, |s| offset + *s as f64);
        Cross::new((seconds(f.at), lane + 0.5), 5, RED.stroke_width(2))
    });
    chart.draw_series(marks)?;
    Ok(())
}

fn legend(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error>> {
    for (i, (lane, name)) in Lane::ALL.into_iter().enumerate() {
        let x = 640 + 110 * i as i32;
        root.draw(&Rectangle::new([(x, 8), (x + 14, 20)], lane.colour().filled()))?;
        root.draw(&Text::new(name, (x + 18, 8), ("sans-serif", 12)))?;
    }
    Ok(())
}
