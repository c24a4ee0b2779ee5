//! Simulated time: tasks of many processes on one thread, in an order that depends on a seed alone.
use crate::logs;
use net::runtime::{self, Runtime, Task};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Wake, Waker};
use std::time::{Duration, Instant, SystemTime};

/// The number of a simulated process.
pub type ProcessId = u64;

/// What is around the processes: clients, endpoints, the network.
pub const WORLD: ProcessId = 0;
/// More polls than this without time passing are an endless loop.
const MOST_POLLS_AT_ONCE: u32 = 1_000_000;

type TaskId = u64;

/// Tasks that were woken, in that order.
type Ready = Arc<Mutex<Vec<TaskId>>>;

struct TaskWaker {
    task: TaskId,
    ready: Ready,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.ready.lock().expect("one thread").push(self.task);
    }
}

struct State {
    started: Instant,
    now: Cell<Duration>,
    current: Cell<ProcessId>,
    next: Cell<u64>,
    /// Tasks by number; one that is being polled has left its place.
    tasks: RefCell<BTreeMap<TaskId, (ProcessId, Option<Task>)>>,
    ready: Ready,
    timers: RefCell<BTreeMap<(Duration, u64), Waker>>,
    timer_times: RefCell<BTreeMap<u64, Duration>>,
    /// Frozen processes, and their tasks that were woken meanwhile.
    frozen: RefCell<BTreeMap<ProcessId, Vec<TaskId>>>,
    /// Processes that ended by themselves.
    exited: RefCell<BTreeSet<ProcessId>>,
    /// How far the wall clocks of processes are ahead of simulated time, in milliseconds.
    skews: RefCell<BTreeMap<ProcessId, u64>>,
    /// What processes are called in logs.
    names: RefCell<BTreeMap<ProcessId, String>>,
    lot: RefCell<Pcg64Mcg>,
}

/// Simulated time and the tasks that run in it.
#[derive(Clone)]
pub struct Simulation(Rc<State>);

impl Simulation {
    /// A simulation that stands in for the loop and clocks of this thread from now on.
    pub fn new(seed: u64) -> Simulation {
        let simulation = Simulation(Rc::new(State {
            started: Instant::now(),
            now: Cell::new(Duration::ZERO),
            current: Cell::new(WORLD),
            next: Cell::new(1),
            tasks: RefCell::default(),
            ready: Ready::default(),
            timers: RefCell::default(),
            timer_times: RefCell::default(),
            frozen: RefCell::default(),
            exited: RefCell::default(),
            skews: RefCell::default(),
            names: RefCell::default(),
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }));
        runtime::simulate(Some(Rc::new(simulation.clone())));
        logs::name_time_by(&simulation);
        simulation
    }

    fn number(&self) -> u64 {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        number
    }

    /// A new process, without tasks, and what it is called in logs.
    pub fn new_process(&self, name: &str) -> ProcessId {
        let process = self.number();
        self.0.names.borrow_mut().insert(process, name.to_string());
        process
    }

    /// What the process that is running is called.
    pub fn current_name(&self) -> String {
        self.0.names.borrow().get(&self.0.current.get()).cloned().unwrap_or_default()
    }

    /// Starts a task in a process.
    pub fn spawn_in(&self, process: ProcessId, task: impl Future<Output = ()> + 'static) {
        let id = self.number();
        self.0.tasks.borrow_mut().insert(id, (process, Some(Box::pin(task))));
        self.0.ready.lock().expect("one thread").push(id);
    }

    /// Ends a process: none of its tasks runs on.
    pub fn kill(&self, process: ProcessId) {
        let ended: Vec<Task> = {
            let mut tasks = self.0.tasks.borrow_mut();
            let ids: Vec<TaskId> =
                tasks.iter().filter(|(_, (of, _))| *of == process).map(|(id, _)| *id).collect();
            ids.iter().filter_map(|id| tasks.remove(id)).filter_map(|(_, task)| task).collect()
        };
        drop(ended);
        self.0.frozen.borrow_mut().remove(&process);
    }

    /// A process stands still until it is thawed.
    pub fn freeze(&self, process: ProcessId) {
        self.0.frozen.borrow_mut().entry(process).or_default();
    }

    /// A frozen process goes on.
    pub fn thaw(&self, process: ProcessId) {
        let woken = self.0.frozen.borrow_mut().remove(&process);
        self.0.ready.lock().expect("one thread").extend(woken.into_iter().flatten());
    }

    /// Whether a process has ended by itself.
    pub fn has_exited(&self, process: ProcessId) -> bool {
        self.0.exited.borrow().contains(&process)
    }

    /// The wall clock of a process is ahead by so many milliseconds.
    pub fn set_skew(&self, process: ProcessId, ahead_ms: u64) {
        self.0.skews.borrow_mut().insert(process, ahead_ms);
    }

    /// Milliseconds since the beginning.
    pub fn ms(&self) -> u64 {
        self.0.now.get().as_millis() as u64
    }

    /// Lets time pass.
    pub fn run_for(&self, span: Duration) {
        let until = self.0.now.get() + span;
        loop {
            self.run_ready();
            let due = self.0.timers.borrow().keys().next().copied().filter(|(at, _)| *at <= until);
            let Some((at, timer)) = due else { break };
            self.0.now.set(self.0.now.get().max(at));
            self.0.timer_times.borrow_mut().remove(&timer);
            let waker = self.0.timers.borrow_mut().remove(&(at, timer));
            waker.into_iter().for_each(Waker::wake);
        }
        self.0.now.set(until);
    }

    fn run_ready(&self) {
        for _ in 0..MOST_POLLS_AT_ONCE {
            let woken = std::mem::take(&mut *self.0.ready.lock().expect("one thread"));
            if woken.is_empty() {
                return;
            }
            woken.into_iter().for_each(|task| self.poll(task));
        }
        panic!("tasks wake each other without time passing");
    }

    fn poll(&self, id: TaskId) {
        let Some(process) = self.0.tasks.borrow().get(&id).map(|(process, _)| *process) else { return };
        if let Some(woken) = self.0.frozen.borrow_mut().get_mut(&process) {
            woken.push(id);
            return;
        }
        let taken = self.0.tasks.borrow_mut().get_mut(&id).and_then(|(_, task)| task.take());
        let Some(mut task) = taken else { return };
        let before = self.0.current.replace(process);
        let waker = Waker::from(Arc::new(TaskWaker { task: id, ready: self.0.ready.clone() }));
        let done = task.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        self.0.current.set(before);
        let mut tasks = self.0.tasks.borrow_mut();
        if done {
            tasks.remove(&id);
        } else if let Some((_, place)) = tasks.get_mut(&id) {
            // It is gone if its process was killed meanwhile.
            *place = Some(task);
        }
    }
}

impl Runtime for Simulation {
    fn spawn(&self, task: Task) {
        self.spawn_in(self.0.current.get(), task);
    }

    fn now(&self) -> Instant {
        self.0.started + self.0.now.get()
    }

    fn wall_clock(&self) -> SystemTime {
        let ahead = self.0.skews.borrow().get(&self.0.current.get()).copied().unwrap_or(0);
        // Any day will do.
        let began = Duration::from_secs(1_700_000_000);
        SystemTime::UNIX_EPOCH + began + self.0.now.get() + Duration::from_millis(ahead)
    }

    fn start_timer(&self, at: Instant, waker: Waker) -> u64 {
        let (timer, at) = (self.number(), at.saturating_duration_since(self.0.started));
        self.0.timers.borrow_mut().insert((at, timer), waker);
        self.0.timer_times.borrow_mut().insert(timer, at);
        timer
    }

    fn cancel_timer(&self, timer: u64) {
        if let Some(at) = self.0.timer_times.borrow_mut().remove(&timer) {
            self.0.timers.borrow_mut().remove(&(at, timer));
        }
    }

    fn unique(&self) -> u64 {
        self.0.lot.borrow_mut().random_range(1..u64::MAX)
    }

    fn exit(&self) {
        self.0.exited.borrow_mut().insert(self.0.current.get());
    }
}
