//! What answers of endpoints say of a message, and which endpoint gets the next one.
use net::client::CallError;
use net::http::{Bounds, Kind, Message, Reader, Response};
use node::calls::Endpoint;
use node::store::deliver::{verdict, Verdict};
use node::store::endpoints::{Call, Endpoints};
use policy::api::Outcome;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use settings::{Configuration, Location, Route, Service, Topology};

fn answer(bytes: &str) -> Result<Response, CallError> {
    let mut input = bytes::BytesMut::from(bytes);
    let bounds = Bounds { head_bytes: 1_024, body_bytes: 1_024 };
    match Reader::new(Kind::Response, bounds).next(&mut input) {
        Ok(Some(Message::Response(response))) => Ok(response),
        _ => panic!("no answer"),
    }
}

#[rstest]
#[case::success("200 OK", "X-Server-Signature: s", Verdict::Completed("s".to_string()))]
#[case::success_without_signature("200 OK", "X-Other: s", Verdict::Unknown)]
#[case::anothers_success("200 OK", "X-Server-Signature: s\r\nX-Request-Id: other", Verdict::Unknown)]
#[case::own_success("200 OK", "X-Server-Signature: s\r\nX-Request-Id: m", Verdict::Completed("s".to_string()))]
#[case::never("422 Unprocessable", "X-A: 1", Verdict::Rejected)]
#[case::failed("500 Error", "X-A: 1", Verdict::Failed)]
#[case::failed_before_it_ran("500 Error", "X-Not-Executed: 1", Verdict::NotExecuted)]
#[case::full("503 Full", "X-Not-Executed: 1", Verdict::NotExecuted)]
#[case::unavailable("503 Unavailable", "X-A: 1", Verdict::Unknown)]
#[case::in_progress("409 Conflict", "X-Not-Executed: 1", Verdict::NotExecuted)]
#[case::too_many("429 Many", "X-Not-Executed: 1", Verdict::NotExecuted)]
#[case::moved("421 Misdirected", "X-A: 1", Verdict::WrongInstance)]
#[case::ran_out_of_time("504 Timeout", "X-A: 1", Verdict::Unknown)]
fn an_answer_is_read_for_what_it_says(#[case] status: &str, #[case] headers: &str, #[case] told: Verdict) {
    let bytes = format!("HTTP/1.1 {status}\r\n{headers}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(verdict("m", &answer(&bytes)), told);
}

#[rstest]
#[case(CallError::NotSent, Verdict::NotExecuted)]
#[case(CallError::KeptBroke, Verdict::Unknown)]
#[case(CallError::Broke, Verdict::Unknown)]
#[case(CallError::TimedOut, Verdict::Unknown)]
fn silence_says_nothing_unless_nothing_was_sent(#[case] error: CallError, #[case] told: Verdict) {
    assert_eq!(verdict("m", &Err(error)), told);
}

fn configuration() -> Configuration {
    let route =
        Route { name: "r".to_string(), service: "s".to_string(), timeout_ms: 1_000, ..Route::default() };
    let service = Service { name: "s".to_string(), max_connections: 100, ..Service::default() };
    Configuration { routes: vec![route], services: vec![service], ..Configuration::default() }
}

fn listed(id: &str, zone: &str, port: u16, capacity: u64, draining: bool) -> Endpoint {
    Endpoint {
        id: id.to_string(),
        service: "s".to_string(),
        address: format!("10.0.0.1:{port}"),
        zone: zone.to_string(),
        capacity,
        draining,
    }
}

/// Three zones, two of them in one region.
fn topology() -> Topology {
    let zones = [("here", "east"), ("there", "east"), ("far", "west")];
    Topology::new(zones.map(|(zone, region)| (zone.to_string(), region.to_string())))
}

fn here() -> Location {
    topology().locate("here")
}

fn update(endpoints: &mut Endpoints, list: &[Endpoint]) {
    endpoints.update(&configuration(), list, &topology(), 1);
}

fn begin(endpoints: &mut Endpoints, now: u64) -> Option<Call> {
    let at = endpoints.pick("s", &here(), now)?;
    let (address, instance, concurrency) = endpoints.begin("s", at, 0, now as i64 * 1_000_000);
    let classes = endpoints.deadlines(&configuration(), "s");
    let started_at_ns = now as i64 * 1_000_000;
    Some(Call { service: "s".to_string(), address, instance, class: 0, classes, concurrency, started_at_ns })
}

fn finish(endpoints: &mut Endpoints, call: &Call, outcome: Outcome, now: u64) {
    endpoints.end(call, outcome, None, (now, now as i64 * 1_000_000));
}

#[test]
fn calls_in_flight_stay_under_three_quarters_of_the_slots() {
    let mut endpoints = Endpoints::default();
    update(&mut endpoints, &[listed("a", "here", 1, 8, false)]);
    let calls: Vec<_> = std::iter::from_fn(|| begin(&mut endpoints, 1)).collect();
    assert_eq!(calls.len(), 6);
    finish(&mut endpoints, &calls[0], Outcome::Served, 2);
    assert!(begin(&mut endpoints, 2).is_some() && begin(&mut endpoints, 2).is_none());
}

#[test]
fn the_nearest_come_first_and_others_when_they_are_full() {
    let mut endpoints = Endpoints::default();
    let list = [
        listed("unknown", "nowhere", 1, 4, false),
        listed("region", "there", 2, 4, false),
        listed("zone", "here", 3, 4, false),
    ];
    update(&mut endpoints, &list);
    let calls: Vec<_> = std::iter::from_fn(|| begin(&mut endpoints, 1)).collect();
    let ids: Vec<_> = calls.iter().map(|call| call.instance.clone().unwrap()).collect();
    assert_eq!(ids, ["zone", "zone", "zone", "region", "region", "region", "unknown", "unknown", "unknown"]);
}

#[test]
fn what_drains_or_is_gone_gets_nothing_and_its_calls_end_in_peace() {
    let mut endpoints = Endpoints::default();
    update(&mut endpoints, &[listed("a", "here", 1, 4, false)]);
    let call = begin(&mut endpoints, 1).unwrap();
    update(&mut endpoints, &[listed("a", "here", 1, 4, true)]);
    assert!(begin(&mut endpoints, 2).is_none());
    update(&mut endpoints, &[]);
    assert!(begin(&mut endpoints, 3).is_none());
    finish(&mut endpoints, &call, Outcome::Served, 4);
    update(&mut endpoints, &[]);
    assert!(!endpoints.contains_address(&call.address));
}

#[test]
fn an_address_that_has_another_incarnation_is_another_endpoint() {
    let mut endpoints = Endpoints::default();
    update(&mut endpoints, &[listed("old", "here", 1, 4, false)]);
    let call = begin(&mut endpoints, 1).unwrap();
    finish(&mut endpoints, &call, Outcome::NoAnswer, 2);
    assert!(begin(&mut endpoints, 3).is_none(), "in doubt");
    update(&mut endpoints, &[listed("new", "here", 1, 4, false)]);
    assert_eq!(begin(&mut endpoints, 3).unwrap().instance.as_deref(), Some("new"));
}

#[test]
fn one_in_doubt_gets_one_call_at_a_time_until_it_answers() {
    let mut endpoints = Endpoints::default();
    update(&mut endpoints, &[listed("a", "here", 1, 8, false)]);
    let call = begin(&mut endpoints, 1).unwrap();
    finish(&mut endpoints, &call, Outcome::NoConnection, 2);
    assert!(begin(&mut endpoints, 3).is_none());
    let again = endpoints.next_try("s", 3).unwrap();
    let probe = begin(&mut endpoints, again).unwrap();
    assert!(begin(&mut endpoints, again).is_none());
    finish(&mut endpoints, &probe, Outcome::Served, again + 1);
    assert!(begin(&mut endpoints, again + 1).is_some() && begin(&mut endpoints, again + 1).is_some());
}

#[test]
fn connections_are_shared_among_the_senders() {
    let mut endpoints = Endpoints::default();
    let mut configuration = configuration();
    configuration.services[0].max_connections = 6;
    endpoints.update(&configuration, &[listed("a", "here", 1, 40, false)], &topology(), 3);
    assert_eq!(std::iter::from_fn(|| begin(&mut endpoints, 1)).count(), 2);
}

/// Endpoints in drawn zones with drawn slots, calls that begin and end: whichever is chosen, no free one is nearer, and of
/// those equally near none has less of its slots taken.
#[test]
fn the_chosen_endpoint_is_the_nearest_with_room_and_of_those_the_freest() {
    let zones = ["here", "there", "far", "nowhere"];
    let mut lot = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..100 {
        let mut endpoints = Endpoints::default();
        let list: Vec<Endpoint> = (1..=8)
            .map(|i| listed(&i.to_string(), zones[lot.random_range(0..4)], i, lot.random_range(1..9), false))
            .collect();
        update(&mut endpoints, &list);
        let mut calls: Vec<Call> = Vec::new();
        for now in 1..60 {
            if lot.random_bool(0.3) && !calls.is_empty() {
                let call = calls.swap_remove(lot.random_range(0..calls.len()));
                finish(&mut endpoints, &call, Outcome::Served, now);
            }
            // By distance, then by the share of its slots that is taken, of those that may have one more.
            let rank = |endpoint: &Endpoint| {
                let taken =
                    calls.iter().filter(|call| call.instance.as_deref() == Some(&endpoint.id)).count() as u64;
                let cap = (endpoint.capacity * 3 / 4).max(1);
                let distance = here().distance(&topology().locate(&endpoint.zone));
                (taken < cap).then_some((distance, taken * 1_000 / endpoint.capacity))
            };
            let best = list.iter().filter_map(rank).min();
            let Some(call) = begin(&mut endpoints, now) else {
                assert_eq!(best, None);
                continue;
            };
            let chosen = list.iter().find(|endpoint| call.instance.as_deref() == Some(&endpoint.id)).unwrap();
            assert_eq!(rank(chosen), best);
            calls.push(call);
        }
    }
}
