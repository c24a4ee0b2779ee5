//! Call-backs about ends: at least once each, few connections to a receiver, again after failures.
use super::Store;
use crate::edge::end_json;
use net::client::Client;
use net::http::encode_request;
use net::meter::Meter;
use net::repeat::Repeat;
use net::runtime;
use queue::{Entry, Outcome};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections to one receiver from all stores together, and from one store at the most.
const ALL_LANES: usize = 48;
const LANES: usize = 6;
const CALL: Duration = Duration::from_millis(4_000);
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);
/// A receiver that says 400 so often won't take it.
const MOST_REFUSALS: u32 = 6;

struct Job {
    id: String,
    target: String,
    body: String,
    refusals: u32,
}

#[derive(Default)]
struct Receiver {
    jobs: VecDeque<Job>,
    lanes: usize,
}

/// Call-backs that are owed.
pub struct Callbacks {
    client: Client,
    receivers: RefCell<HashMap<SocketAddr, Receiver>>,
}

/// Host and path of a URL.
fn parse(url: &str) -> Option<(SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let address = host.parse().or_else(|_| format!("{host}:80").parse()).ok()?;
    Some((address, if path.is_empty() { "/".to_string() } else { path.to_string() }))
}

impl Callbacks {
    /// None are owed; they will go out by this client.
    pub fn new(client: Client) -> Callbacks {
        Callbacks { client, receivers: RefCell::default() }
    }

    /// What call-backs cost in bytes.
    pub fn meter(&self) -> &Meter {
        &self.client.meter
    }

    /// Owes a call-back.
    pub fn push(&self, store: Rc<Store>, url: &str, id: &str, outcome: &Outcome) {
        let Some((address, target)) = parse(url) else {
            log::warn!("{id}: the call-back's URL can't be used ({url}); give an IP number and a path");
            return;
        };
        let job = Job { id: id.to_string(), target, body: end_json(outcome, Some(id)), refusals: 0 };
        let mut receivers = self.receivers.borrow_mut();
        let receiver = receivers.entry(address).or_default();
        receiver.jobs.push_back(job);
        let stores = store.known.stores().active().count().max(1);
        if receiver.lanes < (ALL_LANES / stores).clamp(1, LANES) {
            receiver.lanes += 1;
            runtime::spawn(run_lane(store, address));
        }
    }

    fn next(&self, address: SocketAddr) -> Option<Job> {
        let mut receivers = self.receivers.borrow_mut();
        let receiver = receivers.get_mut(&address)?;
        let job = receiver.jobs.pop_front();
        if job.is_none() {
            receiver.lanes -= 1;
        }
        job
    }

    async fn call(&self, address: SocketAddr, job: &Job) -> u16 {
        let host = address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let request = encode_request("POST", &job.target, &headers, job.body.as_bytes());
        let answer = self.client.call(address, request, CALL, &job.id, Repeat::SameIdentity).await;
        answer.map_or(0, |response| response.status.as_u16())
    }
}

async fn run_lane(store: Rc<Store>, address: SocketAddr) {
    let mut pause = FIRST_PAUSE;
    while let Some(mut job) = store.callbacks.next(address) {
        let status = store.callbacks.call(address, &job).await;
        job.refusals += u32::from(status == 400);
        if status == 200 || job.refusals >= MOST_REFUSALS {
            pause = FIRST_PAUSE;
            store.queue.borrow_mut().mark_callback_done(&job.id);
            let entry = Entry::CallbackDone { id: job.id.clone() };
            store.log.note(&entry);
            store.tell_copies(&job.id, &entry);
            continue;
        }
        if let Some(receiver) = store.callbacks.receivers.borrow_mut().get_mut(&address) {
            receiver.jobs.push_back(job);
        }
        runtime::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
