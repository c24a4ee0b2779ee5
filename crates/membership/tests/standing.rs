//! Standing and roster on a network in memory. Every failure names its seed.
mod network;
use membership::{Standing, StrikeError};
use network::*;
use std::collections::BTreeSet;

/// A fleet that has formed.
fn formed_network(seed: u64, n: usize) -> Network {
    let mut network = Network::fleet(seed, n);
    run_until_settled(&mut network, 60, seed);
    network
}

/// Runs until the fleet is settled; returns the number of rounds.
fn run_until_settled(network: &mut Network, bound: u64, seed: u64) -> u64 {
    let mut rounds = 0;
    while let Some(reason) = network.unsettled() {
        assert!(rounds < bound, "seed {seed}, after {rounds} rounds: {reason}{}", network.describe());
        network.rounds(1);
        rounds += 1;
        assert_eq!(network.two_majorities(), None, "seed {seed}");
    }
    rounds
}

fn partition(network: &mut Network, parts: &[Vec<usize>]) {
    for (i, a) in parts.iter().enumerate() {
        for b in parts.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, b)| b) {
            network.blocked_links.extend(a.iter().map(|a| (*a, *b)));
        }
    }
}

/// Applies one random fault.
fn apply_random_fault(network: &mut Network, random: &mut Random, n: usize, generations: &mut [u64]) {
    let member = random.below(n as u64) as usize;
    let random_partition = |random: &mut Random, k: u64| {
        let mut parts = vec![Vec::new(); k as usize];
        (0..n).for_each(|m| parts[random.below(k) as usize].push(m));
        parts
    };
    match random.below(10) {
        0 if network.nodes.contains_key(&member) => network.kill(member),
        0 | 1 => {
            if random.percent(15) {
                network.stored_rosters.remove(&member);
            }
            generations[member] += 1;
            network.start(member, id(member, generations[member]), &[0, 1]);
        }
        2 => network.pause(member),
        3 => network.resume(member),
        4 => (0..n).for_each(|other| _ = network.blocked_links.insert((member, other))),
        5 => {
            let parts = random_partition(random, 2);
            partition(network, &parts);
        }
        6 => {
            let parts = random_partition(random, 3);
            partition(network, &parts);
        }
        // A star: only the first member is reachable by all.
        7 => partition(network, &(1..n).map(|m| vec![m]).collect::<Vec<_>>()),
        8 => network.blocked_links.clear(),
        _ if network.nodes.len() > 2 => network.leave(member),
        _ => {}
    }
}

#[test]
fn no_two_partitions_have_a_majority_and_the_fleet_is_whole_after_faults() {
    for seed in 0..800u64 {
        let mut random = Random::new(seed ^ 0x57a2);
        let n = 3 + random.below(7) as usize;
        let mut network = Network::fleet(seed, n);
        let mut generations = vec![1u64; n];
        // In some runs the faults begin before the fleet has formed.
        network.rounds(random.below(20));
        network.loss_percent = [0, 5, 20, 30][random.below(4) as usize];
        network.max_delay = [20, 200, 900, 60_000][random.below(4) as usize];
        for _ in 0..8 {
            apply_random_fault(&mut network, &mut random, n, &mut generations);
            for _ in 0..1 + random.below(25) {
                network.rounds(1);
                assert_eq!(network.two_majorities(), None, "seed {seed}: {}", network.describe());
            }
        }
        network.blocked_links.clear();
        (network.loss_percent, network.max_delay) = (0, 20);
        for (member, generation) in generations.iter_mut().enumerate() {
            network.resume(member);
            if !network.nodes.contains_key(&member) {
                *generation += 1;
                network.start(member, id(member, *generation), &[0, 1]);
            }
        }
        run_until_settled(&mut network, 200, seed);
    }
}

#[test]
fn each_side_of_a_partition_derives_its_standing() {
    for seed in 0..40 {
        for (parts, standings) in [
            (vec![vec![0, 1], vec![2, 3, 4]], vec![Standing::Minority, Standing::Majority]),
            (vec![vec![0, 1, 2], vec![3, 4, 5]], vec![Standing::Minority, Standing::Minority]),
            (vec![vec![0], vec![1, 2, 3]], vec![Standing::Alone, Standing::Majority]),
            (vec![vec![0, 1], vec![2, 3], vec![4, 5]], vec![Standing::Minority; 3]),
        ] {
            let mut network = formed_network(seed, parts.iter().map(Vec::len).sum());
            partition(&mut network, &parts);
            network.rounds(60);
            for (part, standing) in parts.iter().zip(&standings) {
                part.iter().for_each(|n| {
                    assert_eq!(network.standing(*n), *standing, "seed {seed}, {n} of {parts:?}")
                });
            }
            network.blocked_links.clear();
            run_until_settled(&mut network, 60, seed);
        }
    }
}

#[test]
fn a_flapping_partition_does_not_count_as_healed() {
    for seed in 0..20 {
        let mut network = formed_network(seed, 5);
        let before: Vec<u64> = (0..5).map(|n| network.nodes[&n].standing().changes).collect();
        for _ in 0..40 {
            partition(&mut network, &[vec![0, 1], vec![2, 3, 4]]);
            network.rounds(2);
            network.blocked_links.clear();
            network.rounds(2);
        }
        let changes = (0..5).map(|n| network.nodes[&n].standing().changes - before[n]).max();
        assert!(changes <= Some(4), "seed {seed}: {changes:?} in 160 rounds");
        run_until_settled(&mut network, 60, seed);
    }
}

#[test]
fn a_restart_with_all_seeds_dead_contacts_the_members_in_its_roster() {
    for seed in 0..40 {
        let mut network = formed_network(seed, 6);
        network.kill(0);
        network.kill(1);
        network.kill(4);
        network.rounds(5);
        network.start(4, id(4, 2), &[0, 1]);
        network.rounds(3);
        assert!([2, 3, 5].iter().all(|n| network.present_names(4).contains(&format!("n{n}"))), "seed {seed}");
        network.rounds(20);
        assert_eq!(network.standing(4), Standing::Majority, "seed {seed}");
        // A member that lost its stored roster knows nobody; the others contact it at its last known address.
        network.kill(5);
        network.stored_rosters.remove(&5);
        network.start(5, id(5, 2), &[0, 1]);
        network.rounds(1);
        assert_eq!(network.standing(5), Standing::Forming, "seed {seed}");
        network.rounds(25);
        assert_eq!(network.standing(5), Standing::Majority, "seed {seed}");
    }
}

#[test]
fn striking_off_half_of_a_fleet_needs_the_operators_confirmation() {
    let mut network = formed_network(9, 6);
    assert_eq!(network.strike(0, "n9", false), Err(StrikeError::NotExpected));
    assert_eq!(network.strike(0, "n3", true), Err(StrikeError::Present));
    (3..6).for_each(|n| network.kill(n));
    network.rounds(60);
    assert_eq!(network.standing(0), Standing::Minority);
    assert_eq!(network.strike(0, "n3", false), Err(StrikeError::NoMajority));
    // The operator confirms that it is gone.
    assert_eq!(network.strike(0, "n3", true), Ok(()));
    network.rounds(15);
    assert_eq!((0..3).map(|n| network.standing(n)).collect::<Vec<_>>(), [Standing::Majority; 3]);
    assert_eq!(network.strike(1, "n4", false), Ok(()));
    assert_eq!(network.strike(2, "n5", false), Ok(()));
    run_until_settled(&mut network, 60, 9);
    // One of them comes back after all, with its stored roster, and is admitted again.
    network.start(4, id(4, 2), &[0, 1]);
    run_until_settled(&mut network, 60, 9);
    assert_eq!(network.nodes[&0].counts(), (4, 4));
}

#[test]
fn a_fleet_that_grows_and_shrinks_repeatedly_stays_whole() {
    for seed in 0..5 {
        let mut network = formed_network(seed, 4);
        for turn in 0..12usize {
            let generation = turn as u64 + 2;
            let joined: Vec<usize> = (4..4 + 4 * (1 + turn % 4)).collect();
            joined.iter().for_each(|n| network.start(*n, id(*n, generation), &[0, 1]));
            run_until_settled(&mut network, 80, seed);
            assert_eq!(network.nodes[&0].counts().1, 4 + joined.len());
            joined.iter().for_each(|n| network.leave(*n));
            run_until_settled(&mut network, 80, seed);
            assert_eq!(network.nodes[&0].counts(), (4, 4), "seed {seed}, turn {turn}");
        }
    }
}

#[test]
fn a_fleet_paused_for_a_minute_resumes_as_one_fleet() {
    for seed in 0..20 {
        let mut network = formed_network(seed, 7);
        (0..7).for_each(|n| network.pause(n));
        network.rounds(60);
        (0..7).for_each(|n| network.resume(n));
        run_until_settled(&mut network, 60, seed);
        assert_eq!(network.nodes[&0].counts(), (7, 7));
    }
}

#[test]
fn seven_of_ten_that_restart_in_a_partition_with_stored_rosters_make_no_second_fleet() {
    for seed in 0..20 {
        let mut network = formed_network(seed, 10);
        (3..10).for_each(|n| network.kill(n));
        // The three that are left have no majority; meanwhile the others restart, cut off from them.
        partition(&mut network, &[(0..3).collect(), (3..10).collect()]);
        network.rounds(10);
        (3..10).for_each(|n| network.start(n, id(n, 2), &[0, 1]));
        network.rounds(60);
        assert!((0..3).all(|n| network.standing(n) == Standing::Minority), "seed {seed}");
        assert!((3..10).all(|n| network.standing(n) == Standing::Majority), "seed {seed}");
        network.blocked_links.clear();
        run_until_settled(&mut network, 80, seed);
    }
}

#[test]
fn a_first_seed_that_lost_its_roster_founds_no_second_fleet() {
    for seed in 0..40 {
        let mut network = formed_network(seed, 5);
        network.kill(0);
        network.stored_rosters.remove(&0);
        network.start(0, id(0, 2), &[0, 1]);
        for _ in 0..30 {
            network.rounds(1);
            assert_eq!(network.two_majorities(), None, "seed {seed}");
        }
        assert_eq!(network.nodes[&0].counts(), (5, 5), "seed {seed}");
        // Cut off from the second seed it founds no roster either.
        network.kill(0);
        network.stored_rosters.remove(&0);
        partition(&mut network, &[vec![0], vec![1, 2, 3, 4]]);
        network.start(0, id(0, 3), &[0, 1]);
        network.rounds(40);
        assert_eq!(network.standing(0), Standing::Forming, "seed {seed}");
    }
}

#[test]
fn version_1_and_version_2_members_coexist_in_either_order_of_upgrade() {
    for seed in 0..20 {
        let mut network = Network::new(seed);
        network.version_1_only = (0..6).collect();
        (0..6).for_each(|n| network.start(n, id(n, 1), &[0, 1]));
        network.rounds(20);
        let order: Vec<usize> = if seed % 2 == 0 { (0..6).collect() } else { (0..6).rev().collect() };
        let replace_all = |network: &mut Network, generation: u64| {
            for &n in &order {
                network.leave(n);
                network.start(n, id(n, generation), &[0, 1]);
                network.rounds(12);
                assert_eq!(network.disagreement(), None, "seed {seed}, {n}, generation {generation}");
                assert_eq!(network.two_majorities(), None, "seed {seed}");
            }
        };
        network.version_1_only = BTreeSet::new();
        replace_all(&mut network, 2);
        run_until_settled(&mut network, 60, seed);
        network.version_1_only = (0..6).collect();
        replace_all(&mut network, 3);
        network.version_1_only = BTreeSet::new();
        replace_all(&mut network, 4);
        run_until_settled(&mut network, 80, seed);
    }
}

#[test]
fn an_impairment_is_visible_to_others_and_a_partition_shows_as_missing_members() {
    let mut network = formed_network(4, 4);
    network.nodes.get_mut(&2).unwrap().set_impairment(Some(membership::Impairment::Journal));
    network.rounds(15);
    let view_of = |network: &Network, n: usize, name: &str| {
        network.view(n).into_iter().find(|v| v.id.name == name).unwrap()
    };
    assert_eq!(view_of(&network, 0, "n2").impairment.map(|i| i.name()), Some("journal"));
    assert!((0..4).all(|n| network.view(n).iter().all(|v| v.differs_ms.is_none())), "some members disagree");
    // Members on the same side agree; the members on the other side are missing.
    partition(&mut network, &[vec![0, 1], vec![2, 3]]);
    network.rounds(40);
    assert!(view_of(&network, 0, "n1").differs_ms.is_none(), "both are on the same side");
    assert_eq!(network.nodes[&0].missing(network.now).count(), 2);
}
