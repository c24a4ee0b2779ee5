//! The list of endpoints as discovery and the configuration write it: each entry is read by itself and kept as a
//! compact record, the text is not.
use crate::wire::MAX_NAME;
use policy::api::Condition;
use serde::de::{DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::HashMap;
use std::fmt;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use tokio::sync::oneshot;

/// Part of the memory limit that the endpoints of a list may come to take, and what one of them takes at most in all
/// tables together: its entry as it comes, its record, the module's, and what is not full of each table.
const PART: f64 = 0.6;
const COST: usize = 256;
/// Names of zones and kinds that a list may have; the rest count as unknown.
const WORDS: usize = 1_024;
/// Entries that are kept, and given back, together.
const CHUNK: usize = 2_048;

/// Bytes that a list may come to take.
#[derive(Clone, Copy, Debug)]
pub struct Room(usize);

impl Room {
    /// Under a memory limit in MB (1e6 bytes).
    pub fn of(memory_mb: f64) -> Room {
        Room((memory_mb * 1e6 * PART) as usize)
    }

    pub const ALL: Room = Room(usize::MAX);
}

/// A text that is kept in place if it is short, as names are.
#[derive(Clone, Debug)]
pub enum Name {
    Short(u8, [u8; Name::SHORT]),
    Long(Box<str>),
}

impl Name {
    const SHORT: usize = 22;

    pub fn new(text: &str) -> Name {
        let mut bytes = [0; Name::SHORT];
        match bytes.get_mut(..text.len()) {
            Some(place) => {
                place.copy_from_slice(text.as_bytes());
                Name::Short(text.len() as u8, bytes)
            }
            None => Name::Long(text.into()),
        }
    }

    pub fn as_str(&self) -> &str {
        match self {
            // It was made of a whole text.
            Name::Short(length, bytes) => std::str::from_utf8(&bytes[..*length as usize]).unwrap_or_default(),
            Name::Long(text) => text,
        }
    }
}

/// A socket's address in half the room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    V4(SocketAddrV4),
    V6(Box<SocketAddrV6>),
}

impl From<SocketAddr> for Address {
    fn from(at: SocketAddr) -> Address {
        match at {
            SocketAddr::V4(at) => Address::V4(at),
            SocketAddr::V6(at) => Address::V6(Box::new(at)),
        }
    }
}

impl Address {
    pub fn get(&self) -> SocketAddr {
        match self {
            Address::V4(at) => SocketAddr::V4(*at),
            Address::V6(at) => SocketAddr::V6(**at),
        }
    }
}

/// A zone or a kind, by its place among the names in its list; `NO_WORD` stands for any beyond their bound.
pub type Word = u16;
const NO_WORD: Word = Word::MAX;

#[derive(Clone, Debug)]
pub struct Instance {
    pub name: Name,
    pub address: Address,
    pub dest: u64,
    pub weight: f64,
    zone: Word,
    kind: Word,
    pub condition: Condition,
}

/// A list that has come whole.
#[derive(Debug, Default)]
pub struct List {
    pub generation: u64,
    pub reset: bool,
    chunks: Vec<Vec<Instance>>,
    words: Vec<Box<str>>,
    /// Entries, those among them that can't be read.
    count: usize,
    /// Told, or dropped, once all of it is taken.
    pub taken: Option<oneshot::Sender<()>>,
}

impl List {
    /// The version that changes can be asked for by; none of an empty list, which may stand for none at all.
    pub fn version(&self) -> Option<u64> {
        (self.count > 0).then_some(self.generation)
    }

    /// Whether it says anything that was not known: all of a whole list, else each entry.
    pub fn has_news(&self) -> bool {
        self.reset || self.count > 0
    }

    /// Entries that can be read; one that can't be does not cost the others.
    pub fn len(&self) -> usize {
        self.chunks.last().map_or(0, |last| (self.chunks.len() - 1) * CHUNK + last.len())
    }

    pub fn get(&self, entry: usize) -> Option<&Instance> {
        self.chunks.get(entry / CHUNK)?.get(entry % CHUNK)
    }

    /// Gives the room of the entries before this one back, which are not looked at again.
    pub fn give_back(&mut self, entry: usize) {
        if entry.is_multiple_of(CHUNK) && entry > 0 {
            self.chunks[entry / CHUNK - 1] = Vec::new();
        }
    }

    fn word(&self, word: Word) -> &str {
        self.words.get(usize::from(word)).map_or("", |w| w)
    }

    pub fn zone(&self, instance: &Instance) -> &str {
        self.word(instance.zone)
    }

    pub fn kind(&self, instance: &Instance) -> &str {
        self.word(instance.kind)
    }
}

/// The list would take more room than there is.
#[derive(Debug)]
pub struct TooLarge;

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the list is too large for the memory limit")
    }
}

/// A list that is still coming.
pub struct Builder {
    list: List,
    places: HashMap<Box<str>, Word>,
    left: usize,
    unreadable: usize,
}

impl Builder {
    pub fn new(room: Room) -> Builder {
        Builder { list: List::default(), places: HashMap::new(), left: room.0, unreadable: 0 }
    }

    pub fn add(&mut self, entry: Entry<'_>) -> Result<(), TooLarge> {
        self.list.count += 1;
        let name = entry.name.as_deref().filter(|n| n.len() <= MAX_NAME).map(Name::new);
        let heap = match &name {
            Some(Name::Long(text)) => text.len(),
            _ => 0,
        };
        self.left = self.left.checked_sub(COST + heap).ok_or(TooLarge)?;
        let read = || Some((name?, entry.address?, entry.dest?, entry.condition?));
        let Some((name, address, dest, condition)) = read() else {
            // A list of nothing else must not fill the log.
            if self.unreadable == 0 {
                let (name, number) = (entry.name.as_deref().unwrap_or_default(), self.list.count);
                let name: String = name.chars().take(MAX_NAME).collect();
                tracing::warn!(number, name, "a list entry can't be read");
            }
            self.unreadable += 1;
            return Ok(());
        };
        let (zone, kind) = (self.place(&entry.zone)?, self.place(&entry.kind)?);
        let address = address.into();
        let instance = Instance { name, address, dest, weight: entry.weight, zone, kind, condition };
        match self.list.chunks.last_mut().filter(|chunk| chunk.len() < CHUNK) {
            Some(chunk) => chunk.push(instance),
            None => self.list.chunks.push(vec![instance]),
        }
        Ok(())
    }

    fn place(&mut self, word: &str) -> Result<Word, TooLarge> {
        if let Some(place) = self.places.get(word) {
            return Ok(*place);
        }
        let count = self.list.words.len();
        if count >= WORDS {
            return Ok(NO_WORD);
        }
        self.left = self.left.checked_sub(2 * word.len()).ok_or(TooLarge)?;
        self.places.insert(word.into(), count as Word);
        self.list.words.push(word.into());
        Ok(count as Word)
    }

    pub fn finish(self, generation: u64, reset: bool) -> List {
        if self.unreadable > 1 {
            tracing::warn!(count = self.unreadable, "list entries can't be read");
        }
        List { generation, reset, ..self.list }
    }
}

/// An entry as far as it can be read. Any JSON value gives one; what is missing, or is of another type, stays away.
#[derive(Default)]
pub struct Entry<'a> {
    name: Option<Cow<'a, str>>,
    address: Option<SocketAddr>,
    zone: Cow<'a, str>,
    kind: Cow<'a, str>,
    dest: Option<u64>,
    condition: Option<Condition>,
    weight: f64,
}

impl<'a> Entry<'a> {
    fn set(&mut self, key: &str, value: Scalar<'a>) {
        match key {
            "instanceId" => self.name = value.text(),
            "hostPort" => self.address = value.text().and_then(|at| at.parse().ok()),
            "zone" => self.zone = value.text().unwrap_or_default(),
            "machineType" => self.kind = value.text().unwrap_or_default(),
            "cell" => self.dest = if let Scalar::Whole(number) = value { Some(number) } else { None },
            "lifecycle" => {
                self.condition = value.text().map(|text| match &*text {
                    "Ready" => Condition::Ready,
                    "Gone" => Condition::Gone,
                    // Also what is not known: it gets nothing new.
                    _ => Condition::Draining,
                })
            }
            "weight" => {
                self.weight = match value {
                    Scalar::Whole(n) => n as f64,
                    Scalar::Real(n) => n,
                    _ => 0.0,
                }
            }
            _ => {}
        }
    }
}

/// A value without parts; any other counts as `Other`.
enum Scalar<'a> {
    Text(Cow<'a, str>),
    Whole(u64),
    Real(f64),
    Other,
}

impl<'a> Scalar<'a> {
    fn text(self) -> Option<Cow<'a, str>> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Reads what a visitor is not interested in.
fn pass_seq<'de, A: SeqAccess<'de>>(mut seq: A) -> Result<(), A::Error> {
    while seq.next_element::<Value>()?.is_some() {}
    Ok(())
}

fn pass_map<'de, A: MapAccess<'de>>(mut map: A) -> Result<(), A::Error> {
    while map.next_entry::<String, Value>()?.is_some() {}
    Ok(())
}

/// The visits that give the same for any scalar that is none of interest.
macro_rules! others {
    ($value:expr; $($visit:ident $of:ty),*) => {
        $(fn $visit<E>(self, _: $of) -> Result<Self::Value, E> { Ok($value) })*
        fn visit_unit<E>(self) -> Result<Self::Value, E> { Ok($value) }
    };
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Whole(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Real(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Real(number))
    }

    others!(Scalar::Other; visit_bool bool);

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Scalar<'de>, A::Error> {
        pass_seq(seq).map(|()| Scalar::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Scalar<'de>, A::Error> {
        pass_map(map).map(|()| Scalar::Other)
    }
}

impl<'de> Deserialize<'de> for Scalar<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Scalar<'de>, D::Error> {
        from.deserialize_any(ScalarVisitor)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = Entry<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an entry of a list")
    }

    others!(Entry::default(); visit_bool bool, visit_u64 u64, visit_i64 i64, visit_f64 f64, visit_str &str);

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Entry<'de>, A::Error> {
        pass_seq(seq).map(|()| Entry::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entry<'de>, A::Error> {
        let mut entry = Entry::default();
        while let Some(key) = map.next_key::<Scalar>()? {
            let value = map.next_value()?;
            if let Some(key) = key.text() {
                entry.set(&key, value);
            }
        }
        Ok(entry)
    }
}

impl<'de> Deserialize<'de> for Entry<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Entry<'de>, D::Error> {
        from.deserialize_any(EntryVisitor)
    }
}

/// Reads a list entry by entry, as far as there is room.
pub struct ListSeed(pub Room);

impl<'de> DeserializeSeed<'de> for ListSeed {
    type Value = List;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<List, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ListSeed {
    type Value = List;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of endpoints")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<List, A::Error> {
        let (mut generation, mut reset, mut builder) = (0, false, Builder::new(self.0));
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "generation" => generation = map.next_value()?,
                "reset" => reset = map.next_value()?,
                "instances" => map.next_value_seed(EntriesSeed(&mut builder))?,
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(builder.finish(generation, reset))
    }
}

struct EntriesSeed<'b>(&'b mut Builder);

impl<'de> DeserializeSeed<'de> for EntriesSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the entries of a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while let Some(entry) = seq.next_element::<Entry>()? {
            self.0.add(entry).map_err(A::Error::custom)?;
        }
        Ok(())
    }
}

impl<'de> Deserialize<'de> for List {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<List, D::Error> {
        ListSeed(Room::ALL).deserialize(from)
    }
}
