//! One candidate: campaign, hold, renew, resign, lost.
use crate::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Clone, Debug)]
pub struct Config {
    /// Keys of candidates begin with this.
    pub prefix: String,
    /// What others are shown of this one.
    pub value: String,
    /// The lease's length; the store counts in seconds.
    pub ttl: Ms,
    /// Clocks may run at rates that differ by this part, in percent; part of a lease that is not used.
    pub clock_drift_percent: u64,
    /// After a failure the next try waits so long, and up to twice that.
    pub retry_delay: Ms,
}

/// What is to be asked of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    Grant {
        seconds: u64,
    },
    /// Puts the key with the lease unless it is there; the answer has its create revision in either case.
    Register {
        lease: i64,
        key: String,
        value: String,
    },
    /// All candidates.
    List {
        prefix: String,
    },
    /// Answered once the key is deleted after that revision.
    Watch {
        key: String,
        after: i64,
    },
    KeepAlive {
        lease: i64,
    },
    Revoke {
        lease: i64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub key: String,
    pub create_revision: i64,
    pub value: String,
}

/// What the store has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    Granted {
        lease: i64,
        seconds: u64,
    },
    Registered {
        create_revision: i64,
    },
    Candidates {
        candidates: Vec<Candidate>,
        revision: i64,
    },
    /// What was watched is gone, or can't be watched from there any more.
    WatchEnded,
    /// For so long from now; 0 if it is no more.
    Renewed {
        seconds: u64,
    },
    Revoked,
    /// No answer: whether it was done is not known.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It does not want the duty.
    Idle,
    /// It has no lease, or has not entered with it.
    Registering,
    /// Another has it.
    Waiting,
    Holding,
}

/// For logs and history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Acquired(i64),
    Resigned(i64),
    /// The lease ran out, the store has ended it, or it could not be renewed in time.
    Lost(i64),
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    /// On this clock; the store can't have ended it before.
    until: Ms,
    renew_at: Ms,
    /// The key's create revision: the fencing token.
    token: Option<i64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Nothing is asked; the next is due at this time.
    Rest(Ms),
    Asked {
        number: u64,
        at: Ms,
    },
    Watching {
        number: u64,
    },
    Holding,
}

pub struct Duty {
    config: Config,
    wanted: bool,
    lease: Option<Lease>,
    step: Step,
    renewing: Option<(u64, Ms)>,
    number: u64,
    random: Pcg32,
    pub changes: Vec<Change>,
}

type Out = Vec<(u64, StoreRequest)>;

impl Duty {
    pub fn new(config: Config, seed: u64) -> Duty {
        Duty {
            config,
            wanted: false,
            lease: None,
            step: Step::Rest(0),
            renewing: None,
            number: 0,
            random: Pcg32::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    /// From now on it wants the duty.
    pub fn campaign(&mut self, now: Ms) {
        if !std::mem::replace(&mut self.wanted, true) {
            self.step = Step::Rest(now);
        }
    }

    /// It wants it no more; what it has is given back at once.
    pub fn resign(&mut self, out: &mut Out) {
        self.wanted = false;
        if let Some(lease) = self.lease.take() {
            if let (Step::Holding, Some(token)) = (self.step, lease.token) {
                self.changes.push(Change::Resigned(token));
            }
            self.ask(StoreRequest::Revoke { lease: lease.id }, out);
        }
        (self.step, self.renewing) = (Step::Rest(0), None);
    }

    pub fn stage(&self) -> Stage {
        match (self.wanted, self.step) {
            (false, _) => Stage::Idle,
            (_, Step::Holding) => Stage::Holding,
            (_, Step::Watching { .. }) => Stage::Waiting,
            _ => Stage::Registering,
        }
    }

    /// The fencing token and its key, if the duty is held at this moment: to be asked before each act. Every write made
    /// under the duty is on condition that the key still has this create revision.
    pub fn held_token(&self, now: Ms) -> Option<(i64, String)> {
        let lease = self.lease.filter(|lease| self.step == Step::Holding && now < lease.until)?;
        Some((lease.token?, self.key(lease.id)))
    }

    /// How much longer the lease can be counted on.
    pub fn remaining(&self, now: Ms) -> Ms {
        self.lease.map_or(0, |lease| lease.until.saturating_sub(now))
    }

    pub fn key(&self, lease: i64) -> String {
        format!("{}{lease:016x}", self.config.prefix)
    }

    /// A write was turned down for the token: the store has the last word.
    pub fn handle_fenced_write(&mut self, now: Ms, token: i64) {
        if self.lease.is_some_and(|l| l.token == Some(token)) {
            self.lose(now);
        }
    }

    pub fn next_deadline(&self) -> Ms {
        let step = match self.step {
            Step::Rest(at) if self.wanted => at,
            Step::Asked { at, .. } => at + self.config.ttl,
            _ => Ms::MAX,
        };
        let renew = match (self.lease, self.renewing) {
            (Some(lease), None) => lease.renew_at.min(lease.until),
            (Some(lease), Some(_)) => lease.until,
            (None, _) => Ms::MAX,
        };
        step.min(renew)
    }

    fn ask(&mut self, ask: StoreRequest, out: &mut Out) -> u64 {
        self.number += 1;
        out.push((self.number, ask));
        self.number
    }

    fn ask_next(&mut self, now: Ms, ask: StoreRequest, out: &mut Out) {
        let number = self.ask(ask, out);
        self.step = Step::Asked { number, at: now };
    }

    /// Candidates that failed together don't come back together.
    fn rest(&mut self, now: Ms) {
        let more = self.random.random_range(0..self.config.retry_delay.max(1));
        self.step = Step::Rest(now + self.config.retry_delay + more);
    }

    /// Until when a lease of so long lasts on this clock at the least, if it was asked for at that time.
    fn until(&self, asked: Ms, seconds: u64) -> Ms {
        let length = seconds * 1_000;
        asked + length - length * self.config.clock_drift_percent.min(90) / 100
    }

    fn lose(&mut self, now: Ms) {
        let lease = self.lease.take();
        if let (Step::Holding, Some(token)) = (self.step, lease.and_then(|l| l.token)) {
            self.changes.push(Change::Lost(token));
        }
        self.renewing = None;
        self.rest(now);
    }

    pub fn tick(&mut self, now: Ms, out: &mut Out) {
        if !self.wanted {
            return;
        }
        if let Some(lease) = self.lease {
            if now >= lease.until {
                self.lose(now);
                // The store may still have it for a while; others need not wait for that.
                self.ask(StoreRequest::Revoke { lease: lease.id }, out);
                return;
            }
            if now >= lease.renew_at && self.renewing.is_none() {
                let number = self.ask(StoreRequest::KeepAlive { lease: lease.id }, out);
                self.renewing = Some((number, now));
            }
        }
        match self.step {
            Step::Rest(at) if now >= at => self.go_on(now, out),
            // An answer that never came.
            Step::Asked { at, .. } if now >= at + self.config.ttl => self.rest(now),
            _ => {}
        }
    }

    /// The next step from what is known.
    fn go_on(&mut self, now: Ms, out: &mut Out) {
        let ask = match self.lease {
            None => StoreRequest::Grant { seconds: self.config.ttl / 1_000 },
            Some(Lease { id, token: None, .. }) => {
                StoreRequest::Register { lease: id, key: self.key(id), value: self.config.value.clone() }
            }
            Some(_) => StoreRequest::List { prefix: self.config.prefix.clone() },
        };
        self.ask_next(now, ask, out);
    }

    /// The store's answer to a question.
    pub fn handle_reply(&mut self, now: Ms, number: u64, told: StoreReply, out: &mut Out) {
        if let Some((_, asked)) = self.renewing.filter(|(n, _)| *n == number) {
            self.renewing = None;
            return self.renewed(now, asked, told);
        }
        let asked = match self.step {
            Step::Asked { number: n, at } if n == number => at,
            Step::Watching { number: n } if n == number => {
                // Whatever has come of it: who is before this one is asked anew, at once if that one has gone.
                match told {
                    StoreReply::WatchEnded => self.go_on(now, out),
                    _ => self.rest(now),
                }
                return;
            }
            _ => return self.late(told, out),
        };
        match (told, self.lease) {
            (StoreReply::Granted { lease, seconds }, None) if self.wanted => {
                let until = self.until(asked, seconds);
                let renew_at = asked + seconds * 1_000 / 3;
                self.lease = Some(Lease { id: lease, until, renew_at, token: None });
                self.go_on(now, out);
            }
            (StoreReply::Registered { create_revision }, Some(mut lease)) => {
                lease.token = Some(create_revision);
                self.lease = Some(lease);
                self.go_on(now, out);
            }
            (StoreReply::Candidates { candidates, revision }, Some(lease)) => {
                self.placed(now, &lease, candidates, revision, out)
            }
            // Not known, or out of place: what is so is read again.
            _ => self.rest(now),
        }
    }

    /// An answer that nobody waits for any more; a lease that came too late would stand for nothing.
    fn late(&mut self, told: StoreReply, out: &mut Out) {
        if let StoreReply::Granted { lease, .. } = told {
            self.ask(StoreRequest::Revoke { lease }, out);
        }
    }

    fn renewed(&mut self, now: Ms, asked: Ms, told: StoreReply) {
        let Some(mut lease) = self.lease else { return };
        match told {
            StoreReply::Renewed { seconds: 0 } => return self.lose(now),
            StoreReply::Renewed { seconds } => {
                lease.until = self.until(asked, seconds);
                lease.renew_at = asked + seconds * 1_000 / 3;
            }
            // It is tried again soon, as long as there is time.
            _ => lease.renew_at = now + self.config.retry_delay,
        }
        self.lease = Some(lease);
    }

    /// Who is before this one: nobody, or the one whose end is waited for, and no other.
    fn placed(&mut self, now: Ms, lease: &Lease, all: Vec<Candidate>, revision: i64, out: &mut Out) {
        let key = self.key(lease.id);
        let Some(own) = all.iter().find(|c| c.key == key) else {
            return self.lose(now);
        };
        let before =
            all.iter().filter(|c| c.create_revision < own.create_revision).max_by_key(|c| c.create_revision);
        match before {
            Some(before) => {
                let number = self.ask(StoreRequest::Watch { key: before.key.clone(), after: revision }, out);
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
