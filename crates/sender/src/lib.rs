//! One sender: start, wiring and end.
mod calls;
mod classes;
mod config;
mod connections;
mod control;
mod core;
mod deadline;
mod discovery;
mod disk;
mod drain;
mod duties;
mod figures;
mod fleet;
mod handover;
mod inbox;
mod life;
mod list;
mod listen;
mod memory;
mod notices;
mod pool;
mod registry;
mod reload;
mod server;
mod wire;

pub use config::Environment;
use deadline::{wall_ms, Clock};
use journal::Journal;
use policy::rules::Asking;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
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

/// How a process divides the descriptors that it may hold.
struct Places {
    calls: usize,
    turned_away: usize,
    clients: usize,
}

impl Places {
    /// Some are reserved, for the listeners, the watch, notices, files and operators. Of the rest calls always find
    /// theirs, a sixteenth is for clients that are only told to come again, and all others are for clients: some
    /// connect by hundreds.
    fn of(sockets: usize, reserved: usize, slots: usize) -> Places {
        let sockets = sockets.saturating_sub(reserved);
        let calls = (slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
        let turned_away = (sockets / 16).max(1);
        Places { calls, turned_away, clients: sockets.saturating_sub(calls + turned_away) }
    }
}

/// Asks something of the core; false too where it has gone.
async fn asked(core: &mpsc::Sender<inbox::Input>, what: fn(oneshot::Sender<bool>) -> inbox::Input) -> bool {
    let (reply, done) = oneshot::channel();
    let _ = core.send(what(reply)).await;
    done.await.unwrap_or(false)
}

/// What the platform tells a running sender. A sender that is dropped says nothing any more.
pub struct Orders {
    /// To end, in order.
    pub end: mpsc::Receiver<()>,
    /// The configuration's file was replaced.
    pub reload: mpsc::Receiver<()>,
}

/// Runs a sender until it is told to end. The error says why it could not start, or that its core has failed.
pub async fn run(environment: Environment, mut orders: Orders) -> Result<(), String> {
    let mut config = config::read(&environment)?;
    let limits = &config.limits;
    let budget = memory::Budget::new(limits.memory_mb);
    let state = |e| format!("journal in {}: {e}", config.state.display());
    let durability = config.durability;
    let folder = Rc::new(handover::Folder::enter(&config.state, durability).map_err(state)?);
    // Before their locks are taken: they tell who lives.
    let inherited = folder.inherited_drain(Instant::now()).map_err(state)?;
    let dead = folder.dead();
    let left = folder.left(&dead, &budget)?;
    // Of starts that were cut short: many of them would fill the disk.
    let (redundant, dead) = dead.into_iter().partition(|(number, _)| left.redundant.contains(number));
    folder.discard(redundant);
    let clock = Clock::new(Instant::now(), wall_ms());
    let stamp = clock.stamp(Instant::now(), wall_ms());
    let (disk, names): (disk::Keeper, _) = (Box::new(disk::Disk::new(&config.state)), folder.names());
    // Clients don't know the seed, so no body can hold what looks like a part of the file.
    let nonce = config.seed.rotate_left(32) ^ folder.own;
    let journal = Journal::create(disk, names, folder.own, limits.disk_mb, durability, nonce, stamp);
    let mut journal = journal.map_err(state)?;
    journal.set_others(folder.bytes());
    let has_predecessor = folder.has_predecessor();
    let (core_in, inbox) = mpsc::channel(inbox::INBOX);
    let (notices_in, notices) = mpsc::unbounded_channel();
    let settings = &config.settings;
    let reserved = OWN_SOCKETS + config.control.map_or(0, |_| control::CALLERS + 1);
    let (sockets, slots) = (config.limits.sockets, settings.slots);
    let places = move |shared: bool| Places::of(sockets / if shared { 2 } else { 1 }, reserved, slots);
    let Places { calls, turned_away, clients } = places(has_predecessor);
    let figures = Rc::new(figures::Figures::default());
    figures.show(&config.around.classes);
    let pool = Rc::new(connections::Pool::new(settings.dial_timeout, settings.idle_close, calls));
    spawn_local(pool.clone().keep());
    let client =
        Rc::new(calls::Client { core: core_in.clone(), figures: figures.clone(), pool: pool.clone() });
    let drain = Rc::new(drain::Drain::new(Instant::now()));
    if let Some(evacuation) = inherited {
        tracing::info!(evacuates = evacuation.is_some(), "going on with the drain of the process before");
        drain.inherit(evacuation);
    }
    let (place, discovery) = watch::channel(config.discovery);
    let asking = Asking::new(&config.settings, config.seed);
    spawn_local(discovery::follow(discovery.clone(), core_in.clone(), config.known.version(), asking));
    spawn_local(notices::run(discovery, notices, core_in.clone()));
    let (listen, known) = (config.listen, std::mem::take(&mut config.known));
    let terms = server::Terms::new(&config.settings, config.around.clone());
    let operators = config.control;
    let membership = config.membership.take();
    let duties = config.duties.take();
    let entry = (config.registry.clone(), config.name.clone(), config.state.clone());
    let in_force = std::mem::take(&mut config.file);
    let journal = (folder.own, disk::Log::new(journal), clock);
    let mut core = core::Core::new(config, journal, drain.clone(), client, inbox, notices_in);
    if core.resume(known, left, has_predecessor).await {
        folder.discard(dead);
    }
    let core = spawn_local(core.run());

    let (close, closing) = watch::channel(false);
    let server = Rc::new(server::Server {
        core: core_in.clone(),
        terms: terms.into(),
        budget: budget.clone(),
        drain: drain.clone(),
        figures: figures.clone(),
        most: clients.into(),
        turned_away: turned_away.into(),
        open: Default::default(),
        number: Default::default(),
        guests: Default::default(),
    });
    let (keeper, watched) = (folder.clone(), server.clone());
    let fleet = membership.map(|settings| {
        // Two starts within a millisecond are no two starts.
        Rc::new(fleet::Fleet::new(settings, &entry.1, wall_ms().max(0) as u64, nonce))
    });
    if let Some(fleet) = &fleet {
        spawn_local(fleet.clone().run());
    }
    let held =
        duties.clone().map(|settings| Rc::new(duties::Duties::new(settings, &entry.1, drain.clone(), nonce)));
    if let Some(duties) = &held {
        spawn_local(duties.clone().run());
    }
    let control = Rc::new(control::Control {
        fleet: fleet.clone(),
        duties: held.clone(),
        drain: drain.clone(),
        figures: figures.clone(),
        core: core_in.clone(),
        server: watched,
        folder: keeper,
        evacuates: Default::default(),
    });
    spawn_local(control.clone().lead());
    let mut _entry = None;
    if let Some(at) = operators {
        let listener = TcpListener::bind(at).await.map_err(|e| format!("cannot listen on {at}: {e}"))?;
        spawn_local(control.serve(listener));
        if let (Some(registry), name, state) = entry {
            let cannot = |e| format!("cannot enter {}: {e}", registry.display());
            _entry =
                Some(registry::Entry::enter(&registry, &name, at, &state, duties.as_ref()).map_err(cannot)?);
        }
    }
    let reload = reload::Reload {
        environment,
        in_force,
        discovery: place,
        core: core_in.clone(),
        pool: pool.clone(),
        server: server.clone(),
        figures,
    };
    spawn_local(reload.run(orders.reload));
    let handover = handover::Handover::new(folder.clone(), budget.clone(), core_in.clone());
    let (shared, mut clear) = watch::channel(!has_predecessor);
    let (bounds, links) = (server.clone(), pool);
    let share = move |shared| {
        let places = places(shared);
        bounds.most.set(places.clients);
        bounds.turned_away.set(places.turned_away);
        links.set_most(places.calls);
    };
    spawn_local(handover.run(share, shared));
    // A process that was there before first leaves this one its part of the descriptors.
    if timeout(CLEAR, clear.wait_for(|c| *c)).await.is_err() {
        tracing::warn!("the process before this one does not answer; going on beside it");
    }
    // Only now: a sender is used once it answers, and what the journals hold comes first.
    let listener = listen::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let accepting = spawn_local(server.clone().accept(listener, closing));
    // Written down before it is said: from now on the process before this one may be told to end.
    asked(&core_in, inbox::Input::Listening).await;
    drain.listening(Instant::now());

    tokio::select! {
        Some(()) = orders.end.recv() => {}
        // It only ends by itself when it has failed; a new process takes up the journal.
        ended = core => return Err(format!("the core ended: {ended:?}")),
    }
    let told = Instant::now();
    drain.end(Instant::now());
    if let Some(fleet) = fleet {
        spawn_local(async move { fleet.leave().await });
    }
    if let Some(duties) = held {
        spawn_local(async move { duties.leave().await });
    }
    // With a process to go on, clients find that one: nothing more need be taken here but what is on its way.
    if !(folder.has_successor() && asked(&core_in, inbox::Input::Yield).await) {
        sleep(ACCEPT_ON).await;
    }
    let _ = close.send(true);
    let _ = accepting.await;
    let gone = async {
        while server.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout((told + CLIENTS_GONE).saturating_duration_since(Instant::now()), gone).await;
    let _ = core_in.send(inbox::Input::Wind(told + BEGIN_ON)).await;
    let _ = timeout((told + END).saturating_duration_since(Instant::now()), core_in.closed()).await;
    Ok(())
}
