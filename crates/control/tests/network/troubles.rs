//! Troubles by seed, and how many of them may come at once.
use super::*;

/// After a trouble a machine counts as lost for so long.
const CATCH_UP: Ms = 4_500;

/// What may come at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regime {
    /// No more machines are lost at once than is borne, and a machine counts as lost until it had time to catch up.
    Tolerated,
    /// Any machines may be down, frozen or cut off at any time; no more disks are lost at once than is borne, and the next
    /// only once the group had the time, in calm, to be whole again.
    BeyondTolerated,
    /// The same with short troubles that come one upon the other, in the middle of elections, and no disk lost.
    Rapid,
    /// The machine that leads is cut off or frozen, for up to twenty seconds, again and again; nothing else.
    CutOff,
}

pub struct Troubles {
    regime: Regime,
    cuts: BTreeSet<(usize, usize)>,
    cut_until: Ms,
    /// Until when each machine counts as lost.
    lost_until: BTreeMap<usize, Ms>,
    /// When the last trouble of any kind is over.
    calm_from: Ms,
    /// A disk was lost, and the group had no time yet to make up for it.
    owes_disk: bool,
}

impl Troubles {
    pub fn new(regime: Regime) -> Troubles {
        Troubles {
            regime,
            cuts: BTreeSet::new(),
            cut_until: 0,
            lost_until: BTreeMap::new(),
            calm_from: FOUNDED,
            owes_disk: false,
        }
    }

    pub fn regime(&self) -> Regime {
        self.regime
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    pub fn cut_until(&self) -> Ms {
        self.cut_until
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A machine that was told to stop has gone, for a time or for good.
    pub fn left(&mut self, i: usize, now: Ms, span: Option<Ms>) {
        if let Some(span) = span {
            self.lost_until.insert(i, now + span + CATCH_UP);
        }
        self.calm_from = self.calm_from.max(now + span.unwrap_or(0));
    }

    fn lost(&self, now: Ms) -> usize {
        self.lost_until.values().filter(|until| **until > now).count()
    }

    fn note(&mut self, machines: &[usize], until: Ms) {
        for i in machines {
            let lost = self.lost_until.entry(*i).or_default();
            *lost = (*lost).max(until + CATCH_UP);
        }
        self.calm_from = self.calm_from.max(until);
    }
}

impl Network {
    /// Now and then something goes wrong, as far as the regime allows it.
    pub(super) fn trouble(&mut self) {
        if self.now >= self.troubles.cut_until {
            self.troubles.heal();
        }
        if self.now >= self.troubles.calm_from + CATCH_UP {
            self.troubles.owes_disk = false;
        }
        if self.now < FOUNDED || !self.lot.random_bool(0.02) {
            return;
        }
        if self.lot.random_bool(0.1) {
            return self.plan();
        }
        match self.troubles.regime {
            Regime::Tolerated => self.tolerated(),
            Regime::BeyondTolerated if self.lot.random_bool(0.3) => self.beyond(),
            Regime::BeyondTolerated => {}
            Regime::Rapid => self.beyond(),
            Regime::CutOff => self.cut_off_leader(),
        }
    }

    /// How long a trouble lasts: short, or as long as twenty seconds.
    fn span(&mut self) -> Ms {
        match self.troubles.regime {
            Regime::Rapid => self.lot.random_range(20..600),
            _ if self.lot.random_bool(0.15) => self.lot.random_range(4_000..20_000),
            _ => self.lot.random_range(50..4_000),
        }
    }

    /// A machine that a trouble is for: often the one that leads.
    fn victim(&mut self) -> usize {
        let there = self.there();
        let any = there[self.lot.random_range(0..there.len())];
        match self.lot.random_bool(0.4) {
            true => self.leader().unwrap_or(any),
            false => any,
        }
    }

    fn tolerated(&mut self) {
        let span = self.span();
        let leaving = self.machines.iter().any(|machine| machine.leaving.is_some());
        let room = self.tolerance.saturating_sub(self.troubles.lost(self.now));
        if room == 0 || leaving {
            return;
        }
        let all_at_once = room == self.tolerance && self.now >= self.troubles.calm_from + CATCH_UP;
        if all_at_once && self.lot.random_bool(0.15) {
            let all: Vec<usize> = self.there();
            self.troubles.note(&all, self.now + span);
            let dark = self.lot.random_bool(0.5);
            return all
                .into_iter()
                .for_each(|i| if dark { self.power_off(i, span) } else { self.kill(i, span) });
        }
        for _ in 0..self.lot.random_range(1..=room) {
            let i = self.victim();
            let counted = self.troubles.lost_until.get(&i).is_some_and(|until| *until > self.now);
            if !counted && self.troubles.lost(self.now) < self.tolerance {
                self.hit(i, span, true);
            }
        }
    }

    fn cut_off_leader(&mut self) {
        let free = self.now >= self.troubles.calm_from + 500;
        let Some(leader) = self.leader().filter(|_| free) else { return };
        let span = self.span();
        match self.lot.random_range(0..3) {
            0 => self.machines[leader].frozen_until = self.now + span,
            1 => self.cut(leader, span),
            _ => self.cut_in_two(span),
        }
        self.troubles.calm_from = self.now + span;
    }

    fn beyond(&mut self) {
        let span = self.span();
        let there = self.there();
        match self.lot.random_range(0..6) {
            0 => self.cut_in_two(span),
            1 => there.into_iter().for_each(|i| self.power_off(i, span)),
            _ => {
                let most = if self.lot.random_bool(0.7) { 1 } else { there.len() };
                for _ in 0..self.lot.random_range(1..=most) {
                    let i = self.victim();
                    let may_wipe = !self.troubles.owes_disk && self.troubles.regime != Regime::Rapid;
                    self.hit(i, span, may_wipe);
                }
            }
        }
        let until = self.now + span;
        self.troubles.calm_from = self.troubles.calm_from.max(until);
    }

    /// Machines that are not taken away.
    fn there(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|i| !self.machines[*i].removed).collect()
    }

    fn hit(&mut self, i: usize, span: Ms, may_wipe: bool) {
        let mut until = self.now + span;
        match self.lot.random_range(0..8) {
            0 => self.kill(i, span),
            1 => self.power_off(i, span),
            2 => {
                // In the middle of one of its next writes.
                let steps = self.lot.random_range(1..12);
                self.machines[i].disk.cut_power_after(steps);
                until += 4_000;
            }
            3 | 4 if may_wipe => {
                self.troubles.owes_disk = true;
                self.wipe(i, span);
            }
            3 | 5 => self.machines[i].frozen_until = self.now + span,
            _ => self.cut(i, span),
        }
        self.troubles.note(&[i], until);
    }

    /// Planned work: a machine is restarted, or replaced by a new one that comes first. It doesn't count as a loss: the next
    /// one may come as soon as it is gone.
    fn plan(&mut self) {
        let calm = self.now >= self.troubles.calm_from + CATCH_UP && self.troubles.lost(self.now) == 0;
        let leaving = self.machines.iter().any(|machine| machine.leaving.is_some());
        let there = self.there();
        let i = there[self.lot.random_range(0..there.len())];
        if leaving || !calm || !self.works(i) || self.machines.len() > 40 {
            return;
        }
        let replaced = self.lot.random_bool(0.6);
        if replaced {
            self.add_machine(false);
            self.seen.replaced += 1;
            let until = self.now + CATCH_UP;
            self.pass_calmly(until);
        }
        if !self.works(i) {
            return;
        }
        let span = (!replaced).then(|| self.lot.random_range(200..2_000));
        let wait = if self.bug == Bug::LeavesAtOnce { 0 } else { 3_000 };
        self.machines[i].leaving = Some(Leaving { until: self.now + wait, asked: 0, span });
    }

    pub(super) fn kill(&mut self, i: usize, span: Ms) {
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + span);
        self.forget(i);
    }

    pub(super) fn power_off(&mut self, i: usize, span: Ms) {
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + span);
        self.machines[i].disk.lose_power(&mut self.lot);
        self.forget(i);
    }

    /// The planted mistakes of disks.
    fn forget(&mut self, i: usize) {
        let disk = &self.machines[i].disk;
        let mut durable = match self.bug {
            Bug::ForgetsState | Bug::ForgetsView | Bug::ForgetsPromise | Bug::ForgetsOrders => disk.state(),
            _ => return,
        };
        match self.bug {
            Bug::ForgetsState => durable.state = control::State::default(),
            Bug::ForgetsView => durable.accepted_view = None,
            Bug::ForgetsOrders => durable.state.applied.clear(),
            _ => durable.promised_epoch = durable.accepted_view.as_ref().map_or(0, |view| view.epoch),
        }
        disk.overwrite(&durable);
    }

    pub(super) fn wipe(&mut self, i: usize, span: Ms) {
        let before = self.machines[i].disk.state();
        self.machines[i].group = None;
        self.machines[i].down_until = self.machines[i].down_until.max(self.now + span);
        self.machines[i].disk.wipe();
        if self.bug == Bug::KeepsIdentity {
            let kept = DurableState {
                disk: before.disk,
                accepted_view: before.accepted_view,
                ..DurableState::default()
            };
            self.machines[i].disk.overwrite(&kept);
        }
    }

    fn cut(&mut self, i: usize, span: Ms) {
        let one_way = self.lot.random_bool(0.4);
        for other in (0..self.machines.len()).filter(|other| *other != i) {
            self.troubles.cuts.insert((i, other));
            if !one_way {
                self.troubles.cuts.insert((other, i));
            }
        }
        self.troubles.cut_until = self.troubles.cut_until.max(self.now + span);
    }

    fn cut_in_two(&mut self, span: Ms) {
        let here: Vec<bool> = (0..self.machines.len()).map(|_| self.lot.random_bool(0.5)).collect();
        for (i, side) in here.iter().enumerate() {
            for (other, other_side) in here.iter().enumerate() {
                if side != other_side {
                    self.troubles.cuts.insert((i, other));
                }
            }
        }
        self.troubles.cut_until = self.troubles.cut_until.max(self.now + span);
    }
}
