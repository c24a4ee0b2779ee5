//! Every decision of a sender. The interface (settings, events, actions) is `api`.
//!
//! Ordinary path, after the QoSmax paper: per destination a cap on calls in flight, chosen every `PERIOD`
//! as the level with the greatest level x share of classes whose mean + deviation is under their aim. Below
//! the cap a message goes, else it is held; what was held too long is refused once `ROOM` is used up.
//! Around it: a pace for rate limits, one state of doubt per route for outages, the guards of the six rules.
mod asking;
mod caps;
mod dispatch;
mod doubt;
mod handover;
mod outcomes;
mod pace;
mod queue;
mod retries;
mod routing;
mod state;

use crate::agenda::Agenda;
use crate::api::*;
use crate::bucket::Bucket;
use crate::levels;
use crate::listing::{Listing, RouteId, Told};
use crate::lot::Lot;
use crate::turns::Turns;
pub use asking::DiscoveryRetry;
use caps::top;
pub(crate) use state::*;
use std::collections::{BTreeMap, BTreeSet};

/// How often caps are chosen, held messages swept and overdue calls noticed (the paper's control rate).
pub(crate) const PERIOD: Ns = 100 * MS;
/// What is gone from the list is remembered for so long after its last failure, all else after its last use:
/// what was measured has faded by then, and what is further apart is no run of failures.
const KEEP: Ns = 60 * SECOND;
/// How often it is looked at what may be forgotten, and at how much of each kind in one go.
pub(crate) const FORGET_EVERY: Ns = 10 * SECOND;
const FORGET_AT_ONCE: usize = 500;

#[derive(Default)]
pub struct Sender {
    pub(crate) cfg: Settings,
    lot: Lot,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MsgId, Held>,
    open: usize,
    pub(crate) listing: Listing,
    /// Endpoints, routes and destinations in use.
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) dests: BTreeMap<DestId, Dest>,
    pub(crate) calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Calls that another process of this sender has out, by destination; it may hold all slots too.
    pub(crate) elsewhere: Vec<DestId>,
    sends_elsewhere: bool,
    keys: Turns,
    /// Destinations with calls out or work held; no other costs anything.
    pub(crate) active: BTreeSet<DestId>,
    /// Those with work held, by when a call may become possible: an event makes its destination due at once.
    pub(crate) agenda: Agenda<DestId>,
    /// Endpoints that may have idle connections, by last use; first those whose calls ended just now.
    pub(crate) idle: Agenda<EndpointId>,
    /// Destinations in use without work, by when they may be at rest.
    pub(crate) resting: Agenda<DestId>,
    /// When another process of this sender told what it had in use.
    pub(crate) inherited_at: Option<Ns>,
    pub(crate) next_end: Ns,
    /// The machine goes for good: nothing is held any more.
    evacuates: bool,
    pub(crate) forgot_at: Ns,
    pub(crate) decided_at: Ns,
    timer_at: Option<Ns>,
}

impl Sender {
    pub fn new(cfg: Settings, seed: u64) -> Sender {
        Sender { cfg, lot: Lot::seeded(seed), next_end: Ns::MAX, decided_at: LONG_AGO, ..Sender::default() }
    }

    /// Takes all events of one batch, then decides.
    pub fn handle(&mut self, now: Ns, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        events.iter().for_each(|event| self.hear(event, out));
        let periodic = self.now - self.decided_at >= PERIOD;
        if periodic {
            self.decided_at = self.now;
            self.sweep();
        }
        if periodic || self.next_end <= self.now {
            self.end_hopeless(out);
        }
        self.dispatch(periodic, out);
        if periodic || self.open >= self.cfg.max_open {
            self.make_room(out);
        }
        let lingers = self.close_idle(periodic, out);
        if !self.messages.is_empty() || lingers {
            let due = self.agenda.first().filter(|_| !self.is_full());
            let wake = due.unwrap_or(Ns::MAX).min(self.next_end).min(self.decided_at + PERIOD);
            let wake = wake.max(self.now + self.cfg.tick.max(1));
            if self.timer_at.is_none_or(|at| at > wake) {
                self.timer_at = Some(wake);
                out.push(Action::Timer { at: wake });
            }
        }
    }

    fn hear(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::List { complete, entries } => self.list(*complete, entries),
            Event::Message(m) => self.take(*m),
            Event::Resumed { message, past } => self.resume(*message, past, out),
            Event::AttemptEnd(e) => self.attempt_end(e, out),
            Event::OtherProcess { sends, calls } => self.elsewhere(*sends, calls),
            Event::OtherProcessAttemptEnd(e) => self.ended_elsewhere(e),
            Event::RestoredRoutes(route_states) => self.inherit(route_states),
            Event::Settings(new) => self.settings(new),
            Event::Expired { id } => self.close(*id),
            Event::Evacuate(goes) => self.evacuate(*goes, out),
            // The caller may round a time down: one that is due within the tick has come.
            Event::Timer => self.timer_at = self.timer_at.filter(|&at| at > self.now + self.cfg.tick),
        }
    }

    /// The periodic part: overdue calls, caps, and all held work is due for a look.
    fn sweep(&mut self) {
        self.notice_overdue();
        let now = self.now;
        for id in self.active.clone() {
            let Some(dest) = self.dests.get_mut(&id) else { continue };
            dest.choose_cap(&self.cfg, now);
            if dest.in_flight == 0 && dest.held.is_empty() {
                self.active.remove(&id);
                self.resting.set(id, Some(now + KEEP));
            } else {
                self.due(id, LONG_AGO);
            }
        }
        if now - self.forgot_at >= FORGET_EVERY {
            self.forget();
        }
    }

    /// Drops what the list no longer names and nothing depends on, and what was used and is at rest. Looks at
    /// nothing else, and at no more than `FORGET_AT_ONCE` of each in one go.
    fn forget(&mut self) {
        let now = self.now;
        let gone = self.listing.unusable().filter(|&id| self.may_go(id));
        let gone: Vec<EndpointId> = gone.take(FORGET_AT_ONCE).collect();
        gone.iter().for_each(|&id| self.drop_place(id));
        let due: Vec<DestId> = self.resting.due(now).take(FORGET_AT_ONCE).collect();
        for &id in &due {
            self.resting.set(id, (!self.active.contains(&id)).then_some(now + FORGET_EVERY));
            if self.is_at_rest(id) {
                self.drop_dest(id);
            }
        }
        self.keys.forget(now);
        if gone.len().max(due.len()) < FORGET_AT_ONCE {
            self.forgot_at = now;
        }
    }

    /// Whether nothing depends on an endpoint that takes no new work: calls out; a told wait, an outage seen.
    fn may_go(&self, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&id) else { return true };
        let (route, keep) = (self.routes.get(&self.route_of(id)), KEEP.max(self.cfg.warm_up));
        let seen = |r: &Route| r.last_failure.max(r.next_trial).max(r.wait_until).saturating_add(keep);
        e.in_flight == 0 && (self.shares_route(id) || route.is_none_or(|r| seen(r) <= self.now))
    }

    /// Whether it would decide the same for a destination if that had been listed long ago and never used.
    fn is_at_rest(&self, id: DestId) -> bool {
        let Some(dest) = self.dests.get(&id) else { return true };
        let (now, cfg, fair) = (self.now, &self.cfg, self.fair());
        let closed = |e: &Endpoint| e.in_flight == 0 && now - e.used_at.max(e.avoid_until) >= cfg.idle_close;
        let unused = !self.active.contains(&id) && !self.elsewhere.contains(&id);
        let faded =
            dest.latency.aged(now) < MEASURED && self.listing.places(id).all(|e| closed(&self.endpoints[&e]));
        unused && faded && self.routes_of(id).all(|(_, route)| route.is_at_rest(cfg.warm_up, fair, now))
    }

    /// Takes new settings: each destination keeps what of its measures still means something.
    fn settings(&mut self, new: &Settings) {
        let old = std::mem::replace(&mut self.cfg, new.clone());
        self.dests.values_mut().for_each(|dest| dest.reset(&old, new));
        // Other routes may be separate now.
        self.endpoints.keys().copied().collect::<Vec<_>>().iter().for_each(|&id| self.open_place(id));
        self.look_at_all();
    }

    /// Sets when a destination is looked at next; it leaves the agenda while nothing is held for it.
    pub(crate) fn due(&mut self, id: DestId, at: Ns) {
        let Some(dest) = self.dests.get(&id) else { return };
        self.agenda.set(id, (!dest.held.is_empty() && at < Ns::MAX).then_some(at));
    }

    fn look_at_all(&mut self) {
        for id in self.active.clone() {
            self.due(id, LONG_AGO);
        }
    }

    /// An equal share of a limit.
    pub(crate) fn fair(&self) -> f64 {
        1.0 / self.cfg.n_instances.max(1) as f64
    }

    /// The routes of the endpoints that take a destination's new work.
    pub(crate) fn open_routes(&self, id: DestId) -> impl Iterator<Item = &Route> {
        self.listing.usable(id).filter_map(|e| self.routes.get(&self.route_of(e)))
    }

    pub(crate) fn is_full(&self) -> bool {
        self.sends_elsewhere || self.calls.len() + self.elsewhere.len() >= self.cfg.slots
    }

    /// Whether as many calls are out to a destination, from all processes of this sender, as its cap allows.
    pub(crate) fn is_capped(&self, id: DestId, dest: &Dest) -> bool {
        dest.in_flight + self.elsewhere.iter().filter(|&&d| d == id).count() >= dest.cap
    }
}
