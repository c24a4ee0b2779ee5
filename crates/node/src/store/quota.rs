//! Quotas of tenants: before accepting a message, a store needs tokens from a quorum of the tenant's
//! counters. It is also a counter for some tenants itself. The rules are in the crate `quota`, the calls in
//! [`quota_calls`](super::quota_calls).
use super::quota_calls::{CounterConnections, TokenReplies};
use super::Store;
use crate::calls::{CountRequest, Refusal};
use net::runtime;
use queue::Message;
use quota::ledger::TenantLimit;
use quota::quorum::{self, Candidate, CounterReply, Token};
use quota::{
    Counters, Denial, Ledger, Ms, Progress, QuorumRequest, TokenRequest, TokenResponse, TokenReturn,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A counter that hasn't answered after this time is late, and another one is asked in its place.
const LATE_AFTER: Duration = Duration::from_millis(60);
/// Time limit for collecting a quorum of tokens; a message without one by then isn't counted.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which full buckets are dropped.
const EXPIRY_INTERVAL_MS: Ms = 5_000;
/// Interval at which the time of the last contact with the control group is recorded.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A tenant that has used this share of a bucket is reported as near its limit.
const NEAR_LIMIT_SHARE: f64 = 0.7;

/// State for quotas: this store's own ledger, and its connections to other counters.
pub struct QuotaState {
    ledger: RefCell<Ledger>,
    pub(super) connections: CounterConnections,
    /// Tenants that were over their quota at a counter, and until when.
    over_quota_until: RefCell<HashMap<String, Ms>>,
    /// Round-robin position at which the order of asking counters starts.
    next_turn: Cell<usize>,
    /// When full buckets were last dropped.
    expired_at: Cell<Ms>,
}

impl QuotaState {
    /// The state for the store with this disk; `resumes` if an earlier process ran it.
    pub fn new(disk: u64, resumes: bool) -> QuotaState {
        let process_id = runtime::unique();
        let ledger = if resumes { Ledger::resumed(disk, process_id) } else { Ledger::new(disk, process_id) };
        QuotaState {
            ledger: RefCell::new(ledger),
            connections: CounterConnections::default(),
            over_quota_until: RefCell::default(),
            next_turn: Cell::default(),
            expired_at: Cell::default(),
        }
    }
}

impl Store {
    /// Records the membership of the stores as the control group reports it, until the process ends.
    pub(super) async fn follow_membership(self: Rc<Self>) {
        loop {
            let seen = self.cluster.changes.get();
            self.record_members();
            let _ = runtime::timeout(MEMBERSHIP_CHECK_INTERVAL, self.cluster.changes.changed(seen)).await;
        }
    }

    /// Records which stores there are, and the time of the last answered request to the control group.
    fn record_members(&self) {
        let Some(news_age) = self.cluster.news_age() else { return };
        let stores = self.cluster.stores();
        if stores.owners.is_empty() {
            return;
        }
        let now = self.clock.ms();
        let asked_ms = now.saturating_sub(news_age.as_millis() as Ms);
        self.quotas.ledger.borrow_mut().update_members(&stores.owners, asked_ms, now);
    }

    fn limit_of(&self, tenant: &str) -> TenantLimit {
        match self.cluster.configuration().tenant(tenant) {
            Some(tenant) => tenant.quota().map_or(TenantLimit::Unlimited, TenantLimit::Limited),
            None => TenantLimit::Unknown,
        }
    }

    /// Counts a message against its tenant's quota before it is accepted.
    pub(super) async fn count(self: &Rc<Self>, message: &Message) -> Result<(), Refusal> {
        let Some(tenant) = &message.envelope.tenant else { return Ok(()) };
        let started_at = runtime::now();
        match self.wait_for_limit(tenant, message.envelope.config_version, started_at).await {
            TenantLimit::Unlimited => return Ok(()),
            TenantLimit::Unknown => return Err(Refusal::NotCounted),
            TenantLimit::Limited(_) => {}
        }
        if self.is_over_quota(tenant) {
            return Err(Refusal::OverQuota);
        }
        match self.collect_quorum(tenant, started_at).await {
            Ok(()) => Ok(()),
            Err(Denial::QuorumUnavailable) => Err(Refusal::NotCounted),
            Err(Denial::OverQuota { refuse_for_ms }) => {
                let until = self.clock.ms() + refuse_for_ms;
                self.quotas.over_quota_until.borrow_mut().insert(tenant.clone(), until);
                Err(Refusal::OverQuota)
            }
        }
    }

    /// The limit of a tenant. If the edge used a newer configuration than this store has, waits for that
    /// one.
    async fn wait_for_limit(&self, tenant: &str, version: u64, started_at: Instant) -> TenantLimit {
        loop {
            let seen = self.cluster.changes.get();
            let limit = self.limit_of(tenant);
            let left = TOKEN_TIMEOUT.saturating_sub(runtime::elapsed(started_at));
            if limit != TenantLimit::Unknown || self.cluster.version() >= version || left.is_zero() {
                return limit;
            }
            let _ = runtime::timeout(left, self.cluster.changes.changed(seen)).await;
        }
    }

    fn is_over_quota(&self, tenant: &str) -> bool {
        let over_quota_until = self.quotas.over_quota_until.borrow();
        over_quota_until.get(tenant).is_some_and(|until| self.clock.ms() < *until)
    }

    /// Asks counters for tokens until a quorum has granted one each or a quorum is out of reach.
    async fn collect_quorum(self: &Rc<Self>, tenant: &str, started_at: Instant) -> Result<(), Denial> {
        let counters = self.quotas.ledger.borrow().counters(tenant);
        let mut quorum_request = QuorumRequest::new(&counters, &self.counter_order(tenant, &counters));
        let token_replies = Rc::new(TokenReplies::default());
        let mut deadline = LATE_AFTER;
        while quorum_request.progress() == Progress::Pending {
            let seen = token_replies.changed.get();
            let counters_to_ask = quorum_request.counters_to_ask();
            counters_to_ask
                .iter()
                .for_each(|disk| self.ask_counter(*disk, tenant, &counters, &token_replies));
            let replies = token_replies.take();
            if !replies.is_empty() {
                replies.into_iter().for_each(|(disk, reply)| quorum_request.record_reply(disk, reply));
                continue;
            }
            let left = deadline.saturating_sub(runtime::elapsed(started_at));
            let answered = runtime::timeout(left, token_replies.changed.changed(seen)).await.is_ok();
            if !answered && deadline == TOKEN_TIMEOUT {
                break;
            }
            if !answered {
                deadline = TOKEN_TIMEOUT;
                quorum_request
                    .mark_late()
                    .iter()
                    .for_each(|disk| self.quotas.connections.mark_unresponsive(*disk, self.clock.ms()));
            }
        }
        token_replies.concluded.set(true);
        self.conclude_request(tenant, quorum_request, started_at)
    }

    /// Returns unused tokens. Tokens of a request that took too long are unused as well: they were counted in
    /// an earlier period, say before a pause of this process.
    fn conclude_request(
        self: &Rc<Self>,
        tenant: &str,
        mut quorum_request: QuorumRequest,
        started_at: Instant,
    ) -> Result<(), Denial> {
        let in_time = runtime::elapsed(started_at) <= TOKEN_TIMEOUT;
        if !in_time {
            quorum_request.abandon();
        }
        let unused = quorum_request.unused_tokens();
        unused.into_iter().for_each(|token| self.return_token(tenant, token));
        match quorum_request.progress() {
            Progress::Granted => Ok(()),
            Progress::Denied(denial) => Err(denial),
            Progress::Pending => Err(quorum_request.denial()),
        }
    }

    fn counter_order(&self, tenant: &str, counters: &Counters) -> Vec<Candidate> {
        let stores = self.cluster.stores();
        let now = self.clock.ms();
        let candidate = |disk: &u64| {
            let (unresponsive, above_half) = self.quotas.connections.last_known_state(*disk, tenant, now);
            let distance = stores.get(*disk).map(|store| store.location.distance(&self.location) as u32);
            Candidate { disk: *disk, unresponsive, above_half, distance: distance.unwrap_or(u32::MAX) }
        };
        let turn = self.quotas.next_turn.get();
        self.quotas.next_turn.set(turn.wrapping_add(1));
        quorum::ask_order(counters.disks().iter().map(candidate).collect(), turn)
    }

    /// Asks one counter for a token; this store itself without a call.
    fn ask_counter(
        self: &Rc<Self>,
        disk: u64,
        tenant: &str,
        counters: &Counters,
        token_replies: &Rc<TokenReplies>,
    ) {
        let want = TokenRequest { tenant: tenant.to_string(), counters_digest: counters.digest(), tokens: 1 };
        if disk != self.disk {
            return self.queue_request(disk, want, token_replies.clone());
        }
        let response = self.count_locally(&want);
        token_replies.add(disk, reply_for(response, 0));
    }

    /// Returns a token that no message used.
    pub(super) fn return_token(self: &Rc<Self>, tenant: &str, token: Token) {
        let returned = TokenReturn { tenant: tenant.to_string(), tokens: 1, stamp: token.stamp };
        match token.disk == self.disk {
            true => self.quotas.ledger.borrow_mut().return_tokens(&returned, self.clock.ms()),
            false => self.queue_return(token.disk, returned),
        }
    }

    fn count_locally(&self, want: &TokenRequest) -> TokenResponse {
        let limit = self.limit_of(&want.tenant);
        self.quotas.ledger.borrow_mut().take_tokens(want, limit, self.clock.ms())
    }

    /// Answers a batch of token requests from another store.
    pub(super) fn count_for_peer(&self, request: CountRequest) -> Vec<TokenResponse> {
        self.record_members();
        let now = self.clock.ms();
        let mut ledger = self.quotas.ledger.borrow_mut();
        request.returns.iter().for_each(|returned| ledger.return_tokens(returned, now));
        if now >= self.quotas.expired_at.get() + EXPIRY_INTERVAL_MS {
            self.quotas.expired_at.set(now);
            ledger.remove_idle(now);
        }
        drop(ledger);
        request.wants.iter().map(|want| self.count_locally(want)).collect()
    }

    /// Tenants near their limits at this counter, for the status.
    pub(super) fn tenants_near_limits(&self) -> serde_json::Value {
        let near = self.quotas.ledger.borrow_mut().near_limit(NEAR_LIMIT_SHARE, self.clock.ms());
        let shown = near.into_iter().map(|used| {
            let share = (used.used_share * 100.0).round() / 100.0;
            serde_json::json!({"tenant": used.tenant, "used": share, "refused": used.refused})
        });
        shown.collect()
    }
}

/// The reply to the message at position `place` of a batch.
pub(super) fn reply_for(response: TokenResponse, place: u32) -> CounterReply {
    match response {
        TokenResponse::Granted { tokens, stamp, .. } if place < tokens => CounterReply::Token(stamp),
        TokenResponse::Granted { next_token_ms, .. } => CounterReply::Exhausted(next_token_ms),
        TokenResponse::NoLimit => CounterReply::NoLimit,
        TokenResponse::NotCounting => CounterReply::Unavailable,
    }
}
