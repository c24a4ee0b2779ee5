//! Operators: they send orders to any machine, again after each answer that is lost or says nothing, and read back. What
//! they were told is compared with what else they were told, and with what is in force in the end.
use super::*;
use control::{ChangeId, LeadershipConfirmation, Rejected, State};

/// After so long without an answer an operator asks another machine.
const PATIENCE: Ms = 1_000;
/// How long a machine waits for a change, as the role does.
const COMMIT: Ms = 2_500;
/// A configuration has to be known everywhere after so long.
const APPLY: Ms = 3_000;
/// An operator gives an order up after so many attempts.
const MOST_ATTEMPTS: u32 = 12;

fn body(version: u64, author: usize) -> Vec<u8> {
    format!(r#"{{"Version":{version},"Routes":[],"Backends":[{{"Name":"b{author}","HealthPath":"/h"}}]}}"#)
        .into_bytes()
}

/// An order, with all that became of it.
#[derive(Clone, Debug)]
struct Order {
    base: u64,
    version: u64,
    body: Vec<u8>,
    /// A machine has confirmed it, whether the answer arrived or not.
    confirmed: Option<Ms>,
    refused: bool,
    attempts: u32,
    /// The operator knows what became of it.
    over: bool,
    next: Ms,
}

/// A call of an operator that a machine is at.
struct Call {
    machine: usize,
    /// The process that took it: a later one knows nothing of it.
    disk: u64,
    asked: Ms,
    what: What,
    stage: Stage,
}

#[derive(Clone, Copy)]
enum What {
    Order(usize),
    Read,
}

enum Stage {
    Waits,
    Commits(ChangeId),
    Confirms { confirmation: LeadershipConfirmation, begun: Ms, refuse: bool },
}

/// What a machine's answer says.
enum Answer {
    Confirmed,
    Refused,
    Version(u64),
}

#[derive(Default)]
pub struct Operators {
    orders: Vec<Order>,
    calls: Vec<Call>,
    /// The newest version that was confirmed, and when.
    confirmed: Vec<(Ms, u64)>,
    /// The machine that gave the last answer.
    answered_last: Option<usize>,
    repeated: usize,
    reads: usize,
    broken: Option<String>,
}

impl Operators {
    /// An answer within the group came back to a machine that may be asking for one of its calls.
    pub fn answered(&mut self, machine: usize, message: &Message, sent: Ms, reply: &Reply) {
        for call in self.calls.iter_mut().filter(|call| call.machine == machine) {
            if let Stage::Confirms { confirmation, begun, .. } = &mut call.stage {
                if matches!(message, Message::Heartbeat(_)) && sent >= *begun {
                    confirmation.record_reply(reply);
                }
            }
        }
    }

    /// How many orders were confirmed.
    pub fn confirmed_count(&self) -> usize {
        self.confirmed.len()
    }

    /// The newest version that was confirmed before a time.
    fn newest_before(&self, at: Ms) -> u64 {
        self.confirmed.iter().filter(|(when, _)| *when < at).map(|(_, version)| *version).max().unwrap_or(0)
    }

    fn confirm(&mut self, order: usize, now: Ms) {
        let (base, version) = (self.orders[order].base, self.orders[order].version);
        let others =
            self.orders.iter().enumerate().filter(|(i, other)| *i != order && other.confirmed.is_some());
        for (_, other) in others {
            if other.base == base || other.version == version {
                self.broken =
                    Some(format!("two orders on version {base} or of number {version} were confirmed"));
            }
        }
        let known = &mut self.orders[order];
        if known.refused {
            self.broken = Some(format!("order {version} on {base} was refused, then confirmed"));
        }
        self.repeated += usize::from(known.confirmed.is_some());
        if known.confirmed.is_none() {
            known.confirmed = Some(now);
            self.confirmed.push((now, version));
        }
    }

    fn refuse(&mut self, order: usize) {
        let order = &mut self.orders[order];
        order.refused = true;
        if order.confirmed.is_some() {
            self.broken =
                Some(format!("order {} on {} was confirmed, then refused", order.version, order.base));
        }
    }

    /// What is in force has to be what was confirmed, and nothing that was refused.
    pub fn check(&self, state: &State) -> Option<String> {
        let taken: BTreeSet<(u64, u64)> =
            state.applied.iter().map(|taken| (taken.base, taken.version)).collect();
        let lost =
            |order: &&Order| order.confirmed.is_some() && !taken.contains(&(order.base, order.version));
        if let Some(order) = self.orders.iter().find(lost) {
            return Some(format!("version {} was acknowledged and is lost", order.version));
        }
        let newest = self.newest_before(Ms::MAX);
        if state.version < newest {
            return Some(format!("version {} is in force after {newest} was confirmed", state.version));
        }
        let digest = |order: &Order| xxhash_rust::xxh3::xxh3_128(&order.body);
        let in_force = |order: &&Order| {
            let same = |taken: &control::state::AppliedConfiguration| {
                taken.base == order.base && taken.digest == digest(order)
            };
            order.refused && state.applied.iter().any(same)
        };
        let refused = self.orders.iter().find(in_force);
        refused.map(|order| format!("order {} on {} was refused and is in force", order.version, order.base))
    }

    pub fn count(&self, seen: &mut Seen) {
        seen.acknowledged = self.orders.iter().filter(|order| order.confirmed.is_some()).count();
        seen.refused = self.orders.iter().filter(|order| order.refused).count();
        (seen.repeated, seen.reads) = (self.repeated, self.reads);
    }
}

impl Network {
    /// Operators send what they want, machines get on with what they are at, and watchers look.
    pub(super) fn operate(&mut self) {
        if self.lockstep.is_some() {
            return;
        }
        self.write_orders();
        self.send_orders();
        let busy = self.troubles.regime() == Regime::CutOff;
        if self.lot.random_bool(if busy { 0.5 } else { 0.1 }) {
            self.ask(What::Read);
        }
        let calls = std::mem::take(&mut self.operators.calls);
        let mut open: Vec<Call> = Vec::new();
        for call in calls {
            open.extend(self.get_on(call));
        }
        open.append(&mut self.operators.calls);
        self.operators.calls = open;
        self.look();
        if let Some(broken) = self.operators.broken.take() {
            self.seen.broken.get_or_insert(broken);
        }
    }

    /// Now and then one operator, or two at once, write a change on the newest version that was confirmed.
    fn write_orders(&mut self) {
        let busy = self.troubles.regime() == Regime::CutOff;
        if !self.lot.random_bool(if busy { 0.15 } else { 0.05 }) {
            return;
        }
        let base = self.operators.newest_before(self.now);
        let two = self.lot.random_bool(0.2);
        let version = base + self.lot.random_range(1..4);
        for author in 0..1 + usize::from(two) {
            let version = if self.lot.random_bool(0.5) { version } else { version + author as u64 };
            let author = self.operators.orders.len();
            let body = body(version, author);
            let (confirmed, next) = (None, self.now);
            let order =
                Order { base, version, body, confirmed, refused: false, attempts: 0, over: false, next };
            self.operators.orders.push(order);
        }
    }

    fn send_orders(&mut self) {
        for i in 0..self.operators.orders.len() {
            let order = &mut self.operators.orders[i];
            if order.over || self.now < order.next {
                continue;
            }
            order.attempts += 1;
            order.over = order.attempts >= MOST_ATTEMPTS;
            order.next = self.now + PATIENCE;
            self.ask(What::Order(i));
        }
        // An order of long ago comes again, from somebody who never heard.
        if !self.operators.orders.is_empty() && self.lot.random_bool(0.01) {
            let i = self.lot.random_range(0..self.operators.orders.len());
            self.ask(What::Order(i));
        }
    }

    fn ask(&mut self, what: What) {
        let machine = self.lot.random_range(0..self.machines.len());
        // Many stay with the machine that answered last.
        let machine = match self.lot.random_range(0..10) {
            0..3 => self.leader().unwrap_or(machine),
            3..7 => self.operators.answered_last.unwrap_or(machine),
            _ => machine,
        };
        let Some(group) = self.group(machine) else { return };
        let call = Call { machine, disk: group.durable().disk, asked: self.now, what, stage: Stage::Waits };
        self.operators.calls.push(call);
    }

    /// Gets on with a call; gives it back if it isn't answered yet.
    fn get_on(&mut self, mut call: Call) -> Option<Call> {
        let (machine, now) = (call.machine, self.now);
        if self.group(machine).is_none_or(|group| group.durable().disk != call.disk) {
            return None;
        }
        if !self.works(machine) {
            return Some(call);
        }
        let answer = match &mut call.stage {
            Stage::Waits => match call.what {
                What::Order(order) => self.propose(&mut call, order)?,
                What::Read => {
                    self.begin_to_confirm(&mut call, false)?;
                    None
                }
            },
            Stage::Commits(change) => {
                let change = *change;
                match self.group(machine)?.is_committed(change, now) {
                    Some(true) => Some(Answer::Confirmed),
                    Some(false) => return None,
                    None if self.bug == Bug::EarlyAcknowledgement => Some(Answer::Confirmed),
                    None if now > call.asked + COMMIT => return None,
                    None => None,
                }
            }
            Stage::Confirms { .. } => self.confirmed_answer(&call)?,
        };
        match answer {
            Some(answer) => {
                self.tell(&call, answer);
                None
            }
            None => Some(call),
        }
    }

    /// Nothing at all: the call is given up. Nothing inside: it goes on.
    fn propose(&mut self, call: &mut Call, order: usize) -> Option<Option<Answer>> {
        let now = self.now;
        let Order { base, body, .. } = self.operators.orders[order].clone();
        let command = Command::Configure { base, body };
        let group = self.machines[call.machine].group.as_mut()?;
        match group.try_propose(&command, now) {
            Some(Ok((change, out))) => {
                call.stage = Stage::Commits(change);
                self.send_if_lit(call.machine, out);
                Some(None)
            }
            Some(Err(Rejected::Stale { .. })) => {
                self.begin_to_confirm(call, true)?;
                Some(None)
            }
            Some(Err(Rejected::Invalid(_))) => Some(Some(Answer::Refused)),
            Some(Err(_)) => None,
            None if now > call.asked + COMMIT => None,
            None => Some(None),
        }
    }

    fn begin_to_confirm(&mut self, call: &mut Call, refuse: bool) -> Option<()> {
        let (confirmation, questions) = self.group(call.machine)?.confirm_leadership(self.now)?;
        call.stage = Stage::Confirms { confirmation, begun: self.now, refuse };
        self.send(call.machine, questions);
        Some(())
    }

    fn confirmed_answer(&self, call: &Call) -> Option<Option<Answer>> {
        let Stage::Confirms { confirmation, begun, refuse } = &call.stage else { return None };
        let group = self.group(call.machine)?;
        let unconfirmed = self.bug == Bug::ReadsUnconfirmed && !refuse;
        if !confirmation.has_majority() && !unconfirmed {
            return (self.now <= begun + 500).then_some(None);
        }
        if !confirmation.is_current(group, self.now) {
            return None;
        }
        Some(match refuse {
            true => Some(Answer::Refused),
            // What isn't on all disks yet isn't shown.
            false if group.committed_change_number() < group.last_change_number() => None,
            false => Some(Answer::Version(group.durable().state.version)),
        })
    }

    fn tell(&mut self, call: &Call, answer: Answer) {
        let now = self.now;
        let lost = self.lot.random_bool(0.3) || now > call.asked + PATIENCE;
        // One who found another machine tells nobody at once.
        if self.operators.answered_last.is_none() || self.lot.random_bool(0.05) {
            self.operators.answered_last = Some(call.machine);
        }
        match (call.what, answer) {
            (What::Order(order), Answer::Confirmed) => {
                self.operators.confirm(order, now);
                self.operators.orders[order].over |= !lost;
            }
            (What::Order(order), Answer::Refused) => {
                self.operators.refuse(order);
                self.operators.orders[order].over |= !lost;
            }
            (What::Read, Answer::Version(version)) => {
                self.operators.reads += 1;
                let newest = self.operators.newest_before(call.asked);
                if version < newest {
                    self.operators.broken = Some(format!("{version} was read after {newest} was confirmed"));
                }
            }
            _ => {}
        }
    }

    /// A process that starts takes what a machine that leads by its lease tells it: never more than so old.
    fn look(&mut self) {
        let newest = self.operators.newest_before(self.now.saturating_sub(APPLY));
        for i in 0..self.machines.len() {
            if !self.works(i) {
                continue;
            }
            let Some(group) = self.group(i).filter(|group| group.leads(self.now).is_some()) else { continue };
            let settled = group.committed_change_number() >= group.last_change_number();
            if settled && group.durable().state.version < newest {
                self.operators.broken =
                    Some(format!("a machine tells {} long after {newest}", group.durable().state.version));
            }
        }
    }
}
