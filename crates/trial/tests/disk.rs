//! The rig's look at the disk.
use std::io;
use std::sync::mpsc;
use std::time::Duration;
use trial::disk::DiskWatch;

#[test]
fn a_write_that_stands_counts_while_it_stands_and_after_it() {
    let (begun, has_begun) = mpsc::channel();
    let (go, may_go) = mpsc::channel::<()>();
    let write = move || {
        let _ = begun.send(());
        // Whoever has gone holds nobody up.
        let _ = may_go.recv();
        Ok(())
    };
    let watch = DiskWatch::watch(write).unwrap();
    has_begun.recv().unwrap();
    let long = Duration::from_millis(30);
    while watch.longest() < long {
        std::thread::yield_now();
    }
    go.send(()).unwrap();
    // What stood is remembered though another has begun since.
    has_begun.recv().unwrap();
    assert!(watch.longest() >= long);
}

#[test]
fn a_write_that_fails_at_once_is_no_long_one() {
    let (tried, tries) = mpsc::channel();
    let write = move || {
        let _ = tried.send(());
        Err(io::Error::from(io::ErrorKind::StorageFull))
    };
    let watch = DiskWatch::watch(write).unwrap();
    (0..3).for_each(|_| tries.recv().unwrap());
    drop(watch);
    // Its thread ends with it, and takes the sender of these with it.
    while tries.recv().is_ok() {}
}
