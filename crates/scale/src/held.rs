//! What messages cost that one real sender holds for partners that are down, and its restart with them.
use crate::agent;
use crate::alone::{holding, Alone, Limits, LIMITS};
use crate::messages::{AIM, READY};
use crate::plan::{Held, ToldBy};
use crate::real::Real;
use crate::recorder::{About, Run};
use crate::traffic::{Clients, Load, Partners};
use std::io;
use std::time::Duration;

/// All are handed in at this rate.
const RATE: f64 = 1_549.0;
/// They have longer than a run lasts.
const LEFT: Duration = Duration::from_secs(120);
/// The last of them may be on its way for so long.
const TAKEN_ON: Duration = Duration::from_secs(3);

/// All that the plan asks for.
pub(crate) fn play(run: &mut Run<'_>) -> Result<(), String> {
    let Some(held) = run.plan.held.clone() else { return Ok(()) };
    for messages in &held.messages {
        one(run, &held, *messages)?;
    }
    Ok(())
}

fn one(run: &mut Run<'_>, held: &Held, messages: u32) -> Result<(), String> {
    let text = |e: io::Error| e.to_string();
    let destinations = held.destinations;
    (run.progress)(&format!("{messages} messages held for {destinations} destinations"));
    // Nobody reaches these: all destinations are down.
    let partners = Partners::start().map_err(text)?;
    let entries = agent::entries(destinations, partners.address, 1_000);
    let endpoints = entries.len();
    let limits = Limits { disk_mb: held.disk_mb, ..LIMITS };
    // Room for a tenth is kept for who comes.
    let settings = holding(messages as usize * 5 / 4 + 100, LEFT);
    let mut alone = Alone::start(run, entries, ToldBy::Discovery, limits, &settings).map_err(text)?;
    alone.settle(run, endpoints, READY)?;
    let (to, seed, all) = (alone.real.listen, run.plan.seed, messages as usize);
    let load = Load { to, rate: RATE, destinations, most: all, left: LEFT, seed };
    let ledger = partners.ledger.clone();
    let clients = Clients::start(load, &ledger).map_err(text)?;
    let within = Duration::from_secs_f64(all as f64 / RATE) + TAKEN_ON;
    let answered = |_: &Real| ledger.tally(0..all, AIM, |_| true).answered == all as u64;
    let missed = alone.until(run, within, answered)?.is_none();
    drop(clients);
    let late = ledger.take_late();
    let taken_on = ledger.tally(0..all, AIM, |_| true).taken_on;
    alone.pass(run, Duration::from_secs_f64(run.plan.settle_s))?;
    let figure = |real: &Real, name: &str| {
        real.figure(name).ok_or_else(|| format!("the real sender does not tell {name}"))
    };
    let at = figure(&alone.real, "sender_pending")?;
    let missed = missed.then(|| "not all clients had an answer".to_string());
    let worth = run.worth(late, missed);
    let about =
        About { role: "messages", varied: "held", at, event: None, senders: 1, real: 1, destinations };
    let journal = About { role: "journal", ..about };
    run.say(about, "messages handed in", "count", f64::from(messages), &worth);
    run.say(about, "messages taken on", "count", taken_on as f64, &worth);
    for _ in 0..run.plan.parts {
        let busy = alone.real.busy();
        let span = alone.pass(run, Duration::from_secs_f64(run.plan.rest_s / f64::from(run.plan.parts)))?;
        let spent = (alone.real.busy() - busy).as_secs_f64() / span.as_secs_f64();
        run.say(about, "processor time, holding", "cores", spent, &worth);
        run.say(about, "resident, holding", "B", alone.real.resident() as f64, &worth);
    }
    run.say(journal, "journal's file", "B", figure(&alone.real, "sender_journal_bytes")?, &worth);
    let before = figure(&alone.real, "sender_pending")?;
    alone.restart().map_err(text)?;
    let ready = alone.until(run, READY, Real::is_ready)?.map(|_| alone.began.elapsed());
    let missed = ready.is_none().then(|| format!("not ready within {} s", READY.as_secs()));
    let worth = run.worth(late, missed);
    let after = figure(&alone.real, "sender_pending")?;
    run.say(journal, "time of a restart to ready", "s", ready.unwrap_or(READY).as_secs_f64(), &worth);
    run.say(journal, "held before a restart less held after it", "count", before - after, &worth);
    run.say(journal, "resident after a restart", "B", alone.real.resident() as f64, &worth);
    run.say(journal, "resident at most, a restart", "B", alone.real.peak() as f64, &worth);
    Ok(())
}
