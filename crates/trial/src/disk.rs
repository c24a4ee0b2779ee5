//! How long the rig's own writes to a trial's disk take. What a sender says rests on a write to its journal, so while a
//! write stands for the machine's sake, what the sender does late is not its own.
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Between a write and the next.
const EVERY: Duration = Duration::from_millis(20);
/// What is appended at a time: a round of some messages.
const PIECE: [u8; 512] = [b'.'; 512];

#[derive(Default)]
struct Writes {
    /// The one that has not returned yet.
    begun: Option<Instant>,
    longest: Duration,
    is_over: bool,
}

/// Appends to a file of its own as journals do, by a thread that ends with this.
pub struct DiskWatch(Arc<Mutex<Writes>>);

/// Nothing that is done under the lock can leave it half done.
fn lock(writes: &Mutex<Writes>) -> MutexGuard<'_, Writes> {
    writes.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiskWatch {
    /// Errors: the file or the thread can't be had.
    pub fn start(folder: &Path) -> io::Result<DiskWatch> {
        let mut file = File::create(folder.join("disk-watch"))?;
        DiskWatch::watch(move || file.write_all(&PIECE))
    }

    /// Times any kind of write, again and again; one that fails is not a long one. Errors: the thread can't be had.
    pub fn watch(mut write: impl FnMut() -> io::Result<()> + Send + 'static) -> io::Result<DiskWatch> {
        let watch = DiskWatch(Arc::default());
        let writes = watch.0.clone();
        thread::Builder::new().name("disk watch".into()).spawn(move || loop {
            {
                let mut writes = lock(&writes);
                if writes.is_over {
                    return;
                }
                writes.begun = Some(Instant::now());
            }
            let written = write();
            {
                let mut writes = lock(&writes);
                let took = writes.begun.take().map_or(Duration::ZERO, |begun| begun.elapsed());
                if written.is_ok() {
                    writes.longest = writes.longest.max(took);
                }
            }
            thread::sleep(EVERY);
        })?;
        Ok(watch)
    }

    /// How long the longest write took, or one that has not returned has taken so far.
    pub fn longest(&self) -> Duration {
        let writes = lock(&self.0);
        writes.longest.max(writes.begun.map_or(Duration::ZERO, |begun| begun.elapsed()))
    }
}

impl Drop for DiskWatch {
    fn drop(&mut self) {
        lock(&self.0).is_over = true;
    }
}
