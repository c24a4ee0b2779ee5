//! What this process takes of its machine, asked of the system.
use std::time::Duration;

/// Processor time of all its threads since its start, to the nanosecond where the system has that; None where it does not
/// tell.
pub fn cpu_time() -> Option<Duration> {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the system writes one timespec into a place that is ours.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_PROCESS_CPUTIME_ID, &raw mut time) };
    let (seconds, rest) = (u64::try_from(time.tv_sec).ok()?, u32::try_from(time.tv_nsec).ok()?);
    (result == 0).then(|| Duration::new(seconds, rest))
}

/// Bytes of its memory that are in the machine's; None where that can't be read, as without a free descriptor. One small
/// file is read, so it is for those who ask, not for what is done for each message.
pub fn resident_memory() -> Option<u64> {
    let pages = resident_pages(&std::fs::read_to_string("/proc/self/statm").ok()?)?;
    // SAFETY: the system only reads its argument.
    let size = u64::try_from(unsafe { libc::sysconf(libc::_SC_PAGESIZE) }).ok()?;
    pages.checked_mul(size)
}

/// The second number of `/proc/self/statm`.
fn resident_pages(statm: &str) -> Option<u64> {
    statm.split_ascii_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
#[path = "process_tests.rs"]
mod tests;
