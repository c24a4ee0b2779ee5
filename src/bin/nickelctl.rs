//! nickelctl: the operators' tool.
fn main() -> std::process::ExitCode {
    ctl::main()
}
