//! What may be lost at once, and which sets of machines outlast it.
use crate::location::Location;
use std::collections::{BTreeMap, BTreeSet};

/// What may be lost at once without the loss of a message or of the configuration: so many machines, or all that stands in
/// so many zones, or in so many regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tolerance {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

impl Tolerance {
    /// So many machines, wherever they stand.
    pub fn of_machines(machines: usize) -> Tolerance {
        Tolerance { machines, zones: 0, regions: 0 }
    }

    /// How many copies are needed beside the first.
    pub fn copies(&self) -> usize {
        self.machines.max(self.zones).max(self.regions).max(1)
    }

    /// How many members a group needs whose majority decides.
    pub fn group_size(&self) -> usize {
        2 * self.copies() + 1
    }

    /// Whether it matters where the copies lie.
    pub fn needs_spread(&self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    /// In how many zones and regions copies at these places lack a copy, of those that they have to be in.
    pub fn missing_spread(&self, at: &[&Location]) -> usize {
        let zones = (self.zones + 1).saturating_sub(distinct(at, zone));
        zones + (self.regions + 1).saturating_sub(distinct(at, region))
    }

    /// Whether the loss of all that stood at these places, and of nothing else, is within it.
    pub fn covers_loss_of(&self, lost: &[&Location]) -> bool {
        let zones = distinct(lost, zone) <= self.zones;
        lost.len() <= self.machines.max(1) || zones || distinct(lost, region) <= self.regions
    }

    /// By how many machines, zones and regions less than it says a group of members at these places outlasts, so that a
    /// majority of them is left.
    pub fn majority_shortfall(&self, members: &[&Location]) -> usize {
        let machines = self.machines.saturating_sub(members.len().saturating_sub(1) / 2);
        machines + lacking(members, zone, self.zones) + lacking(members, region, self.regions)
    }

    /// What stores at these places can't give of it, with a remedy; nothing where they bear all of it.
    pub fn unmet(&self, stores: &[&Location]) -> Option<String> {
        let lacks = |what: &str, wanted: usize, there: usize| {
            (there < wanted)
                .then(|| format!("stores in {wanted} {what} are needed, there are {there}: add some"))
        };
        lacks("machines", self.copies() + 1, stores.len())
            .or_else(|| lacks("zones", self.zones + 1, distinct(stores, zone)))
            .or_else(|| lacks("regions", self.regions + 1, distinct(stores, region)))
    }

    /// What a group of members at these places can't give of it, with a remedy; nothing where a majority of them is left
    /// whatever is lost.
    pub fn unmet_by_majority(&self, members: &[&Location]) -> Option<String> {
        let wanted = self.group_size();
        if members.len() < wanted {
            return Some(format!(
                "{wanted} control machines are needed, there are {}: add some",
                members.len()
            ));
        }
        let uneven = |what: &str, allowed: usize, lacking: usize| {
            let others = "add control machines in others";
            (lacking > 0).then(|| {
                format!("the loss of {allowed} {what} leaves no majority of the control machines: {others}")
            })
        };
        uneven("regions", self.regions, lacking(members, region, self.regions))
            .or_else(|| uneven("zones", self.zones, lacking(members, zone, self.zones)))
    }
}

/// The zone of a place.
pub fn zone(location: &Location) -> &str {
    &location.zone
}

/// The region of a place.
pub fn region(location: &Location) -> &str {
    &location.region
}

/// In how many different zones or regions some places are.
pub fn distinct(locations: &[&Location], of: fn(&Location) -> &str) -> usize {
    locations.iter().map(|location| of(location)).collect::<BTreeSet<&str>>().len()
}

/// How many fewer zones or regions than allowed may be lost, the fullest ones first, so that a majority is left.
fn lacking(members: &[&Location], of: fn(&Location) -> &str, allowed: usize) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for member in members {
        *counts.entry(of(member)).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    let is_borne = |lost: &usize| {
        let left = members.len() - counts.iter().take(*lost).sum::<usize>();
        left > members.len() / 2
    };
    let borne = (0..=allowed).take_while(is_borne).count().saturating_sub(1);
    allowed - borne
}
