//! The journal's folder on a real disk, and its writes off the thread that everything else runs on.
use journal::storage::Storage;
use journal::{Durability, Journal};
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    pub fn new(folder: &Path) -> Disk {
        Disk { folder: folder.to_path_buf() }
    }
}

/// Makes what was created, renamed and deleted in a folder outlast a loss of power.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

impl Storage for Disk {
    type File = File;

    fn create(&mut self, name: &str) -> io::Result<File> {
        File::create(self.folder.join(name))
    }

    fn write_at(&mut self, file: &File, bytes: &[u8], at: u64) -> io::Result<()> {
        file.write_all_at(bytes, at)
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        sync_folder(&self.folder)
    }
}

/// Whatever keeps files: the disk, or in tests one that fails.
pub type Keeper = Box<dyn Storage<File = File> + Send>;

/// The journal of this process.
pub struct Log(Option<Journal<Keeper>>);

impl Log {
    pub fn new(journal: Journal<Keeper>) -> Log {
        Log(Some(journal))
    }

    /// Does something that may write. Where that waits for the disk the rest of the program goes on meanwhile, and what
    /// comes in is gathered for the next write.
    pub async fn run<T, F>(&mut self, work: F) -> T
    where
        T: Send + 'static,
        F: FnOnce(&mut Journal<Keeper>) -> T + Send + 'static,
    {
        if self.durability() == Durability::Process {
            return work(self);
        }
        let mut journal = self.0.take().expect("given back after each use");
        let done = tokio::task::spawn_blocking(move || {
            let result = work(&mut journal);
            (journal, result)
        });
        match done.await {
            Ok((journal, result)) => {
                self.0 = Some(journal);
                result
            }
            Err(failed) => std::panic::resume_unwind(failed.into_panic()),
        }
    }
}

impl std::ops::Deref for Log {
    type Target = Journal<Keeper>;

    fn deref(&self) -> &Journal<Keeper> {
        self.0.as_ref().expect("given back after each use")
    }
}

impl std::ops::DerefMut for Log {
    fn deref_mut(&mut self) -> &mut Journal<Keeper> {
        self.0.as_mut().expect("given back after each use")
    }
}
