//! What is measured on one fleet: its start, its rest, events, and changes of the configuration.
use crate::fleet::{Fleet, DESTINATIONS};
use crate::net::{Cut, Sums};
use crate::plan::{Event, What};
use crate::real::{resident, Real};
use crate::recorder::{About, Run, Worth};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// How often something that is waited for is looked at.
const TICK: Duration = Duration::from_millis(10);
/// How often real senders are asked while they are waited for; an answer is work for them.
const ASK: Duration = Duration::from_millis(200);
/// How long a real sender may take until it is ready.
const READY: Duration = Duration::from_secs(20);
/// How long a change of the configuration may take: what the operators ask for.
const IN_FORCE: Duration = Duration::from_secs(8);
/// A real sender has read its last file once its count of these stands still for so long.
const STILL: Duration = Duration::from_millis(500);

impl Run<'_> {
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
    fn worth_on(&self, fleet: &Fleet, missed: Option<String>) -> Worth {
        self.worth(fleet.hollows.board.take_late(), missed)
    }

    fn about<'r>(&self, fleet: &Fleet, event: Option<&'r str>) -> About<'r> {
        let (senders, real) = (fleet.senders() as u32, fleet.reals.len() as u32);
        let (varied, at) = if event.is_some() { ("", 0.0) } else { ("senders", senders.into()) };
        let destinations = DESTINATIONS;
        About { role: "membership", varied, at, event, senders, real, destinations }
    }

    /// One fleet of so many, with all that the plan asks of it.
    pub fn fleet(&mut self, senders: usize) -> Result<(), String> {
        (self.progress)(&format!("{senders} senders start"));
        // What an earlier fleet had is given back first, so that this one's can be told.
        // SAFETY: it takes no pointer, and may be called at any time.
        unsafe { libc::malloc_trim(0) };
        let before = resident(std::process::id());
        let (plan, folder) = (self.plan.clone(), self.folder.join(format!("fleet-{senders}")));
        let began = Instant::now();
        let mut fleet = Fleet::start(&plan, senders, &self.program, folder)?;
        let made = began.elapsed();
        if plan.starting_s > 0.0 {
            self.start(&mut fleet, made)?;
        }
        // One that is told to read its file again before it heeds that would end.
        let ready = |fleet: &mut Fleet| fleet.reals.iter().all(Real::is_ready);
        if self.until(&mut fleet, READY, ready)?.is_none() {
            return Err(format!("not all real senders are ready within {} s", READY.as_secs()));
        }
        if plan.rest_s > 0.0 {
            (self.progress)(&format!("{senders} senders at rest"));
            self.pass(&mut fleet, plan.settle_s)?;
            for _ in 0..plan.parts {
                self.rest(&mut fleet, plan.rest_s / f64::from(plan.parts))?;
            }
            let worth = self.worth_on(&fleet, None);
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
        let (memory, processes) = (self.summary().memory as f64, (fleet.processes() + 1) as f64);
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
        let worth = self.worth_on(fleet, missed);
        let (about, took) = (self.about(fleet, None), made + took.unwrap_or(within));
        let sums = fleet.net.sums(0..fleet.senders());
        self.say(about, "time from the start until all agree", "s", took.as_secs_f64(), &worth);
        let intervals = self.intervals(took);
        self.say(about, "intervals from the start until all agree", "count", intervals, &worth);
        let each = sums.bytes_out as f64 / f64::from(count);
        self.say(about, "bytes out a member and interval, starting", "B", each / intervals, &worth);
        self.say(about, "bytes out a member until all agree", "B", each, &worth);
        self.say(about, "roster's file", "B", fleet.roster_bytes() as f64, &worth);
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
        let (intervals, worth) = (self.intervals(began.elapsed()), self.worth_on(fleet, None));
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
        let worth = self.worth_on(fleet, missed);
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
        let worth = self.worth_on(fleet, missed);
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
        let (mark, within) = (fleet.mark(), IN_FORCE);
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
            let still = |at: Duration| began.elapsed().saturating_sub(at) > STILL;
            hollow.is_some() && (seen.is_empty() || last.is_some_and(still))
        })?;
        let missed = took.is_none().then(|| format!("not in force everywhere within {} s", within.as_secs()));
        let worth = self.worth_on(fleet, missed);
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
