//! Seeded fault injection: which faults occur, and how many of them at once.
use super::*;

/// How long a machine still counts as lost after its fault has ended, so that it can catch up.
const CATCH_UP_TIME: Ms = 4_500;

/// Which faults may occur at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regime {
    /// No more machines are lost at once than the group tolerates. A machine counts as lost until it had time to catch up.
    Tolerated,
    /// Any machines may be down, frozen or isolated at any time. No more disks are lost at once than the group tolerates; the
    /// next one is lost only after a period without faults in which the group could recover.
    BeyondTolerated,
    /// Like `BeyondTolerated`, with short faults in quick succession that hit running elections, and without lost disks.
    Rapid,
    /// Only the primary is isolated or frozen, repeatedly, for up to twenty seconds.
    IsolatedPrimary,
}

/// The faults of a run.
pub struct FaultInjection {
    regime: Regime,
    /// Pairs of sender and receiver between which no message passes.
    blocked_links: BTreeSet<(usize, usize)>,
    partition_end: Ms,
    /// The time until which a machine counts as lost, by machine.
    lost_until: BTreeMap<usize, Ms>,
    /// When the last fault of any kind ends.
    last_fault_end: Ms,
    /// A disk was lost, and the group had no time yet to recover from that.
    disk_loss_pending: bool,
}

impl FaultInjection {
    pub fn new(regime: Regime) -> FaultInjection {
        FaultInjection {
            regime,
            blocked_links: BTreeSet::new(),
            partition_end: 0,
            lost_until: BTreeMap::new(),
            last_fault_end: STARTUP_TIME,
            disk_loss_pending: false,
        }
    }

    pub fn regime(&self) -> Regime {
        self.regime
    }

    pub fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to))
    }

    pub fn partition_end(&self) -> Ms {
        self.partition_end
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Records a planned stop of a machine, for a time or permanently.
    pub fn record_stop(&mut self, i: usize, now: Ms, duration: Option<Ms>) {
        if let Some(duration) = duration {
            self.lost_until.insert(i, now + duration + CATCH_UP_TIME);
        }
        self.last_fault_end = self.last_fault_end.max(now + duration.unwrap_or(0));
    }

    fn lost_count(&self, now: Ms) -> usize {
        self.lost_until.values().filter(|until| **until > now).count()
    }

    fn record_loss(&mut self, machines: &[usize], until: Ms) {
        for i in machines {
            let lost = self.lost_until.entry(*i).or_default();
            *lost = (*lost).max(until + CATCH_UP_TIME);
        }
        self.last_fault_end = self.last_fault_end.max(until);
    }
}

impl Network {
    /// Injects a random fault now and then, as far as the regime allows it.
    pub(super) fn inject_faults(&mut self) {
        if self.now >= self.faults.partition_end {
            self.faults.heal();
        }
        if self.now >= self.faults.last_fault_end + CATCH_UP_TIME {
            self.faults.disk_loss_pending = false;
        }
        if self.now < STARTUP_TIME || !self.rng.random_bool(0.02) {
            return;
        }
        if self.rng.random_bool(0.1) {
            return self.plan_maintenance();
        }
        match self.faults.regime {
            Regime::Tolerated => self.inject_tolerated(),
            Regime::BeyondTolerated if self.rng.random_bool(0.3) => self.inject_beyond_tolerated(),
            Regime::BeyondTolerated => {}
            Regime::Rapid => self.inject_beyond_tolerated(),
            Regime::IsolatedPrimary => self.isolate_primary(),
        }
    }

    /// A random duration of a fault: usually short, at most twenty seconds.
    fn duration(&mut self) -> Ms {
        match self.faults.regime {
            Regime::Rapid => self.rng.random_range(20..600),
            _ if self.rng.random_bool(0.15) => self.rng.random_range(4_000..20_000),
            _ => self.rng.random_range(50..4_000),
        }
    }

    /// A random machine, often the primary.
    fn choose_machine(&mut self) -> usize {
        let present = self.present();
        let any = present[self.rng.random_range(0..present.len())];
        match self.rng.random_bool(0.4) {
            true => self.leader().unwrap_or(any),
            false => any,
        }
    }

    fn inject_tolerated(&mut self) {
        let duration = self.duration();
        let leaving = self.machines.iter().any(|machine| machine.leaving.is_some());
        let room = self.tolerance.saturating_sub(self.faults.lost_count(self.now));
        if room == 0 || leaving {
            return;
        }
        let all_at_once = room == self.tolerance && self.now >= self.faults.last_fault_end + CATCH_UP_TIME;
        if all_at_once && self.rng.random_bool(0.15) {
            let all: Vec<usize> = self.present();
            self.faults.record_loss(&all, self.now + duration);
            let with_power_loss = self.rng.random_bool(0.5);
            return all.into_iter().for_each(|i| {
                if with_power_loss {
                    self.power_off(i, duration)
                } else {
                    self.kill(i, duration)
                }
            });
        }
        for _ in 0..self.rng.random_range(1..=room) {
            let i = self.choose_machine();
            let already_lost = self.faults.lost_until.get(&i).is_some_and(|until| *until > self.now);
            if !already_lost && self.faults.lost_count(self.now) < self.tolerance {
                self.fault_machine(i, duration, true);
            }
        }
    }

    fn isolate_primary(&mut self) {
        let is_quiet = self.now >= self.faults.last_fault_end + 500;
        let Some(leader) = self.leader().filter(|_| is_quiet) else { return };
        let duration = self.duration();
        match self.rng.random_range(0..3) {
            0 => self.machines[leader].frozen_until = self.now + duration,
            1 => self.isolate(leader, duration),
            _ => self.split_network(duration),
        }
        self.faults.last_fault_end = self.now + duration;
    }

    fn inject_beyond_tolerated(&mut self) {
        let duration = self.duration();
        let present = self.present();
        match self.rng.random_range(0..6) {
            0 => self.split_network(duration),
            1 => present.into_iter().for_each(|i| self.power_off(i, duration)),
            _ => {
                let max_count = if self.rng.random_bool(0.7) { 1 } else { present.len() };
                for _ in 0..self.rng.random_range(1..=max_count) {
                    let i = self.choose_machine();
                    let may_lose_disk = !self.faults.disk_loss_pending && self.faults.regime != Regime::Rapid;
                    self.fault_machine(i, duration, may_lose_disk);
                }
            }
        }
        let until = self.now + duration;
        self.faults.last_fault_end = self.faults.last_fault_end.max(until);
    }

    /// The machines that weren't removed.
    fn present(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|i| !self.machines[*i].removed).collect()
    }

    fn fault_machine(&mut self, i: usize, duration: Ms, may_lose_disk: bool) {
        let mut until = self.now + duration;
        match self.rng.random_range(0..8) {
            0 => self.kill(i, duration),
            1 => self.power_off(i, duration),
            2 => {
                // The power fails in the middle of one of the next writes.
                let steps = self.rng.random_range(1..12);
                self.machines[i].disk.cut_power_after(steps);
                until += 4_000;
            }
            3 | 4 if may_lose_disk => {
                self.faults.disk_loss_pending = true;
                self.wipe(i, duration);
            }
            3 | 5 => self.machines[i].frozen_until = self.now + duration,
            _ => self.isolate(i, duration),
        }
        self.faults.record_loss(&[i], until);
    }

    /// Planned maintenance: a machine is restarted, or replaced by a new one that is started first. It doesn't count as a
    /// loss: a loss may follow as soon as the machine has stopped.
    fn plan_maintenance(&mut self) {
        let calm =
            self.now >= self.faults.last_fault_end + CATCH_UP_TIME && self.faults.lost_count(self.now) == 0;
        let leaving = self.machines.iter().any(|machine| machine.leaving.is_some());
        let present = self.present();
        let i = present[self.rng.random_range(0..present.len())];
        if leaving || !calm || !self.is_running(i) || self.machines.len() > 40 {
            return;
        }
        let replaced = self.rng.random_bool(0.6);
        if replaced {
            self.add_machine(false);
            self.outcome.replaced += 1;
            let until = self.now + CATCH_UP_TIME;
            self.run_without_faults(until);
        }
        if !self.is_running(i) {
            return;
        }
        let downtime = (!replaced).then(|| self.rng.random_range(200..2_000));
        let leave_time = if self.bug == Bug::StopsWithoutWaiting { 0 } else { 3_000 };
        self.machines[i].leaving =
            Some(Leaving { deadline: self.now + leave_time, last_request: 0, downtime });
    }

    pub(super) fn kill(&mut self, i: usize, duration: Ms) {
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + duration);
        self.corrupt_disk(i);
    }

    pub(super) fn power_off(&mut self, i: usize, duration: Ms) {
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + duration);
        self.machines[i].disk.lose_power(&mut self.rng);
        self.corrupt_disk(i);
    }

    /// The planted bugs that make a disk lose data.
    fn corrupt_disk(&mut self, i: usize) {
        let disk = &self.machines[i].disk;
        let mut durable = match self.bug {
            Bug::LosesState | Bug::LosesView | Bug::LosesPromise | Bug::LosesAppliedConfigurations => {
                disk.state()
            }
            _ => return,
        };
        match self.bug {
            Bug::LosesState => durable.state = control::State::default(),
            Bug::LosesView => durable.accepted_view = None,
            Bug::LosesAppliedConfigurations => durable.state.applied.clear(),
            _ => durable.promised_epoch = durable.accepted_view.as_ref().map_or(0, |view| view.epoch),
        }
        disk.overwrite(&durable);
    }

    pub(super) fn wipe(&mut self, i: usize, duration: Ms) {
        let before = self.machines[i].disk.state();
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + duration);
        self.machines[i].disk.wipe();
        if self.bug == Bug::ReusesIdentity {
            let kept = DurableState {
                disk: before.disk,
                accepted_view: before.accepted_view,
                ..DurableState::default()
            };
            self.machines[i].disk.overwrite(&kept);
        }
    }

    fn isolate(&mut self, i: usize, duration: Ms) {
        let one_way = self.rng.random_bool(0.4);
        for other in (0..self.machines.len()).filter(|other| *other != i) {
            self.faults.blocked_links.insert((i, other));
            if !one_way {
                self.faults.blocked_links.insert((other, i));
            }
        }
        self.faults.partition_end = self.faults.partition_end.max(self.now + duration);
    }

    fn split_network(&mut self, duration: Ms) {
        let sides: Vec<bool> = (0..self.machines.len()).map(|_| self.rng.random_bool(0.5)).collect();
        for (i, side) in sides.iter().enumerate() {
            for (other, other_side) in sides.iter().enumerate() {
                if side != other_side {
                    self.faults.blocked_links.insert((i, other));
                }
            }
        }
        self.faults.partition_end = self.faults.partition_end.max(self.now + duration);
    }
}
