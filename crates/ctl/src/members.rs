//! `nickelctl members`: who is present, as senders see it.
use crate::Verdict;
use comfy_table::{presets, Table};
use remote::control::call;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

async fn ask(at: SocketAddr) -> Result<Value, String> {
    let (status, body) = call(at, "GET", "/v1/members").await?;
    match serde_json::from_str(&body) {
        Ok(value) if status == 200 => Ok(value),
        _ => Err(format!("answers {status}: {}", body.trim())),
    }
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or_default()
}

const HEAD: [&str; 8] = ["name", "process", "address", "version", "state", "incarnation", "for", "by"];

/// One line a member, in columns.
fn table(members: &Value) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(HEAD);
    for m in members.as_array().into_iter().flatten() {
        let seconds = m["for_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
        let is_doubled = m["conflicts"] == json!(true);
        let conflict = if is_doubled { "  CONFLICT: another process has this name" } else { "" };
        table.add_row([
            text(m, "name"),
            &m["process"].to_string(),
            text(m, "address"),
            text(m, "version"),
            text(m, "state"),
            &m["incarnation"].to_string(),
            &format!("{seconds:.1} s"),
            &format!("{}{conflict}", text(m, "by")),
        ]);
    }
    table
}

/// By member: its state in the eyes of each that was asked.
type Opinions = BTreeMap<(String, u64), BTreeMap<SocketAddr, String>>;

pub async fn run(addresses: Vec<SocketAddr>, compare: bool, json: bool) -> Verdict {
    let mut answers = BTreeMap::new();
    let mut failed = false;
    for &at in &addresses {
        match ask(at).await {
            Ok(answer) => _ = answers.insert(at, answer),
            Err(reason) => {
                eprintln!("nickelctl: {at} {reason}");
                failed = true;
            }
        }
    }
    let mut opinions = Opinions::new();
    for (&at, answer) in &answers {
        for m in answer["members"].as_array().into_iter().flatten() {
            let key = (text(m, "name").to_string(), m["process"].as_u64().unwrap_or_default());
            opinions.entry(key).or_default().insert(at, text(m, "state").to_string());
        }
    }
    // Who has forgotten one that has gone does not disagree with who has not.
    let gone = |state: &str| matches!(state, "left" | "failed" | "unknown");
    let differs = |by: &BTreeMap<SocketAddr, String>| {
        let unknown = "unknown".to_string();
        let said: BTreeSet<&str> = answers.keys().map(|at| by.get(at).unwrap_or(&unknown).as_str()).collect();
        said.len() > 1 && !said.iter().all(|s| gone(s))
    };
    let differing: Opinions = opinions.into_iter().filter(|(_, by)| differs(by)).collect();
    if json {
        let rows =
            differing.iter().map(|((name, process), by)| json!({"name": name, "process": process, "by": by}));
        let answers: Vec<Value> = answers.iter().map(|(at, a)| json!({"address": at, "answer": a})).collect();
        println!("{}", json!({"answers": answers, "disagree": rows.collect::<Vec<_>>()}));
    } else if compare {
        for ((name, process), by) in &differing {
            let said: Vec<String> = answers
                .keys()
                .map(|at| format!("{at}: {}", by.get(at).map_or("unknown", String::as_str)))
                .collect();
            println!("{name} (process {process}): {}", said.join(", "));
        }
        if differing.is_empty() && !failed {
            println!("all {} agree", answers.len());
        }
    } else {
        for answer in answers.values() {
            println!("fleet {}, as {} sees it", text(answer, "fleet"), text(answer, "name"));
            println!("{}", table(&answer["members"]).trim_fmt());
        }
    }
    match (failed, compare && !differing.is_empty()) {
        (true, _) => Verdict::Unknown,
        (false, true) => Verdict::Not,
        (false, false) => Verdict::Well,
    }
}
