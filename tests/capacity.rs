//! The capacity page and the command that renews it.

use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::Command;
use trial::peers::folders;

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = folders().join(format!("capacity-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn nickellab(arguments: &[&str]) -> (i32, String, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_nickellab")).args(arguments).output().unwrap();
    let [out, error] = [done.stdout, done.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
    (done.status.code().unwrap(), out, error)
}

fn line(senders: u32) -> String {
    let value = 10.0 + 2.0 * f64::from(senders);
    json!({"plan": "made-up", "role": "membership", "what": "bytes out a member and interval", "unit": "B",
        "varied": "senders", "at": senders, "event": null, "senders": senders, "real": 8, "destinations": 30, "seed": 1,
        "value": value, "late_ms": 3, "void": null})
    .to_string()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn one_command_prints_the_tables_or_puts_them_into_the_page_and_a_broken_line_changes_nothing() {
    let folder = folder("page");
    let [small, large, broken, page] =
        ["small.jsonl", "large.jsonl", "broken.jsonl", "page.md"].map(|name| folder.join(name));
    let text = |path: &Path| path.to_str().unwrap().to_string();
    std::fs::write(&small, [30, 60].map(line).join("\n")).unwrap();
    std::fs::write(&large, [255, 510].map(line).join("\n")).unwrap();
    std::fs::write(&broken, format!("{}\n{{\"plan\": 1}}\n", line(30))).unwrap();
    std::fs::copy(root().join("docs/CAPACITY.md"), &page).unwrap();
    let [small, large, broken, at] = [&small, &large, &broken, &page].map(|path| text(path));

    let (code, out, error) = nickellab(&["scale", "--page", &small, &large]);
    assert_eq!((code, error.as_str()), (0, ""));
    let row =
        "| senders, 4 from 30 to 510, made-up | 200 B ± 0 B for 100 senders | 10 B | 0% | 1.03 KB | 4 KB |";
    assert!(out.contains(row), "{out}");

    let (code, nothing, error) = nickellab(&["scale", "--page", &small, &large, "--into", &at]);
    assert_eq!((code, nothing.as_str(), error.as_str()), (0, "", ""));
    let renewed = std::fs::read_to_string(&page).unwrap();
    assert!(renewed.contains(row) && renewed.contains("## Questions"), "{renewed}");

    let (code, nothing, error) = nickellab(&["scale", "--page", &small, &broken, "--into", &at]);
    assert_eq!((code, nothing.as_str()), (2, ""));
    assert!(error.starts_with(&format!("nickellab: {broken}:2: invalid type: integer `1`")), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert_eq!(std::fs::read_to_string(&page).unwrap(), renewed);

    let (code, _, error) = nickellab(&["scale", "--page", &small, "--into", &large]);
    assert!(code == 2 && error.contains("large.jsonl: no line <!-- begin"), "{code} {error}");
    let (code, _, error) = nickellab(&["scale", "--page", "none.jsonl"]);
    assert!(code == 2 && error.starts_with("nickellab: none.jsonl can't be read: "), "{code} {error}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_page_has_the_tables_of_the_results_that_are_kept() {
    let kept = std::fs::read_dir(root().join("scenarios/scale/results")).into_iter().flatten();
    let mut results: Vec<PathBuf> = kept.map(|entry| entry.unwrap().path()).collect();
    results.retain(|path| path.extension().is_some_and(|e| e == "jsonl"));
    results.sort();
    let page = std::fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    if results.is_empty() {
        assert!(page.contains("No results yet"), "it has tables of results that are not kept");
        return;
    }
    let results: Vec<&str> = results.iter().map(|path| path.to_str().unwrap()).collect();
    let (code, tables, error) = nickellab(&[&["scale", "--page"], &results[..]].concat());
    assert_eq!((code, error.as_str()), (0, ""));
    assert!(
        page.contains(tables.trim_end()),
        "renew it: nickellab scale --page RESULTS --into docs/CAPACITY.md"
    );
}
