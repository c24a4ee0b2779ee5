//! One fleet of a run: folders, configurations, hollow senders, real ones, and what lies between them.
use crate::agent::{self, Agent};
use crate::hollows::{Hollows, Seat};
use crate::net::{relay, Net, Place};
use crate::plan::{Begin, Plan, SEEDS};
use crate::real::Real;
use sender::hollow::roster;
use sender::Environment;
use serde_json::json;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use trial::peers::free_address;

const NAME: &str = "scale";
/// On whose account clients hand in.
pub const TENANT: &str = "acme";
/// Destinations of the list that a fleet has.
pub const DESTINATIONS: u32 = 30;
/// The time for a connection that a configuration begins with; a later one has a nanosecond more for each change.
const DIAL_NS: i64 = 1_000_000_000;

/// Everything ends when it is dropped: processes and threads first, then the folder goes.
pub struct Fleet {
    pub reals: Vec<Real>,
    pub hollows: Hollows,
    pub net: Arc<Net>,
    agent: Agent,
    _relays: Relays,
    folder: Folder,
    seed: u64,
    interval_ms: u64,
    /// Changes of the configuration so far.
    changes: i64,
}

/// A folder that goes with its owner.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Made anew.
    pub fn new(path: PathBuf) -> io::Result<Folder> {
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Relays {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// The settings of a configuration, by number of senders.
pub fn settings(senders: usize, dial_ns: i64) -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "PromiseNs": 3_000_000_000u64, "DeadlineNs": 16_000_000_000u64, "Effect": effect,
            "DedupScope": "all", "WindowNs": 15_000_000_000u64, "Worth": 1, "LateWorth": 0.3})
    };
    json!({"NInstances": senders, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["z"],
        "Realms": [{"Name": TENANT, "QuotaPerS": 100.0}], "Weights": "silent",
        "FamilyInfo": {"CallsOut": 400, "KindBatch": [1], "SeparateRoutes": [false]},
        "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
        "Limits": {"MaxOpen": 100, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 20_000_000_000u64,
            "DialTimeoutNs": dial_ns, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
            "OverloadForNs": 2_000_000_000},
        "Services": [class("alert", "keyed"), class("order", "unsafe")]})
}

pub fn name(member: usize) -> String {
    format!("s{member}")
}

/// Replaces a file whole, as the platform does.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    let part = path.with_extension("part");
    std::fs::write(&part, text)?;
    std::fs::rename(part, path)
}

impl Fleet {
    /// Starts `senders` of them in a folder that is made anew. The real ones are the first by number.
    pub fn start(plan: &Plan, senders: usize, program: &Path, folder: PathBuf) -> Result<Fleet, String> {
        let real = plan.real as usize;
        let text = |e: io::Error| e.to_string();
        let (mut sockets, mut places) = (HashMap::new(), Vec::new());
        for member in 0..senders {
            let bound = free_address();
            let mut known_by = bound;
            if member < real {
                let socket = UdpSocket::bind(free_address()).map_err(text)?;
                known_by = socket.local_addr().map_err(text)?;
                sockets.insert(member, socket);
            }
            places.push(Place { bound, known_by });
        }
        let (net, sockets) = (Net::new(places), Arc::new(sockets));
        let mut relays = Relays { stop: Arc::default(), threads: Vec::new() };
        for member in 0..real {
            let (net, sockets, stop) = (net.clone(), sockets.clone(), relays.stop.clone());
            let thread = std::thread::Builder::new().name(format!("relay-{member}"));
            let thread = thread.spawn(move || relay(net, member, sockets, stop));
            relays.threads.push(thread.map_err(text)?);
        }
        let partner = free_address();
        let agent = Agent::start(agent::entries(DESTINATIONS, partner, agent::DOWN)).map_err(text)?;
        let folder = Folder::new(folder).map_err(text)?;
        let hollows = Hollows::start(Vec::new(), senders, &net)?;
        let (seed, interval_ms) = (plan.seed, plan.interval_ms);
        let mut fleet = Fleet {
            reals: Vec::new(),
            hollows,
            net,
            agent,
            _relays: relays,
            folder,
            seed,
            interval_ms,
            changes: 0,
        };
        fleet.write(plan.begin).map_err(text)?;
        let seats = (real..senders).map(|member| fleet.seat(member)).collect();
        fleet.hollows = Hollows::start(seats, senders, &fleet.net)?;
        for member in 0..real {
            let started = Real::start(program, &fleet.of(member), member);
            let started = started.map_err(|e| format!("{} can't be started: {e}", program.display()));
            fleet.reals.push(started?);
        }
        Ok(fleet)
    }

    pub fn senders(&self) -> usize {
        self.net.places().len()
    }

    /// Processes beside the run's own.
    pub fn processes(&self) -> usize {
        self.reals.len()
    }

    /// What the last member's folder has of the roster, bytes.
    pub fn roster_bytes(&self) -> u64 {
        let path = self.of(self.senders() - 1).join("state").join(roster(NAME, std::iter::empty()).0);
        std::fs::metadata(path).map_or(0, |file| file.len())
    }

    fn of(&self, member: usize) -> PathBuf {
        self.folder.0.join(name(member))
    }

    fn seat(&self, member: usize) -> Seat {
        let path = |p: PathBuf| Some(p.to_string_lossy().into_owned());
        let folder = self.of(member);
        let environment = Environment {
            config: path(folder.join("config.json")),
            state: path(folder.join("state")),
            // Nobody listens there.
            listen: Some(SocketAddr::from(([127, 0, 0, 1], 0)).to_string()),
            ..Environment::default()
        };
        Seat { member, environment }
    }

    /// Folders, configurations and, of a fleet that was whole before, rosters.
    fn write(&self, begin: Begin) -> io::Result<()> {
        let names: Vec<String> = (0..self.senders()).map(name).collect();
        let known = names.iter().map(String::as_str).zip(self.net.places().iter().map(|p| p.known_by));
        let (file, roster) = roster(NAME, known);
        for member in 0..self.senders() {
            let state = self.of(member).join("state");
            std::fs::create_dir_all(&state)?;
            if begin == Begin::Kept {
                std::fs::write(state.join(file), &roster)?;
            }
            replace(&self.of(member).join("config.json"), &self.configuration(member))?;
        }
        Ok(())
    }

    /// What the fleet's settings are marked with now.
    pub fn mark(&self) -> i64 {
        DIAL_NS + self.changes
    }

    fn configuration(&self, member: usize) -> String {
        let places = self.net.places();
        let Place { bound, known_by } = places[member];
        // Hollow ones, as real ones are few; all of them where there are no others.
        let first = self.reals_planned().min(places.len() - SEEDS);
        let seeds: Vec<String> =
            places[first..first + SEEDS].iter().map(|p| p.known_by.to_string()).collect();
        let mut membership =
            json!({"address": bound, "fleet": NAME, "seeds": seeds, "interval_ms": self.interval_ms});
        if bound != known_by {
            membership["advertise"] = json!(known_by);
        }
        let seed = format!("{:x}", self.seed.wrapping_mul(1_000).wrapping_add(member as u64));
        json!({"name": name(member), "seed": seed, "discovery": self.agent.address,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256, "disk_mb": 3},
            "known": {"generation": 0, "reset": true, "instances": []},
            "membership": membership, "settings": settings(places.len(), self.mark())})
        .to_string()
    }

    fn reals_planned(&self) -> usize {
        self.net.places().iter().filter(|p| p.bound != p.known_by).count()
    }

    /// The platform replaces all files and tells all of it.
    pub fn change(&mut self) -> io::Result<()> {
        self.changes += 1;
        for member in 0..self.senders() {
            replace(&self.of(member).join("config.json"), &self.configuration(member))?;
        }
        self.hollows.reload();
        self.reals.iter_mut().for_each(Real::reload);
        Ok(())
    }
}
