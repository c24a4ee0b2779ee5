//! nickelctl: the operators' tool. It asks control addresses and reads files; it never writes one.
mod journals;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command has ended. Bad usage is 2 too, by the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
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

fn main() -> ExitCode {
    let Arguments { json, command } = Arguments::parse();
    let verdict = match command {
        Command::Journal(Journal::Verify { folder }) => journals::verify(&folder, json),
        Command::Journal(Journal::Show { folder }) => journals::show(&folder, json),
    };
    ExitCode::from(verdict as u8)
}
