//! What one counting store holds: a bucket for each tenant that it counts for, in memory.
//!
//! Two sets of counters must never grant at once, or a tenant would have two quotas. So a store counts only while it heard
//! lately which stores there are, and one that is new to a tenant begins only when all others have heard of it, or
//! have stopped counting.
use crate::bucket::{Bucket, Limit};
use crate::counters::Counters;
use crate::Ms;
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Quota;
use std::collections::BTreeMap;

/// A store that heard nothing of the control group for so long doesn't count any more.
pub const MEMBERSHIP_VALID_MS: Ms = 6_000;
/// A counter that is new to a tenant begins after so long: when those that don't know of it have stopped, and a primary of
/// the control group that is none any more has noticed.
pub const NEW_COUNTER_DELAY_MS: Ms = 7_500;

/// A caller asks for tokens of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenRequest {
    pub tenant: String,
    /// The digest of the set of counters by which the caller reckons.
    pub counters_digest: u64,
    pub tokens: u32,
}

/// When, and in which life of the counter's process, tokens were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenStamp {
    pub incarnation: u64,
    pub taken_at: Ms,
}

/// A caller gives back tokens that no message used.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TokenReturn {
    pub tenant: String,
    pub tokens: u32,
    pub stamp: TokenStamp,
}

/// A counter's answer to a [`Want`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TokenResponse {
    /// So many tokens were taken; if fewer than were wanted, the next one is there in `short_ms`.
    Granted { tokens: u32, stamp: TokenStamp, next_token_ms: u32, above_half: bool },
    /// The tenant has no limit by the counter's configuration, which is newer.
    NoLimit,
    /// The caller reckons by other counters, or this one doesn't know the tenant, or hasn't heard of the control
    /// group lately: it doesn't count.
    NotCounting,
}

/// How much of its quota a tenant uses, at one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    pub tenant: String,
    /// The share of the bucket that is used up.
    pub used_share: f64,
    /// Tokens that were refused since the start.
    pub refused: u64,
}

/// A tenant's limit, as the counter's configuration has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TenantLimit {
    Limited(Quota),
    Unlimited,
    /// No such tenant.
    Unknown,
}

/// The disks of the active stores.
#[derive(Clone, Debug)]
struct Members {
    disks: Vec<u64>,
    /// From then on those that are new among them count.
    begins_at: Ms,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    limit: Limit,
}

/// The buckets of one counting store.
#[derive(Clone, Debug)]
pub struct Ledger {
    disk: u64,
    incarnation: u64,
    /// An earlier process on this disk was a store: it isn't new among the first ones that it hears of.
    resumed_process: bool,
    /// What was heard of the stores, as far back as it matters; the last is in force.
    members: Vec<Members>,
    members_confirmed_at: Option<Ms>,
    accounts: BTreeMap<String, Account>,
    refused: BTreeMap<String, u64>,
}

impl Ledger {
    /// The ledger of the store of a disk; `life` is a number that no other process has.
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

    /// The same after a restart of the process: what it granted before isn't known, so its buckets are empty, but the other
    /// stores reckon with it already.
    pub fn resumed(disk: u64, incarnation: u64) -> Ledger {
        Ledger { resumed_process: true, ..Ledger::new(disk, incarnation) }
    }

    /// The control group answered a question that was asked at a time: these are the active stores.
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

    /// The disks of the active stores, by what this store has heard.
    pub fn members(&self) -> &[u64] {
        self.members.last().map_or(&[], |members| &members.disks)
    }

    /// The counters of a tenant, by what this store has heard.
    pub fn counters(&self, tenant: &str) -> Counters {
        Counters::for_tenant(tenant, self.members().iter().copied())
    }

    fn counts_among(&self, tenant: &str, members: &Members) -> bool {
        Counters::for_tenant(tenant, members.disks.iter().copied()).contains(self.disk)
    }

    /// Whether this store counts for a tenant and did before the last change of the stores.
    fn was_counter_before(&self, tenant: &str) -> bool {
        self.members.iter().rev().take(2).all(|members| self.counts_among(tenant, members))
    }

    /// From when on it may count for a tenant.
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

    /// Takes back tokens that were not used.
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

    /// Forgets full buckets of which nothing is owed: a new one would be as full. One that isn't is kept.
    pub fn remove_idle(&mut self, now: Ms) {
        self.accounts.retain(|_, account| !account.bucket.is_idle(account.limit, now));
    }

    /// How many tenants have a bucket.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no tenant has a bucket.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Tenants that use up at least such a share of their buckets.
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
