//! The system's own sockets and clock.
use crate::{listen, Datagrams, Dialling, Listener, Machine, Stream};
use socket2::SockRef;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::task::{ready, Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::ReadBuf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Keeps nothing: two of them are one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Real;

impl Machine for Real {
    fn dial(&self, at: SocketAddr) -> Dialling {
        Box::pin(async move { Ok(stream(TcpStream::connect(at).await?)) })
    }

    fn listen(&self, at: SocketAddr, shared: bool) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(listen::bind(at, shared)?))
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(Box::new(UdpSocket::from_std(socket)?))
    }

    fn wall_ms(&self) -> i64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
    }
}

fn stream(stream: TcpStream) -> Box<dyn Stream> {
    // A small answer must not wait for the other side's acknowledgement.
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}

impl Stream for TcpStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_read_ready(self, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_write_ready(self, cx)
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        TcpStream::try_read(self, buffer)
    }

    fn try_write(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize> {
        self.try_write_vectored(buffers)
    }

    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(self)).read(buffer)
    }

    fn has_news(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !matches!(SockRef::from(self).peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    fn end_writing(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(Shutdown::Write)
    }
}

impl Listener for TcpListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Stream>>> {
        let (accepted, _) = ready!(TcpListener::poll_accept(self, cx))?;
        Poll::Ready(Ok(stream(accepted)))
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }

    fn close(self: Box<Self>) -> Vec<Box<dyn Stream>> {
        listen::close(*self).into_iter().map(stream).collect()
    }
}

impl Datagrams for UdpSocket {
    fn poll_receive(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut buffer = ReadBuf::new(buffer);
        let from = ready!(self.poll_recv_from(cx, &mut buffer))?;
        Poll::Ready(Ok((buffer.filled().len(), from)))
    }

    fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8], to: SocketAddr) -> Poll<io::Result<usize>> {
        self.poll_send_to(cx, bytes, to)
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }
}

#[cfg(test)]
#[path = "real_tests.rs"]
mod tests;
