//! Checks the aggregates over members against a full scan, after random changes. Every failure names its
//! seed.
use super::*;
use crate::standing::Standing;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const NAMES: u64 = 12;

fn id(random: &mut Pcg32) -> MemberId {
    MemberId { name: format!("n{}", random.random_range(0..NAMES)), generation: random.random_range(1..4) }
}

fn state(random: &mut Pcg32) -> MemberState {
    [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left]
        [random.random_range(0..4)]
}

fn address(random: &mut Pcg32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], random.random_range(1..9)))
}

fn summary(random: &mut Pcg32) -> FleetSummary {
    let (latest_epoch, roster_complete) = (random.random_range(0..4), random.random());
    FleetSummary {
        view_digest: 1,
        roster_digest: 2,
        standing: Standing::Whole,
        latest_epoch,
        has_expected: true,
        roster_complete,
        impairment: None,
    }
}

fn in_roster(random: &mut Pcg32) -> Option<bool> {
    [None, Some(false), Some(true)][random.random_range(0..3)]
}

fn suspected_by(random: &mut Pcg32) -> BTreeSet<String> {
    (0..random.random_range(1..6)).map(|n| format!("by{n}")).collect()
}

fn member(random: &mut Pcg32, now: Ms) -> Member {
    Member {
        address: address(random),
        version: ["1", "1 p2"][random.random_range(0..2)].to_string(),
        incarnation: 0,
        state: state(random),
        by: "by0".into(),
        since: now,
        first_seen: now,
        suspected_by: suspected_by(random),
        summary: Some(summary(random)).filter(|_| now.is_multiple_of(2)),
        differs_since: None,
        in_roster: in_roster(random),
    }
}

/// Applies one random change.
fn apply_random_change(members: &mut Members, random: &mut Pcg32, now: Ms) {
    let id = id(random);
    match random.random_range(0..9) {
        0 | 1 => members.insert(id, member(random, now)),
        2 => _ = members.remove(&id),
        3 => {
            let (state, suspected_by) = (state(random), suspected_by(random));
            members.change(&id, |m| (m.state, m.since, m.suspected_by) = (state, now, suspected_by));
        }
        4 => {
            let (address, in_roster) = (address(random), in_roster(random));
            members.change(&id, |m| (m.address, m.in_roster) = (address, in_roster));
        }
        5 => members.record_summary(&id, summary(random), random.random(), now),
        6 => members.set_expected(&id.name, random.random()),
        7 => members.set_own_presence("n0", random.random(), random.random()),
        // The discount delay changes with the fleet's size, so the time may also go back.
        _ => members.discount_suspects_since(now.checked_sub(random.random_range(0..60))),
    }
}

fn check(members: &Members, expected: &BTreeSet<String>, own: (bool, bool), now: Ms, context: &str) {
    let discounted_since = members.aggregates.discounted_since;
    let all = || members.all.iter();
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left] {
        let ids: Vec<&MemberId> = all().filter(|(_, m)| m.state == state).map(|(id, _)| id).collect();
        assert_eq!(members.in_state(state).iter().collect::<Vec<_>>(), ids, "{context}");
    }
    let present = || all().filter(|(_, m)| m.is_present());
    assert_eq!(members.present_count(), present().count(), "{context}");
    let is_discounted =
        |m: &Member| m.state == MemberState::Suspect && discounted_since.is_some_and(|at| m.since <= at);
    let counted = |(_, m): &(&MemberId, &Member)| m.in_roster == Some(true) && !is_discounted(m);
    let own_name = || std::iter::once("n0");
    let names = |ids: Vec<&MemberId>, own: bool| -> BTreeSet<String> {
        let own = own_name().filter(|_| own).map(String::from);
        ids.into_iter().map(|id| id.name.clone()).chain(own).collect()
    };
    let present_names = names(present().map(|(id, _)| id).collect(), own.0);
    let counted_names = names(present().filter(counted).map(|(id, _)| id).collect(), own.1);
    for name in (0..NAMES).map(|n| format!("n{n}")) {
        assert_eq!(members.is_name_present(&name), present_names.contains(&name), "{context}: {name}");
        assert_eq!(members.is_counted(&name), counted_names.contains(&name), "{context}: {name}");
    }
    assert_eq!(members.counted(), expected.intersection(&counted_names).count(), "{context}");
    let absent_names: Vec<&str> = expected.difference(&present_names).map(String::as_str).collect();
    assert_eq!(members.absent_names().collect::<Vec<_>>(), absent_names, "{context}");
    let unknown_roster_status = all()
        .filter(|(_, m)| m.state == MemberState::Alive && m.in_roster.is_none() && m.protocol_version() > 1);
    let unknown_roster_status: Vec<&MemberId> = unknown_roster_status.map(|(id, _)| id).collect();
    assert_eq!(
        members.unknown_roster_status().iter().collect::<Vec<_>>(),
        unknown_roster_status,
        "{context}"
    );
    for address in (1..9).map(|port| SocketAddr::from(([127, 0, 0, 1], port))) {
        let members_at_address = || all().map(|(_, m)| m).filter(|m| m.address == address);
        let expected_support =
            members_at_address().any(|m| m.protocol_version() > 1 && m.state != MemberState::Left);
        assert_eq!(members.speaks_version_2(address), expected_support, "{context}");
        assert_eq!(
            members.is_address_present(address),
            members_at_address().any(Member::is_present),
            "{context}"
        );
    }
    let known_epochs = present()
        .filter_map(|(_, m)| m.summary)
        .filter(|summary| summary.roster_complete)
        .map(|summary| summary.latest_epoch);
    assert_eq!(members.latest_roster_epoch(), known_epochs.max(), "{context}");
    let mut view_digests = Digests::default();
    present().for_each(|(id, _)| view_digests.add(&id.name, member_digest(id)));
    assert_eq!(members.view_digests(), view_digests, "{context}");
    let suspects = || all().filter(|(_, m)| m.state == MemberState::Suspect);
    let next = suspects().filter(|(_, m)| !is_discounted(m)).map(|(_, m)| m.since).min();
    assert_eq!(members.next_discounted_since(), next, "{context}");
    let timeout = |confirmations: usize| 40 - 10 * confirmations as Ms;
    let confirmations = |m: &Member| (m.suspected_by.len() - 1).min(MAX_CONFIRMATIONS);
    let expired = suspects().filter(|(_, m)| now >= m.since + timeout(confirmations(m)));
    let expired: Vec<MemberId> = expired.map(|(id, _)| id.clone()).collect();
    assert_eq!(members.expired_suspects(now, timeout), expired, "{context}");
    let first = suspects().map(|(_, m)| m.since + timeout(confirmations(m))).min();
    assert_eq!(members.oldest_suspects().map(|(n, since)| since + timeout(n)).min(), first, "{context}");
    let until = now.saturating_sub(25);
    let ended = all().filter(|(_, m)| !m.is_present() && m.since <= until).map(|(id, _)| id.clone());
    assert_eq!(members.ended(until), ended.collect::<Vec<_>>(), "{context}");
}

#[test]
fn aggregates_match_a_full_scan_of_the_members() {
    for seed in 0..40 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut members = Members::default();
        for now in 0..400 {
            apply_random_change(&mut members, &mut random, now);
            let expected =
                members.aggregates.names.iter().filter(|(_, n)| n.expected).map(|(name, _)| name.clone());
            let (expected, own) = (expected.collect(), members.aggregates.own);
            check(&members, &expected, own, now, &format!("seed {seed}, change {now}"));
        }
        // Nothing may be left of members that were removed.
        members.set_own_presence("n0", false, false);
        (0..NAMES).for_each(|n| members.set_expected(&format!("n{n}"), false));
        let all: Vec<MemberId> = members.all.keys().cloned().collect();
        all.iter().for_each(|id| _ = members.remove(id));
        let discounted_since = members.aggregates.discounted_since;
        assert_eq!(
            members.aggregates,
            Aggregates { discounted_since, ..Aggregates::default() },
            "seed {seed}"
        );
    }
}

#[test]
fn gossip_goes_least_sent_first_and_ends_after_the_limit() {
    use crate::gossip::{GossipQueue, UpdateKind};
    let mut queue = GossipQueue::default();
    let ids: Vec<MemberId> = (0..3).map(|n| MemberId { name: format!("n{n}"), generation: 1 }).collect();
    ids.iter().for_each(|id| queue.insert(id.clone(), UpdateKind::Presence));
    queue.record_sent(&ids[0], 3);
    queue.record_sent(&ids[1], 3);
    queue.record_sent(&ids[1], 3);
    assert_eq!(queue.in_order().collect::<Vec<_>>(), [&ids[2], &ids[0], &ids[1]]);
    queue.record_sent(&ids[1], 3);
    assert_eq!(queue.in_order().collect::<Vec<_>>(), [&ids[2], &ids[0]], "discarded after three times");
    queue.insert(ids[0].clone(), UpdateKind::Other);
    queue.record_sent(&ids[2], 3);
    assert_eq!(queue.in_order().collect::<Vec<_>>(), [&ids[0], &ids[2]], "a new update is sent first");
    queue.remove_presence();
    assert_eq!(queue.in_order().collect::<Vec<_>>(), [&ids[0]], "mere presence is discarded");
    queue.remove(&ids[0]);
    queue.record_sent(&ids[0], 3);
    assert_eq!(queue.in_order().next(), None, "a removed update does not come back");
}
