//! The operator removes one of three routes. Routes are named by their position, so the names of the others move up by one.
//! Messages that wait are looked up by the name of their route alone: they go to the service of whatever route has the
//! name now, or become dead letters although their place still has its route.
#[path = "../tools-2/stand.rs"]
mod stand;
use stand::*;
use std::sync::{Arc, Mutex};

const HOST: &str = "shop.example";
const DELAY_MS: u64 = 6_000;
const EACH: usize = 4;
/// Each place and the one service that every configuration sends it to.
const PLACES: [(&str, &str); 3] = [("/slots/", "partners"), ("/proofs/", "proofdesk"), ("/confirm/", "runbook")];

#[derive(Clone, Debug)]
struct Run {
    id: String,
    path: String,
    service: String,
}

fn route<'a>(name: &'a str, place: (&'a str, &'a str), timeout_ms: u64) -> Route<'a> {
    let (prefix, service) = place;
    Route { name, host: HOST, prefix, service, timeout_ms, attempts: 3, ordered: false, callback: false }
}

fn case(fleet: &mut Fleet) -> Result<Verdict, String> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut listed = Vec::new();
    for (number, (_, service)) in PLACES.iter().enumerate() {
        let address = fleet.at(ENDPOINT, number, 16);
        let (runs, service) = (runs.clone(), service.to_string());
        let (id, zone) = (format!("i-{service}"), format!("z{}", number + 1));
        let entry = Listed { id, service: service.clone(), address, zone, capacity: 12, state: "ready" };
        listed.push(entry.clone());
        serve(address, move |message, connection| {
            if message.start[0] == "GET" {
                return connection.write(&answer(200, &[("X-Instance-Id", &entry.id)], b"")).is_ok();
            }
            let id = message.header("x-request-id").to_string();
            if message.header("x-expected-instance") != entry.id {
                return connection.write(&answer(421, &[("X-Request-Id", &id)], b"")).is_ok();
            }
            let run = Run { id: id.clone(), path: message.path().into(), service: service.clone() };
            note(format!("{service}: runs {} {}", run.path, run.id));
            runs.lock().unwrap().push(run);
            sleep_ms(20);
            let stamp = format!("stamp-{service}-{id}");
            connection.write(&answer(200, &[("X-Request-Id", &id), ("X-Server-Signature", &stamp)], b"done")).is_ok()
        })?;
    }
    serve_list(fleet.platform(), Arc::new(Mutex::new(listed)))?;
    fleet.start_all()?;
    let services = || {
        let service = |(_, name)| Service { name, connections: 96, rate: 0.0, pinned: None };
        PLACES.map(service)
    };
    let first = [route("r-1", PLACES[0], 1_200), route("r-2", PLACES[1], 1_200), route("r-3", PLACES[2], 1_200)];
    if fleet.configure(0, &configuration(1, &first, &services(), 262_144), 20_000)? != 200 {
        return Err("the configuration was refused".into());
    }
    fleet.wait_ready(2)?;
    sleep_ms(3_000);
    let mut ids = Vec::new();
    let delay = DELAY_MS.to_string();
    for (prefix, service) in PLACES {
        for number in 0..EACH {
            let id = format!("{service}-{number}");
            let path = format!("{prefix}{number}");
            let id = fleet.send_until_accepted(HOST, &path, &id, &[("X-Delay-Ms", &delay)], b"a message")?;
            ids.push((id, prefix));
        }
    }
    let second = match with_trouble() {
        // Without /slots/: the names of the others move up.
        true => vec![route("r-1", PLACES[1], 1_200), route("r-2", PLACES[2], 1_200)],
        // A time-out changes.
        false => vec![route("r-1", PLACES[0], 1_300), route("r-2", PLACES[1], 1_200), route("r-3", PLACES[2], 1_200)],
    };
    if fleet.configure(1, &configuration(2, &second, &services(), 262_144), 10_000)? != 200 {
        return Err("the second configuration was refused".into());
    }
    sleep_ms(DELAY_MS + 4_000);
    let mut broken = false;
    for run in runs.lock().unwrap().iter() {
        let place = PLACES.iter().find(|(prefix, _)| run.path.starts_with(prefix));
        if place.is_none_or(|(_, service)| *service != run.service) {
            broken = true;
            note(format!(
                "ROUTE: {} of {}{} ran at {}; every configuration sends it to {}",
                run.id, HOST, run.path, run.service, place.map_or("nowhere", |(_, service)| service)
            ));
        }
    }
    for (id, prefix) in &ids {
        let (status, state) = fleet.state(0, HOST, id);
        note(format!("client: the state of {id} ({prefix}) is {status} {state}"));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run(case)
}
