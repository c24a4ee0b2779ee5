//! What a list of endpoints costs one real sender, by how many destinations it has.
use crate::agent::{self, Agent};
use crate::fleet::{replace, settings, Folder};
use crate::plan::ToldBy;
use crate::real::Real;
use crate::recorder::{About, Run, Worth};
use serde_json::json;
use std::time::{Duration, Instant};
use trial::peers::free_address;

/// Changes of one entry whose cost is added up.
const CHANGES: usize = 20;
/// For how long a sender that has its list is looked at while nothing happens.
const REST: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(5);

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

/// Waits until something is so; None where it is not so in that time.
fn until(
    run: &mut Run<'_>,
    real: &mut Real,
    within: Duration,
    mut so: impl FnMut(&Real) -> bool,
) -> Result<Option<Duration>, String> {
    let began = Instant::now();
    while !so(real) {
        run.bounds(std::iter::once(&*real))?;
        if real.has_ended() {
            return Err("the real sender has ended".into());
        }
        if began.elapsed() > within {
            return Ok(None);
        }
        std::thread::sleep(TICK);
    }
    Ok(Some(began.elapsed()))
}

fn one(run: &mut Run<'_>, destinations: u32, told_by: ToldBy) -> Result<(), String> {
    let text = |e: std::io::Error| e.to_string();
    let partner = free_address();
    let entries = agent::entries(destinations, partner);
    let endpoints = entries.len();
    let known = match told_by {
        ToldBy::Discovery => agent::list(0, true, &[]),
        ToldBy::Known => agent::list(1, true, &entries),
    };
    let agent = Agent::start(entries).map_err(text)?;
    let folder = Folder::new(run.folder.join(format!("list-{destinations}"))).map_err(text)?;
    std::fs::create_dir_all(folder.0.join("state")).map_err(text)?;
    let seed = format!("{:x}", run.plan.seed);
    let rest = json!({"name": "s0", "seed": seed, "discovery": agent.address,
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024, "disk_mb": 3},
        "settings": settings(1, 1_000_000_000)});
    // Not as a value: a list may be large, and is a text already.
    let config = format!(r#"{{"known":{known},{}"#, &rest.to_string()[1..]);
    replace(&folder.0.join("config.json"), &config).map_err(text)?;
    drop((known, config));
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
    let mut real = Real::start(&run.program, &folder.0, 0).map_err(text)?;
    let began = Instant::now();
    let ready = until(run, &mut real, within, Real::is_ready)?;
    let has_all = |real: &Real| real.figure("sender_members") == Some(endpoints as f64);
    let listed = until(run, &mut real, within, has_all)?.map(|_| began.elapsed());
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
    let busy = real.busy();
    until(run, &mut real, REST, |_| false)?;
    let idle = (real.busy() - busy).as_secs_f64() / REST.as_secs_f64();
    run.say(about, &format!("processor time at rest, told by {by}"), "cores", idle, &of_list);
    run.say(about, &format!("resident, told by {by}"), "B", real.resident() as f64, &of_list);
    run.say(about, &format!("resident at most, told by {by}"), "B", real.peak() as f64, &of_list);
    if listed.is_none() {
        return Ok(());
    }
    let (began, busy) = (Instant::now(), real.busy());
    for change in 0..CHANGES {
        let (asked, _) = agent.asked();
        // Another weight of an endpoint that it knows.
        agent.change(0, agent::entry(0, 0, partner, 2.0 + change as f64));
        // Once it has been told it asks again.
        if until(run, &mut real, within, |_| agent.asked().0 > asked)?.is_none() {
            return Err(format!("a change of one entry among {destinations} was not taken"));
        }
    }
    // The last one is still being taken in.
    until(run, &mut real, Duration::from_millis(100), |_| false)?;
    let spent = (real.busy() - busy).as_secs_f64() - idle * began.elapsed().as_secs_f64();
    let each = spent.max(0.0) * 1e6 / CHANGES as f64;
    run.say(about, &format!("processor time of a change of one entry, told by {by}"), "us", each, &of_list);
    Ok(())
}
