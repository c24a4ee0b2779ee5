//! Trials on real processes: plays them, shows progress, keeps what is needed to look at one that went wrong.
use crate::days;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use trial::file::Trial;
use trial::judges::Finding;
use trial::run::{keep, play, Play, Verdict};

/// What is asked for.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Trials, as in scenarios/trials.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, from the first on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Senders, in place of what the file says.
    #[arg(long)]
    senders: Option<usize>,
    /// Trials that are played at a time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Where a trial that went wrong leaves its history, logs and picture.
    #[arg(long, default_value = "trials")]
    out: PathBuf,
    /// Leaves those of the others too.
    #[arg(long)]
    keep: bool,
    /// The sender that is tried, in place of the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Plays the same day in simulated time too, and tells what was in time there.
    #[arg(long)]
    sim: bool,
    /// One JSON object a trial, as it ends.
    #[arg(long)]
    json: bool,
}

struct Job {
    file: PathBuf,
    trial: Trial,
    seed: u64,
}

fn jobs(arguments: &Arguments) -> Result<Vec<Job>, String> {
    let mut all = Vec::new();
    for file in &arguments.files {
        let at = file.display();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{at} can't be read: {e}"))?;
        let mut trial = Trial::read(&text).map_err(|e| format!("{at}: {e}"))?;
        if let Some(senders) = arguments.senders {
            trial = trial.with_senders(senders).map_err(|e| format!("{at}: {e}"))?;
        }
        let seeds = arguments.seed..arguments.seed.saturating_add(arguments.seeds);
        all.extend(seeds.map(|seed| Job { file: file.clone(), trial: trial.clone(), seed }));
    }
    Ok(all)
}

/// Plays one and keeps what it left, if it is to be looked at.
fn one(arguments: &Arguments, job: &Job) -> Result<Verdict, String> {
    let senders = job.trial.fleet.senders;
    let name = format!("{}-{senders}-{}", job.trial.name, job.seed);
    let folder = std::path::absolute(arguments.out.join(&name)).map_err(|e| e.to_string())?;
    let (trial, seed) = (job.trial.clone(), job.seed);
    let (verdict, history) =
        play(Play { trial, seed, folder: folder.clone(), program: arguments.program.clone() })?;
    if verdict.findings.is_empty() && verdict.void.is_none() && !arguments.keep {
        let _ = std::fs::remove_dir_all(&folder);
        // Gone too if nothing else is there.
        let _ = std::fs::remove_dir(&arguments.out);
        return Ok(verdict);
    }
    keep(&folder, &verdict, &history).map_err(|e| format!("{}: {e}", folder.display()))?;
    let title = format!("{} with {senders} senders, seed {seed}", job.trial.name);
    let picture = folder.join("picture.svg");
    history.with(|events| trial::picture::draw(&picture, &title, events, &verdict.findings))?;
    Ok(verdict)
}

/// The most of one trial's findings that are shown.
const SHOWN: usize = 5;

fn tell(arguments: &Arguments, job: &Job, verdict: &Verdict) -> String {
    if arguments.json {
        return serde_json::to_string(verdict).unwrap_or_default();
    }
    let f = &verdict.figures;
    let mut text = format!(
        "{} senders {} seed {}: {} messages, {:.3} in time, {} taken on, {} delivered, {} handed back, {} given up, \
         settled after {:.1} s",
        verdict.trial, verdict.senders, verdict.seed, f.messages, f.in_time, f.taken, f.delivered, f.handed_back,
        f.given_up, f.settled_s
    );
    if verdict.stretch > 1.0 {
        text += &format!(", bounds stretched {:.2} times as the machine was busy", verdict.stretch);
    }
    if let Some(why) = &verdict.void {
        text += &format!("\n  says nothing: {why}");
    }
    for Finding { judge, at, id, says } in verdict.findings.iter().take(SHOWN) {
        let id = id.as_deref().unwrap_or("");
        text += &format!("\n  {judge} {id} at {:.3} s: {says}", *at as f64 / 1e6);
    }
    if verdict.findings.len() > SHOWN {
        text += &format!("\n  and {} more", verdict.findings.len() - SHOWN);
    }
    if !verdict.findings.is_empty() {
        let (file, senders) = (job.file.display(), verdict.senders);
        text +=
            &format!("\n  again: nickellab trial {file} --seed {} --senders {senders} --keep", verdict.seed);
    }
    text
}

/// What the lab's simulation makes of the same day, where that is asked for.
fn simulated(arguments: &Arguments, job: &Job) -> String {
    if !arguments.sim || arguments.json {
        return String::new();
    }
    match days::play(&job.trial.in_simulation(), job.seed, "sender", &Arc::default()) {
        Ok(day) => format!("\n  in simulated time {:.3} of {} messages in time", day.in_time, day.messages),
        Err(why) => format!("\n  not played in simulated time: {why}"),
    }
}

/// Plays all that is asked for; false if a judge found something or a run says nothing.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let jobs = jobs(arguments)?;
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} {msg}").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(jobs.len() as u64).with_style(style);
    let (next, bad) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let failed: Mutex<Option<String>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match one(arguments, job) {
                        Ok(verdict) => {
                            let is_good = verdict.findings.is_empty() && verdict.void.is_none();
                            bad.fetch_add(usize::from(!is_good), Ordering::Relaxed);
                            let text = tell(arguments, job, &verdict) + &simulated(arguments, job);
                            bar.suspend(|| println!("{text}"));
                        }
                        Err(why) => {
                            let why = format!("{} seed {}: {why}", name(&job.file), job.seed);
                            failed.lock().unwrap_or_else(|e| e.into_inner()).get_or_insert(why);
                        }
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    if let Some(why) = failed.into_inner().unwrap_or_else(|e| e.into_inner()) {
        return Err(why);
    }
    let bad = bad.into_inner();
    if !arguments.json {
        println!("{} trials, {} good", jobs.len(), jobs.len() - bad);
    }
    Ok(bad == 0)
}

fn name(file: &Path) -> String {
    file.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}
