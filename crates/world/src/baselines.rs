//! Other ways to decide, to compare with: well-known limits on calls in flight over one plain sender, and a yardstick
//! that sees the true state. All keep waits, drains and repeats; none has a pace, a state of doubt or a cold ramp.
use crate::{Decider, Truth};
use policy::api::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How many calls may be in flight to one destination.
pub enum Limit {
    /// As many as the rules allow.
    None,
    Fixed(usize),
    /// One more for as many answers as it is large; three quarters of it after a refusal or a time-out.
    Aimd(f64),
    /// Vegas-like: grows while latency is near its least, and shrinks by their ratio.
    Gradient {
        limit: f64,
        least: f64,
    },
    /// The paper's rule: the level with the greatest level times the share of calls that met their aim there, of late.
    Paper {
        cap: usize,
        levels: Vec<VecDeque<bool>>,
    },
    /// What the partner would take on now.
    Truth,
}

impl Limit {
    fn allows(&self, in_flight: usize, top: usize, room: impl FnOnce() -> usize) -> bool {
        let cap = match self {
            Limit::None => top,
            Limit::Fixed(cap) => *cap,
            Limit::Aimd(cap) | Limit::Gradient { limit: cap, .. } => cap.max(1.0) as usize,
            Limit::Paper { cap, .. } => *cap,
            Limit::Truth => return in_flight < top && room() > 0,
        };
        in_flight < cap.min(top)
    }

    fn ended(&mut self, e: &AttemptEnd, level: usize, aim: Ns, top: usize) {
        let served = e.outcome == Outcome::Served;
        match self {
            Limit::None | Limit::Fixed(_) | Limit::Truth => {}
            Limit::Aimd(cap) if served => *cap = (*cap + 1.0 / *cap).min(top as f64),
            Limit::Aimd(cap) => *cap = (*cap * 0.75).max(1.0),
            Limit::Gradient { limit, least } if served => {
                let took = e.took.max(1) as f64;
                *least = least.min(took);
                let ratio = (1.5 * *least / took).clamp(0.5, 1.0);
                *limit = (*limit * 0.8 + (*limit * ratio + limit.sqrt()) * 0.2).clamp(1.0, top as f64);
            }
            Limit::Gradient { limit, .. } => *limit = (*limit * 0.9).max(1.0),
            Limit::Paper { cap, levels } => {
                levels.resize(top + 1, VecDeque::new());
                let seen = &mut levels[level.min(top)];
                seen.push_back(served && e.took <= aim);
                if seen.len() > 20 {
                    seen.pop_front();
                }
                let score = |l: usize| {
                    let near = (1..=top).filter(|&m| !levels[m].is_empty()).min_by_key(|&m| m.abs_diff(l));
                    let seen = near.map_or(&levels[0], |m| &levels[m]);
                    l as f64 * seen.iter().filter(|met| **met).count() as f64 / seen.len().max(1) as f64
                };
                let best = (1..=top).max_by(|&a, &b| score(a).total_cmp(&score(b))).unwrap_or(1);
                if score(best) > score(*cap) {
                    *cap = best;
                }
            }
        }
    }
}

/// How an endpoint is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    Random,
    LeastOut,
    /// The one that is emptiest in truth.
    Best,
}

struct Held {
    message: Message,
    end: Ns,
    attempts: u32,
    out: bool,
    may_have_run: bool,
    not_before: Ns,
    level: usize,
}

struct Place {
    dest: DestId,
    usable: bool,
    out: usize,
}

/// A plain sender: what is held goes in order of coming as soon as slots and the limit allow, again after a pause that
/// doubles, and is given up when its time is up.
pub struct Plain {
    settings: Settings,
    new: fn(&Settings) -> Limit,
    choice: Choice,
    random: Pcg32,
    held: BTreeMap<MsgId, Held>,
    places: BTreeMap<EndpointId, Place>,
    limits: BTreeMap<DestId, Limit>,
    waits: BTreeMap<DestId, Ns>,
    out: usize,
    out_to: BTreeMap<DestId, usize>,
    /// What may go, by when.
    due: BTreeSet<(Ns, MsgId)>,
    timer: Ns,
}

/// The name of each baseline with its limit and choice.
pub type Baseline = (&'static str, fn(&Settings) -> Limit, Choice);

pub const BASELINES: [Baseline; 7] = [
    ("random", |_| Limit::None, Choice::Random),
    ("least-outstanding", |_| Limit::None, Choice::LeastOut),
    ("fixed-cap", |s| Limit::Fixed((s.slots / 4).max(1)), Choice::LeastOut),
    ("aimd", |_| Limit::Aimd(2.0), Choice::LeastOut),
    ("gradient", |_| Limit::Gradient { limit: 2.0, least: f64::INFINITY }, Choice::LeastOut),
    ("paper", |s| Limit::Paper { cap: top(s), levels: Vec::new() }, Choice::LeastOut),
    ("top", |_| Limit::Truth, Choice::Best),
];

fn top(settings: &Settings) -> usize {
    (settings.slots * 3 / 4).max(1)
}

/// How often what waits is looked at, and the first pause after a refusal.
const LOOK: Ns = 25 * MS;
const PAUSE: Ns = 100 * MS;
/// What has no more time left than this is given up.
const GIVE_UP: Ns = 60 * MS;

impl Plain {
    pub fn new(settings: &Settings, seed: u64, baseline: &Baseline) -> Plain {
        Plain {
            settings: settings.clone(),
            new: baseline.1,
            choice: baseline.2,
            random: Pcg32::seed_from_u64(seed),
            held: BTreeMap::new(),
            places: BTreeMap::new(),
            limits: BTreeMap::new(),
            waits: BTreeMap::new(),
            out: 0,
            out_to: BTreeMap::new(),
            due: BTreeSet::new(),
            timer: Ns::MAX,
        }
    }

    fn hold(&mut self, now: Ns, message: Message, attempts: u32, may_have_run: bool) {
        let end = now + message.time_left;
        let (out, not_before, level) = (false, now, 0);
        self.held.insert(message.id, Held { message, end, attempts, out, may_have_run, not_before, level });
        self.due.insert((now, message.id));
    }

    fn ended(&mut self, now: Ns, e: &AttemptEnd) {
        let top = top(&self.settings);
        self.out -= 1;
        self.places.get_mut(&e.endpoint).into_iter().for_each(|p| p.out -= 1);
        let Some(held) = self.held.get_mut(&e.id) else { return };
        held.out = false;
        held.may_have_run |= !e.outcome.never_ran();
        let dest = held.message.dest;
        *self.out_to.entry(dest).or_insert(1) -= 1;
        let aim = self.settings.classes[held.message.class].target;
        self.limits.get_mut(&dest).into_iter().for_each(|limit| limit.ended(e, held.level, aim, top));
        if e.wait > 0 {
            let until = self.waits.entry(dest).or_insert(now);
            *until = (*until).max(now + e.wait);
        }
        let pause = (PAUSE << held.attempts.min(5)) as f64 * self.random.random_range(0.5..1.5);
        held.not_before = now + pause as Ns;
        // Its time may be up before that.
        let at = held.not_before.min(held.end - GIVE_UP).max(now);
        match e.done {
            true => _ = self.held.remove(&e.id),
            false => _ = self.due.insert((at, e.id)),
        }
    }

    fn place(&mut self, dest: DestId, truth: &dyn Truth) -> Option<EndpointId> {
        let usable = self.places.iter().filter(|(_, p)| p.dest == dest && p.usable);
        let mut all: Vec<(usize, EndpointId)> = usable.map(|(&e, p)| (p.out, e)).collect();
        let best = truth.best(dest);
        match self.choice {
            Choice::Best if all.iter().any(|(_, e)| *e == best) => return Some(best),
            Choice::Best | Choice::LeastOut => {
                let least = all.iter().map(|(out, _)| *out).min()?;
                all.retain(|(out, _)| *out == least);
            }
            Choice::Random => {}
        }
        (!all.is_empty()).then(|| all[self.random.random_range(0..all.len())].1)
    }

    /// Ends what has no time left, or may not go again.
    fn give_up(&mut self, now: Ns, id: MsgId, out: &mut Vec<Action>) -> bool {
        let held = &self.held[&id];
        let class = &self.settings.classes[held.message.class];
        let is_unsafe = class.effect == Effect::Unsafe && held.may_have_run;
        let late = held.end - now <= GIVE_UP;
        let wait = self.waits.get(&held.message.dest).is_some_and(|&until| until >= held.end);
        if !(late || is_unsafe || wait || held.attempts >= class.max_attempts) {
            return false;
        }
        out.push(if is_unsafe {
            Action::Fail { id, late }
        } else {
            Action::Refuse { id, backoff: PAUSE, late }
        });
        self.held.remove(&id);
        true
    }

    fn dispatch(&mut self, now: Ns, truth: &dyn Truth, out: &mut Vec<Action>) {
        let top = top(&self.settings);
        let ready: Vec<(Ns, MsgId)> = self.due.iter().take_while(|(at, _)| *at <= now).copied().collect();
        let mut full = BTreeSet::new();
        for (at, id) in ready {
            if self.held.get(&id).is_none_or(|h| h.out) {
                self.due.remove(&(at, id));
                continue;
            }
            if self.give_up(now, id, out) {
                self.due.remove(&(at, id));
                continue;
            }
            let (dest, not_before) = (self.held[&id].message.dest, self.held[&id].not_before);
            if not_before > now {
                continue;
            }
            let waits = self.waits.get(&dest).is_some_and(|&until| until > now);
            if waits || self.out >= self.settings.slots || full.contains(&dest) {
                continue;
            }
            let in_flight = self.out_to.get(&dest).copied().unwrap_or(0);
            let new = self.new;
            let limit = self.limits.entry(dest).or_insert_with(|| new(&self.settings));
            let Some(endpoint) =
                limit.allows(in_flight, top, || truth.room(dest)).then(|| self.place(dest, truth)).flatten()
            else {
                full.insert(dest);
                continue;
            };
            self.due.remove(&(at, id));
            let held = self.held.get_mut(&id).expect("it is held");
            held.out = true;
            held.attempts += 1;
            held.level = in_flight + 1;
            self.out += 1;
            *self.out_to.entry(dest).or_default() += 1;
            self.places.get_mut(&endpoint).into_iter().for_each(|p| p.out += 1);
            let class = &self.settings.classes[held.message.class];
            let again = class.effect != Effect::Unsafe;
            let (timeout, send_by) = (if again { 2 * class.target } else { 0 }, held.end);
            out.push(Action::Send { id, endpoint, timeout, send_by });
            if matches!(self.limits[&dest], Limit::Truth) {
                // What it takes shows only once the call is there.
                full.insert(dest);
            }
        }
    }
}

impl Decider for Plain {
    fn handle(&mut self, now: Ns, events: &[Event], truth: &dyn Truth, out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::List { complete, entries } => {
                    if *complete {
                        self.places.values_mut().for_each(|p| p.usable = false);
                    }
                    for entry in entries {
                        let new = Place { dest: entry.dest, usable: false, out: 0 };
                        let place = self.places.entry(entry.endpoint).or_insert(new);
                        (place.dest, place.usable) = (entry.dest, entry.condition == Condition::Ready);
                    }
                }
                Event::Message(message) => self.hold(now, *message, 0, false),
                Event::Resumed { message, past } => {
                    let ran = past.iter().any(|p| p.may_have_run);
                    self.hold(now, *message, past.len() as u32, ran);
                }
                Event::AttemptEnd(e) => {
                    self.ended(now, e);
                    // Among many senders idle connections fill endpoints' tables.
                    if self.settings.n_instances > 3 {
                        out.push(Action::Close { endpoint: e.endpoint });
                    }
                }
                Event::Timer => self.timer = Ns::MAX,
                _ => {}
            }
        }
        self.dispatch(now, truth, out);
        if !self.held.is_empty() && self.timer > now + LOOK {
            self.timer = now + LOOK;
            out.push(Action::Timer { at: self.timer });
        }
    }
}
