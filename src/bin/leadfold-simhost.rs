//! The adapter: the decisions on the simulator's wire, on standard input and output.
use std::process::ExitCode;

/// A wire that cannot be understood is no ground to decide on: says why, once, and ends with 2.
fn main() -> ExitCode {
    let output = std::io::BufWriter::new(std::io::stdout().lock());
    match simhost::run(std::io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("leadfold-simhost: {why}");
            ExitCode::from(2)
        }
    }
}
