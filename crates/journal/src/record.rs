//! The records: facts about messages that were taken on.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// A class's rules as the journal keeps them: effect, scope, aim, its stretch, deadline, window, worth, what is left
/// of it at the deadline, whether it is in order, and attempts.
pub type Rules = (u8, u8, i64, f64, i64, i64, f64, f64, bool, u32);

/// A message as it was taken on: all that a call needs after a restart.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Taken {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "u")]
    pub tenant: String,
    #[serde(rename = "d")]
    pub dest: u64,
    #[serde(rename = "m")]
    pub trace: String,
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Deadline, in milliseconds by the clock of the process that wrote it (`Stamp`).
    #[serde(rename = "t")]
    pub end: i64,
    /// What its class asked for when it was taken on; files of before this was kept have none.
    #[serde(rename = "r", default)]
    pub rules: Option<Box<Rules>>,
    #[serde(skip)]
    pub body: Bytes,
}

impl Taken {
    /// Whether it is the same message, handed in again.
    pub fn is_same(&self, other: &Taken) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Begun {
    #[serde(rename = "n")]
    pub number: u32,
    /// In milliseconds by the clock of the process that wrote it.
    #[serde(rename = "t")]
    pub at: i64,
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The endpoint was told that no more than this would be waited for, in milliseconds; None: all that was left.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<u64>,
    #[serde(skip)]
    pub never_ran: bool,
}

#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    #[serde(rename = "g")]
    GivenUp,
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

#[derive(Serialize, Deserialize, Clone, Debug)]
pub enum Record {
    #[serde(rename = "T")]
    Taken(Arc<Taken>),
    #[serde(rename = "B")]
    Begun(u64, Begun),
    /// This attempt is known not to have run.
    #[serde(rename = "N")]
    NeverRan(u64, u32),
    /// Its notice is under way. Written before the notice, so that a message whose client may hand it in
    /// again is not sent by the next process too.
    #[serde(rename = "D")]
    Decided(u64, Ending),
    #[serde(rename = "E")]
    Ended(u64),
    /// Messages of earlier processes that were taken over and have ended here: not to be taken over again.
    #[serde(rename = "S")]
    Seen(Vec<u64>),
    /// The process that came after this one is known, and descriptors are shared with it.
    #[serde(rename = "H")]
    Shared,
    /// Clients can connect to the process that writes this.
    #[serde(rename = "L")]
    Listening,
    /// All is the next process's, but for these attempts that are out and the notices under way.
    #[serde(rename = "Y")]
    Yielded(Vec<(u64, u32)>, Inheritance),
    /// One of these attempts has ended without a delivery.
    #[serde(rename = "R")]
    Released(Release),
    /// What the clocks showed as the records after it were written; part of a group's header in the file.
    #[serde(skip)]
    Stamp(Stamp),
}

impl Record {
    /// For headers: what kind of record it is, and which message it is about.
    pub fn kind(&self) -> (u8, u64) {
        match self {
            Record::Taken(taken) => (b'T', taken.id),
            Record::Begun(id, _) => (b'B', *id),
            Record::NeverRan(id, _) => (b'N', *id),
            Record::Decided(id, _) => (b'D', *id),
            Record::Ended(id) => (b'E', *id),
            Record::Seen(_) => (b'S', 0),
            Record::Shared => (b'H', 0),
            Record::Listening => (b'L', 0),
            Record::Yielded(..) => (b'Y', 0),
            Record::Released(release) => (b'R', release.id),
            Record::Stamp(_) => (b'C', 0),
        }
    }

    /// Whether something is done, or said to others, that must not be done without it. The end of an attempt or of a
    /// message only spares work: without it the next process does more than it need, and nothing twice that may
    /// not be.
    pub fn must_last(&self) -> bool {
        !matches!(self, Record::NeverRan(..) | Record::Ended(_) | Record::Stamp(_))
    }
}

/// What the next process must know as soon as it sends.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Inheritance {
    /// By the names of their endpoints where these are routes apart; what a standing holds is the sender's.
    #[serde(rename = "s")]
    pub standings: Vec<(Option<String>, Value)>,
    /// The list's version, and the endpoints that take nothing new by it: the next process may have an older one
    /// while discovery is silent.
    #[serde(rename = "g")]
    pub generation: u64,
    #[serde(rename = "c")]
    pub closed: Vec<String>,
}

#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Release {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "n")]
    pub attempt: u32,
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The outcome's name.
    #[serde(rename = "o")]
    pub outcome: String,
    #[serde(rename = "t")]
    pub took: i64,
    #[serde(rename = "w")]
    pub wait: i64,
}

impl Release {
    /// Outcomes that prove that the attempt had no effect, by the names that the sender gives them.
    pub const NEVER_RAN: [&str; 4] = ["TurnedAway", "NoConnection", "Crowded", "NotSent"];

    pub fn never_ran(&self) -> bool {
        Release::NEVER_RAN.contains(&self.outcome.as_str())
    }
}

/// What a process's own clock and the wall clock showed at one moment, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    pub own: i64,
    pub wall: i64,
}
