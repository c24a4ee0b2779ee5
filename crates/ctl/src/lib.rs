//! nickelctl: the operators' tool. It asks control addresses and reads files; it must never write one.
//!
//! A command's way: `main` reads the arguments, one module carries it out (`journals` reads folders, `members`,
//! `duties` and `drains` ask senders, `permits` asks the store), prints text or one JSON object, and returns the
//! `Verdict` that is the exit code.
mod drains;
mod duties;
mod journals;
mod members;
mod permits;

use clap::{Parser, Subcommand};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// How a command has ended. Bad usage is 2 too, by the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    Well = 0,
    /// What was asked for is not so: damage, work left.
    Not = 1,
    /// It could not be found out.
    Unknown = 2,
}

#[derive(Parser)]
#[command(name = "nickelctl", version, about = "Asks senders and reads what they keep")]
struct Arguments {
    /// One JSON object on standard output in place of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What senders have taken on, as it is kept in their folder ($EDGE_STATE).
    #[command(subcommand)]
    Journal(Journal),
    /// Who of the fleet is present, as one or several senders see it, and what part of it they are in.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Members {
        #[command(subcommand)]
        act: Option<Members>,
        /// Control addresses.
        #[arg(required = true, value_name = "ADDRESS")]
        addresses: Vec<SocketAddr>,
        /// Shows only where they disagree: exit code 0 if nowhere, 1 if somewhere, 2 if one can't be asked.
        #[arg(long)]
        compare: bool,
    },
    /// Which process holds a duty of the fleet, and which machines may drain: exit code 0 if all are held, else 1.
    Duties {
        /// The control address of any sender.
        address: SocketAddr,
    },
    /// Sends clients away from senders and waits until nothing is left in them: exit code 0 if all are empty, 1 if the
    /// time is up first, with what is left by process. The senders go on draining when this ends.
    #[command(group(clap::ArgGroup::new("which").required(true).multiple(false)))]
    Drain {
        /// Every sender of this machine: the folder that their configurations name as registry.
        #[arg(long, value_name = "DIR", group = "which")]
        all: Option<PathBuf>,
        /// Control addresses.
        #[arg(value_name = "ADDRESS", group = "which")]
        addresses: Vec<SocketAddr>,
        /// How long to wait; with --evacuate that time and five seconds if it is not given, else a minute.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        wait: Option<Duration>,
        /// The machine goes for good: what can't be delivered within this time is handed back or given up.
        #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
        evacuate: Option<Duration>,
        /// What this machine is called where permits are kept; its host name if not given.
        #[arg(long, value_name = "NAME")]
        machine: Option<String>,
        /// Drains though no permit can be had.
        #[arg(long)]
        without_permit: bool,
        /// Asks for a permit that is given though too few of the fleet are present.
        #[arg(long, conflicts_with = "without_permit")]
        though_few: bool,
        /// Ends the drain: clients are taken again.
        #[arg(long, conflicts_with_all = ["evacuate", "wait", "status"])]
        cancel: bool,
        /// Only shows how far it is.
        #[arg(long, conflicts_with_all = ["evacuate", "wait"])]
        status: bool,
    },
}

#[derive(Subcommand)]
enum Members {
    /// Takes a member out of the roster that is gone for good: exit code 0 if that is done, 1 if it is refused, with the
    /// reason, 2 if the sender can't be asked.
    Strike {
        /// The name of the member that is gone.
        name: String,
        /// The control address of a sender in the greater part of the fleet.
        #[arg(value_name = "ADDRESS")]
        address: SocketAddr,
        /// You know that every member which that sender does not hear is switched off: without it none is struck off by one
        /// that is not in the greater part, as there could then be two of them.
        #[arg(long)]
        gone_for_good: bool,
    },
}

#[derive(Subcommand)]
enum Journal {
    /// Tells whether all journals of a folder are sound: exit code 0, 1 if one is damaged (each place a line, with what
    /// is lost), 2 if one can't be read. Also beside running processes.
    Verify { folder: PathBuf },
    /// Lists the messages that the journals of a folder hold, as the next start would find them. Exit codes as for
    /// verify.
    Show { folder: PathBuf },
}

/// The machine's own name.
fn host() -> String {
    let name = std::fs::read_to_string("/etc/hostname").unwrap_or_default();
    match name.trim() {
        "" => "machine".to_string(),
        name => name.to_string(),
    }
}

/// Runs what asks senders.
fn asking(work: impl Future<Output = Verdict>) -> Verdict {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, work),
        Err(error) => {
            eprintln!("nickelctl: cannot start: {error}");
            Verdict::Unknown
        }
    }
}

/// Reads the process's arguments and carries them out.
pub fn main() -> ExitCode {
    let Arguments { json, command } = Arguments::parse();
    let verdict = match command {
        Command::Journal(Journal::Verify { folder }) => journals::verify(&folder, json),
        Command::Journal(Journal::Show { folder }) => journals::show(&folder, json),
        Command::Members { act: Some(Members::Strike { name, address, gone_for_good }), .. } => {
            asking(members::strike(name, address, gone_for_good))
        }
        Command::Members { act: None, addresses, compare } => asking(members::run(addresses, compare, json)),
        Command::Duties { address } => asking(duties::run(address, json)),
        Command::Drain {
            all,
            addresses,
            wait,
            evacuate,
            machine,
            without_permit,
            though_few,
            cancel,
            status,
        } => {
            let usual = evacuate.map_or(Duration::from_secs(60), |e| e + Duration::from_secs(5));
            let act = match (cancel, status) {
                (true, _) => drains::Act::Cancel,
                (_, true) => drains::Act::Status,
                _ => drains::Act::Drain,
            };
            let wait = wait.unwrap_or(usual);
            let machine = machine.unwrap_or_else(host);
            let permit = match (without_permit, though_few) {
                (true, _) => drains::Permits::No,
                (_, true) => drains::Permits::ThoughFew,
                _ => drains::Permits::Usual,
            };
            asking(drains::run(drains::Plan { all, addresses, wait, evacuate, machine, permit, act, json }))
        }
    };
    ExitCode::from(verdict as u8)
}
