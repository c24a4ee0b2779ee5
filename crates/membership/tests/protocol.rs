//! The protocol on a network in memory. Every failure names its seed.
mod network;
use membership::{EntryStatus, MemberId, MemberState, Node, Roster, MAX_DATAGRAM_BYTES};
use network::*;
use std::collections::BTreeSet;

#[test]
fn whatever_happens_all_that_can_talk_agree_once_it_is_over() {
    for seed in 0..1_500u64 {
        let mut dice = Dice::new(seed ^ 0xabcd);
        let n = 3 + dice.below(5) as usize;
        let mut net = Net::fleet(seed, n);
        let mut lives = vec![1u64; n];
        net.rounds(5);
        (net.loss, net.twice) = ([0, 5, 20][dice.below(3) as usize], 10);
        net.delay = [20, 200, 900][dice.below(3) as usize];
        for _ in 0..6 {
            let one = dice.below(n as u64) as usize;
            match dice.below(6) {
                0 if net.nodes.contains_key(&one) => net.kill(one),
                1 | 0 => {
                    lives[one] += 1;
                    net.start(one, id(one, lives[one]), &[0, 1]);
                }
                2 => net.stop(one),
                3 => {
                    for other in 0..n {
                        net.cut.insert((one, other));
                        if dice.below(2) == 0 {
                            net.cut.insert((other, one));
                        }
                    }
                }
                4 => {
                    let half = n / 2;
                    (0..half).for_each(|a| (half..n).for_each(|b| net.cut.extend([(a, b), (b, a)])));
                }
                _ if net.nodes.len() > 2 => net.leave(one),
                _ => {}
            }
            net.rounds(1 + dice.below(20));
            net.check_incarnations();
        }
        // The faults end.
        net.cut.clear();
        (net.loss, net.twice, net.delay) = (0, 0, 20);
        for (one, generation) in lives.iter_mut().enumerate() {
            net.go_on(one);
            if !net.nodes.contains_key(&one) {
                *generation += 1;
                net.start(one, id(one, *generation), &[0, 1]);
            }
        }
        let mut rounds = 0;
        while let Some(why) = net.disagreement() {
            assert!(rounds < 150, "seed {seed}, after {rounds} rounds: {why}");
            net.rounds(5);
            net.check_incarnations();
            rounds += 5;
        }
        net.rounds(20);
        assert_eq!(net.disagreement(), None, "seed {seed}: it does not stay so");
        assert!(net.longest <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn a_planned_leave_is_told_apart_from_a_failure_though_words_are_lost() {
    for (seed, loss) in (0..60).flat_map(|seed| [(seed, 0), (seed, 20)]) {
        let mut net = Net::fleet(seed, 8);
        net.rounds(10);
        net.loss = loss;
        net.leave(3);
        net.kill(5);
        net.rounds(45);
        for n in [0, 1, 2, 4, 6, 7] {
            assert_eq!(net.state(n, &id(3, 1)), Some(MemberState::Left), "seed {seed}, {loss}% lost, at {n}");
            assert_eq!(
                net.state(n, &id(5, 1)),
                Some(MemberState::Failed),
                "seed {seed}, {loss}% lost, at {n}"
            );
        }
    }
}

#[test]
fn one_that_was_stopped_comes_back_and_says_so() {
    for seed in 0..40 {
        let mut net = Net::fleet(seed, 6);
        net.rounds(10);
        net.stop(2);
        net.rounds(45);
        assert!(
            (0..6).filter(|n| *n != 2).all(|n| net.state(n, &id(2, 1)) == Some(MemberState::Failed)),
            "seed {seed}"
        );
        net.go_on(2);
        net.rounds(40);
        assert_eq!(net.disagreement(), None, "seed {seed}");
        assert!(net.nodes[&2].incarnation() > 0, "seed {seed}: it had to say that it lives");
    }
}

#[test]
fn of_two_lives_the_newer_wins_and_news_of_the_old_one_cannot_kill_it() {
    for seed in 0..40 {
        let mut net = Net::fleet(seed, 5);
        net.rounds(10);
        net.kill(2);
        net.start(2, id(2, 2), &[0, 1]);
        // Late words about the old life come from all over.
        net.delay = 5_000;
        net.rounds(40);
        net.delay = 20;
        net.rounds(20);
        assert_eq!(net.disagreement(), None, "seed {seed}");
        for n in [0, 1, 3, 4] {
            assert_eq!(net.state(n, &id(2, 2)), Some(MemberState::Alive), "seed {seed}");
            assert_eq!(net.state(n, &id(2, 1)), Some(MemberState::Failed), "seed {seed}");
            assert!(!net.view(n).iter().any(|v| v.conflicts), "a restart is no conflict");
        }
    }
}

#[test]
fn two_machines_of_one_name_are_a_conflict_and_an_upgrade_is_none() {
    let mut net = Net::fleet(1, 4);
    net.rounds(10);
    // An upgrade: both live for some seconds.
    net.start(10, id(2, 2), &[0, 1]);
    net.rounds(6);
    assert_eq!(net.disagreement(), None, "both are known");
    assert!(!net.view(0).iter().any(|v| v.conflicts));
    net.leave(2);
    net.rounds(40);
    assert!(!net.view(0).iter().any(|v| v.conflicts));
    // A mistake: both go on, and nobody takes either for dead.
    net.start(2, id(2, 3), &[0, 1]);
    let mut changes = 0;
    for _ in 0..60 {
        net.rounds(1);
        let lives =
            |s: MemberState| net.view(0).into_iter().filter(|v| v.id.name == "n2" && v.state == s).count();
        changes += lives(MemberState::Suspect) + lives(MemberState::Failed);
    }
    assert_eq!(changes, 0, "it does not flap");
    let conflicts: Vec<u64> =
        net.view(0).into_iter().filter(|v| v.conflicts).map(|v| v.id.generation).collect();
    assert_eq!(conflicts, [2, 3]);
    assert!(net.view(2)[0].conflicts, "it knows it of itself");
}

#[test]
fn a_split_into_halves_heals_though_each_half_has_given_the_other_up() {
    for seed in 0..20 {
        let mut net = Net::fleet(seed, 10);
        net.rounds(10);
        (0..5).for_each(|a| (5..10).for_each(|b| net.cut.extend([(a, b), (b, a)])));
        net.rounds(50);
        assert!((5..10).all(|n| net.state(0, &id(n, 1)) == Some(MemberState::Failed)), "seed {seed}");
        assert!((0..5).all(|n| net.state(9, &id(n, 1)) == Some(MemberState::Failed)), "seed {seed}");
        net.cut.clear();
        net.rounds(60);
        assert_eq!(net.disagreement(), None, "seed {seed}");
    }
}

#[test]
fn a_path_lost_in_one_direction_is_gone_around() {
    for seed in 0..30 {
        let mut net = Net::fleet(seed, 8);
        net.rounds(10);
        net.cut.insert((1, 4));
        let mut failed = 0;
        for _ in 0..80 {
            net.rounds(1);
            failed += (0..8).filter(|&n| net.state(n, &id(4, 1)) == Some(MemberState::Failed)).count();
        }
        assert_eq!(failed, 0, "seed {seed}: others hear it");
    }
}

#[test]
fn a_slow_member_does_not_accuse_the_others() {
    let mut accused = 0;
    for seed in 0..20 {
        let mut net = Net::fleet(seed, 10);
        net.rounds(10);
        // It runs for a moment in every three seconds.
        for _ in 0..40 {
            net.stop(7);
            net.run(2_600);
            net.go_on(7);
            net.run(400);
            for n in (0..10).filter(|n| *n != 7) {
                accused +=
                    net.view(n).iter().filter(|v| v.state == MemberState::Failed && v.id != id(7, 1)).count();
            }
        }
    }
    assert_eq!(accused, 0, "well members that anybody took for failed");
}

#[test]
fn a_start_finds_the_fleet_past_a_dead_seed_and_through_seeds_that_know_only_each_other() {
    let mut net = Net::new(4);
    // 40 never lives. 0 and 1 know only each other.
    net.start(0, id(0, 1), &[1]);
    net.start(1, id(1, 1), &[0]);
    net.rounds(3);
    (2..6).for_each(|n| net.start(n, id(n, 1), &[40, n % 2]));
    net.rounds(15);
    assert_eq!(net.disagreement(), None);
    // One that only knows the dead one is found once that lives.
    net.start(7, id(7, 1), &[40]);
    net.rounds(10);
    assert_eq!(net.view(7).len(), 1);
    net.start(40, id(40, 1), &[0]);
    net.rounds(25);
    assert_eq!(net.disagreement(), None);
}

#[test]
fn three_hundred_that_start_at_once_know_each_other_within_short_datagrams() {
    let mut net = Net::fleet(2, 300);
    let mut rounds = 0;
    while let Some(why) = net.disagreement() {
        assert!(rounds < 40, "after {rounds} rounds: {why}");
        net.rounds(1);
        rounds += 1;
    }
    assert!(net.longest <= MAX_DATAGRAM_BYTES, "{}", net.longest);
}

#[test]
fn a_fleet_that_starts_at_once_with_its_rosters_is_whole_and_quiet_soon() {
    const MEMBERS: usize = 150;
    for seed in 0..5 {
        let mut roster = Roster::default();
        (0..MEMBERS).for_each(|n| _ = roster.set(&id(n, 1).name, EntryStatus::Expected, address(n)));
        let mut net = Net::new(seed);
        net.rosters = (0..MEMBERS).map(|n| (n, roster.clone())).collect();
        (0..MEMBERS).for_each(|n| net.start(n, id(n, 1), &[0, 1, 2]));
        net.rounds(30);
        let counts: BTreeSet<_> = net.nodes.values().map(|node| node.counts()).collect();
        assert_eq!(counts, BTreeSet::from([(MEMBERS, MEMBERS)]), "seed {seed}");
        assert_eq!(net.unsettled(), None, "seed {seed}");
        // By number alone the words on all would go along for some 70 rounds.
        net.rounds(20);
        net.bytes = 0;
        net.rounds(10);
        assert!(net.bytes < 400 * 10 * MEMBERS as u64, "seed {seed}: {} bytes", net.bytes);
    }
}

#[test]
fn the_dead_are_forgotten_and_no_late_word_brings_them_back() {
    let mut net = Net::fleet(3, 4);
    net.rounds(10);
    net.kill(3);
    // A word of its from before, that comes late.
    let mut old = Node::new(config(&[0]), id(3, 1), address(3), "1", 9, 0);
    let mut words = Vec::new();
    old.tick(10_000, &mut words);
    net.rounds(120);
    assert!((0..3).all(|n| net.state(n, &id(3, 1)).is_none()), "it is forgotten");
    words.into_iter().for_each(|(to, bytes)| net.post(3, to, bytes));
    net.rounds(10);
    assert!((0..3).all(|n| net.state(n, &id(3, 1)).is_none()), "and stays so");
    // A life of its own is no late word.
    net.start(3, id(3, 2), &[0]);
    net.rounds(15);
    assert_eq!(net.disagreement(), None);
}

#[test]
fn what_is_no_datagram_of_the_fleet_is_counted_and_dropped() {
    let mut net = Net::fleet(5, 3);
    net.rounds(5);
    let mut foreign = Node::new(
        membership::Config { fleet: FLEET + 1, ..config(&[0]) },
        MemberId { name: "stranger".into(), generation: 1 },
        address(50),
        "1",
        1,
        0,
    );
    let mut words = Vec::new();
    foreign.tick(5_000, &mut words);
    let good = words.first().expect("it asks its seed").1.clone();
    let mut dice = Dice::new(6);
    for i in 0..4_000usize {
        let bytes = match i % 4 {
            0 => good.clone(),
            1 => vec![0x6e; MAX_DATAGRAM_BYTES + 1],
            2 => good[..dice.below(good.len() as u64) as usize].to_vec(),
            _ => (0..dice.below(1_400)).map(|_| dice.below(256) as u8).collect(),
        };
        net.post(50, address(0), bytes);
    }
    net.rounds(5);
    let dropped = net.nodes[&0].dropped;
    assert!(dropped.other_fleet >= 1_000 && dropped.too_long == 1_000, "{dropped:?}");
    assert_eq!(dropped.other_fleet + dropped.malformed + dropped.other_version, 3_000, "{dropped:?}");
    assert_eq!(net.view(0).len(), 3);
    assert_eq!(net.disagreement(), None);
}
