//! Files in memory that lose power: what was synced stays, each later write is there, missing or torn.
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use ringlog::Files;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

#[derive(Clone, Default)]
struct File {
    there: bool,
    bytes: Vec<u8>,
    synced: Vec<u8>,
    /// Writes since the last sync: where, and what.
    pending: Vec<(usize, Vec<u8>)>,
}

impl File {
    fn put(bytes: &mut Vec<u8>, at: usize, written: &[u8]) {
        if bytes.len() < at + written.len() {
            bytes.resize(at + written.len(), 0);
        }
        bytes[at..at + written.len()].copy_from_slice(written);
    }
}

/// The files of one machine; they outlast its process.
#[derive(Clone)]
pub struct Memory {
    segments: usize,
    files: Rc<RefCell<Vec<File>>>,
    /// The machine loses power after so many more writes and syncs.
    power_left: Rc<Cell<Option<u32>>>,
}

impl Memory {
    /// An empty disk for a ring of so many files.
    pub fn new(segments: usize) -> Memory {
        Memory { segments, files: Rc::default(), power_left: Rc::default() }
    }

    /// The power goes after so many more writes and syncs.
    pub fn cut_power_after(&self, steps: u32) {
        self.power_left.set(Some(steps));
    }

    /// The power stays, unless it has gone already.
    pub fn keep_power(&self) {
        if !self.is_dark() {
            self.power_left.set(None);
        }
    }

    /// The power has gone in the middle of a write or a sync.
    pub fn is_dark(&self) -> bool {
        self.power_left.get() == Some(0)
    }

    /// The power is back: what was not synced is there, missing or torn.
    pub fn lose_power(&self, lot: &mut Pcg64Mcg) {
        self.power_left.set(None);
        for file in self.files.borrow_mut().iter_mut() {
            let mut bytes = file.synced.clone();
            for (at, written) in file.pending.drain(..) {
                let kept = match lot.random_range(0..3) {
                    0 => 0,
                    1 => written.len(),
                    _ => lot.random_range(0..=written.len()),
                };
                File::put(&mut bytes, at, &written[..kept]);
            }
            file.synced.clone_from(&bytes);
            file.bytes = bytes;
        }
    }

    /// The disk is lost: an empty one is in its place.
    pub fn wipe(&self) {
        self.power_left.set(None);
        self.files.borrow_mut().clear();
    }

    /// One more write or sync; false once the power has gone.
    fn step(&self) -> bool {
        match self.power_left.get() {
            Some(0) => false,
            Some(left) => {
                self.power_left.set(Some(left - 1));
                left > 1
            }
            None => true,
        }
    }
}

impl Files for Memory {
    fn prepare(&mut self) -> io::Result<()> {
        let mut files = self.files.borrow_mut();
        if files.len() < self.segments {
            files.resize(self.segments, File::default());
        }
        Ok(())
    }

    fn start(&self, segment: usize) -> io::Result<Option<Vec<u8>>> {
        let files = self.files.borrow();
        let file = &files[segment];
        let end = file.bytes.len().min(ringlog::HEADER_BYTES);
        Ok(file.there.then(|| file.bytes[..end].to_vec()))
    }

    fn read(&self, segment: usize) -> io::Result<Vec<u8>> {
        Ok(self.files.borrow()[segment].bytes.clone())
    }

    fn create(&mut self, segment: usize, _: usize) -> io::Result<()> {
        self.files.borrow_mut()[segment].there = true;
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn write(&mut self, segment: usize, at: usize, bytes: &[u8]) -> io::Result<()> {
        let file = &mut self.files.borrow_mut()[segment];
        // The last write before the power goes may be on the disk, in part.
        if !self.is_dark() {
            File::put(&mut file.bytes, at, bytes);
            file.pending.push((at, bytes.to_vec()));
        }
        self.step();
        Ok(())
    }

    fn sync(&mut self, segment: usize) -> io::Result<()> {
        if self.step() {
            let file = &mut self.files.borrow_mut()[segment];
            // Only what was written since then differs.
            for (at, written) in std::mem::take(&mut file.pending) {
                File::put(&mut file.synced, at, &written);
            }
        }
        Ok(())
    }
}
