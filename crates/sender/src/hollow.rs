//! A hollow sender: what controls a sender, without what it is there for.
//!
//! Membership, discovery's client and the reading of new settings are a sender's own, wired as `start` wires them. There is
//! no server, no journal and no decisions: where the core would be stands one that answers at once, and that only counts what
//! it is told. Hundreds fit into a process, so a fleet of any size can be looked at on one machine (`crates/scale`).
use crate::config::{self, Config, Environment};
use crate::drain::{Drain, Rest};
use crate::fleet::{self, Fleet};
use crate::inbox::{Input, INBOX};
use crate::memory::Budget;
use crate::reload::Reload;
use crate::server::{Server, Terms};
use crate::{connections, discovery, figures};
use machine::Machine;
use membership::{EntryStatus, MemberView, Roster, Standing};
use policy::rules::DiscoveryRetry;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// What a hollow sender's core was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Lists of endpoints, whole ones and changes.
    pub lists: u64,
    /// Their entries.
    pub entries: u64,
    /// Settings that were read again.
    pub settings: u64,
    /// Of the settings told last: how long a connection may take to be made, nanoseconds. None before any.
    pub dial_timeout: Option<i64>,
}

/// One that runs. Its tasks are the `LocalSet`'s, and end with that.
pub struct Hollow {
    fleet: Option<Rc<Fleet>>,
    told: Rc<Cell<Told>>,
}

impl Hollow {
    /// Starts one on a `LocalSet`. The error says what is wrong with its configuration.
    pub fn start(
        environment: Environment,
        machine: Rc<dyn Machine>,
        reload: mpsc::Receiver<()>,
    ) -> Result<Hollow, String> {
        let mut config = config::read(&environment)?;
        let (core, inbox) = mpsc::channel(INBOX);
        let told = Rc::new(Cell::default());
        spawn_local(stand_in(inbox, told.clone()));
        let drain = Rc::new(Drain::new(Instant::now()));
        let (discovery, place) = watch::channel(config.discovery);
        let asking = DiscoveryRetry::new(&config.settings, config.seed);
        let known = std::mem::replace(&mut config.known, Ok(Default::default()))?.version();
        let figures = Rc::new(figures::Figures::default());
        let taking = discovery::Taking { room: config.room(), figures: figures.clone() };
        spawn_local(discovery::follow(machine.clone(), place, core.clone(), known, asking, taking));
        let fleet = config.membership.take().map(|settings| {
            let life = machine.wall_ms().max(0) as u64;
            let host = fleet::Host { drain: drain.clone(), core: core.clone(), state: config.state.clone() };
            Rc::new(Fleet::new(machine.clone(), host, settings, &config.name, life, config.seed))
        });
        fleet.iter().for_each(|fleet| _ = spawn_local(fleet.clone().run()));
        spawn_local(reloading(environment, config, machine, core, drain, discovery, figures).run(reload));
        Ok(Hollow { fleet, told })
    }

    pub fn told(&self) -> Told {
        self.told.get()
    }

    /// Of those who are expected: how many are present, and how many there are.
    pub fn counts(&self) -> (usize, usize) {
        self.fleet.as_ref().map_or((0, 0), |fleet| fleet.counts())
    }

    /// None where membership is off, or has no socket yet.
    pub fn standing(&self) -> Option<Standing> {
        self.fleet.as_ref().and_then(|fleet| fleet.standing()).map(|(standing, _)| standing)
    }

    pub fn members(&self) -> Vec<MemberView> {
        self.fleet.as_ref().map_or_else(Vec::new, |fleet| fleet.members())
    }
}

/// The file that a member's folder keeps of a fleet that was whole, with the path of it in that folder.
pub fn roster<'a>(
    fleet: &str,
    members: impl Iterator<Item = (&'a str, SocketAddr)>,
) -> (&'static str, String) {
    let mut roster = Roster::default();
    for (name, address) in members {
        roster.set(name, EntryStatus::Expected, address);
    }
    (fleet::ROSTER, roster.to_json(fleet::number(fleet)))
}

/// The reading of new settings with all that hears of them. The server listens nowhere, and the pool dials nobody.
fn reloading(
    environment: Environment,
    config: Config,
    machine: Rc<dyn Machine>,
    core: mpsc::Sender<Input>,
    drain: Rc<Drain>,
    discovery: watch::Sender<SocketAddr>,
    figures: Rc<figures::Figures>,
) -> Reload {
    let (settings, budget) = (&config.settings, Budget::new(config.limits.memory_mb));
    let pool = connections::Pool::new(machine, settings.dial_timeout, settings.idle_close, 0);
    let terms = Terms::new(settings, config.host_settings);
    let server = Server::new(core.clone(), terms, budget, drain, figures.clone(), (0, 0));
    let (pool, server) = (Rc::new(pool), Rc::new(server));
    Reload { environment, in_force: config.file, discovery, core, pool, server, figures }
}

/// In the place of the core: answers at once, as one does that has nothing to do.
async fn stand_in(mut inbox: mpsc::Receiver<Input>, told: Rc<Cell<Told>>) {
    while let Some(input) = inbox.recv().await {
        let mut now = told.get();
        match input {
            Input::Rest(reply) => _ = reply.send(Rest::default()),
            Input::Gauges(reply) => _ = reply.send(figures::Gauges::default()),
            Input::List(list) => {
                now.lists += 1;
                now.entries += list.len() as u64;
            }
            Input::Settings(new) => {
                now.settings += 1;
                now.dial_timeout = Some(new.0.dial_timeout);
            }
            // Nothing else is asked of it: it has no clients and no process beside it.
            _ => {}
        }
        told.set(now);
    }
}
