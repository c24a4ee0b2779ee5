//! Whether a tenant may have one more message accepted: a store asks the tenant's counters for a quorum of tokens before it
//! takes a message, and counts for tenants itself. The decisions are those of the crate `quota`; the calls are in
//! [`quota_calls`](super::quota_calls).
use super::quota_calls::{Asked, Lines};
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

/// A counter that hasn't answered for so long is late: another one is asked in its place.
const LATE: Duration = Duration::from_millis(60);
/// A message that has no quorum of tokens by then isn't counted.
pub(super) const PATIENCE: Duration = Duration::from_millis(250);
/// How often full buckets are forgotten, in milliseconds.
const FORGET_EVERY: Ms = 5_000;
/// How often it is noted that the control group was heard.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// A tenant that uses up such a share of a bucket is shown as near its limit.
const NEAR_LIMIT: f64 = 0.7;

/// What a store needs for counting: its own ledger, and the ways to other counters.
pub struct Counting {
    ledger: RefCell<Ledger>,
    pub(super) lines: Lines,
    /// Tenants of which a counter said that it is short, and until when.
    short_until: RefCell<HashMap<String, Ms>>,
    turn: Cell<usize>,
    forgotten_at: Cell<Ms>,
}

impl Counting {
    /// For the store of a disk; `resumes` if an earlier process was that store.
    pub fn new(disk: u64, resumes: bool) -> Counting {
        let life = runtime::unique();
        let ledger = if resumes { Ledger::resumed(disk, life) } else { Ledger::new(disk, life) };
        Counting {
            ledger: RefCell::new(ledger),
            lines: Lines::default(),
            short_until: RefCell::default(),
            turn: Cell::default(),
            forgotten_at: Cell::default(),
        }
    }
}

impl Store {
    /// Notes for good which stores there are, as the control group tells it.
    pub(super) async fn follow_counters(self: Rc<Self>) {
        loop {
            let seen = self.known.changes.get();
            self.note_members();
            let _ = runtime::timeout(LOOK_EVERY, self.known.changes.changed(seen)).await;
        }
    }

    /// Notes which stores there are, and when the control group was asked last.
    fn note_members(&self) {
        let Some(news_age) = self.known.news_age() else { return };
        let stores = self.known.stores();
        if stores.owners.is_empty() {
            return;
        }
        let now = self.clock.ms();
        let asked_ms = now.saturating_sub(news_age.as_millis() as Ms);
        self.counting.ledger.borrow_mut().update_members(&stores.owners, asked_ms, now);
    }

    fn limit_of(&self, tenant: &str) -> TenantLimit {
        match self.known.configuration().tenant(tenant) {
            Some(tenant) => tenant.quota().map_or(TenantLimit::Unlimited, TenantLimit::Limited),
            None => TenantLimit::Unknown,
        }
    }

    /// Counts a message against its tenant's quota before it is taken.
    pub(super) async fn count(self: &Rc<Self>, message: &Message) -> Result<(), Refusal> {
        let Some(tenant) = &message.envelope.tenant else { return Ok(()) };
        let begun = runtime::now();
        match self.limit_once_known(tenant, message.envelope.config_version, begun).await {
            TenantLimit::Unlimited => return Ok(()),
            TenantLimit::Unknown => return Err(Refusal::NotCounted),
            TenantLimit::Limited(_) => {}
        }
        if self.is_short(tenant) {
            return Err(Refusal::OverQuota);
        }
        match self.quorum_of_tokens(tenant, begun).await {
            Ok(()) => Ok(()),
            Err(Denial::QuorumUnavailable) => Err(Refusal::NotCounted),
            Err(Denial::OverQuota { refuse_for_ms }) => {
                let until = self.clock.ms() + refuse_for_ms;
                self.counting.short_until.borrow_mut().insert(tenant.clone(), until);
                Err(Refusal::OverQuota)
            }
        }
    }

    /// The limit of a tenant. Where an edge knew the tenant by a newer configuration than this store, that is waited for.
    async fn limit_once_known(&self, tenant: &str, version: u64, begun: Instant) -> TenantLimit {
        loop {
            let seen = self.known.changes.get();
            let limit = self.limit_of(tenant);
            let left = PATIENCE.saturating_sub(runtime::elapsed(begun));
            if limit != TenantLimit::Unknown || self.known.version() >= version || left.is_zero() {
                return limit;
            }
            let _ = runtime::timeout(left, self.known.changes.changed(seen)).await;
        }
    }

    fn is_short(&self, tenant: &str) -> bool {
        let short_until = self.counting.short_until.borrow();
        short_until.get(tenant).is_some_and(|until| self.clock.ms() < *until)
    }

    /// Asks counters for tokens until a quorum has given one each, or can't any more.
    async fn quorum_of_tokens(self: &Rc<Self>, tenant: &str, begun: Instant) -> Result<(), Denial> {
        let counters = self.counting.ledger.borrow().counters(tenant);
        let mut grant = QuorumRequest::new(&counters, &self.order(tenant, &counters));
        let asked = Rc::new(Asked::default());
        let mut wait = LATE;
        while grant.progress() == Progress::Pending {
            let seen = asked.changed.get();
            let counters_to_ask = grant.counters_to_ask();
            counters_to_ask.iter().for_each(|disk| self.ask_counter(*disk, tenant, &counters, &asked));
            let replies = asked.take();
            if !replies.is_empty() {
                replies.into_iter().for_each(|(disk, reply)| grant.record_reply(disk, reply));
                continue;
            }
            let left = wait.saturating_sub(runtime::elapsed(begun));
            let answered = runtime::timeout(left, asked.changed.changed(seen)).await.is_ok();
            if !answered && wait == PATIENCE {
                break;
            }
            if !answered {
                wait = PATIENCE;
                grant
                    .mark_late()
                    .iter()
                    .for_each(|disk| self.counting.lines.is_silent(*disk, self.clock.ms()));
            }
        }
        asked.over.set(true);
        self.settle_tokens(tenant, grant, begun)
    }

    /// Gives back what isn't used. Tokens that came while this process stood still are not used either: they were counted
    /// in another time.
    fn settle_tokens(
        self: &Rc<Self>,
        tenant: &str,
        mut grant: QuorumRequest,
        begun: Instant,
    ) -> Result<(), Denial> {
        let in_time = runtime::elapsed(begun) <= PATIENCE;
        if !in_time {
            grant.abandon();
        }
        let unused = grant.unused_tokens();
        unused.into_iter().for_each(|token| self.give_back(tenant, token));
        match grant.progress() {
            Progress::Granted => Ok(()),
            Progress::Denied(denial) => Err(denial),
            Progress::Pending => Err(grant.denial()),
        }
    }

    fn order(&self, tenant: &str, counters: &Counters) -> Vec<Candidate> {
        let stores = self.known.stores();
        let now = self.clock.ms();
        let candidate = |disk: &u64| {
            let (unresponsive, above_half) = self.counting.lines.last_words(*disk, tenant, now);
            let distance = stores.get(*disk).map(|store| store.location.distance(&self.location) as u32);
            Candidate { disk: *disk, unresponsive, above_half, distance: distance.unwrap_or(u32::MAX) }
        };
        let turn = self.counting.turn.get();
        self.counting.turn.set(turn.wrapping_add(1));
        quorum::ask_order(counters.disks().iter().map(candidate).collect(), turn)
    }

    /// Asks one counter for a token; this store itself without a call.
    fn ask_counter(self: &Rc<Self>, disk: u64, tenant: &str, counters: &Counters, asked: &Rc<Asked>) {
        let want = TokenRequest { tenant: tenant.to_string(), counters_digest: counters.digest(), tokens: 1 };
        if disk != self.disk {
            return self.ask_by_call(disk, want, asked.clone());
        }
        let counted = self.count_here(&want);
        asked.reply(disk, reply_of(counted, 0));
    }

    /// Gives back a token that no message used.
    pub(super) fn give_back(self: &Rc<Self>, tenant: &str, token: Token) {
        let returned = TokenReturn { tenant: tenant.to_string(), tokens: 1, stamp: token.stamp };
        match token.disk == self.disk {
            true => self.counting.ledger.borrow_mut().return_tokens(&returned, self.clock.ms()),
            false => self.return_by_call(token.disk, returned),
        }
    }

    fn count_here(&self, want: &TokenRequest) -> TokenResponse {
        let limit = self.limit_of(&want.tenant);
        self.counting.ledger.borrow_mut().take_tokens(want, limit, self.clock.ms())
    }

    /// Answers a batch of requests for tokens.
    pub(super) fn count_for(&self, request: CountRequest) -> Vec<TokenResponse> {
        self.note_members();
        let now = self.clock.ms();
        let mut ledger = self.counting.ledger.borrow_mut();
        request.returns.iter().for_each(|returned| ledger.return_tokens(returned, now));
        if now >= self.counting.forgotten_at.get() + FORGET_EVERY {
            self.counting.forgotten_at.set(now);
            ledger.remove_idle(now);
        }
        drop(ledger);
        request.wants.iter().map(|want| self.count_here(want)).collect()
    }

    /// Tenants that are near their limits at this counter.
    pub(super) fn tenants_near_limits(&self) -> serde_json::Value {
        let near = self.counting.ledger.borrow_mut().near_limit(NEAR_LIMIT, self.clock.ms());
        let shown = near.into_iter().map(|used| {
            let share = (used.used_share * 100.0).round() / 100.0;
            serde_json::json!({"tenant": used.tenant, "used": share, "refused": used.refused})
        });
        shown.collect()
    }
}

/// What the message at a place of a batch is told.
pub(super) fn reply_of(counted: TokenResponse, place: u32) -> CounterReply {
    match counted {
        TokenResponse::Granted { tokens, stamp, .. } if place < tokens => CounterReply::Token(stamp),
        TokenResponse::Granted { next_token_ms, .. } => CounterReply::Exhausted(next_token_ms),
        TokenResponse::NoLimit => CounterReply::NoLimit,
        TokenResponse::NotCounting => CounterReply::Unavailable,
    }
}
