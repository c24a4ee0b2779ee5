//! Calls to the stores that count for tenants: what waits for one counter goes in one call, and what comes while a call is
//! under way goes in the next.
use super::quota::{reply_of, PATIENCE};
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

/// A counter that didn't answer in time is asked after the others for so long, in milliseconds.
const SILENT_FOR: Ms = 300;

/// The answers that came to one message's requests for tokens.
#[derive(Default)]
pub struct Asked {
    replies: RefCell<Vec<(u64, CounterReply)>>,
    pub changed: Watched,
    /// The message is decided: tokens that come now are given back.
    pub over: Cell<bool>,
}

impl Asked {
    /// A counter answered; false if the answer isn't needed any more.
    pub fn reply(&self, disk: u64, reply: CounterReply) -> bool {
        if self.over.get() {
            return false;
        }
        self.replies.borrow_mut().push((disk, reply));
        self.changed.raise();
        true
    }

    /// The answers that came since this was called last.
    pub fn take(&self) -> Vec<(u64, CounterReply)> {
        self.replies.take()
    }
}

/// A message that waits for one counter.
struct Waiting {
    want: TokenRequest,
    asked: Rc<Asked>,
}

/// The way to one counter.
#[derive(Default)]
struct Line {
    waiting: RefCell<Vec<Waiting>>,
    returns: RefCell<Vec<TokenReturn>>,
    under_way: Cell<bool>,
    silent_until: Cell<Ms>,
    /// Tenants whose bucket there was more than half full when it was asked last.
    plenty: RefCell<HashMap<String, bool>>,
}

/// Requests of one tenant in a batch.
struct Group {
    want: TokenRequest,
    messages: Vec<Rc<Asked>>,
}

impl Line {
    /// All that waits, by tenant and set of counters.
    fn take_waiting(&self) -> Vec<Group> {
        let mut groups: BTreeMap<(String, u64), Group> = BTreeMap::new();
        for Waiting { want, asked } in self.waiting.take() {
            let key = (want.tenant.clone(), want.counters_digest);
            let new = || Group { want: TokenRequest { tokens: 0, ..want.clone() }, messages: Vec::new() };
            let group = groups.entry(key).or_insert_with(new);
            group.want.tokens += want.tokens;
            group.messages.push(asked);
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

/// The ways to all counters.
#[derive(Default)]
pub struct Lines(RefCell<BTreeMap<u64, Rc<Line>>>);

impl Lines {
    fn to(&self, disk: u64) -> Rc<Line> {
        self.0.borrow_mut().entry(disk).or_default().clone()
    }

    /// A counter didn't answer in time.
    pub fn is_silent(&self, disk: u64, now: Ms) {
        self.to(disk).silent_until.set(now + SILENT_FOR);
    }

    /// Whether a counter was silent when it was asked last, and whether a tenant's bucket there had plenty.
    pub fn last_words(&self, disk: u64, tenant: &str, now: Ms) -> (bool, bool) {
        let line = self.to(disk);
        let plenty = line.plenty.borrow().get(tenant).copied().unwrap_or(false);
        (now < line.silent_until.get(), plenty)
    }
}

impl Store {
    /// Has a request for a token wait for the next call to a counter.
    pub(super) fn ask_by_call(self: &Rc<Self>, disk: u64, want: TokenRequest, asked: Rc<Asked>) {
        self.counting.lines.to(disk).waiting.borrow_mut().push(Waiting { want, asked });
        self.call_counter(disk);
    }

    /// Has a token that no message used wait for the next call to its counter.
    pub(super) fn return_by_call(self: &Rc<Self>, disk: u64, returned: TokenReturn) {
        self.counting.lines.to(disk).returns.borrow_mut().push(returned);
        self.call_counter(disk);
    }

    fn call_counter(self: &Rc<Self>, disk: u64) {
        let line = self.counting.lines.to(disk);
        if !line.under_way.replace(true) {
            runtime::spawn(self.clone().call_while_any_waits(disk, line));
        }
    }

    async fn call_while_any_waits(self: Rc<Self>, disk: u64, line: Rc<Line>) {
        loop {
            let (groups, returns) = (line.take_waiting(), line.take_returns());
            if groups.is_empty() && returns.is_empty() {
                break;
            }
            self.call_once(disk, &line, groups, returns).await;
        }
        line.under_way.set(false);
    }

    async fn call_once(
        self: &Rc<Self>,
        disk: u64,
        line: &Line,
        groups: Vec<Group>,
        returns: Vec<TokenReturn>,
    ) {
        let wants = groups.iter().map(|group| group.want.clone()).collect();
        let call = Call::Count(CountRequest { wants, returns });
        let answer = match self.known.store(disk) {
            Some(store) => {
                let to = SocketAddr::new(store.ip, self.port);
                self.peers.call::<Call, Vec<TokenResponse>>(to, &call, PATIENCE).await.ok()
            }
            None => None,
        };
        match &answer {
            Some(_) => line.silent_until.set(0),
            None => self.counting.lines.is_silent(disk, self.clock.ms()),
        }
        let mut counted = answer.unwrap_or_default().into_iter();
        for group in groups {
            let counted = counted.next().unwrap_or(TokenResponse::NotCounting);
            if let TokenResponse::Granted { above_half, .. } = counted {
                line.plenty.borrow_mut().insert(group.want.tenant.clone(), above_half);
            }
            self.share_out(disk, &group, counted);
        }
    }

    /// Tells each message of a group what the counter said; tokens of messages that are decided go back.
    fn share_out(self: &Rc<Self>, disk: u64, group: &Group, counted: TokenResponse) {
        for (place, asked) in group.messages.iter().enumerate() {
            let reply = reply_of(counted, place as u32);
            let needed = asked.reply(disk, reply);
            if let (false, CounterReply::Token(stamp)) = (needed, reply) {
                self.give_back(&group.want.tenant, Token { disk, stamp });
            }
        }
    }
}
