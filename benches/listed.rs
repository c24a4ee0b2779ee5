//! What it costs to list destinations, before and after, on real processes over loopback. A play with 140,000 ends in
//! under 30 seconds.
//!
//!     LISTED_BEFORE=PROGRAM [LISTED_AFTER=PROGRAM] [LISTED_PLAYS=1] cargo bench --bench listed [-- SIZE...]
//!
//! Each program has the same: a file with all destinations but one as `known`, and an agent that tells single changes,
//! then the whole list, then the same again a few times. 30, 1,000 and 4,000 destinations have one endpoint each, 140,000
//! have 240,000 together. 400 slots, 2 classes. The programs play in turns. Memory is in MB of 1e6 bytes; a peak is the
//! highest since the step began. Beside a client's longest wait stands how late the bench's own thread woke in that step,
//! and how long the sender was ready to run and had no core: what the machine held up.
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use trial::agent::{entry, list, Agent, Manner};
use trial::peers::*;

const SIZES: [u64; 4] = [30, 1_000, 4_000, 140_000];
/// Of the destinations, those that get messages while processor time is measured: each connection serves as many calls.
const SERVED: u64 = 29;
const MESSAGES: u64 = 3_000;
const CHANGES: u64 = 100;
/// Destinations in use, one message each, where there are as many.
const IN_USE: u64 = 10_000;
const CLIENTS: u64 = 8;
/// How often the whole list comes again, identical.
const AGAIN: u64 = 4;
/// What a thread that keeps time sleeps.
const TICK: Duration = Duration::from_millis(1);

fn main() {
    let sizes: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    let after = std::env::var("LISTED_AFTER").map_or_else(|_| program("nickelshed"), PathBuf::from);
    let before = std::env::var("LISTED_BEFORE").ok().map(|p| ("before", PathBuf::from(p)));
    let begun = Instant::now();
    let programs: Vec<(&str, PathBuf)> = before.into_iter().chain([("after", after)]).collect();
    let plays = std::env::var("LISTED_PLAYS").ok().and_then(|p| p.parse().ok()).unwrap_or(1);
    for play in 0..plays {
        for (name, path) in &programs {
            for &size in &sizes {
                let measured = measure(path, size);
                let line = json!({"program": name, "play": play, "destinations": size, "measured": measured});
                println!("{line}");
            }
        }
    }
    println!("{} s in all", begun.elapsed().as_secs());
}

fn endpoints_of(destinations: u64) -> u64 {
    if destinations >= 140_000 {
        destinations * 12 / 7
    } else {
        destinations
    }
}

/// So many entries; those behind the last destination are second endpoints.
fn entries(count: u64, destinations: u64, at: SocketAddr) -> impl Iterator<Item = String> {
    (0..count).map(move |n| entry(&format!("s-{n:08x}"), at, n % destinations + 1, "Ready"))
}

/// A process that ends with this.
struct Sender {
    node: Node,
    child: Child,
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Sender {
    /// Starts one on this list, which stands in its file as text.
    fn start(program: &PathBuf, agent: &Agent, known: &str) -> Sender {
        let unused = Discovery::new(json!([]));
        let node = Node::new(&unused, Value::Null, |config| {
            Node::controlled(config);
            config["discovery"] = agent.address.to_string().into();
            config["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": 2_048, "disk_mb": 8});
            config["settings"]["FamilyInfo"]["CallsOut"] = 400.into();
            config["settings"]["Limits"]["MaxOpen"] = 4_000.into();
            config["known"] = "KNOWN".into();
        });
        let environment = node.environment();
        let text = node.config.to_string().replacen("\"KNOWN\"", known, 1);
        std::fs::write(node.folder.join("config.json"), text).unwrap();
        let log = std::fs::File::create(node.folder.join("log")).unwrap();
        let mut command = Command::new(program);
        command.envs(environment).stdin(Stdio::null()).stderr(log);
        let child = command.spawn().expect("the sender starts");
        let sender = Sender { node, child };
        sender.node.until("it is ready", || {
            let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            sender.node.ask(health.as_bytes()).is_some_and(|r| r.first.contains(" 200"))
        });
        sender
    }

    fn status(&self, key: &str) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix(key)).unwrap();
        round(line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0 / 1e6)
    }

    fn resident(&self) -> f64 {
        self.status("VmRSS:")
    }

    fn peak(&self) -> f64 {
        self.status("VmHWM:")
    }

    fn forget_peak(&self) {
        std::fs::write(format!("/proc/{}/clear_refs", self.child.id()), "5").unwrap();
    }

    /// Seconds that all its threads have run, and those that they were ready to and had no core.
    fn scheduled(&self) -> [f64; 2] {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap().flatten();
        let of = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let mut values = text.split(' ').map(|ns| ns.parse::<f64>().unwrap_or(0.0) / 1e9);
            [(); 2].map(|()| values.next().unwrap_or(0.0))
        };
        tasks.map(of).fold([0.0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]])
    }

    /// Processor time of all its threads, in seconds.
    fn spent(&self) -> f64 {
        self.scheduled()[0]
    }

    fn figure(&self, name: &str) -> u64 {
        let (_, text) = self.node.control("GET", "/v1/metrics");
        text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')).map_or(0, |v| v.parse().unwrap())
    }

    /// Hands in messages for these destinations in turn, by a few clients with kept connections.
    fn hand_in(&self, run: &str, count: u64, dest: impl Fn(u64) -> u64 + Send + Copy) {
        let at = self.node.address;
        std::thread::scope(|scope| {
            for client in 0..CLIENTS {
                scope.spawn(move || {
                    let mut stream = TcpStream::connect(at).unwrap();
                    stream.set_nodelay(true).unwrap();
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    for i in (client..count).step_by(CLIENTS as usize) {
                        let text = format!(
                            "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {run}-{i}\r\nX-Customer: acme\r\n\
                             X-Expires-In-Ms: 15000\r\nX-Consignee: dest={}\r\nContent-Length: 200\r\n\r\n{}",
                            dest(i),
                            "x".repeat(200)
                        );
                        stream.write_all(text.as_bytes()).unwrap();
                        let answer = read_message(&mut reader, 0).expect("an answer");
                        assert!(answer.first.contains(" 202 "), "{}", answer.first);
                        std::thread::sleep(Duration::from_millis(2));
                    }
                });
            }
        });
        self.node.until("all is delivered", || self.figure("sender_pending") == 0);
    }

    /// Does something, and the longest that a client waited for its answer meanwhile: a round takes its message on.
    /// Beside it what the machine held up, all in milliseconds.
    fn longest_wait(&self, run: &str, during: impl FnOnce()) -> Value {
        let over = AtomicBool::new(false);
        let goes_on = || !over.load(Ordering::SeqCst);
        let delayed = self.scheduled()[1];
        let [longest, latest] = std::thread::scope(|scope| {
            let prober = scope.spawn(|| {
                let mut longest = Duration::ZERO;
                for i in (0..).take_while(|_| goes_on()) {
                    let begun = Instant::now();
                    let status =
                        self.node.hand_in("order", &format!("{run}-{i}"), i % SERVED + 1, 15_000, b"x");
                    assert_eq!(status, 202);
                    longest = longest.max(begun.elapsed());
                    std::thread::sleep(TICK);
                }
                longest
            });
            let keeper = scope.spawn(|| {
                let mut latest = Duration::ZERO;
                while goes_on() {
                    let begun = Instant::now();
                    std::thread::sleep(TICK);
                    latest = latest.max(begun.elapsed().saturating_sub(TICK));
                }
                latest
            });
            during();
            over.store(true, Ordering::SeqCst);
            [prober.join().unwrap(), keeper.join().unwrap()]
        });
        let ms = |wait: Duration| round(wait.as_secs_f64() * 1e3);
        let delayed = round((self.scheduled()[1] - delayed) * 1e3);
        json!({"longest_ms": ms(longest), "bench_late_ms": ms(latest), "no_core_ms": delayed})
    }
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn measure(program: &PathBuf, destinations: u64) -> Value {
    let endpoint = Peer::new(|_| ok());
    let count = endpoints_of(destinations);
    let all = || entries(count, destinations, endpoint.address);
    let known = list(1, true, all().take(count as usize - 1));
    let agent = Agent::new(1, known.clone());
    let begun = Instant::now();
    let sender = Sender::start(program, &agent, &known);
    let ready = round(begun.elapsed().as_secs_f64() * 1e3);
    drop(known);
    let mut measured = json!({"endpoints": count, "ready_ms": ready, "peak_at_start_mb": sender.peak(),
        "known_mb": sender.resident(), "quiet_wait": sender.longest_wait("quiet", || std::thread::sleep(Duration::from_millis(500)))});
    let mut set = |key: &str, value: Value| measured[key] = value;

    // What single changes cost, in processor time; each puts another endpoint out of service or back.
    let before = sender.spent();
    for change in 0..CHANGES {
        let (n, lifecycle) =
            (SERVED.min(count - 2) + change / 2 % 5, ["Terminating", "Ready"][change as usize % 2]);
        let n = n.min(count - 2);
        let entry = entry(&format!("s-{n:08x}"), endpoint.address, n % destinations + 1, lifecycle);
        agent.change(2 + change, list(2 + change, false, [entry].into_iter()));
        agent.wait_given(1 + change as usize);
    }
    set("change_us", round((sender.spent() - before) / CHANGES as f64 * 1e6).into());

    // Messages over few destinations: only the number of the listed ones differs.
    sender.hand_in("warm", SERVED * 10, |i| i % SERVED + 1);
    let before = sender.spent();
    sender.hand_in("served", MESSAGES, |i| i % SERVED + 1);
    set("message_us", round((sender.spent() - before) / MESSAGES as f64 * 1e6).into());
    if destinations >= IN_USE {
        sender.hand_in("used", IN_USE, |i| i + 1);
    }
    set("in_use_mb", sender.resident().into());

    // The whole list, with one more; and the same again.
    for generation in 0..=AGAIN {
        let (step, generation) = match generation {
            0 => ("list".to_string(), 1_000),
            again => (format!("again_{again}"), 1_000 + again),
        };
        sender.forget_peak();
        let (given, errors) = (agent.given(), sender.figure("sender_list_errors_total"));
        // Its figures are not asked for meanwhile: they hold a round up too.
        let text = list(generation, true, all());
        let wait = sender.longest_wait(&step, || {
            agent.tell(generation, text, None, Manner::AtOnce);
            agent.wait_given(given + 1);
            std::thread::sleep(Duration::from_millis(1_500));
        });
        let is_taken = sender.figure("sender_members") == count;
        let is_turned_down = sender.figure("sender_list_errors_total") > errors;
        let is_taken = is_taken && !is_turned_down;
        let (peak, resident) = (sender.peak(), sender.resident());
        set(&step, json!({"taken": is_taken, "wait": wait, "peak_mb": peak, "resident_mb": resident}));
    }
    measured
}
