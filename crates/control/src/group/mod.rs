//! Primary-backup replication, with the primary and the backups of each epoch elected by a majority of the members.
//!
//! A change is acknowledged once it is on the synced disks of the primary and all backups of one epoch. A machine that was
//! primary or backup in the last epoch begins a new one in three steps: a majority of the members promises to reject
//! messages of lower epochs, the new backups store the state, and a majority accepts the new view. Members other than the
//! primary and the backups store only their promised epoch and the accepted view, not the state. No log is replicated:
//! each change sends the complete state.
//!
//! | module | contents |
//! | --- | --- |
//! | [`election`] | detection of a missing primary, and the steps to a new epoch |
//! | [`replication`] | changes, and the state at the backups |
//! | [`membership`] | joins, replacements and planned leaves |
//! | [`spread`] | the choice of members by zone and region |
//! | [`lease`] | the tasks of a primary, and the lease that it holds while a majority answers |
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

/// The interval between two heartbeats of a primary.
pub const HEARTBEAT_INTERVAL: Ms = 200;
/// A member that hasn't heard from a primary for this long starts an election.
const PRIMARY_TIMEOUT: Ms = 700;
/// [`PRIMARY_TIMEOUT`] of a process that hasn't heard from any primary yet.
const STARTUP_PRIMARY_TIMEOUT: Ms = 60;
/// Added to the timeout for each rank in the order of addresses, so that the machines don't all try at once.
const TIMEOUT_PER_RANK: Ms = 150;
/// [`TIMEOUT_PER_RANK`] of a process that hasn't heard from any primary yet.
const STARTUP_TIMEOUT_PER_RANK: Ms = 60;
/// The delay before the next attempt after a failed election; the part for the machine's rank is added to it.
const RETRY_DELAY: Ms = 100;
/// Epochs are numbered in rounds; in each round every machine has an epoch of its own.
const EPOCHS_PER_ROUND: u64 = 64;
/// After promising an epoch to another machine, a member starts no election of its own for this long.
const ELECTION_HOLDOFF: Ms = 400;
/// How long a machine waits for the answers to its probe.
const PROBE_TIMEOUT: Ms = 150;
/// A primary that a majority hasn't answered for this long steps down.
const LEASE_DURATION: Ms = 1_200;
/// How long a step of an election may take, and the time after which an unacknowledged state is sent again.
const STEP_TIMEOUT: Ms = 500;
/// A machine that hasn't answered the primary for this long counts as unreachable, and a backup is then replaced.
const BACKUP_TIMEOUT: Ms = 700;
/// A member that hasn't answered for this long may be replaced by a non-member.
const MEMBER_TIMEOUT: Ms = 1_800;
/// A new primary may not know all non-members that run until it has led for this long.
const DISCOVERY_DELAY: Ms = 1_600;
/// A leave request that isn't repeated within this time expires, and the member stays.
const LEAVE_VALIDITY: Ms = 1_000;
/// A non-member that wasn't heard from for this long is forgotten.
const NON_MEMBER_EXPIRY: Ms = 60_000;
/// How long machines wait for all founders before a majority of them may form the group.
const FOUNDING_TIMEOUT: Ms = 1_500;

/// What a machine of the group stores on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct DurableState {
    /// The identity of the disk; 0 until one is given.
    pub disk: u64,
    /// Messages of lower epochs are rejected.
    pub promised_epoch: u64,
    /// The view that was accepted last.
    pub accepted_view: Option<View>,
    /// The replicated state. It is current only on the primary and the backups.
    pub state: State,
}

/// Durable storage of a machine's state.
pub trait Storage {
    /// Writes the state; it is synced to disk when this returns.
    fn save(&mut self, durable: &DurableState);
}

impl Storage for Box<dyn Storage> {
    fn save(&mut self, durable: &DurableState) {
        self.as_mut().save(durable);
    }
}

/// The settings of one machine of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupSettings {
    /// This machine.
    pub me: Member,
    /// The addresses of the machines that form the group when the system first starts.
    pub founders: Vec<IpAddr>,
    /// The system starts for the first time, and this machine is a founder with an empty disk.
    pub founder: bool,
    /// What may be lost at once.
    pub tolerance: Tolerance,
}

/// A message between machines of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Requests the receiver's status. Carries the sender, which may not be a member.
    Probe(Member),
    /// Asks for the promise to reject messages of epochs below this one.
    Prepare(u64),
    /// Asks a backup to store this state, in this epoch.
    Replicate(u64, State),
    /// Asks a member to accept this view.
    InstallView(View),
    /// The sender is the primary of this view.
    Heartbeat(View),
    /// The primary of this epoch is about to stop and asks a backup to become primary.
    TransferLeadership(u64),
    /// The member with this disk is about to stop, maybe for good, and asks to be replaced. The reply is `accepted` as long
    /// as the member has to wait before it stops.
    Leave(u64),
}

/// The status of a machine, sent with every reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberStatus {
    /// The machine that replies.
    pub member: Member,
    pub promised_epoch: u64,
    pub accepted_view: Option<View>,
    /// The time since it last heard from a primary: 0 if it is the primary itself, `Ms::MAX` if it hasn't heard from one
    /// since it started.
    pub heartbeat_age: Ms,
    /// It may take part in forming the group.
    pub founder: bool,
}

/// The reply to any message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Reply {
    /// Whether the receiver did what the message asked for; see [`Message::Leave`] for its meaning there.
    pub accepted: bool,
    /// The receiver's status after the message was handled.
    pub status: MemberStatus,
}

/// A message to send; the reply to it goes to [`Group::handle_reply`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    pub to: IpAddr,
    pub message: Message,
}

/// The stage of a machine, for logs; with the epoch where there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Follows a primary, or waits for one.
    Follower,
    /// Looks for a primary.
    Probing,
    /// Collects promises for an epoch.
    Preparing(u64),
    /// Copies the state to the backups of an epoch.
    CopyingState(u64),
    /// Asks the members to accept the view of an epoch.
    InstallingView(u64),
    /// Is the primary of an epoch.
    Primary(u64),
}

/// What a machine does, with the replies that it has collected; [`Stage`] describes the steps. `since` is the time at which
/// a step began. `previous_view` is the latest view among the promises; there is none when the group is first formed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Probing {
        since: Ms,
        statuses: BTreeMap<u64, MemberStatus>,
    },
    Preparing {
        since: Ms,
        epoch: u64,
        promises: BTreeMap<u64, MemberStatus>,
        planned_members: Option<Vec<Member>>,
    },
    Copying {
        since: Ms,
        view: View,
        previous_view: Option<View>,
        copied: BTreeSet<u64>,
    },
    Installing {
        since: Ms,
        view: View,
        previous_view: Option<View>,
        accepted: BTreeSet<u64>,
    },
    Primary(Primary),
}

/// Identifies a change that was proposed on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeId {
    /// The change's number, as in [`crate::Position`].
    number: u64,
    /// `Group::state_generation` when the change was made.
    state_generation: u64,
}

/// The state machine of one machine of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group<S> {
    settings: GroupSettings,
    durable: DurableState,
    storage: S,
    role: Role,
    /// An election begins once the timeout has passed since this time.
    election_timer_start: Ms,
    /// Another machine was promised an epoch: no election begins here until this time.
    election_holdoff_until: Ms,
    /// When a primary was last heard from; none since this process started if empty.
    last_heartbeat: Option<Ms>,
    /// When this process started.
    started_at: Ms,
    /// Increases when the state is replaced by that of another primary.
    state_generation: u64,
    /// The address of the last known primary.
    primary: Option<IpAddr>,
    /// Machines that run this program but aren't members, and when they were last heard from.
    non_members: BTreeMap<u64, (Member, Ms)>,
    /// Members that are about to stop, and when their last leave request came.
    leaving: BTreeMap<u64, Ms>,
    /// The latest view that other machines reported, if it is later than the accepted one.
    reported_view: Option<View>,
}

impl<S: Storage> Group<S> {
    /// A machine that starts with what it has stored.
    pub fn new(settings: GroupSettings, durable: DurableState, storage: S, now: Ms) -> Group<S> {
        let (role, non_members, leaving) = (Role::Follower, BTreeMap::new(), BTreeMap::new());
        Group {
            settings,
            durable,
            storage,
            role,
            election_timer_start: now,
            election_holdoff_until: 0,
            last_heartbeat: None,
            started_at: now,
            state_generation: 0,
            primary: None,
            non_members,
            leaving,
            reported_view: None,
        }
    }

    /// What this machine has stored.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The address of the last known primary.
    pub fn primary(&self) -> Option<IpAddr> {
        self.primary
    }

    /// The stage of this machine.
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

    /// The number of the last change that is on the disks of the primary and all backups; 0 if this machine isn't primary.
    pub fn committed_change_number(&self) -> u64 {
        match &self.role {
            Role::Primary(primary) => primary.committed_change_number(),
            _ => 0,
        }
    }

    /// The number of the last change that this machine has stored, committed or not.
    pub fn last_change_number(&self) -> u64 {
        self.durable.state.position.number
    }

    /// The view that this machine accepted last.
    pub fn view(&self) -> Option<&View> {
        self.durable.accepted_view.as_ref()
    }

    /// The addresses of all known voters, of the non-members, and of the founders.
    pub fn addresses(&self) -> Vec<IpAddr> {
        let voters =
            |view: &View| view.members.iter().chain(&view.previous_members).map(|m| m.ip).collect::<Vec<_>>();
        let members = self.durable.accepted_view.iter().chain(&self.reported_view).flat_map(voters);
        let non_members = self.non_members.values().map(|(member, _)| member.ip);
        let all = members.chain(non_members).chain(self.settings.founders.iter().copied());
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
                self.last_heartbeat.map_or(Ms::MAX, |at| now.saturating_sub(at))
            },
            founder: self.settings.founder,
        }
    }

    fn save(&mut self) {
        self.storage.save(&self.durable);
    }

    /// Handles a message from another machine; returns the reply and the messages to send.
    pub fn handle(&mut self, from: IpAddr, message: Message, now: Ms) -> (Reply, Vec<Outgoing>) {
        let mut outgoing = Vec::new();
        let accepted = match message {
            // The message was meant for another member that had this address before.
            _ if from == self.settings.me.ip => false,
            Message::Probe(member) => {
                self.record_non_member(&member, now);
                true
            }
            Message::Prepare(epoch) if epoch > self.durable.promised_epoch => {
                self.election_holdoff_until = now + ELECTION_HOLDOFF;
                self.promise_epoch(epoch)
            }
            Message::Prepare(_) => false,
            Message::Replicate(epoch, state) => self.enter_epoch(epoch) && self.store_state(state, now),
            Message::InstallView(view) => self.enter_epoch(view.epoch) && self.accept_view(view),
            Message::Heartbeat(view) => self.handle_heartbeat(from, view, now),
            Message::TransferLeadership(epoch) => {
                let me = self.settings.me.disk;
                let is_backup = self.view().is_some_and(|v| v.epoch == epoch && v.backups.contains(&me));
                if is_backup && matches!(self.role, Role::Follower) {
                    outgoing = self.prepare(None, now);
                }
                is_backup
            }
            Message::Leave(disk) => self.handle_leave(disk, now),
        };
        (Reply { accepted, status: self.status(now) }, outgoing)
    }

    fn is_member(&self, disk: u64) -> bool {
        self.view().is_some_and(|view| view.is_member(disk))
    }

    fn promise_epoch(&mut self, epoch: u64) -> bool {
        self.durable.promised_epoch = epoch;
        self.save();
        self.role = Role::Follower;
        true
    }

    /// Whether a message of this epoch is valid. A higher epoch than the promised one is promised, which ends what this
    /// machine does in a lower one.
    fn enter_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.durable.promised_epoch {
            return false;
        }
        if epoch > self.durable.promised_epoch {
            self.promise_epoch(epoch);
        }
        true
    }

    fn record_heartbeat(&mut self, now: Ms) {
        self.election_timer_start = now;
        self.last_heartbeat = Some(now);
    }

    fn accept_view(&mut self, view: View) -> bool {
        if self.durable.accepted_view.as_ref() != Some(&view) {
            self.durable.accepted_view = Some(view);
            self.save();
        }
        true
    }

    fn handle_heartbeat(&mut self, from: IpAddr, view: View, now: Ms) -> bool {
        if !self.enter_epoch(view.epoch) {
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.record_heartbeat(now);
        self.primary = Some(from);
        self.accept_view(view)
    }

    /// Does what is due at this time; returns the messages to send.
    pub fn tick(&mut self, now: Ms) -> Vec<Outgoing> {
        match &self.role {
            Role::Follower => self.tick_follower(now),
            Role::Probing { since, .. } if now >= since + PROBE_TIMEOUT => self.evaluate_probe(now, true),
            Role::Preparing { since, .. } | Role::Copying { since, .. } | Role::Installing { since, .. }
                if now >= since + STEP_TIMEOUT =>
            {
                self.abort_attempt(now)
            }
            Role::Preparing { .. } => self.evaluate_promises(now),
            Role::Primary(_) => self.tick_primary(now),
            _ => Vec::new(),
        }
    }

    /// Handles the reply to a message that was sent at `sent`. The reply proves something about that time only, not about
    /// the time at which it is read.
    pub fn handle_reply(&mut self, message: &Message, sent: Ms, reply: Reply, now: Ms) -> Vec<Outgoing> {
        let status = reply.status;
        let disk = status.member.disk;
        self.record_non_member(&status.member, now);
        if let Some(view) = &status.accepted_view {
            self.record_reported_view(view);
        }
        match (&mut self.role, message) {
            (Role::Probing { statuses, .. }, Message::Probe(_)) => {
                statuses.insert(disk, status);
                self.evaluate_probe(now, false)
            }
            (Role::Preparing { epoch, promises, .. }, Message::Prepare(answered)) if epoch == answered => {
                if !reply.accepted {
                    return self.abort_attempt(now);
                }
                promises.insert(disk, status);
                self.evaluate_promises(now)
            }
            (Role::Copying { view, copied, .. }, Message::Replicate(answered, _))
                if view.epoch == *answered =>
            {
                if !reply.accepted {
                    return self.abort_attempt(now);
                }
                copied.insert(disk);
                match view.backups.iter().all(|backup| copied.contains(backup)) {
                    true => self.install_view(now),
                    false => Vec::new(),
                }
            }
            (Role::Installing { view, accepted, .. }, Message::InstallView(answered)) if view == answered => {
                if !reply.accepted {
                    return self.abort_attempt(now);
                }
                accepted.insert(disk);
                self.evaluate_installation(now)
            }
            (Role::Primary(primary), message) => {
                if status.promised_epoch > primary.view.epoch {
                    self.role = Role::Follower;
                    self.election_timer_start = now;
                    return Vec::new();
                }
                primary.record_answer(disk, sent);
                if let Message::Replicate(epoch, state) = message {
                    if reply.accepted && *epoch == primary.view.epoch {
                        let replicated = primary.replicated.entry(disk).or_default();
                        *replicated = (*replicated).max(state.position.number);
                    }
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
