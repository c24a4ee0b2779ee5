//! The cost of a datagram and of a round for one member, by the fleet's size: at rest, with 2.8% of the other
//! members suspect, and with an update about every member to spread, as after a start.
//!
//!     cargo bench -p membership --bench cost [-- SIZE...]
//!
//! A datagram is a ping that is received and answered, with what the driver does after it. A round is a tick
//! that probes a member, without its answer. Results are in nanoseconds, as median (5th to 95th percentile)
//! of many runs.
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{EntryStatus, MemberState, Ms, Node, Roster};
use network::{address, config, id, member_index, INTERVAL};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

const SIZES: [usize; 4] = [30, 150, 510, 3_000];
/// The measured member, and a member that sends to it.
const SUBJECT: usize = 0;
const PEER: usize = 1;
/// Suspects among 1,000 other members.
const SUSPECTS_PER_1000: usize = 28;
/// Limits of a measurement; there are fewer runs where each takes long.
const MAX_DATAGRAMS: usize = 2_000;
const MAX_ROUNDS: usize = 400;
const MAX_SECONDS: u64 = 4;

type Datagrams = Vec<(SocketAddr, Vec<u8>)>;

fn roster(members: impl Iterator<Item = usize>) -> Roster {
    let mut roster = Roster::default();
    members.for_each(|n| _ = roster.set(&id(n, 1).name, EntryStatus::Expected, address(n)));
    roster
}

/// A member that has just started, with a stored roster of itself alone.
fn started_member(n: usize, seed: usize, now: Ms) -> Node {
    Node::new(config(&[seed]), id(n, 1), address(n), "1", n as u64, now)
        .with_roster(roster(std::iter::once(n)))
}

/// The first datagram of a member that has just started: its own update, to its seed.
fn first_datagram(n: usize, seed: usize, now: Ms) -> Vec<u8> {
    let mut datagrams = Datagrams::new();
    started_member(n, seed, now).tick(now + INTERVAL, &mut datagrams);
    datagrams.into_iter().next().expect("a datagram to its seed").1
}

struct Bench {
    node: Node,
    now: Ms,
    ping: Vec<u8>,
}

impl Bench {
    /// A member that knows all others, and has an update about each to spread.
    fn starting(n: usize) -> Bench {
        let node = Node::new(config(&[PEER]), id(SUBJECT, 1), address(SUBJECT), "1", 1, 0);
        let mut node = node.with_roster(roster(0..n));
        let mut datagrams = Datagrams::new();
        for other in 1..n {
            node.receive(0, address(other), &first_datagram(other, SUBJECT, 0), &mut datagrams);
        }
        // The peer knows nobody but the subject, so it probes that in its first round.
        let mut peer = started_member(PEER, 77, 0);
        peer.receive(0, address(SUBJECT), &first_datagram(SUBJECT, PEER, 0), &mut datagrams);
        datagrams.clear();
        peer.tick(INTERVAL, &mut datagrams);
        let ping =
            datagrams.into_iter().find(|(to, _)| *to == address(SUBJECT)).expect("a ping to the subject").1;
        Bench { node, now: 1, ping }
    }

    /// Handles a datagram as the driver does.
    fn datagram(&mut self) -> usize {
        let mut datagrams = Datagrams::new();
        self.node.receive(self.now, address(PEER), &self.ping, &mut datagrams);
        self.node.tick(self.now, &mut datagrams);
        black_box((
            self.node.has_name_conflict(self.now),
            self.node.may_act(self.now),
            self.node.next_deadline(),
        ));
        datagrams.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Runs until no update is left to spread.
    fn drain_gossip(&mut self) {
        while self.datagram() > 120 {}
    }

    /// Makes the measured member suspect the given members, by reports of another member.
    fn suspect(&mut self, suspects: &[usize], reporter: usize) {
        for &suspect in suspects {
            let mut tries = 0;
            while self.node.state_of(&id(suspect, 1)) != Some(MemberState::Suspect) {
                self.report_suspicion(suspect, reporter, tries);
                tries += 1;
                assert!(tries < 100, "nobody suspects {suspect}");
            }
        }
    }

    fn report_suspicion(&mut self, suspect: usize, by: usize, seed: u64) {
        let own = Node::new(config(&[SUBJECT]), id(by, 1), address(by), "1", seed, 0);
        let mut reporter = own.with_roster(roster(std::iter::once(by)));
        let mut datagrams = Datagrams::new();
        for member in [suspect, SUBJECT] {
            reporter.receive(0, address(member), &first_datagram(member, by, 0), &mut datagrams);
        }
        // In a later round the reporter would exchange its state with the subject, and then probe other
        // members.
        for now in (1..=3 * INTERVAL).step_by(100) {
            datagrams.clear();
            reporter.tick(now, &mut datagrams);
            let (own, mut answers) = (address(by), Datagrams::new());
            for (_, bytes) in datagrams.iter().filter(|(to, _)| *to == address(SUBJECT)) {
                self.node.receive(self.now, own, bytes, &mut answers);
            }
            for (_, bytes) in answers.iter().filter(|(to, _)| *to == own) {
                reporter.receive(now, address(SUBJECT), bytes, &mut Datagrams::new());
            }
        }
    }

    /// Runs the round that is due an interval later. The probed member answers unless it is suspect.
    fn round(&mut self) -> u64 {
        self.now += INTERVAL;
        let (mut datagrams, started_at) = (Datagrams::new(), Instant::now());
        self.node.tick(self.now, &mut datagrams);
        black_box(self.node.next_deadline());
        let spent = started_at.elapsed().as_nanos() as u64;
        for (to, bytes) in datagrams {
            let asked = id(member_index(to), 1);
            if self.node.state_of(&asked) != Some(MemberState::Alive) {
                continue;
            }
            let mut answers = Datagrams::new();
            started_member(member_index(to), 77, self.now).receive(
                self.now,
                address(SUBJECT),
                &bytes,
                &mut answers,
            );
            for (_, answer) in answers {
                self.node.receive(self.now, to, &answer, &mut Datagrams::new());
            }
        }
        spent
    }
}

fn spread(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let percentile = |fraction: f64| values[((values.len() - 1) as f64 * fraction) as usize];
    format!("{:>9} ({} to {}) of {}", percentile(0.5), percentile(0.05), percentile(0.95), values.len())
}

/// Times up to `max_runs` runs, as many as fit into `MAX_SECONDS`.
fn measure_runs(max_runs: usize, mut run: impl FnMut() -> u64) -> String {
    let started_at = Instant::now();
    let mut values = Vec::new();
    while values.len() < max_runs && started_at.elapsed().as_secs() < MAX_SECONDS {
        values.push(run());
    }
    spread(values)
}

fn datagram(bench: &mut Bench) -> u64 {
    let started_at = Instant::now();
    black_box(bench.datagram());
    started_at.elapsed().as_nanos() as u64
}

fn measure(n: usize) {
    let mut bench = Bench::starting(n);
    println!("{n:5} starting, datagram {}", measure_runs(20, || datagram(&mut bench)));
    bench.drain_gossip();
    println!("{n:5} at rest,  datagram {}", measure_runs(MAX_DATAGRAMS, || datagram(&mut bench)));
    println!("{n:5} at rest,  round    {}", measure_runs(MAX_ROUNDS, || bench.round()));
    let reporter = n - 1;
    let suspects: Vec<usize> = (reporter - (n * SUSPECTS_PER_1000).div_ceil(1_000)..reporter).collect();
    bench.suspect(&suspects, reporter);
    bench.drain_gossip();
    let count = (0..n).filter(|m| bench.node.state_of(&id(*m, 1)) == Some(MemberState::Suspect)).count();
    println!(
        "{n:5} with {count} suspects, datagram {}",
        measure_runs(MAX_DATAGRAMS, || datagram(&mut bench))
    );
    println!("{n:5} with {count} suspects, round    {}", measure_runs(10, || bench.round()));
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    println!("nanoseconds, median (5th to 95th percentile)");
    for size in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        measure(size);
    }
}
