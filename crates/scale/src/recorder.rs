//! A run under way: what it tells, and the bounds that it keeps.
use crate::measurement::Measurement;
use crate::plan::Plan;
use crate::real::{resident, Real};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is played, and where it tells what it sees.
pub struct Play<'a> {
    pub plan: Plan,
    /// The program of the real senders.
    pub program: PathBuf,
    /// Made anew, and gone at the end.
    pub folder: PathBuf,
    /// Set to end early.
    pub stop: Arc<AtomicBool>,
    pub tell: &'a mut dyn FnMut(&Measurement),
    pub progress: &'a dyn Fn(&str),
}

/// What a run took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub lines: usize,
    pub void: usize,
    pub seconds: f64,
    /// Of the run's own process and the real senders together, bytes, and what they may have: half of the machine's.
    pub memory: u64,
    pub memory_bound: u64,
    /// At once, the run's own included.
    pub processes: usize,
}

/// How often bounds are looked at.
const BOUNDS: Duration = Duration::from_millis(250);
/// A run may have one part in so many of the machine's memory.
const ALLOWED_PART: u64 = 2;

/// A run under way.
pub(crate) struct Run<'a> {
    pub plan: Plan,
    pub program: PathBuf,
    pub folder: PathBuf,
    tell: &'a mut dyn FnMut(&Measurement),
    pub progress: &'a dyn Fn(&str),
    stop: Arc<AtomicBool>,
    began: Instant,
    looked: Instant,
    summary: Summary,
}

/// What a measurement is about.
#[derive(Clone, Copy)]
pub(crate) struct About<'a> {
    pub role: &'a str,
    pub varied: &'a str,
    pub at: f64,
    pub event: Option<&'a str>,
    pub senders: u32,
    pub real: u32,
    pub destinations: u32,
}

/// Why a value does not count, and how late the run was.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worth {
    pub late: Duration,
    pub void: Option<String>,
}

/// Half of what the machine has, bytes.
fn half_of_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total =
        text.lines().find_map(|l| l.strip_prefix("MemTotal:")?.trim().split(' ').next()?.parse().ok());
    total.unwrap_or(0u64) * 1_024 / ALLOWED_PART
}

impl<'a> Run<'a> {
    pub fn new(play: Play<'a>) -> Run<'a> {
        let Play { plan, program, folder, stop, tell, progress } = play;
        let summary = Summary { memory_bound: half_of_memory(), processes: 1, ..Summary::default() };
        let (began, looked) = (Instant::now(), Instant::now());
        Run { plan, program, folder, tell, progress, stop, began, looked, summary }
    }

    /// What it has taken so far.
    pub fn summary(&self) -> Summary {
        Summary { seconds: self.began.elapsed().as_secs_f64(), ..self.summary }
    }

    pub fn say(&mut self, about: About<'_>, what: &str, unit: &str, value: f64, worth: &Worth) {
        let line = Measurement {
            plan: self.plan.name.clone(),
            role: about.role.into(),
            what: what.into(),
            unit: unit.into(),
            varied: about.varied.into(),
            at: about.at,
            event: about.event.map(str::to_string),
            senders: about.senders,
            real: about.real,
            destinations: about.destinations,
            seed: self.plan.seed,
            // What comes behind a millionth is noise, and a text of it may not be read back as the same number.
            value: (value * 1e6).round() / 1e6,
            late_ms: worth.late.as_millis() as u64,
            void: worth.void.clone(),
        };
        self.summary.lines += 1;
        self.summary.void += usize::from(line.void.is_some());
        (self.tell)(&line);
    }

    /// What is worth what was measured while the run's own threads were so late at worst.
    pub fn worth(&self, late: Duration, missed: Option<String>) -> Worth {
        let stalled = late > Duration::from_millis(self.plan.bounds.late_ms);
        let why = || format!("the run's own threads were {} ms late", late.as_millis());
        Worth { late, void: missed.or_else(|| stalled.then(why)) }
    }

    /// Ends a run that reaches a bound. `processes`: the real senders there are.
    pub fn bounds<'r>(&mut self, reals: impl Iterator<Item = &'r Real>) -> Result<(), String> {
        if self.stop.load(Relaxed) {
            return Err("it was interrupted".into());
        }
        if self.began.elapsed().as_secs_f64() > self.plan.bounds.seconds {
            return Err(format!("the bound of {} s is reached", self.plan.bounds.seconds));
        }
        if self.looked.elapsed() < BOUNDS {
            return Ok(());
        }
        self.looked = Instant::now();
        let (mut memory, mut processes) = (resident(std::process::id()), 1);
        reals.for_each(|real| (memory, processes) = (memory + real.resident(), processes + 1));
        self.summary.memory = self.summary.memory.max(memory);
        self.summary.processes = self.summary.processes.max(processes);
        match memory > self.summary.memory_bound {
            true => Err(format!("the bound of {} bytes of memory is reached", self.summary.memory_bound)),
            false => Ok(()),
        }
    }
}
