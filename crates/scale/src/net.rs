//! What lies between members: who is cut off from whom, and what each has sent and heard. No relay for hollow senders:
//! their sockets are the rig's own and ask here. A real sender's datagrams to another real one go through a [`relay`], by
//! whose address all know it.
use machine::{Datagrams, Dialling, Listener, Machine, Real, Stream};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Where a member is.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// What its socket is bound to.
    pub bound: SocketAddr,
    /// What the others know it by: the relay's address for a real one.
    pub known_by: SocketAddr,
}

/// One member's traffic. Bytes are those of datagrams, and of connections to discovery, without the headers below them.
#[derive(Debug, Default)]
pub struct Traffic {
    pub datagrams_out: AtomicU64,
    pub bytes_out: AtomicU64,
    pub datagrams_in: AtomicU64,
    pub bytes_in: AtomicU64,
    /// To and from discovery; counted for hollow members.
    pub asked: AtomicU64,
    pub answered: AtomicU64,
}

/// Sums over members at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub bytes_in: u64,
    pub asked: u64,
    pub answered: u64,
}

impl Sums {
    /// What has come since an earlier moment.
    pub fn since(self, old: Sums) -> Sums {
        Sums {
            datagrams_out: self.datagrams_out - old.datagrams_out,
            bytes_out: self.bytes_out - old.bytes_out,
            datagrams_in: self.datagrams_in - old.datagrams_in,
            bytes_in: self.bytes_in - old.bytes_in,
            asked: self.asked - old.asked,
            answered: self.answered - old.answered,
        }
    }
}

/// The directions in which nothing passes between those that are cut off and all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    Both,
    /// What those that are cut off say is lost; they hear the others.
    Out,
}

pub struct Net {
    places: Vec<Place>,
    by_address: HashMap<SocketAddr, usize>,
    traffic: Vec<Traffic>,
    cut_off: Vec<AtomicBool>,
    out: AtomicBool,
    into: AtomicBool,
}

impl Net {
    pub fn new(places: Vec<Place>) -> Arc<Net> {
        let each = places.iter().enumerate();
        let by_address = each.flat_map(|(i, p)| [(p.bound, i), (p.known_by, i)]).collect();
        let traffic = places.iter().map(|_| Traffic::default()).collect();
        let cut_off = places.iter().map(|_| AtomicBool::default()).collect();
        let (out, into) = Default::default();
        Arc::new(Net { places, by_address, traffic, cut_off, out, into })
    }

    pub fn places(&self) -> &[Place] {
        &self.places
    }

    /// Cuts these off from all others; they hear each other.
    pub fn cut(&self, members: &[usize], how: Cut) {
        members.iter().for_each(|m| self.cut_off[*m].store(true, Relaxed));
        self.out.store(true, Relaxed);
        self.into.store(how == Cut::Both, Relaxed);
    }

    pub fn heal(&self) {
        self.out.store(false, Relaxed);
        self.into.store(false, Relaxed);
        self.cut_off.iter().for_each(|c| c.store(false, Relaxed));
    }

    /// Whether each hears the other.
    pub fn are_together(&self, one: usize, other: usize) -> bool {
        self.passes(one, other) && self.passes(other, one)
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        match (self.cut_off[from].load(Relaxed), self.cut_off[to].load(Relaxed)) {
            (true, false) => !self.out.load(Relaxed),
            (false, true) => !self.into.load(Relaxed),
            _ => true,
        }
    }

    /// Counts a datagram and tells whether it arrives.
    fn carries(&self, from: usize, to: usize, bytes: usize) -> bool {
        let (sender, bytes) = (&self.traffic[from], bytes as u64);
        sender.datagrams_out.fetch_add(1, Relaxed);
        sender.bytes_out.fetch_add(bytes, Relaxed);
        let passes = self.passes(from, to);
        if passes {
            self.traffic[to].datagrams_in.fetch_add(1, Relaxed);
            self.traffic[to].bytes_in.fetch_add(bytes, Relaxed);
        }
        passes
    }

    /// Over these members.
    pub fn sums(&self, members: impl Iterator<Item = usize>) -> Sums {
        let mut sums = Sums::default();
        for t in members.map(|m| &self.traffic[m]) {
            sums.datagrams_out += t.datagrams_out.load(Relaxed);
            sums.bytes_out += t.bytes_out.load(Relaxed);
            sums.datagrams_in += t.datagrams_in.load(Relaxed);
            sums.bytes_in += t.bytes_in.load(Relaxed);
            sums.asked += t.asked.load(Relaxed);
            sums.answered += t.answered.load(Relaxed);
        }
        sums
    }
}

/// A hollow member's machine: the system's, counted, and cut off as [`Net`] says.
pub struct Counted {
    pub net: Arc<Net>,
    pub member: usize,
}

impl Machine for Counted {
    fn dial(&self, at: SocketAddr) -> Dialling {
        let (net, member) = (self.net.clone(), self.member);
        Box::pin(async move {
            let stream = Real.dial(at).await?;
            Ok(Box::new(CountedStream { stream, net, member }) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr, shared: bool) -> io::Result<Box<dyn Listener>> {
        Real.listen(at, shared)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let socket = Real.datagrams(at)?;
        Ok(Box::new(CountedSocket { socket, net: self.net.clone(), member: self.member }))
    }

    fn wall_ms(&self) -> i64 {
        Real.wall_ms()
    }
}

struct CountedSocket {
    socket: Box<dyn Datagrams>,
    net: Arc<Net>,
    member: usize,
}

impl CountedSocket {
    /// Whether the other one is a process of its own, whose side of the traffic is counted here too.
    fn is_real(&self, other: usize) -> bool {
        let place = self.net.places[other];
        place.bound != place.known_by
    }
}

impl Datagrams for CountedSocket {
    fn poll_receive(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        loop {
            let (length, from) = ready!(self.socket.poll_receive(cx, buffer))?;
            // Between two hollow ones the sender's end has counted it, and dropped it if it had to be.
            let Some(other) = self.net.by_address.get(&from).copied().filter(|o| self.is_real(*o)) else {
                return Poll::Ready(Ok((length, from)));
            };
            if self.net.carries(other, self.member, length) {
                // As behind address translation: it comes from where the others know its sender.
                return Poll::Ready(Ok((length, self.net.places[other].known_by)));
            }
        }
    }

    fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8], to: SocketAddr) -> Poll<io::Result<usize>> {
        let Some(other) = self.net.by_address.get(&to).copied() else {
            return self.socket.poll_send(cx, bytes, to);
        };
        // Counted once it is sent: what has to wait for room is tried again.
        if !self.net.passes(self.member, other) {
            self.net.carries(self.member, other, bytes.len());
            return Poll::Ready(Ok(bytes.len()));
        }
        let sent = ready!(self.socket.poll_send(cx, bytes, self.net.places[other].bound));
        self.net.carries(self.member, other, bytes.len());
        Poll::Ready(sent)
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.socket.address()
    }
}

struct CountedStream {
    stream: Box<dyn Stream>,
    net: Arc<Net>,
    member: usize,
}

impl CountedStream {
    fn came(&self, read: io::Result<usize>) -> io::Result<usize> {
        read.inspect(|n| _ = self.net.traffic[self.member].answered.fetch_add(*n as u64, Relaxed))
    }
}

impl Stream for CountedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_write_ready(cx)
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.came(self.stream.try_read(buffer))
    }

    fn try_write(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize> {
        let written = self.stream.try_write(buffers);
        written.inspect(|n| _ = self.net.traffic[self.member].asked.fetch_add(*n as u64, Relaxed))
    }

    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.came(self.stream.read_now(buffer))
    }

    fn has_news(&self) -> bool {
        self.stream.has_news()
    }

    fn end_writing(&self) -> io::Result<()> {
        self.stream.end_writing()
    }
}

/// How often a relay that hears nothing looks whether it is to end.
const LOOK: Duration = Duration::from_millis(100);

/// Carries what real senders say to one of them, on a thread of its own: `socket` is bound to what that one is known by,
/// and `sockets` are those of all real ones, by member. Ends once `stop` is set.
pub fn relay(net: Arc<Net>, member: usize, sockets: Arc<HashMap<usize, UdpSocket>>, stop: Arc<AtomicBool>) {
    let Some(socket) = sockets.get(&member) else { return };
    let _ = socket.set_read_timeout(Some(LOOK));
    let mut buffer = [0; 2_048];
    while !stop.load(Relaxed) {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let Some(from) = net.by_address.get(&source).copied() else { continue };
        if net.carries(from, member, length) {
            // From where the others know its sender, so that an answer finds the way back.
            let front = sockets.get(&from).unwrap_or(socket);
            let _ = front.send_to(&buffer[..length], net.places[member].bound);
        }
    }
}
