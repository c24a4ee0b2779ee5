//! nickellab: where causes are found. Days in simulated time, experiments over seeds, comparisons, reports.
//!
//! | module | what it does |
//! | --- | --- |
//! | `days` | one day: a scenario, a seed and a way to decide; its cost in processor time beside it |
//! | `sweep` | many days on all cores, appended to a file as they come; a run that was cut off goes on |
//! | `compare` | two ways to decide, paired by seed, with a bootstrap interval |
//! | `cold` | what a fleet sends to destinations that come back cold, against what they bear |
//! | `demo` | a real sender at work on loopback |
//! | `trials` | many real senders with faults between them, judged |
//! | `report` | plots and tables of a file of results, as HTML, Markdown and JSON |
//!
//! What a day comes to is `world`'s and a function of its inputs alone; only what it cost is measured here. Files of
//! results hold one JSON object a line.
mod cold;
mod compare;
mod days;
mod demo;
mod report;
mod sweep;
mod trials;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "nickellab",
    version,
    about = "Plays days of a fleet of senders and compares ways to decide"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one day in simulated time and tells what it came to.
    Sim {
        scenario: PathBuf,
        #[command(flatten)]
        what: What,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "sender", value_name = "NAME")]
        policy: String,
        /// The whole day as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plays many days on all cores. What the file of results has already is not played again.
    Sweep {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[command(flatten)]
        what: What,
        /// Seeds 1 to this.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Ways to decide, by commas; `all` for every one.
        #[arg(long, default_value = "sender", value_delimiter = ',')]
        policies: Vec<String>,
        /// The file of results.
        #[arg(long, default_value = "results.jsonl")]
        out: PathBuf,
        /// Threads; all cores if not given.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Compares one way to decide with others over the days that a file of results has of both.
    Compare {
        results: PathBuf,
        a: String,
        /// All others if none is given.
        b: Vec<String>,
        /// What is compared: g, served, in_time, worst_window, worst_class or price.
        #[arg(long, default_value = "g")]
        figure: String,
    },
    /// Plays days on which most destinations fail for some 10 s and come back cold, and tells what all senders together
    /// send them against what they bear: N + 2 x root of N + 2 calls.
    Cold {
        scenario: PathBuf,
        #[command(flatten)]
        what: What,
        /// Numbers of senders, by commas.
        #[arg(long, default_value = "20,30,300,510", value_delimiter = ',')]
        senders: Vec<usize>,
        /// Seeds 1 to this.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// The file of results, written anew: a line of JSON for each day.
        #[arg(long, default_value = "cold.jsonl")]
        out: PathBuf,
        /// Threads; all cores if not given.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Starts one real sender on loopback with partners and clients for twenty seconds, kills a partner and the sender
    /// once, and tells what it came to.
    Demo,
    /// Plays trials on real processes, with faults between them, and hears the judges.
    Trial(trials::Arguments),
    /// Writes report.html, report.md and report.json with plots into a folder.
    Report {
        results: PathBuf,
        #[arg(long, default_value = "report")]
        out: PathBuf,
    },
}

/// What of a scenario is changed.
#[derive(clap::Args, Clone, Debug)]
struct What {
    /// A key and its values, by commas, as in `fleet.senders=30,300`; each combination is played.
    #[arg(long = "set", value_name = "KEY=VALUES")]
    sets: Vec<String>,
}

/// Reads the process's arguments and carries them out: 0 if all went well, 1 if a rule was broken, 2 if it could not be
/// done.
pub fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Sim { scenario, what, seed, policy, json } => {
            days::sim(&scenario, &what.sets, seed, &policy, json)
        }
        Command::Sweep { scenarios, what, seeds, policies, out, threads } => {
            sweep::run(&scenarios, &what.sets, seeds, &policies, &out, threads).map(|()| true)
        }
        Command::Compare { results, a, b, figure } => compare::run(&results, &a, &b, &figure).map(|()| true),
        Command::Cold { scenario, what, senders, seeds, out, threads } => {
            cold::run(&scenario, &what.sets, &senders, seeds, &out, threads)
        }
        Command::Demo => demo::run().map(|()| true),
        Command::Trial(arguments) => trials::run(&arguments),
        Command::Report { results, out } => report::run(&results, &out).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("nickellab: {why}");
            ExitCode::from(2)
        }
    }
}
