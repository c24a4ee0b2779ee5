//! The ingest and dispatch service: one binary, the role as its subcommand.
use lexopt::Arg;
use std::path::Path;
use std::process::ExitCode;

const HELP: &str = "\
mallowstep: takes messages, keeps each on as many disks as may be lost and one more, and delivers it once

Roles; each reads its settings from the file that MALLOWSTEP_CONFIG names:
  mallowstep edge            takes messages from clients
  mallowstep store           keeps messages and delivers them
  mallowstep control         keeps configuration and stores; serves the operator

Tools:
  mallowstep check FILE      names every fault of a settings file or a configuration
  mallowstep status IP:PORT  asks a control machine how the system is
  mallowstep inspect DIR     tells what stands in a store's or a control machine's files
  mallowstep demo            runs the whole system on loopback, kills a store, and tells what became of every message

  mallowstep COMMAND --help  more of one command
";

const EDGE_HELP: &str = "\
mallowstep edge: takes messages from clients and hands each to a store

Settings it reads: NodeName, Ip, Zone, Region, Zones, ListenAddresses.Http, ListenAddresses.Readiness, PortRange, Seeds,
Bounds.GraceS. The nearest stores are given messages first: those of its zone, of its region, then others.
It needs no disk. On SIGTERM it says that it isn't ready, serves on for 2.3 s, and ends once all is answered.
";

const STORE_HELP: &str = "\
mallowstep store: keeps messages on its disk and at other stores, and delivers them

Settings it reads: NodeName, Ip, Zone, Region, Zones, PortRange, Seeds, DataDir, FaultTolerance, Limits.DiskMb,
Limits.MemoryMb, Bounds.GraceS, Bounds.StatusTtlS, Bounds.CeilingWindowS. Copies lie at the nearest stores that make them
outlast the machines, zones or regions that FaultTolerance names. Three fifths of the disk are its ring of files. On SIGTERM deliveries under way end, within GraceS.
";

const CONTROL_HELP: &str = "\
mallowstep control: keeps the configuration and the stores, reads the list of endpoints, serves the operator

Settings it reads: NodeName, Ip, ListenAddresses.Control, PortRange, Seeds, Bootstrap, DataDir, FaultTolerance, Zone, Region, Zones,
CloudApi. On SIGTERM a primary has its backup take its place first.
";

const TOOL_HELP: &str = "\
mallowstep check FILE      exit code 0 if the file has no fault, else 1 with every fault and its remedy
mallowstep status IP:PORT  the operator's address of any control machine
mallowstep inspect DIR     reads only; best while the process is down
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

fn help_of(command: &str) -> &'static str {
    match command {
        "edge" => EDGE_HELP,
        "store" => STORE_HELP,
        "control" => CONTROL_HELP,
        "check" | "status" | "inspect" => TOOL_HELP,
        _ => HELP,
    }
}

fn run() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let mut words = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(word) => words.push(word.to_string_lossy().into_owned()),
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", help_of(words.first().map_or("", String::as_str)));
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["edge"] => node::edge::start(),
        ["store"] => node::store::start(),
        ["control"] => node::control::start(),
        ["check", file] => show(node::tools::check(Path::new(file))?),
        ["status", address] => show(node::tools::status(address)?),
        ["inspect", folder] => show(node::tools::inspect(Path::new(folder))?),
        ["demo"] => show(node::demo::run()?),
        [] => show(HELP.trim_end().to_string()),
        _ => anyhow::bail!("{} is no command; see mallowstep --help", words.join(" ")),
    }
}

fn show(text: String) -> anyhow::Result<()> {
    println!("{text}");
    Ok(())
}
