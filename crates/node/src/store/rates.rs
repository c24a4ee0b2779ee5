//! A store's share of the rate of a service, and what stores lend each other of theirs.
//!
//! Every store has an equal share, so that the rate holds without a word between them. Where messages wait at one store and
//! none at another, the second one lends: what it gives is taken from its own share, and nobody counts twice. Permits that are
//! lost on their way are lost.
use super::Store;
use crate::calls::Call;
use net::runtime;
use settings::Configuration;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Share of a service's rate that is used.
const RATE_SHARE: f64 = 0.97;
/// Permits that a store may hold at once, at the most.
const BURST: f64 = 3.0;
/// What a service bears beyond its rate in one window, as a share of that and in messages; all stores share it.
const OVERAGE: (f64, f64) = (0.1, 5.0);
/// The part of that which permits held at once may take; the rest is for what is lent ahead.
const BURST_SHARE: f64 = 0.8;
/// A store lends what it will have within this time, in milliseconds.
const LENT_AHEAD: u64 = 150;
/// A store at which no message had to wait for so long lends, in milliseconds.
const UNUSED: u64 = 500;
/// Borrowed permits are used within this time, in milliseconds, counted from when they were asked for: later they would
/// add to what others send then.
const BORROWED_FOR: u64 = 250;
/// Between two questions for permits, in milliseconds: longer where nobody had any.
const ASK_EVERY: (u64, u64) = (100, 1_000);
/// How long another store may take to lend.
const BORROW: Duration = Duration::from_millis(200);

/// A store's share of a service's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Permits a second.
    pub rate: f64,
    /// Permits that may be held at once.
    pub burst: f64,
}

impl Share {
    /// The share of each of so many stores in a rate, in messages a second, that a service counts over a window, in seconds.
    pub fn new(rate: f64, window_s: f64, stores: usize) -> Share {
        let stores = stores.max(1) as f64;
        let spare = rate * window_s * OVERAGE.0 + OVERAGE.1;
        Share { rate: rate * RATE_SHARE / stores, burst: (spare * BURST_SHARE / stores).clamp(1.0, BURST) }
    }
}

/// The permits that a store holds for a service. Times are milliseconds on a clock that only rises.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Below zero where permits were lent ahead.
    permits: f64,
    at: u64,
    borrowed: u64,
    borrowed_until: u64,
    /// When a message had to wait last.
    short_at: Option<u64>,
    ask_at: u64,
    ask_pause: u64,
}

impl Bucket {
    /// What an earlier process sent isn't known: a new one begins with nothing.
    pub fn new(now: u64) -> Bucket {
        Bucket {
            permits: 0.0,
            at: now,
            borrowed: 0,
            borrowed_until: 0,
            short_at: None,
            ask_at: 0,
            ask_pause: ASK_EVERY.0,
        }
    }

    fn refill(&mut self, share: Share, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.permits = (self.permits + passed * share.rate).min(share.burst);
        self.at = now;
        if now >= self.borrowed_until {
            self.borrowed = 0;
        }
    }

    /// Takes one permit; the milliseconds to wait where there is none.
    pub fn take(&mut self, share: Share, now: u64) -> Result<(), u64> {
        self.refill(share, now);
        if self.borrowed > 0 {
            self.borrowed -= 1;
            return Ok(());
        }
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        self.short_at = Some(now);
        Err(((1.0 - self.permits) / share.rate * 1_000.0).ceil() as u64)
    }

    /// Lends up to so many permits, if no message needs them here.
    pub fn lend(&mut self, share: Share, wanted: u64, now: u64) -> u64 {
        self.refill(share, now);
        if self.short_at.is_some_and(|at| now < at + UNUSED) {
            return 0;
        }
        let ahead = share.rate * LENT_AHEAD as f64 / 1_000.0;
        let lent = (self.permits + ahead).floor().clamp(0.0, wanted as f64);
        self.permits -= lent;
        lent as u64
    }

    /// Another store has lent permits that were asked for at `asked_at`.
    pub fn borrow(&mut self, permits: u64, asked_at: u64, now: u64) {
        let until = asked_at + BORROWED_FOR;
        if permits == 0 || now >= until {
            return;
        }
        self.ask_pause = ASK_EVERY.0;
        self.borrowed = if now < self.borrowed_until { self.borrowed + permits } else { permits };
        self.borrowed_until = until;
    }

    /// Whether others are to be asked for permits now. They are asked less often as long as they have none.
    pub fn asks(&mut self, now: u64) -> bool {
        if now < self.ask_at {
            return false;
        }
        self.ask_at = now + self.ask_pause;
        self.ask_pause = (self.ask_pause * 2).min(ASK_EVERY.1);
        true
    }
}

impl Store {
    /// This store's share of a service's rate; nothing where the service has no bound.
    fn share(&self, configuration: &Configuration, service: &str) -> Option<Share> {
        let rate = configuration.service(service).map_or(0.0, |service| service.rate_per_s);
        let stores = self.known.stores().active().count();
        (rate > 0.0).then(|| Share::new(rate, self.settings.bounds.ceiling_window_s, stores))
    }

    /// Takes a permit for one of `waiting` messages to a service; the milliseconds to wait where there is none, for which
    /// other stores are asked.
    pub(super) fn spend(
        self: &Rc<Self>,
        configuration: &Configuration,
        service: &str,
        waiting: usize,
        now: u64,
    ) -> Result<(), u64> {
        let Some(share) = self.share(configuration, service) else { return Ok(()) };
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(service.to_string()).or_insert_with(|| Bucket::new(now));
        let taken = bucket.take(share, now);
        if taken.is_err() && bucket.asks(now) {
            runtime::spawn(self.clone().ask_for_permits(service.to_string(), waiting as u64, now));
        }
        taken
    }

    /// Asks all other stores for a part each of so many permits.
    async fn ask_for_permits(self: Rc<Self>, service: String, wanted: u64, asked_at: u64) {
        let view = self.known.stores();
        let others: Vec<SocketAddr> = view
            .active()
            .filter(|store| store.disk != self.disk)
            .map(|store| SocketAddr::new(store.ip, self.port))
            .collect();
        let each = wanted.div_ceil(others.len().max(1) as u64);
        for to in others {
            let (store, call) = (self.clone(), Call::Lend { service: service.clone(), permits: each });
            runtime::spawn(async move {
                let lent = store.peers.call::<Call, u64>(to, &call, BORROW).await.unwrap_or(0);
                let Call::Lend { service, .. } = call else { return };
                if let Some(bucket) = store.buckets.borrow_mut().get_mut(&service) {
                    bucket.borrow(lent, asked_at, store.clock.ms());
                }
                if lent > 0 {
                    store.work.notify();
                }
            });
        }
    }

    /// Lends another store permits of this one's share.
    pub(super) fn lend(&self, service: &str, wanted: u64) -> u64 {
        let Some(share) = self.share(&self.known.configuration(), service) else { return 0 };
        let now = self.clock.ms();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(service.to_string()).or_insert_with(|| Bucket::new(now));
        bucket.lend(share, wanted, now)
    }
}
