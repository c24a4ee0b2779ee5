//! The ingest and dispatch service: one binary, the role as its subcommand.
use std::process::ExitCode;

const HELP: &str = "\
mallowstep: takes messages, keeps each on two disks, and delivers it once

  mallowstep edge      takes messages from clients
  mallowstep store     keeps messages and delivers them
  mallowstep control   keeps configuration and stores; serves the operator

Each role reads its settings from the file that MALLOWSTEP_CONFIG names.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mallowstep: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(role)) => match role.to_str() {
            Some("edge") => node::edge::start(),
            Some("store") => node::store::start(),
            Some("control") => node::control::start(),
            _ => anyhow::bail!("there is no role {role:?}; see mallowstep --help"),
        },
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(argument) => Err(argument.unexpected().into()),
    }
}
