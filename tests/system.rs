//! The whole system as real processes on loopback, with the project's own stand-ins around it.
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mallowstep");

fn run(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(PROGRAM).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn every_message_that_was_taken_is_completed_in_order_though_a_store_is_killed() {
    let (passed, text) = run(&["demo"]);
    assert!(passed && text.contains("all completed"), "{text}");
}

#[test]
fn help_names_every_command_and_each_has_its_own() {
    let (passed, text) = run(&["--help"]);
    assert!(passed);
    for command in ["edge", "store", "control", "check", "status", "inspect", "demo"] {
        assert!(text.contains(&format!("mallowstep {command}")), "{text}");
        assert!(run(&[command, "--help"]).0);
    }
    let (passed, text) = run(&["dance"]);
    assert!(!passed && text.contains("--help"), "{text}");
}

#[test]
fn a_role_without_settings_says_what_it_needs() {
    let output = Command::new(PROGRAM).arg("store").env_remove("MALLOWSTEP_CONFIG").output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("MALLOWSTEP_CONFIG"), "{text}");
}

#[test]
fn check_names_every_fault_of_a_configuration() {
    let path = std::env::temp_dir().join(format!("configuration-{}.json", std::process::id()));
    std::fs::write(
        &path,
        r#"{"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"x","TimeoutMs":0,"Backend":"s"}],
        "Backends":[]}"#,
    )
    .unwrap();
    let (passed, text) = run(&["check", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert!(!passed && text.contains("PathPrefix") && text.contains("TimeoutMs"), "{text}");
}
