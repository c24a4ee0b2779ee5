//! Listening sockets, which two processes of a program may share while one takes over from the other.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use tokio::net::{TcpListener, TcpStream};

const QUEUE: i32 = 1_024;

/// `shared`: another process may listen there too.
pub fn bind(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(QUEUE)?;
    TcpListener::from_std(socket.into())
}

/// Ends the listening without losing a connection: new ones go to the process that listens there too, if there is
/// one, and those that wait in the queue are returned. Nothing can come into the queue between that and the close.
pub fn close(listener: TcpListener) -> Vec<TcpStream> {
    if let Err(error) = steer_to_newer(&listener) {
        tracing::warn!(%error, "connections that come at this moment may be lost");
    }
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let mut waiting = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        waiting.extend(stream);
    }
    waiting
}

/// Makes the kernel give every new connection to the second of the sockets that share the address. They count in
/// the order in which they came, so that is the newer process's; where there is none it falls back to all of them.
fn steer_to_newer(listener: &TcpListener) -> io::Result<()> {
    const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut newer = libc::sock_filter { code: RETURN, jt: 0, jf: 0, k: 1 };
    let program = libc::sock_fprog { len: 1, filter: &mut newer };
    // SAFETY: the descriptor is open, and the kernel copies the program, whose one instruction outlives the call.
    let result = unsafe {
        libc::setsockopt(
            listener.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_ATTACH_REUSEPORT_CBPF,
            (&raw const program).cast(),
            size_of_val(&program) as libc::socklen_t,
        )
    };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;

    #[tokio::test]
    async fn a_close_loses_nothing_and_all_that_come_after_it_find_the_newer_listener() {
        let old = bind("127.0.0.1:0".parse().unwrap(), true).unwrap();
        let at = old.local_addr().unwrap();
        let new = bind(at, true).unwrap();
        let connect = || std::net::TcpStream::connect(at).unwrap();
        let clients: Vec<_> = (0..64).map(|_| connect()).collect();
        let waiting = close(old);
        assert!(!waiting.is_empty(), "the kernel divides them");
        let later: Vec<_> = (0..64).map(|_| connect()).collect();
        let new = new.into_std().unwrap();
        let taken: Vec<_> = std::iter::from_fn(|| new.accept().ok()).collect();
        assert_eq!(waiting.len() + taken.len(), clients.len() + later.len());
        for mut client in clients.into_iter().chain(later) {
            client.set_nonblocking(true).unwrap();
            assert_eq!(client.read(&mut [0]).unwrap_err().kind(), io::ErrorKind::WouldBlock);
        }
    }
}
