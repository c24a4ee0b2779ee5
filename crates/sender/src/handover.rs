//! `$EDGE_STATE` with several processes of one sender in it: who owns what, and what passes from one to the next.
//!
//! Process N keeps `journal.N` and holds a lock on `owner.N`, which the kernel lets go when it dies. Only then is the
//! file taken over and deleted. A process that lives is followed by reading its file; nobody writes another's.
use crate::disk::sync_folder;
use crate::drain::Evacuation;
use crate::inbox::{Elsewhere, Input};
use crate::memory::{self, Budget};
use journal::{decode, Durability, Ledger, Left, Live, Names, Release, Whole};
use machine::Machine;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, Instant};

/// How often the folder is looked at: while another process is there, and else.
const FOLLOW: Duration = Duration::from_millis(15);
const LOOK: Duration = Duration::from_millis(100);
/// Messages that are taken over in one write.
const AT_ONCE: usize = 64;
const JOURNAL: &str = "journal";
const OWNER: &str = "owner";
/// Says that its process sends its clients away.
const DRAIN: &str = "drain";
/// A lock file before it has its number.
const UNNUMBERED: &str = "owner.new";

/// Numbers of ended processes, in order, with their locks.
pub type Dead = Vec<(u64, File)>;

/// The folder, and this process's number in it.
pub struct Folder {
    machine: Rc<dyn Machine>,
    path: PathBuf,
    pub own: u64,
    /// What is deleted must be gone for good before its messages are forgotten.
    lasts: bool,
    /// Something was deleted since that was made sure of.
    is_open: Cell<bool>,
    /// Held as long as the process lives.
    _lock: File,
}

impl Folder {
    /// Takes the next number. The lock is held before its name is there, so nobody finds it without its owner.
    pub fn enter(machine: Rc<dyn Machine>, path: &Path, durability: Durability) -> io::Result<Folder> {
        for stale in fs::read_dir(path)?.flatten() {
            let unnumbered = stale.file_name().to_string_lossy().starts_with(UNNUMBERED);
            if unnumbered && File::open(stale.path()).is_ok_and(|lock| lock.try_lock().is_ok()) {
                fs::remove_file(stale.path())?;
            }
        }
        let unnumbered = path.join(format!("{UNNUMBERED}.{}", std::process::id()));
        let lock = File::create(&unnumbered)?;
        lock.try_lock()?;
        let mut own = numbers(path, &[JOURNAL, OWNER]).last().map_or(1, |last| last + 1);
        while let Err(error) = fs::hard_link(&unnumbered, owner(path, own)) {
            if error.kind() != io::ErrorKind::AlreadyExists {
                return Err(error);
            }
            own += 1;
        }
        fs::remove_file(&unnumbered)?;
        // Left so that the number was not used again; this one is higher.
        for number in numbers(path, &[OWNER]).difference(&numbers(path, &[JOURNAL])) {
            let unused = File::open(owner(path, *number)).is_ok_and(|lock| lock.try_lock().is_ok());
            if *number != own && unused {
                fs::remove_file(owner(path, *number))?;
            }
        }
        let lasts = durability == Durability::Power;
        if lasts {
            sync_folder(path)?;
        }
        Ok(Folder { machine, path: path.to_path_buf(), own, lasts, is_open: Cell::new(false), _lock: lock })
    }

    /// The names of its own journal and of that file's rewrite.
    pub fn names(&self) -> Names {
        let name = |path: PathBuf| path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let (file, rewrite) = (journal(&self.path, self.own), rewrite(&self.path, self.own));
        Names { file: name(file), rewrite: name(rewrite) }
    }

    fn others(&self) -> BTreeSet<u64> {
        numbers(&self.path, &[JOURNAL]).into_iter().filter(|&n| n != self.own).collect()
    }

    /// The other's lock, if that process has died.
    fn inherit(&self, number: u64) -> Option<File> {
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(owner(&self.path, number));
        lock.ok().filter(|lock| lock.try_lock().is_ok())
    }

    /// Whether a process that was started later lives and clients can connect to it.
    pub fn has_successor(&self) -> bool {
        let listens = |number| {
            let mut reader = Reader::new(&self.path, number);
            reader.read();
            reader.ledger.listening
        };
        self.others().range(self.own..).any(|&n| self.inherit(n).is_none() && listens(n))
    }

    /// Whether one that was started before lives.
    pub fn has_predecessor(&self) -> bool {
        self.others().range(..self.own).any(|&n| self.inherit(n).is_none())
    }

    /// Notes that this process sends its clients away, for those that come after it.
    pub fn note_drain(&self, evacuation: Option<Evacuation>, now: Instant) -> io::Result<()> {
        let within = evacuation.map(|e| e.by.saturating_duration_since(now).as_millis() as i64);
        let note = Note { by: within.map(|ms| self.machine.wall_ms().saturating_add(ms)), within };
        let (new, path) = (self.path.join(format!("new-{DRAIN}.{}", self.own)), self.drain_path(self.own));
        let file = File::create(&new)?;
        file.write_all_at(&serde_json::to_vec(&note)?, 0)?;
        if self.lasts {
            file.sync_all()?;
        }
        fs::rename(new, path)?;
        if self.lasts {
            sync_folder(&self.path)
        } else {
            Ok(())
        }
    }

    /// The drain has ended.
    pub fn forget_drain(&self) -> io::Result<()> {
        match fs::remove_file(self.drain_path(self.own)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ if self.lasts => sync_folder(&self.path),
            _ => Ok(()),
        }
    }

    fn drain_path(&self, number: u64) -> PathBuf {
        self.path.join(format!("{DRAIN}.{number}"))
    }

    /// Whether this process must go on with a drain: that of one beside it, or an evacuation, which outlasts its process.
    /// What is over is deleted.
    pub fn inherited_drain(&self, now: Instant) -> io::Result<Option<Option<Evacuation>>> {
        let mut found: Option<Option<Evacuation>> = None;
        let mut stale = Vec::new();
        for number in numbers(&self.path, &[DRAIN]).into_iter().filter(|&n| n != self.own) {
            let path = self.drain_path(number);
            let note: Option<Note> = fs::read(&path).ok().and_then(|b| serde_json::from_slice(&b).ok());
            let lock = self.inherit(number);
            let is_dead = lock.is_some();
            let note = note.unwrap_or_default();
            if !is_dead || note.by.is_some() {
                let evacuation = note.evacuation(now, self.machine.wall_ms());
                let sooner = found.flatten().into_iter().chain(evacuation).min_by_key(|e| e.by);
                found = Some(sooner);
            }
            if is_dead {
                stale.push((path, lock, number));
            }
        }
        if let Some(evacuation) = found {
            self.note_drain(evacuation, now)?;
        }
        for (path, _lock, number) in stale {
            fs::remove_file(path)?;
            if !numbers(&self.path, &[JOURNAL]).contains(&number) && number < self.own {
                let _ = fs::remove_file(owner(&self.path, number));
            }
        }
        Ok(found)
    }

    /// Bytes in the files of the others, in whole blocks.
    pub fn bytes(&self) -> u64 {
        let files = self.others().into_iter().flat_map(|n| [journal(&self.path, n), rewrite(&self.path, n)]);
        files.filter_map(|f| fs::metadata(f).ok()).map(|m| m.len().div_ceil(512) * 512).sum()
    }

    /// Those that have died and are this process's to take over, with the locks that keep their files ours. What a
    /// dead one had taken of an older one that lives stands in its own file alone: so that file goes to whoever would
    /// take from the older one next.
    pub fn dead(&self) -> Dead {
        let mut dead: Dead = self.others().into_iter().filter_map(|n| Some((n, self.inherit(n)?))).collect();
        if !dead.is_empty() {
            let takers = self.takers(&dead);
            let nearer = |n| if n < self.own { n + 1..self.own } else { self.own + 1..u64::MAX };
            dead.retain(|(n, _)| takers.range(nearer(*n)).next().is_none());
        }
        dead
    }

    /// The others that still take over what is left: they have not yielded, and live or have just begun to.
    fn takers(&self, dead: &Dead) -> BTreeSet<u64> {
        let takes = |n: &u64| {
            let mut reader = Reader::new(&self.path, *n);
            reader.read();
            reader.sends() && !dead.iter().any(|(other, _)| other == n)
        };
        self.others().into_iter().filter(takes).chain(self.beginners()).collect()
    }

    /// Others that live and have no file yet.
    fn beginners(&self) -> impl Iterator<Item = u64> + '_ {
        let others = self.others();
        let begins = move |n: &u64| {
            let lock = File::open(owner(&self.path, *n));
            *n != self.own && !others.contains(n) && lock.is_ok_and(|lock| lock.try_lock_shared().is_err())
        };
        numbers(&self.path, &[OWNER]).into_iter().filter(begins)
    }

    /// What the dead have left, each message once. A file that can't be read, or not by this version, is named and
    /// nothing is taken over: what it holds must not be lost, and what others hold may be known there to be over.
    pub fn left(&self, dead: &Dead, budget: &Budget) -> Result<Left, String> {
        let mut files = BTreeMap::new();
        for (number, _) in dead {
            let path = journal(&self.path, *number);
            let bytes = match fs::read(&path) {
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                read => read.map_err(|e| format!("{} can't be read: {e}", path.display()))?,
            };
            let file = journal::read(&bytes).map_err(|newer| format!("{}: {newer}", path.display()))?;
            // What was torn by a process's end had not been answered for yet.
            if let Some((kept, cut)) = file.torn {
                tracing::warn!(number, kept, cut, "a journal's tail is torn");
            }
            for damage in &file.damage {
                tracing::error!(number, %damage, "a journal is damaged");
            }
            files.insert(*number, Whole::new(*number, &file));
        }
        let mut left = journal::recover(files);
        // What one that lives has taken over of theirs is its own, or passes from its file.
        for number in self.others().into_iter().filter(|n| !dead.iter().any(|(other, _)| other == n)) {
            let mut reader = Reader::new(&self.path, number);
            reader.read();
            left.messages.retain(|live| !reader.ledger.seen.contains(&live.taken.id));
        }
        for live in &mut left.messages {
            live.taken = Arc::new(memory::owed(&live.taken, budget));
        }
        Ok(left)
    }

    /// Deletes what was taken over, the oldest first: a newer file tells what of an older one is over. The lock file
    /// of a later process stays, as its number must not be used again while its messages are known by it.
    /// False where a file may still be found.
    pub fn discard(&self, dead: Dead) -> bool {
        let mut done = true;
        for (number, _lock) in dead {
            let lock = (number < self.own).then(|| owner(&self.path, number));
            let files = [rewrite(&self.path, number), journal(&self.path, number)];
            for file in files.into_iter().chain(lock) {
                match fs::remove_file(&file) {
                    Err(error) if error.kind() != io::ErrorKind::NotFound => {
                        tracing::warn!(%error, file = %file.display(), "cannot delete what was taken over");
                        done = false;
                    }
                    _ => {}
                }
            }
        }
        self.is_open.set(self.lasts);
        self.is_settled() && done
    }

    /// Whether what was deleted can't come back.
    fn is_settled(&self) -> bool {
        if self.is_open.get() {
            match sync_folder(&self.path) {
                Ok(()) => self.is_open.set(false),
                Err(error) => tracing::warn!(%error, "what was deleted may come back after a loss of power"),
            }
        }
        !self.is_open.get()
    }
}

/// What a process says of its drain.
#[derive(Default, Serialize, Deserialize)]
struct Note {
    /// An evacuation: until when, by the wall clock, and how long that was then, in milliseconds.
    by: Option<i64>,
    within: Option<i64>,
}

impl Note {
    fn evacuation(&self, now: Instant, wall: i64) -> Option<Evacuation> {
        let left = self.by?.saturating_sub(wall).clamp(0, self.within.unwrap_or(0).max(0));
        Some(Evacuation::new(now, Duration::from_millis(left as u64)))
    }
}

fn owner(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{OWNER}.{number}"))
}

/// Number 0 is the one file of versions that knew no numbers.
fn journal(folder: &Path, number: u64) -> PathBuf {
    match number {
        0 => folder.join(JOURNAL),
        _ => folder.join(format!("{JOURNAL}.{number}")),
    }
}

fn rewrite(folder: &Path, number: u64) -> PathBuf {
    match number {
        0 => folder.join("journal.new"),
        _ => folder.join(format!("rewrite.{number}")),
    }
}

/// The numbers of the files with these names.
fn numbers(folder: &Path, names: &[&str]) -> BTreeSet<u64> {
    let number = |file: &str| match file.split_once('.') {
        None => (file == JOURNAL && names.contains(&JOURNAL)).then_some(0),
        Some((name, number)) if names.contains(&name) => number.parse().ok(),
        Some(_) => None,
    };
    let files = fs::read_dir(folder).into_iter().flatten().flatten().map(|f| f.file_name());
    files.filter_map(|file| number(file.to_str()?)).collect()
}

/// Reads another process's file, as far as it has been written.
struct Reader {
    path: PathBuf,
    number: u64,
    file: Option<File>,
    at: u64,
    ledger: Ledger,
}

impl Reader {
    fn new(folder: &Path, number: u64) -> Reader {
        Reader { path: journal(folder, number), number, file: None, at: 0, ledger: Ledger::new(number) }
    }

    /// Reads on; from the start where the file was rewritten.
    fn read(&mut self) {
        let inode = |m: io::Result<fs::Metadata>| m.ok().map(|m| m.ino());
        let known = self.file.as_ref().and_then(|f| inode(f.metadata()));
        if known.is_none() || known != inode(fs::metadata(&self.path)) {
            let Ok(file) = File::open(&self.path) else { return };
            (self.file, self.at, self.ledger) = (Some(file), 0, Ledger::new(self.number));
        }
        let Some(file) = &self.file else { return };
        let length = file.metadata().map_or(self.at, |m| m.len());
        let mut bytes = vec![0; length.saturating_sub(self.at) as usize];
        if bytes.is_empty() || file.read_exact_at(&mut bytes, self.at).is_err() {
            return;
        }
        let mut rest = &bytes[..];
        while let Some((record, length)) = decode(rest) {
            self.ledger.note(&record);
            self.at += length as u64;
            rest = &rest[length..];
        }
    }

    /// Whether it begins calls by itself.
    fn sends(&self) -> bool {
        self.ledger.out.is_none()
    }

    fn is_out(&self, id: u64) -> bool {
        self.ledger.out.as_ref().is_none_or(|out| out.range((id, 0)..=(id, u32::MAX)).next().is_some())
    }

    /// What it has yielded: all but what is out, and what has only its notice to come.
    fn yielded(&self) -> impl Iterator<Item = &Live> {
        self.ledger.live.values().filter(|live| !self.is_out(live.taken.id) && live.ending.is_none())
    }
}

/// Follows the others, and takes over what they yield or leave.
pub struct Handover {
    folder: Rc<Folder>,
    budget: Budget,
    core: mpsc::Sender<Input>,
    /// Those that were started before and live, with how many of their releases were told.
    before: BTreeMap<u64, (Reader, usize)>,
    taken: HashSet<u64>,
    told: Option<Elsewhere>,
    alone: bool,
    has_successor: bool,
    /// What the dead left could not be written down: it is tried again.
    is_stuck: bool,
    /// Why it can't be read, as was logged.
    refused: Option<String>,
}

impl Handover {
    /// `taken`: what this process has taken over already, ended or not.
    pub fn new(
        folder: Rc<Folder>,
        budget: Budget,
        core: mpsc::Sender<Input>,
        taken: HashSet<u64>,
    ) -> Handover {
        let before = BTreeMap::new();
        let (told, alone, has_successor, is_stuck, refused) = (None, false, false, false, None);
        Handover { folder, budget, core, before, taken, told, alone, has_successor, is_stuck, refused }
    }

    /// Until the core has gone. `share` is told whether descriptors are shared with another process, `clear` once
    /// every process that was there before leaves this one its part.
    pub async fn run(mut self, share: impl Fn(bool), clear: watch::Sender<bool>) {
        while self.look(&share, &clear).await.is_some() {
            sleep(if self.alone || self.is_stuck { LOOK } else { FOLLOW }).await;
        }
    }

    /// None once the core has gone.
    async fn look(&mut self, share: &impl Fn(bool), clear: &watch::Sender<bool>) -> Option<()> {
        // Their locks first: what is read after that is all that they will have written.
        let dead = self.folder.dead();
        let others = self.folder.others();
        for &number in others.range(..self.folder.own) {
            self.follow(number).await?;
        }
        // What they had taken over from others must be known before anything is taken from those.
        self.is_stuck = !dead.is_empty()
            && match self.folder.left(&dead, &self.budget) {
                Ok(mut left) => {
                    left.messages.retain(|live| !self.taken.contains(&live.taken.id));
                    !self.take_over(left).await?
                }
                Err(reason) => {
                    if self.refused.as_ref() != Some(&reason) {
                        tracing::error!(%reason, "what an ended process left is not taken over");
                        self.refused = Some(reason);
                    }
                    true
                }
            };
        if !dead.is_empty() && !self.is_stuck {
            let numbers: Vec<u64> = dead.iter().map(|(n, _)| *n).collect();
            tracing::info!(?numbers, "what ended processes left is taken over");
            self.before.retain(|n, _| !numbers.contains(n));
            self.is_stuck = !self.folder.discard(dead);
        }
        self.take_yielded().await?;
        let others = self.folder.others();
        self.before.retain(|n, _| others.contains(n));
        let alone = others.is_empty() && self.folder.is_settled();
        if std::mem::replace(&mut self.alone, alone) != self.alone {
            share(!self.alone);
            if self.alone {
                self.taken.clear();
                self.core.send(Input::Alone).await.ok()?;
            }
        }
        if !self.has_successor && others.range(self.folder.own..).next().is_some() {
            self.has_successor = true;
            self.core.send(Input::Succeeded).await.ok()?;
        }
        self.tell().await?;
        let is_clear = self.before.values().all(|(r, _)| r.ledger.shared || !r.sends());
        clear.send_if_modified(|old| std::mem::replace(old, is_clear) != is_clear);
        Some(())
    }

    /// Reads on what a process that was started before has written, and passes on what concerns this one.
    async fn follow(&mut self, number: u64) -> Option<()> {
        let new = || (Reader::new(&self.folder.path, number), 0);
        let (mut reader, told) = self.before.remove(&number).unwrap_or_else(new);
        let sent = reader.sends();
        reader.read();
        if sent && !reader.sends() {
            tracing::info!(number, "the process before this one has yielded its work");
            self.core.send(Input::Inherited(reader.ledger.inheritance.clone())).await.ok()?;
        }
        let releases: Vec<Release> = reader.ledger.releases[told..].to_vec();
        let told = told + releases.len();
        if !releases.is_empty() {
            self.core.send(Input::EndedElsewhere(releases)).await.ok()?;
        }
        self.before.insert(number, (reader, told));
        Some(())
    }

    /// Takes what those before have yielded. One that was started later and has not yielded itself comes first: it may
    /// have taken and delivered any of it. Once it has yielded its file tells all that it ever took.
    async fn take_yielded(&mut self) -> Option<()> {
        let mut messages = Vec::new();
        let mut seen: HashSet<u64> = HashSet::new();
        let beginner = self.folder.beginners().filter(|n| *n < self.folder.own).max();
        for (&number, (reader, _)) in self.before.iter().rev() {
            if reader.sends() || beginner > Some(number) {
                break;
            }
            let is_new =
                |live: &&Live| !self.taken.contains(&live.taken.id) && !seen.contains(&live.taken.id);
            messages.extend(reader.yielded().filter(is_new).map(|live| {
                let mut live = live.clone().stamped(reader.ledger.stamp);
                live.taken = Arc::new(memory::owed(&live.taken, &self.budget));
                live
            }));
            seen.extend(&reader.ledger.seen);
        }
        if !messages.is_empty() {
            self.take_over(Left { messages, ..Left::default() }).await?;
        }
        Some(())
    }

    /// Hands messages to the core; false if it could not write all of them down.
    async fn take_over(&mut self, mut left: Left) -> Option<bool> {
        self.taken.extend(&left.seen);
        while !left.messages.is_empty() || !left.seen.is_empty() {
            let messages: Vec<Live> = left.messages.drain(..left.messages.len().min(AT_ONCE)).collect();
            let ids: Vec<u64> = messages.iter().map(|live| live.taken.id).collect();
            let (reply, written) = oneshot::channel();
            let part = Left { messages, seen: std::mem::take(&mut left.seen), ..Left::default() };
            self.core.send(Input::TakeOver(part, reply)).await.ok()?;
            if !written.await.ok()? {
                return Some(false);
            }
            self.taken.extend(ids);
        }
        Some(true)
    }

    async fn tell(&mut self) -> Option<()> {
        let mut now = Elsewhere { bytes: self.folder.bytes(), ..Elsewhere::default() };
        let seen = self.before.values().flat_map(|(reader, _)| &reader.ledger.seen);
        let known: HashSet<u64> = seen.chain(&self.taken).copied().collect();
        for (reader, _) in self.before.values() {
            let live = &reader.ledger.live;
            now.sends |= reader.sends();
            now.held += live.keys().filter(|id| !known.contains(id)).count();
            let out = reader.ledger.out.iter().flatten();
            now.calls.extend(out.filter_map(|(id, _)| Some(live.get(id)?.taken.dest)));
        }
        if self.told.as_ref() != Some(&now) {
            self.told = Some(now.clone());
            self.core.send(Input::Elsewhere(now)).await.ok()?;
        }
        Some(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::disk::Disk;
    use journal::{Journal, Record, Stamp};

    #[test]
    fn a_number_is_never_used_twice_and_a_folder_does_not_fill_up() {
        let name = format!("leadfold-folder-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        let stamp = Stamp { own: 0, wall: 0 };
        let enter = || {
            let folder = Folder::enter(Rc::new(machine::Real), &path, Durability::Power).unwrap();
            let (disk, names) = (Disk::new(&path), folder.names());
            let journal = Journal::create(disk, names, folder.own, 1.0, Durability::Power, 7, stamp).unwrap();
            (folder, journal)
        };
        let (first, _) = enter();
        assert!(!first.has_successor() && !first.has_predecessor());
        let (second, mut journal) = enter();
        assert!(second.has_predecessor() && !second.has_successor());
        assert!(!first.has_successor(), "clients would find nobody yet");
        journal.write(&[Record::Listening], stamp).unwrap();
        assert!(first.has_successor());
        drop(second);
        assert!(!first.has_successor(), "its lock is let go with it");
        assert!(first.discard(first.dead()));
        let (third, _) = enter();
        assert_eq!((first.own, third.own), (1, 3));
        drop(first);
        assert!(third.discard(third.dead()));
        let files = fs::read_dir(&path).unwrap().flatten().map(|f| f.file_name().into_string().unwrap());
        assert_eq!(files.collect::<BTreeSet<_>>(), ["journal.3", "owner.3"].map(String::from).into());
        fs::remove_dir_all(&path).unwrap();
    }
}
