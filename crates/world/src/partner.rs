//! A partner system: what it does with a call, by its limit, its queue and its state. No I/O and no clock, so the same
//! partner answers in simulated time and on real sockets.
use crate::plan::{Allows, PartnerPlan, Safety};
use policy::api::{LimitReport, Ns, MS, SECOND};
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What a partner does, besides serving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Up,
    /// Refuses connections.
    Down,
    /// Answers nothing.
    Silent,
    /// Takes connections and requests, and meets them once it is back.
    Hung,
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

/// What a call's sender knows of the outage, from calls that failed there while it lasted (WIRE, rule 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knows {
    Nothing,
    /// An earlier process of it was told, which left nothing of that.
    Once,
    Told,
}

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    pub knows: Knows,
    /// Failures that it had heard there since the outage began, as it sent the call.
    pub heard: usize,
    /// The call had arrived before the return, and was held by what hung.
    pub held: bool,
}

/// A caller of whom no more is known.
impl From<Knows> for Caller {
    fn from(knows: Knows) -> Caller {
        Caller { knows, heard: 0, held: false }
    }
}

/// The calls of one window at a cold route, against what it bears then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Since the return.
    pub after_ns: Ns,
    /// Calls that arrived since the return (PROTOCOL: a call counts once its last byte has arrived).
    pub calls: u32,
    /// Of these: by processes that had been told of the outage, and by such whose earlier process had been.
    pub told: u32,
    pub told_once: u32,
    /// The same by failures that their senders had heard: none, one, two, more.
    pub heard: [u32; 4],
    /// Calls that had arrived while it hung and that it meets at its return; of these, by the told.
    pub held: u32,
    pub held_told: u32,
    /// N: fall multiple x capacity then x the window's length.
    pub budget: f64,
}

impl Window {
    fn of<'a>(load: impl Iterator<Item = &'a Caller>, after_ns: Ns, budget: f64) -> Window {
        let mut window = Window { after_ns, budget, ..Window::default() };
        for caller in load {
            let told = u32::from(caller.knows != Knows::Nothing);
            if caller.held {
                window.held += 1;
                window.held_told += told;
                continue;
            }
            window.calls += 1;
            window.told += u32::from(caller.knows == Knows::Told);
            window.told_once += u32::from(caller.knows == Knows::Once);
            window.heard[caller.heard.min(3)] += 1;
        }
        window
    }

    /// Calls beyond the budget, over what of these is put down to chance (STANDING: 2 x root of N + 2). Over 1 the
    /// route falls.
    pub fn excess(&self) -> f64 {
        self.over(self.calls)
    }

    /// The same if only those had called that had been told.
    pub fn excess_of_told(&self) -> f64 {
        self.over(self.told)
    }

    /// The same if what it held while it hung counted as sent at its return.
    pub fn excess_with_held(&self) -> f64 {
        self.over(self.calls + self.held)
    }

    fn over(&self, calls: u32) -> f64 {
        (f64::from(calls) - self.budget) / (2.0 * self.budget.sqrt() + 2.0)
    }

    /// Over two thirds of it came from senders that had been told, in this process or an earlier one.
    pub fn is_by_the_told(&self) -> bool {
        3 * (self.told + self.told_once) > 2 * self.calls
    }

    pub fn is_by_the_told_with_held(&self) -> bool {
        3 * (self.told + self.told_once + self.held_told) > 2 * (self.calls + self.held)
    }
}

/// How a route came back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Return {
    pub at_ns: Ns,
    /// The window with the most beyond the budget, and that with the most from senders that had been told.
    pub worst: Window,
    pub worst_told: Window,
    /// The first window that was over, and the first of these that came from those who had been told.
    pub fell: Option<Window>,
    pub pushed_over: Option<Window>,
    /// The first that was over, and from the told, if what it held while it hung counted as sent at its return.
    pub pushed_over_with_held: Option<Window>,
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

/// What shares one limit and one cold return: all addresses of a partner, or one where routes are separate.
struct Route {
    limiter: Limiter,
    /// Calls since it is back: when, and from whom.
    load: VecDeque<(Ns, Caller)>,
    returns: Vec<Return>,
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
    routes: Vec<Route>,
    desks: Vec<Desk<C>>,
    /// Calls that came while it hung.
    hung: Vec<C>,
    /// Since when it is back, while it is cold.
    back: Option<Ns>,
    /// It fell, and over two thirds of what pushed it came from senders that had been told of the outage.
    pub pushed_over: bool,
    random: Pcg64,
}

impl<C> Partner<C> {
    pub fn new(plan: PartnerPlan, safety: Safety, random: Pcg64) -> Partner<C> {
        let desk = |_| Desk { busy: 0, queue: VecDeque::new(), connections: 0 };
        let allows = plan.route_allows();
        let limiter = Limiter { allows, part: 1.0, busy_until: 0, span: -1, seen: 0.0, before: 0.0 };
        let route = |_| Route { limiter: limiter.clone(), load: VecDeque::new(), returns: Vec::new() };
        let routes = (0..plan.routes()).map(route).collect();
        let desks = (0..plan.desks).map(desk).collect();
        let (state, epoch, slow, back, hung) = (State::Up, 0, 1.0, None, Vec::new());
        Partner { plan, safety, state, epoch, slow, routes, desks, hung, back, pushed_over: false, random }
    }

    pub fn slow_down(&mut self, times: f64) {
        self.slow = times;
    }

    pub fn lower(&mut self, to: f64) {
        self.routes.iter_mut().for_each(|r| r.limiter.part = to);
    }

    /// An outage begins: what is under way is lost, and its calls are returned.
    pub fn strike(&mut self, state: State) -> Vec<C> {
        if self.state == State::Fallen {
            return Vec::new();
        }
        self.state = state;
        if !matches!(state, State::Down | State::Silent | State::Hung | State::Fallen) {
            return Vec::new();
        }
        self.epoch += 1;
        let lost = self.desks.iter_mut().flat_map(|d| {
            d.busy = 0;
            if state != State::Hung {
                d.connections = 0;
            }
            d.queue.drain(..).map(|(call, _)| call)
        });
        lost.collect()
    }

    /// The outage ends: it is back, and cold.
    pub fn come_back(&mut self, now: Ns) {
        if self.state != State::Fallen {
            (self.state, self.back) = (State::Up, Some(now));
            for route in &mut self.routes {
                route.load.clear();
                route.returns.push(Return { at_ns: now, ..Return::default() });
            }
        }
    }

    /// The calls that came while it hung, in their order: it meets them as it is back.
    pub fn take_hung(&mut self) -> Vec<C> {
        std::mem::take(&mut self.hung)
    }

    /// By route, how it came back each time.
    pub fn returns(&self) -> impl Iterator<Item = &[Return]> {
        self.routes.iter().map(|r| r.returns.as_slice())
    }

    /// What an answer tells of the limit, where answers do.
    pub fn report(&self, now: Ns, desk: usize) -> Option<LimitReport> {
        let limiter = &self.routes[self.plan.route(desk)].limiter;
        let (limit, depth) = match limiter.allows {
            Allows::Rate { per_s } => (per_s * limiter.part, (per_s * limiter.part / 4.0).max(1.0)),
            Allows::Count { in_span, .. } => (in_span * limiter.part, (in_span * limiter.part).max(1.0)),
        };
        let remaining = (limiter.room(now) / depth).clamp(0.0, 1.0);
        self.plan.reports.then_some(LimitReport { remaining, limit })
    }

    /// The part of its capacity that it has.
    fn warmth(&self, now: Ns) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let start = self.safety.start;
        (start + (1.0 - start) * (now - back) as f64 / self.safety.cold as f64).min(1.0)
    }

    /// Whether there is place for one more connection.
    pub fn has_room(&self, desk: usize) -> bool {
        self.plan.table.is_none_or(|most| self.desks[desk].connections < most)
    }

    /// A connection is asked for: false if there is no place. It is the caller's to close.
    pub fn connect(&mut self, desk: usize) -> bool {
        let room = self.has_room(desk);
        self.desks[desk].connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self, desk: usize) {
        let desk = &mut self.desks[desk];
        desk.connections = desk.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.desks.iter().map(|d| d.connections).sum()
    }

    /// A call has arrived. `work`: how long it takes at a partner of usual pace; `from`: what its sender knew
    /// when it sent it.
    pub fn offer(&mut self, now: Ns, desk: usize, call: C, work: Ns, from: impl Into<Caller>) -> Heard {
        match self.state {
            State::Hung => {
                self.hung.push(call);
                return Heard::Silence;
            }
            State::Silent | State::Fallen | State::Down => return Heard::Silence,
            State::Shut(until) => return Heard::Refused(self.tells(until - now)),
            State::Failing(share) if self.random.random_bool(share) => return Heard::Fails,
            State::Failing(_) | State::Up => {}
        }
        let route = self.plan.route(desk);
        if self.falls(now, route, from.into()) {
            return Heard::Silence;
        }
        if let Err(room_in) = self.routes[route].limiter.admit(now) {
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
    fn falls(&mut self, now: Ns, route: usize, from: Caller) -> bool {
        let Some(back) = self.back else { return false };
        let (warmth, safety) = (self.warmth(now), self.safety);
        if now - back > safety.cold {
            self.back = None;
            self.routes.iter_mut().for_each(|r| r.load.clear());
            return false;
        }
        let able = self.plan.capacity / self.routes.len() as f64 * warmth * safety.overload_for as f64 / 1e9;
        let route = &mut self.routes[route];
        route.load.push_back((now, from));
        while route.load.front().is_some_and(|(at, _)| now - at > safety.overload_for) {
            route.load.pop_front();
        }
        let callers = route.load.iter().map(|(_, caller)| caller);
        let window = Window::of(callers, now - back, safety.fall_multiple * able);
        let Some(seen) = route.returns.last_mut() else { return false };
        if seen.worst.calls == 0 || window.excess() > seen.worst.excess() {
            seen.worst = window;
        }
        if seen.worst_told.calls == 0 || window.excess_of_told() > seen.worst_told.excess_of_told() {
            seen.worst_told = window;
        }
        // STANDING: it falls with more than N + 2 x root of N + 2 in the window.
        let over = window.excess() > 1.0;
        if over {
            seen.fell.get_or_insert(window);
        }
        if over && window.is_by_the_told() {
            seen.pushed_over.get_or_insert(window);
            self.pushed_over = true;
        }
        if window.excess_with_held() > 1.0 && window.is_by_the_told_with_held() {
            seen.pushed_over_with_held.get_or_insert(window);
        }
        if over && safety.falls {
            self.state = State::Fallen;
        }
        over && safety.falls
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
        let allowed: usize = self.routes.iter().map(|r| r.limiter.room(now).max(0.0) as usize).sum();
        allowed.min((free as f64 * cold).ceil() as usize)
    }
}
