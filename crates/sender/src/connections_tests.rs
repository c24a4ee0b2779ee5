use super::*;
use crate::endpoints::Said;
use crate::list::Name;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::task::Poll;
use tokio::task::LocalSet;

#[tokio::test]
async fn an_answer_that_waits_in_the_socket_is_heard_before_the_library_has_its_turn() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let mut link = Connection::open(&machine::Real, at, Duration::from_secs(5)).await.unwrap();
        let (mut there, _) = listener.accept().unwrap();
        let socket = link.socket.clone();
        let asked = request("POST", "/v1/messages", at, &[], Bytes::from_static(b"x"));
        let mut answer = std::pin::pin!(link.send(asked));
        // Until the request is written; nothing comes back before the peer has read it.
        while socket.written() == 0 {
            assert!(matches!(futures_poll(answer.as_mut()).await, Poll::Pending));
            tokio::task::yield_now().await;
        }
        let _ = there.read(&mut [0; 1024]).unwrap();
        there.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n").unwrap();
        // No other task has a turn from here on.
        while !socket.has_news() {
            std::hint::spin_loop();
        }
        assert!(socket.head().is_empty());
        socket.hear_rest();
        assert!(socket.head().starts_with(b"HTTP/1.1 429 Wait") && socket.head().ends_with(b"\r\n\r\n"));
    };
    LocalSet::new().run_until(run).await;
}

async fn futures_poll<F: std::future::Future + Unpin>(mut future: F) -> Poll<F::Output> {
    std::future::poll_fn(|cx| Poll::Ready(std::pin::Pin::new(&mut future).poll(cx))).await
}

/// Answers every request on each of its connections; whatever is told of `stray` it writes once that is asked for.
struct Peer {
    at: SocketAddr,
    accepted: Arc<AtomicUsize>,
    stray: mpsc::Sender<&'static [u8]>,
}

impl Peer {
    fn new() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, accepted) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
        let (stray, strays) = mpsc::channel();
        let (count, strays) = (accepted.clone(), Arc::new(Mutex::new(strays)));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let strays = strays.clone();
                std::thread::spawn(move || answer(stream, &strays));
            }
        });
        Peer { at, accepted, stray }
    }
}

fn answer(mut stream: TcpStream, strays: &Mutex<mpsc::Receiver<&'static [u8]>>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut line, mut first) = (String::new(), String::new());
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            first = if first.is_empty() { line.clone() } else { first };
            line.clear();
        }
        if line.is_empty() {
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
        if first.starts_with("GET /stray ") {
            let bytes = strays.lock().unwrap().recv().unwrap();
            stream.write_all(bytes)?;
            if bytes.is_empty() {
                return Ok(());
            }
        }
    }
}

async fn ask(link: &mut Connection, path: &str) -> Bytes {
    let asked = request("GET", path, link.at, &[], Bytes::new());
    let (status, _, body) = link.exchange(asked, 100).await.map_err(|fault| fault.to_string()).unwrap();
    assert_eq!(status, 200);
    body
}

#[tokio::test]
async fn of_many_connections_at_rest_few_keep_the_librarys_state_and_all_carry_the_next_request() {
    let run = async {
        let peer = Peer::new();
        let count = READY + 20;
        let pool = Rc::new(Pool::new(Rc::new(machine::Real), 5_000 * MS, 60_000 * MS, count));
        let (condition, address) = (Condition::Ready, peer.at.into());
        let said = Said { address, dest: 1, hint: 0.0, kind: 0, zone: 0, condition, separate: false };
        let change = pool.endpoints.borrow_mut().insert(Name::new("e"), said, Instant::now());
        let endpoint = change.entry.endpoint;
        for round in 0..3 {
            let mut links = Vec::new();
            for _ in 0..count {
                let link = pool.connect(endpoint).await;
                links.push(link.unwrap_or_else(|outcome| panic!("round {round}: {outcome:?}")));
            }
            for link in &mut links {
                assert_eq!(&ask(link, "/").await[..], b"ok");
            }
            links.into_iter().for_each(|link| pool.give_back(endpoint, link));
            let idle = pool.idle.borrow();
            let ready = idle.values().filter(|link| link.library.is_some()).count();
            assert_eq!((idle.len(), ready, pool.ready.borrow().len()), (count, READY, READY));
            assert!(idle.values().all(Connection::is_open));
        }
        // The same connections throughout.
        assert_eq!(peer.accepted.load(Ordering::SeqCst), count);
        assert_eq!(pool.turnover().reused, 2 * count as u64);
        pool.close_idle(endpoint);
        assert!(pool.idle.borrow().is_empty() && pool.ready.borrow().is_empty());
        assert_eq!(pool.counts(), [Count::default(); 2]);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_connection_at_rest_that_ends_or_brings_bytes_of_no_request_is_used_no_more() {
    let run = async {
        for bytes in [&b""[..], b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n"] {
            let peer = Peer::new();
            let mut link = Connection::open(&machine::Real, peer.at, Duration::from_secs(5)).await.unwrap();
            assert_eq!(&ask(&mut link, "/").await[..], b"ok");
            link.rest();
            assert!(link.library.is_none() && link.is_open());
            assert_eq!(&ask(&mut link, "/stray").await[..], b"ok");
            link.rest();
            assert!(link.library.is_none() && link.is_open());
            peer.stray.send(bytes).unwrap();
            while !link.socket.has_news() {
                std::hint::spin_loop();
            }
            assert!(!link.is_open());
            let asked = request("GET", "/", peer.at, &[], Bytes::new());
            assert!(matches!(link.send(asked).await, Err(Fault::Unsent)), "nothing is written there");
        }
    };
    LocalSet::new().run_until(run).await;
}
