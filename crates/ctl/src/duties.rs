//! `nickelctl duties`: who holds what, as a sender reads it in the store.
use crate::Verdict;
use remote::control::call;
use serde_json::{json, Value};
use std::net::SocketAddr;

pub async fn run(at: SocketAddr, json: bool) -> Verdict {
    let answer = call(at, "GET", "/v1/duties").await.and_then(|(status, body)| match status {
        200 => serde_json::from_str::<Value>(&body).map_err(|e| format!("answers no JSON: {e}")),
        _ => Err(format!("answers {status}: {}", body.trim())),
    });
    let answer = match answer {
        Ok(answer) => answer,
        Err(reason) => {
            match json {
                true => println!("{}", json!({"error": reason})),
                false => eprintln!("nickelctl: {at} {reason}"),
            }
            return Verdict::Unknown;
        }
    };
    let duties = answer["duties"].as_array().cloned().unwrap_or_default();
    let all_held = duties.iter().all(|d| !d["holder"].is_null());
    if json {
        println!("{answer}");
    } else {
        for duty in &duties {
            let list = |key: &str| -> Vec<&str> {
                duty[key].as_array().into_iter().flatten().filter_map(Value::as_str).collect()
            };
            let holder = duty["holder"].as_str().unwrap_or("nobody");
            println!("{}: {holder}", duty["name"].as_str().unwrap_or_default());
            println!(
                "  token {}, {} s left, {} candidates",
                duty["token"], duty["seconds_left"], duty["candidates"]
            );
            println!("  draining ({} at most): {}", duty["drains_at_most"], list("given").join(", "));
            println!("  asking: {}", list("wanted").join(", "));
            list("history").iter().rev().for_each(|line| println!("  before: {line}"));
        }
    }
    if all_held {
        Verdict::Well
    } else {
        Verdict::Not
    }
}
