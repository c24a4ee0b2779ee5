//! What a process is told of itself follows what it does.
use super::*;

#[test]
fn processor_time_grows_with_work_and_is_not_the_clocks() {
    let before = cpu_time().unwrap();
    let mut sum = 0u64;
    while cpu_time().unwrap() < before + Duration::from_millis(5) {
        sum = std::hint::black_box(sum.wrapping_add(1));
    }
    assert!(sum > 0);
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
