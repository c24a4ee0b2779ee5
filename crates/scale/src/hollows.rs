//! Hollow senders by threads: each thread has a runtime of its own and some dozens of them, and tells now and then how they
//! see their fleet, what it has spent, and how late it was.
use crate::net::{Counted, Net};
use membership::State;
use sender::hollow::Hollow;
use sender::Environment;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Members of one thread at most.
pub const EACH: usize = 64;
/// How often a thread looks at its clock, and how many looks lie between two tellings of what its members see.
const LOOK: Duration = Duration::from_millis(5);
const TOLD: u32 = 4;
/// Looks between two members whose whole view is gone through; that is much work in a large fleet.
const GONE_THROUGH: u32 = 20;

/// What one member sees, as it was last told.
#[derive(Debug, Default)]
pub struct Seen {
    pub present: AtomicU32,
    pub expected: AtomicU32,
    /// Settings that it has read again, and the mark of those in force.
    pub settings: AtomicU64,
    pub mark: AtomicI64,
    pub lists: AtomicU64,
}

/// What all threads write to.
#[derive(Debug, Default)]
pub struct Board {
    pub seen: Vec<Seen>,
    /// Nanoseconds on a core, by thread.
    busy: Vec<AtomicU64>,
    /// Microseconds that a look came too late at worst, since it was last asked.
    late: AtomicU64,
    /// Members that live, can be reached, and were taken for failed: who saw it so, and whom.
    wrong: Mutex<HashSet<(usize, usize)>>,
    /// Whether these are looked for: not while a cut that has ended is still being found out.
    judges: AtomicBool,
    stop: AtomicBool,
}

impl Board {
    /// Time on a core of all threads.
    pub fn busy(&self) -> Duration {
        Duration::from_nanos(self.busy.iter().map(|b| b.load(Relaxed)).sum())
    }

    /// How late a thread was at worst since this was last asked.
    pub fn take_late(&self) -> Duration {
        Duration::from_micros(self.late.swap(0, Relaxed))
    }

    pub fn note_late(&self, late: Duration) {
        self.late.fetch_max(late.as_micros() as u64, Relaxed);
    }

    /// From now on wrong verdicts are looked for, or not.
    pub fn judge(&self, judges: bool) {
        self.judges.store(judges, Relaxed);
    }

    pub fn note_wrong(&self, by: usize, whom: usize) {
        self.wrong.lock().unwrap_or_else(PoisonError::into_inner).insert((by, whom));
    }

    /// Pairs found since this was last asked.
    pub fn take_wrong(&self) -> usize {
        std::mem::take(&mut *self.wrong.lock().unwrap_or_else(PoisonError::into_inner)).len()
    }
}

/// One member to be started.
pub struct Seat {
    pub member: usize,
    pub environment: Environment,
}

/// All threads. They end when this is dropped.
pub struct Hollows {
    pub board: Arc<Board>,
    reloads: Vec<(usize, mpsc::Sender<()>)>,
    threads: Vec<JoinHandle<Result<(), String>>>,
}

impl Hollows {
    /// `members`: how many the fleet has, real ones included.
    pub fn start(seats: Vec<Seat>, members: usize, net: &Arc<Net>) -> Result<Hollows, String> {
        let count = seats.len().div_ceil(EACH);
        let board = Arc::new(Board {
            seen: (0..members).map(|_| Seen::default()).collect(),
            busy: (0..count).map(|_| AtomicU64::default()).collect(),
            ..Board::default()
        });
        let mut hollows = Hollows { board, reloads: Vec::new(), threads: Vec::new() };
        let mut seats = seats.into_iter();
        for number in 0..count {
            // Those of one thread are from all over the fleet, as members are dealt out.
            let mut own = Vec::new();
            for seat in seats.by_ref().take(EACH) {
                let (reload, reloads) = mpsc::channel(1);
                hollows.reloads.push((seat.member, reload));
                own.push((seat, reloads));
            }
            let (board, net) = (hollows.board.clone(), net.clone());
            let thread = std::thread::Builder::new().name(format!("hollow-{number}"));
            let thread = thread.spawn(move || run(number, own, &board, &net)).map_err(|e| e.to_string())?;
            hollows.threads.push(thread);
        }
        Ok(hollows)
    }

    /// Tells one that its file was replaced. One that waits to be heard says no more than that.
    pub fn reload(&self) {
        self.reloads.iter().for_each(|(_, reload)| _ = reload.try_send(()));
    }

    /// Hollow members by number.
    pub fn members(&self) -> impl Iterator<Item = usize> + '_ {
        self.reloads.iter().map(|(member, _)| *member)
    }

    /// Why a thread has ended though it was not told to.
    pub fn failed(&mut self) -> Option<String> {
        let ended = self.threads.iter().position(JoinHandle::is_finished)?;
        let why = match self.threads.swap_remove(ended).join() {
            Ok(Ok(())) => "it was not told to".to_string(),
            Ok(Err(why)) => why,
            Err(_) => "it panicked".to_string(),
        };
        Some(format!("a thread of hollow senders ended: {why}"))
    }
}

impl Drop for Hollows {
    fn drop(&mut self) {
        self.board.stop.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// What this thread has spent on a core.
fn busy() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is valid for the call, and the clock is every thread's own.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn run(
    number: usize,
    seats: Vec<(Seat, mpsc::Receiver<()>)>,
    board: &Board,
    net: &Arc<Net>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let mut all = Vec::new();
        for (seat, reloads) in seats {
            let machine = Rc::new(Counted { net: net.clone(), member: seat.member });
            all.push((seat.member, Hollow::start(seat.environment, machine, reloads)?));
        }
        let addresses = net.places().iter().enumerate().map(|(member, p)| (p.known_by, member)).collect();
        let (mut looks, mut next) = (0u32, 0);
        while !board.stop.load(Relaxed) {
            let before = Instant::now();
            tokio::time::sleep(LOOK).await;
            // Its timers go by milliseconds.
            board.note_late(before.elapsed().saturating_sub(LOOK + Duration::from_millis(1)));
            board.busy[number].store(busy().as_nanos() as u64, Relaxed);
            looks = looks.wrapping_add(1);
            if looks.is_multiple_of(TOLD) {
                all.iter().for_each(|(member, hollow)| tell(&board.seen[*member], hollow));
            }
            if looks.is_multiple_of(GONE_THROUGH) && board.judges.load(Relaxed) {
                let (member, hollow) = &all[next % all.len()];
                next += 1;
                judge(*member, hollow, board, net, &addresses);
            }
        }
        Ok(())
    })
}

fn tell(seen: &Seen, hollow: &Hollow) {
    let (present, expected) = hollow.counts();
    seen.present.store(present as u32, Relaxed);
    seen.expected.store(expected as u32, Relaxed);
    let told = hollow.told();
    seen.settings.store(told.settings, Relaxed);
    seen.mark.store(told.dial_timeout.unwrap_or(0), Relaxed);
    seen.lists.store(told.lists, Relaxed);
}

/// Looks for members that this one takes for failed, and that it could hear and be heard by.
fn judge(member: usize, hollow: &Hollow, board: &Board, net: &Net, addresses: &HashMap<SocketAddr, usize>) {
    let failed = hollow.members().into_iter().filter(|v| v.state == State::Failed);
    for other in failed.filter_map(|v| addresses.get(&v.address).copied()) {
        if net.are_together(member, other) {
            board.note_wrong(member, other);
        }
    }
}
