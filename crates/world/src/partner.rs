//! A partner system: what it does with a call, by its limit, its queue and its state. No I/O and no clock, so the same
//! partner answers in simulated time and on real sockets.
use crate::plan::{Allows, PartnerPlan, Safety};
use policy::api::{Ns, MS, SECOND};
use rand::RngExt;
use rand_pcg::Pcg64;
use std::collections::VecDeque;

/// What a partner does, besides serving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Up,
    /// Refuses connections.
    Down,
    /// Answers nothing.
    Silent,
    /// Fails this share of the calls quickly.
    Failing(f64),
    /// Refuses all until then.
    Shut(Ns),
    /// Pushed over; it stays so.
    Fallen,
}

/// What becomes of a call that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    /// It is being served, for so long.
    Serves(Ns),
    /// It waits for its turn; `next` tells when that comes.
    Queued,
    /// It never ran; the wait that is told, if one is.
    Refused(Option<Ns>),
    /// It may have run; answered at once.
    Fails,
    /// Nothing is ever said.
    Silence,
}

/// A call whose turn has come.
pub struct Turn<C> {
    pub call: C,
    pub takes: Ns,
}

/// Counts calls against the limit.
#[derive(Clone, Debug)]
struct Limiter {
    allows: Allows,
    /// The part of it that holds now.
    part: f64,
    /// A plain rate: when all that was taken has run off.
    busy_until: Ns,
    /// A count: the span that is running, what it has seen, and what the one before had.
    span: Ns,
    seen: f64,
    before: f64,
}

impl Limiter {
    fn roll(&mut self, now: Ns) {
        let span = now / SECOND;
        if span != self.span {
            self.before = if span == self.span + 1 { self.seen } else { 0.0 };
            (self.span, self.seen) = (span, 0.0);
        }
    }

    /// Whether there is room for one more; else how long until there may be.
    fn admit(&mut self, now: Ns) -> Result<(), Ns> {
        match self.allows {
            Allows::Rate { per_s } => {
                let each = (1e9 / (per_s * self.part).max(1e-6)) as Ns;
                // A quarter of a second's calls may come at once.
                let slack = (SECOND / 4).max(each);
                let from = self.busy_until.max(now);
                if from - now > slack - each {
                    return Err(from - now - (slack - each));
                }
                self.busy_until = from + each;
                Ok(())
            }
            Allows::Count { in_span, refused_count } => {
                self.roll(now);
                let limit = (in_span * self.part).max(1.0);
                let through = (now % SECOND) as f64 / SECOND as f64;
                // What the span before had counts as far as it lies within a second from now.
                let used = if refused_count { self.before * (1.0 - through) + self.seen } else { self.seen };
                let room = used + 1.0 <= limit + 1e-9;
                if room || refused_count {
                    self.seen += 1.0;
                }
                if room {
                    Ok(())
                } else {
                    Err(SECOND - now % SECOND)
                }
            }
        }
    }

    fn room(&self, now: Ns) -> f64 {
        match self.allows {
            Allows::Rate { per_s } => {
                let each = 1e9 / (per_s * self.part).max(1e-6);
                let slack = (SECOND as f64 / 4.0).max(each);
                ((slack - (self.busy_until - now).max(0) as f64) / each + 1e-9).floor()
            }
            Allows::Count { in_span, refused_count } => {
                let mut at = self.clone();
                at.roll(now);
                let through = (now % SECOND) as f64 / SECOND as f64;
                let before = if refused_count { at.before * (1.0 - through) } else { 0.0 };
                ((in_span * self.part).max(1.0) - before - at.seen + 1e-9).floor()
            }
        }
    }
}

/// One address of a partner.
struct Desk<C> {
    busy: usize,
    queue: VecDeque<(C, Ns)>,
    connections: usize,
}

pub struct Partner<C> {
    plan: PartnerPlan,
    safety: Safety,
    pub state: State,
    /// Counts the outages that took what was under way.
    pub epoch: u32,
    slow: f64,
    limiter: Limiter,
    desks: Vec<Desk<C>>,
    /// Since when it is back, while it is cold.
    back: Option<Ns>,
    /// Calls since it is back: when, and whether their sender had seen it fail.
    load: VecDeque<(Ns, bool)>,
    /// It fell, and two thirds of what pushed it came from senders that had seen it fail.
    pub pushed_over: bool,
    random: Pcg64,
}

impl<C> Partner<C> {
    pub fn new(plan: PartnerPlan, safety: Safety, random: Pcg64) -> Partner<C> {
        let desk = |_| Desk { busy: 0, queue: VecDeque::new(), connections: 0 };
        let limiter =
            Limiter { allows: plan.allows, part: 1.0, busy_until: 0, span: -1, seen: 0.0, before: 0.0 };
        let desks = (0..plan.desks).map(desk).collect();
        let (state, epoch, slow, back, load) = (State::Up, 0, 1.0, None, VecDeque::new());
        Partner { plan, safety, state, epoch, slow, limiter, desks, back, load, pushed_over: false, random }
    }

    pub fn slow_down(&mut self, times: f64) {
        self.slow = times;
    }

    pub fn lower(&mut self, to: f64) {
        self.limiter.part = to;
    }

    /// An outage begins: what is under way is lost, and its calls are returned.
    pub fn strike(&mut self, state: State) -> Vec<C> {
        if self.state == State::Fallen {
            return Vec::new();
        }
        self.state = state;
        if !matches!(state, State::Down | State::Silent | State::Fallen) {
            return Vec::new();
        }
        self.epoch += 1;
        let lost = self.desks.iter_mut().flat_map(|d| {
            (d.busy, d.connections) = (0, 0);
            d.queue.drain(..).map(|(call, _)| call)
        });
        lost.collect()
    }

    /// The outage ends: it is back, and cold.
    pub fn come_back(&mut self, now: Ns) {
        if self.state != State::Fallen {
            (self.state, self.back) = (State::Up, Some(now));
            self.load.clear();
        }
    }

    /// The part of its capacity that it has.
    fn warmth(&self, now: Ns) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let start = self.safety.start;
        (start + (1.0 - start) * (now - back) as f64 / self.safety.cold as f64).min(1.0)
    }

    /// A connection is asked for: false if there is no place. It is the caller's to close.
    pub fn connect(&mut self, desk: usize) -> bool {
        let desk = &mut self.desks[desk];
        let room = self.plan.table.is_none_or(|most| desk.connections < most);
        desk.connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self, desk: usize) {
        let desk = &mut self.desks[desk];
        desk.connections = desk.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.desks.iter().map(|d| d.connections).sum()
    }

    /// A call has arrived. `work`: how long it takes at a partner of usual pace; `informed`: its sender has seen this
    /// partner fail since the outage began.
    pub fn offer(&mut self, now: Ns, desk: usize, call: C, work: Ns, informed: bool) -> Heard {
        match self.state {
            State::Silent | State::Fallen | State::Down => return Heard::Silence,
            State::Shut(until) => return Heard::Refused(self.tells(until - now)),
            State::Failing(share) if self.random.random_bool(share) => return Heard::Fails,
            State::Failing(_) | State::Up => {}
        }
        if self.is_pushed_over(now, informed) {
            return Heard::Silence;
        }
        if let Err(room_in) = self.limiter.admit(now) {
            return Heard::Refused(self.tells(room_in));
        }
        let takes = (work as f64 * self.plan.pace * self.slow / self.warmth(now)) as Ns;
        let (workers, depth) = (self.plan.workers, self.plan.depth);
        let at = &mut self.desks[desk];
        if at.busy < workers {
            at.busy += 1;
            Heard::Serves(takes)
        } else if at.queue.len() < depth {
            at.queue.push_back((call, takes));
            Heard::Queued
        } else {
            // BRIEF: with its queue full it answers full.
            Heard::Refused(None)
        }
    }

    /// A wait that is told to some.
    fn tells(&mut self, room_in: Ns) -> Option<Ns> {
        let told = self.random.random_bool(self.plan.tells);
        let (low, high) = self.plan.wait;
        let wait = match self.plan.allows {
            Allows::Rate { .. } => room_in.max(self.random.random_range(low..=high)),
            Allows::Count { .. } => room_in,
        };
        told.then_some(wait.max(MS))
    }

    /// Sent too much while it is cold, it falls over.
    fn is_pushed_over(&mut self, now: Ns, informed: bool) -> bool {
        let Some(back) = self.back else { return false };
        if now - back > self.safety.cold {
            self.back = None;
            self.load.clear();
            return false;
        }
        self.load.push_back((now, informed));
        while self.load.front().is_some_and(|(at, _)| now - at > self.safety.overload_for) {
            self.load.pop_front();
        }
        let able = self.plan.capacity * self.warmth(now) * self.safety.overload_for as f64 / 1e9;
        let budget = self.safety.fall_multiple * able;
        // WIRE, rule 4: a budget over any window, with some slack for chance.
        let falls = self.load.len() as f64 > budget + 2.0 * budget.sqrt() + 1.0;
        if falls {
            let knew = self.load.iter().filter(|(_, informed)| *informed).count();
            self.pushed_over = 3 * knew >= 2 * self.load.len();
            self.state = State::Fallen;
        }
        falls
    }

    /// A call is done, and the next one has its turn.
    pub fn next(&mut self, desk: usize) -> Option<Turn<C>> {
        let at = &mut self.desks[desk];
        match at.queue.pop_front() {
            Some((call, takes)) => Some(Turn { call, takes }),
            None => {
                at.busy = at.busy.saturating_sub(1);
                None
            }
        }
    }

    /// The address with the least to do.
    pub fn emptiest(&self) -> usize {
        let load = |d: &Desk<C>| (d.busy + d.queue.len(), d.connections);
        (0..self.desks.len()).min_by_key(|&d| load(&self.desks[d])).unwrap_or(0)
    }

    /// Calls that it would take on now.
    pub fn room(&self, now: Ns) -> usize {
        if self.state != State::Up {
            return 0;
        }
        let free: usize = self.desks.iter().map(|d| self.plan.workers.saturating_sub(d.busy)).sum();
        let cold = if self.back.is_some() && self.warmth(now) < 1.0 { self.warmth(now) } else { 1.0 };
        (self.limiter.room(now).max(0.0) as usize).min((free as f64 * cold).ceil() as usize)
    }
}
