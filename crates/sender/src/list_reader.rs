//! Reads a list of endpoints as it arrives, in pieces of any size, without any I/O: it finds the ends of the values and
//! leaves what is in them to the library. Nothing of a list counts before its end.
use crate::list::{Builder, Entry, List, Room, TooLarge};
use serde::de::{Deserialize, IgnoredAny};
use std::fmt;

/// A value that is larger is passed over: an entry counts as one that can't be read.
const MOST_VALUE: usize = 4 << 10;
/// How deep an entry may be nested: as deep as the library reads it within a whole list.
const MOST_DEPTH: usize = 125;

#[derive(Debug)]
pub enum Error {
    /// Not a list; what is wrong, and up to which byte of it.
    Malformed(String, u64),
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed(why, at) => write!(f, "not a list: {why}, byte {at}"),
            Error::TooLarge => TooLarge.fmt(f),
        }
    }
}

/// What comes next, but for white space.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    Start,
    FirstKey,
    Key,
    Colon,
    Value,
    /// After a value of the list's object.
    Comma,
    FirstEntry,
    Entry,
    EntryComma,
    /// Nothing more.
    End,
}

/// What the value is whose key was read last.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Key {
    Generation,
    Reset,
    Instances,
    Other,
}

/// How a value that is being read ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    Text,
    /// An object or an array.
    Nested,
    /// A number or a word: it ends where something else begins.
    Plain,
}

/// One value that is being read.
struct Piece {
    form: Option<Form>,
    /// Its bytes so far, if it is not too large.
    bytes: Vec<u8>,
    is_too_large: bool,
    depth: usize,
    /// Within a string, and behind a backslash there.
    in_string: bool,
    is_escaped: bool,
}

impl Piece {
    fn begin(&mut self, first: u8) {
        self.form = Some(match first {
            b'"' => Form::Text,
            b'{' | b'[' => Form::Nested,
            _ => Form::Plain,
        });
        self.bytes.clear();
        (self.is_too_large, self.depth) = (false, 0);
        (self.in_string, self.is_escaped) = (false, false);
    }

    /// How many of these bytes belong to the value, and whether it ends with them. The error says what is wrong.
    fn take(&mut self, form: Form, bytes: &[u8]) -> Result<(usize, bool), &'static str> {
        let mut used = bytes.len();
        let mut has_ended = false;
        for (i, &byte) in bytes.iter().enumerate() {
            if self.in_string {
                match byte {
                    _ if self.is_escaped => self.is_escaped = false,
                    b'\\' => self.is_escaped = true,
                    b'"' => self.in_string = false,
                    _ => continue,
                }
                has_ended = !self.in_string && form == Form::Text;
            } else if form == Form::Plain {
                if matches!(byte, b',' | b'}' | b']' | b':' | b'"' | b'{' | b'[') || is_space(byte) {
                    (used, has_ended) = (i, true);
                    break;
                }
            } else {
                match byte {
                    b'"' => self.in_string = true,
                    b'{' | b'[' => self.depth += 1,
                    b'}' | b']' => {
                        self.depth -= 1;
                        has_ended = self.depth == 0;
                    }
                    _ => {}
                }
                if self.depth > MOST_DEPTH {
                    return Err("nested too deep");
                }
            }
            if has_ended {
                used = i + 1;
                break;
            }
        }
        self.is_too_large |= self.bytes.len() + used > MOST_VALUE;
        if !self.is_too_large {
            self.bytes.extend_from_slice(&bytes[..used]);
        }
        Ok((used, has_ended))
    }

    /// None of one that is too large.
    fn read<'a, T: Deserialize<'a>>(&'a self) -> Result<Option<T>, String> {
        if self.is_too_large {
            return Ok(None);
        }
        serde_json::from_slice(&self.bytes).map(Some).map_err(|e| e.to_string())
    }
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\n' | b'\r' | b'\t')
}

pub struct Reader {
    builder: Builder,
    generation: Option<u64>,
    reset: Option<bool>,
    has_instances: bool,
    next: Next,
    key: Key,
    piece: Piece,
    /// Bytes that were read.
    at: u64,
}

impl Reader {
    pub fn new(room: Room) -> Reader {
        let (in_string, is_escaped) = (false, false);
        let piece =
            Piece { form: None, bytes: Vec::new(), is_too_large: false, depth: 0, in_string, is_escaped };
        Reader {
            builder: Builder::new(room),
            generation: None,
            reset: None,
            has_instances: false,
            next: Next::Start,
            key: Key::Other,
            piece,
            at: 0,
        }
    }

    /// Takes the next piece of the text.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), Error> {
        while let Some(&first) = bytes.first() {
            let used = match self.piece.form {
                Some(form) => {
                    let (used, has_ended) = self.piece.take(form, bytes).map_err(|e| self.malformed(e))?;
                    if has_ended {
                        self.piece.form = None;
                        self.value_ended()?;
                    }
                    used
                }
                None if is_space(first) => 1,
                None => self.step(first)?,
            };
            self.at += used as u64;
            bytes = &bytes[used..];
        }
        Ok(())
    }

    /// The list, if all of it has come.
    pub fn finish(self) -> Result<List, Error> {
        if self.next != Next::End {
            return Err(self.malformed("it ends in its middle"));
        }
        Ok(self.builder.finish(self.generation.unwrap_or_default(), self.reset.unwrap_or_default()))
    }

    fn malformed(&self, why: impl Into<String>) -> Error {
        Error::Malformed(why.into(), self.at)
    }

    /// Between values; how many bytes it has taken.
    fn step(&mut self, byte: u8) -> Result<usize, Error> {
        let next = match (self.next, byte) {
            (Next::Start, b'{') => Next::FirstKey,
            (Next::FirstKey | Next::Comma, b'}') => Next::End,
            (Next::Colon, b':') => Next::Value,
            (Next::Comma, b',') => Next::Key,
            (Next::Value, b'[') if self.key == Key::Instances => Next::FirstEntry,
            (Next::FirstEntry | Next::EntryComma, b']') => Next::Comma,
            (Next::EntryComma, b',') => Next::Entry,
            (Next::FirstKey | Next::Key, b'"') => return self.begin(byte),
            (Next::Value, _) if self.key != Key::Instances => return self.begin(byte),
            (Next::FirstEntry | Next::Entry, _) => return self.begin(byte),
            (next, byte) => {
                let found = char::from(byte).escape_default();
                return Err(self.malformed(format!("{found} where {next:?} was to come")));
            }
        };
        self.next = next;
        Ok(1)
    }

    fn begin(&mut self, first: u8) -> Result<usize, Error> {
        // Else nothing would end it.
        if matches!(first, b',' | b'}' | b']' | b':') {
            return Err(self.malformed("a value is missing"));
        }
        self.piece.begin(first);
        Ok(0)
    }

    fn value_ended(&mut self) -> Result<(), Error> {
        let (next, read) = match self.next {
            Next::FirstKey | Next::Key => (Next::Colon, self.read_key()),
            Next::FirstEntry | Next::Entry => {
                // The library would not look at texts that it passes over.
                let read = match std::str::from_utf8(&self.piece.bytes) {
                    Err(e) if !self.piece.is_too_large => Err(e.to_string()),
                    _ => self.piece.read::<Entry>().map(Option::unwrap_or_default),
                };
                let entry = match read {
                    Ok(entry) => entry,
                    Err(why) => return Err(self.malformed(why)),
                };
                self.builder.add(entry).map_err(|TooLarge| Error::TooLarge)?;
                (Next::EntryComma, Ok(()))
            }
            _ => (Next::Comma, self.read_value()),
        };
        read.map_err(|why| self.malformed(why))?;
        self.next = next;
        Ok(())
    }

    fn read_key(&mut self) -> Result<(), String> {
        let name = self.piece.read::<String>()?;
        let (key, is_repeated) = match name.as_deref() {
            Some("generation") => (Key::Generation, self.generation.is_some()),
            Some("reset") => (Key::Reset, self.reset.is_some()),
            Some("instances") => (Key::Instances, std::mem::replace(&mut self.has_instances, true)),
            _ => (Key::Other, false),
        };
        self.key = key;
        match name {
            Some(name) if is_repeated => Err(format!("{name} comes twice")),
            _ => Ok(()),
        }
    }

    fn read_value(&mut self) -> Result<(), String> {
        let long = || "a value is too long".to_string();
        match self.key {
            Key::Generation => self.generation = Some(self.piece.read()?.ok_or_else(long)?),
            Key::Reset => self.reset = Some(self.piece.read()?.ok_or_else(long)?),
            Key::Instances | Key::Other => _ = self.piece.read::<IgnoredAny>()?,
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "list_reader_tests.rs"]
mod tests;
