//! The view of an epoch: which machines may change the state in it, and which may vote.
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Location;
use std::net::IpAddr;

/// A machine of the group. It is identified by its disk: a machine that lost its disk counts as a different member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Member {
    pub disk: u64,
    pub name: String,
    pub ip: IpAddr,
    pub location: Location,
}

/// An epoch with its primary and its backups, which all hold every acknowledged change, and its members, a majority of
/// which elects the primary of the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct View {
    pub epoch: u64,
    pub primary: u64,
    /// One backup for each machine, zone or region that may be lost at once.
    pub backups: Vec<u64>,
    pub members: Vec<Member>,
    /// The members of the previous view. While they differ from `members`, decisions need a majority of each.
    pub previous_members: Vec<Member>,
}

impl View {
    /// Whether a disk holds every change that was acknowledged in this epoch.
    pub fn holds_state(&self, disk: u64) -> bool {
        self.primary == disk || self.backups.contains(&disk)
    }

    /// Whether a disk is one of the current members.
    pub fn is_member(&self, disk: u64) -> bool {
        self.members.iter().any(|member| member.disk == disk)
    }

    /// Whether a disk has a vote on the next view, as a current or a previous member.
    pub fn has_vote(&self, disk: u64) -> bool {
        self.is_member(disk) || self.previous_members.iter().any(|member| member.disk == disk)
    }

    /// Whether these disks are a majority of both the current and the previous members.
    pub fn is_majority<'a>(&self, disks: impl IntoIterator<Item = &'a u64>) -> bool {
        let disks: Vec<u64> = disks.into_iter().copied().collect();
        is_majority(&self.members, &disks) && is_majority(&self.previous_members, &disks)
    }
}

fn is_majority(members: &[Member], disks: &[u64]) -> bool {
    let votes = members.iter().filter(|member| disks.contains(&member.disk)).count();
    votes > members.len() / 2 || members.is_empty()
}
