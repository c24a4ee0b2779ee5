//! Many days on all cores, appended to a file as they come.
use crate::days::{self, Cost, Key, Row};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use world::scenario::Scenario;

/// All whole rows of a file of results; a last line that was cut off is none.
pub fn rows(path: &Path) -> Result<Vec<Row>, String> {
    let text = match fs::read_to_string(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        read => read.map_err(|e| format!("{} can't be read: {e}", path.display()))?,
    };
    let mut rows = Vec::new();
    for (i, line) in text.split_inclusive('\n').enumerate() {
        match serde_json::from_str(line) {
            Ok(row) => rows.push(row),
            Err(_) if !line.ends_with('\n') => break,
            Err(e) => return Err(format!("{}, line {}: {e}", path.display(), i + 1)),
        }
    }
    Ok(rows)
}

fn line(row: &Row) -> Result<String, String> {
    Ok(serde_json::to_string(row).map_err(|e| e.to_string())? + "\n")
}

pub fn run(
    scenarios: &[PathBuf],
    sets: &[String],
    seeds: u64,
    policies: &[String],
    out: &Path,
    threads: Option<usize>,
) -> Result<(), String> {
    let policies = if policies == ["all"] { days::policies() } else { policies.to_vec() };
    let mut wanted: Vec<(Key, Arc<Scenario>)> = Vec::new();
    for path in scenarios {
        for set in days::combinations(sets)? {
            let scenario = Arc::new(days::read(path, &set)?);
            for policy in &policies {
                let (name, set) = (scenario.name.clone(), days::name(&set));
                let key =
                    |seed| Key { scenario: name.clone(), set: set.clone(), policy: policy.clone(), seed };
                wanted.extend((1..=seeds).map(|seed| (key(seed), scenario.clone())));
            }
        }
    }
    // A torn last line goes before anything is written behind it.
    order(out)?;
    let had: BTreeSet<Key> = rows(out)?.into_iter().map(|row| row.key).collect();
    let left: Vec<_> = wanted.iter().filter(|(key, _)| !had.contains(key)).collect();
    eprintln!("{} days, {} of them in {} already", wanted.len(), wanted.len() - left.len(), out.display());
    let cannot = |e| format!("{} can't be written: {e}", out.display());
    let file = OpenOptions::new().create(true).append(true).open(out).map_err(cannot)?;
    let file = Mutex::new(file);
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(left.len() as u64).with_style(style);
    let cost = Arc::new(Cost::default());
    let play = |(key, scenario): &(Key, Arc<Scenario>)| -> Result<u64, String> {
        let day = days::play(scenario, key.seed, &key.policy, &cost)?;
        let messages = day.messages;
        append(&file, &Row { key: key.clone(), day }).map_err(|e| format!("{}: {e}", out.display()))?;
        bar.inc(1);
        Ok(messages)
    };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build();
    let pool = pool.map_err(|e| e.to_string())?;
    let messages = pool.install(|| left.par_iter().map(|day| play(day)).sum::<Result<u64, String>>())?;
    bar.finish();
    order(out)?;
    let each = cost.spent().as_secs_f64() * 1e6 / messages.max(1) as f64;
    eprintln!("{messages} messages, {each:.1} us of decisions for each");
    Ok(())
}

/// One row in one write: a run that is cut off leaves whole lines, and at most one that is torn.
fn append(file: &Mutex<File>, row: &Row) -> Result<(), String> {
    let text = line(row)?;
    let mut file = file.lock().map_err(|e| e.to_string())?;
    file.write_all(text.as_bytes()).map_err(|e| e.to_string())
}

/// Puts a whole file in the order of its keys, so that it is the same however many threads wrote it.
fn order(out: &Path) -> Result<(), String> {
    let mut rows = rows(out)?;
    if rows.is_empty() {
        return Ok(());
    }
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    let text: String = rows.iter().map(line).collect::<Result<_, _>>()?;
    let new = out.with_extension("new");
    let put = fs::write(&new, text).and_then(|()| fs::rename(&new, out));
    put.map_err(|e| format!("{} can't be written: {e}", out.display()))
}
