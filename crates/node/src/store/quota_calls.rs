//! Calls to counters in batches: all requests that wait for one counter go into one call, and requests that
//! arrive during a call go into the next.
use super::quota::{reply_for, TOKEN_TIMEOUT};
use super::Store;
use crate::calls::{Call, CountRequest};
use net::runtime;
use net::wake::Watched;
use quota::quorum::{CounterReply, Token};
use quota::{Ms, TokenRequest, TokenResponse, TokenReturn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a counter that didn't answer in time is asked only after the others.
const UNRESPONSIVE_MS: Ms = 300;

/// Replies to the token requests of one message.
#[derive(Default)]
pub struct TokenReplies {
    /// Replies by the disk of the counter.
    replies: RefCell<Vec<(u64, CounterReply)>>,
    /// Signals new replies.
    pub changed: Watched,
    /// The request is concluded: further tokens are returned.
    pub concluded: Cell<bool>,
}

impl TokenReplies {
    /// Adds the reply of a counter; false if it isn't needed any more.
    pub fn add(&self, disk: u64, reply: CounterReply) -> bool {
        if self.concluded.get() {
            return false;
        }
        self.replies.borrow_mut().push((disk, reply));
        self.changed.raise();
        true
    }

    /// The replies since the last call.
    pub fn take(&self) -> Vec<(u64, CounterReply)> {
        self.replies.take()
    }
}

/// A message that waits for one counter.
struct Waiting {
    want: TokenRequest,
    token_replies: Rc<TokenReplies>,
}

/// Connection to one counter.
#[derive(Default)]
struct CounterConnection {
    waiting: RefCell<Vec<Waiting>>,
    /// Unused tokens to return.
    returns: RefCell<Vec<TokenReturn>>,
    call_in_progress: Cell<bool>,
    unresponsive_until: Cell<Ms>,
    /// Tenants whose bucket was more than half full at the last reply.
    above_half: RefCell<HashMap<String, bool>>,
}

/// Requests of one tenant in a batch.
struct Group {
    want: TokenRequest,
    messages: Vec<Rc<TokenReplies>>,
}

impl CounterConnection {
    /// All waiting requests, by tenant and set of counters.
    fn take_waiting(&self) -> Vec<Group> {
        let mut groups: BTreeMap<(String, u64), Group> = BTreeMap::new();
        for Waiting { want, token_replies } in self.waiting.take() {
            let key = (want.tenant.clone(), want.counters_digest);
            let new = || Group { want: TokenRequest { tokens: 0, ..want.clone() }, messages: Vec::new() };
            let group = groups.entry(key).or_insert_with(new);
            group.want.tokens += want.tokens;
            group.messages.push(token_replies);
        }
        groups.into_values().collect()
    }

    fn take_returns(&self) -> Vec<TokenReturn> {
        let mut returns: Vec<TokenReturn> = Vec::new();
        for returned in self.returns.take() {
            let same =
                |other: &&mut TokenReturn| other.tenant == returned.tenant && other.stamp == returned.stamp;
            match returns.iter_mut().find(same) {
                Some(other) => other.tokens += returned.tokens,
                None => returns.push(returned),
            }
        }
        returns
    }
}

/// Connections to all counters.
#[derive(Default)]
pub struct CounterConnections(RefCell<BTreeMap<u64, Rc<CounterConnection>>>);

impl CounterConnections {
    /// The connection to the counter with this disk; created if there is none.
    fn get_or_create(&self, disk: u64) -> Rc<CounterConnection> {
        self.0.borrow_mut().entry(disk).or_default().clone()
    }

    /// Marks a counter that didn't answer in time.
    pub fn mark_unresponsive(&self, disk: u64, now: Ms) {
        self.get_or_create(disk).unresponsive_until.set(now + UNRESPONSIVE_MS);
    }

    /// Whether a counter is marked as unresponsive, and whether a tenant's bucket there was more than half
    /// full.
    pub fn last_known_state(&self, disk: u64, tenant: &str, now: Ms) -> (bool, bool) {
        let connection = self.get_or_create(disk);
        let above_half = connection.above_half.borrow().get(tenant).copied().unwrap_or(false);
        (now < connection.unresponsive_until.get(), above_half)
    }
}

impl Store {
    /// Queues a token request for the next call to a counter.
    pub(super) fn queue_request(
        self: &Rc<Self>,
        disk: u64,
        want: TokenRequest,
        token_replies: Rc<TokenReplies>,
    ) {
        self.quotas
            .connections
            .get_or_create(disk)
            .waiting
            .borrow_mut()
            .push(Waiting { want, token_replies });
        self.call_counter(disk);
    }

    /// Queues an unused token for the next call to its counter.
    pub(super) fn queue_return(self: &Rc<Self>, disk: u64, returned: TokenReturn) {
        self.quotas.connections.get_or_create(disk).returns.borrow_mut().push(returned);
        self.call_counter(disk);
    }

    fn call_counter(self: &Rc<Self>, disk: u64) {
        let connection = self.quotas.connections.get_or_create(disk);
        if !connection.call_in_progress.replace(true) {
            runtime::spawn(self.clone().send_waiting_batches(disk, connection));
        }
    }

    /// Sends what waits for a counter, one batch after the other, until nothing waits.
    async fn send_waiting_batches(self: Rc<Self>, disk: u64, connection: Rc<CounterConnection>) {
        loop {
            let (groups, returns) = (connection.take_waiting(), connection.take_returns());
            if groups.is_empty() && returns.is_empty() {
                break;
            }
            self.send_batch(disk, &connection, groups, returns).await;
        }
        connection.call_in_progress.set(false);
    }

    async fn send_batch(
        self: &Rc<Self>,
        disk: u64,
        connection: &CounterConnection,
        groups: Vec<Group>,
        returns: Vec<TokenReturn>,
    ) {
        let wants = groups.iter().map(|group| group.want.clone()).collect();
        let call = Call::Count(CountRequest { wants, returns });
        let answer = match self.cluster.store(disk) {
            Some(store) => {
                let to = SocketAddr::new(store.ip, self.port);
                self.peers.call::<Call, Vec<TokenResponse>>(to, &call, TOKEN_TIMEOUT).await.ok()
            }
            None => None,
        };
        match &answer {
            Some(_) => connection.unresponsive_until.set(0),
            None => self.quotas.connections.mark_unresponsive(disk, self.clock.ms()),
        }
        let mut responses = answer.unwrap_or_default().into_iter();
        for group in groups {
            let response = responses.next().unwrap_or(TokenResponse::NotCounting);
            if let TokenResponse::Granted { above_half, .. } = response {
                connection.above_half.borrow_mut().insert(group.want.tenant.clone(), above_half);
            }
            self.distribute_replies(disk, &group, response);
        }
    }

    /// Passes a counter's answer to each message of a group; tokens that aren't needed any more are
    /// returned.
    fn distribute_replies(self: &Rc<Self>, disk: u64, group: &Group, response: TokenResponse) {
        for (place, token_replies) in group.messages.iter().enumerate() {
            let reply = reply_for(response, place as u32);
            let needed = token_replies.add(disk, reply);
            if let (false, CounterReply::Token(stamp)) = (needed, reply) {
                self.return_token(&group.want.tenant, Token { disk, stamp });
            }
        }
    }
}
