//! What a process is told of itself follows what it does.
use super::*;
use std::time::Instant;

#[test]
fn processor_time_grows_with_work_and_is_no_clock() {
    let (begun, before) = (Instant::now(), cpu_time().unwrap());
    // A clock shows how long the machine has been up, or the date.
    assert!(before < Duration::from_secs(60), "{before:?}");
    // Other tests' threads may add to it.
    while cpu_time().unwrap() < before + Duration::from_millis(5) {
        assert!(begun.elapsed() < Duration::from_secs(60), "it stands still");
    }
}

#[test]
fn resident_memory_grows_by_what_is_written_to() {
    const SIZE: usize = 64 << 20;
    let before = resident_memory().unwrap();
    let room = std::hint::black_box(vec![1u8; SIZE]);
    let after = resident_memory().unwrap();
    assert!(after > before + (SIZE as u64) / 2, "{before} {after}");
    drop(room);
}

#[test]
fn a_file_of_another_form_tells_nothing() {
    assert_eq!(resident_pages("5000 1234 100 9 0 300 0\n"), Some(1_234));
    for odd in ["", "5000", "5000 x", "5000 -1 3", "5000 99999999999999999999"] {
        assert_eq!(resident_pages(odd), None, "{odd}");
    }
}
