//! What passes is counted once, in the direction that it goes, and what does not pass is not.
use super::*;
use crate::{Conn, Real};
use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn metered_real() -> (Metered, Rc<Traffic>) {
    let traffic = Rc::new(Traffic::default());
    (Metered::new(Rc::new(Real), traffic.clone()), traffic)
}

fn counts(traffic: &Traffic) -> [u64; 4] {
    let Traffic { sent, received } = traffic;
    [sent.bytes(), received.bytes(), sent.datagrams(), received.datagrams()]
}

const ANY: &str = "127.0.0.1:0";

#[tokio::test]
async fn a_connection_that_is_made_counts_what_is_written_and_read_by_every_way() {
    let (machine, traffic) = metered_real();
    let listener = TcpListener::bind(ANY).unwrap();
    let stream = machine.dial(listener.local_addr().unwrap()).await.unwrap();
    let mut there = listener.accept().unwrap().0;
    assert_eq!(counts(&traffic), [0; 4]);

    let mut conn = Conn(stream);
    conn.write_all(b"12345").await.unwrap();
    there.read_exact(&mut [0; 5]).unwrap();
    there.write_all(b"123").unwrap();
    conn.read_exact(&mut [0; 3]).await.unwrap();
    assert_eq!(counts(&traffic), [5, 3, 0, 0]);

    // What is only looked at, and what is not there, counts for nothing.
    let stream = conn.0;
    let mut buffer = [0; 8];
    assert!(stream.read_now(&mut buffer).is_err() && stream.try_read(&mut buffer).is_err());
    there.write_all(b"12").unwrap();
    while !stream.has_news() {
        std::hint::spin_loop();
    }
    assert_eq!(counts(&traffic), [5, 3, 0, 0]);
    assert_eq!(stream.read_now(&mut buffer).unwrap(), 2);
    assert_eq!(counts(&traffic), [5, 5, 0, 0]);
}

#[tokio::test]
async fn what_the_system_does_not_take_is_not_counted() {
    let (machine, traffic) = metered_real();
    let listener = TcpListener::bind(ANY).unwrap();
    let stream = machine.dial(listener.local_addr().unwrap()).await.unwrap();
    let mut there = listener.accept().unwrap().0;
    std::future::poll_fn(|cx| stream.poll_write_ready(cx)).await.unwrap();
    // Until the socket is full: the last write is taken in part or not at all.
    let (block, mut taken) = (vec![7; 1 << 20], 0);
    while let Ok(n) = stream.try_write(&[IoSlice::new(&block)]) {
        taken += n as u64;
    }
    assert_eq!(counts(&traffic), [taken, 0, 0, 0]);
    drop(stream);
    let mut arrived = Vec::new();
    there.read_to_end(&mut arrived).unwrap();
    assert_eq!(arrived.len() as u64, taken);
}

#[tokio::test]
async fn connections_that_are_accepted_are_counted_also_those_of_a_listener_that_closes() {
    let (machine, traffic) = metered_real();
    let listener = machine.listen(ANY.parse().unwrap(), false).unwrap();
    let at = listener.address().unwrap();
    let mut client = std::net::TcpStream::connect(at).unwrap();
    let mut first = Conn(listener.accept().await.unwrap());
    client.write_all(b"1234").unwrap();
    first.read_exact(&mut [0; 4]).await.unwrap();
    let mut late = std::net::TcpStream::connect(at).unwrap();
    let mut waited: Vec<_> = listener.close().into_iter().map(Conn).collect();
    assert_eq!(waited.len(), 1);
    waited[0].write_all(b"12").await.unwrap();
    late.read_exact(&mut [0; 2]).unwrap();
    assert_eq!(counts(&traffic), [2, 4, 0, 0]);
}

#[tokio::test]
async fn datagrams_are_counted_with_their_bytes() {
    let (machine, traffic) = metered_real();
    let socket = machine.datagrams(ANY.parse().unwrap()).unwrap();
    let there = UdpSocket::bind(ANY).unwrap();
    let (here, other) = (socket.address().unwrap(), there.local_addr().unwrap());
    for bytes in [&b"123"[..], b"", b"1234567"] {
        socket.send(bytes, other).await.unwrap();
        there.send_to(bytes, here).unwrap();
    }
    there.send_to(b"1", here).unwrap();
    for _ in 0..4 {
        socket.receive(&mut [0; 64]).await.unwrap();
    }
    // Longer than any datagram may be: it is not sent.
    assert!(socket.send(&[0; 70_000], other).await.is_err());
    assert_eq!(counts(&traffic), [10, 11, 3, 4]);
    assert_eq!(machine.wall_ms() / 1_000_000, Real.wall_ms() / 1_000_000);
}
