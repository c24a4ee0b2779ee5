//! A log on a ring of preallocated files.
//!
//! Files of one size stand in a folder from the start. The log fills one after the other; a file is used again once
//! nothing in it counts any more, which the owner of the log says. Every file begins with a header that holds its
//! generation; every record holds its length, that generation and a checksum, so that what an earlier use of the file
//! left, or a torn write, is never read as a record.
//!
//! Nothing that was synced is lost for a torn write: writing goes on in another file after each opening, and a file is
//! synced whole before the next one is begun.
mod files;
mod segment;
mod writer;

pub use files::{Files, Folder};
pub use segment::{read_segment, Record, SegmentId, HEADER_BYTES, RECORD_OVERHEAD};
pub use writer::{read, Opened, Ring, RingError, Shape};
