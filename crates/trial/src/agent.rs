//! Discovery's agent with lists of any size, kept as the bytes that go out, and in whatever pieces.
use crate::peers::{read_message, BOUND};
use std::fmt::Write as _;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How an answer goes out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    AtOnce,
    /// In pieces of so many bytes, with a pause behind each.
    Pieces(usize, Duration),
    /// The connection ends behind so many bytes of it.
    Cut(usize),
}

struct State {
    generation: u64,
    whole: Arc<Vec<u8>>,
    /// What is told to those who have the version before; None: the whole.
    change: Option<Arc<Vec<u8>>>,
    manner: Manner,
    /// Answers with news that have gone out to their end.
    given: usize,
    asked: usize,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// One entry of a list, as discovery writes it.
pub fn entry(name: &str, at: SocketAddr, dest: u64, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{at}\",\"zone\":\"z\",\"machineType\":\"plain\",\"cell\":{dest},\
         \"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

/// A list's text.
pub fn list(generation: u64, reset: bool, entries: impl Iterator<Item = String>) -> String {
    let mut text = format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[");
    for (number, entry) in entries.enumerate() {
        let _ = write!(text, "{}{entry}", if number > 0 { "," } else { "" });
    }
    text + "]}"
}

impl Agent {
    /// One that has this list, of this version.
    pub fn new(generation: u64, whole: String) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let whole = Arc::new(whole.into_bytes());
        let (change, manner) = (None, Manner::AtOnce);
        let state = State { generation, whole, change, manner, given: 0, asked: 0 };
        let agent = Agent { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let shared = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        agent
    }

    /// A new version: its whole list, and what has changed if that is told.
    pub fn tell(&self, generation: u64, whole: String, change: Option<String>, manner: Manner) {
        let mut state = self.state.0.lock().unwrap();
        (state.generation, state.whole) = (generation, Arc::new(whole.into_bytes()));
        state.change = change.map(|text| Arc::new(text.into_bytes()));
        state.manner = manner;
        self.state.1.notify_all();
    }

    /// A new version of which only what has changed is ever told.
    pub fn change(&self, generation: u64, change: String) {
        let mut state = self.state.0.lock().unwrap();
        (state.generation, state.change) = (generation, Some(Arc::new(change.into_bytes())));
        self.state.1.notify_all();
    }

    pub fn manner(&self, manner: Manner) {
        self.state.0.lock().unwrap().manner = manner;
    }

    /// Answers with news that have gone out to their end.
    pub fn given(&self) -> usize {
        self.state.0.lock().unwrap().given
    }

    /// Waits until so many answers with news have gone out, and for the question behind the last of them: whoever asks
    /// again has read the answer.
    pub fn wait_given(&self, count: usize) {
        self.wait(|state| state.given >= count);
        let asked = self.state.0.lock().unwrap().asked;
        self.wait(|state| state.asked > asked || state.given > count);
    }

    /// Waits for so many more questions.
    pub fn wait_asked(&self, more: usize) {
        let asked = self.state.0.lock().unwrap().asked;
        self.wait(|state| state.asked >= asked + more);
    }

    fn wait(&self, enough: impl Fn(&State) -> bool) {
        let until = Instant::now() + BOUND;
        let mut state = self.state.0.lock().unwrap();
        while !enough(&state) {
            assert!(Instant::now() < until, "waited in vain for the agent's client");
            state = self.state.1.wait_timeout(state, Duration::from_millis(200)).unwrap().0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(copy), stream);
        while let Some(request) = read_message(&mut reader, 0) {
            if request.first.starts_with("POST /reports ") {
                if writer.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let number = |key: &str| {
                let (_, rest) = request.first.split_once(key)?;
                rest.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let (body, manner) = self.answer(number("index="), number("wait=").unwrap_or(0));
            if send(&mut writer, &body, manner).is_err() || matches!(manner, Manner::Cut(_)) {
                return;
            }
        }
    }

    fn answer(&self, index: Option<u64>, wait: u64) -> (Arc<Vec<u8>>, Manner) {
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        state.asked += 1;
        self.state.1.notify_all();
        while index.is_some_and(|index| index >= state.generation) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let nothing = list(state.generation, false, std::iter::empty());
                return (Arc::new(nothing.into_bytes()), Manner::AtOnce);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let body = state.change.clone().filter(|_| index.is_some()).unwrap_or_else(|| state.whole.clone());
        state.given += 1;
        self.state.1.notify_all();
        (body, state.manner)
    }
}

fn send(to: &mut TcpStream, body: &[u8], manner: Manner) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
    match manner {
        Manner::AtOnce => to.write_all(body),
        Manner::Cut(length) => to.write_all(&body[..length.min(body.len())]),
        Manner::Pieces(size, pause) => body.chunks(size).try_for_each(|piece| {
            to.write_all(piece)?;
            if !pause.is_zero() {
                std::thread::sleep(pause);
            }
            Ok(())
        }),
    }
}
