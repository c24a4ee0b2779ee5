//! A simulation of counters and callers: calls are delayed and lost, processes freeze and restart, the
//! network is partitioned, stores are lost and replaced, and limits change.
use quota::ledger::TenantLimit;
use quota::quorum::{ask_order, Candidate, CounterReply};
use quota::{Counters, Ledger, Ms, Progress, QuorumRequest, TokenRequest, TokenResponse, TokenReturn};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use settings::Quota;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const WINDOW_MS: Ms = 5_000;
const LATE_AFTER_MS: Ms = 60;
const DEADLINE_MS: Ms = 250;
const UNRESPONSIVE_FOR_MS: Ms = 300;
const POLL_INTERVAL_MS: Ms = 300;
/// A configuration reaches all stores within this time.
pub const CONFIG_LAG_MS: Ms = 1_000;

/// A fault injected into the quota protocol, to test that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    None,
    /// Every call is sent twice, and counted twice.
    CountsBatchesTwice,
    ReturnsTwice,
    StartsFull,
    QuorumOfOne,
    FullRateEach,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { store: usize, tenant: usize, count: u32 },
    Call { from: usize, to: usize, batch: usize, grants: Vec<usize> },
    Answer { from: usize, to: usize, batch: usize, grants: Vec<usize>, counted: Answered },
    Return { to: usize, tenant: usize, tokens: u32, life: u64, at: Ms },
    Late { store: usize, batch: usize },
    Expire { store: usize, batch: usize },
    Poll { store: usize },
    MembersUpdate { store: usize, asked_at: Ms, members: Vec<u64> },
    Limit { store: usize, tenant: usize, quota: usize },
    Unfreeze,
}

/// A [`TokenResponse`] with an order, for the event queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answered {
    Taken { tokens: u32, life: u64, at: Ms, short_ms: u32 },
    No,
}

struct Batch {
    tenant: usize,
    started_at: Ms,
    grants: Vec<QuorumRequest>,
    decided: Vec<bool>,
}

struct StoreProcess {
    disk: u64,
    ledger: Ledger,
    quotas: Vec<usize>,
    frozen_until: Ms,
    down_until: Ms,
    lost: bool,
    side: usize,
    refused_until: BTreeMap<usize, Ms>,
    /// Counters that were late, and until when they are asked last.
    unresponsive_until: BTreeMap<u64, Ms>,
}

/// All stores, and the messages they accepted.
pub struct World {
    pub now: Ms,
    pub rng: Pcg64Mcg,
    mistake: Mistake,
    stores: Vec<StoreProcess>,
    members: Vec<u64>,
    events: BinaryHeap<Reverse<(Ms, u64, Event)>>,
    event_count: u64,
    batches: Vec<Batch>,
    split_until: Ms,
    /// Every quota ever set, by number.
    quotas: Vec<Quota>,
    /// For each tenant, its quotas and when each one took effect.
    pub history: Vec<Vec<(Ms, Quota)>>,
    /// For each tenant, when messages were accepted.
    pub accepted: Vec<Vec<Ms>>,
}

pub fn name(tenant: usize) -> String {
    format!("tenant-{tenant}")
}

impl World {
    pub fn new(seed: u64, stores: usize, quotas: &[Quota], mistake: Mistake) -> World {
        let members: Vec<u64> = (1..=stores as u64).collect();
        let mut world = World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            mistake,
            stores: Vec::new(),
            members: members.clone(),
            events: BinaryHeap::new(),
            event_count: 0,
            batches: Vec::new(),
            split_until: 0,
            quotas: quotas.to_vec(),
            history: quotas.iter().map(|quota| vec![(0, *quota)]).collect(),
            accepted: vec![Vec::new(); quotas.len()],
        };
        members.into_iter().for_each(|disk| world.add_store(disk));
        world
    }

    fn add_store(&mut self, disk: u64) {
        let ledger = Ledger::new(disk, self.rng.random_range(0..u64::MAX));
        let quotas = (0..self.history.len()).map(|tenant| self.current_quota(tenant)).collect();
        let (frozen_until, down_until, lost, side) = (0, 0, false, 0);
        let (refused_until, unresponsive_until) = (BTreeMap::new(), BTreeMap::new());
        let process = StoreProcess {
            disk,
            ledger,
            quotas,
            frozen_until,
            down_until,
            lost,
            side,
            refused_until,
            unresponsive_until,
        };
        self.stores.push(process);
        self.at(self.now, Event::Poll { store: self.stores.len() - 1 });
    }

    fn current_quota(&self, tenant: usize) -> usize {
        let (_, quota) = self.history[tenant].last().unwrap();
        self.quotas.iter().rposition(|known| known == quota).unwrap()
    }

    fn at(&mut self, at: Ms, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at.max(self.now), self.event_count, event)));
    }

    fn index(&self, disk: u64) -> Option<usize> {
        self.stores.iter().position(|store| store.disk == disk)
    }

    pub fn store_count(&self) -> usize {
        self.stores.len()
    }

    /// Messages of a tenant arrive at a store.
    pub fn arrive(&mut self, store: usize, tenant: usize, count: u32) {
        self.at(self.now, Event::Arrive { store, tenant, count });
    }

    /// Advances time, handling all events up to `until`.
    pub fn run_until(&mut self, until: Ms) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn owner(event: &Event) -> Option<usize> {
        match event {
            Event::Arrive { store, .. } | Event::Late { store, .. } | Event::Expire { store, .. } => {
                Some(*store)
            }
            Event::Poll { store } | Event::MembersUpdate { store, .. } | Event::Limit { store, .. } => {
                Some(*store)
            }
            Event::Call { to, .. } | Event::Answer { to, .. } | Event::Return { to, .. } => Some(*to),
            Event::Unfreeze => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(owner) = World::owner(&event) {
            let store = &self.stores[owner];
            if store.lost {
                return;
            }
            let resumes_at = store.frozen_until.max(store.down_until);
            if resumes_at > self.now {
                // A process that is down loses its events, but polls again when it is back.
                let lost =
                    store.down_until > self.now && !matches!(event, Event::Poll { .. } | Event::Limit { .. });
                if !lost {
                    self.at(resumes_at, event);
                }
                return;
            }
        }
        match event {
            Event::Arrive { store, tenant, count } => self.begin(store, tenant, count),
            Event::Call { from, to, batch, grants } => self.count(from, to, batch, grants),
            Event::Answer { from, to, batch, grants, counted } => {
                self.answered(from, to, batch, grants, counted)
            }
            Event::Return { to, tenant, tokens, life, at } => {
                let returned = TokenReturn {
                    tenant: name(tenant),
                    tokens,
                    stamp: quota::TokenStamp { incarnation: life, taken_at: at },
                };
                self.stores[to].ledger.return_tokens(&returned, self.now);
            }
            Event::Late { store, batch } => {
                let Batch { grants, decided, .. } = &mut self.batches[batch];
                let undecided = grants.iter_mut().zip(decided.iter()).filter(|(_, decided)| !**decided);
                let late: Vec<u64> = undecided.flat_map(|(grant, _)| grant.mark_late()).collect();
                let unresponsive_until = self.now + UNRESPONSIVE_FOR_MS;
                for disk in late {
                    self.stores[store].unresponsive_until.insert(disk, unresponsive_until);
                }
                self.send_requests(store, batch);
            }
            Event::Expire { store, batch } => self.expire(store, batch),
            Event::Poll { store } => self.poll(store),
            Event::MembersUpdate { store, asked_at, members } => {
                self.update_members(store, asked_at, &members)
            }
            Event::Limit { store, tenant, quota } => {
                // A known configuration is never replaced by an older one.
                let known = &mut self.stores[store].quotas[tenant];
                *known = quota.max(*known);
            }
            Event::Unfreeze => {}
        }
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        self.now < self.split_until && self.stores[one].side != self.stores[other].side
    }

    fn delay(&mut self) -> Ms {
        match self.rng.random_bool(0.02) {
            true => self.rng.random_range(10..70),
            false => self.rng.random_range(1..5),
        }
    }

    /// Sends an event from one store to another; it may be delayed or lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            return self.at(self.now, event);
        }
        if self.rng.random_bool(0.002) {
            return;
        }
        let departs_at = if self.are_partitioned(from, to) { self.split_until } else { self.now };
        let delay = self.delay();
        self.at(departs_at + delay, event);
    }

    fn poll(&mut self, store: usize) {
        self.at(self.now + POLL_INTERVAL_MS, Event::Poll { store });
        let partitioned = self.now < self.split_until && self.stores[store].side != 0;
        if !partitioned {
            let (members, asked_at, delay) = (self.members.clone(), self.now, self.delay());
            self.at(self.now + delay, Event::MembersUpdate { store, asked_at, members });
        }
    }

    fn update_members(&mut self, store: usize, asked_at: Ms, members: &[u64]) {
        let now = match self.mistake {
            Mistake::StartsFull => self.now.saturating_sub(60_000),
            _ => self.now,
        };
        self.stores[store].ledger.update_members(members, asked_at, now);
    }

    fn begin(&mut self, store: usize, tenant: usize, count: u32) {
        if self.stores[store].refused_until.get(&tenant).is_some_and(|until| self.now < *until) {
            return;
        }
        let counters = self.stores[store].ledger.counters(&name(tenant));
        let turn = self.rng.random_range(0..6);
        let unresponsive_until = &self.stores[store].unresponsive_until;
        let candidate = |disk: &u64| {
            let unresponsive = unresponsive_until.get(disk).is_some_and(|until| self.now < *until);
            Candidate { disk: *disk, unresponsive, above_half: false, distance: 0 }
        };
        let in_order = ask_order(counters.disks().iter().map(candidate).collect(), turn);
        let grants = (0..count).map(|_| QuorumRequest::new(&counters, &in_order)).collect();
        let (started_at, decided) = (self.now, vec![false; count as usize]);
        self.batches.push(Batch { tenant, started_at, grants, decided });
        let batch = self.batches.len() - 1;
        self.at(self.now + LATE_AFTER_MS, Event::Late { store, batch });
        self.at(self.now + DEADLINE_MS, Event::Expire { store, batch });
        self.send_requests(store, batch);
    }

    fn progress(&self, grant: &QuorumRequest, has_token: bool) -> Progress {
        match self.mistake == Mistake::QuorumOfOne && has_token {
            true => Progress::Granted,
            false => grant.progress(),
        }
    }

    /// Sends the next requests of all undecided messages of a batch.
    fn send_requests(&mut self, store: usize, batch: usize) {
        let mut asks: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let Batch { grants, decided, .. } = &mut self.batches[batch];
        for (place, grant) in grants.iter_mut().enumerate().filter(|(place, _)| !decided[*place]) {
            for disk in grant.counters_to_ask() {
                asks.entry(disk).or_default().push(place);
            }
        }
        for (disk, grants) in asks {
            let Some(to) = self.index(disk) else { continue };
            if self.mistake == Mistake::CountsBatchesTwice {
                self.send(store, to, Event::Call { from: store, to, batch, grants: grants.clone() });
            }
            self.send(store, to, Event::Call { from: store, to, batch, grants });
        }
        (0..self.batches[batch].grants.len()).for_each(|place| self.decide(store, batch, place, false));
    }

    fn count(&mut self, from: usize, to: usize, batch: usize, grants: Vec<usize>) {
        let tenant = self.batches[batch].tenant;
        let caller = self.stores[from].ledger.counters(&name(tenant));
        let mut quota = self.quotas[self.stores[to].quotas[tenant]];
        if self.mistake == Mistake::FullRateEach {
            let whole = caller.disks().len() as f64 / caller.quorum() as f64;
            quota = Quota { rate_per_s: quota.rate_per_s * whole, burst: quota.burst * whole };
        }
        let want = TokenRequest {
            tenant: name(tenant),
            counters_digest: caller.digest(),
            tokens: grants.len() as u32,
        };
        let counted = self.stores[to].ledger.take_tokens(&want, TenantLimit::Limited(quota), self.now);
        let counted = match counted {
            TokenResponse::Granted { tokens, stamp, next_token_ms, .. } => Answered::Taken {
                tokens,
                life: stamp.incarnation,
                at: stamp.taken_at,
                short_ms: next_token_ms,
            },
            TokenResponse::NoLimit | TokenResponse::NotCounting => Answered::No,
        };
        self.send(to, from, Event::Answer { from: to, to: from, batch, grants, counted });
    }

    fn answered(&mut self, from: usize, to: usize, batch: usize, grants: Vec<usize>, counted: Answered) {
        let disk = self.stores[from].disk;
        self.stores[to].unresponsive_until.remove(&disk);
        for (turn, place) in grants.into_iter().enumerate() {
            let reply = match counted {
                Answered::Taken { tokens, life, at, .. } if (turn as u32) < tokens => {
                    CounterReply::Token(quota::TokenStamp { incarnation: life, taken_at: at })
                }
                Answered::Taken { short_ms, .. } => CounterReply::Exhausted(short_ms),
                Answered::No => CounterReply::Unavailable,
            };
            if let (true, CounterReply::Token(stamp)) = (self.batches[batch].decided[place], reply) {
                let twice = self.mistake == Mistake::CountsBatchesTwice;
                if !twice {
                    self.give_back(to, batch, disk, stamp);
                }
                continue;
            }
            self.batches[batch].grants[place].record_reply(disk, reply);
            self.decide(to, batch, place, matches!(reply, CounterReply::Token(_)));
        }
        self.send_requests(to, batch);
    }

    fn decide(&mut self, store: usize, batch: usize, place: usize, has_token: bool) {
        if self.batches[batch].decided[place] {
            return;
        }
        let before_deadline = self.now <= self.batches[batch].started_at + DEADLINE_MS;
        if !before_deadline {
            self.batches[batch].grants[place].abandon();
        }
        let progress = self.progress(&self.batches[batch].grants[place], has_token && before_deadline);
        if progress == Progress::Pending {
            return;
        }
        self.batches[batch].decided[place] = true;
        let tenant = self.batches[batch].tenant;
        if progress == Progress::Granted {
            self.accepted[tenant].push(self.now);
        }
        if let Progress::Denied(quota::Denial::OverQuota { refuse_for_ms }) = progress {
            self.stores[store].refused_until.insert(tenant, self.now + refuse_for_ms);
        }
        if self.mistake != Mistake::QuorumOfOne {
            let unused = self.batches[batch].grants[place].unused_tokens();
            unused.into_iter().for_each(|token| self.give_back(store, batch, token.disk, token.stamp));
        }
    }

    fn give_back(&mut self, from: usize, batch: usize, disk: u64, stamp: quota::TokenStamp) {
        let (Some(to), tenant) = (self.index(disk), self.batches[batch].tenant) else { return };
        let times = if self.mistake == Mistake::ReturnsTwice { 2 } else { 1 };
        for _ in 0..times {
            self.send(
                from,
                to,
                Event::Return { to, tenant, tokens: 1, life: stamp.incarnation, at: stamp.taken_at },
            );
        }
    }

    fn expire(&mut self, store: usize, batch: usize) {
        for place in 0..self.batches[batch].grants.len() {
            if !self.batches[batch].decided[place] {
                self.batches[batch].grants[place].abandon();
                self.decide(store, batch, place, false);
            }
        }
    }

    /// Freezes the process of a store.
    pub fn freeze(&mut self, store: usize, span: Ms) {
        self.stores[store].frozen_until = self.now + span;
        self.at(self.now + span, Event::Unfreeze);
    }

    /// Restarts a store with an empty ledger.
    pub fn restart(&mut self, store: usize, span: Ms) {
        let life = self.rng.random_range(0..u64::MAX);
        let process = &mut self.stores[store];
        process.ledger = Ledger::resumed(process.disk, life);
        process.down_until = self.now + span;
    }

    /// Partitions the stores into two sides; the control group is on the first.
    pub fn split(&mut self, span: Ms) {
        for store in &mut self.stores {
            store.side = usize::from(self.rng.random_bool(0.5));
        }
        self.split_until = self.now + span;
    }

    /// The control group declares a store lost, whether it is or not, and a new store replaces it.
    pub fn replace(&mut self, store: usize, stays: bool) {
        let disk = self.stores[store].disk;
        self.members.retain(|member| *member != disk);
        self.stores[store].lost = !stays;
        let new = self.stores.len() as u64 + 1;
        self.members.push(new);
        self.members.sort_unstable();
        self.add_store(new);
    }

    /// Changes the quota of a tenant; the stores learn of it one after another.
    pub fn set_quota(&mut self, tenant: usize, quota: Quota) {
        self.quotas.push(quota);
        self.history[tenant].push((self.now, quota));
        let number = self.quotas.len() - 1;
        for store in 0..self.stores.len() {
            let at = self.now + self.rng.random_range(0..CONFIG_LAG_MS / 2);
            self.at(at, Event::Limit { store, tenant, quota: number });
        }
    }

    /// The counters of a tenant, as the control group knows them.
    pub fn counters(&self, tenant: usize) -> Counters {
        Counters::for_tenant(&name(tenant), self.members.iter().copied())
    }

    /// The index of the store with this disk.
    pub fn store_of(&self, disk: u64) -> usize {
        self.index(disk).unwrap()
    }

    /// The window that exceeds its bound by the most messages, or comes closest to it. Returns the number of
    /// messages accepted in the window, and the number allowed.
    pub fn worst_window(&self, tenant: usize, allowed: impl Fn(Quota) -> f64) -> (usize, f64) {
        let times = &self.accepted[tenant];
        let over = |(accepted, allowed): &(usize, f64)| *accepted as f64 - allowed;
        let window = |i: usize| {
            let until = times[i] + WINDOW_MS;
            let accepted = times.partition_point(|at| *at <= until) - i;
            (accepted, allowed(self.highest_quota(tenant, times[i], until)))
        };
        let windows = (0..times.len()).map(window);
        windows.max_by(|one, other| over(one).total_cmp(&over(other))).unwrap_or((0, 0.0))
    }

    /// The highest limits in force during a window, including the time that changes need to reach the stores.
    fn highest_quota(&self, tenant: usize, from: Ms, until: Ms) -> Quota {
        let history = &self.history[tenant];
        let ended = |i: usize| history.get(i + 1).map_or(Ms::MAX, |(at, _)| at + CONFIG_LAG_MS);
        let in_force = (0..history.len()).filter(|i| history[*i].0 <= until && ended(*i) >= from);
        in_force.fold(Quota { rate_per_s: 0.0, burst: 0.0 }, |highest, i| Quota {
            rate_per_s: highest.rate_per_s.max(history[i].1.rate_per_s),
            burst: highest.burst.max(history[i].1.burst),
        })
    }
}
