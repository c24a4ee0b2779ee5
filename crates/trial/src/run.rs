//! Plays one trial: starts the fleet, puts the faults between, watches, and hears the judges.
use crate::disk::DiskWatch;
use crate::etcd::Etcd;
use crate::file::{strikes, Fault, Folder, Trial, What as Do, Who};
use crate::front::{carry, Fabric, Member};
use crate::history::{Event, History, Us, What, MS, SECOND};
use crate::judges::{alive, disagreement, figures, judge, Figures, Finding, Terms};
use crate::link::{Party, Rule};
use crate::peers::{free_address, program};
use crate::process::{bound, copy, Process, Start, LOOK};
use crate::stage::{exchange, Stage};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use world::plan::{random, Plan};

/// What a trial came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Verdict {
    pub trial: String,
    pub seed: u64,
    pub senders: usize,
    pub findings: Vec<Finding>,
    pub figures: Figures,
    /// Bounds were stretched so many times, as the machine was busy.
    pub stretch: f64,
    /// Why the run itself says nothing: the rig starved, or the history dropped events.
    pub void: Option<String>,
}

/// What is played, and where.
#[derive(Clone, Debug)]
pub struct Play {
    pub trial: Trial,
    pub seed: u64,
    /// Configurations, journals and logs; made anew.
    pub folder: PathBuf,
    /// The program that is tried; the one beside this if not given.
    pub program: Option<PathBuf>,
}

/// One sender of the fleet. Twins stand behind the others and get no clients.
struct Sender {
    folder: PathBuf,
    listen: SocketAddr,
    lives: Cell<u32>,
    /// The newest life that has taken clients.
    ready: Cell<u32>,
    current: RefCell<Option<Process>>,
    /// Processes that upgrades replace, the oldest first.
    older: RefCell<Vec<Process>>,
    /// Some fault starts and ends its processes; no other does meanwhile.
    is_claimed: Cell<bool>,
}

/// A sender whose processes one fault starts and ends.
struct Claim<'a> {
    number: usize,
    is_claimed: &'a Cell<bool>,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        self.is_claimed.set(false);
    }
}

impl Sender {
    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    fn control(&self) -> Option<(SocketAddr, u32)> {
        self.current.borrow().as_ref().map(|p| (p.control, p.life))
    }

    /// Has each of its processes looked at, those that end included.
    fn each(&self, mut look: impl FnMut(&mut Process)) {
        self.older.borrow_mut().iter_mut().for_each(&mut look);
        self.current.borrow_mut().iter_mut().for_each(look);
    }

    /// Takes those out that have ended: their lives, and whether nobody had asked for that.
    fn ended(&self) -> Vec<(u32, bool)> {
        let mut ended = Vec::new();
        let mut stays = |process: &mut Process| match process.ended() {
            Some(faulty) => {
                ended.push((process.life, faulty));
                false
            }
            None => true,
        };
        self.older.borrow_mut().retain_mut(&mut stays);
        let mut current = self.current.borrow_mut();
        if current.as_mut().is_some_and(|process| !stays(process)) {
            current.take();
        }
        ended
    }

    fn is_there(&self, life: u32) -> bool {
        let mut found = false;
        self.each(|process| found |= process.life == life);
        found
    }

    /// What its wall clock is off by; read by the build for tests.
    fn shift(&self) -> PathBuf {
        self.folder.join(SHIFT)
    }
}

/// Members by one sender's word: name, life and state.
type View = Vec<(String, u64, String)>;

struct Rig {
    trial: Trial,
    seed: u64,
    folder: PathBuf,
    program: PathBuf,
    stage: Rc<Stage>,
    fabric: Rc<Fabric>,
    history: Rc<History>,
    senders: Vec<Sender>,
    store: Option<Etcd>,
    disk: DiskWatch,
    /// Calls of the operators' tool that drain a machine.
    drains: RefCell<Vec<(usize, Child)>>,
    /// What each sender told last.
    views: RefCell<BTreeMap<usize, View>>,
    /// Of those that told their standing: whether they miss nobody.
    standings: RefCell<BTreeMap<usize, bool>>,
    pending: RefCell<BTreeMap<usize, u64>>,
    held: RefCell<BTreeMap<usize, Option<i64>>>,
    /// Polls that began before this moment do not count as news.
    quiet: Cell<Us>,
    late: Cell<Us>,
}

/// The rig's own clock is looked at so often, and what is less late than this is usual.
const TICK: Duration = Duration::from_millis(10);
const USUAL: Us = 50 * MS;
/// Later than this the run says nothing.
const STARVED: Us = 3 * SECOND;
/// How often control addresses are asked.
const POLL: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(2);
/// PROTOCOL: the next start comes 0.6 s after SIGKILL, that no sooner than 3.7 s after SIGTERM.
const RESTART: Duration = Duration::from_millis(600);
const TERM: Duration = Duration::from_millis(3_700);
/// After the last message's time: what all together need to come to rest.
const SETTLES: Us = 12 * SECOND;
/// Beside its folder: the milliseconds that the build for tests adds to its wall clock.
const SHIFT: &str = "clock-shift";
/// For a start, on a machine that is busy.
const STARTS: Duration = Duration::from_secs(20);

/// Plays a trial on this thread. Errors are of the rig itself (files, sockets, a program that is not there).
pub fn play(play: Play) -> Result<(Verdict, Rc<History>), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let rig = Rig::build(play).await.map_err(|e| format!("the rig can't be set up: {e}"))?;
        tokio::select! {
            played = rig.run() => played,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

impl Rig {
    async fn build(play: Play) -> io::Result<Rc<Rig>> {
        let Play { trial, seed, folder, program: given } = play;
        let trial = trial.drawn(seed);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let plan = Plan::draw(&trial.day, seed);
        let history = Rc::new(History::default());
        let fabric = Fabric::new(history.clone(), random(seed, 50));
        let count = trial.fleet.senders;
        let twins = trial.faults.iter().filter(|f| matches!(f.what, Do::Twin { .. })).count();
        let listens: Vec<SocketAddr> = (0..count + twins).map(|_| free_address()).collect();
        let stage = Stage::new(plan, fabric.clone(), listens.clone());
        let store = trial.fleet.duties.map(|_| Etcd::new());
        let mut rig = Rig {
            seed,
            disk: DiskWatch::start(&folder)?,
            folder,
            program: given.unwrap_or_else(|| match trial.sets_clocks() {
                true => program("examples/other_clock"),
                false => program("nickelshed"),
            }),
            stage,
            fabric,
            history,
            senders: Vec::new(),
            store,
            trial,
            drains: RefCell::default(),
            views: RefCell::default(),
            standings: RefCell::default(),
            pending: RefCell::default(),
            held: RefCell::default(),
            quiet: Cell::new(Us::MAX),
            late: Cell::new(0),
        };
        let mut members = Vec::new();
        for _ in 0..count + twins {
            let bound = std::net::UdpSocket::bind(free_address())?.local_addr()?;
            members.push(Member { bound, front: UdpSocket::bind("127.0.0.1:0").await? });
        }
        for (number, listen) in listens.into_iter().enumerate() {
            let sender = rig.sender(number, listen, &members).await?;
            rig.senders.push(sender);
        }
        carry(&rig.fabric, Rc::new(members));
        Ok(Rc::new(rig))
    }

    async fn sender(&self, number: usize, listen: SocketAddr, members: &[Member]) -> io::Result<Sender> {
        let (count, fleet) = (self.trial.fleet.senders, &self.trial.fleet);
        // A twin has its own machine and its model's name and settings.
        let twin_of = (number >= count).then(|| self.models()[number - count]);
        let like = twin_of.unwrap_or(number);
        let machine = if twin_of.is_some() { number } else { number / fleet.per_machine };
        let folder = self.folder.join(format!("s{number}"));
        std::fs::create_dir_all(folder.join("state"))?;
        let registry = self.registry(machine);
        std::fs::create_dir_all(&registry)?;
        let (list, agent) = self.stage.meet(number).await?;
        let mut config = self.stage.configuration(like, &list);
        config["name"] = format!("s{like}").into();
        config["discovery"] = agent.to_string().into();
        config["registry"] = registry.to_string_lossy().into();
        let address = |m: &Member| m.front.local_addr().map(|a| a.to_string());
        if let Some(interval) = fleet.membership {
            let seeds = members.iter().take(2).map(address).collect::<io::Result<Vec<_>>>()?;
            config["membership"] = json!({"address": members[number].bound.to_string(),
                "advertise": address(&members[number])?, "fleet": "trial", "seeds": seeds,
                "interval_ms": interval.0 / 1_000_000});
        }
        if let (Some(ttl), Some(store)) = (fleet.duties, &self.store) {
            // Three addresses that answer as one.
            let mut addresses = Vec::new();
            for to in [store.address, store.also(), store.also()] {
                let at = self.fabric.relay(Party::Sender(number), Party::Store, to).await?;
                addresses.push(at.to_string());
            }
            config["duties"] = json!({"store": addresses, "prefix": "fleet/", "drains": fleet.drains,
                "ttl_s": (ttl.0 / 1_000_000_000).max(1)});
        }
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let (lives, ready, current, older, is_claimed) = Default::default();
        Ok(Sender { folder, listen, lives, ready, current, older, is_claimed })
    }

    /// Of each fault that starts a twin: whose name it takes.
    fn models(&self) -> Vec<usize> {
        let faults = self.trial.faults.iter().enumerate();
        let twins = faults.filter_map(|(i, f)| match &f.what {
            Do::Twin { who, .. } => Some((i, *who)),
            _ => None,
        });
        twins.map(|(i, who)| self.struck(i, who).first().copied().unwrap_or(0)).collect()
    }

    fn registry(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("machine-{machine}"))
    }

    /// Which senders a fault strikes, by its number.
    fn struck(&self, fault: usize, who: Who) -> Vec<usize> {
        let mut draws = random(self.seed, 2_000 + fault as u64);
        strikes(who, self.trial.fleet.senders, self.holder(), &mut draws)
    }

    /// Who holds the duty by the store's own word.
    fn holder(&self) -> Option<usize> {
        let store = self.store.as_ref()?;
        let value = store.first_created("fleet/duties/drain-permits/holders/")?;
        value.strip_prefix('s')?.split(' ').next()?.parse().ok()
    }

    fn start(self: &Rc<Self>, number: usize) -> io::Result<()> {
        let sender = &self.senders[number];
        let life = sender.lives.get() + 1;
        sender.lives.set(life);
        let start = Start {
            program: &self.program,
            config: &sender.folder.join("config.json"),
            state: &sender.state(),
            log: &sender.folder.join("log"),
            listen: sender.listen,
            control: free_address(),
            life,
        };
        let process = Process::start(&start)?;
        self.history.add(What::Started { sender: number, life, process: process.id() });
        sender.current.replace(Some(process));
        let rig = self.clone();
        spawn_local(async move {
            if rig.ready(number, life).await {
                rig.senders[number].ready.set(life);
                rig.history.add(What::Ready { sender: number, life });
            }
        });
        Ok(())
    }

    /// Waits until this life takes clients, as long as it is the newest.
    async fn ready(&self, number: usize, life: u32) -> bool {
        loop {
            let Some((control, now)) = self.senders[number].control() else { return false };
            if now != life {
                return false;
            }
            // Not through the fronts: the platform is on the same machine.
            if answers(control, "/v1/readyz").await {
                return true;
            }
            sleep(TICK).await;
        }
    }

    /// Waits until its newest process takes clients, also one that is not started yet.
    async fn until_ready(&self, number: usize) -> bool {
        let ready = async {
            loop {
                match self.senders[number].control() {
                    Some((_, life)) if self.ready(number, life).await => return,
                    _ => sleep(TICK).await,
                }
            }
        };
        timeout(STARTS, ready).await.is_ok()
    }

    fn signal(&self, number: usize, signal: i32) {
        if let Some((_, life)) = self.senders[number].control() {
            self.signal_life(number, life, signal);
        }
    }

    /// Signals one life, also where an upgrade replaces it.
    fn signal_life(&self, number: usize, life: u32, signal: i32) {
        self.senders[number].each(|process| {
            if process.life == life {
                self.history.add(What::Signalled { sender: number, life, signal });
                process.signal(signal);
            }
        });
    }

    /// Those of them whose processes no other fault starts and ends just now.
    fn claim(&self, senders: &[usize]) -> Vec<Claim<'_>> {
        let all = senders.iter().map(|s| (*s, &self.senders[*s].is_claimed));
        let free = all.filter(|(_, is_claimed)| !is_claimed.replace(true));
        free.map(|(number, is_claimed)| Claim { number, is_claimed }).collect()
    }

    /// Notes who has ended, and how late this task itself comes.
    async fn watch(self: Rc<Self>) {
        let mut looked = Instant::now();
        loop {
            let began = Instant::now();
            sleep(TICK).await;
            let late = (began.elapsed().saturating_sub(TICK)).as_micros() as Us;
            if late > USUAL {
                self.history.add(What::Starved { by: late });
                self.late.set(self.late.get().max(late));
            }
            for (number, sender) in self.senders.iter().enumerate() {
                for (life, faulty) in sender.ended() {
                    self.history.add(What::Ended { sender: number, life, faulty });
                }
            }
            if looked.elapsed() >= LOOK {
                looked = Instant::now();
                self.look_at_waits();
                self.look_at_disk();
            }
            self.drains.borrow_mut().retain_mut(|(machine, child)| match child.try_wait() {
                Ok(Some(status)) => {
                    let code = status.code().unwrap_or(-1);
                    self.history.add(What::DrainEnded { machine: *machine, code });
                    false
                }
                _ => true,
            });
        }
    }

    /// How long senders are ready to run and have no core: what they do late by that is not theirs.
    fn look_at_waits(&self) {
        for (sender, all) in self.senders.iter().enumerate() {
            all.each(|process| {
                let by = process.waited().map_or(0, |waited| waited.as_micros() as Us);
                if by > USUAL && by > self.late.get() {
                    self.history.add(What::Waited { sender, by });
                    self.late.set(by);
                }
            });
        }
    }

    /// What waits for a write to a disk that stands is late, and not by the sender's doing.
    fn look_at_disk(&self) {
        let by = self.disk.longest().as_micros() as Us;
        if by > USUAL && by > self.late.get() {
            self.history.add(What::Stalled { by });
            self.late.set(by);
        }
    }

    /// Asks one sender's control address again and again.
    async fn poll(self: Rc<Self>, number: usize) {
        loop {
            sleep(POLL).await;
            let Some((control, _)) = self.senders[number].control() else { continue };
            let asked = self.history.now();
            let ask = |path: &'static str| {
                let (fabric, request) = (self.fabric.clone(), request(path));
                async move {
                    let asked = exchange(&fabric, Party::Operator, number, control, request);
                    let (status, body) = timeout(PATIENCE, asked).await.ok().flatten()?;
                    (status == StatusCode::OK).then_some(body)
                }
            };
            if let Some(body) = ask("/v1/metrics").await {
                self.heard_figures(number, asked, &String::from_utf8_lossy(&body));
            }
            if self.trial.fleet.membership.is_some() {
                if let Some(value) = ask("/v1/members").await.and_then(|b| serde_json::from_slice(&b).ok()) {
                    self.heard_members(number, asked, &value);
                }
            }
            if self.trial.fleet.duties.is_some() {
                let value: Option<Value> =
                    ask("/v1/duties").await.and_then(|b| serde_json::from_slice(&b).ok());
                // Without an answer nobody can say that it holds it.
                let held = value.and_then(|v| v["duties"][0]["held_here"].as_i64());
                self.history.add(What::Duty { sender: number, asked, held });
                if asked >= self.quiet.get() {
                    self.held.borrow_mut().insert(number, held);
                }
            }
        }
    }

    fn heard_figures(&self, sender: usize, asked: Us, text: &str) {
        let line = text.lines().find_map(|l| l.strip_prefix("sender_pending "));
        let Some(count) = line.and_then(|n| n.trim().parse::<f64>().ok()).map(|n| n as u64) else { return };
        self.history.add(What::Pending { sender, count });
        if asked >= self.quiet.get() {
            self.pending.borrow_mut().insert(sender, count);
        }
    }

    fn heard_members(&self, sender: usize, asked: Us, value: &Value) {
        let row = |m: &Value| {
            let text = |key: &str| Some(m[key].as_str()?.to_string());
            Some((text("name")?, m["process"].as_u64()?, text("state")?))
        };
        let rows = value["members"].as_array().into_iter().flatten();
        let view: Vec<_> = rows.filter_map(row).collect();
        if asked >= self.quiet.get() {
            self.views.borrow_mut().insert(sender, view.clone());
        }
        self.history.add(What::Members { sender, asked, view });
        let number = |key: &str| value["standing"][key].as_u64().unwrap_or_default();
        // Programs of before tell none.
        if let Some(standing) = value["standing"]["name"].as_str().map(String::from) {
            let (present, expected) = (number("present"), number("expected"));
            if asked >= self.quiet.get() {
                self.standings.borrow_mut().insert(sender, standing == "whole");
            }
            self.history.add(What::Standing { sender, asked, standing, present, expected });
        }
    }

    /// Whether all that is waited for at the end is so.
    fn is_settled(&self) -> bool {
        let count = self.trial.fleet.senders;
        let empty = self.pending.borrow().values().filter(|p| **p == 0).count() >= count;
        let views: BTreeMap<_, _> = self.views.borrow().iter().map(|(s, v)| (*s, alive(v))).collect();
        let agreed = self.trial.fleet.membership.is_none() || disagreement(&views, count).is_none();
        let held = self.trial.fleet.duties.is_none() || self.held.borrow().values().any(Option::is_some);
        let whole = self.standings.borrow().values().all(|whole| *whole);
        empty && agreed && whole && held && self.stage.trying.get() == 0
    }

    fn stretch(&self) -> f64 {
        1.0 + self.late.get() as f64 / (250 * MS) as f64
    }

    async fn run(self: Rc<Self>) -> Result<(Verdict, Rc<History>), String> {
        let count = self.trial.fleet.senders;
        spawn_local(self.clone().watch());
        for number in 0..count {
            self.start(number).map_err(|e| format!("{} can't be started: {e}", self.program.display()))?;
        }
        for number in 0..count {
            if !self.until_ready(number).await {
                let log =
                    std::fs::read_to_string(self.senders[number].folder.join("log")).unwrap_or_default();
                return Err(format!("sender {number} does not become ready: {log}"));
            }
        }
        for number in 0..self.senders.len() {
            spawn_local(self.clone().poll(number));
        }
        let begin = Instant::now();
        let length = Duration::from_nanos(self.trial.length.0 as u64);
        for number in 0..self.trial.faults.len() {
            spawn_local(self.clone().fault(number, begin));
        }
        for number in 0..self.stage.plan.happenings.len() {
            spawn_local(self.clone().trouble(number, begin));
        }
        spawn_local(self.stage.clone().clients(length));
        sleep_until(begin + length).await;
        self.settle().await;
        for number in 0..self.senders.len() {
            self.signal(number, libc::SIGKILL);
        }
        self.merge_store();
        Ok((self.verdict(), self.history.clone()))
    }

    /// Waits until everything has come to rest, or as long as that may take.
    async fn settle(&self) {
        for number in 0..self.trial.fleet.senders {
            self.until_ready(number).await;
        }
        self.history.add(What::Quiet);
        let quiet = self.history.now();
        self.quiet.set(quiet);
        let longest = self.trial.longest() as Us / 1_000;
        loop {
            let bound = ((longest + SETTLES) as f64 * self.stretch()) as Us;
            if self.is_settled() || self.history.now() > quiet + bound {
                break;
            }
            sleep(TICK).await;
        }
        self.history.add(What::Over);
    }

    fn merge_store(&self) {
        let Some(store) = &self.store else { return };
        let changes = store.state(|s| s.changes.clone());
        let event = |c: crate::etcd::Change| {
            let what = What::Stored { key: c.key, value: c.value, revision: c.revision };
            Event { at: self.history.at(c.at), what }
        };
        let over = self.history.with(|e| e.last().map_or(0, |e| e.at));
        let events = changes.into_iter().map(event).filter(|e| e.at <= over).collect();
        self.history.merge(events);
    }

    fn verdict(&self) -> Verdict {
        let fleet = &self.trial.fleet;
        let terms = Terms {
            senders: fleet.senders,
            per_machine: fleet.per_machine,
            membership: fleet.membership.is_some(),
            duties: fleet.duties.is_some(),
            drains: fleet.drains,
            stretch: self.stretch(),
        };
        let void = match (self.history.dropped(), self.late.get()) {
            (0, late) if late > STARVED => Some(format!("the rig stood still for {} ms", late / MS)),
            (0, _) => None,
            (dropped, _) => Some(format!("the history dropped {dropped} events")),
        };
        let (findings, figures) = self.history.with(|events| (judge(events, &terms), figures(events)));
        Verdict {
            trial: self.trial.name.clone(),
            seed: self.seed,
            senders: fleet.senders,
            findings,
            figures,
            stretch: terms.stretch,
            void,
        }
    }

    async fn trouble(self: Rc<Self>, number: usize, begin: Instant) {
        let happening = &self.stage.plan.happenings[number];
        sleep_until(begin + Duration::from_nanos(happening.at as u64)).await;
        let (name, senders) = (format!("partners {:?}", happening.what), Vec::new());
        let number = self.trial.faults.len() + number;
        let event = |begins| What::Fault { number, name: name.clone(), senders: senders.clone(), begins };
        self.history.add(event(true));
        // The plan counts from the clients' first moment, the partners from the rig's.
        let shift = (self.history.now() * 1_000) as i64 - happening.at;
        self.stage.strike(&happening.what, &happening.partners, happening.ends + shift);
        sleep_until(begin + Duration::from_nanos(happening.ends as u64)).await;
        self.stage.heal(&happening.what, &happening.partners);
        self.history.add(event(false));
    }

    async fn fault(self: Rc<Self>, number: usize, begin: Instant) {
        let fault = self.trial.faults[number].clone();
        sleep_until(begin + Duration::from_nanos(fault.at.0 as u64)).await;
        let ends = begin + Duration::from_nanos((fault.at.0 + fault.lasts.0) as u64);
        let (name, senders) = self.describe(number, &fault);
        let event = |begins| What::Fault { number, name: name.clone(), senders: senders.clone(), begins };
        self.history.add(event(true));
        if let Err(error) = self.carry_out(&fault, number, &senders, ends).await {
            // The judges then find what did not come back.
            eprintln!("trial: fault {number} ({name}): {error}");
        }
        self.history.add(event(false));
    }

    /// A fault's name and the senders that it strikes.
    fn describe(&self, number: usize, fault: &Fault) -> (String, Vec<usize>) {
        let name = fault.what.name();
        match &fault.what {
            Do::Link { from, to, .. } => {
                let ends: Vec<Party> = self.ends(number, *from, *to).into_iter().flatten().collect();
                let sender = |p: &Party| match p {
                    Party::Sender(number) => Some(*number),
                    _ => None,
                };
                let among = ends.iter().all(|p| sender(p).is_some());
                let only: Vec<usize> = match among {
                    // The smaller side of a cut among senders is the one that is struck.
                    true => self.struck(number, if *from == Who::Others { *to } else { *from }),
                    false => ends.iter().filter_map(sender).collect(),
                };
                let word = |who: &Who| format!("{who:?}").to_lowercase();
                (format!("{name} {} to {}", word(from), word(to)), only)
            }
            Do::Kill { who, .. }
            | Do::Freeze { who }
            | Do::Upgrade { who, .. }
            | Do::Reload { who, .. }
            | Do::Clock { who, .. }
            | Do::Drain { who }
            | Do::Callers { who, .. }
            | Do::Full { who, .. }
            | Do::Twin { who, .. } => (name.to_string(), self.struck(number, *who)),
            Do::Roll { .. } => (name.to_string(), (0..self.trial.fleet.senders).collect()),
            Do::Operator => (name.to_string(), Vec::new()),
        }
    }

    /// Both ends of a link, in its order.
    fn ends(&self, number: usize, from: Who, to: Who) -> [Vec<Party>; 2] {
        let partners = self.stage.plan.partners.len();
        let side = |who: Who, other: Who| -> Vec<Party> {
            if let Some(fixed) = who.fixed(partners) {
                return fixed;
            }
            let struck = match who {
                Who::Others => {
                    let other = self.struck(number, other);
                    (0..self.trial.fleet.senders).filter(|s| !other.contains(s)).collect()
                }
                who => self.struck(number, who),
            };
            struck.into_iter().map(Party::Sender).collect()
        };
        [side(from, to), side(to, from)]
    }

    async fn carry_out(
        self: &Rc<Self>,
        fault: &Fault,
        number: usize,
        senders: &[usize],
        ends: Instant,
    ) -> io::Result<()> {
        match &fault.what {
            Do::Link { from, to, both, effect } => {
                let [from, to] = self.ends(number, *from, *to);
                let mut rules: Vec<Rule> = vec![self.fabric.add(from.clone(), to.clone(), effect.clone())];
                if *both {
                    rules.push(self.fabric.add(to, from, effect.clone()));
                }
                sleep_until(ends).await;
                rules.into_iter().for_each(|rule| self.fabric.remove(rule));
            }
            Do::Kill { folder, .. } => self.kill(senders, *folder, ends).await?,
            Do::Freeze { .. } => {
                let lives = senders.iter().filter_map(|s| Some((*s, self.senders[*s].control()?.1)));
                let lives: Vec<(usize, u32)> = lives.collect();
                lives.iter().for_each(|(s, life)| self.signal_life(*s, *life, libc::SIGSTOP));
                sleep_until(ends).await;
                lives.iter().for_each(|(s, life)| self.signal_life(*s, *life, libc::SIGCONT));
            }
            Do::Roll { groups } => self.roll(*groups, ends).await?,
            Do::Upgrade { called_off, twice, .. } => {
                for &sender in senders {
                    for claim in self.claim(&[sender]) {
                        self.upgrade(claim.number, *called_off, *twice).await?;
                    }
                }
                sleep_until(ends).await;
            }
            Do::Reload { attempts, broken, .. } => self.reload(senders, *attempts, *broken, ends).await?,
            Do::Clock { by, back, .. } => self.set_clocks(senders, by.0, *back, ends).await?,
            Do::Drain { .. } => {
                let mut machines: Vec<usize> =
                    senders.iter().map(|s| s / self.trial.fleet.per_machine).collect();
                machines.dedup();
                self.drain(&machines, ends).await?;
            }
            Do::Operator => {
                for (machine, child) in self.drains.borrow_mut().iter_mut() {
                    let _ = (machine, child.kill());
                }
            }
            Do::Callers { count, .. } => {
                let mut held = Vec::new();
                for control in senders.iter().filter_map(|s| self.senders[*s].control()) {
                    for _ in 0..*count {
                        held.push(TcpStream::connect(control.0).await?);
                    }
                }
                sleep_until(ends).await;
            }
            Do::Full { bytes, .. } => {
                let bound = |to: u64| -> io::Result<()> {
                    let mut done = Ok(());
                    for sender in senders.iter().map(|s| &self.senders[*s]) {
                        sender.each(|process| {
                            if let Err(error) = process.bound_files(to) {
                                done = Err(error);
                            }
                        });
                    }
                    done
                };
                bound(*bytes)?;
                sleep_until(ends).await;
                bound(libc::RLIM_INFINITY)?;
            }
            Do::Twin { with_folder, .. } => self.twin(number, *with_folder, ends).await?,
        }
        Ok(())
    }

    async fn kill(self: &Rc<Self>, senders: &[usize], folder: Folder, ends: Instant) -> io::Result<()> {
        let as_of = self.history.now();
        let claims = self.claim(senders);
        let senders: Vec<usize> = claims.iter().map(|c| c.number).collect();
        let saved = |s: usize| self.senders[s].folder.join("saved");
        if folder == Folder::Older {
            for &sender in &senders {
                copy(&self.senders[sender].state(), &saved(sender))?;
            }
            sleep_until(ends).await;
        }
        senders.iter().for_each(|s| self.signal(*s, libc::SIGKILL));
        match folder {
            Folder::Older => sleep(RESTART).await,
            _ => sleep_until(ends).await,
        }
        for &sender in &senders {
            let state = self.senders[sender].state();
            match folder {
                Folder::Kept => {}
                Folder::Lost => {
                    std::fs::remove_dir_all(&state)?;
                    std::fs::create_dir_all(&state)?;
                    self.history.add(What::Folder { sender, as_of: None });
                }
                Folder::Older => {
                    copy(&saved(sender), &state)?;
                    self.history.add(What::Folder { sender, as_of: Some(as_of) });
                }
            }
            self.start(sender)?;
        }
        Ok(())
    }

    /// All senders by groups, every second one without a warning.
    async fn roll(self: &Rc<Self>, groups: usize, ends: Instant) -> io::Result<()> {
        let (count, begin) = (self.trial.fleet.senders, Instant::now());
        let all: Vec<usize> = (0..count).collect();
        let each = ends.saturating_duration_since(begin) / groups as u32;
        for (turn, group) in all.chunks(count.div_ceil(groups)).enumerate() {
            sleep_until(begin + each * turn as u32).await;
            for &sender in group {
                let rig = self.clone();
                spawn_local(async move { rig.restart(sender).await });
            }
        }
        sleep_until(ends).await;
        Ok(())
    }

    /// A planned restart; every second sender dies without a warning.
    async fn restart(self: Rc<Self>, number: usize) {
        let claims = self.claim(&[number]);
        if claims.is_empty() {
            return;
        }
        let warned = number.is_multiple_of(2);
        if warned {
            self.signal(number, libc::SIGTERM);
            let over = Instant::now() + TERM;
            while self.senders[number].control().is_some() && Instant::now() < over {
                sleep(TICK).await;
            }
        }
        self.signal(number, libc::SIGKILL);
        sleep(RESTART).await;
        if let Err(error) = self.start(number) {
            eprintln!("trial: sender {number} can't be started: {error}");
        }
    }

    async fn upgrade(self: &Rc<Self>, number: usize, called_off: bool, twice: bool) -> io::Result<()> {
        let sender = &self.senders[number];
        let mut replaced = Vec::new();
        for turn in 0..1 + usize::from(twice) {
            if turn > 0 {
                // The first still waits for calls, and the second has delivered some of what it took over.
                sleep(TERM / 2).await;
            }
            let old = sender.current.take();
            let life = old.as_ref().map(|p| p.life);
            sender.older.borrow_mut().extend(old);
            self.start(number)?;
            let is_ready = self.until_ready(number).await;
            if called_off || !is_ready {
                self.signal(number, libc::SIGKILL);
                while sender.control().is_some() {
                    sleep(TICK).await;
                }
                sender.current.replace(sender.older.borrow_mut().pop());
                break;
            }
            life.into_iter().for_each(|life| self.signal_life(number, life, libc::SIGTERM));
            replaced.extend(life);
        }
        while replaced.iter().any(|life| sender.is_there(*life)) {
            sleep(TICK).await;
        }
        Ok(())
    }

    /// Another wall clock for a while.
    async fn set_clocks(&self, senders: &[usize], by: i64, back: bool, ends: Instant) -> io::Result<()> {
        let ms = by / 1_000_000 * if back { -1 } else { 1 };
        let all = || senders.iter().map(|s| self.senders[*s].shift());
        for shift in all() {
            // Whole at once: the sender reads it whenever it looks at its clock.
            let new = shift.with_extension("new");
            std::fs::write(&new, ms.to_string())?;
            std::fs::rename(new, shift)?;
        }
        sleep_until(ends).await;
        all().try_for_each(std::fs::remove_file)
    }

    /// Other settings for a while, each time by the whole file and SIGHUP.
    async fn reload(
        &self,
        senders: &[usize],
        attempts: usize,
        broken: bool,
        ends: Instant,
    ) -> io::Result<()> {
        // No sooner than it can hear it: before that it reads the new file by itself.
        let hears =
            |s: &usize| self.senders[*s].control().is_some_and(|(_, l)| l == self.senders[*s].ready.get());
        let hang_up = || senders.iter().filter(|s| hears(s)).for_each(|s| self.signal(*s, libc::SIGHUP));
        let path = |s: &usize| self.senders[*s].folder.join("config.json");
        let old = senders.iter().map(|s| std::fs::read_to_string(path(s))).collect::<io::Result<Vec<_>>>()?;
        let each = |text: &dyn Fn(&str) -> String| {
            let mut files = senders.iter().map(path).zip(&old);
            files.try_for_each(|(path, old)| std::fs::write(path, text(old)))
        };
        if broken {
            // Nobody starts on half a file: no process could.
            let claims = self.claim(senders);
            each(&|old| old[..old.len() / 2].to_string())?;
            hang_up();
            sleep(ends.saturating_duration_since(Instant::now()) / 4).await;
            drop(claims);
        }
        each(&|old| {
            let mut config: Value = serde_json::from_str(old).unwrap_or_default();
            config["settings"]["Limits"]["MaxAttempts"] = attempts.into();
            config.to_string()
        })?;
        hang_up();
        sleep_until(ends).await;
        each(&|old| old.to_string())?;
        hang_up();
        Ok(())
    }

    fn operate(&self, machine: usize, arguments: &[&str]) -> io::Result<Child> {
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("nickelctl.log"))?;
        let mut command = Command::new(program("nickelctl"));
        command.arg("drain").arg("--all").arg(self.registry(machine)).args(arguments);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        bound(&mut command).spawn()
    }

    /// Drains machines with their permits, and takes that back at the end.
    async fn drain(&self, machines: &[usize], ends: Instant) -> io::Result<()> {
        let wait = format!("{}ms", ends.saturating_duration_since(Instant::now()).as_millis());
        for &machine in machines {
            self.history.add(What::DrainAsked { machine });
            let name = format!("machine-{machine}");
            let child = self.operate(machine, &["--machine", &name, "--wait", &wait])?;
            self.drains.borrow_mut().push((machine, child));
        }
        sleep_until(ends).await;
        while self.drains.borrow().iter().any(|(m, _)| machines.contains(m)) {
            sleep(TICK).await;
        }
        for &machine in machines {
            self.history.add(What::DrainCancelled { machine });
            let mut child = self.operate(machine, &["--cancel"])?;
            while child.try_wait()?.is_none() {
                sleep(TICK).await;
            }
        }
        Ok(())
    }

    /// Another machine with the name of the one that is struck, for the fault's time.
    async fn twin(self: &Rc<Self>, fault: usize, with_folder: bool, ends: Instant) -> io::Result<()> {
        let before = self.trial.faults[..fault].iter().filter(|f| matches!(f.what, Do::Twin { .. })).count();
        let number = self.trial.fleet.senders + before;
        let model = self.models()[before];
        if with_folder {
            copy(&self.senders[model].state(), &self.senders[number].state())?;
        }
        self.start(number)?;
        sleep_until(ends).await;
        self.signal(number, libc::SIGTERM);
        while self.senders[number].control().is_some() {
            sleep(TICK).await;
        }
        Ok(())
    }
}

fn request(path: &str) -> Request<Full<hyper::body::Bytes>> {
    let mut request = Request::new(Full::default());
    // A path of this file's own is a good one.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert("host", hyper::header::HeaderValue::from_static("control"));
    request
}

/// Whether a control address says yes, asked on the machine itself.
async fn answers(control: SocketAddr, path: &str) -> bool {
    let ask = async {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let mut tcp = TcpStream::connect(control).await.ok()?;
        let asked = format!("GET {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n");
        tcp.write_all(asked.as_bytes()).await.ok()?;
        let mut head = [0; 12];
        tcp.read_exact(&mut head).await.ok()?;
        Some(head.ends_with(b"200"))
    };
    timeout(PATIENCE, ask).await.ok().flatten() == Some(true)
}

/// Keeps what a run left: its history, its verdict and its picture beside the logs.
pub fn keep(folder: &Path, verdict: &Verdict, history: &History) -> io::Result<()> {
    history.write(&folder.join("history.jsonl"))?;
    let verdict = serde_json::to_string_pretty(verdict)?;
    std::fs::write(folder.join("verdict.json"), verdict)
}
