//! What a clean build needs beside the Rust tool chain stands in the deploy files: crates with native build steps are known, each
//! with a reason, and what they need is among the packages.
use rstest::rstest;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

/// Crates that run tools from outside Rust when something is built with them.
const NATIVE_BUILD_TOOLS: [&str; 12] = [
    "autotools",
    "bindgen",
    "cc",
    "cmake",
    "cxx-build",
    "nasm-rs",
    "pkg-config",
    "prost-build",
    "protobuf-codegen",
    "system-deps",
    "tonic-build",
    "vcpkg",
];
const DEPLOY_FILES: [&str; 2] = ["deploy/system.toml", "deploy/balancer.toml"];

/// What a tool of the build or a crate needs.
struct Need {
    packages: BTreeSet<String>,
    reason: String,
}

fn table(path: &str) -> toml::Table {
    let text = std::fs::read_to_string(format!("{}/{path}", env!("CARGO_MANIFEST_DIR"))).unwrap();
    text.parse().unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn packages(table: &toml::Table) -> BTreeSet<String> {
    let names = table["packages"].as_array().expect("a list");
    names.iter().map(|name| name.as_str().expect("a name").to_string()).collect()
}

fn need(table: &toml::Value) -> Need {
    let table = table.as_table().expect("a table");
    Need { packages: packages(table), reason: table["reason"].as_str().expect("a text").to_string() }
}

/// The crates of this system's build that run native tools, by what Cargo.lock resolves to for a platform. Cargo fetches
/// the manifests of crates that only the other kind of machine needs, unless they are in its cache.
fn crates_with_native_steps(platform: &str) -> BTreeSet<String> {
    let output = Command::new(env!("CARGO"))
        .args(["metadata", "--locked", "--format-version", "1"])
        .args(["--filter-platform", platform])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let metadata: Value = serde_json::from_slice(&output.stdout).unwrap();
    let packages = metadata["packages"].as_array().unwrap();
    let names: BTreeMap<&str, &str> = packages
        .iter()
        .map(|package| (package["id"].as_str().unwrap(), package["name"].as_str().unwrap()))
        .collect();
    let links: BTreeSet<&str> = packages
        .iter()
        .filter(|package| !package["links"].is_null())
        .filter_map(|p| p["id"].as_str())
        .collect();
    let nodes = metadata["resolve"]["nodes"].as_array().unwrap();
    let uses_tool = |node: &&Value| {
        let dependencies = node["dependencies"].as_array().unwrap();
        let is_tool = |id: &Value| NATIVE_BUILD_TOOLS.contains(&names[id.as_str().unwrap()]);
        dependencies.iter().any(is_tool) || links.contains(node["id"].as_str().unwrap())
    };
    nodes.iter().filter(uses_tool).map(|node| names[node["id"].as_str().unwrap()].to_string()).collect()
}

/// Crates that name a native library only so that no two versions of them are linked together, and build nothing.
fn builds_nothing(name: &str) -> bool {
    ["rayon-core", "wasm-bindgen-shared"].contains(&name)
}

#[rstest]
#[case::x86_64("x86_64-unknown-linux-gnu")]
#[case::arm64("aarch64-unknown-linux-gnu")]
fn crates_with_native_build_steps_are_listed_with_what_they_need(#[case] platform: &str) {
    let list = table("deploy/native-builds.toml");
    let listed: BTreeMap<String, Need> = list["crates"]
        .as_table()
        .expect("a table of crates")
        .iter()
        .map(|(name, table)| (name.clone(), need(table)))
        .collect();
    let found: BTreeSet<String> =
        crates_with_native_steps(platform).into_iter().filter(|name| !builds_nothing(name)).collect();
    let known: BTreeSet<String> = listed.keys().cloned().collect();
    assert_eq!(found, known, "list each in deploy/native-builds.toml with what it needs, and why");
    let mut needs: Vec<Need> = listed.into_values().collect();
    needs.extend(["rustc", "cargo"].map(|tool| need(&list[tool])));
    assert!(needs.iter().all(|need| !need.reason.is_empty()));
    let wanted: BTreeSet<String> = needs.into_iter().flat_map(|need| need.packages).collect();
    for path in DEPLOY_FILES {
        assert_eq!(packages(&table(path)), wanted, "packages of {path}");
    }
}
