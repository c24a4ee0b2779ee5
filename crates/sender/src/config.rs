//! The environment and config.json: read at the start, and the file whole once more on SIGHUP.
use crate::duties;
use crate::fleet;
use crate::list::{List, ListSeed, Room};
use journal::Durability;
use policy::api::Settings;
use policy::settings::{self, HostSettings};
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{fmt, fs};

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    known: List,
    durability: Option<String>,
    name: Option<String>,
    registry: Option<PathBuf>,
    membership: Option<Value>,
    duties: Option<Value>,
    settings: Value,
}

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The operators' address, if they gave one.
    pub control: Option<SocketAddr>,
    pub state: PathBuf,
    pub name: String,
    /// Where the operators' tool finds the control addresses of the machine's senders.
    pub registry: Option<PathBuf>,
    /// None: it is off.
    pub membership: Option<fleet::Settings>,
    pub duties: Option<duties::Settings>,
    pub seed: u64,
    pub limits: Limits,
    /// What the journal outlasts; as it was at the start.
    pub durability: Durability,
    /// Why there is none, where it could not be taken.
    pub known: Result<List, String>,
    pub settings: Settings,
    pub host_settings: HostSettings,
    /// The file as it was read, without the entries of `known`.
    pub file: Value,
}

impl Config {
    /// What a list of endpoints may come to take in memory.
    pub fn room(&self) -> Room {
        Room::of(self.limits.memory_mb)
    }
}

/// What the platform tells a sender beside its configuration's file.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `EDGE_CONFIG`: where that file is.
    pub config: Option<String>,
    /// `EDGE_STATE`: the folder that outlasts the process.
    pub state: Option<String>,
    /// `EDGE_NAME`, `EDGE_LISTEN`, `EDGE_DISCOVERY` and `EDGE_CONTROL`.
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub control: Option<String>,
}

impl Environment {
    /// This process's own; an empty variable is none.
    pub fn of_process() -> Environment {
        let var = |name| std::env::var(name).ok().filter(|v| !v.is_empty());
        Environment {
            config: var("EDGE_CONFIG"),
            state: var("EDGE_STATE"),
            name: var("EDGE_NAME"),
            listen: var("EDGE_LISTEN"),
            discovery: var("EDGE_DISCOVERY"),
            control: var("EDGE_CONTROL"),
        }
    }

    /// The file but for the entries of `known`, which are only checked to be JSON.
    fn file(&self) -> Result<(String, Value), String> {
        let path = self.config.clone().ok_or("EDGE_CONFIG is not set")?;
        let file = read_with(&path, FileSeed)?;
        Ok((path, file))
    }

    /// The list of endpoints that the sender had last; none where the file has none. It is read by itself, as the
    /// memory limit that bounds it may stand behind it.
    fn known(&self, room: Room) -> Result<List, String> {
        let path = self.config.clone().ok_or("EDGE_CONFIG is not set")?;
        read_with(&path, KnownSeed(room))
    }
}

/// Reads a file piece by piece, as it may be many times larger than what is kept of it.
fn read_with<S: DeserializeSeed<'static>>(path: &str, seed: S) -> Result<S::Value, String> {
    let file = fs::File::open(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let mut text = serde_json::Deserializer::from_reader(BufReader::with_capacity(BUFFER, file));
    let read = seed.deserialize(&mut text).and_then(|value| text.end().map(|()| value));
    read.map_err(|e| if e.is_io() { format!("cannot read {path}: {e}") } else { format!("{path}: {e}") })
}

const BUFFER: usize = 64 << 10;

/// A configuration but for the entries of `known`.
struct FileSeed;

impl<'de> DeserializeSeed<'de> for FileSeed {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for FileSeed {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a configuration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut file = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let value = match key.as_str() {
                "known" => map.next_value::<WithoutEntries>()?.0,
                _ => map.next_value()?,
            };
            file.insert(key, value);
        }
        Ok(Value::Object(file))
    }
}

/// A list of endpoints with no entries in the place of its own, which are only checked to be JSON.
struct WithoutEntries(Value);

impl<'de> Deserialize<'de> for WithoutEntries {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<WithoutEntries, D::Error> {
        struct Keys;
        impl<'de> Visitor<'de> for Keys {
            type Value = WithoutEntries;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "a list of endpoints")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<WithoutEntries, A::Error> {
                let mut list = Map::new();
                while let Some(key) = map.next_key::<String>()? {
                    let value = match key.as_str() {
                        "instances" => map.next_value::<Passed>().map(|Passed| Value::Array(Vec::new()))?,
                        _ => map.next_value()?,
                    };
                    list.insert(key, value);
                }
                Ok(WithoutEntries(Value::Object(list)))
            }
        }
        from.deserialize_map(Keys)
    }
}

/// Entries that were passed over.
struct Passed;

impl<'de> Deserialize<'de> for Passed {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Passed, D::Error> {
        struct Entries;
        impl<'de> Visitor<'de> for Entries {
            type Value = Passed;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "the entries of a list")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Passed, A::Error> {
                while seq.next_element::<IgnoredAny>()?.is_some() {}
                Ok(Passed)
            }
        }
        from.deserialize_seq(Entries)
    }
}

/// The list of endpoints of a configuration.
struct KnownSeed(Room);

impl<'de> DeserializeSeed<'de> for KnownSeed {
    type Value = List;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<List, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for KnownSeed {
    type Value = List;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a configuration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<List, A::Error> {
        let mut known = List::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "known" => known = map.next_value_seed(ListSeed(self.0))?,
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(known)
    }
}

/// `first` if it is there, else `second`.
fn address(name: &str, first: Option<String>, second: Option<String>) -> Result<SocketAddr, String> {
    let text = first.or(second).ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is no address: {text}: {e}"))
}

fn durability(name: Option<&str>) -> Result<Durability, String> {
    match name {
        None | Some("process") => Ok(Durability::Process),
        Some("power") => Ok(Durability::Power),
        Some(other) => Err(format!("durability is neither process nor power: {other}")),
    }
}

/// The file as it is now, if it can take the place of the one in force: a key that is in that one must be in this
/// one too, or half a file would pass for a whole one with defaults.
pub fn reread(environment: &Environment, in_force: &Value) -> Result<Config, String> {
    let (path, file) = environment.file()?;
    match missing(in_force, &file) {
        Some(key) => Err(format!("{path}: {key} is missing")),
        None => parse(environment, path, file),
    }
}

/// The first key of `old` that `new` lacks. Lists are data, but their entries are alike: what all the old ones
/// have the new ones need too. The list of endpoints is not looked into, as its entries are checked one by one.
fn missing(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let Some(other) = new.get(key) else { return Some(key.clone()) };
            let inner = if key == "instances" { None } else { missing(value, other) };
            inner.map(|inner| format!("{key}.{inner}"))
        }),
        (Value::Array(old), Value::Array(new)) => {
            let shared = old.iter().filter_map(Value::as_object).cloned().reduce(|mut all, one| {
                all.retain(|key, _| one.contains_key(key));
                all
            });
            let shared = Value::Object(shared?);
            new.iter().enumerate().find_map(|(i, e)| missing(&shared, e).map(|k| format!("[{i}].{k}")))
        }
        (Value::Object(_), _) => Some("an object".into()),
        _ => None,
    }
}

/// The file as it is at the start, with the list of endpoints that the sender had last.
pub fn read(environment: &Environment) -> Result<Config, String> {
    let (path, file) = environment.file()?;
    let mut config = parse(environment, path, file)?;
    config.known = environment.known(config.room());
    Ok(config)
}

fn parse(environment: &Environment, path: String, value: Value) -> Result<Config, String> {
    let file = File::deserialize(&value).map_err(|e| format!("{path}: {e}"))?;
    let (settings, host_settings) =
        settings::read(&file.settings).map_err(|e| format!("{path}: settings: {e}"))?;
    let classes = &host_settings.classes;
    if classes.iter().enumerate().any(|(i, name)| name.is_empty() || classes[..i].contains(name)) {
        return Err(format!("{path}: settings: a class has no name of its own"));
    }
    let duties = file.duties.as_ref().map(duties::Settings::read).transpose();
    let membership = file.membership.as_ref().map(fleet::Settings::read).transpose();
    let Environment { state, name, listen, discovery, control, .. } = environment.clone();
    let control =
        control.or(file.control).map(|text| address("EDGE_CONTROL", Some(text), None)).transpose()?;
    if file.registry.is_some() && control.is_none() {
        return Err(format!("{path}: registry needs control: there is no address to enter"));
    }
    Ok(Config {
        listen: address("EDGE_LISTEN", listen, file.listen)?,
        // The file may be replaced while the sender runs, its environment can't be: a process that is started again
        // after that would go back to an address that is served no more, so the file's word comes first.
        discovery: address("EDGE_DISCOVERY", file.discovery, discovery)?,
        control,
        name: name.or(file.name).unwrap_or_else(|| "sender".to_string()),
        registry: file.registry,
        membership: membership.map_err(|e| format!("{path}: {e}"))?,
        duties: duties.map_err(|e| format!("{path}: {e}"))?,
        state: state.ok_or("EDGE_STATE is not set")?.into(),
        seed: file.seed.as_ref().map_or(0, seed),
        limits: file.limits,
        durability: durability(file.durability.as_deref()).map_err(|e| format!("{path}: {e}"))?,
        known: Ok(file.known),
        settings,
        host_settings,
        file: value,
    })
}

/// The seed is a text in hex; any other form still gives a number of its own.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}
