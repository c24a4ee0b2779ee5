//! The promises, by seed, over candidates, store, losses, freezes and clock rates.
mod model;
use lease::{Change, Config, Duty, Stage, StoreReply, StoreRequest};
use model::*;

/// Faults of all kinds for a while, then none; Err says what was broken.
fn course(seed: u64, fence: bool, drift: u64) -> Result<(u64, usize), String> {
    let mut dice = Dice::new(seed ^ 0x77);
    let n = 2 + dice.below(4) as usize;
    let mut world = World::new(seed, n, fence, drift);
    world.run(5_000)?;
    let mut permits = 0;
    for step in 0..14 {
        (world.loss, world.delay) =
            ([0, 10, 30][dice.below(3) as usize], [20, 200, 1_200][dice.below(3) as usize]);
        let one = dice.below(n as u64) as usize;
        match dice.below(8) {
            0 => world.kill(one),
            1 => world.start(one, drift),
            2 => world.ones[one].frozen_until = world.now + dice.below(3 * TTL),
            3 => world.ones[one].cut = !world.ones[one].cut,
            4 => world.store_down_until = world.now + dice.below(TTL),
            5 => world.resign(one),
            6 => world.want(&format!("m{}", step % 4)),
            _ => world.done(&format!("m{}", dice.below(4))),
        }
        let span = 500 + dice.below(TTL);
        world.run(span)?;
        permits += world.store.keys.keys().filter(|k| k.starts_with(GIVEN)).count();
    }
    // The faults end; the duty is held again within the lease, the longest freeze and some answers.
    (world.loss, world.delay, world.store_down_until, world.freezes) = (0, 20, 0, 0);
    for one in 0..n {
        (world.ones[one].cut, world.ones[one].frozen_until) = (false, 0);
        world.start(one, drift);
    }
    world.want("last");
    let faults_end = world.now;
    while world.holders().is_empty() {
        world.run(100)?;
        if world.now > faults_end + 2 * TTL + 5_000 {
            return Err("nobody holds it".to_string());
        }
    }
    world.run(2 * TTL)?;
    if world.holders().len() != 1 {
        return Err("it is not held any more".to_string());
    }
    Ok((world.writes, permits))
}

#[test]
fn no_write_goes_back_no_two_hold_and_no_bound_is_passed() {
    let (mut writes, mut permits) = (0, 0);
    for seed in 0..1_500 {
        match course(seed, true, 25) {
            Ok(done) => (writes, permits) = (writes + done.0, permits + done.1),
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    assert!(writes > 10_000 && permits > 500, "{writes} writes, {permits} permits seen");
}

#[test]
fn without_the_fence_a_write_goes_back() {
    let broken = (0..1_500).filter_map(|seed| course(seed, false, 25).err());
    assert!(
        broken.filter(|why| why.contains("after one under")).count() > 0,
        "the fence is not seen to matter"
    );
}

#[test]
fn without_the_margin_two_hold_it_at_once() {
    let broken = (0..1_500).filter_map(|seed| course(seed, true, 0).err());
    assert!(
        broken.filter(|why| why.contains("hold it at once")).count() > 0,
        "the margin is not seen to matter"
    );
}

#[test]
fn each_candidate_watches_the_one_before_it_alone() {
    for n in [3, 30, 300] {
        let mut world = World::new(1, n, true, 25);
        world.acts = false;
        while world.waiting() < n - 1 {
            world.run(500).unwrap();
        }
        let asked = world.store.asked;
        let holder = world.holders()[0];
        world.resign(holder);
        world.run(1_000).unwrap();
        assert_eq!(world.holders().len(), 1, "of {n}");
        let cost = world.store.asked - asked;
        assert!(cost <= 6, "{cost} questions at a change among {n}");
    }
}

fn duty() -> (Duty, Vec<(u64, StoreRequest)>) {
    let config = Config {
        prefix: "d/".into(),
        value: "me".into(),
        ttl: 10_000,
        clock_drift_percent: 20,
        retry_delay: 500,
    };
    let mut duty = Duty::new(config, 1);
    duty.campaign(0);
    (duty, Vec::new())
}

/// The last question, with its number.
fn last(out: &[(u64, StoreRequest)]) -> (u64, StoreRequest) {
    out.last().cloned().expect("a question")
}

fn holding() -> (Duty, Vec<(u64, StoreRequest)>) {
    let (mut duty, mut out) = duty();
    duty.tick(1_000, &mut out);
    duty.handle_reply(1_100, last(&out).0, StoreReply::Granted { lease: 5, seconds: 10 }, &mut out);
    duty.handle_reply(1_200, last(&out).0, StoreReply::Registered { create_revision: 40 }, &mut out);
    let all = vec![lease::Candidate { key: duty.key(5), create_revision: 40, value: "me".into() }];
    duty.handle_reply(
        1_300,
        last(&out).0,
        StoreReply::Candidates { candidates: all, revision: 41 },
        &mut out,
    );
    assert_eq!(duty.stage(), Stage::Holding);
    (duty, out)
}

#[test]
fn a_lease_counts_from_before_it_was_asked_for_and_ends_before_it_could_have() {
    let (duty, _) = holding();
    assert_eq!(duty.held_token(1_300).map(|h| h.0), Some(40));
    assert!(
        duty.held_token(8_999).is_some() && duty.held_token(9_000).is_none(),
        "a fifth of it is not used"
    );
    // Frozen meanwhile it does not act either, before anything has told it.
    assert!(duty.held_token(50_000).is_none());
}

#[test]
fn a_renewal_that_comes_too_late_or_says_no_ends_it() {
    let (mut duty, mut out) = holding();
    duty.tick(4_400, &mut out);
    let (number, ask) = last(&out);
    assert_eq!(ask, StoreRequest::KeepAlive { lease: 5 });
    duty.handle_reply(4_500, number, StoreReply::Renewed { seconds: 10 }, &mut out);
    assert!(duty.held_token(12_399).is_some(), "it counts from when that was asked");
    duty.tick(7_800, &mut out);
    let (number, _) = last(&out);
    duty.tick(12_400, &mut out);
    assert_eq!((duty.stage(), duty.held_token(12_400)), (Stage::Registering, None));
    assert_eq!(duty.changes, [Change::Acquired(40), Change::Lost(40)]);
    duty.handle_reply(12_500, number, StoreReply::Renewed { seconds: 10 }, &mut out);
    assert!(duty.held_token(12_500).is_none(), "too late");
    let (mut duty, mut out) = holding();
    duty.tick(4_400, &mut out);
    duty.handle_reply(4_500, last(&out).0, StoreReply::Renewed { seconds: 0 }, &mut out);
    assert!(duty.held_token(4_500).is_none(), "the store has ended it");
    let (mut duty, _) = holding();
    duty.handle_fenced_write(2_000, 40);
    assert!(duty.held_token(2_000).is_none(), "the store has the last word");
}

#[test]
fn an_answer_that_is_lost_is_asked_for_again_and_a_lease_that_comes_late_is_given_back() {
    let (mut duty, mut out) = duty();
    duty.tick(0, &mut out);
    let (first, _) = last(&out);
    duty.tick(10_000, &mut out);
    duty.tick(12_000, &mut out);
    assert_eq!(last(&out).1, StoreRequest::Grant { seconds: 10 });
    let (second, _) = last(&out);
    duty.handle_reply(12_100, first, StoreReply::Granted { lease: 7, seconds: 10 }, &mut out);
    assert_eq!(last(&out).1, StoreRequest::Revoke { lease: 7 });
    duty.handle_reply(12_200, second, StoreReply::Granted { lease: 8, seconds: 10 }, &mut out);
    let (number, enter) = last(&out);
    assert!(matches!(enter, StoreRequest::Register { lease: 8, .. }));
    // Whether it was done is not known: the same is asked again, which changes nothing if it was.
    duty.handle_reply(12_300, number, StoreReply::Failed, &mut out);
    duty.tick(13_400, &mut out);
    assert_eq!(last(&out).1, enter);
}

#[test]
fn a_resigned_duty_is_given_back_at_once() {
    let (mut duty, mut out) = holding();
    duty.resign(&mut out);
    assert_eq!((last(&out).1, duty.stage()), (StoreRequest::Revoke { lease: 5 }, Stage::Idle));
    assert!(duty.held_token(1_400).is_none());
    assert_eq!(duty.changes, [Change::Acquired(40), Change::Resigned(40)]);
    duty.campaign(2_000);
    duty.tick(2_000, &mut out);
    assert_eq!(last(&out).1, StoreRequest::Grant { seconds: 10 });
}
