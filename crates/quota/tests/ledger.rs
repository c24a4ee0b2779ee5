//! One counting store: whom it answers, and what it holds.
use quota::ledger::{TenantLimit, MEMBERSHIP_VALID_MS, NEW_COUNTER_DELAY_MS};
use quota::{Counters, Ledger, Ms, TokenRequest, TokenResponse, TokenReturn};
use settings::Quota;

const TENANT: &str = "t";
const QUOTA: TenantLimit = TenantLimit::Limited(Quota { rate_per_s: 30.0, burst: 30.0 });
const OLD: [u64; 3] = [1, 2, 3];
/// Stores 2 and 3 were given up while they were cut off.
const NEW: [u64; 3] = [1, 4, 5];
const CHANGE: Ms = 20_000;
const STEP: Ms = 100;

fn want(disks: &[u64], tokens: u32) -> TokenRequest {
    let counters_digest = Counters::for_tenant(TENANT, disks.iter().copied()).digest();
    TokenRequest { tenant: TENANT.to_string(), counters_digest, tokens }
}

fn tokens(counted: TokenResponse) -> u32 {
    match counted {
        TokenResponse::Granted { tokens, .. } => tokens,
        TokenResponse::NoLimit | TokenResponse::NotCounting => 0,
    }
}

/// A ledger that has counted for long.
fn settled(disk: u64) -> Ledger {
    let mut ledger = Ledger::new(disk, disk);
    ledger.update_members(&OLD, 0, 0);
    ledger.update_members(&OLD, CHANGE, CHANGE);
    ledger
}

/// Guards against QUOTA when two counters are given up in a cut: they and their heirs would each be a quorum, at once.
#[test]
fn an_old_quorum_has_stopped_before_a_new_one_begins() {
    let mut old = [2, 3].map(settled);
    let mut new = [4, 5].map(|disk| Ledger::new(disk, disk));
    let (mut last_old, mut first_new) = (0, Ms::MAX);
    for now in (CHANGE..CHANGE + 10_000).step_by(STEP as usize) {
        new.iter_mut().for_each(|ledger| ledger.update_members(&NEW, now, now));
        if old.iter_mut().all(|ledger| tokens(ledger.take_tokens(&want(&OLD, 1), QUOTA, now)) > 0) {
            last_old = now;
        }
        if new.iter_mut().all(|ledger| tokens(ledger.take_tokens(&want(&NEW, 1), QUOTA, now)) > 0) {
            first_new = first_new.min(now);
        }
    }
    assert!(last_old > CHANGE && last_old < CHANGE + MEMBERSHIP_VALID_MS, "{last_old}");
    assert!((CHANGE + NEW_COUNTER_DELAY_MS..Ms::MAX).contains(&first_new), "{first_new}");
}

/// Guards against two quotas of one tenant: a caller reckons by counters that are no longer, or not yet, in force.
#[test]
fn a_caller_with_other_counters_is_refused() {
    let mut ledger = settled(1);
    assert_eq!(ledger.take_tokens(&want(&NEW, 1), QUOTA, CHANGE), TokenResponse::NotCounting);
    assert_eq!(tokens(ledger.take_tokens(&want(&OLD, 1), QUOTA, CHANGE)), 1);
    let mut other = settled(9);
    assert_eq!(other.take_tokens(&want(&OLD, 1), QUOTA, CHANGE), TokenResponse::NotCounting);
}

/// Guards against QUOTA after a restart: tokens of the process before come back to one that never gave them.
#[test]
fn tokens_come_back_only_soon_and_to_the_process_that_gave_them() {
    let take_all = |ledger: &mut Ledger, now| match ledger.take_tokens(&want(&OLD, 99), QUOTA, now) {
        TokenResponse::Granted { tokens, stamp, .. } => (tokens, stamp),
        other => panic!("{other:?}"),
    };
    let mut ledger = settled(1);
    let (given, stamp) = take_all(&mut ledger, CHANGE);
    assert_eq!(given, 20);
    let back = |stamp| TokenReturn { tenant: TENANT.to_string(), tokens: given, stamp };
    ledger.return_tokens(&back(quota::TokenStamp { incarnation: 99, ..stamp }), CHANGE);
    assert_eq!(take_all(&mut ledger, CHANGE).0, 0);
    ledger.return_tokens(&back(stamp), CHANGE + 10);
    let (again, stamp) = take_all(&mut ledger, CHANGE + 10);
    assert_eq!(again, 20);
    ledger.return_tokens(&back(stamp), CHANGE + 200);
    // 190 ms at 20 a second are 3.8, and nothing of what came back too late.
    assert_eq!(take_all(&mut ledger, CHANGE + 200).0, 3);
}

/// Guards against memory that grows with every tenant that was ever seen.
#[test]
fn full_buckets_are_forgotten_and_are_full_again() {
    let mut ledger = settled(1);
    assert_eq!(tokens(ledger.take_tokens(&want(&OLD, 5), QUOTA, CHANGE)), 5);
    ledger.remove_idle(CHANGE);
    assert_eq!(ledger.len(), 1);
    ledger.update_members(&OLD, CHANGE + 2_000, CHANGE + 2_000);
    ledger.remove_idle(CHANGE + 2_000);
    assert!(ledger.is_empty());
    assert_eq!(tokens(ledger.take_tokens(&want(&OLD, 99), QUOTA, CHANGE + 2_000)), 20);
}
