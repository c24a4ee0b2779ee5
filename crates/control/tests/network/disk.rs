//! The durable state of a control machine on a simulated disk, with the real ring and file format.
use control::disk::DiskStorage;
use control::{DurableState, Storage};
use ringlog::Shape;
pub use simulation::disk::Memory;

const RING_SHAPE: Shape = Shape { segments: 4, segment_bytes: 512 * 1024 };

/// The disk of a control machine.
pub trait ControlDisk {
    /// An empty disk.
    fn empty() -> Self;
    /// The state that a starting process would read.
    fn state(&self) -> DurableState;
    /// Replaces the last state, for a planted bug.
    fn overwrite(&self, durable: &DurableState);
    /// Opens the disk for a starting process.
    fn open(&self) -> (DurableState, MemoryStorage);
}

impl ControlDisk for Memory {
    fn empty() -> Memory {
        Memory::new(RING_SHAPE.segments)
    }

    fn state(&self) -> DurableState {
        self.open().0
    }

    fn overwrite(&self, durable: &DurableState) {
        let mut store = self.open().1;
        store.0.save(durable);
    }

    fn open(&self) -> (DurableState, MemoryStorage) {
        let (durable, disk) = DiskStorage::open(
            self.clone(),
            RING_SHAPE,
            Box::new(|error| panic!("the state can't be written: {error}")),
        )
        .unwrap();
        (durable, MemoryStorage(disk))
    }
}

/// The real storage of a control machine, on files in memory.
pub struct MemoryStorage(DiskStorage<Memory>);

impl Storage for MemoryStorage {
    fn save(&mut self, durable: &DurableState) {
        self.0.save(durable);
    }
}
