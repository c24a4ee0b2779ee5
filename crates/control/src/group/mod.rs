//! Primary and backup, and the members whose epochs decide who they are.
//!
//! A change is acknowledged once it is on the synced disks of the primary and the backups of one epoch. A new epoch is
//! begun by one that was primary or backup in the last: a majority of the members promises it to take nothing of lower
//! epochs, it gives the state to its backups, and a majority accepts the new view. Members need not hold the state; what
//! they keep of it is the epoch and its view. There is no log that a majority replicates.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`election`] | looking for a primary, and the way to a new epoch |
//! | [`replication`] | changes, and the state at the backups |
//! | [`membership`] | joins, replacements and planned leaves |
//! | [`spread`] | which members outlast what may be lost |
//! | [`lease`] | what a primary does, and when it is none any more |
mod election;
mod lease;
mod membership;
mod replication;
mod spread;

pub use self::lease::LeadershipConfirmation;
use self::lease::Primary;
pub use self::membership::LeaveStep;
use crate::state::{Command, Rejected, State};
use crate::view::{Member, View};
use crate::Ms;
use borsh::{BorshDeserialize, BorshSerialize};
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// How often a primary tells that it is there.
pub const HEARTBEAT_INTERVAL: Ms = 200;
/// Without word from a primary for so long, a member looks for another.
const PATIENCE: Ms = 700;
/// The same after a start, when nobody was heard yet.
const START_PATIENCE: Ms = 60;
/// More of it with each place in the order of members, so that not all try at once.
const PATIENCE_STEP: Ms = 150;
/// The same after a start.
const START_STEP: Ms = 60;
/// After an attempt that came to nothing.
const AGAIN: Ms = 100;
/// Epochs are asked for by rounds, in which each machine has its own.
const EPOCHS_A_ROUND: u64 = 64;
/// A machine that was promised an epoch has so long to lead it.
const LEAVE: Ms = 400;
/// How long answers to a probe are waited for.
const PROBE: Ms = 150;
/// A primary that no majority has answered for so long is none any more.
const LEASE: Ms = 1_200;
/// How long a step on the way to a new epoch may take.
const STEP: Ms = 500;
/// A backup that doesn't answer for so long is replaced.
const BACKUP_PATIENCE: Ms = 700;
/// A member that was silent for so long may be replaced by a machine that isn't one yet.
const MEMBER_PATIENCE: Ms = 1_800;
/// One that has only begun to lead has heard of all machines that may join after so long.
const NEWCOMERS_HEARD: Ms = 1_600;
/// A member that said it leaves, and hasn't said so again for so long, stays.
const LEAVING: Ms = 1_000;
/// A machine that isn't a member and wasn't heard for so long is forgotten.
const OTHERS_FORGOTTEN: Ms = 60_000;
/// Founders are waited for so long before a majority of them begins.
const FOUNDING: Ms = 1_500;

/// What a machine of the group keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct DurableState {
    /// The identity of the disk.
    pub disk: u64,
    /// Nothing of a lower epoch is taken.
    pub promised_epoch: u64,
    pub accepted_view: Option<View>,
    pub state: State,
}

/// Keeps what must last; it is synced when `save` returns.
pub trait Storage {
    fn save(&mut self, durable: &DurableState);
}

impl Storage for Box<dyn Storage> {
    fn save(&mut self, durable: &DurableState) {
        self.as_mut().save(durable);
    }
}

/// What is known from the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupSettings {
    pub me: Member,
    /// Machines that begin the system, by address.
    pub founders: Vec<IpAddr>,
    /// The system starts for the first time, with an empty disk here.
    pub founder: bool,
    /// What may be lost at once.
    pub tolerance: Tolerance,
}

/// What one machine of the group says to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// How do you stand?
    Probe(Member),
    /// Take nothing below this epoch.
    Prepare(u64),
    /// Keep this state, of this epoch.
    Replicate(u64, State),
    /// Accept this view.
    InstallView(View),
    /// I am the primary of this view.
    Heartbeat(View),
    /// I am about to stop: take my place.
    TransferLeadership(u64),
    /// The member with this disk is about to stop, maybe for good: do without it. Taken as long as there is something
    /// to wait for before it goes.
    Leave(u64),
}

/// How a machine stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberStatus {
    pub member: Member,
    pub promised_epoch: u64,
    pub accepted_view: Option<View>,
    /// Since it heard from a primary.
    pub heartbeat_age: Ms,
    /// It takes part in founding the system.
    pub founder: bool,
}

/// The answer to each message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Reply {
    pub accepted: bool,
    pub status: MemberStatus,
}

/// A message that is to be sent; its answer goes to [`Group::handle_reply`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    pub to: IpAddr,
    pub message: Message,
}

/// What a machine is at, for logs and status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    Follower,
    Probing,
    Preparing(u64),
    CopyingState(u64),
    InstallingView(u64),
    Primary(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Probing { since: Ms, statuses: BTreeMap<u64, MemberStatus> },
    Preparing { since: Ms, epoch: u64, promises: BTreeMap<u64, MemberStatus>, plan: Option<Vec<Member>> },
    Copying { since: Ms, view: View, from: Option<View>, copied: BTreeSet<u64> },
    Installing { since: Ms, view: View, from: Option<View>, accepted: BTreeSet<u64> },
    Primary(Primary),
}

/// A change that was asked for here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeId {
    number: u64,
    /// Which state it was made on.
    state_generation: u64,
}

/// One machine's part in the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group<S> {
    settings: GroupSettings,
    durable: DurableState,
    storage: S,
    role: Role,
    heard: Ms,
    /// Another machine is on its way to an epoch: it is left alone until then.
    leave_until: Ms,
    /// When a primary was heard; nothing in this life yet.
    heard_primary: Option<Ms>,
    started: Ms,
    /// Rises when the state here is replaced by another primary's.
    state_generation: u64,
    primary: Option<IpAddr>,
    /// Machines that serve control but aren't members, and when they were heard.
    others: BTreeMap<u64, (Member, Ms)>,
    /// Members that are about to stop, and when they said so last.
    leaving: BTreeMap<u64, Ms>,
    /// The latest view that others told, later than the one that counts here.
    told: Option<View>,
}

impl<S: Storage> Group<S> {
    pub fn new(settings: GroupSettings, durable: DurableState, storage: S, now: Ms) -> Group<S> {
        let (role, others, leaving) = (Role::Follower, BTreeMap::new(), BTreeMap::new());
        Group {
            settings,
            durable,
            storage,
            role,
            heard: now,
            leave_until: 0,
            heard_primary: None,
            started: now,
            state_generation: 0,
            primary: None,
            others,
            leaving,
            told: None,
        }
    }

    /// What is on this machine's disk.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Where the primary was last heard.
    pub fn primary(&self) -> Option<IpAddr> {
        self.primary
    }

    /// What this machine is at.
    pub fn stage(&self) -> Stage {
        match &self.role {
            Role::Follower => Stage::Follower,
            Role::Probing { .. } => Stage::Probing,
            Role::Preparing { epoch, .. } => Stage::Preparing(*epoch),
            Role::Copying { view, .. } => Stage::CopyingState(view.epoch),
            Role::Installing { view, .. } => Stage::InstallingView(view.epoch),
            Role::Primary(primary) => Stage::Primary(primary.view.epoch),
        }
    }

    /// The number of the last change that is on the primary's and all backups' disks.
    pub fn committed_change_number(&self) -> u64 {
        match &self.role {
            Role::Primary(primary) => primary.committed_change_number(),
            _ => 0,
        }
    }

    /// The last change that this machine has, on one disk at least.
    pub fn last_change_number(&self) -> u64 {
        self.durable.state.position.number
    }

    /// The view that counts here.
    pub fn view(&self) -> Option<&View> {
        self.durable.accepted_view.as_ref()
    }

    /// The addresses of all that decide, of machines that may join, and of the founders.
    pub fn addresses(&self) -> Vec<IpAddr> {
        let deciding =
            |view: &View| view.members.iter().chain(&view.previous_members).map(|m| m.ip).collect::<Vec<_>>();
        let members = self.durable.accepted_view.iter().chain(&self.told).flat_map(deciding);
        let others = self.others.values().map(|(member, _)| member.ip);
        let all = members.chain(others).chain(self.settings.founders.iter().copied());
        all.collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn peers(&self) -> Vec<IpAddr> {
        self.addresses().into_iter().filter(|ip| *ip != self.settings.me.ip).collect()
    }

    fn status(&self, now: Ms) -> MemberStatus {
        let leads = self.leads(now).is_some();
        MemberStatus {
            member: self.settings.me.clone(),
            promised_epoch: self.durable.promised_epoch,
            accepted_view: self.durable.accepted_view.clone(),
            heartbeat_age: if leads {
                0
            } else {
                self.heard_primary.map_or(Ms::MAX, |at| now.saturating_sub(at))
            },
            founder: self.settings.founder,
        }
    }

    fn save(&mut self) {
        self.storage.save(&self.durable);
    }

    /// Answers another machine.
    pub fn handle(&mut self, from: IpAddr, message: Message, now: Ms) -> (Reply, Vec<Outgoing>) {
        let mut out = Vec::new();
        let accepted = match message {
            // It was meant for a member that had this address before.
            _ if from == self.settings.me.ip => false,
            Message::Probe(member) => {
                self.note_other(&member, now);
                true
            }
            Message::Prepare(epoch) if epoch > self.durable.promised_epoch => {
                self.leave_until = now + LEAVE;
                self.promise(epoch)
            }
            Message::Prepare(_) => false,
            Message::Replicate(epoch, state) => self.heed(epoch) && self.keep(state, now),
            Message::InstallView(view) => self.heed(view.epoch) && self.accept(view),
            Message::Heartbeat(view) => self.pinged(from, view, now),
            Message::TransferLeadership(epoch) => {
                let me = self.settings.me.disk;
                let mine = self.view().is_some_and(|v| v.epoch == epoch && v.backups.contains(&me));
                if mine && matches!(self.role, Role::Follower) {
                    out = self.prepare(None, now);
                }
                mine
            }
            Message::Leave(disk) => self.member_leaves(disk, now),
        };
        (Reply { accepted, status: self.status(now) }, out)
    }

    fn is_member(&self, disk: u64) -> bool {
        self.view().is_some_and(|view| view.is_member(disk))
    }

    fn promise(&mut self, epoch: u64) -> bool {
        self.durable.promised_epoch = epoch;
        self.save();
        self.role = Role::Follower;
        true
    }

    /// Whether a message of an epoch counts; what this machine does in a lower one ends.
    fn heed(&mut self, epoch: u64) -> bool {
        if epoch < self.durable.promised_epoch {
            return false;
        }
        if epoch > self.durable.promised_epoch {
            self.promise(epoch);
        }
        true
    }

    fn note_primary(&mut self, now: Ms) {
        self.heard = now;
        self.heard_primary = Some(now);
    }

    fn accept(&mut self, view: View) -> bool {
        if self.durable.accepted_view.as_ref() != Some(&view) {
            self.durable.accepted_view = Some(view);
            self.save();
        }
        true
    }

    fn pinged(&mut self, from: IpAddr, view: View, now: Ms) -> bool {
        if !self.heed(view.epoch) {
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.note_primary(now);
        self.primary = Some(from);
        self.accept(view)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) -> Vec<Outgoing> {
        match &self.role {
            Role::Follower => self.follow(now),
            Role::Probing { since, .. } if now >= since + PROBE => self.judge_probe(now, true),
            Role::Preparing { since, .. } | Role::Copying { since, .. } | Role::Installing { since, .. }
                if now >= since + STEP =>
            {
                self.rest(now)
            }
            Role::Preparing { .. } => self.judge_promises(now),
            Role::Primary(_) => self.lead(now),
            _ => Vec::new(),
        }
    }

    /// Takes the answer to a message that was sent at a time. What it proves held at that time, not when it is read.
    pub fn handle_reply(&mut self, message: &Message, sent: Ms, reply: Reply, now: Ms) -> Vec<Outgoing> {
        let status = reply.status;
        let disk = status.member.disk;
        self.note_other(&status.member, now);
        if let Some(view) = &status.accepted_view {
            self.note_view(view);
        }
        match (&mut self.role, message) {
            (Role::Probing { statuses, .. }, Message::Probe(_)) => {
                statuses.insert(disk, status);
                self.judge_probe(now, false)
            }
            (Role::Preparing { epoch, promises, .. }, Message::Prepare(of)) if epoch == of => {
                if !reply.accepted {
                    return self.rest(now);
                }
                promises.insert(disk, status);
                self.judge_promises(now)
            }
            (Role::Copying { view, copied, .. }, Message::Replicate(of, _)) if view.epoch == *of => {
                if !reply.accepted {
                    return self.rest(now);
                }
                copied.insert(disk);
                match view.backups.iter().all(|backup| copied.contains(backup)) {
                    true => self.install(now),
                    false => Vec::new(),
                }
            }
            (Role::Installing { view, accepted, .. }, Message::InstallView(of)) if view == of => {
                if !reply.accepted {
                    return self.rest(now);
                }
                accepted.insert(disk);
                self.judge_installed(now)
            }
            (Role::Primary(primary), message) => {
                if status.promised_epoch > primary.view.epoch {
                    self.role = Role::Follower;
                    self.heard = now;
                    return Vec::new();
                }
                primary.note_answer(disk, sent);
                if let Message::Replicate(epoch, state) = message {
                    if reply.accepted && *epoch == primary.view.epoch {
                        let copied = primary.copied.entry(disk).or_default();
                        *copied = (*copied).max(state.position.number);
                    }
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
