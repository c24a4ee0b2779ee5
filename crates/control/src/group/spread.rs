//! The choice of members by zone and region, so that a majority survives whatever may be lost at once.
//!
//! A machine with the state survives too, wherever the backups are: of `2n + 1` members `n + 1` hold the state, and a loss
//! that leaves a majority takes at most `n` members.
use super::lease::Primary;
use super::*;
use settings::tolerance::{region, zone};

impl<S: Storage> Group<S> {
    /// Why the members can't survive everything that may be lost at once, by the accepted view; `None` if
    /// they can.
    pub fn unmet_tolerance(&self) -> Option<String> {
        let view = self.view()?;
        let locations: Vec<&Location> = view.members.iter().map(|member| &member.location).collect();
        self.settings.tolerance.unmet_by_majority(&locations)
    }

    /// The non-member that should become a member first, if the tolerance depends on zones or regions.
    pub(super) fn newcomer_by_spread<'a>(&'a self, primary: &'a Primary, now: Ms) -> Option<&'a Member> {
        let wanted = self.members_by_spread(primary, now)?;
        wanted.into_iter().find(|member| !primary.view.is_member(member.disk))
    }

    /// A non-member, and the index of the member that it should replace so that a majority survives more losses.
    pub(super) fn replacement_by_spread<'a>(
        &'a self,
        primary: &'a Primary,
        now: Ms,
    ) -> Option<(usize, &'a Member)> {
        let wanted = self.members_by_spread(primary, now)?;
        let members = &primary.view.members;
        let shortfall = |members: &[&Member]| {
            let locations: Vec<&Location> = members.iter().map(|member| &member.location).collect();
            self.settings.tolerance.majority_shortfall(&locations)
        };
        if shortfall(&wanted) >= shortfall(&members.iter().collect::<Vec<_>>()) {
            return None;
        }
        let is_wanted = |disk: u64| wanted.iter().any(|member| member.disk == disk);
        let newcomer = wanted.iter().find(|member| !primary.view.is_member(member.disk))?;
        let index = members.iter().position(|member| !is_wanted(member.disk))?;
        Some((index, newcomer))
    }

    /// The members that the group should have, of the available machines: spread evenly over regions and zones, with this
    /// machine among them, and with current members preferred. None if the tolerance doesn't depend on zones or regions.
    fn members_by_spread<'a>(&'a self, primary: &'a Primary, now: Ms) -> Option<Vec<&'a Member>> {
        if !self.settings.tolerance.needs_spread() {
            return None;
        }
        let mut candidates: Vec<&Member> = self.available_members(primary, now).collect();
        candidates.extend(self.available_non_members(primary, now));
        let mut chosen = vec![&self.settings.me];
        while chosen.len() < self.settings.tolerance.group_size() && !candidates.is_empty() {
            let count = |domain: fn(&Location) -> &str, location: &Location| {
                chosen.iter().filter(|member| domain(&member.location) == domain(location)).count()
            };
            let order = |(_, member): &(usize, &&Member)| {
                (count(region, &member.location), count(zone, &member.location))
            };
            let best = candidates.iter().enumerate().min_by_key(order).map_or(0, |(index, _)| index);
            chosen.push(candidates.remove(best));
        }
        Some(chosen)
    }
}
