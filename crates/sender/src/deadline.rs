//! A message's time: when it is up, what of it an attempt gets, and how it outlasts the process.
//!
//! Within a process all of it is on the monotonic clock. Between processes only the wall clock is shared, and that
//! one may be set: each write to the journal says what both showed, so that the next process can tell how much time
//! has passed whatever was done to the wall clock before.
use journal::{Live, Stamp};
use policy::api::{Ns, MS};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When a message's time is up. Every stage that it goes through is bounded by this and by nothing later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    pub fn at(instant: Instant) -> Deadline {
        Deadline(instant)
    }

    /// From what a request's headers say: a whole number of milliseconds, once. It counts from when the request
    /// was sent; its first byte is the nearest to that which can be known here. No message has longer than its
    /// class.
    pub fn read<'a>(
        mut values: impl Iterator<Item = &'a [u8]>,
        since: Instant,
        most: Duration,
    ) -> Result<Deadline, &'static str> {
        let (value, other) = (values.next(), values.next());
        let text = value.ok_or("X-Expires-In-Ms is missing")?.trim_ascii();
        if other.is_some() {
            return Err("X-Expires-In-Ms is given more than once");
        }
        if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
            return Err("X-Expires-In-Ms is not a whole number of milliseconds");
        }
        // More than a month is a mistake, not a wish.
        let ms = std::str::from_utf8(text).ok().and_then(|t| t.parse::<u32>().ok());
        let ms = ms.ok_or("X-Expires-In-Ms is out of range")?;
        Ok(Deadline(since + Duration::from_millis(ms.into()).min(most)))
    }

    pub fn instant(self) -> Instant {
        self.0
    }

    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    pub fn is_over(self, now: Instant) -> bool {
        now >= self.0
    }
}

/// What an attempt may use of its message's time.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    pub end: Deadline,
    /// The attempt is given up after so long without an answer; None: only as the message's time is up.
    pub wait: Option<Duration>,
    /// Its first byte must be written before this.
    pub by: Instant,
}

impl Allowance {
    /// `limit`: as the module has it, 0 for none. `told`: what endpoints were told before of this message, the
    /// least of it: none is told more than one before.
    pub fn new(end: Deadline, limit: Ns, told: Option<Duration>, by: Instant) -> Allowance {
        let limit = (limit > 0).then(|| Duration::from_nanos(limit as u64));
        // Whole milliseconds, as it is told and kept.
        let wait = limit.into_iter().chain(told).min().map(|w| Duration::from_millis(w.as_millis() as u64));
        Allowance { end, wait, by }
    }

    /// When an attempt that begins to be written (or dialled) at this time is given up.
    pub fn until(&self, now: Instant) -> Instant {
        self.wait.map_or(self.end.0, |wait| (now + wait).min(self.end.0))
    }

    /// What the endpoint is told; None where no whole millisecond is left, so that the attempt could only end
    /// after its time.
    pub fn tell(&self, now: Instant) -> Option<u64> {
        let ms = self.until(now).saturating_duration_since(now).as_millis() as u64;
        (ms > 0 && now < self.by).then_some(ms)
    }
}

/// A process's own clock for what it writes down: the wall clock as it was at the start, and the time since. Setting
/// the wall clock later does not change it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: i64,
}

impl Clock {
    pub fn new(start: Instant, wall: i64) -> Clock {
        Clock { start, wall }
    }

    pub fn ms(&self, at: Instant) -> i64 {
        self.wall.saturating_add(at.saturating_duration_since(self.start).as_millis() as i64)
    }

    pub fn stamp(&self, now: Instant, wall: i64) -> Stamp {
        Stamp { own: self.ms(now), wall }
    }
}

/// The wall clock has been set, not just corrected, if it went so many milliseconds off.
const SET_BY: u64 = 50;

/// Whether the wall clock was set between two stamps of a process: one that ends before it says so leaves the next
/// one to guess.
pub fn was_set(last: Stamp, now: Stamp) -> bool {
    let ahead = |s: Stamp| s.wall.saturating_sub(s.own);
    ahead(now).abs_diff(ahead(last)) > SET_BY
}

/// What the clock of the process that wrote a stamp shows now; None if the wall clock was set back meanwhile, as then
/// nothing tells how much time has passed.
fn now_there(stamp: Stamp, wall: i64) -> Option<i64> {
    let passed = wall.saturating_sub(stamp.wall);
    (passed >= -(SET_BY as i64)).then_some(stamp.own.saturating_add(passed.max(0)))
}

/// From the clock of a process that wrote something down to this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// How much later this one shows the same moment.
    by: i64,
    /// Nothing tells how much time has passed since: what had to end by a time may be past it, so it ends by now.
    over_by: Option<i64>,
}

impl Shift {
    /// `wall` and `own`: what the clocks here show. Files of before there were stamps are by the wall clock.
    pub fn new(stamp: Option<Stamp>, wall: i64, own: i64) -> Shift {
        let now = stamp.map_or(Some(wall), |s| now_there(s, wall));
        let theirs = now.or(stamp.map(|s| s.own)).unwrap_or(wall);
        Shift { by: own.saturating_sub(theirs), over_by: now.is_none().then_some(own) }
    }

    pub fn end(&self, at: i64) -> i64 {
        let end = at.saturating_add(self.by);
        self.over_by.map_or(end, |now| now.min(end))
    }

    pub fn past(&self, at: i64) -> i64 {
        at.saturating_add(self.by)
    }

    /// A message as this process writes it down.
    pub fn apply(&self, live: &Live) -> Live {
        let mut live = live.clone().stamped(None);
        let end = self.end(live.taken.end);
        Arc::make_mut(&mut live.taken).end = end;
        live.attempts.iter_mut().for_each(|a| a.at = self.past(a.at));
        live
    }
}

/// Time left by a process's own clock.
pub fn left(end: i64, own: i64) -> Ns {
    end.saturating_sub(own).saturating_mul(MS)
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use journal::{encode_groups, read, Begun, Ending, Record, Taken, Whole};
    use policy::api::*;
    use policy::rules::Sender;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;
    use std::collections::{BTreeMap, BTreeSet};

    const HOUR: i64 = 3_600_000;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn the_header_is_one_whole_number_of_milliseconds_and_no_more_than_the_class_allows() {
        let (since, most) = (Instant::now(), ms(16_000));
        let read = |values: &[&[u8]]| {
            let read = Deadline::read(values.iter().copied(), since, most);
            read.map(|deadline| deadline.left(since).as_millis())
        };
        for (text, expected) in
            [("480", 480), (" 480 ", 480), ("0", 0), ("000001", 1), ("16001", 16_000), ("4294967295", 16_000)]
        {
            assert_eq!(read(&[text.as_bytes()]), Ok(expected), "{text}");
        }
        for text in ["", " ", "-1", "+1", "1.5", "1e3", "0x10", "1 2", "12ms", "\u{0661}", "4294967296"] {
            assert!(read(&[text.as_bytes()]).is_err(), "{text}");
        }
        assert!(read(&[]).is_err() && read(&[b"480", b"480"]).is_err() && read(&[b"\xff"]).is_err());
    }

    #[test]
    fn a_body_that_trickles_in_uses_up_its_own_time() {
        let sent = Instant::now();
        let end = Deadline::read([b"480".as_slice()].into_iter(), sent, ms(16_000)).unwrap();
        assert_eq!(end.left(sent + ms(300)), ms(180));
        assert!(!end.is_over(sent + ms(479)) && end.is_over(sent + ms(480)));
        assert_eq!(end.left(sent + ms(900)), Duration::ZERO);
    }

    #[test]
    fn an_attempt_is_told_no_more_than_is_left_and_none_begins_without_a_whole_millisecond() {
        let now = Instant::now();
        let (end, far) = (Deadline::at(now + ms(1_000)), now + ms(60_000));
        let allowance = |limit, told| Allowance::new(end, limit, told, far);
        assert_eq!(allowance(0, None).tell(now), Some(1_000));
        assert_eq!(allowance(300 * MS, None).tell(now), Some(300));
        assert_eq!(allowance(300 * MS, None).tell(now + ms(900)), Some(100), "its message's time is its own");
        assert_eq!(allowance(300 * MS, Some(ms(200))).tell(now), Some(200), "never more than before");
        assert_eq!(allowance(0, Some(ms(200))).tell(now), Some(200));
        assert_eq!(allowance(0, None).tell(now + Duration::from_micros(999_500)), None);
        assert_eq!(allowance(0, None).tell(now + ms(5_000)), None);
        assert_eq!(Allowance::new(end, 0, None, now).tell(now), None, "its window is over");
        // Dialling does not shorten what an endpoint is given, but for the message's own time.
        assert_eq!(allowance(300 * MS, None).until(now + ms(500)), now + ms(800));
    }

    #[test]
    fn a_wall_clock_that_is_set_changes_nothing_in_a_process_and_little_for_the_next() {
        let start = Instant::now();
        let noon = 1_700_000_000_000;
        let old = Clock::new(start, noon);
        let end = old.ms(start + ms(10_000));
        // Four seconds on, the wall clock having been set; then one more second until the next process looks.
        for step in [-HOUR, -1, 0, 1, HOUR] {
            let stamp = old.stamp(start + ms(4_000), noon + 4_000 + step);
            let wall = noon + 5_000 + step;
            let next = Clock::new(start + ms(5_000), wall);
            let own = next.ms(start + ms(5_000));
            let shift = Shift::new(Some(stamp), wall, own);
            assert_eq!(left(shift.end(end), own), 5 * SECOND, "set by {step}");
            assert_eq!(left(own, shift.past(old.ms(start + ms(1_000)))), 4 * SECOND, "set by {step}");
        }
        let stamp = old.stamp(start + ms(4_000), noon + 4_000);
        let left_at = |wall| left(Shift::new(Some(stamp), wall, 77).end(end), 77);
        // Corrected by a little, no more is left than at the last word.
        assert_eq!(left_at(noon + 3_990), 6 * SECOND);
        // Set between two processes: on, or back so that nobody knows, it is over.
        assert!(left_at(noon + 5_000 + HOUR) < 0 && left_at(noon + 5_000 - HOUR) == 0);
        // What a damaged file may say.
        let odd = Stamp { own: i64::MAX, wall: i64::MIN };
        assert_eq!(left(Shift::new(Some(odd), i64::MAX, 0).end(i64::MIN), 0), Ns::MIN);
        // A file without stamps is by the wall clock.
        assert_eq!(left(Shift::new(None, noon, 50).end(noon + 1_000), 50), SECOND);
    }

    struct Dice(Pcg32);

    impl Dice {
        fn below(&mut self, n: u64) -> u64 {
            self.0.random_range(0..n)
        }
        fn one_in(&mut self, n: u64) -> bool {
            self.below(n) == 0
        }
    }

    /// What is true of a message, whatever any clock says.
    struct Truth {
        class: usize,
        end: Instant,
        ends: usize,
        told: u64,
        may_have_run: bool,
    }

    /// An attempt on its way: `written` once it is.
    struct Flight {
        id: u64,
        attempt: u32,
        endpoint: EndpointId,
        time: Allowance,
        sent: Instant,
        at: Instant,
        outcome: Option<Outcome>,
    }

    /// One sender with its journal over restarts and clocks that are set, on a time that the test moves.
    struct World {
        dice: Dice,
        now: Instant,
        wall: i64,
        settings: Settings,
        start: Instant,
        own: Clock,
        sender: Sender,
        file: Vec<u8>,
        held: BTreeMap<u64, (Deadline, u32, Option<Duration>)>,
        flights: Vec<Flight>,
        truth: BTreeMap<u64, Truth>,
        stamp: Stamp,
        group: u64,
        trace: Vec<String>,
    }

    const START: Ns = 1_000_000 * SECOND;

    impl World {
        fn new(seed: u64) -> World {
            let class = |effect, deadline: Ns| Class {
                target: deadline / 6,
                target_stretch: 0.0,
                deadline,
                effect,
                scope: DedupScope::All,
                window: deadline,
                worth: 1.0,
                late_worth: 0.3,
                in_order: false,
                max_attempts: 8,
            };
            let settings = Settings {
                classes: vec![class(Effect::Safe, 6 * SECOND), class(Effect::Unsafe, 4 * SECOND)],
                kinds: vec![Kind { batch: 1, separate_routes: false }],
                n_instances: 2,
                tick: 5 * MS,
                slots: 8,
                max_open: 100,
                may_cancel: true,
                streams_per_conn: 1,
                idle_close: 10 * SECOND,
                dial_timeout: SECOND,
                start_capacity: 0.2,
                warm_up: 10 * SECOND,
                overload_multiple: 2.0,
                overload_window: 3 * SECOND,
                max_retry_after: 2 * SECOND,
                ..Settings::default()
            };
            let (now, wall) = (Instant::now(), 1_700_000_000_000);
            let mut world = World {
                dice: Dice(Pcg32::seed_from_u64(seed)),
                now,
                wall,
                start: now,
                own: Clock::new(now, wall),
                sender: Sender::new(settings.clone(), seed),
                settings,
                file: Vec::new(),
                held: BTreeMap::new(),
                flights: Vec::new(),
                truth: BTreeMap::new(),
                stamp: Clock::new(now, wall).stamp(now, wall),
                group: 0,
                trace: Vec::new(),
            };
            world.list();
            world
        }

        fn clock(&self) -> Ns {
            START + (self.now - self.start).as_nanos() as Ns
        }

        fn write(&mut self, records: &[Record]) {
            let stamp = self.own.stamp(self.now, self.wall);
            self.stamp = stamp;
            encode_groups(records, 1, &mut self.group, stamp, &mut self.file);
        }

        fn list(&mut self) {
            let entry = |endpoint| Entry {
                endpoint,
                dest: 1,
                kind: 0,
                zone: 0,
                condition: Condition::Ready,
                hint: 0.0,
            };
            self.round(vec![Event::List { complete: true, entries: vec![entry(1), entry(2)] }]);
        }

        fn pass(&mut self, time: Duration) {
            self.now += time;
            self.wall += time.as_millis() as i64;
        }

        fn take(&mut self, id: u64, class: usize, asked: u64) {
            let most = Duration::from_nanos(self.settings.classes[class].deadline as u64);
            // The body has taken its time.
            let since = self.now - ms(self.dice.below(300));
            let end = Deadline::read([asked.to_string().as_bytes()].into_iter(), since, most).unwrap();
            if end.is_over(self.now) {
                return;
            }
            let taken = Taken {
                id,
                class: class.to_string(),
                tenant: String::new(),
                dest: 1,
                trace: id.to_string(),
                key: None,
                end: self.own.ms(end.instant()),
                rules: None,
                body: Bytes::new(),
            };
            self.write(&[Record::Taken(Arc::new(taken))]);
            self.truth.insert(
                id,
                Truth { class, end: end.instant(), ends: 0, told: u64::MAX, may_have_run: false },
            );
            self.held.insert(id, (end, 0, None));
            let time_left = end.left(self.now).as_nanos() as Ns;
            let message = Message { id, class, dest: 1, time_left, cost: 0, key: None, tenant: 0 };
            self.round(vec![Event::Message(message)]);
        }

        fn over(&mut self, id: u64, how: &str) {
            self.trace.push(format!("{id} {how} at {:?}", self.now - self.start));
            let truth = self.truth.get_mut(&id).unwrap();
            truth.ends += 1;
            assert_eq!(truth.ends, 1, "{id} has one end: {:#?}", self.trace);
            // The protocol's slack.
            let latest = truth.end + ms(70);
            assert!(self.now <= latest, "{id} ends {:?} late: {:#?}", self.now - truth.end, self.trace);
            self.held.remove(&id);
        }

        fn round(&mut self, events: Vec<Event>) {
            if was_set(self.stamp, self.own.stamp(self.now, self.wall)) {
                self.write(&[]);
            }
            let mut actions = Vec::new();
            self.sender.handle(self.clock(), &events, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, endpoint, timeout, send_by } => {
                        let send_by = self.start + Duration::from_nanos((send_by - START).max(0) as u64);
                        let (end, attempts, told) = self.held.get_mut(&id).unwrap();
                        let time = Allowance::new(*end, timeout, *told, send_by);
                        let attempt = *attempts;
                        (*attempts, *told) = (attempt + 1, time.wait.or(*told));
                        let (at, wait) = (self.own.ms(self.now), time.wait.map(|w| w.as_millis() as u64));
                        let endpoint_name = endpoint.to_string();
                        self.write(&[Record::Begun(
                            id,
                            Begun { number: attempt, at, endpoint: endpoint_name, wait, never_ran: false },
                        )]);
                        let sent = self.now;
                        let at = (sent + ms(self.dice.below(400))).min(time.until(sent));
                        self.flights.push(Flight { id, attempt, endpoint, time, sent, at, outcome: None });
                    }
                    Action::Refuse { id, .. } => {
                        assert!(
                            !(self.truth[&id].class == 1 && self.truth[&id].may_have_run),
                            "{id} may have run"
                        );
                        self.write(&[Record::Decided(id, Ending::HandedBack(None))]);
                        self.over(id, "handed back");
                    }
                    Action::Fail { id, .. } => {
                        self.write(&[Record::Decided(id, Ending::GivenUp)]);
                        self.over(id, "given up");
                    }
                    _ => {}
                }
            }
        }

        /// What the network does by now.
        fn fly(&mut self) {
            while let Some(at) = self.flights.iter().position(|f| f.at <= self.now) {
                let mut flight = self.flights.swap_remove(at);
                let outcome = match flight.outcome {
                    Some(outcome) => outcome,
                    None if self.now >= flight.time.until(flight.sent) => Outcome::NoConnection,
                    None => match flight.time.tell(self.now) {
                        None => Outcome::NotSent,
                        Some(told) => {
                            let truth = self.truth.get_mut(&flight.id).unwrap();
                            assert!(told <= truth.told, "{} is told {told} after {}", flight.id, truth.told);
                            assert!(!(truth.class == 1 && truth.may_have_run), "{} goes twice", flight.id);
                            assert!(self.now + ms(told) <= truth.end, "{} is told {told}", flight.id);
                            (truth.told, truth.may_have_run) = (told, true);
                            let until = flight.time.until(self.now);
                            let answer = self.now + ms(self.dice.below(3_000));
                            let outcomes = [
                                Outcome::Served,
                                Outcome::ServerError,
                                Outcome::TurnedAway,
                                Outcome::ConnectionLost,
                            ];
                            let outcome = outcomes[self.dice.below(4) as usize];
                            flight.outcome = Some(if answer < until { outcome } else { Outcome::NoAnswer });
                            flight.at = answer.min(until);
                            self.flights.push(flight);
                            continue;
                        }
                    },
                };
                let Flight { id, attempt, endpoint, .. } = flight;
                let done = outcome == Outcome::Served && self.truth[&id].ends == 0;
                if outcome.never_ran() {
                    // Turned away after it was written: it has not run.
                    self.truth.get_mut(&id).unwrap().may_have_run = false;
                    self.write(&[Record::NeverRan(id, attempt)]);
                }
                if done {
                    self.write(&[Record::Ended(id)]);
                    self.over(id, "delivered");
                }
                let took = (self.now - flight.sent).as_nanos() as Ns;
                let wait = if outcome == Outcome::TurnedAway && self.dice.one_in(3) {
                    self.dice.below(6_000) as Ns * MS
                } else {
                    0
                };
                let (report, reused_connection) = (None, false);
                let end = AttemptEnd {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    done,
                    wait,
                    report,
                    reused_connection,
                };
                self.round(vec![Event::AttemptEnd(end)]);
            }
        }

        /// SIGKILL, some time without a process, and the next one on what the file holds.
        fn restart(&mut self, down: Duration, step: i64) {
            self.pass(down);
            self.wall += step;
            self.trace.push(format!("restart at {:?}, down {down:?}, set by {step}", self.now - self.start));
            self.flights.clear();
            self.held.clear();
            let file = read(&self.file).unwrap();
            assert!(file.is_sound());
            let ledger = Whole::new(0, &file).ledger;
            (self.start, self.own) = (self.now, Clock::new(self.now, self.wall));
            self.sender = Sender::new(self.settings.clone(), self.dice.below(u64::MAX));
            self.list();
            let own = self.own.ms(self.now);
            let shift = Shift::new(ledger.stamp, self.wall, own);
            let lives: Vec<_> = ledger.live.values().map(|l| shift.apply(l)).collect();
            self.file.clear();
            self.group = 0;
            let records: Vec<Record> = lives.iter().flat_map(|l| l.records()).collect();
            self.write(&records);
            for live in lives.into_iter().filter(|l| l.ending.is_none()) {
                let id = live.taken.id;
                let class = live.taken.class.parse::<usize>().unwrap();
                let most = self.settings.classes[class].deadline;
                let time_left = left(live.taken.end, own).min(most);
                assert!(time_left <= most);
                let past = live.attempts.iter().map(|a| PastAttempt {
                    endpoint: a.endpoint.parse().ok(),
                    sent: self.clock() - super::left(own, a.at).max(0),
                    may_have_run: !a.never_ran,
                });
                let past: Vec<PastAttempt> = past.collect();
                let told = live.attempts.iter().filter_map(|a| a.wait).min().map(ms);
                let end = Deadline::at(self.now + Duration::from_nanos(time_left.max(0) as u64));
                self.held.insert(id, (end, past.len() as u32, told));
                if self.truth[&id].end <= self.now {
                    // What nobody was there to end in time is not late by anyone's doing.
                    self.truth.get_mut(&id).unwrap().end = self.now;
                }
                let message = Message { id, class, dest: 1, time_left, cost: 0, key: None, tenant: 0 };
                self.round(vec![Event::Resumed { message, past }]);
            }
        }
    }

    #[test]
    fn a_clock_that_is_set_while_a_process_runs_costs_no_message_its_time_at_the_next_start() {
        for step in [-HOUR, HOUR] {
            let mut world = World::new(1);
            world.take(0, 0, 5_500);
            let end = world.truth[&0].end;
            world.wall += step;
            world.pass(ms(100));
            world.round(vec![Event::Timer]);
            world.restart(ms(1_000), 0);
            let left = world.held[&0].0.left(world.now);
            assert!(left.abs_diff(end - world.now) < ms(2), "{left:?} after a step of {step}");
        }
    }

    #[test]
    fn over_restarts_and_clocks_that_are_set_each_message_ends_once_and_in_time() {
        let mut ended = BTreeSet::new();
        for seed in 0..400 {
            let mut world = World::new(seed);
            let messages = 3 + world.dice.below(12);
            let mut next = 0;
            while next < messages || world.truth.values().any(|t| t.ends == 0) {
                if next < messages && world.dice.one_in(8) {
                    let (class, asked) = (world.dice.below(2) as usize, world.dice.below(9_000));
                    world.take(next, class, asked);
                    next += 1;
                }
                if world.dice.one_in(60) {
                    world.wall += world.dice.below(2) as i64 * 2 * HOUR - HOUR;
                }
                if world.dice.one_in(80) {
                    let down = ms(world.dice.below(3_000));
                    let step = [0, 0, -HOUR, HOUR][world.dice.below(4) as usize];
                    world.restart(down, step);
                }
                let step = ms(1 + world.dice.below(40));
                world.pass(step);
                world.fly();
                world.round(vec![Event::Timer]);
                assert!(world.now - world.start < ms(60_000), "seed {seed} does not end: {:#?}", world.trace);
            }
            ended.extend(world.trace.iter().map(|t| t.split(' ').nth(1).unwrap().to_string()));
        }
        for how in ["delivered", "handed", "given", "at"] {
            assert!(ended.contains(how), "no message was {how}: {ended:?}");
        }
    }
}
