//! Settings files and configurations: what is read, and that every fault is named with its remedy.
use rstest::rstest;
use settings::{Configuration, ProcessSettings};

const PROCESS: &str = r#"
NodeName: "storage-a-1"
Role: "any"
Ip: "10.1.0.43"
Zone: "a"
ListenAddresses: {}
PortRange: [7780, 7795]
Seeds: ["10.1.0.44:8064", "10.2.0.43:8064"]
Bootstrap: true
Limits: { MemoryMb: 280, MaxFds: 8200, DiskMb: 400 }
DataDir: "/data/any"
FaultTolerance: { Machines: 1, Zones: 0 }
Bounds: { GraceS: 6, StatusTtlS: 120, CatchUpS: 4.5 }
CloudApi: { Address: "10.200.0.70:8065", RatePerS: 44.0, Duties: [] }
NewField: [1, 2]
"#;

#[test]
fn a_settings_file_is_read_and_unknown_fields_are_ignored() {
    let settings = ProcessSettings::parse(PROCESS).unwrap();
    assert_eq!(settings.node_name, "storage-a-1");
    assert_eq!((settings.control_port(), settings.store_port()), (7780, 7781));
    assert_eq!(settings.seed_ips().len(), 2);
    assert!(settings.bootstrap);
    assert_eq!(settings.limits.disk_mb, 400.0);
    assert_eq!(settings.data_dir.as_deref(), Some("/data/any"));
}

#[test]
fn every_fault_of_a_settings_file_is_named_at_once() {
    let text =
        PROCESS.replace("10.1.0.43", "here").replace("[7780, 7795]", "[9, 2]").replace("280", "\"many\"");
    let faults = ProcessSettings::parse(&text).unwrap_err().to_string();
    assert!(faults.contains("PortRange"), "{faults}");
    assert!(faults.contains("Limits.MemoryMb"), "{faults}");
    assert!(faults.lines().all(|line| line.contains(';')), "each names a remedy: {faults}");
}

fn configuration() -> serde_json::Value {
    serde_json::json!({
        "Version": 7,
        "Routes": [
            {"Name": "r-long", "Host": "h.example", "PathPrefix": "/a/b/", "Type": "async", "TimeoutMs": 1500,
             "TargetLatencyMs": 80, "Priority": 2, "Backend": "s", "MaxAttempts": 4, "Ordered": false,
             "RetentionS": 90.0, "CallbackUrl": true, "TargetStartMs": 1200},
            {"Name": "r-short", "Host": "h.example", "PathPrefix": "/a/", "Type": "async", "TimeoutMs": 600,
             "Backend": "s", "Ordered": true},
        ],
        "Backends": [{"Name": "s", "HealthPath": "/health", "MaxConnections": 35, "RatePerS": 37.0,
                      "PinnedEndpoint": "172.20.0.3:8066"}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })
}

fn parse(value: &serde_json::Value) -> Result<Configuration, settings::Faults> {
    Configuration::parse(&serde_json::to_vec(value).unwrap())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = parse(&configuration()).unwrap();
    let name = |host, path| configuration.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("h.example", "/a/b/c"), Some("r-long"));
    assert_eq!(name("H.Example", "/a/c"), Some("r-short"));
    assert_eq!(name("h.example", "/b"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[rstest]
#[case::unknown_service("/Routes/0/Backend", serde_json::json!("nobody"), "names no service")]
#[case::no_timeout("/Routes/0/TimeoutMs", serde_json::json!(0), "is 0")]
#[case::timeout_is_text("/Routes/0/TimeoutMs", serde_json::json!("soon"), "not a number")]
#[case::same_place("/Routes/0/PathPrefix", serde_json::json!("/a/"), "has host and prefix of Routes[0]")]
#[case::no_version("/Version", serde_json::json!(null), "not a number")]
#[case::routes_are_no_list("/Routes", serde_json::json!({}), "not a list")]
#[case::negative_rate("/Backends/0/RatePerS", serde_json::json!(-1.0), "below 0")]
fn invalid_configurations_are_told_with_place_and_remedy(
    #[case] place: &str,
    #[case] value: serde_json::Value,
    #[case] told: &str,
) {
    let mut changed = configuration();
    *changed.pointer_mut(place).unwrap() = value;
    let faults = parse(&changed).unwrap_err().to_string();
    assert!(faults.contains(told) && faults.contains(';'), "{faults}");
}

#[test]
fn a_body_that_is_cut_short_is_invalid_at_every_length() {
    let whole = serde_json::to_vec(&configuration()).unwrap();
    for length in 0..whole.len() {
        assert!(Configuration::parse(&whole[..length]).is_err(), "{length} bytes");
    }
    assert!(Configuration::parse(&whole).is_ok());
}

fn with_tenants(tenants: serde_json::Value) -> Result<Configuration, settings::Faults> {
    let mut changed = configuration();
    changed["Tenants"] = tenants;
    parse(&changed)
}

/// Guards against a key that opens two tenants, and against names that break the head of a delivery.
#[rstest]
#[case::one_key_of_two(serde_json::json!([{"Name": "a", "ApiKeys": ["k", "l"]}, {"Name": "b", "ApiKeys": ["m", "l"]}]),
    "Tenants[1].ApiKeys: has a key that Tenants[0] holds too")]
#[case::one_name_of_two(serde_json::json!([{"Name": "a", "ApiKeys": ["k"]}, {"Name": "a", "ApiKeys": ["l"]}]),
    "Tenants[1].Name: is that of Tenants[0]")]
#[case::negative_rate(serde_json::json!([{"Name": "a", "ApiKeys": [], "RatePerS": -1.0}]), "Tenants[0].RatePerS: is below 0")]
#[case::negative_burst(serde_json::json!([{"Name": "a", "ApiKeys": [], "RatePerS": 1, "Burst": -0.5}]),
    "Tenants[0].Burst: is below 0")]
#[case::no_name(serde_json::json!([{"ApiKeys": ["k"]}]), "Tenants[0].Name: is missing")]
#[case::empty_name(serde_json::json!([{"Name": "", "ApiKeys": ["k"]}]), "Tenants[0].Name: can't be told in a header")]
#[case::name_of_two_lines(serde_json::json!([{"Name": "a\r\nX-Tenant: b", "ApiKeys": ["k"]}]),
    "Tenants[0].Name: can't be told in a header")]
#[case::name_beyond_ascii(serde_json::json!([{"Name": "büro", "ApiKeys": ["k"]}]), "Tenants[0].Name: can't be told")]
#[case::name_with_space_at_its_end(serde_json::json!([{"Name": "a ", "ApiKeys": ["k"]}]), "Tenants[0].Name: can't be told")]
#[case::empty_key(serde_json::json!([{"Name": "a", "ApiKeys": [""]}]), "Tenants[0].ApiKeys: has a key that no client can send")]
#[case::key_of_two_lines(serde_json::json!([{"Name": "a", "ApiKeys": ["k\n"]}]), "Tenants[0].ApiKeys: has a key that no client")]
#[case::keys_are_no_list(serde_json::json!([{"Name": "a", "ApiKeys": "k"}]), "Tenants[0].ApiKeys: is not a list")]
#[case::tenants_are_no_list(serde_json::json!({"Name": "a"}), "Tenants: is not a list")]
fn invalid_tenants_are_told_with_place_and_remedy(#[case] tenants: serde_json::Value, #[case] told: &str) {
    let faults = with_tenants(tenants).unwrap_err().to_string();
    assert!(faults.contains(told) && faults.contains(';'), "{faults}");
}

#[test]
fn a_key_twice_within_one_tenant_is_valid() {
    let configuration = with_tenants(serde_json::json!([{"Name": "a", "ApiKeys": ["k", "k"]}])).unwrap();
    assert_eq!(configuration.tenant_of_key("k").map(|tenant| tenant.name.as_str()), Some("a"));
}

#[test]
fn limits_may_be_left_out() {
    let tenants = serde_json::json!([{"Name": "a"}, {"Name": "b", "RatePerS": 5}, {"Name": "c", "Burst": 2}]);
    let configuration = with_tenants(tenants).unwrap();
    let quota = |name| configuration.tenant(name).unwrap().quota();
    assert_eq!(quota("a"), None);
    assert_eq!(quota("b"), Some(settings::Quota { rate_per_s: 5.0, burst: 0.0 }));
    assert_eq!(quota("c"), None, "a burst of no rate limits nothing");
}

/// Guards against an empty list that is read as none: then everybody would get through.
#[rstest]
#[case::no_list(serde_json::json!(null), false)]
#[case::empty_list(serde_json::json!([]), true)]
fn only_a_list_of_tenants_makes_keys_needed(#[case] tenants: serde_json::Value, #[case] needed: bool) {
    let configuration = with_tenants(tenants).unwrap();
    assert_eq!(configuration.needs_key(&configuration.routes[0]), needed);
    assert!(parse(&self::configuration()).is_ok_and(|older| !older.needs_key(&older.routes[0])));
}
