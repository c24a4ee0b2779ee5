//! What a process sends, by purpose and by the distance of the peer: for the log and for the status.
use net::meter::{Meter, Purpose, Transferred};
use settings::Distance;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// How often the sums are logged.
pub const LOG_EVERY: Duration = Duration::from_secs(15);

/// Sums by purpose and distance; without a distance where the location of the peer isn't known.
pub type Traffic = BTreeMap<(Purpose, Option<Distance>), Transferred>;

/// Adds up what several meters counted.
pub fn add_up(meters: &[&Meter], distance: impl Fn(IpAddr) -> Option<Distance>) -> Traffic {
    let mut traffic = Traffic::new();
    for meter in meters {
        for (key, transferred) in meter.sums(&distance) {
            traffic.entry(key).or_default().add(&transferred);
        }
    }
    traffic
}

fn name(distance: Option<Distance>) -> &'static str {
    match distance {
        Some(Distance::SameZone) => "zone",
        Some(Distance::SameRegion) => "region",
        Some(Distance::Beyond) => "beyond",
        None => "unknown",
    }
}

/// For the status: bytes both ways, by purpose, then by distance.
pub fn as_json(traffic: &Traffic) -> serde_json::Value {
    let mut purposes: BTreeMap<Purpose, BTreeMap<&str, u64>> = BTreeMap::new();
    for ((purpose, distance), transferred) in traffic {
        purposes.entry(purpose).or_default().insert(name(*distance), transferred.bytes());
    }
    serde_json::json!(purposes)
}

/// For the log: calls, bytes sent and received.
pub fn log(traffic: &Traffic) {
    for ((purpose, distance), Transferred { calls, sent, received }) in traffic {
        log::info!("traffic: {purpose}, {}: {calls} calls, {sent} + {received} bytes", name(*distance));
    }
}
