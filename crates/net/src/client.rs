//! Calls over HTTP/1.1, one at a time on each connection; connections are kept.
use crate::http::{Bounds, Kind, Message, Reader, Response};
use crate::meter::{Meter, Purpose};
use crate::repeat::Repeat;
use crate::runtime::{self, elapsed};
use crate::socket::{connect, has_bytes_or_ended};
use bytes::BytesMut;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

const READ_BYTES: usize = 4 * 1024;
const CONNECT: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2_000);
/// How long an idle connection is kept to a peer that doesn't say how long it keeps it.
const KEEP: Duration = Duration::from_secs(4);
/// Answers to other requests that may come before the one that is waited for.
const MOST_STRAYS: usize = 3;
/// Names the request that an answer belongs to.
const IDENTITY: &str = "x-request-id";
const BOUNDS: Bounds = Bounds { head_bytes: 32 * 1024, body_bytes: 16 * 1024 * 1024 };

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection: nothing was sent.
    NotSent,
    /// A kept connection broke before any byte of an answer: the peer may have closed it while it was idle.
    KeptBroke,
    /// The connection broke, or what came is no answer.
    Broke,
    /// No whole answer in time.
    TimedOut,
}

struct Kept {
    stream: TcpStream,
    until: Instant,
}

/// What answers calls instead of servers, where a test puts it in their place.
pub trait Service {
    /// Sends a request once and waits for its answer.
    fn call(&self, to: SocketAddr, request: Vec<u8>, within: Duration) -> Exchange;
}

/// A call that is under way.
pub type Exchange = Pin<Box<dyn Future<Output = Result<Response, CallError>>>>;

/// Connections to peers, kept from one call to the next.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    simulated: Option<Rc<dyn Service>>,
    /// Under what its calls are counted.
    purpose: Purpose,
    /// What calls cost in bytes.
    pub meter: Meter,
}

impl Client {
    /// Its calls are counted under this purpose.
    pub fn counted_as(purpose: Purpose) -> Client {
        Client { purpose, ..Client::default() }
    }

    /// Calls go to a service of a test's own.
    pub fn on(service: Rc<dyn Service>) -> Client {
        Client { simulated: Some(service), ..Client::default() }
    }

    /// Sends a request and reads its whole answer within a time. It is sent once; only where it may be repeated freely, it
    /// is sent once more if a connection that was kept turns out to have been closed. `identity` is the request's id:
    /// an answer that names another one is another request's, and is passed over.
    pub async fn call(
        &self,
        to: SocketAddr,
        bytes: Vec<u8>,
        within: Duration,
        identity: &str,
        repeat: Repeat,
    ) -> Result<Response, CallError> {
        let started = runtime::now();
        let again = repeat.after_break().then(|| bytes.clone());
        let answer = self.send(to, bytes, within, identity).await;
        match (answer, again) {
            (Err(CallError::KeptBroke), Some(bytes)) => {
                let left = within.saturating_sub(elapsed(started));
                self.idle.borrow_mut().remove(&to);
                self.send(to, bytes, left, identity).await
            }
            (answer, _) => answer,
        }
    }

    async fn send(
        &self,
        to: SocketAddr,
        bytes: Vec<u8>,
        within: Duration,
        identity: &str,
    ) -> Result<Response, CallError> {
        if let Some(service) = &self.simulated {
            return service.call(to, bytes, within).await;
        }
        let started = runtime::now();
        let kept = self.take(to);
        let was_kept = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect(to, within.min(CONNECT), SILENCE).await.map_err(|_| CallError::NotSent)?,
        };
        let left = within.saturating_sub(elapsed(started));
        let (sent, received) = (bytes.len(), Cell::new(0));
        let answered = runtime::timeout(left, exchange(&mut stream, bytes, identity, &received)).await;
        self.meter.note(self.purpose, to.ip(), sent, received.get());
        let response = match answered.unwrap_or(Err(CallError::TimedOut)) {
            Err(CallError::KeptBroke) if !was_kept => return Err(CallError::Broke),
            answered => answered?,
        };
        if response.keep_alive {
            self.keep(to, stream, &response);
        }
        Ok(response)
    }

    /// A connection that was kept and may be used: one on which something came meanwhile serves no call any more.
    fn take(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&to)?;
        let now = runtime::now();
        while let Some(connection) = kept.pop() {
            if now < connection.until && !has_bytes_or_ended(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, stream: TcpStream, response: &Response) {
        let until = runtime::now() + keep_alive_time(response.header("keep-alive"));
        self.idle.borrow_mut().entry(to).or_default().push(Kept { stream, until });
    }

    /// Drops connections that have been idle for too long, and those to peers that `known` doesn't name.
    pub fn sweep(&self, known: impl Fn(&SocketAddr) -> bool) {
        let now = runtime::now();
        self.idle.borrow_mut().retain(|address, kept| {
            kept.retain(|c| now < c.until);
            !kept.is_empty() && known(address)
        });
    }
}

/// The time that a peer says it keeps an idle connection, less a fifth.
fn keep_alive_time(header: &str) -> Duration {
    let timeout = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: f64 = timeout.and_then(|text| text.trim().parse().ok()).unwrap_or(KEEP.as_secs_f64());
    Duration::from_secs_f64((seconds * 0.8).clamp(0.0, 60.0))
}

async fn exchange(
    stream: &mut TcpStream,
    request: Vec<u8>,
    identity: &str,
    received: &Cell<usize>,
) -> Result<Response, CallError> {
    stream.write_all(request).await.0.map_err(|_| CallError::KeptBroke)?;
    let mut reader = Reader::new(Kind::Response, BOUNDS);
    let mut bytes = BytesMut::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut any = false;
    let mut strays = 0;
    loop {
        let (read, returned) = stream.read(buffer).await;
        buffer = returned;
        let broke = if any { CallError::Broke } else { CallError::KeptBroke };
        let count = read.map_err(|_| broke)?;
        if count == 0 {
            return match reader.end() {
                Some(Message::Response(response)) if !is_stray(&response, identity) => Ok(response),
                _ => Err(broke),
            };
        }
        any = true;
        received.set(received.get() + count);
        bytes.extend_from_slice(&buffer[..count]);
        loop {
            match reader.next(&mut bytes) {
                Ok(Some(Message::Response(response))) if response.status.is_informational() => {}
                Ok(Some(Message::Response(response))) if is_stray(&response, identity) => {
                    strays += 1;
                    if strays > MOST_STRAYS {
                        return Err(CallError::Broke);
                    }
                    reader = Reader::new(Kind::Response, BOUNDS);
                }
                // Bytes beyond the answer belong to nobody: the connection isn't used again.
                Ok(Some(Message::Response(mut response))) => {
                    response.keep_alive &= bytes.is_empty() && strays == 0;
                    return Ok(response);
                }
                Ok(_) => break,
                Err(_) => return Err(CallError::Broke),
            }
        }
    }
}

/// The answer names another request than the one that was sent.
fn is_stray(response: &Response, identity: &str) -> bool {
    let of = response.header(IDENTITY);
    !identity.is_empty() && !of.is_empty() && of != identity
}
