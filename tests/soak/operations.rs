//! Operations: requests of one tenant with one `X-Operation-Key`, of which one alone may run.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A second request of an operation that comes within this after the first is the same message (`KeyWindowS`).
pub const KEY_WINDOW: Duration = Duration::from_secs(60);

/// An operation by its tenant and its key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    tenant: String,
    key: String,
}

/// One request of an operation.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    sent: Instant,
    has_begun: bool,
    /// A client was told that this is the message.
    is_accepted: bool,
}

/// What a 202 means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The request itself is the message.
    Itself,
    /// An earlier one of its operation is.
    RepeatOf(String),
}

/// All operations of a run.
#[derive(Default)]
pub struct Operations {
    operations: BTreeMap<Name, Vec<Attempt>>,
    names: BTreeMap<String, Name>,
}

impl Operations {
    /// A request of an operation is sent.
    pub fn sent(&mut self, tenant: &str, key: &str, id: &str) {
        let name = Name { tenant: tenant.to_string(), key: key.to_string() };
        let attempt =
            Attempt { id: id.to_string(), sent: Instant::now(), has_begun: false, is_accepted: false };
        self.operations.entry(name.clone()).or_default().push(attempt);
        self.names.insert(id.to_string(), name);
    }

    fn attempts(&mut self, id: &str) -> Option<&mut Vec<Attempt>> {
        self.operations.get_mut(self.names.get(id)?)
    }

    /// The request that was accepted for the operation of another one, which was sent later and within the window.
    fn accepted_before(&mut self, id: &str) -> Option<Attempt> {
        let attempts = self.attempts(id)?;
        let own = attempts.iter().find(|attempt| attempt.id == id)?.clone();
        let known = |other: &&Attempt| {
            other.is_accepted && other.id != id && own.sent.duration_since(other.sent) < KEY_WINDOW
        };
        attempts.iter().find(known).cloned()
    }

    /// A request is answered with 202, and this name of the message; what it means, or which rule it breaks.
    pub fn accepted(&mut self, id: &str, named: &str) -> Result<Meaning, String> {
        let first = self.accepted_before(id).map(|attempt| attempt.id);
        if let Some(first) = first.filter(|first| first != named) {
            return Err(format!(
                "TWICE: {id} is told to be {named}, though {first} of its operation was accepted"
            ));
        }
        let attempts = self.attempts(id);
        let attempt = attempts.and_then(|all| all.iter_mut().find(|attempt| attempt.id == named));
        match attempt {
            Some(attempt) => attempt.is_accepted = true,
            None if id != named => {
                return Err(format!("MIXED: {id} is told to be {named}, of no operation of its"))
            }
            None => {}
        }
        Ok(if id == named { Meaning::Itself } else { Meaning::RepeatOf(named.to_string()) })
    }

    /// A request is answered so that its message isn't taken for its tenant's limit or key; the rule that is broken.
    pub fn denied(&mut self, id: &str, status: u16) -> Option<String> {
        let first = self.accepted_before(id)?;
        Some(format!("TWICE: {id} is answered {status}, though {} of its operation was accepted", first.id))
    }

    /// An endpoint begins with a message; the rule that is broken.
    pub fn begun(&mut self, id: &str) -> Option<String> {
        let attempts = self.attempts(id)?;
        let own = attempts.iter_mut().find(|attempt| attempt.id == id)?;
        own.has_begun = true;
        let sent = own.sent;
        let is_other = |other: &&Attempt| {
            let apart = other.sent.max(sent).duration_since(other.sent.min(sent));
            other.id != id && other.has_begun && apart < KEY_WINDOW
        };
        let other = attempts.iter().find(is_other)?;
        Some(format!("TWICE: {id} runs, and {} of its operation has", other.id))
    }

    pub fn summary(&self) -> String {
        let repeated = self.operations.values().filter(|attempts| attempts.len() > 1).count();
        format!("{} operations, {repeated} sent more than once", self.operations.len())
    }
}
