//! The store's log: records are written in batches to a ring of files, by a separate thread that may block
//! on the disk.
use futures_channel::oneshot;
use net::runtime;
use net::wake::Notify;
use queue::Entry;
use ringlog::{Files, Folder, Record, Ring, RingError, SegmentId, Shape};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Size of one ring file.
const SEGMENT_BYTES: usize = 4 * 1024 * 1024;
/// Share of the disk that the ring may use.
const DISK_SHARE: f64 = 0.6;
/// Minimum number of ring files.
const MIN_SEGMENTS: usize = 8;
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Work for the disk thread.
pub enum DiskJob {
    /// Append records, and report when they are durable.
    Append(Vec<Vec<u8>>, oneshot::Sender<Result<Appended, RingError>>),
    /// Start every new file with this record.
    SetPreamble(Vec<u8>),
    /// Free this file, if it is the oldest: it holds no live record any more.
    Release(SegmentId),
}

/// Result of an append: the records are durable.
pub struct Appended {
    /// The file of each record.
    segment_ids: Vec<SegmentId>,
    free: usize,
    oldest: Option<SegmentId>,
}

/// Executes the jobs of a log, one after the other.
pub trait Disk {
    /// Queues a job; never blocks.
    fn submit(&self, job: DiskJob);
}

impl Disk for mpsc::Sender<DiskJob> {
    fn submit(&self, job: DiskJob) {
        // If the thread is gone, nobody answers, and the log treats that as a failed write.
        let _ = self.send(job);
    }
}

/// State of the log that was found when it was opened.
pub struct RecoveredLog {
    /// Ids of the messages that have records in each file.
    message_ids: BTreeMap<SegmentId, BTreeSet<String>>,
    shape: Shape,
    free: usize,
    oldest: Option<SegmentId>,
}

/// A record that waits to be appended.
struct PendingRecord {
    id: String,
    payload: Vec<u8>,
}

/// The log of one store.
pub struct Log {
    pending: RefCell<Vec<PendingRecord>>,
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    wake: Notify,
    disk: Rc<dyn Disk>,
    /// Ids of the messages that have records in each file.
    message_ids: RefCell<BTreeMap<SegmentId, BTreeSet<String>>>,
    shape: Shape,
    free: Cell<usize>,
    oldest: Cell<Option<SegmentId>>,
    /// Number of files that were freed since the start of the process.
    released_files: Cell<usize>,
    /// When the batch in progress was handed to the disk.
    batch_started_at: Cell<Option<Instant>>,
}

/// Number and size of the ring files for a disk of this size.
pub fn ring_shape(disk_mb: f64) -> Shape {
    let segments = (disk_mb * DISK_SHARE * 1_048_576.0) as usize / SEGMENT_BYTES;
    Shape { segments: segments.max(MIN_SEGMENTS), segment_bytes: SEGMENT_BYTES }
}

/// Id of the message that a record belongs to; empty for records of the disk itself.
fn message_id_of(entry: &Entry) -> &str {
    entry.id().unwrap_or_default()
}

/// Why a log can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The ring can't be opened.
    Ring(RingError),
    /// Complete records that this version can't decode.
    Unreadable { records: usize },
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OpenError::Ring(error) => error.fmt(f),
            OpenError::Unreadable { records } => write!(
                f,
                "{records} records of the log can't be decoded by this version; start the version that wrote \
                 them, and let its messages finish before the upgrade"
            ),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<RingError> for OpenError {
    fn from(error: RingError) -> OpenError {
        OpenError::Ring(error)
    }
}

/// Opens the ring and passes each record to `visit`, oldest first. An undecodable record is an error, since
/// skipping it would silently lose its information about a message.
pub fn open_ring<F: Files>(
    files: F,
    shape: Shape,
    visit: &mut dyn FnMut(Entry),
) -> Result<(Ring<F>, RecoveredLog), OpenError> {
    let mut message_ids: BTreeMap<SegmentId, BTreeSet<String>> = BTreeMap::new();
    let mut unreadable = 0;
    let mut read = |segment: SegmentId, record: Record| match borsh::from_slice::<Entry>(&record.payload) {
        Ok(entry) => {
            message_ids.entry(segment).or_default().insert(message_id_of(&entry).to_string());
            visit(entry);
        }
        Err(_) => unreadable += 1,
    };
    let ring = Ring::open_in(files, shape, &mut read)?.ring;
    if unreadable > 0 {
        return Err(OpenError::Unreadable { records: unreadable });
    }
    let recovered = RecoveredLog { message_ids, shape, free: ring.free(), oldest: ring.oldest() };
    Ok((ring, recovered))
}

impl Log {
    /// Opens the log in a folder and starts its disk thread; passes each record to `visit`, oldest first.
    pub fn open(folder: &Path, shape: Shape, visit: &mut dyn FnMut(Entry)) -> anyhow::Result<Rc<Log>> {
        let (ring, recovered) = open_ring(Folder::new(folder), shape, visit)?;
        let (job_sender, job_receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || run_disk_thread(ring, job_receiver))?;
        Ok(Log::with_disk(Rc::new(job_sender), recovered))
    }

    /// The log on a disk that has been opened.
    pub fn with_disk(disk: Rc<dyn Disk>, recovered: RecoveredLog) -> Rc<Log> {
        let log = Rc::new(Log {
            pending: RefCell::default(),
            waiting: RefCell::default(),
            wake: Notify::default(),
            disk,
            message_ids: RefCell::new(recovered.message_ids),
            shape: recovered.shape,
            free: Cell::new(recovered.free),
            oldest: Cell::new(recovered.oldest),
            released_files: Cell::new(0),
            batch_started_at: Cell::new(None),
        });
        runtime::spawn(log.clone().write_batches());
        log
    }

    /// Appends records and waits until they are durable; false if the disk failed.
    pub async fn write(&self, entries: &[Entry]) -> bool {
        entries.iter().for_each(|entry| self.push(entry));
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        self.wake.notify();
        receiver.await.unwrap_or(false)
    }

    /// Starts every new file with a record, so that recovery reads it first whichever files remain.
    pub fn set_preamble(&self, entry: &Entry) {
        self.disk.submit(DiskJob::SetPreamble(borsh::to_vec(entry).expect("writing to memory")));
    }

    /// Appends a record without waiting until it is durable.
    pub fn write_later(&self, entry: &Entry) {
        self.push(entry);
        self.wake.notify();
    }

    fn push(&self, entry: &Entry) {
        let payload = borsh::to_vec(entry).expect("writing to memory");
        self.pending.borrow_mut().push(PendingRecord { id: message_id_of(entry).to_string(), payload });
    }

    /// How long the disk has been working on the current batch.
    pub fn current_batch_age(&self) -> Duration {
        self.batch_started_at.get().map_or(Duration::ZERO, runtime::elapsed)
    }

    /// Share of ring files that are free.
    pub fn free_share(&self) -> f64 {
        self.free.get() as f64 / self.shape.segments as f64
    }

    /// Number of files that were freed since the start of the process.
    pub fn released_files(&self) -> usize {
        self.released_files.get()
    }

    /// The oldest file, and the ids of the messages that have records in it.
    pub fn oldest(&self) -> Option<(SegmentId, Vec<String>)> {
        let oldest = self.oldest.get()?;
        let message_ids = self.message_ids.borrow();
        Some((oldest, message_ids.get(&oldest).into_iter().flatten().cloned().collect()))
    }

    /// Frees the oldest file, which holds no live record any more. The new oldest file is known after the
    /// next write.
    pub fn release(&self, segment: SegmentId) {
        self.message_ids.borrow_mut().remove(&segment);
        self.oldest.set(None);
        self.released_files.set(self.released_files.get() + 1);
        self.disk.submit(DiskJob::Release(segment));
    }

    async fn write_batches(self: Rc<Self>) {
        loop {
            let batch = std::mem::take(&mut *self.pending.borrow_mut());
            let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
            if batch.is_empty() && waiting.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let (ids, payloads) = batch.into_iter().map(|pending| (pending.id, pending.payload)).unzip();
            let written = self.write_batch(ids, payloads).await;
            for waiter in waiting {
                let _ = waiter.send(written);
            }
            if !written {
                runtime::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn write_batch(&self, ids: Vec<String>, payloads: Vec<Vec<u8>>) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.batch_started_at.set(Some(runtime::now()));
        self.disk.submit(DiskJob::Append(payloads, sender));
        let result = receiver.await;
        self.batch_started_at.set(None);
        match result {
            Ok(Ok(appended)) => {
                let mut message_ids = self.message_ids.borrow_mut();
                for (id, segment) in ids.into_iter().zip(appended.segment_ids) {
                    message_ids.entry(segment).or_default().insert(id);
                }
                self.free.set(appended.free);
                self.oldest.set(appended.oldest);
                true
            }
            Ok(Err(error)) => {
                log::error!("writing to the log failed: {error}");
                false
            }
            Err(_) => false,
        }
    }
}

/// Main loop of the disk thread.
fn run_disk_thread(mut ring: Ring, job_receiver: mpsc::Receiver<DiskJob>) {
    while let Ok(job) = job_receiver.recv() {
        execute(&mut ring, job);
    }
}

/// Executes one job on a ring.
pub fn execute<F: Files>(ring: &mut Ring<F>, job: DiskJob) {
    match job {
        DiskJob::Append(payloads, done) => {
            let written = ring.append(&payloads).and_then(|segment_ids| ring.sync().map(|()| segment_ids));
            let (free, oldest) = (ring.free(), ring.oldest());
            let _ = done.send(written.map(|segment_ids| Appended { segment_ids, free, oldest }));
        }
        DiskJob::SetPreamble(record) => ring.set_preamble(record),
        DiskJob::Release(segment) if ring.oldest() == Some(segment) => ring.release_oldest(),
        DiskJob::Release(segment) => {
            log::warn!("file {segment} isn't the oldest of the ring and is not freed")
        }
    }
}
