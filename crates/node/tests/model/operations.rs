//! Clients that give their requests operation keys and send them again, and the judge of what became of each operation:
//! of its requests at most one runs, and all that are accepted are told the same id.
use super::endpoints::{Endpoints, Sent};
use super::tenants::{Credential, TENANTS};
use super::{queue_id, request, Ms, World};
use futures_channel::oneshot;
use net::runtime::sleep;
use node::edge::Edge;
use node::store::Store;
use queue::TenantKey;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use simulation::clock::WORLD;
use simulation::{ProcessId, Simulation};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Two requests of one operation are one message if they are sent within this (the bound `KeyWindowS` as it is by default).
pub const KEY_WINDOW: Ms = 60_000;
/// The share of messages with an operation key.
const SHARE: f64 = 0.7;
/// The share of operations whose second request doesn't wait for the first one's answer.
const AT_ONCE: f64 = 0.15;
/// The share of accepted requests that are sent again.
const AGAIN_AFTER_202: f64 = 0.3;
/// Requests of one operation, at most.
const MOST_ATTEMPTS: usize = 6;

/// One request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    sent: Ms,
    /// Its status, and the message that the answer names.
    pub answer: Option<(u16, String)>,
    pub begun: Option<Ms>,
}

/// What became of all requests with operation keys.
#[derive(Default)]
pub struct Operations {
    /// The operation of each request.
    of: BTreeMap<String, String>,
    attempts: BTreeMap<String, Vec<Attempt>>,
}

impl Operations {
    /// All requests of an operation.
    pub fn attempts(&self, operation: &str) -> &[Attempt] {
        self.attempts.get(operation).map_or(&[], Vec::as_slice)
    }

    /// Requests that were told another one's id, and operations.
    pub fn counts(&self) -> (usize, usize) {
        let is_repeat =
            |attempt: &&Attempt| matches!(&attempt.answer, Some((202, named)) if *named != attempt.id);
        (self.attempts.values().flatten().filter(is_repeat).count(), self.attempts.len())
    }

    pub fn sent(&mut self, id: &str, message: &Sent, at: Ms) {
        let Some(operation) = &message.operation else { return };
        self.of.insert(id.to_string(), operation.clone());
        let attempt = Attempt { id: id.to_string(), sent: at, answer: None, begun: None };
        self.attempts.entry(operation.clone()).or_default().push(attempt);
    }

    /// A request was answered; tells what is wrong with that.
    pub fn told(&mut self, id: &str, status: u16, named: &str) -> Option<String> {
        let operation = self.of.get(id)?;
        let attempts = self.attempts.get_mut(operation).expect("they were sent");
        let index = attempts.iter().position(|attempt| attempt.id == id)?;
        attempts[index].answer = Some((status, named.to_string()));
        if status != 202 {
            return None;
        }
        if !attempts.iter().any(|attempt| attempt.id == named) {
            return Some(format!("MIXED: {id} of {operation} is accepted as {named}: {attempts:?}"));
        }
        let sent = attempts[index].sent;
        let says_another = |other: &&Attempt| {
            let accepted = other.answer.as_ref().filter(|(status, _)| *status == 202);
            accepted.is_some_and(|(_, name)| name != named) && other.sent.abs_diff(sent) < KEY_WINDOW
        };
        let other = attempts.iter().find(says_another)?;
        Some(format!("TWICE: {id} of {operation} is accepted as {named}, and {other:?} wasn't: {attempts:?}"))
    }

    /// A request runs; tells if another one of its operation does as well.
    pub fn begun(&mut self, id: &str, at: Ms) -> Option<String> {
        let operation = self.of.get(id)?;
        let attempts = self.attempts.get_mut(operation).expect("they were sent");
        let index = attempts.iter().position(|attempt| attempt.id == id)?;
        attempts[index].begun.get_or_insert(at);
        let sent = attempts[index].sent;
        let runs_too = |other: &&Attempt| {
            other.id != id && other.begun.is_some() && other.sent.abs_diff(sent) < KEY_WINDOW
        };
        let other = attempts.iter().find(runs_too)?;
        Some(format!("TWICE: {id} and {} of operation {operation} both run: {attempts:?}", other.id))
    }
}

/// A client that sends one operation until it knows what became of it, and sometimes goes on.
struct Client {
    simulation: Simulation,
    edges: Vec<(ProcessId, Rc<Edge>)>,
    endpoints: Rc<Endpoints>,
    lot: Pcg64Mcg,
}

impl Client {
    async fn play(mut self, id: String, message: Sent) {
        let began = self.simulation.ms();
        let first = self.lot.random_range(0..self.edges.len());
        let mut early = None;
        for attempt in 0..MOST_ATTEMPTS {
            let id = if attempt == 0 { id.clone() } else { format!("{id}-{attempt}") };
            let answer = self.send(first + attempt, &id, &message);
            if attempt == 0 && self.lot.random_bool(AT_ONCE) {
                early = Some(answer);
                sleep(Duration::from_micros(self.lot.random_range(0..1_000))).await;
                continue;
            }
            let status = answer.await.unwrap_or(0);
            let goes_on = status != 202 || self.lot.random_bool(AGAIN_AFTER_202);
            let longest = if status == 202 { 25_000 } else { 2_500 };
            let pause = self.lot.random_range(20..longest);
            if !goes_on || self.simulation.ms() + pause >= began + KEY_WINDOW {
                break;
            }
            sleep(Duration::from_millis(pause)).await;
        }
        drop(early);
    }

    /// Sends one request through an edge; the status of its answer.
    fn send(&self, edge: usize, id: &str, message: &Sent) -> oneshot::Receiver<u16> {
        let (process, edge) = self.edges[edge % self.edges.len()].clone();
        let api_key = self.endpoints.tenants.resolve(&message.credential);
        let message = Sent { api_key, ..message.clone() };
        let request = request(id, &message, message.due.saturating_sub(self.simulation.ms()));
        self.endpoints.sent(id, message);
        let (id, endpoints) = (id.to_string(), self.endpoints.clone());
        let (done, answered) = oneshot::channel();
        self.simulation.spawn_in(process, async move {
            let answer = edge.answer(request).await;
            endpoints.told(&id, answer.status, &queue_id(&answer));
            let _ = done.send(answer.status);
        });
        answered
    }
}

impl World {
    /// From now on most of the messages of clients have operation keys, and are sent again.
    pub fn use_operations(&mut self, seed: u64) {
        self.operations = Some(Pcg64Mcg::seed_from_u64(seed ^ 0x6f70_6572));
    }

    /// A client sends a message as an operation, if it does so.
    pub(super) fn hand_over_as_operation(&mut self, id: &str, message: &Sent) -> bool {
        let Some(lot) = &mut self.operations else { return false };
        if !lot.random_bool(SHARE) {
            return false;
        }
        let mut lot = Pcg64Mcg::seed_from_u64(lot.random_range(0..u64::MAX));
        let credential = Credential::Of(TENANTS[lot.random_range(0..TENANTS.len())]);
        let body = self.draw_body(id);
        let message = Sent { operation: Some(format!("o-{id}")), credential, body, ..message.clone() };
        self.simulation.spawn_in(WORLD, self.client(lot).play(id.to_string(), message));
        true
    }

    fn client(&self, lot: Pcg64Mcg) -> Client {
        let (simulation, edges) = (self.simulation.clone(), self.edges.clone());
        Client { simulation, edges, endpoints: self.endpoints.clone(), lot }
    }

    /// One request of an operation goes out through an edge, due after a time; its id.
    pub fn attempt(&mut self, operation: &str, edge: usize, delay: Ms) -> String {
        let id = format!("{operation}-{}", self.attempts(operation).len());
        let due = self.now() + delay;
        let credential = Credential::Of(TENANTS[0]);
        let message = Sent { operation: Some(operation.to_string()), credential, due, ..Sent::default() };
        drop(self.client(Pcg64Mcg::seed_from_u64(0)).send(edge, &id, &message));
        id
    }

    /// What became of all requests of an operation.
    pub fn attempts(&self, operation: &str) -> Vec<Attempt> {
        self.endpoints.operations.borrow().attempts(operation).to_vec()
    }

    /// Requests that were told another one's id, and operations.
    pub fn repeats_and_operations(&self) -> (usize, usize) {
        self.endpoints.operations.borrow().counts()
    }

    /// The machine whose store owns an operation.
    pub fn owner_of(&self, operation: &str) -> usize {
        let key = TenantKey { tenant: TENANTS[0].to_string(), key: operation.to_string() };
        let state = self.control.state.borrow();
        let owner = state.stores.owner(key.digest()).expect("the stores are known");
        let machine = self.machines.iter().rposition(|machine| machine.name == owner.name);
        machine.expect("stores stand on machines")
    }

    /// Messages that went at a store since another one of their operation stays, since it started.
    pub fn superseded(&self, machine: usize) -> usize {
        self.machines[machine].store().map_or(0, |store| store.reservations.counts().superseded)
    }

    /// The name of a machine.
    pub fn name_of(&self, machine: usize) -> String {
        self.machines[machine].name.clone()
    }

    /// Whether a machine was taken away.
    pub fn is_removed(&self, machine: usize) -> bool {
        self.machines[machine].removed
    }

    /// The machine whose store owns a message.
    pub fn machine_that_owns(&self, id: &str) -> Option<usize> {
        let owns = |store: Rc<Store>| store.queue.borrow().owned(id).is_some();
        self.machines.iter().position(|machine| machine.store().is_some_and(owns))
    }

    /// Whether the store of a machine has relinquished a message.
    pub fn has_relinquished(&self, machine: usize, id: &str) -> bool {
        self.machines[machine].store().is_some_and(|store| store.has_relinquished(id))
    }

    /// The disk of a machine's store.
    pub fn disk_of(&self, machine: usize) -> u64 {
        self.machines[machine].store().expect("the store runs").disk
    }

    /// The machines of the stores in service, in the order in which edges ask them.
    pub fn stores_in_order(&self) -> Vec<usize> {
        let state = self.control.state.borrow();
        let machine_of = |name: &str| self.machines.iter().position(|machine| machine.name == name);
        state.stores.remaining().filter_map(|store| machine_of(&store.name)).collect()
    }

    /// Two machines don't reach each other until the network heals.
    pub fn cut_between(&self, one: usize, other: usize) {
        let (one, other) = (self.machines[one].ip, self.machines[other].ip);
        self.network.cut(one, other);
        self.network.cut(other, one);
    }

    /// The process of a machine stands still for a time.
    pub fn freeze(&mut self, machine: usize, span: Ms) {
        self.machines[machine].frozen_until = self.now() + span;
        self.machines[machine].running.iter().for_each(|running| self.simulation.freeze(running.id));
    }

    /// All machines with stores lose their power at once, for a time.
    pub fn power_off_all(&mut self, span: Ms) {
        (0..self.machines.len()).for_each(|machine| self.power_off(machine, span, false));
    }
}
