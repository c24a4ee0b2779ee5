//! The group's durable state on a ring of files: the whole state with each change, the last one counts.
use crate::group::{DurableState, Storage};
use ringlog::{Files, Ring, RingError, Shape};

/// What is done when the state can't be written, before it is tried again.
pub type OnError = Box<dyn FnMut(&RingError)>;

/// The disk of a control machine. A write is waited for: a machine whose disk stalls is silent, and others lead.
pub struct DiskStorage<F> {
    ring: Ring<F>,
    on_error: OnError,
}

/// Why the state on a disk can't be used.
#[derive(Debug)]
pub enum DiskError {
    Ring(RingError),
    /// The last record is of another version of the program.
    Unreadable(std::io::Error),
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DiskError::Ring(error) => write!(f, "{error}"),
            DiskError::Unreadable(error) => {
                write!(f, "the state on disk is of another version ({error}); update the program")
            }
        }
    }
}

impl std::error::Error for DiskError {}

impl<F: Files> DiskStorage<F> {
    /// Opens the files and reads the last state; an empty one with disk 0 where there was none.
    pub fn open(
        files: F,
        shape: Shape,
        on_error: OnError,
    ) -> Result<(DurableState, DiskStorage<F>), DiskError> {
        let mut last = Vec::new();
        let opened = Ring::open_in(files, shape, &mut |_, record| last = record.payload);
        let ring = opened.map_err(DiskError::Ring)?.ring;
        let durable = match last.is_empty() {
            true => DurableState::default(),
            false => borsh::from_slice(&last).map_err(DiskError::Unreadable)?,
        };
        Ok((durable, DiskStorage { ring, on_error }))
    }

    fn write(&mut self, durable: &DurableState) -> Result<(), RingError> {
        // Only the last record counts, so all but the files that may hold it are free.
        while self.ring.free() < 2 && self.ring.oldest().is_some() {
            self.ring.release_oldest();
        }
        let payload = borsh::to_vec(durable).expect("writing to memory");
        self.ring.append(&[payload])?;
        self.ring.sync()
    }
}

impl<F: Files> Storage for DiskStorage<F> {
    fn save(&mut self, durable: &DurableState) {
        // A machine that can't keep its promises must not make any: it waits until it can.
        while let Err(error) = self.write(durable) {
            (self.on_error)(&error);
        }
    }
}
