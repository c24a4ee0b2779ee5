//! Every decision of a sender; the interface (settings, events, actions) is `api`. Admission control follows
//! the QoSmax paper: each destination has a cap on calls in flight, chosen every `CONTROL_PERIOD` as the
//! level (number of calls) with the greatest product of level and share of classes whose mean latency plus
//! deviation is below their target. Messages above it are held, and refused if held too long while more than
//! `OPEN_SHARE` is used. `pace` keeps rate limits, `doubt` is a circuit breaker per route, `retries` guards
//! resends and refusals.
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

use crate::api::*;
use crate::bucket::Bucket;
use crate::key_queues::KeyQueues;
use crate::levels;
use crate::listing::{Hint, Listing, RouteId};
use crate::rng::Rng;
use crate::schedule::Schedule;
pub use asking::DiscoveryRetry;
use caps::max_cap;
pub(crate) use state::*;
use std::collections::{BTreeMap, BTreeSet};

/// How often caps are chosen, expired messages given up and overdue calls found (the paper's control rate).
pub(crate) const CONTROL_PERIOD: Ns = 100 * MS;
/// State is kept for this long after the last use, for unlisted endpoints after the last failure. By then
/// measurements have decayed, and failures so far apart are not counted as consecutive.
const RETENTION: Ns = 60 * SECOND;
/// Interval between cleanups, and how many endpoints and destinations one cleanup looks at.
pub(crate) const CLEANUP_INTERVAL: Ns = 10 * SECOND;
const CLEANUP_BATCH: usize = 500;

/// Decides for one sender; holds all of its state.
#[derive(Default)]
pub struct Sender {
    pub(crate) cfg: Settings,
    rng: Rng,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MsgId, Held>,
    open_messages: usize,
    pub(crate) listing: Listing,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) dests: BTreeMap<DestId, Dest>,
    pub(crate) calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Calls in flight from another process of this sender, by destination; while it sends it has all slots.
    pub(crate) other_calls: Vec<DestId>,
    other_sends: bool,
    key_queues: KeyQueues,
    /// Destinations with calls in flight or messages held; only these cost time in each period.
    pub(crate) active: BTreeSet<DestId>,
    /// Destinations with messages held, by the time when a call may become possible; an event sets it to now.
    pub(crate) schedule: Schedule<DestId>,
    /// Endpoints that may have idle connections, by last use; first those whose calls have just ended.
    pub(crate) idle_endpoints: Schedule<EndpointId>,
    /// Inactive destinations that still have records, by the time when these may be removed.
    pub(crate) unused_dests: Schedule<DestId>,
    /// When another process handed over its routes.
    pub(crate) restored_at: Option<Ns>,
    pub(crate) next_expiry: Ns,
    /// The machine is being retired: no message is held any more.
    evacuating: bool,
    pub(crate) cleaned_up_at: Ns,
    pub(crate) period_at: Ns,
    timer_at: Option<Ns>,
}

impl Sender {
    pub fn new(cfg: Settings, seed: u64) -> Sender {
        Sender { cfg, rng: Rng::new(seed), next_expiry: Ns::MAX, period_at: LONG_AGO, ..Sender::default() }
    }

    /// Applies all events of one batch, then appends the resulting actions.
    pub fn handle(&mut self, now: Ns, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        events.iter().for_each(|event| self.apply_event(event, actions));
        let periodic = self.now - self.period_at >= CONTROL_PERIOD;
        if periodic {
            self.period_at = self.now;
            self.run_period();
        }
        if periodic || self.next_expiry <= self.now {
            self.expire_held(actions);
        }
        self.dispatch(periodic, actions);
        if periodic || self.open_messages >= self.cfg.max_open {
            self.shed_excess(actions);
        }
        let has_idle = self.close_idle(periodic, actions);
        if !self.messages.is_empty() || has_idle {
            let due = self.schedule.earliest().filter(|_| !self.is_full());
            let wake = due.unwrap_or(Ns::MAX).min(self.next_expiry).min(self.period_at + CONTROL_PERIOD);
            let wake = wake.max(self.now + self.cfg.tick.max(1));
            if self.timer_at.is_none_or(|at| at > wake) {
                self.timer_at = Some(wake);
                actions.push(Action::Timer { at: wake });
            }
        }
    }

    fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { complete, entries } => self.apply_list(*complete, entries),
            Event::Message(message) => self.accept(*message),
            Event::Resumed { message, past } => self.resume(*message, past, actions),
            Event::AttemptEnd(end) => self.end_attempt(end, actions),
            Event::OtherProcess { sends, calls } => self.set_other_process(*sends, calls),
            Event::OtherProcessAttemptEnd(end) => self.other_process_attempt_end(end),
            Event::RestoredRoutes(route_states) => self.restore_routes(route_states),
            Event::Settings(new) => self.change_settings(new),
            Event::Expired { id } => self.finish(*id),
            Event::Evacuate(leaving) => self.evacuate(*leaving, actions),
            // The caller may round a time down: a timer due within the tick counts as expired.
            Event::Timer => self.timer_at = self.timer_at.filter(|&at| at > self.now + self.cfg.tick),
        }
    }

    /// The work of each control period: finds overdue calls, chooses caps, reschedules all held messages.
    fn run_period(&mut self) {
        self.check_overdue();
        let now = self.now;
        for id in self.active.clone() {
            let Some(dest) = self.dests.get_mut(&id) else { continue };
            dest.choose_cap(&self.cfg, now);
            if dest.in_flight == 0 && dest.held.is_empty() {
                self.active.remove(&id);
                self.unused_dests.set(id, Some(now + RETENTION));
            } else {
                self.schedule_dest(id, LONG_AGO);
            }
        }
        if now - self.cleaned_up_at >= CLEANUP_INTERVAL {
            self.clean_up();
        }
    }

    /// Removes unusable endpoints that nothing depends on, and records of destinations at rest, in batches.
    fn clean_up(&mut self) {
        let now = self.now;
        let removable = self.listing.unusable().filter(|&id| self.is_removable(id));
        let removable: Vec<EndpointId> = removable.take(CLEANUP_BATCH).collect();
        removable.iter().for_each(|&id| self.remove_endpoint(id));
        let due: Vec<DestId> = self.unused_dests.due(now).take(CLEANUP_BATCH).collect();
        for &id in &due {
            self.unused_dests.set(id, (!self.active.contains(&id)).then_some(now + CLEANUP_INTERVAL));
            if self.is_at_rest(id) {
                self.remove_dest(id);
            }
        }
        self.key_queues.prune(now);
        if removable.len().max(due.len()) < CLEANUP_BATCH {
            self.cleaned_up_at = now;
        }
    }

    /// Whether nothing depends on an unusable endpoint: no calls in flight, no wait and no recent outage.
    fn is_removable(&self, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&id) else { return true };
        let (route, keep) = (self.routes.get(&self.route_of(id)), RETENTION.max(self.cfg.warm_up));
        let keep_until = |r: &Route| r.last_failure.max(r.next_trial).max(r.wait_until).saturating_add(keep);
        e.in_flight == 0 && (self.shares_route(id) || route.is_none_or(|r| keep_until(r) <= self.now))
    }

    /// Whether all decisions would stay the same if the destination's records were made anew.
    fn is_at_rest(&self, id: DestId) -> bool {
        let Some(dest) = self.dests.get(&id) else { return true };
        let (now, cfg, fair) = (self.now, &self.cfg, self.fair_share());
        let closed = |e: &Endpoint| e.in_flight == 0 && now - e.used_at.max(e.avoid_until) >= cfg.idle_close;
        let unused = !self.active.contains(&id) && !self.other_calls.contains(&id);
        let faded = dest.latency.weight_at(now) < MIN_WEIGHT
            && self.listing.endpoints_of(id).all(|e| closed(&self.endpoints[&e]));
        unused && faded && self.routes_of(id).all(|(_, route)| route.is_at_rest(cfg.warm_up, fair, now))
    }

    fn change_settings(&mut self, new: &Settings) {
        let old = std::mem::replace(&mut self.cfg, new.clone());
        self.dests.values_mut().for_each(|dest| dest.reset(&old, new));
        // An endpoint may have a route of its own now.
        self.endpoints.keys().copied().collect::<Vec<_>>().iter().for_each(|&id| self.ensure_endpoint(id));
        self.schedule_all();
    }

    /// Sets when the next call to a destination is planned; without held messages it is not scheduled.
    pub(crate) fn schedule_dest(&mut self, id: DestId, at: Ns) {
        let Some(dest) = self.dests.get(&id) else { return };
        self.schedule.set(id, (!dest.held.is_empty() && at < Ns::MAX).then_some(at));
    }

    fn schedule_all(&mut self) {
        for id in self.active.clone() {
            self.schedule_dest(id, LONG_AGO);
        }
    }

    /// The equal share of a rate limit among all senders.
    pub(crate) fn fair_share(&self) -> f64 {
        1.0 / self.cfg.n_instances.max(1) as f64
    }

    pub(crate) fn usable_routes(&self, id: DestId) -> impl Iterator<Item = &Route> {
        self.listing.usable(id).filter_map(|e| self.routes.get(&self.route_of(e)))
    }

    pub(crate) fn is_full(&self) -> bool {
        self.other_sends || self.calls.len() + self.other_calls.len() >= self.cfg.slots
    }

    /// Whether calls in flight to a destination, from all processes of this sender, have reached its cap.
    pub(crate) fn is_capped(&self, id: DestId, dest: &Dest) -> bool {
        dest.in_flight + self.other_calls.iter().filter(|&&d| d == id).count() >= dest.cap
    }
}
