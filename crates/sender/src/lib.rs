//! One sender of messages: takes them from clients, keeps them, delivers them or says what became of them.
//!
//! [`run`] is the whole of it, from start to end. It touches what it is given: a [`Machine`] for sockets and the wall
//! clock, an [`Environment`] for where its files are, [`Orders`] from the platform, and tokio's clock. It keeps no global
//! state, so several can run side by side on one `LocalSet`, and it decides nothing about messages: `policy` does.
//!
//! A message's way: `server` reads it and offers it to the `inbox`; a round of the `core` gathers what has come, asks
//! `policy`, writes the outcome to the `journal` (`disk`), and acts: the client is answered, `calls` go out over
//! `connections` (whose book is `pool`), or `notices` tell the platform. Their ends come back through the `inbox`.
//! Around it: `discovery` follows the list, `handover` what other processes of this sender leave, `control` serves
//! operators, `reload` takes new settings, `drain` leads from service to the end. `hollow` is a sender without clients and
//! journal, for the scale run.
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
mod endpoints;
mod figures;
mod fleet;
mod handover;
pub mod hollow;
mod inbox;
mod life;
mod list;
mod list_reader;
mod listing;
mod memory;
mod notices;
mod pool;
mod registry;
mod reload;
mod server;
mod start;
mod wire;

pub use config::Environment;
use machine::Machine;
use start::{Kept, Sender};
use std::rc::Rc;
use tokio::sync::mpsc;

/// What the platform tells a running sender. One whose other end is dropped says nothing any more.
pub struct Orders {
    /// To end, in order.
    pub end: mpsc::Receiver<()>,
    /// The configuration's file was replaced.
    pub reload: mpsc::Receiver<()>,
}

/// Runs a sender on a `LocalSet` until it is told to end, and for up to 3.3 s more. The error says why it could not
/// start, or that its core has failed.
pub async fn run(
    environment: Environment,
    machine: Rc<dyn Machine>,
    mut orders: Orders,
) -> Result<(), String> {
    let config = config::read(&environment)?;
    let kept = Kept::open(machine.clone(), &config)?;
    let (sender, mut core) = Sender::start(environment, machine, config, kept, orders.reload).await?;
    tokio::select! {
        Some(()) = orders.end.recv() => {}
        // It only ends by itself when it has failed; a new process takes up the journal.
        ended = &mut core => return Err(format!("the core ended: {ended:?}")),
    }
    sender.end().await;
    Ok(())
}
