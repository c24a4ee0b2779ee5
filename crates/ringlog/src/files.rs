//! Where the bytes of a ring are kept: files in a folder, or whatever a test puts in their place.
use crate::segment::{SegmentId, HEADER_BYTES};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The files of a ring, by their numbers.
pub trait Files {
    /// Makes the place for the files, if it isn't there.
    fn prepare(&mut self) -> io::Result<()>;
    /// The first bytes of a file, as many as a header has; fewer where it is shorter, nothing where it is missing.
    fn start(&self, segment: SegmentId) -> io::Result<Option<Vec<u8>>>;
    /// All bytes of a file.
    fn read(&self, segment: SegmentId) -> io::Result<Vec<u8>>;
    /// Makes a file of a size; it lasts when this returns, its name only after [`Files::sync_names`].
    fn create(&mut self, segment: SegmentId, bytes: usize) -> io::Result<()>;
    /// Makes the names of all files last.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Writes bytes into a file from a place on.
    fn write(&mut self, segment: SegmentId, at: usize, bytes: &[u8]) -> io::Result<()>;
    /// Makes all that was written to a file last.
    fn sync(&mut self, segment: SegmentId) -> io::Result<()>;
}

/// Files in a folder.
pub struct Folder {
    path: PathBuf,
    /// The file that is written to, and the place after the last write.
    open: Option<(SegmentId, File, usize)>,
}

impl Folder {
    pub fn new(path: &Path) -> Folder {
        Folder { path: path.to_path_buf(), open: None }
    }

    /// The path of a file of the ring.
    pub fn path(&self, segment: SegmentId) -> PathBuf {
        self.path.join(format!("segment-{segment:03}"))
    }

    /// The file, ready to be written at a place.
    fn at(&mut self, segment: SegmentId, at: usize) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _, place)| (*open, *place) != (segment, at)) {
            let mut file = OpenOptions::new().write(true).open(self.path(segment))?;
            file.seek(SeekFrom::Start(at as u64))?;
            self.open = Some((segment, file, at));
        }
        let (_, file, _) = self.open.as_mut().expect("just opened");
        Ok(file)
    }
}

impl Files for Folder {
    fn prepare(&mut self) -> io::Result<()> {
        std::fs::create_dir_all(&self.path)
    }

    fn start(&self, segment: SegmentId) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path(segment)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(HEADER_BYTES as u64).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn read(&self, segment: SegmentId) -> io::Result<Vec<u8>> {
        std::fs::read(self.path(segment))
    }

    fn create(&mut self, segment: SegmentId, bytes: usize) -> io::Result<()> {
        let path = self.path(segment);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        file.set_len(bytes as u64)?;
        file.sync_all()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn write(&mut self, segment: SegmentId, at: usize, bytes: &[u8]) -> io::Result<()> {
        let written = self.at(segment, at)?.write_all(bytes);
        // After a failure the place in the file isn't known.
        self.open =
            self.open.take().filter(|_| written.is_ok()).map(|(s, file, at)| (s, file, at + bytes.len()));
        written
    }

    fn sync(&mut self, segment: SegmentId) -> io::Result<()> {
        match &self.open {
            Some((open, file, _)) if *open == segment => file.sync_data(),
            _ => File::open(self.path(segment))?.sync_data(),
        }
    }
}
