//! Standing and roster on a network in memory. Every failure names its seed.
mod network;
use membership::{Standing, StrikeError};
use network::*;
use std::collections::BTreeSet;

/// A fleet that has formed.
fn formed(seed: u64, n: usize) -> Net {
    let mut net = Net::fleet(seed, n);
    settle(&mut net, 60, seed);
    net
}

/// Lets rounds pass until all is well; how many it took.
fn settle(net: &mut Net, bound: u64, seed: u64) -> u64 {
    let mut rounds = 0;
    while let Some(why) = net.unsettled() {
        assert!(rounds < bound, "seed {seed}, after {rounds} rounds: {why}{}", net.told());
        net.rounds(1);
        rounds += 1;
        assert_eq!(net.two_majorities(), None, "seed {seed}");
    }
    rounds
}

fn cut_apart(net: &mut Net, parts: &[Vec<usize>]) {
    for (i, a) in parts.iter().enumerate() {
        for b in parts.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, b)| b) {
            net.cut.extend(a.iter().map(|a| (*a, *b)));
        }
    }
}

/// One fault, whatever it is.
fn strike_by_chance(net: &mut Net, dice: &mut Dice, n: usize, lives: &mut [u64]) {
    let one = dice.below(n as u64) as usize;
    let part = |dice: &mut Dice, k: u64| {
        let mut parts = vec![Vec::new(); k as usize];
        (0..n).for_each(|m| parts[dice.below(k) as usize].push(m));
        parts
    };
    match dice.below(10) {
        0 if net.nodes.contains_key(&one) => net.kill(one),
        0 | 1 => {
            if dice.percent(15) {
                net.rosters.remove(&one);
            }
            lives[one] += 1;
            net.start(one, id(one, lives[one]), &[0, 1]);
        }
        2 => net.stop(one),
        3 => net.go_on(one),
        4 => (0..n).for_each(|other| _ = net.cut.insert((one, other))),
        5 => {
            let parts = part(dice, 2);
            cut_apart(net, &parts);
        }
        6 => {
            let parts = part(dice, 3);
            cut_apart(net, &parts);
        }
        // A star: only the first is heard by all.
        7 => cut_apart(net, &(1..n).map(|m| vec![m]).collect::<Vec<_>>()),
        8 => net.cut.clear(),
        _ if net.nodes.len() > 2 => net.leave(one),
        _ => {}
    }
}

#[test]
fn no_two_parts_are_both_the_greater_and_all_are_whole_once_faults_are_over() {
    for seed in 0..800u64 {
        let mut dice = Dice::new(seed ^ 0x57a2);
        let n = 3 + dice.below(7) as usize;
        let mut net = Net::fleet(seed, n);
        let mut lives = vec![1u64; n];
        // Some are struck before they have formed.
        net.rounds(dice.below(20));
        net.loss = [0, 5, 20, 30][dice.below(4) as usize];
        net.delay = [20, 200, 900, 60_000][dice.below(4) as usize];
        for _ in 0..8 {
            strike_by_chance(&mut net, &mut dice, n, &mut lives);
            for _ in 0..1 + dice.below(25) {
                net.rounds(1);
                assert_eq!(net.two_majorities(), None, "seed {seed}: {}", net.told());
            }
        }
        net.cut.clear();
        (net.loss, net.delay) = (0, 20);
        for (one, generation) in lives.iter_mut().enumerate() {
            net.go_on(one);
            if !net.nodes.contains_key(&one) {
                *generation += 1;
                net.start(one, id(one, *generation), &[0, 1]);
            }
        }
        settle(&mut net, 200, seed);
    }
}

#[test]
fn each_part_of_a_cut_knows_which_it_is() {
    for seed in 0..40 {
        for (parts, standings) in [
            (vec![vec![0, 1], vec![2, 3, 4]], vec![Standing::Minority, Standing::Majority]),
            (vec![vec![0, 1, 2], vec![3, 4, 5]], vec![Standing::Minority, Standing::Minority]),
            (vec![vec![0], vec![1, 2, 3]], vec![Standing::Alone, Standing::Majority]),
            (vec![vec![0, 1], vec![2, 3], vec![4, 5]], vec![Standing::Minority; 3]),
        ] {
            let mut net = formed(seed, parts.iter().map(Vec::len).sum());
            cut_apart(&mut net, &parts);
            net.rounds(60);
            for (part, standing) in parts.iter().zip(&standings) {
                part.iter()
                    .for_each(|n| assert_eq!(net.standing(*n), *standing, "seed {seed}, {n} of {parts:?}"));
            }
            net.cut.clear();
            settle(&mut net, 60, seed);
        }
    }
}

#[test]
fn a_cut_that_heals_and_returns_is_not_told_as_healed() {
    for seed in 0..20 {
        let mut net = formed(seed, 5);
        let before: Vec<u64> = (0..5).map(|n| net.nodes[&n].standing().changes).collect();
        for _ in 0..40 {
            cut_apart(&mut net, &[vec![0, 1], vec![2, 3, 4]]);
            net.rounds(2);
            net.cut.clear();
            net.rounds(2);
        }
        let changes = (0..5).map(|n| net.nodes[&n].standing().changes - before[n]).max();
        assert!(changes <= Some(4), "seed {seed}: {changes:?} in 160 rounds");
        settle(&mut net, 60, seed);
    }
}

#[test]
fn a_start_with_all_seeds_dead_asks_those_whom_its_roster_names() {
    for seed in 0..40 {
        let mut net = formed(seed, 6);
        net.kill(0);
        net.kill(1);
        net.kill(4);
        net.rounds(5);
        net.start(4, id(4, 2), &[0, 1]);
        net.rounds(3);
        assert!([2, 3, 5].iter().all(|n| net.present(4).contains(&format!("n{n}"))), "seed {seed}");
        net.rounds(20);
        assert_eq!(net.standing(4), Standing::Majority, "seed {seed}");
        // One that comes without its folder knows nobody, and is found by the others where it was.
        net.kill(5);
        net.rosters.remove(&5);
        net.start(5, id(5, 2), &[0, 1]);
        net.rounds(1);
        assert_eq!(net.standing(5), Standing::Forming, "seed {seed}");
        net.rounds(25);
        assert_eq!(net.standing(5), Standing::Majority, "seed {seed}");
    }
}

#[test]
fn half_a_fleet_that_is_gone_for_good_is_struck_off_and_not_before_somebody_vouches_for_it() {
    let mut net = formed(9, 6);
    assert_eq!(net.strike(0, "n9", false), Err(StrikeError::NotExpected));
    assert_eq!(net.strike(0, "n3", true), Err(StrikeError::Present));
    (3..6).for_each(|n| net.kill(n));
    net.rounds(60);
    assert_eq!(net.standing(0), Standing::Minority);
    assert_eq!(net.strike(0, "n3", false), Err(StrikeError::NoMajority));
    // It is known to be gone.
    assert_eq!(net.strike(0, "n3", true), Ok(()));
    net.rounds(15);
    assert_eq!((0..3).map(|n| net.standing(n)).collect::<Vec<_>>(), [Standing::Majority; 3]);
    assert_eq!(net.strike(1, "n4", false), Ok(()));
    assert_eq!(net.strike(2, "n5", false), Ok(()));
    settle(&mut net, 60, 9);
    // One comes back after all, with the roster that it had: it is taken in again.
    net.start(4, id(4, 2), &[0, 1]);
    settle(&mut net, 60, 9);
    assert_eq!(net.nodes[&0].counts(), (4, 4));
}

#[test]
fn a_fleet_that_grows_and_shrinks_many_times_over_stays_whole() {
    for seed in 0..5 {
        let mut net = formed(seed, 4);
        for turn in 0..12usize {
            let lives = turn as u64 + 2;
            let grown: Vec<usize> = (4..4 + 4 * (1 + turn % 4)).collect();
            grown.iter().for_each(|n| net.start(*n, id(*n, lives), &[0, 1]));
            settle(&mut net, 80, seed);
            assert_eq!(net.nodes[&0].counts().1, 4 + grown.len());
            grown.iter().for_each(|n| net.leave(*n));
            settle(&mut net, 80, seed);
            assert_eq!(net.nodes[&0].counts(), (4, 4), "seed {seed}, turn {turn}");
        }
    }
}

#[test]
fn all_that_are_frozen_for_a_minute_come_back_to_the_same_fleet() {
    for seed in 0..20 {
        let mut net = formed(seed, 7);
        (0..7).for_each(|n| net.stop(n));
        net.rounds(60);
        (0..7).for_each(|n| net.go_on(n));
        settle(&mut net, 60, seed);
        assert_eq!(net.nodes[&0].counts(), (7, 7));
    }
}

#[test]
fn seven_of_ten_that_are_killed_and_start_with_old_rosters_in_a_cut_make_no_second_fleet() {
    for seed in 0..20 {
        let mut net = formed(seed, 10);
        (3..10).for_each(|n| net.kill(n));
        // The three that are left can do nothing; meanwhile the others start, cut off from them.
        cut_apart(&mut net, &[(0..3).collect(), (3..10).collect()]);
        net.rounds(10);
        (3..10).for_each(|n| net.start(n, id(n, 2), &[0, 1]));
        net.rounds(60);
        assert!((0..3).all(|n| net.standing(n) == Standing::Minority), "seed {seed}");
        assert!((3..10).all(|n| net.standing(n) == Standing::Majority), "seed {seed}");
        net.cut.clear();
        settle(&mut net, 80, seed);
    }
}

#[test]
fn a_first_seed_without_its_folder_founds_no_second_fleet_beside_one_that_it_can_hear() {
    for seed in 0..40 {
        let mut net = formed(seed, 5);
        net.kill(0);
        net.rosters.remove(&0);
        net.start(0, id(0, 2), &[0, 1]);
        for _ in 0..30 {
            net.rounds(1);
            assert_eq!(net.two_majorities(), None, "seed {seed}");
        }
        assert_eq!(net.nodes[&0].counts(), (5, 5), "seed {seed}");
        // Cut off from the second seed it founds none either.
        net.kill(0);
        net.rosters.remove(&0);
        cut_apart(&mut net, &[vec![0], vec![1, 2, 3, 4]]);
        net.start(0, id(0, 3), &[0, 1]);
        net.rounds(40);
        assert_eq!(net.standing(0), Standing::Forming, "seed {seed}");
    }
}

#[test]
fn programs_that_speak_the_first_form_alone_live_beside_the_others_in_either_order_of_change() {
    for seed in 0..20 {
        let mut net = Net::new(seed);
        net.old = (0..6).collect();
        (0..6).for_each(|n| net.start(n, id(n, 1), &[0, 1]));
        net.rounds(20);
        let order: Vec<usize> = if seed % 2 == 0 { (0..6).collect() } else { (0..6).rev().collect() };
        let turn = |net: &mut Net, generation: u64| {
            for &n in &order {
                net.leave(n);
                net.start(n, id(n, generation), &[0, 1]);
                net.rounds(12);
                assert_eq!(net.disagreement(), None, "seed {seed}, {n}, life {generation}");
                assert_eq!(net.two_majorities(), None, "seed {seed}");
            }
        };
        net.old = BTreeSet::new();
        turn(&mut net, 2);
        settle(&mut net, 60, seed);
        net.old = (0..6).collect();
        turn(&mut net, 3);
        net.old = BTreeSet::new();
        turn(&mut net, 4);
        settle(&mut net, 80, seed);
    }
}

#[test]
fn a_member_that_says_that_it_is_ill_is_seen_so_and_its_disagreement_is_named() {
    let mut net = formed(4, 4);
    net.nodes.get_mut(&2).unwrap().set_impairment(Some(membership::Impairment::Journal));
    net.rounds(15);
    let of = |net: &Net, n: usize, name: &str| net.view(n).into_iter().find(|v| v.id.name == name).unwrap();
    assert_eq!(of(&net, 0, "n2").impairment.map(|i| i.name()), Some("journal"));
    assert!((0..4).all(|n| net.view(n).iter().all(|v| v.differs_ms.is_none())), "all agree");
    // The one that is cut off from another still hears the rest; whoever is given up differs for long.
    cut_apart(&mut net, &[vec![0, 1], vec![2, 3]]);
    net.rounds(40);
    assert!(of(&net, 0, "n1").differs_ms.is_none(), "they see the same part");
    assert_eq!(net.nodes[&0].missing(net.now).count(), 2);
}
