//! The scale run: plays plans, shows progress on a terminal, and prints a line of JSON a measurement. And its page: the tables
//! that come from such lines.
use ::scale::page;
use ::scale::plan::Plan;
use ::scale::run::{interrupted, play, Play};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;

/// What is asked for.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Plans, as in scenarios/scale; played one after the other. With --page, files of results.
    #[arg(required = true)]
    plans: Vec<PathBuf>,
    /// The seed, in place of what the plan says.
    #[arg(long)]
    seed: Option<u64>,
    /// The real senders' program, in place of the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Plays nothing: prints the tables of docs/CAPACITY.md from files of results.
    #[arg(long, conflicts_with_all = ["seed", "program"])]
    page: bool,
    /// The page whose tables are replaced, in place of printing them.
    #[arg(long, requires = "page", value_name = "PAGE")]
    into: Option<PathBuf>,
}

/// Prints the tables, or puts them into their page. Where anything is wrong the page stays as it was.
fn tables(results: &[PathBuf], into: Option<&PathBuf>) -> Result<(), String> {
    let text = |path: &PathBuf| {
        std::fs::read_to_string(path).map_err(|e| format!("{} can't be read: {e}", path.display()))
    };
    let mut all = Vec::new();
    for path in results {
        all.extend(page::read(&path.display().to_string(), &text(path)?)?);
    }
    let tables = page::render(&all);
    let Some(path) = into else {
        // A reader that has gone has read enough.
        let _ = write!(std::io::stdout(), "{tables}");
        return Ok(());
    };
    let renewed = page::replace(&text(path)?, &tables).map_err(|e| format!("{}: {e}", path.display()))?;
    std::fs::write(path, renewed).map_err(|e| format!("{} can't be written: {e}", path.display()))
}

/// Plays all that is asked for; false if a measurement does not count.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    if arguments.page {
        return tables(&arguments.plans, arguments.into.as_ref()).map(|()| true);
    }
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
