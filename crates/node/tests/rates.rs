//! Shares of a service's rate: what is lent is taken from the lender's own, the ceiling holds in every window, and a store at
//! which messages wait gets what others don't use.
use node::store::rates::{Bucket, Share};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const WINDOW_MS: u64 = 5_000;

/// Stores that send to one service, each with its bucket and its messages.
struct Stores {
    share: Share,
    buckets: Vec<Bucket>,
    waiting: Vec<u64>,
    sent: Vec<u64>,
    /// Permits on their way: to whom, how many, when asked for and when they arrive.
    lent: Vec<(usize, u64, u64, u64)>,
}

impl Stores {
    fn new(rate: f64, count: usize) -> Stores {
        Stores {
            share: Share::new(rate, WINDOW_MS as f64 / 1_000.0, count),
            buckets: vec![Bucket::new(0); count],
            waiting: vec![0; count],
            sent: Vec::new(),
            lent: Vec::new(),
        }
    }

    fn step(&mut self, now: u64, lends: bool, lot: &mut Pcg64Mcg) {
        let arrived: Vec<_> = self.lent.iter().copied().filter(|(_, _, _, at)| *at <= now).collect();
        self.lent.retain(|(_, _, _, at)| *at > now);
        for (to, permits, asked_at, _) in arrived {
            self.buckets[to].add_borrowed(permits, asked_at, now);
        }
        for store in 0..self.buckets.len() {
            while self.waiting[store] > 0 && self.buckets[store].take(self.share, now).is_ok() {
                self.waiting[store] -= 1;
                self.sent.push(now);
            }
            if lends && self.waiting[store] > 0 && self.buckets[store].should_request(now) {
                self.ask(store, now, lot);
            }
        }
    }

    fn ask(&mut self, store: usize, now: u64, lot: &mut Pcg64Mcg) {
        let count = self.buckets.len();
        let each = self.waiting[store].div_ceil(count as u64 - 1);
        for lender in (0..count).filter(|lender| *lender != store) {
            let permits = self.buckets[lender].lend(self.share, each, now);
            // Some answers are late, some are lost.
            let takes = lot.random_range(2..60) + if lot.random_bool(0.05) { 400 } else { 0 };
            self.lent.push((store, permits, now, now + takes));
        }
    }

    fn most_in_a_window(&self) -> usize {
        let ends = self.sent.iter().enumerate();
        ends.map(|(i, at)| i - self.sent.partition_point(|other| other + WINDOW_MS <= *at) + 1)
            .max()
            .unwrap_or(0)
    }
}

#[rstest]
fn the_ceiling_holds_in_every_window(
    #[values(37.0, 64.0, 200.0)] rate: f64,
    #[values(2, 3, 13, 18)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut lot = Pcg64Mcg::seed_from_u64(seed);
    let mut stores = Stores::new(rate, count);
    for now in (0..60_000).step_by(5) {
        // Backlogs come at some stores, go, and come at others.
        if lot.random_bool(0.002) {
            let store = lot.random_range(0..count);
            stores.waiting[store] += lot.random_range(0..(rate as u64 * 4));
        }
        stores.step(now, true, &mut lot);
    }
    let ceiling = rate * 5.0 * 1.1 + 5.0;
    let most = stores.most_in_a_window();
    assert!(most as f64 <= ceiling, "{most} in a window, {ceiling} at the most");
}

/// One of 13 stores has all the messages: alone it would send a thirteenth of the rate.
#[test]
fn a_store_at_which_messages_wait_gets_what_the_others_do_not_use() {
    let sent_in_10_s = |lends| {
        let mut lot = Pcg64Mcg::seed_from_u64(1);
        let mut stores = Stores::new(64.0, 13);
        stores.waiting[3] = 10_000;
        (0..10_000).step_by(5).for_each(|now| stores.step(now, lends, &mut lot));
        stores.sent.len()
    };
    let (alone, with_others) = (sent_in_10_s(false), sent_in_10_s(true));
    assert!(alone < 52, "{alone}");
    assert!(with_others > 500, "{with_others} of 640");
}

#[test]
fn a_store_lends_nothing_while_its_own_messages_wait() {
    let share = Share::new(64.0, 5.0, 13);
    let mut bucket = Bucket::new(0);
    assert!(bucket.take(share, 10).is_err());
    assert_eq!(bucket.lend(share, 10, 400), 0);
    assert!(bucket.lend(share, 10, 600) > 0);
}

#[test]
fn permits_that_come_late_are_not_used() {
    let share = Share::new(13.0, 5.0, 13);
    let mut bucket = Bucket::new(0);
    bucket.add_borrowed(5, 0, 260);
    assert!(bucket.take(share, 260).is_err());
    bucket.add_borrowed(1, 300, 320);
    assert!(bucket.take(share, 400).is_ok());
}
