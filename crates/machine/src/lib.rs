//! What a sender has of its machine beside files: connections, listeners, datagrams and the wall clock.
//!
//! This is the one place through which they enter: whoever starts a sender hands it a [`Machine`]. [`Real`] is the
//! system's; another one may be simulated. Time that only rises is tokio's clock throughout, which a test may pause, so
//! it is not here. Nothing here decides anything, keeps state between two calls but the counts of a [`Metered`] machine, or
//! knows of messages. What the process itself takes of its machine is told by [`process`].
//!
//! A byte's way in: [`Machine::listen`] or [`Machine::dial`] gives a [`Stream`], whose owner polls it for readiness and
//! reads what is there. [`Conn`] is that for libraries that want `AsyncRead` and `AsyncWrite`.
mod listen;
mod metered;
pub mod process;
mod real;

pub use metered::{Flow, Metered, Traffic};
pub use real::Real;
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub type Dialling = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>>>>;

pub trait Machine {
    /// Connects to an address; the caller bounds the time, and drops it to give up.
    fn dial(&self, at: SocketAddr) -> Dialling;
    /// Listens there, at once. `shared`: another process of this program may, too.
    fn listen(&self, at: SocketAddr, shared: bool) -> io::Result<Box<dyn Listener>>;
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
    /// Milliseconds since 1970 by the clock that may be set, in either direction.
    fn wall_ms(&self) -> i64;
}

/// An open connection. Dropping it closes it.
pub trait Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// `WouldBlock` where nothing is there; 0 at the end.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    fn try_write(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Reads what waits in the system, though the runtime may not know of it yet.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Whether bytes wait in the system, or the end; nothing of them is taken.
    fn has_news(&self) -> bool;
    /// Ends the sending; what comes can still be read.
    fn end_writing(&self) -> io::Result<()>;
}

impl dyn Stream + '_ {
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            match self.try_read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    pub fn poll_write(&self, cx: &mut Context<'_>, buffers: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_write_ready(cx))?;
            match self.try_write(buffers) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

/// Dropping it ends the listening, and whoever waits in the queue is lost.
pub trait Listener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Stream>>>;
    fn address(&self) -> io::Result<SocketAddr>;
    /// Ends the listening without losing a connection: those that wait are returned, and later ones go to the other
    /// process that listens there, if there is one.
    fn close(self: Box<Self>) -> Vec<Box<dyn Stream>>;
}

impl dyn Listener + '_ {
    pub async fn accept(&self) -> io::Result<Box<dyn Stream>> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }
}

pub trait Datagrams {
    fn poll_receive(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>>;
    fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8], to: SocketAddr) -> Poll<io::Result<usize>>;
    fn address(&self) -> io::Result<SocketAddr>;
}

impl dyn Datagrams + '_ {
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| self.poll_receive(cx, buffer)).await
    }

    pub async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        poll_fn(|cx| self.poll_send(cx, bytes, to)).await
    }
}

/// A connection for libraries.
pub struct Conn(pub Box<dyn Stream>);

impl AsyncRead for Conn {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let n = ready!(self.0.poll_read(cx, buf.initialize_unfilled()))?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Conn {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.end_writing())
    }
}
