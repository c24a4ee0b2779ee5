//! Call-backs for finished messages: each is delivered at least once, with retries and few connections per
//! receiver.
use super::Store;
use crate::edge::end_json;
use net::client::{Client, Identity};
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

/// Maximum connections to one receiver, from all stores together and from one store.
const MAX_CONNECTIONS_PER_RECEIVER: usize = 48;
const MAX_CONNECTIONS_PER_STORE: usize = 6;
/// Timeout for one call-back.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);
/// First and longest delay after a failed call-back; the delay doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// Number of responses with status 400 after which a call-back is given up.
const MAX_REFUSALS: u32 = 6;

/// Status by which a receiver accepts a call-back.
const ACCEPTED: u16 = 200;

struct Callback {
    id: String,
    target: String,
    body: String,
    refusals: u32,
}

#[derive(Default)]
struct Receiver {
    queue: VecDeque<Callback>,
    connections: usize,
}

/// Call-backs that are owed.
pub struct Callbacks {
    client: Client,
    receivers: RefCell<HashMap<SocketAddr, Receiver>>,
}

/// Address and path of a URL.
fn parse(url: &str) -> Option<(SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let address = host.parse().or_else(|_| format!("{host}:80").parse()).ok()?;
    Some((address, if path.is_empty() { "/".to_string() } else { path.to_string() }))
}

impl Callbacks {
    /// Starts without call-backs; `client` sends them.
    pub fn new(client: Client) -> Callbacks {
        Callbacks { client, receivers: RefCell::default() }
    }

    /// Meter of the bytes that call-backs use.
    pub fn meter(&self) -> &Meter {
        &self.client.meter
    }

    /// Queues a call-back.
    pub fn push(&self, store: Rc<Store>, url: &str, id: &str, outcome: &Outcome) {
        let Some((address, target)) = parse(url) else {
            log::warn!("{id}: the call-back URL {url} can't be used; give http, an IP address and a path");
            return;
        };
        let callback =
            Callback { id: id.to_string(), target, body: end_json(outcome, Some(id)), refusals: 0 };
        let mut receivers = self.receivers.borrow_mut();
        let receiver = receivers.entry(address).or_default();
        receiver.queue.push_back(callback);
        let stores = store.cluster.stores().active().count().max(1);
        if receiver.connections < (MAX_CONNECTIONS_PER_RECEIVER / stores).clamp(1, MAX_CONNECTIONS_PER_STORE)
        {
            receiver.connections += 1;
            runtime::spawn(run_connection(store, address));
        }
    }

    fn next(&self, address: SocketAddr) -> Option<Callback> {
        let mut receivers = self.receivers.borrow_mut();
        let receiver = receivers.get_mut(&address)?;
        let callback = receiver.queue.pop_front();
        if callback.is_none() {
            receiver.connections -= 1;
        }
        callback
    }

    async fn call(&self, address: SocketAddr, callback: &Callback) -> u16 {
        let host = address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let request = encode_request("POST", &callback.target, &headers, callback.body.as_bytes());
        let identity = Identity::until(&callback.id, |response| response.status == ACCEPTED);
        let answer = self.client.call(address, request, CALL_TIMEOUT, identity, Repeat::SameIdentity).await;
        answer.map_or(0, |response| response.status.as_u16())
    }
}

async fn run_connection(store: Rc<Store>, address: SocketAddr) {
    let mut retry_delay = MIN_RETRY_DELAY;
    while let Some(mut callback) = store.callbacks.next(address) {
        let status = store.callbacks.call(address, &callback).await;
        callback.refusals += u32::from(status == 400);
        if status == ACCEPTED || callback.refusals >= MAX_REFUSALS {
            retry_delay = MIN_RETRY_DELAY;
            store.queue.borrow_mut().mark_callback_done(&callback.id);
            let entry = Entry::CallbackDone { id: callback.id.clone() };
            store.log.write_later(&entry);
            store.send_to_holders(&callback.id, &entry);
            continue;
        }
        if let Some(receiver) = store.callbacks.receivers.borrow_mut().get_mut(&address) {
            receiver.queue.push_back(callback);
        }
        runtime::sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}
