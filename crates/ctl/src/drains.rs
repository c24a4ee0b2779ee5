//! `nickelctl drain`: over some senders, or all of a machine, until nothing is left in them.
use crate::journals;
use crate::permits::{self, Place};
use crate::Verdict;
use remote::control::call;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

pub struct Plan {
    /// The folder in which a machine's senders enter themselves.
    pub all: Option<PathBuf>,
    pub addresses: Vec<SocketAddr>,
    /// How long to wait until all are empty.
    pub wait: Duration,
    /// The machine goes for good: what can't be delivered by then is ended.
    pub evacuate: Option<Duration>,
    /// What the machine is called where permits are kept.
    pub machine: String,
    /// Where the senders name a store.
    pub permit: Permits,
    pub act: Act,
    pub json: bool,
}

/// Whether a permit is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permits {
    No,
    Usual,
    /// One that is given though too few of the fleet are present.
    ThoughFew,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Drain,
    Cancel,
    Status,
}

/// How often all are asked.
const EVERY: Duration = Duration::from_millis(200);

/// As a process enters itself.
#[derive(Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    name: String,
    #[serde(default)]
    process: u32,
    control: SocketAddr,
    #[serde(default)]
    state: Option<PathBuf>,
    #[serde(default)]
    permits: Option<Place>,
}

impl Entry {
    fn title(&self) -> String {
        match self.process {
            0 => self.control.to_string(),
            process => format!("{} (process {process}, {})", self.name, self.control),
        }
    }
}

/// What the machine's folder says: processes that live, and the folders of those that don't.
#[derive(Default, PartialEq)]
struct Machine {
    alive: BTreeSet<Entry>,
    left: BTreeSet<PathBuf>,
    /// Files that can't be read: whoever is behind them is not known to be empty.
    unread: Vec<String>,
}

fn look(folder: &Path) -> Result<Machine, String> {
    let mut machine = Machine::default();
    let cannot = |e: std::io::Error| format!("{} can't be read: {e}", folder.display());
    for file in fs::read_dir(folder).map_err(cannot)? {
        let path = file.map_err(cannot)?.path();
        if path.extension().is_none_or(|e| e != "json") {
            continue;
        }
        // One that has gone meanwhile has been told apart by that.
        let Ok(file) = File::open(&path) else { continue };
        // Its process holds a lock that no other can have; the kernel lets it go with the process.
        let lives = match file.try_lock_shared() {
            Ok(()) => false,
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(error)) => {
                machine.unread.push(format!("{}: {error}", path.display()));
                continue;
            }
        };
        let text = fs::read(&path).unwrap_or_default();
        match serde_json::from_slice::<Entry>(&text) {
            Ok(entry) if lives => _ = machine.alive.insert(entry),
            Ok(entry) => machine.left.extend(entry.state),
            Err(error) if lives => machine.unread.push(format!("{}: {error}", path.display())),
            Err(_) => {}
        }
    }
    Ok(machine)
}

/// What one process says of itself; or why nothing.
type State = Result<Value, String>;

fn stage(state: &State) -> &str {
    state.as_ref().ok().and_then(|s| s["stage"].as_str()).unwrap_or("unknown")
}

fn is_empty(state: &State) -> bool {
    state.as_ref().is_ok_and(|s| s["safe_to_switch_off"] == json!(true))
}

fn describe(state: &State) -> String {
    let Ok(value) = state else { return state.as_ref().err().cloned().unwrap_or_default() };
    let left = |kind: &str| value["left"][kind].as_u64().unwrap_or_default();
    let (clients, held, out, notices) = (left("clients"), left("held"), left("out"), left("notices"));
    format!("{}: {held} held, {out} out, {notices} notices, {clients} clients", stage(state))
}

async fn status(at: SocketAddr) -> State {
    let (status, body) = call(at, "GET", "/v1/sender/drain").await?;
    match serde_json::from_str(&body) {
        Ok(value) if status == 200 => Ok(value),
        _ => Err(format!("answers {status}: {}", body.trim())),
    }
}

async fn tell(at: SocketAddr, path: &str) -> Result<(), String> {
    let (status, body) = call(at, "PUT", path).await?;
    match status {
        200..=299 => Ok(()),
        _ => Err(format!("answers {status}: {}", body.trim())),
    }
}

/// What all have come to at one look.
struct Round {
    states: BTreeMap<Entry, State>,
    /// Messages in folders that no process has, by folder.
    left: BTreeMap<PathBuf, Result<usize, String>>,
    unread: Vec<String>,
}

impl Round {
    fn is_empty(&self) -> bool {
        let none = |left: &Result<usize, String>| matches!(left, Ok(0));
        self.unread.is_empty() && self.states.values().all(is_empty) && self.left.values().all(none)
    }

    fn lines(&self) -> Vec<String> {
        let states = self.states.iter().map(|(e, s)| format!("{}: {}", e.title(), describe(s)));
        let left = self.left.iter().filter(|(_, l)| !matches!(l, Ok(0))).map(|(folder, left)| match left {
            Ok(count) => format!("{}: {count} messages, and no process that runs", folder.display()),
            Err(reason) => reason.clone(),
        });
        states.chain(left).chain(self.unread.iter().cloned()).collect()
    }

    fn json(&self) -> Value {
        let states = self.states.iter().map(|(entry, state)| {
            json!({"name": entry.name, "process": entry.process, "control": entry.control,
                "empty": is_empty(state), "state": state.as_ref().ok(), "error": state.as_ref().err()})
        });
        let left = self.left.iter().map(|(folder, left)| {
            json!({"folder": folder, "messages": left.as_ref().ok(), "error": left.as_ref().err()})
        });
        json!({"empty": self.is_empty(), "processes": states.collect::<Vec<_>>(),
            "without_process": left.collect::<Vec<_>>(), "unread": self.unread})
    }
}

struct Work {
    plan: Plan,
    /// Those that were told.
    told: BTreeSet<Entry>,
    /// Folders of processes that were seen and may have gone.
    folders: BTreeSet<PathBuf>,
}

impl Work {
    fn machine(&mut self) -> Result<Machine, String> {
        let mut machine = match &self.plan.all {
            Some(folder) => look(folder)?,
            None => Machine::default(),
        };
        for &control in &self.plan.addresses {
            let (name, process, state, permits) = (control.to_string(), 0, None, None);
            machine.alive.insert(Entry { name, process, control, state, permits });
        }
        self.folders.extend(machine.alive.iter().filter_map(|e| e.state.clone()));
        self.folders.extend(std::mem::take(&mut machine.left));
        // A folder that a living process has is that one's to empty.
        let owned: BTreeSet<&PathBuf> = machine.alive.iter().filter_map(|e| e.state.as_ref()).collect();
        machine.left = self.folders.iter().filter(|f| !owned.contains(f)).cloned().collect();
        Ok(machine)
    }

    /// Tells those that have not been told, and asks all.
    async fn round(&mut self, path: Option<&str>) -> Result<Round, String> {
        let machine = self.machine()?;
        let mut states = BTreeMap::new();
        for entry in &machine.alive {
            let mut state = Ok(Value::Null);
            if let Some(path) = path.filter(|_| !self.told.contains(entry)) {
                match tell(entry.control, path).await {
                    Ok(()) => _ = self.told.insert(entry.clone()),
                    Err(reason) => state = Err(reason),
                }
            }
            if state.is_ok() {
                state = status(entry.control).await;
            }
            states.insert(entry.clone(), state);
        }
        let left = machine.left.iter().map(|f| (f.clone(), journals::count(f))).collect();
        Ok(Round { states, left, unread: machine.unread })
    }
}

pub async fn run(plan: Plan) -> Verdict {
    let (act, json, wait) = (plan.act, plan.json, plan.wait);
    let mut work = Work { plan, told: BTreeSet::new(), folders: BTreeSet::new() };
    let done = match act {
        Act::Cancel => cancel(&mut work).await,
        Act::Status => work.round(None).await,
        Act::Drain => {
            tokio::select! {
                done = drain(&mut work, wait) => done,
                _ = tokio::signal::ctrl_c() => {
                    eprintln!("nickelctl: interrupted; the drain goes on, and --cancel ends it; a permit runs out by itself");
                    return Verdict::Not;
                }
            }
        }
    };
    match done {
        Err(reason) => {
            eprintln!("nickelctl: {reason}");
            Verdict::Unknown
        }
        Ok(round) => {
            let well = if act == Act::Cancel {
                round.states.values().all(|s| s.is_ok()) && round.unread.is_empty()
            } else {
                round.is_empty()
            };
            if json {
                println!("{}", round.json());
            } else {
                round.lines().iter().for_each(|line| println!("{line}"));
                match act {
                    Act::Cancel => {}
                    _ if well => println!("all are empty"),
                    _ => println!("not all are empty"),
                }
            }
            if well {
                Verdict::Well
            } else {
                Verdict::Not
            }
        }
    }
}

async fn drain(work: &mut Work, wait: Duration) -> Result<Round, String> {
    let until = Instant::now() + wait;
    let place =
        work.machine()?.alive.into_iter().find_map(|e| e.permits).filter(|_| work.plan.permit != Permits::No);
    let permit = match place {
        Some(place) => {
            let though_few = work.plan.permit == Permits::ThoughFew;
            let asked = permits::ask(&place, &work.plan.machine, though_few, until).await;
            Some(asked.map_err(|why| {
                    format!(
                        "no permit to drain: {why}; --though-few asks for one though few of the fleet are present, \
                         --without-permit drains all the same"
                    )
                })?)
        }
        None => None,
    };
    // Its own time counts from when it may begin.
    let done = drained(work, Instant::now() + wait, permit.as_ref()).await;
    if let Some(permit) = permit {
        permit.give_back().await;
    }
    done
}

async fn drained(work: &mut Work, until: Instant, permit: Option<&permits::Permit>) -> Result<Round, String> {
    let mut warned = false;
    let path = match work.plan.evacuate {
        Some(within) => format!("/v1/sender/evacuate?within={}ms", within.as_millis()),
        None => "/v1/sender/drain".to_string(),
    };
    let mut shown: Vec<String> = Vec::new();
    loop {
        let round = work.round(Some(&path)).await?;
        if permit.is_some_and(permits::Permit::is_lost) && !std::mem::replace(&mut warned, true) {
            eprintln!("nickelctl: the permit has run out; the drain goes on without");
        }
        let lines = round.lines();
        if !work.plan.json && lines != shown {
            lines.iter().filter(|l| !shown.contains(l)).for_each(|line| eprintln!("{line}"));
            shown = lines;
        }
        // Nobody may have come while they were asked.
        let as_before = work.machine()?.alive.iter().all(|e| round.states.contains_key(e));
        if round.is_empty() && as_before || Instant::now() >= until {
            return Ok(round);
        }
        sleep(EVERY).await;
    }
}

async fn cancel(work: &mut Work) -> Result<Round, String> {
    let machine = work.machine()?;
    let mut states = BTreeMap::new();
    for entry in machine.alive {
        let state = match tell(entry.control, "/v1/sender/activate").await {
            Ok(()) => status(entry.control).await,
            Err(reason) => Err(reason),
        };
        states.insert(entry, state);
    }
    Ok(Round { states, left: BTreeMap::new(), unread: machine.unread })
}
