//! Opening a ring, and appending to it.
use crate::files::{Files, Folder};
use crate::segment::{encode, read_segment, Header, Record, SegmentId, Start, HEADER_BYTES, RECORD_OVERHEAD};
use std::io;
use std::path::{Path, PathBuf};

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
    /// A file is of another version of the program.
    OtherVersion,
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
            RingError::OtherVersion => f.write_str(
                "the ring is of another version of the program; let that one end its messages before the change",
            ),
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
pub struct Opened<F = Folder> {
    pub ring: Ring<F>,
    /// The folder held no ring before.
    pub fresh: bool,
}

/// A log on a ring of files: one after the other is filled, those in use are passed over and never overwritten. Which
/// came first is told by their generations.
pub struct Ring<F = Folder> {
    files: F,
    shape: Shape,
    /// The generation of each file that holds something that counts.
    used: Vec<Option<u64>>,
    /// The file that was begun last.
    last: SegmentId,
    /// The place after the last record in the file that was begun last; nothing before one was begun.
    end: Option<usize>,
    generation: u64,
    /// The payload of the first record of each file; empty for none.
    preamble: Vec<u8>,
}

/// Reads the ring in a folder without changing anything: its files that count in the order of their use, with their
/// records.
pub fn read(folder: &Path) -> Result<Vec<(PathBuf, Vec<Record>)>, RingError> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let bytes = std::fs::read(&path)?;
        if let Start::Begun(header) = Start::of(&bytes) {
            files.push((header, path, read_segment(&bytes)));
        }
    }
    files.sort();
    let first = files.last().map_or(0, |(header, _, _)| header.first);
    files.retain(|(header, _, _)| header.generation >= first);
    Ok(files.into_iter().map(|(_, path, records)| (path, records)).collect())
}

impl Ring {
    /// Opens the ring in a folder, or makes it; files that are missing are made. Each record that is there is handed
    /// to `visit`, oldest first.
    pub fn open(
        folder: &Path,
        shape: Shape,
        visit: &mut dyn FnMut(SegmentId, Record),
    ) -> Result<Opened, RingError> {
        Ring::open_in(Folder::new(folder), shape, visit)
    }
}

impl<F: Files> Ring<F> {
    /// Opens the ring in its files; see [`Ring::open`].
    pub fn open_in(
        mut files: F,
        shape: Shape,
        visit: &mut dyn FnMut(SegmentId, Record),
    ) -> Result<Opened<F>, RingError> {
        files.prepare()?;
        let mut begun = Vec::new();
        let mut made = 0;
        for segment in 0..shape.segments {
            match files.start(segment)? {
                Some(start) => match Start::of(&start) {
                    Start::Begun(header) => begun.push((header, segment)),
                    Start::OtherVersion => return Err(RingError::OtherVersion),
                    Start::Unused => {}
                },
                None => {
                    files.create(segment, shape.segment_bytes)?;
                    made += 1;
                }
            }
        }
        if made > 0 {
            files.sync_names()?;
        }
        begun.sort_unstable();
        let nothing = (Header { generation: 0, first: 0 }, shape.segments - 1);
        let (Header { generation, first }, last) = begun.last().copied().unwrap_or(nothing);
        let mut used = vec![None; shape.segments];
        // What had been given up when the last file was begun needn't be read again.
        begun.retain(|(header, _)| header.generation >= first);
        for (Header { generation, .. }, segment) in begun {
            let records = read_segment(&files.read(segment)?);
            used[segment] = (!records.is_empty()).then_some(generation);
            records.into_iter().for_each(|record| visit(segment, record));
        }
        // What was read may not have been synced before the process that wrote it was killed.
        if generation > 0 {
            files.sync(last)?;
        }
        let ring = Ring { files, shape, used, last, end: None, generation, preamble: Vec::new() };
        Ok(Opened { ring, fresh: made == shape.segments })
    }

    /// Every file that is begun from now on has this as its first record: what has to be known before all others is read
    /// first, whichever files have been given up.
    pub fn set_preamble(&mut self, payload: Vec<u8>) {
        self.preamble = payload;
    }

    /// How many bytes of a file its header and the preamble take.
    fn head_bytes(&self) -> usize {
        match self.preamble.len() {
            0 => HEADER_BYTES,
            bytes => HEADER_BYTES + RECORD_OVERHEAD + bytes,
        }
    }

    /// Appends payloads, all in one write where they fit; tells in which file each stands. They last once
    /// [`Ring::sync`] has returned.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<Vec<SegmentId>, RingError> {
        let mut places = Vec::with_capacity(payloads.len());
        let mut batch = Vec::new();
        for payload in payloads {
            let needed = RECORD_OVERHEAD + payload.len();
            if self.head_bytes() + needed > self.shape.segment_bytes {
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
        self.end.is_some_and(|at| at + bytes <= self.shape.segment_bytes)
    }

    fn write(&mut self, batch: &[u8]) -> Result<(), RingError> {
        if let Some(at) = self.end.as_mut().filter(|_| !batch.is_empty()) {
            self.files.write(self.last, *at, batch)?;
            *at += batch.len();
        }
        Ok(())
    }

    fn next_segment(&mut self) -> Result<(), RingError> {
        let order = (1..=self.shape.segments).map(|i| (self.last + i) % self.shape.segments);
        let next = order.into_iter().find(|segment| self.used[*segment].is_none()).ok_or(RingError::Full)?;
        self.sync()?;
        self.generation += 1;
        self.used[next] = Some(self.generation);
        let first = self.used.iter().flatten().min().copied().unwrap_or(self.generation);
        let mut head = Header { generation: self.generation, first }.encode().to_vec();
        if !self.preamble.is_empty() {
            encode(self.generation, &self.preamble, &mut head);
        }
        self.files.write(next, 0, &head)?;
        self.last = next;
        self.end = Some(head.len());
        Ok(())
    }

    /// Makes all that was appended last.
    pub fn sync(&mut self) -> Result<(), RingError> {
        if self.end.is_some() {
            self.files.sync(self.last)?;
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
