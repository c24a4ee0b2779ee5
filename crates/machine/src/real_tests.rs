use super::*;
use std::os::fd::{BorrowedFd, RawFd};

/// Whether the system sends small pieces at once on this process's socket with these ends. A stream doesn't tell its socket,
/// so that one is looked for.
fn sends_at_once(own: SocketAddr, other: SocketAddr) -> bool {
    let open = std::fs::read_dir("/proc/self/fd").unwrap().flatten();
    let number = |entry: std::fs::DirEntry| entry.file_name().to_str()?.parse::<RawFd>().ok();
    for number in open.filter_map(number) {
        // SAFETY: it is only asked for its ends and its option; where another thread has closed it, the answer is an error.
        let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = SockRef::from(&descriptor);
        let ends = [socket.local_addr(), socket.peer_addr()].map(|end| end.ok()?.as_socket());
        if ends == [Some(own), Some(other)] {
            return socket.tcp_nodelay().unwrap();
        }
    }
    panic!("no socket from {own} to {other}");
}

#[tokio::test]
async fn every_stream_sends_small_pieces_at_once() {
    let listener = Real.listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let at = listener.address().unwrap();
    let client = std::net::TcpStream::connect(at).unwrap();
    let accepted = listener.accept().await.unwrap();
    assert!(sends_at_once(at, client.local_addr().unwrap()), "accepted");

    let late = std::net::TcpStream::connect(at).unwrap();
    let waited = listener.close();
    assert_eq!(waited.len(), 1);
    assert!(sends_at_once(at, late.local_addr().unwrap()), "accepted as the listener closes");
    drop((accepted, waited));

    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dialled = Real.dial(other.local_addr().unwrap()).await.unwrap();
    let (_, own) = other.accept().unwrap();
    assert!(sends_at_once(own, other.local_addr().unwrap()), "dialled");
    drop(dialled);
}
