//! Several processes of the program with faults between them, judged from all that was seen.
use std::path::Path;
use std::sync::{Condvar, Mutex, PoisonError};
use trial::file::Trial;
use trial::peers::folders;
use trial::run::{keep, play, Play};

/// Says nothing where the machine kept the rig itself from its work; so often it is then played again.
const AGAIN: usize = 3;

/// Trials are of real time: with more of them at once each takes the others' cores and disk.
const AT_ONCE: usize = 4;

static PLAYING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place among the trials that are played at once, given back however it ends.
struct Place;

impl Place {
    fn take() -> Place {
        let playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |playing: &mut usize| *playing >= AT_ONCE;
        *ENDED.wait_while(playing, full).unwrap_or_else(PoisonError::into_inner) += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLAYING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Plays a trial as it stands, and once more where the run says nothing.
fn is_good(name: &str, seed: u64) {
    let _place = Place::take();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/trials/{name}.toml"));
    let trial = Trial::read(&std::fs::read_to_string(file).unwrap()).unwrap();
    let folder = folders().join(format!("trial-{name}-{}", std::process::id()));
    for _ in 0..AGAIN {
        let (trial, folder) = (trial.clone(), folder.clone());
        let (verdict, history) = play(Play { trial, seed, folder: folder.clone(), program: None }).unwrap();
        if let Some(why) = verdict.void {
            println!("{name}, seed {seed}, says nothing: {why}");
            continue;
        }
        if verdict.findings.is_empty() {
            std::fs::remove_dir_all(&folder).unwrap();
            return;
        }
        keep(&folder, &verdict, &history).unwrap();
        panic!("{name}, seed {seed}; see {}: {:#?}", folder.display(), verdict.findings);
    }
    panic!("{name}, seed {seed}: the machine is too busy for any verdict");
}

#[test]
fn members_that_are_heard_by_nobody_and_hear_all_are_known_again() {
    is_good("one-way-cut", 1);
}

#[test]
fn seven_in_ten_killed_at_once_keep_what_they_took_on() {
    is_good("herd-kill", 1);
}

#[test]
fn a_holder_that_freezes_while_it_acts_is_followed_by_one_other() {
    is_good("holder-frozen", 1);
}

#[test]
fn a_machine_drains_though_its_permit_is_lost_half_way() {
    is_good("permit-lost", 1);
}

#[test]
fn upgrades_under_a_cut_lose_and_repeat_nothing() {
    is_good("upgrade-cut", 1);
}

#[test]
fn a_full_disk_that_takes_the_log_too_ends_no_process() {
    is_good("disk-full", 1);
}

#[test]
fn a_third_process_beside_the_first_two_repeats_nothing() {
    is_good("upgrade-twice", 1);
}

#[test]
fn new_settings_and_half_a_file_amid_kills_and_upgrades_lose_nothing() {
    is_good("reload", 1);
}

#[test]
fn wall_clocks_a_minute_off_neither_lose_nor_repeat_anything() {
    is_good("clocks", 1);
}

#[test]
fn a_holder_in_the_smaller_part_of_a_cut_gives_its_duty_back_though_the_store_answers() {
    is_good("part-small", 1);
}

#[test]
fn a_roll_in_the_midst_of_a_cut_leaves_one_fleet() {
    is_good("part-roll", 1);
}

#[test]
fn kills_and_signals_inside_a_window_of_a_second_repeat_nothing_beyond_it() {
    is_good("window-short", 1);
}

#[test]
fn upgrades_inside_a_window_of_a_second_repeat_nothing_beyond_it() {
    is_good("window-upgrade", 1);
}

#[test]
fn every_trial_of_the_folder_is_one() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/trials");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    assert!(files.len() > 12, "{files:?}");
    for file in files {
        let trial = Trial::read(&std::fs::read_to_string(&file).unwrap()).unwrap();
        assert_eq!(Some(trial.name.as_str()), file.file_stem().unwrap().to_str());
        trial.with_senders(30).unwrap();
    }
}
