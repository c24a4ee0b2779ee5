//! The modules of a crate import one another in one direction only.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// By module of the crate's first level: which others its files name as `crate::`, tests left out.
fn imports(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let mut all = BTreeMap::new();
    for entry in std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()) {
        let name = entry.file_stem().unwrap().to_str().unwrap().to_string();
        let files = match entry.is_dir() {
            true => std::fs::read_dir(&entry).unwrap().map(|e| e.unwrap().path()).collect(),
            false => vec![entry],
        };
        let text = files.iter().filter(|f| f.is_file()).map(|f| std::fs::read_to_string(f).unwrap());
        let own = text.map(|t| t.split("#[cfg(test)]").next().unwrap_or_default().to_string());
        let own = own.collect::<String>();
        let named = own.split("crate::").skip(1).map(|rest| {
            rest.split(|c: char| !c.is_alphanumeric() && c != '_').next().unwrap_or_default().to_string()
        });
        all.insert(name.clone(), named.filter(|n| *n != name).collect());
    }
    all
}

#[test]
fn no_module_of_the_sender_or_the_policy_imports_itself_through_others() {
    for krate in ["sender", "policy", "ctl", "simhost", "remote", "machine", "trial", "ringlog", "queue"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates").join(krate).join("src");
        let mut left = imports(&folder);
        left.remove("lib");
        let count = left.len();
        // What imports nothing that is left goes; a circle stays.
        while let Some(leaf) = left.iter().find(|(_, to)| !to.iter().any(|t| left.contains_key(t))) {
            let leaf = leaf.0.clone();
            left.remove(&leaf);
        }
        assert!(left.is_empty(), "circles among {left:?} of {krate}");
        assert!(count > 0, "{krate} has modules");
    }
}
