//! The files of a control machine's state.
use control::disk::DiskStorage;
use control::DurableState;
use ringlog::{Folder, Shape};
use std::path::Path;
use std::time::Duration;

const SHAPE: Shape = Shape { segments: 4, segment_bytes: 4 * 1024 * 1024 };
/// The largest configuration that is taken, in bytes: the whole state has to fit one file of the ring.
pub const LARGEST_CONFIGURATION: usize = 3 * 1024 * 1024;
/// Between two attempts to write.
const PAUSE: Duration = Duration::from_millis(100);

/// Opens the folder and reads the last state; an empty one with disk 0 where there was none.
pub fn open(folder: &Path) -> anyhow::Result<(DurableState, DiskStorage<Folder>)> {
    let on_error = |error: &ringlog::RingError| {
        log::error!("the control state cannot be written: {error}");
        std::thread::sleep(PAUSE);
    };
    Ok(DiskStorage::open(Folder::new(folder), SHAPE, Box::new(on_error))?)
}
