//! What lies between members: cuts by direction, and counts.
use machine::Datagrams;
use machine::Machine;
use scale::net::{relay, Counted, Cut, Net, Place};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use trial::peers::free_address;

/// How long what is cut is waited for in vain.
const SILENT: Duration = Duration::from_millis(50);
/// Far longer than a datagram takes.
const BOUND: Duration = Duration::from_secs(10);

async fn heard(socket: &dyn Datagrams) -> (usize, SocketAddr) {
    timeout(BOUND, socket.receive(&mut [0; 16])).await.expect("a datagram").unwrap()
}

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
    assert_eq!(heard(&*sockets[1]).await, (3, at[0]));
    net.cut(&[0], Cut::Out);
    assert!(!net.are_together(0, 1) && net.are_together(1, 2));
    // What the one that is cut off says is lost; it hears the others.
    assert_eq!(sockets[0].send(b"lost", at[1]).await.unwrap(), 4);
    assert!(timeout(SILENT, sockets[1].receive(&mut buffer)).await.is_err());
    sockets[1].send(b"two", at[0]).await.unwrap();
    assert_eq!(heard(&*sockets[0]).await, (3, at[1]));
    net.cut(&[0], Cut::Both);
    sockets[1].send(b"lost", at[0]).await.unwrap();
    assert!(timeout(SILENT, sockets[0].receive(&mut buffer)).await.is_err());
    net.heal();
    sockets[1].send(b"back", at[0]).await.unwrap();
    assert_eq!(heard(&*sockets[0]).await, (4, at[1]));
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
    assert_eq!(timeout(BOUND, real.recv_from(&mut buffer)).await.expect("a datagram").unwrap(), (3, hollow));
    real.send_to(b"answer", hollow).await.unwrap();
    assert_eq!(heard(&*socket).await, (6, known_by));
    net.cut(&[1], Cut::Out);
    real.send_to(b"lost", hollow).await.unwrap();
    assert!(timeout(SILENT, socket.receive(&mut buffer)).await.is_err());
    let real = net.sums(1..2);
    assert_eq!((real.datagrams_out, real.bytes_out, real.datagrams_in, real.bytes_in), (2, 10, 1, 3));
    assert_eq!(net.sums(0..1).datagrams_in, 1);
}

#[test]
fn what_one_real_sender_says_to_another_comes_by_its_relay_and_from_where_it_is_known() {
    let front = || UdpSocket::bind(free_address()).unwrap();
    let (fronts, own): (Vec<_>, Vec<_>) =
        ((0..2).map(|_| front()).collect(), (0..2).map(|_| front()).collect());
    let at = |socket: &UdpSocket| socket.local_addr().unwrap();
    let places = fronts.iter().zip(&own).map(|(f, o)| Place { bound: at(o), known_by: at(f) });
    let (net, known) = (Net::new(places.collect()), at(&fronts[1]));
    let from = at(&fronts[0]);
    let (sockets, stop) =
        (Arc::new(fronts.into_iter().enumerate().collect()), Arc::new(AtomicBool::default()));
    let carrying = std::thread::spawn({
        let (net, stop) = (net.clone(), stop.clone());
        move || relay(net, 1, sockets, stop)
    });
    own[1].set_read_timeout(Some(BOUND)).unwrap();
    own[0].send_to(b"one", known).unwrap();
    assert_eq!(own[1].recv_from(&mut [0; 16]).unwrap(), (3, from));
    net.cut(&[0], Cut::Both);
    own[0].send_to(b"lost", known).unwrap();
    let until = Instant::now() + BOUND;
    while net.sums(0..1).datagrams_out < 2 {
        assert!(Instant::now() < until, "the second one was not counted");
        std::thread::sleep(Duration::from_millis(1));
    }
    net.heal();
    own[0].send_to(b"again", known).unwrap();
    assert_eq!(own[1].recv_from(&mut [0; 16]).unwrap(), (5, from));
    assert_eq!((net.sums(0..1).bytes_out, net.sums(1..2).bytes_in), (12, 8));
    stop.store(true, Relaxed);
    carrying.join().unwrap();
}
