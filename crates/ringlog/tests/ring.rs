//! The ring against what a disk may do to it. Each test opens what an earlier one left, as a restart does.
use ringlog::{Ring, RingError, Shape};
use rstest::rstest;
use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const SHAPE: Shape = Shape { segments: 4, segment_bytes: 256 };

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("ring-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(path: &Path) -> (Ring, Vec<Vec<u8>>) {
    let mut records = Vec::new();
    let opened = Ring::open(path, SHAPE, &mut |_, record| records.push(record.payload)).unwrap();
    (opened.ring, records)
}

fn payload(i: u8) -> Vec<u8> {
    vec![i; 60]
}

#[test]
fn what_was_appended_is_read_in_its_order_over_several_files() {
    let folder = Folder::new("order");
    let (mut ring, records) = open(&folder.0);
    assert!(records.is_empty());
    for i in 0..6 {
        ring.append(&[payload(i)]).unwrap();
    }
    ring.sync().unwrap();
    let (_, records) = open(&folder.0);
    assert_eq!(records, (0..6).map(payload).collect::<Vec<_>>());
}

#[test]
fn a_batch_may_cross_files() {
    let folder = Folder::new("batch");
    let (mut ring, _) = open(&folder.0);
    let batch: Vec<_> = (0..7).map(payload).collect();
    let places = ring.append(&batch).unwrap();
    assert_eq!(places, [0, 0, 0, 1, 1, 1, 2]);
    ring.sync().unwrap();
    assert_eq!(open(&folder.0).1, batch);
}

#[test]
fn a_full_ring_takes_nothing_and_loses_nothing() {
    let folder = Folder::new("full");
    let (mut ring, _) = open(&folder.0);
    for i in 0..12 {
        ring.append(&[payload(i)]).unwrap();
    }
    assert!(matches!(ring.append(&[payload(99)]), Err(RingError::Full)));
    ring.release_oldest();
    ring.append(&[payload(12)]).unwrap();
    ring.sync().unwrap();
    let (_, records) = open(&folder.0);
    assert_eq!(records, (3..13).map(payload).collect::<Vec<_>>());
}

#[test]
fn files_are_used_in_their_order_after_a_restart_too() {
    let folder = Folder::new("restart");
    for i in 0..4 {
        let (mut ring, records) = open(&folder.0);
        assert_eq!(records.len(), i as usize);
        ring.append(&[payload(i)]).unwrap();
        ring.sync().unwrap();
    }
    let (mut ring, _) = open(&folder.0);
    assert_eq!(ring.oldest(), Some(0));
    assert!(matches!(ring.append(&[payload(4)]), Err(RingError::Full)));
    ring.release_oldest();
    ring.append(&[payload(4)]).unwrap();
    assert_eq!(ring.oldest(), Some(1));
}

#[test]
fn a_record_larger_than_a_file_is_refused() {
    let folder = Folder::new("large");
    let (mut ring, _) = open(&folder.0);
    assert!(matches!(ring.append(&[vec![0; 300]]), Err(RingError::TooLarge)));
}

/// A write that was torn at any byte takes nothing with it that was there before, and is not read itself.
#[rstest]
#[case(0)]
#[case(3)]
#[case(15)]
#[case(16)]
#[case(40)]
#[case(75)]
fn a_torn_write_is_told_from_what_was_synced(#[case] kept: u64) {
    let folder = Folder::new(&format!("torn-{kept}"));
    let (mut ring, _) = open(&folder.0);
    ring.append(&[payload(1)]).unwrap();
    ring.sync().unwrap();
    ring.append(&[payload(2)]).unwrap();
    drop(ring);
    let start = ringlog::HEADER_BYTES as u64 + 76;
    let mut file = OpenOptions::new().write(true).open(folder.0.join("segment-000")).unwrap();
    file.seek(SeekFrom::Start(start + kept)).unwrap();
    file.write_all(&vec![0; (76 - kept) as usize]).unwrap();
    let (mut ring, records) = open(&folder.0);
    assert_eq!(records, [payload(1)]);
    // What is written after that is found with it.
    ring.append(&[payload(3)]).unwrap();
    ring.sync().unwrap();
    assert_eq!(open(&folder.0).1, [payload(1), payload(3)]);
}

#[test]
fn records_of_an_earlier_use_of_a_file_are_never_read() {
    let folder = Folder::new("stale");
    let (mut ring, _) = open(&folder.0);
    for i in 0..12 {
        ring.append(&[payload(i)]).unwrap();
    }
    for _ in 0..3 {
        ring.release_oldest();
    }
    // One record of the same size over the first of three: the other two stand behind it, whole.
    ring.append(&[payload(50)]).unwrap();
    ring.sync().unwrap();
    let (_, records) = open(&folder.0);
    assert_eq!(records.iter().filter(|record| **record == payload(50)).count(), 1);
    assert!(!records.contains(&payload(1)) && !records.contains(&payload(2)));
}

/// What was given up when the last file was begun isn't read at the next opening; if that file's header is torn, it is.
#[rstest]
#[case::whole(false)]
#[case::torn(true)]
fn files_that_were_given_up_are_read_only_if_the_last_header_is_torn(#[case] torn: bool) {
    let folder = Folder::new(&format!("given-up-{torn}"));
    let (mut ring, _) = open(&folder.0);
    for i in 0..9 {
        ring.append(&[payload(i)]).unwrap();
    }
    ring.release_oldest();
    ring.release_oldest();
    let places = ring.append(&[payload(9)]).unwrap();
    ring.sync().unwrap();
    drop(ring);
    if torn {
        let path = folder.0.join(format!("segment-{:03}", places[0]));
        let mut file = OpenOptions::new().write(true).open(path).unwrap();
        file.write_all(&[0xff; 9]).unwrap();
    }
    let expected: Vec<_> = if torn { (0..9).map(payload).collect() } else { (6..10).map(payload).collect() };
    assert_eq!(open(&folder.0).1, expected);
}

/// The preamble is read before all else, whatever has been given up, and other records have less room by it.
#[test]
fn each_file_begins_with_the_preamble() {
    let folder = Folder::new("preamble");
    let (mut ring, _) = open(&folder.0);
    ring.set_preamble(vec![200; 10]);
    for i in 0..6 {
        ring.append(&[payload(i)]).unwrap();
    }
    ring.release_oldest();
    ring.append(&[payload(6)]).unwrap();
    ring.sync().unwrap();
    drop(ring);
    let mut expected = Vec::new();
    for pair in [[2, 3], [4, 5]] {
        expected.push(vec![200; 10]);
        expected.extend(pair.map(payload));
    }
    expected.extend([vec![200; 10], payload(6)]);
    assert_eq!(open(&folder.0).1, expected);
    let (mut ring, _) = open(&folder.0);
    ring.set_preamble(vec![200; 200]);
    assert!(matches!(ring.append(&[payload(1)]), Err(RingError::TooLarge)));
}

#[test]
fn a_ring_of_another_version_is_refused() {
    let folder = Folder::new("version");
    let (mut ring, _) = open(&folder.0);
    ring.append(&[payload(1)]).unwrap();
    drop(ring);
    let mut file = OpenOptions::new().write(true).open(folder.0.join("segment-000")).unwrap();
    file.write_all(b"mstring1").unwrap();
    let opened = Ring::open(&folder.0, SHAPE, &mut |_, _| {});
    assert!(matches!(opened.map(|_| ()), Err(RingError::OtherVersion)));
}

#[test]
fn a_torn_header_loses_only_what_was_not_synced() {
    let folder = Folder::new("header");
    let (mut ring, _) = open(&folder.0);
    for i in 0..3 {
        ring.append(&[payload(i)]).unwrap();
    }
    ring.append(&[payload(3)]).unwrap();
    drop(ring);
    let mut file = OpenOptions::new().write(true).open(folder.0.join("segment-001")).unwrap();
    file.write_all(&[0xff; 9]).unwrap();
    assert_eq!(open(&folder.0).1, (0..3).map(payload).collect::<Vec<_>>());
}

/// Begins the next file, and tears it before anything in it was synced: its header is there, or not, and no record.
fn torn_start(path: &Path, header_is_there: bool) {
    let (mut ring, _) = open(path);
    let places = ring.append(&[payload(99)]).unwrap();
    let file = path.join(format!("segment-{:03}", places[0]));
    drop(ring);
    let whole = std::fs::read(&file).unwrap();
    let kept = if header_is_there { ringlog::HEADER_BYTES } else { 0 };
    let torn = [&whole[..kept], &vec![0; whole.len() - kept][..]].concat();
    std::fs::write(&file, torn).unwrap();
}

/// A process that lost power in three starts running, each before its first sync, found the next file of its ring in
/// use while two were free, and could never write again.
#[rstest]
fn starts_that_are_torn_one_after_the_other_leave_room_and_the_last_record(
    #[values(1, 2, 3, 4, 5, 9)] starts: usize,
    #[values(true, false)] header_is_there: bool,
) {
    let folder = Folder::new(&format!("torn-{starts}-{header_is_there}"));
    let (mut ring, _) = open(&folder.0);
    ring.append(&[payload(1)]).unwrap();
    ring.sync().unwrap();
    drop(ring);
    for _ in 0..starts {
        torn_start(&folder.0, header_is_there);
    }
    let (mut ring, records) = open(&folder.0);
    assert_eq!(records, [payload(1)]);
    ring.append(&[payload(2)]).expect("files are free");
    ring.sync().unwrap();
    assert_eq!(open(&folder.0).1, [payload(1), payload(2)]);
}

/// A file in use is passed over, and what is read afterwards still comes in the order in which it was written.
#[test]
fn files_that_are_passed_over_keep_their_place_in_the_order() {
    let folder = Folder::new("passed-over");
    let (mut ring, _) = open(&folder.0);
    ring.append(&[payload(1)]).unwrap();
    ring.sync().unwrap();
    drop(ring);
    (0..3).for_each(|_| torn_start(&folder.0, true));
    let (mut ring, _) = open(&folder.0);
    for i in 2..9 {
        ring.append(&[payload(i)]).unwrap();
    }
    ring.sync().unwrap();
    assert_eq!(open(&folder.0).1, (1..9).map(payload).collect::<Vec<_>>());
    assert_eq!(ring.oldest(), Some(0), "the file that was begun first is released first");
    ring.release_oldest();
    assert_eq!(ring.oldest(), Some(1));
}
