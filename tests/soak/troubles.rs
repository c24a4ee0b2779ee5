//! What happens to the processes of a soak: planned work in series and overlapping, and unplanned trouble between.
use crate::judge::Judge;
use crate::lot::Lot;
use crate::operator::Operator;
use crate::rig::{pause, Rig, Role};
use crate::Plan;
use std::collections::{BTreeMap, BTreeSet};
use std::os::unix::process::ExitStatusExt as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// A process that was told to stop has ended by then.
const GRACE: Duration = Duration::from_millis(6_000);
/// The spans between two troubles, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 80..700;
/// A newcomer is known to all after so long, in milliseconds.
const KNOWN_MS: u64 = 1_500;
const TICK_MS: u64 = 20;
/// After the loss of a disk, the next one may be lost once the machine has been back for so long.
const CATCH_UP: Duration = Duration::from_millis(4_500);
/// A process catches signals by then.
const CATCHES_SIGNALS: Duration = Duration::from_millis(500);
const SIGTERM: i32 = 15;

/// What becomes of a process that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// It starts again after so many milliseconds.
    Starts(u64),
    Removed,
}

/// Something that is under way.
#[derive(Clone, Copy, Debug)]
enum Doing {
    Stopping {
        role: Role,
        machine: usize,
        since: Instant,
        after: After,
    },
    Down {
        role: Role,
        machine: usize,
        until: Instant,
        /// It starts again with an empty disk.
        wiped: bool,
    },
    /// A store that lost its disk counts as lost until others have made good what it held.
    CatchingUp {
        until: Instant,
    },
    Frozen {
        role: Role,
        machine: usize,
        until: Instant,
    },
    Retiring {
        machine: usize,
    },
    /// A store that is told to stop for good once its successor is known.
    Replaced {
        machine: usize,
        at: Instant,
    },
}

/// The troubles of a run.
pub struct Troubles {
    rig: Rig,
    plan: Plan,
    judge: Arc<Judge>,
    doing: Vec<Doing>,
    /// Restarts that are to come, one after the other.
    series: Vec<(Role, usize)>,
    stores: BTreeSet<usize>,
    next_store: usize,
    /// When processes were started again.
    started: BTreeMap<(&'static str, usize), Instant>,
    operator: Operator,
    lot: Lot,
    happened: Vec<&'static str>,
    /// How many processes stand still.
    frozen: Arc<AtomicUsize>,
}

/// Notes trouble as long as any process stands still, also while the operator waits for an answer.
fn note_frozen(frozen: &Weak<AtomicUsize>, judge: &Judge) {
    while let Some(frozen) = frozen.upgrade() {
        if frozen.load(Ordering::Relaxed) > 0 {
            judge.trouble();
        }
        drop(frozen);
        pause(TICK_MS);
    }
}

impl Troubles {
    pub fn new(rig: Rig, plan: Plan, judge: Arc<Judge>, operator: Operator) -> Troubles {
        let frozen = Arc::new(AtomicUsize::new(0));
        let (watched, told) = (Arc::downgrade(&frozen), judge.clone());
        std::thread::spawn(move || note_frozen(&watched, &told));
        Troubles {
            rig,
            frozen,
            plan,
            judge,
            doing: Vec::new(),
            series: Vec::new(),
            stores: (0..plan.size.stores).collect(),
            next_store: plan.size.stores,
            started: BTreeMap::new(),
            operator,
            lot: Lot::new(plan.seed.wrapping_add(77)),
            happened: Vec::new(),
        }
    }

    pub fn rig(&self) -> &Rig {
        &self.rig
    }

    fn draw(&mut self, below: usize) -> usize {
        self.lot.draw(below as u64) as usize
    }

    /// Plays the troubles of the run.
    pub fn play(&mut self) {
        let until = Instant::now() + self.plan.lasts;
        let mut next = Instant::now();
        while Instant::now() < until {
            self.go_on();
            if Instant::now() >= next {
                self.begin();
                let wait = PAUSE_MS.start + self.draw((PAUSE_MS.end - PAUSE_MS.start) as usize) as u64;
                next = Instant::now() + Duration::from_millis(wait);
            }
            pause(TICK_MS);
        }
    }

    /// Lets everything that is under way come to its end.
    pub fn end(&mut self) {
        self.series.clear();
        self.operator.end(&self.rig);
        let until = Instant::now() + 3 * GRACE;
        while !self.doing.is_empty() && Instant::now() < until {
            self.go_on();
            pause(TICK_MS);
        }
        if !self.doing.is_empty() {
            self.judge.broke(format!("not over in time: {:?}", self.doing));
        }
    }

    /// Is anything of a kind of process away or about to be?
    fn is_busy(&self, role: Role) -> bool {
        self.doing.iter().any(|doing| match doing {
            Doing::Stopping { role: of, .. }
            | Doing::Down { role: of, .. }
            | Doing::Frozen { role: of, .. } => *of == role,
            Doing::Retiring { .. } => false,
            Doing::Replaced { .. } | Doing::CatchingUp { .. } => role == Role::Store,
        })
    }

    fn is_retiring(&self) -> bool {
        self.doing.iter().any(|doing| matches!(doing, Doing::Retiring { .. }))
    }

    /// Processes of a role that nothing is being done to.
    fn untouched(&self, role: Role) -> Vec<usize> {
        let touched = |machine: usize| {
            self.doing.iter().any(|doing| match doing {
                Doing::Stopping { role: of, machine: at, .. }
                | Doing::Down { role: of, machine: at, .. }
                | Doing::Frozen { role: of, machine: at, .. } => *of == role && *at == machine,
                Doing::Retiring { machine: at } | Doing::Replaced { machine: at, .. } => {
                    role == Role::Store && *at == machine
                }
                Doing::CatchingUp { .. } => false,
            })
        };
        let all: Vec<usize> = match role {
            Role::Control => (0..self.plan.size.control).collect(),
            Role::Edge => (0..self.plan.size.edges).collect(),
            Role::Store => self.stores.iter().copied().collect(),
        };
        all.into_iter().filter(|machine| !touched(*machine)).collect()
    }

    /// Whether one more process of a role may be away: one store and one control machine at once, of edges all but one.
    fn may_go(&self, role: Role) -> bool {
        match role {
            Role::Edge => self.untouched(role).len() > 1,
            _ => !self.is_busy(role),
        }
    }

    fn any(&mut self, role: Role) -> Option<usize> {
        let untouched = self.untouched(role);
        let at = self.draw(untouched.len());
        untouched.get(at).copied()
    }

    fn begin(&mut self) {
        let role = [Role::Store, Role::Edge, Role::Store, Role::Control][self.draw(4)];
        let unplanned = self.plan.unplanned && self.draw(3) == 0;
        match self.draw(10) {
            _ if unplanned => self.hit(role),
            0..3 => self.restart(role),
            3 => {
                let all = self.untouched(role);
                self.series.extend(all.into_iter().map(|machine| (role, machine)));
            }
            4 | 5 => self.change_configuration(),
            6 => {
                if let Some(machine) = self.any(role) {
                    self.rig.tell_of_settings(role, machine);
                    self.happened.push("settings");
                }
            }
            7 | 8 => self.retire(),
            _ => self.replace(),
        }
    }

    fn restart(&mut self, role: Role) {
        if let Some(machine) = self.any(role).filter(|_| self.may_go(role)) {
            let after = After::Starts(50 + self.draw(1_400) as u64);
            self.stop(role, machine, after);
        }
    }

    fn stop(&mut self, role: Role, machine: usize, after: After) {
        self.rig.tell_to_stop(role, machine);
        self.doing.push(Doing::Stopping { role, machine, since: Instant::now(), after });
        self.happened.push("stop");
    }

    fn hit(&mut self, role: Role) {
        let Some(machine) = self.any(role).filter(|_| self.may_go(role)) else { return };
        self.judge.trouble();
        let until = Instant::now() + Duration::from_millis(100 + self.draw(2_500) as u64);
        match self.draw(3) {
            0 => {
                self.rig.freeze(role, machine);
                self.doing.push(Doing::Frozen { role, machine, until });
                self.frozen.fetch_add(1, Ordering::Relaxed);
                self.happened.push("freeze");
            }
            1 if role == Role::Store && !self.is_retiring() => {
                self.rig.kill(role, machine);
                self.doing.push(Doing::Down { role, machine, until, wiped: true });
                self.doing.push(Doing::CatchingUp { until: until + CATCH_UP });
                self.happened.push("wipe");
            }
            _ => {
                self.rig.kill(role, machine);
                self.doing.push(Doing::Down { role, machine, until, wiped: false });
                self.happened.push("kill");
            }
        }
    }

    fn change_configuration(&mut self) {
        let kind = self.operator.change(&self.rig);
        self.happened.push(kind);
    }

    fn retire(&mut self) {
        if self.stores.len() < 4 || self.is_retiring() {
            return;
        }
        let Some(machine) = self.any(Role::Store) else { return };
        let answer = self.rig.ask_anywhere("POST", &format!("/v1/retire/store-{machine}/start"));
        if answer.is_some_and(|answer| answer.status == 200) {
            self.doing.push(Doing::Retiring { machine });
            self.happened.push("retire");
        }
    }

    /// A new store comes, and one goes for good; sometimes the new one is only added.
    fn replace(&mut self) {
        if self.is_busy(Role::Store) {
            return;
        }
        let old = self.any(Role::Store);
        let machine = self.next_store;
        self.next_store += 1;
        self.rig.add(Role::Store, machine);
        self.stores.insert(machine);
        let only_added = self.stores.len() <= self.plan.size.stores;
        if let Some(machine) = old.filter(|_| !only_added) {
            let at = Instant::now() + Duration::from_millis(KNOWN_MS);
            self.doing.push(Doing::Replaced { machine, at });
        }
        self.happened.push("replace");
    }

    /// What is under way goes on.
    fn go_on(&mut self) {
        self.operator.go_on(&self.rig);
        for doing in std::mem::take(&mut self.doing) {
            if let Some(doing) = self.go_on_with(doing) {
                self.doing.push(doing);
            }
        }
        let frozen = self.doing.iter().filter(|doing| matches!(doing, Doing::Frozen { .. })).count();
        self.frozen.store(frozen, Ordering::Relaxed);
        let next = self.series.last().copied();
        if let Some((role, machine)) = next.filter(|(role, _)| self.may_go(*role)) {
            self.series.pop();
            if self.untouched(role).contains(&machine) {
                let after = After::Starts(50 + self.draw(600) as u64);
                self.stop(role, machine, after);
            }
        }
    }

    fn go_on_with(&mut self, doing: Doing) -> Option<Doing> {
        let now = Instant::now();
        match doing {
            Doing::Stopping { role, machine, since, after } => self.wait_for_end(role, machine, since, after),
            Doing::Down { role, machine, until, wiped } if now >= until => {
                self.rig.start_again(role, machine, wiped);
                self.started.insert((role.name(), machine), now);
                None
            }
            Doing::Frozen { role, machine, until } => {
                self.judge.trouble();
                if now < until {
                    return Some(doing);
                }
                self.rig.thaw(role, machine);
                None
            }
            Doing::Retiring { machine } => {
                let answer = self.rig.ask_anywhere("GET", &format!("/v1/retire/store-{machine}/read"));
                if !answer.is_some_and(|answer| answer.body.contains("completed")) {
                    return Some(doing);
                }
                self.take_away(machine);
                None
            }
            Doing::CatchingUp { until } if now >= until => None,
            Doing::Replaced { machine, at } if now >= at => {
                self.stop(Role::Store, machine, After::Removed);
                None
            }
            doing => Some(doing),
        }
    }

    fn wait_for_end(&mut self, role: Role, machine: usize, since: Instant, after: After) -> Option<Doing> {
        let Some(status) = self.rig.has_ended(role, machine) else {
            if since.elapsed() > GRACE {
                self.judge.broke(format!("{role:?} {machine} runs on {GRACE:?} after it was told to stop"));
                self.rig.kill(role, machine);
            }
            return Some(Doing::Stopping { role, machine, since, after });
        };
        // One that was just started may not have got to catch signals: it ends by the signal itself.
        let lived =
            self.started.get(&(role.name(), machine)).map_or(Duration::MAX, |at| since.duration_since(*at));
        let by_signal = status.signal() == Some(SIGTERM) && lived < CATCHES_SIGNALS;
        if !status.success() && !by_signal {
            self.judge.broke(format!(
                "{role:?} {machine} stopped with {status}, told to {lived:?} after its start"
            ));
        }
        match after {
            After::Removed => {
                self.stores.remove(&machine);
                None
            }
            After::Starts(ms) => {
                let until = Instant::now() + Duration::from_millis(ms);
                Some(Doing::Down { role, machine, until, wiped: false })
            }
        }
    }

    /// A retired machine is taken away with its disk.
    fn take_away(&mut self, machine: usize) {
        self.stores.remove(&machine);
        let mut left = Vec::new();
        for doing in std::mem::take(&mut self.doing) {
            let same = matches!(doing, Doing::Stopping { role: Role::Store, machine: at, .. }
                | Doing::Down { role: Role::Store, machine: at, .. }
                | Doing::Frozen { role: Role::Store, machine: at, .. } if at == machine);
            if !same {
                left.push(doing);
            }
        }
        self.doing = left;
        if self.rig.runs(Role::Store, machine) {
            self.rig.kill(Role::Store, machine);
        }
        self.happened.push("retired");
    }

    /// Keeps the logs of a run that broke a rule.
    pub fn keep_logs(&self, seed: u64) {
        self.rig.keep_logs(&std::env::temp_dir().join(format!("soak-{seed}")));
    }

    pub fn summary(&self) -> String {
        let kinds: BTreeSet<&str> = self.happened.iter().copied().collect();
        let count = |kind: &str| self.happened.iter().filter(|other| **other == kind).count();
        kinds.into_iter().map(|kind| format!("{kind} {}", count(kind))).collect::<Vec<_>>().join(", ")
    }
}
