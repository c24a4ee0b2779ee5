//! Messages from clients through one real sender to partners that answer at once, and what became of each. Clients keep
//! their connections, as the protocol has it; the trials' make one for each message, whose price would be in every figure.
use crate::fleet::TENANT;
use crate::wire::{accept, listener, Background, Message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Bytes of a body.
const BODY: usize = 200;
/// PROTOCOL: what a client waits for its answer.
const PATIENCE: Duration = Duration::from_millis(400);

/// What became of one message.
#[derive(Clone, Copy, Debug)]
struct Life {
    dest: u32,
    due: Instant,
    /// The answer's status, none where there was no answer, and how long the client waited.
    answered: Option<(Option<u16>, Duration)>,
    /// Once a partner has its last byte.
    delivered: Option<Duration>,
    /// How often partners had it.
    copies: u32,
}

#[derive(Debug, Default)]
struct Book {
    lives: Vec<Life>,
    /// How late a client was at worst since that was last asked.
    late: Duration,
}

/// What all messages of a time came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub handed_in: u64,
    /// Of these: whose client has its answer or waits no more, and taken on.
    pub answered: u64,
    pub taken_on: u64,
    /// Answered with what is neither that nor a refusal: the run itself is wrong.
    pub failed: u64,
    /// With a partner at all, and within their class's aim.
    pub delivered: u64,
    pub in_time: u64,
    /// Sent more than once though that may not be.
    pub repeated: u64,
    /// The longest that a client waited for its answer.
    pub longest_wait: Duration,
}

/// Written by clients and partners, read by the run.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Book>>);

impl Ledger {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hand_in(&self, dest: u32, due: Instant) -> usize {
        let mut book = self.book();
        book.late = book.late.max(due.elapsed());
        book.lives.push(Life { dest, due, answered: None, delivered: None, copies: 0 });
        book.lives.len() - 1
    }

    fn answered(&self, number: usize, status: Option<u16>) {
        if let Some(life) = self.book().lives.get_mut(number) {
            life.answered = Some((status, life.due.elapsed()));
        }
    }

    fn arrived(&self, number: usize) {
        if let Some(life) = self.book().lives.get_mut(number) {
            life.copies += 1;
            life.delivered.get_or_insert(life.due.elapsed());
        }
    }

    pub fn take_late(&self) -> Duration {
        std::mem::take(&mut self.book().late)
    }

    /// How many there are so far: the next one's number.
    pub fn count(&self) -> usize {
        self.book().lives.len()
    }

    /// Messages of these numbers to destinations that are wanted; in time within `aim`.
    pub fn tally(&self, numbers: Range<usize>, aim: Duration, wanted: impl Fn(u32) -> bool) -> Tally {
        let book = self.book();
        let all = book.lives.get(numbers).unwrap_or_default().iter().filter(|life| wanted(life.dest));
        all.fold(Tally::default(), |mut sum, life| {
            sum.handed_in += 1;
            sum.answered += u64::from(life.answered.is_some());
            match life.answered {
                Some((Some(200 | 202), _)) => sum.taken_on += 1,
                Some((Some(status), _)) if !matches!(status, 429 | 503) => sum.failed += 1,
                _ => {}
            }
            sum.delivered += u64::from(life.delivered.is_some());
            sum.in_time += u64::from(life.delivered.is_some_and(|took| took <= aim));
            sum.repeated += u64::from(life.copies > 1);
            sum.longest_wait = sum.longest_wait.max(life.answered.map_or(Duration::ZERO, |(_, took)| took));
            sum
        })
    }
}

/// All partners that are up, at one address. They are served until it is dropped.
pub struct Partners {
    pub address: SocketAddr,
    pub ledger: Ledger,
    _thread: Background,
}

impl Partners {
    pub fn start() -> io::Result<Partners> {
        let (listener, address) = listener()?;
        let ledger = Ledger::default();
        let told = ledger.clone();
        let thread = Background::start("partners", move || {
            accept(listener, move |stream| answer(stream, told.clone()))
        })?;
        Ok(Partners { address, ledger, _thread: thread })
    }
}

async fn answer(mut stream: BufReader<TcpStream>, ledger: Ledger) -> io::Result<()> {
    while let Some(call) = Message::read(&mut stream).await? {
        let number = call.header("x-trace-id").and_then(|id| usize::from_str_radix(id, 16).ok());
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
        number.into_iter().for_each(|number| ledger.arrived(number));
    }
    Ok(())
}

/// Who hands in how much.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub to: SocketAddr,
    /// Messages a second, evenly.
    pub rate: f64,
    /// Destinations are drawn from the first so many.
    pub destinations: u32,
    /// None beyond so many.
    pub most: usize,
    /// How long a message has.
    pub left: Duration,
    pub seed: u64,
}

/// Clients; they hand in until it is dropped.
pub struct Clients(#[expect(dead_code, reason = "kept for its end")] Background);

impl Clients {
    pub fn start(load: Load, ledger: &Ledger) -> io::Result<Clients> {
        let ledger = ledger.clone();
        Background::start("clients", move || hand_in(load, ledger)).map(Clients)
    }
}

type Idle = Rc<RefCell<Vec<BufReader<TcpStream>>>>;

async fn hand_in(load: Load, ledger: Ledger) -> io::Result<()> {
    let mut random = Pcg64::seed_from_u64(load.seed);
    let idle = Idle::default();
    let began = Instant::now();
    for number in 0..load.most {
        let due = began + Duration::from_secs_f64(number as f64 / load.rate);
        tokio::time::sleep_until(due.into()).await;
        let dest = random.random_range(0..load.destinations);
        let (idle, ledger) = (idle.clone(), ledger.clone());
        let id = ledger.hand_in(dest, due);
        spawn_local(async move {
            let asked = tokio::time::timeout(PATIENCE, ask(load, id, dest, &idle)).await;
            ledger.answered(id, asked.ok().and_then(Result::ok));
        });
    }
    Ok(())
}

/// One message over a connection that is free, else a new one; the answer's status.
async fn ask(load: Load, id: usize, dest: u32, idle: &Idle) -> io::Result<u16> {
    let text = format!(
        "POST /order HTTP/1.1\r\nHost: scale\r\nX-Trace-Id: {id:x}\r\nX-Qos: order\r\n\
         X-Customer: {TENANT}\r\nX-Expires-In-Ms: {}\r\n\
         Content-Length: {BODY}\r\nX-Consignee: dest={dest}\r\n\r\n{}",
        load.left.as_millis(),
        "x".repeat(BODY)
    );
    loop {
        let kept = idle.borrow_mut().pop();
        let is_kept = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => BufReader::new(TcpStream::connect(load.to).await?),
        };
        let answered = async {
            stream.get_mut().write_all(text.as_bytes()).await?;
            Message::read(&mut stream).await
        };
        match answered.await {
            Ok(Some(answer)) => {
                if !answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                    idle.borrow_mut().push(stream);
                }
                return answer.status().ok_or_else(|| io::ErrorKind::InvalidData.into());
            }
            // One that was closed between requests: once more on a new one.
            Ok(None) | Err(_) if is_kept => idle.borrow_mut().clear(),
            Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => return Err(error),
        }
    }
}
