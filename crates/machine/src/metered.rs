//! A machine that counts what passes over the connections and datagrams that it gives.
use crate::{Datagrams, Dialling, Listener, Machine, Stream};
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What has passed in one direction, as the program reads and writes it: what the network adds is not in it, nor what is
/// sent again below.
#[derive(Debug, Default)]
pub struct Flow {
    bytes: Cell<u64>,
    datagrams: Cell<u64>,
}

impl Flow {
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Nothing of a connection is one.
    pub fn datagrams(&self) -> u64 {
        self.datagrams.get()
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    fn add_datagram(&self, bytes: usize) {
        self.add(bytes);
        self.datagrams.set(self.datagrams.get() + 1);
    }
}

/// Both directions, since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    pub sent: Flow,
    pub received: Flow,
}

/// Another machine, counted. Its users need not know, and what is not given through it costs nothing more.
pub struct Metered {
    machine: Rc<dyn Machine>,
    traffic: Rc<Traffic>,
}

impl Metered {
    pub fn new(machine: Rc<dyn Machine>, traffic: Rc<Traffic>) -> Metered {
        Metered { machine, traffic }
    }
}

impl Machine for Metered {
    fn dial(&self, at: SocketAddr) -> Dialling {
        let (dialling, traffic) = (self.machine.dial(at), self.traffic.clone());
        Box::pin(async move { Ok(metered(dialling.await?, &traffic)) })
    }

    fn listen(&self, at: SocketAddr, shared: bool) -> io::Result<Box<dyn Listener>> {
        let inner = self.machine.listen(at, shared)?;
        Ok(Box::new(MeteredListener { inner, traffic: self.traffic.clone() }))
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let inner = self.machine.datagrams(at)?;
        Ok(Box::new(MeteredDatagrams { inner, traffic: self.traffic.clone() }))
    }

    fn wall_ms(&self) -> i64 {
        self.machine.wall_ms()
    }
}

fn metered(inner: Box<dyn Stream>, traffic: &Rc<Traffic>) -> Box<dyn Stream> {
    Box::new(MeteredStream { inner, traffic: traffic.clone() })
}

struct MeteredStream {
    inner: Box<dyn Stream>,
    traffic: Rc<Traffic>,
}

impl MeteredStream {
    fn received(&self, read: io::Result<usize>) -> io::Result<usize> {
        read.inspect(|&n| self.traffic.received.add(n))
    }
}

impl Stream for MeteredStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.poll_write_ready(cx)
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.received(self.inner.try_read(buffer))
    }

    fn try_write(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize> {
        self.inner.try_write(buffers).inspect(|&n| self.traffic.sent.add(n))
    }

    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.received(self.inner.read_now(buffer))
    }

    fn has_news(&self) -> bool {
        self.inner.has_news()
    }

    fn end_writing(&self) -> io::Result<()> {
        self.inner.end_writing()
    }
}

struct MeteredListener {
    inner: Box<dyn Listener>,
    traffic: Rc<Traffic>,
}

impl Listener for MeteredListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Stream>>> {
        self.inner.poll_accept(cx).map_ok(|stream| metered(stream, &self.traffic))
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.inner.address()
    }

    fn close(self: Box<Self>) -> Vec<Box<dyn Stream>> {
        let MeteredListener { inner, traffic } = *self;
        inner.close().into_iter().map(|stream| metered(stream, &traffic)).collect()
    }
}

struct MeteredDatagrams {
    inner: Box<dyn Datagrams>,
    traffic: Rc<Traffic>,
}

impl Datagrams for MeteredDatagrams {
    fn poll_receive(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        self.inner.poll_receive(cx, buffer).map_ok(|(length, from)| {
            self.traffic.received.add_datagram(length);
            (length, from)
        })
    }

    fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8], to: SocketAddr) -> Poll<io::Result<usize>> {
        self.inner.poll_send(cx, bytes, to).map_ok(|n| {
            self.traffic.sent.add_datagram(n);
            n
        })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.inner.address()
    }
}

#[cfg(test)]
#[path = "metered_tests.rs"]
mod tests;
