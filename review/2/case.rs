//! A store loses its disk while it is being emptied, and starts again with an empty one. Its emptying is said to be completed,
//! it is taken away, and then another store loses its disk.
#[path = "../stand/common.rs"]
mod common;
use common::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MESSAGES: usize = 90;
/// The pages' longest delay is 90 s.
const DELAY_MS: u64 = 80_000;

fn main() {
    limit(117);
    let (site, record) = (Site::new(), Record::new());
    let ran: Shared<Vec<String>> = Arc::default();
    let mut machines = site.start_all(&ran, &record);
    site.wait_ready(&[0, 1, 2]);
    sleep_ms(3_000);

    let accepted: Shared<Vec<String>> = Arc::default();
    let sent_by = Instant::now();
    let senders: Vec<_> = (0..3)
        .map(|zone| {
            let (accepted, record, edge) = (accepted.clone(), record.clone(), site.edge(zone));
            thread::spawn(move || {
                let mut client = Client::new(edge);
                for i in 0..MESSAGES / 3 {
                    let id = format!("later-{zone}-{i:03}");
                    let (delay, path) = (DELAY_MS.to_string(), format!("/proof/{id}"));
                    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1200"), ("X-Delay-Ms", &delay)];
                    let answer = client.call("POST", &path, &headers, format!("body of {id}").as_bytes(), Duration::from_secs(2));
                    record.note(format!("{id} with X-Delay-Ms {delay}: {:?}", answer.as_ref().map(|a| a.status)));
                    if answer.is_some_and(|answer| answer.status == 202) {
                        accepted.lock().unwrap().push(id);
                    }
                    sleep_ms(20);
                }
            })
        })
        .collect();
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    let accepted = Mutex::new(accepted.lock().unwrap().clone()).into_inner().unwrap();
    record.tell(format!("{} of {MESSAGES} delayed messages are accepted", accepted.len()));
    sleep_ms(2_000);

    // Planned: a store machine is to be emptied and taken away.
    let (retired, other) = ("storage-z1-1", "storage-z2-1");
    let index = |name: &str, machines: &[Machine]| machines.iter().position(|machine| machine.name == name).unwrap();
    let (first, second) = (index(retired, &machines), index(other, &machines));
    let begun = site.operator("POST", &format!("/v1/retire/{retired}/start"), &[], r#"{"DeadlineS":10}"#);
    record.tell(format!("{retired} is to be emptied: {}", begun.status));
    let ordered_at = Instant::now();
    // The disruption: it loses its disk meanwhile, and starts again at its address.
    if trouble() {
        sleep_ms(50);
        machines[first].lose_disk();
        record.tell(format!("{retired} loses its disk"));
        sleep_ms(1_500);
        machines[first].start();
        record.tell(format!("{retired} starts with an empty disk"));
    }
    // CatchUpS (4.5 s) after that start the loss counts no more.
    thread::sleep((ordered_at + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let state = site.operator("GET", &format!("/v1/retire/{retired}/read"), &[], "");
        record.tell(format!("{retired}: {} {}", state.status, state.text()));
        if state.text().contains("completed") {
            break;
        }
        if Instant::now() > until {
            // It isn't said that the machine may go: nothing is broken.
            site.end(&record, 0, machines);
        }
        sleep_ms(1_000);
    }
    machines[first].lose_disk();
    record.tell(format!("{retired} is taken away with its disk"));
    sleep_ms(100);
    machines[second].lose_disk();
    record.tell(format!("{other} loses its disk"));
    sleep_ms(1_000);
    machines[second].start();
    record.tell(format!("{other} starts with an empty disk"));
    sleep_ms(14_000);

    // Every message that was accepted and hasn't ended has to come back with its bytes.
    let edges: Vec<_> = (0..3).map(|zone| site.edge(zone)).collect();
    let open: Vec<String> = accepted.iter().filter(|id| !ran.lock().unwrap().contains(id)).cloned().collect();
    let lost = each(&open, |id| {
        let body = ask_again(&edges, &format!("/v1/message-body/{id}"), HOST, 6_000);
        let comes = body.as_ref().is_some_and(|b| b.status == 200 && b.text() == format!("body of {id}"));
        let state = once(edges[0], "GET", &format!("/v1/message/{id}"), &[("Host", HOST)], b"", Duration::from_secs(2));
        record.note(format!("{id}: its body: {:?}; its state: {:?}", body.map(|b| (b.status, b.text())), state.map(|s| (s.status, s.text()))));
        !comes
    });
    let age = sent_by.elapsed().as_secs();
    record.tell(format!("{} of {} accepted messages that haven't ended don't come back, {age} s after they were sent", lost.len(), open.len()));
    let valid = accepted.len() >= MESSAGES / 2 && age < 80;
    site.end(&record, if valid { i32::from(!lost.is_empty()) } else { 2 }, machines)
}
