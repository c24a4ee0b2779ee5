//! Which route a message waits on while configurations change, by the queue alone.
use queue::{Entry, Envelope, Message, Queue};
use rstest::rstest;
use settings::{Configuration, Route, RouteKey};

const DISK: u64 = 1;
const HOST: &str = "shop.example";
/// All messages are due then, and none has expired.
const NOW: u64 = 5_000;

/// A record of a message that was accepted on /a/ of this host when that route had the name r-2.
const RECORD_OF_THE_VERSION_BEFORE: &str = "010100000000000000010000006d0c00000073686f702e6578616d706c6504000000504f53\
    54040000002f612f6d0a000000746578742f706c61696e01010000007401010000006f01010000006b01070000000000000001190000006874\
    74703a2f2f31302e302e302e343a383038302f646f6e6503000000722d320100000000000000e803000000000000e803000000000000f40100\
    000000000000000000a086010000000000af85c7daee60834204000000626f6479";

fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().map(|digit| digit.to_digit(16).unwrap() as u8).collect();
    digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

/// Routes by name and path prefix.
type Routes = &'static [(&'static str, &'static str)];

fn configuration(version: u64, routes: Routes) -> Configuration {
    let route = |(name, prefix): &(&str, &str)| Route {
        name: name.to_string(),
        host: "Shop.Example".to_string(),
        prefix: prefix.to_string(),
        ..Route::default()
    };
    Configuration { version, routes: routes.iter().map(route).collect(), ..Configuration::default() }
}

/// A message that an edge accepted under a version, by the name that the route had there.
fn accepted(id: &str, path: &str, route: &str, version: u64) -> Message {
    let envelope = Envelope {
        id: id.to_string(),
        host: HOST.to_string(),
        target: format!("{path}?a=/b/"),
        route: route.to_string(),
        config_version: version,
        due_at: 1_000,
        expires_at: 100_000,
        ..Envelope::default()
    };
    Message::new(envelope, b"body".to_vec())
}

fn add(queue: &mut Queue, message: Message) {
    let id = message.id().to_string();
    assert!(queue.add(message));
    queue.mark_replicated(&id);
}

/// Where the only message waits: the prefix of its route, `None` if it is to become a dead letter.
fn waits_on(queue: &mut Queue, prefixes: &[&'static str]) -> Option<&'static str> {
    let runs_at =
        |queue: &mut Queue, prefix: &str| queue.next(&RouteKey::new(HOST, prefix), NOW, |_| true).is_some();
    let waiting: Vec<&str> = prefixes.iter().copied().filter(|prefix| runs_at(queue, prefix)).collect();
    let dropped = !queue.expired_or_unroutable(NOW).is_empty();
    assert_eq!(waiting.len(), usize::from(!dropped), "waits on {waiting:?}, dropped {dropped}");
    waiting.first().copied()
}

const PREFIXES: [&str; 3] = ["/", "/a/", "/a/b/"];

/// Guards against messages that change their route because names move, or because another route matches them too.
#[rstest]
#[case::nothing_changes(&[("r-1", "/a/")], &[("r-1", "/a/")], Some("/a/"))]
#[case::is_renamed(&[("r-1", "/a/")], &[("r-2", "/a/")], Some("/a/"))]
#[case::its_name_is_anothers(&[("r-1", "/a/"), ("r-2", "/c/")], &[("r-1", "/c/")], None)]
#[case::is_dropped(&[("r-1", "/a/")], &[], None)]
#[case::a_longer_one_comes(&[("r-1", "/a/")], &[("r-1", "/a/b/"), ("r-2", "/a/")], Some("/a/"))]
#[case::a_shorter_one_stays(&[("r-1", "/a/b/"), ("r-2", "/a/")], &[("r-1", "/a/")], None)]
#[case::both_names_are_swapped(
    &[("r-1", "/a/b/"), ("r-2", "/a/")], &[("r-2", "/a/b/"), ("r-1", "/a/")], Some("/a/b/")
)]
fn a_message_stays_with_the_route_that_accepted_it(
    #[case] before: Routes,
    #[case] after: Routes,
    #[case] expected: Option<&str>,
    #[values(false, true)] arrives_late: bool,
) {
    let mut queue = Queue::new(DISK);
    queue.apply_configuration(&configuration(3, before));
    let message = accepted("m", "/a/b/m", before[0].0, 3);
    if !arrives_late {
        add(&mut queue, message.clone());
    }
    queue.apply_configuration(&configuration(7, after));
    if arrives_late {
        add(&mut queue, message);
    }
    assert_eq!(waits_on(&mut queue, &PREFIXES), expected);
}

/// Guards against a message that waits again after its route was dropped, since it has been told to be a dead letter.
#[test]
fn a_dropped_message_stays_dropped_when_its_route_returns() {
    let mut queue = Queue::new(DISK);
    queue.apply_configuration(&configuration(1, &[("r-1", "/a/")]));
    add(&mut queue, accepted("m", "/a/m", "r-1", 1));
    queue.apply_configuration(&configuration(2, &[]));
    queue.apply_configuration(&configuration(3, &[("r-1", "/a/")]));
    assert_eq!(waits_on(&mut queue, &PREFIXES), None);
}

/// Guards against dead letters of messages that an edge accepted under a configuration which this store doesn't have yet.
#[test]
fn a_message_of_a_newer_configuration_waits_for_it() {
    let mut queue = Queue::new(DISK);
    queue.apply_configuration(&configuration(1, &[("r-1", "/c/")]));
    add(&mut queue, accepted("m", "/a/m", "r-1", 2));
    assert!(queue.expired_or_unroutable(NOW).is_empty());
    assert_eq!(queue.next(&RouteKey::new(HOST, "/c/"), NOW, |_| true), None, "another route has the name");
    queue.apply_configuration(&configuration(2, &[("r-1", "/a/"), ("r-2", "/c/")]));
    assert_eq!(waits_on(&mut queue, &PREFIXES), Some("/a/"));
}

/// Guards against a store that, after a restart, goes by the names in the records of its log, or can't read those of the
/// version before, which went by names.
#[test]
fn recovered_messages_go_by_host_and_path() {
    let record = from_hex(RECORD_OF_THE_VERSION_BEFORE);
    let entry: Entry = borsh::from_slice(&record).unwrap();
    assert_eq!(borsh::to_vec(&entry).unwrap(), record, "processes of the version before can't read it");
    let mut queue = Queue::default();
    queue.replay(Entry::Disk(DISK));
    queue.replay(entry);
    queue.finish_recovery();
    assert!(queue.expired_or_unroutable(NOW).is_empty(), "no configuration is known yet");
    queue.apply_configuration(&configuration(2, &[("r-1", "/a/"), ("r-2", "/c/")]));
    assert_eq!(waits_on(&mut queue, &PREFIXES), Some("/a/"));
}

/// Guards against an order that a change of routes breaks: the first message of a key stays first.
#[test]
fn messages_of_a_key_keep_their_order_when_their_routes_are_renamed() {
    let mut queue = Queue::new(DISK);
    queue.apply_configuration(&configuration(1, &[("r-1", "/a/"), ("r-2", "/c/")]));
    for (sequence, id, path) in [(1, "first", "/a/1"), (2, "second", "/c/2"), (3, "third", "/a/3")] {
        let mut message = accepted(id, path, "r", 1);
        let envelope = std::rc::Rc::make_mut(&mut message.envelope);
        (envelope.ordered, envelope.key, envelope.sequence) = (true, Some("k".to_string()), sequence);
        add(&mut queue, message);
    }
    queue.apply_configuration(&configuration(2, &[("r-2", "/a/"), ("r-1", "/c/")]));
    for (prefix, id) in [("/a/", "first"), ("/c/", "second"), ("/a/", "third")] {
        let waiting: Vec<String> = ["/a/", "/c/"]
            .iter()
            .filter_map(|prefix| queue.next(&RouteKey::new(HOST, prefix), NOW, |_| true))
            .collect();
        assert_eq!(waiting, [id], "on {prefix}");
        queue.start(id);
        queue.finish(queue::FinalRecord { id: id.to_string(), outcome: queue::Outcome::DeadLetter, at: NOW });
    }
}
