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

const HEAD: [&str; 9] =
    ["name", "process", "address", "version", "state", "incarnation", "for", "by", "standing"];

/// What part of its fleet one is in, by its own word.
fn standing(answer: &Value) -> String {
    let standing = &answer["standing"];
    let Some(name) = standing["name"].as_str() else { return "standing unknown".into() };
    let seconds = standing["for_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
    let missing: Vec<&str> =
        standing["missing"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let misses = if missing.is_empty() { String::new() } else { format!(", missing {}", missing.join(" ")) };
    format!("{name} for {seconds:.1} s: {} of {} present{misses}", standing["present"], standing["expected"])
}

/// What is out of the ordinary about a member.
fn remarks(m: &Value) -> String {
    let mut all = vec![text(m, "standing").to_string()];
    all.extend(m["impaired"].as_str().map(|why| format!("IMPAIRED: {why}")));
    let differs = m["differs_ms"].as_u64().filter(|ms| *ms >= LASTING);
    all.extend(differs.map(|ms| format!("sees others for {:.0} s", ms as f64 / 1e3)));
    all.extend((m["expected"] == json!(false)).then(|| "not expected".to_string()));
    all.extend(
        (m["conflicts"] == json!(true)).then(|| "CONFLICT: another process has this name".to_string()),
    );
    all.retain(|word| !word.is_empty());
    all.join(", ")
}

/// A disagreement that is younger than this is usual, in milliseconds: news is on its way.
const LASTING: u64 = 10_000;

/// One line a member, in columns.
fn table(members: &Value) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(HEAD);
    for m in members.as_array().into_iter().flatten() {
        let seconds = m["for_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
        table.add_row([
            text(m, "name"),
            &m["process"].to_string(),
            text(m, "address"),
            text(m, "version"),
            text(m, "state"),
            &m["incarnation"].to_string(),
            &format!("{seconds:.1} s"),
            text(m, "by"),
            &remarks(m),
        ]);
    }
    table
}

/// By member: its state in the eyes of each that was asked.
type Opinions = BTreeMap<(String, u64), BTreeMap<SocketAddr, String>>;

/// Pairs of those that were asked of which one hears the other and is not heard, or neither hears: the links that explain
/// why views differ.
fn links(answers: &BTreeMap<SocketAddr, Value>) -> Vec<String> {
    let hears = |answer: &Value, name: &str| {
        let rows = answer["members"].as_array().into_iter().flatten();
        rows.filter(|m| m["name"] == name).any(|m| matches!(text(m, "state"), "alive" | "suspect"))
    };
    let all: Vec<&Value> = answers.values().collect();
    let mut told = Vec::new();
    for (i, a) in all.iter().enumerate() {
        for b in &all[i + 1..] {
            let (first, second) = (text(a, "name"), text(b, "name"));
            match (hears(a, second), hears(b, first)) {
                (true, true) => {}
                (true, false) => told.push(format!("{first} hears {second}, {second} does not hear {first}")),
                (false, true) => told.push(format!("{second} hears {first}, {first} does not hear {second}")),
                (false, false) => told.push(format!("{first} and {second} do not hear each other")),
            }
        }
    }
    told
}

/// Takes a member out of the roster.
pub async fn strike(name: String, at: SocketAddr, vouched: bool) -> Verdict {
    let vouched = if vouched { "&vouched=yes" } else { "" };
    match call(at, "PUT", &format!("/v1/members/strike?name={name}{vouched}")).await {
        Ok((200, _)) => Verdict::Well,
        Ok((409, reason)) => {
            eprintln!("nickelctl: {name} is not struck off: {}", reason.trim());
            Verdict::Not
        }
        Ok((status, reason)) => {
            eprintln!("nickelctl: {at} answers {status}: {}", reason.trim());
            Verdict::Unknown
        }
        Err(reason) => {
            eprintln!("nickelctl: {at} {reason}");
            Verdict::Unknown
        }
    }
}

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
        let told: Vec<Value> = answers.iter().map(|(at, a)| json!({"address": at, "answer": a})).collect();
        println!(
            "{}",
            json!({"answers": told, "disagree": rows.collect::<Vec<_>>(), "links": links(&answers)})
        );
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
        } else if !differing.is_empty() {
            links(&answers).iter().for_each(|line| println!("{line}"));
        }
    } else {
        for answer in answers.values() {
            println!("fleet {}, as {} sees it", text(answer, "fleet"), text(answer, "name"));
            println!("{}", standing(answer));
            println!("{}", table(&answer["members"]).trim_fmt());
        }
    }
    match (failed, compare && !differing.is_empty()) {
        (true, _) => Verdict::Unknown,
        (false, true) => Verdict::Not,
        (false, false) => Verdict::Well,
    }
}
