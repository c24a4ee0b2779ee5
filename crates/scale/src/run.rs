//! Plays a plan: its fleets one after the other, each with what the plan asks of it, and then its lists.
use crate::fleet::Fleet;
use crate::lists;
use crate::measurement::Measurement;
use crate::net::{Cut, Sums};
use crate::plan::{Event, Plan, What};
use crate::real::{resident, Real};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
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

/// How often something that is waited for is looked at.
const TICK: Duration = Duration::from_millis(10);
/// How often bounds are.
const BOUNDS: Duration = Duration::from_millis(250);
/// How often real senders are asked while they are waited for; an answer is work for them.
const ASK: Duration = Duration::from_millis(200);
/// Headers below a datagram are not counted: 8 bytes of UDP and 20 of IP.
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

/// Ctrl-C sets it, as long as the process lives.
pub fn interrupted() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::default());
    let told = stop.clone();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
            told.store(true, Relaxed);
        }
    });
    stop
}

/// Half of what the machine has, bytes.
fn half_of_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total =
        text.lines().find_map(|l| l.strip_prefix("MemTotal:")?.trim().split(' ').next()?.parse().ok());
    total.unwrap_or(0u64) * 1_024 / ALLOWED_PART
}

/// Plays it on this thread. The error says which bound was reached, or what of the run itself failed; nothing is left
/// running then either.
pub fn play(play: Play<'_>) -> Result<Summary, String> {
    let Play { plan, program, folder, stop, tell, progress } = play;
    let summary = Summary { memory_bound: half_of_memory(), processes: 1, ..Summary::default() };
    let (began, looked) = (Instant::now(), Instant::now());
    let mut run = Run { plan, program, folder, tell, progress, stop, began, looked, summary };
    for senders in run.plan.senders.clone() {
        run.fleet(senders as usize)?;
    }
    lists::play(&mut run)?;
    run.summary.seconds = began.elapsed().as_secs_f64();
    Ok(run.summary)
}

impl Run<'_> {
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
            value,
            late_ms: worth.late.as_millis() as u64,
            void: worth.void.clone(),
        };
        self.summary.lines += 1;
        self.summary.void += usize::from(line.void.is_some());
        (self.tell)(&line);
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

    /// Waits until something is so; None where it is not so in that time.
    fn until(
        &mut self,
        fleet: &mut Fleet,
        within: Duration,
        mut so: impl FnMut(&mut Fleet) -> bool,
    ) -> Result<Option<Duration>, String> {
        let began = Instant::now();
        loop {
            if so(fleet) {
                return Ok(Some(began.elapsed()));
            }
            if began.elapsed() >= within {
                return Ok(None);
            }
            self.bounds(fleet.reals.iter())?;
            if let Some(why) = fleet.hollows.failed() {
                return Err(why);
            }
            if let Some(real) = fleet.reals.iter_mut().find_map(|r| r.has_ended().then_some(r.member)) {
                return Err(format!("the real sender {real} has ended"));
            }
            let before = Instant::now();
            std::thread::sleep(TICK);
            fleet.hollows.board.note_late(before.elapsed().saturating_sub(TICK));
        }
    }

    fn pass(&mut self, fleet: &mut Fleet, seconds: f64) -> Result<(), String> {
        self.until(fleet, Duration::from_secs_f64(seconds), |_| false).map(|_| ())
    }

    /// Of what was measured since lateness was last asked for.
    fn worth(&self, fleet: &Fleet, missed: Option<String>) -> Worth {
        let late = fleet.hollows.board.take_late();
        let bound = self.plan.bounds.late_ms;
        let stalled = late > Duration::from_millis(bound);
        let why = || format!("the run's own threads were {} ms late", late.as_millis());
        Worth { late, void: missed.or_else(|| stalled.then(why)) }
    }

    fn about<'r>(&self, fleet: &Fleet, event: Option<&'r str>) -> About<'r> {
        let (senders, real) = (fleet.senders() as u32, fleet.reals.len() as u32);
        let (varied, at) = if event.is_some() { ("", 0.0) } else { ("senders", senders.into()) };
        let destinations = crate::fleet::DESTINATIONS;
        About { role: "membership", varied, at, event, senders, real, destinations }
    }

    fn fleet(&mut self, senders: usize) -> Result<(), String> {
        (self.progress)(&format!("{senders} senders start"));
        // What an earlier fleet had is given back first, so that this one's can be told.
        // SAFETY: it takes no pointer, and may be called at any time.
        unsafe { libc::malloc_trim(0) };
        let before = resident(std::process::id());
        let (plan, folder) = (self.plan.clone(), self.folder.join(format!("fleet-{senders}")));
        let began = Instant::now();
        let mut fleet = Fleet::start(&plan, senders, &self.program, folder)?;
        let made = began.elapsed();
        self.start(&mut fleet, made)?;
        if plan.rest_s > 0.0 {
            (self.progress)(&format!("{senders} senders at rest"));
            self.pass(&mut fleet, plan.settle_s)?;
            for _ in 0..plan.parts {
                self.rest(&mut fleet, plan.rest_s / f64::from(plan.parts))?;
            }
            let worth = self.worth(&fleet, None);
            let hollow = fleet.hollows.members().count().max(1) as f64;
            let own = resident(std::process::id()).saturating_sub(before) as f64 / hollow;
            let about = self.about(&fleet, None);
            self.say(about, "resident, a hollow sender", "B", own, &worth);
            let all: Vec<u64> = fleet.reals.iter().map(Real::resident).collect();
            all.into_iter()
                .for_each(|one| self.say(about, "resident, a real sender", "B", one as f64, &worth));
        }
        for event in &plan.events {
            (self.progress)(&format!("{senders} senders, {} lost", event.what.name()));
            self.event(&mut fleet, *event)?;
        }
        for changes in &plan.changes {
            (self.progress)(&format!("{senders} senders, {changes} changes of the configuration"));
            self.changes(&mut fleet, *changes)?;
        }
        let about = About { role: "control", ..self.about(&fleet, None) };
        let (memory, processes) = (self.summary.memory as f64, (fleet.processes() + 1) as f64);
        self.say(about, "memory of the whole run", "B", memory, &Worth::default());
        self.say(about, "processes of the whole run", "count", processes, &Worth::default());
        Ok(())
    }

    /// Until all agree; what it took.
    fn start(&mut self, fleet: &mut Fleet, made: Duration) -> Result<(), String> {
        let _ = fleet.hollows.board.take_late();
        let (count, within) = (fleet.senders() as u32, Duration::from_secs_f64(self.plan.starting_s));
        let expects = vec![Some(count); count as usize];
        let took = self.until(fleet, within, agreement(expects))?;
        // A start's own work (files, sockets) is no stall of what runs.
        let missed = took.is_none().then(|| format!("not all agreed within {} s", self.plan.starting_s));
        let worth = self.worth(fleet, missed);
        let (about, took) = (self.about(fleet, None), made + took.unwrap_or(within));
        let sums = fleet.net.sums(0..fleet.senders());
        self.say(about, "time from the start until all agree", "s", took.as_secs_f64(), &worth);
        let intervals = self.intervals(took);
        self.say(about, "intervals from the start until all agree", "count", intervals, &worth);
        let each = sums.bytes_out as f64 / f64::from(count) / intervals;
        self.say(about, "bytes out a member and interval, starting", "B", each, &worth);
        Ok(())
    }

    fn intervals(&self, span: Duration) -> f64 {
        span.as_secs_f64() * 1e3 / self.plan.interval_ms as f64
    }

    /// One part of the rest.
    fn rest(&mut self, fleet: &mut Fleet, seconds: f64) -> Result<(), String> {
        let hollow: Vec<usize> = fleet.hollows.members().collect();
        let count = fleet.senders();
        let _ = fleet.hollows.board.take_late();
        let sums = |fleet: &Fleet| (fleet.net.sums(0..count), fleet.net.sums(hollow.iter().copied()));
        let of_reals = |fleet: &Fleet| fleet.reals.iter().map(Real::busy).collect::<Vec<_>>();
        let (began, before, busy, reals) =
            (Instant::now(), sums(fleet), fleet.hollows.board.busy(), of_reals(fleet));
        self.pass(fleet, seconds)?;
        let (after, spent, ends) = (sums(fleet), fleet.hollows.board.busy() - busy, of_reals(fleet));
        let (intervals, worth) = (self.intervals(began.elapsed()), self.worth(fleet, None));
        let about = self.about(fleet, None);
        let (all, own) = (after.0.since(before.0), after.1.since(before.1));
        for (what, unit, value) in rates(all) {
            let what = format!("{what} a member and interval");
            self.say(about, &what, unit, value as f64 / count as f64 / intervals, &worth);
        }
        let hollows = hollow.len().max(1) as f64;
        let cost = |span: Duration| span.as_secs_f64() * 1e6 / intervals;
        let what = "processor time a member and interval";
        self.say(about, &format!("{what}, hollow"), "us", cost(spent) / hollows, &worth);
        for (before, after) in reals.into_iter().zip(ends) {
            let spent = cost(after.saturating_sub(before));
            self.say(about, &format!("{what}, real"), "us", spent, &worth);
        }
        let lists = About { role: "lists", ..about };
        let seconds = began.elapsed().as_secs_f64();
        for (what, bytes) in [("bytes out", own.asked), ("bytes in", own.answered)] {
            let value = bytes as f64 / hollows / seconds;
            self.say(lists, &format!("{what} a member and second"), "B/s", value, &worth);
        }
        Ok(())
    }

    /// Members that an event strikes, drawn by the seed.
    fn struck(&self, what: What, count: usize) -> Vec<usize> {
        let mut random = Pcg64::seed_from_u64(self.plan.seed ^ what as u64);
        let mut all = |parts: usize| {
            let part = random.random_range(0..parts);
            (0..count).filter(|m| m % parts == part).collect()
        };
        match what {
            What::Machine => all(count),
            What::Rack => all(30),
            What::Zone => all(6),
            What::Region | What::RegionOneWay => all(2),
        }
    }

    fn event(&mut self, fleet: &mut Fleet, event: Event) -> Result<(), String> {
        let count = fleet.senders();
        let struck = self.struck(event.what, count);
        let is_half = matches!(event.what, What::Region | What::RegionOneWay);
        let how = if event.what == What::RegionOneWay { Cut::Out } else { Cut::Both };
        let is_struck = |m: usize| struck.binary_search(&m).is_ok();
        let others: Vec<usize> = (0..count).filter(|m| !is_struck(*m)).collect();
        // Those in the small part of an outage that is not half of all have nobody to serve either.
        let expects = (0..count).map(|m| match is_struck(m) {
            true => is_half.then_some(struck.len() as u32),
            false => Some(others.len() as u32),
        });
        let about = self.about(fleet, Some(event.what.name()));
        let board = fleet.hollows.board.clone();
        let _ = (board.take_late(), board.take_wrong());
        board.judge(true);
        let watched: Vec<usize> = if is_half { (0..count).collect() } else { others.clone() };
        let (began, before) = (Instant::now(), fleet.net.sums(watched.iter().copied()));
        fleet.net.cut(&struck, how);
        let within = Duration::from_secs_f64(event.lost_s);
        let took = self.until(fleet, within, agreement(expects.collect()))?;
        self.pass(fleet, within.saturating_sub(began.elapsed()).as_secs_f64())?;
        let sums = fleet.net.sums(watched.iter().copied()).since(before);
        board.judge(false);
        self.ask_reals_for_wrong(fleet);
        let missed = took.is_none().then(|| format!("not all agreed within {} s", event.lost_s));
        let worth = self.worth(fleet, missed);
        self.say(
            about,
            "time until all agree that it is lost",
            "s",
            took.unwrap_or(within).as_secs_f64(),
            &worth,
        );
        self.say(
            about,
            "intervals until all agree that it is lost",
            "count",
            self.intervals(took.unwrap_or(within)),
            &worth,
        );
        let late_only = Worth { void: worth.void.clone().filter(|_| took.is_some()), ..worth };
        self.meanwhile(about, "lost", sums, watched.len(), began.elapsed(), &late_only);
        self.say(about, "wrong verdicts", "count", board.take_wrong() as f64, &late_only);
        self.back(fleet, event, about)
    }

    fn back(&mut self, fleet: &mut Fleet, event: Event, about: About<'_>) -> Result<(), String> {
        let count = fleet.senders();
        let (began, before) = (Instant::now(), fleet.net.sums(0..count));
        fleet.net.heal();
        let within = Duration::from_secs_f64(event.back_s);
        let took = self.until(fleet, within, agreement(vec![Some(count as u32); count]))?;
        let sums = fleet.net.sums(0..count).since(before);
        let span = began.elapsed();
        let missed = took.is_none().then(|| format!("not all agreed within {} s", event.back_s));
        let worth = self.worth(fleet, missed);
        self.say(
            about,
            "time until all agree that it is back",
            "s",
            took.unwrap_or(within).as_secs_f64(),
            &worth,
        );
        self.say(
            about,
            "intervals until all agree that it is back",
            "count",
            self.intervals(took.unwrap_or(within)),
            &worth,
        );
        let late_only = Worth { void: worth.void.clone().filter(|_| took.is_some()), ..worth };
        self.meanwhile(about, "coming back", sums, count, span, &late_only);
        Ok(())
    }

    fn meanwhile(
        &mut self,
        about: About<'_>,
        when: &str,
        sums: Sums,
        members: usize,
        span: Duration,
        worth: &Worth,
    ) {
        let each = sums.bytes_out as f64 / members as f64 / self.intervals(span);
        self.say(about, &format!("bytes out a member and interval, {when}"), "B", each, worth);
    }

    /// What real senders hold of members that they could hear.
    fn ask_reals_for_wrong(&self, fleet: &Fleet) {
        for real in &fleet.reals {
            for address in real.takes_for_failed() {
                let whom = fleet.net.places().iter().position(|p| p.known_by == address);
                if let Some(whom) = whom.filter(|whom| fleet.net.are_together(real.member, *whom)) {
                    fleet.hollows.board.note_wrong(real.member, whom);
                }
            }
        }
    }

    fn changes(&mut self, fleet: &mut Fleet, changes: u32) -> Result<(), String> {
        let event = if changes == 1 { "change".to_string() } else { format!("{changes} changes") };
        let event = if changes == 10 { "ten changes" } else { &event };
        let about = About { role: "settings", ..self.about(fleet, Some(event)) };
        let _ = fleet.hollows.board.take_late();
        let reloads = |fleet: &Fleet| -> Vec<f64> {
            fleet.reals.iter().map(|r| r.figure("sender_config_reloads").unwrap_or(0.0)).collect()
        };
        let before = reloads(fleet);
        let began = Instant::now();
        for _ in 0..changes {
            fleet.change().map_err(|e| format!("a configuration can't be replaced: {e}"))?;
        }
        let told = began.elapsed();
        let (mark, within) = (fleet.mark(), Duration::from_secs(8));
        let mut seen: Vec<(f64, Option<Duration>)> = before.iter().map(|n| (*n, None)).collect();
        let mut hollow = None;
        // A real one tells only how often it has read its file; after the last signal it has read the last one as soon as
        // the count stands still.
        let took = self.until(fleet, within, |fleet| {
            let board = &fleet.hollows.board;
            if hollow.is_none() && fleet.hollows.members().all(|m| board.seen[m].mark.load(Relaxed) == mark) {
                hollow = Some(began.elapsed());
            }
            for (real, seen) in fleet.reals.iter().zip(&mut seen) {
                let count = real.figure("sender_config_reloads").unwrap_or(0.0);
                if count > seen.0 {
                    *seen = (count, Some(began.elapsed()));
                }
            }
            let last = seen
                .iter()
                .map(|(_, at)| *at)
                .collect::<Option<Vec<_>>>()
                .and_then(|all| all.into_iter().max());
            let still = |at: Duration| began.elapsed().saturating_sub(at) > Duration::from_millis(500);
            hollow.is_some() && (seen.is_empty() || last.is_some_and(still))
        })?;
        let missed = took.is_none().then(|| format!("not in force everywhere within {} s", within.as_secs()));
        let worth = self.worth(fleet, missed);
        let real = seen.iter().filter_map(|(_, at)| *at).max();
        let last = hollow.max(real).unwrap_or(within);
        self.say(about, "time until the last file was replaced", "s", told.as_secs_f64(), &worth);
        self.say(about, "time until in force at the last", "s", last.as_secs_f64(), &worth);
        if let Some(real) = real {
            self.say(about, "time until in force at the last real one", "s", real.as_secs_f64(), &worth);
        }
        Ok(())
    }
}

fn rates(sums: Sums) -> [(&'static str, &'static str, u64); 4] {
    [
        ("bytes out", "B", sums.bytes_out),
        ("bytes in", "B", sums.bytes_in),
        ("datagrams out", "count", sums.datagrams_out),
        ("datagrams in", "count", sums.datagrams_in),
    ]
}

/// Whether each member counts so many present; one without a number is not asked. Real ones are asked now and then, and
/// only once the others agree.
fn agreement(expects: Vec<Option<u32>>) -> impl FnMut(&mut Fleet) -> bool {
    let mut asked: Option<Instant> = None;
    move |fleet| {
        let count = fleet.senders() as u32;
        let board = &fleet.hollows.board;
        let sees = |member: usize, present: u32| {
            let seen = &board.seen[member];
            seen.present.load(Relaxed) == present && seen.expected.load(Relaxed) == count
        };
        let mut hollow = fleet.hollows.members().filter_map(|m| Some((m, expects[m]?)));
        if !hollow.all(|(member, present)| sees(member, present)) {
            return false;
        }
        if asked.is_some_and(|at| at.elapsed() < ASK) {
            return false;
        }
        asked = Some(Instant::now());
        let shows = |real: &Real, name, value: u32| real.figure(name) == Some(value.into());
        fleet.reals.iter().filter_map(|r| Some((r, expects[r.member]?))).all(|(real, present)| {
            shows(real, "sender_fleet_present", present) && shows(real, "sender_fleet_expected", count)
        })
    }
}
