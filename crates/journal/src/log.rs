//! The one file of a process: written a group at a time, rewritten with what still lives once it would pass its bound.
use crate::format::{encode_groups, PER_GROUP};
use crate::ledger::{claim, growth, Ledger};
use crate::record::{Record, Stamp, Taken};
use crate::storage::Storage;
use std::io;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Durability {
    /// What is written outlasts the process.
    #[default]
    Process,
    /// What must last is on stable storage before anything is done on it.
    Power,
}

/// Why records are not held.
#[derive(Debug)]
pub enum Fault {
    /// None of them will be found.
    Clean(io::Error),
    /// Any of them may be found by the next process. Nothing more is written until the file is replaced.
    Unknown(io::Error),
}

impl Fault {
    pub fn error(&self) -> &io::Error {
        match self {
            Fault::Clean(error) | Fault::Unknown(error) => error,
        }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Clean(error) => write!(f, "{error}"),
            Fault::Unknown(error) => write!(f, "{error}; what was written last may be there or not"),
        }
    }
}

fn full(what: &str) -> Fault {
    Fault::Clean(io::Error::new(io::ErrorKind::StorageFull, what))
}

/// Names of the file and of its rewrite.
#[derive(Clone, Debug)]
pub struct Names {
    pub file: String,
    pub rewrite: String,
}

pub struct Journal<S: Storage> {
    storage: S,
    names: Names,
    durability: Durability,
    file: S::File,
    nonce: u64,
    /// Of the next group.
    group: u64,
    size: u64,
    /// All files together stay under this.
    disk: u64,
    /// What other processes' files hold now.
    others: u64,
    ledger: Ledger,
    /// What is in the file since it was last certain.
    is_uncertain: bool,
    pub figures: Figures,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub writes: u64,
    pub syncs: u64,
    pub rewrites: u64,
    pub faults: u64,
}

/// Part of the bound that messages may claim as they are taken on. What is left is for further attempts: most
/// messages need none, and room kept for all that each may have would turn away as many as it lets in.
const TAKE_ON: f64 = 0.8;

impl<S: Storage> Journal<S> {
    /// A new file of the process with this number. `nonce`: any number that clients don't know.
    pub fn create(
        mut storage: S,
        names: Names,
        number: u64,
        disk_mb: f64,
        durability: Durability,
        nonce: u64,
        stamp: Stamp,
    ) -> io::Result<Journal<S>> {
        let file = storage.create(&names.file)?;
        // Files count in whole blocks; a part stays free for that and for the folder itself.
        let disk = (disk_mb * 1e6 * 0.94) as u64;
        let mut group = 0;
        let mut bytes = Vec::new();
        encode_groups(&[], nonce, &mut group, stamp, &mut bytes);
        storage.write_at(&file, &bytes, 0)?;
        if durability == Durability::Power {
            storage.sync(&file)?;
            storage.sync_folder()?;
        }
        let size = bytes.len() as u64;
        let (others, ledger) = (0, Ledger::new(number));
        let figures = Figures::default();
        let is_uncertain = false;
        Ok(Journal {
            storage,
            names,
            durability,
            file,
            nonce,
            group,
            size,
            disk,
            others,
            ledger,
            is_uncertain,
            figures,
        })
    }

    /// What the file may grow to: as much again must be free for it to be rewritten.
    fn bound(&self) -> u64 {
        ((self.disk.saturating_sub(self.others) / 2 / 512).saturating_sub(4) * 512).saturating_sub(PER_GROUP)
    }

    pub fn durability(&self) -> Durability {
        self.durability
    }

    pub fn size(&self) -> u64 {
        self.size
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether nothing is written until the file is replaced.
    pub fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    pub fn set_others(&mut self, bytes: u64) {
        self.others = bytes;
    }

    /// The files of others that it has taken messages over from are gone.
    pub fn forget_seen(&mut self) {
        self.ledger.seen.clear();
    }

    pub fn has_seen(&self, id: u64) -> bool {
        self.ledger.live.contains_key(&id) || self.ledger.seen.contains(&id)
    }

    /// Whether there is room for one more besides `waiting` bytes that were promised in this round.
    pub fn has_room(&self, taken: &Taken, waiting: u64) -> Option<u64> {
        let claim = claim(taken);
        let most = (self.bound() as f64 * TAKE_ON) as u64;
        let fits = self.ledger.claimed + waiting + claim <= most && !self.is_uncertain;
        fits.then_some(claim)
    }

    /// Writes down what was another process's: it takes no more than it took there, so it needs no claim.
    pub fn take_over(&mut self, records: &[Record], stamp: Stamp) -> Result<(), Fault> {
        self.append(records, stamp, self.disk.saturating_sub(self.others))
    }

    /// The last record but for those of what is out. The file is rewritten before, as it only grows after it.
    pub fn give_over(&mut self, record: Record, stamp: Stamp) -> Result<(), Fault> {
        self.rewrite(stamp)?;
        self.append(&[record], stamp, self.bound())
    }

    /// Writes the records of a round at once. If that fails nothing of them holds, or (`Unknown`) nobody can tell.
    pub fn write(&mut self, records: &[Record], stamp: Stamp) -> Result<(), Fault> {
        // What is claimed always fits: an end that could not be written down would be undone by a restart.
        let growth: u64 = records.iter().map(growth).sum();
        let bound = self.bound();
        if growth > 0 && self.ledger.claimed + growth > bound {
            return Err(full("no room for further attempts"));
        }
        // Once it has yielded, the next process follows the file: it only grows.
        let most = if self.ledger.out.is_some() { self.disk.saturating_sub(self.others) } else { bound };
        self.append(records, stamp, most)
    }

    fn append(&mut self, records: &[Record], stamp: Stamp, bound: u64) -> Result<(), Fault> {
        if self.is_uncertain {
            return Err(Fault::Clean(io::Error::other("the file has failed and is not replaced yet")));
        }
        let mut group = self.group;
        let mut bytes = Vec::new();
        encode_groups(records, self.nonce, &mut group, stamp, &mut bytes);
        let length = bytes.len() as u64;
        if self.size + length > bound && self.ledger.out.is_none() {
            self.rewrite(stamp)?;
            group = self.group;
            bytes.clear();
            encode_groups(records, self.nonce, &mut group, stamp, &mut bytes);
        }
        if self.size + length > bound {
            return Err(full("the journal is full"));
        }
        self.figures.writes += 1;
        if let Err(error) = self.storage.write_at(&self.file, &bytes, self.size) {
            return Err(match self.storage.truncate(&self.file, self.size) {
                Ok(()) => self.failed(Fault::Clean(error)),
                Err(_) => self.failed(Fault::Unknown(error)),
            });
        }
        if self.durability == Durability::Power && records.iter().any(Record::must_last) {
            self.figures.syncs += 1;
            // What a failed sync covered is unknown, and the next one would say yes to it.
            if let Err(error) = self.storage.sync(&self.file) {
                return Err(self.failed(Fault::Unknown(error)));
            }
        }
        (self.size, self.group) = (self.size + length, group);
        records.iter().for_each(|r| self.ledger.note(r));
        Ok(())
    }

    fn failed(&mut self, fault: Fault) -> Fault {
        self.figures.faults += 1;
        self.is_uncertain |= matches!(fault, Fault::Unknown(_));
        fault
    }

    /// Puts a new file in place of one that has failed. Only what was certain is in it.
    pub fn renew(&mut self, stamp: Stamp) -> Result<(), Fault> {
        if !self.is_uncertain {
            return Ok(());
        }
        self.rewrite(stamp)?;
        self.is_uncertain = false;
        Ok(())
    }

    /// Rewrites the file with what still lives.
    fn rewrite(&mut self, stamp: Stamp) -> Result<(), Fault> {
        self.figures.rewrites += 1;
        let mut group = 0;
        let mut bytes = Vec::new();
        let mut records = self.ledger.records();
        if let Some(out) = &self.ledger.out {
            let out = out.iter().copied().collect();
            records.push(Record::Yielded(out, self.ledger.inheritance.clone()));
            records.extend(self.ledger.releases.iter().cloned().map(Record::Released));
        }
        encode_groups(&records, self.nonce, &mut group, stamp, &mut bytes);
        let power = self.durability == Durability::Power;
        let written = self.storage.create(&self.names.rewrite).and_then(|file| {
            self.storage.write_at(&file, &bytes, 0)?;
            if power {
                self.storage.sync(&file)?;
            }
            Ok(file)
        });
        let file = match written {
            Ok(file) => file,
            Err(error) => {
                let _ = self.storage.remove(&self.names.rewrite);
                return Err(self.failed(Fault::Clean(error)));
            }
        };
        // Where it fails it may be done all the same, and what is written next would go to a file without a name.
        if let Err(error) = self.storage.rename(&self.names.rewrite, &self.names.file) {
            return Err(self.failed(Fault::Unknown(error)));
        }
        (self.file, self.size, self.group) = (file, bytes.len() as u64, group);
        if power {
            // Which of the two files a loss of power leaves is not known before this.
            if let Err(error) = self.storage.sync_folder() {
                return Err(self.failed(Fault::Unknown(error)));
            }
        }
        Ok(())
    }

    /// Deletes files that were taken over, in this order. Only after it their messages need not be known any more.
    pub fn discard(&mut self, names: &[String]) -> io::Result<()> {
        for name in names {
            match self.storage.remove(name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        if self.durability == Durability::Power {
            self.storage.sync_folder()?;
        }
        Ok(())
    }
}
