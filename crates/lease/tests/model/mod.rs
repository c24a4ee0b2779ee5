//! A store, candidates whose clocks run at different rates, and a network between them that loses and delays
//! messages. A run is determined by its seed. `World::now` is true time, in milliseconds.
#![allow(dead_code)]
use lease::{next_permit, Candidate, Config, DrainRequest, Duty, Ms, Stage, StoreReply, StoreRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

pub const TTL: Ms = 10_000;
pub const DUTY_PREFIX: &str = "duty/";
pub const REQUEST_PREFIX: &str = "wanted/";
pub const PERMIT_PREFIX: &str = "given/";
pub const ROUND_KEY: &str = "round";
pub const MAX_DRAINING: usize = 2;

pub struct Random(Pcg32);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.0.random_range(0..n.max(1))
    }
    pub fn percent(&mut self, p: u64) -> bool {
        self.below(100) < p
    }
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub created: i64,
    pub modified: i64,
    pub value: String,
    pub lease: i64,
}

/// Keys with revisions, and leases that expire.
#[derive(Default)]
pub struct Store {
    pub revision: i64,
    pub keys: BTreeMap<String, Entry>,
    pub leases: BTreeMap<i64, Ms>,
    last_lease: i64,
    /// All requests but renewals.
    pub request_count: u64,
}

impl Store {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        self.revision += 1;
        let created = self.keys.get(key).map_or(self.revision, |e| e.created);
        let entry = Entry { created, modified: self.revision, value: value.to_string(), lease };
        self.keys.insert(key.to_string(), entry);
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        self.revision += 1;
        self.keys.retain(|_, e| e.lease != lease);
    }

    pub fn expire(&mut self, now: Ms) {
        let expired: Vec<i64> = self.leases.iter().filter(|(_, &at)| now >= at).map(|(&id, _)| id).collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    pub fn grant(&mut self, now: Ms, ttl: Ms) -> i64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, now + ttl);
        self.last_lease
    }

    fn with_prefix(&self, prefix: &str) -> Vec<(String, Entry)> {
        let under = |(k, _): &(&String, &Entry)| k.starts_with(prefix);
        self.keys.iter().filter(under).map(|(k, e)| (k.clone(), e.clone())).collect()
    }

    /// None if the reply comes later, as for a watch.
    fn answer(&mut self, now: Ms, request: &StoreRequest) -> Option<StoreReply> {
        self.request_count += u64::from(!matches!(request, StoreRequest::KeepAlive { .. }));
        self.expire(now);
        Some(match request {
            StoreRequest::Grant { seconds } => {
                StoreReply::Granted { lease: self.grant(now, seconds * 1_000), seconds: *seconds }
            }
            StoreRequest::Register { lease, key, value } => {
                if !self.leases.contains_key(lease) {
                    return Some(StoreReply::Failed);
                }
                if !self.keys.contains_key(key) {
                    self.put(key, value, *lease);
                }
                StoreReply::Registered { create_revision: self.keys[key].created }
            }
            StoreRequest::List { prefix } => {
                let all = self.with_prefix(prefix).into_iter();
                let all = all
                    .map(|(key, e)| Candidate { key, create_revision: e.created, value: e.value })
                    .collect();
                StoreReply::Candidates { candidates: all, revision: self.revision }
            }
            StoreRequest::Watch { key, .. } => {
                if self.keys.contains_key(key) {
                    return None;
                }
                StoreReply::WatchEnded
            }
            StoreRequest::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some(deadline) => {
                    *deadline = now + TTL;
                    StoreReply::Renewed { seconds: TTL / 1_000 }
                }
                None => StoreReply::Renewed { seconds: 0 },
            },
            StoreRequest::Revoke { lease } => {
                if self.leases.contains_key(lease) {
                    self.end_lease(*lease);
                }
                StoreReply::Revoked
            }
        })
    }
}

/// A write made under the duty: a permit, or only the check of the token.
#[derive(Clone, Debug)]
pub struct PermitWrite {
    pub token: i64,
    pub key: String,
    /// The revision of the round key that the holder has read.
    pub round: i64,
    pub grant: Option<DrainRequest>,
}

enum Message {
    Request {
        from: usize,
        number: u64,
        request: StoreRequest,
    },
    Reply {
        to: usize,
        number: u64,
        reply: StoreReply,
    },
    /// The holder reads the requests and permits; the reply is `PermitsRead`.
    ReadPermits {
        from: usize,
        token: i64,
        key: String,
    },
    PermitsRead {
        to: usize,
        token: i64,
        key: String,
        drain_requests: Vec<DrainRequest>,
        permitted: Vec<String>,
        round: i64,
    },
    WritePermit {
        write: PermitWrite,
    },
}

pub struct Process {
    pub duty: Duty,
    /// The rate of its clock, in percent of true time.
    clock_rate_percent: u64,
    pub frozen_until: Ms,
    pub partitioned: bool,
    pub running: bool,
    next_act_at: Ms,
    /// Writes that were decided on just before a freeze.
    pub delayed_writes: Vec<PermitWrite>,
}

pub struct World {
    pub now: Ms,
    pub store: Store,
    pub processes: Vec<Process>,
    pub random: Random,
    pub loss_percent: u64,
    pub max_delay: Ms,
    pub store_down_until: Ms,
    pub fencing: bool,
    pub permits_enabled: bool,
    /// How many of a hundred writes are delayed by a freeze between the check and the write.
    pub freeze_percent: u64,
    in_flight: BTreeMap<(Ms, u64), Message>,
    watches: Vec<(usize, u64, String)>,
    last_number: u64,
    pub last_token: i64,
    pub write_count: u64,
    pub machine_leases: BTreeMap<String, i64>,
}

fn config(clock_drift_percent: u64) -> Config {
    Config {
        prefix: DUTY_PREFIX.into(),
        value: "one".into(),
        ttl: TTL,
        clock_drift_percent,
        retry_delay: 400,
    }
}

impl World {
    pub fn new(seed: u64, n: usize, fencing: bool, clock_drift_percent: u64) -> World {
        let mut random = Random::new(seed);
        let processes = (0..n)
            .map(|i| {
                let mut duty = Duty::new(config(clock_drift_percent), seed ^ (i as u64) << 32);
                duty.campaign(0);
                let (clock_rate_percent, next_act_at) = (90 + random.below(21), 0);
                Process {
                    duty,
                    clock_rate_percent,
                    frozen_until: 0,
                    partitioned: false,
                    running: true,
                    next_act_at,
                    delayed_writes: Vec::new(),
                }
            })
            .collect();
        World {
            now: 0,
            store: Store::default(),
            processes,
            random,
            loss_percent: 0,
            max_delay: 50,
            store_down_until: 0,
            fencing,
            permits_enabled: true,
            freeze_percent: 10,
            in_flight: BTreeMap::new(),
            watches: Vec::new(),
            last_number: 0,
            last_token: 0,
            write_count: 0,
            machine_leases: BTreeMap::new(),
        }
    }

    fn clock(&self, process: usize) -> Ms {
        self.now * self.processes[process].clock_rate_percent / 100
    }

    fn send_message(&mut self, extra_delay: Ms, message: Message) {
        self.last_number += 1;
        let at = self.now + 1 + self.random.below(self.max_delay) + extra_delay;
        self.in_flight.insert((at, self.last_number), message);
    }

    fn send_requests(&mut self, from: usize, requests: Vec<(u64, StoreRequest)>) {
        for (number, request) in requests {
            if self.processes[from].partitioned
                || self.now < self.store_down_until
                || self.random.percent(self.loss_percent)
            {
                // The failure is noticed after a timeout.
                self.send_message(1_500, Message::Reply { to: from, number, reply: StoreReply::Failed });
                continue;
            }
            self.send_message(0, Message::Request { from, number, request });
        }
    }

    pub fn kill(&mut self, process: usize) {
        self.processes[process].running = false;
        self.watches.retain(|w| w.0 != process);
    }

    pub fn start(&mut self, process: usize, clock_drift_percent: u64) {
        let seed = self.random.below(u64::MAX >> 1);
        let clock = self.clock(process);
        let mut duty = Duty::new(config(clock_drift_percent), seed);
        duty.campaign(clock);
        let process = &mut self.processes[process];
        (process.duty, process.running, process.frozen_until) = (duty, true, 0);
        process.delayed_writes.clear();
    }

    pub fn resign(&mut self, process: usize) {
        let mut requests = Vec::new();
        self.processes[process].duty.resign(&mut requests);
        self.send_requests(process, requests);
    }

    /// A machine requests a permit under a new lease of its own.
    pub fn request_permit(&mut self, machine: &str) {
        let lease = self.store.grant(self.now, TTL);
        self.store.put(&format!("{REQUEST_PREFIX}{machine}"), "", lease);
        self.machine_leases.insert(machine.to_string(), lease);
    }

    pub fn end_request(&mut self, machine: &str) {
        if let Some(lease) = self.machine_leases.remove(machine) {
            self.store.end_lease(lease);
        }
    }

    fn fire_watches(&mut self) {
        let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(_, _, key)| !self.store.keys.contains_key(key));
        self.watches = rest;
        for (to, number, _) in gone {
            if !self.processes[to].partitioned {
                self.send_message(0, Message::Reply { to, number, reply: StoreReply::WatchEnded });
            }
        }
    }

    fn deliver(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Request { from, number, request } => {
                let reply = self.store.answer(self.now, &request);
                match (reply, request) {
                    (Some(reply), _) => {
                        let lost = self.processes[from].partitioned || self.random.percent(self.loss_percent);
                        let reply = if lost { StoreReply::Failed } else { reply };
                        self.send_message(
                            if lost { 1_500 } else { 0 },
                            Message::Reply { to: from, number, reply },
                        );
                    }
                    (None, StoreRequest::Watch { key, .. }) => self.watches.push((from, number, key)),
                    _ => {}
                }
                self.fire_watches();
            }
            Message::Reply { to, number, reply } => {
                if self.now < self.processes[to].frozen_until {
                    let wait = self.processes[to].frozen_until - self.now;
                    self.send_message(wait, Message::Reply { to, number, reply });
                } else if self.processes[to].running {
                    let clock = self.clock(to);
                    let mut requests = Vec::new();
                    self.processes[to].duty.handle_reply(clock, number, reply, &mut requests);
                    self.send_requests(to, requests);
                }
            }
            Message::ReadPermits { from, token, key } => {
                let drain_requests = self.store.with_prefix(REQUEST_PREFIX).into_iter();
                let strip = |k: String, p: &str| k.trim_start_matches(p).to_string();
                let drain_requests = drain_requests
                    .map(|(k, e)| DrainRequest {
                        machine: strip(k, REQUEST_PREFIX),
                        request_revision: e.created,
                    })
                    .collect();
                let permitted = self
                    .store
                    .with_prefix(PERMIT_PREFIX)
                    .into_iter()
                    .map(|(k, _)| strip(k, PERMIT_PREFIX))
                    .collect();
                let round = self.store.keys.get(ROUND_KEY).map_or(0, |e| e.modified);
                self.send_message(
                    0,
                    Message::PermitsRead { to: from, token, key, drain_requests, permitted, round },
                );
            }
            Message::PermitsRead { to, token, key, drain_requests, permitted, round } => {
                let clock = self.clock(to);
                // The token is checked before the write; the process may freeze in between.
                let process = &mut self.processes[to];
                if process.running
                    && self.now >= process.frozen_until
                    && process.duty.held_token(clock).is_some_and(|h| h.0 == token)
                {
                    let grant = next_permit(&drain_requests, &permitted, MAX_DRAINING);
                    let write = PermitWrite { token, key, round, grant };
                    if self.random.percent(self.freeze_percent) {
                        process.delayed_writes.push(write);
                        process.frozen_until = self.now + self.random.below(3 * TTL);
                    } else {
                        self.send_message(0, Message::WritePermit { write });
                    }
                }
            }
            Message::WritePermit { write } => self.write(write)?,
        }
        Ok(())
    }

    fn write(&mut self, write: PermitWrite) -> Result<(), String> {
        self.store.expire(self.now);
        let fenced = self.store.keys.get(&write.key).is_none_or(|e| e.created != write.token);
        if fenced && self.fencing {
            return Ok(());
        }
        if write.token < self.last_token {
            return Err(format!(
                "a write with token {} after one with token {}",
                write.token, self.last_token
            ));
        }
        (self.last_token, self.write_count) = (write.token, self.write_count + 1);
        if let Some(grant) = write.grant {
            let (request_key, permit_key) =
                (format!("{REQUEST_PREFIX}{}", grant.machine), format!("{PERMIT_PREFIX}{}", grant.machine));
            let round = self.store.keys.get(ROUND_KEY).map_or(0, |e| e.modified);
            let lease = self
                .store
                .keys
                .get(&request_key)
                .filter(|e| e.created == grant.request_revision)
                .map(|e| e.lease);
            if let (Some(lease), true, false) =
                (lease, round == write.round, self.store.keys.contains_key(&permit_key))
            {
                self.store.put(&permit_key, &write.token.to_string(), lease);
                self.store.put(ROUND_KEY, "", 0);
            }
        }
        Ok(())
    }

    /// Lets time pass, and checks the guarantees at every step.
    pub fn run(&mut self, span: Ms) -> Result<(), String> {
        let deadline = self.now + span;
        while self.now < deadline {
            self.now += 20;
            self.store.expire(self.now);
            self.fire_watches();
            while let Some((&(at, _), _)) = self.in_flight.first_key_value() {
                if at > self.now {
                    break;
                }
                let Some((_, message)) = self.in_flight.pop_first() else { break };
                self.deliver(message)?;
            }
            for i in 0..self.processes.len() {
                if !self.processes[i].running || self.now < self.processes[i].frozen_until {
                    continue;
                }
                let clock = self.clock(i);
                for write in std::mem::take(&mut self.processes[i].delayed_writes) {
                    self.send_message(0, Message::WritePermit { write });
                }
                if self.processes[i].duty.next_deadline() <= clock {
                    let mut requests = Vec::new();
                    self.processes[i].duty.tick(clock, &mut requests);
                    self.send_requests(i, requests);
                }
                if self.permits_enabled && self.now >= self.processes[i].next_act_at {
                    self.processes[i].next_act_at = self.now + 500;
                    if let Some((token, key)) = self.processes[i].duty.held_token(clock) {
                        if !self.processes[i].partitioned && self.now >= self.store_down_until {
                            self.send_message(0, Message::ReadPermits { from: i, token, key });
                        }
                    }
                }
            }
            let holders: Vec<usize> = self.holders();
            if holders.len() > 1 {
                return Err(format!("{holders:?} hold the duty at once, at {}", self.now));
            }
            let permit_count = self.store.with_prefix(PERMIT_PREFIX).len();
            if permit_count > MAX_DRAINING {
                return Err(format!("{permit_count} permits at {}", self.now));
            }
        }
        Ok(())
    }

    /// The processes that would act under the duty now.
    pub fn holders(&self) -> Vec<usize> {
        let would_act = |&i: &usize| {
            let process = &self.processes[i];
            process.running
                && self.now >= process.frozen_until
                && process.duty.held_token(self.clock(i)).is_some()
        };
        (0..self.processes.len()).filter(would_act).collect()
    }

    pub fn waiting(&self) -> usize {
        self.processes.iter().filter(|o| o.running && o.duty.stage() == Stage::Waiting).count()
    }

    pub fn running_processes(&self) -> BTreeSet<usize> {
        (0..self.processes.len()).filter(|&i| self.processes[i].running).collect()
    }
}
