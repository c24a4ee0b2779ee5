//! What the journal asks of a folder. Names are plain, without a path.
use std::io;

/// Where files are. Nothing is on stable storage before it was synced: what a file holds by `sync`, under which name it
/// is by `sync_folder`.
pub trait Storage {
    type File;

    /// An empty file, in place of one that has the name.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// All of the bytes, from a place on; after an error any of them may be there.
    fn write_at(&mut self, file: &Self::File, bytes: &[u8], at: u64) -> io::Result<()>;
    fn truncate(&mut self, file: &Self::File, length: u64) -> io::Result<()>;
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

impl<F> Storage for Box<dyn Storage<File = F> + Send> {
    type File = F;

    fn create(&mut self, name: &str) -> io::Result<F> {
        (**self).create(name)
    }

    fn write_at(&mut self, file: &F, bytes: &[u8], at: u64) -> io::Result<()> {
        (**self).write_at(file, bytes, at)
    }

    fn truncate(&mut self, file: &F, length: u64) -> io::Result<()> {
        (**self).truncate(file, length)
    }

    fn sync(&mut self, file: &F) -> io::Result<()> {
        (**self).sync(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        (**self).sync_folder()
    }
}
