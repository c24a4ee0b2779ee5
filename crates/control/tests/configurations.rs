//! Which configurations come into force.
use control::{Command, Rejected, State};
use rstest::rstest;

fn body(version: u64, tenants: &str) -> Vec<u8> {
    format!(r#"{{"Version": {version}, "Routes": [], "Backends": [], "Tenants": {tenants}}}"#).into_bytes()
}

fn in_force() -> State {
    let mut state = State::default();
    let valid = body(3, r#"[{"Name": "a", "ApiKeys": ["k"]}]"#);
    for event in state.decide(&Command::Configure { base: 0, body: valid }).unwrap() {
        state.apply(&event);
    }
    state
}

/// Guards against an invalid list of tenants that replaces the keys in force.
#[rstest]
#[case::one_key_of_two(r#"[{"Name": "a", "ApiKeys": ["k"]}, {"Name": "b", "ApiKeys": ["k"]}]"#)]
#[case::one_name_of_two(r#"[{"Name": "a", "ApiKeys": ["k"]}, {"Name": "a", "ApiKeys": ["l"]}]"#)]
#[case::name_of_two_lines(r#"[{"Name": "a\nb", "ApiKeys": ["k"]}]"#)]
fn the_version_before_an_invalid_one_stays_in_force(#[case] tenants: &str) {
    let state = in_force();
    let decided = state.decide(&Command::Configure { base: 3, body: body(4, tenants) });
    assert!(matches!(decided, Err(Rejected::Invalid(_))), "{decided:?}");
    // A key may move to another tenant, on top of the version before.
    let valid = body(4, r#"[{"Name": "a", "ApiKeys": []}, {"Name": "b", "ApiKeys": ["k"]}]"#);
    assert!(state
        .decide(&Command::Configure { base: 3, body: valid })
        .is_ok_and(|events| !events.is_empty()));
}
