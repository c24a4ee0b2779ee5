//! The durable state of a control machine on a simulated disk: the real ring, the real file format.
use control::disk::DiskStorage;
use control::{DurableState, Storage};
use ringlog::Shape;
pub use simulation::disk::Memory;

const SHAPE: Shape = Shape { segments: 4, segment_bytes: 512 * 1024 };

/// The disk of a control machine.
pub trait ControlDisk {
    /// An empty one.
    fn empty() -> Self;
    /// What a process that starts would find.
    fn state(&self) -> DurableState;
    /// Puts another state in place of the last one, as a planted mistake does.
    fn overwrite(&self, durable: &DurableState);
    /// Opens the disk for a process that starts.
    fn open(&self) -> (DurableState, Stored);
}

impl ControlDisk for Memory {
    fn empty() -> Memory {
        Memory::new(SHAPE.segments)
    }

    fn state(&self) -> DurableState {
        self.open().0
    }

    fn overwrite(&self, durable: &DurableState) {
        let mut store = self.open().1;
        store.0.save(durable);
    }

    fn open(&self) -> (DurableState, Stored) {
        let (durable, disk) = DiskStorage::open(
            self.clone(),
            SHAPE,
            Box::new(|error| panic!("the state can't be written: {error}")),
        )
        .unwrap();
        (durable, Stored(disk))
    }
}

/// The real disk of a control machine, on files in memory.
pub struct Stored(DiskStorage<Memory>);

impl Storage for Stored {
    fn save(&mut self, durable: &DurableState) {
        self.0.save(durable);
    }
}
