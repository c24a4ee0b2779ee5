//! What a list of endpoints costs one real sender, by how many destinations it has.
use crate::agent;
use crate::alone::{until, Alone, LIMITS};
use crate::fleet::settings;
use crate::plan::ToldBy;
use crate::real::Real;
use crate::recorder::{About, Run, Worth};
use std::time::{Duration, Instant};
use trial::peers::free_address;

/// Changes of one entry whose cost is added up.
const CHANGES: usize = 20;
/// For how long a sender that has its list is looked at while nothing happens.
const REST: Duration = Duration::from_secs(1);

/// All that the plan asks for.
pub(crate) fn play(run: &mut Run<'_>) -> Result<(), String> {
    let (all, told_by) = (run.plan.destinations.clone(), run.plan.told_by.clone());
    for destinations in all {
        for told_by in &told_by {
            (run.progress)(&format!("{destinations} destinations by {}", by(*told_by)));
            one(run, destinations, *told_by)?;
        }
    }
    Ok(())
}

fn by(told_by: ToldBy) -> &'static str {
    match told_by {
        ToldBy::Discovery => "discovery",
        ToldBy::Known => "known",
    }
}

fn one(run: &mut Run<'_>, destinations: u32, told_by: ToldBy) -> Result<(), String> {
    let text = |e: std::io::Error| e.to_string();
    let partner = free_address();
    let entries = agent::entries(destinations, partner, agent::DOWN);
    let endpoints = entries.len();
    // As for a fleet: nobody hands in.
    let settings = settings(1, 1_000_000_000);
    let mut alone = Alone::start(run, entries, told_by, LIMITS, &settings).map_err(text)?;
    let about = About {
        role: "lists",
        varied: "destinations",
        at: destinations.into(),
        event: None,
        senders: 1,
        real: 1,
        destinations,
    };
    let within = Duration::from_secs_f64(run.plan.list_s);
    let ready = alone.until(run, within, Real::is_ready)?.map(|_| alone.began.elapsed());
    let has_all = |real: &Real| real.figure("sender_members") == Some(endpoints as f64);
    let listed = alone.until(run, within, has_all)?.map(|_| alone.began.elapsed());
    let worth = |missed: bool, what: &str| Worth {
        void: missed.then(|| format!("{what} within {} s", run.plan.list_s)),
        ..Worth::default()
    };
    let (of_ready, of_list) =
        (worth(ready.is_none(), "not ready"), worth(listed.is_none(), "the list was not taken"));
    let by = by(told_by);
    let seconds = |span: Option<Duration>| span.unwrap_or(within).as_secs_f64();
    run.say(about, &format!("time to ready, told by {by}"), "s", seconds(ready), &of_ready);
    run.say(about, &format!("time until the list is held, told by {by}"), "s", seconds(listed), &of_list);
    let busy = alone.real.busy();
    let span = alone.pass(run, REST)?;
    let idle = (alone.real.busy() - busy).as_secs_f64() / span.as_secs_f64();
    run.say(about, &format!("processor time at rest, told by {by}"), "cores", idle, &of_list);
    run.say(about, &format!("resident, told by {by}"), "B", alone.real.resident() as f64, &of_list);
    run.say(about, &format!("resident at most, told by {by}"), "B", alone.real.peak() as f64, &of_list);
    if listed.is_none() {
        return Ok(());
    }
    let (began, busy) = (Instant::now(), alone.real.busy());
    for change in 0..CHANGES {
        let (asked, _) = alone.agent.asked();
        // Another weight of an endpoint that it knows.
        alone.agent.change(0, agent::entry(0, 0, partner, 2.0 + change as f64));
        // Once it has been told it asks again.
        let agent = &alone.agent;
        if until(run, std::slice::from_mut(&mut alone.real), within, |_| agent.asked().0 > asked)?.is_none() {
            return Err(format!("a change of one entry among {destinations} was not taken"));
        }
    }
    // The last one is still being taken in.
    alone.pass(run, Duration::from_millis(100))?;
    let spent = (alone.real.busy() - busy).as_secs_f64() - idle * began.elapsed().as_secs_f64();
    let each = spent.max(0.0) * 1e6 / CHANGES as f64;
    run.say(about, &format!("processor time of a change of one entry, told by {by}"), "us", each, &of_list);
    Ok(())
}
