//! Which configurations are put into force.
use control::{Command, Rejected, State};
use rstest::rstest;

fn body(version: u64, tenants: &str) -> Vec<u8> {
    format!(r#"{{"Version": {version}, "Routes": [], "Backends": [], "Tenants": {tenants}}}"#).into_bytes()
}

fn state_with_valid_configuration() -> State {
    let mut state = State::default();
    let valid = body(3, r#"[{"Name": "a", "ApiKeys": ["k"]}]"#);
    for event in state.decide(&Command::Configure { base: 0, body: valid }).unwrap() {
        state.apply(&event);
    }
    state
}

/// Guards against an invalid list of tenants that replaces the API keys in force.
#[rstest]
#[case::two_tenants_with_the_same_key(
    r#"[{"Name": "a", "ApiKeys": ["k"]}, {"Name": "b", "ApiKeys": ["k"]}]"#
)]
#[case::two_tenants_with_the_same_name(
    r#"[{"Name": "a", "ApiKeys": ["k"]}, {"Name": "a", "ApiKeys": ["l"]}]"#
)]
#[case::name_with_a_line_break(r#"[{"Name": "a\nb", "ApiKeys": ["k"]}]"#)]
fn an_invalid_configuration_leaves_the_previous_version_in_force(#[case] tenants: &str) {
    let state = state_with_valid_configuration();
    let decision = state.decide(&Command::Configure { base: 3, body: body(4, tenants) });
    assert!(matches!(decision, Err(Rejected::Invalid(_))), "{decision:?}");
    // A key may move to another tenant in a valid next version.
    let valid = body(4, r#"[{"Name": "a", "ApiKeys": []}, {"Name": "b", "ApiKeys": ["k"]}]"#);
    assert!(state
        .decide(&Command::Configure { base: 3, body: valid })
        .is_ok_and(|events| !events.is_empty()));
}
