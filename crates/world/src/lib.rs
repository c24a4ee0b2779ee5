//! All that a fleet of senders meets, in simulated time.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`scenario`] | what a day is like, as a strict file: ranges, shares, troubles |
//! | [`plan`] | one day drawn from it by a seed: partners, classes, weights, when what happens |
//! | `partner` | a partner system: limit, queue, outage, cold return; also used on real sockets |
//! | [`fleet`] | discrete events: senders, calls, connections, clients, the platform |
//! | [`referee`] | the rules, judged from what is seen and never from what a sender says |
//! | [`cold`] | days on which all destinations fail and come back cold |
//! | [`account`] | what was served, what it cost, and the course of the day |
//! | [`baselines`] | other ways to decide, to compare with |
//!
//! It must not touch files, sockets, clocks or threads: a day is a function of its scenario, its seed and the deciders,
//! byte for byte. The figures are from the public documents, and each names its own. One message's way: `fleet` hands it
//! to a sender's [`Decider`], carries out the actions that come back (a call meets its endpoint's `partner`), tells the
//! outcomes, and books what became of it in `referee` and `account`.
pub mod account;
pub mod baselines;
pub mod cold;
pub mod fleet;
pub mod partner;
pub mod plan;
pub mod referee;
pub mod scenario;

use policy::api::{Action, DestId, EndpointId, Event, Ns, RouteState, Settings};
use policy::rules::Sender;

/// Decides for one sender. `truth` is what nobody knows in service; only a yardstick may look at it.
pub trait Decider {
    fn handle(&mut self, now: Ns, events: &[Event], truth: &dyn Truth, out: &mut Vec<Action>);

    /// What the next process of its sender is told where one takes over from the other.
    fn route_states(&self, _now: Ns) -> Vec<RouteState> {
        Vec::new()
    }
}

/// The true state of things.
pub trait Truth {
    /// How many calls a partner would take on and serve now, beyond those that it has.
    fn room(&self, dest: DestId) -> usize;
    /// The endpoint there with the most room.
    fn best(&self, dest: DestId) -> EndpointId;
}

impl Decider for Sender {
    fn handle(&mut self, now: Ns, events: &[Event], _: &dyn Truth, out: &mut Vec<Action>) {
        Sender::handle(self, now, events, out);
    }

    fn route_states(&self, now: Ns) -> Vec<RouteState> {
        Sender::route_states(self, now)
    }
}

/// Makes a decider for each start of a sender, from its settings and a seed.
pub type Maker = dyn Fn(&Settings, u64) -> Box<dyn Decider> + Sync;
