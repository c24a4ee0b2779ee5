//! Plays a plan: its fleets one after the other, each with what the plan asks of it, and then what it asks of one real sender alone: lists, messages.
use crate::recorder::Run;
pub use crate::recorder::{Play, Summary};
use crate::{held, lists, messages};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// Ctrl-C sets it, as long as the process lives.
pub fn interrupted() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::default());
    let told = stop.clone();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
            told.store(true, Relaxed);
        }
    });
    stop
}

/// Plays it on this thread. The error says which bound was reached, or what of the run itself failed; nothing is left
/// running then either.
pub fn play(play: Play<'_>) -> Result<Summary, String> {
    let mut run = Run::new(play);
    for senders in run.plan.senders.clone() {
        run.fleet(senders as usize)?;
    }
    lists::play(&mut run)?;
    messages::play(&mut run)?;
    held::play(&mut run)?;
    Ok(run.summary())
}
