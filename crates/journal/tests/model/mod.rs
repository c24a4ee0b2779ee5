//! A folder that remembers what was synced, and yields every state that a loss of power could leave.
use journal::storage::Storage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Sectors are written whole or not at all.
pub const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Change {
    /// Bytes of one sector.
    Write(usize, Vec<u8>),
    Truncate(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Pending,
    Safe,
    /// A failed sync has given it up: it may be on the disk, and no sync will say any more.
    Limbo,
}

/// Changes in order, each with what is certain of it: a later one that is safe hides an earlier one that may not be.
#[derive(Clone, Debug)]
struct Log<T>(Vec<(T, State)>);

impl<T> Default for Log<T> {
    fn default() -> Log<T> {
        Log(Vec::new())
    }
}

impl<T> Log<T> {
    fn push(&mut self, change: T) {
        self.0.push((change, State::Pending));
    }

    fn synced(&mut self, state: State) {
        self.0.iter_mut().filter(|(_, s)| *s == State::Pending).for_each(|(_, s)| *s = state);
    }

    fn open(&self) -> usize {
        self.0.iter().filter(|(_, s)| *s != State::Safe).count()
    }

    fn kept<'a>(&'a self, keep: &'a mut impl FnMut() -> bool) -> impl Iterator<Item = &'a T> {
        self.0.iter().filter(|(_, s)| *s == State::Safe || keep()).map(|(change, _)| change)
    }
}

#[derive(Clone, Debug, Default)]
struct Inode {
    /// As processes see it.
    now: Vec<u8>,
    log: Log<Change>,
}

#[derive(Clone, Debug)]
enum Entry {
    Link(String, usize),
    Rename(String, String),
    Remove(String),
}

#[derive(Clone, Default)]
pub struct Disk {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    entries: Log<Entry>,
    pub operations: usize,
    /// The operation with this number fails.
    pub fails: Option<usize>,
    /// All operations fail.
    pub is_dead: bool,
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(at, data) => {
            bytes.resize(bytes.len().max(at + data.len()), 0);
            bytes[*at..at + data.len()].copy_from_slice(data);
        }
        Change::Truncate(length) => bytes.resize(*length, 0),
    }
}

fn apply_entry(names: &mut BTreeMap<String, usize>, entry: &Entry) {
    match entry {
        Entry::Link(name, inode) => _ = names.insert(name.clone(), *inode),
        Entry::Rename(from, to) => {
            if let Some(inode) = names.remove(from) {
                names.insert(to.clone(), inode);
            }
        }
        Entry::Remove(name) => _ = names.remove(name),
    }
}

impl Disk {
    /// What processes find while the power stays on.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        self.names.iter().map(|(name, &inode)| (name.clone(), self.inodes[inode].now.clone())).collect()
    }

    /// How many changes are not safe: each may be lost by itself.
    pub fn open_changes(&self) -> usize {
        self.inodes.iter().map(|i| i.log.open()).sum::<usize>() + self.entries.open()
    }

    /// What is there after a loss of power that has let those changes through which `keep` says.
    pub fn after_power_loss(&self, mut keep: impl FnMut() -> bool) -> BTreeMap<String, Vec<u8>> {
        let mut names = BTreeMap::new();
        self.entries.kept(&mut keep).for_each(|entry| apply_entry(&mut names, entry));
        let mut contents = Vec::new();
        for inode in &self.inodes {
            let mut bytes = Vec::new();
            inode.log.kept(&mut keep).for_each(|change| apply(&mut bytes, change));
            contents.push(bytes);
        }
        names.into_iter().map(|(name, inode)| (name, contents[inode].clone())).collect()
    }

    /// A machine that starts again on these files.
    pub fn with_files(files: BTreeMap<String, Vec<u8>>) -> Disk {
        let mut disk = Disk::default();
        for (name, bytes) in files {
            let inode = disk.inodes.len();
            disk.names.insert(name.clone(), inode);
            disk.entries.push(Entry::Link(name, inode));
            disk.inodes.push(Inode::default());
            disk.change(inode, Change::Write(0, bytes));
            disk.inodes[inode].log.synced(State::Safe);
        }
        disk.entries.synced(State::Safe);
        disk
    }

    fn may_fail(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.is_dead || self.fails == Some(number) {
            true => Err(io::Error::other("injected")),
            false => Ok(()),
        }
    }

    fn change(&mut self, inode: usize, change: Change) {
        apply(&mut self.inodes[inode].now, &change);
        self.inodes[inode].log.push(change);
    }
}

/// A process's handle on the folder.
#[derive(Clone, Default)]
pub struct Folder(pub Rc<RefCell<Disk>>);

impl Storage for Folder {
    type File = usize;

    fn create(&mut self, name: &str) -> io::Result<usize> {
        let mut disk = self.0.borrow_mut();
        disk.may_fail()?;
        let inode = disk.inodes.len();
        disk.inodes.push(Inode::default());
        disk.names.insert(name.to_string(), inode);
        disk.entries.push(Entry::Link(name.to_string(), inode));
        Ok(inode)
    }

    fn write_at(&mut self, file: &usize, bytes: &[u8], at: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let failed = disk.may_fail();
        // A write that fails has written a part.
        let bytes = if failed.is_err() { &bytes[..bytes.len() / 2] } else { bytes };
        let mut at = at as usize;
        let mut rest = bytes;
        while !rest.is_empty() {
            let length = (SECTOR - at % SECTOR).min(rest.len());
            disk.change(*file, Change::Write(at, rest[..length].to_vec()));
            (at, rest) = (at + length, &rest[length..]);
        }
        failed
    }

    fn truncate(&mut self, file: &usize, length: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.may_fail()?;
        disk.change(*file, Change::Truncate(length as usize));
        Ok(())
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let failed = disk.may_fail();
        disk.inodes[*file].log.synced(if failed.is_ok() { State::Safe } else { State::Limbo });
        failed
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.may_fail()?;
        let entry = Entry::Rename(from.to_string(), to.to_string());
        apply_entry(&mut disk.names, &entry);
        disk.entries.push(entry);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.may_fail()?;
        if !disk.names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let entry = Entry::Remove(name.to_string());
        apply_entry(&mut disk.names, &entry);
        disk.entries.push(entry);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let failed = disk.may_fail();
        disk.entries.synced(if failed.is_ok() { State::Safe } else { State::Limbo });
        failed
    }
}

/// Seeded dice, so that a failure can be played again.
pub struct Dice(Pcg32);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg32::seed_from_u64(seed))
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n.max(1))
    }

    pub fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}
