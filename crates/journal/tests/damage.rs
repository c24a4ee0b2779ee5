//! Damage to what was written: bits flipped, records swapped or there twice, files cut, bytes of anything.
use bytes::Bytes;
use journal::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const STAMP: Stamp = Stamp { own: 1_000, wall: 2_000 };

fn taken(id: u64, body: &[u8]) -> Record {
    Record::Taken(Arc::new(Taken {
        id,
        class: "order".into(),
        tenant: String::new(),
        dest: 7,
        trace: format!("trace-{id}"),
        key: None,
        end: 10_000,
        rules: None,
        body: Bytes::copy_from_slice(body),
    }))
}

fn begun(id: u64, number: u32) -> Record {
    Record::Begun(id, Begun { number, at: 1, endpoint: "e-1".into(), wait: Some(300), never_ran: false })
}

const NUMBER: u64 = 1;

fn id(n: u64) -> u64 {
    first_id(NUMBER) + n
}

/// Writes as they come in service: some messages wait, one has an attempt out, one had one that never ran, one was
/// decided, one is over.
fn writes() -> Vec<Vec<Record>> {
    vec![
        vec![taken(id(0), b"waits"), taken(id(1), b"is out")],
        vec![begun(id(1), 0), taken(id(2), &[0; 300])],
        vec![begun(id(2), 0), taken(id(3), br#"{"S":[]}leadfold{"E":1}"#)],
        vec![Record::NeverRan(id(2), 0), begun(id(3), 0), taken(id(4), b"")],
        vec![Record::Decided(id(4), Ending::HandedBack(Some(500)))],
        vec![Record::Ended(id(3)), Record::Listening, Record::Shared, taken(id(5), b"last")],
    ]
}

fn file(writes: &[Vec<Record>]) -> Vec<u8> {
    let (mut bytes, mut group) = (Vec::new(), 0);
    for records in writes {
        encode_groups(records, 0xfeed_beef, &mut group, STAMP, &mut bytes);
    }
    bytes
}

/// By message: whether an attempt may have run, and how it ended.
type State = BTreeMap<u64, (bool, Option<Ending>)>;

fn state(bytes: &[u8]) -> State {
    let whole = Whole::new(NUMBER, &read(bytes).expect("of this version"));
    let left = recover([(NUMBER, whole)].into());
    let of = |l: &Live| (l.attempts.iter().any(|a| !a.never_ran), l.ending);
    left.messages.iter().map(|l| (l.taken.id, of(l))).collect()
}

/// Where each frame begins, with its length and record.
fn frames(bytes: &[u8]) -> Vec<(usize, usize, Record)> {
    let mut frames = Vec::new();
    let mut at = 0;
    while let Some((record, length)) = decode(&bytes[at..]) {
        frames.push((at, length, record));
        at += length;
    }
    assert_eq!(at, bytes.len());
    frames
}

#[test]
fn what_is_written_is_read_back() {
    let bytes = file(&writes());
    let read = read(&bytes).unwrap();
    assert!(read.is_sound() && read.version == VERSION && read.stamp == Some(STAMP), "{read:?}");
    let expected: State = [
        (id(0), (false, None)),
        (id(1), (true, None)),
        (id(2), (false, None)),
        (id(4), (false, Some(Ending::HandedBack(Some(500))))),
        (id(5), (false, None)),
    ]
    .into();
    assert_eq!(state(&bytes), expected);
}

#[test]
fn a_byte_damaged_anywhere_costs_no_other_message_and_forgets_no_attempt() {
    let bytes = file(&writes());
    let whole = state(&bytes);
    let frames = frames(&bytes);
    for at in 0..bytes.len() {
        let (start, _, record) = frames.iter().rfind(|(start, ..)| *start <= at).unwrap();
        let own = match record {
            Record::Taken(taken) => Some(taken.id),
            _ => None,
        };
        for flip in [1, 0x10, 0x80, 0xff] {
            let mut bytes = bytes.clone();
            bytes[at] ^= flip;
            let how = format!("byte {at} (of the frame at {start}: {record:?}) flipped by {flip:#x}");
            let read = read(&bytes);
            if let Err(newer) = read {
                panic!("{how}: {newer}");
            }
            assert!(!read.unwrap().is_sound(), "{how}: not seen");
            let found = state(&bytes);
            for (id, (may_have_run, ending)) in &whole {
                let Some(now) = found.get(id) else {
                    assert_eq!(own, Some(*id), "{how}: {id} is gone");
                    continue;
                };
                assert!(
                    now.0 || !may_have_run || now.1.is_some(),
                    "{how}: {id} is not known to have been sent"
                );
                assert!(now.1.is_some() || ending.is_none(), "{how}: {id} was decided");
            }
            for id in found.keys() {
                // A message that was over may come back, but not as one that may be sent.
                let back = !whole.contains_key(id);
                assert!(!back || found[id].0 || found[id].1.is_some(), "{how}: {id} is back");
            }
        }
    }
}

#[test]
fn records_that_are_swapped_or_there_twice_change_nothing() {
    let bytes = file(&writes());
    let whole = state(&bytes);
    let frames = frames(&bytes);
    let of = |i: usize| &bytes[frames[i].0..frames[i].0 + frames[i].1];
    let records: Vec<usize> =
        (0..frames.len()).filter(|&i| !matches!(frames[i].2, Record::Stamp(_))).collect();
    for (a, &i) in records.iter().enumerate() {
        for &j in &records[a + 1..] {
            let order = (0..frames.len()).map(|k| {
                if k == i {
                    j
                } else if k == j {
                    i
                } else {
                    k
                }
            });
            let swapped: Vec<u8> = order.flat_map(|k| of(k).to_vec()).collect();
            assert_eq!(state(&swapped), whole, "{:?} and {:?} swapped", frames[i].2, frames[j].2);
        }
        for j in 0..=frames.len() {
            let mut twice: Vec<u8> = (0..j).flat_map(|k| of(k).to_vec()).collect();
            twice.extend_from_slice(of(i));
            (j..frames.len()).for_each(|k| twice.extend_from_slice(of(k)));
            assert_eq!(state(&twice), whole, "{:?} once more before frame {j}", frames[i].2);
        }
    }
}

#[test]
fn a_file_cut_anywhere_keeps_what_is_before_and_no_more_is_assumed_of_it() {
    let writes = writes();
    let bytes = file(&writes);
    let mut whole = 0;
    let ends: Vec<usize> = (1..=writes.len()).map(|n| file(&writes[..n]).len()).collect();
    for cut in 0..bytes.len() {
        while whole < ends.len() && cut >= ends[whole] {
            whole += 1;
        }
        let read = read(&bytes[..cut]).unwrap();
        assert!(read.damage.is_empty(), "cut at {cut}: {:?}", read.damage);
        let before = state(&file(&writes[..whole]));
        let found = state(&bytes[..cut]);
        for (id, was) in &before {
            let now = found.get(id);
            // What a last write brought as far as it is there may be taken or left.
            assert!(
                now == Some(was) || cut > ends[..whole].last().copied().unwrap_or(0),
                "cut at {cut}: {id}"
            );
        }
    }
}

#[test]
fn a_file_of_the_version_before_is_read() {
    let mut bytes = Vec::new();
    for record in writes().iter().flatten() {
        encode(record, &mut bytes);
    }
    let read = read(&bytes).unwrap();
    assert!(read.is_sound() && read.version == 1 && read.stamp.is_none());
    assert_eq!(state(&bytes), state(&file(&writes())));
    // Its torn tail is no damage; a record damaged in the middle makes all before it doubtful.
    let cut = &bytes[..bytes.len() - 3];
    assert!(journal::read(cut).unwrap().damage.is_empty() && journal::read(cut).unwrap().torn.is_some());
    let mut hurt = bytes.clone();
    let middle = frames(&bytes)[4].0 + 20;
    hurt[middle] ^= 1;
    assert!(state(&hurt)[&id(0)].0, "it may have been sent");
    assert!(state(&hurt).contains_key(&id(5)), "what is behind it is not lost");
}

/// How the version before reads a frame, by its own rules.
#[test]
fn the_version_before_can_follow_a_file_of_this_one() {
    let bytes = file(&writes());
    let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
    let mut at = 0;
    let mut listening = false;
    while at < bytes.len() {
        let content = &bytes[at + 8..at + 8 + word(at)];
        assert_eq!(crc32fast::hash(content) as usize, word(at + 4));
        let head: serde_json::Value = serde_json::from_slice(&content[4..4 + word(at + 8)]).unwrap();
        let name = head.as_object().map(|o| o.keys().next().unwrap().clone());
        let name = name.or(head.as_str().map(String::from)).unwrap();
        assert!("TBNDESHLYR".contains(&name), "{head}");
        listening |= name == "L";
        at += 8 + word(at);
    }
    assert!(listening);
}

#[test]
fn a_newer_version_is_refused_by_its_number() {
    let mut bytes = file(&writes());
    let mut newer = bytes.split_off(0);
    // The version stands behind the magic word; the sum is over all that follows it.
    newer[28..30].copy_from_slice(&3u16.to_le_bytes());
    let length = u32::from_le_bytes(newer[..4].try_into().unwrap()) as usize;
    let sum = crc32fast::hash(&newer[8..8 + length]);
    newer[4..8].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(read(&newer).unwrap_err().0, 3);
}

#[test]
fn what_a_newer_file_has_lost_makes_an_older_ones_message_doubtful() {
    // Process 2 has taken over message 0 of process 1 and begun to send it; the copy is damaged.
    let old = file(&[vec![taken(id(0), b"x"), taken(id(1), b"y")]]);
    let new = file(&[vec![taken(id(0), b"x")], vec![begun(id(0), 0)]]);
    let at = frames(&new)[1].0 + 30;
    let mut hurt = new.clone();
    hurt[at] ^= 1;
    let whole = |number, bytes: &[u8]| (number, Whole::new(number, &read(bytes).unwrap()));
    let left = recover([whole(1, &old), whole(2, &hurt)].into());
    let may = |n| left.messages.iter().find(|l| l.taken.id == id(n)).unwrap().attempts.len();
    assert_eq!((may(0), may(1)), (1, 0));
}

proptest! {
    #[test]
    fn bytes_of_anything_are_no_reason_to_fail(bytes in proptest::collection::vec(any::<u8>(), 0..3_000)) {
        if let Ok(file) = read(&bytes) {
            let _ = recover([(1, Whole::new(1, &file))].into());
            prop_assert!(file.records.len() * 8 <= bytes.len());
        }
    }

    #[test]
    fn a_file_hurt_in_many_places_is_no_reason_to_fail(
        hurts in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0usize..40), 1..12)
    ) {
        let mut bytes = file(&writes());
        for (at, byte, length) in hurts {
            let at = at.index(bytes.len());
            let end = (at + length).min(bytes.len());
            match byte % 3 {
                0 => bytes[at..end].fill(byte),
                1 => _ = bytes.drain(at..end),
                _ => {
                    let part = bytes[at..end].to_vec();
                    bytes.splice(at..at, part);
                }
            }
            if bytes.is_empty() {
                break;
            }
        }
        if let Ok(file) = read(&bytes) {
            let left = recover([(1, Whole::new(1, &file))].into());
            // Nothing is made up: a message is one that was written.
            for live in left.messages {
                prop_assert!((id(0)..=id(5)).contains(&live.taken.id));
            }
        }
    }
}
