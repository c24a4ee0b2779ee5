//! Everything that a trial saw, in one order and on one clock.
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::path::Path;
use tokio::time::Instant;

/// Microseconds since the trial began.
pub type Us = u64;

pub const SECOND: Us = 1_000_000;
pub const MS: Us = 1_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub at: Us,
    #[serde(flatten)]
    pub what: What,
}

/// What became of a datagram at the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    Passed,
    /// Nothing passes on this link.
    Cut,
    Lost,
    /// Passed more than once.
    Doubled,
    /// Passed with a bit turned over.
    Flipped,
}

/// A fact, by whoever saw it. Senders are numbered; a call is one request at a partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// Clients.
    /// `once`: it must never take effect twice. `window`: it bears a key under which repeats are dropped for so long. The
    /// message is the part of `id` before its point.
    HandedIn {
        id: String,
        sender: usize,
        dest: usize,
        once: bool,
        #[serde(default)]
        window: Option<Us>,
        left: Us,
        aim: Us,
    },
    /// A client heard this status; None: it heard nothing.
    Answered {
        id: String,
        sender: usize,
        status: Option<u16>,
    },
    /// Partners: the last byte of a call has come. `may_have_run`: it was not turned away.
    Called {
        call: u64,
        id: String,
        sender: usize,
        partner: usize,
        may_have_run: bool,
    },
    /// The first bytes of its answer were written to the sender's connection.
    Told {
        call: u64,
        status: u16,
        wait: Option<Us>,
    },
    /// The platform.
    Notice {
        id: String,
        sender: usize,
        outcome: String,
    },
    /// Processes: `life` counts those of one sender.
    Started {
        sender: usize,
        life: u32,
        process: u32,
    },
    Ready {
        sender: usize,
        life: u32,
    },
    Signalled {
        sender: usize,
        life: u32,
        signal: i32,
    },
    /// `faulty`: nobody killed it, and it did not end well.
    Ended {
        sender: usize,
        life: u32,
        faulty: bool,
    },
    /// The folder was lost or put back to what it was then.
    Folder {
        sender: usize,
        as_of: Option<Us>,
    },
    /// A fault begins or ends.
    Fault {
        number: usize,
        name: String,
        senders: Vec<usize>,
        begins: bool,
    },
    /// A control address told this of members: name, life and state. `asked`: when it was asked.
    Members {
        sender: usize,
        asked: Us,
        view: Vec<(String, u64, String)>,
    },
    /// What part of its fleet a sender says that it is in, and how many of those who are expected are present.
    Standing {
        sender: usize,
        asked: Us,
        standing: String,
        present: u64,
        expected: u64,
    },
    /// The fencing token under which a sender says that it holds the duty.
    Duty {
        sender: usize,
        asked: Us,
        held: Option<i64>,
    },
    /// Messages it has on its hands.
    Pending {
        sender: usize,
        count: u64,
    },
    /// The store: a key was put, or (None) is gone.
    Stored {
        key: String,
        value: Option<String>,
        revision: i64,
    },
    Datagram {
        from: usize,
        to: usize,
        fate: Fate,
    },
    /// The operators' tool was told to drain a machine, and ended with this exit code.
    DrainAsked {
        machine: usize,
    },
    DrainEnded {
        machine: usize,
        code: i32,
    },
    DrainCancelled {
        machine: usize,
    },
    /// The rig's own clock came late by so much: the machine is busy.
    Starved {
        by: Us,
    },
    /// A sender's threads waited so long for a core within the last second.
    Waited {
        sender: usize,
        by: Us,
    },
    /// A write of the rig's own to the trial's disk took so long.
    Stalled {
        by: Us,
    },
    /// Clients have stopped, and no fault stands any more.
    Quiet,
    /// The rig did not wait any longer.
    Over,
}

/// Events a trial may have at the most; more is an error of the run.
const ROOM: usize = 4_000_000;

pub struct History {
    start: Instant,
    events: RefCell<Vec<Event>>,
    dropped: Cell<u64>,
}

impl Default for History {
    fn default() -> History {
        History { start: Instant::now(), events: RefCell::default(), dropped: Cell::default() }
    }
}

impl History {
    pub fn now(&self) -> Us {
        self.start.elapsed().as_micros() as Us
    }

    /// What an instant of this machine's clock is on the trial's.
    pub fn at(&self, instant: std::time::Instant) -> Us {
        instant.saturating_duration_since(self.start.into_std()).as_micros() as Us
    }

    pub fn add(&self, what: What) {
        let mut events = self.events.borrow_mut();
        match events.len() < ROOM {
            true => events.push(Event { at: self.now(), what }),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// Events that happened elsewhere, each with its own time, put where they belong.
    pub fn merge(&self, others: Vec<Event>) {
        let mut events = self.events.borrow_mut();
        events.extend(others);
        events.sort_by_key(|e| e.at);
    }

    pub fn with<T>(&self, look: impl FnOnce(&[Event]) -> T) -> T {
        look(&self.events.borrow())
    }

    /// Events that found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// One JSON object a line. Errors are the file's.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for event in self.events.borrow().iter() {
            serde_json::to_writer(&mut file, event)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
