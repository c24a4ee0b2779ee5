//! A whole fleet comes back at once: how soon it is ready, and what that takes of a core.

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use trial::peers::*;
use trial::process::{bound, copy};

const SENDERS: usize = 30;
/// Nine in ten restarted processes are ready within this.
const READY: Duration = Duration::from_secs(10);
/// Far longer than a test takes, so that all is still held at its end.
const HELD_MS: u64 = 600_000;

/// A sender of the fleet and its process. It ends with this.
struct Member {
    node: Node,
    child: Option<Child>,
}

impl Member {
    fn new(discovery: &Discovery) -> Member {
        let node = Node::new(discovery, json!([closed(7)]), |config| {
            Node::controlled(config);
            // Nothing but the disk and the memory bounds what is held.
            config["settings"]["Limits"]["MaxOpen"] = 1_000_000.into();
            for class in config["settings"]["Services"].as_array_mut().unwrap() {
                class["DeadlineNs"] = (HELD_MS * 1_000_000).into();
            }
        });
        Member { node, child: None }
    }

    fn start(&mut self) {
        let mut command = Command::new(&self.node.program);
        let log = std::fs::File::options().create(true).append(true).open(self.node.folder.join("log"));
        command.envs(self.node.environment()).stdin(Stdio::null()).stderr(log.unwrap());
        self.child = Some(bound(&mut command).spawn().unwrap());
    }

    fn signal_kill(&mut self) {
        self.child.as_mut().unwrap().kill().unwrap();
    }

    fn wait(&mut self) {
        self.child.take().unwrap().wait().unwrap();
    }

    fn until_ready(&self) {
        self.node.until("it is ready", || {
            let health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            self.node.ask(health).is_some_and(|r| r.first.contains(" 200"))
        });
    }

    /// What its process has used of a core until now, as the system counts it: whole hundredths of a second.
    fn processor_time(&self) -> Duration {
        let id = self.child.as_ref().unwrap().id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        // Behind the name, which may hold anything: the state is field 3, the times by user and system 14 and 15.
        let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().unwrap()).sum();
        // On Linux a hundred a second for every program, whatever the system itself counts in.
        Duration::from_millis(ticks * 10)
    }

    fn pending(&self) -> u64 {
        let text = self.node.control("GET", "/v1/metrics").1;
        let line = text.lines().find_map(|l| l.strip_prefix("sender_pending "));
        line.unwrap_or_else(|| panic!("{text}")).parse().unwrap()
    }

    /// Hands in the smallest messages, by several clients that keep their connections, until none is taken any more; gives how
    /// many were.
    fn fill(&self) -> u64 {
        let (taken, full) = (AtomicU64::new(0), AtomicBool::new(false));
        let client = |number: u64| {
            let mut stream = TcpStream::connect(self.node.address).unwrap();
            stream.set_read_timeout(Some(BOUND)).unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            for i in 0.. {
                if full.load(Ordering::SeqCst) {
                    return;
                }
                // In one piece: several wait for one another.
                let message = format!(
                    "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {number}-{i}\r\nX-Qos: order\r\n\
                     X-Customer: acme\r\nX-Expires-In-Ms: {HELD_MS}\r\nX-Consignee: dest=7\r\n\
                     Content-Length: 1\r\n\r\nx",
                );
                stream.write_all(message.as_bytes()).unwrap();
                let answer = read_message(&mut reader, 0).expect("an answer");
                match answer.first.split(' ').nth(1).unwrap() {
                    "202" => _ = taken.fetch_add(1, Ordering::SeqCst),
                    "503" => full.store(true, Ordering::SeqCst),
                    other => panic!("{other}"),
                }
            }
        };
        std::thread::scope(|scope| (0..16).for_each(|number| _ = scope.spawn(move || client(number))));
        taken.into_inner()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Kills whoever runs, all at once, and starts all side by side: from start to ready, and the processor time until then, by
/// sender, the least first.
fn restart(fleet: &mut [Member]) -> (Vec<Duration>, Vec<Duration>) {
    let runs: Vec<&mut Member> = fleet.iter_mut().filter(|m| m.child.is_some()).collect();
    for member in runs {
        member.signal_kill();
    }
    fleet.iter_mut().filter(|m| m.child.is_some()).for_each(Member::wait);
    // By this thread: the system ends them with whoever started them.
    let began: Vec<Instant> = fleet
        .iter_mut()
        .map(|member| {
            let now = Instant::now();
            member.start();
            now
        })
        .collect();
    let watch = |(member, began): (&Member, &Instant)| {
        member.until_ready();
        (began.elapsed(), member.processor_time())
    };
    let took: Vec<_> = std::thread::scope(|scope| {
        let watches: Vec<_> = fleet.iter().zip(&began).map(|of| scope.spawn(move || watch(of))).collect();
        watches.into_iter().map(|w| w.join().unwrap()).collect()
    });
    let (mut ready, mut used): (Vec<_>, Vec<_>) = took.into_iter().unzip();
    ready.sort();
    used.sort();
    (ready, used)
}

#[test]
fn nine_in_ten_of_a_fleet_are_ready_in_time_with_full_journals_and_discovery_down() {
    let discovery = Discovery::new(json!([closed(7)]));
    let mut first = Member::new(&discovery);
    first.start();
    first.until_ready();
    let held = first.fill();
    first.signal_kill();
    first.wait();
    let bytes = first.node.on_disk();
    println!("{held} messages held, {bytes} bytes on the disk");
    // Room is kept for all attempts of what is held, so the smallest messages fill it with the most to take up.
    assert!(held > 1_000, "{held} messages, {bytes} bytes: the disk is not what stopped it");

    // What is on one disk is on all of them: copied, as it takes long to hand in.
    let mut fleet: Vec<Member> = (0..SENDERS).map(|_| Member::new(&discovery)).collect();
    fleet.iter().for_each(|member| copy(&first.node.state(), &member.node.state()).unwrap());
    for way in ["refuses", "is silent"] {
        match way {
            // Nobody listens there.
            "refuses" => {
                let nobody = free_address().to_string();
                fleet.iter_mut().for_each(|m| m.node.config["discovery"] = nobody.clone().into());
            }
            _ => {
                discovery.silence();
                let address = discovery.peer.address.to_string();
                fleet.iter_mut().for_each(|m| m.node.config["discovery"] = address.clone().into());
            }
        }
        let (ready, used) = restart(&mut fleet);
        let nine_in_ten = ready[SENDERS * 9 / 10 - 1];
        let sum: Duration = used.iter().sum();
        println!(
            "discovery {way}: nine in ten ready after {nine_in_ten:?}, all after {:?}; processor time of a start: \
             {:?} on average, {:?} at the most",
            ready[SENDERS - 1],
            sum / SENDERS as u32,
            used[SENDERS - 1]
        );
        assert!(nine_in_ten < READY, "{ready:?}");
        // Senders may share a core: this is what a busy machine makes of it.
        assert!(sum * 9 / 10 < READY, "the starts of nine in ten fit into that time on one core: {used:?}");
        assert!(fleet.iter().all(|m| m.pending() == held), "nothing of it is lost");
    }
}
