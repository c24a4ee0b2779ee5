//! The folder in which every sender of a machine says where its control address is, for the operators' tool.
//!
//! One small file a process, with a lock that the kernel lets go when the process dies: a file without one is stale,
//! whatever its number says.
use crate::duties;
use serde_json::json;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Held as long as the process lives; its file goes with it.
pub struct Entry {
    path: PathBuf,
    _lock: File,
}

const SUFFIX: &str = ".json";

impl Entry {
    pub fn enter(
        folder: &Path,
        name: &str,
        control: SocketAddr,
        state: &Path,
        duties: Option<&duties::Settings>,
    ) -> io::Result<Entry> {
        let process = std::process::id();
        remove_stale(folder)?;
        // Locked before it has its name, so nobody finds it without.
        let unnamed = folder.join(format!("new.{process}"));
        let mut file = File::create(&unnamed)?;
        file.try_lock()?;
        // Where a permit to drain is to be asked for.
        let permits = duties.map(|d| json!({"addresses": d.store, "prefix": d.prefix, "ttl_s": d.ttl_s}));
        let text = json!({"name": name, "process": process, "control": control.to_string(), "state": state,
            "permits": permits});
        file.write_all(format!("{text}\n").as_bytes())?;
        let plain: String = name.chars().map(|c| if c.is_alphanumeric() { c } else { '-' }).collect();
        let path = folder.join(format!("{plain}.{process}{SUFFIX}"));
        fs::rename(&unnamed, &path)?;
        Ok(Entry { path, _lock: file })
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Files of processes that have died. One that is looked at just now by somebody else is left for another time.
fn remove_stale(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)?.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let is_ours = name.ends_with(SUFFIX) || name.starts_with("new.");
        if is_ours && File::open(entry.path()).is_ok_and(|file| file.try_lock().is_ok()) {
            fs::remove_file(entry.path())?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_lasts_as_long_as_its_process_and_stale_ones_go() {
        let folder = std::env::temp_dir().join(format!("leadfold-registry-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("n9.1.json"), "{}").unwrap();
        fs::write(folder.join("notes.txt"), "not ours").unwrap();
        let at = "127.0.0.1:9".parse().unwrap();
        let entry = Entry::enter(&folder, "n/1", at, Path::new("/state"), None).unwrap();
        let files = || {
            let mut names: Vec<String> = fs::read_dir(&folder)
                .unwrap()
                .flatten()
                .map(|f| f.file_name().into_string().unwrap())
                .collect();
            names.sort();
            names
        };
        let own = format!("n-1.{}.json", std::process::id());
        assert_eq!(files(), [own.clone(), "notes.txt".into()]);
        assert!(File::open(folder.join(&own)).unwrap().try_lock_shared().is_err(), "it lives");
        drop(entry);
        assert_eq!(files(), ["notes.txt"]);
        fs::remove_dir_all(&folder).unwrap();
    }
}
