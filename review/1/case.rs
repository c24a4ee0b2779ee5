//! A store freezes for a second while messages come. Later another store is emptied and taken away, and the one that froze is
//! restarted, both as planned. In the end it loses its disk, as any one machine may.
#[path = "../stand/common.rs"]
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Messages that come while the store stands still, and their delay: the pages' longest is 90 s.
const BURST: usize = 60;
const DELAY_MS: u64 = 52_000;
const FREEZE_MS: u64 = 1_000;
/// Bytes of a message of the load: the pages' largest.
const LOAD_BYTES: usize = 30_000;
const LOAD_CLIENTS: usize = 12;
/// Each client sends one in this time: together 300 a second, fewer than the pages' 380.
const PACE_MS: u64 = 40;

fn status(site: &Site) -> String {
    (0..3)
        .find_map(|zone| once(site.control(zone), "GET", "/v1/status", &[("Host", "operator")], b"", Duration::from_secs(2)))
        .map_or(String::new(), |answer| answer.text())
}

/// How much of a store's ring is free, by its own word; for the length of the load alone, nothing is judged by it.
fn free_ring(site: &Site, name: &str) -> f64 {
    let text = status(site);
    let Some(at) = text.find(&format!("\"node\":\"{name}\"")) else { return 1.0 };
    let from = text[..at].rfind("\"free_ring\":").map(|i| &text[i + 12..]);
    from.and_then(|t| t.split([',', '}']).next()).and_then(|t| t.parse().ok()).unwrap_or(1.0)
}

fn main() {
    limit(117);
    let (site, record) = (Site::new(), Record::new());
    let ran: Shared<Vec<String>> = Arc::default();
    let mut machines = site.start_all(&ran, &record);
    site.wait_ready(&[0, 1, 2]);
    sleep_ms(2_500);

    // Planned: a store machine is added in the first zone.
    let added = "storage-z1-2";
    let mut second = site.machine("store", 0, 2, false);
    second.start();
    record.tell(format!("{added} is added"));
    sleep_ms(5_000);

    // Some traffic, so that all connections are made.
    let mut warm = Client::new(site.edge(0));
    for i in 0..20 {
        let id = format!("warm-{i}");
        let answer = warm.call("POST", &format!("/proof/{id}"), &[("Host", HOST), ("X-Request-Id", &id), ("X-Deadline-Ms", "1200")], b"warm", Duration::from_secs(2));
        record.note(format!("{id}: {:?}", answer.map(|a| a.status)));
    }

    // The disruption: the added store stands still for a second, while messages come.
    if trouble() {
        second.freeze();
        record.tell(format!("{added} freezes"));
    }
    let accepted: Shared<Vec<String>> = Arc::default();
    let senders: Vec<_> = (0..BURST)
        .map(|i| {
            let (accepted, record, edge) = (accepted.clone(), record.clone(), site.edge(0));
            thread::spawn(move || {
                let id = format!("later-{i:03}");
                let (delay, path) = (DELAY_MS.to_string(), format!("/proof/{id}"));
                let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1200"), ("X-Delay-Ms", &delay)];
                let answer = once(edge, "POST", &path, &headers, format!("body of {id}").as_bytes(), Duration::from_secs(2));
                record.note(format!("{id} with X-Delay-Ms {delay}: {:?}", answer.as_ref().map(|a| a.status)));
                if answer.is_some_and(|answer| answer.status == 202) {
                    accepted.lock().unwrap().push(id);
                }
            })
        })
        .collect();
    let sent_by = Instant::now();
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    if trouble() {
        sleep_ms(FREEZE_MS.saturating_sub(sent_by.elapsed().as_millis() as u64));
        second.thaw();
        record.tell(format!("{added} wakes"));
    }
    let mut accepted = accepted.lock().unwrap().clone();
    accepted.sort();
    record.tell(format!("{} of {BURST} delayed messages are accepted", accepted.len()));
    sleep_ms(5_500);

    // Planned: the other store of the first zone is emptied and taken away.
    let retired = "storage-z1-1";
    let begun = site.operator("POST", &format!("/v1/retire/{retired}/start"), &[], r#"{"DeadlineS":10}"#);
    record.tell(format!("{retired} is to be emptied: {}", begun.status));
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        let state = site.operator("GET", &format!("/v1/retire/{retired}/read"), &[], "");
        if state.text().contains("completed") {
            record.tell(format!("{retired}: {}", state.text()));
            break;
        }
        if Instant::now() > until {
            site.end(&record, 2, machines);
        }
        sleep_ms(200);
    }
    let index = machines.iter().position(|machine| machine.name == retired).unwrap();
    machines[index].lose_disk();
    record.tell(format!("{retired} is taken away with its disk"));
    sleep_ms(1_000);

    // Usual traffic, until the store's ring of files has been used once.
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let loads: Vec<_> = (0..LOAD_CLIENTS)
        .map(|client| {
            let (stop, count, edge) = (stop.clone(), count.clone(), site.edge(0));
            thread::spawn(move || {
                let (mut connection, body) = (Client::new(edge), vec![b'x'; LOAD_BYTES]);
                let mut i = 0;
                let begun = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    i += 1;
                    sleep_ms((PACE_MS * i).saturating_sub(begun.elapsed().as_millis() as u64));
                    let id = format!("load-{client}-{i}");
                    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1200")];
                    let answer = connection.call("POST", "/proof/load", &headers, &body, Duration::from_secs(2));
                    if answer.is_some_and(|answer| answer.status == 202) {
                        count.fetch_add(1, Ordering::Relaxed);
                    } else {
                        sleep_ms(50);
                    }
                }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(30);
    let mut below = 0;
    while Instant::now() < until && below < 6 {
        sleep_ms(500);
        let free = free_ring(&site, added);
        record.note(format!("{} messages of the load accepted; free ring of {added}: {free:.2}", count.load(Ordering::Relaxed)));
        below += usize::from(free < 0.31);
    }
    stop.store(true, Ordering::Relaxed);
    loads.into_iter().for_each(|load| load.join().unwrap());
    record.tell(format!("{} messages of the load were accepted; traffic has ended", count.load(Ordering::Relaxed)));
    sleep_ms(1_000);

    // Planned: the added store is stopped and started.
    let ended = second.stop(Duration::from_secs(6));
    record.tell(format!("{added} is stopped; it ended by itself: {ended}"));
    second.start();
    record.tell(format!("{added} is started again"));

    // The delay is over for all; 8 s of calm follow in which nothing else is to be done.
    let due = sent_by + Duration::from_millis(DELAY_MS);
    thread::sleep((due + Duration::from_secs(9)).saturating_duration_since(Instant::now()));
    let edges: Vec<_> = (0..3).map(|zone| site.edge(zone)).collect();
    let open: Vec<String> = accepted.iter().filter(|id| !ran.lock().unwrap().contains(id)).cloned().collect();
    let still_queued = each(&open, |id| {
        let state = ask_again(&edges, &format!("/v1/message/{id}"), HOST, 2_000);
        record.note(format!("{id} has not run; its state: {:?}", state.as_ref().map(|s| (s.status, s.text()))));
        state.is_some_and(|state| state.text().contains("queued"))
    });
    record.tell(format!(
        "{} of {} accepted messages ran; {} are queued though they have been due for over 8 s and nothing was in trouble",
        accepted.len() - open.len(),
        accepted.len(),
        still_queued.len()
    ));

    // The final fault: one machine loses its disk.
    second.lose_disk();
    record.tell(format!("{added} loses its disk"));
    sleep_ms(1_000);
    second.start();
    record.tell(format!("{added} starts with an empty disk"));
    let ask_at = (Instant::now() + Duration::from_secs(12)).min(sent_by + Duration::from_secs(84));
    thread::sleep(ask_at.saturating_duration_since(Instant::now()));

    // Every message that was accepted and hasn't ended has to come back with its bytes.
    let open: Vec<String> = accepted.iter().filter(|id| !ran.lock().unwrap().contains(id)).cloned().collect();
    let lost = each(&open, |id| {
        let body = ask_again(&edges, &format!("/v1/message-body/{id}"), HOST, 4_200);
        let comes = body.as_ref().is_some_and(|b| b.status == 200 && b.text() == format!("body of {id}"));
        record.note(format!("{id}: asked for its body: {:?}", body.map(|b| (b.status, b.text()))));
        !comes
    });
    let age = sent_by.elapsed().as_secs();
    record.tell(format!("{} accepted messages that haven't ended don't come back, {age} s after they were sent", lost.len()));
    let broken = !still_queued.is_empty() || !lost.is_empty();
    machines.push(second);
    let valid = accepted.len() >= BURST / 2 && age < 90;
    site.end(&record, if valid { i32::from(broken) } else { 2 }, machines)
}
