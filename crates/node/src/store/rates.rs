//! Rate limits of services: each store has an equal share, and stores lend each other unused permits.
//!
//! Equal shares keep the total rate within the limit without communication. A store without waiting
//! messages lends permits to one that has some. Lent permits are deducted from the lender's share, so none
//! counts twice; permits that are lost in transit aren't recovered.
use super::Store;
use crate::calls::Call;
use net::runtime;
use settings::Configuration;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Share of a service's rate that all stores together use.
const USED_RATE_SHARE: f64 = 0.97;
/// Upper bound on the permits that a store holds at once.
const MAX_BURST_PERMITS: f64 = 3.0;
/// What a service tolerates beyond its rate within one window, as a share of the window's rate and a number
/// of messages; divided among all stores.
const OVERAGE: (f64, f64) = (0.1, 5.0);
/// Part of the overage for permits held at once; the rest covers permits that are lent ahead.
const BURST_OVERAGE_SHARE: f64 = 0.8;
/// A store lends the permits that it will receive within this time.
const LEND_AHEAD_MS: u64 = 150;
/// A store lends permits after no message had to wait there for this long.
const LEND_AFTER_IDLE_MS: u64 = 500;
/// Validity of borrowed permits, counted from the request. Used later, they would add to what other stores
/// send by then.
const BORROWED_VALID_MS: u64 = 250;
/// Shortest and longest interval between two requests for permits; it doubles while no store lends any.
const BORROW_INTERVAL_MS: (u64, u64) = (100, 1_000);
/// Timeout for borrowing from another store.
const BORROW_TIMEOUT: Duration = Duration::from_millis(200);

/// A store's share of a service's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Permits per second.
    pub rate: f64,
    /// Permits that may be held at once.
    pub burst: f64,
}

impl Share {
    /// The share of one of `stores` stores in a rate in messages per second, which the service counts over
    /// a window of `window_s` seconds.
    pub fn new(rate: f64, window_s: f64, stores: usize) -> Share {
        let stores = stores.max(1) as f64;
        let spare = rate * window_s * OVERAGE.0 + OVERAGE.1;
        Share {
            rate: rate * USED_RATE_SHARE / stores,
            burst: (spare * BURST_OVERAGE_SHARE / stores).clamp(1.0, MAX_BURST_PERMITS),
        }
    }
}

/// The permits that a store holds for a service. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Negative after permits were lent ahead.
    permits: f64,
    refilled_at: u64,
    /// Permits from other stores, valid until `borrowed_until`.
    borrowed: u64,
    borrowed_until: u64,
    /// When a message last had to wait for a permit.
    last_shortage_at: Option<u64>,
    next_request_at: u64,
    request_interval: u64,
}

impl Bucket {
    /// Starts without permits, since it isn't known what an earlier process sent.
    pub fn new(now: u64) -> Bucket {
        Bucket {
            permits: 0.0,
            refilled_at: now,
            borrowed: 0,
            borrowed_until: 0,
            last_shortage_at: None,
            next_request_at: 0,
            request_interval: BORROW_INTERVAL_MS.0,
        }
    }

    fn refill(&mut self, share: Share, now: u64) {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.permits = (self.permits + passed * share.rate).min(share.burst);
        self.refilled_at = now;
        if now >= self.borrowed_until {
            self.borrowed = 0;
        }
    }

    /// Takes one permit; the error is the number of milliseconds to wait for one.
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
        self.last_shortage_at = Some(now);
        Err(((1.0 - self.permits) / share.rate * 1_000.0).ceil() as u64)
    }

    /// Lends up to `wanted` permits unless messages need them here.
    pub fn lend(&mut self, share: Share, wanted: u64, now: u64) -> u64 {
        self.refill(share, now);
        if self.last_shortage_at.is_some_and(|at| now < at + LEND_AFTER_IDLE_MS) {
            return 0;
        }
        let ahead = share.rate * LEND_AHEAD_MS as f64 / 1_000.0;
        let lent = (self.permits + ahead).floor().clamp(0.0, wanted as f64);
        self.permits -= lent;
        lent as u64
    }

    /// Adds permits from another store that were requested at `asked_at`.
    pub fn add_borrowed(&mut self, permits: u64, asked_at: u64, now: u64) {
        let until = asked_at + BORROWED_VALID_MS;
        if permits == 0 || now >= until {
            return;
        }
        self.request_interval = BORROW_INTERVAL_MS.0;
        self.borrowed = if now < self.borrowed_until { self.borrowed + permits } else { permits };
        self.borrowed_until = until;
    }

    /// Whether to request permits from other stores now. The interval grows as long as they lend none.
    pub fn should_request(&mut self, now: u64) -> bool {
        if now < self.next_request_at {
            return false;
        }
        self.next_request_at = now + self.request_interval;
        self.request_interval = (self.request_interval * 2).min(BORROW_INTERVAL_MS.1);
        true
    }
}

impl Store {
    /// This store's share of a service's rate; none if the service has no limit.
    fn share(&self, configuration: &Configuration, service: &str) -> Option<Share> {
        let rate = configuration.service(service).map_or(0.0, |service| service.rate_per_s);
        let stores = self.cluster.stores().active().count();
        (rate > 0.0).then(|| Share::new(rate, self.settings.bounds.ceiling_window_s, stores))
    }

    /// Takes a permit for one of `waiting` messages to a service. Without one, requests permits from other
    /// stores; the error is the number of milliseconds to wait.
    pub(super) fn take_permit(
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
        if taken.is_err() && bucket.should_request(now) {
            runtime::spawn(self.clone().request_permits(service.to_string(), waiting as u64, now));
        }
        taken
    }

    /// Requests an equal part of the wanted permits from each other store.
    async fn request_permits(self: Rc<Self>, service: String, wanted: u64, asked_at: u64) {
        let view = self.cluster.stores();
        let others: Vec<SocketAddr> = view
            .active()
            .filter(|store| store.disk != self.disk)
            .map(|store| SocketAddr::new(store.ip, self.port))
            .collect();
        let each = wanted.div_ceil(others.len().max(1) as u64);
        for to in others {
            let (store, call) = (self.clone(), Call::Lend { service: service.clone(), permits: each });
            runtime::spawn(async move {
                let lent = store.peers.call::<Call, u64>(to, &call, BORROW_TIMEOUT).await.unwrap_or(0);
                let Call::Lend { service, .. } = call else { return };
                if let Some(bucket) = store.buckets.borrow_mut().get_mut(&service) {
                    bucket.add_borrowed(lent, asked_at, store.clock.ms());
                }
                if lent > 0 {
                    store.delivery_wake.notify();
                }
            });
        }
    }

    /// Lends permits of this store's share to another store.
    pub(super) fn lend(&self, service: &str, wanted: u64) -> u64 {
        let Some(share) = self.share(&self.cluster.configuration(), service) else { return 0 };
        let now = self.clock.ms();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(service.to_string()).or_insert_with(|| Bucket::new(now));
        bucket.lend(share, wanted, now)
    }
}
