//! Lists in pieces against the library's reading of the whole.
use super::*;
use policy::api::Condition;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;

/// A list as plain data: version, whether it is whole, and its entries.
type Plain = (u64, bool, Vec<(String, String, String, String, u64, Condition, f64)>);

fn plain(list: &List) -> Plain {
    let entry = |i: &crate::list::Instance| {
        let (zone, kind) = (list.zone(i).to_string(), list.kind(i).to_string());
        let (name, at) = (i.name.as_str().to_string(), i.address.get().to_string());
        (name, at, zone, kind, i.dest, i.condition, i.weight)
    };
    (list.generation, list.reset, (0..list.len()).filter_map(|n| list.get(n)).map(entry).collect())
}

/// The whole text by the library, each entry as a tree.
fn expected(text: &[u8]) -> Option<Plain> {
    #[derive(serde::Deserialize)]
    struct Whole {
        #[serde(default)]
        generation: u64,
        #[serde(default)]
        reset: bool,
        #[serde(default)]
        instances: Vec<Value>,
    }
    let whole: Whole = serde_json::from_slice(text).ok()?;
    let entry = |v: &Value| {
        let text = |key: &str| v.get(key).and_then(Value::as_str);
        let name = text("instanceId").filter(|n| n.len() <= crate::wire::MAX_NAME)?.to_string();
        let at: std::net::SocketAddr = text("hostPort")?.parse().ok()?;
        let (zone, kind) = (text("zone").unwrap_or_default(), text("machineType").unwrap_or_default());
        let condition = match text("lifecycle")? {
            "Ready" => Condition::Ready,
            "Gone" => Condition::Gone,
            _ => Condition::Draining,
        };
        let weight = v.get("weight").and_then(Value::as_f64).unwrap_or(0.0);
        let dest = v.get("cell")?.as_u64()?;
        Some((name, at.to_string(), zone.to_string(), kind.to_string(), dest, condition, weight))
    };
    Some((whole.generation, whole.reset, whole.instances.iter().filter_map(entry).collect()))
}

fn read(pieces: &[&[u8]]) -> Result<Plain, Error> {
    let mut reader = Reader::new(Room::ALL);
    pieces.iter().try_for_each(|piece| reader.feed(piece))?;
    Ok(plain(&reader.finish()?))
}

/// Texts as agents may write them.
struct Writer(Pcg32);

impl Writer {
    fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n)
    }

    fn pick(&mut self, from: &[&str]) -> String {
        from[self.below(from.len())].to_string()
    }

    fn space(&mut self) -> String {
        self.pick(&["", "", "", " ", "\n\t", "\r\n    "])
    }

    fn text(&mut self) -> String {
        let length = self.below(4) * self.below(30);
        let bits = ["a", "7", "\\\"", "\\\\", "\\u00e9", "\\ud83d\\ude00", "ü", "{", "]", ",", ":", "\\n"];
        (0..length).map(|_| self.pick(&bits)).collect()
    }

    fn value(&mut self, depth: usize) -> String {
        let space = self.space();
        match self.below(if depth > 4 { 6 } else { 8 }) {
            0 => format!("\"{}\"", self.text()),
            1 => self.pick(&["0", "-1", "17", "2.5", "-0.0", "1e3", "18446744073709551615", "1E-2"]),
            2 => self.pick(&["true", "false", "null"]),
            3 => self.pick(&["\"10.0.0.1:80\"", "\"[::1]:9\"", "\"10.0.0.1\"", "\"Ready\"", "\"Gone\""]),
            4 | 5 => self.pick(&["{}", "[]", "[ ]", "{ }", "\"\""]),
            6 => format!("[{space}{},{}{space}]", self.value(depth + 1), self.value(depth + 1)),
            _ => format!("{{{space}\"{}\":{space}{}}}", self.text(), self.value(depth + 1)),
        }
    }

    /// What a key has mostly, and now and then anything.
    fn mostly(&mut self, usual: String) -> String {
        if self.below(12) == 0 {
            self.value(0)
        } else {
            usual
        }
    }

    fn entry(&mut self) -> String {
        if self.below(15) == 0 {
            return self.value(0);
        }
        let number = self.below(1_000);
        let long = "n".repeat(self.below(70));
        let name = self.pick(&[&format!("s-{number}"), &format!("é\\t-{number}"), &long]);
        let at = self.pick(&[&format!("10.1.2.3:{number}"), &format!("[2001:db8::{number}]:80"), "x"]);
        let lifecycle = self.pick(&["Ready", "Ready", "Terminating", "Gone", "Else", ""]);
        let zone = self.pick(&["a", "b", "", "\\u0061"]);
        let rows = [
            ("instanceId", format!("\"{name}\"")),
            ("hostPort", format!("\"{at}\"")),
            ("zone", format!("\"{zone}\"")),
            ("machineType", "\"m2\"".to_string()),
            ("cell", number.to_string()),
            ("lifecycle", format!("\"{lifecycle}\"")),
            ("weight", format!("{number}.5")),
            ("startedAtMs", "0".to_string()),
        ];
        let mut pairs: Vec<(String, String)> = Vec::new();
        for (key, usual) in rows {
            let value = self.mostly(usual);
            let at = self.below(pairs.len() + 1);
            match self.below(20) {
                0 => {}
                1 => (0..2).for_each(|_| pairs.push((key.to_string(), value.clone()))),
                _ => pairs.insert(at, (key.to_string(), value)),
            }
        }
        self.object(pairs)
    }

    fn object(&mut self, pairs: Vec<(String, String)>) -> String {
        let rows: Vec<String> = pairs
            .into_iter()
            .map(|(key, value)| {
                let (a, b, c, d) = (self.space(), self.space(), self.space(), self.space());
                format!("{a}\"{key}\"{b}:{c}{value}{d}")
            })
            .collect();
        format!("{{{}{}}}", rows.join(","), self.space())
    }

    fn list(&mut self) -> String {
        let count = self.below(6);
        let entries: Vec<String> = (0..count)
            .map(|_| {
                let (a, b) = (self.space(), self.space());
                format!("{a}{}{b}", self.entry())
            })
            .collect();
        let rows = [
            ("generation", self.below(100).to_string()),
            ("reset", self.pick(&["true", "false"])),
            ("instances", format!("[{}]", entries.join(","))),
            ("more", self.value(0)),
        ];
        let mut pairs: Vec<(String, String)> = Vec::new();
        for (key, usual) in rows {
            let value = self.mostly(usual);
            let at = self.below(pairs.len() + 1);
            if self.below(10) > 0 {
                pairs.insert(at, (key.to_string(), value));
            }
        }
        let (before, behind) = (self.space(), self.space());
        format!("{before}{}{behind}", self.object(pairs))
    }

    /// The same in pieces of any size, empty ones too.
    fn cut<'a>(&mut self, mut text: &'a [u8]) -> Vec<&'a [u8]> {
        let most = 1 + self.below(40);
        let mut pieces = Vec::new();
        while !text.is_empty() {
            let (piece, rest) = text.split_at(self.below(most + 1).min(text.len()));
            pieces.push(piece);
            text = rest;
        }
        pieces
    }
}

fn check(seed: u64, writer: &mut Writer, text: &[u8]) -> bool {
    let pieces = writer.cut(text);
    let (got, wanted) = (read(&pieces), expected(text));
    let shown = String::from_utf8_lossy(text);
    match (&got, &wanted) {
        (Ok(got), Some(wanted)) => assert_eq!(got, wanted, "seed {seed}: {shown}"),
        (Err(_), None) => {}
        _ => panic!("seed {seed}: {got:?} instead of {wanted:?}: {shown}"),
    }
    wanted.is_some_and(|list| !list.2.is_empty())
}

#[test]
fn a_list_in_any_pieces_gives_what_the_library_reads_of_the_whole() {
    let full = (0..4_000u64).filter(|&seed| {
        let mut writer = Writer(Pcg32::seed_from_u64(seed));
        let text = writer.list();
        check(seed, &mut writer, text.as_bytes())
    });
    let full = full.count();
    assert!(full > 1_500, "only {full} of the lists have entries");
}

#[test]
fn a_spoilt_list_is_turned_down_wherever_the_library_turns_it_down() {
    for seed in 0..6_000u64 {
        let mut writer = Writer(Pcg32::seed_from_u64(seed));
        let mut text = writer.list().into_bytes();
        for _ in 0..1 + writer.below(2) {
            let at = writer.below(text.len());
            match writer.below(4) {
                0 => text.truncate(at),
                1 => _ = text.remove(at),
                2 => text.insert(at, b"{}[]\",:\\ 1a\xff\x00"[writer.below(13)]),
                _ => text[at] = b"{}[]\",:\\ 1a\xff\x00"[writer.below(13)],
            }
            if text.is_empty() {
                break;
            }
        }
        check(seed, &mut writer, &text);
    }
}

fn entry(number: usize) -> String {
    format!(
        r#"{{"instanceId":"s-{number}","hostPort":"10.0.0.1:{number}","cell":{number},"lifecycle":"Ready"}}"#
    )
}

#[test]
fn an_entry_that_is_too_long_or_none_costs_no_other() {
    let long = format!(r#"{{"instanceId":"s-2","more":"{}"}}"#, "x".repeat(MOST_VALUE));
    let text = format!(r#"{{"instances":[{},{long},7,{}],"generation":9,"reset":true}}"#, entry(1), entry(3));
    for size in [1, 64, 1 << 20] {
        let (generation, reset, entries) = read(&text.as_bytes().chunks(size).collect::<Vec<_>>()).unwrap();
        let names: Vec<&str> = entries.iter().map(|e| e.0.as_str()).collect();
        assert_eq!((generation, reset, names), (9, true, vec!["s-1", "s-3"]));
    }
}

#[test]
fn the_room_bounds_the_list_and_the_depth_bounds_an_entry() {
    let list = |n| format!(r#"{{"instances":[{}]}}"#, (0..n).map(entry).collect::<Vec<_>>().join(","));
    // 0.01 MB: 6,000 bytes, 23 entries.
    let take = |n| {
        let mut reader = Reader::new(Room::of(0.01));
        reader.feed(list(n).as_bytes()).and_then(|()| reader.finish())
    };
    assert_eq!(take(23).unwrap().len(), 23);
    assert!(matches!(take(24), Err(Error::TooLarge)));
    let nested = |n: usize| format!(r#"{{"instances":[{}{}]}}"#, "[".repeat(n), "]".repeat(n));
    for (depth, reads) in [(125, true), (126, false), (100_000, false)] {
        let text = nested(depth);
        assert_eq!(read(&[text.as_bytes()]).is_ok(), reads, "{depth}");
        assert_eq!(expected(text.as_bytes()).is_some(), reads, "{depth}");
    }
}

#[test]
fn a_list_that_ends_in_its_middle_is_none() {
    let text = format!(r#"{{"generation":4,"reset":true,"instances":[{}]}}"#, entry(1));
    for end in 0..text.len() {
        assert!(read(&[&text.as_bytes()[..end]]).is_err(), "{end}");
    }
    assert!(read(&[text.as_bytes()]).is_ok());
}
