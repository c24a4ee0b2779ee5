//! Configurations travel compressed, and arrive as they were.
use node::packed::{pack, pack_piece, unpack, Download, Version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn configuration(routes: usize) -> Vec<u8> {
    let route = |i: usize| {
        serde_json::json!({"Name": format!("r-{i:x}"), "Host": format!("h{}.example", i % 7), "PathPrefix": format!("/p{}/", i * i),
            "Type": "async", "TimeoutMs": 1500, "TargetLatencyMs": 80, "Priority": 2, "Backend": "work", "MaxAttempts": 4,
            "Ordered": false, "RetentionS": 90.0, "CallbackUrl": false, "TargetStartMs": 1200})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"Version": 1, "Routes": routes, "Backends": []}).to_string().into_bytes()
}

#[test]
fn a_configuration_arrives_as_it_was() {
    for routes in [0, 1, 600] {
        let body = configuration(routes);
        assert_eq!(unpack(&pack(&body)).unwrap(), body);
    }
    assert_eq!(unpack(&pack(b"")).unwrap(), b"");
}

#[test]
fn one_with_many_routes_takes_a_quarter_of_its_bytes_at_the_most() {
    let body = configuration(600);
    let packed = pack(&body);
    assert!(packed.len() * 4 <= body.len(), "{} of {} bytes", packed.len(), body.len());
}

#[test]
fn what_is_damaged_cut_short_or_too_large_is_an_error() {
    let packed = pack(&configuration(20));
    assert!(unpack(&packed[..2]).is_err());
    assert!(unpack(&packed[..packed.len() / 2]).is_err());
    assert!(unpack(&[0xff; 64]).is_err());
}

fn noise(count: usize) -> Vec<u8> {
    let mut lot = Pcg64Mcg::seed_from_u64(1);
    (0..count).map(|_| lot.random()).collect()
}

fn receive(download: &mut Download, from_base: Option<Version>, base: Version, body: &[u8]) -> Vec<u8> {
    loop {
        let piece = pack_piece(from_base, body, download.progress().bytes as usize);
        if let Some(whole) = download.add(2, &piece, base).unwrap() {
            return whole;
        }
    }
}

/// Text that moves, comes and goes between two versions.
#[rstest]
#[case::the_same(0, 0, 0)]
#[case::a_little_comes(300, 0, 0)]
#[case::a_little_goes(0, 300, 0)]
#[case::much_comes_at_the_front(50_000, 0, 0)]
#[case::most_goes(0, 130_000, 0)]
#[case::only_the_end_changes(0, 0, 20_000)]
fn a_difference_gives_the_new_version(#[case] comes: usize, #[case] goes: usize, #[case] ends: usize) {
    let before = configuration(600);
    let noise = noise(comes + ends);
    let middle = &before[goes..before.len() - ends];
    let after = [&noise[..comes], middle, &noise[comes..]].concat();
    let base = Version { number: 1, body: &before };
    assert_eq!(receive(&mut Download::default(), Some(base), base, &after), after);
    assert_eq!(receive(&mut Download::default(), None, base, &after), after);
}

/// Pieces that come twice, out of their order or as differences from what isn't here change nothing.
#[test]
fn a_piece_that_does_not_follow_is_passed_over() {
    let body: Vec<u8> = noise(200_000);
    let (mut download, none) = (Download::default(), Version { number: 0, body: b"" });
    let first = pack_piece(None, &body, 0);
    assert_eq!(download.add(2, &first, none).unwrap(), None);
    let after_first = download.progress();
    assert!(after_first.bytes > 0 && after_first.bytes < body.len() as u64);
    let second = pack_piece(None, &body, after_first.bytes as usize);
    assert_eq!(download.add(2, &second, none).unwrap(), None);
    let after_second = download.progress();
    assert_eq!(download.add(2, &second, none).unwrap(), None, "it came twice");
    assert_eq!(download.add(3, &second, none).unwrap(), None, "of another version");
    let foreign = pack_piece(Some(Version { number: 1, body: &body }), &body, after_second.bytes as usize);
    assert_eq!(download.add(2, &foreign, none).unwrap(), None, "from a base that isn't here");
    assert_eq!(download.progress(), after_second);
    assert_eq!(receive(&mut download, None, none, &body), body);
}
