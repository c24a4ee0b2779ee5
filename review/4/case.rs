//! An endpoint in trouble sends the answer to a failed attempt a second time, a moment later. The store takes the second
//! copy for the answer to the next attempt, and from then on each answer for that of the attempt after it. So it has one
//! attempt more on the way than it counts, and the endpoint runs the message again after it has answered it with success.
#[path = "../tools-2/stand.rs"]
mod stand;
use stand::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

const HOST: &str = "print.example";
const CONTACT_MS: u64 = 4_000;
const TIMEOUT_MS: u64 = 10_000;
/// How long a confirmed print run works, and an ordinary message.
const LONG_WORK_MS: u64 = 4_500;
const SHORT_WORK_MS: u64 = 10;
/// After how long the second copy of an answer comes.
const COPY_AFTER_MS: u64 = 200;
const ORDINARY: usize = 420;
const MARKED: usize = 1;
/// So many runs of a marked message fail before one succeeds.
const FAILS: usize = 2;
/// The share of its answers that the endpoint in trouble spoils at the most, as the pages have it.
const SPOILED_SHARE: f64 = 0.03;

#[derive(Clone, Debug)]
struct Run {
    started: u64,
    ended: u64,
    status: u16,
    signature: String,
}

#[derive(Default)]
struct Seen {
    runs: BTreeMap<String, Vec<Run>>,
    /// Answers of the endpoint in trouble, how many of them were sent twice, and when the last copy was sent.
    answers: usize,
    copies: usize,
    last_trouble: u64,
}

fn serve_endpoint(at: std::net::SocketAddr, number: usize, seen: Arc<Mutex<Seen>>) -> Result<(), String> {
    serve(at, move |message, connection| {
        if message.start[0] == "GET" {
            let id = format!("i-{number}");
            return connection.write(&answer(200, &[("X-Instance-Id", &id)], b"")).is_ok();
        }
        let id = message.header("x-request-id").to_string();
        if message.header("x-expected-instance") != format!("i-{number}") {
            return connection.write(&answer(421, &[("X-Request-Id", &id)], b"")).is_ok();
        }
        let started = now_ms();
        let attempt = {
            let mut seen = seen.lock().unwrap();
            let runs = seen.runs.entry(id.clone()).or_default();
            let run = Run { started, ended: 0, status: 0, signature: String::new() };
            runs.push(run);
            runs.len()
        };
        let marked = id.starts_with("run-");
        let fails = marked && attempt <= FAILS;
        if marked {
            note(format!("endpoint {number}: run {attempt} of {id} begins"));
        }
        sleep_ms(if marked && attempt > 1 { LONG_WORK_MS } else { SHORT_WORK_MS });
        let (status, signature) = match fails {
            true => (500, String::new()),
            false => (200, format!("stamp-{id}-{attempt}")),
        };
        let mut headers = vec![("X-Request-Id", id.as_str()), ("Keep-Alive", "timeout=15")];
        if !fails {
            headers.push(("X-Server-Signature", &signature));
        }
        let bytes = answer(status, &headers, b"done");
        let copied = {
            let mut seen = seen.lock().unwrap();
            let run = &mut seen.runs.get_mut(&id).expect("began")[attempt - 1];
            (run.ended, run.status, run.signature) = (now_ms(), status, signature.clone());
            seen.answers += usize::from(number == 0);
            let share = (seen.copies + 1) as f64 / seen.answers.max(1) as f64;
            let copied = with_trouble() && number == 0 && marked && attempt == 1 && share <= SPOILED_SHARE;
            seen.copies += usize::from(copied);
            copied
        };
        if marked {
            note(format!("endpoint {number}: run {attempt} of {id} ends with {status} {signature}"));
        }
        let written = connection.write(&bytes).is_ok();
        if copied {
            let (Ok(mut stream), seen) = (connection.stream.try_clone(), seen.clone()) else { return written };
            std::thread::spawn(move || {
                sleep_ms(COPY_AFTER_MS);
                seen.lock().unwrap().last_trouble = now_ms();
                note(format!("endpoint {number}: TROUBLE: sends the 500 to {id} a second time"));
                let _ = std::io::Write::write_all(&mut stream, &bytes);
            });
        }
        written
    })
}

fn case(fleet: &mut Fleet) -> Result<Verdict, String> {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut listed = Vec::new();
    for number in 0..3 {
        let address = fleet.at(ENDPOINT, number, 16);
        serve_endpoint(address, number, seen.clone())?;
        let (id, zone) = (format!("i-{number}"), format!("z{}", number + 1));
        listed.push(Listed { id, service: "press".into(), address, zone, capacity: 12, state: "ready" });
    }
    serve_list(fleet.platform(), Arc::new(Mutex::new(listed)))?;
    fleet.start_all()?;
    let route = Route {
        name: "r-runs",
        host: HOST,
        prefix: "/runs/",
        service: "press",
        timeout_ms: TIMEOUT_MS,
        attempts: 4,
        ordered: false,
        callback: false,
    };
    let service = Service { name: "press", connections: 96, rate: 0.0, pinned: None };
    let body = configuration(1, &[route], &[service], 262_144);
    if fleet.configure(0, &body, 20_000)? != 200 {
        return Err("the configuration was refused".into());
    }
    fleet.wait_ready(2)?;
    sleep_ms(3_000);
    // Ordinary traffic: the endpoint in trouble spoils few of its answers.
    for number in 0..ORDINARY {
        fleet.send_until_accepted(HOST, "/runs/new", &format!("plain-{number}"), &[], b"a small print run")?;
        sleep_ms(2);
    }
    sleep_ms(200);
    let mut ids = Vec::new();
    for number in 0..MARKED {
        ids.push(fleet.send_until_accepted(HOST, "/runs/new", &format!("run-{number}"), &[], b"a long print run")?);
        sleep_ms(500);
    }
    let until = now_ms() + 20_000;
    let mut completed: BTreeMap<String, String> = BTreeMap::new();
    while now_ms() < until {
        for id in &ids {
            let (status, state) = fleet.state(0, HOST, id);
            if status == 200 && state.contains("completed") && !completed.contains_key(id) {
                note(format!("client: the state of {id} is {state}"));
                completed.insert(id.clone(), state);
            }
        }
        sleep_ms(100);
    }
    let seen = seen.lock().unwrap();
    note(format!(
        "the endpoint in trouble gave {} answers and sent {} of them twice; the last at {} ms",
        seen.answers, seen.copies, seen.last_trouble
    ));
    let mut broken = false;
    for id in &ids {
        let runs = seen.runs.get(id).cloned().unwrap_or_default();
        for run in &runs {
            note(format!("{id}: {run:?}"));
        }
        let first = runs.iter().find(|run| run.status == 200 && completed.get(id).is_some_and(|s| s.contains(&run.signature)));
        let Some(first) = first else {
            note(format!("{id}: no run of it is reported as completed"));
            continue;
        };
        // No trouble from `ContactMs` before the successful run began until the message began again.
        let calm = seen.last_trouble > 0 && first.started > seen.last_trouble + CONTACT_MS;
        let again = runs.iter().find(|run| run.started >= first.ended && (calm || seen.last_trouble == 0));
        if let Some(again) = again {
            broken = true;
            note(format!(
                "TWICE: {id} began at {} ms, {} ms after the last trouble, and succeeded at {} ms; its success was read ({}); it began again at {} ms",
                first.started, first.started - seen.last_trouble, first.ended, completed[id], again.started
            ));
        }
    }
    if with_trouble() && seen.copies == 0 {
        return Err("no marked message came to the endpoint in trouble".into());
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run(case)
}
