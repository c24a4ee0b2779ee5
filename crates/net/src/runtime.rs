//! Tasks, timers and clocks: those of the process, or those of a simulation that a test puts in their place.
//!
//! Everything that waits, or looks at a clock, does so through this module. Without a simulation each function is the
//! one of `monoio` or `std`.
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

/// A task without a result.
pub type Task = Pin<Box<dyn Future<Output = ()>>>;

/// What stands in for the loop and the clocks of the process.
pub trait Runtime {
    /// Runs a task beside the one that is running, as part of the same simulated process.
    fn spawn(&self, task: Task);
    /// The steady clock.
    fn now(&self) -> Instant;
    /// The wall clock of the simulated process.
    fn wall_clock(&self) -> SystemTime;
    /// Wakes a task at a time, unless the timer is cancelled before.
    fn start_timer(&self, at: Instant, waker: Waker) -> u64;
    /// A timer isn't needed any more.
    fn cancel_timer(&self, timer: u64);
    /// A number that no other process or disk has.
    fn unique(&self) -> u64;
    /// The simulated process ends by itself.
    fn exit(&self);
}

thread_local! {
    static SIMULATED: RefCell<Option<Rc<dyn Runtime>>> = const { RefCell::new(None) };
}

/// Puts a simulation in the place of the process's loop and clocks on this thread, or takes it away again.
pub fn simulate(runtime: Option<Rc<dyn Runtime>>) {
    SIMULATED.with(|simulated| *simulated.borrow_mut() = runtime);
}

fn simulated() -> Option<Rc<dyn Runtime>> {
    SIMULATED.with(|simulated| simulated.borrow().clone())
}

/// Runs a task beside the one that is running.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    match simulated() {
        Some(runtime) => runtime.spawn(Box::pin(task)),
        None => {
            monoio::spawn(task);
        }
    }
}

/// The steady clock.
pub fn now() -> Instant {
    simulated().map_or_else(Instant::now, |runtime| runtime.now())
}

/// The time since an instant on the steady clock.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// The wall clock.
pub fn wall_clock() -> SystemTime {
    simulated().map_or_else(SystemTime::now, |runtime| runtime.wall_clock())
}

/// A number that no other process or disk has.
pub fn unique() -> u64 {
    simulated().map_or_else(random, |runtime| runtime.unique())
}

/// Ends the process, with a failure.
pub async fn exit() -> std::convert::Infallible {
    match simulated() {
        Some(runtime) => runtime.exit(),
        None => std::process::exit(1),
    }
    std::future::pending().await
}

fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher
        .write_u128(wall_clock().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// Waits for a time.
pub async fn sleep(span: Duration) {
    match simulated() {
        Some(runtime) => SimulatedSleep { at: runtime.now() + span, timer: None, runtime }.await,
        None => monoio::time::sleep(span).await,
    }
}

/// No result came in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits for a result, for so long at the most.
pub async fn timeout<T>(span: Duration, task: impl Future<Output = T>) -> Result<T, Elapsed> {
    if simulated().is_none() {
        return monoio::time::timeout(span, task).await.map_err(|_| Elapsed);
    }
    let (mut task, mut limit) = (pin!(task), pin!(sleep(span)));
    poll_fn(|context| match task.as_mut().poll(context) {
        Poll::Ready(result) => Poll::Ready(Ok(result)),
        Poll::Pending => limit.as_mut().poll(context).map(|()| Err(Elapsed)),
    })
    .await
}

struct SimulatedSleep {
    runtime: Rc<dyn Runtime>,
    at: Instant,
    timer: Option<u64>,
}

impl Future for SimulatedSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if let Some(timer) = self.timer.take() {
            self.runtime.cancel_timer(timer);
        }
        if self.runtime.now() >= self.at {
            return Poll::Ready(());
        }
        self.timer = Some(self.runtime.start_timer(self.at, context.waker().clone()));
        Poll::Pending
    }
}

impl Drop for SimulatedSleep {
    fn drop(&mut self) {
        if let Some(timer) = self.timer.take() {
            self.runtime.cancel_timer(timer);
        }
    }
}
