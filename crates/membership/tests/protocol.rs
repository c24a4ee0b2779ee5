//! The membership protocol on a network in memory. Every failure names its seed.
mod network;
use membership::{EntryStatus, MemberId, MemberState, Node, Roster, MAX_DATAGRAM_BYTES};
use network::*;
use std::collections::BTreeSet;

#[test]
fn members_agree_again_after_any_sequence_of_faults() {
    for seed in 0..1_500u64 {
        let mut random = Random::new(seed ^ 0xabcd);
        let n = 3 + random.below(5) as usize;
        let mut network = Network::fleet(seed, n);
        let mut generations = vec![1u64; n];
        network.rounds(5);
        (network.loss_percent, network.duplicate_percent) = ([0, 5, 20][random.below(3) as usize], 10);
        network.max_delay = [20, 200, 900][random.below(3) as usize];
        for _ in 0..6 {
            let member = random.below(n as u64) as usize;
            match random.below(6) {
                0 if network.nodes.contains_key(&member) => network.kill(member),
                1 | 0 => {
                    generations[member] += 1;
                    network.start(member, id(member, generations[member]), &[0, 1]);
                }
                2 => network.pause(member),
                3 => {
                    for other in 0..n {
                        network.blocked_links.insert((member, other));
                        if random.below(2) == 0 {
                            network.blocked_links.insert((other, member));
                        }
                    }
                }
                4 => {
                    let half = n / 2;
                    (0..half)
                        .for_each(|a| (half..n).for_each(|b| network.blocked_links.extend([(a, b), (b, a)])));
                }
                _ if network.nodes.len() > 2 => network.leave(member),
                _ => {}
            }
            network.rounds(1 + random.below(20));
            network.check_incarnations();
        }
        // The faults end.
        network.blocked_links.clear();
        (network.loss_percent, network.duplicate_percent, network.max_delay) = (0, 0, 20);
        for (member, generation) in generations.iter_mut().enumerate() {
            network.resume(member);
            if !network.nodes.contains_key(&member) {
                *generation += 1;
                network.start(member, id(member, *generation), &[0, 1]);
            }
        }
        let mut rounds = 0;
        while let Some(reason) = network.disagreement() {
            assert!(rounds < 150, "seed {seed}, after {rounds} rounds: {reason}");
            network.rounds(5);
            network.check_incarnations();
            rounds += 5;
        }
        network.rounds(20);
        assert_eq!(network.disagreement(), None, "seed {seed}: the agreement does not last");
        assert!(network.longest_datagram <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn a_leave_is_distinguished_from_a_failure_despite_loss() {
    for (seed, loss_percent) in (0..60).flat_map(|seed| [(seed, 0), (seed, 20)]) {
        let mut network = Network::fleet(seed, 8);
        network.rounds(10);
        network.loss_percent = loss_percent;
        network.leave(3);
        network.kill(5);
        network.rounds(45);
        for n in [0, 1, 2, 4, 6, 7] {
            assert_eq!(
                network.state(n, &id(3, 1)),
                Some(MemberState::Left),
                "seed {seed}, {loss_percent}% lost, at {n}"
            );
            assert_eq!(
                network.state(n, &id(5, 1)),
                Some(MemberState::Failed),
                "seed {seed}, {loss_percent}% lost, at {n}"
            );
        }
    }
}

#[test]
fn a_paused_member_refutes_its_failure_when_it_resumes() {
    for seed in 0..40 {
        let mut network = Network::fleet(seed, 6);
        network.rounds(10);
        network.pause(2);
        network.rounds(45);
        assert!(
            (0..6).filter(|n| *n != 2).all(|n| network.state(n, &id(2, 1)) == Some(MemberState::Failed)),
            "seed {seed}"
        );
        network.resume(2);
        network.rounds(40);
        assert_eq!(network.disagreement(), None, "seed {seed}");
        assert!(network.nodes[&2].incarnation() > 0, "seed {seed}: it had to raise its incarnation");
    }
}

#[test]
fn late_updates_about_an_earlier_process_do_not_fail_the_restarted_one() {
    for seed in 0..40 {
        let mut network = Network::fleet(seed, 5);
        network.rounds(10);
        network.kill(2);
        network.start(2, id(2, 2), &[0, 1]);
        // Delayed updates about the earlier process arrive from all members.
        network.max_delay = 5_000;
        network.rounds(40);
        network.max_delay = 20;
        network.rounds(20);
        assert_eq!(network.disagreement(), None, "seed {seed}");
        for n in [0, 1, 3, 4] {
            assert_eq!(network.state(n, &id(2, 2)), Some(MemberState::Alive), "seed {seed}");
            assert_eq!(network.state(n, &id(2, 1)), Some(MemberState::Failed), "seed {seed}");
            assert!(!network.view(n).iter().any(|v| v.conflicts), "a restart is no conflict");
        }
    }
}

#[test]
fn two_lasting_processes_of_one_name_conflict_and_an_upgrade_does_not() {
    let mut network = Network::fleet(1, 4);
    network.rounds(10);
    // An upgrade: both processes live for some seconds.
    network.start(10, id(2, 2), &[0, 1]);
    network.rounds(6);
    assert_eq!(network.disagreement(), None, "both are known");
    assert!(!network.view(0).iter().any(|v| v.conflicts));
    network.leave(2);
    network.rounds(40);
    assert!(!network.view(0).iter().any(|v| v.conflicts));
    // A mistake: both processes stay, and nobody declares either of them failed.
    network.start(2, id(2, 3), &[0, 1]);
    let mut flaps = 0;
    for _ in 0..60 {
        network.rounds(1);
        let count_in_state = |s: MemberState| {
            network.view(0).into_iter().filter(|v| v.id.name == "n2" && v.state == s).count()
        };
        flaps += count_in_state(MemberState::Suspect) + count_in_state(MemberState::Failed);
    }
    assert_eq!(flaps, 0, "neither process is suspected");
    let conflicts: Vec<u64> =
        network.view(0).into_iter().filter(|v| v.conflicts).map(|v| v.id.generation).collect();
    assert_eq!(conflicts, [2, 3]);
    assert!(network.view(2)[0].conflicts, "it knows of its own conflict");
}

#[test]
fn a_partition_heals_after_both_halves_declared_each_other_failed() {
    for seed in 0..20 {
        let mut network = Network::fleet(seed, 10);
        network.rounds(10);
        (0..5).for_each(|a| (5..10).for_each(|b| network.blocked_links.extend([(a, b), (b, a)])));
        network.rounds(50);
        assert!((5..10).all(|n| network.state(0, &id(n, 1)) == Some(MemberState::Failed)), "seed {seed}");
        assert!((0..5).all(|n| network.state(9, &id(n, 1)) == Some(MemberState::Failed)), "seed {seed}");
        network.blocked_links.clear();
        network.rounds(60);
        assert_eq!(network.disagreement(), None, "seed {seed}");
    }
}

#[test]
fn indirect_pings_make_up_for_a_link_lost_in_one_direction() {
    for seed in 0..30 {
        let mut network = Network::fleet(seed, 8);
        network.rounds(10);
        network.blocked_links.insert((1, 4));
        let mut failed = 0;
        for _ in 0..80 {
            network.rounds(1);
            failed += (0..8).filter(|&n| network.state(n, &id(4, 1)) == Some(MemberState::Failed)).count();
        }
        assert_eq!(failed, 0, "seed {seed}: other members can reach it");
    }
}

#[test]
fn a_slow_member_does_not_declare_the_others_failed() {
    let mut wrongly_failed = 0;
    for seed in 0..20 {
        let mut network = Network::fleet(seed, 10);
        network.rounds(10);
        // The member runs for 0.4 s, then pauses for 2.6 s.
        for _ in 0..40 {
            network.pause(7);
            network.run(2_600);
            network.resume(7);
            network.run(400);
            for n in (0..10).filter(|n| *n != 7) {
                wrongly_failed += network
                    .view(n)
                    .iter()
                    .filter(|v| v.state == MemberState::Failed && v.id != id(7, 1))
                    .count();
            }
        }
    }
    assert_eq!(wrongly_failed, 0, "healthy members that were declared failed");
}

#[test]
fn a_new_member_finds_the_fleet_despite_a_dead_seed() {
    let mut network = Network::new(4);
    // Member 40 does not run. 0 and 1 know only each other.
    network.start(0, id(0, 1), &[1]);
    network.start(1, id(1, 1), &[0]);
    network.rounds(3);
    (2..6).for_each(|n| network.start(n, id(n, 1), &[40, n % 2]));
    network.rounds(15);
    assert_eq!(network.disagreement(), None);
    // A member that knows only the dead seed finds the fleet once that seed runs.
    network.start(7, id(7, 1), &[40]);
    network.rounds(10);
    assert_eq!(network.view(7).len(), 1);
    network.start(40, id(40, 1), &[0]);
    network.rounds(25);
    assert_eq!(network.disagreement(), None);
}

#[test]
fn three_hundred_members_that_start_at_once_agree_within_the_datagram_limit() {
    let mut network = Network::fleet(2, 300);
    let mut rounds = 0;
    while let Some(reason) = network.disagreement() {
        assert!(rounds < 40, "after {rounds} rounds: {reason}");
        network.rounds(1);
        rounds += 1;
    }
    assert!(network.longest_datagram <= MAX_DATAGRAM_BYTES, "{}", network.longest_datagram);
}

#[test]
fn a_fleet_that_restarts_with_its_rosters_settles_and_stops_gossiping_soon() {
    const MEMBERS: usize = 150;
    for seed in 0..5 {
        let mut roster = Roster::default();
        (0..MEMBERS).for_each(|n| _ = roster.set(&id(n, 1).name, EntryStatus::Expected, address(n)));
        let mut network = Network::new(seed);
        network.stored_rosters = (0..MEMBERS).map(|n| (n, roster.clone())).collect();
        (0..MEMBERS).for_each(|n| network.start(n, id(n, 1), &[0, 1, 2]));
        network.rounds(30);
        let counts: BTreeSet<_> = network.nodes.values().map(|node| node.counts()).collect();
        assert_eq!(counts, BTreeSet::from([(MEMBERS, MEMBERS)]), "seed {seed}");
        assert_eq!(network.unsettled(), None, "seed {seed}");
        // Without discarding mere presence, the updates about all members would go along for some 70 rounds.
        network.rounds(20);
        network.bytes = 0;
        network.rounds(10);
        assert!(network.bytes < 400 * 10 * MEMBERS as u64, "seed {seed}: {} bytes", network.bytes);
    }
}

#[test]
fn a_forgotten_member_is_not_brought_back_by_late_datagrams() {
    let mut network = Network::fleet(3, 4);
    network.rounds(10);
    network.kill(3);
    // A datagram of the member from before its end, which arrives late.
    let mut earlier_node = Node::new(config(&[0]), id(3, 1), address(3), "1", 9, 0);
    let mut datagrams = Vec::new();
    earlier_node.tick(10_000, &mut datagrams);
    network.rounds(120);
    assert!((0..3).all(|n| network.state(n, &id(3, 1)).is_none()), "the member is not forgotten");
    datagrams.into_iter().for_each(|(to, bytes)| network.send_datagram(3, to, bytes));
    network.rounds(10);
    assert!((0..3).all(|n| network.state(n, &id(3, 1)).is_none()), "the member came back");
    // A new process of that name is not outdated.
    network.start(3, id(3, 2), &[0]);
    network.rounds(15);
    assert_eq!(network.disagreement(), None);
}

#[test]
fn foreign_and_invalid_datagrams_are_counted_and_dropped() {
    let mut network = Network::fleet(5, 3);
    network.rounds(5);
    let mut foreign = Node::new(
        membership::Config { fleet: FLEET + 1, ..config(&[0]) },
        MemberId { name: "stranger".into(), generation: 1 },
        address(50),
        "1",
        1,
        0,
    );
    let mut datagrams = Vec::new();
    foreign.tick(5_000, &mut datagrams);
    let valid = datagrams.first().expect("a datagram to its seed").1.clone();
    let mut random = Random::new(6);
    for i in 0..4_000usize {
        let bytes = match i % 4 {
            0 => valid.clone(),
            1 => vec![0x6e; MAX_DATAGRAM_BYTES + 1],
            2 => valid[..random.below(valid.len() as u64) as usize].to_vec(),
            _ => (0..random.below(1_400)).map(|_| random.below(256) as u8).collect(),
        };
        network.send_datagram(50, address(0), bytes);
    }
    network.rounds(5);
    let dropped = network.nodes[&0].dropped;
    assert!(dropped.other_fleet >= 1_000 && dropped.too_long == 1_000, "{dropped:?}");
    assert_eq!(dropped.other_fleet + dropped.malformed + dropped.other_version, 3_000, "{dropped:?}");
    assert_eq!(network.view(0).len(), 3);
    assert_eq!(network.disagreement(), None);
}
