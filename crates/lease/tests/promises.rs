//! The guarantees of a duty, checked over many seeds with lost messages, freezes, restarts, store outages and
//! clocks that run at different rates.
mod model;
use lease::{Change, Config, Duty, Stage, StoreReply, StoreRequest};
use model::*;

/// Runs with all kinds of faults for a while, then without. Returns the number of writes and permits, or the
/// guarantee that was broken.
fn run_with_faults(seed: u64, fencing: bool, clock_drift_percent: u64) -> Result<(u64, usize), String> {
    let mut random = Random::new(seed ^ 0x77);
    let n = 2 + random.below(4) as usize;
    let mut world = World::new(seed, n, fencing, clock_drift_percent);
    world.run(5_000)?;
    let mut permits = 0;
    for step in 0..14 {
        (world.loss_percent, world.max_delay) =
            ([0, 10, 30][random.below(3) as usize], [20, 200, 1_200][random.below(3) as usize]);
        let process = random.below(n as u64) as usize;
        match random.below(8) {
            0 => world.kill(process),
            1 => world.start(process, clock_drift_percent),
            2 => world.processes[process].frozen_until = world.now + random.below(3 * TTL),
            3 => world.processes[process].partitioned = !world.processes[process].partitioned,
            4 => world.store_down_until = world.now + random.below(TTL),
            5 => world.resign(process),
            6 => world.request_permit(&format!("m{}", step % 4)),
            _ => world.end_request(&format!("m{}", random.below(4))),
        }
        let span = 500 + random.below(TTL);
        world.run(span)?;
        permits += world.store.keys.keys().filter(|k| k.starts_with(PERMIT_PREFIX)).count();
    }
    // Without faults the duty must be held again within the lease, the longest freeze and a few replies.
    (world.loss_percent, world.max_delay, world.store_down_until, world.freeze_percent) = (0, 20, 0, 0);
    for process in 0..n {
        (world.processes[process].partitioned, world.processes[process].frozen_until) = (false, 0);
        world.start(process, clock_drift_percent);
    }
    world.request_permit("last");
    let faults_end = world.now;
    while world.holders().is_empty() {
        world.run(100)?;
        if world.now > faults_end + 2 * TTL + 5_000 {
            return Err("nobody holds the duty".to_string());
        }
    }
    world.run(2 * TTL)?;
    if world.holders().len() != 1 {
        return Err("the duty is no longer held".to_string());
    }
    Ok((world.write_count, permits))
}

#[test]
fn tokens_never_go_back_one_process_holds_the_duty_and_permits_stay_bounded() {
    let (mut write_count, mut permits) = (0, 0);
    for seed in 0..1_500 {
        match run_with_faults(seed, true, 25) {
            Ok(outcome) => (write_count, permits) = (write_count + outcome.0, permits + outcome.1),
            Err(reason) => panic!("seed {seed}: {reason}"),
        }
    }
    assert!(write_count > 10_000 && permits > 500, "{write_count} writes, {permits} permits seen");
}

#[test]
fn without_fencing_a_write_with_an_older_token_passes() {
    let broken = (0..1_500).filter_map(|seed| run_with_faults(seed, false, 25).err());
    assert!(
        broken.filter(|reason| reason.contains("after one with token")).count() > 0,
        "no write went back without fencing"
    );
}

#[test]
fn without_the_drift_margin_two_processes_hold_the_duty() {
    let broken = (0..1_500).filter_map(|seed| run_with_faults(seed, true, 0).err());
    assert!(
        broken.filter(|reason| reason.contains("hold the duty at once")).count() > 0,
        "no two processes held the duty without the margin"
    );
}

#[test]
fn each_candidate_watches_only_its_predecessor() {
    for n in [3, 30, 300] {
        let mut world = World::new(1, n, true, 25);
        world.permits_enabled = false;
        while world.waiting() < n - 1 {
            world.run(500).unwrap();
        }
        let requests_before = world.store.request_count;
        let holder = world.holders()[0];
        world.resign(holder);
        world.run(1_000).unwrap();
        assert_eq!(world.holders().len(), 1, "of {n}");
        let request_count = world.store.request_count - requests_before;
        assert!(request_count <= 6, "{request_count} requests at a change of the holder among {n}");
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

/// The last request, with its number.
fn last_request(requests: &[(u64, StoreRequest)]) -> (u64, StoreRequest) {
    requests.last().cloned().expect("a request")
}

fn holding_duty() -> (Duty, Vec<(u64, StoreRequest)>) {
    let (mut duty, mut requests) = duty();
    duty.tick(1_000, &mut requests);
    duty.handle_reply(
        1_100,
        last_request(&requests).0,
        StoreReply::Granted { lease: 5, seconds: 10 },
        &mut requests,
    );
    duty.handle_reply(
        1_200,
        last_request(&requests).0,
        StoreReply::Registered { create_revision: 40 },
        &mut requests,
    );
    let candidates = vec![lease::Candidate { key: duty.key(5), create_revision: 40, value: "me".into() }];
    duty.handle_reply(
        1_300,
        last_request(&requests).0,
        StoreReply::Candidates { candidates, revision: 41 },
        &mut requests,
    );
    assert_eq!(duty.stage(), Stage::Holding);
    (duty, requests)
}

#[test]
fn a_lease_counts_from_its_request_and_ends_early_by_the_drift_margin() {
    let (duty, _) = holding_duty();
    assert_eq!(duty.held_token(1_300).map(|h| h.0), Some(40));
    assert!(
        duty.held_token(8_999).is_some() && duty.held_token(9_000).is_none(),
        "the last fifth of the lease is not used"
    );
    // A process that was frozen past the end of the lease must not act, even before any reply arrives.
    assert!(duty.held_token(50_000).is_none());
}

#[test]
fn a_late_or_refused_renewal_or_a_fenced_write_loses_the_duty() {
    let (mut duty, mut requests) = holding_duty();
    duty.tick(4_400, &mut requests);
    let (number, request) = last_request(&requests);
    assert_eq!(request, StoreRequest::KeepAlive { lease: 5 });
    duty.handle_reply(4_500, number, StoreReply::Renewed { seconds: 10 }, &mut requests);
    assert!(duty.held_token(12_399).is_some(), "the renewed lease counts from when the renewal was sent");
    duty.tick(7_800, &mut requests);
    let (number, _) = last_request(&requests);
    duty.tick(12_400, &mut requests);
    assert_eq!((duty.stage(), duty.held_token(12_400)), (Stage::Registering, None));
    assert_eq!(duty.changes, [Change::Acquired(40), Change::Lost(40)]);
    duty.handle_reply(12_500, number, StoreReply::Renewed { seconds: 10 }, &mut requests);
    assert!(duty.held_token(12_500).is_none(), "a renewal after the expiry does not count");
    let (mut duty, mut requests) = holding_duty();
    duty.tick(4_400, &mut requests);
    duty.handle_reply(4_500, last_request(&requests).0, StoreReply::Renewed { seconds: 0 }, &mut requests);
    assert!(duty.held_token(4_500).is_none(), "the store has ended the lease");
    let (mut duty, _) = holding_duty();
    duty.handle_fenced_write(2_000, 40);
    assert!(duty.held_token(2_000).is_none(), "the store rejected the token");
}

#[test]
fn a_lost_reply_is_retried_and_a_lease_granted_late_is_revoked() {
    let (mut duty, mut requests) = duty();
    duty.tick(0, &mut requests);
    let (first, _) = last_request(&requests);
    duty.tick(10_000, &mut requests);
    duty.tick(12_000, &mut requests);
    assert_eq!(last_request(&requests).1, StoreRequest::Grant { seconds: 10 });
    let (second, _) = last_request(&requests);
    duty.handle_reply(12_100, first, StoreReply::Granted { lease: 7, seconds: 10 }, &mut requests);
    assert_eq!(last_request(&requests).1, StoreRequest::Revoke { lease: 7 });
    duty.handle_reply(12_200, second, StoreReply::Granted { lease: 8, seconds: 10 }, &mut requests);
    let (number, register) = last_request(&requests);
    assert!(matches!(register, StoreRequest::Register { lease: 8, .. }));
    // Whether the store carried out the request is unknown, so it is repeated; that changes nothing if it
    // was.
    duty.handle_reply(12_300, number, StoreReply::Failed, &mut requests);
    duty.tick(13_400, &mut requests);
    assert_eq!(last_request(&requests).1, register);
}

#[test]
fn resigning_revokes_the_lease_at_once() {
    let (mut duty, mut requests) = holding_duty();
    duty.resign(&mut requests);
    assert_eq!((last_request(&requests).1, duty.stage()), (StoreRequest::Revoke { lease: 5 }, Stage::Idle));
    assert!(duty.held_token(1_400).is_none());
    assert_eq!(duty.changes, [Change::Acquired(40), Change::Resigned(40)]);
    duty.campaign(2_000);
    duty.tick(2_000, &mut requests);
    assert_eq!(last_request(&requests).1, StoreRequest::Grant { seconds: 10 });
}
