//! Connections to endpoints, discovery and the platform: the pool, its bounds, and whom nothing may be written.
use crate::endpoints::{Change, Endpoint, Endpoints};
use crate::pool::{Book, Bounds, Choice, Count, LinkId, Reason, REASONS};
use crate::wire::{Io, Socket, MAX_BODY, MAX_HEAD, MAX_HEADERS};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use machine::Machine;
use policy::api::{Condition, DestId, EndpointId, Entry, Ns, Outcome, MS};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// How long the rest of an answer whose outcome is known may take before its connection is given up.
const TAIL: Duration = Duration::from_millis(100);

/// Why a request got no answer.
pub enum Fault {
    /// The connection had ended before: the library hands the request back unwritten.
    Unsent,
    /// Nothing of it was written.
    NeverRan(String),
    /// It may have been read.
    Broken(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Unsent => write!(f, "the connection had ended"),
            Fault::NeverRan(why) | Fault::Broken(why) => write!(f, "{why}"),
        }
    }
}

/// What the library keeps for a connection: a task, its buffers and its channel, some 27 KB together.
struct Library {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Library {
    async fn new(socket: &Rc<Socket>) -> hyper::Result<Library> {
        let made = http1::Builder::new()
            .title_case_headers(true)
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(Io(socket.clone())))
            .await;
        let (sender, connection) = made?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection broke");
            }
        });
        Ok(Library { sender, task })
    }

    /// Between two exchanges, with nothing read that belongs to neither.
    fn is_at_rest(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }
}

impl Drop for Library {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One HTTP/1.1 connection. Dropping it closes the socket at once, whatever is under way.
pub struct Connection {
    pub at: SocketAddr,
    /// None while it rests: the socket alone stands.
    library: Option<Library>,
    pub socket: Rc<Socket>,
    idle_since: Instant,
    /// It has carried an exchange.
    used: bool,
    /// It has stood idle, so the other side may have closed it.
    stood: bool,
    counted: Option<Counted>,
}

impl Connection {
    pub async fn open(machine: &dyn Machine, at: SocketAddr, dial: Duration) -> io::Result<Connection> {
        let socket = Socket::new(timeout(dial, machine.dial(at)).await??);
        let library = Some(Library::new(&socket).await.map_err(io::Error::other)?);
        let idle_since = Instant::now();
        Ok(Connection { at, library, socket, idle_since, used: false, stood: false, counted: None })
    }

    /// The connection that was kept from the exchange before, if it still stands and leads to that address.
    pub async fn kept_or_new(
        machine: &dyn Machine,
        kept: &mut Option<Connection>,
        at: SocketAddr,
        dial: Duration,
    ) -> io::Result<Connection> {
        match kept.take().filter(|link| link.at == at && link.is_open()) {
            Some(link) => Ok(link),
            None => Connection::open(machine, at, dial).await,
        }
    }

    /// Closes the socket before it returns.
    pub async fn close(mut self) {
        if let Some(mut library) = self.library.take() {
            library.task.abort();
            let _ = (&mut library.task).await;
        }
    }

    /// How long it has been idle, if it has carried an exchange.
    pub fn idle(&self) -> Option<Duration> {
        self.used.then(|| self.idle_since.elapsed())
    }

    /// Whether a request may be written to it; not where bytes wait that belong to no request.
    pub fn is_open(&self) -> bool {
        self.library.as_ref().is_none_or(Library::is_at_rest) && !self.socket.has_news()
    }

    /// Leaves the socket alone until the next request. What the library had read beyond the last answer has ended its
    /// task before: it looks for that before it counts as ready again.
    fn rest(&mut self) {
        self.library.take_if(|library| library.is_at_rest());
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let before = self.socket.written();
        let used = std::mem::replace(&mut self.used, true);
        let library = match &mut self.library {
            Some(library) => library,
            none => {
                none.insert(Library::new(&self.socket).await.map_err(|e| Fault::NeverRan(e.to_string()))?)
            }
        };
        self.socket.listen();
        library.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(_) => Fault::Unsent,
            None if self.socket.written() > before => Fault::Broken(e.into_error().to_string()),
            None if used || self.stood => Fault::Unsent,
            None => Fault::NeverRan(e.into_error().to_string()),
        })
    }

    /// A whole exchange, for discovery, notices and probes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<(u16, HeaderMap, Bytes), Fault> {
        let (head, body) = self.ask(request).await?.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|e| Fault::Broken(e.to_string()))?;
        self.settle().await;
        Ok((head.status.as_u16(), head.headers, body.to_bytes()))
    }

    /// The first part of an exchange whose body is read as it comes; `settle` is the last.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let answer = self.send(request).await?;
        self.socket.rest();
        Ok(answer)
    }

    /// Else the next request could find the connection still busy with the end of this answer.
    pub async fn settle(&mut self) {
        if let Some(library) = &mut self.library {
            let _ = timeout(TAIL, library.sender.ready()).await;
        }
    }

    /// Reads what is left of an answer whose outcome is known; whether the connection is at rest after it.
    pub async fn finish(&mut self, rest: Option<Incoming>) -> bool {
        let read = async {
            let whole = match rest {
                Some(rest) => Limited::new(rest, MAX_BODY).collect().await.is_ok(),
                None => true,
            };
            let ready = match &mut self.library {
                Some(library) => library.sender.ready().await.is_ok(),
                None => true,
            };
            whole && ready
        };
        matches!(timeout(TAIL, read).await, Ok(true))
    }
}

pub fn request(
    method: &str,
    path: &str,
    to: SocketAddr,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let to = to.to_string();
    for (name, value) in headers.iter().copied().chain([("host", to.as_str())]) {
        // Values come from headers that were read, so they can be written.
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    debug_assert!(request.headers().contains_key(HOST));
    request
}

/// Connections that may be made at a time, in all and to one endpoint: what wants more waits for these or for one that
/// comes back.
const DIALS: usize = 32;
const DIALS_EACH: usize = 8;

/// Connections at rest that keep what the library has for them: those used last. The others have it made anew with their
/// next request: for some hundreds it would be a fifth of the memory that a sender may take.
const READY: usize = 32;

/// Why connections come and go, for the log and the figures. Each is a count since the start.
#[derive(Default, Debug, Clone, Copy, PartialEq)]
pub struct Turnover {
    pub opened: u64,
    pub refused: u64,
    pub reused: u64,
    /// Calls that had to wait, and connections that were made for a call that had got another or had gone.
    pub waited: u64,
    pub spare: u64,
    /// By reason, as `REASONS` has them.
    pub closed: [u64; REASONS.len()],
    pub dial_time: Duration,
}

/// The connections to endpoints.
pub struct Pool {
    machine: Rc<dyn Machine>,
    turnover: Cell<Turnover>,
    pub dial: Cell<Duration>,
    book: Rc<RefCell<Book>>,
    idle: RefCell<HashMap<LinkId, Connection>>,
    /// Of these, the ones that the library stands ready for, the one used last at the end.
    ready: RefCell<VecDeque<LinkId>>,
    waiters: RefCell<HashMap<u64, oneshot::Sender<Result<Connection, Outcome>>>>,
    ticket: Cell<u64>,
    pub endpoints: RefCell<Endpoints>,
    /// Nothing is written to any endpoint any more.
    is_shut: Cell<bool>,
    waits: RefCell<HashMap<(DestId, Option<EndpointId>), Instant>>,
}

impl std::fmt::Display for Turnover {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Turnover { opened, refused, reused, waited, spare, .. } = self;
        write!(
            f,
            "opened {opened}, refused {refused}, reused {reused}, waited {waited}, spare {spare}; closed"
        )?;
        let closed = REASONS.iter().map(|&(reason, name)| (self.closed[reason as usize], name));
        closed.filter(|(count, _)| *count > 0).try_for_each(|(count, name)| write!(f, " {name} {count}"))
    }
}

impl Pool {
    pub fn new(machine: Rc<dyn Machine>, dial: Ns, idle: Ns, most: usize) -> Pool {
        let bounds = Bounds { most, dials: DIALS, dials_each: DIALS_EACH, idle: Duration::ZERO };
        let pool = Pool {
            machine,
            turnover: Cell::default(),
            dial: Cell::default(),
            book: Rc::new(RefCell::new(Book::new(bounds))),
            idle: RefCell::default(),
            ready: RefCell::default(),
            waiters: RefCell::default(),
            ticket: Cell::default(),
            endpoints: RefCell::new(Endpoints::new(Instant::now())),
            is_shut: Cell::default(),
            waits: RefCell::default(),
        };
        pool.set_times(dial, idle);
        pool
    }

    pub fn set_times(&self, dial: Ns, idle: Ns) {
        self.dial.set(Duration::from_nanos(dial.max(MS) as u64));
        // Closed well before the endpoint would: what is written to a connection that it has closed is a reset.
        self.book.borrow_mut().bounds.idle = Duration::from_nanos((idle.max(0) as f64 * 0.9) as u64);
    }

    /// Most connections to endpoints at a time.
    pub fn set_most(&self, most: usize) {
        self.book.borrow_mut().bounds.most = most;
    }

    pub fn turnover(&self) -> Turnover {
        self.turnover.get()
    }

    /// Connections by state, to endpoints that take work and to others.
    pub fn counts(&self) -> [Count; 2] {
        self.book.borrow().counts()
    }

    fn count(&self, what: impl FnOnce(&mut Turnover)) {
        let mut turnover = self.turnover.get();
        what(&mut turnover);
        self.turnover.set(turnover);
    }

    pub fn count_closed(&self, reason: Reason, by: usize) {
        self.count(|t| t.closed[reason as usize] += by as u64);
    }

    /// Closes what stands idle under these numbers.
    fn close(&self, links: impl IntoIterator<Item = (LinkId, Reason)>) {
        for (id, reason) in links {
            self.count_closed(reason, 1);
            drop(self.take_idle(id));
        }
    }

    fn take_idle(&self, id: LinkId) -> Option<Connection> {
        self.ready.borrow_mut().retain(|other| *other != id);
        self.idle.borrow_mut().remove(&id)
    }

    fn keep_idle(&self, id: LinkId, link: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.insert(id, link);
        let mut ready = self.ready.borrow_mut();
        ready.push_back(id);
        if ready.len() > READY {
            ready.pop_front().and_then(|id| idle.get_mut(&id)).into_iter().for_each(Connection::rest);
        }
    }

    fn withdraw_idle(&self, links: Vec<LinkId>) {
        self.close(links.into_iter().map(|id| (id, Reason::Withdrawn)));
    }

    /// Follows a change of the list; what it no longer names as ready gets nothing more, from now on.
    pub fn follow(&self, change: &Change) {
        let Entry { endpoint, condition, .. } = change.entry;
        if change.moved {
            let links = self.book.borrow_mut().moved(endpoint);
            self.withdraw_idle(links);
        }
        self.set_usable(endpoint, condition == Condition::Ready);
    }

    fn set_usable(&self, endpoint: EndpointId, usable: bool) {
        let links = self.book.borrow_mut().set_usable(endpoint, usable);
        self.withdraw_idle(links);
        if !usable {
            let told = self.book.borrow_mut().abandon(endpoint);
            self.tell(told, Outcome::NotSent);
        }
    }

    /// Nothing more is written to any endpoint, and no connection is kept.
    pub fn shut(&self) {
        self.is_shut.set(true);
        let endpoints = self.book.borrow().in_use();
        endpoints.into_iter().for_each(|endpoint| self.set_usable(endpoint, false));
    }

    /// Nothing more is written to an endpoint until a list names it as ready.
    pub fn withdraw(&self, endpoint: EndpointId) {
        self.set_usable(endpoint, false);
    }

    /// Whether no wait is kept under an endpoint's number.
    pub fn is_done_with(&self, endpoint: &Endpoint) -> bool {
        let route = endpoint.route();
        route.1.is_none() || !self.waits.borrow().contains_key(&route)
    }

    /// The list has not named it for so long that its number means nothing any more.
    pub fn forget(&self, endpoint: EndpointId) {
        self.set_usable(endpoint, false);
        let links = self.book.borrow_mut().forget(endpoint);
        self.withdraw_idle(links);
    }

    pub fn close_idle(&self, endpoint: EndpointId) {
        let links = self.book.borrow_mut().clear(endpoint);
        self.withdraw_idle(links);
    }

    /// Closes what has stood idle too long or was closed from the other side, and forgets waits that are over.
    pub async fn keep(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_millis(100));
        loop {
            every.tick().await;
            let now = Instant::now();
            let used = self.book.borrow().in_use().into_iter();
            let gone: Vec<EndpointId> = used.filter(|&endpoint| self.address(endpoint).is_none()).collect();
            gone.into_iter().for_each(|endpoint| self.set_usable(endpoint, false));
            let expired = self.book.borrow_mut().expire(now);
            self.close(expired);
            let idle = self.idle.borrow();
            let ended: Vec<LinkId> = idle.iter().filter(|(_, l)| !l.is_open()).map(|(&id, _)| id).collect();
            drop(idle);
            // Dropped, it leaves the book by itself.
            self.close(ended.into_iter().map(|id| (id, Reason::There)));
            self.waits.borrow_mut().retain(|_, until| *until > now);
        }
    }

    pub fn may_write(&self, endpoint: EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let Some(known) = self.usable(&endpoints, endpoint) else { return false };
        self.waits.borrow().get(&known.route()).is_none_or(|&until| until <= Instant::now())
    }

    pub fn heed_wait(&self, endpoint: EndpointId, wait: Duration) {
        let endpoints = self.endpoints.borrow();
        let Some(known) = endpoints.get(endpoint) else { return };
        let until = Instant::now() + wait;
        let mut waits = self.waits.borrow_mut();
        let held = waits.entry(known.route()).or_insert(until);
        *held = until.max(*held);
    }

    /// A kept connection there was reset at a request after so long: those idle for longer are no better.
    pub fn distrust(&self, endpoint: EndpointId, idle: Duration) {
        let links = self.book.borrow_mut().distrust(endpoint, idle, Instant::now());
        self.withdraw_idle(links);
    }

    fn usable<'a>(&self, endpoints: &'a Endpoints, endpoint: EndpointId) -> Option<&'a Endpoint> {
        endpoints.get(endpoint).filter(|known| known.is_usable() && !self.is_shut.get())
    }

    /// None of one that takes nothing new.
    fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.usable(&self.endpoints.borrow(), endpoint).map(|known| known.said.address.get())
    }

    /// A connection for a call: an idle one, else the first of those that are being made or come back.
    pub async fn connect(self: &Rc<Self>, endpoint: EndpointId) -> Result<Connection, Outcome> {
        loop {
            if self.address(endpoint).is_none() {
                return Err(Outcome::NotSent);
            }
            let (choice, closed) = self.book.borrow_mut().want(endpoint, Instant::now());
            self.close(closed);
            match choice {
                Choice::None => return Err(Outcome::NotSent),
                Choice::Dial(id) => break self.start(endpoint, id),
                Choice::Wait => break self.count(|t| t.waited += 1),
                Choice::Reuse(id) => {
                    let link = self.take_idle(id);
                    match link.filter(Connection::is_open) {
                        Some(link) => {
                            self.count(|t| t.reused += 1);
                            return Ok(link);
                        }
                        None => {
                            self.book.borrow_mut().gone(id);
                            self.count_closed(Reason::There, 1);
                        }
                    }
                }
            }
        }
        let ticket = self.ticket.replace(self.ticket.get() + 1);
        let (give, got) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, give);
        self.book.borrow_mut().wait(endpoint, ticket);
        let mut waiting = Waiting { pool: self.clone(), endpoint, ticket, got };
        (&mut waiting.got).await.unwrap_or(Err(Outcome::NoConnection))
    }

    /// Makes a connection; by a task of its own, as the call that it was begun for may leave or get another.
    fn start(self: &Rc<Self>, endpoint: EndpointId, id: LinkId) {
        let Some(address) = self.address(endpoint) else {
            let told = self.book.borrow_mut().refused(id);
            return self.tell(told, Outcome::NotSent);
        };
        let (pool, begun) = (self.clone(), Instant::now());
        tokio::task::spawn_local(async move {
            match Connection::open(&*pool.machine, address, pool.dial.get()).await {
                Ok(mut link) => {
                    link.counted = Some(Counted { book: pool.book.clone(), id });
                    pool.count(|t| {
                        t.opened += 1;
                        t.dial_time += begun.elapsed();
                    });
                    pool.offer(endpoint, link, true);
                }
                Err(error) => {
                    tracing::debug!(%address, %error, "no connection");
                    pool.count(|t| t.refused += 1);
                    let told = pool.book.borrow_mut().refused(id);
                    pool.tell(told, Outcome::NoConnection);
                }
            }
            pool.start_due();
        });
    }

    fn start_due(self: &Rc<Self>) {
        let due = self.book.borrow_mut().due(Instant::now());
        due.into_iter().for_each(|(endpoint, id)| self.start(endpoint, id));
    }

    fn tell(&self, tickets: Vec<u64>, outcome: Outcome) {
        for ticket in tickets {
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                let _ = waiter.send(Err(outcome));
            }
        }
    }

    /// Gives a connection to whoever waits for one there, or keeps it.
    fn offer(&self, endpoint: EndpointId, mut link: Connection, is_new: bool) {
        let Some(id) = link.counted.as_ref().map(|c| c.id) else { return };
        let now = Instant::now();
        // It may have moved while the connection was made or used.
        if self.address(endpoint) != Some(link.at) {
            return self.count_closed(Reason::Withdrawn, 1);
        }
        loop {
            let to = self.book.borrow_mut().ready(id, now);
            match to {
                None => return self.count_closed(Reason::Withdrawn, 1),
                Some(None) => {
                    self.count(|t| t.spare += u64::from(is_new));
                    (link.idle_since, link.stood) = (now, true);
                    self.keep_idle(id, link);
                    return;
                }
                Some(Some(ticket)) => {
                    let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) else { continue };
                    match waiter.send(Ok(link)) {
                        Err(Ok(back)) => link = back,
                        _ => return,
                    }
                }
            }
        }
    }

    /// Keeps a connection that is at rest.
    pub fn give_back(self: &Rc<Self>, endpoint: EndpointId, link: Connection) {
        self.offer(endpoint, link, false);
        self.start_due();
    }
}

/// A call that waits for a connection. If it leaves, what it was given meanwhile is for the next.
struct Waiting {
    pool: Rc<Pool>,
    endpoint: EndpointId,
    ticket: u64,
    got: oneshot::Receiver<Result<Connection, Outcome>>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.pool.waiters.borrow_mut().remove(&self.ticket);
        self.pool.book.borrow_mut().leave(self.endpoint, self.ticket);
        if let Ok(Ok(link)) = self.got.try_recv() {
            self.pool.offer(self.endpoint, link, false);
        }
    }
}

/// A connection's place in the book, until it is closed.
struct Counted {
    book: Rc<RefCell<Book>>,
    id: LinkId,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.book.borrow_mut().gone(self.id);
    }
}

#[cfg(test)]
#[path = "connections_tests.rs"]
mod tests;
