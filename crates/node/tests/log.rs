//! A store's log over files that were given up: what a start reads first.
use futures_channel::oneshot;
use node::store::log::{execute, open_ring, DiskJob};
use queue::{Entry, Envelope, Message, Queue};
use ringlog::{Ring, Shape};
use rstest::rstest;
use simulation::disk::Memory;

const DISK: u64 = 7;
const SHAPE: Shape = Shape { segments: 8, segment_bytes: 4 * 1024 };

fn append(ring: &mut Ring<Memory>, entry: &Entry) {
    let (sender, mut receiver) = oneshot::channel();
    execute(ring, DiskJob::Append(vec![borsh::to_vec(entry).unwrap()], sender));
    assert!(matches!(receiver.try_recv(), Ok(Some(Ok(_)))));
}

fn own_message(number: usize) -> Entry {
    let envelope = Envelope { id: format!("m{number}"), route: "r".to_string(), ..Envelope::default() };
    Entry::Message { owner: DISK, message: Message::new(envelope, vec![0; 200]) }
}

/// The first file, with the identity of the disk, is given up, and the identity is written anew behind the messages: they are
/// own ones all the same. Where files don't begin with the identity, they are taken for those of another store.
#[rstest]
#[case::each_file_begins_with_the_identity(true, 20)]
#[case::planted_only_the_first_does(false, 0)]
fn own_messages_stay_own_though_the_first_file_was_given_up(#[case] begins: bool, #[case] own: usize) {
    let memory = Memory::new(SHAPE.segments);
    let (mut ring, _) = open_ring(memory.clone(), SHAPE, &mut |_| {}).unwrap();
    if begins {
        execute(&mut ring, DiskJob::SetPreamble(borsh::to_vec(&Entry::Disk(DISK)).unwrap()));
    }
    append(&mut ring, &Entry::Disk(DISK));
    let first = ring.oldest();
    assert_eq!(first, None, "there is one file alone");
    // Fills the first file with what doesn't count any more.
    while ring.oldest().is_none() {
        append(&mut ring, &Entry::AttemptFailed { id: "over".to_string(), attempts: 1 });
    }
    for number in 0..20 {
        append(&mut ring, &own_message(number));
    }
    append(&mut ring, &Entry::Disk(DISK));
    let oldest = ring.oldest().unwrap();
    execute(&mut ring, DiskJob::Release(oldest));
    while ring.oldest().is_some_and(|oldest| oldest < 4) && ring.free() > 1 {
        append(&mut ring, &Entry::AttemptFailed { id: "over".to_string(), attempts: 1 });
    }
    drop(ring);
    let mut queue = Queue::default();
    open_ring(memory, SHAPE, &mut |entry| queue.replay(entry)).unwrap();
    assert_eq!(queue.disk(), DISK);
    assert_eq!(queue.all_owned().count(), own);
}
