//! What a datagram and a round cost one member, by the fleet's size: at rest, with 2.8% of the others suspect, and with a
//! word on every member to pass on, as after a start.
//!
//!     cargo bench -p membership --bench cost [-- SIZE...]
//!
//! A datagram is a ping that is received and answered, and what the driver does after it. A round is a tick that asks
//! another, whose answer is not in the figure. Nanoseconds, the median (5th to 95th percentile) of many.
#[path = "../tests/network/mod.rs"]
mod network;
use membership::{EntryStatus, MemberState, Ms, Node, Roster};
use network::{address, config, id, member_index, INTERVAL};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

const SIZES: [usize; 4] = [30, 150, 510, 3_000];
/// The member that is measured, and one that it hears.
const SUBJECT: usize = 0;
const PEER: usize = 1;
/// Suspects of 1,000 others.
const SUSPECTS: usize = 28;
/// Datagrams and rounds that are measured at most; fewer where each takes long.
const DATAGRAMS: usize = 2_000;
const ROUNDS: usize = 400;
const SECONDS: u64 = 4;

type Out = Vec<(SocketAddr, Vec<u8>)>;

fn roster(members: impl Iterator<Item = usize>) -> Roster {
    let mut roster = Roster::default();
    members.for_each(|n| _ = roster.set(&id(n, 1).name, EntryStatus::Expected, address(n)));
    roster
}

/// A member that has just started and has kept the roster of a fleet of itself.
fn started(n: usize, seed: usize, now: Ms) -> Node {
    Node::new(config(&[seed]), id(n, 1), address(n), "1", n as u64, now)
        .with_roster(roster(std::iter::once(n)))
}

/// What one that has just started says first: its own word, to its seed.
fn first_word(n: usize, seed: usize, now: Ms) -> Vec<u8> {
    let mut out = Out::new();
    started(n, seed, now).tick(now + INTERVAL, &mut out);
    out.into_iter().next().expect("it asks its seed").1
}

struct Bench {
    node: Node,
    now: Ms,
    ping: Vec<u8>,
}

impl Bench {
    /// Knows all, and has a word on each to pass on.
    fn starting(n: usize) -> Bench {
        let node = Node::new(config(&[PEER]), id(SUBJECT, 1), address(SUBJECT), "1", 1, 0);
        let mut node = node.with_roster(roster(0..n));
        let mut out = Out::new();
        for other in 1..n {
            node.receive(0, address(other), &first_word(other, SUBJECT, 0), &mut out);
        }
        // The peer knows nobody but the subject, so it asks that in its first round.
        let mut peer = started(PEER, 77, 0);
        peer.receive(0, address(SUBJECT), &first_word(SUBJECT, PEER, 0), &mut out);
        out.clear();
        peer.tick(INTERVAL, &mut out);
        let ping = out.into_iter().find(|(to, _)| *to == address(SUBJECT)).expect("it asks the subject").1;
        Bench { node, now: 1, ping }
    }

    /// A datagram as the driver takes it.
    fn datagram(&mut self) -> usize {
        let mut out = Out::new();
        self.node.receive(self.now, address(PEER), &self.ping, &mut out);
        self.node.tick(self.now, &mut out);
        black_box((
            self.node.has_name_conflict(self.now),
            self.node.may_act(self.now),
            self.node.next_deadline(),
        ));
        out.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Until no word is left to pass on.
    fn rest(&mut self) {
        while self.datagram() > 120 {}
    }

    /// Another says that some are suspect. It was not answered by them.
    fn suspect(&mut self, suspects: &[usize], accuser: usize) {
        for &suspect in suspects {
            let mut tries = 0;
            while self.node.state_of(&id(suspect, 1)) != Some(MemberState::Suspect) {
                self.accuse(suspect, accuser, tries);
                tries += 1;
                assert!(tries < 100, "nobody suspects {suspect}");
            }
        }
    }

    fn accuse(&mut self, suspect: usize, by: usize, seed: u64) {
        let own = Node::new(config(&[SUBJECT]), id(by, 1), address(by), "1", seed, 0);
        let mut accuser = own.with_roster(roster(std::iter::once(by)));
        let mut out = Out::new();
        for one in [suspect, SUBJECT] {
            accuser.receive(0, address(one), &first_word(one, by, 0), &mut out);
        }
        // In a later round it would ask for all that the subject knows, and then ask others.
        for now in (1..=3 * INTERVAL).step_by(100) {
            out.clear();
            accuser.tick(now, &mut out);
            let (own, mut answers) = (address(by), Out::new());
            for (_, bytes) in out.iter().filter(|(to, _)| *to == address(SUBJECT)) {
                self.node.receive(self.now, own, bytes, &mut answers);
            }
            for (_, bytes) in answers.iter().filter(|(to, _)| *to == own) {
                accuser.receive(now, address(SUBJECT), bytes, &mut Out::new());
            }
        }
    }

    /// What is due an interval later; whoever is asked and is not suspect answers.
    fn round(&mut self) -> u64 {
        self.now += INTERVAL;
        let (mut out, begun) = (Out::new(), Instant::now());
        self.node.tick(self.now, &mut out);
        black_box(self.node.next_deadline());
        let spent = begun.elapsed().as_nanos() as u64;
        for (to, bytes) in out {
            let asked = id(member_index(to), 1);
            if self.node.state_of(&asked) != Some(MemberState::Alive) {
                continue;
            }
            let mut answers = Out::new();
            started(member_index(to), 77, self.now).receive(self.now, address(SUBJECT), &bytes, &mut answers);
            for (_, answer) in answers {
                self.node.receive(self.now, to, &answer, &mut Out::new());
            }
        }
        spent
    }
}

fn spread(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let at = |part: f64| values[((values.len() - 1) as f64 * part) as usize];
    format!("{:>9} ({} to {}) of {}", at(0.5), at(0.05), at(0.95), values.len())
}

/// The time of each of so many turns, or of as many as fit.
fn timed(most: usize, mut turn: impl FnMut() -> u64) -> String {
    let begun = Instant::now();
    let mut values = Vec::new();
    while values.len() < most && begun.elapsed().as_secs() < SECONDS {
        values.push(turn());
    }
    spread(values)
}

fn datagram(bench: &mut Bench) -> u64 {
    let begun = Instant::now();
    black_box(bench.datagram());
    begun.elapsed().as_nanos() as u64
}

fn measure(n: usize) {
    let mut bench = Bench::starting(n);
    println!("{n:5} starting, datagram {}", timed(20, || datagram(&mut bench)));
    bench.rest();
    println!("{n:5} at rest,  datagram {}", timed(DATAGRAMS, || datagram(&mut bench)));
    println!("{n:5} at rest,  round    {}", timed(ROUNDS, || bench.round()));
    let accuser = n - 1;
    let suspects: Vec<usize> = (accuser - (n * SUSPECTS).div_ceil(1_000)..accuser).collect();
    bench.suspect(&suspects, accuser);
    bench.rest();
    let count = (0..n).filter(|m| bench.node.state_of(&id(*m, 1)) == Some(MemberState::Suspect)).count();
    println!("{n:5} with {count} suspects, datagram {}", timed(DATAGRAMS, || datagram(&mut bench)));
    println!("{n:5} with {count} suspects, round    {}", timed(10, || bench.round()));
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    println!("nanoseconds, median (5th to 95th percentile)");
    for size in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        measure(size);
    }
}
