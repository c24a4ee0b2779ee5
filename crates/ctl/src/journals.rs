//! The journals of a folder, read only.
use crate::Verdict;
use journal::{read, recover, Live, Recovered, Whole};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A write may be under way while a file is read: one that seems torn is read again so often.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(20);

struct File {
    name: String,
    number: u64,
    bytes: usize,
    /// Why it can't be read.
    state: Result<Recovered, String>,
}

/// By the number of its process; 0 is the one file of versions that knew no numbers.
fn number(name: &str) -> Option<u64> {
    match name.strip_prefix("journal")? {
        "" => Some(0),
        rest => rest.strip_prefix('.')?.parse().ok(),
    }
}

fn read_file(path: &Path) -> io::Result<(usize, Result<Recovered, String>)> {
    let mut bytes = fs::read(path)?;
    for _ in 0..TRIES {
        match read(&bytes) {
            Err(newer) => return Ok((bytes.len(), Err(newer.to_string()))),
            Ok(file) if file.is_sound() => return Ok((bytes.len(), Ok(file))),
            Ok(_) => std::thread::sleep(PAUSE),
        }
        let again = fs::read(path)?;
        if again == bytes {
            break;
        }
        bytes = again;
    }
    Ok((bytes.len(), read(&bytes).map_err(|newer| newer.to_string())))
}

/// All journals, the oldest first. One that goes while they are read has been taken over by a newer one.
fn files(folder: &Path) -> Result<Vec<File>, String> {
    let cannot = |e: io::Error| format!("{} can't be read: {e}", folder.display());
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).map_err(cannot)? {
        let name = entry.map_err(cannot)?.file_name().to_string_lossy().into_owned();
        names.extend(number(&name).map(|number| (number, name)));
    }
    names.sort();
    let mut files = Vec::new();
    for (number, name) in names {
        match read_file(&folder.join(&name)) {
            Ok((bytes, state)) => files.push(File { name, number, bytes, state }),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => files.push(File { name, number, bytes: 0, state: Err(error.to_string()) }),
        }
    }
    if files.is_empty() {
        return Err(format!("{} holds no journal", folder.display()));
    }
    Ok(files)
}

fn verdict(file: &File) -> Verdict {
    match &file.state {
        Ok(state) if state.is_sound() => Verdict::Well,
        Ok(_) => Verdict::Not,
        Err(_) => Verdict::Unknown,
    }
}

fn overall(files: &[File]) -> Verdict {
    files.iter().map(verdict).max().unwrap_or(Verdict::Unknown)
}

fn unknown(reason: &str, json: bool) -> Verdict {
    if json {
        println!("{}", json!({"error": reason}));
    } else {
        eprintln!("nickelctl: {reason}");
    }
    Verdict::Unknown
}

fn lines(state: &Recovered) -> Vec<String> {
    let damage = state.damage.iter().map(|d| d.to_string());
    let torn = state.torn.map(|(at, length)| {
        format!("bytes {at} to {}: a last write that was cut short; nobody was told of it", at + length)
    });
    damage.chain(torn).collect()
}

/// How many messages the journals of a folder hold; none where there are none.
pub fn count(folder: &Path) -> Result<usize, String> {
    let is_missing = |e: io::Error| e.kind() == io::ErrorKind::NotFound;
    let Ok(names) = fs::read_dir(folder) else {
        return if fs::metadata(folder).err().is_some_and(is_missing) {
            Ok(0)
        } else {
            Err(format!("{} can't be read", folder.display()))
        };
    };
    if !names.flatten().any(|f| number(&f.file_name().to_string_lossy()).is_some()) {
        return Ok(0);
    }
    let files = files(folder)?;
    let unread = files.iter().find_map(|f| Some((f, f.state.as_ref().err()?)));
    if let Some((file, reason)) = unread {
        return Err(format!("{} can't be read: {reason}", folder.join(&file.name).display()));
    }
    let whole = |f: &File| Some((f.number, Whole::new(f.number, f.state.as_ref().ok()?)));
    Ok(recover(files.iter().filter_map(whole).collect()).messages.len())
}

pub fn verify(folder: &Path, json: bool) -> Verdict {
    let files = match files(folder) {
        Ok(files) => files,
        Err(reason) => return unknown(&reason, json),
    };
    if json {
        let rows: Vec<Value> = files
            .iter()
            .map(|file| match &file.state {
                Ok(state) => json!({"file": file.name, "version": state.version, "bytes": file.bytes,
                    "records": state.records.len(), "sound": state.is_sound(), "damage": lines(state)}),
                Err(reason) => json!({"file": file.name, "bytes": file.bytes, "error": reason}),
            })
            .collect();
        println!("{}", json!({"folder": folder, "files": rows}));
        return overall(&files);
    }
    for file in &files {
        let path: PathBuf = folder.join(&file.name);
        match &file.state {
            Ok(state) => {
                let (version, records, bytes) = (state.version, state.records.len(), file.bytes);
                let sound = if state.is_sound() { "sound" } else { "damaged" };
                println!(
                    "{}: {sound}, version {version}, {records} records in {bytes} bytes",
                    path.display()
                );
                lines(state).iter().for_each(|line| println!("{}: {line}", path.display()));
            }
            Err(reason) => println!("{}: can't be read: {reason}", path.display()),
        }
    }
    overall(&files)
}

pub fn show(folder: &Path, json: bool) -> Verdict {
    let files = match files(folder) {
        Ok(files) => files,
        Err(reason) => return unknown(&reason, json),
    };
    // As far as they can be read: what is in a file that can't is not shown, and the exit code says so.
    let whole = |f: &File| Some((f.number, Whole::new(f.number, f.state.as_ref().ok()?)));
    let left = recover(files.iter().filter_map(whole).collect::<BTreeMap<u64, Whole>>());
    if json {
        let rows: Vec<Value> = left.messages.iter().map(row).collect();
        println!(
            "{}",
            json!({"folder": folder, "messages": rows, "sound": overall(&files) == Verdict::Well})
        );
        return overall(&files);
    }
    for live in &left.messages {
        let taken = &live.taken;
        let (out, never): (Vec<_>, Vec<_>) = live.attempts.iter().partition(|a| !a.never_ran);
        let state = match (live.ending, out.is_empty()) {
            (Some(ending), _) => format!("ended ({}), its notice is under way", ending_name(&ending)),
            (None, true) => "waits".to_string(),
            (None, false) => "may have run".to_string(),
        };
        let (class, dest, bytes) = (&taken.class, taken.dest, taken.body.len());
        let attempts = out.len() + never.len();
        println!("{}: {class} to {dest}, {bytes} bytes, {attempts} attempts, {state}", taken.trace);
    }
    println!("{} messages", left.messages.len());
    for file in files.iter().filter(|f| verdict(f) != Verdict::Well) {
        let why = match &file.state {
            Ok(_) => "is damaged: see journal verify".to_string(),
            Err(reason) => format!("can't be read: {reason}"),
        };
        eprintln!("nickelctl: {}: {why}", folder.join(&file.name).display());
    }
    overall(&files)
}

fn ending_name(ending: &journal::Ending) -> &'static str {
    match ending {
        journal::Ending::GivenUp => "given up",
        journal::Ending::HandedBack(_) => "handed back",
    }
}

fn row(live: &Live) -> Value {
    let taken = &live.taken;
    let attempts: Vec<Value> = live
        .attempts
        .iter()
        .map(|a| json!({"number": a.number, "endpoint": a.endpoint, "may_have_run": !a.never_ran}))
        .collect();
    json!({"id": taken.id, "message": taken.trace, "class": taken.class, "dest": taken.dest,
        "bytes": taken.body.len(), "attempts": attempts, "ending": live.ending.as_ref().map(ending_name)})
}
