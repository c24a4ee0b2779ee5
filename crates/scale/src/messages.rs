//! What messages cost one real sender, by how many come a second or by the share of its destinations that is down, and
//! how many are there in time.
use crate::agent;
use crate::alone::{holding, Alone, Limits, LIMITS};
use crate::plan::{ToldBy, Traffic};
use crate::real::Real;
use crate::recorder::{About, Run};
use crate::traffic::{Clients, Ledger, Load, Partners};
use std::io;
use std::ops::Range;
use std::time::{Duration, Instant};

/// A start with the list may take this long.
pub(crate) const READY: Duration = Duration::from_secs(20);
/// The classes' aim, and what a message has.
pub(crate) const AIM: Duration = Duration::from_secs(3);
const LEFT: Duration = Duration::from_secs(5);
/// By then all that was handed in has ended.
const ENDED: Duration = Duration::from_secs(7);
/// A sender may hold so many seconds of its load.
const HELD_S: f64 = 10.0;

/// All that the plan asks for.
pub(crate) fn play(run: &mut Run<'_>) -> Result<(), String> {
    let Some(traffic) = run.plan.traffic.clone() else { return Ok(()) };
    for rate in &traffic.rates {
        for down in &traffic.down {
            one(run, &traffic, *rate, *down)?;
        }
    }
    Ok(())
}

/// What was measured while a part of the messages came.
struct Part {
    messages: f64,
    seconds: f64,
    busy: Duration,
    resident: f64,
    bytes_out: f64,
    bytes_in: f64,
}

/// Waits until so many were handed in.
fn until_handed_in(
    run: &mut Run<'_>,
    alone: &mut Alone,
    ledger: &Ledger,
    number: usize,
) -> Result<(), String> {
    // Ends by the run's bound at the latest.
    alone.until(run, Duration::MAX, |_| ledger.count() >= number).map(|_| ())
}

fn part(run: &mut Run<'_>, alone: &mut Alone, ledger: &Ledger, until: usize) -> Result<Part, String> {
    let page = |real: &Real| real.page().ok_or("the real sender's figures can't be read");
    let before = page(&alone.real)?;
    let (began, busy, first) = (Instant::now(), alone.real.busy(), ledger.count());
    until_handed_in(run, alone, ledger, until)?;
    let (span, spent, last) = (began.elapsed(), alone.real.busy() - busy, ledger.count());
    let (resident, after) = (alone.real.resident(), page(&alone.real)?);
    let bytes = |direction| after.control_bytes(direction) - before.control_bytes(direction);
    Ok(Part {
        messages: (last - first) as f64,
        seconds: span.as_secs_f64(),
        busy: spent,
        resident: resident as f64,
        bytes_out: bytes("out"),
        bytes_in: bytes("in"),
    })
}

fn one(run: &mut Run<'_>, traffic: &Traffic, rate: f64, down: f64) -> Result<(), String> {
    let text = |e: io::Error| e.to_string();
    let destinations = traffic.destinations;
    (run.progress)(&format!("{rate} messages a second, {destinations} destinations, {down} of them down"));
    let down_of_1000 = (down * 1_000.0).round() as u32;
    let partners = Partners::start().map_err(text)?;
    let entries = agent::entries(destinations, partners.address, down_of_1000);
    let endpoints = entries.len();
    let limits = Limits { disk_mb: traffic.disk_mb, ..LIMITS };
    let settings = holding((rate * HELD_S) as usize + 100, Duration::from_secs(16));
    let mut alone = Alone::start(run, entries, ToldBy::Discovery, limits, &settings).map_err(text)?;
    alone.settle(run, endpoints, READY)?;
    let plan = run.plan.clone();
    let (first, all) = ((rate * plan.settle_s) as usize, (rate * (plan.settle_s + plan.rest_s)) as usize);
    let (to, seed) = (alone.real.listen, plan.seed);
    let load = Load { to, rate, destinations, most: all, left: LEFT, seed };
    let ledger = partners.ledger.clone();
    let clients = Clients::start(load, &ledger).map_err(text)?;
    until_handed_in(run, &mut alone, &ledger, first)?;
    let _ = ledger.take_late();
    let ends = (1..=plan.parts as usize).map(|i| first + (all - first) * i / plan.parts as usize);
    let parts = ends.map(|end| part(run, &mut alone, &ledger, end)).collect::<Result<Vec<_>, _>>()?;
    let late = ledger.take_late();
    let over = |real: &Real| {
        let sum = ledger.tally(0..all, AIM, |_| true);
        sum.answered == all as u64 && real.figure("sender_pending") == Some(0.0)
    };
    let ended = alone.until(run, ENDED, over)?;
    drop(clients);
    let sum = ledger.tally(0..all, AIM, |_| true);
    let missed = match ended {
        _ if sum.failed > 0 => Some(format!("{} messages were answered as wrong", sum.failed)),
        None => Some(format!("not all had ended {} s after the last", ENDED.as_secs())),
        Some(_) => None,
    };
    let worth = run.worth(late, missed);
    let (varied, at) = if traffic.down.len() > 1 { ("down", down) } else { ("rate", rate) };
    let about = About { role: "messages", varied, at, event: None, senders: 1, real: 1, destinations };
    let among = format!("{destinations} destinations");
    for part in &parts {
        let busy = part.busy.as_secs_f64();
        let each = busy * 1e6 / part.messages;
        run.say(about, &format!("processor time a message, {among}"), "us", each, &worth);
        run.say(about, &format!("processor time, {among}"), "cores", busy / part.seconds, &worth);
        run.say(about, &format!("resident, {among}"), "B", part.resident, &worth);
        let control = About { role: "control", ..about };
        for (what, bytes) in [("bytes out", part.bytes_out), ("bytes in", part.bytes_in)] {
            let what = format!("{what} a second under traffic, {among}");
            run.say(control, &what, "B/s", bytes / part.seconds, &worth);
        }
    }
    let is_up = |dest| !agent::is_down(dest, down_of_1000);
    let share = |numbers: Range<usize>, wanted: &dyn Fn(u32) -> bool| {
        let sum = ledger.tally(numbers, AIM, wanted);
        sum.in_time as f64 / (sum.handed_in as f64).max(1.0)
    };
    for (what, count) in [
        ("handed in", sum.handed_in),
        ("taken on", sum.taken_on),
        ("delivered", sum.delivered),
        ("sent again though they may not be", sum.repeated),
    ] {
        run.say(about, &format!("messages {what}, {among}"), "count", count as f64, &worth);
    }
    let rest = first..all;
    run.say(about, &format!("delivered in time, {among}"), "share", share(rest.clone(), &|_| true), &worth);
    let what = format!("delivered in time, of those whose destination is up, {among}");
    run.say(about, &what, "share", share(rest.clone(), &is_up), &worth);
    let longest = ledger.tally(rest, AIM, |_| true).longest_wait.as_secs_f64();
    run.say(about, &format!("longest wait of a client, {among}"), "s", longest, &worth);
    Ok(())
}
