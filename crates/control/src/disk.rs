//! The group's durable state on a ring of files. Every change appends the complete state; the last record is the current
//! one.
use crate::group::{DurableState, Storage};
use ringlog::{Files, Ring, RingError, Shape};

/// Called with the error when the state can't be written, before the write is retried.
pub type OnError = Box<dyn FnMut(&RingError)>;

/// The disk of a control machine. Writes block: a machine whose disk stalls doesn't answer, and the other members elect a
/// new primary.
pub struct DiskStorage<F> {
    ring: Ring<F>,
    on_error: OnError,
}

/// Why the state on a disk can't be loaded.
#[derive(Debug)]
pub enum DiskError {
    /// The ring of files can't be opened.
    Ring(RingError),
    /// The last record was written by a different version of the program.
    Unreadable(std::io::Error),
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DiskError::Ring(error) => write!(f, "{error}"),
            DiskError::Unreadable(error) => {
                write!(f, "the state on disk was written by a different version of the program ({error}); update the program")
            }
        }
    }
}

impl std::error::Error for DiskError {}

impl<F: Files> DiskStorage<F> {
    /// Opens the files and reads the last state. Without a record the state is empty and its disk identity is 0.
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
        // Only the last record is needed, so all files before the one that may hold it can be reused.
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
        // The machine must not answer before its promises are durable, so it retries until the write succeeds.
        while let Err(error) = self.write(durable) {
            (self.on_error)(&error);
        }
    }
}
