//! What lies between members: cuts by direction, and counts.
use machine::Machine;
use scale::net::{Counted, Cut, Net, Place};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use trial::peers::free_address;

/// How long what is cut is waited for in vain.
const SILENT: Duration = Duration::from_millis(50);

fn fleet(count: usize) -> Arc<Net> {
    let address = |_| {
        let bound = free_address();
        Place { bound, known_by: bound }
    };
    Net::new((0..count).map(address).collect())
}

#[tokio::test(flavor = "current_thread")]
async fn a_cut_holds_by_direction_and_all_that_is_sent_counts() {
    let net = fleet(3);
    let at: Vec<SocketAddr> = net.places().iter().map(|p| p.known_by).collect();
    let machine = |member| Counted { net: net.clone(), member };
    let sockets: Vec<_> = (0..3).map(|m| machine(m).datagrams(at[m]).unwrap()).collect();
    let mut buffer = [0; 16];
    sockets[0].send(b"one", at[1]).await.unwrap();
    assert_eq!(sockets[1].receive(&mut buffer).await.unwrap(), (3, at[0]));
    net.cut(&[0], Cut::Out);
    assert!(!net.are_together(0, 1) && net.are_together(1, 2));
    // What the one that is cut off says is lost; it hears the others.
    assert_eq!(sockets[0].send(b"lost", at[1]).await.unwrap(), 4);
    assert!(timeout(SILENT, sockets[1].receive(&mut buffer)).await.is_err());
    sockets[1].send(b"two", at[0]).await.unwrap();
    assert_eq!(sockets[0].receive(&mut buffer).await.unwrap(), (3, at[1]));
    net.cut(&[0], Cut::Both);
    sockets[1].send(b"lost", at[0]).await.unwrap();
    assert!(timeout(SILENT, sockets[0].receive(&mut buffer)).await.is_err());
    net.heal();
    sockets[1].send(b"back", at[0]).await.unwrap();
    assert_eq!(sockets[0].receive(&mut buffer).await.unwrap(), (4, at[1]));
    let (first, second) = (net.sums(0..1), net.sums(1..2));
    assert_eq!((first.datagrams_out, first.bytes_out, first.datagrams_in, first.bytes_in), (2, 7, 2, 7));
    assert_eq!((second.datagrams_out, second.bytes_out, second.datagrams_in, second.bytes_in), (3, 11, 1, 3));
    assert_eq!(net.sums(0..3).since(first).datagrams_out, 3);
}

#[tokio::test(flavor = "current_thread")]
async fn a_real_one_is_known_by_its_relay_and_its_side_counts_too() {
    let (hollow, bound, known_by) = (free_address(), free_address(), free_address());
    let net = Net::new(vec![Place { bound: hollow, known_by: hollow }, Place { bound, known_by }]);
    let socket = Counted { net: net.clone(), member: 0 }.datagrams(hollow).unwrap();
    // The process of the real one: a socket of its own, of which the run has nothing.
    let real = tokio::net::UdpSocket::bind(bound).await.unwrap();
    let mut buffer = [0; 16];
    socket.send(b"ask", known_by).await.unwrap();
    assert_eq!(real.recv_from(&mut buffer).await.unwrap(), (3, hollow));
    real.send_to(b"answer", hollow).await.unwrap();
    assert_eq!(socket.receive(&mut buffer).await.unwrap(), (6, known_by));
    net.cut(&[1], Cut::Out);
    real.send_to(b"lost", hollow).await.unwrap();
    assert!(timeout(SILENT, socket.receive(&mut buffer)).await.is_err());
    let real = net.sums(1..2);
    assert_eq!((real.datagrams_out, real.bytes_out, real.datagrams_in, real.bytes_in), (2, 10, 1, 3));
    assert_eq!(net.sums(0..1).datagrams_in, 1);
}
