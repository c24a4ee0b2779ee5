//! The control role: one machine of the group that keeps configuration and stores.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`disk`] | the group's durable state on a ring of files |
//! | [`api`] | the operator's API |
//! | [`listing`] | the primary reads the platform's list of endpoints |
//! | [`census`] | which stores are there, and whose disks are lost |
//! | [`news`] | what watchers are told, packed once for all |
pub mod api;
pub mod census;
pub mod disk;
pub mod listing;
pub mod news;

use crate::calls::{Call, Hello, News, Seen};
use crate::process::{self, stopped, Process};
use crate::watch::HOLD;
use anyhow::Context as _;
use control::{
    Command, DurableState, Group, LeaveStep, Member, Message, Outgoing, Rejected, Reply, Stage, State,
    Storage,
};
use monoio::net::TcpListener;
use net::http::Bounds;
use net::rpc::{serve, Peers};
use net::runtime;
use net::server::{Server, ServerBounds};
use net::wake::Watched;
use news::{Bulletin, Newer};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// How often time passes for the group.
const TICK: Duration = Duration::from_millis(50);
/// How long a message within the group may take.
const GROUP_CALL: Duration = Duration::from_millis(500);
/// How long a change is waited for.
const COMMIT: Duration = Duration::from_millis(2_500);
/// How long it is waited for before a planned stop that others have what this machine has.
const LEAVE: Duration = Duration::from_millis(3_000);
/// How often they are asked, in that time.
const LEAVE_EVERY: Duration = Duration::from_millis(100);
/// How long an order waits for this machine to lead, where no other is known to, in milliseconds.
const LEAD_SOON: u64 = 700;

/// One control process.
pub struct Control {
    process: Process,
    group: RefCell<Group<Box<dyn Storage>>>,
    peers: Rc<Peers>,
    published: RefCell<Bulletin>,
    /// Rises with all that is news to watchers.
    changes: Watched,
    /// A change is on its way; others wait for its end.
    changing: Cell<bool>,
    census: RefCell<census::Census>,
    stage: Cell<Stage>,
    /// What the members can't give of what may be lost at once, as it was told last.
    unmet: RefCell<Option<String>>,
}

/// How a change that was asked for ended.
#[derive(Debug)]
pub enum Changed {
    /// It is in force, and on two disks.
    Done,
    Rejected(Rejected),
    /// This machine doesn't lead, or no longer: ask again.
    Unknown,
}

/// Runs the role.
pub async fn run(process: Process) -> anyhow::Result<()> {
    let folder = process.settings.data_dir.clone().context("DataDir is missing; give control a disk")?;
    let (durable, disk) = disk::open(Path::new(&folder))?;
    let settings = &process.settings;
    let member_address = SocketAddr::new(settings.own_ip(), settings.control_port());
    let api_address =
        settings.listen.control.clone().context("ListenAddresses.Control is missing; add it")?;
    let control = Control::new(process, durable, Box::new(disk), Peers::default());
    let listener = TcpListener::bind(member_address).context("the members' port is taken; free it")?;
    let answering = control.clone();
    runtime::spawn(serve(
        listener,
        Rc::new(move |from, bytes| Box::pin(answering.clone().answer(from, bytes))),
    ));
    control.clone().work();
    control.clone().serve_operator(&api_address)?;
    stopped(&control.process.stopping).await;
    control.leave().await;
    Ok(())
}

impl Control {
    /// A machine of the group with what is on its disk.
    pub fn new(
        process: Process,
        mut durable: DurableState,
        disk: Box<dyn Storage>,
        peers: Peers,
    ) -> Rc<Control> {
        let fresh = durable.disk == 0;
        if fresh {
            durable.disk = runtime::unique();
        }
        let settings = &process.settings;
        let me = Member {
            disk: durable.disk,
            name: settings.node_name.clone(),
            ip: settings.own_ip(),
            location: settings.location(),
        };
        let group = control::GroupSettings {
            me,
            founders: settings.seed_ips(),
            founder: fresh && settings.bootstrap && settings.seed_ips().contains(&settings.own_ip()),
            tolerance: settings.tolerance(),
        };
        let now = process.clock.ms();
        Rc::new(Control {
            group: RefCell::new(Group::new(group, durable, disk, now)),
            peers: Rc::new(peers),
            published: RefCell::default(),
            changes: Watched::default(),
            changing: Cell::new(false),
            census: RefCell::default(),
            stage: Cell::new(Stage::Follower),
            unmet: RefCell::default(),
            process,
        })
    }

    /// Does for good what no call asks for.
    pub fn work(self: Rc<Self>) {
        runtime::spawn(self.clone().pass_time());
        runtime::spawn(listing::read_list(self.clone()));
        runtime::spawn(census::keep(self));
    }

    fn now(&self) -> u64 {
        self.process.clock.ms()
    }

    fn serve_operator(self: Rc<Self>, address: &str) -> anyhow::Result<()> {
        let listener = TcpListener::bind(address).context("the operator's port is taken; free it")?;
        let bounds = ServerBounds {
            message: Bounds { head_bytes: 16 * 1024, body_bytes: disk::LARGEST_CONFIGURATION },
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        };
        let server = Server::new(bounds);
        runtime::spawn(
            server.serve(listener, Rc::new(move |request| Box::pin(api::answer(self.clone(), request)))),
        );
        Ok(())
    }

    async fn pass_time(self: Rc<Self>) {
        loop {
            runtime::sleep(TICK).await;
            let out = self.group.borrow_mut().tick(self.now());
            self.send(out);
            self.publish();
            self.note_stage();
            self.note_unmet_tolerance();
        }
    }

    /// Tells once in the log what the members can't give of what may be lost at once.
    fn note_unmet_tolerance(&self) {
        let group = self.group.borrow();
        if group.leads(self.now()).is_none() {
            return;
        }
        let unmet = group.unmet_tolerance();
        if let Some(told) = unmet.as_ref().filter(|_| *self.unmet.borrow() != unmet) {
            log::warn!("what may be lost at once can't be borne now: {told}");
        }
        self.unmet.replace(unmet);
    }

    fn note_stage(&self) {
        let stage = self.group.borrow().stage();
        if self.stage.replace(stage) != stage {
            log::info!("{stage:?}");
        }
    }

    /// Sends messages within the group; their answers go back to it.
    fn send(self: &Rc<Self>, out: Vec<Outgoing>) {
        for message in out {
            let control = self.clone();
            runtime::spawn(async move {
                control.exchange(message).await;
            });
        }
    }

    async fn exchange(self: &Rc<Self>, out: Outgoing) -> Option<Reply> {
        let to = SocketAddr::new(out.to, self.process.settings.control_port());
        let (call, sent) = (Call::Group(out.message.clone()), self.now());
        let reply = self.peers.call::<Call, Reply>(to, &call, GROUP_CALL).await.ok()?;
        let more = self.group.borrow_mut().handle_reply(&out.message, sent, reply.clone(), self.now());
        self.publish();
        self.note_stage();
        self.send(more);
        Some(reply)
    }

    /// Shows watchers what is committed.
    fn publish(&self) {
        let group = self.group.borrow();
        if group.leads(self.now()).is_none() || group.committed_change_number() < group.last_change_number() {
            return;
        }
        if self.published.borrow_mut().publish(&group.durable().state) {
            self.changes.raise();
        }
    }

    /// The committed state, if this machine leads and knows it.
    fn committed_state(&self) -> Option<Rc<State>> {
        let published = self.published.borrow();
        let group = self.group.borrow();
        let current =
            group.leads(self.now()).is_some_and(|view| published.state().position.epoch >= view.epoch);
        current.then(|| published.state().clone())
    }

    /// Carries out a change, one at a time.
    async fn change(self: &Rc<Self>, command: Command) -> Changed {
        let until = self.now() + COMMIT.as_millis() as u64;
        while self.changing.get() {
            if self.now() > until {
                return Changed::Unknown;
            }
            runtime::sleep(Duration::from_millis(2)).await;
        }
        self.changing.set(true);
        let changed = self.change_now(command, until).await;
        self.changing.set(false);
        changed
    }

    async fn change_now(self: &Rc<Self>, command: Command, until: u64) -> Changed {
        // What the last epoch left is on two disks before anything is built on it.
        let lead_by = self.now() + LEAD_SOON;
        let proposed = loop {
            let proposed = self.group.borrow_mut().try_propose(&command, self.now());
            match proposed {
                Some(proposed) => break proposed,
                None if self.now() > until || self.group.borrow().another_machine_leads() => {
                    return Changed::Unknown
                }
                None if self.now() > lead_by && self.group.borrow().leads(self.now()).is_none() => {
                    return Changed::Unknown
                }
                None => runtime::sleep(Duration::from_millis(5)).await,
            }
        };
        let (change, out) = match proposed {
            Ok(proposed) => proposed,
            Err(rejected) => return Changed::Rejected(rejected),
        };
        self.send(out);
        loop {
            let done = self.group.borrow().is_committed(change, self.now());
            match done {
                Some(true) => break,
                Some(false) => return Changed::Unknown,
                None if self.now() > until => return Changed::Unknown,
                None => runtime::sleep(Duration::from_millis(2)).await,
            }
        }
        self.publish();
        Changed::Done
    }

    /// Whether a majority says, from now on, that this machine leads.
    async fn confirm(self: &Rc<Self>) -> bool {
        let begun = self.group.borrow().confirm_leadership(self.now());
        let Some((confirmation, questions)) = begun else { return false };
        let confirmation = Rc::new(RefCell::new(confirmation));
        let answers = Rc::new(Watched::default());
        for question in questions {
            let (control, confirmation, answers) = (self.clone(), confirmation.clone(), answers.clone());
            runtime::spawn(async move {
                if let Some(reply) = control.exchange(question).await {
                    confirmation.borrow_mut().record_reply(&reply);
                    answers.raise();
                }
            });
        }
        let until = self.now() + GROUP_CALL.as_millis() as u64;
        loop {
            let seen = answers.get();
            if confirmation.borrow().has_majority() {
                return confirmation.borrow().is_current(&self.group.borrow(), self.now());
            }
            let left = until.saturating_sub(self.now());
            if left == 0 {
                return false;
            }
            let _ = runtime::timeout(Duration::from_millis(left), answers.changed(seen)).await;
        }
    }

    /// Answers a call of another machine.
    pub async fn answer(self: Rc<Self>, from: IpAddr, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(call) = borsh::from_slice::<Call>(&bytes) else { return Vec::new() };
        match call {
            Call::Group(message) => encode(&self.group_message(from, message)),
            Call::Watch(hello, seen) => encode(&self.news(hello, seen).await),
            Call::Status => encode(&self.status()),
            _ => Vec::new(),
        }
    }

    fn group_message(self: &Rc<Self>, from: IpAddr, message: Message) -> Reply {
        let (reply, out) = self.group.borrow_mut().handle(from, message, self.now());
        self.send(out);
        reply
    }

    /// Answers a watcher: at once if there is news, else when there is, or after a while.
    async fn news(self: &Rc<Self>, hello: Hello, seen: Seen) -> News {
        let until = self.now() + HOLD.as_millis() as u64;
        self.census.borrow_mut().heard(&hello, seen, self.now());
        loop {
            let Some(state) = self.committed_state() else {
                let group = self.group.borrow();
                let primary = group.primary().filter(|ip| *ip != self.process.settings.own_ip());
                return News { primary, group: group.addresses(), ..News::default() };
            };
            let newer = self.published.borrow().newer(seen, hello.role);
            let left = until.saturating_sub(self.now());
            if !newer.is_empty() || left == 0 {
                return self.news_of(state.position.epoch, newer);
            }
            let before = self.changes.get();
            // A primary that loses its place says so soon, and watchers go to the next.
            let wait = Duration::from_millis(left.min(250));
            let _ = runtime::timeout(wait, self.changes.changed(before)).await;
        }
    }

    fn news_of(&self, epoch: u64, newer: Newer) -> News {
        News {
            leads: true,
            epoch,
            primary: Some(self.process.settings.own_ip()),
            group: self.group.borrow().addresses(),
            configuration: newer.configuration,
            stores: newer.stores,
            list: newer.list,
        }
    }

    fn status(&self) -> String {
        let group = self.group.borrow();
        let state = &group.durable().state;
        let members = group.view().map_or(Vec::new(), |view| view.members.clone());
        let stores = state.stores.stores.iter().map(|store| {
            serde_json::json!({"name": store.name, "ip": store.ip.to_string(), "zone": store.location.zone, "region": store.location.region, "lost": store.declared_lost})
        });
        let status = serde_json::json!({
            "node": self.process.settings.node_name,
            "leads": group.leads(self.now()).is_some(),
            "primary": group.primary().map(|ip| ip.to_string()),
            "epoch": group.view().map_or(0, |view| view.epoch),
            "members": members.iter().map(|m| m.name.clone()).collect::<Vec<_>>(),
            "tolerance_unmet": group.unmet_tolerance(),
            "version": state.version,
            "change": state.position.number,
            "stores": stores.collect::<Vec<_>>(),
            "endpoints": self.published.borrow().endpoint_count(),
            "watchers": self.census.borrow().watchers(self.now()),
        });
        status.to_string()
    }

    /// Before a planned stop: others take the place of this machine, as far as there are any.
    async fn leave(self: &Rc<Self>) {
        let until = self.now() + LEAVE.as_millis() as u64;
        while self.now() < until {
            let step = self.group.borrow().next_leave_step();
            let answer = match step {
                LeaveStep::Ready => break,
                LeaveStep::Wait => None,
                LeaveStep::Request(question) => {
                    let place = matches!(question.message, Message::Leave(_));
                    self.exchange(question).await.filter(|_| place)
                }
            };
            if answer.is_some_and(|answer| !answer.accepted) {
                break;
            }
            runtime::sleep(LEAVE_EVERY).await;
        }
        log::info!("stops");
    }
}

fn encode<T: borsh::BorshSerialize>(answer: &T) -> Vec<u8> {
    borsh::to_vec(answer).expect("writing to memory")
}

/// Starts the role.
pub fn start() -> anyhow::Result<()> {
    process::run(run)
}
