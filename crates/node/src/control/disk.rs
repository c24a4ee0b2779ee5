//! The group's durable state on a ring of files: the whole state with each change, the last one counts.
use control::{Durable, Storage};
use ringlog::{Ring, RingError, Shape};
use std::path::Path;

const SHAPE: Shape = Shape { segments: 4, segment_bytes: 4 * 1024 * 1024 };

/// The disk of a control machine. A write is waited for: a machine whose disk stalls is silent, and others lead.
pub struct Disk {
    ring: Ring,
}

impl Disk {
    /// Opens the folder and reads the last state; an empty one with disk 0 where there was none.
    pub fn open(folder: &Path) -> anyhow::Result<(Durable, Disk)> {
        let mut last = Vec::new();
        let opened = Ring::open(folder, SHAPE, &mut |_, record| last = record.payload)?;
        let durable = match last.is_empty() {
            true => Durable::default(),
            false => borsh::from_slice(&last).map_err(|error| {
                anyhow::anyhow!("the state on disk is of another version ({error}); update")
            })?,
        };
        Ok((durable, Disk { ring: opened.ring }))
    }

    fn write(&mut self, durable: &Durable) -> Result<(), RingError> {
        // Only the last record counts, so all but the files that hold it are free.
        while self.ring.free() < 2 && self.ring.oldest().is_some() {
            self.ring.release_oldest();
        }
        let payload = borsh::to_vec(durable).expect("writing to memory");
        self.ring.append(&[payload])?;
        self.ring.sync()
    }
}

impl Storage for Disk {
    fn save(&mut self, durable: &Durable) {
        // A machine that can't keep its promises must not make any: it waits until it can.
        while let Err(error) = self.write(durable) {
            log::error!("the control state cannot be written: {error}");
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    }
}
