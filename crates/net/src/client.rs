//! Calls over HTTP/1.1, one at a time on each connection; connections are kept.
use crate::http::{Bounds, Kind, Message, Reader, Response};
use crate::meter::{Meter, Purpose};
use crate::pool::{Connection, Pool};
use crate::repeat::Repeat;
use crate::runtime::{self, elapsed};
use crate::socket::{connect, has_bytes_or_ended};
use bytes::BytesMut;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

const READ_BYTES: usize = 4 * 1024;
const CONNECT: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2_000);
/// How long an idle connection is kept to a peer that doesn't say how long it keeps it.
const KEEP: Duration = Duration::from_secs(4);
/// Answers to other requests that may come before the one that is waited for.
const MOST_STRAYS: usize = 3;
/// Names the request that an answer belongs to.
const IDENTITY_HEADER: &str = "x-request-id";
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

/// The id of a request, which its answers repeat. All attempts with one id look alike, and so do their answers: an
/// attempt never goes over a connection on which an earlier one was answered.
#[derive(Clone, Copy)]
pub struct Identity<'a> {
    id: &'a str,
    settles: fn(&Response) -> bool,
}

impl<'a> Identity<'a> {
    /// A request without an id.
    pub const NONE: Identity<'static> = Identity { id: "", settles: |_| true };

    /// The id of a request that may be sent again until an answer settles it.
    pub fn until(id: &'a str, settles: fn(&Response) -> bool) -> Identity<'a> {
        Identity { id, settles }
    }

    /// The answer names another request than this one.
    fn is_stray(&self, response: &Response) -> bool {
        let named = response.header(IDENTITY_HEADER);
        !self.id.is_empty() && !named.is_empty() && named != self.id
    }
}

/// A connection of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimulatedConnection(u64);

enum Stream {
    Tcp(TcpStream),
    Simulated(SimulatedConnection),
}

/// What answers calls instead of servers, where a test puts it in their place.
pub trait Service {
    /// Sends a request once over a connection and waits for the answer that comes there.
    fn call(
        &self,
        to: SocketAddr,
        connection: SimulatedConnection,
        request: Vec<u8>,
        within: Duration,
    ) -> Exchange;

    /// Whether nothing has come on an idle connection.
    fn is_quiet(&self, _connection: SimulatedConnection) -> bool {
        true
    }
}

/// A call that is under way.
pub type Exchange = Pin<Box<dyn Future<Output = Result<Response, CallError>>>>;

/// Connections to peers, kept from one call to the next.
#[derive(Default)]
pub struct Client {
    pool: Pool<Stream>,
    simulated: Option<Rc<dyn Service>>,
    /// Number of simulated connections that were opened.
    opened: Cell<u64>,
    /// Number of answers that named another request than the one that waited.
    strays: Cell<usize>,
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

    /// Number of answers, since the start, that named another request than the one that waited.
    pub fn strays(&self) -> usize {
        self.strays.get()
    }

    /// Sends a request and reads its whole answer within a time. It is sent once; only where it may be repeated freely, it
    /// is sent once more if a connection that was kept turns out to have been closed. An answer that names another
    /// request is passed over.
    pub async fn call(
        &self,
        to: SocketAddr,
        bytes: Vec<u8>,
        within: Duration,
        identity: Identity<'_>,
        repeat: Repeat,
    ) -> Result<Response, CallError> {
        let started = runtime::now();
        let again = repeat.after_break().then(|| bytes.clone());
        let answer = self.send(to, bytes, within, identity).await;
        match (answer, again) {
            (Err(CallError::KeptBroke), Some(bytes)) => {
                let left = within.saturating_sub(elapsed(started));
                self.pool.close(to);
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
        identity: Identity<'_>,
    ) -> Result<Response, CallError> {
        let started = runtime::now();
        let kept = self.pool.take(to, identity.id, |stream| self.is_quiet(stream));
        let was_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::new(self.open(to, within).await?),
        };
        let left = within.saturating_sub(elapsed(started));
        let answered = self.exchange(to, &mut connection.stream, bytes, left, identity).await;
        let response = match answered {
            Err(CallError::KeptBroke) if !was_kept => return Err(CallError::Broke),
            answered => answered?,
        };
        if !(identity.settles)(&response) {
            connection.note_unsettled(identity.id);
        }
        if response.keep_alive {
            self.pool.keep(to, connection, keep_alive_time(response.header("keep-alive")));
        }
        Ok(response)
    }

    async fn open(&self, to: SocketAddr, within: Duration) -> Result<Stream, CallError> {
        if self.simulated.is_some() {
            self.opened.set(self.opened.get() + 1);
            return Ok(Stream::Simulated(SimulatedConnection(self.opened.get())));
        }
        let stream = connect(to, within.min(CONNECT), SILENCE).await;
        stream.map(Stream::Tcp).map_err(|_| CallError::NotSent)
    }

    /// Whether nothing has come on an idle connection, and it hasn't ended: otherwise it serves no call any more.
    fn is_quiet(&self, stream: &Stream) -> bool {
        match (stream, &self.simulated) {
            (Stream::Tcp(stream), _) => !has_bytes_or_ended(stream),
            (Stream::Simulated(connection), Some(service)) => service.is_quiet(*connection),
            (Stream::Simulated(_), None) => false,
        }
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        stream: &mut Stream,
        bytes: Vec<u8>,
        within: Duration,
        identity: Identity<'_>,
    ) -> Result<Response, CallError> {
        match (stream, &self.simulated) {
            (Stream::Tcp(stream), _) => {
                let (sent, tally) = (bytes.len(), Tally::default());
                let answered = runtime::timeout(within, exchange(stream, bytes, identity, &tally)).await;
                self.meter.note(self.purpose, to.ip(), sent, tally.received.get());
                self.strays.set(self.strays.get() + tally.strays.get());
                answered.unwrap_or(Err(CallError::TimedOut))
            }
            (Stream::Simulated(connection), Some(service)) => {
                service.call(to, *connection, bytes, within).await
            }
            (Stream::Simulated(_), None) => Err(CallError::NotSent),
        }
    }

    /// Drops connections that have been idle for too long, and those to peers that `known` doesn't name.
    pub fn sweep(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.pool.sweep(known);
    }
}

/// The time that a peer says it keeps an idle connection, less a fifth.
fn keep_alive_time(header: &str) -> Duration {
    let timeout = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: f64 = timeout.and_then(|text| text.trim().parse().ok()).unwrap_or(KEEP.as_secs_f64());
    Duration::from_secs_f64((seconds * 0.8).clamp(0.0, 60.0))
}

/// What has come during one exchange.
#[derive(Default)]
struct Tally {
    /// Number of bytes.
    received: Cell<usize>,
    /// Number of answers to other requests.
    strays: Cell<usize>,
}

async fn exchange(
    stream: &mut TcpStream,
    request: Vec<u8>,
    identity: Identity<'_>,
    tally: &Tally,
) -> Result<Response, CallError> {
    stream.write_all(request).await.0.map_err(|_| CallError::KeptBroke)?;
    let mut reader = Reader::new(Kind::Response, BOUNDS);
    let mut bytes = BytesMut::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut any = false;
    loop {
        let (read, returned) = stream.read(buffer).await;
        buffer = returned;
        let broke = if any { CallError::Broke } else { CallError::KeptBroke };
        let count = read.map_err(|_| broke)?;
        if count == 0 {
            return match reader.end() {
                Some(Message::Response(response)) if !identity.is_stray(&response) => Ok(response),
                _ => Err(broke),
            };
        }
        any = true;
        tally.received.set(tally.received.get() + count);
        bytes.extend_from_slice(&buffer[..count]);
        loop {
            match reader.next(&mut bytes) {
                Ok(Some(Message::Response(response))) if response.status.is_informational() => {}
                Ok(Some(Message::Response(response))) if identity.is_stray(&response) => {
                    tally.strays.set(tally.strays.get() + 1);
                    if tally.strays.get() > MOST_STRAYS {
                        return Err(CallError::Broke);
                    }
                    reader = Reader::new(Kind::Response, BOUNDS);
                }
                // Bytes beyond the answer belong to nobody: the connection isn't used again.
                Ok(Some(Message::Response(mut response))) => {
                    response.keep_alive &= bytes.is_empty() && tally.strays.get() == 0;
                    return Ok(response);
                }
                Ok(_) => break,
                Err(_) => return Err(CallError::Broke),
            }
        }
    }
}
