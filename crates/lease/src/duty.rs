//! One candidate for a duty: it campaigns, acquires, renews and resigns the duty, or loses it.
use crate::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Settings of a candidate.
#[derive(Clone, Debug)]
pub struct Config {
    /// Prefix of the candidates' keys in the store.
    pub prefix: String,
    /// The value of this candidate's key, shown to operators and other candidates.
    pub value: String,
    /// Length of the lease. The store counts in whole seconds.
    pub ttl: Ms,
    /// How far the rates of two clocks may differ, in percent. This part of each lease is left unused.
    pub clock_drift_percent: u64,
    /// Least delay before a retry; a random delay of up to the same length is added.
    pub retry_delay: Ms,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Grants a new lease.
    Grant { seconds: u64 },
    /// Creates the key under the lease unless it exists. The reply has its create revision in either case.
    Register { lease: i64, key: String, value: String },
    /// Reads all candidates.
    List { prefix: String },
    /// Completes once the key is deleted at a revision later than `after`.
    Watch { key: String, after: i64 },
    /// Renews the lease.
    KeepAlive { lease: i64 },
    /// Ends the lease and deletes its keys.
    Revoke { lease: i64 },
}

/// A candidate's key as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub key: String,
    pub create_revision: i64,
    pub value: String,
}

/// The store's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// A new lease of this length.
    Granted { lease: i64, seconds: u64 },
    /// The candidate's key exists, with this create revision.
    Registered { create_revision: i64 },
    /// All candidates as of `revision`.
    Candidates { candidates: Vec<Candidate>, revision: i64 },
    /// The watched key was deleted, or the store can no longer watch from the requested revision.
    WatchEnded,
    /// The lease lives for this long from now; 0 means that it no longer exists.
    Renewed { seconds: u64 },
    /// The lease was ended.
    Revoked,
    /// No reply arrived. Whether the store carried out the request is unknown.
    Failed,
}

/// A candidate's progress towards holding the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not campaigning for the duty.
    Idle,
    /// Has no lease yet, or has not registered its key.
    Registering,
    /// Another candidate holds the duty.
    Waiting,
    /// Holds the duty.
    Holding,
}

/// A change of the holder, for logs and the duty's history. Each has the fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The candidate holds the duty now.
    Acquired(i64),
    /// The candidate gave the duty up itself.
    Resigned(i64),
    /// The lease expired, the store ended it, or it could not be renewed in time.
    Lost(i64),
}

/// The candidate's lease.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    /// The store can't end the lease before this time on the local clock.
    valid_until: Ms,
    renew_at: Ms,
    /// The key's create revision, which is the fencing token.
    token: Option<i64>,
}

/// What the candidate waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// No request is outstanding; the next one is due at this time.
    Scheduled(Ms),
    /// A request is outstanding.
    AwaitingReply { number: u64, sent_at: Ms },
    /// The predecessor's key is being watched.
    Watching { number: u64 },
    /// The duty is held; nothing but renewals is sent.
    Holding,
}

/// State machine of one candidate for a duty.
pub struct Duty {
    config: Config,
    campaigning: bool,
    lease: Option<Lease>,
    step: Step,
    pending_renewal: Option<(u64, Ms)>,
    last_number: u64,
    random: Pcg32,
    /// Changes of the holder that the caller has not drained yet.
    pub changes: Vec<Change>,
}

/// Requests to send to the store, each with the number that its reply must carry.
type Requests = Vec<(u64, StoreRequest)>;

impl Duty {
    /// A candidate that does not campaign yet. `seed` drives the retry jitter.
    pub fn new(config: Config, seed: u64) -> Duty {
        Duty {
            config,
            campaigning: false,
            lease: None,
            step: Step::Scheduled(0),
            pending_renewal: None,
            last_number: 0,
            random: Pcg32::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    /// Starts to campaign for the duty.
    pub fn campaign(&mut self, now: Ms) {
        if !std::mem::replace(&mut self.campaigning, true) {
            self.step = Step::Scheduled(now);
        }
    }

    /// Stops campaigning and revokes the lease at once.
    pub fn resign(&mut self, requests: &mut Requests) {
        self.campaigning = false;
        if let Some(lease) = self.lease.take() {
            if let (Step::Holding, Some(token)) = (self.step, lease.token) {
                self.changes.push(Change::Resigned(token));
            }
            self.send(StoreRequest::Revoke { lease: lease.id }, requests);
        }
        (self.step, self.pending_renewal) = (Step::Scheduled(0), None);
    }

    /// The candidate's stage.
    pub fn stage(&self) -> Stage {
        match (self.campaigning, self.step) {
            (false, _) => Stage::Idle,
            (_, Step::Holding) => Stage::Holding,
            (_, Step::Watching { .. }) => Stage::Waiting,
            _ => Stage::Registering,
        }
    }

    /// The fencing token and the candidate's key, if the duty is held at this moment. Callers check this
    /// before each act, and make every write conditional on the key still having this create revision.
    pub fn held_token(&self, now: Ms) -> Option<(i64, String)> {
        let lease = self.lease.filter(|lease| self.step == Step::Holding && now < lease.valid_until)?;
        Some((lease.token?, self.key(lease.id)))
    }

    /// How long the lease remains valid.
    pub fn remaining(&self, now: Ms) -> Ms {
        self.lease.map_or(0, |lease| lease.valid_until.saturating_sub(now))
    }

    /// The candidate's key under a lease.
    pub fn key(&self, lease: i64) -> String {
        format!("{}{lease:016x}", self.config.prefix)
    }

    /// A write was rejected because of its token. The store decides, so the lease counts as lost.
    pub fn handle_fenced_write(&mut self, now: Ms, token: i64) {
        if self.lease.is_some_and(|l| l.token == Some(token)) {
            self.lose_lease(now);
        }
    }

    /// When `tick` must be called at the latest.
    pub fn next_deadline(&self) -> Ms {
        let step = match self.step {
            Step::Scheduled(due) if self.campaigning => due,
            Step::AwaitingReply { sent_at, .. } => sent_at + self.config.ttl,
            _ => Ms::MAX,
        };
        let renew = match (self.lease, self.pending_renewal) {
            (Some(lease), None) => lease.renew_at.min(lease.valid_until),
            (Some(lease), Some(_)) => lease.valid_until,
            (None, _) => Ms::MAX,
        };
        step.min(renew)
    }

    fn send(&mut self, request: StoreRequest, requests: &mut Requests) -> u64 {
        self.last_number += 1;
        requests.push((self.last_number, request));
        self.last_number
    }

    fn send_step(&mut self, now: Ms, request: StoreRequest, requests: &mut Requests) {
        let number = self.send(request, requests);
        self.step = Step::AwaitingReply { number, sent_at: now };
    }

    /// Adds random jitter, so that candidates that failed together don't retry together.
    fn schedule_retry(&mut self, now: Ms) {
        let jitter = self.random.random_range(0..self.config.retry_delay.max(1));
        self.step = Step::Scheduled(now + self.config.retry_delay + jitter);
    }

    /// The earliest time on the local clock at which a lease of `seconds` that was requested at `sent_at` can
    /// end.
    fn lease_end(&self, sent_at: Ms, seconds: u64) -> Ms {
        let length = seconds * 1_000;
        sent_at + length - length * self.config.clock_drift_percent.min(90) / 100
    }

    fn lose_lease(&mut self, now: Ms) {
        let lease = self.lease.take();
        if let (Step::Holding, Some(token)) = (self.step, lease.and_then(|l| l.token)) {
            self.changes.push(Change::Lost(token));
        }
        self.pending_renewal = None;
        self.schedule_retry(now);
    }

    /// Does what is due: ends an expired lease, renews, retries.
    pub fn tick(&mut self, now: Ms, requests: &mut Requests) {
        if !self.campaigning {
            return;
        }
        if let Some(lease) = self.lease {
            if now >= lease.valid_until {
                self.lose_lease(now);
                // The store may keep the lease for a while. Revoking it saves the other candidates that
                // wait.
                self.send(StoreRequest::Revoke { lease: lease.id }, requests);
                return;
            }
            if now >= lease.renew_at && self.pending_renewal.is_none() {
                let number = self.send(StoreRequest::KeepAlive { lease: lease.id }, requests);
                self.pending_renewal = Some((number, now));
            }
        }
        match self.step {
            Step::Scheduled(due) if now >= due => self.send_next_request(now, requests),
            // The reply was lost.
            Step::AwaitingReply { sent_at, .. } if now >= sent_at + self.config.ttl => {
                self.schedule_retry(now)
            }
            _ => {}
        }
    }

    /// Sends the request that follows from the current state.
    fn send_next_request(&mut self, now: Ms, requests: &mut Requests) {
        let request = match self.lease {
            None => StoreRequest::Grant { seconds: self.config.ttl / 1_000 },
            Some(Lease { id, token: None, .. }) => {
                StoreRequest::Register { lease: id, key: self.key(id), value: self.config.value.clone() }
            }
            Some(_) => StoreRequest::List { prefix: self.config.prefix.clone() },
        };
        self.send_step(now, request, requests);
    }

    /// Handles the store's reply to the request `number`.
    pub fn handle_reply(&mut self, now: Ms, number: u64, reply: StoreReply, requests: &mut Requests) {
        if let Some((_, sent_at)) = self.pending_renewal.filter(|(n, _)| *n == number) {
            self.pending_renewal = None;
            return self.handle_renewal(now, sent_at, reply);
        }
        let sent_at = match self.step {
            Step::AwaitingReply { number: n, sent_at } if n == number => sent_at,
            Step::Watching { number: n } if n == number => {
                // The candidates are read again in either case: at once if the store ended the watch,
                // after a delay if the watch failed.
                match reply {
                    StoreReply::WatchEnded => self.send_next_request(now, requests),
                    _ => self.schedule_retry(now),
                }
                return;
            }
            _ => return self.handle_late_reply(reply, requests),
        };
        match (reply, self.lease) {
            (StoreReply::Granted { lease, seconds }, None) if self.campaigning => {
                let valid_until = self.lease_end(sent_at, seconds);
                let renew_at = sent_at + seconds * 1_000 / 3;
                self.lease = Some(Lease { id: lease, valid_until, renew_at, token: None });
                self.send_next_request(now, requests);
            }
            (StoreReply::Registered { create_revision }, Some(mut lease)) => {
                lease.token = Some(create_revision);
                self.lease = Some(lease);
                self.send_next_request(now, requests);
            }
            (StoreReply::Candidates { candidates, revision }, Some(lease)) => {
                self.handle_candidates(now, &lease, candidates, revision, requests)
            }
            // The outcome is unknown or unexpected, so the state is read again.
            _ => self.schedule_retry(now),
        }
    }

    /// Handles a reply that is no longer awaited. A lease that was granted too late is revoked.
    fn handle_late_reply(&mut self, reply: StoreReply, requests: &mut Requests) {
        if let StoreReply::Granted { lease, .. } = reply {
            self.send(StoreRequest::Revoke { lease }, requests);
        }
    }

    fn handle_renewal(&mut self, now: Ms, sent_at: Ms, reply: StoreReply) {
        let Some(mut lease) = self.lease else { return };
        match reply {
            StoreReply::Renewed { seconds: 0 } => return self.lose_lease(now),
            StoreReply::Renewed { seconds } => {
                lease.valid_until = self.lease_end(sent_at, seconds);
                lease.renew_at = sent_at + seconds * 1_000 / 3;
            }
            // Retried soon, as long as the lease is valid.
            _ => lease.renew_at = now + self.config.retry_delay,
        }
        self.lease = Some(lease);
    }

    /// Holds the duty if no candidate registered earlier. Otherwise watches the key of the direct predecessor
    /// alone.
    fn handle_candidates(
        &mut self,
        now: Ms,
        lease: &Lease,
        candidates: Vec<Candidate>,
        revision: i64,
        requests: &mut Requests,
    ) {
        let key = self.key(lease.id);
        let Some(own) = candidates.iter().find(|c| c.key == key) else {
            return self.lose_lease(now);
        };
        let predecessor = candidates
            .iter()
            .filter(|c| c.create_revision < own.create_revision)
            .max_by_key(|c| c.create_revision);
        match predecessor {
            Some(predecessor) => {
                let number = self
                    .send(StoreRequest::Watch { key: predecessor.key.clone(), after: revision }, requests);
                self.step = Step::Watching { number };
            }
            None => {
                self.lease = Some(Lease { token: Some(own.create_revision), ..*lease });
                self.step = Step::Holding;
                self.changes.push(Change::Acquired(own.create_revision));
            }
        }
    }
}
