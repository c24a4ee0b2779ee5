//! A sender at work on loopback: partners, discovery and clients for twenty seconds, with a partner and the sender killed
//! once. It is a trial like any other, told in words.
use indicatif::{ProgressBar, ProgressStyle};
use std::time::{Duration, Instant};
use trial::file::Trial;
use trial::history::{Event, MS};
use trial::judges::Book;
use trial::run::{play, Play, Verdict};

const DEMO: &str = include_str!("../../../scenarios/trials/demo.toml");

/// Plays the demonstration in a new folder below the system's for temporary files, which is gone after it.
pub fn run() -> Result<(), String> {
    let trial = Trial::read(DEMO)?;
    let folder = std::env::temp_dir().join(format!("nickellab-demo-{}", std::process::id()));
    let length = Duration::from_nanos(trial.length.0 as u64);
    println!("one sender, {}", trial.about);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(length.as_secs()).with_style(style);
    let place = folder.clone();
    let playing = std::thread::spawn(move || {
        let (verdict, history) = play(Play { trial, seed: 1, folder: place, program: None })?;
        Ok::<_, String>((verdict, history.with(<[Event]>::to_vec)))
    });
    let begin = Instant::now();
    while !playing.is_finished() {
        bar.set_position(begin.elapsed().min(length).as_secs());
        std::thread::sleep(Duration::from_millis(50));
    }
    bar.finish_and_clear();
    let played = playing.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic));
    let _ = std::fs::remove_dir_all(&folder);
    let (verdict, events) = played?;
    report(&verdict, &events)
}

fn report(verdict: &Verdict, events: &[Event]) -> Result<(), String> {
    let (book, f) = (Book::read(events), &verdict.figures);
    let taken = book.messages.values().filter(|m| m.taken.is_some());
    let mut after: Vec<u64> = taken.filter_map(|m| Some(book.delivered(m)? - m.handed)).collect();
    after.sort_unstable();
    let at = |part: f64| after.get((after.len() as f64 * part) as usize).map_or(0, |us| us / MS);
    let refused = book.calls.values().filter(|c| !c.may_have_run).count();
    println!("{} handed in, {} taken on, {} delivered", f.messages, f.taken, f.delivered);
    println!(
        "half of them within {} ms, 99 in 100 within {} ms of when they were handed in",
        at(0.5),
        at(0.99)
    );
    println!("{} calls, {refused} of them refused above a limit", f.calls);
    let without = f.taken - f.delivered - f.handed_back - f.given_up;
    println!("{} handed back, {} given up, {without} without an end", f.handed_back, f.given_up);
    match verdict.findings.first() {
        None => println!("nothing was lost, and nothing took effect twice that may not"),
        Some(finding) => return Err(format!("{}: {}", finding.judge, finding.says)),
    }
    Ok(())
}
