//! What is kept up is what a walk through all would find. Every failure names its seed.
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

fn heard(random: &mut Pcg32) -> Said {
    let (latest, complete) = (random.random_range(0..4), random.random());
    Said { view: 1, roster: 2, standing: Standing::Whole, latest, expects: true, complete, impairment: None }
}

fn is_in(random: &mut Pcg32) -> Option<bool> {
    [None, Some(false), Some(true)][random.random_range(0..3)]
}

fn said(random: &mut Pcg32) -> BTreeSet<String> {
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
        known: now,
        said: said(random),
        heard: Some(heard(random)).filter(|_| now.is_multiple_of(2)),
        differs: None,
        is_in: is_in(random),
    }
}

/// One change, whatever it is.
fn change_by_chance(members: &mut Members, random: &mut Pcg32, now: Ms) {
    let id = id(random);
    match random.random_range(0..9) {
        0 | 1 => members.insert(id, member(random, now)),
        2 => _ = members.remove(&id),
        3 => {
            let (state, said) = (state(random), said(random));
            members.change(&id, |m| (m.state, m.since, m.said) = (state, now, said));
        }
        4 => {
            let (address, is_in) = (address(random), is_in(random));
            members.change(&id, |m| (m.address, m.is_in) = (address, is_in));
        }
        5 => members.hear(&id, heard(random), random.random(), now),
        6 => members.expect(&id.name, random.random()),
        7 => members.set_own("n0", random.random(), random.random()),
        // What a suspect is given changes with the fleet's size, so this goes back too.
        _ => members.doubt(now.checked_sub(random.random_range(0..60))),
    }
}

fn check(members: &Members, expected: &BTreeSet<String>, own: (bool, bool), now: Ms, context: &str) {
    let doubted = members.sums.doubted;
    let all = || members.all.iter();
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left] {
        let same: Vec<&MemberId> = all().filter(|(_, m)| m.state == state).map(|(id, _)| id).collect();
        assert_eq!(members.of_state(state).iter().collect::<Vec<_>>(), same, "{context}");
    }
    let present = || all().filter(|(_, m)| m.is_present());
    assert_eq!(members.present(), present().count(), "{context}");
    let is_doubted = |m: &Member| m.state == MemberState::Suspect && doubted.is_some_and(|at| m.since <= at);
    let counting = |(_, m): &(&MemberId, &Member)| m.is_in == Some(true) && !is_doubted(m);
    let own_name = || std::iter::once("n0");
    let names = |named: Vec<&MemberId>, own: bool| -> BTreeSet<String> {
        let own = own_name().filter(|_| own).map(String::from);
        named.into_iter().map(|id| id.name.clone()).chain(own).collect()
    };
    let here = names(present().map(|(id, _)| id).collect(), own.0);
    let counts = names(present().filter(counting).map(|(id, _)| id).collect(), own.1);
    for name in (0..NAMES).map(|n| format!("n{n}")) {
        assert_eq!(members.is_here(&name), here.contains(&name), "{context}: {name}");
        assert_eq!(members.counts(&name), counts.contains(&name), "{context}: {name}");
    }
    assert_eq!(members.counting(), expected.intersection(&counts).count(), "{context}");
    let unheard: Vec<&str> = expected.difference(&here).map(String::as_str).collect();
    assert_eq!(members.unheard().collect::<Vec<_>>(), unheard, "{context}");
    let untold =
        all().filter(|(_, m)| m.state == MemberState::Alive && m.is_in.is_none() && m.protocol_version() > 1);
    let untold: Vec<&MemberId> = untold.map(|(id, _)| id).collect();
    assert_eq!(members.untold().iter().collect::<Vec<_>>(), untold, "{context}");
    for at in (1..9).map(|port| SocketAddr::from(([127, 0, 0, 1], port))) {
        let at_it = || all().map(|(_, m)| m).filter(|m| m.address == at);
        let speaks = at_it().any(|m| m.protocol_version() > 1 && m.state != MemberState::Left);
        assert_eq!(members.speaks_second_form(at), speaks, "{context}");
        assert_eq!(members.is_present_at(at), at_it().any(Member::is_present), "{context}");
    }
    let whole = present().filter_map(|(_, m)| m.heard).filter(|h| h.complete).map(|h| h.latest);
    assert_eq!(members.latest(), whole.max(), "{context}");
    let mut view = Digests::default();
    present().for_each(|(id, _)| view.add(&id.name, life_digest(id)));
    assert_eq!(members.view(), view, "{context}");
    let suspects = || all().filter(|(_, m)| m.state == MemberState::Suspect);
    let next = suspects().filter(|(_, m)| !is_doubted(m)).map(|(_, m)| m.since).min();
    assert_eq!(members.next_doubt(), next, "{context}");
    let lasts = |confirmed: usize| 40 - 10 * confirmed as Ms;
    let confirmed = |m: &Member| (m.said.len() - 1).min(CONFIRMED);
    let over = suspects().filter(|(_, m)| now >= m.since + lasts(confirmed(m)));
    let over: Vec<MemberId> = over.map(|(id, _)| id.clone()).collect();
    assert_eq!(members.suspects_over(now, lasts), over, "{context}");
    let first = suspects().map(|(_, m)| m.since + lasts(confirmed(m))).min();
    assert_eq!(members.first_suspects().map(|(n, since)| since + lasts(n)).min(), first, "{context}");
    let until = now.saturating_sub(25);
    let ended = all().filter(|(_, m)| !m.is_present() && m.since <= until).map(|(id, _)| id.clone());
    assert_eq!(members.ended(until), ended.collect::<Vec<_>>(), "{context}");
}

#[test]
fn what_is_kept_up_is_what_a_walk_through_all_finds() {
    for seed in 0..40 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut members = Members::default();
        for now in 0..400 {
            change_by_chance(&mut members, &mut random, now);
            let expected =
                members.sums.names.iter().filter(|(_, n)| n.expected).map(|(name, _)| name.clone());
            let (expected, own) = (expected.collect(), members.sums.own);
            check(&members, &expected, own, now, &format!("seed {seed}, change {now}"));
        }
        // Nothing is left of those that are gone.
        members.set_own("n0", false, false);
        (0..NAMES).for_each(|n| members.expect(&format!("n{n}"), false));
        let all: Vec<MemberId> = members.all.keys().cloned().collect();
        all.iter().for_each(|id| _ = members.remove(id));
        let doubted = members.sums.doubted;
        assert_eq!(members.sums, Sums { doubted, ..Sums::default() }, "seed {seed}");
    }
}

#[test]
fn words_go_in_the_order_of_how_often_they_went_and_are_old_after_that() {
    use crate::words::{News, Words};
    let mut words = Words::default();
    let ids: Vec<MemberId> = (0..3).map(|n| MemberId { name: format!("n{n}"), generation: 1 }).collect();
    ids.iter().for_each(|id| words.insert(id.clone(), News::Presence));
    words.pass_on(&ids[0], 3);
    words.pass_on(&ids[1], 3);
    words.pass_on(&ids[1], 3);
    assert_eq!(words.in_order().collect::<Vec<_>>(), [&ids[2], &ids[0], &ids[1]]);
    words.pass_on(&ids[1], 3);
    assert_eq!(words.in_order().collect::<Vec<_>>(), [&ids[2], &ids[0]], "it went three times");
    words.insert(ids[0].clone(), News::Other);
    words.pass_on(&ids[2], 3);
    assert_eq!(words.in_order().collect::<Vec<_>>(), [&ids[0], &ids[2]], "there is news of it");
    words.forget_presence();
    assert_eq!(words.in_order().collect::<Vec<_>>(), [&ids[0]], "that one is present is known");
    words.remove(&ids[0]);
    words.pass_on(&ids[0], 3);
    assert_eq!(words.in_order().next(), None, "it is not brought back");
}
