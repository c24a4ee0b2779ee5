//! The scale run: plays plans, shows progress on a terminal, and prints a line of JSON a measurement.
use ::scale::plan::Plan;
use ::scale::run::{interrupted, play, Play};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;

/// What is asked for.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Plans, as in scenarios/scale; played one after the other.
    #[arg(required = true)]
    plans: Vec<PathBuf>,
    /// The seed, in place of what the plan says.
    #[arg(long)]
    seed: Option<u64>,
    /// The real senders' program, in place of the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Plays all that is asked for; false if a measurement does not count.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    // A wrong one ends it before any is played.
    let plans = arguments.plans.iter().map(|path| Plan::open(path)).collect::<Result<Vec<_>, _>>()?;
    let stop = interrupted();
    let mut void = 0;
    for mut plan in plans {
        plan.seed = arguments.seed.unwrap_or(plan.seed);
        let (name, bounds) = (plan.name.clone(), plan.bounds);
        let shown = std::io::stderr().is_terminal();
        let progress = |text: &str| {
            if shown {
                eprintln!("{name}: {text}");
            }
        };
        let mut tell = |line: &::scale::measurement::Measurement| {
            // A reader that has gone is no reason to stop half way through.
            let _ = writeln!(std::io::stdout(), "{}", serde_json::to_string(line).unwrap_or_default());
        };
        let program = arguments.program.clone().unwrap_or_else(|| trial::peers::program("nickelshed"));
        let folder = trial::peers::folders().join(format!("scale-{}", std::process::id()));
        let played = play(Play {
            plan,
            program,
            folder: folder.clone(),
            stop: stop.clone(),
            tell: &mut tell,
            progress: &progress,
        });
        let _ = std::fs::remove_dir_all(folder);
        let summary = played.map_err(|why| format!("{name}: {why}"))?;
        void += summary.void;
        eprintln!(
            "{name}: {} measurements, {} void, {:.1} of {} s, {} processes, {} MB at most of {} MB",
            summary.lines,
            summary.void,
            summary.seconds,
            bounds.seconds,
            summary.processes,
            summary.memory / 1_000_000,
            summary.memory_bound / 1_000_000
        );
    }
    Ok(void == 0)
}
