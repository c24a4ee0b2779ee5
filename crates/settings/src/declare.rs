//! The macro that declares settings, and what it reads them with.
use serde_json::Value;
use std::fmt;

/// One thing that is wrong with a text of settings, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where it stands, as `Routes[2].TimeoutMs`.
    pub path: String,
    /// What is wrong, and how it is put right.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All that is wrong with a text of settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Notes one fault.
    pub fn add(&mut self, path: &str, message: impl Into<String>) {
        self.0.push(Fault { path: path.to_string(), message: message.into() });
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A type that can be read from a value of JSON or YAML.
pub trait Readable: Sized {
    /// Reads it; what is wrong is added to `faults`.
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self>;
}

impl Readable for String {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        let text = value.as_str().map(str::to_string);
        if text.is_none() {
            faults.add(path, "is not a text; put it in quotes");
        }
        text
    }
}

impl Readable for bool {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        if value.as_bool().is_none() {
            faults.add(path, "is neither true nor false; write one of them");
        }
        value.as_bool()
    }
}

impl Readable for f64 {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        if value.as_f64().is_none() {
            faults.add(path, "is not a number; write it without quotes");
        }
        value.as_f64()
    }
}

impl Readable for u64 {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        let number =
            value.as_u64().or_else(|| value.as_f64().filter(|n| *n >= 0.0).map(|n| n.round() as u64));
        if number.is_none() {
            faults.add(path, "is not a number from 0 up; write one");
        }
        number
    }
}

impl<T: Readable> Readable for Option<T> {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        if value.is_null() {
            return Some(None);
        }
        T::read(value, path, faults).map(Some)
    }
}

impl<T: Readable> Readable for Vec<T> {
    fn read(value: &Value, path: &str, faults: &mut Faults) -> Option<Self> {
        let Some(items) = value.as_array() else {
            faults.add(path, "is not a list; write one, or leave it out");
            return None;
        };
        let read = |(i, item)| T::read(item, &format!("{path}[{i}]"), faults);
        let items: Vec<Option<T>> = items.iter().enumerate().map(read).collect();
        items.into_iter().collect()
    }
}

/// The path of a setting below another.
pub fn below(path: &str, key: &str) -> String {
    match path {
        "" => key.to_string(),
        _ => format!("{path}.{key}"),
    }
}

/// Reads one setting: the default where it is missing, and its check where it is there.
pub fn setting<T: Readable>(
    object: &Value,
    path: &str,
    key: &str,
    default: Option<T>,
    check: fn(&T) -> Result<(), &'static str>,
    faults: &mut Faults,
) -> Option<T> {
    let path = below(path, key);
    match object.get(key) {
        None if default.is_some() => default,
        None => {
            faults.add(&path, "is missing; add it");
            None
        }
        Some(value) => {
            let read = T::read(value, &path, faults)?;
            if let Err(message) = check(&read) {
                faults.add(&path, message);
                return None;
            }
            Some(read)
        }
    }
}

/// The check of a setting that may hold anything of its type.
pub fn any<T>(_: &T) -> Result<(), &'static str> {
    Ok(())
}

/// The check of a number that must be above 0.
pub fn above_zero(number: &u64) -> Result<(), &'static str> {
    match number {
        0 => Err("is 0; give a number above 0"),
        _ => Ok(()),
    }
}

/// The check of a figure that must not be below 0.
pub fn not_negative(number: &f64) -> Result<(), &'static str> {
    match *number >= 0.0 {
        true => Ok(()),
        false => Err("is below 0; give 0 or more"),
    }
}

/// The check of a name.
pub fn not_empty(text: &str) -> Result<(), &'static str> {
    match text.is_empty() {
        true => Err("is empty; give a name"),
        false => Ok(()),
    }
}

/// Declares a record of settings: for each the key, the field, the type, the default in brackets (`[]` where the
/// setting must be given) and the check.
#[macro_export]
macro_rules! declare {
    ($(#[$meta:meta])* pub struct $name:ident {
        $($(#[$field_meta:meta])* $key:literal $field:ident : $type:ty = [$($default:expr)?], $check:expr;)*
    }) => {
        $(#[$meta])*
        pub struct $name { $($(#[$field_meta])* pub $field: $type,)* }

        impl $crate::declare::Readable for $name {
            fn read(
                value: &serde_json::Value,
                path: &str,
                faults: &mut $crate::declare::Faults,
            ) -> Option<Self> {
                if !value.is_object() {
                    faults.add(path, "is not a record of settings; write keys with values");
                    return None;
                }
                $(
                    #[allow(unused_mut, unused_assignments)]
                    let mut default: Option<$type> = None;
                    $(default = Some($default);)?
                    let check = |value: &$type| $check(value);
                    let $field = $crate::declare::setting(value, path, $key, default, check, faults);
                )*
                Some($name { $($field: $field?,)* })
            }
        }
    };
}
