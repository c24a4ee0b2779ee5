//! The ledger of one counter: which requests it answers, and which tokens it grants.
use quota::ledger::{TenantLimit, MEMBERSHIP_VALID_MS, NEW_COUNTER_DELAY_MS};
use quota::{Counters, Ledger, Ms, TokenRequest, TokenResponse, TokenReturn};
use settings::Quota;

const TENANT: &str = "t";
const QUOTA: TenantLimit = TenantLimit::Limited(Quota { rate_per_s: 30.0, burst: 30.0 });
const OLD: [u64; 3] = [1, 2, 3];
/// Stores 2 and 3 were declared lost during a network partition.
const NEW: [u64; 3] = [1, 4, 5];
const CHANGE: Ms = 20_000;
const STEP: Ms = 100;

fn request(disks: &[u64], tokens: u32) -> TokenRequest {
    let counters_digest = Counters::for_tenant(TENANT, disks.iter().copied()).digest();
    TokenRequest { tenant: TENANT.to_string(), counters_digest, tokens }
}

fn tokens(response: TokenResponse) -> u32 {
    match response {
        TokenResponse::Granted { tokens, .. } => tokens,
        TokenResponse::NoLimit | TokenResponse::NotCounting => 0,
    }
}

/// A ledger that has been counting for a long time.
fn long_running(disk: u64) -> Ledger {
    let mut ledger = Ledger::new(disk, disk);
    ledger.update_members(&OLD, 0, 0);
    ledger.update_members(&OLD, CHANGE, CHANGE);
    ledger
}

/// Guards against exceeding a quota when two counters are declared lost during a network partition: they and
/// their successors would each be a quorum at the same time.
#[test]
fn an_old_quorum_stops_before_a_new_one_starts() {
    let mut old = [2, 3].map(long_running);
    let mut new = [4, 5].map(|disk| Ledger::new(disk, disk));
    let (mut last_old_grant, mut first_new_grant) = (0, Ms::MAX);
    for now in (CHANGE..CHANGE + 10_000).step_by(STEP as usize) {
        new.iter_mut().for_each(|ledger| ledger.update_members(&NEW, now, now));
        if old.iter_mut().all(|ledger| tokens(ledger.take_tokens(&request(&OLD, 1), QUOTA, now)) > 0) {
            last_old_grant = now;
        }
        if new.iter_mut().all(|ledger| tokens(ledger.take_tokens(&request(&NEW, 1), QUOTA, now)) > 0) {
            first_new_grant = first_new_grant.min(now);
        }
    }
    assert!(last_old_grant > CHANGE && last_old_grant < CHANGE + MEMBERSHIP_VALID_MS, "{last_old_grant}");
    assert!((CHANGE + NEW_COUNTER_DELAY_MS..Ms::MAX).contains(&first_new_grant), "{first_new_grant}");
}

/// Guards against granting a tenant its quota twice: to callers that use counters which are no longer, or not
/// yet, in force.
#[test]
fn a_caller_with_other_counters_is_refused() {
    let mut ledger = long_running(1);
    assert_eq!(ledger.take_tokens(&request(&NEW, 1), QUOTA, CHANGE), TokenResponse::NotCounting);
    assert_eq!(tokens(ledger.take_tokens(&request(&OLD, 1), QUOTA, CHANGE)), 1);
    let mut other = long_running(9);
    assert_eq!(other.take_tokens(&request(&OLD, 1), QUOTA, CHANGE), TokenResponse::NotCounting);
}

/// Guards against exceeding a quota after a restart: tokens granted by the previous process must not be
/// returned to a process that never granted them.
#[test]
fn tokens_are_returned_only_soon_and_to_the_process_that_granted_them() {
    let take_all = |ledger: &mut Ledger, now| match ledger.take_tokens(&request(&OLD, 99), QUOTA, now) {
        TokenResponse::Granted { tokens, stamp, .. } => (tokens, stamp),
        other => panic!("{other:?}"),
    };
    let mut ledger = long_running(1);
    let (granted, stamp) = take_all(&mut ledger, CHANGE);
    assert_eq!(granted, 20);
    let returning = |stamp| TokenReturn { tenant: TENANT.to_string(), tokens: granted, stamp };
    ledger.return_tokens(&returning(quota::TokenStamp { incarnation: 99, ..stamp }), CHANGE);
    assert_eq!(take_all(&mut ledger, CHANGE).0, 0);
    ledger.return_tokens(&returning(stamp), CHANGE + 10);
    let (granted_again, stamp) = take_all(&mut ledger, CHANGE + 10);
    assert_eq!(granted_again, 20);
    ledger.return_tokens(&returning(stamp), CHANGE + 200);
    // 190 ms at 20 tokens per second are 3.8; nothing of what was returned too late.
    assert_eq!(take_all(&mut ledger, CHANGE + 200).0, 3);
}

/// Guards against memory that grows with every tenant ever seen.
#[test]
fn idle_buckets_are_removed_and_are_full_when_created_again() {
    let mut ledger = long_running(1);
    assert_eq!(tokens(ledger.take_tokens(&request(&OLD, 5), QUOTA, CHANGE)), 5);
    ledger.remove_idle(CHANGE);
    assert_eq!(ledger.len(), 1);
    ledger.update_members(&OLD, CHANGE + 2_000, CHANGE + 2_000);
    ledger.remove_idle(CHANGE + 2_000);
    assert!(ledger.is_empty());
    assert_eq!(tokens(ledger.take_tokens(&request(&OLD, 99), QUOTA, CHANGE + 2_000)), 20);
}
