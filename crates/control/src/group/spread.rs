//! Which members outlast what may be lost at once: whatever it is, a majority of them is left.
//!
//! One that holds the state is left then too, wherever the backups stand: of `2n + 1` members `n + 1` hold it, and what leaves
//! a majority takes `n` members at the most.
use super::lease::Primary;
use super::*;
use settings::tolerance::{region, zone};

impl<S: Storage> Group<S> {
    /// What the members can't give of what may be lost at once, as far as this machine knows them.
    pub fn unmet_tolerance(&self) -> Option<String> {
        let view = self.view()?;
        let locations: Vec<&Location> = view.members.iter().map(|member| &member.location).collect();
        self.settings.tolerance.unmet_by_majority(&locations)
    }

    /// The newcomer that should be a member first, where it matters where members stand.
    pub(super) fn newcomer_by_spread<'a>(&'a self, primary: &'a Primary, now: Ms) -> Option<&'a Member> {
        let wanted = self.members_by_spread(primary, now)?;
        wanted.into_iter().find(|member| !primary.view.is_member(member.disk))
    }

    /// A newcomer, and the place of the member in whose stead a majority outlasts more with it.
    pub(super) fn better_spread_of_members<'a>(
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
        let place = members.iter().position(|member| !is_wanted(member.disk))?;
        Some((place, newcomer))
    }

    /// The members that this group should have, of those that are there: evenly from all regions and zones, this machine
    /// among them, and those that are members already rather than others. Nothing where places don't matter.
    fn members_by_spread<'a>(&'a self, primary: &'a Primary, now: Ms) -> Option<Vec<&'a Member>> {
        if !self.settings.tolerance.needs_spread() {
            return None;
        }
        let mut candidates: Vec<&Member> = self.fit_members(primary, now).collect();
        candidates.extend(self.newcomers(primary, now));
        let mut chosen = vec![&self.settings.me];
        while chosen.len() < self.settings.tolerance.group_size() && !candidates.is_empty() {
            let count = |of: fn(&Location) -> &str, place: &Location| {
                chosen.iter().filter(|member| of(&member.location) == of(place)).count()
            };
            let order = |(_, member): &(usize, &&Member)| {
                (count(region, &member.location), count(zone, &member.location))
            };
            let best = candidates.iter().enumerate().min_by_key(order).map_or(0, |(place, _)| place);
            chosen.push(candidates.remove(best));
        }
        Some(chosen)
    }
}
