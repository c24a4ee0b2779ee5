//! Operators: they send configuration changes to any machine, repeat them after a lost or inconclusive answer, and read the
//! configuration. The answers are compared with each other and with the final state.
use super::*;
use control::{ChangeId, LeadershipConfirmation, Rejected, State};

/// An operator that got no answer within this time asks another machine.
const CLIENT_TIMEOUT: Ms = 1_000;
/// How long a machine waits until a change is committed, as the control role does.
const COMMIT_TIMEOUT: Ms = 2_500;
/// A confirmed configuration has to be in force on every machine with a valid lease after this time.
const MAX_STALENESS: Ms = 3_000;
/// An operator gives up a change after this many attempts.
const MAX_ATTEMPTS: u32 = 12;

fn body(version: u64, author: usize) -> Vec<u8> {
    format!(r#"{{"Version":{version},"Routes":[],"Backends":[{{"Name":"b{author}","HealthPath":"/h"}}]}}"#)
        .into_bytes()
}

/// A configuration change, with its outcome so far.
#[derive(Clone, Debug)]
struct ChangeRequest {
    base: u64,
    version: u64,
    body: Vec<u8>,
    /// When a machine first confirmed it, whether the answer arrived or not.
    confirmed: Option<Ms>,
    rejected: bool,
    attempts: u32,
    /// The operator knows the outcome, or has given up.
    finished: bool,
    next_attempt: Ms,
}

/// A call of an operator that a machine is handling.
struct Call {
    machine: usize,
    /// The disk of the machine when it received the call: a machine with another disk doesn't know the call.
    disk: u64,
    started: Ms,
    kind: CallKind,
    stage: CallStage,
}

#[derive(Clone, Copy)]
enum CallKind {
    /// A configuration change, by its index in the list of requests.
    Change(usize),
    Read,
}

enum CallStage {
    Pending,
    Committing(ChangeId),
    Confirming { confirmation: LeadershipConfirmation, started_at: Ms, reject: bool },
}

/// A machine's answer to an operator.
enum Answer {
    Confirmed,
    Rejected,
    Version(u64),
}

/// All operators: their requests and calls, and what was confirmed.
#[derive(Default)]
pub struct Operators {
    requests: Vec<ChangeRequest>,
    calls: Vec<Call>,
    /// The times at which versions were confirmed.
    confirmed: Vec<(Ms, u64)>,
    /// The machine that operators prefer.
    last_machine: Option<usize>,
    repeats: usize,
    reads: usize,
    violation: Option<String>,
}

impl Operators {
    /// Records a reply within the group for the calls whose machine is confirming that it is primary.
    pub fn record_reply(&mut self, machine: usize, message: &Message, sent: Ms, reply: &Reply) {
        for call in self.calls.iter_mut().filter(|call| call.machine == machine) {
            if let CallStage::Confirming { confirmation, started_at, .. } = &mut call.stage {
                if matches!(message, Message::Heartbeat(_)) && sent >= *started_at {
                    confirmation.record_reply(reply);
                }
            }
        }
    }

    /// How many changes were confirmed.
    pub fn confirmed_count(&self) -> usize {
        self.confirmed.len()
    }

    /// The newest version that was confirmed before a time; 0 if there is none.
    fn newest_confirmed_before(&self, at: Ms) -> u64 {
        self.confirmed.iter().filter(|(when, _)| *when < at).map(|(_, version)| *version).max().unwrap_or(0)
    }

    fn confirm(&mut self, request: usize, now: Ms) {
        let (base, version) = (self.requests[request].base, self.requests[request].version);
        let others =
            self.requests.iter().enumerate().filter(|(i, other)| *i != request && other.confirmed.is_some());
        for (_, other) in others {
            if other.base == base || other.version == version {
                self.violation =
                    Some(format!("two changes to version {base} or with number {version} were confirmed"));
            }
        }
        let known = &mut self.requests[request];
        if known.rejected {
            self.violation = Some(format!("change {version} to {base} was rejected, then confirmed"));
        }
        self.repeats += usize::from(known.confirmed.is_some());
        if known.confirmed.is_none() {
            known.confirmed = Some(now);
            self.confirmed.push((now, version));
        }
    }

    fn reject(&mut self, request: usize) {
        let request = &mut self.requests[request];
        request.rejected = true;
        if request.confirmed.is_some() {
            self.violation =
                Some(format!("change {} to {} was confirmed, then rejected", request.version, request.base));
        }
    }

    /// Checks that every confirmed change and no rejected one was applied.
    pub fn check(&self, state: &State) -> Option<String> {
        let applied: BTreeSet<(u64, u64)> =
            state.applied.iter().map(|applied| (applied.base, applied.version)).collect();
        let lost = |request: &&ChangeRequest| {
            request.confirmed.is_some() && !applied.contains(&(request.base, request.version))
        };
        if let Some(request) = self.requests.iter().find(lost) {
            return Some(format!("version {} was confirmed and is lost", request.version));
        }
        let newest = self.newest_confirmed_before(Ms::MAX);
        if state.version < newest {
            return Some(format!("version {} is in force after {newest} was confirmed", state.version));
        }
        let digest = |request: &ChangeRequest| xxhash_rust::xxh3::xxh3_128(&request.body);
        let in_force = |request: &&ChangeRequest| {
            let same = |applied: &control::state::AppliedConfiguration| {
                applied.base == request.base && applied.digest == digest(request)
            };
            request.rejected && state.applied.iter().any(same)
        };
        let rejected = self.requests.iter().find(in_force);
        rejected.map(|request| {
            format!("change {} to {} was rejected and is in force", request.version, request.base)
        })
    }

    pub fn add_to_outcome(&self, outcome: &mut Outcome) {
        outcome.acknowledged = self.requests.iter().filter(|request| request.confirmed.is_some()).count();
        outcome.rejected = self.requests.iter().filter(|request| request.rejected).count();
        (outcome.repeats, outcome.reads) = (self.repeats, self.reads);
    }
}

impl Network {
    /// Starts and advances the calls of operators, and checks that no primary serves an outdated
    /// configuration.
    pub(super) fn run_operators(&mut self) {
        if self.lockstep_interval.is_some() {
            return;
        }
        self.create_requests();
        self.send_requests();
        let busy = self.faults.regime() == Regime::IsolatedPrimary;
        if self.rng.random_bool(if busy { 0.5 } else { 0.1 }) {
            self.start_call(CallKind::Read);
        }
        let calls = std::mem::take(&mut self.operators.calls);
        let mut open: Vec<Call> = Vec::new();
        for call in calls {
            open.extend(self.advance(call));
        }
        open.append(&mut self.operators.calls);
        self.operators.calls = open;
        self.check_staleness();
        if let Some(violation) = self.operators.violation.take() {
            self.outcome.violation.get_or_insert(violation);
        }
    }

    /// Now and then one operator, or two at once, create a change to the newest confirmed version.
    fn create_requests(&mut self) {
        let busy = self.faults.regime() == Regime::IsolatedPrimary;
        if !self.rng.random_bool(if busy { 0.15 } else { 0.05 }) {
            return;
        }
        let base = self.operators.newest_confirmed_before(self.now);
        let concurrent = self.rng.random_bool(0.2);
        let version = base + self.rng.random_range(1..4);
        for author in 0..1 + usize::from(concurrent) {
            let version = if self.rng.random_bool(0.5) { version } else { version + author as u64 };
            let author = self.operators.requests.len();
            let body = body(version, author);
            let (confirmed, next_attempt) = (None, self.now);
            let request = ChangeRequest {
                base,
                version,
                body,
                confirmed,
                rejected: false,
                attempts: 0,
                finished: false,
                next_attempt,
            };
            self.operators.requests.push(request);
        }
    }

    fn send_requests(&mut self) {
        for i in 0..self.operators.requests.len() {
            let request = &mut self.operators.requests[i];
            if request.finished || self.now < request.next_attempt {
                continue;
            }
            request.attempts += 1;
            request.finished = request.attempts >= MAX_ATTEMPTS;
            request.next_attempt = self.now + CLIENT_TIMEOUT;
            self.start_call(CallKind::Change(i));
        }
        // An old request is sent again by an operator who never got an answer.
        if !self.operators.requests.is_empty() && self.rng.random_bool(0.01) {
            let i = self.rng.random_range(0..self.operators.requests.len());
            self.start_call(CallKind::Change(i));
        }
    }

    fn start_call(&mut self, kind: CallKind) {
        let machine = self.rng.random_range(0..self.machines.len());
        // Operators often ask the primary or the machine that answered before.
        let machine = match self.rng.random_range(0..10) {
            0..3 => self.leader().unwrap_or(machine),
            3..7 => self.operators.last_machine.unwrap_or(machine),
            _ => machine,
        };
        let Some(group) = self.group(machine) else { return };
        let call =
            Call { machine, disk: group.durable().disk, started: self.now, kind, stage: CallStage::Pending };
        self.operators.calls.push(call);
    }

    /// Advances a call; returns it if it isn't answered yet.
    fn advance(&mut self, mut call: Call) -> Option<Call> {
        let (machine, now) = (call.machine, self.now);
        if self.group(machine).is_none_or(|group| group.durable().disk != call.disk) {
            return None;
        }
        if !self.is_running(machine) {
            return Some(call);
        }
        let answer = match &mut call.stage {
            CallStage::Pending => match call.kind {
                CallKind::Change(request) => self.propose(&mut call, request)?,
                CallKind::Read => {
                    self.start_confirmation(&mut call, false)?;
                    None
                }
            },
            CallStage::Committing(change) => {
                let change = *change;
                match self.group(machine)?.is_committed(change, now) {
                    Some(true) => Some(Answer::Confirmed),
                    Some(false) => return None,
                    None if self.bug == Bug::EarlyAcknowledgement => Some(Answer::Confirmed),
                    None if now > call.started + COMMIT_TIMEOUT => return None,
                    None => None,
                }
            }
            CallStage::Confirming { .. } => self.confirmed_answer(&call)?,
        };
        match answer {
            Some(answer) => {
                self.answer_operator(&call, answer);
                None
            }
            None => Some(call),
        }
    }

    /// Proposes a change. Returns `None` if the call is given up, and `Some(None)` if it continues.
    fn propose(&mut self, call: &mut Call, request: usize) -> Option<Option<Answer>> {
        let now = self.now;
        let ChangeRequest { base, body, .. } = self.operators.requests[request].clone();
        let command = Command::Configure { base, body };
        let group = self.machines[call.machine].group.as_mut()?;
        match group.try_propose(&command, now) {
            Some(Ok((change, outgoing))) => {
                call.stage = CallStage::Committing(change);
                self.send_if_powered(call.machine, outgoing);
                Some(None)
            }
            Some(Err(Rejected::Stale { .. })) => {
                self.start_confirmation(call, true)?;
                Some(None)
            }
            Some(Err(Rejected::Invalid(_))) => Some(Some(Answer::Rejected)),
            Some(Err(_)) => None,
            None if now > call.started + COMMIT_TIMEOUT => None,
            None => Some(None),
        }
    }

    fn start_confirmation(&mut self, call: &mut Call, reject: bool) -> Option<()> {
        let (confirmation, confirmation_requests) = self.group(call.machine)?.confirm_leadership(self.now)?;
        call.stage = CallStage::Confirming { confirmation, started_at: self.now, reject };
        self.send(call.machine, confirmation_requests);
        Some(())
    }

    fn confirmed_answer(&self, call: &Call) -> Option<Option<Answer>> {
        let CallStage::Confirming { confirmation, started_at, reject } = &call.stage else { return None };
        let group = self.group(call.machine)?;
        let unconfirmed = self.bug == Bug::ReadsUnconfirmed && !reject;
        if !confirmation.has_majority() && !unconfirmed {
            return (self.now <= started_at + 500).then_some(None);
        }
        if !confirmation.is_current(group, self.now) {
            return None;
        }
        Some(match reject {
            true => Some(Answer::Rejected),
            // An uncommitted change isn't shown to readers.
            false if group.committed_change_number() < group.last_change_number() => None,
            false => Some(Answer::Version(group.durable().state.version)),
        })
    }

    fn answer_operator(&mut self, call: &Call, answer: Answer) {
        let now = self.now;
        let lost = self.rng.random_bool(0.3) || now > call.started + CLIENT_TIMEOUT;
        // Other operators rarely learn of a machine that answers.
        if self.operators.last_machine.is_none() || self.rng.random_bool(0.05) {
            self.operators.last_machine = Some(call.machine);
        }
        match (call.kind, answer) {
            (CallKind::Change(request), Answer::Confirmed) => {
                self.operators.confirm(request, now);
                self.operators.requests[request].finished |= !lost;
            }
            (CallKind::Change(request), Answer::Rejected) => {
                self.operators.reject(request);
                self.operators.requests[request].finished |= !lost;
            }
            (CallKind::Read, Answer::Version(version)) => {
                self.operators.reads += 1;
                let newest = self.operators.newest_confirmed_before(call.started);
                if version < newest {
                    self.operators.violation =
                        Some(format!("{version} was read after {newest} was confirmed"));
                }
            }
            _ => {}
        }
    }

    /// Checks that no machine with a valid lease has a committed state older than [`MAX_STALENESS`], since a starting process
    /// relies on it.
    fn check_staleness(&mut self) {
        let newest = self.operators.newest_confirmed_before(self.now.saturating_sub(MAX_STALENESS));
        for i in 0..self.machines.len() {
            if !self.is_running(i) {
                continue;
            }
            let Some(group) = self.group(i).filter(|group| group.leads(self.now).is_some()) else { continue };
            let is_settled = group.committed_change_number() >= group.last_change_number();
            if is_settled && group.durable().state.version < newest {
                self.operators.violation = Some(format!(
                    "a primary serves {} long after {newest} was confirmed",
                    group.durable().state.version
                ));
            }
        }
    }
}
