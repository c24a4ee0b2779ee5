//! Calls between members: one connection a pair and direction, frames of length, number and `borsh`.
use crate::meter::Meter;
use crate::repeat::Repeatable;
use crate::runtime::{self, elapsed};
use crate::socket::{connect, tune};
use crate::wake::Notify;
use borsh::{BorshDeserialize, BorshSerialize};
use bytes::{Buf, BytesMut};
use local_sync::oneshot;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

const READ_BYTES: usize = 32 * 1024;
const SILENCE: Duration = Duration::from_millis(1_500);
/// Length and number.
const HEAD_BYTES: usize = 12;
/// A longer frame is no frame.
const MOST_BYTES: usize = 64 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// No connection could be made: the call was not sent.
    Unreachable,
    /// The connection broke: the call may have been carried out.
    Broke,
    /// No answer in time: the call may have been carried out.
    TimedOut,
}

/// Where the answer to a call is wanted.
type Waiting = oneshot::Sender<Result<Vec<u8>, RpcError>>;

struct Link {
    outbox: RefCell<Vec<u8>>,
    pending: RefCell<HashMap<u64, Waiting>>,
    wake: Notify,
    broken: Cell<bool>,
    heard: Cell<Instant>,
}

impl Link {
    fn fail(&self, error: RpcError) {
        self.broken.set(true);
        for (_, waiting) in self.pending.borrow_mut().drain() {
            let _ = waiting.send(Err(error));
        }
        self.outbox.borrow_mut().clear();
        self.wake.notify();
    }
}

/// What calls travel on instead of connections, where a test puts it in their place.
pub trait Transport {
    /// Sends a call once and waits for its answer.
    fn send(&self, to: SocketAddr, payload: Vec<u8>, within: Duration) -> Exchange;
}

/// A call that is under way.
pub type Exchange = Pin<Box<dyn Future<Output = Result<Vec<u8>, RpcError>>>>;

/// How long a connection to a member may take. A machine that is without power says nothing, and a connection that was asked
/// for then isn't made when it is back: so the first attempts are short, and they grow longer for the sake of slow links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectPatience(Duration);

impl ConnectPatience {
    const FIRST: Duration = Duration::from_millis(150);
    const LONGEST: Duration = Duration::from_millis(1_200);

    /// How long this attempt may take.
    pub fn time(self) -> Duration {
        self.0
    }

    /// For the attempt after one that failed.
    pub fn after_failure(self) -> ConnectPatience {
        ConnectPatience((self.0 * 2).min(Self::LONGEST))
    }
}

impl Default for ConnectPatience {
    fn default() -> ConnectPatience {
        ConnectPatience(Self::FIRST)
    }
}

/// Connections to other members, made when they are first called.
#[derive(Default)]
pub struct Peers {
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    next: Cell<u64>,
    /// How long connections to those may take that couldn't be reached.
    patience: Rc<RefCell<HashMap<SocketAddr, ConnectPatience>>>,
    simulated: Option<Rc<dyn Transport>>,
    /// What calls cost in bytes.
    pub meter: Meter,
}

impl Peers {
    /// Calls travel on a transport of a test's own.
    pub fn on(transport: Rc<dyn Transport>) -> Peers {
        Peers { simulated: Some(transport), ..Peers::default() }
    }

    /// Calls a member and waits for its answer. The call is sent once; only where it may be repeated freely, it is sent
    /// once more over a new connection if the first one broke.
    pub async fn call<Q: BorshSerialize + Repeatable, A: BorshDeserialize>(
        &self,
        to: SocketAddr,
        request: &Q,
        within: Duration,
    ) -> Result<A, RpcError> {
        let payload = borsh::to_vec(request).expect("writing to memory");
        let begun = runtime::now();
        let answer = self.send(to, &payload, within).await;
        let left = within.saturating_sub(elapsed(begun));
        let answer = match answer {
            Err(RpcError::Broke) if request.repeat().after_break() && !left.is_zero() => {
                self.send(to, &payload, left).await
            }
            answer => answer,
        };
        let received = answer.as_ref().map_or(0, |bytes| HEAD_BYTES + bytes.len());
        self.meter.note(request.purpose(), to.ip(), HEAD_BYTES + payload.len(), received);
        let bytes = answer?;
        A::try_from_slice(&bytes).map_err(|_| RpcError::Broke)
    }

    /// Sends a call once. Its answer is known by the connection and the number that it has there.
    async fn send(&self, to: SocketAddr, payload: &[u8], within: Duration) -> Result<Vec<u8>, RpcError> {
        if let Some(transport) = &self.simulated {
            return transport.send(to, payload.to_vec(), within).await;
        }
        let link = self.link(to);
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        link.pending.borrow_mut().insert(number, sender);
        push_frame(&mut link.outbox.borrow_mut(), number, payload);
        link.wake.notify();
        let sent = runtime::now();
        let answer = runtime::timeout(within, receiver).await;
        link.pending.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(RpcError::Broke),
            Err(_) => {
                if link.heard.get() < sent {
                    // Nothing came for the whole time: another connection is tried for the next call.
                    link.fail(RpcError::Broke);
                }
                Err(RpcError::TimedOut)
            }
        }
    }

    fn link(&self, to: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to).filter(|link| !link.broken.get()) {
            return link.clone();
        }
        let link = Rc::new(Link {
            outbox: RefCell::default(),
            pending: RefCell::default(),
            wake: Notify::default(),
            broken: Cell::new(false),
            heard: Cell::new(runtime::now()),
        });
        links.insert(to, link.clone());
        runtime::spawn(run_link(to, link.clone(), self.patience.clone()));
        link
    }
}

async fn run_link(
    to: SocketAddr,
    link: Rc<Link>,
    patience: Rc<RefCell<HashMap<SocketAddr, ConnectPatience>>>,
) {
    let within = patience.borrow().get(&to).copied().unwrap_or_default();
    let Ok(stream) = connect(to, within.time(), SILENCE).await else {
        patience.borrow_mut().insert(to, within.after_failure());
        return link.fail(RpcError::Unreachable);
    };
    patience.borrow_mut().remove(&to);
    link.heard.set(runtime::now());
    let (reader, mut writer) = stream.into_split();
    runtime::spawn(read_answers(reader, link.clone()));
    while !link.broken.get() {
        let out = std::mem::take(&mut *link.outbox.borrow_mut());
        if out.is_empty() {
            link.wake.notified().await;
            continue;
        }
        if writer.write_all(out).await.0.is_err() {
            return link.fail(RpcError::Broke);
        }
    }
}

async fn read_answers(mut reader: impl AsyncReadRent, link: Rc<Link>) {
    let mut frames = Frames::default();
    while !link.broken.get() {
        let Some(received) = frames.read(&mut reader).await else { break };
        link.heard.set(runtime::now());
        for (number, payload) in received {
            if let Some(waiting) = link.pending.borrow_mut().remove(&number) {
                let _ = waiting.send(Ok(payload));
            }
        }
    }
    link.fail(RpcError::Broke);
}

#[derive(Default)]
struct Frames {
    bytes: BytesMut,
    buffer: Vec<u8>,
}

impl Frames {
    /// Reads until there is at least one whole frame; nothing once the connection has ended.
    async fn read(&mut self, from: &mut impl AsyncReadRent) -> Option<Vec<(u64, Vec<u8>)>> {
        loop {
            let frames = self.take()?;
            if !frames.is_empty() {
                return Some(frames);
            }
            let mut buffer = std::mem::take(&mut self.buffer);
            buffer.resize(READ_BYTES, 0);
            let (read, buffer) = from.read(buffer).await;
            self.buffer = buffer;
            match read {
                Ok(count) if count > 0 => self.bytes.extend_from_slice(&self.buffer[..count]),
                _ => return None,
            }
        }
    }

    fn take(&mut self) -> Option<Vec<(u64, Vec<u8>)>> {
        let mut frames = Vec::new();
        while self.bytes.len() >= HEAD_BYTES {
            let length = u32::from_le_bytes(self.bytes[..4].try_into().ok()?) as usize;
            if length > MOST_BYTES {
                return None;
            }
            if self.bytes.len() < HEAD_BYTES + length {
                break;
            }
            let number = u64::from_le_bytes(self.bytes[4..12].try_into().ok()?);
            self.bytes.advance(HEAD_BYTES);
            frames.push((number, self.bytes.split_to(length).to_vec()));
        }
        Some(frames)
    }
}

fn push_frame(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(payload);
}

/// What answers a member's call: the caller's address and the bytes of its request.
pub type RpcHandler = Rc<dyn Fn(IpAddr, Vec<u8>) -> Pin<Box<dyn Future<Output = Vec<u8>>>>>;

/// Serves calls of other members for good.
pub async fn serve(listener: TcpListener, handler: RpcHandler) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if tune(&stream, SILENCE).is_ok() {
                    runtime::spawn(serve_peer(stream, from.ip(), handler.clone()));
                }
            }
            Err(_) => runtime::sleep(Duration::from_millis(20)).await,
        }
    }
}

struct Answers {
    outbox: RefCell<Vec<u8>>,
    wake: Notify,
    closed: Cell<bool>,
}

async fn serve_peer(stream: TcpStream, from: IpAddr, handler: RpcHandler) {
    let answers =
        Rc::new(Answers { outbox: RefCell::default(), wake: Notify::default(), closed: Cell::new(false) });
    let (mut reader, writer) = stream.into_split();
    runtime::spawn(write_answers(writer, answers.clone()));
    let mut frames = Frames::default();
    while let Some(received) = frames.read(&mut reader).await {
        for (number, payload) in received {
            runtime::spawn(answer(number, handler(from, payload), answers.clone()));
        }
    }
    answers.closed.set(true);
    answers.wake.notify();
}

async fn answer(number: u64, work: Pin<Box<dyn Future<Output = Vec<u8>>>>, answers: Rc<Answers>) {
    let payload = work.await;
    push_frame(&mut answers.outbox.borrow_mut(), number, &payload);
    answers.wake.notify();
}

async fn write_answers(mut writer: impl monoio::io::AsyncWriteRent, answers: Rc<Answers>) {
    while !answers.closed.get() {
        let out = std::mem::take(&mut *answers.outbox.borrow_mut());
        if out.is_empty() {
            answers.wake.notified().await;
        } else if writer.write_all(out).await.0.is_err() {
            return;
        }
    }
}
