//! The membership protocol on a real socket: who of the fleet is present, who is missing, and what part of it this sender is
//! in, for operators to see and for duties to rest on. Nothing that concerns a message does; where it is broken or off the
//! sender does the same.
use crate::drain::Drain;
use crate::inbox::Input;
use machine::{Datagrams, Machine};
use membership::{
    Config, DropCounts, Impairment, MemberId, MemberState, MemberView, Node, Roster, RosterError,
};
use membership::{Standing, StrikeError, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, PROTOCOL_VERSION};
use serde::Deserialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// As the configuration has it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    address: String,
    /// Where the others reach it, if that is another address than the one that is bound.
    advertise: Option<String>,
    fleet: String,
    #[serde(default)]
    seeds: Vec<String>,
    interval_ms: Option<u64>,
    /// The highest form of datagrams that is spoken.
    form: Option<u8>,
}

#[derive(Clone, Debug)]
pub struct Settings {
    address: SocketAddr,
    advertise: Option<SocketAddr>,
    fleet: String,
    seeds: Vec<SocketAddr>,
    interval: u64,
    form: u8,
}

impl Settings {
    pub fn read(value: &Value) -> Result<Settings, String> {
        let file = File::deserialize(value).map_err(|e| format!("membership: {e}"))?;
        let address = |text: &str| {
            text.parse::<SocketAddr>().map_err(|e| format!("membership: {text} is no address: {e}"))
        };
        let interval = file.interval_ms.unwrap_or(1_000);
        if !(100..=60_000).contains(&interval) {
            return Err(format!("membership: interval_ms is not from 100 to 60000: {interval}"));
        }
        let form = file.form.unwrap_or(PROTOCOL_VERSION);
        if !(1..=PROTOCOL_VERSION).contains(&form) {
            return Err(format!("membership: form is not from 1 to {PROTOCOL_VERSION}: {form}"));
        }
        if file.fleet.is_empty() {
            return Err("membership: fleet has no name".to_string());
        }
        let seeds = file.seeds.iter().map(|s| address(s)).collect::<Result<_, _>>()?;
        let advertise = file.advertise.as_deref().map(address).transpose()?;
        if advertise.is_some_and(|a| a.ip().is_unspecified() || a.port() == 0) {
            return Err("membership: advertise is no address that others can reach".to_string());
        }
        let address = address(&file.address)?;
        Ok(Settings { address, advertise, fleet: file.fleet, seeds, interval, form })
    }
}

/// Tells fleets apart, so that datagrams of one are not taken by another.
pub fn number(fleet: &str) -> u64 {
    let half = |text: String| u64::from(crc32fast::hash(text.as_bytes()));
    half(fleet.to_string()) << 32 | half(format!("fleet {fleet}"))
}

/// What membership may know of the sender that it speaks for.
pub struct Host {
    pub drain: Rc<Drain>,
    pub core: mpsc::Sender<Input>,
    /// The folder that outlasts the process.
    pub state: PathBuf,
}

impl Host {
    /// Why the sender can't do its work though it answers datagrams: its core does not go on, which waits for the
    /// journal's writes too, or nothing can be written down.
    async fn ill(&self) -> Option<Impairment> {
        let (reply, rest) = oneshot::channel();
        let asked = async {
            let _ = self.core.send(Input::Rest(reply)).await;
            rest.await.is_ok()
        };
        match timeout(PROGRESS, asked).await {
            Ok(true) if self.drain.is_stuck() => Some(Impairment::Journal),
            Ok(true) => None,
            _ => Some(Impairment::Core),
        }
    }
}

pub struct Fleet {
    machine: Rc<dyn Machine>,
    host: Host,
    settings: Settings,
    name: String,
    life: u64,
    seed: u64,
    start: Instant,
    /// None while there is no socket.
    node: RefCell<Option<Node>>,
    leaving: Cell<bool>,
    leave: Notify,
    left: Notify,
    /// Whether this sender may hold a duty of the fleet.
    may_act: watch::Sender<bool>,
    /// What calls have given rise to, to be sent.
    unsent: RefCell<Vec<(SocketAddr, Vec<u8>)>>,
    send_now: Notify,
    /// The roster could not be kept, as was logged.
    unkept: Cell<bool>,
    /// The standing that was logged last, and whether its name is another's too.
    told: Cell<Option<Standing>>,
    conflicts: Cell<bool>,
}

/// The roster's file in the folder, and what is put aside of a later program's.
pub const ROSTER: &str = "roster";
const NEWER: &str = "roster.newer";
/// How often the sender's own work is looked after, and how long an answer of its core may take.
const LOOK: Duration = Duration::from_secs(1);
const PROGRESS: Duration = Duration::from_secs(2);
/// Names of missing members that are logged at most.
const NAMED: usize = 5;

/// How long to wait before the address is tried again: the process before this one may have it.
const AGAIN: Duration = Duration::from_millis(500);
/// A leave is said so often, with so long between.
const SAID: usize = 3;
const BETWEEN: Duration = Duration::from_millis(50);

pub const STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Left, "left"),
    (MemberState::Failed, "failed"),
];

impl Fleet {
    /// `life`: higher than that of any process of this name before.
    pub fn new(
        machine: Rc<dyn Machine>,
        host: Host,
        settings: Settings,
        name: &str,
        life: u64,
        seed: u64,
    ) -> Fleet {
        let mut name = name.to_string();
        while name.len() > MAX_NAME_BYTES {
            name.pop();
        }
        Fleet {
            machine,
            host,
            settings,
            name,
            life,
            seed,
            start: Instant::now(),
            node: RefCell::default(),
            leaving: Cell::default(),
            leave: Notify::new(),
            left: Notify::new(),
            may_act: watch::Sender::new(false),
            unsent: RefCell::default(),
            send_now: Notify::new(),
            unkept: Cell::default(),
            told: Cell::default(),
            conflicts: Cell::default(),
        }
    }

    /// The roster that was kept. One that can't be taken is named, and none is taken: others tell it.
    fn kept(&self) -> Roster {
        let path = self.host.state.join(ROSTER);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Roster::default(),
            Err(error) => {
                tracing::warn!(%error, "the kept roster can't be read");
                return Roster::default();
            }
        };
        Roster::from_json(number(&self.settings.fleet), &text).unwrap_or_else(|reason| {
            tracing::warn!(%reason, "the kept roster is not taken");
            // The program that wrote it may come back.
            if matches!(reason, RosterError::NewerFormat(_)) {
                let _ = std::fs::rename(&path, self.host.state.join(NEWER));
            }
            Roster::default()
        })
    }

    /// Keeps the roster and tells of its standing, where these have changed.
    fn follow_up(&self) {
        let mut node = self.node.borrow_mut();
        let Some(node) = node.as_mut() else { return };
        self.keep(node);
        let standing = node.standing().current;
        if self.told.replace(Some(standing)) != Some(standing) {
            let (present, expected) = node.counts();
            let missing: Vec<&str> = node.missing(self.now()).take(NAMED).map(|e| e.name.as_str()).collect();
            tracing::info!(standing = standing.name(), present, expected, ?missing, "standing");
        }
        let conflicts = node.has_name_conflict(self.now());
        if self.conflicts.replace(conflicts) != conflicts {
            tracing::warn!(
                conflicts,
                "another process has this sender's name, for longer than an upgrade takes"
            );
        }
        let may_act = node.may_act(self.now());
        self.may_act.send_if_modified(|old| std::mem::replace(old, may_act) != may_act);
    }

    /// Looks after the sender's own work, until the core has gone.
    async fn look_after(self: Rc<Self>) {
        while !self.host.core.is_closed() {
            let ill = self.host.ill().await;
            if let Some(node) = self.node.borrow_mut().as_mut() {
                if node.impairment() != ill {
                    tracing::warn!(reason = ill.map_or("", Impairment::name), "impaired");
                }
                node.set_impairment(ill);
            }
            self.follow_up();
            sleep(LOOK).await;
        }
    }

    /// Whether a duty of the fleet may be held here, as it changes.
    pub fn may_act(&self) -> watch::Receiver<bool> {
        self.may_act.subscribe()
    }

    /// Of those who are expected: how many are present, and how many there are.
    pub fn counts(&self) -> (usize, usize) {
        self.node.borrow().as_ref().map_or((0, 0), Node::counts)
    }

    /// Takes a name out of the roster; None where there is no socket yet.
    pub fn strike(&self, name: &str, vouched: bool) -> Option<Result<(), StrikeError>> {
        let mut out = Vec::new();
        let done = self.node.borrow_mut().as_mut().map(|node| node.strike(name, vouched, &mut out));
        self.unsent.borrow_mut().extend(out);
        self.send_now.notify_one();
        done
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Until it leaves.
    pub async fn run(self: Rc<Self>) {
        let mut failing = false;
        let socket = loop {
            match self.machine.datagrams(self.settings.address) {
                Ok(socket) => break socket,
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        let address = self.settings.address;
                        tracing::warn!(%error, %address, "no address for membership yet; trying again");
                    }
                    tokio::select! {
                        () = sleep(AGAIN) => {}
                        () = self.leave.notified() => return self.left.notify_one(),
                    }
                }
            }
        };
        let address = self.settings.advertise.or(socket.address().ok()).unwrap_or(self.settings.address);
        let mut config = Config::new(number(&self.settings.fleet), self.settings.seeds.clone());
        config.interval = self.settings.interval;
        config.timeout = self.settings.interval * 3 / 10;
        config.protocol_version = self.settings.form;
        let id = MemberId { name: self.name.clone(), generation: self.life };
        let node = Node::new(config, id, address, env!("CARGO_PKG_VERSION"), self.seed, self.now());
        self.node.replace(Some(node.with_roster(self.kept())));
        let looking = tokio::task::spawn_local(self.clone().look_after());
        tracing::info!(%address, fleet = self.settings.fleet, "membership");
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = self.node.borrow().as_ref().map_or(0, Node::next_deadline);
            let came = tokio::select! {
                // A receive that fails tells of a datagram that did not arrive; the next may.
                came = socket.receive(&mut buffer) => came.ok(),
                () = sleep_until(self.start + Duration::from_millis(wake)) => None,
                () = self.send_now.notified() => None,
                () = self.leave.notified() => break,
            };
            let mut out = std::mem::take(&mut *self.unsent.borrow_mut());
            if let Some(node) = self.node.borrow_mut().as_mut() {
                if let Some((length, from)) = came {
                    node.receive(self.now(), from, &buffer[..length], &mut out);
                }
                node.tick(self.now(), &mut out);
            }
            self.follow_up();
            send(&*socket, out).await;
        }
        looking.abort();
        for _ in 0..SAID {
            let mut out = Vec::new();
            if let Some(node) = self.node.borrow_mut().as_mut() {
                node.resend_leave(&mut out);
                // The next start must know that its name has left, or it would count where others don't count it.
                self.keep(node);
            }
            send(&*socket, out).await;
            sleep(BETWEEN).await;
        }
        self.left.notify_one();
    }

    /// Keeps the roster, if it has changed.
    fn keep(&self, node: &mut Node) {
        if node.take_roster_changed() {
            let text = node.roster().to_json(number(&self.settings.fleet));
            let kept = replace(&self.host.state.join(ROSTER), &text);
            if let (Err(error), false) = (&kept, self.unkept.replace(kept.is_err())) {
                tracing::warn!(%error, "the roster can't be kept");
            }
        }
    }

    /// Says that this process goes, and waits until that is said. `succeeded`: another one goes on under its name.
    pub async fn leave(&self, succeeded: bool) {
        if !self.leaving.replace(true) {
            if let Some(node) = self.node.borrow_mut().as_mut().filter(|_| succeeded) {
                node.set_replaced();
            }
            self.leave.notify_one();
            self.left.notified().await;
        }
    }

    pub fn members(&self) -> Vec<MemberView> {
        self.node.borrow().as_ref().map_or(Vec::new(), |node| node.members(self.now()))
    }

    pub fn dropped(&self) -> DropCounts {
        self.node.borrow().as_ref().map_or(DropCounts::default(), |node| node.dropped)
    }

    pub fn json(&self) -> Value {
        let state =
            |s: MemberState| STATES.iter().find(|(state, _)| *state == s).map_or("", |(_, name)| name);
        let row = |v: MemberView| {
            json!({"name": v.id.name, "process": v.id.generation, "address": v.address, "version": v.version,
                "state": state(v.state), "incarnation": v.incarnation, "for_ms": v.for_ms, "by": v.by,
                "conflicts": v.conflicts, "expected": v.expected, "standing": v.standing.map(Standing::name),
                "impaired": v.impairment.map(Impairment::name), "differs_ms": v.differs_ms})
        };
        let members: Vec<Value> = self.members().into_iter().map(row).collect();
        let standing = self.node.borrow().as_ref().map(|node| {
            let (held, (present, expected)) = (node.standing(), node.counts());
            let missing: Vec<&str> = node.missing(self.now()).map(|e| e.name.as_str()).collect();
            json!({"name": held.current.name(), "for_ms": self.now().saturating_sub(held.since),
                "changes": held.changes, "may_act": node.may_act(self.now()), "present": present, "expected": expected, "missing": missing,
                "roster": node.roster().digest()})
        });
        json!({"fleet": self.settings.fleet, "name": self.name, "process": self.life, "standing": standing,
            "members": members})
    }

    /// The standing that counts, and how often it has changed; None while there is no socket.
    pub fn standing(&self) -> Option<(Standing, u64)> {
        self.node.borrow().as_ref().map(|node| (node.standing().current, node.standing().changes))
    }
}

/// Replaces a small file whole.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("part");
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

async fn send(socket: &dyn Datagrams, out: Vec<(SocketAddr, Vec<u8>)>) {
    for (to, bytes) in out {
        // One that can't be sent is one that is lost.
        let _ = socket.send(&bytes, to).await;
    }
}
