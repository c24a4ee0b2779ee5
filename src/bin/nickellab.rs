//! nickellab: the lab.
fn main() -> std::process::ExitCode {
    lab::main()
}
