//! The buckets of one counter, in memory: one for each tenant that it counts for.
//!
//! Two sets of counters must never grant tokens at the same time, or a tenant would have its quota twice.
//! Therefore a store counts only while it has recently confirmed the list of stores, and a new counter of a
//! tenant starts only when every other store knows of it or has stopped counting.
use crate::bucket::{Bucket, Limit};
use crate::counters::Counters;
use crate::Ms;
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Quota;
use std::collections::BTreeMap;

/// A store that has not confirmed the list of stores with the control group for this long stops counting.
pub const MEMBERSHIP_VALID_MS: Ms = 6_000;
/// Delay before a new counter of a tenant starts: by then the counters that do not know of it have stopped,
/// and a former primary of the control group has noticed that it was replaced.
pub const NEW_COUNTER_DELAY_MS: Ms = 7_500;

/// A request for tokens of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenRequest {
    pub tenant: String,
    /// Digest of the set of counters that the caller uses, see [`Counters::digest`].
    pub counters_digest: u64,
    /// Number of tokens requested.
    pub tokens: u32,
}

/// When tokens were taken, and in which incarnation of the counter's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenStamp {
    /// Unique number of the process that granted the tokens.
    pub incarnation: u64,
    /// Time of the counter's clock at which they were taken.
    pub taken_at: Ms,
}

/// Returns tokens that no message used.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenReturn {
    pub tenant: String,
    pub tokens: u32,
    /// The stamp with which the tokens were granted.
    pub stamp: TokenStamp,
}

/// The answer of a counter to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TokenResponse {
    /// Some tokens were taken. If there were fewer than requested, the next one is available in
    /// `next_token_ms`. `above_half` tells whether the bucket is more than half full.
    Granted { tokens: u32, stamp: TokenStamp, next_token_ms: u32, above_half: bool },
    /// The tenant has no limit in the configuration of the counter, which is newer than that of the caller.
    NoLimit,
    /// No tokens: the caller uses other counters, the tenant is unknown here, or this store has not confirmed
    /// the list of stores recently.
    NotCounting,
}

/// How much of its quota a tenant uses at one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    pub tenant: String,
    /// The used share of the bucket.
    pub used_share: f64,
    /// Number of tokens refused since the start of the process.
    pub refused: u64,
}

/// The limit of a tenant in the configuration of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TenantLimit {
    Limited(Quota),
    Unlimited,
    /// The configuration has no such tenant.
    Unknown,
}

/// The active stores as of one update.
#[derive(Clone, Debug)]
struct Members {
    disks: Vec<u64>,
    /// The stores that are new in this update count from this time on.
    begins_at: Ms,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    limit: Limit,
}

/// The buckets of one counter.
#[derive(Clone, Debug)]
pub struct Ledger {
    disk: u64,
    incarnation: u64,
    /// An earlier process on this disk was a store already, so this store counts at once after its first
    /// update.
    resumed_process: bool,
    /// Versions of the list of stores. The last one determines the counters; earlier ones are kept back to
    /// the newest whose `begins_at` had passed when the list last changed.
    members: Vec<Members>,
    members_confirmed_at: Option<Ms>,
    accounts: BTreeMap<String, Account>,
    refused: BTreeMap<String, u64>,
}

impl Ledger {
    /// The ledger of the store with this disk; `incarnation` is a number that no other process uses.
    pub fn new(disk: u64, incarnation: u64) -> Ledger {
        let (members, accounts, refused) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        Ledger {
            disk,
            incarnation,
            resumed_process: false,
            members,
            members_confirmed_at: None,
            accounts,
            refused,
        }
    }

    /// The ledger after a restart of the process. Its buckets are empty, because the tokens granted earlier
    /// are unknown, but the other stores already use it as a counter.
    pub fn resumed(disk: u64, incarnation: u64) -> Ledger {
        Ledger { resumed_process: true, ..Ledger::new(disk, incarnation) }
    }

    /// Updates the list of active stores with an answer of the control group to a request sent at `asked_at`.
    pub fn update_members(&mut self, disks: &[u64], asked_at: Ms, now: Ms) {
        self.members_confirmed_at = self.members_confirmed_at.max(Some(asked_at));
        if self.members.last().is_some_and(|members| members.disks == disks) {
            return;
        }
        let old = self.members.iter().rposition(|members| members.begins_at <= now);
        self.members.drain(..old.unwrap_or(0));
        let at_once = self.resumed_process && self.members.is_empty();
        let begins_at = if at_once { now } else { now + NEW_COUNTER_DELAY_MS };
        self.members.push(Members { disks: disks.to_vec(), begins_at });
        let kept: Vec<String> =
            self.accounts.keys().filter(|tenant| self.was_counter_before(tenant)).cloned().collect();
        self.accounts.retain(|tenant, _| kept.contains(tenant));
    }

    /// Disks of the active stores, as of the last update.
    pub fn members(&self) -> &[u64] {
        self.members.last().map_or(&[], |members| &members.disks)
    }

    /// The counters of a tenant, as of the last update.
    pub fn counters(&self, tenant: &str) -> Counters {
        Counters::for_tenant(tenant, self.members().iter().copied())
    }

    fn counts_among(&self, tenant: &str, members: &Members) -> bool {
        Counters::for_tenant(tenant, members.disks.iter().copied()).contains(self.disk)
    }

    /// Whether this store is a counter of a tenant both before and after the last change of the list of
    /// stores.
    fn was_counter_before(&self, tenant: &str) -> bool {
        self.members.iter().rev().take(2).all(|members| self.counts_among(tenant, members))
    }

    /// When this store may start to count for a tenant.
    fn begins_at(&self, tenant: &str) -> Option<Ms> {
        let counted = self.members.iter().rev().take_while(|members| self.counts_among(tenant, members));
        counted.last().map(|members| members.begins_at)
    }

    fn has_recent_members(&self, now: Ms) -> bool {
        self.members_confirmed_at.is_some_and(|at| now < at + MEMBERSHIP_VALID_MS)
    }

    /// Answers a request for tokens.
    pub fn take_tokens(
        &mut self,
        request: &TokenRequest,
        tenant_limit: TenantLimit,
        now: Ms,
    ) -> TokenResponse {
        let counters = self.counters(&request.tenant);
        if !self.has_recent_members(now)
            || !counters.contains(self.disk)
            || counters.digest() != request.counters_digest
        {
            return TokenResponse::NotCounting;
        }
        let quota = match tenant_limit {
            TenantLimit::Limited(quota) => quota,
            TenantLimit::Unlimited => return TokenResponse::NoLimit,
            TenantLimit::Unknown => return TokenResponse::NotCounting,
        };
        let Some(begins_at) = self.begins_at(&request.tenant).filter(|at| *at <= now) else {
            return TokenResponse::NotCounting;
        };
        let limit = counters.bucket_limit(quota);
        let new = || Account { bucket: Bucket::new(limit, begins_at), limit };
        let account = self.accounts.entry(request.tenant.clone()).or_insert_with(new);
        account.limit = limit;
        let taken = account.bucket.take(limit, u64::from(request.tokens), now) as u32;
        let next_token_ms = account.bucket.ms_until_token(now).min(Ms::from(u32::MAX)) as u32;
        let above_half = account.bucket.used_share(limit, now) < 0.5;
        if taken < request.tokens {
            *self.refused.entry(request.tenant.clone()).or_default() += u64::from(request.tokens - taken);
        }
        TokenResponse::Granted {
            tokens: taken,
            stamp: TokenStamp { incarnation: self.incarnation, taken_at: now },
            next_token_ms,
            above_half,
        }
    }

    /// Puts unused tokens back into the bucket, if this process granted them.
    pub fn return_tokens(&mut self, returned: &TokenReturn, now: Ms) {
        if returned.stamp.incarnation != self.incarnation {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&returned.tenant) {
            account.bucket.return_tokens(
                account.limit,
                u64::from(returned.tokens),
                returned.stamp.taken_at,
                now,
            );
        }
    }

    /// Discards full buckets to which no token can be returned: a bucket created later would be as full.
    pub fn remove_idle(&mut self, now: Ms) {
        self.accounts.retain(|_, account| !account.bucket.is_idle(account.limit, now));
    }

    /// Number of tenants with a bucket.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no tenant has a bucket.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Tenants that use at least this share of their buckets.
    pub fn near_limit(&mut self, threshold: f64, now: Ms) -> Vec<TenantUsage> {
        let refused = &self.refused;
        let used = self.accounts.iter_mut().map(|(tenant, account)| TenantUsage {
            tenant: tenant.clone(),
            used_share: account.bucket.used_share(account.limit, now),
            refused: refused.get(tenant).copied().unwrap_or(0),
        });
        used.filter(|usage| usage.used_share >= threshold).collect()
    }
}
