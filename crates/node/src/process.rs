//! What every role's process has: settings, logs, times, signals.
use anyhow::Context as _;
use net::runtime;
use settings::ProcessSettings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// How often it is looked whether a signal came.
const SIGNALS_EVERY: Duration = Duration::from_millis(50);
/// How often the settings file is read again without a signal.
const SETTINGS_EVERY: u32 = 100;

/// Milliseconds of the wall clock, since 1970.
pub fn wall_ms() -> u64 {
    runtime::wall_clock().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A clock that only rises, in milliseconds from the start of the process.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(runtime::now())
    }

    /// Milliseconds since the start; never 0.
    pub fn ms(&self) -> u64 {
        runtime::elapsed(self.0).as_millis() as u64 + 1
    }

    /// Nanoseconds since the start.
    pub fn ns(&self) -> i64 {
        runtime::elapsed(self.0).as_nanos() as i64
    }
}

/// What a role is started with.
pub struct Process {
    pub settings: ProcessSettings,
    pub clock: Clock,
    /// The process was told to stop.
    pub stopping: Rc<Cell<bool>>,
}

/// Runs a role to its end: reads the settings, starts the log and the loop.
pub fn run<F: Future<Output = anyhow::Result<()>>>(role: impl FnOnce(Process) -> F) -> anyhow::Result<()> {
    let settings = ProcessSettings::from_environment()?;
    let config = simplelog::ConfigBuilder::new().set_time_format_rfc3339().build();
    simplelog::SimpleLogger::init(log::LevelFilter::Info, config).context("the log was started twice")?;
    let terminated = flag(SIGTERM)?;
    let reload = flag(SIGHUP)?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .context("the runtime cannot start; raise the limit on open files")?;
    let stopping = Rc::new(Cell::new(false));
    log::info!("{} starts", settings.node_name);
    let process = Process { settings, clock: Clock::start(), stopping: stopping.clone() };
    runtime.block_on(async move {
        runtime::spawn(watch_signals(terminated, reload, stopping));
        role(process).await
    })
}

fn flag(signal: i32) -> anyhow::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal, flag.clone())
        .with_context(|| format!("signal {signal} cannot be caught"))?;
    Ok(flag)
}

async fn watch_signals(terminated: Arc<AtomicBool>, reload: Arc<AtomicBool>, stopping: Rc<Cell<bool>>) {
    let mut rounds = 0_u32;
    loop {
        runtime::sleep(SIGNALS_EVERY).await;
        rounds += 1;
        if terminated.load(Ordering::Relaxed) && !stopping.replace(true) {
            log::info!("told to stop");
        }
        if reload.swap(false, Ordering::Relaxed) || rounds.is_multiple_of(SETTINGS_EVERY) {
            check_settings();
        }
    }
}

/// The file may have changed: faults in it are told, and what is in force stays until the next start.
fn check_settings() {
    if let Err(error) = ProcessSettings::from_environment() {
        log::warn!("the settings file has faults, the settings in force stay: {error}");
    }
}

/// Waits until the process is told to stop.
pub async fn stopped(stopping: &Cell<bool>) {
    while !stopping.get() {
        runtime::sleep(SIGNALS_EVERY).await;
    }
}
