//! Guards the names that leave a process: fields and values on the wire, stored fields, file names, settings, flags,
//! environment variables, metrics and labels. Peers, clients, stored data and operators' tools rely on their spelling.
//!
//! The names of each crate are listed in `tests/external_names`. A name counts as present if the crate's source has it as
//! a string literal, inside a longer literal, or as a field or variant that serde writes under that name. Fields and
//! variants that `borsh` writes have no names in the output; their order is what counts, and is not seen here.
//!
//! `cargo test --test external_names -- --ignored` adds the names of the current source to the lists.
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Word(String),
    Text(String),
    Mark(char),
}

impl Token {
    fn is(&self, mark: char) -> bool {
        *self == Token::Mark(mark)
    }

    fn word(&self) -> Option<&str> {
        match self {
            Token::Word(word) => Some(word),
            _ => None,
        }
    }
}

/// Splits Rust source into words, string literals and punctuation; comments, characters and lifetimes are left out.
fn tokenize(source: &str) -> Vec<Token> {
    let chars: Vec<char> = source.chars().collect();
    let at = |i: usize| chars.get(i).copied().unwrap_or('\0');
    let (mut tokens, mut i) = (Vec::new(), 0);
    while i < chars.len() {
        let c = chars[i];
        if c == '/' && at(i + 1) == '/' {
            while i < chars.len() && chars[i] != '\n' {
                i += 1;
            }
        } else if let Some(hashes) = raw_string_hashes(&chars, i) {
            let start = i + usize::from(c == 'b') + 2 + hashes;
            let mut end = start;
            while !(at(end) == '"' && (1..=hashes).all(|k| at(end + k) == '#')) {
                end += 1;
            }
            tokens.push(Token::Text(chars[start..end].iter().collect()));
            i = end + 1 + hashes;
        } else if c == '"' {
            let (text, end) = read_string(&chars, i + 1);
            tokens.push(Token::Text(text));
            i = end;
        } else if c == '\'' && (at(i + 1) == '\\' || at(i + 2) == '\'') {
            i += if at(i + 1) == '\\' { 3 } else { 2 };
            while at(i) != '\'' {
                i += 1;
            }
            i += 1;
        } else if c.is_alphanumeric() || c == '_' {
            let start = i;
            while at(i).is_alphanumeric() || at(i) == '_' {
                i += 1;
            }
            let word: String = chars[start..i].iter().collect();
            let is_prefix = word == "b" && at(i) == '"';
            if !is_prefix {
                tokens.push(Token::Word(word));
            }
        } else {
            if !c.is_whitespace() {
                tokens.push(Token::Mark(c));
            }
            i += 1;
        }
    }
    tokens
}

/// The number of `#` of a raw string that starts here.
fn raw_string_hashes(chars: &[char], start: usize) -> Option<usize> {
    let follows_word = start > 0 && (chars[start - 1].is_alphanumeric() || chars[start - 1] == '_');
    let prefix = start + usize::from(chars[start] == 'b');
    if follows_word || chars.get(prefix) != Some(&'r') {
        return None;
    }
    let hashes = chars[prefix + 1..].iter().take_while(|c| **c == '#').count();
    (chars.get(prefix + 1 + hashes) == Some(&'"')).then_some(hashes)
}

/// The text of a string literal, and where the source goes on after it.
fn read_string(chars: &[char], start: usize) -> (String, usize) {
    let (mut text, mut i) = (String::new(), start);
    while chars[i] != '"' {
        if chars[i] != '\\' {
            text.push(chars[i]);
            i += 1;
            continue;
        }
        match chars[i + 1] {
            'n' | 'r' | 't' => text.push(' '),
            '\n' => {
                while chars[i + 2].is_whitespace() {
                    i += 1;
                }
            }
            other => text.push(other),
        }
        i += 2;
    }
    (text, i + 1)
}

/// Leaves out modules and items that are compiled for tests alone.
fn without_tests(tokens: &[Token]) -> Vec<Token> {
    let marker = tokenize("#[cfg(test)]");
    let (mut kept, mut i) = (Vec::new(), 0);
    while i < tokens.len() {
        if !tokens[i..].starts_with(&marker) {
            kept.push(tokens[i].clone());
            i += 1;
            continue;
        }
        while !tokens[i].is('{') && !tokens[i].is(';') {
            i += 1;
        }
        i = if tokens[i].is('{') { closing(tokens, i) + 1 } else { i + 1 };
    }
    kept
}

/// The place of the bracket that closes the one at `open`.
fn closing(tokens: &[Token], open: usize) -> usize {
    let mut depth = 0;
    for (i, token) in tokens.iter().enumerate().skip(open) {
        match token {
            Token::Mark('{' | '[' | '(') => depth += 1,
            Token::Mark('}' | ']' | ')') => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return i;
        }
    }
    tokens.len() - 1
}

/// One attribute's tokens between its brackets, and where the source goes on after it.
fn attribute(tokens: &[Token], i: usize) -> Option<(&[Token], usize)> {
    let open = i + 1 + usize::from(tokens.get(i + 1).is_some_and(|t| t.is('!')));
    if !tokens[i].is('#') || !tokens.get(open).is_some_and(|t| t.is('[')) {
        return None;
    }
    let end = closing(tokens, open);
    Some((&tokens[open + 1..end], end + 1))
}

/// The value of `key = "value"` in an attribute.
fn attribute_value(attribute: &[Token], key: &str) -> Option<String> {
    let place = attribute.iter().position(|token| token.word() == Some(key))?;
    match attribute.get(place + 1..place + 3) {
        Some([Token::Mark('='), Token::Text(value)]) => Some(value.clone()),
        _ => None,
    }
}

/// A variant's or field's name as serde writes it.
fn cased(name: &str, style: Option<&str>) -> String {
    let mut words: Vec<String> = Vec::new();
    for c in name.chars() {
        if c == '_' {
            words.push(String::new());
        } else if c.is_uppercase() || words.is_empty() {
            words.push(c.to_lowercase().to_string());
        } else if let Some(last) = words.last_mut() {
            last.push(c);
        }
    }
    match style {
        Some("snake_case") => words.join("_"),
        Some("kebab-case") => words.join("-"),
        Some("lowercase") => name.to_lowercase(),
        Some(other) => panic!("rename_all = {other:?} is not known to this test; add it"),
        None => name.to_string(),
    }
}

/// The names of fields and variants of types that serde reads or writes.
fn serde_names(tokens: &[Token], names: &mut BTreeSet<String>) {
    let mut i = 0;
    while i < tokens.len() {
        let Some((first, _)) = attribute(tokens, i) else {
            i += 1;
            continue;
        };
        let derives = |a: &[Token]| a.iter().any(|t| matches!(t.word(), Some("Serialize" | "Deserialize")));
        let is_serde = first.first().and_then(Token::word) == Some("derive") && derives(first);
        let (mut at, mut style) = (i, None);
        while let Some((inner, next)) = attribute(tokens, at) {
            style = style.or(attribute_value(inner, "rename_all"));
            at = next;
        }
        i += 1;
        if !is_serde {
            continue;
        }
        let kind =
            tokens[at..].iter().position(|t| matches!(t.word(), Some("struct" | "enum"))).unwrap() + at;
        let opens = |t: &Token| t.is('{') || t.is(';') || t.is('(');
        let open = tokens[kind..].iter().position(opens).unwrap() + kind;
        if tokens[open].is('{') {
            let body = &tokens[open + 1..closing(tokens, open)];
            member_names(body, tokens[kind].word() == Some("enum"), style.as_deref(), names);
        }
    }
}

/// The names of the fields or variants between a type's braces.
fn member_names(body: &[Token], is_enum: bool, style: Option<&str>, names: &mut BTreeSet<String>) {
    let mut i = 0;
    while i < body.len() {
        let mut renamed = None;
        while let Some((inner, next)) = attribute(body, i) {
            renamed = renamed.or(attribute_value(inner, "rename"));
            i = next;
        }
        if body.get(i).and_then(Token::word) == Some("pub") {
            i += 1;
            if body[i].is('(') {
                i = closing(body, i) + 1;
            }
        }
        let Some(name) = body.get(i).and_then(Token::word) else { break };
        names.insert(renamed.unwrap_or_else(|| cased(name, style)));
        i += 1;
        if is_enum && body.get(i).is_some_and(|t| t.is('{')) {
            member_names(&body[i + 1..closing(body, i)], false, None, names);
        }
        let mut angles = 0;
        while i < body.len() && !(body[i].is(',') && angles == 0) {
            match body[i] {
                Token::Mark('<') => angles += 1,
                Token::Mark('>') => angles -= 1,
                Token::Mark('{' | '[' | '(') => i = closing(body, i),
                _ => {}
            }
            i += 1;
        }
        i += 1;
    }
}

/// A literal with what `format!` fills in left open: the names of the variables don't leave the process.
fn without_arguments(text: &str) -> String {
    let (mut out, mut rest) = (String::new(), text);
    while let Some(open) = rest.find('{') {
        out.push_str(&rest[..open]);
        rest = &rest[open + 1..];
        if let Some(after) = rest.strip_prefix('{') {
            out.push('{');
            rest = after;
        } else if let Some(end) = rest.find('}') {
            out.push_str("{}");
            rest = &rest[end + 1..];
        }
    }
    out.push_str(rest);
    out.replace("}}", "}")
}

/// The names in a string literal: all of it if it is one word, else the parts that look like a key, flag, path or
/// variable.
fn names_in_text(text: &str, names: &mut BTreeSet<String>) {
    let text = without_arguments(text);
    let is_name = |word: &str| word.chars().any(char::is_alphanumeric);
    if !text.contains(char::is_whitespace) {
        if is_name(&text) {
            names.insert(text);
        }
        return;
    }
    let ends = |c: char| c.is_whitespace() || "\"'`,;()[]{}<>|".contains(c);
    for word in text.split(ends) {
        let word = word.trim_matches(|c: char| ".:!?".contains(c));
        let inner = word.char_indices().skip(1);
        let is_key = word.contains(['_', '=', '/']) || word.starts_with("--");
        let is_mixed =
            inner.clone().any(|(i, c)| c.is_uppercase() && word[..i].ends_with(char::is_lowercase));
        if is_name(word) && (is_key || is_mixed) {
            names.insert(word.to_string());
        }
    }
    let quoted = text.split('"').skip(1).step_by(2);
    names.extend(
        quoted.filter(|word| is_name(word) && !word.contains(char::is_whitespace)).map(str::to_string),
    );
}

/// All names that a source file may let out of the process.
fn external_names(source: &str) -> BTreeSet<String> {
    let tokens = without_tests(&tokenize(source));
    let mut names = BTreeSet::new();
    serde_names(&tokens, &mut names);
    let mut i = 0;
    while i < tokens.len() {
        if let Some((_, next)) = attribute(&tokens, i) {
            i = next;
            continue;
        }
        if let Token::Text(text) = &tokens[i] {
            let reason = |t: &Token| matches!(t.word(), Some("expect" | "panic" | "unreachable"));
            let before = tokens[..i].iter().rev().find(|t| !t.is('(') && !t.is('!'));
            if !before.is_some_and(reason) {
                names_in_text(text, &mut names);
            }
        }
        i += 1;
    }
    names
}

/// The source files below a folder, without those of tests.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && name != "tests" {
            sources(&path, found);
        } else if name.ends_with(".rs") && !name.ends_with("_tests.rs") {
            found.push(path);
        }
    }
}

/// The names of each crate as its source has them now, by the name of its list.
fn current_names() -> BTreeMap<String, BTreeSet<String>> {
    let mut folders = vec![("programs".to_string(), Path::new(ROOT).join("src"))];
    for entry in fs::read_dir(Path::new(ROOT).join("crates")).unwrap() {
        let entry = entry.unwrap();
        folders.push((entry.file_name().into_string().unwrap(), entry.path().join("src")));
    }
    let names_of = |folder: PathBuf| {
        let mut files = Vec::new();
        sources(&folder, &mut files);
        files.iter().flat_map(|file| external_names(&fs::read_to_string(file).unwrap())).collect()
    };
    folders.into_iter().map(|(name, folder)| (name, names_of(folder))).collect()
}

fn list_path(list: &str) -> PathBuf {
    Path::new(ROOT).join("tests/external_names").join(list).with_extension("txt")
}

fn listed_names(list: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(list_path(list)).unwrap_or_default();
    text.lines().filter(|line| !line.is_empty()).map(str::to_string).collect()
}

/// A name that is renamed with an identifier is missed by whoever sent, stored or configured the old one.
#[test]
fn every_listed_name_is_still_in_the_source() {
    let mut missing = Vec::new();
    let mut listed = 0;
    for (list, current) in current_names() {
        let names = listed_names(&list);
        listed += names.len();
        missing.extend(names.difference(&current).map(|name| format!("{list}: {name}")));
    }
    assert!(listed > 0, "the lists in tests/external_names are empty");
    assert!(missing.is_empty(), "names that leave the process are gone:\n{}", missing.join("\n"));
}

/// A test that sees no names would pass whatever is renamed.
#[test]
fn names_are_found_as_literals_fields_and_parts_of_messages() {
    let source = r#"
        // "comment" is no name
        #[derive(Clone, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { FirstSort, #[serde(rename = "other")] Second { inner_field: Vec<(u64, String)>, last: u8 } }
        #[derive(Deserialize)]
        pub struct Record { #[serde(default = "usual")] pub from: u64, until: Map<String, u64> }
        fn show() { write!("plain-name"); format!("store-{disk}.ring"); log!("set MALLOWSTEP_CONFIG or pass --config"); }
        #[cfg(test)]
        mod tests { fn unseen() { call("unseen") } }
    "#;
    let found = external_names(source);
    let expected = [
        "first_sort",
        "other",
        "inner_field",
        "last",
        "from",
        "until",
        "plain-name",
        "store-{}.ring",
        "MALLOWSTEP_CONFIG",
        "--config",
    ];
    assert_eq!(found, expected.map(str::to_string).into());
}

/// Not a check: adds what the current source has to the lists, for names that are new.
#[test]
#[ignore = "writes the lists"]
fn add_new_names_to_the_lists() {
    for (list, mut names) in current_names() {
        names.extend(listed_names(&list));
        let lines: String = names.iter().map(|name| format!("{name}\n")).collect();
        fs::write(list_path(&list), lines).unwrap();
    }
}
