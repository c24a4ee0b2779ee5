//! At which stores the copies of a message lie, so that it outlasts whatever may be lost at once.
use settings::tolerance::{distinct, region, zone};
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};

/// The zones and regions that a message has to be in.
#[derive(Clone, Debug)]
struct Spread {
    locations: BTreeMap<u64, Location>,
    /// That of the store that owns the message, if its own copy counts.
    own: Option<Location>,
    zones: usize,
    regions: usize,
}

impl Spread {
    fn new(tolerance: Tolerance, locations: BTreeMap<u64, Location>, own: Option<Location>) -> Spread {
        let all: Vec<&Location> = locations.values().chain(&own).collect();
        // Where fewer are left, the loss that may be borne has happened.
        let zones = (tolerance.zones + 1).min(distinct(&all, zone));
        let regions = (tolerance.regions + 1).min(distinct(&all, region));
        Spread { locations, own, zones, regions }
    }

    /// How many zones and regions a message is to be in that its copies aren't.
    fn missing(&self, copies: &BTreeSet<u64>) -> (usize, usize) {
        let at: Vec<&Location> =
            copies.iter().filter_map(|disk| self.locations.get(disk)).chain(&self.own).collect();
        let zones = self.zones.saturating_sub(distinct(&at, zone));
        (zones, self.regions.saturating_sub(distinct(&at, region)))
    }

    /// How many zones and regions are missing with one more copy there.
    fn missing_with(&self, disk: u64, copies: &BTreeSet<u64>) -> usize {
        let mut with = copies.clone();
        with.insert(disk);
        let (zones, regions) = self.missing(&with);
        zones + regions
    }
}

/// The stores whose copies count now, and what copies each message needs at them.
#[derive(Clone, Debug)]
pub struct Placement {
    available: BTreeSet<u64>,
    copies: usize,
    spread: Option<Spread>,
}

impl Placement {
    /// So many copies at these stores, wherever they stand.
    pub fn anywhere(available: BTreeSet<u64>, copies: usize) -> Placement {
        Placement { available, copies, spread: None }
    }

    /// The same, in as many zones and regions as may be lost and one more. `locations` are those of the stores that may be
    /// given more copies; `own` is that of the store that owns the messages, if what it has itself counts.
    pub fn with_spread(
        self,
        tolerance: Tolerance,
        locations: BTreeMap<u64, Location>,
        own: Option<Location>,
    ) -> Placement {
        Placement { spread: Some(Spread::new(tolerance, locations, own)), ..self }
    }

    /// The stores whose copies count.
    pub fn available(&self) -> &BTreeSet<u64> {
        &self.available
    }

    /// How many copies a message needs.
    pub fn required_copies(&self) -> usize {
        self.copies
    }

    /// How many more copies a message needs at the least that has these.
    pub fn missing_copies(&self, copies: &BTreeSet<u64>) -> usize {
        let there = copies.intersection(&self.available);
        // Asked for each message that is owned, again and again: without a spread nothing is collected.
        let Some(spread) = &self.spread else { return self.copies.saturating_sub(there.count()) };
        let there: BTreeSet<u64> = there.copied().collect();
        let missing = self.copies.saturating_sub(there.len());
        let (zones, regions) = spread.missing(&there);
        missing.max(zones).max(regions)
    }

    /// Chooses so many of some stores, which come in the order of preference, for more copies of a message that has these:
    /// those first that bring it into a zone or region that it has to be in.
    pub fn choose<T>(
        &self,
        mut candidates: Vec<T>,
        disk_of: impl Fn(&T) -> u64,
        copies: &BTreeSet<u64>,
        count: usize,
    ) -> Vec<T> {
        let mut copies = copies.clone();
        let mut chosen = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let missing_with = |(_, candidate): &(usize, &T)| match &self.spread {
                Some(spread) => spread.missing_with(disk_of(candidate), &copies),
                None => 0,
            };
            let best = candidates.iter().enumerate().min_by_key(missing_with);
            let best = best.map_or(0, |(i, _)| i);
            let next = candidates.remove(best);
            copies.insert(disk_of(&next));
            chosen.push(next);
        }
        chosen
    }
}
