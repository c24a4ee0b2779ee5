//! Decides which stores hold the copies of a message, so that it survives the tolerated losses.
use settings::tolerance::{distinct, region, zone};
use settings::{Location, Tolerance};
use std::collections::{BTreeMap, BTreeSet};

/// The numbers of zones and regions that the copies of a message have to cover.
#[derive(Clone, Debug)]
struct Spread {
    locations: BTreeMap<u64, Location>,
    /// Location of the store that owns the message, if its own copy counts.
    own: Option<Location>,
    zones: usize,
    regions: usize,
}

impl Spread {
    fn new(tolerance: Tolerance, locations: BTreeMap<u64, Location>, own: Option<Location>) -> Spread {
        let all: Vec<&Location> = locations.values().chain(&own).collect();
        // With fewer zones or regions left than that, the tolerated loss has already occurred.
        let zones = (tolerance.zones + 1).min(distinct(&all, zone));
        let regions = (tolerance.regions + 1).min(distinct(&all, region));
        Spread { locations, own, zones, regions }
    }

    /// How many more zones and regions the copies have to cover.
    fn missing(&self, copies: &BTreeSet<u64>) -> (usize, usize) {
        let at: Vec<&Location> =
            copies.iter().filter_map(|disk| self.locations.get(disk)).chain(&self.own).collect();
        let zones = self.zones.saturating_sub(distinct(&at, zone));
        (zones, self.regions.saturating_sub(distinct(&at, region)))
    }

    /// How many zones and regions would still be missing with one more copy on this disk.
    fn missing_with(&self, disk: u64, copies: &BTreeSet<u64>) -> usize {
        let mut with = copies.clone();
        with.insert(disk);
        let (zones, regions) = self.missing(&with);
        zones + regions
    }
}

/// The stores whose copies count at present, and the copies that each message needs.
#[derive(Clone, Debug)]
pub struct Placement {
    available: BTreeSet<u64>,
    copies: usize,
    spread: Option<Spread>,
}

impl Placement {
    /// Requires a number of copies at any of these stores.
    pub fn anywhere(available: BTreeSet<u64>, copies: usize) -> Placement {
        Placement { available, copies, spread: None }
    }

    /// Also requires the copies to cover one more zone and region than may be lost. `locations` are those of
    /// the stores that may receive copies; `own` is the location of the store that owns the messages, if its
    /// own copy counts.
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

    /// Number of copies that a message needs.
    pub fn required_copies(&self) -> usize {
        self.copies
    }

    /// The least number of further copies that a message with these copies needs.
    pub fn missing_copies(&self, copies: &BTreeSet<u64>) -> usize {
        let there = copies.intersection(&self.available);
        // This runs often, for every owned message: without a spread it allocates nothing.
        let Some(spread) = &self.spread else { return self.copies.saturating_sub(there.count()) };
        let there: BTreeSet<u64> = there.copied().collect();
        let missing = self.copies.saturating_sub(there.len());
        let (zones, regions) = spread.missing(&there);
        missing.max(zones).max(regions)
    }

    /// Chooses up to `count` of the candidates, given in order of preference, to receive further copies of a
    /// message that has these copies. Candidates that add a required zone or region come first.
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
