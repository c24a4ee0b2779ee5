//! nickelshed: one real sender. Logs, signals and exit codes; all else is the `sender` library.
use sender::{Environment, Orders};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn main() -> ExitCode {
    run(Rc::new(machine::Real))
}

/// The whole program on this machine.
pub fn run(machine: Rc<dyn machine::Machine>) -> ExitCode {
    let level = std::env::var("RUST_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    // A line that can't be written is lost. To say so on the same stream would fail as well, and end the process.
    let log = tracing_subscriber::fmt().log_internal_errors(false).with_max_level(level);
    log.with_writer(std::io::stderr).with_ansi(false).init();
    match start(machine) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

fn start(machine: Rc<dyn machine::Machine>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new()
        .block_on(&runtime, async { sender::run(Environment::of_process(), machine, orders()?).await })
}

/// SIGTERM and SIGINT end the sender, SIGHUP has it read its file again. One that comes while another waits to be
/// heard says nothing more than that one.
fn orders() -> Result<Orders, String> {
    let signals = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let mut hangup = signals(SignalKind::hangup())?;
    let ((ends, end), (reloads, reload)) = (mpsc::channel(1), mpsc::channel(1));
    spawn_local(async move {
        loop {
            let _ = tokio::select! {
                _ = terminate.recv() => ends.try_send(()),
                _ = interrupt.recv() => ends.try_send(()),
                _ = hangup.recv() => reloads.try_send(()),
            };
        }
    });
    Ok(Orders { end, reload })
}
