//! Opening a ring, and appending to it.
use crate::segment::{encode, generation_of, header, read_segment, Record, HEADER_BYTES, RECORD_OVERHEAD};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The number of a file in its ring.
pub type SegmentId = usize;

/// How many files a ring has, and how large each is.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub segments: usize,
    pub segment_bytes: usize,
}

/// Why the ring could not do what was asked.
#[derive(Debug)]
pub enum RingError {
    /// No file is free: end or move messages, or give the ring more files.
    Full,
    /// A record is larger than a file.
    TooLarge,
    /// The disk failed.
    Disk(io::Error),
}

impl std::fmt::Display for RingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RingError::Full => {
                f.write_str("every file of the ring is in use; let messages end, or give it more")
            }
            RingError::TooLarge => {
                f.write_str("a record is larger than a file of the ring; use larger files")
            }
            RingError::Disk(error) => write!(f, "the disk failed ({error}); check its space and health"),
        }
    }
}

impl std::error::Error for RingError {}

impl From<io::Error> for RingError {
    fn from(error: io::Error) -> RingError {
        RingError::Disk(error)
    }
}

/// A ring that was opened.
pub struct Opened {
    pub ring: Ring,
    /// The folder held no ring before.
    pub fresh: bool,
}

/// A log on a ring of files: one after the other is filled, those in use are passed over and never overwritten. Which
/// came first is told by their generations.
pub struct Ring {
    folder: PathBuf,
    shape: Shape,
    /// The generation of each file that holds something that counts.
    used: Vec<Option<u64>>,
    /// The file that was begun last.
    last: SegmentId,
    current: Option<(File, usize)>,
    generation: u64,
}

/// Reads the ring in a folder without changing anything: its files in the order of their use, with their records.
pub fn read(folder: &Path) -> Result<Vec<(PathBuf, Vec<Record>)>, RingError> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let bytes = std::fs::read(&path)?;
        if let Some(generation) = generation_of(&bytes) {
            files.push((generation, path, read_segment(&bytes)));
        }
    }
    files.sort();
    Ok(files.into_iter().map(|(_, path, records)| (path, records)).collect())
}

fn path(folder: &Path, segment: SegmentId) -> PathBuf {
    folder.join(format!("segment-{segment:03}"))
}

impl Ring {
    /// Opens the ring in a folder, or makes it; files that are missing are made. Each record that is there is handed
    /// to `visit`, oldest first.
    pub fn open(
        folder: &Path,
        shape: Shape,
        visit: &mut dyn FnMut(SegmentId, Record),
    ) -> Result<Opened, RingError> {
        std::fs::create_dir_all(folder)?;
        let mut begun = Vec::new();
        let mut made = 0;
        for segment in 0..shape.segments {
            match File::open(path(folder, segment)) {
                Ok(mut file) => begun.extend(Self::generation(&mut file).map(|g| (g, segment))),
                Err(error) if error.kind() == io::ErrorKind::NotFound => {
                    Self::preallocate(&path(folder, segment), shape)?;
                    made += 1;
                }
                Err(error) => return Err(error.into()),
            }
        }
        if made > 0 {
            File::open(folder)?.sync_all()?;
        }
        begun.sort_unstable();
        let (generation, last) = begun.last().copied().unwrap_or((0, shape.segments - 1));
        let mut used = vec![None; shape.segments];
        for (generation, segment) in begun {
            let any = Self::visit(&path(folder, segment), segment, visit)?;
            used[segment] = any.then_some(generation);
        }
        // What was read may not have been synced before the process that wrote it was killed.
        if generation > 0 {
            File::open(path(folder, last))?.sync_data()?;
        }
        let ring = Ring { folder: folder.to_path_buf(), shape, used, last, current: None, generation };
        Ok(Opened { ring, fresh: made == shape.segments })
    }

    fn generation(file: &mut File) -> Option<u64> {
        let mut start = [0; HEADER_BYTES];
        file.read_exact(&mut start).ok()?;
        generation_of(&start)
    }

    fn visit(
        path: &Path,
        segment: SegmentId,
        visit: &mut dyn FnMut(SegmentId, Record),
    ) -> Result<bool, RingError> {
        let records = read_segment(&std::fs::read(path)?);
        let any = !records.is_empty();
        records.into_iter().for_each(|record| visit(segment, record));
        Ok(any)
    }

    fn preallocate(path: &Path, shape: Shape) -> Result<(), RingError> {
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        file.set_len(shape.segment_bytes as u64)?;
        file.sync_all()?;
        Ok(())
    }

    /// Appends payloads, all in one write where they fit; tells in which file each stands. They last once
    /// [`Ring::sync`] has returned.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<Vec<SegmentId>, RingError> {
        let mut places = Vec::with_capacity(payloads.len());
        let mut batch = Vec::new();
        for payload in payloads {
            let needed = RECORD_OVERHEAD + payload.len();
            if HEADER_BYTES + needed > self.shape.segment_bytes {
                return Err(RingError::TooLarge);
            }
            if !self.fits(batch.len() + needed) {
                self.write(&batch)?;
                batch.clear();
                self.next_segment()?;
            }
            encode(self.generation, payload, &mut batch);
            places.push(self.last);
        }
        self.write(&batch)?;
        Ok(places)
    }

    fn fits(&self, bytes: usize) -> bool {
        self.current.as_ref().is_some_and(|(_, at)| at + bytes <= self.shape.segment_bytes)
    }

    fn write(&mut self, batch: &[u8]) -> Result<(), RingError> {
        if let Some((file, at)) = self.current.as_mut().filter(|_| !batch.is_empty()) {
            file.write_all(batch)?;
            *at += batch.len();
        }
        Ok(())
    }

    fn next_segment(&mut self) -> Result<(), RingError> {
        let order = (1..=self.shape.segments).map(|i| (self.last + i) % self.shape.segments);
        let next = order.into_iter().find(|segment| self.used[*segment].is_none()).ok_or(RingError::Full)?;
        self.sync()?;
        let mut file = OpenOptions::new().write(true).open(path(&self.folder, next))?;
        self.generation += 1;
        file.seek(SeekFrom::Start(0))?;
        file.write_all(&header(self.generation))?;
        self.used[next] = Some(self.generation);
        self.last = next;
        self.current = Some((file, HEADER_BYTES));
        Ok(())
    }

    /// Makes all that was appended last.
    pub fn sync(&mut self) -> Result<(), RingError> {
        if let Some((file, _)) = &self.current {
            file.sync_data()?;
        }
        Ok(())
    }

    /// The file that was begun first among those in use, if it isn't the one that was begun last.
    pub fn oldest(&self) -> Option<SegmentId> {
        let others = (0..self.shape.segments).filter(|segment| *segment != self.last);
        others.filter(|segment| self.used[*segment].is_some()).min_by_key(|segment| self.used[*segment])
    }

    /// The oldest file holds nothing any more that counts: it may be used again. Files are released in their order
    /// only, so that what tells of an end stands longer than what it ended.
    pub fn release_oldest(&mut self) {
        if let Some(segment) = self.oldest() {
            self.used[segment] = None;
        }
    }

    /// Files that are free.
    pub fn free(&self) -> usize {
        self.used.iter().filter(|used| used.is_none()).count()
    }
}
