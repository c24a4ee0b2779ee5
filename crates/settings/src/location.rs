//! Where machines stand: zones, the regions that they lie in, and how far two machines are apart.
use crate::declare::{Faults, Readable};
use borsh::{BorshDeserialize, BorshSerialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// How far two machines are apart, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In one zone.
    SameZone,
    /// In two zones of one region.
    SameRegion,
    /// In two regions, or in a zone of which no region is known.
    Beyond,
}

/// The zone and the region of a machine. Both are empty where nothing is known of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Location {
    pub zone: String,
    pub region: String,
}

impl Location {
    /// How far a machine here is from one there.
    pub fn distance(&self, other: &Location) -> Distance {
        if self.zone == other.zone {
            return Distance::SameZone;
        }
        match !self.region.is_empty() && self.region == other.region {
            true => Distance::SameRegion,
            false => Distance::Beyond,
        }
    }
}

/// The zones of a system, each with its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology(BTreeMap<String, String>);

impl Topology {
    /// The region of each zone.
    pub fn new(regions: impl IntoIterator<Item = (String, String)>) -> Topology {
        Topology(regions.into_iter().collect())
    }

    /// Whether the region of a zone is known.
    pub fn knows(&self, zone: &str) -> bool {
        self.0.contains_key(zone)
    }

    /// The location of a machine in a zone.
    pub fn locate(&self, zone: &str) -> Location {
        let region = self.0.get(zone).cloned().unwrap_or_default();
        Location { zone: zone.to_string(), region }
    }
}

impl Readable for Topology {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        let Some(zones) = value.as_object() else {
            faults.add(path, "is not a table of zones; write each zone with its region");
            return None;
        };
        let mut regions = BTreeMap::new();
        for (zone, region) in zones {
            let region = String::read(region, &format!("{path}.{zone}"), faults)?;
            regions.insert(zone.clone(), region);
        }
        Some(Topology(regions))
    }
}
