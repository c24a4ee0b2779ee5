//! Loss of power at any moment, with any part of what was not synced: what recovery finds must be in keeping with what
//! clients, endpoints and the platform were told.
mod model;
use bytes::Bytes;
use journal::*;
use model::{Dice, Disk, Folder};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

const DISK_MB: f64 = 0.05;

fn stamp(at: i64) -> Stamp {
    Stamp { own: at, wall: at }
}

fn names(number: u64) -> Names {
    Names { file: format!("journal.{number}"), rewrite: format!("rewrite.{number}") }
}

fn number(name: &str) -> Option<u64> {
    name.strip_prefix("journal.")?.parse().ok()
}

fn taken(id: u64, body: usize) -> Arc<Taken> {
    Arc::new(Taken {
        id,
        class: "order".into(),
        tenant: String::new(),
        dest: 7,
        trace: format!("trace-{id}"),
        key: None,
        end: 10_000,
        rules: None,
        body: Bytes::from(vec![id as u8; body]),
    })
}

fn begun(number: u32) -> Begun {
    Begun { number, at: 1, endpoint: "e-1".into(), wait: None, never_ran: false }
}

/// What the world outside knows of a message.
#[derive(Clone, Debug, Default)]
struct Told {
    /// 202.
    acknowledged: bool,
    /// 503: it may come again.
    refused: bool,
    /// Attempts that were written to an endpoint, and of these those that are known not to have run.
    begun: u32,
    never_ran: BTreeSet<u32>,
    delivered: bool,
    /// A notice was sent.
    notice: Option<Ending>,
    /// And answered.
    is_over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Take(usize),
    Begin,
    Turned,
    Deliver,
    Decide(bool),
    Noticed,
    Rewrite,
    /// A process beside this one takes over all that is not out, then this one ends.
    Upgrade,
    /// The process is killed, and the next one starts on its files.
    Kill,
}

struct Machine {
    folder: Folder,
    journal: Option<Journal<Folder>>,
    number: u64,
    next: u64,
    told: BTreeMap<u64, Told>,
    dice: Dice,
}

impl Machine {
    fn new(seed: u64) -> Machine {
        let folder = Folder::default();
        let mut machine = Machine {
            folder,
            journal: None,
            number: 0,
            next: 0,
            told: BTreeMap::new(),
            dice: Dice::new(seed),
        };
        assert!(machine.start(), "a start without faults");
        machine
    }

    /// A process on what is there; false if a fault keeps it from that.
    fn start(&mut self) -> bool {
        self.journal = None;
        let files = self.folder.0.borrow().files();
        let numbers: BTreeSet<u64> = files.keys().filter_map(|n| number(n)).collect();
        self.number = numbers.last().copied().unwrap_or(0).max(self.number) + 1;
        self.next = first_id(self.number);
        let made = Journal::create(
            self.folder.clone(),
            names(self.number),
            self.number,
            DISK_MB,
            Durability::Power,
            self.number * 77,
            stamp(0),
        );
        let Ok(mut journal) = made else { return false };
        let left = recover_all(&files);
        let others: usize = files.values().map(Vec::len).sum();
        journal.set_others(others as u64);
        let redundant: Vec<String> = left.redundant.iter().map(|n| names(*n).file).collect();
        if journal.discard(&redundant).is_err() {
            return false;
        }
        let records: Vec<Record> =
            left.messages.iter().flat_map(Live::records).chain(seen(left.seen.into_iter())).collect();
        if journal.take_over(&records, stamp(1)).is_err() {
            return false;
        }
        let done: Vec<String> = files.keys().cloned().collect();
        if journal.discard(&done).is_err() {
            return false;
        }
        journal.set_others(0);
        journal.forget_seen();
        self.journal = Some(journal);
        true
    }

    /// As the sender does: what is unknown is settled by a new file before anything is said, or not at all.
    fn write(&mut self, records: &[Record]) -> Result<(), bool> {
        let Some(journal) = &mut self.journal else { return Err(false) };
        if journal.is_uncertain() && journal.renew(stamp(2)).is_err() {
            return Err(true);
        }
        match journal.write(records, stamp(2)) {
            Ok(()) => Ok(()),
            Err(Fault::Clean(_)) => Err(true),
            Err(Fault::Unknown(_)) => Err(journal.renew(stamp(2)).is_ok()),
        }
    }

    fn some(&mut self, fits: impl Fn(&Told) -> bool) -> Option<u64> {
        let live = |t: &Told| t.acknowledged && !t.delivered && !t.is_over;
        let fitting: Vec<u64> =
            self.told.iter().filter(|(_, t)| live(t) && fits(t)).map(|(&id, _)| id).collect();
        let pick = self.dice.below(fitting.len());
        fitting.get(pick).copied()
    }

    fn step(&mut self, step: Step) {
        if self.journal.is_none() && !self.start() {
            return;
        }
        let out = |t: &Told| (0..t.begun).any(|n| !t.never_ran.contains(&n));
        match step {
            Step::Take(body) => {
                let id = self.next;
                self.next += 1;
                let taken = taken(id, body);
                if self.journal.as_ref().is_none_or(|j| j.has_room(&taken, 0).is_none()) {
                    return;
                }
                let written = self.write(&[Record::Taken(taken)]);
                let told = self.told.entry(id).or_default();
                match written {
                    Ok(()) => told.acknowledged = true,
                    Err(certain) => told.refused = certain,
                }
            }
            Step::Begin => {
                let Some(id) = self.some(|t| !out(t) && t.notice.is_none()) else { return };
                let attempt = self.told[&id].begun;
                if self.write(&[Record::Begun(id, begun(attempt))]).is_ok() {
                    self.told.get_mut(&id).unwrap().begun += 1;
                }
            }
            Step::Turned => {
                let Some(id) = self.some(|t| out(t) && t.notice.is_none()) else { return };
                let told = self.told.get_mut(&id).unwrap();
                let attempt = told.begun - 1;
                told.never_ran.insert(attempt);
                let _ = self.write(&[Record::NeverRan(id, attempt)]);
            }
            Step::Deliver => {
                let Some(id) = self.some(|t| out(t) && t.notice.is_none()) else { return };
                self.told.get_mut(&id).unwrap().delivered = true;
                let _ = self.write(&[Record::Ended(id)]);
            }
            Step::Decide(back) => {
                // What may have run is never handed back.
                let Some(id) = self.some(|t| t.notice.is_none() && !(back && out(t))) else { return };
                let ending = if back { Ending::HandedBack(Some(500)) } else { Ending::GivenUp };
                let written = self.write(&[Record::Decided(id, ending)]);
                let said = if written.is_ok() { ending } else { Ending::GivenUp };
                self.told.get_mut(&id).unwrap().notice = Some(said);
            }
            Step::Noticed => {
                let Some(id) = self.some(|t| t.notice.is_some()) else { return };
                self.told.get_mut(&id).unwrap().is_over = true;
                let _ = self.write(&[Record::Ended(id)]);
            }
            Step::Rewrite => {
                // Room for one that does not fit makes it rewrite.
                let Some(journal) = &mut self.journal else { return };
                let big = vec![Record::Seen((0..1_000).collect()); 6];
                let _ = journal.write(&big, stamp(3));
                if journal.is_uncertain() {
                    let _ = journal.renew(stamp(3));
                }
            }
            Step::Upgrade => self.upgrade(),
            Step::Kill => _ = self.start(),
        }
    }

    fn upgrade(&mut self) {
        let Some(mut old) = self.journal.take() else { return };
        let out: Vec<(u64, u32)> = old
            .ledger()
            .live
            .values()
            .filter(|l| l.ending.is_none())
            .flat_map(|l| l.attempts.iter().filter(|a| !a.never_ran).map(|a| (l.taken.id, a.number)))
            .collect();
        if old.give_over(Record::Yielded(out, Inheritance::default()), stamp(4)).is_err() {
            // It keeps all.
            if old.is_uncertain() {
                let _ = old.renew(stamp(4));
            }
            self.journal = Some(old);
            return;
        }
        // The old one has ended: what it did not yield is taken over as what it left.
        drop(old);
        self.start();
    }

    /// What a start would find after a loss of power is in keeping with what was told.
    fn check(&self, files: &BTreeMap<String, Vec<u8>>, how: &str) {
        let left = recover_all(files);
        let found: BTreeMap<u64, &Live> = left.messages.iter().map(|l| (l.taken.id, l)).collect();
        assert_eq!(found.len(), left.messages.len(), "{how}: each message once");
        for (id, told) in &self.told {
            let Some(live) = found.get(id) else {
                let ended = told.delivered || told.is_over;
                assert!(!told.acknowledged || ended, "{how}: {id} is lost: {told:?}");
                continue;
            };
            assert!(!told.refused, "{how}: {id} was refused and is there: {told:?}");
            let may_have_run = live.attempts.iter().any(|a| !a.never_ran);
            let did = (0..told.begun).any(|n| !told.never_ran.contains(&n));
            if did && live.ending.is_none() {
                assert!(may_have_run, "{how}: {id} may have run and is not known to: {told:?} {live:?}");
            }
            match (told.notice, live.ending) {
                (Some(Ending::HandedBack(_)), None) => {
                    panic!("{how}: {id} was handed back and would be sent")
                }
                (Some(Ending::HandedBack(_)), Some(Ending::GivenUp)) | (None, Some(_))
                    if told.acknowledged && told.notice.is_some() =>
                {
                    panic!("{how}: {id} would end twice: {told:?} {live:?}")
                }
                _ => {}
            }
            assert_eq!(live.taken.body, taken(*id, live.taken.body.len()).body, "{how}: {id}'s body");
        }
    }
}

fn recover_all(files: &BTreeMap<String, Vec<u8>>) -> Left {
    let whole = |(name, bytes): (&String, &Vec<u8>)| {
        let number = number(name)?;
        Some((number, Whole::new(number, &read(bytes).expect("no newer version"))))
    };
    recover(files.iter().filter_map(whole).collect())
}

/// Every state that a loss of power could leave here, if there are not too many; else some of them.
fn check_losses(machine: &mut Machine, how: &str, most: usize) {
    let disk = machine.folder.0.borrow().clone();
    let open = disk.open_changes();
    let all = open < 12 && 1 << open <= most;
    for state in 0..if all { 1 << open } else { most } {
        let mut bit = 0;
        let files = if all {
            disk.after_power_loss(|| {
                bit += 1;
                state >> (bit - 1) & 1 == 1
            })
        } else {
            let dice = &mut machine.dice;
            disk.after_power_loss(|| dice.one_in(2))
        };
        machine.check(&files, &format!("{how}, state {state}"));
    }
}

const ALL: [Step; 9] = [
    Step::Take(20),
    Step::Begin,
    Step::Turned,
    Step::Deliver,
    Step::Decide(true),
    Step::Noticed,
    Step::Rewrite,
    Step::Upgrade,
    Step::Kill,
];

#[test]
fn every_state_after_every_short_run_is_in_keeping_with_what_was_told() {
    let mut runs = vec![vec![]];
    for _ in 0..4 {
        runs = runs.iter().flat_map(|run| ALL.map(|s| [run.clone(), vec![s]].concat())).collect();
    }
    for run in runs {
        // Only runs in which something is taken on have anything to lose.
        if !run.contains(&Step::Take(20)) {
            continue;
        }
        let mut machine = Machine::new(1);
        for (i, &step) in run.iter().enumerate() {
            machine.step(step);
            if i + 1 == run.len() {
                check_losses(&mut machine, &format!("{run:?}"), 4_096);
            }
        }
    }
}

#[test]
fn a_failure_of_any_operation_in_a_short_run_keeps_what_was_told() {
    let runs: [&[Step]; 4] = [
        &[Step::Take(20), Step::Begin, Step::Turned, Step::Decide(true), Step::Noticed, Step::Take(9)],
        &[Step::Take(600), Step::Rewrite, Step::Take(20), Step::Begin, Step::Deliver, Step::Take(9)],
        &[Step::Take(20), Step::Begin, Step::Upgrade, Step::Take(20), Step::Kill, Step::Take(9)],
        &[Step::Take(20), Step::Kill, Step::Decide(true), Step::Kill, Step::Begin, Step::Take(9)],
    ];
    for run in runs {
        for fails in 0..60 {
            let mut machine = Machine::new(1);
            let before = machine.folder.0.borrow().operations;
            machine.folder.0.borrow_mut().fails = Some(before + fails);
            for (i, &step) in run.iter().enumerate() {
                machine.step(step);
                check_losses(&mut machine, &format!("{run:?} after {i}, operation {fails} fails"), 256);
            }
            // It goes on: what was taken on before is there for a process that starts now.
            machine.folder.0.borrow_mut().fails = None;
            machine.step(Step::Kill);
            check_losses(&mut machine, &format!("{run:?}, restarted, operation {fails} failed"), 256);
            assert!(machine.journal.is_some(), "{run:?}, operation {fails} failed: it does not start");
        }
    }
}

#[test]
fn long_runs_with_faults_keep_what_was_told() {
    for seed in 0..150 {
        let mut machine = Machine::new(seed);
        for i in 0..80 {
            let step = match machine.dice.below(12) {
                0..=2 => Step::Take([20, 600, 3_000][machine.dice.below(3)]),
                3 | 4 => Step::Begin,
                5 => Step::Turned,
                6 => Step::Deliver,
                7 => Step::Decide(machine.dice.one_in(2)),
                8 => Step::Noticed,
                9 => Step::Rewrite,
                10 if machine.dice.one_in(3) => Step::Upgrade,
                11 if machine.dice.one_in(3) => Step::Kill,
                _ => Step::Take(100),
            };
            if machine.dice.one_in(15) {
                let fails = machine.folder.0.borrow().operations + machine.dice.below(4);
                machine.folder.0.borrow_mut().fails = Some(fails);
            }
            machine.step(step);
            check_losses(&mut machine, &format!("seed {seed}, step {i} {step:?}"), 12);
            if machine.dice.one_in(40) {
                // The power goes, and the machine starts on what is left of it.
                let disk = machine.folder.0.borrow().clone();
                let dice = &mut machine.dice;
                let files = disk.after_power_loss(|| dice.one_in(2));
                machine.check(&files, &format!("seed {seed}, loss at {i}"));
                let found: BTreeSet<u64> = recover_all(&files).messages.iter().map(|l| l.taken.id).collect();
                machine.folder = Folder(Rc::new(RefCell::new(Disk::with_files(files))));
                // What was never acknowledged but is there is owed its end all the same; what is gone was over.
                for (id, told) in &mut machine.told {
                    told.acknowledged |= found.contains(id);
                    told.is_over |= !found.contains(id);
                }
                machine.start();
            }
        }
    }
}

#[test]
fn a_start_that_is_cut_short_again_and_again_converges_within_the_disk() {
    let mut machine = Machine::new(3);
    while machine.told.len() < 1_000 {
        machine.step(Step::Take(300));
        if machine.told.values().filter(|t| t.acknowledged).count() < machine.told.len()
            || machine.journal.as_ref().unwrap().has_room(&taken(1, 300), 0).is_none()
        {
            break;
        }
    }
    let held = machine.told.values().filter(|t| t.acknowledged).count();
    assert!(held > 10, "{held}");
    for cut in 0..40 {
        // Dies at some operation of the start.
        let before = machine.folder.0.borrow().operations;
        for dead in 0..12 {
            machine.folder.0.borrow_mut().fails = Some(before + (cut + dead) % 12);
            machine.folder.0.borrow_mut().operations = before;
            machine.start();
            let files = machine.folder.0.borrow().files();
            let bytes: usize = files.values().map(Vec::len).sum();
            assert!(bytes as f64 <= DISK_MB * 1e6, "{bytes} bytes after {cut}, {dead}: {:?}", files.keys());
            machine.check(&files, &format!("cut {cut}, {dead}"));
        }
    }
    machine.folder.0.borrow_mut().fails = None;
    assert!(machine.start());
    let files = machine.folder.0.borrow().files();
    assert_eq!(files.len(), 1, "{:?}", files.keys());
    assert_eq!(recover_all(&files).messages.len(), held);
}
