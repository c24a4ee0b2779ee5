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
pub const COUNTS_WITHOUT_NEWS: Ms = 6_000;
/// A counter that is new to a tenant begins after so long: when those that don't know of it have stopped, and a primary of
/// the control group that is none any more has noticed.
pub const NEW_COUNTER_WAITS: Ms = 7_500;

/// A caller asks for tokens of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Want {
    pub tenant: String,
    /// The digest of the set of counters by which the caller reckons.
    pub counters: u64,
    pub tokens: u32,
}

/// When, and in which life of the counter's process, tokens were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Stamp {
    pub life: u64,
    pub at: Ms,
}

/// A caller gives back tokens that no message used.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Return {
    pub tenant: String,
    pub tokens: u32,
    pub taken: Stamp,
}

/// A counter's answer to a [`Want`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Counted {
    /// So many tokens were taken; if fewer than were wanted, the next one is there in `short_ms`.
    Taken { tokens: u32, stamp: Stamp, short_ms: u32, plenty: bool },
    /// The tenant has no limit by the counter's configuration, which is newer.
    NoLimit,
    /// The caller reckons by other counters, or this one doesn't know the tenant, or hasn't heard of the control
    /// group lately: it doesn't count.
    NotHere,
}

/// How much of its quota a tenant uses, at one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct Use {
    pub tenant: String,
    /// The share of the bucket that is used up.
    pub share: f64,
    /// Tokens that were refused since the start.
    pub refused: u64,
}

/// A tenant's limit, as the counter's configuration has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Known {
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
    life: u64,
    /// An earlier process on this disk was a store: it isn't new among the first ones that it hears of.
    resumes: bool,
    /// What was heard of the stores, as far back as it matters; the last is in force.
    members: Vec<Members>,
    heard_at: Option<Ms>,
    accounts: BTreeMap<String, Account>,
    refused: BTreeMap<String, u64>,
}

impl Ledger {
    /// The ledger of the store of a disk; `life` is a number that no other process has.
    pub fn new(disk: u64, life: u64) -> Ledger {
        let (members, accounts, refused) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        Ledger { disk, life, resumes: false, members, heard_at: None, accounts, refused }
    }

    /// The same after a restart of the process: what it granted before isn't known, so its buckets are empty, but the other
    /// stores reckon with it already.
    pub fn resumed(disk: u64, life: u64) -> Ledger {
        Ledger { resumes: true, ..Ledger::new(disk, life) }
    }

    /// The control group answered a question that was asked at a time: these are the active stores.
    pub fn heard(&mut self, disks: &[u64], asked_at: Ms, now: Ms) {
        self.heard_at = self.heard_at.max(Some(asked_at));
        if self.members.last().is_some_and(|members| members.disks == disks) {
            return;
        }
        let old = self.members.iter().rposition(|members| members.begins_at <= now);
        self.members.drain(..old.unwrap_or(0));
        let at_once = self.resumes && self.members.is_empty();
        let begins_at = if at_once { now } else { now + NEW_COUNTER_WAITS };
        self.members.push(Members { disks: disks.to_vec(), begins_at });
        let kept: Vec<String> =
            self.accounts.keys().filter(|tenant| self.has_stayed(tenant)).cloned().collect();
        self.accounts.retain(|tenant, _| kept.contains(tenant));
    }

    /// The disks of the active stores, by what this store has heard.
    pub fn members(&self) -> &[u64] {
        self.members.last().map_or(&[], |members| &members.disks)
    }

    /// The counters of a tenant, by what this store has heard.
    pub fn counters(&self, tenant: &str) -> Counters {
        Counters::of(tenant, self.members().iter().copied())
    }

    fn counts_among(&self, tenant: &str, members: &Members) -> bool {
        Counters::of(tenant, members.disks.iter().copied()).has(self.disk)
    }

    /// Whether this store counts for a tenant and did before the last change of the stores.
    fn has_stayed(&self, tenant: &str) -> bool {
        self.members.iter().rev().take(2).all(|members| self.counts_among(tenant, members))
    }

    /// From when on it may count for a tenant.
    fn begins_at(&self, tenant: &str) -> Option<Ms> {
        let counted = self.members.iter().rev().take_while(|members| self.counts_among(tenant, members));
        counted.last().map(|members| members.begins_at)
    }

    fn hears(&self, now: Ms) -> bool {
        self.heard_at.is_some_and(|at| now < at + COUNTS_WITHOUT_NEWS)
    }

    /// Answers a request for tokens.
    pub fn count(&mut self, want: &Want, known: Known, now: Ms) -> Counted {
        let counters = self.counters(&want.tenant);
        if !self.hears(now) || !counters.has(self.disk) || counters.digest() != want.counters {
            return Counted::NotHere;
        }
        let quota = match known {
            Known::Limited(quota) => quota,
            Known::Unlimited => return Counted::NoLimit,
            Known::Unknown => return Counted::NotHere,
        };
        let Some(begins_at) = self.begins_at(&want.tenant).filter(|at| *at <= now) else {
            return Counted::NotHere;
        };
        let limit = counters.limit(quota);
        let new = || Account { bucket: Bucket::new(limit, begins_at), limit };
        let account = self.accounts.entry(want.tenant.clone()).or_insert_with(new);
        account.limit = limit;
        let taken = account.bucket.take(limit, u64::from(want.tokens), now) as u32;
        let short_ms = account.bucket.short_for(now).min(Ms::from(u32::MAX)) as u32;
        let plenty = account.bucket.used_share(limit, now) < 0.5;
        if taken < want.tokens {
            *self.refused.entry(want.tenant.clone()).or_default() += u64::from(want.tokens - taken);
        }
        Counted::Taken { tokens: taken, stamp: Stamp { life: self.life, at: now }, short_ms, plenty }
    }

    /// Takes back tokens that were not used.
    pub fn take_back(&mut self, returned: &Return, now: Ms) {
        if returned.taken.life != self.life {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&returned.tenant) {
            account.bucket.take_back(account.limit, u64::from(returned.tokens), returned.taken.at, now);
        }
    }

    /// Forgets full buckets of which nothing is owed: a new one would be as full. One that isn't is kept.
    pub fn forget_idle(&mut self, now: Ms) {
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
    pub fn near_limit(&mut self, share: f64, now: Ms) -> Vec<Use> {
        let refused = &self.refused;
        let used = self.accounts.iter_mut().map(|(tenant, account)| Use {
            tenant: tenant.clone(),
            share: account.bucket.used_share(account.limit, now),
            refused: refused.get(tenant).copied().unwrap_or(0),
        });
        used.filter(|used| used.share >= share).collect()
    }
}
