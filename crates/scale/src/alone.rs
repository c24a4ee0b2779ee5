//! One real sender alone, with its agent: what lists, messages and the like are measured on.
use crate::agent::{self, Agent};
use crate::fleet::{replace, settings, Folder};
use crate::plan::ToldBy;
use crate::real::Real;
use crate::recorder::Run;
use serde_json::{json, Value};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
/// What the platform gives a sender.
pub(crate) const LIMITS: Limits = Limits { memory_mb: 128, sockets: 1_024, disk_mb: 3 };

#[derive(Clone, Copy)]
pub(crate) struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: u32,
}

/// Its process and its agent's thread end with it, and the folder goes.
pub(crate) struct Alone {
    pub real: Real,
    pub agent: Agent,
    /// Since when it runs.
    pub began: Instant,
    program: PathBuf,
    folder: Folder,
}

/// Waits until something is so; None where it is not so in that time.
pub(crate) fn until(
    run: &mut Run<'_>,
    reals: &mut [Real],
    within: Duration,
    mut so: impl FnMut(&[Real]) -> bool,
) -> Result<Option<Duration>, String> {
    let began = Instant::now();
    while !so(reals) {
        run.bounds(reals.iter())?;
        if reals.iter_mut().any(Real::has_ended) {
            return Err("a real sender has ended".into());
        }
        if began.elapsed() > within {
            return Ok(None);
        }
        std::thread::sleep(TICK);
    }
    Ok(Some(began.elapsed()))
}

/// Settings of one sender that may hold so many messages, for so long.
pub(crate) fn holding(most: usize, deadline: Duration) -> Value {
    let mut settings = settings(1, 1_000_000_000);
    settings["Limits"]["MaxOpen"] = most.into();
    for class in settings["Services"].as_array_mut().into_iter().flatten() {
        class["DeadlineNs"] = json!(deadline.as_nanos() as u64);
    }
    settings
}

impl Alone {
    /// Starts it; what it is ready for and has is not waited for.
    pub fn start(
        run: &Run<'_>,
        entries: Vec<String>,
        told_by: ToldBy,
        limits: Limits,
        settings: &Value,
    ) -> io::Result<Alone> {
        let known = match told_by {
            ToldBy::Discovery => agent::list(0, true, &[]),
            ToldBy::Known => agent::list(1, true, &entries),
        };
        let agent = Agent::start(entries)?;
        let folder = Folder::new(run.folder.join("alone"))?;
        std::fs::create_dir_all(folder.0.join("state"))?;
        let Limits { memory_mb, sockets, disk_mb } = limits;
        let rest = json!({"name": "s0", "seed": format!("{:x}", run.plan.seed), "discovery": agent.address,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
            "settings": settings});
        // Not as a value: a list may be large, and is a text already.
        let config = format!(r#"{{"known":{known},{}"#, &rest.to_string()[1..]);
        replace(&folder.0.join("config.json"), &config)?;
        let real = Real::start(&run.program, &folder.0, 0)?;
        Ok(Alone { real, agent, began: Instant::now(), program: run.program.clone(), folder })
    }

    pub fn until(
        &mut self,
        run: &mut Run<'_>,
        within: Duration,
        mut so: impl FnMut(&Real) -> bool,
    ) -> Result<Option<Duration>, String> {
        until(run, std::slice::from_mut(&mut self.real), within, |all| all.iter().all(&mut so))
    }

    /// Lets so long pass, and tells how long that took.
    pub fn pass(&mut self, run: &mut Run<'_>, span: Duration) -> Result<Duration, String> {
        let began = Instant::now();
        self.until(run, span, |_| false)?;
        Ok(began.elapsed())
    }

    /// Waits until it takes clients and has all endpoints.
    pub fn settle(&mut self, run: &mut Run<'_>, endpoints: usize, within: Duration) -> Result<(), String> {
        let so = |real: &Real| real.is_ready() && real.figure("sender_members") == Some(endpoints as f64);
        match self.until(run, within, so)? {
            Some(_) => Ok(()),
            None => Err(format!(
                "the real sender has not {endpoints} endpoints within {} s",
                within.as_secs_f64()
            )),
        }
    }

    /// Kills it, and starts it once more with what it left.
    pub fn restart(&mut self) -> io::Result<()> {
        self.real.kill();
        self.real = Real::start(&self.program, &self.folder.0, 0)?;
        self.began = Instant::now();
        Ok(())
    }
}
