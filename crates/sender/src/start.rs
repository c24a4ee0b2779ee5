//! A sender's start and end: its parts made and wired, in the order that promises need.
use crate::config::Config;
use crate::core::{Core, Parts};
use crate::deadline::Clock;
use crate::drain::{Drain, Evacuation};
use crate::figures::Role;
use crate::handover::{Dead, Folder, Handover};
use crate::inbox::{Input, INBOX};
use crate::list::List;
use crate::memory::Budget;
use crate::server::{Server, Terms};
use crate::*;
use journal::{Journal, Left};
use policy::rules::DiscoveryRetry;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM: how long new connections are still taken, when nothing new is begun any more, and when the
/// process ends whatever is still out. What is left then is in the journal.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const CLIENTS_GONE: Duration = Duration::from_millis(1_200);
const BEGIN_ON: Duration = Duration::from_millis(2_600);
const END: Duration = Duration::from_millis(3_300);
/// Descriptors that neither clients nor calls use.
const OWN_SOCKETS: usize = 24;
/// How long the process before this one may take to leave it its part of the descriptors.
const CLEAR: Duration = Duration::from_secs(2);

/// What a start finds and makes in the folder that outlasts the process.
pub struct Kept {
    budget: Budget,
    folder: Rc<Folder>,
    journal: disk::Log,
    clock: Clock,
    left: Left,
    dead: Dead,
    /// The drain that an earlier process was in.
    drain: Option<Option<Evacuation>>,
    has_predecessor: bool,
    /// A number that clients don't know.
    nonce: u64,
}

impl Kept {
    pub fn open(machine: Rc<dyn Machine>, config: &Config) -> Result<Kept, String> {
        let budget = Budget::new(config.limits.memory_mb);
        let state = |e| format!("journal in {}: {e}", config.state.display());
        let durability = config.durability;
        let folder = Rc::new(Folder::enter(machine.clone(), &config.state, durability).map_err(state)?);
        // Before their locks are taken: they tell who lives.
        let drain = folder.inherited_drain(Instant::now()).map_err(state)?;
        let dead = folder.dead();
        let left = folder.left(&dead, &budget)?;
        // Of starts that were cut short: many of them would fill the disk.
        let (redundant, dead) = dead.into_iter().partition(|(number, _)| left.redundant.contains(number));
        folder.discard(redundant);
        let clock = Clock::new(Instant::now(), machine.wall_ms());
        let stamp = clock.stamp(Instant::now(), machine.wall_ms());
        let (disk, names): (disk::Keeper, _) = (Box::new(disk::Disk::new(&config.state)), folder.names());
        // Clients don't know the seed, so no body can hold what looks like a part of the file.
        let nonce = config.seed.rotate_left(32) ^ folder.own;
        let most = config.limits.disk_mb;
        let mut journal =
            Journal::create(disk, names, folder.own, most, durability, nonce, stamp).map_err(state)?;
        journal.set_others(folder.bytes());
        let has_predecessor = folder.has_predecessor();
        let journal = disk::Log::new(journal);
        Ok(Kept { budget, folder, journal, clock, left, dead, drain, has_predecessor, nonce })
    }
}

/// How a process divides the descriptors that it may hold.
#[derive(Clone, Copy)]
struct Places {
    sockets: usize,
    reserved: usize,
    slots: usize,
}

/// Bounds on connections: those of calls, of clients that are turned away, and of clients that are served.
struct Share {
    calls: usize,
    turned_away: usize,
    clients: usize,
}

impl Places {
    fn new(config: &Config) -> Places {
        let reserved = OWN_SOCKETS + config.control.map_or(0, |_| control::CALLERS + 1);
        Places { sockets: config.limits.sockets, reserved, slots: config.settings.slots }
    }

    /// Some are reserved, for the listeners, the watch, notices, files and operators. Of the rest calls always find
    /// theirs, a sixteenth is for clients that are only told to come again, and all others are for clients: some
    /// connect by hundreds. While two processes run, each has half.
    fn share(&self, shared: bool) -> Share {
        let sockets = (self.sockets / if shared { 2 } else { 1 }).saturating_sub(self.reserved);
        let calls = (self.slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
        let turned_away = (sockets / 16).max(1);
        Share { calls, turned_away, clients: sockets.saturating_sub(calls + turned_away) }
    }
}

/// A sender that serves.
pub struct Sender {
    folder: Rc<Folder>,
    core: mpsc::Sender<Input>,
    drain: Rc<Drain>,
    server: Rc<Server>,
    fleet: Option<Rc<fleet::Fleet>>,
    duties: Option<Rc<duties::Duties>>,
    close: watch::Sender<bool>,
    accepting: JoinHandle<()>,
    /// Where operators' tools find it, as long as it is there.
    _entry: Option<registry::Entry>,
}

impl Sender {
    /// Makes all parts, takes up what earlier processes left, and opens to clients last. Returns the core's task too.
    pub async fn start(
        environment: Environment,
        machine: Rc<dyn Machine>,
        mut config: Config,
        kept: Kept,
        reload: mpsc::Receiver<()>,
    ) -> Result<(Sender, JoinHandle<()>), String> {
        let places = Places::new(&config);
        let Kept { budget, folder, journal, clock, left, dead, drain: inherited, has_predecessor, nonce } =
            kept;
        let share = places.share(has_predecessor);
        let (core, inbox) = mpsc::channel(INBOX);
        let (notices, noticing) = mpsc::unbounded_channel();
        let settings = config.settings.clone();
        let figures = Rc::new(figures::Figures::default());
        figures.show(&config.host_settings.classes);
        let pool =
            connections::Pool::new(machine.clone(), settings.dial_timeout, settings.idle_close, share.calls);
        let pool = Rc::new(pool);
        spawn_local(pool.clone().keep());
        let client = calls::Client { core: core.clone(), figures: figures.clone(), pool: pool.clone() };
        let drain = Rc::new(Drain::new(Instant::now()));
        if let Some(evacuation) = inherited {
            tracing::info!(evacuates = evacuation.is_some(), "going on with the drain of the process before");
            drain.inherit(evacuation);
        }
        let (discovery, place) = watch::channel(config.discovery);
        let asking = DiscoveryRetry::new(&settings, config.seed);
        // Discovery is then asked for a whole one.
        let known = std::mem::replace(&mut config.known, Ok(List::default())).unwrap_or_else(|reason| {
            figures::bump(&figures.list_errors);
            tracing::error!(%reason, "the list known is turned down whole; going on without");
            List::default()
        });
        let taking = discovery::Taking { room: config.room(), figures: figures.clone() };
        let [watching, telling] =
            [Role::Discovery, Role::Notices].map(|role| figures.metered(&machine, role));
        let (at, held) = (place.clone(), known.version());
        spawn_local(discovery::follow(watching, at, core.clone(), held, asking, taking));
        spawn_local(notices::run(telling, place, noticing, core.clone()));
        let terms = Terms::new(&settings, config.host_settings.clone());
        let parts = Parts {
            machine: machine.clone(),
            settings,
            host_settings: config.host_settings.clone(),
            seed: config.seed,
            journal,
            number: folder.own,
            own: clock,
            drain: drain.clone(),
            client: Rc::new(client),
            inbox,
            notices,
        };
        let mut owner = Core::new(parts);
        let taken = left.messages.iter().map(|live| live.taken.id).chain(left.seen.iter().copied()).collect();
        if owner.resume(known, left, has_predecessor).await {
            folder.discard(dead);
        }
        let running = spawn_local(owner.run());
        let clients = (share.clients, share.turned_away);
        let server =
            Server::new(core.clone(), terms, budget.clone(), drain.clone(), figures.clone(), clients);
        let server = Rc::new(server);
        let (close, closing) = watch::channel(false);
        let wired = Wired { folder, core, drain, server, figures, pool };
        let (fleet, duties) = wired.join(&machine, &mut config, nonce);
        let entry = wired.serve_operators(&machine, &config, fleet.clone(), duties.clone())?;
        spawn_local(wired.reload(environment, config.file, discovery).run(reload));
        wired.hand_over(budget, places, has_predecessor, taken).await;
        // Only now: a sender is used once it answers, and what the journals hold comes first.
        let at = config.listen;
        let listener = machine.listen(at, true).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        let Wired { folder, core, drain, server, .. } = wired;
        let accepting = spawn_local(server.clone().accept(listener, closing));
        // Written down before it is said: from now on the process before this one may be told to end.
        asked(&core, Input::Listening).await;
        drain.listening(Instant::now());
        let sender = Sender { folder, core, drain, server, fleet, duties, close, accepting, _entry: entry };
        Ok((sender, running))
    }

    /// Ends in order: what clients still hand in is taken on, what is out comes back, and what is left is in the journal.
    pub async fn end(self) {
        let told = Instant::now();
        self.drain.end(told);
        if let Some(fleet) = self.fleet {
            let succeeded = self.folder.has_successor();
            spawn_local(async move { fleet.leave(succeeded).await });
        }
        if let Some(duties) = self.duties {
            spawn_local(async move { duties.leave().await });
        }
        // With a process to go on, clients find that one: nothing more need be taken here but what is on its way.
        if !(self.folder.has_successor() && asked(&self.core, Input::Yield).await) {
            sleep(ACCEPT_ON).await;
        }
        let _ = self.close.send(true);
        let _ = self.accepting.await;
        let gone = || async {
            while self.server.open.get() > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let left = |span| (told + span).saturating_duration_since(Instant::now());
        let _ = timeout(left(CLIENTS_GONE), gone()).await;
        let _ = self.core.send(Input::Wind(told + BEGIN_ON)).await;
        // Nothing held is no reason to go while a request is coming in: that one is owed its answer.
        let _ = timeout(left(END), async { tokio::join!(self.core.closed(), gone()) }).await;
    }
}

/// The parts that others are wired to.
struct Wired {
    folder: Rc<Folder>,
    core: mpsc::Sender<Input>,
    drain: Rc<Drain>,
    server: Rc<Server>,
    figures: Rc<figures::Figures>,
    pool: Rc<connections::Pool>,
}

impl Wired {
    /// Membership and duties, where the configuration has them.
    fn join(
        &self,
        machine: &Rc<dyn Machine>,
        config: &mut Config,
        nonce: u64,
    ) -> (Option<Rc<fleet::Fleet>>, Option<Rc<duties::Duties>>) {
        let (name, drain) = (&config.name, &self.drain);
        let fleet = config.membership.take().map(|settings| {
            // Two starts within a millisecond are no two starts.
            let life = machine.wall_ms().max(0) as u64;
            let (drain, core, state) = (drain.clone(), self.core.clone(), config.state.clone());
            let host = fleet::Host { drain, core, state };
            let machine = self.figures.metered(machine, Role::Membership);
            Rc::new(fleet::Fleet::new(machine, host, settings, name, life, nonce))
        });
        let duties = config.duties.clone().map(|settings| {
            let (fleet, machine) = (fleet.clone(), self.figures.metered(machine, Role::Store));
            Rc::new(duties::Duties::new(machine, settings, name, drain.clone(), fleet, nonce))
        });
        fleet.iter().for_each(|fleet| _ = spawn_local(fleet.clone().run()));
        duties.iter().for_each(|duties| _ = spawn_local(duties.clone().run()));
        (fleet, duties)
    }

    /// The second address, and the entry by which operators' tools find it.
    fn serve_operators(
        &self,
        machine: &Rc<dyn Machine>,
        config: &Config,
        fleet: Option<Rc<fleet::Fleet>>,
        duties: Option<Rc<duties::Duties>>,
    ) -> Result<Option<registry::Entry>, String> {
        let control = Rc::new(control::Control {
            fleet,
            duties,
            drain: self.drain.clone(),
            figures: self.figures.clone(),
            core: self.core.clone(),
            server: self.server.clone(),
            folder: self.folder.clone(),
            evacuates: Default::default(),
        });
        spawn_local(control.clone().lead());
        let Some(at) = config.control else { return Ok(None) };
        let listener = self.figures.metered(machine, Role::Operators).listen(at, false);
        let listener = listener.map_err(|e| format!("cannot listen on {at}: {e}"))?;
        spawn_local(control.serve(listener));
        let enter = |folder: &std::path::PathBuf| {
            let entry =
                registry::Entry::enter(folder, &config.name, at, &config.state, config.duties.as_ref());
            entry.map_err(|e| format!("cannot enter {}: {e}", folder.display()))
        };
        config.registry.as_ref().map(enter).transpose()
    }

    fn reload(
        &self,
        environment: Environment,
        in_force: serde_json::Value,
        discovery: watch::Sender<std::net::SocketAddr>,
    ) -> reload::Reload {
        let (core, pool) = (self.core.clone(), self.pool.clone());
        let (server, figures) = (self.server.clone(), self.figures.clone());
        reload::Reload { environment, in_force, discovery, core, pool, server, figures }
    }

    /// Follows the other processes of this sender. Returns once one that was there before leaves this one its part of
    /// the descriptors.
    async fn hand_over(&self, budget: Budget, places: Places, has_predecessor: bool, taken: HashSet<u64>) {
        let (shared, mut clear) = watch::channel(!has_predecessor);
        let (bounds, links) = (self.server.clone(), self.pool.clone());
        let divide = move |shared| {
            let share = places.share(shared);
            bounds.most.set(share.clients);
            bounds.turned_away.set(share.turned_away);
            links.set_most(share.calls);
        };
        let handover = Handover::new(self.folder.clone(), budget, self.core.clone(), taken);
        spawn_local(handover.run(divide, shared));
        if timeout(CLEAR, clear.wait_for(|c| *c)).await.is_err() {
            tracing::warn!("the process before this one does not answer; going on beside it");
        }
    }
}

/// Asks something of the core; false too where it has gone.
async fn asked(core: &mpsc::Sender<Input>, what: fn(oneshot::Sender<bool>) -> Input) -> bool {
    let (reply, done) = oneshot::channel();
    let _ = core.send(what(reply)).await;
    done.await.unwrap_or(false)
}
