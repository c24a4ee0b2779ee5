//! Connecting, and options of sockets.
use crate::runtime;
use monoio::net::TcpStream;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

/// Connects within a time. What the other side doesn't acknowledge for `silence` breaks the connection, so that a
/// machine without power is noticed.
pub async fn connect(address: SocketAddr, within: Duration, silence: Duration) -> io::Result<TcpStream> {
    let connected = runtime::timeout(within, TcpStream::connect_addr(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    tune(&stream, silence)?;
    Ok(stream)
}

/// Sends small writes at once, and gives up on a silent peer.
pub fn tune(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    socket2::SockRef::from(&descriptor).set_tcp_user_timeout(Some(silence))
}

/// Whether something can be read from an idle connection, or it has ended. Nothing is taken from it.
pub fn has_bytes_or_ended(stream: &TcpStream) -> bool {
    // SAFETY: the descriptor is open for as long as `stream` is borrowed.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let mut byte = [MaybeUninit::uninit(); 1];
    match socket2::SockRef::from(&descriptor).peek(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
